"""Concurrent calls to several control hosts for the same answer."""

import asyncio
import random

from guavastream.emulator import FakeNetwork, run_paused
from guavastream.leases import ControlClient, HedgedWatch, Watch, WatchAnswer
from guavastream.leases.hedged_watch import _ConcurrentCalls
from guavastream.messages import LargeAnswerCache, ReadPart

ADDRESSES = ("a", "b", "c")
TABLE_BYTES = 60_000
# Seconds that one part may take at first, and all its attempts.
PART_SECONDS, ATTEMPTS_SECONDS = 0.4, 1.2


class Tables:
    """Control hosts that answer each watch with the same long table."""

    def __init__(self):
        self.network = FakeNetwork()
        self.begun = []
        self.table = random.Random(1).randbytes(TABLE_BYTES)
        for address in ADDRESSES:
            cache = LargeAnswerCache(clock=asyncio.get_running_loop().time)
            self.network.serve(address, self._handler(address, cache))
        client = ControlClient(
            transport=self.network.transport("host"), addresses=ADDRESSES
        )
        self.watch = HedgedWatch(control=client, first="a")

    def _handler(self, address, cache):
        async def handle(request):
            if isinstance(request, ReadPart):
                await self.before_part(address)
                return cache.read(request)
            self.begun.append(address)
            return cache.split(WatchAnswer(table=self.table))

        return handle

    async def before_part(self, address):
        """Called before a control host sends a further part."""

    async def ask(self):
        """Return the table of the answer, and the seconds that it took."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await self.watch.ask(Watch(index=1, wait=0.0), final_wait=0.4)
        return answer.table, loop.time() - began_at


def test_answer_that_arrives_at_the_deadline_is_used():
    """Guards against an answer that is dropped and requested again elsewhere.

    It arrives in the loop iteration in which the wait for it times out.
    """

    async def main():
        loop = asyncio.get_running_loop()
        calls = _ConcurrentCalls(loop=loop)
        answer = loop.create_future()

        async def call():
            return await answer

        calls.add(call(), address="a", wait=1.0, sent_at=loop.time())
        until = loop.time() + 1.0
        waiting = asyncio.ensure_future(
            calls.first_answer(until, stop_if_all_failed=False)
        )
        await asyncio.sleep(0)
        # Due in the same loop iteration as the timeout, and before it.
        loop.call_at(until - 1e-7, answer.set_result, "news")
        found = await waiting
        assert found is not None and found.task.result() == "news"

    run_paused(main())


def test_answer_of_a_control_host_that_is_lost_is_read_from_another():
    """Guards against waiting for all attempts at a part before another is asked."""

    async def main():
        tables = Tables()

        async def lose(address):
            if address == "a":
                tables.network.remove("a")
                await asyncio.sleep(60.0)

        tables.before_part = lose
        table, seconds = await tables.ask()
        assert table == tables.table
        assert PART_SECONDS < seconds < ATTEMPTS_SECONDS
        assert tables.watch.first != "a"

    run_paused(main())


def test_answer_is_read_further_if_only_one_part_of_it_was_lost():
    """Guards against a second copy of an answer of which all other parts come."""

    async def main():
        tables = Tables()
        delays = iter([60.0])

        async def delay(address):
            await asyncio.sleep(next(delays, 0.0))

        tables.before_part = delay
        table, _ = await tables.ask()
        assert table == tables.table and tables.begun == ["a"]

    run_paused(main())


def test_answer_on_a_slow_link_stays_with_the_control_host_that_began_it():
    """Guards against a change of control host for a delay that all of them share."""

    async def main():
        tables = Tables()
        tables.network.narrow("host", 80_000)
        table, _ = await tables.ask()
        assert table == tables.table and tables.watch.first == "a"

    run_paused(main())
