"""A change is in force everywhere in time while control hosts are cut apart.

Callers of some hosts were served by the routes of before, 2.7 s after a change had
been acknowledged. The control hosts had been cut in two; the larger side accepted the
change. The hosts reached all control hosts. One after the other they asked one on the
smaller side, which said only at the end of the wait that it hears no leader; one whose
answer did not come in time, because the host's link was full of uploads; and a third
one, which had the change. Whether that is in time was left to luck: to the order in
which control hosts are asked, and to how long each of them is waited for.

Evidence: the lines of three hosts of 94 that had the change 2.2 to 2.6 s after its
acknowledgement tell the same chain, 0.8 s at a host of the smaller side, 1.05 s at the
next, and 0.3 to 0.9 s until the answer of the third was in force.
"""

import asyncio
import itertools
import random

import pytest

from guavastream.control.tests.test_fleet import (
    FIRST_CHANGE,
    ControlCluster,
    start_control_cluster,
)
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.fleet import ChangeRoutes, FleetStateCodec
from guavastream.hosts.book_follower import BookFollower
from guavastream.hosts.control_host import TIMING
from guavastream.leases import ControlClient, Watch
from guavastream.replica import TableHolder

# Time after its acknowledgement within which a change is to be in force: the
# 2 s that operators are promised, less what a request needs on its way, and a
# margin for hosts that are busy.
IN_FORCE_SECONDS = 1.5
CUT_SECONDS = 4.0
CHANGE_EVERY_SECONDS = 0.05


class Host:
    """Follows the book; notes when each version of the configuration is in force."""

    def __init__(self, core, number, *, first):
        self.address = f"10.2.0.{number}:1"
        self.in_force = {}
        self.books = TableHolder(codec=FleetStateCodec())
        order = core.addresses[first:] + core.addresses[:first]
        follower = BookFollower(
            control=ControlClient(
                transport=core.network.transport(self.address), addresses=order
            ),
            books=self.books,
            # One seed alone: then the first of `order` is asked first.
            seeds=order[:1],
            on_change=self._note,
        )
        self._task = asyncio.ensure_future(follower.run())

    def _note(self, before, book):
        now = asyncio.get_running_loop().time()
        for version in range(before.config.version + 1, book.config.version + 1):
            self.in_force[version] = now


class Operator:
    """Makes one change after the other; notes when each was acknowledged."""

    def __init__(self, core):
        self._core = core
        self.acknowledged = {}

    async def change_on(self, side, seconds):
        """Change the configuration by the control hosts of one side of the cut."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        version = 1
        while loop.time() < end:
            leader = self._core.leader()
            if leader not in side:
                await asyncio.sleep(0.01)
                continue
            client = self._core.client("10.3.0.1:1")
            client.prefer(leader)
            version += 1
            change = ChangeRoutes(
                base=version - 1,
                version=version,
                digest=str(version).encode(),
                whole=False,
            )
            await client.submit(change, timeout=1.0)
            self.acknowledged[version] = loop.time()
            await asyncio.sleep(CHANGE_EVERY_SECONDS)


def cut(core, minority):
    """Cut control hosts from each other; hosts reach all of them."""
    for one, other in itertools.product(minority, core.addresses):
        if other not in minority:
            core.network.cut(one, other)


async def play(folder, *, count, minority, silent=False, queue=0.0):
    """Return the longest time until a change was in force at any host, seconds.

    Parameters
    ----------
    folder : pathlib.Path
        For the disks of control hosts.
    count : int
        Control hosts.
    minority : tuple of int
        Which of them are on the smaller side of the cut.
    silent : bool
        Whether the answers of one on the larger side reach no host.
    queue : float
        Seconds for which a message waits on the link of each host.
    """
    random.seed(1)
    core = await start_control_cluster(
        folder, count=count, timing=TIMING, losses=len(minority)
    )
    hosts = [Host(core, number, first=number) for number in range(count)]
    minority = [core.addresses[number] for number in minority]
    majority = [a for a in core.addresses if a not in minority]
    # Hosts begin their waits at other times than each other.
    for number, host in enumerate(hosts):
        await core.until(lambda host=host: host.books.table.config.version == 1)
        await asyncio.sleep(0.1 * number)
    if silent:
        for host in hosts:
            core.network.cut(majority[0], host.address)
    for host in hosts:
        core.network.queue(host.address, queue)
    cut(core, minority)
    operator = Operator(core)
    await operator.change_on(majority, CUT_SECONDS)
    await asyncio.sleep(2 * IN_FORCE_SECONDS)
    return max(
        host.in_force.get(version, float("inf")) - at
        for host in hosts
        for version, at in operator.acknowledged.items()
    )


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("minority", itertools.combinations(range(5), 2))
def test_a_change_is_in_force_in_time_whoever_is_asked_first(
    tmp_path, minority, silent
):
    # `silent` is one control host of the larger side whose answers do not reach
    # any host in time, as on a link that is full.
    longest = run_paused(play(tmp_path, count=5, minority=minority, silent=silent))
    assert longest <= IN_FORCE_SECONDS


@pytest.mark.parametrize("count, minority", [(3, (1,)), (7, (0, 3, 6)), (7, (0, 1, 2))])
def test_a_change_is_in_force_in_time_with_three_and_seven_control_hosts(
    tmp_path, count, minority
):
    longest = run_paused(play(tmp_path, count=count, minority=minority))
    assert longest <= IN_FORCE_SECONDS


@pytest.mark.parametrize("minority", [(0, 1), (1, 2), (3, 4)])
def test_a_change_is_in_force_in_time_behind_links_with_long_queues(tmp_path, minority):
    # Bodies of uploads stand in the queue of a host's link. An answer that waits
    # there is late, not lost: it must not be given up for the next one, nor be
    # waited for alone.
    longest = run_paused(
        play(tmp_path, count=5, minority=minority, silent=True, queue=0.15)
    )
    assert longest <= IN_FORCE_SECONDS


def test_hosts_do_not_ask_without_end_while_no_leader_is_elected(tmp_path):
    # Each control host says at once that it hears no leader. Hosts that ask the
    # next one at once, all of them, would use up what control hosts need to elect.
    async def main():
        random.seed(1)
        core = await start_control_cluster(tmp_path, timing=TIMING)
        asked = []
        for address in core.addresses:
            core.network.isolate(address, core.addresses)
            core.network.serve(address, count_watches(core, address, asked))
        hosts = [Host(core, number, first=number % 5) for number in range(20)]
        await asyncio.sleep(2.0)
        asked.clear()
        await asyncio.sleep(4.0)
        rounds = len(asked) / len(core.addresses) / len(hosts) / 4.0
        assert rounds <= 4.0

    run_paused(main())


def count_watches(core, address, asked):
    handler = core.network.handler_of(address)

    async def handle(request):
        if isinstance(request, Watch):
            asked.append(address)
        return await handler(request)

    return handle


class StallingCore(ControlCluster):
    """Control hosts of which one has a disk that hangs."""

    stalled = None

    async def offload(self, function, *args):
        while getattr(function, "__self__", None) is self.stalled is not None:
            await asyncio.sleep(0.01)
        return function(*args)

    def stall(self, address):
        self.stalled = self.rafts[address]._storage


def test_a_change_is_in_force_in_time_beside_a_control_host_with_a_hanging_disk(
    tmp_path,
):
    # The disk of one control host hangs. The others acknowledge a change; that one
    # hears the leader, but can store nothing, and so knows nothing new. Hosts that
    # asked it were told that there is no news, as fresh as any, until its disk went
    # on: their callers were served by the routes of before for as long.
    async def main():
        random.seed(1)
        core = StallingCore(tmp_path, FakeNetwork(seed=1), timing=TIMING)
        core.start_all()
        await core.wait_for_voters()
        await core.change(FIRST_CHANGE)
        hosts = [Host(core, number, first=number) for number in range(5)]
        for host in hosts:
            await core.until(lambda host=host: host.books.table.config.version == 1)
        away = next(a for a in core.addresses if a != core.leader())
        core.stall(away)
        await asyncio.sleep(0.5)
        operator = Operator(core)
        await operator.change_on(core.addresses, 2.0)
        longest = max(
            host.in_force.get(version, float("inf")) - at
            for host in hosts
            for version, at in operator.acknowledged.items()
            if at < asyncio.get_running_loop().time() - IN_FORCE_SECONDS
        )
        assert longest <= IN_FORCE_SECONDS

    run_paused(main())
