"""Admission control for the local server: a bounded priority queue before its slots.

Protects a server that receives more requests than it has slots for, because of
bursts, a slow server or retries. Requests wait here instead of at the server, so
that they can be ordered, counted, and refused early enough for the caller to react.
"""

import asyncio
import itertools
from bisect import bisect_left, insort
from dataclasses import dataclass

from guavastream.kernel import Policy, TimeLimit
from guavastream.scheduling.outcome import NotRun
from guavastream.scheduling.reserve import time_reserve
from guavastream.scheduling.shares import FairShares

__all__ = ["AdmissionQueue"]

# Weight of the newest sample in the moving averages of request times.
SAMPLE_WEIGHT = 0.1
# Estimated time of a request while there are no samples.
DEFAULT_SECONDS = 0.1
# A queue counts as standing if it has not been empty for this long.
STANDING_SECONDS = 0.5
# A queued request may be overtaken only if its slack is then still at least this factor
# times its estimated time, since it was admitted to be on time.
MIN_SLACK_FACTOR = 0.3
# A request that can't meet its target any more is queued behind all that can, for at
# most this share of the time until its deadline. A burst is usually over by then. A
# standing queue lasts longer, so the share is smaller for it.
MAX_LATE_WAIT_SHARE = 0.12
STANDING_MAX_LATE_WAIT_SHARE = 0.05
# Share of a request's estimated time that must be left before its deadline when it
# gets a slot; with less, it would be cut off while it runs.
MIN_TIME_LEFT_SHARE = 0.7
# A request that gets its turn too late to meet its target, by more than this factor
# times its estimated time, is refused in favour of the requests behind it.
LATE_START_FACTOR = 0.3
# Bounds of the Retry-After advice for requests that can still meet their target on a
# retry, which goes ahead of new requests. The others are advised to wait for
# `LATE_RETRY_SHARE` of the time until their deadline: callers retry only once or twice,
# and quick retries would be wasted on an overload that lasts a second. Callers never
# wait for more than a third of their remaining time.
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.15
LATE_RETRY_SHARE = 0.3
# Bounds of the ratio of actual to predicted waits, and the weight of the newest wait
# in it. The prediction does not include more urgent requests that arrive later.
# Since a wait is known only when it is over, a weight of 0.1 made the ratio oscillate
# between its bounds twice a second under overload, and the queue length with it.
MIN_WAIT_RATIO = 0.7
MAX_WAIT_RATIO = 3.0
WAIT_RATIO_WEIGHT = 0.02
# Lower bound of predicted waits in the ratio; shorter ones are mostly noise.
MIN_WAIT_SECONDS = 0.005
# Requests stop waiting this long before their deadline, so that the answer arrives.
ANSWER_MARGIN_SECONDS = 0.03


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    """A queued request.

    Parameters
    ----------
    order : tuple
        Sort key of the queue: whether it is late, rank, target time, sequence number.
    future : asyncio.Future
        Done when the request gets a slot or is refused.
    estimate : float
        Estimated time at the server, in seconds.
    start_by : float
        Latest start, in loop time, at which it meets its target. For a request that
        is late on arrival, the end of its longest wait; for a call, `latest_start`.
    latest_start : float
        Latest start, in loop time, at which it may still run.
    deadline : float
        Loop time after which the answer is worthless.
    """

    order: tuple
    future: asyncio.Future
    estimate: float
    start_by: float
    latest_start: float
    deadline: float

    def retry_after(self, now, soon):
        """Return `soon` if a retry by then meets the target, else a longer delay."""
        late, _, wanted_by, _ = self.order
        if not late and now + soon + self.estimate <= wanted_by:
            return soon
        return max(soon, LATE_RETRY_SHARE * (self.deadline - now))


class AdmissionQueue:
    """Slots of the local server and the queue of requests that wait for one.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop, whose time is used as the clock.
    slots : int
        Number of requests that the server runs concurrently.
    policy : Policy, optional
        Mechanisms that are in force.
    return_times : ReturnTimes, optional
        Capacity that is reserved for retries.

    Notes
    -----
    A request is queued only if it is expected to meet its target, and if all requests
    that it would overtake can still meet theirs. This bounds the length of the queue
    under any load. The queue is ordered by rank, then by the time until which an answer
    has its full value. A retry of a refused request is therefore ahead of newer ones
    of its rank, as long as it can still be on time.

    References
    ----------
    .. [1] J. A. Stankovic et al., "Deadline Scheduling for Real-Time
       Systems: EDF and Related Algorithms", Kluwer, 1998.
    """

    def __init__(self, *, loop, slots=1, policy=None, return_times=None):
        self._loop = loop
        self._clock = loop.time
        self._policy = policy or Policy()
        self._return_times = return_times
        self._queue = []
        self._sequence = itertools.count()
        self._running = 0
        # Sum of the estimated times of the running requests.
        self._running_seconds = 0.0
        # Moving average of the request time by kind, and of all requests.
        self._kind_means = {}
        self._mean = 0.0
        # Moving averages of actual and predicted waits, by kind.
        self._waits = {}
        # Clock times at which the queue was last empty and the server last answered.
        self._empty_at = self._answered_at = float("-inf")
        self._shares = FairShares(clock=self._clock)
        self.slots = slots

    @property
    def running(self):
        """Number of requests at the server."""
        return self._running

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def seconds(self):
        """Moving average of the time of all requests at the server, 0 if unknown.

        At least the time for which the server has not answered any request.
        """
        return max(self._mean, self._silence()) if self._mean else 0.0

    def mean_seconds_for(self, kind):
        """Return the moving average of the time of a kind of request, 0 if unknown.

        At least the time for which the server has not answered any request.
        """
        seconds = self._kind_means.get(kind, 0.0)
        return max(seconds, self._silence()) if seconds else 0.0

    def estimated_seconds(self, kind):
        """Return the estimated time of a kind of request, in seconds."""
        return self._kind_means.get(kind) or self._mean or DEFAULT_SECONDS

    def _silence(self):
        """Return the seconds for which a busy server has not answered any request."""
        if not self._running or not self._policy.silence:
            return 0.0
        return self._clock() - self._answered_at

    async def enter(
        self,
        *,
        rank,
        kind,
        wanted_by,
        deadline,
        call=False,
        id=b"",
        urgency=None,
        again=False,
        last=True,
        reserved=False,
    ):
        """Wait for a slot and return the estimated time to pass to `leave`.

        Parameters
        ----------
        rank : int
            Priority; the lowest rank is the most urgent.
        kind : str
            Groups requests that take about the same time.
        wanted_by : float
            Loop time until which an answer has its full value (the target).
        deadline : float
            Loop time after which an answer is worthless.
        call : bool
            Whether another server waits for the answer. Refusing such a request
            wastes the work done so far, so it is admitted as long as it can run.
        id : bytes, optional
            Request ID; for a call, the ID of the request that it is part of.
        urgency : int, optional
            Rank of the original request of the caller, `rank` by default.
        again : bool
            Whether this is a retry after a refusal.
        last : bool
            Whether a refusal is returned to the caller; if not, the request is then
            sent to another server.
        reserved : bool
            Whether capacity was reserved for this retry, whose reservation has been
            claimed. It is not refused for the share of its kind.

        Raises
        ------
        NotRun
            If there will be no slot in time.
        """
        estimate = self.estimated_seconds(kind)
        has_slot = self._running < self.slots and not self._queue
        admitted = self._shares.admits(
            kind,
            id,
            urgency=rank if urgency is None else urgency,
            again=again,
            has_slot=has_slot,
            last=last,
        )
        if has_slot:
            if not self._running:
                self._answered_at = self._clock()
            self._running += 1
        else:
            now = self._clock()
            if not self._queue:
                self._empty_at = now
            waiter = self._make_waiter(rank, estimate, wanted_by, deadline, call, now)
            if not admitted and not reserved and self._policy.shares:
                self._refuse_over_share(waiter, kind, now)
            urgency = rank if urgency is None else urgency
            predicted = self._check_on_time(
                waiter, kind, now, call, urgency=urgency, reserved=reserved
            )
            insort(self._queue, waiter, key=_order)
            try:
                await self._wait(waiter, now)
            finally:
                self._note_wait(kind, predicted, self._clock() - now)
        self._running_seconds += estimate
        self._shares.note_admitted(kind, id, again=again)
        return estimate

    def _refuse_over_share(self, waiter, kind, now):
        """Refuse a request of a kind that already exceeds its fair share."""
        reasons = {"share": round(self._shares.admitted_fraction(kind), 2)}
        retry_after = waiter.retry_after(now, MAX_RETRY_SECONDS)
        raise NotRun("overloaded", retry_after=retry_after, reasons=reasons)

    def _make_waiter(self, rank, estimate, wanted_by, deadline, call, now):
        """Return the queue entry of a request with its latest start times."""
        latest_start = deadline - max(
            ANSWER_MARGIN_SECONDS, estimate * MIN_TIME_LEFT_SHARE
        )
        slack = wanted_by - now - estimate
        late = slack <= 0 and not call and self._policy.late_last
        if call:
            start_by = latest_start
        elif late:
            share = (
                STANDING_MAX_LATE_WAIT_SHARE
                if self._is_standing(now)
                else MAX_LATE_WAIT_SHARE
            )
            share *= self._policy.late_wait
            start_by = min(latest_start, now + share * (deadline - now))
        else:
            start_by = wanted_by - estimate
        return _Waiter(
            order=(late, rank, wanted_by, next(self._sequence)),
            future=self._loop.create_future(),
            estimate=estimate,
            start_by=start_by,
            latest_start=latest_start,
            deadline=deadline,
        )

    def _check_on_time(self, waiter, kind, now, call, *, urgency, reserved):
        """Return the uncorrected predicted wait, or refuse the request.

        The check itself uses the prediction times the ratio of `_wait_ratio`.

        Raises
        ------
        NotRun
            If this request, or one that it would overtake, would be too late.
        """
        position = bisect_left(self._queue, waiter.order, key=_order)
        mean = ahead = self._running_seconds / max(1, self._running)
        ahead += sum(other.estimate for other in self._queue[:position])
        predicted = ahead / self.slots
        # An unresponsive server frees no slots. It is expected to stay unresponsive
        # for as long again as it has been so far.
        wait = self._wait_ratio(kind) * predicted + max(0.0, self._silence() - mean)
        if not call and not reserved and self._return_times is not None:
            # Retries with a reservation overtake those without one.
            seconds = self._return_times.seconds_reserved(
                urgency=urgency, until=now + wait
            )
            wait += seconds / self.slots
        spare = 0.0 if call else self._time_reserve(waiter, now)
        if not self._policy.refusal:
            return predicted
        fits = now + wait + spare <= waiter.start_by
        if not fits or not (
            call or self._leaves_others_on_time(waiter, position, ahead, now)
        ):
            soon = min(max(MIN_RETRY_SECONDS, wait / 2), MAX_RETRY_SECONDS)
            reasons = {
                "fits": fits,
                "late": waiter.order[0],
                "wait_ms": int(1000 * wait),
                "factor": round(self._wait_ratio(kind), 2),
                "spare_ms": int(1000 * spare),
                "usual_ms": int(1000 * waiter.estimate),
                "ahead": position,
                "waiting": len(self._queue),
                "running": self._running,
                "to_target_ms": int(1000 * (waiter.order[2] - now)),
                "to_deadline_ms": int(1000 * (waiter.deadline - now)),
                "stands": self._is_standing(now),
                "silent_ms": int(1000 * self._silence()),
            }
            retry_after = waiter.retry_after(now, soon)
            raise NotRun("overloaded", retry_after=retry_after, reasons=reasons)
        return predicted

    def _time_reserve(self, waiter, now):
        """Return the time that a request needs beyond its predicted wait."""
        if waiter.order[0]:
            return 0.0
        seconds = time_reserve(
            estimate=waiter.estimate,
            left=waiter.start_by - now,
            standing=self._is_standing(now),
        )
        return self._policy.spare * seconds

    def _is_standing(self, now):
        """Whether the queue has not been empty for `STANDING_SECONDS`."""
        if not self._policy.standing:
            return False
        return now - self._empty_at >= STANDING_SECONDS

    def _leaves_others_on_time(self, waiter, position, ahead, now):
        """Whether all requests that this one would overtake can still be on time."""
        if not self._policy.promises:
            return True
        ahead += waiter.estimate
        for other in self._queue[position:]:
            if other.order[:2] != waiter.order[:2]:
                return True
            if (
                now + ahead / self.slots + MIN_SLACK_FACTOR * other.estimate
                > other.start_by
            ):
                return False
            ahead += other.estimate
        return True

    def _wait_ratio(self, kind):
        """Return the bounded ratio of actual to predicted waits of a kind."""
        actual, predicted = self._waits.get(kind, (1.0, 1.0))
        return min(MAX_WAIT_RATIO, max(MIN_WAIT_RATIO, actual / predicted))

    def _note_wait(self, kind, predicted, actual):
        """Update the moving averages of actual and predicted waits of a kind."""
        before = self._waits.get(kind, (MIN_WAIT_SECONDS, MIN_WAIT_SECONDS))
        self._waits[kind] = (
            before[0] + WAIT_RATIO_WEIGHT * (actual - before[0]),
            before[1]
            + WAIT_RATIO_WEIGHT * (max(predicted, MIN_WAIT_SECONDS) - before[1]),
        )

    async def _wait(self, waiter, now):
        """Wait until a queued request is assigned a slot or is refused."""
        future, until = waiter.future, waiter.latest_start
        if self._return_times is not None:
            # Those that are overtaken until they would start too late are refused then,
            # while their callers have time left for a retry.
            until = min(until, waiter.start_by + LATE_START_FACTOR * waiter.estimate)
        try:
            with TimeLimit(loop=self._loop, when=max(now, until)):
                await future
        except TimeoutError:
            self._return_unused_slot(future)
            raise NotRun("overloaded", retry_after=MIN_RETRY_SECONDS) from None
        except asyncio.CancelledError:
            self._return_unused_slot(future)
            raise
        finally:
            if waiter in self._queue:
                self._queue.remove(waiter)

    def _return_unused_slot(self, future):
        """Free a slot that was assigned just as its request stopped waiting."""
        if future.done() and not future.cancelled() and not future.exception():
            self._free_slot()

    def refuse_waiting(self, code="leaving"):
        """Refuse all queued requests, whose callers can still use another server."""
        for waiter in self._queue:
            if not waiter.future.done():
                refused = NotRun(code, retry_after=MIN_RETRY_SECONDS)
                waiter.future.set_exception(refused)

    def leave(self, estimate, *, kind, seconds=None):
        """Free a slot.

        Parameters
        ----------
        estimate : float
            Return value of `enter`.
        kind : str
            Kind of request, as passed to `enter`.
        seconds : float, optional
            Time that the server took, if it ran the request to its end.
        """
        self._running_seconds = max(0.0, self._running_seconds - estimate)
        if seconds is not None:
            self._answered_at = self._clock()
            before = self._kind_means.get(kind, seconds)
            self._kind_means[kind] = before + SAMPLE_WEIGHT * (seconds - before)
            self._mean = self._mean or seconds
            self._mean += SAMPLE_WEIGHT * (seconds - self._mean)
        self._free_slot()

    def _free_slot(self):
        """Free a slot and assign free slots to queued requests."""
        self._running -= 1
        now = self._clock()
        while self._queue and self._running < self.slots:
            waiter = self._queue.pop(0)
            if waiter.future.done():
                continue
            # A request that would start too late is refused: it would be cut off while
            # it runs, or take the slot of a request that can still be on time.
            gives_way = (
                self._queue
                and now > waiter.start_by + LATE_START_FACTOR * waiter.estimate
            )
            if now > waiter.latest_start or gives_way:
                delay = waiter.retry_after(now, MIN_RETRY_SECONDS)
                waiter.future.set_exception(NotRun("overloaded", retry_after=delay))
                continue
            self._running += 1
            waiter.future.set_result(None)


def _order(waiter):
    return waiter.order
