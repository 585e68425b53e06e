"""Recognizes retries of callers whose earlier request was refused or failed."""

from collections import OrderedDict

from guavastream.kernel import record

__all__ = ["EarlierTry", "RetryTracker"]

# Number of different requests that are remembered: those of several seconds, at 500
# refusals a second and retries within a few hundred milliseconds.
MAX_REMEMBERED = 2048
# Tolerance when comparing the times at which two requests give up. These times are
# the same for all tries of one caller, except for jitter of links and processes.
JITTER_SECONDS = 0.03


@record
class EarlierTry:
    """An earlier try of a caller that was not served.

    Parameters
    ----------
    gives_up : float
        Clock time at which the caller gives up.
    first : float
        Clock time of the caller's first try.
    retry_at : float or None
        Clock time before which the caller was told not to retry, if it was.
    reserved : bool
        Whether the refusing server has reserved capacity for the retry.
    """

    gives_up: float
    first: float
    retry_at: float | None = None
    reserved: bool = False


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

    def __len__(self):
        return len(self._unserved)

    def note(self, what, *, gives_up, first, retry_at=None, reserved=False):
        """Remember a request that was not served.

        Parameters
        ----------
        what : tuple
            Identifies what was requested.
        gives_up, first, retry_at, reserved
            As in `EarlierTry`.
        """
        unserved = self._unserved.pop(what, ())
        # Callers that gave up before this one first asked are forgotten. The entry
        # moves to the end, so that it is dropped last.
        kept = [earlier for earlier in unserved if earlier.gives_up > first]
        noted = EarlierTry(
            gives_up=gives_up, first=first, retry_at=retry_at, reserved=reserved
        )
        self._unserved[what] = [*kept, noted]
        while len(self._unserved) > MAX_REMEMBERED:
            self._unserved.popitem(last=False)

    def pop_first_asked(self, what, *, gives_up, now):
        """Return the time of the caller's first try, `now` if this is the first.

        The remembered request is removed.
        """
        earlier = self.pop(what, gives_up=gives_up)
        return now if earlier is None else earlier.first

    def pop(self, what, *, gives_up):
        """Remove and return the `EarlierTry` of a caller, None if there is none."""
        unserved = self._unserved.get(what)
        if not unserved:
            return None
        for earlier in unserved:
            if abs(earlier.gives_up - gives_up) <= JITTER_SECONDS:
                unserved.remove(earlier)
                if not unserved:
                    del self._unserved[what]
                return earlier
        return None
