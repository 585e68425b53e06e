"""Tells when a host reports its load before its turn."""

import math

__all__ = ["SurgeDetector"]

# Time constant of the usual values.
USUAL_SECONDS = 4.0
# A surge is a rise by this factor, and of a count by this multiple of its noise, too.
SURGE_FACTOR = 1.5
SURGE_SIGMAS = 3.0
# Early reports that may follow each other, and the time until one more may be sent. If
# the load of 300 hosts rises at once, the leader gets 1,200 reports in a second, once.
MAX_EARLY_REPORTS = 4
SECONDS_PER_EARLY_REPORT = 2.0


class SurgeDetector:
    """Compares requests and their times at a server with the usual ones.

    With many hosts each of them reports every few seconds only. A host whose requests
    or times rise reports at once, so that its keys can be moved within a second.

    Parameters
    ----------
    interval : float
        Seconds between two calls of `check`.

    Examples
    --------
    >>> detector = SurgeDetector(interval=0.25)
    >>> any(detector.check(count=3, seconds=0.2) for _ in range(40))
    False
    >>> detector.check(count=12, seconds=0.2), detector.check(count=3, seconds=0.2)
    (True, False)
    """

    def __init__(self, *, interval):
        self._weight = -math.expm1(-interval / USUAL_SECONDS)
        self._refill = interval / SECONDS_PER_EARLY_REPORT
        self._usual_count = self._usual_seconds = None
        self._budget = float(MAX_EARLY_REPORTS)

    def check(self, *, count, seconds):
        """Return whether to report at once.

        Parameters
        ----------
        count : int
            Requests since the last call.
        seconds : float
            Smoothed time of a request at the server, 0 if unknown.
        """
        if self._usual_count is None:
            self._usual_count, self._usual_seconds = float(count), seconds
        usual = self._usual_count
        margin = max(
            (SURGE_FACTOR - 1) * usual, SURGE_SIGMAS * math.sqrt(max(usual, 1.0))
        )
        surges = count > usual + margin or (
            self._usual_seconds > 0 and seconds > SURGE_FACTOR * self._usual_seconds
        )
        self._usual_count += self._weight * (count - usual)
        if not self._usual_seconds:
            self._usual_seconds = seconds
        self._usual_seconds += self._weight * (seconds - self._usual_seconds)
        self._budget = min(MAX_EARLY_REPORTS, self._budget + self._refill)
        if not surges or self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
