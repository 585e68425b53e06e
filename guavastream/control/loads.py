"""Requests for each key, smoothed over the last seconds."""

import math
from dataclasses import dataclass, field

from guavastream.fleet import KEYS
from guavastream.kernel import Policy

__all__ = ["AREAS", "KeyLoads", "Loads"]

# Time for which a report counts.
REPORT_SECONDS = 0.25
# Time over which requests are averaged. Busy keys change within seconds, so
# that older ones tell little; shorter, the noise of single requests decides.
WINDOW_SECONDS = 2.0
# A key whose requests of the last moments differ from that by more than so
# many times the noise has changed: then the last moments count alone. One key
# may get two fifths of all requests from one second to the next.
SHORT_SECONDS = 0.5
CHANGE_SIGMAS = 3.0
# Requests a second of a key below which it is too rare to tell a change.
LEAST_SIGMA = 2.0
# Keys below this are counted by area, requests a second. Most requests go to
# keys that are rare by themselves, and many of these lie close together.
FLOOR = 1.5
# Requests that must have come for it; fewer are chance.
LEAST_COUNT = 3.0
# Parts of all keys, of equal size, by which rare keys are counted; and the
# time over which they are, since their popularity changes slowly.
AREAS = 256
AREA_KEYS = KEYS // AREAS
AREA_SECONDS = 6.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Loads:
    """Requests a second: of each busy key, and of the others by area."""

    busy: dict = field(default_factory=dict)
    areas: tuple = ()


class _Average:
    """Counts by key that fade with time; `rates` are requests a second.

    At first they are means over the time so far: a leader that has just been
    elected would else take all servers to be idle for seconds, and move
    nothing.
    """

    def __init__(self, *, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        # What comes first was counted before.
        self._since = clock() - REPORT_SECONDS
        self._at = clock()
        self._sums = {}

    @property
    def rates(self):
        """Requests a second, by key."""
        age = self._at - self._since
        weight = self._seconds * -math.expm1(-age / self._seconds)
        return {key: total / weight for key, total in self._sums.items()}

    def fade(self, least):
        """Bring the rates up to date, and forget those below `least`."""
        now = self._clock()
        factor = math.exp((self._at - now) / self._seconds)
        self._at = now
        if factor < 0.999:
            floor = least * self._seconds
            self._sums = {
                key: total * factor
                for key, total in self._sums.items()
                if total * factor > floor
            }

    def total(self, key):
        """Return the faded number of requests of a key."""
        return self._sums.get(key, 0.0)

    def add(self, key, count):
        self._sums[key] = self._sums.get(key, 0.0) + count


class KeyLoads:
    """What the processes beside the servers of one service reported.

    Parameters
    ----------
    clock : callable
        Steady time in seconds.
    policy : Policy, optional
        Mechanisms that are in force.

    Examples
    --------
    >>> now = 0.0
    >>> loads = KeyLoads(clock=lambda: now)
    >>> loads.note(((7, 40), (300, 1)), 0)
    >>> found = loads.read()
    >>> found.busy[7] > found.areas[1] > 0 == found.areas[2]
    True
    """

    def __init__(self, *, clock, policy=None):
        self._policy = policy or Policy()
        self._long = _Average(clock=clock, seconds=WINDOW_SECONDS)
        self._short = _Average(clock=clock, seconds=SHORT_SECONDS)
        self._areas = _Average(clock=clock, seconds=AREA_SECONDS)

    def note(self, keys, rest):
        """Count requests: pairs of key and count, and those for other keys."""
        self._fade()
        for key, count in keys:
            self._long.add(key, count)
            self._short.add(key, count)
            self._areas.add(key // AREA_KEYS, count)
        if rest:
            for area in range(AREAS):
                self._areas.add(area, rest / AREAS)

    def _fade(self):
        self._long.fade(FLOOR / 8)
        self._short.fade(FLOOR / 8)
        self._areas.fade(0.0)

    def read(self):
        """Return the `Loads` of now."""
        self._fade()
        busy = {}
        # What its busy keys had over the time of an area is not of the others.
        areas = self._areas.rates
        usual, lately = self._long.rates, self._short.rates
        for key in usual.keys() | lately.keys():
            before = usual.get(key, 0.0)
            rate = self._rate(before, lately.get(key, 0.0))
            if rate >= FLOOR and self._long.total(key) >= LEAST_COUNT:
                busy[key] = rate
                area = key // AREA_KEYS
                areas[area] = max(0.0, areas.get(area, 0.0) - min(rate, before))
        return Loads(
            busy=busy, areas=tuple(areas.get(area, 0.0) for area in range(AREAS))
        )

    def _rate(self, usual, lately):
        if not self._policy.changes:
            return usual
        # The deviation of a rate that is counted over about twice the time.
        noise = math.sqrt(max(usual, LEAST_SIGMA) / (2 * SHORT_SECONDS))
        return lately if abs(lately - usual) > CHANGE_SIGMAS * noise else usual
