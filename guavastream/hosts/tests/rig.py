"""Test rig: simulated hosts and backend servers in one loop with a fake clock."""

import asyncio
import random
import warnings
from collections import Counter
from dataclasses import dataclass, field

from guavastream.control.tests.test_fleet import ControlCluster
from guavastream.emulator import (
    DialectServer,
    FakeNetwork,
    FakePeers,
    StatementCheck,
    run_paused,
)
from guavastream.exception import GuavastreamError
from guavastream.fleet import (
    ChangeRoutes,
    Heartbeat,
    SetEvacuation,
    SetEvacuationResult,
    subtract_range,
)
from guavastream.hosts import FleetSettings
from guavastream.hosts.server_host import ServerHost
from guavastream.http1 import BodyRest, Client, IncompleteMessage, NotSent
from guavastream.relay import Dialect, fingerprint
from guavastream.routes import RetrySafety, Route, ServiceRules, WeightedService

__all__ = [
    "Caller",
    "DIALECT",
    "Fleet",
    "SimulatedHost",
    "RecurringRequest",
    "run_fleet",
]

DIALECT = Dialect(seal=b"Guavastream-Seal")
HEARTBEAT_SECONDS = 0.87
# Time after which a crashed server starts again.
RESTART_SECONDS = 2.0
# Time that it takes to make a connection, or to have it refused.
CONNECT_DELAY_SECONDS = 0.001
# Time after which a harmful request crashes the server that runs it.
CRASH_DELAY_SECONDS = 0.03
OUTBOUND_PORT, INBOUND_PORT, SERVER_PORT, PEER_PORT = 1, 2, 3, 4
TIMEOUT = 1.2


def make_route(name, service, repeat):
    """Return a route to a service for the paths under its name."""
    return Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        retry_safety=repeat,
        timeout=TIMEOUT,
        target=0.3,
        priority=1,
        attempts=2,
        weighted_services=(WeightedService(service=service),),
    )


def make_config(cold_rate):
    """Return the first configuration."""
    return ChangeRoutes(
        base=0,
        version=1,
        digest=b"first",
        whole=True,
        routes=(
            make_route("page", "pages", RetrySafety.SAFE),
            make_route("order", "orders", RetrySafety.UNSAFE),
            make_route("look", "orders", RetrySafety.SAFE),
            make_route("load", "orders", RetrySafety.UPLOAD),
        ),
        services=(
            ServiceRules(name="pages", keyed=True, cold_rate=cold_rate),
            ServiceRules(name="orders", keyed=False, cold_rate=cold_rate),
        ),
    )


@dataclass(kw_only=True)
class RecurringRequest:
    """A request that is sent repeatedly under new request ids."""

    target: bytes
    method: bytes = b"GET"
    key: int | None = None
    body: bytes = b""
    harmful: bool = False
    # Choices of how many bytes of the body the first chunk has; None stands for a
    # body with Content-Length.
    chunks: tuple = (None,)
    # Times at which servers began to run it; times and ids of crashed incarnations.
    run_times: list = field(default_factory=list)
    crashes: list = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)


class SimulatedHost:
    """A host: its guavastream process, and incarnations of its backend server."""

    def __init__(self, fleet, number, service, zone):
        self.ip = f"10.1.0.{number}"
        self.service = service
        self.zone = zone
        self.process = None
        self.server = None
        self.version = "v1"
        self.incarnations = 0
        self.service_seconds = 0.05
        # Time that the host was suspended, which the loop's clock does not count.
        self.suspended_seconds = 0.0
        # Whether the heartbeats of a server that leaves say so, as its answers do.
        self.announces_departure = True
        self._fleet = fleet
        self._rows = ()
        self._until = 0.0
        self._heartbeat_task = None

    @property
    def outbound(self):
        """IP:PORT to which callers send requests."""
        return f"{self.ip}:{OUTBOUND_PORT}"

    @property
    def peer(self):
        """IP:PORT for messages from other processes."""
        return f"{self.ip}:{PEER_PORT}"

    async def start_process(self, *, started_at=None):
        """Start the process beside the server, without any state.

        `started_at` is the time at which it began to import its modules.
        """
        settings = FleetSettings(
            host=self.ip,
            zone=self.zone,
            service=self.service,
            outbound=self.outbound,
            inbound=f"{self.ip}:{INBOUND_PORT}",
            peer=self.peer,
            seeds=self._fleet.cluster.seeds,
            heartbeat=HEARTBEAT_SECONDS,
            config_apply=self._fleet.config_apply,
        )
        self.process = ServerHost(
            settings=settings,
            dialect=DIALECT,
            key_dialect=None,
            network=FakePeers(network=self._fleet.network, address=self.peer),
            clock=lambda: self._fleet.now() + self.suspended_seconds,
            started_at=started_at,
        )
        await self.process.start()

    async def kill_process(self):
        """End the process without draining."""
        process, self.process = self.process, None
        self._fleet.statements.note_fault(self.ip)
        await process.stop()

    async def start_server(self, *, port=SERVER_PORT, cold=0.0):
        """Start a new incarnation of the server, which is cold for `cold` seconds."""
        self.incarnations += 1
        self._rows = ()
        server = DialectServer(
            id=self.ip,
            dialect=DIALECT,
            address=(self.ip, port),
            seconds=self.service_seconds,
        )
        if self.service == "pages":
            server.holds = self._holds
        server.on_run = lambda entry, key: self._fleet.note_run(self, server, entry)
        server.on_arrival = lambda id: self._fleet.statements.note_arrival(id, server)
        server.cold_until = asyncio.get_running_loop().time() + cold
        self.server = server
        await server.start()
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats(server))

    async def crash_server(self):
        """Stop the server abruptly, if it runs."""
        server = self.stop_heartbeats()
        if server is not None:
            await server.stop()

    def stop_heartbeats(self):
        """Stop the heartbeats of the server, and return the server."""
        server, self.server = self.server, None
        if server is not None:
            self._heartbeat_task.cancel()
        return server

    def _holds(self, key):
        now = asyncio.get_running_loop().time()
        return now < self._until and any(a <= key <= b for a, b, *_ in self._rows)

    async def _send_heartbeats(self, server):
        loop = asyncio.get_running_loop()
        released = ()
        for seq in range(1, 10**6):
            sent = loop.time()
            heartbeat = Heartbeat(
                id=f"{server.id}~{self.incarnations}",
                service=self.service,
                host=self.ip,
                door=f"{self.ip}:{INBOUND_PORT}",
                address=server.address,
                zone=self.zone,
                slots=server.slots,
                leaving=server.leaving and self.announces_departure,
                cold_seconds=server.cold_seconds,
                seq=seq,
                holds=tuple(row[:3] for row in self._rows),
                released=released,
                name=server.id,
                born=self.incarnations,
                version=self.version,
            )
            try:
                answer = await self.process.beat(heartbeat)
            except (GuavastreamError, AttributeError):
                # The process was killed (`process` is None), or no leader answers.
                answer = None
            pause = HEARTBEAT_SECONDS
            if answer is not None and answer.rows is not None:
                gone = [row[:2] for row in self._rows]
                for row in answer.rows:
                    gone = subtract_range(gone, row)
                released = tuple((*row, f"h{seq}") for row in gone)
                self._rows, self._until = answer.rows, sent + answer.hold
                pause = 0.1 if gone else HEARTBEAT_SECONDS
            await asyncio.sleep(pause)


class _BodyChunks:
    """Streams the chunks of a body."""

    def __init__(self, chunks):
        self._chunks = iter(chunks)

    async def read(self):
        return next(self._chunks)


class Caller:
    """Sends requests, each under a new request id."""

    def __init__(self, statements):
        self._statements = statements
        self._client = Client()
        self._numbers = iter(range(1, 10**9))

    async def ask(
        self,
        host,
        method,
        target,
        *,
        key=None,
        body=b"",
        seconds=TIMEOUT,
        chunks=None,
        parent=b"",
    ):
        """Send one request; return its status (0 if it was cut) and headers.

        With `chunks` the body is sent in chunks, of which the first has this size.
        With `parent`, the id of a request, it is a call of the server that runs that.
        """
        id = b"%s-%d" % (target[1:4], next(self._numbers))
        if parent:
            id = parent + DIALECT.call_separator + id
        self._statements.note_sent(id, host.ip)
        fields = [
            (b"Host", b"a.example"),
            (DIALECT.request_id, id),
            (DIALECT.deadline_ms, b"%d" % (seconds * 1000)),
        ]
        if key is not None:
            fields.append((DIALECT.key, b"%d" % key))
        try:
            async with asyncio.timeout(seconds + 0.2):
                async with await self._client.open(host.outbound) as exchange:
                    if chunks is None:
                        exchange.send(method, target, fields, body)
                    else:
                        remaining = _BodyChunks([body[chunks:], b""])
                        rest = BodyRest(stream=remaining, length=None)
                        exchange.send(method, target, fields, body[:chunks], rest)
                    answer = await exchange.answer()
                    await answer.body.read_up_to(1 << 20)
        except (NotSent, IncompleteMessage, TimeoutError):
            return 0, {}
        self._statements.note_answer(
            id,
            limited=bool(answer.headers.get(DIALECT.rate_limit.lower())),
            leaving=bool(answer.headers.get(DIALECT.leaving.lower())),
        )
        return answer.status, answer.headers


class Fleet:
    """Control hosts, hosts with servers, callers, and recurring requests."""

    def __init__(
        self,
        folder,
        *,
        pages=6,
        orders=4,
        seed=1,
        zones=("a",),
        cold_rate=0.0,
        config_apply=2.0,
    ):
        self.config_apply = config_apply
        self.rng = random.Random(seed)
        self.network = FakeNetwork(seed=seed)
        self.cluster = ControlCluster(folder, self.network)
        names = ["pages"] * pages + ["orders"] * orders
        self._cold_rate = cold_rate
        self.hosts = [
            SimulatedHost(self, n, service, zones[n % len(zones)])
            for n, service in enumerate(names, 1)
        ]
        self.statements = StatementCheck(clock=self.now)
        self.caller = Caller(self.statements)
        self.recurring_requests = []
        self.answers = Counter()
        self._tasks = set()

    def now(self):
        """Return the time of the loop's clock, seconds."""
        return asyncio.get_running_loop().time()

    async def start(self):
        """Start everything and wait until all keys have owners."""
        self.cluster.start_all()
        await self.cluster.wait_for_voters()
        await self.cluster.change(make_config(self._cold_rate))
        for host in self.hosts:
            await host.start_process()
            await host.start_server()
        await asyncio.sleep(6.0)

    @property
    def suspects(self):
        """The suspect requests in the fleet state of the leader."""
        return self.leader_state.suspects

    def is_refused(self, request):
        """Whether a request is refused according to the leader."""
        request_fingerprint = fingerprint(
            request.method, [(b"Host", b"a.example")], request.target, request.body
        )
        suspect = self.suspects.get(request_fingerprint)
        return suspect is not None and suspect.refused

    async def kill_all(self):
        """Kill all guavastream processes, and start them again a second later."""
        for host in self.hosts:
            await host.kill_process()
        for address in list(self.cluster.rafts):
            self.cluster.kill(address)
        await asyncio.sleep(1.0)
        for address in self.cluster.addresses:
            self.cluster.start(address, first=False)
        for host in self.hosts:
            await host.start_process()

    def cut_from_control(self, host):
        """Cut a host off from control hosts, and from hosts that relay calls."""
        peers = [other.peer for other in self.hosts]
        self.network.isolate(host.peer, [*self.cluster.addresses, *peers])

    async def set_evacuation(self, zone, *, active):
        """Evacuate a zone, or end that; return once that is acknowledged."""
        order = SetEvacuation(zone=zone, active=active)
        client = self.cluster.client()
        await client.submit(order, timeout=2.0, result=SetEvacuationResult)

    @property
    def leader_state(self):
        """The fleet state of the leading control host."""
        return self.cluster.rafts[self.cluster.leader()]._machine.table

    def host_of(self, instance):
        """Return the host of an instance of the fleet state."""
        return next(host for host in self.hosts if host.ip == instance.host)

    # Requests

    def note_run(self, host, server, entry):
        """Record that a server runs a request; crash it later if that is harmful."""
        for request in self.recurring_requests:
            if request.target == entry[2] and request.body == entry[3]:
                request.run_times.append(self.now())
                if request.harmful:
                    self.spawn(self._crash_later(host, server, request))

    async def _crash_later(self, host, server, request):
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        if host.server is not server:
            return
        request.crashes.append((self.now(), f"{server.id}~{host.incarnations}"))
        await host.crash_server()
        await asyncio.sleep(RESTART_SECONDS)
        await host.start_server()

    def send_repeatedly(self, request, *, pause):
        """Send a request to a random host every `pause` seconds."""
        self.recurring_requests.append(request)
        self.spawn(self._repeat(request, pause))

    async def _repeat(self, request, pause):
        while True:
            self.spawn(self.send(request))
            await asyncio.sleep(pause)

    async def send(self, request, *, host=None):
        """Send a recurring request once; return its status and headers."""
        host = host or self.rng.choice(self.hosts)
        status, headers = await self.caller.ask(
            host,
            request.method,
            request.target,
            key=request.key,
            body=request.body,
            chunks=self.rng.choice(request.chunks),
        )
        request.answers[status] += 1
        return status, headers

    def load(self, rate):
        """Send requests for pages and orders, `rate` per second of each."""
        for name, method in (("page", b"GET"), ("order", b"POST")):
            self.spawn(self._load(name, method, rate))

    async def _load(self, name, method, rate):
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            number += 1
            self.spawn(self._send_once(name, method, number))

    async def _send_once(self, name, method, number):
        host = self.rng.choice(self.hosts)
        key = self.rng.randrange(65536) if name == "page" else None
        target = b"/%s/%d" % (name.encode(), number)
        status, _ = await self.caller.ask(host, method, target, key=key)
        self.answers[name, status] += 1

    def success_share(self, name):
        """Return the share of requests of a kind that were answered with 200."""
        asked = sum(n for (kind, _), n in self.answers.items() if kind == name)
        return self.answers[name, 200] / max(1, asked)

    def spawn(self, coroutine):
        """Run a coroutine as a task until it ends or the test stops."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task):
        self._tasks.discard(task)
        if not task.cancelled():
            task.result()

    async def stop(self):
        """Stop everything that is running."""
        for task in list(self._tasks):
            task.cancel()
        for host in self.hosts:
            await host.crash_server()
            if host.process is not None:
                await host.kill_process()
        for address in list(self.cluster.rafts):
            self.cluster.kill(address)


def _delay_connections(loop):
    connect = loop.create_connection

    async def create_connection(*args, **kwargs):
        await asyncio.sleep(CONNECT_DELAY_SECONDS)
        return await connect(*args, **kwargs)

    loop.create_connection = create_connection


def run_fleet(folder, scenario, **kwargs):
    """Run a scenario, a coroutine function, with a started `Fleet`; return that."""

    async def main():
        _delay_connections(asyncio.get_running_loop())
        fleet = Fleet(folder, **kwargs)
        await fleet.start()
        await scenario(fleet)
        await fleet.stop()
        return fleet

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        return run_paused(main())
