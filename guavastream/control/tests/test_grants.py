"""Heartbeats that arrive while commands are being committed or the leader is lost."""

import asyncio

import pytest

from guavastream.control import TableStateMachine
from guavastream.control.grants import GrantManager
from guavastream.control.tests.test_fleet import FIRST_CHANGE
from guavastream.emulator import run_paused
from guavastream.exception import NotLeader
from guavastream.fleet import (
    KEY_COUNT,
    FleetStateCodec,
    GrantKeys,
    Heartbeat,
    JoinInstance,
    ReportEnd,
    encode_command,
)
from guavastream.leases import HoldTiming

HOLD_TIMING = HoldTiming(hold=2.8, initial_wait=1.0)
COMMIT_SECONDS = 0.05


class SlowRaft:
    """A leader whose commits take `COMMIT_SECONDS`."""

    is_leader, term, leader_address = True, 1, ""

    def __init__(self, machine):
        self.machine = machine
        self.index = 0
        self.predecessor_end = asyncio.get_running_loop().time()

    def commit(self, command):
        self.index += 1
        return self.machine.apply(self.index, encode_command(command))

    async def propose(self, data):
        await asyncio.sleep(COMMIT_SECONDS)
        self.index += 1
        return self.machine.apply(self.index, data)


def heartbeat(seq, wait=0.0, **fields):
    return Heartbeat(
        wait=wait,
        id="a",
        service="s",
        host="h",
        door="h:2",
        address="h:3",
        zone="z",
        slots=8,
        leaving=False,
        cold_seconds=0.0,
        seq=seq,
        **({"holds": ((0, KEY_COUNT - 1, 3),)} | fields),
    )


def start_leader():
    """Return a leader and its grant manager; server `a` holds all keys."""
    loop = asyncio.get_running_loop()
    machine = TableStateMachine(codec=FleetStateCodec())
    raft = SlowRaft(machine)
    grant_manager = GrantManager(
        raft=raft, machine=machine, clock=loop.time, timing=HOLD_TIMING
    )
    raft.commit(FIRST_CHANGE)
    raft.commit(
        JoinInstance(
            id="a",
            service="s",
            host="h",
            door="h:2",
            address="h:3",
            zone="z",
            slots=8,
        )
    )
    raft.commit(GrantKeys(service="s", rows=((0, KEY_COUNT - 1, "a"),)))
    return raft, grant_manager


@pytest.mark.parametrize("ended", [False, True])
def test_server_returning_during_its_removal_is_not_renewed(ended):
    # A server's host restarts while the server's hold expires. The next heartbeat
    # arrives while the leader commits the server's removal. If it were renewed, the
    # server would hold its keys for 2.8 s together with their next owner.
    async def main():
        raft, grant_manager = start_leader()
        assert (await grant_manager.answer_heartbeat(heartbeat(1))).rows
        if ended:
            removing = asyncio.ensure_future(
                grant_manager.remove_ended(ReportEnd(id="a", service="s", host="h"))
            )
        else:
            await asyncio.sleep(HOLD_TIMING.grantor_duration + 0.1)
            removing = asyncio.ensure_future(grant_manager._remove_expired())
        await asyncio.sleep(COMMIT_SECONDS / 2)
        answer = await grant_manager.answer_heartbeat(heartbeat(2))
        assert answer.rows is None and not answer.hold
        await removing
        assert raft.machine.table.owner_of("s", 7) is None
        # After the removal the server joins again, without keys.
        assert (await grant_manager.answer_heartbeat(heartbeat(3))).rows == ()

    run_paused(main())


def test_waiting_heartbeat_fails_at_once_when_leadership_is_lost():
    # The answer to a heartbeat waits until there is a change, and the leader steps
    # down during that wait. If the heartbeat failed only at the end of the wait, its
    # host would reach the next leader half a second later, with a hold about to
    # expire.
    async def main():
        raft, grant_manager = start_leader()
        ticks = asyncio.ensure_future(grant_manager.run())
        assert (await grant_manager.answer_heartbeat(heartbeat(1))).rows
        waiting = asyncio.ensure_future(
            grant_manager.answer_heartbeat(heartbeat(2, wait=2.0))
        )
        await asyncio.sleep(0.5)
        assert not waiting.done()
        raft.is_leader = False
        with pytest.raises(NotLeader):
            async with asyncio.timeout(0.1):
                await waiting
        ticks.cancel()

    run_paused(main())


@pytest.mark.parametrize(
    ("holds", "released", "free"),
    [
        (((0, 99, 3),), ((0, 199, "x"),), ((100, 199, "x"),)),
        (((50, 99, 3),), ((0, 199, "x"),), ((0, 49, "x"), (100, 199, "x"))),
        (((0, 199, 3),), ((0, 199, "x"),), ()),
        (((200, 299, 3),), ((0, 199, "x"),), ((0, 199, "x"),)),
    ],
)
def test_keys_that_a_heartbeat_reports_as_held_are_not_freed(holds, released, free):
    # A server may report a whole row as released of which it still holds a part. If the
    # part were freed, another server would get it, and both would hold it for as long
    # as the answer does not reach the first one, at most 2.8 s.
    async def main():
        _, grant_manager = start_leader()
        assert (await grant_manager.answer_heartbeat(heartbeat(1))).rows
        message = heartbeat(2, holds=holds, released=released)
        rows = (await grant_manager.answer_heartbeat(message)).rows
        # What was freed is granted again under a new fence, with its handover.
        assert tuple((a, b, h) for a, b, fence, h in rows if fence > 3) == free

    run_paused(main())
