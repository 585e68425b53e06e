"""Requests through ingress, hop and guard where servers reserve slots by urgency."""

import asyncio

from guavastream.relay.tests.rig import DIALECT, route, run_scenario
from guavastream.scheduling import format_report

ROUTES = (
    route("urgent", priority=0, timeout=4.0, target=0.5),
    # The servers have 8 slots, so that the targets differ enough for reservations.
    route("patient", priority=2, timeout=9.0, target=4.1),
)
# With targets that differ less nothing is reserved at 8 slots.
EVEN_ROUTES = (ROUTES[0], route("patient", priority=2, timeout=4.0, target=2.0))
RUN_SECONDS = 1.0


def send(mesh, path, count):
    asks = [mesh.ask(b"%s%d" % (path, n), deadline=4000) for n in range(count)]
    return [asyncio.ensure_future(ask) for ask in asks]


def test_an_urgent_request_finds_a_slot_among_long_ones():
    # All slots of the server would be taken by requests that can wait.
    async def scenario(mesh):
        host = mesh.hosts[0]
        assert (await mesh.ask(b"/urgent/0"))[0] == 200
        host.server.seconds = RUN_SECONDS
        patient = send(mesh, b"/patient/", host.server.slots)
        await asyncio.sleep(0.1)
        assert host.guard.reserved_slots == 1 and host.guard.urgent_load > 0
        report = host.guard.report()
        assert report.running == host.server.slots - 1 and report.waiting == 1
        assert report.most_urgent_wait == 0.0 < report.least_urgent_wait
        assert format_report(report).count(b",") == 7
        status, _, _, seconds = await mesh.ask(b"/urgent/1", deadline=4000)
        assert status == 200 and seconds < 1.1 * RUN_SECONDS
        # The least urgent ones are served as well, the last one a little later.
        assert {(await ask)[0] for ask in patient} == {200}
        await asyncio.sleep(1.0)
        assert host.guard.reserved_slots == 0

    run_scenario(scenario, hosts=1, routes=ROUTES)


def test_refusals_while_slots_are_reserved_are_counted_and_logged(caplog):
    async def scenario(mesh):
        host = mesh.hosts[0]
        host.server.seconds = RUN_SECONDS
        assert (await mesh.ask(b"/patient/0", deadline=4000))[0] == 200
        asks = send(mesh, b"/urgent/", 2) + send(mesh, b"/patient/", 40)
        statuses = [(await ask)[0] for ask in asks]
        assert statuses[:2] == [200, 200] and 503 in statuses
        assert host.counts["refused_with_reserved_slots"] > 0

    with caplog.at_level("INFO"):
        run_scenario(scenario, hosts=1, routes=ROUTES)
    refused = [r for r in caplog.records if hasattr(r, "urgent_load")]
    assert refused and all(r.reserved > 0 and r.urgency == 2 for r in refused)


def test_nothing_is_reserved_where_the_configuration_does_not_require_it():
    # Other deployments work as before: all slots are used, and the load report has no
    # further values.
    async def scenario(mesh):
        host = mesh.hosts[0]
        assert (await mesh.ask(b"/urgent/0"))[0] == 200
        host.server.seconds = RUN_SECONDS
        patient = send(mesh, b"/patient/", host.server.slots)
        await asyncio.sleep(0.1)
        report = host.guard.report()
        assert report.running == host.server.slots
        assert host.guard.reserved_slots == 0 == host.guard.urgent_load
        assert format_report(report).count(b",") == 4
        assert {(await ask)[0] for ask in patient} == {200}

    run_scenario(scenario, hosts=1, routes=EVEN_ROUTES)


async def call(mesh, path, *, parent):
    """Make a call as the server of host 0 does while it runs a request."""
    fields = [
        (b"Host", b"a.example"),
        (DIALECT.request_id, parent + DIALECT.call_separator + b"1"),
        (DIALECT.deadline_ms, b"900"),
    ]
    async with await mesh.client.open(mesh.hosts[0].outbound) as exchange:
        exchange.send(b"GET", path, fields, b"")
        return (await exchange.answer()).status


def test_servers_are_compared_by_the_urgency_of_the_original_request():
    # The called route has a low priority, but an urgent request waits for the call.
    async def scenario(mesh):
        ingress, positions = mesh.hosts[0].ingress, []
        choose = ingress._picker.choose

        def record_position(servers, *, class_position, **how):
            positions.append(class_position)
            return choose(servers, class_position=class_position, **how)

        ingress._picker.choose = record_position
        mesh.hosts[0].server.seconds = mesh.hosts[1].server.seconds = 0.3
        for path, position in ((b"/urgent/0", 0.0), (b"/patient/0", 1.0)):
            runs = len(mesh.hosts[0].server.ran)
            # The calling server finds its requests beside it only.
            while len(mesh.hosts[0].server.ran) == runs:
                parent = asyncio.ensure_future(mesh.ask(path))
                await asyncio.sleep(0.1)
            positions.clear()
            assert (
                await call(mesh, b"/patient/1", parent=mesh.hosts[0].server.ran[-1][0])
                == 200
            )
            assert positions == [position]
            assert (await parent)[0] == 200

    run_scenario(scenario, hosts=2, routes=ROUTES, class_priority=True)
