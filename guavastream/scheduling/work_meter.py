"""Measures how long a server works on each kind of request, without its calls."""

from dataclasses import dataclass

__all__ = ["WorkMeter"]

# Largest number of kinds in one report. Routes of one service are far fewer.
MAX_KINDS = 16


@dataclass(kw_only=True, slots=True)
class _Running:
    """A request at the server: its kind, open calls and times not yet reported."""

    kind: str
    counted_until: float
    calls: int = 0
    work_seconds: float = 0.0
    call_seconds: float = 0.0


class WorkMeter:
    """Adds up the time that requests spend at a server, by kind.

    The time during which a request waits for calls to other services is counted
    apart. Time is counted while requests run, not only when they end: a server that
    slows down is noticed before the requests in progress are answered.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> now = 0.0
    >>> meter = WorkMeter(clock=lambda: now)
    >>> meter.begin(b"1", "order")
    >>> now = 0.5
    >>> meter.begin_call(b"1")
    >>> now = 2.0
    >>> meter.end_call(b"1")
    >>> meter.end(b"1", completed=True)
    >>> meter.take()
    (('order', 1, 0.5, 1.5),)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._running = {}
        # Completed requests, seconds of work and seconds of calls, by kind.
        self._totals = {}

    def begin(self, id, kind):
        """Note that a request has been sent to the server."""
        self._running[id] = _Running(kind=kind, counted_until=self._clock())

    def begin_call(self, id):
        """Note that a request, given its id, waits for a call from now on."""
        request = self._running.get(id)
        if request is not None:
            self._count_time(request)
            request.calls += 1

    def end_call(self, id):
        """Note that a call of a request has been answered."""
        request = self._running.get(id)
        if request is not None and request.calls:
            self._count_time(request)
            request.calls -= 1

    def end(self, id, *, completed, failed=False):
        """Note that a request is no longer at the server.

        Parameters
        ----------
        id : bytes
            Id of the request.
        completed : bool
            Whether the server did all of its work.
        failed : bool
            Whether it answered without doing all of the work. Such a request does not
            tell how fast the server is, and its unreported time is discarded.
        """
        request = self._running.pop(id, None)
        if request is None or failed:
            return
        self._count_time(request)
        self._add(request, completed=completed)

    def take(self):
        """Return what was measured since the last call, and reset it.

        Returns
        -------
        tuple of tuple
            Rows of kind, number of completed requests, seconds of work and seconds of
            calls.
        """
        for request in self._running.values():
            self._count_time(request)
            self._add(request, completed=False)
            request.work_seconds = request.call_seconds = 0.0
        totals, self._totals = self._totals, {}
        longest = sorted(totals.items(), key=lambda item: -item[1][1])[:MAX_KINDS]
        return tuple(
            (kind, count, round(work, 4), round(calls, 4))
            for kind, (count, work, calls) in longest
        )

    def _count_time(self, request):
        now = self._clock()
        if request.calls:
            request.call_seconds += now - request.counted_until
        else:
            request.work_seconds += now - request.counted_until
        request.counted_until = now

    def _add(self, request, *, completed):
        total = self._totals.setdefault(request.kind, [0, 0.0, 0.0])
        total[0] += completed
        total[1] += request.work_seconds
        total[2] += request.call_seconds
