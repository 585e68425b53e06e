"""Fair sharing of an overloaded server among kinds of request.

Handles sustained overload by two kinds of which one is admitted by a more lenient
rule: calls for pages are admitted as long as they can run, while orders are refused
if they would be late. With the order of the queue alone, the calls would take all
of the capacity.
"""

import math
import zlib
from dataclasses import dataclass, field

__all__ = ["FairShares"]

# Margin by which the admitted share of a kind may exceed that of a kind which is at
# least as urgent.
MARGIN = 0.05
# Time constant of the decaying counts, and the interval between two adjustments.
WINDOW_SECONDS = 2.0
STEP_SECONDS = 0.25
DECAY_PER_STEP = math.exp(-STEP_SECONDS / WINDOW_SECONDS)
# Largest factor by which the admitted fraction changes in one step.
MAX_CHANGE_FACTOR = 1.2
MIN_FRACTION = 0.02  # Lower bound of the admitted fraction.
# Decayed number of requests below which a kind is not compared with others.
MIN_REQUESTS = 4.0
# Share of requests that find a free slot above which the server is not overloaded.
MIN_FREE_SLOT_SHARE = 0.1


class _RecentIds:
    """Set of recently seen IDs."""

    def __init__(self):
        self._new, self._old = set(), set()

    def add(self, id):
        """Add an ID and return whether it is new; the empty ID always is."""
        if id in self._new or id in self._old:
            return False
        if id:
            self._new.add(id)
        return True

    def rotate(self):
        """Forget the IDs that were added before the previous rotation."""
        self._new, self._old = set(), self._new


@dataclass(kw_only=True, slots=True)
class _Kind:
    """Decaying counts of one kind and the fraction of its requests to admit."""

    urgency: int
    requested: float = 0.0
    admitted: float = 0.0
    fraction: float = 1.0
    requested_ids: _RecentIds = field(default_factory=_RecentIds)
    admitted_ids: _RecentIds = field(default_factory=_RecentIds)

    @property
    def share(self):
        """Share of the requests of this kind that were admitted."""
        return min(1.0, self.admitted / max(self.requested, MIN_REQUESTS))


class FairShares:
    """Keeps less urgent kinds from being admitted much more often than urgent ones.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    Each kind has an admitted fraction. A request that finds no free slot is refused
    if the hash of its ID, scaled to the range from 0 to 1, is not below that fraction.
    The fraction falls while the kind is admitted more often than one that is at least
    as urgent, and rises while requests find free slots, so that no capacity stays
    unused. All calls of one request have the same hash and count as one: a page for
    which one call is admitted gets the others too, so that few calls are wasted.
    Retries of one caller count once, because what matters to it is whether it is
    served in the end.

    Examples
    --------
    Pages are always admitted, orders never, and no slot is free:

    >>> now = 0.0
    >>> shares = FairShares(clock=lambda: now)
    >>> for number in range(40):
    ...     now += 0.05
    ...     id = b"%d" % number
    ...     _ = shares.admits("order", id, urgency=1, again=False, has_slot=False)
    ...     if shares.admits("page", id, urgency=2, again=False, has_slot=False):
    ...         shares.note_admitted("page", id)
    >>> shares.admitted_fraction("order"), shares.admitted_fraction("page") < 0.4
    (1.0, True)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._kinds = {}
        self._stepped_at = self._rotated_at = clock()
        self._arrived = self._found_slot = 0

    def admitted_fraction(self, kind):
        """Return the fraction of the requests of a kind that is to be admitted."""
        known = self._kinds.get(kind)
        return known.fraction if known else 1.0

    def admits(self, kind, id, *, urgency, again, has_slot, last=True):
        """Count a request that has arrived and return whether to admit it.

        Parameters
        ----------
        kind : str
            Kind of request; requests of one kind are counted together.
        id : bytes
            Request ID; for a call, the ID of the request that it is part of.
        urgency : int
            Rank of the original request of the caller; the lowest is the most urgent.
        again : bool
            Whether this is a retry.
        has_slot : bool
            Whether the request finds a free slot.
        last : bool
            Whether a refusal is returned to the caller. A request that another server
            may still take is counted here only if it is admitted.
        """
        self._step()
        self._arrived += 1
        self._found_slot += has_slot
        known = self._kinds.get(kind)
        if known is None:
            known = self._kinds[kind] = _Kind(urgency=urgency)
        known.urgency = urgency
        if last and known.requested_ids.add(id) and not again:
            known.requested += 1
        return has_slot or known.fraction >= 1.0 or _hash_fraction(id) < known.fraction

    def note_admitted(self, kind, id, *, again=False):
        """Count a request that was admitted."""
        known = self._kinds.get(kind)
        if known is not None and known.admitted_ids.add(id):
            known.admitted += 1
            if known.requested_ids.add(id) and not again:
                known.requested += 1

    def _step(self):
        """Adjust the fractions and let the counts decay, if a step has passed."""
        now = self._clock()
        steps = int((now - self._stepped_at) / STEP_SECONDS)
        if not steps:
            return
        self._stepped_at = now
        has_capacity = self._found_slot > MIN_FREE_SLOT_SHARE * self._arrived
        self._arrived = self._found_slot = 0
        fractions = [
            self._next_fraction(kind, has_capacity) for kind in self._kinds.values()
        ]
        for kind, fraction in zip(self._kinds.values(), fractions, strict=True):
            kind.fraction = fraction
            kind.requested *= DECAY_PER_STEP**steps
            kind.admitted *= DECAY_PER_STEP**steps
        if now - self._rotated_at >= WINDOW_SECONDS:
            self._rotated_at = now
            for kind in self._kinds.values():
                kind.requested_ids.rotate()
                kind.admitted_ids.rotate()

    def _next_fraction(self, kind, has_capacity):
        """Return the admitted fraction of a kind after the next step."""
        others = [
            other.share
            for other in self._kinds.values()
            if other is not kind
            and other.urgency <= kind.urgency
            and other.requested >= MIN_REQUESTS
        ]
        change = MAX_CHANGE_FACTOR
        if not has_capacity and others and kind.share > 0.0:
            wanted = (min(others) + MARGIN) / kind.share
            change = min(MAX_CHANGE_FACTOR, max(1 / MAX_CHANGE_FACTOR, wanted))
        return min(1.0, max(MIN_FRACTION, kind.fraction * change))


def _hash_fraction(id):
    """Return a number from 0 to 1 that is the same for an ID on all hosts."""
    return zlib.crc32(id) / (1 << 32)
