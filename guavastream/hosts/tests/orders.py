"""Backend servers that take orders about keys, on a late and lossy path."""

import asyncio
import random
from dataclasses import dataclass, field

from guavastream.control.tests.test_fleet import FIRST_CHANGE, ControlCluster
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError
from guavastream.fleet import FleetStateCodec, Heartbeat, LoadReport, ReportEnd
from guavastream.hosts.key_keeper import KeyKeeper
from guavastream.http1 import CutOff, NotSent
from guavastream.leases import HoldTiming
from guavastream.leases.messages import Watch
from guavastream.relay import KeyOutcome, KeyResult
from guavastream.replica import TableHolder
from guavastream.routes import Granting, ServiceRules

# One key in so many is watched; a prime, so that rows of any size have some.
STEP = 997
KEYS_SEEN = range(0, 65536, STEP)
# What an order that gets no answer may still do, this much later.
LATE_SECONDS = (0.05, 12.0)
# Clocks of servers may run this much slow.
SLOW_CLOCK = 1.02
HEARTBEAT = 0.87
HOLDS = HoldTiming(hold=2.8, initial_wait=0.5)
CALLED = FIRST_CHANGE.__class__(
    base=0,
    version=1,
    digest=b"called",
    whole=True,
    routes=FIRST_CHANGE.routes,
    services=(ServiceRules(name="s", keyed=True, granting=Granting.CALL),),
)


@dataclass
class Fate:
    """Chances of what becomes of an order on its way."""

    late: float = 0.0
    lost: float = 0.0
    unanswered: float = 0.0


@dataclass
class OrderedServer:
    """What one life of a backend server was granted, on its own clock."""

    id: str
    fences: dict
    work: float = 0.0
    held: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)
    dead: bool = False

    def holds(self, key):
        """Whether it holds a key now."""
        until, _ = self.held.get(key, (0.0, 0))
        return not self.dead and asyncio.get_running_loop().time() < until

    def grant(self, call, arrived):
        """Apply a grant; return whether its fence is high enough."""
        until = arrived + call.hold * SLOW_CLOCK
        if self.dead or asyncio.get_running_loop().time() >= until:
            return True
        keys = [key for key in KEYS_SEEN if call.first <= key <= call.last]
        if any(self.seen.get(key, 0) > call.fence for key in keys):
            return False
        for key in keys:
            owner, fence = self.fences.get(key, ("", 0))
            if owner != self.id:
                assert call.fence > fence, f"fence {call.fence} for {key} is not new"
                self.fences[key] = (self.id, call.fence)
            self.seen[key] = call.fence
            self.held[key] = (max(until, self.held.get(key, (0.0, 0))[0]), call.fence)
        return True

    def release(self, call):
        """Stop work on keys."""
        for key in KEYS_SEEN:
            if call.first <= key <= call.last:
                self.held.pop(key, None)


class OrderPath:
    """Carries a process's orders to the server beside it."""

    def __init__(self, *, servers, rng, fate, late):
        self._servers = servers
        self._rng = rng
        self._fate = fate
        self._late_seconds = late
        # Servers that take orders and never answer.
        self.dark = set()
        self._late = set()
        self.failed = None

    async def send(self, instance, call):
        server = self._servers[instance.id]
        if server.dead:
            raise NotSent("nobody listens", refused=True)
        if instance.id in self.dark:
            await asyncio.sleep(60.0)
        if self._rng.random() < self._fate.lost:
            raise CutOff("lost on the way")
        await asyncio.sleep(self._rng.uniform(0.0005, 0.01))
        arrived = asyncio.get_running_loop().time()
        if call.hold and self._rng.random() < self._fate.late:
            task = asyncio.ensure_future(self._apply_late(server, call, arrived))
            self._late.add(task)
            task.add_done_callback(self._note_applied)
            await asyncio.sleep(60.0)
        if call.hold:
            accepted = server.grant(call, arrived)
        else:
            accepted = True
            server.release(call)
            await asyncio.sleep(server.work)
        if self._rng.random() < self._fate.unanswered:
            raise CutOff("answer lost")
        if not accepted:
            return KeyResult(outcome=KeyOutcome.FENCED)
        return KeyResult(outcome=KeyOutcome.DONE, handover="" if call.hold else "h")

    def _note_applied(self, task):
        self._late.discard(task)
        if not task.cancelled() and task.exception():
            self.failed = task.exception()

    async def _apply_late(self, server, call, arrived):
        await asyncio.sleep(self._rng.uniform(*self._late_seconds))
        server.grant(call, arrived)


class Place:
    """A host with the process beside a server, and the server's lives."""

    def __init__(self, number, fleet):
        self.name = f"10.9.0.{number}:1"
        self.door = f"door-{number}"
        self.fleet = fleet
        self.lives = 0
        self.server = None
        self.leaving = False
        self.keeper = None
        self._tasks = []
        self.beating = None

    def start_server(self):
        """Begin a new life of the server."""
        self.lives += 1
        id = f"{self.door}-{self.lives}"
        self.server = OrderedServer(id=id, fences=self.fleet.fences)
        self.leaving = False
        self.fleet.lives[id] = self.server
        self.beating = asyncio.ensure_future(self._beat(id))

    def crash_server(self):
        """End the server's life."""
        self.beating.cancel()
        self.server.dead = True

    def start_process(self):
        """Start the process beside the server, which knows nothing yet."""
        control = self.fleet.core.client(self.name)
        books = TableHolder(codec=FleetStateCodec())
        self.keeper = KeyKeeper(
            control=control,
            sender=self.fleet.path,
            granting=Granting.HEARTBEAT,
            longest=10.0,
            door=self.door,
            count=lambda name: None,
            on_refused=self._note_refused,
            rng=self.fleet.rng,
            clock=asyncio.get_running_loop().time,
        )
        self._tasks = [asyncio.ensure_future(self._watch(control, books))]
        self._ended = set()

    async def kill_process(self):
        """Kill the process; orders that are on their way get no answer."""
        for task in self._tasks:
            task.cancel()
        await self.keeper.stop()

    async def _watch(self, control, books):
        turn = 0
        while True:
            request = Watch(index=books.table.index, wait=0.6)
            try:
                answer = await control.call_any(turn, request, timeout=1.0)
            except GuavastreamError:
                turn += 1
                await asyncio.sleep(0.05)
                continue
            books.apply_update(answer.table, answer.commands)
            self.keeper.follow(books.table)

    def _note_refused(self, instance):
        if instance.id not in self._ended:
            self._ended.add(instance.id)
            self._tasks.append(asyncio.ensure_future(self._depart(instance.id)))

    async def _depart(self, id):
        try:
            client = self.fleet.core.client(self.name)
            await client.call(
                ReportEnd(id=id, service="s", host=self.name), timeout=0.8
            )
        except GuavastreamError:
            self._ended.discard(id)

    async def _beat(self, id):
        client = self.fleet.core.client(self.name)
        for seq in range(1, 10**6):
            beat = Heartbeat(
                id=id,
                service="s",
                host=self.name,
                door=self.door,
                address=f"server-{self.door}",
                zone="z",
                slots=8,
                leaving=self.leaving,
                cold_seconds=0.0,
                seq=seq,
            )
            try:
                await client.call(beat, timeout=0.85)
            except GuavastreamError:
                pass
            await asyncio.sleep(HEARTBEAT)


class OrderedFleet:
    """Places at a core, watched for two holders of one key."""

    def __init__(self, core, *, count, seed, fate, late):
        self.core = core
        self.fences = {}
        self.lives = {}
        self.rng = random.Random(seed)
        self.fate = fate or Fate()
        self.path = OrderPath(
            servers=self.lives, rng=self.rng, fate=self.fate, late=late
        )
        self.places = [Place(number, self) for number in range(1, count + 1)]
        self.longest_gap = 0.0
        self._served_at = {}

    def holders(self, key):
        """Return the servers that hold a key now."""
        return [server for server in self.lives.values() if server.holds(key)]

    def is_served(self):
        """Whether each key has a holder."""
        return all(self.holders(key) for key in KEYS_SEEN)

    async def watch(self):
        """Look at all keys again and again until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            for key in KEYS_SEEN:
                holders = self.holders(key)
                assert len(holders) <= 1, (
                    f"{[s.id for s in holders]} hold {key} at {loop.time():.2f}"
                )
                if holders:
                    before = self._served_at.get(key, loop.time())
                    self.longest_gap = max(self.longest_gap, loop.time() - before)
                    self._served_at[key] = loop.time()
            await asyncio.sleep(0.01)

    async def _configure(self):
        while True:
            try:
                return await self.core.change(CALLED)
            except GuavastreamError:
                # A message was lost; the change is the same, and so is its digest.
                continue

    async def run(self, scenario):
        """Start everything, play a scenario, and see that no key was shared."""
        self.core.start_all()
        await self.core.wait_for_voters()
        await self._configure()
        for place in self.places:
            place.start_server()
            place.start_process()
        watch = asyncio.ensure_future(self.watch())
        await self.core.until(self.is_served, seconds=20.0)
        # Processes that have just started take all keys to be in doubt.
        await asyncio.sleep(2.5)
        self.longest_gap = 0.0
        await scenario(self)
        if watch.done():
            watch.result()
        watch.cancel()
        if self.path.failed:
            raise self.path.failed
        for place in self.places:
            await place.kill_process()
            place.crash_server()


def play_orders(
    folder, scenario, *, count=3, seed=0, fate=None, late=LATE_SECONDS, **network
):
    """Play a scenario with servers that take orders; return the fleet.

    `late` are bounds of the time after which a late order is carried out.
    """

    async def main():
        core = ControlCluster(folder, FakeNetwork(seed=seed, **network))
        fleet = OrderedFleet(core, count=count, seed=seed, fate=fate, late=late)
        await fleet.run(scenario)
        return fleet

    return run_paused(main())


class Trouble:
    """Random troubles of a fleet, one after the other, from one seed."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = fleet.rng
        self._kinds = [
            self._load,
            self._load,
            self._crash,
            self._leave,
            self._restart,
            self._cut,
            self._lose_leader,
        ]

    async def strike(self, count):
        """Let so many troubles happen, with short pauses."""
        for _ in range(count):
            await self._rng.choice(self._kinds)()
            await asyncio.sleep(self._rng.uniform(0.05, 1.5))

    async def _load(self):
        """Make some keys busy, so that rows are cut and moved."""
        client = self._fleet.core.client("10.9.9.9:1")
        place = self._rng.choice(self._fleet.places)
        first = self._rng.randrange(0, 60000)
        keys = tuple((first + n, self._rng.randint(5, 60)) for n in range(0, 4000, 200))
        report = LoadReport(
            id=place.server.id, service="s", keys=keys, other_count=20, latency=0.1
        )
        await self._try(client.call(report, timeout=0.5))

    async def _crash(self):
        place = self._rng.choice(self._fleet.places)
        place.crash_server()
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        place.start_server()

    async def _leave(self):
        place = self._rng.choice(self._fleet.places)
        place.leaving = True
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        place.crash_server()
        place.start_server()

    async def _restart(self):
        place = self._rng.choice(self._fleet.places)
        await place.kill_process()
        await asyncio.sleep(self._rng.uniform(0.0, 3.0))
        place.start_process()

    async def _cut(self):
        core = self._fleet.core
        place = self._rng.choice(self._fleet.places)
        core.network.isolate(place.name, core.addresses)
        await asyncio.sleep(self._rng.uniform(0.1, 5.0))
        core.network.heal()

    async def _lose_leader(self):
        core = self._fleet.core
        leader = core.leader()
        if leader is None:
            return
        core.kill(leader)
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        core.start(leader, first=False)

    @staticmethod
    async def _try(call):
        try:
            await call
        except GuavastreamError:
            pass
