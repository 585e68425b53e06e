"""Planned stops of hosts under load."""

import asyncio

import pytest

from guavastream.fleet import ChangeRoutes
from guavastream.hosts.tests.rig import make_route, run_fleet
from guavastream.kernel import replace
from guavastream.routes import RetrySafety

GRACE_SECONDS = 6.0
# Requests that run are cut in the last part of the grace time at the earliest.
LAST_SHARE = 1 / 6
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


@pytest.mark.parametrize("at", [0, 1])
def test_a_long_request_is_not_ended_before_the_last_sixth_of_the_grace_time(
    tmp_path, at
):
    """Guards against a 504 for a request that its server could still have answered.

    The host that stops has the caller, or the server that runs the request.
    """

    async def scenario(fleet):
        long = make_route("long", "orders", RetrySafety.UNSAFE)
        command = ChangeRoutes(
            base=1,
            version=2,
            digest=b"long",
            whole=False,
            routes=(replace(long, timeout=12.0, target=12.0),),
        )
        await fleet.cluster.change(command)
        await fleet.hosts[0].crash_server()
        await asyncio.sleep(6.0)
        fleet.hosts[1].server.seconds = 9.0
        asked = [
            asyncio.ensure_future(
                fleet.caller.ask(fleet.hosts[0], b"POST", b"/long/x", seconds=12.0)
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        assert len(fleet.hosts[1].server.ran) == len(asked)
        began = fleet.now()
        stopping = fleet.hosts[at]
        drained = asyncio.ensure_future(stopping.process.drain())
        ended = []
        for task in asyncio.as_completed(asked):
            status, _ = await task
            ended.append((status, fleet.now() - began))
        await drained
        assert fleet.now() - began < GRACE_SECONDS or at
        cut = [seconds for status, seconds in ended if status != 200]
        assert cut and min(cut) >= GRACE_SECONDS * (1 - LAST_SHARE)

    run_fleet(tmp_path, scenario, pages=0, orders=2)
