"""All hosts lose power and return: every one of them has its book soon.

Callers were served by nobody after all hosts had lost power, for as long as anybody
looked: requests that need no key were refused like all others. What hosts lacked was
their first book. It had grown by 1,200 routes before; all hosts asked for it at the
same moment, over narrow links, from control hosts that came back one after the other,
and each gave up an answer that its link could not pass in time, asked the next one,
and had that answer queue behind the first.

Evidence: the record of a day on which not one of 3,025 requests was served from 15 s
after the return on; the same shape with the code from before long answers were read
part by part, where this test ends without a book at any host.
"""

import asyncio
import random

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.fleet import ChangeRoutes, FleetStateCodec
from guavastream.hosts.book_follower import BookFollower
from guavastream.hosts.tests.test_book_follower import NARROW, large_change
from guavastream.replica import TableHolder

HOSTS = 40
# Control hosts are back one after the other within this time.
SPREAD_SECONDS = 0.3
DOWN_SECONDS = 1.0
# A quarter of what callers send is to be served 15 s after the return at the
# latest; a host that has its book by this time leaves most of that to servers,
# which start cold and without keys.
BOOK_SECONDS = 4.0
# A change that is sent in a calm time is acknowledged within this time.
ACKNOWLEDGED_SECONDS = 4.0


class Follower:
    """The book of one host behind a link of its own."""

    def __init__(self, core, number):
        self._core = core
        self._address = f"10.2.0.{number}:1"
        core.network.narrow(self._address, NARROW)
        self._start()

    def _start(self):
        self.books = TableHolder(codec=FleetStateCodec())
        follower = BookFollower(
            control=self._core.client(self._address),
            books=self.books,
            seeds=self._core.seeds,
            on_change=lambda before, book: None,
        )
        self._task = asyncio.ensure_future(follower.run())

    def restart(self):
        """Lose what was known."""
        self._task.cancel()
        self._start()

    @property
    def version(self):
        """Version of the configuration that is in force."""
        return self.books.table.config.version


async def lose_power(core, hosts, rng):
    """Take all down at once; bring control hosts back one after the other."""
    for address in core.addresses:
        core.kill(address)
    await asyncio.sleep(DOWN_SECONDS)
    for host in hosts:
        host.restart()
    for address in rng.sample(core.addresses, len(core.addresses)):
        core.start(address, first=False)
        await asyncio.sleep(rng.uniform(0, SPREAD_SECONDS / len(core.addresses)))


def test_all_hosts_have_their_books_soon_after_power_returns(tmp_path):
    async def main():
        core = await start_control_cluster(tmp_path)
        await core.change(large_change())
        hosts = [Follower(core, number) for number in range(HOSTS)]
        await core.until(lambda: all(host.version == 2 for host in hosts))
        await lose_power(core, hosts, random.Random(7))
        await core.until(
            lambda: all(host.version == 2 for host in hosts), seconds=BOOK_SECONDS
        )

    run_paused(main())


def test_a_change_is_acknowledged_and_in_force_soon_after_power_returns(tmp_path):
    # The books of all hosts are on their way while an operator sends the next
    # change. It must not wait for them, nor be lost to hosts that came late.
    async def main():
        core = await start_control_cluster(tmp_path)
        await core.change(large_change())
        hosts = [Follower(core, number) for number in range(HOSTS)]
        await core.until(lambda: all(host.version == 2 for host in hosts))
        await lose_power(core, hosts, random.Random(11))
        change = ChangeRoutes(base=2, version=3, digest=b"third", whole=False)
        async with asyncio.timeout(ACKNOWLEDGED_SECONDS):
            await core.change(change)
        await core.until(
            lambda: all(host.version == 3 for host in hosts), seconds=BOOK_SECONDS
        )

    run_paused(main())
