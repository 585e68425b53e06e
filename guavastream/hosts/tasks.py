"""Tasks that run as long as their process."""

import asyncio

__all__ = ["Tasks"]


class Tasks:
    """Runs tasks; the first that fails is told to whoever waits."""

    def __init__(self):
        self._tasks = set()
        self._failed = asyncio.get_running_loop().create_future()

    def spawn(self, coroutine):
        """Run a coroutine until the process stops."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None or self._failed.done():
            return
        # A part that has died while the others go on would leave a process
        # that looks well and does half its work.
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
