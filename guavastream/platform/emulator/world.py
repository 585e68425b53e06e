"""A whole small platform: control hosts, hosts beside servers, an operator."""

import asyncio
import contextlib
import os
import shutil
import signal
from dataclasses import dataclass

from guavastream.emulator import FaultProxy
from guavastream.platform.emulator.machine import (
    PORTS,
    Machine,
    call,
    free_ports,
    until,
)
from guavastream.platform.emulator.server import BackendServer

__all__ = ["Place", "ROUTES", "World", "make_config", "make_route"]

HOST = b"a.example"
# What callers ask: kind of route, service and method, by the path's first part.
ROUTES = {
    "read": ("safe", "keyed", b"GET"),
    "pay": ("unsafe", "keyed", b"POST"),
    "order": ("unsafe", "plain", b"POST"),
    "load": ("upload", "plain", b"POST"),
}
SERVICES = ("keyed", "plain")
# A leaving server serves on for this long, seconds.
LEAVE_SECONDS = 2.2
# By this each piece on a slow connection is held back, seconds.
SLOW_SECONDS = 0.2
# A control host that is back has caught up after this, seconds; one without
# its disk only once the leader has said so.
CATCH_UP_SECONDS = 2.0
NEW_VOTER = "votes now"


def make_route(name, **changes):
    """Return a route of the configuration, by its name in `ROUTES`."""
    kind, service, _ = ROUTES[name]
    return {
        "Host": HOST.decode(),
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Timeout": "2s",
        "TargetLatency": "500ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | changes


def make_config(version, *, granting="heartbeat"):
    """Return the first configuration."""
    return {
        "Version": f"{version:08x}",
        "Routes": {name: make_route(name) for name in ROUTES},
        "Services": {
            name: {
                "HealthPath": "/health",
                "MaxConnections": 60,
                "Sharding": name == "keyed",
                "Grants": granting,
            }
            for name in SERVICES
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeout": "3000ms",
            "IdleTimeout": "15000ms",
        },
    }


@dataclass
class Place:
    """A host beside a server: its process, the server's life, the path to it."""

    machine: Machine
    service: str
    server: object = None
    proxy: object = None
    task: object = None
    lives: int = 0


class World:
    """Three control hosts, and some hosts with a backend server each.

    Parameters
    ----------
    folder : Path
        For settings, data and logs.
    keyed, plain : int
        Servers of each service.
    granting : str
        How servers are granted keys, "heartbeat" or "request".
    late : float
        Share of the orders about keys that are carried out late.
    idle : float, optional
        Idle limit of callers' connections, seconds.
    on_start : callable
        Told each `BackendServer` before it begins to serve.
    """

    def __init__(
        self,
        *,
        folder,
        keyed=3,
        plain=2,
        granting="heartbeat",
        late=0.0,
        idle=None,
        on_start=lambda server: None,
    ):
        # Addresses of this run's own, so that runs side by side do not meet.
        net = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
        ports = free_ports(f"{net}.1", len(PORTS))
        self.folder = folder
        self.granting = granting
        self._late = late
        self._idle = idle
        self.control = [
            Machine(f"core-{n}", f"{net}.{n}", ports, folder) for n in (1, 2, 3)
        ]
        names = ["keyed"] * keyed + ["plain"] * plain
        self.places = [
            Place(Machine(f"side-{n}", f"{net}.{n}", ports, folder), service)
            for n, service in enumerate(names, 11)
        ]
        self._on_start = on_start
        self._struck_at = {}
        self._seeds = [machine.address("control") for machine in self.control]

    # Processes

    async def start(self):
        """Start everything and send the first configuration."""
        for machine in self.control:
            await self.start_control(machine, first=True)
        for place in self.places:
            await self.start_host(place)
            self.start_server(place)
        await until(self._sent_first)
        await until(self.is_ready)

    def make_config(self, version):
        """Return the first configuration, with servers granted keys as here."""
        config = make_config(version, granting=self.granting)
        if self._idle is not None:
            config["Limits"]["IdleTimeout"] = f"{int(self._idle * 1000)}ms"
        return config

    async def _sent_first(self):
        status, _ = await self.change(self.control[0], self.make_config(1), 0)
        return status == 200

    async def start_control(self, machine, *, first=False):
        """Start a control host's process."""
        await machine.start(
            self._seeds,
            Serves="control_plane",
            DataDir=self.folder / machine.name,
            Bootstrap=str(first).lower(),
        )

    async def start_host(self, place):
        """Start the process beside a server."""
        machine = place.machine
        listen = {
            f"Listen.{name}": machine.address(name.lower())
            for name in ("Outbound", "Inbound", "Ready")
        }
        await machine.start(
            self._seeds, Serves="sidecar", Service=place.service, **listen
        )

    def start_server(self, place, *, again=False):
        """Begin a new life of the server at a place.

        With `again` it has the id that it had; else nobody knows it.
        """
        place.lives += not again
        server = BackendServer.make(
            id=f"{place.machine.name}-{place.lives}",
            control=place.machine.address("control"),
            address=(place.machine.ip, 0),
            service=place.service,
            seconds=0.03,
            ordered=self.granting == "request" and place.service == "keyed",
            late=self._late,
        )
        place.server = server
        self._on_start(server)
        place.task = asyncio.ensure_future(self._serve(place, server))

    async def _serve(self, place, server):
        await server.server.start()
        proxy = place.proxy = FaultProxy(target=server.server.address)
        server.announced = proxy.address
        try:
            await server.send_heartbeats()
        finally:
            proxy.close()

    async def crash_server(self, place):
        """End a server's life as a crash does."""
        place.task.cancel()
        await asyncio.gather(place.task, return_exceptions=True)

    async def is_ready(self):
        """Whether all hosts are ready and all servers with keys hold some."""
        for place in self.places:
            address = place.machine.address("ready")
            status, _ = await call(address, b"GET", b"/api/readiness")
            if status != 200:
                return False
            if place.service == "keyed" and not place.server.has_keys:
                return False
        return True

    async def stop(self):
        """End all processes."""
        for place in self.places:
            if place.task:
                await self.crash_server(place)
        for machine in [*self.control, *(place.machine for place in self.places)]:
            if machine.process:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                await machine.end()

    # Callers and operators

    async def ask(self, client, place, name, id, key, body, rest="x"):
        """Send a request to a host; return status and body, 0 if none came."""
        _, service, method = ROUTES[name]
        headers = [(b"Host", HOST), (b"Request-Id", id), (b"Deadline-Ms", b"2000")]
        if service == "keyed":
            headers.append((b"Shard-Key", b"%d" % key))
        address = place.machine.address("outbound")
        async with await client.open(address) as exchange:
            exchange.send(method, f"/{name}/{rest}".encode(), headers, body)
            answer = await exchange.answer()
            data, _ = await answer.body.read_up_to(1 << 24)
            return answer.status, data

    async def change(self, machine, body, base, *, method=b"PUT"):
        """Send one change; return its status, 0 if there was none."""
        address = machine.address("control")
        headers = [(b"If-Match", f"{base:08x}".encode())]
        return await call(address, method, b"/api/config", body, headers)

    async def read(self, machine):
        """Return the answer to a read of the configuration."""
        return await call(machine.address("control"), b"GET", b"/api/config")

    # Faults

    def is_calm(self, places, seconds):
        """Whether no fault struck a control host, or one of the places, for so long."""
        machines = [*self.control, *(place.machine for place in places)]
        since = asyncio.get_running_loop().time() - seconds
        return not any(
            machine.struck or self._struck_at.get(machine.name, 0.0) > since
            for machine in machines
        )

    async def harm(self, place, server, seconds, *, silent):
        """Let a server end under a request, and come back.

        Its connections break, or are `silent` until the other end gives up.
        """
        if place.server is not server or server.state != "ready":
            return
        server.state = "ending"
        if not silent:
            place.proxy.cut_open()
        await self.crash_server(place)
        await asyncio.sleep(seconds)
        self.start_server(place, again=True)

    async def strike(self, fault):
        """Let a fault happen and, where it ends by itself, end it."""
        if fault.group == "server":
            await self._strike_server(self.places[fault.target], fault)
            return
        if fault.group == "control":
            machine = self.control[fault.target]
            if any(other.struck for other in self.control):
                # The group bears one at a time.
                return

            async def restart():
                voters = self._count_new_voters()
                await self.start_control(machine)
                if fault.kind == "wipe":
                    await until(lambda: self._has_new_voters(voters))
                await asyncio.sleep(CATCH_UP_SECONDS)
        else:
            place = self.places[fault.target]
            machine = place.machine

            async def restart():
                await self.start_host(place)

        await self._strike_process(machine, fault, restart)

    def _count_new_voters(self):
        return sum(machine.log().count(NEW_VOTER) for machine in self.control)

    async def _has_new_voters(self, before):
        return self._count_new_voters() > before

    async def _strike_process(self, machine, fault, restart):
        if machine.process.returncode is not None or machine.struck:
            return
        machine.struck = True
        try:
            if fault.kind == "freeze":
                machine.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                machine.process.send_signal(signal.SIGCONT)
                return
            number = signal.SIGTERM if fault.kind == "stop" else signal.SIGKILL
            machine.ending = True
            await machine.end(number)
            if fault.kind == "wipe":
                shutil.rmtree(self.folder / machine.name)
            await asyncio.sleep(fault.seconds)
            await restart()
        finally:
            machine.struck = machine.ending = False
            self._struck_at[machine.name] = asyncio.get_running_loop().time()

    async def _strike_server(self, place, fault):
        server, proxy = place.server, place.proxy
        if proxy is None or place.machine.struck:
            return
        if fault.kind == "cut":
            proxy.cut_open()
        elif fault.kind == "silence":
            proxy.silence()
        elif fault.kind == "slow":
            proxy.delay = SLOW_SECONDS
            await asyncio.sleep(fault.seconds)
            proxy.delay = 0.0
        elif not place.task.done() and server.state == "ready":
            await self._end_server(place, fault, server)

    async def _end_server(self, place, fault, server):
        server.state = "ending"
        if fault.kind == "drain":
            server.state = "draining"
            await asyncio.sleep(LEAVE_SECONDS + fault.seconds)
        if fault.kind != "crash":
            await server.leave()
        if fault.kind == "leave":
            await asyncio.sleep(LEAVE_SECONDS)
        await self.crash_server(place)
        await asyncio.sleep(fault.seconds)
        self.start_server(place, again=fault.kind == "crash")
