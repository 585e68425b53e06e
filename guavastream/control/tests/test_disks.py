"""Leaders whose disk hangs or refuses, and leaders that were suspended."""

import asyncio
import random

from guavastream.control import Raft, RaftTiming, StateMachine, Storage
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError

ADDRESSES = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


class Disk:
    """A voter's disk: writes hang or are refused on demand."""

    def __init__(self):
        self.hangs = asyncio.Event()
        self.hangs.set()
        self.full = False

    async def offload(self, function, *args):
        await self.hangs.wait()
        if self.full:
            raise OSError(28, "No space left on device")
        return function(*args)


class Clock:
    """A voter's steady time, ahead of the loop's by its suspensions."""

    def __init__(self):
        self.ahead = 0.0

    def __call__(self):
        return asyncio.get_running_loop().time() + self.ahead


class Group:
    def __init__(self, folder):
        network = FakeNetwork()
        self.rafts, self.disks, self.clocks = {}, {}, {}
        for number, address in enumerate(ADDRESSES):
            self.disks[address] = Disk()
            self.clocks[address] = Clock()
            raft = self.rafts[address] = Raft(
                storage=Storage(folder=str(folder / str(number))),
                transport=network.transport(address),
                address=address,
                peers=ADDRESSES,
                machine=StateMachine(),
                timing=RaftTiming(),
                rng=random.Random(number),
                offload=self.disks[address].offload,
                clock=self.clocks[address],
            )
            network.serve(address, raft.handle)
        self.tasks = [asyncio.ensure_future(r.run()) for r in self.rafts.values()]

    async def leader(self, *, other_than=""):
        for _ in range(500):
            for address, raft in self.rafts.items():
                if raft.is_leader and address != other_than:
                    return address
            await asyncio.sleep(0.02)
        raise AssertionError("nobody leads")

    async def propose(self, data):
        for _ in range(500):
            raft = self.rafts[await self.leader()]
            try:
                async with asyncio.timeout(1.0):
                    return await raft.propose(data)
            except (GuavastreamError, TimeoutError):
                await asyncio.sleep(0.02)
        raise AssertionError("nothing is committed")


def play(folder, scenario):
    async def main():
        group = Group(folder)
        await group.leader()
        await scenario(group)
        assert all(not task.done() for task in group.tasks)

    run_paused(main())


def test_a_leader_whose_disk_hangs_makes_way(tmp_path):
    # Its heartbeats go on while nothing is committed: operators and servers
    # would wait for as long as the disk hangs.
    async def scenario(group):
        first = await group.leader()
        group.disks[first].hangs.clear()
        asyncio.ensure_future(group.rafts[first].propose(b"x")).add_done_callback(
            lambda task: task.exception()
        )
        second = await group.leader(other_than=first)
        await group.propose(b"y")
        assert second != first and not group.rafts[first].is_leader
        group.disks[first].hangs.set()
        await group.propose(b"z")

    play(tmp_path, scenario)


def test_a_leader_whose_disk_is_full_makes_way_and_comes_back(tmp_path):
    async def scenario(group):
        first = await group.leader()
        group.disks[first].full = True
        asyncio.ensure_future(group.rafts[first].propose(b"x")).add_done_callback(
            lambda task: task.exception()
        )
        await group.leader(other_than=first)
        await group.propose(b"y")
        group.disks[first].full = False
        others = [address for address in ADDRESSES if address != first]
        group.disks[others[0]].full = True
        await group.propose(b"z")

    play(tmp_path, scenario)


def test_a_suspended_leader_does_not_trust_its_lease(tmp_path):
    # The host stands still for seconds and its monotonic clock with it; when
    # it wakes, another leads. Answered from its lease, a read would be old.
    async def scenario(group):
        first = await group.leader()
        group.clocks[first].ahead += 3.0
        assert not group.rafts[first].is_leader

    play(tmp_path, scenario)
