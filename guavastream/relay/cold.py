"""Limits the requests to a backend server that is cold after its start.

A cold server crashes if it gets requests at the rate of a warm one, and starts again
as a cold one. All requests to a server pass the process beside it, so the limit is
kept there, for the requests of all hosts together.
"""

from collections import deque
from dataclasses import dataclass

from guavastream.relay.outcome import NotRun

__all__ = ["ColdStartLimiter"]

# The limit holds for any span of a second. The extra time covers requests that reach
# the server later after they are sent than others.
WINDOW_SECONDS = 1.03
# What a heartbeat says of a server counts for this many heartbeat intervals. After
# that the server may have become cold again.
VALID_HEARTBEATS = 3.0
# Extra time for which a server is taken to be cold.
COLD_MARGIN_SECONDS = 0.05
# Instances whose state is remembered: the server beside this process, and its previous
# incarnations, whose heartbeats may still arrive.
MAX_INSTANCES = 4
# Retry-After if other requests have taken all of the limit, but are not sent yet.
DEFAULT_WAIT_SECONDS = 0.3


@dataclass(kw_only=True, slots=True)
class _Warmth:
    """What the last heartbeat of an instance said, in times of the clock."""

    seq: int
    cold_until: float
    heard_at: float


class _Reservation:
    """Permission to send one request; unused, it is returned at the exit."""

    __slots__ = ("_limiter", "_instance", "_rate", "_counted")

    def __init__(self, *, limiter, instance, rate, counted):
        self._limiter = limiter
        self._instance = instance
        self._rate = rate
        self._counted = counted

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        if self._counted:
            self._limiter.cancel()

    def use(self):
        """Count the request as sent now.

        Raises
        ------
        NotRun
            If the server has become cold since, and gets enough requests already.
        """
        if self._counted:
            self._counted = False
            self._limiter.cancel()
        elif self._limiter.wait_seconds(self._instance, self._rate):
            raise self._limiter.refusal(self._instance, self._rate)
        self._limiter.note_sent()


class ColdStartLimiter:
    """Limits the requests in any second to the local server while it may be cold.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds, including time while suspended.
    heartbeat : float
        Interval of the server's heartbeats, seconds.
    overage, slack : float
        A cold server must get at most its tolerated rate times `overage`, plus
        `slack`, requests in any second.

    Notes
    -----
    A server is taken to be cold until a heartbeat of this incarnation says otherwise.
    The limit is the rate that the server tolerates. The larger rate that it must never
    get is left for what this process does not know: in its first second, it allows
    for what the process before it may have sent.

    Examples
    --------
    >>> limiter = ColdStartLimiter(clock=lambda: 100.0)
    >>> for _ in range(2):
    ...     with limiter.reserve("a", rate=2.5) as reservation:
    ...         reservation.use()
    >>> limiter.reserve("a", rate=2.5)
    Traceback (most recent call last):
    guavastream.relay.outcome.NotRun: cold
    >>> limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    >>> limiter.wait_seconds("a", rate=2.5) is None
    True
    """

    def __init__(self, *, clock, heartbeat=1.0, overage=1.5, slack=8.0):
        self._clock = clock
        self._valid_seconds = VALID_HEARTBEATS * heartbeat
        self._overage = overage
        self._slack = slack
        self._started_at = clock()
        self._warmth = {}
        # Times of the requests that were sent within the last WINDOW_SECONDS.
        self._sent = deque()
        # Requests that have a reservation but are not sent yet.
        self._reserved = 0

    def note_heartbeat(self, instance, *, seq, cold_seconds):
        """Note for how long an instance says that it stays cold."""
        known = self._warmth.pop(instance, None)
        if known is not None and seq < known.seq:
            # A late heartbeat; the server may have become cold after it was sent.
            self._warmth[instance] = known
            return
        now = self._clock()
        cold_until = now + cold_seconds + COLD_MARGIN_SECONDS if cold_seconds else now
        self._warmth[instance] = _Warmth(seq=seq, cold_until=cold_until, heard_at=now)
        while len(self._warmth) > MAX_INSTANCES:
            del self._warmth[next(iter(self._warmth))]

    def note_maybe_cold(self, instance):
        """Take an instance to be cold until its next heartbeat."""
        known = self._warmth.get(instance)
        if known is not None:
            known.heard_at = float("-inf")

    def note_sent(self):
        """Count a request that is sent to the server now."""
        now = self._clock()
        self._sent.append(now)
        self._forget_old(now)

    def _forget_old(self, now):
        while self._sent and self._sent[0] <= now - WINDOW_SECONDS:
            self._sent.popleft()

    @property
    def sent(self):
        """Number of requests that were sent within the last second."""
        self._forget_old(self._clock())
        return len(self._sent)

    def cancel(self):
        """Return a reservation."""
        self._reserved -= 1

    def is_cold(self, instance):
        """Return whether an instance is cold, or may be."""
        known = self._warmth.get(instance)
        if known is None:
            return True
        now = self._clock()
        return now < known.cold_until or now - known.heard_at > self._valid_seconds

    def wait_seconds(self, instance, rate):
        """Return the seconds until an instance may get another request.

        Parameters
        ----------
        instance : str
            ID of the instance.
        rate : float
            Requests per second that it tolerates while cold; 0 if there is no limit.

        Returns
        -------
        float or None
            0 if it may get one now, None if it is not limited.
        """
        if not rate or not self.is_cold(instance):
            return None
        now = self._clock()
        self._forget_old(now)
        excess = len(self._sent) + self._reserved - self._limit(rate, now)
        if excess < 0:
            return 0.0
        if excess >= len(self._sent):
            return DEFAULT_WAIT_SECONDS
        return max(0.001, self._sent[excess] + WINDOW_SECONDS - now)

    def _limit(self, rate, now):
        """Return the number of requests that a cold server may get in a second."""
        limit = rate
        if now - self._started_at < WINDOW_SECONDS:
            limit = min(rate, rate * self._overage + self._slack - rate)
        return max(1, int(limit))

    def reserve(self, instance, rate):
        """Return a context manager that holds permission to send one request.

        Its method `use` must be called right before the request is sent.

        Raises
        ------
        NotRun
            If the instance gets as many requests as it tolerates already.
        """
        wait = self.wait_seconds(instance, rate)
        if wait:
            raise self.refusal(instance, rate)
        counted = wait is not None
        self._reserved += counted
        return _Reservation(limiter=self, instance=instance, rate=rate, counted=counted)

    def refusal(self, instance, rate):
        """Return the `NotRun` of a request that a cold server cannot take now."""
        known = self._warmth.get(instance)
        now = self._clock()
        reasons = {
            "sent": len(self._sent),
            "reserved": self._reserved,
            "limit": self._limit(rate, now),
            "cold_ms": int(1000 * (known.cold_until - now)) if known else None,
            "heard_ms": int(1000 * min(now - known.heard_at, 1e6)) if known else None,
        }
        retry_after = self.wait_seconds(instance, rate) or DEFAULT_WAIT_SECONDS
        return NotRun("cold", retry_after=retry_after, reasons=reasons)
