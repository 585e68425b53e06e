"""Keys that are moved by the answers to heartbeats while their demand rises."""

import asyncio
import random

import pytest

from guavastream.control import TableStateMachine
from guavastream.control.grants import GrantManager
from guavastream.control.tests.test_fleet import FIRST_CHANGE, HEARTBEAT_SECONDS
from guavastream.emulator import run_paused
from guavastream.fleet import (
    FleetStateCodec,
    Heartbeat,
    LoadReport,
    encode_command,
    find_run,
    subtract_range,
)
from guavastream.hosts.server_host import HEARTBEAT_WAIT_SECONDS
from guavastream.leases import HoldTiming

SERVERS = 36
REPORT_SECONDS = 0.25
COMMIT_SECONDS = 0.005
# Time after which a server whose keys have changed sends the next heartbeat.
RELEASE_SECONDS = 0.05
FIRST_HOT, HOT_COUNT, HOT_SHARE = 30000, 120, 0.4
TOTAL_RATE = 300.0
MAX_COMPLETED = 4


class Raft:
    """A leader whose commits take `COMMIT_SECONDS`."""

    is_leader, term, leader_address = True, 1, ""

    def __init__(self, machine):
        self.machine = machine
        self.index = 0
        self.predecessor_end = asyncio.get_running_loop().time() - 100

    async def propose(self, data):
        await asyncio.sleep(COMMIT_SECONDS)
        self.index += 1
        return self.machine.apply(self.index, data)


class Fleet:
    """A leader, and servers that send heartbeats and reports of random requests."""

    def __init__(self, *, seed):
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.machine = TableStateMachine(codec=FleetStateCodec())
        raft = Raft(self.machine)
        raft.index += 1
        self.machine.apply(raft.index, encode_command(FIRST_CHANGE))
        self.grants = GrantManager(
            raft=raft,
            machine=self.machine,
            clock=loop.time,
            timing=HoldTiming(hold=2.8, initial_wait=1.0),
            class_priority=True,
        )
        self.rng = random.Random(seed)
        self.hot_share = 0.0

    def draw_key(self):
        if self.rng.random() < self.hot_share:
            return FIRST_HOT + self.rng.randrange(HOT_COUNT)
        return self.rng.randrange(1 << 16)

    def owner(self, key):
        return find_run(self.machine.table.runs_of("s"), key).owner

    def hot_owners(self):
        """Return the number of hot keys by owner; "" is that of keys without one."""
        counts = {}
        for key in range(FIRST_HOT, FIRST_HOT + HOT_COUNT):
            owner = self.owner(key)
            counts[owner] = counts.get(owner, 0) + 1
        return counts

    async def serve(self, id):
        """Send the heartbeats of one server."""
        holds, released, seq = (), (), 0
        await asyncio.sleep(self.rng.random() * HEARTBEAT_SECONDS)
        while True:
            seq += 1
            sent = self.loop.time()
            answer = await self.grants.answer_heartbeat(
                Heartbeat(
                    id=id,
                    service="s",
                    host=id,
                    door=f"{id}:2",
                    address=f"{id}:3",
                    zone="z",
                    slots=5,
                    leaving=False,
                    cold_seconds=0.0,
                    seq=seq,
                    holds=holds,
                    released=released,
                    wait=HEARTBEAT_WAIT_SECONDS,
                )
            )
            if answer.rows is not None:
                rows = tuple(row[:3] for row in answer.rows)
                left = [held[:2] for held in holds]
                for first, last, _ in rows:
                    left = subtract_range(left, (first, last))
                released = tuple((first, last, "") for first, last in left)
                changed, holds = rows != holds, rows
                if changed:
                    await asyncio.sleep(RELEASE_SECONDS)
                    continue
            else:
                released = ()
            await asyncio.sleep(max(0.0, sent + HEARTBEAT_SECONDS - self.loop.time()))

    async def report(self):
        """Send the reports of all servers."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            counts = {f"s{number}": {} for number in range(SERVERS)}
            for _ in range(round(TOTAL_RATE * REPORT_SECONDS)):
                key = self.draw_key()
                owner = self.owner(key)
                if owner:
                    counts[owner][key] = counts[owner].get(key, 0) + 1
            for id, keys in counts.items():
                number = min(sum(keys.values()), MAX_COMPLETED)
                self.grants.record_load(
                    LoadReport(
                        id=id,
                        service="s",
                        keys=tuple(keys.items()),
                        other_count=0,
                        latency=0.3,
                        work=(("r", number, 0.25 * number, 0.05 * number),),
                    )
                )


@pytest.mark.parametrize("seed", range(3))
def test_hot_keys_are_spread_by_heartbeats(seed):
    # Guards against keys that wait for the heartbeats of all their new owners while
    # the former one refuses most of their requests.
    async def main():
        fleet = Fleet(seed=seed)
        tasks = [
            asyncio.ensure_future(fleet.serve(f"s{number}"))
            for number in range(SERVERS)
        ]
        tasks += [
            asyncio.ensure_future(fleet.grants.run()),
            asyncio.ensure_future(fleet.report()),
        ]
        await asyncio.sleep(10.0)
        fleet.hot_share = HOT_SHARE
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        return fleet.hot_owners()

    counts = run_paused(main())
    # The keys get one request per second each; a server can process 17.
    assert counts.pop("", 0) == 0
    assert len(counts) >= 10 and max(counts.values()) <= 30
