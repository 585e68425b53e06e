"""Whole processes that stand still and go on as if nothing had happened."""

import asyncio

import pytest

from guavastream.control import ControlService, Planner, TableMachine
from guavastream.control.tests.test_raft import with_group
from guavastream.emulator import run_paused
from guavastream.exception import NotLeader
from guavastream.leases import Lease, LeaseKeeper, LeaseTiming, Renew, Submit
from guavastream.messages import encode_message
from guavastream.state import RegisterMember

PAUSE_SECONDS = 30.0
TIMING = LeaseTiming()


def pause_everything(seconds):
    """Let time pass with nothing run, as SIGSTOP and SIGCONT do."""
    asyncio.get_running_loop()._selector.clock.advance(seconds)


def make_service(group, address):
    raft = group.rafts[address]
    clock = asyncio.get_running_loop().time
    keeper = LeaseKeeper(clock=clock, timing=TIMING)
    machine = TableMachine()
    planner = Planner(
        raft=raft, machine=machine, keeper=keeper, record=lambda kind, **fields: None
    )
    return ControlService(
        raft=raft,
        machine=machine,
        keeper=keeper,
        planner=planner,
        transport=group.network.transport(address),
        clock=clock,
    )


def test_leader_that_was_paused_renews_nothing_when_it_goes_on(tmp_path):
    """The leader stands still for longer than its lease, then goes on.

    Others may have been elected and have given things away, and nothing has
    told it so yet. The first renewal that it finds in its hands is refused.
    """

    async def scenario(group):
        leader = await group.leader()
        service = make_service(group, leader)
        renew = Renew(host="h", member=0, index=0, revision=0)
        assert (await service.handle(renew)).duration == TIMING.duration
        pause_everything(PAUSE_SECONDS)
        assert not group.rafts[leader].is_leader
        with pytest.raises(NotLeader):
            await service.handle(renew)

    with_group(tmp_path, scenario)


def test_owner_that_was_paused_holds_nothing_when_it_goes_on():
    """An owner stands still; the renewal that it had just sent is answered.

    The answer was on its way before the pause. It counts from when the
    renewal was sent, so it is over too.
    """

    async def scenario():
        clock = asyncio.get_running_loop().time
        lease = Lease(clock=clock)
        sent = clock()
        lease.extend(sent + TIMING.duration)
        assert lease.is_held
        pause_everything(PAUSE_SECONDS)
        assert not lease.is_held
        lease.extend(sent + TIMING.duration)
        assert not lease.is_held

    run_paused(scenario())


def test_owner_and_leader_paused_together(tmp_path):
    """A host that leads and owns stands still; both halves wake at once.

    Neither may believe the other: the leader must not renew, the owner must
    not count on it, and after an election all goes on.
    """

    async def scenario(group):
        leader = await group.leader()
        service = make_service(group, leader)
        clock = asyncio.get_running_loop().time
        lease = Lease(clock=clock)
        sent = clock()
        lease.extend(sent + TIMING.duration)
        pause_everything(PAUSE_SECONDS)
        assert not lease.is_held
        with pytest.raises(NotLeader):
            await service.handle(Renew(host="h", member=0, index=0, revision=0))
        assert await group.propose(b"on") == 1

    with_group(tmp_path, scenario)


def test_registration_in_the_hands_of_a_paused_leader_is_not_acknowledged(tmp_path):
    """A command is proposed while the others are cut off for good."""

    async def scenario(group):
        leader = await group.leader()
        service = make_service(group, leader)
        group.network.isolate(leader, group.addresses)
        command = RegisterMember(
            host="h",
            zone="z",
            region="",
            incarnation="i",
            boot="b",
            door="127.0.0.1:1",
            service="s",
            slots=1,
        )
        tag, body = encode_message(command)
        with pytest.raises(NotLeader):
            await service.handle(Submit(tag=tag, body=body))

    with_group(tmp_path, scenario)
