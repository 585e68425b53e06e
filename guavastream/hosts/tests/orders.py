"""Simulated servers whose grants and releases can be delayed or lost."""

import asyncio
import random
from dataclasses import dataclass, field

from guavastream.control.tests.test_fleet import FIRST_CHANGE, ControlCluster
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError
from guavastream.fleet import FleetStateCodec, Heartbeat, LoadReport, ReportEnd
from guavastream.hosts.key_keeper import KeyManager
from guavastream.http1 import IncompleteMessage, NotSent
from guavastream.leases import HoldTiming
from guavastream.leases.messages import Watch
from guavastream.relay import KeyOutcome, KeyResult
from guavastream.replica import TableHolder
from guavastream.routes import Granting, ServiceRules

# Every 997th key is checked; a prime, so that all key ranges contain some.
KEY_STEP = 997
SAMPLED_KEYS = range(0, 65536, KEY_STEP)
# Range of delays after which an unanswered call may still be carried out, seconds.
LATE_CALL_SECONDS = (0.05, 12.0)
# The clock of a server may be slow by this factor.
SLOW_CLOCK_FACTOR = 1.02
HEARTBEAT_SECONDS = 0.87
HOLD_TIMING = HoldTiming(hold=2.8, initial_wait=0.5)
GRANT_BY_CALL_CHANGE = FIRST_CHANGE.__class__(
    base=0,
    version=1,
    digest=b"called",
    whole=True,
    routes=FIRST_CHANGE.routes,
    services=(ServiceRules(name="s", keyed=True, granting=Granting.CALL),),
)


@dataclass
class CallFaults:
    """Probabilities that a call is carried out late, lost, or not answered."""

    late: float = 0.0
    lost: float = 0.0
    unanswered: float = 0.0


@dataclass
class SimulatedServer:
    """The keys granted to one incarnation of a backend server, on its own clock."""

    id: str
    fences: dict
    work_seconds: float = 0.0
    held: dict = field(default_factory=dict)
    highest_fences: dict = field(default_factory=dict)
    has_crashed: bool = False

    def holds(self, key):
        """Whether the server holds a key now."""
        until, _ = self.held.get(key, (0.0, 0))
        return not self.has_crashed and asyncio.get_running_loop().time() < until

    def grant(self, call, arrived):
        """Apply a grant; return whether its fencing token is high enough."""
        until = arrived + call.hold * SLOW_CLOCK_FACTOR
        if self.has_crashed or asyncio.get_running_loop().time() >= until:
            return True
        keys = [key for key in SAMPLED_KEYS if call.first <= key <= call.last]
        if any(self.highest_fences.get(key, 0) > call.fence for key in keys):
            return False
        for key in keys:
            owner, fence = self.fences.get(key, ("", 0))
            if owner != self.id:
                assert call.fence > fence, (
                    f"fencing token {call.fence} of key {key} was used before"
                )
                self.fences[key] = (self.id, call.fence)
            self.highest_fences[key] = call.fence
            self.held[key] = (max(until, self.held.get(key, (0.0, 0))[0]), call.fence)
        return True

    def release(self, call):
        """Release keys."""
        for key in SAMPLED_KEYS:
            if call.first <= key <= call.last:
                self.held.pop(key, None)


class SimulatedKeySender:
    """Delivers a process's grants and releases to the server beside it."""

    def __init__(self, *, servers, rng, faults, late):
        self._servers = servers
        self._rng = rng
        self._faults = faults
        self._late_call_seconds = late
        # Ids of servers that accept connections and never answer.
        self.unresponsive = set()
        self._late_calls = set()
        self.error = None

    async def send(self, instance, call, *, may_have_ended):
        if may_have_ended(instance.id):
            raise NotSent("the server may have ended")
        server = self._servers[instance.id]
        if server.has_crashed:
            raise NotSent("connection refused", refused=True)
        if instance.id in self.unresponsive:
            await asyncio.sleep(60.0)
        if self._rng.random() < self._faults.lost:
            raise IncompleteMessage("call lost")
        await asyncio.sleep(self._rng.uniform(0.0005, 0.01))
        arrived = asyncio.get_running_loop().time()
        if call.hold and self._rng.random() < self._faults.late:
            task = asyncio.ensure_future(self._apply_later(server, call, arrived))
            self._late_calls.add(task)
            task.add_done_callback(self._on_applied)
            await asyncio.sleep(60.0)
        if call.hold:
            accepted = server.grant(call, arrived)
        else:
            accepted = True
            server.release(call)
            await asyncio.sleep(server.work_seconds)
        if self._rng.random() < self._faults.unanswered:
            raise IncompleteMessage("answer lost")
        if not accepted:
            return KeyResult(outcome=KeyOutcome.FENCED)
        return KeyResult(outcome=KeyOutcome.DONE, handover="" if call.hold else "h")

    def _on_applied(self, task):
        self._late_calls.discard(task)
        if not task.cancelled() and task.exception():
            self.error = task.exception()

    async def _apply_later(self, server, call, arrived):
        await asyncio.sleep(self._rng.uniform(*self._late_call_seconds))
        server.grant(call, arrived)


class SimulatedHost:
    """A host: its process, and incarnations of its backend server."""

    def __init__(self, number, fleet):
        self.name = f"10.9.0.{number}:1"
        self.door = f"door-{number}"
        self.fleet = fleet
        self.incarnations = 0
        self.server = None
        self.leaving = False
        self.key_manager = None
        self._tasks = []
        self.heartbeat_task = None

    def start_server(self):
        """Start a new incarnation of the server."""
        self.incarnations += 1
        id = f"{self.door}-{self.incarnations}"
        self.server = SimulatedServer(id=id, fences=self.fleet.fences)
        self.leaving = False
        self.fleet.incarnations[id] = self.server
        self.heartbeat_task = asyncio.ensure_future(self._send_heartbeats(id))

    def restart_server(self, *, unheard_seconds):
        """Let the server crash silently and start again under its name.

        Calls reach its new life at once, its first heartbeat comes later.
        """
        before = f"{self.door}-{self.incarnations}"
        self.crash_server()
        self.incarnations += 1
        id = f"{self.door}-{self.incarnations}"
        self.server = SimulatedServer(id=before, fences=self.fleet.fences)
        self.fleet.incarnations |= {before: self.server, id: self.server}
        self.heartbeat_task = asyncio.ensure_future(
            self._send_heartbeats(id, after=unheard_seconds)
        )

    def crash_server(self):
        """Crash the server."""
        self.heartbeat_task.cancel()
        self.server.has_crashed = True

    def start_process(self):
        """Start the process beside the server, without any state."""
        control = self.fleet.cluster.client(self.name)
        holder = TableHolder(codec=FleetStateCodec())
        self._reported_ends = set()
        self.key_manager = KeyManager(
            control=control,
            sender=self.fleet.key_sender,
            granting=Granting.HEARTBEAT,
            longest_hold=10.0,
            door=self.door,
            count=lambda name: None,
            on_refused=self._on_refused,
            may_have_ended=self._reported_ends.__contains__,
            rng=self.fleet.rng,
            clock=asyncio.get_running_loop().time,
        )
        self._tasks = [asyncio.ensure_future(self._follow_fleet_state(control, holder))]

    async def kill_process(self):
        """Kill the process; calls in flight get no answer."""
        for task in self._tasks:
            task.cancel()
        await self.key_manager.stop()

    async def _follow_fleet_state(self, control, holder):
        attempt = 0
        while True:
            request = Watch(index=holder.table.index, wait=0.6)
            try:
                answer = await control.call_any(attempt, request, timeout=1.0)
            except GuavastreamError:
                attempt += 1
                await asyncio.sleep(0.05)
                continue
            holder.apply_update(answer.table, answer.commands)
            self.key_manager.follow(holder.table)

    def _on_refused(self, instance):
        if instance.id not in self._reported_ends:
            self._reported_ends.add(instance.id)
            self._tasks.append(asyncio.ensure_future(self._report_end(instance.id)))

    def note_end(self, id, *, report_after):
        """Let the process know of an end, and report it some seconds later."""
        self._reported_ends.add(id)
        self._tasks.append(
            asyncio.ensure_future(self._report_end(id, after=report_after))
        )

    async def _report_end(self, id, *, after=0.0):
        await asyncio.sleep(after)
        try:
            client = self.fleet.cluster.client(self.name)
            await client.call(
                ReportEnd(id=id, service="s", host=self.name), timeout=0.8
            )
        except GuavastreamError:
            self._reported_ends.discard(id)

    async def _send_heartbeats(self, id, *, after=0.0):
        client = self.fleet.cluster.client(self.name)
        await asyncio.sleep(after)
        for seq in range(1, 10**6):
            heartbeat = Heartbeat(
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
                name=self.door if self.fleet.named else "",
                born=self.incarnations if self.fleet.named else 0,
            )
            try:
                await client.call(heartbeat, timeout=0.85)
            except GuavastreamError:
                pass
            await asyncio.sleep(HEARTBEAT_SECONDS)


class SimulatedFleet:
    """Hosts and control hosts; checks that no key has two holders.

    With `named`, servers keep their names when they start again.
    """

    def __init__(self, cluster, *, count, seed, faults, late, named):
        self.cluster = cluster
        self.named = named
        self.fences = {}
        self.incarnations = {}
        self.rng = random.Random(seed)
        self.faults = faults or CallFaults()
        self.key_sender = SimulatedKeySender(
            servers=self.incarnations, rng=self.rng, faults=self.faults, late=late
        )
        self.hosts = [SimulatedHost(number, self) for number in range(1, count + 1)]
        self.longest_gap = 0.0
        self._last_held_at = {}

    def holders(self, key):
        """Return the servers that hold a key now."""
        servers = {id(server): server for server in self.incarnations.values()}
        return [server for server in servers.values() if server.holds(key)]

    def all_keys_held(self):
        """Whether each sampled key has a holder."""
        return all(self.holders(key) for key in SAMPLED_KEYS)

    async def watch_holders(self):
        """Check the holders of the sampled keys continuously until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            for key in SAMPLED_KEYS:
                holders = self.holders(key)
                assert len(holders) <= 1, (
                    f"{[s.id for s in holders]} hold {key} at {loop.time():.2f}"
                )
                if holders:
                    before = self._last_held_at.get(key, loop.time())
                    self.longest_gap = max(self.longest_gap, loop.time() - before)
                    self._last_held_at[key] = loop.time()
            await asyncio.sleep(0.01)

    async def _configure(self):
        while True:
            try:
                return await self.cluster.change(GRANT_BY_CALL_CHANGE)
            except GuavastreamError:
                # A message was lost. Retrying is safe: the digest is the same.
                continue

    async def run(self, scenario):
        """Start everything, run a scenario, and check that no key had two holders."""
        self.cluster.start_all()
        await self.cluster.wait_for_voters()
        await self._configure()
        for host in self.hosts:
            host.start_server()
            host.start_process()
        watcher = asyncio.ensure_future(self.watch_holders())
        await self.cluster.until(self.all_keys_held, seconds=20.0)
        # Processes that have just started cannot rule out late grants of any key.
        await asyncio.sleep(2.5)
        self.longest_gap = 0.0
        await scenario(self)
        if watcher.done():
            watcher.result()
        watcher.cancel()
        if self.key_sender.error:
            raise self.key_sender.error
        for host in self.hosts:
            await host.kill_process()
            host.crash_server()


def run_key_fleet(
    folder,
    scenario,
    *,
    count=3,
    seed=0,
    faults=None,
    late=LATE_CALL_SECONDS,
    named=False,
    **network,
):
    """Run a scenario with a simulated fleet; return the fleet.

    `late` bounds the delay after which a late call is carried out, seconds.
    """

    async def main():
        cluster = ControlCluster(folder, FakeNetwork(seed=seed, **network))
        fleet = SimulatedFleet(
            cluster, count=count, seed=seed, faults=faults, late=late, named=named
        )
        await fleet.run(scenario)
        return fleet

    return run_paused(main())


class RandomFaults:
    """Injects random faults into a fleet, one after the other, from one seed."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = fleet.rng
        self._fault_kinds = [
            self._report_uneven_load,
            self._report_uneven_load,
            self._crash_server,
            self._stop_server,
            self._restart_process,
            self._isolate_host,
            self._restart_leader,
        ]

    async def inject(self, count):
        """Inject `count` faults with short pauses."""
        for _ in range(count):
            await self._rng.choice(self._fault_kinds)()
            await asyncio.sleep(self._rng.uniform(0.05, 1.5))

    async def _report_uneven_load(self):
        """Report some keys as busy, so that key ranges are split and moved."""
        client = self._fleet.cluster.client("10.9.9.9:1")
        host = self._rng.choice(self._fleet.hosts)
        first = self._rng.randrange(0, 60000)
        keys = tuple((first + n, self._rng.randint(5, 60)) for n in range(0, 4000, 200))
        report = LoadReport(
            id=host.server.id, service="s", keys=keys, other_count=20, latency=0.1
        )
        await self._ignore_errors(client.call(report, timeout=0.5))

    async def _crash_server(self):
        host = self._rng.choice(self._fleet.hosts)
        host.crash_server()
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        host.start_server()

    async def _stop_server(self):
        host = self._rng.choice(self._fleet.hosts)
        host.leaving = True
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        host.crash_server()
        host.start_server()

    async def _restart_process(self):
        host = self._rng.choice(self._fleet.hosts)
        await host.kill_process()
        await asyncio.sleep(self._rng.uniform(0.0, 3.0))
        host.start_process()

    async def _isolate_host(self):
        cluster = self._fleet.cluster
        host = self._rng.choice(self._fleet.hosts)
        cluster.network.isolate(host.name, cluster.addresses)
        await asyncio.sleep(self._rng.uniform(0.1, 5.0))
        cluster.network.heal()

    async def _restart_leader(self):
        cluster = self._fleet.cluster
        leader = cluster.leader()
        if leader is None:
            return
        cluster.kill(leader)
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        cluster.start(leader, first=False)

    @staticmethod
    async def _ignore_errors(call):
        try:
            await call
        except GuavastreamError:
            pass
