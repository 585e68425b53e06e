"""Background tasks that run as long as their owner."""

import asyncio

__all__ = ["Tasks"]


class Tasks:
    """Runs background tasks and reports the first failure."""

    def __init__(self):
        self._tasks = set()
        self._failed = asyncio.get_running_loop().create_future()

    def spawn(self, coroutine):
        """Run a coroutine as a task until it ends or `stop` is called."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None or self._failed.done():
            return
        # A process that went on without a failed task would look healthy while
        # doing only part of its work.
        self._failed.set_exception(task.exception())

    async def wait_failed(self):
        """Wait until a task has failed, and raise its error."""
        await asyncio.shield(self._failed)

    async def stop(self):
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
