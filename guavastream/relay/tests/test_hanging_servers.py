"""Servers that never respond when they are full, and drop single requests."""

import asyncio

from guavastream.relay.tests.rig import DIALECT, run_scenario


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
