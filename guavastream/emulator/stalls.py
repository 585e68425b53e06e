"""A loop over real sockets that stands still for as long as it is told."""

import asyncio

__all__ = ["StallingLoop", "run_stalling"]


class StallingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can be moved on while nothing runs.

    What a busy or suspended process meets: timers that are long due, and sockets
    that have been readable for as long, in one turn.
    """

    def __init__(self, selector=None):
        super().__init__(selector)
        self._stood_still = 0.0

    def time(self):
        """Return the loop's clock, standstills included."""
        return super().time() + self._stood_still

    def stand_still(self, seconds):
        """Let the time pass in which nothing runs."""
        self._stood_still += seconds


def run_stalling(coroutine, *, selector=None):
    """Run a coroutine on a `StallingLoop`."""
    with asyncio.Runner(loop_factory=lambda: StallingLoop(selector)) as runner:
        return runner.run(coroutine)
