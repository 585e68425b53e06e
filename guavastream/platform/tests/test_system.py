"""The whole system as real processes, against stand-ins for the platform."""

import asyncio
import json
import os
import signal

from guavastream.platform.emulator import (
    PORTS,
    BackendServer,
    Machine,
    call,
    free_ports,
    until,
)

CONFIG = {
    "Version": "00000002",
    "Routes": {
        "read": {
            "Host": "a.example",
            "PathPrefix": "/read/",
            "Kind": "safe",
            "Timeout": "3s",
            "TargetLatency": "1s",
            "Priority": 1,
            "Service": "s",
            "MaxAttempts": 2,
        }
    },
    "Services": {
        "s": {"HealthPath": "/health", "MaxConnections": 20, "Sharding": True}
    },
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1048576,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    },
}


class World:
    """Three control hosts, two hosts with a backend server each."""

    def __init__(self, folder):
        # Addresses of this run's own, so that runs side by side do not meet.
        net = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
        ports = free_ports(f"{net}.1", len(PORTS))
        self.core = [
            Machine(f"core-{n}", f"{net}.{n}", ports, folder) for n in (1, 2, 3)
        ]
        self.sides = [
            Machine(f"side-{n}", f"{net}.{n}", ports, folder) for n in (11, 12)
        ]
        self.seeds = [machine.address("control") for machine in self.core]
        self.servers = [
            BackendServer.make(
                id=f"i-{n}", control=side.address("control"), address=(side.ip, 0)
            )
            for n, side in enumerate(self.sides)
        ]
        self.folder = folder
        self.tasks = []

    async def start_core(self, machine, **changes):
        fields = {"Serves": "control_plane", "DataDir": self.folder / machine.name}
        await machine.start(self.seeds, **fields | changes)

    async def start_side(self, machine):
        await machine.start(
            self.seeds,
            Serves="sidecar",
            Service="s",
            **{
                f"Listen.{name}": machine.address(name.lower())
                for name in ("Outbound", "Inbound", "Ready")
            },
        )

    async def start(self):
        for machine in self.core:
            await self.start_core(machine)
        for machine in self.sides:
            await self.start_side(machine)
        self.tasks = [asyncio.ensure_future(server.run()) for server in self.servers]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.core + self.sides:
            if machine.process:
                await machine.end()

    async def change(self, body, base, *, at=0, method=b"PUT"):
        """Send a change until it gets a clear answer, as the operator does."""

        async def once():
            status, _ = await call(
                self.core[at].address("control"),
                method,
                b"/api/config",
                body,
                [(b"If-Match", base)],
            )
            return status if status not in (0, 503) else 0

        return await until(once)

    async def ready(self):
        for side in self.sides:
            status, _ = await call(side.address("ready"), b"GET", b"/api/readiness")
            if status != 200:
                return False
        return all(server.rows for server in self.servers)

    async def ask(self, side, key):
        headers = [
            (b"Request-Id", b"q%d" % key),
            (b"Deadline-Ms", b"3000"),
            (b"Shard-Key", b"%d" % key),
            (b"Caller-Service", b"forged"),
        ]
        address = side.address("outbound")
        return await call(
            address, b"GET", b"/read/x", headers=headers, host=b"a.example"
        )


def play(folder, scenario):
    async def main():
        world = World(folder)
        try:
            await world.start()
            assert await world.change(CONFIG, b"0") == 200
            await until(world.ready)
            await scenario(world)
        finally:
            await world.stop()

    asyncio.run(main())


def test_a_day_in_small(tmp_path):
    # Requests for keys all over reach their owners from both hosts; a change
    # is read back and in force; a lost control host and a planned stop of
    # one process cost no request.
    async def scenario(world):
        for side in world.sides:
            for key in range(0, 65536, 9000):
                status, body = await world.ask(side, key)
                assert (status, body) == (200, b"body of q%d" % key)
        callers = {run[4] for server in world.servers for run in server.server.ran}
        assert callers == {b"s"} and all(s.server.ran for s in world.servers)

        assert await world.change(CONFIG, b"0", at=1) == 200
        assert await world.change(CONFIG | {"Version": "00000003"}, b"0") == 412
        bad = {"Version": "00000003", "Remove": {"Services": ["s"]}}
        assert await world.change(bad, b"00000002", method=b"PATCH") == 422
        assert await world.change(b"{", b"00000002", method=b"PATCH") == 400

        await world.core[0].end()
        added = CONFIG["Routes"]["read"] | {"PathPrefix": "/more/"}
        patch = {"Version": "00000007", "Upsert": {"Routes": {"more": added}}}
        assert await world.change(patch, b"00000002", at=1, method=b"PATCH") == 200

        async def read():
            address = world.core[2].address("control")
            status, body = await call(address, b"GET", b"/api/config")
            return json.loads(body) if status == 200 else None

        config = await until(read)
        assert config["Version"] == "00000007" and set(config["Routes"]) == {
            "read",
            "more",
        }

        stopping = world.sides[0]
        world.servers[0].server.seconds = 0.5
        running = asyncio.ensure_future(world.ask(world.sides[1], 5))
        own = asyncio.ensure_future(world.ask(stopping, 40000))
        stopping.process.send_signal(signal.SIGTERM)
        assert (await running)[0] == 200 and (await own)[0] == 200
        assert await stopping.process.wait() == 0
        await world.start_side(stopping)
        await until(world.ready)
        assert (await world.ask(stopping, 5))[0] == 200

        leaving = world.servers[1]
        leaving.state = "draining"

        async def handed_over():
            return not leaving.rows and world.servers[0].holds(50000)

        await until(handed_over)
        assert (await world.ask(world.sides[1], 50000))[0] == 200

    play(tmp_path, scenario)


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
