"""Several control hosts asked for the same news."""

import asyncio

from guavastream.emulator import run_paused
from guavastream.leases.hedged_watch import _Asked


def test_an_answer_that_comes_as_the_time_is_over_is_taken():
    """Guards against news that is dropped and asked for anew elsewhere."""

    async def main():
        loop = asyncio.get_running_loop()
        asked = _Asked(loop=loop)
        answer = loop.create_future()

        async def call():
            return await answer

        asked.add(call(), address="a", wait=1.0)
        until = loop.time() + 1.0
        waiting = asyncio.ensure_future(asked.answered(until, hasty=False))
        await asyncio.sleep(0)
        # Due in the same turn of the loop, and before it.
        loop.call_at(until - 1e-7, answer.set_result, "news")
        found = await waiting
        assert found is not None and found.task.result() == "news"

    run_paused(main())
