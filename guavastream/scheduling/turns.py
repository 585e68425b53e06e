"""A lock that is granted to the newest waiter first."""

import asyncio

from guavastream.kernel import TimeLimit

__all__ = ["LifoLock"]


class LifoLock:
    """A mutual exclusion lock for requests, granted to the newest waiter first.

    The newest waiter has the most time left. In order of arrival, each request of a
    standing queue would get the lock with most of its time used up and be cut off
    while it runs, and so would the next one.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop, whose time is used as the clock.
    """

    def __init__(self, *, loop):
        self._loop = loop
        self._locked = False
        self._waiters = []

    async def acquire(self, *, until):
        """Wait for the lock; the holder calls `release`.

        Raises
        ------
        TimeoutError
            If it was not granted by the loop time `until`.
        """
        if not self._locked:
            self._locked = True
            return
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        try:
            with TimeLimit(loop=self._loop, when=until):
                await waiter
        except (TimeoutError, asyncio.CancelledError):
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif waiter.done() and not waiter.cancelled():
                # Granted just as the request stopped waiting.
                self.release()
            raise

    def release(self):
        """Release the lock and grant it to the newest waiter, if there is one."""
        while self._waiters:
            waiter = self._waiters.pop()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._locked = False
