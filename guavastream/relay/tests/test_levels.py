"""Refusals at the ingress by the levels of the owner of a key."""

import asyncio

from guavastream.relay.dialect import INTERNAL_PREFIX
from guavastream.relay.tests.rig import DIALECT, route, run_scenario
from guavastream.scheduling.levels import LEVEL_VALID_SECONDS

ROUTES = (
    route("status", priority=0, timeout=4.0, target=0.6),
    route("order", priority=1, timeout=4.0, target=0.9),
)
KEY = (DIALECT.key, b"7")


async def _fill(mesh, path, number, *, at):
    """Send requests for the owner's key at the same time; return their statuses."""
    asked = [
        mesh.ask(b"%s%d" % (path, n), at=at, headers=[KEY], deadline=4000)
        for n in range(number)
    ]
    return [answer[0] for answer in await asyncio.gather(*asked)]


async def _owned_by_first(mesh):
    first = mesh.hosts[0]
    mesh.grant((0, (1 << 32) - 1, first.id, 1))
    await asyncio.sleep(0.01)
    return first


def test_second_host_refuses_without_a_hop_while_the_owner_is_full():
    # Each refusal that needs a hop costs processor time at two hosts that have none.
    async def scenario(mesh):
        first = await _owned_by_first(mesh)
        load = asyncio.ensure_future(_fill(mesh, b"/status/a", 400, at=0))
        await asyncio.sleep(0.02)
        statuses = await _fill(mesh, b"/status/b", 4, at=1)
        assert statuses == [503] * 4
        hops = first.hop_requests
        statuses = await _fill(mesh, b"/order/c", 40, at=1)
        assert statuses.count(503) > 35
        # A small share is sent as probes.
        assert first.hop_requests - hops <= 10
        assert mesh.hosts[1].counts["refused.shed"] >= 30
        assert mesh.hosts[1].counts["shed.1.in_time"] >= 30
        # The leader moves keys by demand, which includes what was refused here.
        refused = mesh.hosts[1].ingress.take_refused_keys()
        assert refused == {"s": {7: mesh.hosts[1].counts["refused.shed"]}}
        gauge = 'admission_level{urgency="0",late="0"}'
        assert first.gauges[gauge] < 1.0 and "retry_reservations" in first.gauges
        await load
        # The refusals were true: only what was answered has run.
        ran = [run for run in mesh.ran() if run[2].startswith(b"/order/c")]
        assert len(ran) == statuses.count(200)

    run_scenario(scenario, keyed=True, routes=ROUTES, class_priority=True)


def test_second_host_serves_again_within_a_second_after_room_is_there():
    async def scenario(mesh):
        await _owned_by_first(mesh)
        load = asyncio.ensure_future(_fill(mesh, b"/status/a", 400, at=0))
        await asyncio.sleep(0.02)
        await _fill(mesh, b"/status/b", 4, at=1)
        assert 503 in await _fill(mesh, b"/order/c", 8, at=1)
        assert mesh.hosts[1].counts["refused.shed"]
        await load
        await asyncio.sleep(LEVEL_VALID_SECONDS)
        assert await _fill(mesh, b"/order/d", 8, at=1) == [200] * 8

    run_scenario(scenario, keyed=True, routes=ROUTES, class_priority=True)


def test_nothing_is_refused_without_a_hop_if_the_setting_is_off():
    async def scenario(mesh):
        first = await _owned_by_first(mesh)
        load = asyncio.ensure_future(_fill(mesh, b"/status/a", 400, at=0))
        await asyncio.sleep(0.02)
        await _fill(mesh, b"/status/b", 4, at=1)
        hops = first.hop_requests
        await _fill(mesh, b"/order/c", 40, at=1)
        assert first.hop_requests - hops == 40
        assert "refused.shed" not in mesh.hosts[1].counts
        await load

    run_scenario(scenario, keyed=True, routes=ROUTES)


def test_callers_see_no_levels_and_cannot_forge_a_share():
    async def scenario(mesh):
        await _owned_by_first(mesh)
        load = asyncio.ensure_future(_fill(mesh, b"/status/a", 400, at=0))
        await asyncio.sleep(0.02)
        forged = [KEY, (INTERNAL_PREFIX + b"share", b"1")]
        _, headers, _, _ = await mesh.ask(b"/status/b", at=1, headers=forged)
        assert not any(k.lower().startswith(INTERNAL_PREFIX) for k, _ in headers)
        await load

    run_scenario(scenario, keyed=True, routes=ROUTES, class_priority=True)


def test_requests_without_a_key_are_refused_if_all_servers_are_full():
    # The ingress combines the levels of the servers; one full server restricts little.
    async def scenario(mesh):
        loads = [
            asyncio.ensure_future(_fill(mesh, b"/status/a", 300, at=at))
            for at in (1, 2)
        ]
        await asyncio.sleep(0.05)
        statuses = await _fill(mesh, b"/status/b", 20, at=0)
        await asyncio.sleep(0.05)
        statuses += await _fill(mesh, b"/order/c", 60, at=0)
        assert mesh.hosts[0].counts["refused.shed"] > 0
        ran = [run for run in mesh.ran() if run[2][:8] in (b"/status/b", b"/order/c")]
        assert len(ran) <= statuses.count(200)
        await asyncio.gather(*loads)
        await asyncio.sleep(LEVEL_VALID_SECONDS)
        assert await _fill(mesh, b"/order/d", 8, at=0) == [200] * 8

    run_scenario(scenario, hosts=3, routes=ROUTES, class_priority=True)
