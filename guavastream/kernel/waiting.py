"""Waiting for events and for an end of time, for a loop that is known.

What `asyncio` offers for both looks its loop up at each use, and each look-up
is a system call in Python 3.11: half of those of a process under load.
"""

import asyncio
import contextlib

__all__ = ["Signal", "TimeLimit", "TimeLimits"]


class Signal:
    """An event that tasks of one loop wait for.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop of the tasks.
    """

    __slots__ = ("_loop", "_set", "_waiters")

    def __init__(self, *, loop):
        self._loop = loop
        self._set = False
        self._waiters = []

    def is_set(self):
        """Whether waiting ends at once."""
        return self._set

    def set(self):
        """Let all that wait go on, and later ones pass."""
        self._set = True
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def clear(self):
        """Let later ones wait."""
        self._set = False

    async def wait(self):
        """Wait until it is set."""
        if self._set:
            return
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        await waiter

    async def wait_until(self, when):
        """Wait until it is set; return False if it is not by the loop's time `when`.

        What sets it in the very turn of the loop in which the time is over counts.
        """
        try:
            with TimeLimit(loop=self._loop, when=when):
                await self.wait()
        except TimeoutError:
            return self._set
        return True


class TimeLimit:
    """Ends what runs inside a `with` block at a time, by `TimeoutError`.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    when : float
        The loop's time at which the block ends.

    Notes
    -----
    Works as `asyncio.timeout_at`: a cancellation from elsewhere passes
    through, also if it comes at the same moment.
    """

    __slots__ = ("_cancelling", "_expired", "_handle", "_loop", "_task", "_when")

    def __init__(self, *, loop, when):
        self._loop = loop
        self._when = when
        self._expired = False

    @classmethod
    def within(cls, seconds, *, loop):
        """Return a limit so many seconds from now."""
        return cls(loop=loop, when=loop.time() + max(0.0, seconds))

    @property
    def when(self):
        """The loop's time at which the block ends."""
        return self._when

    def reschedule(self, when):
        """Let the block end at another time, unless its time is over."""
        if self._expired:
            return
        self._when = when
        self._handle.cancel()
        self._handle = self._loop.call_at(when, self._expire)

    def __enter__(self):
        self._task = asyncio.current_task(self._loop)
        self._cancelling = self._task.cancelling()
        self._handle = self._loop.call_at(self._when, self._expire)
        return self

    def __exit__(self, kind, error, trace):
        self._handle.cancel()
        if not self._expired:
            return
        if self._task.uncancel() <= self._cancelling:
            if kind is asyncio.CancelledError:
                raise TimeoutError from error

    def _expire(self):
        self._expired = True
        self._task.cancel()


class TimeLimits:
    """The limits of many blocks, which can all be made to end by one time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    """

    def __init__(self, *, loop):
        self._loop = loop
        self._end = float("inf")
        self._open = set()

    @property
    def end(self):
        """The loop's time by which all blocks end."""
        return self._end

    @contextlib.contextmanager
    def until(self, when):
        """End what runs inside a `with` block at a time, as `TimeLimit` does."""
        with TimeLimit(loop=self._loop, when=min(when, self._end)) as limit:
            self._open.add(limit)
            try:
                yield
            finally:
                self._open.discard(limit)

    def end_by(self, when):
        """Let all blocks end by a time, those that are open and later ones."""
        self._end = when
        for limit in self._open:
            limit.reschedule(min(limit.when, when))
