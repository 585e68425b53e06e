"""Time limits and signals behave as those of asyncio do."""

import asyncio

import pytest

from guavastream.emulator import run_paused
from guavastream.kernel import Signal, TimeLimit


def run(main):
    async def start():
        return await main(asyncio.get_running_loop())

    return run_paused(start())


def test_a_block_ends_at_its_time():
    async def main(loop):
        began = loop.time()
        with pytest.raises(TimeoutError):
            with TimeLimit(loop=loop, when=began + 1.0):
                await asyncio.sleep(5.0)
        assert loop.time() == pytest.approx(began + 1.0)
        # The task goes on as if nothing had been cancelled.
        assert not asyncio.current_task().cancelling()
        await asyncio.sleep(1.0)

    run(main)


def test_a_block_that_ends_sooner_leaves_nothing_behind():
    async def main(loop):
        with TimeLimit(loop=loop, when=loop.time() + 1.0):
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)

    run(main)


def test_a_limit_may_be_moved():
    async def main(loop):
        began = loop.time()
        with pytest.raises(TimeoutError):
            with TimeLimit(loop=loop, when=began + 9.0) as limit:
                limit.reschedule(began + 0.5)
                assert limit.when == began + 0.5
                await asyncio.sleep(5.0)
        assert loop.time() == pytest.approx(began + 0.5)

    run(main)


@pytest.mark.parametrize("after", [0.5, 1.0])
def test_a_cancellation_from_elsewhere_is_not_lost(after):
    # A caller leaves, perhaps at the very moment its time is over: the task
    # must end, or it would work on for nobody.
    async def main(loop):
        async def work():
            with TimeLimit(loop=loop, when=loop.time() + 1.0):
                await asyncio.sleep(5.0)

        task = asyncio.ensure_future(work())
        await asyncio.sleep(0)
        loop.call_at(loop.time() + after, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task

    run(main)


def test_nested_limits_end_their_own_block():
    async def main(loop):
        with TimeLimit(loop=loop, when=loop.time() + 2.0):
            with pytest.raises(TimeoutError):
                with TimeLimit(loop=loop, when=loop.time() + 1.0):
                    await asyncio.sleep(5.0)

    run(main)


def test_a_signal_wakes_all_that_wait_and_lets_later_ones_pass():
    async def main(loop):
        signal = Signal(loop=loop)
        woken = []

        async def wait(name):
            await signal.wait()
            woken.append(name)

        tasks = [asyncio.ensure_future(wait(name)) for name in "ab"]
        await asyncio.sleep(0)
        tasks.append(asyncio.ensure_future(wait("c")))
        await asyncio.sleep(0)
        tasks[2].cancel()
        await asyncio.sleep(0)
        signal.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert woken == ["a", "b"]
        await signal.wait()
        signal.clear()
        with pytest.raises(TimeoutError):
            with TimeLimit(loop=loop, when=loop.time() + 1.0):
                await signal.wait()

    run(main)


def test_a_limit_that_has_struck_is_not_moved():
    """Guards against a second cancellation, which is taken for one from elsewhere."""

    async def main(loop):
        limits = []

        async def work():
            try:
                with TimeLimit(loop=loop, when=loop.time() + 1.0) as limit:
                    limits.append(limit)
                    # The end of another task takes a turn of the loop more.
                    await asyncio.ensure_future(asyncio.sleep(5.0))
            except TimeoutError:
                await asyncio.sleep(0.5)
                return "handled"

        task = asyncio.ensure_future(work())
        await asyncio.sleep(0)
        # Due in the same turn as the limit, and right behind it.
        loop.call_at(loop.time() + 1.0, lambda: limits[0].reschedule(loop.time()))
        assert await task == "handled"

    run(main)
