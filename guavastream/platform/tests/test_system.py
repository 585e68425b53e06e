"""The whole system as real processes, against stand-ins for the platform."""

import asyncio
import json
import os
import signal

import pytest

from guavastream.http1 import Client
from guavastream.platform.emulator import (
    PORTS,
    Machine,
    World,
    make_route,
    until,
)


def play(folder, scenario, **options):
    """Run a coroutine function of a started `World` of two servers with keys."""

    async def main():
        world = World(folder=folder, keyed=2, plain=0, **options)
        try:
            await world.start()
            await scenario(world)
        finally:
            await world.stop()

    asyncio.run(main())


async def ask(world, place, key):
    id = b"q%d" % key
    return await world.ask(Client(), place, "read", id, key, b"")


async def change(world, at, body, base, **kwargs):
    """Send a change until it gets a clear answer, as the operator does."""

    async def once():
        status, _ = await world.change(world.control[at], body, base, **kwargs)
        return status if status not in (0, 503) else 0

    return await until(once)


@pytest.mark.parametrize("granting", ["heartbeat", "request"])
def test_a_day_in_small(tmp_path, granting):
    # Requests for keys all over reach their owners from both hosts; a change
    # is read back and in force; a lost control host and a planned stop of
    # one process cost no request.
    async def scenario(world):
        for place in world.places:
            for key in range(0, 65536, 9000):
                told = await ask(world, place, key)
                assert told == (200, b"body of q%d" % key)
        servers = [place.server.server for place in world.places]
        assert {run[4] for server in servers for run in server.ran} == {b"keyed"}
        assert all(server.ran for server in servers)

        config = world.make_config(1)
        patch = {"method": b"PATCH"}
        assert await change(world, 1, config, 0) == 200
        assert await change(world, 1, world.make_config(3), 0) == 412
        bad = {"Version": "00000003", "Remove": {"Services": ["keyed"]}}
        assert await change(world, 0, bad, 1, **patch) == 422
        assert await change(world, 0, b"{", 1, **patch) == 400

        await world.control[0].end()
        added = make_route("read", PathPrefix="/more/")
        more = {"Version": "00000007", "Upsert": {"Routes": {"more": added}}}
        assert await change(world, 1, more, 1, **patch) == 200

        async def read():
            status, body = await world.read(world.control[2])
            return json.loads(body) if status == 200 else None

        found = await until(read)
        assert found["Version"] == "00000007"
        assert set(found["Routes"]) == {*config["Routes"], "more"}

        stopping, other = world.places
        stopping.server.server.seconds = 0.5
        running = asyncio.ensure_future(ask(world, other, 5))
        own = asyncio.ensure_future(ask(world, stopping, 40000))
        stopping.machine.process.send_signal(signal.SIGTERM)
        assert (await running)[0] == 200 and (await own)[0] == 200
        assert await stopping.machine.process.wait() == 0
        await world.start_host(stopping)
        await until(world.is_ready)
        assert (await ask(world, stopping, 5))[0] == 200

        leaving = other.server
        leaving.state = "draining"

        async def handed_over():
            return not leaving.has_keys and stopping.server.holds(50000)

        await until(handed_over)
        assert (await ask(world, other, 50000))[0] == 200

    play(tmp_path, scenario, granting=granting)


@pytest.mark.parametrize("granting", ["heartbeat", "request"])
def test_a_server_starts_again_under_its_id(tmp_path, granting):
    # A server ends and is back before anybody missed it, with its id and at
    # another port. It holds nothing: its keys are served again once it, or the
    # other one, is granted them anew, under higher fences. When it leaves, it is
    # the new life that gets nothing more.
    async def scenario(world):
        place = world.places[0]
        before = place.server
        keys = [key for key in range(0, 65536, 997) if before.holds(key)]
        fence = max(before.fence_of(key) for key in keys)
        await world.crash_server(place)
        world.start_server(place, again=True)
        assert place.server.id == before.id and place.server.born > before.born

        async def served_again():
            told = [await ask(world, world.places[1], key) for key in keys[::9]]
            return all(status == 200 for status, _ in told) and place.server.has_keys

        await until(served_again)
        held = [key for key in keys if place.server.holds(key)]
        assert all(place.server.fence_of(key) > fence for key in held)

        # Its departure is that of the new life: the other one takes all over.
        assert await place.server.leave()

        async def taken_over():
            return all(world.places[1].server.holds(key) for key in keys)

        await until(taken_over)

    play(tmp_path, scenario, granting=granting)


def test_a_missing_setting_ends_the_process_with_every_finding(tmp_path):
    async def main():
        path = tmp_path / "bad.conf"
        path.write_text("NodeName=x\nServes=control_plane\nHeartbeat=soon\n")
        machine = Machine("bad", "127.0.0.1", [0] * len(PORTS), tmp_path)
        process = await asyncio.create_subprocess_exec(
            os.sys.executable,
            "-m",
            "guavastream.platform",
            env=os.environ | {"GUAVASTREAM_BOOT": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 2 and machine.process is None
        for name in (b"Zone", b"Ip", b"Seeds", b"DataDir", b"Heartbeat"):
            assert name in errors

    asyncio.run(main())
