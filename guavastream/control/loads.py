"""Requests for each key, smoothed over the last seconds."""

import math

import msgspec

from guavastream.fleet import KEYS
from guavastream.kernel import Policy, record

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
# A key with fewer faded requests is forgotten.
FORGOTTEN = 0.2
# Parts of all keys, of equal size, by which rare keys are counted; and the
# time over which they are, since their popularity changes slowly.
AREAS = 256
AREA_KEYS = KEYS // AREAS
AREA_SECONDS = 6.0


@record
class Loads:
    """Requests a second: of each busy key, and of the others by area."""

    busy: dict = msgspec.field(default_factory=dict)
    areas: tuple = ()


class _Average:
    """Counts by key that fade with time; `rates` are requests a second.

    At first they are means over the time so far: a leader that has just been
    elected would else take all servers to be idle for seconds, and move
    nothing. What comes later counts more, in place of all that came before
    counting less: nothing needs to be gone through for each report.

    References
    ----------
    .. [1] G. Cormode et al., "Forward Decay: A Practical Time Decay Model for
       Streaming Systems", ICDE 2009.
    """

    def __init__(self, *, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        # What comes first was counted before.
        self._since = self._origin = clock() - REPORT_SECONDS
        self._sums = {}

    def _growth(self):
        return math.exp((self._clock() - self._origin) / self._seconds)

    def add(self, key, count):
        """Count requests of a key."""
        weight = count * self._growth()
        self._sums[key] = self._sums.get(key, 0.0) + weight

    def totals(self):
        """Return the faded numbers of requests by key, without forgotten ones."""
        growth = self._growth()
        least = FORGOTTEN * growth
        self._sums = {key: v / growth for key, v in self._sums.items() if v > least}
        self._origin = self._clock()
        return self._sums

    def scale(self):
        """Return what makes a number of requests a rate, a second."""
        age = self._clock() - self._since
        return 1 / (self._seconds * -math.expm1(-age / self._seconds))


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
        for key, count in keys:
            self._long.add(key, count)
            self._short.add(key, count)
            self._areas.add(key // AREA_KEYS, count)
        if rest:
            for area in range(AREAS):
                self._areas.add(area, rest / AREAS)

    def read(self):
        """Return the `Loads` of now."""
        usual, lately = self._long.totals(), self._short.totals()
        scales = self._long.scale(), self._short.scale()
        scale = self._areas.scale()
        # What its busy keys had over the time of an area is not of the others.
        areas = {area: v * scale for area, v in self._areas.totals().items()}
        busy = {}
        for key, total in usual.items():
            if total < LEAST_COUNT:
                continue
            before = total * scales[0]
            rate = self._rate(before, lately.get(key, 0.0) * scales[1])
            if rate >= FLOOR:
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
