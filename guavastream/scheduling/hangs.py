"""Servers that never respond to requests beyond their slots."""

from dataclasses import dataclass

__all__ = ["HangDetector", "SlowStart"]

# A request has been dropped if it has taken this many times its usual time. Servers may
# be three times slower than usual for a while; twice that leaves room for the variation
# of single requests, and for most callers enough time for a second attempt.
DROPPED_TIMES = 6.0
# Lower bound of that time. Shorter ones occur if this process or the server is paused.
MIN_DROPPED_SECONDS = 0.25
# Multiple of the longest time after which a request of the same kind was answered
# although later ones had been answered before it. Some kinds take ten times their usual
# time now and then, and their requests must not be given up while they run.
LONGEST_TIMES = 1.5
# Factor on that longest time at each answer: after 350 answers it has halved.
LONGEST_DECAY = 0.998
# Requests that were sent later and have been answered. A server that answers fewer may
# be paused, or may run them out of order.
LATER_ANSWERS = 3
# Multiple of its usual time for which a request that was given up may still run at a
# server, as servers may be three times slower than usual for a while.
RUNS_ON_TIMES = 3.0
# A request that ends this short before its deadline has run into it.
DEADLINE_TOLERANCE_SECONDS = 0.05
# Weight of the newest sample in the moving averages of request times.
SAMPLE_WEIGHT = 0.1


@dataclass(kw_only=True, slots=True)
class _Request:
    """A request that was sent to the server at clock time `sent_at`."""

    kind: str
    deadline: float
    sent_at: float
    later_answers: int = 0


class HangDetector:
    """Detects requests to which a server will never respond.

    Some servers respond neither to requests beyond their slots nor to anything that
    follows on the same connection. They are recognized by requests that ran into their
    deadline while the server answered later ones. Before that, nothing counts as
    dropped and no slot is held.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, *, clock):
        self._clock = clock
        # Requests at the server by token, in the order in which they were sent.
        self._requests = {}
        self._kind_means = {}
        # Longest time of an overtaken request by kind, decaying.
        self._longest = {}
        self._hangs = False

    @property
    def hangs(self):
        """Whether the server has been seen to leave a request unanswered."""
        return self._hangs

    def note_sent(self, token, *, kind, deadline):
        """Note that a request was sent; `token` identifies it in other calls."""
        self._requests[token] = _Request(
            kind=kind, deadline=deadline, sent_at=self._clock()
        )

    def note_answered(self, token):
        """Note that the server has responded to a request."""
        request = self._requests.get(token)
        if request is None:
            return
        for earlier in self._requests.values():
            if earlier is request:
                break
            earlier.later_answers += 1
        del self._requests[token]
        seconds = self._clock() - request.sent_at
        before = self._kind_means.get(request.kind, seconds)
        self._kind_means[request.kind] = before + SAMPLE_WEIGHT * (seconds - before)
        longest = LONGEST_DECAY * self._longest.get(request.kind, 0.0)
        if request.later_answers >= LATER_ANSWERS:
            longest = max(longest, seconds)
        self._longest[request.kind] = longest

    def forget(self, token):
        """Drop a request that the server refused or whose connection ended."""
        self._requests.pop(token, None)

    def note_given_up(self, token):
        """Note that a request without a response is given up.

        Returns
        -------
        float
            Seconds for which the server may still run it, during which its slot must
            not be used; 0 while the server has not been seen to hang.
        """
        request = self._requests.pop(token, None)
        if request is None:
            return 0.0
        now = self._clock()
        if now >= request.deadline - DEADLINE_TOLERANCE_SECONDS:
            self._hangs = self._hangs or self._seems_dropped(request)
        usual = self._kind_means.get(request.kind)
        if not self._hangs or usual is None or self._seems_dropped(request):
            return 0.0
        return max(0.0, request.sent_at + RUNS_ON_TIMES * usual - now)

    def dropped(self):
        """Return the tokens of the requests that the server has dropped."""
        if not self._hangs:
            return []
        return [t for t, r in self._requests.items() if self._seems_dropped(r)]

    def seconds_until_late(self, token):
        """Return the time until a request may count as dropped, None if unknown."""
        request = self._requests.get(token)
        if request is None or not self._hangs:
            return None
        seconds = self._seconds_until_late(request)
        return None if seconds is None else max(0.0, seconds)

    def describe(self, token):
        """Return the figures behind a decision about a request, for the log."""
        request = self._requests[token]
        return {
            "at_server_ms": round((self._clock() - request.sent_at) * 1e3),
            "usual_ms": round(self._kind_means.get(request.kind, 0.0) * 1e3),
            "later_answers": request.later_answers,
        }

    def _seems_dropped(self, request):
        if request.later_answers < LATER_ANSWERS:
            return False
        seconds = self._seconds_until_late(request)
        return seconds is not None and seconds <= 0

    def _seconds_until_late(self, request):
        usual = self._kind_means.get(request.kind)
        if usual is None:
            return None
        longest = self._longest.get(request.kind, 0.0)
        limit = max(MIN_DROPPED_SECONDS, DROPPED_TIMES * usual, LONGEST_TIMES * longest)
        return request.sent_at + limit - self._clock()


class SlowStart:
    """Limits the requests at a server beside which this process has just started.

    Requests of the process before may still occupy slots, and their number is not
    known. One more request is allowed each time that as many requests as the limit have
    been answered, which takes about the time of one request. All slots are used after a
    few of these times, when the requests of the process before have ended.

    Parameters
    ----------
    limit : int
        Number of requests that may run at first.

    Examples
    --------
    >>> start = SlowStart(limit=2)
    >>> for _ in range(2):
    ...     start.note_answer()
    >>> start.limit
    3
    """

    def __init__(self, *, limit):
        self._limit = limit
        self._answers_left = limit

    @property
    def limit(self):
        """Number of requests that may run now."""
        return self._limit

    def note_answer(self):
        """Note that the server has answered a request of this process."""
        self._answers_left -= 1
        if self._answers_left <= 0:
            self._limit += 1
            self._answers_left = self._limit
