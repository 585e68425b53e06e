"""Servers that never respond when they are full, and drop single requests."""

import asyncio

import pytest

from guavastream.fleet import FleetState, LeaveInstance
from guavastream.relay.tests.rig import (
    DIALECT,
    SERVER_SECONDS,
    route,
    run_scenario,
)


async def send(server, connections, id):
    """Send one request straight to a server, on a new connection."""
    host, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    connections.append(writer)
    fields = (
        (b"Host", b"a"),
        (DIALECT.request_id, id),
        (DIALECT.expected, server.id.encode()),
    )
    head = b"".join(name + b": " + value + b"\r\n" for name, value in fields)
    writer.write(b"GET /read/x HTTP/1.1\r\n" + head + b"\r\n")
    return reader


def test_emulated_server_hangs_when_it_is_full():
    """Guards against an emulated server that is kinder than the real one."""

    async def scenario(mesh):
        server = mesh.hosts[0].server
        server.hangs_when_full, server.slots = True, 2
        server.drops = lambda id: id == b"dropped"
        opened = []
        readers = [await send(server, opened, b"r%d" % n) for n in range(3)]
        for reader in readers[:2]:
            assert b"200" in await reader.readline()
        assert server.hung == [b"r2"]
        # A free server does not respond either to what follows on that connection.
        opened[2].write(b"GET /health HTTP/1.1\r\n\r\n")
        dropped = await send(server, opened, b"dropped")
        await asyncio.sleep(5.0)
        assert not readers[2]._buffer and not dropped._buffer
        assert server.hung == [b"r2", b"dropped"] and len(server.ran) == 2
        for writer in opened:
            writer.close()

    run_scenario(scenario, hosts=1)


def test_emulated_server_may_run_on_without_its_caller():
    """Guards against an emulated server whose slots become free by a disconnection."""

    async def scenario(mesh):
        server = mesh.hosts[0].server
        for server.finishes_cut in (False, True):
            opened = []
            await send(server, opened, b"cut")
            await asyncio.sleep(0.01)
            opened[0].close()
            await asyncio.sleep(0.01)
            assert server.running == server.finishes_cut
            await asyncio.sleep(1.0)
            assert server.running == 0

    run_scenario(scenario, hosts=1)


async def read_often(mesh, count, *, at=0):
    """Send safe requests one after the other; all of them are answered."""
    for _ in range(count):
        assert (await mesh.ask(b"/read/x", at=at))[0] == 200


async def see_hang(mesh, host, *, at=0):
    """Let a server leave one request unanswered while it answers others."""
    await read_often(mesh, 3, at=at)
    # The usual time of the kind of request has to be known.
    assert (await mesh.ask(b"/pay/x", method=b"POST", at=at))[0] == 200
    before = len(host.server.hung)
    host.server.drops = lambda id: len(host.server.hung) == before
    hung = asyncio.ensure_future(
        mesh.ask(b"/pay/x", method=b"POST", deadline=2000, at=at)
    )
    await asyncio.sleep(0.01)
    assert len(host.server.hung) == before + 1
    host.server.drops = lambda id: False
    await read_often(mesh, 8, at=at)
    return (await hung)[3]


def test_dropped_requests_are_given_up_early_where_the_server_hangs():
    """Guards against callers that wait until their deadline for a lost request."""

    async def scenario(mesh):
        host, other = mesh.hosts
        mesh.set_timeout("read", 9.0)
        # Only the first server gets requests until it has been seen to hang.
        other.server.sheds = True
        host.server.seconds = 0.02
        assert await see_hang(mesh, host) > 0.9
        assert host.counts["hanging_servers"] == 1
        opened = host.guard._server._client.opened_count
        host.server.drops = lambda id: len(host.server.hung) < 3
        unsafe, safe = (
            asyncio.ensure_future(mesh.ask(path, method=method, deadline=8000))
            for path, method in ((b"/pay/y", b"POST"), (b"/read/y", b"GET"))
        )
        await asyncio.sleep(0.01)
        assert len(host.server.hung) == 3
        other.server.sheds = False
        await read_often(mesh, 20)
        status, _, _, seconds = await safe
        assert status == 200 and seconds < 0.5
        # It can't be sent again, and the server might only be slow.
        assert not unsafe.done()
        status, _, _, seconds = await unsafe
        assert status == 504 and seconds > 0.9
        assert len([run for run in mesh.ran() if run[2] == b"/pay/y"]) == 0
        assert len(other.server.ran) == 1
        assert host.counts["dropped_by_server"] == 1
        # Their connections were not used again.
        assert host.guard.running == 0
        assert host.guard._server._client.opened_count >= opened

    run_scenario(scenario)


def test_dropped_request_for_a_key_goes_to_its_owner_again():
    """Guards against a safe request that no other server may run and is given up."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        mesh.grant((0, 99, host.id))
        mesh.set_timeout("read", 9.0)
        host.server.seconds = 0.02
        await see_hang(mesh, host)
        key = [(DIALECT.key, b"5")]
        host.server.drops = lambda id: len(host.server.hung) < 2
        safe = asyncio.ensure_future(mesh.ask(b"/read/y", headers=key, deadline=8000))
        await asyncio.sleep(0.01)
        await read_often(mesh, 30)
        status, _, _, seconds = await safe
        assert status == 200 and seconds < 0.5
        assert len(host.server.hung) == 2

    run_scenario(scenario, hosts=1, keyed=True)


def test_slots_of_requests_that_run_on_without_a_caller_are_not_used():
    """Guards against requests beyond a server's slots, which it drops."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        mesh.set_timeout("read", 9.0)
        server = host.server
        server.finishes_cut, server.slots = True, 8
        await see_hang(mesh, host)
        server.hangs_when_full, server.hung = True, []
        for _ in range(5):
            asked = [
                asyncio.ensure_future(mesh.ask(b"/read/x", deadline=8000))
                for _ in range(8)
            ]
            await asyncio.sleep(0.05)
            for one in asked[:6]:
                one.cancel()
            for status, *_ in await asyncio.gather(
                *(mesh.ask(b"/read/z", deadline=4000) for _ in range(8))
            ):
                assert status in (200, 503)
            await asyncio.gather(*asked, return_exceptions=True)
        assert server.hung == [] and host.counts["slots_held"] >= 6

    run_scenario(scenario, hosts=1)


def test_server_that_refuses_when_full_is_used_as_before():
    """Guards against held slots at servers that have never been seen to hang."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        await read_often(mesh, 3)
        asked = [asyncio.ensure_future(mesh.ask(b"/read/x")) for _ in range(8)]
        await asyncio.sleep(0.05)
        assert host.guard.running == 8
        for one in asked:
            one.cancel()
        await asyncio.sleep(0.01)
        assert host.guard.running == 0 and "slots_held" not in host.counts

    run_scenario(scenario, hosts=1)


def test_new_process_leaves_room_for_requests_of_the_process_before_it():
    """Guards against requests beyond a server's slots just after a restart."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        mesh.set_timeout("read", 9.0)
        server = host.server
        server.slots, server.hangs_when_full, server.finishes_cut = 8, True, True
        # Four requests of the process before still run.
        opened = []
        server.seconds = 3 * SERVER_SECONDS
        for number in range(4):
            await send(server, opened, b"old%d" % number)
        await asyncio.sleep(0.01)
        assert server.running == 4
        server.seconds = SERVER_SECONDS
        host.guard.follow(FleetState(), mesh.fleet_state)
        most = []
        server.on_run = lambda run, key: most.append(server.running)
        asked = []
        for _ in range(80):
            request = mesh.ask(b"/read/x", deadline=8000)
            asked.append(asyncio.ensure_future(request))
            await asyncio.sleep(SERVER_SECONDS / 8)
        answers = await asyncio.gather(*asked)
        assert server.hung == []
        # All slots are used in the end.
        assert max(most) == 8 and host.guard.report().slots == 8
        assert [status for status, *_ in answers].count(200) >= 60
        for writer in opened:
            writer.close()

    # Requests of the process before are waited for only where some are long.
    routes = (route("read"), route("long", target=20.0, timeout=30.0))
    run_scenario(scenario, hosts=1, routes=routes)


def test_health_checks_count_as_requests_at_a_server_that_hangs():
    """Guards against a health check that makes a server full, or gets no response."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        guard, server = host.guard, host.server
        with guard.health_check() as may_check:
            assert may_check and guard.running == 0
        await see_hang(mesh, host)
        mesh.set_timeout("read", 9.0)
        with guard.health_check() as may_check:
            assert may_check and guard.running == 1
            server.hangs_when_full, server.hung = True, []
            asked = [
                asyncio.ensure_future(mesh.ask(b"/read/x", deadline=8000))
                for _ in range(8)
            ]
            await asyncio.sleep(SERVER_SECONDS / 2)
            assert server.running == 7
            with guard.health_check() as may_check:
                assert not may_check
        for status, *_ in await asyncio.gather(*asked):
            assert status == 200
        assert server.hung == [] and guard.running == 0

    run_scenario(scenario, hosts=1)


def test_dropped_request_of_another_host_is_reported_to_it():
    """Guards against an ingress that waits until the deadline for a known outcome."""

    async def scenario(mesh):
        near, far = mesh.hosts
        mesh.apply(LeaveInstance(id=near.id))
        mesh.set_timeout("read", 9.0)
        far.server.seconds = 0.02
        await see_hang(mesh, far)
        far.server.drops = lambda id: len(far.server.hung) < 3
        unsafe, safe = (
            asyncio.ensure_future(mesh.ask(path, method=method, deadline=8000))
            for path, method in ((b"/pay/y", b"POST"), (b"/read/y", b"GET"))
        )
        await asyncio.sleep(0.01)
        assert len(far.server.hung) == 3
        await read_often(mesh, 40)
        # There is no other server, so the safe request is sent to this one again.
        status, _, _, seconds = await safe
        assert status == 200 and seconds < 0.5
        assert near.counts["tries.dropped"] == 1
        # The unsafe one can't be sent again.
        status, _, _, seconds = await unsafe
        assert status == 504 and seconds > 0.9
        assert far.counts["dropped_by_server"] == 1

    run_scenario(scenario)


@pytest.mark.parametrize("at", [0, 1])
def test_late_request_that_cannot_be_sent_again_is_not_ended(at):
    """Guards against a 504 for a request that its server still works on."""

    async def scenario(mesh):
        near, far = mesh.hosts
        mesh.apply(LeaveInstance(id=near.id))
        mesh.set_timeout("read", 9.0)
        far.server.seconds = 0.02
        await see_hang(mesh, far, at=at)
        # Retries have used up the budget of the host.
        budget = mesh.hosts[at].ingress._retry_budget("s")
        while budget.spend():
            pass
        far.server.seconds = 1.0
        slow = asyncio.ensure_future(mesh.ask(b"/read/y", deadline=8000, at=at))
        await asyncio.sleep(0.1)
        far.server.seconds = 0.02
        for _ in range(6):
            assert (await mesh.ask(b"/read/x", at=at))[0] == 200
        status, _, _, seconds = await slow
        assert status == 200 and seconds > 0.9
        assert "dropped_by_server" not in far.counts

    run_scenario(scenario)
