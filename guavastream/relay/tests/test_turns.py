"""Turns go to the newest, and none is lost."""

import asyncio

import pytest

from guavastream.emulator import run_paused
from guavastream.relay.turns import Turns


def play(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        await scenario(loop, Turns(loop=loop))

    run_paused(main())


def test_the_newest_goes_first():
    """Guards against turns that come when the time for them is over."""

    async def scenario(loop, turns):
        order = []

        async def work(number):
            await turns.take(until=loop.time() + 9.0)
            order.append(number)
            await asyncio.sleep(1.0)
            turns.give_back()

        await asyncio.gather(*(work(number) for number in range(4)))
        assert order == [0, 3, 2, 1]

    play(scenario)


@pytest.mark.parametrize("ends", ["time", "cancelled"])
def test_a_turn_that_comes_with_the_end_of_waiting_is_not_lost(ends):
    """Guards against a turn that nobody has, after which none is given."""

    async def scenario(loop, turns):
        await turns.take(until=0.0)
        waiting = asyncio.ensure_future(turns.take(until=loop.time() + 1.0))
        await asyncio.sleep(0)

        def end():
            turns.give_back()
            if ends == "cancelled":
                waiting.cancel()

        # Due in the same turn of the loop as the time limit.
        loop.call_at(loop.time() + (1.0 if ends == "time" else 0.5), end)
        with pytest.raises((TimeoutError, asyncio.CancelledError)):
            await waiting
        await turns.take(until=loop.time() + 1.0)

    play(scenario)
