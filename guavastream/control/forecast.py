"""Forecasts of request rates, from their changes over the last second."""

import math
from collections import defaultdict

from guavastream.control.loads import (
    AREA_WINDOW_SECONDS,
    AREAS,
    CHANGE_SIGMAS,
    KEYS_PER_AREA,
    MIN_BUSY_COUNT,
    MIN_BUSY_RATE,
    MIN_NOISE_RATE,
    DecayingCounts,
    KeyLoads,
    Loads,
)
from guavastream.control.report_rates import ReportRates
from guavastream.fleet import REPORT_SECONDS

__all__ = ["ForecastLoads"]

# Time constants of the averages that are compared. A server reports every 0.25 s: the
# first report after a sudden rise shows 80 % of it in the shorter one.
# The middle one shows rises over a second or two, which are smaller than the noise of
# the shorter one.
LONG_SECONDS = 2.0
MIDDLE_SECONDS = 0.5
SHORT_SECONDS = 0.15
# Time for which rates are forecast: until a move that is planned now has been made.
HORIZON_SECONDS = 0.3
# Largest forecast, as a multiple of the current rate.
MAX_GROWTH = 1.5
# An area's rate is corrected if it is off by this multiple of the noise, which is
# larger where it has just changed, and by this share of all requests. With 256 areas,
# smaller differences are chance.
CHANGED_AREA_SIGMAS = 4.0
AREA_SIGMAS = 3.0
MIN_AREA_SHARE = 0.01
# Parts of an area among which the requests of rare keys are divided as counted. 200
# adjacent keys often lie in two areas, of which they fill less than half.
PARTS = 8
KEYS_PER_PART = KEYS_PER_AREA // PARTS
# Lower bound of the rate from which the noise of an area is estimated, per second.
MIN_AREA_NOISE_RATE = 4.0
# Lower bound of the factor by which other requests decrease while keys are hot.
MIN_OTHER_SCALE = 0.5
# Share of the requests at both ends of an area that do not belong to its hot keys.
OUTSIDE_SHARE = 0.02


class ForecastLoads(KeyLoads):
    """Loads of the next moment, for services whose keys must move early.

    Keys whose requests rise are forecast by their trend. If the requests of an area
    rise although none of its keys is busy enough to be counted alone, they are
    assigned to its keys by the few requests of each so far: 200 adjacent keys that
    receive two fifths of all requests get less than one each in half a second.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    policy : Policy, optional
        Enabled mechanisms.

    Examples
    --------
    >>> now = 0.0
    >>> loads = ForecastLoads(clock=lambda: now)
    >>> for _ in range(40):
    ...     now += 0.25
    ...     loads.note_report("a", [(key, 1) for key in range(0, 65536, 256)], 0)
    >>> now += 0.25
    >>> loads.note_report("a", [(key, 1) for key in range(300, 400)], 0)
    >>> busy = loads.forecast().busy
    >>> round(sum(rate for key, rate in busy.items() if 300 <= key < 400))
    368
    >>> 7 in loads.current_loads().busy
    False
    """

    def __init__(self, *, clock, policy=None):
        super().__init__(clock=clock, policy=policy)
        self._long_rates = ReportRates(clock=clock, seconds=LONG_SECONDS)
        self._middle_rates = ReportRates(clock=clock, seconds=MIDDLE_SECONDS)
        self._short_rates = ReportRates(clock=clock, seconds=SHORT_SECONDS)
        self._parts = DecayingCounts(clock=clock, seconds=AREA_WINDOW_SECONDS)

    def note_report(self, id, keys, rest, *, interval=REPORT_SECONDS):
        """Count the requests of a report of one server.

        Parameters
        ----------
        id : str
            Server that the requests were for; "" if several hosts refused them.
        keys, rest : object
            As for `note`.
        interval : float
            Usual seconds between two reports of a server.
        """
        self.note(keys, rest)
        for key, count in keys:
            self._parts.add(key // KEYS_PER_PART, count)
        self._long_rates.note(id, keys, rest, interval=interval)
        self._middle_rates.note(id, keys, rest, interval=interval)
        self._short_rates.note(id, keys, rest, interval=interval)

    def forecast(self):
        """Return the forecast `Loads`."""
        long, long_rest = self._long_rates.current()
        middle, middle_rest = self._middle_rates.current()
        short, short_rest = self._short_rates.current()
        by_window = {
            LONG_SECONDS: long,
            MIDDLE_SECONDS: middle,
            SHORT_SECONDS: short,
        }
        parts = self._part_rates(rest=long_rest)
        busy, by_area = {}, defaultdict(dict)
        # Rates of hot keys beyond those in `busy`.
        hot = {}
        counted_seconds = LONG_SECONDS * self._long_rates.coverage
        for key, long_rate in long.items():
            rates = long_rate, middle.get(key, 0.0), short.get(key, 0.0)
            rate, _ = _forecast(*rates, MIN_NOISE_RATE)
            if rate >= MIN_BUSY_RATE and long_rate * counted_seconds >= MIN_BUSY_COUNT:
                busy[key] = by_area[key // KEYS_PER_AREA][key] = rate
                part = key // KEYS_PER_PART
                parts[part] = max(0.0, parts[part] - min(rate, long_rate))
        areas = _smooth_parts(parts)
        long_areas = _sums_by_area(long, long_rest)
        middle_areas = _sums_by_area(middle, middle_rest)
        short_areas = _sums_by_area(short, short_rest)
        min_error = MIN_AREA_SHARE * sum(short_areas)
        for area in range(AREAS):
            rate, window = _forecast(
                long_areas[area],
                middle_areas[area],
                short_areas[area],
                MIN_AREA_NOISE_RATE,
            )
            missing = rate - areas[area] - sum(by_area[area].values())
            noise = _noise(long_areas[area], window, MIN_AREA_NOISE_RATE)
            changed = window != LONG_SECONDS
            sigmas = CHANGED_AREA_SIGMAS if changed else AREA_SIGMAS
            if abs(missing) <= max(sigmas * noise, min_error):
                continue
            if missing < 0 and areas[area] <= 0:
                # A busy key is forecast higher than its area.
                continue
            if missing < 0:
                _scale_area(parts, area, max(0.0, areas[area] + missing) / areas[area])
                continue
            counts = _uncounted(area, by_window[window], by_area[area], window)
            shares = _shares(counts)
            for key, share in shares.items():
                hot[key] = missing * share
        scale = self._other_scale(busy, parts, hot, short, short_rest)
        busy = {key: rate * scale for key, rate in busy.items()}
        for key, rate in hot.items():
            busy[key] = busy.get(key, 0.0) + rate
        return Loads(
            busy=busy,
            areas=tuple(rate * scale for rate in parts),
            seconds=max(REPORT_SECONDS / 2, counted_seconds),
        )

    @staticmethod
    def _other_scale(busy, parts, hot, short, short_rest):
        """Return the factor by which the requests of keys that are not hot decrease.

        Where callers turn to hot keys, the requests of all others decrease at once,
        which their averages show only after seconds.
        """
        if not hot:
            return 1.0
        others = sum(busy.values()) + sum(parts)
        now = sum(short.values()) + short_rest
        hot_now = sum(short.get(key, 0.0) for key in hot)
        return max(MIN_OTHER_SCALE, min(1.0, (now - hot_now) / max(others, 1.0)))

    def _part_rates(self, rest):
        """Return the rates of all keys by part, averaged over a long time.

        `rest` is the rate of keys that are not known, which is spread evenly.
        """
        factor = self._parts.rate_factor()
        totals = self._parts.totals()
        number = AREAS * PARTS
        return [
            totals.get(part, 0.0) * factor + rest / number for part in range(number)
        ]


def _smooth_parts(parts):
    """Smooth the rates of the parts of each area, and return the rates of the areas.

    As far as the parts of an area differ by chance only, they get the same rate.
    """
    areas = []
    for first in range(0, len(parts), PARTS):
        rates = parts[first : first + PARTS]
        mean = sum(rates) / PARTS
        areas.append(mean * PARTS)
        kept = _kept_deviation([rate * AREA_WINDOW_SECONDS for rate in rates])
        parts[first : first + PARTS] = [mean + kept * (rate - mean) for rate in rates]
    return areas


def _scale_area(parts, area, factor):
    """Multiply the rates of all parts of an area."""
    first = area * PARTS
    parts[first : first + PARTS] = [r * factor for r in parts[first : first + PARTS]]


def _kept_deviation(counts):
    """Return the share of the differences of averaged counts that is not chance.

    An exponentially averaged number of random events has half its mean as variance.

    References
    ----------
    .. [1] B. Efron, C. Morris, "Stein's Estimation Rule and Its Competitors", Journal
       of the American Statistical Association 68, 1973.
    """
    mean = sum(counts) / len(counts)
    variance = sum((count - mean) ** 2 for count in counts) / len(counts)
    return max(0.0, 1 - mean / 2 / variance) if variance else 0.0


def _sums_by_area(rates, rest):
    """Return the sum of the rates of each area, to which the rest is spread evenly."""
    sums = [rest / AREAS] * AREAS
    for key, rate in rates.items():
        sums[key // KEYS_PER_AREA] += rate
    return sums


def _noise(rate, window, min_rate):
    """Return the standard deviation of a rate averaged with a time constant."""
    return math.sqrt(max(rate, min_rate) / (2 * window))


def _forecast(long_rate, middle_rate, short_rate, min_noise_rate):
    """Return the forecast of a rate, and the time constant of what it is based on.

    That is the longest average that does not differ from a shorter one.
    """

    def differs(rate, seconds, usual):
        noise = _noise(usual, seconds, min_noise_rate)
        return abs(rate - usual) > CHANGE_SIGMAS * noise

    if not differs(middle_rate, MIDDLE_SECONDS, long_rate) and not differs(
        short_rate, SHORT_SECONDS, long_rate
    ):
        return long_rate, LONG_SECONDS
    rate, seconds = middle_rate, MIDDLE_SECONDS
    if differs(short_rate, SHORT_SECONDS, middle_rate):
        rate, seconds = short_rate, SHORT_SECONDS
    # The newer average is newer by the difference of the windows, which gives the
    # slope, and itself older than the present by its window.
    slope = max(0.0, rate - long_rate) / (LONG_SECONDS - seconds)
    return min(rate * MAX_GROWTH, rate + slope * (seconds + HORIZON_SECONDS)), seconds


def _uncounted(area, rates, counted, window):
    """Return averaged numbers of requests of an area's keys beyond those counted."""
    first = area * KEYS_PER_AREA
    counts = {
        key: (rates.get(key, 0.0) - counted.get(key, 0.0)) * window
        for key in range(first, first + KEYS_PER_AREA)
    }
    return {key: count for key, count in counts.items() if count > 0}


def _shares(counts):
    """Divide the requests of hot adjacent keys among them; the shares sum to one.

    As far as the counts differ by chance only, all keys between the first and the last
    get the same share.
    """
    if not counts:
        return {}
    keys = sorted(counts)
    total = sum(counts.values())
    below, first, last = 0.0, keys[0], keys[-1]
    for key in keys:
        if below <= OUTSIDE_SHARE * total:
            first = key
        if below < (1 - OUTSIDE_SHARE) * total:
            last = key
        below += counts[key]
    values = [counts.get(key, 0.0) for key in range(first, last + 1)]
    mean = sum(values) / len(values)
    kept = _kept_deviation(values)
    return {
        key: (mean + kept * (value - mean)) / (mean * len(values))
        for key, value in enumerate(values, first)
    }
