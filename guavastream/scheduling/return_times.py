"""Times at which refused callers are to retry, with capacity reserved for them."""

from dataclasses import dataclass

__all__ = ["MAX_RETRY_SHARE", "MIN_RETRY_SECONDS", "ReturnTimes", "spread_retry"]

# Retries are planned in steps of this length; callers return about as precisely.
STEP_SECONDS = 0.05
# Shortest Retry-After.
MIN_RETRY_SECONDS = 0.05
# Share of the server's capacity that is reserved for retries. Reserving more would
# refuse new requests only so that older ones, whose time is nearly over, run instead.
RESERVED_SHARE = 0.4
# The same for a caller that has been refused twice, whose next retry is its last.
LAST_RESERVED_SHARE = 0.6
# A caller may be this much early, because of jitter of its clock and of links. It holds
# its reservation for as long after its time.
TOLERANCE_SECONDS = 0.05
# Tolerance when comparing the target times of two tries of one caller, as measured at
# the server's host.
JITTER_SECONDS = 0.03
# Reservations of one process: those of half a second at 2,000 refusals a second.
MAX_RESERVATIONS = 1024
# Callers wait for at most this share of their remaining time.
MAX_RETRY_SHARE = 1 / 3
# Retries that can't be in time are spread from this share of the remaining time to
# `MAX_RETRY_SHARE`.
MIN_SPREAD_SHARE = 0.15


def spread_retry(left, fraction):
    """Return a Retry-After for a caller for which no capacity is expected, in seconds.

    Parameters
    ----------
    left : float
        Remaining time of the caller, in seconds.
    fraction : float
        Number from 0 to 1, which differs between callers.

    Examples
    --------
    >>> spread_retry(6.0, 0.0), spread_retry(6.0, 1.0)
    (0.9, 2.0)
    """
    share = MIN_SPREAD_SHARE + fraction * (MAX_RETRY_SHARE - MIN_SPREAD_SHARE)
    return max(MIN_RETRY_SECONDS, round(share * left, 6))


@dataclass(kw_only=True, slots=True, eq=False)
class _Reservation:
    """Capacity for one retry.

    Parameters
    ----------
    what : object
        Identifies what was requested.
    target_time : float
        Clock time until which an answer is in time; the same for all tries.
    at : float
        Clock time of the retry.
    urgency : int
        Urgency class; the lowest is the most urgent.
    seconds : float
        Estimated time at the server.
    """

    what: object
    target_time: float
    at: float
    urgency: int
    seconds: float

    @property
    def expires_at(self):
        """Clock time after which the caller is not expected any more."""
        return self.at + TOLERANCE_SECONDS


class ReturnTimes:
    """Reserves capacity of one server for callers that it refused.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    Only retries that can still be in time get a reservation. Callers that are refused
    get the first free time in the order in which they are refused, so that an earlier
    first try comes first; one that is refused for the second time may use capacity
    that others may not. More urgent classes don't see the reservations of less
    urgent ones.

    A reservation is identified by what was requested and its target time, which is
    that of the first try.

    Examples
    --------
    >>> now = 0.0
    >>> times = ReturnTimes(clock=lambda: now)
    >>> request = dict(what=b"/x", target_time=0.6)
    >>> at = times.reserve(**request, until=0.4, urgency=0, seconds=0.1, slots=1)
    >>> times.claim(**request), len(times)
    (False, 1)
    >>> now = at
    >>> times.claim(**request), len(times)
    (True, 0)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._by_what = {}
        # Reservations by step.
        self._steps = {}
        self._count = 0

    def __len__(self):
        return self._count

    def reserve(
        self, *, what, target_time, until, urgency, seconds, slots, again=False
    ):
        """Reserve capacity for a retry; return its clock time, None if none is left.

        A caller that has a reservation keeps it.

        Parameters
        ----------
        what : object
            Identifies what was requested.
        target_time : float
            Clock time until which an answer is in time.
        until : float
            Latest clock time of a retry.
        urgency : int
            Urgency class of the request.
        seconds : float
            Estimated time at the server.
        slots : int
            Number of requests that the server runs concurrently.
        again : bool
            Whether the refused request is itself a retry.
        """
        now = self._clock()
        self._drop_expired(now)
        held = self._find(what, target_time)
        # A first attempt for the same resource comes from another caller.
        if held is not None and again and held.at > now:
            return held.at
        if self._count >= MAX_RESERVATIONS:
            return None
        at = self._first_free(now, until, urgency, seconds, slots, again)
        if at is None:
            return None
        reservation = _Reservation(
            what=what, target_time=target_time, at=at, urgency=urgency, seconds=seconds
        )
        self._by_what.setdefault(what, []).append(reservation)
        self._steps.setdefault(_step(at), []).append(reservation)
        self._count += 1
        return at

    def claim(self, *, what, target_time):
        """Take the reservation of a caller; return whether its time has come."""
        now = self._clock()
        self._drop_expired(now)
        held = self._find(what, target_time)
        if held is None or now < held.at - TOLERANCE_SECONDS:
            return False
        self._remove(held)
        return True

    def seconds_reserved(self, *, urgency, until):
        """Return the time at the server that is reserved until a clock time.

        Parameters
        ----------
        urgency : int
            Reservations of less urgent classes are not included.
        until : float
            Clock time.
        """
        self._drop_expired(self._clock())
        last = _step(until)
        return sum(
            reservation.seconds
            for step, reservations in self._steps.items()
            if step <= last
            for reservation in reservations
            if reservation.urgency <= urgency and reservation.at <= until
        )

    def seconds_until_free(self, *, urgency, seconds, slots):
        """Return the time until the first retry of a class that is not yet reserved."""
        now = self._clock()
        self._drop_expired(now)
        at = self._first_free(now, now + 1.0, urgency, seconds, slots, False)
        return 0.0 if at is None else at - now

    def _first_free(self, now, until, urgency, seconds, slots, again):
        """Return the first time with free capacity, None if there is none."""
        rate = slots * (LAST_RESERVED_SHARE if again else RESERVED_SHARE)
        at = now + MIN_RETRY_SECONDS
        reserved = sum(
            reservation.seconds
            for step, reservations in self._steps.items()
            if step < _step(at)
            for reservation in reservations
            if reservation.urgency <= urgency
        )
        while at <= until:
            reserved += sum(
                reservation.seconds
                for reservation in self._steps.get(_step(at), ())
                if reservation.urgency <= urgency
            )
            if reserved + seconds <= rate * (at - now) + seconds / 2:
                return at
            at += STEP_SECONDS
        return None

    def _find(self, what, target_time):
        for reservation in self._by_what.get(what, ()):
            if abs(reservation.target_time - target_time) <= JITTER_SECONDS:
                return reservation
        return None

    def _remove(self, reservation):
        step = _step(reservation.at)
        for table, key in ((self._by_what, reservation.what), (self._steps, step)):
            table[key].remove(reservation)
            if not table[key]:
                del table[key]
        self._count -= 1

    def _drop_expired(self, now):
        last = _step(now - TOLERANCE_SECONDS)
        for step in [step for step in self._steps if step <= last]:
            for reservation in list(self._steps[step]):
                if reservation.expires_at < now:
                    self._remove(reservation)


def _step(time):
    """Return the number of the step that a clock time is in."""
    return int(time // STEP_SECONDS)
