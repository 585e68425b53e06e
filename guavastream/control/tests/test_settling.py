"""First grants while the servers of a service still join one after another."""

import asyncio
from collections import Counter

from guavastream.control import TableStateMachine
from guavastream.control.grants import GrantManager
from guavastream.control.settling import SettlingTimer
from guavastream.control.tests.test_fleet import FIRST_CHANGE
from guavastream.control.tests.test_grants import SlowRaft
from guavastream.emulator import run_paused
from guavastream.fleet import FleetStateCodec, Heartbeat
from guavastream.leases import HoldTiming

# Each join takes as long as a commit of `SlowRaft`, 0.05 s.
SERVERS = 36
HOLD_TIMING = HoldTiming(hold=2.8, initial_wait=1.1)


def heartbeat(number, seq):
    return Heartbeat(
        id=f"i{number}",
        service="s",
        host=f"h{number}",
        door=f"h{number}:2",
        address=f"h{number}:3",
        zone="z",
        slots=6,
        leaving=False,
        cold_seconds=0.0,
        seq=seq,
    )


def test_servers_that_join_last_get_as_many_key_ranges_as_the_first():
    # 36 servers join over 1.8 s. With keys granted 1.1 s after the first join, those
    # that came later got one range each, and a third of the load of the others.
    async def main():
        machine = TableStateMachine(codec=FleetStateCodec())
        raft = SlowRaft(machine)
        raft.commit(FIRST_CHANGE)
        grants = GrantManager(
            raft=raft,
            machine=machine,
            clock=asyncio.get_running_loop().time,
            timing=HOLD_TIMING,
        )
        running = asyncio.ensure_future(grants.run())
        for number in range(SERVERS):
            await grants.answer_heartbeat(heartbeat(number, 1))
        await asyncio.sleep(HOLD_TIMING.initial_wait)
        ranges = Counter(run.owner for run in machine.table.runs_of("s"))
        running.cancel()
        assert len(ranges) == SERVERS
        assert max(ranges.values()) <= min(ranges.values()) + 1

    run_paused(main())


def test_a_service_whose_servers_join_without_pause_gets_its_keys_all_the_same():
    now = 0.0
    timer = SettlingTimer(clock=lambda: now, initial_wait=1.0)
    while timer.is_settling("s"):
        timer.note_join("s")
        now += 0.1
        assert now <= 4.1


def test_a_new_leader_waits_for_the_servers_that_it_has_not_heard():
    now = 0.0
    timer = SettlingTimer(clock=lambda: now, initial_wait=1.0)
    timer.note_join("s")
    now = 5.0
    timer.clear()
    assert timer.is_settling("s")
    now = 6.0
    assert not timer.is_settling("s")
