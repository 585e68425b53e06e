"""Limits the requests that the local backend server gets in any span of time.

A server that is cold after its start crashes if it gets requests at the rate of a warm
one, and a server in need names in its answers what it takes. All requests to a server
pass the process beside it, so both limits are kept there, for the requests of all hosts
together.
"""

from collections import deque
from dataclasses import dataclass

from guavastream.kernel import record
from guavastream.scheduling.outcome import NotRun

__all__ = ["ServerRateLimiter"]

# The limit of a cold server holds for any span of a second. The extra time covers
# requests that reach the server later after they are sent than others.
COLD_WINDOW_SECONDS = 1.03
# Smallest named limit that is followed, requests per second. Without any request, no
# answer would tell that the limit is lifted.
MIN_NAMED_RATE = 0.5
# Longest time over which requests are counted, seconds.
MAX_WINDOW_SECONDS = 1 / MIN_NAMED_RATE
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


@record
class _Limit:
    """A limit in force: at most `requests` in any `seconds`.

    `code` is the code of the refusals.
    """

    code: str
    requests: int
    seconds: float


class _Reservation:
    """Permission to send one request; unused, it is returned at the exit."""

    __slots__ = ("_limiter", "_instance", "_cold_rate", "_counted")

    def __init__(self, *, limiter, instance, cold_rate, counted):
        self._limiter = limiter
        self._instance = instance
        self._cold_rate = cold_rate
        self._counted = counted

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._cancel()

    def _cancel(self):
        if self._counted:
            self._counted = False
            self._limiter.cancel()

    def use(self):
        """Count the request as sent now.

        Raises
        ------
        NotRun
            If a limit has come into force or was lowered since, and the server gets
            enough requests already.
        """
        self._cancel()
        self._limiter.check(self._instance, self._cold_rate)
        self._limiter.note_sent()


class ServerRateLimiter:
    """Keeps the limits of the local server: while it may be cold, and by its own word.

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

    A named limit is in force from the first answer that names it to the first one that
    does not, and is kept in any second, or in any longer time in which it allows one
    request.

    Examples
    --------
    >>> limiter = ServerRateLimiter(clock=lambda: 100.0)
    >>> for _ in range(2):
    ...     with limiter.reserve("a", cold_rate=2.5) as reservation:
    ...         reservation.use()
    >>> limiter.reserve("a", cold_rate=2.5)
    Traceback (most recent call last):
    guavastream.scheduling.outcome.NotRun: cold
    >>> limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    >>> limiter.wait_seconds("a", cold_rate=2.5) is None
    True
    >>> limiter.set_named_rate("a", 2.0)
    >>> limiter.wait_seconds("a")
    1.0
    """

    def __init__(self, *, clock, heartbeat=1.0, overage=1.5, slack=8.0):
        self._clock = clock
        self._valid_seconds = VALID_HEARTBEATS * heartbeat
        self._overage = overage
        self._slack = slack
        self._started_at = clock()
        self._warmth = {}
        # Limits that instances name, requests per second.
        self._named_rates = {}
        # Times of the requests that were sent within the last MAX_WINDOW_SECONDS.
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
        _keep_newest(self._warmth)

    def note_maybe_cold(self, instance):
        """Take an instance to be cold until its next heartbeat."""
        known = self._warmth.get(instance)
        if known is not None:
            known.heard_at = float("-inf")

    def named_rate(self, instance):
        """Return the limit that an instance names, requests per second, or None."""
        return self._named_rates.get(instance)

    def set_named_rate(self, instance, rate):
        """Set the limit that an instance names; None if it names none."""
        self._named_rates.pop(instance, None)
        if rate is not None:
            self._named_rates[instance] = rate
            _keep_newest(self._named_rates)

    def note_sent(self):
        """Count a request that is sent to the server now."""
        now = self._clock()
        self._sent.append(now)
        while self._sent[0] <= now - MAX_WINDOW_SECONDS:
            self._sent.popleft()

    def count_sent(self, seconds=1.0):
        """Return the number of requests that were sent within the last seconds."""
        since = self._clock() - seconds
        return sum(at > since for at in self._sent)

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

    def wait_seconds(self, instance, cold_rate=0.0):
        """Return the seconds until an instance may get another request.

        Parameters
        ----------
        instance : str
            ID of the instance.
        cold_rate : float
            Requests per second that it tolerates while cold; 0 if there is no limit.

        Returns
        -------
        float or None
            0 if it may get one now, None if it is not limited.
        """
        limits = self._limits_of(instance, cold_rate)
        return max(map(self._wait_for, limits), default=None)

    def _limits_of(self, instance, cold_rate):
        """Return the limits of an instance that are in force."""
        limits = []
        if cold_rate and self.is_cold(instance):
            requests = self._cold_requests(cold_rate)
            limits.append(
                _Limit(code="cold", requests=requests, seconds=COLD_WINDOW_SECONDS)
            )
        named = self._named_rates.get(instance)
        if named is not None:
            rate = max(named, MIN_NAMED_RATE)
            requests = max(1, int(rate))
            limits.append(
                _Limit(code="limited", requests=requests, seconds=requests / rate)
            )
        return limits

    def _cold_requests(self, rate):
        """Return the number of requests that a cold server may get in a second."""
        requests = rate
        if self._clock() - self._started_at < COLD_WINDOW_SECONDS:
            requests = min(rate, rate * self._overage + self._slack - rate)
        return max(1, int(requests))

    def _wait_for(self, limit):
        """Return the seconds until a limit allows another request."""
        free = limit.requests - self._reserved
        if free <= 0:
            return DEFAULT_WAIT_SECONDS
        if len(self._sent) < free:
            return 0.0
        # The oldest of the requests that fill the limit.
        oldest = self._sent[-free]
        return max(0.0, oldest + limit.seconds - self._clock())

    def check(self, instance, cold_rate):
        """Refuse a request if the instance may not get another one now.

        Raises
        ------
        NotRun
            If it gets as many requests as it takes already.
        """
        limits = self._limits_of(instance, cold_rate)
        if not limits:
            return
        limit = max(limits, key=self._wait_for)
        wait = self._wait_for(limit)
        if wait:
            raise NotRun(
                limit.code, retry_after=wait, reasons=self._reasons(instance, limit)
            )

    def reserve(self, instance, cold_rate=0.0):
        """Return a context manager that holds permission to send one request.

        Its method `use` must be called right before the request is sent.

        Raises
        ------
        NotRun
            If the instance gets as many requests as it takes already.
        """
        self.check(instance, cold_rate)
        counted = bool(self._limits_of(instance, cold_rate))
        self._reserved += counted
        return _Reservation(
            limiter=self, instance=instance, cold_rate=cold_rate, counted=counted
        )

    def _reasons(self, instance, limit):
        """Return the values behind a refusal, for the log."""
        known = self._warmth.get(instance)
        now = self._clock()
        return {
            "sent": self.count_sent(limit.seconds),
            "reserved": self._reserved,
            "limit": limit.requests,
            "limit_ms": int(1000 * limit.seconds),
            "cold_ms": int(1000 * (known.cold_until - now)) if known else None,
            "heard_ms": int(1000 * min(now - known.heard_at, 1e6)) if known else None,
        }


def _keep_newest(by_instance):
    while len(by_instance) > MAX_INSTANCES:
        del by_instance[next(iter(by_instance))]
