"""Hosts that are told to stop, under load, one after the other."""

import asyncio

from guavastream.hosts.tests.rig import play_fleet

GRACE_SECONDS = 6.0
RATE = 100.0


def test_a_stop_ends_no_connection_under_a_request(tmp_path):
    """Guards against requests of other hosts that are cut off with the process."""
    told, cuts = {}, []

    async def ask(fleet, number):
        ready = [p for p in fleet.places if p.host is not None and p.host.ready]
        status, _ = await fleet.caller.ask(
            fleet.rng.choice(ready),
            b"POST",
            b"/order/%d" % number,
            body=b"x" * 500,
        )
        told[status] = told.get(status, 0) + 1

    async def load(fleet):
        number = 0
        while True:
            number += 1
            fleet.spawn(ask(fleet, number))
            await asyncio.sleep(fleet.rng.expovariate(RATE))

    async def scenario(fleet):
        fleet.spawn(load(fleet))
        await asyncio.sleep(3.0)
        place = fleet.places[0]
        began = fleet.now()
        await place.host.drain()
        await place.kill_process()
        assert fleet.now() - began < GRACE_SECONDS
        await asyncio.sleep(1.0)
        cuts.extend(p.host.counters.text() for p in fleet.places if p.host is not None)

    play_fleet(tmp_path, scenario, pages=0, orders=3)
    assert not any("cut_by_host" in text for text in cuts)
    assert told[200] > 10 and not told.get(0) and not told.get(502)
