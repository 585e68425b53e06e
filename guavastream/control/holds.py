"""When the holds of servers expire; kept by the leader only."""

__all__ = ["HoldTracker"]


class HoldTracker:
    """Tracks until when each server may hold keys, as renewed by its heartbeats.

    A hold is a lease on keys. The server counts its duration from when it *sent*
    a heartbeat, the leader from when the heartbeat arrived, which is later: the
    server always stops first.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds, including time while suspended.
    timing : HoldTiming
        Durations of holds.

    Examples
    --------
    >>> from guavastream.leases import HoldTiming
    >>> now = 0.0
    >>> holds = HoldTracker(clock=lambda: now, timing=HoldTiming(hold=3.0))
    >>> holds.start_term(["a"], since=0.0)
    >>> now = 2.0
    >>> holds.renew("a", arrived=2.0)
    >>> now = 5.0
    >>> holds.is_expired("a"), holds.is_expired("b")
    (False, True)
    """

    def __init__(self, *, clock, timing):
        self._clock = clock
        self._timing = timing
        self._expires_at = {}
        self._last_heartbeat = {}

    def start_term(self, ids, *, since):
        """Start a term: each server may hold keys granted by a previous leader.

        `since` is the latest time at which a previous leader can have renewed a
        hold.
        """
        expires_at = min(since, self._clock()) + self._timing.grantor_duration
        self._expires_at = dict.fromkeys(ids, expires_at)
        self._last_heartbeat = dict.fromkeys(ids, self._clock())

    def renew(self, id, *, arrived):
        """Record that the answer to a heartbeat renews the hold of a server."""
        expires_at = arrived + self._timing.grantor_duration
        self._expires_at[id] = max(expires_at, self._expires_at.get(id, 0.0))

    def record_heartbeat(self, id):
        """Record a heartbeat, whether or not it renews the hold."""
        self._last_heartbeat[id] = self._clock()

    def expires_at(self, id):
        """Return the time after which a server certainly holds no keys."""
        return self._expires_at.get(id, 0.0)

    def is_expired(self, id):
        """Whether the hold of a server has expired."""
        return self._clock() > self.expires_at(id)

    def is_silent(self, id):
        """Whether a server has sent no heartbeat for `HoldTiming.silent` seconds."""
        heard = self._last_heartbeat.get(id, float("-inf"))
        return self._clock() - heard > self._timing.silent

    def forget(self, id):
        """Drop the state of a removed server."""
        self._expires_at.pop(id, None)
        self._last_heartbeat.pop(id, None)
