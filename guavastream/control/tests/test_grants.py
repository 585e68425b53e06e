"""Heartbeats that come while the book is being changed."""

import asyncio

import pytest

from guavastream.control import TableMachine
from guavastream.control.grants import Granter
from guavastream.control.tests.test_fleet import FIRST
from guavastream.emulator import run_paused
from guavastream.exception import NotLeader
from guavastream.fleet import (
    KEYS,
    Beat,
    BookCodec,
    GrantKeys,
    JoinInstance,
    ReportEnd,
    encode_command,
)
from guavastream.leases import HoldTiming

HOLDS = HoldTiming(hold=2.8, settle=1.0)
COMMIT_SECONDS = 0.05


class SlowLog:
    """A leader whose commits take a while."""

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


def heartbeat(seq, wait=0.0):
    return Beat(
        wait=wait,
        id="a",
        service="s",
        host="h",
        door="h:2",
        address="h:3",
        zone="z",
        slots=8,
        leaving=False,
        cold=0.0,
        seq=seq,
        holds=((0, KEYS - 1, 3),),
    )


def start():
    """Return a leader and its granter; server `a` holds all keys."""
    loop = asyncio.get_running_loop()
    machine = TableMachine(codec=BookCodec())
    raft = SlowLog(machine)
    granter = Granter(raft=raft, machine=machine, clock=loop.time, timing=HOLDS)
    raft.commit(FIRST)
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
    raft.commit(GrantKeys(service="s", rows=((0, KEYS - 1, "a"),)))
    return raft, granter


@pytest.mark.parametrize("ended", [False, True])
def test_a_server_that_comes_back_while_it_is_removed_is_not_renewed(ended):
    # Its host was restarted, and its hold ran out meanwhile. The leader takes
    # it out; before that is committed its next heartbeat comes. Renewed, it
    # would hold its keys for 2.8 s beside the server that gets them next.
    async def main():
        raft, granter = start()
        assert (await granter.beat(heartbeat(1))).rows
        if ended:
            removing = asyncio.ensure_future(
                granter.end(ReportEnd(id="a", service="s", host="h"))
            )
        else:
            await asyncio.sleep(HOLDS.kept + 0.1)
            removing = asyncio.ensure_future(granter._expire())
        await asyncio.sleep(COMMIT_SECONDS / 2)
        answer = await granter.beat(heartbeat(2))
        assert answer.rows is None and not answer.hold
        await removing
        assert raft.machine.table.owner_of("s", 7) is None
        # Afterwards it joins again, with no keys.
        assert (await granter.beat(heartbeat(3))).rows == ()

    run_paused(main())


def test_a_heartbeat_that_waits_at_a_lost_leader_is_told_so():
    # A heartbeat is held back while there is nothing new to say. The leader steps
    # down meanwhile; told only when the time of the heartbeat is over, its host
    # would come to the next leader half a second later, with a hold that runs out.
    async def main():
        raft, granter = start()
        ticks = asyncio.ensure_future(granter.run())
        assert (await granter.beat(heartbeat(1))).rows
        waiting = asyncio.ensure_future(granter.beat(heartbeat(2, wait=2.0)))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        raft.is_leader = False
        with pytest.raises(NotLeader):
            async with asyncio.timeout(0.1):
                await waiting
        ticks.cancel()

    run_paused(main())
