"""Detection of a crashed backend server by the process beside it."""

import asyncio

from guavastream.hosts.tests.rig import run_fleet

# Time after the crash of its server within which a key is served again.
SERVED_AGAIN_SECONDS = 1.0
KEY = 4711
PAUSE_SECONDS = 0.004


def test_a_busy_key_is_served_again_soon_after_its_server_crashed(tmp_path):
    """Guards against a crash that goes undetected because requests keep coming."""
    answered = []

    async def ask(fleet, number):
        host = fleet.rng.choice(fleet.hosts)
        target = b"/page/%d" % number
        status, _ = await fleet.caller.ask(host, b"GET", target, key=KEY)
        if status == 200:
            answered.append(fleet.now())

    async def ask_often(fleet, seconds):
        for number in range(int(seconds / PAUSE_SECONDS)):
            fleet.spawn(ask(fleet, number))
            await asyncio.sleep(PAUSE_SECONDS)

    async def scenario(fleet):
        await ask_often(fleet, 1.0)
        owner = fleet.hosts[0].process.fleet_state.owner_of("pages", KEY)
        await fleet.host_of(owner).crash_server()
        crashed_at = fleet.now()
        await ask_often(fleet, 4.0)
        after = [at for at in answered if at > crashed_at]
        assert after and min(after) - crashed_at <= SERVED_AGAIN_SECONDS

    run_fleet(tmp_path, scenario, pages=4, orders=0)
