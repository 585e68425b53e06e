"""Recognizes retries of callers whose earlier request was refused or failed."""

from collections import OrderedDict

__all__ = ["RetryTracker"]

# Number of different requests that are remembered: those of several seconds, at 500
# refusals a second and retries within a few hundred milliseconds.
MAX_REMEMBERED = 2048
# Tolerance when comparing the times at which two requests give up. These times are
# the same for all tries of one caller, except for jitter of links and processes.
JITTER_SECONDS = 0.03


class RetryTracker:
    """Remembers requests that were not served, to recognize their retries.

    Notes
    -----
    A retry asks for the same thing under another ID and gives up at the same time as
    the first try. The remaining time alone does not identify a retry, because the
    timeouts of callers differ: with timeouts from 1.7 to 2.0 s, most new requests
    were mistaken for late retries, which are served last.

    Examples
    --------
    >>> tracker = RetryTracker()
    >>> tracker.note(("read", b"/x"), gives_up=2.0, first=0.1)
    >>> tracker.pop_first_asked(("read", b"/x"), gives_up=2.01, now=0.4)
    0.1
    >>> tracker.pop_first_asked(("read", b"/x"), gives_up=2.01, now=0.5)
    0.5
    """

    def __init__(self):
        self._unserved = OrderedDict()
        self._numbers = 0

    def __len__(self):
        return len(self._unserved)

    def note(self, what, *, gives_up, first):
        """Remember a request that was not served.

        Parameters
        ----------
        what : tuple
            Identifies what was requested.
        gives_up : float
            Clock time at which the caller gives up.
        first : float
            Clock time of the caller's first try.
        """
        unserved = self._unserved.pop(what, ())
        # Callers that gave up before this one first asked are forgotten. The entry
        # moves to the end, so that it is dropped last.
        kept = [item for item in unserved if item[0] > first]
        self._unserved[what] = [*kept, (gives_up, first)]
        while len(self._unserved) > MAX_REMEMBERED:
            self._unserved.popitem(last=False)

    def pop_first_asked(self, what, *, gives_up, now):
        """Return the time of the caller's first try, `now` if this is the first.

        The remembered request is removed.
        """
        unserved = self._unserved.get(what)
        if not unserved:
            return now
        for item in unserved:
            if abs(item[0] - gives_up) <= JITTER_SECONDS:
                unserved.remove(item)
                if not unserved:
                    del self._unserved[what]
                return item[1]
        return now
