"""Processes that are paused and resumed without noticing it."""

import asyncio

import pytest

from guavastream.control import ControlService, Planner, TableStateMachine
from guavastream.control.tests.test_raft import with_group
from guavastream.emulator import run_paused
from guavastream.exception import NotLeader
from guavastream.leases import Lease, LeaseKeeper, LeaseTiming, Renew, Submit
from guavastream.messages import encode_message
from guavastream.state import RegisterMember

PAUSE_SECONDS = 30.0
TIMING = LeaseTiming()


def pause_everything(seconds):
    """Advance time without running anything, as SIGSTOP and SIGCONT do."""
    asyncio.get_running_loop()._selector.clock.advance(seconds)


def make_service(group, address):
    raft = group.rafts[address]
    clock = asyncio.get_running_loop().time
    keeper = LeaseKeeper(clock=clock, timing=TIMING)
    machine = TableStateMachine()
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


def test_resumed_leader_renews_no_lease(tmp_path):
    """The leader is paused for longer than its lease and then resumes.

    Another leader may have been elected and have reassigned shards, and the paused
    one does not know it yet. It must refuse the first renewal that it handles.
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


def test_resumed_owner_holds_no_lease():
    """An owner is paused right after it sent a renewal and reads the answer later.

    The lease counts from the time at which the renewal was sent, so it has expired
    when the owner resumes.
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


def test_owner_and_leader_on_one_paused_host_hold_no_lease(tmp_path):
    """A host that runs both the leader and an owner is paused and resumes.

    The leader must not renew the lease and the owner must not rely on it. After an
    election commands are accepted again.
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


def test_registration_at_a_disconnected_leader_is_not_acknowledged(tmp_path):
    """A registration is submitted to a leader that cannot reach any other voter."""

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
