"""Whole hosts with servers beside them, in one loop on a paused clock."""

import asyncio
import random
import warnings
from collections import Counter
from dataclasses import dataclass, field

from guavastream.control.tests.test_fleet import ControlCluster
from guavastream.emulator import DialectServer, FakeNetwork, FakePeers, run_paused
from guavastream.exception import GuavastreamError
from guavastream.fleet import ChangeRoutes, Heartbeat
from guavastream.hosts import FleetSettings
from guavastream.hosts.server_host import ServerHost
from guavastream.http1 import Client, CutOff, NotSent
from guavastream.relay import Dialect, fingerprint
from guavastream.routes import RetrySafety, Route, ServiceRules, WeightedService

__all__ = ["Caller", "DIALECT", "Fleet", "Place", "Recurring", "play_fleet"]

DIALECT = Dialect(seal=b"Guavastream-Seal")
HEARTBEAT = 0.87
# A server that has ended is back after this, seconds.
DOWN_SECONDS = 2.0
# A new connection takes as long, also one that is refused, seconds.
CONNECT_SECONDS = 0.001
# A request that ends its server does so after this, seconds.
HARM_SECONDS = 0.03
OUTBOUND, INBOUND, SERVER, PEER = 1, 2, 3, 4
TIMEOUT = 1.2


def make_route(name, service, repeat):
    """Return a route for the paths under its name."""
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


CONFIG = ChangeRoutes(
    base=0,
    version=1,
    digest=b"first",
    whole=True,
    routes=(
        make_route("page", "pages", RetrySafety.SAFE),
        make_route("order", "orders", RetrySafety.UNSAFE),
        make_route("load", "orders", RetrySafety.UPLOAD),
    ),
    services=(
        ServiceRules(name="pages", keyed=True),
        ServiceRules(name="orders", keyed=False),
    ),
)


@dataclass(kw_only=True)
class Recurring:
    """A request that comes again and again under new ids."""

    target: bytes
    method: bytes = b"GET"
    key: int | None = None
    body: bytes = b""
    harmful: bool = False
    # Bytes before its chunks, one of these; None is a body of known length.
    chunks: tuple = (None,)
    # When servers began to run it, and which lives ended under it.
    begun: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    answers: Counter = field(default_factory=Counter)


class Place:
    """A host: its process, and the lives of the server beside it."""

    def __init__(self, fleet, number, service):
        self.ip = f"10.1.0.{number}"
        self.service = service
        self.host = None
        self.server = None
        self.version = "v1"
        self.lives = 0
        self.seconds = 0.05
        self._fleet = fleet
        self._rows = ()
        self._until = 0.0
        self._beating = None

    @property
    def outbound(self):
        """Where callers send requests."""
        return f"{self.ip}:{OUTBOUND}"

    @property
    def peer(self):
        """Where other processes call its process."""
        return f"{self.ip}:{PEER}"

    async def start_process(self):
        """Start the process beside the server, which knows nothing yet."""
        settings = FleetSettings(
            host=self.ip,
            zone="a",
            service=self.service,
            outbound=self.outbound,
            inbound=f"{self.ip}:{INBOUND}",
            peer=self.peer,
            seeds=self._fleet.core.seeds,
            heartbeat=HEARTBEAT,
        )
        self.host = ServerHost(
            settings=settings,
            dialect=DIALECT,
            key_dialect=None,
            network=FakePeers(network=self._fleet.network, address=self.peer),
            clock=asyncio.get_running_loop().time,
        )
        await self.host.start()

    async def kill_process(self):
        """End the process as a kill does."""
        host, self.host = self.host, None
        await host.stop()

    async def start_server(self, *, port=SERVER):
        """Begin a new life of the server."""
        self.lives += 1
        self._rows = ()
        server = DialectServer(
            id=self.ip,
            dialect=DIALECT,
            address=(self.ip, port),
            seconds=self.seconds,
        )
        if self.service == "pages":
            server.holds = self._holds
        server.on_run = lambda entry, key: self._fleet.note_run(self, server, entry)
        self.server = server
        await server.start()
        self._beating = asyncio.ensure_future(self._beat(server))

    async def crash_server(self):
        """End the server's life as a crash does."""
        server = self.silence_server()
        if server is not None:
            await server.stop()

    def silence_server(self):
        """Let the server send no heartbeats any more; return it."""
        server, self.server = self.server, None
        if server is not None:
            self._beating.cancel()
        return server

    def _holds(self, key):
        now = asyncio.get_running_loop().time()
        return now < self._until and any(a <= key <= b for a, b, *_ in self._rows)

    async def _beat(self, server):
        loop = asyncio.get_running_loop()
        released = ()
        for seq in range(1, 10**6):
            sent = loop.time()
            beat = Heartbeat(
                id=f"{server.id}~{self.lives}",
                service=self.service,
                host=self.ip,
                door=f"{self.ip}:{INBOUND}",
                address=server.address,
                zone="a",
                slots=server.slots,
                leaving=False,
                cold_seconds=0.0,
                seq=seq,
                holds=tuple(row[:3] for row in self._rows),
                released=released,
                name=server.id,
                born=self.lives,
                version=self.version,
            )
            try:
                answer = await self.host.beat(beat)
            except (GuavastreamError, AttributeError):
                # The process was killed, or no control host answers.
                answer = None
            pause = HEARTBEAT
            if answer is not None and answer.rows is not None:
                kept = [row[:3] for row in answer.rows]
                gone = [row for row in self._rows if tuple(row[:3]) not in kept]
                released = tuple((a, b, f"h{seq}") for a, b, *_ in gone)
                self._rows, self._until = answer.rows, sent + answer.hold
                pause = 0.1 if gone else HEARTBEAT
            await asyncio.sleep(pause)


class _Pieces:
    """Pieces of a body, one after the other."""

    def __init__(self, pieces):
        self._pieces = iter(pieces)

    async def read(self):
        return next(self._pieces)


class Caller:
    """Sends requests under new ids."""

    def __init__(self):
        self._client = Client()
        self._numbers = iter(range(1, 10**9))

    async def ask(
        self, place, method, target, *, key=None, body=b"", seconds=TIMEOUT, chunks=None
    ):
        """Return the status of one request and its headers; 0 if it was cut.

        With `chunks` the body comes in chunks, after this many bytes of it.
        """
        fields = [
            (b"Host", b"a.example"),
            (DIALECT.request_id, b"%s-%d" % (target[1:4], next(self._numbers))),
            (DIALECT.deadline_ms, b"%d" % (seconds * 1000)),
        ]
        if key is not None:
            fields.append((DIALECT.key, b"%d" % key))
        try:
            async with asyncio.timeout(seconds + 0.2):
                async with await self._client.open(place.outbound) as exchange:
                    if chunks is None:
                        exchange.send(method, target, fields, body)
                    else:
                        rest = _Pieces([body[chunks:], b""])
                        exchange.send(method, target, fields, body[:chunks], rest)
                    answer = await exchange.answer()
                    await answer.body.read_up_to(1 << 20)
        except (NotSent, CutOff, TimeoutError):
            return 0, {}
        return answer.status, answer.headers


class Fleet:
    """Control hosts, hosts and servers, callers and requests that recur."""

    def __init__(self, folder, *, pages=6, orders=4, seed=1):
        self.rng = random.Random(seed)
        self.network = FakeNetwork(seed=seed)
        self.core = ControlCluster(folder, self.network)
        names = ["pages"] * pages + ["orders"] * orders
        self.places = [Place(self, n, service) for n, service in enumerate(names, 1)]
        self.caller = Caller()
        self.recurring = []
        self.answers = Counter()
        self._tasks = set()

    def now(self):
        """Return the clock's time, seconds."""
        return asyncio.get_running_loop().time()

    async def start(self):
        """Start everything and wait until all keys have owners."""
        self.core.start_all()
        await self.core.wait_for_voters()
        await self.core.change(CONFIG)
        for place in self.places:
            await place.start_process()
            await place.start_server()
        await asyncio.sleep(6.0)

    @property
    def suspects(self):
        """The suspect requests, as the leader knows them."""
        return self.core.rafts[self.core.leader()]._machine.table.suspects

    def is_refused(self, request):
        """Whether the leader knows that a request is refused."""
        print = fingerprint(
            request.method, [(b"Host", b"a.example")], request.target, request.body
        )
        suspect = self.suspects.get(print)
        return suspect is not None and suspect.refused

    async def kill_all(self):
        """Kill all processes, and start them again a second later."""
        for place in self.places:
            await place.kill_process()
        for address in list(self.core.rafts):
            self.core.kill(address)
        await asyncio.sleep(1.0)
        for address in self.core.addresses:
            self.core.start(address, first=False)
        for place in self.places:
            await place.start_process()

    def place_of(self, instance):
        """Return the place of an instance of the book."""
        return next(place for place in self.places if place.ip == instance.host)

    # Requests

    def note_run(self, place, server, entry):
        """Note that a server begins to run a request; harm it if it is harmful."""
        for request in self.recurring:
            if request.target == entry[2] and request.body == entry[3]:
                request.begun.append(self.now())
                if request.harmful:
                    self.spawn(self._harm(place, server, request))

    async def _harm(self, place, server, request):
        await asyncio.sleep(HARM_SECONDS)
        if place.server is not server:
            return
        request.ended.append((self.now(), f"{server.id}~{place.lives}"))
        await place.crash_server()
        await asyncio.sleep(DOWN_SECONDS)
        await place.start_server()

    def send_again_and_again(self, request, *, pause):
        """Let a request come at any host each `pause` seconds."""
        self.recurring.append(request)
        self.spawn(self._recur(request, pause))

    async def _recur(self, request, pause):
        while True:
            self.spawn(self.send(request))
            await asyncio.sleep(pause)

    async def send(self, request, *, place=None):
        """Send a recurring request once; return its status and headers."""
        place = place or self.rng.choice(self.places)
        status, headers = await self.caller.ask(
            place,
            request.method,
            request.target,
            key=request.key,
            body=request.body,
            chunks=self.rng.choice(request.chunks),
        )
        request.answers[status] += 1
        return status, headers

    def load(self, rate):
        """Let callers ask for pages and orders, `rate` a second of each."""
        for name, method in (("page", b"GET"), ("order", b"POST")):
            self.spawn(self._load(name, method, rate))

    async def _load(self, name, method, rate):
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            number += 1
            self.spawn(self._ask_once(name, method, number))

    async def _ask_once(self, name, method, number):
        place = self.rng.choice(self.places)
        key = self.rng.randrange(65536) if name == "page" else None
        target = b"/%s/%d" % (name.encode(), number)
        status, _ = await self.caller.ask(place, method, target, key=key)
        self.answers[name, status] += 1

    def served(self, name):
        """Return the share of a kind of load that was answered with success."""
        asked = sum(n for (kind, _), n in self.answers.items() if kind == name)
        return self.answers[name, 200] / max(1, asked)

    def spawn(self, coroutine):
        """Run a coroutine until the play ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task):
        self._tasks.discard(task)
        if not task.cancelled():
            task.result()

    async def stop(self):
        """End all that runs."""
        for task in list(self._tasks):
            task.cancel()
        for place in self.places:
            await place.crash_server()
            if place.host is not None:
                await place.kill_process()
        for address in list(self.core.rafts):
            self.core.kill(address)


def _slow_connections(loop):
    connect = loop.create_connection

    async def create_connection(*args, **kwargs):
        await asyncio.sleep(CONNECT_SECONDS)
        return await connect(*args, **kwargs)

    loop.create_connection = create_connection


def play_fleet(folder, scenario, **kwargs):
    """Run a coroutine function of a started `Fleet`; return the fleet."""

    async def main():
        _slow_connections(asyncio.get_running_loop())
        fleet = Fleet(folder, **kwargs)
        await fleet.start()
        await scenario(fleet)
        await fleet.stop()
        return fleet

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        return run_paused(main())
