"""Leaders with a hanging or full disk, and leaders that were suspended."""

import asyncio
import random

from guavastream.control import Raft, RaftTiming, StateMachine, Storage
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError

ADDRESSES = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


class Disk:
    """The disk of a voter; its writes can be made to hang or fail."""

    def __init__(self):
        self.writable = asyncio.Event()
        self.writable.set()
        self.full = False

    async def offload(self, function, *args):
        await self.writable.wait()
        if self.full:
            raise OSError(28, "No space left on device")
        return function(*args)


class Clock:
    """Monotonic clock of a voter that includes the time spent suspended."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return asyncio.get_running_loop().time() + self.suspended


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
        raise AssertionError("no voter became leader")

    async def propose(self, data):
        for _ in range(500):
            raft = self.rafts[await self.leader()]
            try:
                async with asyncio.timeout(1.0):
                    return await raft.propose(data)
            except (GuavastreamError, TimeoutError):
                await asyncio.sleep(0.02)
        raise AssertionError("no command was committed")


def run_with_group(folder, scenario):
    async def main():
        group = Group(folder)
        await group.leader()
        await scenario(group)
        assert all(not task.done() for task in group.tasks)

    run_paused(main())


def test_leader_with_a_hanging_disk_steps_down(tmp_path):
    # The leader still sends heartbeats but commits nothing, so operators and servers
    # would wait for as long as the disk hangs.
    async def scenario(group):
        first = await group.leader()
        group.disks[first].writable.clear()
        asyncio.ensure_future(group.rafts[first].propose(b"x")).add_done_callback(
            lambda task: task.exception()
        )
        second = await group.leader(other_than=first)
        await group.propose(b"y")
        assert second != first and not group.rafts[first].is_leader
        group.disks[first].writable.set()
        await group.propose(b"z")

    run_with_group(tmp_path, scenario)


def test_leader_with_a_full_disk_steps_down_and_votes_again_later(tmp_path):
    # A leader that cannot write must step down. After its disk has space again its
    # vote is needed, because the disk of another voter is full then.
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

    run_with_group(tmp_path, scenario)


def test_resumed_leader_does_not_rely_on_its_lease(tmp_path):
    # The host is suspended for seconds and another leader is elected. With a clock
    # that stops during suspension the old leader would still see a valid lease when
    # it resumes, and would answer reads with old state.
    async def scenario(group):
        first = await group.leader()
        group.clocks[first].suspended += 3.0
        assert not group.rafts[first].is_leader

    run_with_group(tmp_path, scenario)
