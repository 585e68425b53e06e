"""Request rates by key, averaged over the last seconds."""

import math

import msgspec

from guavastream.fleet import KEY_COUNT, REPORT_SECONDS
from guavastream.kernel import Policy, record

__all__ = ["AREAS", "DecayingCounts", "KeyLoads", "Loads"]

# Time constant of the average. Which keys are busy changes within seconds, so older
# requests say little; over a shorter time the noise of single requests dominates.
WINDOW_SECONDS = 2.0
# Time constant of a second, shorter average. It replaces the longer one for a key
# if the two differ by more than this multiple of the noise: a single key may
# receive two fifths of all requests from one second to the next.
SHORT_WINDOW_SECONDS = 0.5
CHANGE_SIGMAS = 3.0
# Lower bound, in requests per second, of the rate that the noise is estimated from:
# the requests of rarer keys are too few to detect a change.
MIN_NOISE_RATE = 2.0
# Requests per second below which a key is counted by area only. Most requests are
# for keys that are rarely requested one by one, many of which are close together.
MIN_BUSY_RATE = 1.5
# Number of requests below which a rate is considered chance.
MIN_BUSY_COUNT = 3.0
# A key whose decayed number of requests is below this is forgotten.
MIN_KEPT_COUNT = 0.2
# Time constants after which the weights begin anew. They grow exponentially, and would
# overflow after 709.
MAX_WEIGHT_AGE = 50.0
# Rare keys are counted by area. The areas are equal parts of the key space, averaged
# over a longer time because the popularity of rare keys changes slowly.
AREAS = 256
KEYS_PER_AREA = KEY_COUNT // AREAS
AREA_WINDOW_SECONDS = 6.0


@record
class Loads:
    """Requests per second: `busy` by key, and `areas` for other keys by area.

    They are averaged over a time constant of `seconds`.
    """

    busy: dict = msgspec.field(default_factory=dict)
    areas: tuple = ()
    seconds: float = WINDOW_SECONDS


class DecayingCounts:
    """Counts requests by key with exponential decay.

    Until a full time constant has passed, rates are means over the time so far:
    otherwise a newly elected leader would take all servers to be idle for seconds
    and move no keys. Newer requests are given more weight, instead of reducing the
    weight of older ones, so that a report need not update all counts.

    References
    ----------
    .. [1] G. Cormode et al., "Forward Decay: A Practical Time Decay Model for
       Streaming Systems", ICDE 2009.
    """

    def __init__(self, *, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        # The first report covers the time before it.
        self._started_at = self._origin = clock() - REPORT_SECONDS
        self._weighted_counts = {}

    @property
    def _age(self):
        """Time since the weights began, in time constants."""
        return (self._clock() - self._origin) / self._seconds

    def add(self, key, count):
        """Count requests of a key."""
        if self._age > MAX_WEIGHT_AGE:
            self.totals()
        weighted = count * math.exp(self._age)
        self._weighted_counts[key] = self._weighted_counts.get(key, 0.0) + weighted

    def totals(self):
        """Return the decayed number of requests by key; drop forgotten keys."""
        if self._age > 2 * MAX_WEIGHT_AGE:
            # None was added in the later half of that time.
            self._weighted_counts = {}
        else:
            weight = math.exp(self._age)
            min_kept = MIN_KEPT_COUNT * weight
            self._weighted_counts = {
                key: v / weight
                for key, v in self._weighted_counts.items()
                if v > min_kept
            }
        self._origin = self._clock()
        return self._weighted_counts

    def rate_factor(self):
        """Return the factor that turns a decayed number into requests per second."""
        age = self._clock() - self._started_at
        return 1 / (self._seconds * -math.expm1(-age / self._seconds))


class KeyLoads:
    """Aggregates the load reports of the sidecars of one service.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    policy : Policy, optional
        Enabled mechanisms.

    Examples
    --------
    >>> now = 0.0
    >>> loads = KeyLoads(clock=lambda: now)
    >>> loads.note(((7, 40), (300, 1)), 0)
    >>> found = loads.current_loads()
    >>> found.busy[7] > found.areas[1] > 0 == found.areas[2]
    True
    """

    def __init__(self, *, clock, policy=None):
        self._policy = policy or Policy()
        self._long = DecayingCounts(clock=clock, seconds=WINDOW_SECONDS)
        self._short = DecayingCounts(clock=clock, seconds=SHORT_WINDOW_SECONDS)
        self._areas = DecayingCounts(clock=clock, seconds=AREA_WINDOW_SECONDS)

    def note(self, keys, rest):
        """Count the requests of a report.

        Parameters
        ----------
        keys : iterable of tuple
            Pairs of key and number of requests.
        rest : int
            Number of requests for all other keys.
        """
        for key, count in keys:
            self._long.add(key, count)
            self._short.add(key, count)
            self._areas.add(key // KEYS_PER_AREA, count)
        if rest:
            for area in range(AREAS):
                self._areas.add(area, rest / AREAS)

    def current_loads(self):
        """Return the current `Loads`."""
        long_totals, short_totals = self._long.totals(), self._short.totals()
        factors = self._long.rate_factor(), self._short.rate_factor()
        area_factor = self._areas.rate_factor()
        # The areas include the requests of busy keys, which are subtracted below.
        areas = {area: v * area_factor for area, v in self._areas.totals().items()}
        busy = {}
        for key, total in long_totals.items():
            if total < MIN_BUSY_COUNT:
                continue
            long_rate = total * factors[0]
            rate = self._rate(long_rate, short_totals.get(key, 0.0) * factors[1])
            if rate >= MIN_BUSY_RATE:
                busy[key] = rate
                area = key // KEYS_PER_AREA
                areas[area] = max(0.0, areas.get(area, 0.0) - min(rate, long_rate))
        return Loads(
            busy=busy, areas=tuple(areas.get(area, 0.0) for area in range(AREAS))
        )

    def _rate(self, long_rate, short_rate):
        """Return the short-term rate of a key if it has changed, else the long one."""
        if not self._policy.changes:
            return long_rate
        # Standard deviation of a rate counted over about twice the time constant.
        noise = math.sqrt(max(long_rate, MIN_NOISE_RATE) / (2 * SHORT_WINDOW_SECONDS))
        return (
            short_rate
            if abs(short_rate - long_rate) > CHANGE_SIGMAS * noise
            else long_rate
        )
