"""Recognizes callers that come back after a refusal or a failure."""

from collections import OrderedDict

__all__ = ["Returns"]

# Requests that are remembered; at 500 refusals a second, and callers that come
# back within some hundred milliseconds, those of several seconds.
MOST_REMEMBERED = 2048
# Between two tries of one caller the time at which it gives up stays the same,
# but for the jitter of links and of a busy process, seconds.
JITTER_SECONDS = 0.03


class Returns:
    """Remembers requests that were not served, for their callers' next tries.

    Notes
    -----
    A caller that comes back asks for the same thing, under another id, and
    gives up at the same moment as before. How long callers wait differs from
    one to the next, so that the time it has left tells nothing by itself: of
    callers that wait 1.7 to 2.0 s, most were taken for ones that had come
    back and were too late already, which are served last.

    Examples
    --------
    >>> returns = Returns()
    >>> returns.note(("read", b"/x"), gives_up=2.0, first=0.1)
    >>> returns.take(("read", b"/x"), gives_up=2.01, now=0.4)
    0.1
    >>> returns.take(("read", b"/x"), gives_up=2.01, now=0.5)
    0.5
    """

    def __init__(self):
        self._waiting = OrderedDict()
        self._numbers = 0

    def __len__(self):
        return len(self._waiting)

    def note(self, what, *, gives_up, first):
        """Remember a request that was not served.

        Parameters
        ----------
        what : tuple
            What it asked for.
        gives_up, first : float
            The clock's times at which its caller gives up, and at which it
            first asked.
        """
        waiting = self._waiting.pop(what, ())
        # The latest one is the last to be forgotten.
        kept = [item for item in waiting if item[0] > first]
        self._waiting[what] = [*kept, (gives_up, first)]
        while len(self._waiting) > MOST_REMEMBERED:
            self._waiting.popitem(last=False)

    def take(self, what, *, gives_up, now):
        """Return when the caller of a request first asked; `now` if just now."""
        waiting = self._waiting.get(what)
        if not waiting:
            return now
        for item in waiting:
            if abs(item[0] - gives_up) <= JITTER_SECONDS:
                waiting.remove(item)
                if not waiting:
                    del self._waiting[what]
                return item[1]
        return now
