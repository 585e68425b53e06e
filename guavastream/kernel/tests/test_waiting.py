"""Time limits and signals behave like those of asyncio."""

import asyncio

import pytest

from guavastream.emulator import run_paused
from guavastream.kernel import Signal, TimeLimit, TimeLimitGroup


def run(main):
    async def start():
        return await main(asyncio.get_running_loop())

    return run_paused(start())


def test_block_is_interrupted_at_its_time_limit():
    async def main(loop):
        started = loop.time()
        with pytest.raises(TimeoutError):
            with TimeLimit(loop=loop, when=started + 1.0):
                await asyncio.sleep(5.0)
        assert loop.time() == pytest.approx(started + 1.0)
        # The timeout leaves no cancellation request on the task.
        assert not asyncio.current_task().cancelling()
        await asyncio.sleep(1.0)

    run(main)


def test_limit_of_a_finished_block_does_not_fire_later():
    async def main(loop):
        with TimeLimit(loop=loop, when=loop.time() + 1.0):
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)

    run(main)


def test_limit_can_be_rescheduled():
    async def main(loop):
        started = loop.time()
        with pytest.raises(TimeoutError):
            with TimeLimit(loop=loop, when=started + 9.0) as limit:
                limit.reschedule(started + 0.5)
                assert limit.when == started + 0.5
                await asyncio.sleep(5.0)
        assert loop.time() == pytest.approx(started + 0.5)

    run(main)


@pytest.mark.parametrize("after", [0.5, 1.0])
def test_cancellation_by_other_code_is_not_lost(after):
    # A caller may disconnect at the same time as its request times out. The task must
    # end, or it would go on working on an abandoned request.
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


def test_nested_limit_interrupts_only_its_own_block():
    async def main(loop):
        with TimeLimit(loop=loop, when=loop.time() + 2.0):
            with pytest.raises(TimeoutError):
                with TimeLimit(loop=loop, when=loop.time() + 1.0):
                    await asyncio.sleep(5.0)

    run(main)


def test_signal_wakes_all_waiting_tasks_and_stays_set_until_cleared():
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


def test_expired_limit_is_not_rescheduled():
    """Guards against a second cancellation, which would look like one by other code."""

    async def main(loop):
        limits = []

        async def work():
            try:
                with TimeLimit(loop=loop, when=loop.time() + 1.0) as limit:
                    limits.append(limit)
                    # Waiting for another task takes one more loop iteration to end.
                    await asyncio.ensure_future(asyncio.sleep(5.0))
            except TimeoutError:
                await asyncio.sleep(0.5)
                return "handled"

        task = asyncio.ensure_future(work())
        await asyncio.sleep(0)
        # Due in the same loop iteration as the limit, right after it.
        loop.call_at(loop.time() + 1.0, lambda: limits[0].reschedule(loop.time()))
        assert await task == "handled"

    run(main)


def test_data_that_arrived_before_the_time_limit_is_handled():
    """Guards against answers that are dropped after a pause of the process."""

    async def main(loop):
        writers = []
        server = await asyncio.start_server(
            lambda reader, writer: writers.append(writer), "10.0.0.1", 1
        )
        reader, writer = await asyncio.open_connection("10.0.0.1", 1)
        await asyncio.sleep(0.1)
        with TimeLimitGroup(loop=loop).until(loop.time()):
            # The loop finds the data and the expired limit in its next iteration.
            writers[0].write(b"data")
            assert await reader.readexactly(4) == b"data"
        with pytest.raises(TimeoutError):
            with TimeLimitGroup(loop=loop).until(loop.time()):
                await reader.readexactly(4)
        for opened in (writer, *writers):
            opened.close()
        server.close()

    run(main)


def test_common_limit_ends_a_block_whose_own_limit_has_just_passed():
    """Guards against two interruptions of a block, one of them after its end."""

    async def main(loop):
        limits = TimeLimitGroup(loop=loop)
        loop.call_later(1.0, lambda: limits.end_by(loop.time()))
        with pytest.raises(TimeoutError):
            with limits.until(loop.time() + 1.0):
                await asyncio.sleep(5.0)
        assert loop.time() == pytest.approx(1.0)
        assert not asyncio.current_task().cancelling()
        await asyncio.sleep(1.0)

    run(main)
