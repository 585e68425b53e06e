"""Events and time limits that are bound to an event loop.

Those of `asyncio` look up the running loop at each use. In Python 3.11 each look-up
is a system call; they were half of all system calls of a process under load.
"""

import asyncio
import contextlib

__all__ = ["Signal", "TimeLimit", "TimeLimitGroup"]


class Signal:
    """An event for tasks of one loop, like `asyncio.Event`.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop of the waiting tasks.
    """

    __slots__ = ("_loop", "_set", "_waiters")

    def __init__(self, *, loop):
        self._loop = loop
        self._set = False
        self._waiters = []

    def is_set(self):
        """Whether the signal is set."""
        return self._set

    def set(self):
        """Wake all waiting tasks. Until `clear`, `wait` returns at once."""
        self._set = True
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def clear(self):
        """Reset the signal, so that `wait` blocks again."""
        self._set = False

    async def wait(self):
        """Wait until the signal is set."""
        if self._set:
            return
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        await waiter

    async def wait_until(self, when):
        """Wait until the signal is set, at most until the loop time `when`.

        Return whether it is set. That includes a signal that is set in the same loop
        iteration in which the time limit expires.
        """
        try:
            with TimeLimit(loop=self._loop, when=when):
                await self.wait()
        except TimeoutError:
            return self._set
        return True


class TimeLimit:
    """Context manager that raises `TimeoutError` in its block at a given time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    when : float
        Loop time at which the block is interrupted.
    yields : bool
        Whether the block first handles data that had arrived by that time. After a
        pause of the process, the data and the time limit are due in the same loop
        iteration.

    Notes
    -----
    Works like `asyncio.timeout_at`: a cancellation by other code is passed on, even
    if it happens at the same time as the timeout.
    """

    __slots__ = (
        "_cancelling",
        "_expired",
        "_handle",
        "_loop",
        "_task",
        "_when",
        "_yields",
    )

    def __init__(self, *, loop, when, yields=False):
        self._loop = loop
        self._when = when
        self._yields = yields
        self._expired = False

    @classmethod
    def within(cls, seconds, *, loop):
        """Return a limit that expires after `seconds`."""
        return cls(loop=loop, when=loop.time() + max(0.0, seconds))

    @property
    def when(self):
        """Loop time at which the block is interrupted."""
        return self._when

    def reschedule(self, when):
        """Change the time of the limit, unless it has already expired."""
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
        if self._yields:
            # Tasks that the data of this iteration wakes run before this callback.
            self._handle = self._loop.call_soon(self._interrupt)
        else:
            self._interrupt()

    def _interrupt(self):
        self._expired = True
        self._task.cancel()


class TimeLimitGroup:
    """Time limits of many blocks, with a common limit that can be set later.

    A block first handles data that had arrived by its time limit.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    """

    def __init__(self, *, loop):
        self._loop = loop
        self._end = float("inf")
        self._active = set()

    @property
    def end(self):
        """Loop time by which all blocks end; infinite until `end_by` is called."""
        return self._end

    @contextlib.contextmanager
    def until(self, when):
        """Limit a `with` block to the loop time `when`, or to `end` if earlier."""
        when = min(when, self._end)
        with TimeLimit(loop=self._loop, when=when, yields=True) as limit:
            self._active.add(limit)
            try:
                yield
            finally:
                self._active.discard(limit)

    def end_by(self, when):
        """End all blocks by the loop time `when`, both current and later ones."""
        self._end = when
        for limit in self._active:
            limit.reschedule(min(limit.when, when))
