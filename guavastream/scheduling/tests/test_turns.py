"""Tests that the lock goes to the newest waiter and is never lost."""

import asyncio

import pytest

from guavastream.emulator import run_paused
from guavastream.scheduling.turns import LifoLock


def run_scenario(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        await scenario(loop, LifoLock(loop=loop))

    run_paused(main())


def test_the_newest_waiter_goes_first():
    """Guards against granting the lock to requests with no time left to use it."""

    async def scenario(loop, lock):
        order = []

        async def work(number):
            await lock.acquire(until=loop.time() + 9.0)
            order.append(number)
            await asyncio.sleep(1.0)
            lock.release()

        await asyncio.gather(*(work(number) for number in range(4)))
        assert order == [0, 3, 2, 1]

    run_scenario(scenario)


@pytest.mark.parametrize("ends", ["time", "cancelled"])
def test_a_lock_granted_as_its_waiter_stops_is_not_lost(ends):
    """Guards against a lock that has no holder and is never granted again."""

    async def scenario(loop, lock):
        await lock.acquire(until=0.0)
        waiting = asyncio.ensure_future(lock.acquire(until=loop.time() + 1.0))
        await asyncio.sleep(0)

        def end():
            lock.release()
            if ends == "cancelled":
                waiting.cancel()

        # Runs in the same iteration of the event loop as the time limit expires.
        loop.call_at(loop.time() + (1.0 if ends == "time" else 0.5), end)
        with pytest.raises((TimeoutError, asyncio.CancelledError)):
            await waiting
        await lock.acquire(until=loop.time() + 1.0)

    run_scenario(scenario)
