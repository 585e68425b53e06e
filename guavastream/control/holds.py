"""The leader's soft state: until when servers may hold their keys, and moves."""

from dataclasses import dataclass

__all__ = ["Holds", "Move"]


@dataclass(kw_only=True, slots=True)
class Move:
    """A row on its way.

    Its source keeps it until the move is `active`; `until` is when the source
    holds it no more for sure, once it was told.
    """

    service: str
    first: int
    last: int
    source: str
    target: str
    began: float
    active: bool = False
    until: float = 0.0


class Holds:
    """Until when each server may hold keys, counted from its heartbeats.

    The server counts from when it *sent* a heartbeat, the leader from when
    it arrived, which is later: the server always stops first.

    Parameters
    ----------
    clock : callable
        Steady time in seconds, suspensions included.
    timing : HoldTiming
        Times of holds.

    Examples
    --------
    >>> from guavastream.leases import HoldTiming
    >>> now = 0.0
    >>> holds = Holds(clock=lambda: now, timing=HoldTiming(hold=3.0))
    >>> holds.start(["a"], since=0.0)
    >>> now = 2.0
    >>> holds.renew("a", arrived=2.0)
    >>> now = 5.0
    >>> holds.expired("a"), holds.expired("b")
    (False, True)
    """

    def __init__(self, *, clock, timing):
        self._clock = clock
        self._timing = timing
        self._until = {}
        self._heard = {}

    def start(self, ids, *, since):
        """Begin a term: each server may hold keys from the leader before.

        `since` is when the last such leader can have renewed anything.
        """
        until = min(since, self._clock()) + self._timing.kept
        self._until = dict.fromkeys(ids, until)
        self._heard = dict.fromkeys(ids, self._clock())

    def renew(self, id, *, arrived):
        """Note that an answer renews what a server holds."""
        until = arrived + self._timing.kept
        self._until[id] = max(until, self._until.get(id, 0.0))

    def hear(self, id):
        """Note a heartbeat, whether or not it renews."""
        self._heard[id] = self._clock()

    def until(self, id):
        """Return when a server has stopped holding keys for sure."""
        return self._until.get(id, 0.0)

    def expired(self, id):
        """Whether a server holds nothing any more."""
        return self._clock() > self.until(id)

    def silent(self, id):
        """Whether a server was not heard for long."""
        heard = self._heard.get(id, float("-inf"))
        return self._clock() - heard > self._timing.silent

    def forget(self, id):
        """Drop a server that is gone."""
        self._until.pop(id, None)
        self._heard.pop(id, None)
