"""A host's work does not grow with hosts x changes.

While keys moved, each host of 196 took some twenty answers of the control hosts a
second, one for each commit: most of what its process used. Nothing was wrong with
any of them, but the work of all grew with the number of hosts times the number of
changes, and a day of 200 hosts used up its processor time. What hosts need is the
newest state within a fraction of the time in which a change is to be in force, and
at once where a request waits for a key.
"""

import asyncio

from guavastream.control.machine import TableStateMachine
from guavastream.control.watching import WatchService
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.fleet import (
    FleetStateCodec,
    JoinInstance,
    LeaveInstance,
    encode_command,
)
from guavastream.hosts.book_follower import ANSWERS_PER_SECOND, BookFollower
from guavastream.kernel import Signal, TimeLimit
from guavastream.leases import ControlClient
from guavastream.replica import TableHolder

CONTROL_HOSTS = ("10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1")
HOSTS = 200
SECONDS = 2.0
# Time between two commits while many keys move.
COMMIT_SECONDS = 0.01
# Half of what is allowed for a change to be in force everywhere.
IN_FORCE_SECONDS = 1.0


class Log:
    """Commits at once, and wakes whoever waits for what is applied."""

    def __init__(self, machine):
        self._machine = machine
        self._loop = asyncio.get_running_loop()
        self._applied = Signal(loop=self._loop)

    @property
    def index(self):
        return self._machine.table.index

    @property
    def applied(self):
        return self.index

    def commit(self, command):
        self._machine.apply(self.index + 1, encode_command(command))
        self._applied.set()
        self._applied = Signal(loop=self._loop)

    async def wait_applied(self, index, timeout):
        if self.index > index:
            return
        try:
            with TimeLimit.within(timeout, loop=self._loop):
                await self._applied.wait()
        except TimeoutError:
            pass


def start(*, hosts):
    """Return the log of control hosts that know so many servers, and a follower."""
    network = FakeNetwork(seed=1)
    machine = TableStateMachine(codec=FleetStateCodec())
    log = Log(machine)
    clock = asyncio.get_running_loop().time
    desk = WatchService(raft=log, machine=machine, clock=clock)
    for address in CONTROL_HOSTS:
        network.serve(address, desk.answer)
    for number in range(hosts):
        log.commit(make_server(number))
    return log, Follower(network)


def make_server(number):
    return JoinInstance(
        id=f"i{number}",
        service="s",
        host=f"h{number}",
        door=f"door-{number}",
        address=f"server-{number}",
        zone="z",
        slots=8,
    )


class Follower:
    """The book of one host, and how often it changed."""

    def __init__(self, network):
        self.answers = 0
        self.books = TableHolder(codec=FleetStateCodec())
        transport = network.transport("10.2.0.1:1")
        follower = BookFollower(
            control=ControlClient(transport=transport, addresses=CONTROL_HOSTS),
            books=self.books,
            seeds=CONTROL_HOSTS,
            on_change=self._note,
        )
        self._task = asyncio.ensure_future(follower.run())

    def _note(self, before, book):
        self.answers += before is not book


async def change_on(log):
    """Commit one change after the other."""
    for number in range(int(SECONDS / COMMIT_SECONDS)):
        log.commit(LeaveInstance(id=f"i{number % HOSTS}"))
        await asyncio.sleep(COMMIT_SECONDS)


def test_answers_do_not_grow_with_the_number_of_changes():
    async def main():
        log, host = start(hosts=HOSTS)
        await host.books.wait(log.index, 2.0)
        before = host.answers
        await change_on(log)
        share = ANSWERS_PER_SECOND * len(CONTROL_HOSTS) / HOSTS
        assert host.answers - before <= SECONDS * share + 2

    run_paused(main())


def test_a_single_change_is_known_at_once():
    # Nothing has changed for a while: the host has a watch at the control host.
    async def main():
        log, host = start(hosts=HOSTS)
        await asyncio.sleep(SECONDS)
        log.commit(LeaveInstance(id="i0"))
        await asyncio.sleep(0.01)
        assert host.books.table.index == log.index

    run_paused(main())


def test_the_last_of_many_changes_is_known_in_time():
    async def main():
        log, host = start(hosts=HOSTS)
        await change_on(log)
        index = log.index
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert host.books.table.index >= index

    run_paused(main())


def test_a_request_that_waits_for_news_does_not_wait_for_the_pause():
    # Its key moves while the host pauses: without a word of the request the host
    # would look a sixth of a second later, at a thousand hosts nearly a second.
    async def main():
        log, host = start(hosts=HOSTS)
        loop = asyncio.get_running_loop()
        longest = 0.0
        moving = asyncio.ensure_future(change_on(log))
        while not moving.done():
            index = host.books.table.index
            began = loop.time()
            await host.books.wait(index + 1, 1.0)
            if not moving.done():
                longest = max(longest, loop.time() - began)
        pause = HOSTS / len(CONTROL_HOSTS) / ANSWERS_PER_SECOND
        assert longest < pause / 2

    run_paused(main())


def test_a_small_deployment_does_not_pause():
    async def main():
        log, host = start(hosts=6)
        await host.books.wait(log.index, 2.0)
        before = host.answers
        for _ in range(20):
            log.commit(LeaveInstance(id="i0"))
            await asyncio.sleep(COMMIT_SECONDS)
        assert host.answers - before >= 18

    run_paused(main())
