"""Assignment of shards by the leader, and the leases it must respect."""

import asyncio

from guavastream.control import Planner, TableStateMachine
from guavastream.emulator import run_paused
from guavastream.leases import LeaseKeeper, LeaseTiming
from guavastream.state import (
    AssignShards,
    RemoveMembers,
    decode_command,
    encode_command,
)
from guavastream.state.tests.test_table import ALL, declare, register

TIMING = LeaseTiming()


class FakeRaft:
    """Commits each proposal at once, in a term that the test sets."""

    def __init__(self, machine):
        self.machine = machine
        self.term = 1
        self.is_leader = True
        self.predecessor_end = 0.0
        self.commands = []

    async def propose(self, data):
        self.commands.append(decode_command(data))
        return self.machine.apply(self.machine.table.index + 1, data)


class PlannerHarness:
    """A running planner for two members; member 2 owns all shards if `assigned`."""

    def __init__(self, *, assigned=True):
        self.machine = TableStateMachine()
        commands = [declare(), register("h1"), register("h2")]
        if assigned:
            commands.append(AssignShards(service="s", shards=ALL, members=(2,) * 8))
        for command in commands:
            self.machine.apply(self.machine.table.index + 1, encode_command(command))
        self.raft = FakeRaft(self.machine)
        clock = asyncio.get_running_loop().time
        self.keeper = LeaseKeeper(clock=clock, timing=TIMING)
        self.planner = Planner(
            raft=self.raft,
            machine=self.machine,
            keeper=self.keeper,
            record=lambda kind, **fields: None,
        )
        self.raft.predecessor_end = clock()
        self.task = asyncio.ensure_future(self.planner.run())

    @property
    def owners(self):
        return set(self.machine.table.shards["s"].owners)

    async def renew_for(self, seconds, members):
        for _ in range(int(seconds / 0.05)):
            self.planner.ensure_term()
            for member in members:
                self.keeper.renew(member)
            await asyncio.sleep(0.05)


def test_new_leader_reassigns_no_shards_before_a_full_lease_has_passed():
    """A new leader does not know the leases that the previous leader renewed.

    Members with such a lease may be partitioned from the new leader and still serve
    requests, so their shards must not be reassigned before the longest of these
    leases has expired.
    """

    async def scenario():
        harness = PlannerHarness()
        await harness.renew_for(TIMING.duration - 0.05, [3])
        assert harness.owners == {2}
        await harness.renew_for(0.2, [3])
        assert harness.owners == {3}

    run_paused(scenario())


def test_reelected_leader_waits_for_a_full_lease_again():
    """Another leader may have renewed leases between two terms of a leader."""

    async def scenario():
        harness = PlannerHarness()
        await harness.renew_for(TIMING.duration - 0.05, [3])
        harness.raft.term = 3
        harness.raft.predecessor_end = asyncio.get_running_loop().time()
        await harness.renew_for(TIMING.duration - 0.05, [3])
        assert harness.owners == {2}

    run_paused(scenario())


def test_expired_lease_cannot_be_renewed():
    """A member is paused for longer than its lease and then renews it.

    The member's removal may be being committed at that moment, so a renewal would
    leave two owners with a valid lease.
    """

    async def scenario():
        harness = PlannerHarness()
        await harness.renew_for(0.1, [2, 3])
        await harness.renew_for(TIMING.duration + 0.1, [3])
        assert not harness.keeper.renew(2)
        assert RemoveMembers(members=(2,)) in harness.raft.commands

    run_paused(scenario())


def test_leader_that_lost_leadership_changes_nothing():
    """A leader is partitioned; another one may have reassigned the shards."""

    async def scenario():
        harness = PlannerHarness()
        await harness.renew_for(0.1, [2, 3])
        harness.raft.is_leader = False
        await asyncio.sleep(5)
        assert harness.owners == {2}

    run_paused(scenario())


def test_shards_of_a_lost_sole_owner_are_reassigned_at_once():
    """The server that owned all shards is lost while another one is present.

    The wait for the first servers of a service must not delay the recovery.
    """

    async def scenario():
        harness = PlannerHarness()
        harness.planner.ensure_term()
        harness.keeper.release(2)
        await harness.renew_for(0.1, [3])
        assert harness.owners == {3}

    run_paused(scenario())


def test_shards_of_a_new_service_are_assigned_after_its_servers_have_joined():
    """The servers of a new service join one after another within a short time.

    Without a wait, the first one would receive all shards.
    """

    async def scenario():
        harness = PlannerHarness(assigned=False)
        await harness.renew_for(0.1, [2, 3])
        assert harness.owners == {0}
        await harness.renew_for(0.5, [2, 3])
        assert harness.owners == {2, 3}

    run_paused(scenario())
