"""Since when servers are known to be leaving, and which requests still reach them."""

__all__ = ["DEPARTURE_GRACE_SECONDS", "Departures"]

# Requests still go to a server for this long after it was known to leave; operators
# allow 2 s.
DEPARTURE_GRACE_SECONDS = 1.6
# Servers that are remembered. One that is cut off from control hosts may be removed
# from the fleet state and join again while it leaves.
MAX_REMEMBERED = 256


class Departures:
    """Records since when servers are leaving, by ID of the instance.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> now = 10.0
    >>> departures = Departures(clock=lambda: now)
    >>> departures.note("a")
    >>> "a" in departures, departures.is_over("a"), departures.is_over("b")
    (True, False, True)
    >>> now = 12.0
    >>> departures.is_over("a")
    True
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._since = {}

    def __contains__(self, id):
        return id in self._since

    def note(self, id, *, since=None):
        """Note that a server is leaving, from now on unless `since` says otherwise."""
        self._since.setdefault(id, self._clock() if since is None else since)
        while len(self._since) > MAX_REMEMBERED:
            del self._since[next(iter(self._since))]

    def age(self, id):
        """Return the seconds for which a server has been known to be leaving.

        Infinite if it is not known since when.
        """
        return self._clock() - self._since.get(id, float("-inf"))

    def remaining(self, id):
        """Return the seconds for which a server that leaves still gets requests.

        Negative if it must get nothing more.
        """
        return DEPARTURE_GRACE_SECONDS - self.age(id)

    def is_over(self, id):
        """Whether a server that leaves must get nothing more.

        True as well if it is not known since when it has been leaving.
        """
        return self.remaining(id) < 0
