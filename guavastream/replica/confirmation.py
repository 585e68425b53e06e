"""How current a process's copy of a replicated table is known to be."""

import asyncio

from guavastream.kernel import Signal, steady_time

__all__ = ["Confirmation"]


class Confirmation:
    """Knows through which time a copy has all that was committed.

    A copy is valid while that time is recent enough. It becomes invalid by itself
    when no control host confirms it, for whatever reason: a partition, a frozen or
    suspended process, a saturated link.

    Parameters
    ----------
    clock : callable, optional
        Monotonic time in seconds, including time while suspended.
    max_age : float, optional
        Longest time since the copy was known to be complete, seconds. Unlimited by
        default.
    since : float, optional
        The copy must be known to be complete through this time at least. With the
        start of the process, it never decides by an older copy than its predecessor.

    Examples
    --------
    >>> now = 10.0
    >>> confirmation = Confirmation(clock=lambda: now, max_age=2.0, since=10.0)
    >>> confirmation.note(9.9)
    >>> confirmation.is_valid
    False
    >>> confirmation.note(10.5)
    >>> now = 12.0
    >>> confirmation.is_valid, confirmation.age
    (True, 1.5)
    >>> now = 13.0
    >>> confirmation.is_valid, confirmation.overdue
    (False, 0.5)
    """

    def __init__(self, *, clock=steady_time, max_age=float("inf"), since=float("-inf")):
        self._clock = clock
        self._max_age = max_age
        self._since = since
        self._complete_through = float("-inf")
        self._waiters = []

    def now(self):
        """Return the time of the clock."""
        return self._clock()

    @property
    def max_age(self):
        """Longest time since the copy was known to be complete, seconds."""
        return self._max_age

    @property
    def complete_through(self):
        """Time of the clock through which the copy has all that was committed."""
        return self._complete_through

    @property
    def age(self):
        """Seconds since the copy was known to be complete."""
        return self._clock() - self._complete_through

    @property
    def age_ms(self):
        """The age in milliseconds, None if the copy was never known to be complete."""
        age = self.age
        return round(age * 1000) if age < float("inf") else None

    @property
    def is_valid(self):
        """Whether decisions may be based on the copy."""
        oldest = max(self._since, self._clock() - self._max_age)
        return self._complete_through >= oldest

    @property
    def overdue(self):
        """Seconds since the copy became invalid.

        0 if it is valid, infinite if it never was.
        """
        if self.is_valid:
            return 0.0
        if self._complete_through < self._since:
            return float("inf")
        return self.age - self._max_age

    def note(self, complete_through):
        """Note that the copy has all that was committed through a time."""
        self._complete_through = max(self._complete_through, complete_through)
        if self.is_valid:
            waiters, self._waiters = self._waiters, []
            for signal in waiters:
                signal.set()

    async def wait_valid(self, timeout):
        """Wait until the copy is valid; return whether it is."""
        deadline = asyncio.get_running_loop().time() + timeout
        while not self.is_valid:
            signal = Signal(loop=asyncio.get_running_loop())
            self._waiters.append(signal)
            try:
                if not await signal.wait_until(deadline):
                    return False
            finally:
                if signal in self._waiters:
                    self._waiters.remove(signal)
        return True
