"""Planned stops of hosts under load."""

import asyncio

from guavastream.hosts.tests.rig import run_fleet

GRACE_SECONDS = 6.0
RATE = 100.0


def test_a_planned_stop_cuts_no_request(tmp_path):
    """Guards against cutting requests that other hosts have sent to the process."""
    status_counts, cuts = {}, []

    async def ask(fleet, number):
        ready = [p for p in fleet.hosts if p.process is not None and p.process.ready]
        status, _ = await fleet.caller.ask(
            fleet.rng.choice(ready),
            b"POST",
            b"/order/%d" % number,
            body=b"x" * 500,
        )
        status_counts[status] = status_counts.get(status, 0) + 1

    async def load(fleet):
        number = 0
        while True:
            number += 1
            fleet.spawn(ask(fleet, number))
            await asyncio.sleep(fleet.rng.expovariate(RATE))

    async def scenario(fleet):
        fleet.spawn(load(fleet))
        await asyncio.sleep(3.0)
        host = fleet.hosts[0]
        began = fleet.now()
        await host.process.drain()
        await host.kill_process()
        assert fleet.now() - began < GRACE_SECONDS
        await asyncio.sleep(1.0)
        cuts.extend(
            p.process.counters.text() for p in fleet.hosts if p.process is not None
        )

    run_fleet(tmp_path, scenario, pages=0, orders=3)
    assert not any("cut_by_host" in text for text in cuts)
    assert (
        status_counts[200] > 10
        and not status_counts.get(0)
        and not status_counts.get(502)
    )
