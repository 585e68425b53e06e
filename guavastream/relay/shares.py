"""How a server's room is shared among kinds of request while it lacks room for all.

It answers a load of two kinds that lasts, of which one is let in by a rule of its own:
calls of pages, which run as long as they can, against orders, which are refused if
they would be late. Left to the order of the queue the first kind takes all.
"""

import math
import zlib
from dataclasses import dataclass, field

__all__ = ["Shares"]

# Share of its requests by which a kind may be let in more often than one that is
# at least as urgent.
MARGIN = 0.05
# Time over which requests are counted, and between two adjustments, seconds.
WINDOW_SECONDS = 2.0
STEP_SECONDS = 0.25
FADING = math.exp(-STEP_SECONDS / WINDOW_SECONDS)
# Factor by which a level changes at the most in a step.
MOST_CHANGE = 1.2
LEAST_LEVEL = 0.02
# Requests that must have come for a kind to be compared with others.
LEAST_ASKED = 4.0
# Part of the requests that find a free slot above which there is room for all.
ROOM_SHARE = 0.1


class _Recent:
    """Names that were met a short while ago."""

    def __init__(self):
        self._new, self._old = set(), set()

    def add(self, name):
        """Remember a name; return whether it was not known. No name is always new."""
        if name in self._new or name in self._old:
            return False
        if name:
            self._new.add(name)
        return True

    def turn(self):
        """Forget what was not met since the turn before."""
        self._new, self._old = set(), self._new


@dataclass(kw_only=True, slots=True)
class _Kind:
    """Faded counts of one kind, and the part of its requests that may come in."""

    urgency: int
    asked: float = 0.0
    admitted: float = 0.0
    level: float = 1.0
    met: _Recent = field(default_factory=_Recent)
    let_in: _Recent = field(default_factory=_Recent)

    @property
    def share(self):
        return min(1.0, self.admitted / max(self.asked, LEAST_ASKED))


class Shares:
    """Keeps kinds that are less urgent from being served much better.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    Each kind has a level: requests whose draw lies above it are refused. It falls
    while the kind is let in more often than one at least as urgent, and rises
    while some find a free slot, so that no room stays unused. All calls of one
    request have the same draw and count as one: a page that gets one of its calls
    gets the others, and few are made for nothing. Callers who come back are
    counted once: what matters to them is whether they are served in the end.

    Examples
    --------
    Pages are let in always, orders never, and no slot is free:

    >>> now = 0.0
    >>> shares = Shares(clock=lambda: now)
    >>> for number in range(40):
    ...     now += 0.05
    ...     id = b"%d" % number
    ...     _ = shares.admits("order", id, urgency=1, again=False, room=False)
    ...     if shares.admits("page", id, urgency=2, again=False, room=False):
    ...         shares.note_admitted("page", id)
    >>> shares.level("order"), shares.level("page") < 0.4
    (1.0, True)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._kinds = {}
        self._stepped_at = self._turned_at = clock()
        self._came = self._found_room = 0

    def level(self, kind):
        """Return the part of a kind's requests that may come in."""
        known = self._kinds.get(kind)
        return known.level if known else 1.0

    def admits(self, kind, id, *, urgency, again, room, last=True):
        """Count a request that has come, and say whether it may come in.

        Parameters
        ----------
        kind : str
            Requests that are counted together.
        id : bytes
            Names the request; for a call, the request that it is for.
        urgency : int
            Rank of what callers asked for, the lowest is the most urgent.
        again : bool
            Whether its caller has come back.
        room : bool
            Whether it finds a free slot.
        last : bool
            Whether its caller is told if it is refused here. What another server may
            take does not count as asked for here, unless it comes in.
        """
        self._step()
        self._came += 1
        self._found_room += room
        known = self._kinds.get(kind)
        if known is None:
            known = self._kinds[kind] = _Kind(urgency=urgency)
        known.urgency = urgency
        if last and known.met.add(id) and not again:
            known.asked += 1
        return room or known.level >= 1.0 or _draw(id) < known.level

    def note_admitted(self, kind, id, *, again=False):
        """Count a request that has come in."""
        known = self._kinds.get(kind)
        if known is not None and known.let_in.add(id):
            known.admitted += 1
            if known.met.add(id) and not again:
                known.asked += 1

    def _step(self):
        now = self._clock()
        steps = int((now - self._stepped_at) / STEP_SECONDS)
        if not steps:
            return
        self._stepped_at = now
        has_room = self._found_room > ROOM_SHARE * self._came
        self._came = self._found_room = 0
        levels = [self._level_after(kind, has_room) for kind in self._kinds.values()]
        for kind, level in zip(self._kinds.values(), levels, strict=True):
            kind.level = level
            kind.asked *= FADING**steps
            kind.admitted *= FADING**steps
        if now - self._turned_at >= WINDOW_SECONDS:
            self._turned_at = now
            for kind in self._kinds.values():
                kind.met.turn()
                kind.let_in.turn()

    def _level_after(self, kind, has_room):
        others = [
            other.share
            for other in self._kinds.values()
            if other is not kind
            and other.urgency <= kind.urgency
            and other.asked >= LEAST_ASKED
        ]
        change = MOST_CHANGE
        if not has_room and others and kind.share > 0.0:
            wanted = (min(others) + MARGIN) / kind.share
            change = min(MOST_CHANGE, max(1 / MOST_CHANGE, wanted))
        return min(1.0, max(LEAST_LEVEL, kind.level * change))


def _draw(id):
    """Return a number from 0 to 1 that is the same for the same id everywhere."""
    return zlib.crc32(id) / (1 << 32)
