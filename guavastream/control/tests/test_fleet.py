"""Control hosts of a fleet: replacement of voters, and one holder per key."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from guavastream.control import Raft, RaftTiming, Storage, TableStateMachine
from guavastream.control.evacuations import EvacuationManager
from guavastream.control.fleet import MAX_STATE_AGE_SECONDS, FleetService
from guavastream.control.grants import GrantManager
from guavastream.control.suspects import SuspectManager
from guavastream.control.voters import VoterCandidate, VoterKeeper
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError, PeerFailure
from guavastream.fleet import (
    ChangeRoutes,
    ChangeRoutesResult,
    FleetStateCodec,
    Heartbeat,
    ReadRoutes,
    ReportEnd,
)
from guavastream.leases import ControlClient, HoldTiming, Watch
from guavastream.routes import RetrySafety, Route, ServiceRules, WeightedService

TIMING = RaftTiming(
    heartbeat=0.08, election_min=0.5, election_max=0.8, lease=0.45, call=0.4
)
HOLD_TIMING = HoldTiming(hold=2.8, initial_wait=1.0)
HEARTBEAT_SECONDS = 0.87
ORDER_RESEND_SECONDS = 4.0
ROUTE = Route(
    name="r",
    host="a",
    prefix="/",
    retry_safety=RetrySafety.SAFE,
    timeout=1.0,
    target=0.1,
    priority=0,
    attempts=1,
    weighted_services=(WeightedService(service="s"),),
)
FIRST_CHANGE = ChangeRoutes(
    base=0,
    version=1,
    digest=b"first",
    whole=True,
    routes=(ROUTE,),
    services=(ServiceRules(name="s", keyed=True),),
)


class ControlCluster:
    """Control hosts in one event loop, with real files and a simulated network."""

    def __init__(self, folder, network, *, seeds=3, count=5, timing=TIMING, losses=2):
        self.timing = timing
        self.losses = losses
        self.folder = folder
        self.network = network
        self.addresses = [f"10.0.0.{n}:1" for n in range(1, count + 1)]
        self.seeds = tuple(self.addresses[:seeds])
        self.rafts, self.candidates, self.tasks, self.starts = {}, {}, {}, 0

    def start(self, address, *, first=True, disk=None):
        """Start a control host and return its `Raft`."""
        loop = asyncio.get_running_loop()
        self.starts += 1
        transport = self.network.transport(address)
        machine = TableStateMachine(codec=FleetStateCodec())
        raft = Raft(
            storage=self.storage(str(self.folder / (disk or address))),
            offload=self.offload,
            transport=transport,
            address=address,
            peers=self.seeds,
            machine=machine,
            timing=self.timing,
            rng=random.Random(self.starts),
            may_form=first,
        )
        granter = GrantManager(
            raft=raft, machine=machine, clock=loop.time, timing=HOLD_TIMING
        )
        keeper = VoterKeeper(
            raft=raft,
            transport=transport,
            clock=loop.time,
            wanted=2 * self.losses + 1,
        )
        candidate = VoterCandidate(
            raft=raft, transport=transport, address=address, seeds=self.seeds
        )
        suspects = SuspectManager(raft=raft, machine=machine, clock=loop.time)
        service = FleetService(
            raft=raft,
            machine=machine,
            granter=granter,
            voters=keeper,
            suspects=suspects,
            evacuations=EvacuationManager(
                raft=raft,
                machine=machine,
                clock=loop.time,
                resend_seconds=ORDER_RESEND_SECONDS,
            ),
            losses=self.losses,
        )
        self.network.serve(address, service.handle)
        self.rafts[address], self.candidates[address] = raft, candidate
        self.tasks[address] = [
            asyncio.ensure_future(part)
            for part in (
                raft.run(),
                granter.run(),
                keeper.run(),
                candidate.run(),
                suspects.run(),
            )
        ]
        return raft

    def storage(self, folder):
        return Storage(folder=folder, new_identity=self.new_identity)

    def new_identity(self):
        """Return an identity that is the same in each run of a test."""
        return f"voter-{self.starts}"

    async def offload(self, function, *args):
        return function(*args)

    def start_all(self):
        for address in self.addresses:
            self.start(address)

    def kill(self, address, *, dark=False):
        """Stop a control host, with `dark` by a loss of power; its disk stays."""
        self.network.remove(address, dark=dark)
        self.rafts.pop(address)
        for task in self.tasks.pop(address):
            task.cancel()

    async def stop(self, address):
        """Stop a control host as planned; its disk stays."""
        await self.rafts[address].transfer_leadership()
        await self.candidates[address].leave()
        self.kill(address)

    def leader(self):
        return next((a for a, raft in self.rafts.items() if raft.is_leader), None)

    async def until(self, condition, seconds=10.0):
        """Wait until a condition is met, checked every 50 ms."""
        for _ in range(int(seconds / 0.05)):
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError("the condition was not met in time")

    async def wait_for_voters(self, count=5):
        """Wait until there is a leader and the group has `count` voters."""
        await self.until(
            lambda: self.leader() and len(self.rafts[self.leader()].voters) == count
        )

    def client(self, name="10.1.0.1:1"):
        return ControlClient(
            transport=self.network.transport(name), addresses=self.addresses
        )

    async def change(self, command):
        return await self.client().submit(
            command, timeout=5.0, result=ChangeRoutesResult
        )

    async def read(self):
        answer = await self.client().call(ReadRoutes(), timeout=5.0)
        return answer.config.version


async def start_control_cluster(folder, **settings):
    """Return a `ControlCluster` that has formed its group and has a configuration."""
    cluster = ControlCluster(folder, FakeNetwork(seed=1), **settings)
    cluster.start_all()
    await cluster.wait_for_voters(len(cluster.addresses))
    await cluster.change(FIRST_CHANGE)
    return cluster


@dataclass
class SimulatedServer:
    """A backend server that sends heartbeats, and holds and releases keys.

    `fence_log` has the latest fence of each key over all servers.
    """

    id: str
    cluster: ControlCluster
    fence_log: dict
    held: dict = field(default_factory=dict)
    hold_end: float = 0.0
    latest_fences: dict = field(default_factory=dict)
    released: list = field(default_factory=list)
    leaving: bool = False
    clock_drift: float = 1.02

    def holds(self, key):
        now = asyncio.get_running_loop().time()
        return key in self.held and now < self.hold_end

    async def run(self):
        loop = asyncio.get_running_loop()
        client = self.cluster.client(f"10.9.0.{self.id}:1")
        seq = 0
        while True:
            seq += 1
            sent = loop.time()
            if sent >= self.hold_end:
                self.held = {}
            reported = list(self.released)
            beat = Heartbeat(
                id=self.id,
                service="s",
                host=self.id,
                door=f"door-{self.id}",
                address=f"server-{self.id}",
                zone="z",
                slots=8,
                leaving=self.leaving,
                cold_seconds=0.0,
                seq=seq,
                holds=tuple((k, k, f) for k, f in self.held.items()),
                released=tuple(reported),
                wait=0.5,
            )
            pause = HEARTBEAT_SECONDS
            try:
                answer = await client.call(beat, timeout=0.9, attempt=0.75)
            except GuavastreamError:
                pass
            else:
                self.released = self.released[len(reported) :]
                if answer.rows is not None:
                    pause = self.apply_answer(answer, sent)
            await asyncio.sleep(max(0.0, sent + pause - loop.time()))

    def apply_answer(self, answer, sent):
        """Update the held keys; return the time until the next heartbeat."""
        # To keep the test fast, only every 997th key is tracked.
        wanted = {}
        for first, last, fence, _ in answer.rows:
            for key in range(0, 65536, 997):
                if first <= key <= last and fence >= self.latest_fences.get(key, 0):
                    wanted[key] = fence
        dropped = [key for key in self.held if key not in wanted]
        for key, fence in wanted.items():
            if self.held.get(key) != fence:
                # A new grant's fence must not be below any earlier fence of the key.
                assert fence >= self.fence_log.get(key, 0), (
                    f"outdated fence for key {key}"
                )
                self.fence_log[key] = fence
            self.latest_fences[key] = fence
        self.held = wanted
        self.hold_end = sent + answer.hold * self.clock_drift
        self.released += [(key, key, f"t{key}") for key in dropped]
        return 0.1 if dropped else HEARTBEAT_SECONDS


class SimulatedFleet:
    """Servers of a control cluster, checked for keys with two holders."""

    def __init__(self, cluster, count=4):
        fence_log = {}
        self.servers = [
            SimulatedServer(id=str(n), cluster=cluster, fence_log=fence_log)
            for n in range(1, count + 1)
        ]
        self.tasks = {}

    def start(self, server):
        self.tasks[server.id] = asyncio.ensure_future(server.run())

    def crash(self, server):
        self.tasks.pop(server.id).cancel()
        server.held = {}

    def holders(self, key):
        """Return the servers that hold a key now."""
        return [server for server in self.servers if server.holds(key)]

    def check_holders(self):
        for key in range(0, 65536, 997):
            assert len(self.holders(key)) <= 1, f"key {key} has two holders"

    def is_served(self):
        """Whether each of the tracked keys has a holder."""
        return all(self.holders(key) for key in range(0, 65536, 997))

    async def check_continuously(self):
        while True:
            self.check_holders()
            await asyncio.sleep(0.02)


def run_scenario(folder, scenario, **kwargs):
    """Run a scenario with four servers that hold all keys at first."""

    async def main():
        cluster = ControlCluster(folder, FakeNetwork(**kwargs))
        cluster.start_all()
        await cluster.wait_for_voters()
        await cluster.change(FIRST_CHANGE)
        fleet = SimulatedFleet(cluster)
        for server in fleet.servers:
            fleet.start(server)
        checks = asyncio.ensure_future(fleet.check_continuously())
        await cluster.until(fleet.is_served)
        await scenario(cluster, fleet)
        assert not checks.done(), checks.exception()
        for task in (checks, *fleet.tasks.values()):
            task.cancel()

    run_paused(main())


def test_keys_are_spread_over_all_servers(tmp_path):
    async def scenario(cluster, fleet):
        assert all(len(server.held) >= 8 for server in fleet.servers)

    run_scenario(tmp_path, scenario)


def test_keys_of_a_lost_server_are_regranted_when_its_hold_expires(tmp_path):
    # The server stops sending heartbeats, but may still be processing requests. Its
    # keys must be granted to others only when its hold has expired, and then at once.
    async def scenario(cluster, fleet):
        started = asyncio.get_running_loop().time()
        fleet.crash(fleet.servers[0])
        await cluster.until(fleet.is_served)
        assert asyncio.get_running_loop().time() - started < HOLD_TIMING.hold + 1.0

    run_scenario(tmp_path, scenario)


def test_keys_of_a_server_reported_as_ended_are_regranted_at_once(tmp_path):
    # The sidecar reports the end when nothing listens at the server's address any
    # more. The keys need not wait for the end of the hold.
    async def scenario(cluster, fleet):
        started = asyncio.get_running_loop().time()
        ended = fleet.servers[0]
        fleet.crash(ended)
        await cluster.client().call(
            ReportEnd(id=ended.id, service="s", host="h"), timeout=1.0
        )
        await cluster.until(fleet.is_served)
        assert asyncio.get_running_loop().time() - started < 1.5

    run_scenario(tmp_path, scenario)


def test_leaving_server_hands_its_keys_over_quickly(tmp_path):
    async def scenario(cluster, fleet):
        leaving = fleet.servers[0]
        leaving.leaving = True
        started = asyncio.get_running_loop().time()
        await cluster.until(lambda: not leaving.held and fleet.is_served())
        assert asyncio.get_running_loop().time() - started < 2.5

    run_scenario(tmp_path, scenario)


def test_new_leader_respects_the_holds_of_the_previous_leader(tmp_path):
    # The leader is lost together with a server, right after it renewed the server's
    # hold. The next leader does not know the time of that renewal, so it must wait
    # for the duration of a whole hold.
    async def scenario(cluster, fleet):
        for _ in range(2):
            leader = cluster.leader()
            fleet.crash(fleet.servers[0])
            cluster.kill(leader)
            await cluster.until(fleet.is_served)
            cluster.start(leader, first=False)
            fleet.start(fleet.servers[0])
            await asyncio.sleep(3.0)

    run_scenario(tmp_path, scenario)


def test_partitioned_server_keeps_its_keys_until_its_hold_expires(tmp_path):
    # The server continues to work with its keys, on a clock that runs slow, while it
    # is partitioned and the leader that granted them may be lost. No other server
    # may get the keys before its hold has expired; after that others must.
    async def scenario(cluster, fleet):
        cut_off = fleet.servers[0]
        for leader_lost in (False, True):
            cluster.network.isolate(f"10.9.0.{cut_off.id}:1", cluster.addresses)
            if leader_lost:
                cluster.kill(cluster.leader())
            await cluster.until(lambda: not cut_off.holds(next(iter(cut_off.held), 0)))
            await cluster.until(fleet.is_served)
            cluster.network.heal()
            await cluster.until(
                lambda: cut_off.hold_end > asyncio.get_running_loop().time()
            )
            await cluster.until(lambda: bool(cut_off.held), seconds=20.0)

    run_scenario(tmp_path, scenario)


def test_keys_have_one_holder_under_message_loss_and_partitions(tmp_path):
    async def scenario(cluster, fleet):
        rng = random.Random(5)
        for _ in range(6):
            cut = rng.choice(cluster.addresses)
            cluster.network.isolate(cut, cluster.addresses)
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            cluster.network.heal()
            server = rng.choice(fleet.servers)
            fleet.crash(server)
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            fleet.start(server)
        await cluster.until(fleet.is_served, seconds=20.0)

    run_scenario(tmp_path, scenario, seed=3, lost=0.02, doubled=0.02, slowest=0.02)


def test_hosts_with_lost_disks_rejoin_as_new_voters(tmp_path):
    # Two hosts, one after the other, lose their disks right after a change was
    # acknowledged. Each comes back at the same address without its earlier votes
    # and log entries, and must not count as the same voter.
    async def scenario(cluster, fleet):
        for number, address in enumerate(cluster.addresses[:2]):
            second = FIRST_CHANGE.__class__(
                base=number + 1,
                version=number + 2,
                digest=b"%d" % number,
                whole=False,
            )
            assert (await cluster.change(second)).code == "ok"
            cluster.kill(address)
            cluster.start(address, first=False, disk=f"empty-{number}")
            await cluster.wait_for_voters()
            await asyncio.sleep(4.0)
            assert await cluster.read() == number + 2
        voters = cluster.rafts[cluster.leader()].voters
        assert sorted(voters.values()) == sorted(cluster.addresses)

    run_scenario(tmp_path, scenario)


def test_replacement_host_takes_the_vote_of_a_lost_host(tmp_path):
    async def scenario(cluster, fleet):
        lost = cluster.addresses[1]
        cluster.kill(lost)
        cluster.start("10.0.0.9:1", first=False)

        def replaced():
            leader = cluster.leader()
            voters = cluster.rafts[leader].voters.values() if leader else ()
            return "10.0.0.9:1" in voters and lost not in voters

        await cluster.until(replaced, seconds=20.0)
        assert await cluster.read() == 1

    run_scenario(tmp_path, scenario)


def test_changes_are_refused_without_enough_voters_to_survive_losses(tmp_path):
    async def main():
        cluster = ControlCluster(tmp_path, FakeNetwork(), count=3)
        cluster.start_all()
        await cluster.until(cluster.leader)
        try:
            await cluster.client().submit(FIRST_CHANGE, timeout=1.0)
        except GuavastreamError as error:
            assert error.code == "not_ready"
        else:
            raise AssertionError("the change was accepted on two disks")

    run_paused(main())


def test_watch_is_not_answered_without_a_change(tmp_path):
    # Guards against watches of a follower that are answered at each heartbeat of the
    # leader. That caused 16 empty answers per second for each host, half of the work
    # of an idle host.
    async def main():
        loop = asyncio.get_running_loop()
        cluster = ControlCluster(tmp_path, FakeNetwork())
        cluster.start_all()
        await cluster.wait_for_voters()
        await cluster.change(FIRST_CHANGE)
        await asyncio.sleep(1.0)
        for address, raft in cluster.rafts.items():
            started = loop.time()
            client = cluster.client()
            request = Watch(index=raft.applied, wait=0.6)
            position = cluster.addresses.index(address)
            answer = await client.call_any(position, request, timeout=1.0)
            assert not answer.commands and loop.time() - started >= 0.6

    run_paused(main())


@pytest.mark.parametrize("leads", [False, True])
def test_watch_ends_when_the_leader_is_unreachable(tmp_path, leads):
    # A control host is partitioned from the others, which acknowledge a change. If a
    # watch there ended only at its timeout, the watcher would lose 0.8 s of the 2 s
    # within which a change must be in force.
    async def main():
        loop = asyncio.get_running_loop()
        cluster = await start_control_cluster(tmp_path)
        leader = cluster.leader()
        partitioned = (
            leader if leads else next(a for a in cluster.addresses if a != leader)
        )
        index = cluster.rafts[partitioned].applied
        cluster.network.isolate(partitioned, cluster.addresses)
        started = loop.time()
        position = cluster.addresses.index(partitioned)
        with pytest.raises(PeerFailure):
            await cluster.client().call_any(
                position, Watch(index=index, wait=10.0), timeout=11.0
            )
        assert loop.time() - started <= MAX_STATE_AGE_SECONDS + TIMING.heartbeat

    run_paused(main())


def test_watch_waits_for_a_change_after_an_election(tmp_path):
    # A new leader commits an entry that changes nothing in the table. If watches took
    # it for a change, they would be answered at once until the next real change, and
    # each host would ask a thousand times per second.
    async def main():
        loop = asyncio.get_running_loop()
        cluster = await start_control_cluster(tmp_path)
        cluster.kill(cluster.leader())
        await cluster.until(cluster.leader)
        await asyncio.sleep(1.0)
        for address, raft in cluster.rafts.items():
            position = cluster.addresses.index(address)
            watch = Watch(index=raft._machine.table.index, wait=0.5)
            started = loop.time()
            await cluster.client().call_any(position, watch, timeout=1.0)
            assert loop.time() - started >= 0.5

    run_paused(main())
