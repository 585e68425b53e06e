"""What a leader gives away, and what it must not."""

import asyncio

from guavastream.control import Planner, TableMachine
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
    """Commits at once what is proposed, under a term set by the test."""

    def __init__(self, machine):
        self.machine = machine
        self.term = 1
        self.is_leader = True
        self.predecessor_end = 0.0
        self.commands = []

    async def propose(self, data):
        self.commands.append(decode_command(data))
        return self.machine.apply(self.machine.table.index + 1, data)


class Rig:
    def __init__(self, *, assigned=True):
        self.machine = TableMachine()
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


def test_new_leader_gives_nothing_away_before_a_full_lease():
    """A leader is elected that never heard of the leases of the one before.

    Their holders may be cut off from it and still serve, so what they own
    must not go to others before the longest of those leases is over.
    """

    async def scenario():
        rig = Rig()
        await rig.renew_for(TIMING.duration - 0.05, [3])
        assert rig.owners == {2}
        await rig.renew_for(0.2, [3])
        assert rig.owners == {3}

    run_paused(scenario())


def test_leader_elected_again_waits_again():
    """The lead goes away and comes back; meanwhile another one renewed."""

    async def scenario():
        rig = Rig()
        await rig.renew_for(TIMING.duration - 0.05, [3])
        rig.raft.term = 3
        rig.raft.predecessor_end = asyncio.get_running_loop().time()
        await rig.renew_for(TIMING.duration - 0.05, [3])
        assert rig.owners == {2}

    run_paused(scenario())


def test_renewal_after_expiry_does_not_bring_the_lease_back():
    """A member is paused for longer than its lease and then renews.

    Its removal may be committing at that moment; renewing would leave two
    owners with a valid lease.
    """

    async def scenario():
        rig = Rig()
        await rig.renew_for(0.1, [2, 3])
        await rig.renew_for(TIMING.duration + 0.1, [3])
        assert not rig.keeper.renew(2)
        assert RemoveMembers(members=(2,)) in rig.raft.commands

    run_paused(scenario())


def test_leader_without_its_lease_decides_nothing():
    """A leader is cut off; others may have given its members' shards away."""

    async def scenario():
        rig = Rig()
        await rig.renew_for(0.1, [2, 3])
        rig.raft.is_leader = False
        await asyncio.sleep(5)
        assert rig.owners == {2}

    run_paused(scenario())


def test_loss_of_the_only_owner_is_not_waited_out():
    """The one server that owned everything is lost; another one is there.

    The wait for a service's first servers must not delay its recovery.
    """

    async def scenario():
        rig = Rig()
        rig.planner.ensure_term()
        rig.keeper.release(2)
        await rig.renew_for(0.1, [3])
        assert rig.owners == {3}

    run_paused(scenario())


def test_first_servers_are_waited_for_before_shards_are_handed_out():
    """Servers of a new service join one after the other within a moment."""

    async def scenario():
        rig = Rig(assigned=False)
        await rig.renew_for(0.1, [2, 3])
        assert rig.owners == {0}
        await rig.renew_for(0.5, [2, 3])
        assert rig.owners == {2, 3}

    run_paused(scenario())
