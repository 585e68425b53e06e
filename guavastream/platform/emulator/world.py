"""A whole emulated platform: control hosts, backend servers and their hosts."""

import asyncio
import contextlib
import os
import shutil
import signal
from dataclasses import dataclass

from guavastream.emulator import FaultProxy, PipelinedRequest
from guavastream.platform.emulator.machine import (
    PORTS,
    Machine,
    ReservedPorts,
    call,
    wait_until,
)
from guavastream.platform.emulator.server import BackendServer

__all__ = ["EmulatedHost", "EmulatedPlatform", "ROUTES", "SERVICES", "make_config"]
__all__ += ["make_route"]

ROUTE_HOST = b"a.example"
# Kind, service and method of each route, by the first segment of its path.
ROUTES = {
    "read": ("safe", "keyed", b"GET"),
    "pay": ("unsafe", "keyed", b"POST"),
    "order": ("unsafe", "plain", b"POST"),
    "load": ("upload", "plain", b"POST"),
}
SERVICES = ("keyed", "plain")
# Time for which a leaving server continues to serve.
SERVE_AFTER_LEAVE_SECONDS = 2.2
# Delay of each chunk of data on a slow connection.
SLOW_CHUNK_DELAY_SECONDS = 0.2
# Time in which a restarted control host catches up. One that lost its disk has done so
# only once the leader has logged that it votes again.
CATCH_UP_SECONDS = 2.0
NEW_VOTER_LOG_TEXT = "votes now"


def make_route(name, **changes):
    """Return the configuration of a route of `ROUTES`, with some fields changed."""
    kind, service, _ = ROUTES[name]
    return {
        "Host": ROUTE_HOST.decode(),
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Timeout": "2s",
        "TargetLatency": "500ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | changes


def make_config(version, *, granting="heartbeat", cold_rate=0.0):
    """Return a configuration of all routes and services."""
    cold = {"ColdPerS": cold_rate} if cold_rate else {}
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
            | cold
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
class EmulatedHost:
    """A host with a backend server: its process, the server, and the proxy between."""

    machine: Machine
    service: str
    zone: str = "a"
    server: object = None
    proxy: object = None
    task: object = None
    instance_count: int = 0


class EmulatedPlatform:
    """Three control hosts, and hosts with one backend server each.

    Parameters
    ----------
    folder : Path
        Directory for settings, data and logs.
    keyed, plain : int
        Number of servers of each service.
    control, spares : int
        Number of control hosts, and of further ones that may replace them.
    losses : int
        Number of control hosts whose disks may be lost at once.
    granting : str
        How servers are granted keys, "heartbeat" or "request".
    late_share : float
        Share of grant calls that get no answer and are executed late.
    idle_seconds : float, optional
        Idle timeout of callers' connections, seconds.
    on_start : callable
        Called with each `BackendServer` before it begins to serve.
    zones : tuple of str
        Availability zones, to which the hosts with servers belong in turn.
    settings : dict, optional
        Further settings of every process, by their names.
    cold_seconds, cold_rate : float
        How long a server is cold after its start, and how many requests per second it
        tolerates then; 0 if servers start warm.
    """

    def __init__(
        self,
        *,
        folder,
        keyed=3,
        plain=2,
        granting="heartbeat",
        late_share=0.0,
        idle_seconds=None,
        on_start=lambda server: None,
        zones=("a",),
        cold_seconds=0.0,
        cold_rate=0.0,
        control=3,
        spares=0,
        losses=1,
        settings=None,
    ):
        # Addresses depend on the process id, so that concurrent runs don't collide.
        ip_prefix = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}"
        numbers = [*range(1, 1 + control), *range(11, 11 + keyed + plain)]
        spare_numbers = range(101, 101 + spares)
        self._reserved_ports = ReservedPorts(
            ips=[f"{ip_prefix}.{n}" for n in (*numbers, *spare_numbers)],
            count=len(PORTS),
        )
        ports = self._reserved_ports.numbers
        self.folder = folder
        self.granting = granting
        self._late_share = late_share
        self._idle_seconds = idle_seconds
        self.control_hosts = [
            Machine(f"core-{n}", f"{ip_prefix}.{n}", ports, folder)
            for n in numbers[:control]
        ]
        self.spares = [
            Machine(f"core-{n}", f"{ip_prefix}.{n}", ports, folder)
            for n in spare_numbers
        ]
        self._losses = losses
        self._settings = settings or {}
        service_names = ["keyed"] * keyed + ["plain"] * plain
        self.server_hosts = [
            EmulatedHost(
                Machine(f"side-{n}", f"{ip_prefix}.{n}", ports, folder),
                service,
                zone=zones[n % len(zones)],
            )
            for n, service in enumerate(service_names, 11)
        ]
        self._on_start = on_start
        self._cold_seconds = cold_seconds
        self._cold_rate = cold_rate
        self._last_fault_at = {}
        # Called with the id of a request and the headers of its answer, and with a host
        # whose process gets a fault.
        self.on_answer = lambda id, headers: None
        self.on_host_fault = lambda server_host: None
        # Whether servers that leave say so in their answers.
        self.states_departures = False
        self._seeds = [machine.address("control") for machine in self.control_hosts[:3]]

    # Processes

    async def start(self):
        """Start all processes and servers, and send the first configuration."""
        for machine in self.control_hosts:
            await self.start_control(machine, bootstrap=True)
        for server_host in self.server_hosts:
            await self.start_host(server_host)
            self.start_server(server_host)
        await wait_until(self._send_first_config)
        await wait_until(self.is_ready)

    def make_config(self, version):
        """Return a configuration with this platform's granting and idle timeout."""
        config = make_config(version, granting=self.granting, cold_rate=self._cold_rate)
        if self._idle_seconds is not None:
            config["Limits"]["IdleTimeout"] = f"{int(self._idle_seconds * 1000)}ms"
        return config

    async def _send_first_config(self):
        status, _ = await self.send_change(
            self.control_hosts[0], self.make_config(1), 0
        )
        return status == 200

    async def start_control(self, machine, *, bootstrap=False):
        """Start the process of a control host."""
        settings = self._control_settings(machine) | {
            "Bootstrap": str(bootstrap).lower()
        }
        await machine.start(self._seeds, **settings)

    def _control_settings(self, machine):
        return {
            "Serves": "control_plane",
            "DataDir": self.folder / machine.name,
            "FaultTolerance.Machines": str(self._losses),
            **self._settings,
        }

    def update_seeds(self, machines):
        """Name other control hosts in the settings; running ones read them again."""
        self._seeds = [machine.address("control") for machine in machines]
        for machine in self.control_hosts:
            machine.write_settings(self._seeds, **self._control_settings(machine))

    async def start_host(self, server_host):
        """Start the process of a host with a backend server."""
        machine = server_host.machine
        listen = {
            f"Listen.{name}": machine.address(name.lower())
            for name in ("Outbound", "Inbound", "Ready")
        }
        await machine.start(
            self._seeds,
            Serves="sidecar",
            Service=server_host.service,
            Zone=server_host.zone,
            **listen,
            **self._settings,
        )

    def start_server(self, server_host, *, same_id=False):
        """Start a new instance of the backend server of a host.

        With `same_id` it keeps its id; otherwise it gets an id not used before.
        """
        server_host.instance_count += not same_id
        server = BackendServer.make(
            id=f"{server_host.machine.name}-{server_host.instance_count}",
            control_address=server_host.machine.address("control"),
            address=(server_host.machine.ip, 0),
            service=server_host.service,
            zone=server_host.zone,
            seconds=0.03,
            call_granted=self.granting == "request" and server_host.service == "keyed",
            late_share=self._late_share,
        )
        server_host.server = server
        now = asyncio.get_running_loop().time()
        server.server.cold_until = now + self._cold_seconds
        self._on_start(server)
        server_host.task = asyncio.ensure_future(self._serve(server_host, server))

    async def _serve(self, server_host, server):
        await server.server.start()
        proxy = server_host.proxy = FaultProxy(target=server.server.address)
        server.announced_address = proxy.address
        try:
            await server.send_heartbeats()
        finally:
            proxy.close()

    async def crash_server(self, server_host):
        """Stop a server without a departure, as a crash does."""
        server_host.task.cancel()
        await asyncio.gather(server_host.task, return_exceptions=True)

    async def is_ready(self):
        """Return whether all hosts are ready and all keyed servers hold keys."""
        for server_host in self.server_hosts:
            address = server_host.machine.address("ready")
            status, _ = await call(address, b"GET", b"/api/readiness")
            if status != 200:
                return False
            if server_host.service == "keyed" and not server_host.server.has_keys:
                return False
        return True

    async def stop(self):
        """Stop all servers and kill all processes."""
        for server_host in self.server_hosts:
            if server_host.task:
                await self.crash_server(server_host)
        for machine in [
            *self.control_hosts,
            *(server_host.machine for server_host in self.server_hosts),
        ]:
            if machine.process:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                await machine.terminate()
        self._reserved_ports.release()

    # Callers and operators

    async def send_request(
        self, client, server_host, name, id, key, body, path_suffix="x"
    ):
        """Send a request to a host; return the status and the body of the answer."""
        request = self.make_request(name, id, key, body, path_suffix)
        address = server_host.machine.address("outbound")
        async with await client.open(address) as exchange:
            exchange.send(request.method, request.target, request.headers, body)
            answer = await exchange.answer()
            data, _ = await answer.body.read_up_to(1 << 24)
            self.on_answer(id, answer.headers)
            return answer.status, data

    def make_request(self, name, id, key, body, path_suffix="x"):
        """Return a request for a route, with the headers that callers send."""
        _, service, method = ROUTES[name]
        headers = [
            (b"Host", ROUTE_HOST),
            (b"Request-Id", id),
            (b"Deadline-Ms", b"2000"),
        ]
        if service == "keyed":
            headers.append((b"Shard-Key", b"%d" % key))
        return PipelinedRequest(
            method=method,
            target=f"/{name}/{path_suffix}".encode(),
            headers=tuple(headers),
            body=body,
        )

    async def send_change(self, machine, body, base_version, *, method=b"PUT"):
        """Send a configuration change; return status (0 without an answer) and body."""
        address = machine.address("control")
        headers = [(b"If-Match", f"{base_version:08x}".encode())]
        return await call(address, method, b"/api/config", body, headers)

    async def set_evacuation(self, machine, zone, *, active):
        """Begin or end the evacuation of a zone; return the status of the answer."""
        method = b"POST" if active else b"DELETE"
        path = f"/api/evacuation/{zone}".encode()
        status, _ = await call(machine.address("control"), method, path)
        return status

    async def read_config(self, machine):
        """Read the configuration; return status (0 without an answer) and body."""
        return await call(machine.address("control"), b"GET", b"/api/config")

    # Faults

    def is_fault_free(self, server_hosts, seconds):
        """Return whether the processes had no injected fault for some seconds.

        These are the processes of all control hosts and of `server_hosts`.
        """
        machines = [
            *self.control_hosts,
            *(server_host.machine for server_host in server_hosts),
        ]
        since = asyncio.get_running_loop().time() - seconds
        return not any(
            machine.has_fault or self._last_fault_at.get(machine.name, 0.0) > since
            for machine in machines
        )

    async def crash_under_request(self, server_host, server, seconds, *, silent):
        """Crash a server while it runs a request, and restart it after `seconds`.

        Its connections are cut; with `silent` they stay open but carry
        nothing until the other end gives up.
        """
        if server_host.server is not server or server.is_ending:
            return
        server.is_ending = True
        server.state = "ending"
        if not silent:
            server_host.proxy.cut_open()
        await self.crash_server(server_host)
        await asyncio.sleep(seconds)
        self.start_server(server_host, same_id=True)

    async def inject_fault(self, fault):
        """Inject a fault; return after its end if it ends by itself."""
        if fault.group == "server":
            await self._inject_server_fault(self.server_hosts[fault.target], fault)
            return
        if fault.group == "control":
            machine = self.control_hosts[fault.target]
            if any(other.has_fault for other in self.control_hosts):
                # A group of three tolerates one failed control host at a time.
                return

            async def restart():
                voters = self._count_new_voters()
                await self.start_control(machine)
                if fault.kind == "wipe":
                    await wait_until(lambda: self._has_new_voters(voters))
                await asyncio.sleep(CATCH_UP_SECONDS)
        else:
            server_host = self.server_hosts[fault.target]
            machine = server_host.machine

            async def restart():
                await self.start_host(server_host)

            self.on_host_fault(server_host)
            await self._inject_process_fault(machine, fault, restart)
            self.on_host_fault(server_host)
            return
        await self._inject_process_fault(machine, fault, restart)

    def _count_new_voters(self):
        return sum(
            machine.log().count(NEW_VOTER_LOG_TEXT) for machine in self.control_hosts
        )

    async def _has_new_voters(self, before):
        return self._count_new_voters() > before

    async def _inject_process_fault(self, machine, fault, restart):
        if machine.process.returncode is not None or machine.has_fault:
            return
        machine.has_fault = True
        try:
            if fault.kind == "freeze":
                machine.process.send_signal(signal.SIGSTOP)
                try:
                    await asyncio.sleep(fault.seconds)
                finally:
                    machine.process.send_signal(signal.SIGCONT)
                return
            signal_number = signal.SIGTERM if fault.kind == "stop" else signal.SIGKILL
            machine.is_ending = True
            await machine.terminate(signal_number)
            if fault.kind == "wipe":
                shutil.rmtree(self.folder / machine.name)
            await asyncio.sleep(fault.seconds)
            await restart()
        finally:
            machine.has_fault = machine.is_ending = False
            self._last_fault_at[machine.name] = asyncio.get_running_loop().time()

    async def _inject_server_fault(self, server_host, fault):
        server, proxy = server_host.server, server_host.proxy
        if proxy is None or server_host.machine.has_fault:
            return
        if fault.kind == "cut":
            proxy.cut_open()
        elif fault.kind == "silence":
            proxy.silence()
        elif fault.kind == "slow":
            proxy.delay = SLOW_CHUNK_DELAY_SECONDS
            await asyncio.sleep(fault.seconds)
            proxy.delay = 0.0
        elif not server_host.task.done() and not server.is_ending:
            await self._end_server(server_host, fault, server)

    async def _end_server(self, server_host, fault, server):
        server.is_ending = True
        server.state = "ending"
        server.server.leaving = self.states_departures and fault.kind != "crash"
        if fault.kind == "drain":
            server.state = "draining"
            await asyncio.sleep(SERVE_AFTER_LEAVE_SECONDS + fault.seconds)
        if fault.kind != "crash":
            await server.send_departure()
        if fault.kind == "leave":
            await asyncio.sleep(SERVE_AFTER_LEAVE_SECONDS)
        await self.crash_server(server_host)
        await asyncio.sleep(fault.seconds)
        self.start_server(server_host, same_id=fault.kind == "crash")
