"""Rates by key from reports that each cover a known time of one server."""

import math
from collections import defaultdict

__all__ = ["ReportRates"]

# Rates below this, in requests per second, are forgotten.
MIN_RATE = 0.02
# Multiple of the interval of reports by which one may be late. After that the server is
# considered to have had no requests since.
LATE_FACTOR = 1.5


class _Server:
    """Averaged rates of the requests of one server, as of its last report."""

    def __init__(self):
        self.reported_at = None
        self.interval = 0.0
        # Share of the average that is covered by reports.
        self.weight = 0.0
        self.rates = {}
        self.other_rate = 0.0


class ReportRates:
    """Exponentially averages the rates of keys, by the time that each report covers.

    A report counts requests of the whole time since the last one. If its requests were
    added at the moment of its arrival, short averages would rise and fall with each
    report of the server by half.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    seconds : float
        Time constant of the average.

    Examples
    --------
    >>> now = 0.0
    >>> rates = ReportRates(clock=lambda: now, seconds=0.5)
    >>> for _ in range(9):
    ...     now += 0.25
    ...     rates.note("a", ((7, 10),), 0, interval=0.25)
    >>> round(rates.current()[0][7], 1)
    40.0
    """

    def __init__(self, *, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        self._started_at = None
        self._servers = defaultdict(_Server)

    @property
    def coverage(self):
        """Share of the average that is covered by the time since the first report."""
        if self._started_at is None:
            return 0.0
        return -math.expm1((self._started_at - self._clock()) / self._seconds)

    def note(self, id, keys, rest, *, interval):
        """Take in a load report.

        Parameters
        ----------
        id : str
            Server that the requests were for; "" if they come from several hosts.
        keys : iterable of tuple
            Pairs of key and number of requests.
        rest : int
            Number of requests for all other keys.
        interval : float
            Usual seconds between two reports of a server.
        """
        server = self._servers[id]
        now = self._clock()
        gap = interval
        if self._started_at is None:
            self._started_at = now - interval
        if server.reported_at is None:
            # It had no requests since the first report of any server.
            age = now - interval - self._started_at
            server.weight = -math.expm1(-age / self._seconds)
        if server.reported_at is not None:
            gap = max(0.0, now - server.reported_at)
        server.reported_at = now
        # A longer gap means that the server had no requests, or that a report is lost.
        covered = gap if gap <= LATE_FACTOR * interval else interval
        if id and covered:
            factor = -math.expm1(-covered / self._seconds) / covered
        else:
            factor = 1 / self._seconds
        kept = math.exp(-gap / self._seconds)
        server.weight = 1 - kept * (1 - server.weight) if id else 1.0
        rates = {
            key: rate * kept
            for key, rate in server.rates.items()
            if rate * kept >= MIN_RATE
        }
        for key, count in keys:
            rates[key] = rates.get(key, 0.0) + count * factor
        server.rates = rates
        server.other_rate = server.other_rate * kept + rest * factor
        server.interval = interval

    def current(self):
        """Return the rates by key, and the rate of all other keys together."""
        now = self._clock()
        total, other_rate = {}, 0.0
        for id, server in list(self._servers.items()):
            late = now - server.reported_at - LATE_FACTOR * server.interval
            scale = math.exp(-max(0.0, late) / self._seconds) / server.weight
            if scale * max(server.rates.values(), default=server.other_rate) < MIN_RATE:
                del self._servers[id]
                continue
            for key, rate in server.rates.items():
                total[key] = total.get(key, 0.0) + rate * scale
            other_rate += server.other_rate * scale
        return total, other_rate
