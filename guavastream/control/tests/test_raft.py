"""Failures of voters: partitions, crashes, lost disks, lost and duplicate messages."""

import asyncio
import random

import pytest
from hypothesis import given, settings, strategies as st

from guavastream.control import Raft, RaftTiming, StateMachine, Storage
from guavastream.control.messages import Hello
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError, NotLeader

TIMING = RaftTiming()


class Applied(StateMachine):
    """State machine whose state is the list of all applied commands."""

    def __init__(self):
        self.items = []

    def apply(self, index, data):
        self.items.append(data)
        return len(self.items)

    def dump(self):
        return b"|".join(self.items)

    def load(self, index, data):
        self.items = data.split(b"|") if data else []


class Group:
    """Voters on one event loop, with real files and a fake network."""

    def __init__(self, folder, *, count=3, network=None):
        self.folder = folder
        self.network = network or FakeNetwork()
        self.addresses = tuple(f"10.0.0.{n}:1" for n in range(1, count + 1))
        self.rafts, self.machines, self.tasks = {}, {}, {}
        self.starts = 0

    def start(self, address, disk=None):
        self.starts += 1
        disk = disk or address.partition(":")[0]
        machine = Applied()
        raft = Raft(
            storage=Storage(folder=str(self.folder / disk)),
            transport=self.network.transport(address),
            address=address,
            peers=self.addresses,
            machine=machine,
            timing=TIMING,
            rng=random.Random(self.starts),
        )
        self.rafts[address], self.machines[address] = raft, machine
        self.network.serve(address, raft.handle)
        self.tasks[address] = asyncio.ensure_future(raft.run())
        return raft

    def start_all(self):
        for address in self.addresses:
            self.start(address)

    def kill(self, address):
        self.network.remove(address)
        self.tasks.pop(address).cancel()
        self.rafts.pop(address)

    def leaders(self):
        return [a for a, raft in self.rafts.items() if raft.is_leader]

    async def leader(self, seconds=5.0):
        for _ in range(int(seconds / 0.01)):
            if self.leaders():
                return self.leaders()[0]
            await asyncio.sleep(0.01)
        raise AssertionError("no voter became leader")

    async def propose(self, data, seconds=5.0):
        """Propose to the current leader until a proposal is acknowledged."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            try:
                leader = await self.leader()
                async with asyncio.timeout(1.0):
                    return await self.rafts[leader].propose(data)
            except (NotLeader, TimeoutError):
                await asyncio.sleep(0.01)
        raise AssertionError(f"{data!r} was not acknowledged")

    def stop(self):
        for task in self.tasks.values():
            task.cancel()


def with_group(folder, scenario, **options):
    async def run():
        group = Group(folder, **options)
        group.start_all()
        try:
            return await scenario(group)
        finally:
            group.stop()

    return run_paused(run())


def test_acknowledged_commands_reach_every_voter(tmp_path):
    # Every voter must apply all acknowledged commands in the same order.
    async def scenario(group):
        for number in range(20):
            await group.propose(b"%d" % number)
        await asyncio.sleep(0.2)
        return [machine.items for machine in group.machines.values()]

    wanted = [b"%d" % number for number in range(20)]
    assert with_group(tmp_path, scenario) == [wanted] * 3


@pytest.mark.parametrize("direction", ["both", "out", "in"])
def test_disconnected_leader_stops_within_its_lease(tmp_path, direction):
    """The leader is disconnected, in one direction or both, without an error.

    It must stop acting within its lease, before another leader can be elected.
    Otherwise two leaders would answer operators at once.
    """

    async def scenario(group):
        loop = asyncio.get_running_loop()
        old = await group.leader()
        others = [a for a in group.addresses if a != old]
        for other in others:
            if direction in ("both", "out"):
                group.network.cut(old, other, both=False)
            if direction in ("both", "in"):
                group.network.cut(other, old, both=False)
        cut_at = loop.time()
        ended = None
        while loop.time() < cut_at + 2:
            acting = group.leaders()
            assert len(acting) <= 1
            if old not in acting and ended is None:
                ended = loop.time() - cut_at
            await asyncio.sleep(0.005)
        assert ended <= TIMING.lease + 0.01
        assert await group.leader() != old
        assert await group.propose(b"after") == 1

    with_group(tmp_path, scenario)


def test_voter_that_reconnects_does_not_depose_the_leader(tmp_path):
    """A disconnected voter stands for election in vain and then reconnects.

    Without the pre-vote its term would have risen, and its return would depose the
    leader and interrupt changes.
    """

    async def scenario(group):
        leader = await group.leader()
        lost = next(a for a in group.addresses if a != leader)
        term = group.rafts[leader].term
        group.network.isolate(lost, group.addresses)
        await asyncio.sleep(5)
        group.network.heal()
        for _ in range(200):
            assert group.leaders() == [leader]
            await asyncio.sleep(0.01)
        assert group.rafts[leader].term == term
        assert group.rafts[lost].term == term

    with_group(tmp_path, scenario)


def test_loss_of_a_voter_after_a_replacement_loses_nothing(tmp_path):
    """An operator replaces a lost control host, then another one is lost.

    If the new voter counted before it has caught up, an acknowledged command could
    be on only one of the three disks when the second host is lost.
    """

    async def scenario(group):
        for number in range(10):
            await group.propose(b"%d" % number)
        leader = await group.leader()
        first, second = (a for a in group.addresses if a != leader)
        gone = group.rafts[first].voter
        group.kill(first)
        fresh = group.start(first, disk="fresh")
        raft = group.rafts[leader]
        await raft.remove_voter(gone)
        await raft.add_voter(fresh.voter, first)
        await group.propose(b"last")
        group.kill(leader)
        group.kill(second)
        again = group.start(second)
        assert await group.leader() in (first, second)
        await asyncio.sleep(0.5)
        wanted = [b"%d" % number for number in range(10)] + [b"last"]
        assert group.machines[first].items == wanted
        assert again.voters == fresh.voters

    with_group(tmp_path, scenario)


def test_voter_that_lost_its_disk_does_not_rejoin_by_itself(tmp_path):
    """A control host comes back with an empty disk and must not vote.

    It may have voted and acknowledged entries before. As the same voter it could
    help to elect a leader without those entries. The new disk is a new voter that
    has to be added, and requests to the old one are refused.
    """

    async def scenario(group):
        await group.propose(b"kept")
        leader = await group.leader()
        lost, other = (a for a in group.addresses if a != leader)
        group.kill(lost)
        blank = group.start(lost, disk="empty")
        group.kill(other)
        await asyncio.sleep(3)
        assert group.leaders() == []
        assert blank.voters == {}
        group.start(other)
        await group.propose(b"more")
        assert blank.voters == {}

    with_group(tmp_path, scenario)


def test_added_voter_reports_its_group(tmp_path):
    """A voter that was added later answers `Hello` with its group.

    If it reported no group, it could form a second group with two hosts that have
    empty disks, and all acknowledged commands would be lost.
    """

    async def scenario(group):
        leader = await group.leader()
        joined = group.start("10.0.0.9:1")
        await group.rafts[leader].add_voter(joined.voter, "10.0.0.9:1")
        await asyncio.sleep(0.2)
        answer = await joined.handle(Hello(voter="other", address="10.0.0.7:1"))
        assert joined.voter in answer.voters

    with_group(tmp_path, scenario)


def test_snapshot_is_installed_while_entries_arrive(tmp_path):
    """A control host was down for hundreds of changes, and more are being made.

    The entries it lacks are no longer kept, so it gets a snapshot and then the
    entries made meanwhile. None may be lost or applied twice.
    """

    async def scenario(group):
        leader = await group.leader()
        away = next(a for a in group.addresses if a != leader)
        group.kill(away)
        for number in range(600):
            await group.propose(b"%d" % number)
        raft = group.rafts[leader]
        raft._storage.save_snapshot(_snapshot_of(raft, group.machines[leader]), keep=5)
        group.start(away)
        for number in range(600, 700):
            await group.propose(b"%d" % number)
        await asyncio.sleep(1)
        assert group.machines[away].items == group.machines[leader].items
        assert len(group.machines[away].items) == 700

    with_group(tmp_path, scenario)


def _snapshot_of(raft, machine):
    from guavastream.control.storage import Snapshot

    return Snapshot(
        index=raft.applied,
        term=raft._storage.term_at(raft.applied),
        data=machine.dump(),
        voters=raft.voters,
    )


def test_restart_of_all_voters_loses_nothing(tmp_path):
    """All control hosts are killed at the same moment and restarted.

    No acknowledged command may be lost. The next term must be higher, because
    epochs derived from the log must never repeat.
    """

    async def scenario(group):
        for number in range(50):
            await group.propose(b"%d" % number)
        term = group.rafts[await group.leader()].term
        for address in group.addresses:
            group.kill(address)
        group.start_all()
        assert await group.propose(b"after") == 51
        assert group.rafts[await group.leader()].term > term

    with_group(tmp_path, scenario)


FAULT = st.tuples(
    st.sampled_from(["isolate", "oneway", "kill", "heal", "wait"]),
    st.integers(min_value=0, max_value=2),
    st.floats(min_value=0.01, max_value=1.0),
)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    faults=st.lists(FAULT, min_size=1, max_size=8),
    seed=st.integers(min_value=0, max_value=2**32),
    lost=st.sampled_from([0.0, 0.05, 0.2]),
    doubled=st.sampled_from([0.0, 0.2]),
)
def test_random_faults_lose_nothing_and_never_split_the_group(
    tmp_path_factory, faults, seed, lost, doubled
):
    """Messages are lost, duplicated, delayed and reordered; hosts fail.

    Under any such faults no two voters may act as leader at the same time or apply
    different commands at the same index, and no acknowledged command may be lost.
    """
    network = FakeNetwork(seed=seed, lost=lost, doubled=doubled, slowest=0.03)

    async def scenario(group):
        acknowledged = []
        watcher = asyncio.ensure_future(_assert_single_leader(group))
        writer = asyncio.ensure_future(_write(group, acknowledged))
        for kind, number, seconds in faults:
            _apply_fault(group, kind, group.addresses[number])
            await asyncio.sleep(seconds)
        network.heal()
        network.lost = network.doubled = 0.0
        for address in group.addresses:
            if address not in group.rafts:
                group.start(address)
        writer.cancel()
        await group.propose(b"end", seconds=10)
        await asyncio.sleep(1)
        assert not watcher.done()
        watcher.cancel()
        results = [machine.items for machine in group.machines.values()]
        assert results[0] == results[1] == results[2]
        assert set(acknowledged) <= set(results[0])
        order = [item for item in results[0] if item in set(acknowledged)]
        assert list(dict.fromkeys(order)) == acknowledged

    with_group(tmp_path_factory.mktemp("group"), scenario, network=network)


async def _assert_single_leader(group):
    while True:
        assert len(group.leaders()) <= 1
        await asyncio.sleep(0.003)


async def _write(group, acknowledged):
    number = 0
    while True:
        number += 1
        data = b"%d" % number
        for address in group.leaders():
            try:
                async with asyncio.timeout(0.5):
                    await group.rafts[address].propose(data)
                acknowledged.append(data)
            except (GuavastreamError, TimeoutError):
                pass
        await asyncio.sleep(0.01)


def _apply_fault(group, kind, address):
    if kind == "isolate":
        group.network.isolate(address, group.addresses)
    elif kind == "oneway":
        for other in group.addresses:
            group.network.cut(address, other, both=False)
    elif kind == "kill":
        if address in group.rafts:
            group.kill(address)
        else:
            group.start(address)
    elif kind == "heal":
        group.network.heal()
