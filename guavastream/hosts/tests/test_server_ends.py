"""The end of a backend server, as the host beside it finds out."""

import asyncio

from guavastream.hosts.tests.rig import play_fleet

# A key is served again this long after the loss of its server, seconds.
SERVED_AGAIN_SECONDS = 1.0
KEY = 4711
PAUSE_SECONDS = 0.004


def test_a_busy_key_is_served_again_at_once_when_its_server_has_ended(tmp_path):
    """Guards against an end that is not noticed for all the requests that come."""
    answered = []

    async def ask(fleet, number):
        place = fleet.rng.choice(fleet.places)
        target = b"/page/%d" % number
        status, _ = await fleet.caller.ask(place, b"GET", target, key=KEY)
        if status == 200:
            answered.append(fleet.now())

    async def ask_often(fleet, seconds):
        for number in range(int(seconds / PAUSE_SECONDS)):
            fleet.spawn(ask(fleet, number))
            await asyncio.sleep(PAUSE_SECONDS)

    async def scenario(fleet):
        await ask_often(fleet, 1.0)
        owner = fleet.places[0].host.book.owner_of("pages", KEY)
        await fleet.place_of(owner).crash_server()
        crashed_at = fleet.now()
        await ask_often(fleet, 4.0)
        after = [at for at in answered if at > crashed_at]
        assert after and min(after) - crashed_at <= SERVED_AGAIN_SECONDS

    play_fleet(tmp_path, scenario, pages=4, orders=0)
