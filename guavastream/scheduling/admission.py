"""Admission control for the local server: a bounded priority queue before its slots.

Protects a server that receives more requests than it has slots for, because of
bursts, a slow server or retries. Requests wait here instead of at the server, so
that they can be ordered, counted, and refused early enough for the caller to react.
"""

import asyncio
import itertools
import math
from bisect import bisect_left, insort
from dataclasses import dataclass

from guavastream.kernel import Policy, TimeLimit, record
from guavastream.scheduling.outcome import NotRun
from guavastream.scheduling.reserve import time_reserve
from guavastream.scheduling.room import MinimumShare, ReservedSlots
from guavastream.scheduling.shares import FairShares

__all__ = ["AdmissionQueue", "Slot"]

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
# This is the default, for requests of the same process.
ANSWER_MARGIN_SECONDS = 0.03
# Urgency of requests of the process itself, such as health checks.
MOST_URGENT = 0
# Shortest time until waiting requests are checked again. The loop may call a timer
# earlier than asked, by the resolution of its clock.
MIN_CHECK_SECONDS = 0.001


@record
class Slot:
    """A slot that a request occupies.

    Parameters
    ----------
    seconds : float
        Estimated time of the request at the server.
    urgency : int
        Urgency of the request.
    was_starved : bool
        Whether the request got the slot ahead of others since few of its kind had
        been served.
    """

    seconds: float
    urgency: int
    was_starved: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    """A queued request.

    Parameters
    ----------
    order : tuple
        Sort key of the queue: whether it is late, rank or urgency, target time,
        sequence number. A request of a starved kind precedes all others.
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
    late : bool
        Whether it can't meet its target any more.
    urgency : int
        Urgency of the original request.
    starved : bool
        Whether it may use reserved slots, since few of its kind have been served.
    """

    order: tuple
    future: asyncio.Future
    estimate: float
    start_by: float
    latest_start: float
    deadline: float
    late: bool
    urgency: int
    starved: bool = False

    def retry_after(self, now, soon):
        """Return `soon` if a retry by then meets the target, else a longer delay."""
        wanted_by = self.order[2]
        if not self.late and now + soon + self.estimate <= wanted_by:
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

    With `by_class`, the queue is ordered by the urgency of the original request
    instead of the rank. With `reserves_slots` as well, slots are reserved for more
    urgent requests: a request
    gets a slot if, for each more urgent class, the running requests that are less
    urgent than that class are fewer than the slots that are not reserved for it.

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
        # Number and sum of the estimated times of the running requests, by urgency.
        self._running_by_urgency = {}
        # Moving average of the request time by kind, and of all requests.
        self._kind_means = {}
        self._mean = 0.0
        # Moving averages of actual and predicted waits, by kind.
        self._waits = {}
        # Clock times at which the queue was last empty and the server last answered.
        self._empty_at = self._answered_at = float("-inf")
        # Clock times at which no request of an urgency or a more urgent one waited.
        self._empty_at_by_urgency = {}
        self._shares = FairShares(clock=self._clock)
        self._reserved = ReservedSlots(clock=self._clock)
        self._minimum_share = MinimumShare(clock=self._clock)
        self._by_class = False
        # Whether slots are reserved for more urgent requests; only with `by_class`.
        self.reserves_slots = True
        # Timer of the next check whether reservations have ended.
        self._check = None
        self.slots = slots

    @property
    def by_class(self):
        """Whether urgency decides the order of the queue."""
        return self._by_class

    @by_class.setter
    def by_class(self, value):
        if value != self._by_class:
            self._by_class = value
            self._assign_slots()

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

    def reserved_slots(self, urgency):
        """Return the number of slots that are reserved for more urgent requests."""
        if not (self._by_class and self.reserves_slots):
            return 0
        return self._reserved.count(urgency, slots=self.slots)

    def offered_load(self, urgency):
        """Return the load of more urgent requests, in slots that they occupy."""
        return self._reserved.offered_load(urgency) if self._by_class else 0.0

    def expected_wait(self, urgency):
        """Return the expected wait of a request of an urgency class, in seconds."""
        if self._has_slot(urgency):
            return 0.0
        mean, ahead, slots = self._work_ahead(urgency, self._queue)
        return ahead / slots + max(0.0, self._silence() - mean)

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
        margin=ANSWER_MARGIN_SECONDS,
        reserved=False,
    ):
        """Wait for a slot and return the `Slot` to pass to `leave`.

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
        margin : float
            Seconds before `deadline` at which it stops waiting at the latest.
        reserved : bool
            Whether capacity was reserved for this retry, whose reservation has been
            claimed. It is not refused for the share of its kind.

        Raises
        ------
        NotRun
            If there will be no slot in time.
        """
        urgency = rank if urgency is None else urgency
        estimate = self.estimated_seconds(kind)
        # Calls of one kind may be made by requests of several urgencies.
        group = (kind, urgency) if self._by_class else kind
        if self._by_class:
            self._reserved.note_arrival(urgency, estimate)
        has_slot = self._has_slot(urgency)
        admitted = self._shares.admits(
            group,
            id,
            urgency=urgency,
            again=again,
            has_slot=has_slot,
            last=last,
        )
        starved = False
        if has_slot:
            if not self._running:
                self._answered_at = self._clock()
            self._take_slot(urgency, estimate)
        else:
            now = self._clock()
            waiter = self._make_waiter(
                rank,
                urgency,
                group,
                estimate,
                wanted_by,
                deadline,
                call,
                now,
                margin,
            )
            starved = waiter.starved
            try:
                may_exceed_share = admitted or starved or reserved
                if not may_exceed_share and self._policy.shares:
                    self._refuse_over_share(waiter, group, now)
                predicted = self._check_on_time(
                    waiter, group, now, call, reserved=reserved
                )
                await self._queue_up(waiter, group, predicted, now)
            except NotRun:
                if self._by_class and last and not again:
                    self._minimum_share.note_refused(group)
                raise
        self._running_seconds += estimate
        self._shares.note_admitted(group, id, again=again)
        if self._by_class:
            self._minimum_share.note_served(group, again=again)
        return Slot(seconds=estimate, urgency=urgency, was_starved=starved)

    def refuse_early(
        self,
        *,
        rank,
        kind,
        wanted_by,
        deadline,
        call=False,
        urgency=None,
        margin=ANSWER_MARGIN_SECONDS,
    ):
        """Refuse a request that would be refused for lack of time if it entered now.

        It is not counted. The parameters are those of `enter`.

        Raises
        ------
        NotRun
            If there will be no slot in time.
        """
        urgency = rank if urgency is None else urgency
        if self._has_slot(urgency):
            return
        now = self._clock()
        group = (kind, urgency) if self._by_class else kind
        waiter = self._make_waiter(
            rank,
            urgency,
            group,
            self.estimated_seconds(kind),
            wanted_by,
            deadline,
            call,
            now,
            margin,
        )
        self._check_on_time(waiter, group, now, call, reserved=False)

    def _is_starved(self, group, urgency):
        """Whether few requests of a group have been served, so that it goes first.

        The most urgent requests are refused for lack of capacity only.
        """
        return self._minimum_share.is_starved(group) and bool(self._levels(urgency))

    def _note_if_empty(self, urgency, now):
        """Note that the queue is empty when a request is about to join it."""
        if not self._queue:
            self._empty_at = now
        if not self._by_class:
            return
        first = min((waiter.urgency for waiter in self._queue), default=math.inf)
        self._empty_at_by_urgency.setdefault(urgency, now)
        for other in self._empty_at_by_urgency:
            if urgency <= other < first:
                self._empty_at_by_urgency[other] = now

    async def _queue_up(self, waiter, group, predicted, now):
        """Wait in the queue for a slot."""
        if waiter.starved:
            self._minimum_share.claim(group)
        insort(self._queue, waiter, key=_order)
        self._schedule_check()
        try:
            await self._wait(waiter, now)
        finally:
            # `note_served` takes the credit again if the request got its slot.
            if waiter.starved:
                self._minimum_share.give_back(group)
            self._note_wait(group, predicted, self._clock() - now)

    def _has_slot(self, urgency):
        """Whether a new request of an urgency class gets a slot at once."""
        if not self._by_class:
            return self._running < self.slots and not self._queue
        return self._may_run(urgency) and not any(
            waiter.urgency <= urgency and not waiter.future.done()
            for waiter in self._queue
        )

    def _may_run(self, urgency):
        """Whether a slot is free that is not reserved for more urgent requests."""
        if self._running >= self.slots:
            return False
        return all(
            self._running_above(level)[0] < self.slots - number
            for level, number in self._levels(urgency)
        )

    def _levels(self, urgency):
        """Return the reservations that a request of an urgency has to respect."""
        if not (self._by_class and self.reserves_slots):
            return []
        return self._reserved.levels(urgency, slots=self.slots)

    def _running_above(self, level):
        """Return number and estimated seconds of running requests less urgent."""
        count, seconds = 0, 0.0
        for urgency, running in self._running_by_urgency.items():
            if urgency > level:
                count += running[0]
                seconds += running[1]
        return count, max(0.0, seconds)

    def _work_ahead(self, urgency, queue, *, starved=False):
        """Return what a request has to wait for.

        Parameters
        ----------
        urgency : int
            Urgency of the request.
        queue : list of _Waiter
            The queued requests that precede it; less urgent ones do not count.
        starved : bool
            Whether it may use reserved slots.

        Returns
        -------
        mean : float
            Mean estimated time of the running requests, seconds.
        ahead : float
            Seconds of work that the request waits for.
        slots : int
            Number of slots that do this work.
        """
        mean = self._running_seconds / max(1, self._running)
        if not self._by_class:
            return mean, mean + sum(other.estimate for other in queue), self.slots
        queue = [w for w in queue if w.starved or w.urgency <= urgency]
        found = mean, 0.0, max(1, self.slots)
        if self._running + len(queue) >= self.slots:
            found = mean, mean + sum(w.estimate for w in queue), max(1, self.slots)
        for level, number in [] if starved else self._levels(urgency):
            # All requests above the level share the slots that are not reserved.
            slots = self.slots - number
            count, seconds = self._running_above(level)
            sharing = [w for w in queue if w.urgency > level]
            if count + len(sharing) >= slots:
                ahead = seconds / max(1, count) + sum(w.estimate for w in sharing)
                if ahead / slots > found[1] / found[2]:
                    found = mean, ahead, slots
        return found

    def _refuse_over_share(self, waiter, kind, now):
        """Refuse a request of a kind that already exceeds its fair share."""
        reasons = {
            "share": round(self._shares.admitted_fraction(kind), 2),
            **self._reservation_reasons(waiter),
        }
        retry_after = waiter.retry_after(now, MAX_RETRY_SECONDS)
        raise NotRun("overloaded", retry_after=retry_after, reasons=reasons)

    def _make_waiter(
        self, rank, urgency, group, estimate, wanted_by, deadline, call, now, margin
    ):
        """Return the queue entry of a request with its latest start times."""
        self._note_if_empty(urgency, now)
        starved = self._is_starved(group, urgency)
        latest_start = deadline - max(margin, estimate * MIN_TIME_LEFT_SHARE)
        slack = wanted_by - now - estimate
        late = slack <= 0 and not call and self._policy.late_last
        if call:
            start_by = latest_start
        elif late:
            share = (
                STANDING_MAX_LATE_WAIT_SHARE
                if self._is_standing(urgency, now)
                else MAX_LATE_WAIT_SHARE
            )
            share *= self._policy.late_wait
            start_by = min(latest_start, now + share * (deadline - now))
        else:
            start_by = wanted_by - estimate
        order = (late, urgency if self._by_class else rank)
        if starved:
            order = (False, -math.inf)
        return _Waiter(
            order=(*order, wanted_by, next(self._sequence)),
            future=self._loop.create_future(),
            estimate=estimate,
            start_by=start_by,
            latest_start=latest_start,
            deadline=deadline,
            late=late,
            urgency=urgency,
            starved=starved,
        )

    def _check_on_time(self, waiter, kind, now, call, *, reserved):
        """Return the uncorrected predicted wait, or refuse the request.

        The check itself uses the prediction times the ratio of `_wait_ratio`.

        Raises
        ------
        NotRun
            If this request, or one that it would overtake, would be too late.
        """
        position = bisect_left(self._queue, waiter.order, key=_order)
        mean, ahead, slots = self._work_ahead(
            waiter.urgency, self._queue[:position], starved=waiter.starved
        )
        predicted = ahead / slots
        # An unresponsive server frees no slots. It is expected to stay unresponsive
        # for as long again as it has been so far.
        wait = self._wait_ratio(kind) * predicted + max(0.0, self._silence() - mean)
        if not call and not reserved and self._return_times is not None:
            # Retries with a reservation overtake those without one.
            seconds = self._return_times.seconds_reserved(
                urgency=waiter.urgency, until=now + wait
            )
            wait += seconds / self.slots
        spare = 0.0 if call else self._time_reserve(waiter, now)
        if not self._policy.refusal:
            return predicted
        fits = now + wait + spare <= waiter.start_by
        if not fits or not (
            call or self._leaves_others_on_time(waiter, position, ahead, slots, now)
        ):
            soon = min(max(MIN_RETRY_SECONDS, wait / 2), MAX_RETRY_SECONDS)
            reasons = {
                "fits": fits,
                "late": waiter.late,
                "wait_ms": int(1000 * wait),
                "factor": round(self._wait_ratio(kind), 2),
                "spare_ms": int(1000 * spare),
                "usual_ms": int(1000 * waiter.estimate),
                "ahead": position,
                "waiting": len(self._queue),
                "running": self._running,
                "to_target_ms": int(1000 * (waiter.order[2] - now)),
                "to_deadline_ms": int(1000 * (waiter.deadline - now)),
                "stands": self._is_standing(waiter.urgency, now),
                "silent_ms": int(1000 * self._silence()),
                **self._reservation_reasons(waiter),
            }
            retry_after = waiter.retry_after(now, soon)
            raise NotRun("overloaded", retry_after=retry_after, reasons=reasons)
        return predicted

    def _reservation_reasons(self, waiter):
        """Return log fields on the slots reserved for more urgent requests."""
        if not self._by_class:
            return {}
        return {
            "urgency": waiter.urgency,
            "starved": waiter.starved,
            "reserved": self.reserved_slots(waiter.urgency),
            "urgent_load": round(self.offered_load(waiter.urgency), 2),
        }

    def _time_reserve(self, waiter, now):
        """Return the time that a request needs beyond its predicted wait."""
        if waiter.late:
            return 0.0
        seconds = time_reserve(
            estimate=waiter.estimate,
            left=waiter.start_by - now,
            standing=self._is_standing(waiter.urgency, now),
        )
        return self._policy.spare * seconds

    def _is_standing(self, urgency, now):
        """Whether the queue has not been empty for `STANDING_SECONDS`.

        Requests that are less urgent than `urgency` do not count if they may wait for
        reserved slots.
        """
        if not self._policy.standing:
            return False
        empty_at = self._empty_at
        if self._by_class:
            empty_at = self._empty_at_by_urgency.get(urgency, now)
        return now - empty_at >= STANDING_SECONDS

    def _leaves_others_on_time(self, waiter, position, ahead, slots, now):
        """Whether all requests that this one would overtake can still be on time."""
        if not self._policy.promises:
            return True
        ahead += waiter.estimate
        for other in self._queue[position:]:
            if other.order[:2] != waiter.order[:2]:
                return True
            if now + ahead / slots + MIN_SLACK_FACTOR * other.estimate > other.start_by:
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
            self._return_unused_slot(waiter)
            reasons = self._reservation_reasons(waiter) or None
            raise NotRun(
                "overloaded", retry_after=MIN_RETRY_SECONDS, reasons=reasons
            ) from None
        except asyncio.CancelledError:
            self._return_unused_slot(waiter)
            raise
        finally:
            if waiter in self._queue:
                self._queue.remove(waiter)

    def _return_unused_slot(self, waiter):
        """Free a slot that was assigned just as its request stopped waiting."""
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            self._free_slot(waiter.urgency, waiter.estimate)

    def take_free_slot(self):
        """Return a free `Slot` to pass to `leave`, or None if there is none."""
        if self._running >= self.slots:
            return None
        if not self._running:
            self._answered_at = self._clock()
        self._take_slot(MOST_URGENT, 0.0)
        return Slot(seconds=0.0, urgency=MOST_URGENT)

    def refuse_waiting(self, code="leaving"):
        """Refuse all queued requests, whose callers can still use another server."""
        for waiter in self._queue:
            if not waiter.future.done():
                refused = NotRun(code, retry_after=MIN_RETRY_SECONDS)
                waiter.future.set_exception(refused)

    def leave(self, slot, *, kind, seconds=None):
        """Free a slot.

        Parameters
        ----------
        slot : Slot
            Return value of `enter`.
        kind : str
            Kind of request, as passed to `enter`.
        seconds : float, optional
            Time that the server took, if it ran the request to its end.
        """
        self._running_seconds = max(0.0, self._running_seconds - slot.seconds)
        if seconds is not None:
            self._answered_at = self._clock()
            before = self._kind_means.get(kind, seconds)
            self._kind_means[kind] = before + SAMPLE_WEIGHT * (seconds - before)
            self._mean = self._mean or seconds
            self._mean += SAMPLE_WEIGHT * (seconds - self._mean)
        self._free_slot(slot.urgency, slot.seconds)

    def _take_slot(self, urgency, seconds):
        self._running += 1
        running = self._running_by_urgency.setdefault(urgency, [0, 0.0])
        running[0] += 1
        running[1] += seconds

    def _free_slot(self, urgency, seconds):
        """Free a slot and assign free slots to queued requests."""
        self._running -= 1
        running = self._running_by_urgency[urgency]
        running[0] -= 1
        running[1] -= seconds
        if running[0] <= 0:
            del self._running_by_urgency[urgency]
        self._assign_slots()

    def _assign_slots(self):
        """Assign free slots to the queued requests that may use them, in order."""
        now = self._clock()
        while (index := self._next_index()) is not None:
            waiter = self._queue.pop(index)
            if waiter.future.done():
                continue
            # A request that would start too late is refused: it would be cut off while
            # it runs, or take the slot of a request that can still be on time.
            gives_way = (
                now > waiter.start_by + LATE_START_FACTOR * waiter.estimate
                and self._next_index() is not None
            )
            if now > waiter.latest_start or gives_way:
                delay = waiter.retry_after(now, MIN_RETRY_SECONDS)
                reasons = self._reservation_reasons(waiter) or None
                refused = NotRun("overloaded", retry_after=delay, reasons=reasons)
                waiter.future.set_exception(refused)
                continue
            self._take_slot(waiter.urgency, waiter.estimate)
            waiter.future.set_result(None)
        self._schedule_check()

    def _next_index(self):
        """Return the index of the queued request that gets a slot now, or None."""
        if not self._queue or self._running >= self.slots:
            return None
        if not self._by_class:
            return 0
        for index, waiter in enumerate(self._queue):
            if waiter.starved or waiter.future.done() or self._may_run(waiter.urgency):
                return index
        return None

    def _schedule_check(self):
        """Check again when a reservation ends, if requests wait for that.

        Otherwise requests for which a slot is free would wait until another request
        leaves the server.
        """
        if self._check is not None:
            self._check.cancel()
            self._check = None
        if not self._by_class or not self._queue or self._running >= self.slots:
            return
        when = self._reserved.next_change()
        if when is not None:
            when = max(when, self._clock() + MIN_CHECK_SECONDS)
            self._check = self._loop.call_at(when, self._assign_slots)


def _order(waiter):
    return waiter.order
