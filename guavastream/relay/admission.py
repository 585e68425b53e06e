"""Who may go to the local server next, who waits, and who is refused at once.

It answers more requests than a server has slots for: bursts, a slow server,
callers that repeat. Requests wait here and not at the server, because here
they can be ordered, counted, and refused while that still helps the caller.
"""

import asyncio
import itertools
from bisect import bisect_left, insort
from dataclasses import dataclass

from guavastream.kernel import Policy, TimeLimit
from guavastream.relay.outcome import NotRun
from guavastream.relay.shares import Shares

__all__ = ["Gate"]

# Weight of the newest request in the smoothed time of its kind.
SMOOTHING = 0.1
# Time assumed of a request before any was measured, seconds.
USUAL_SECONDS = 0.1
# Times of requests of one kind vary by about a third, and waits do too; a
# request waits only if it would be in time even if it took this much longer
# than usual. Where a request takes nearly all of its time, that share of what
# is left is kept. A queue that empties now and then absorbs a burst, and may
# be long; one that stands makes all wait for nothing, and is kept short. Over
# six simulated overloads of two services, one calling the other, this serves
# 0.72 of what callers asked for, the long queue alone 0.68.
SPARED = 0.8
SPARED_OF_REST = 0.5
SPARED_STANDING = 2.0
SPARED_OF_REST_STANDING = 0.8
# A queue stands if it was never empty for this long, seconds.
STANDING_SECONDS = 0.5
# A request in the queue is not overtaken if that leaves it less than this of
# its usual time to spare: it was let in on a promise.
KEPT = 0.3
# A request that cannot be in time any more waits behind all that can, and no
# longer than this share of the time it has left: a burst passes, a queue that
# stands does not.
LATE_SHARE = 0.12
LATE_SHARE_STANDING = 0.05
# Of a request's usual time at least this must be left before its deadline
# when its turn comes, or its work would be cut off.
LEAST_LEFT = 0.7
# A request whose turn comes later than it could start to be in time, by more
# than this of its usual time, gives way to those behind it.
GRACE = 0.3
# Advice to come back, seconds: soon where it can still be in time then, since
# it goes before new requests. Else after this share of the time it has left:
# callers come back only once or twice, and spend that for nothing on a load
# that lasts a second. They wait no longer than a third, whatever is said.
SHORTEST_RETRY = 0.05
LONGEST_RETRY = 0.15
LATE_RETRY_SHARE = 0.3
# Bounds of the factor between expected and real waits, and the weight of the
# newest wait in it. More urgent requests that come later overtake, which no
# count of those ahead foresees. A wait is known only when it is over: with a
# weight of 0.1 the factor swung between its bounds twice a second under
# overload, and the queue with it.
LEAST_FACTOR = 0.7
MOST_FACTOR = 3.0
FACTOR_WEIGHT = 0.02
# Waits below this say nothing about the factor, seconds.
GRAIN_SECONDS = 0.005
# Answers are given this long before a deadline, so that they arrive.
LAST_SECONDS = 0.03


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    """A request in the queue; `order` sorts it, times are the clock's.

    `in_time` is the latest start for an answer in time, `latest` the latest
    start of all. For a request that is late when it comes, `in_time` bounds its
    wait; for a call both are the same.
    """

    order: tuple
    future: asyncio.Future
    usual: float
    in_time: float
    latest: float
    deadline: float

    def retry_after(self, now, soon):
        """Return when to come back: `soon`, or later if that is late anyway."""
        late, _, wanted_by, _ = self.order
        if not late and now + soon + self.usual <= wanted_by:
            return soon
        return max(soon, LATE_RETRY_SHARE * (self.deadline - now))


class Gate:
    """Slots of the local server and the queue before them.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    slots : int
        Requests that the server runs at a time.
    policy : Policy, optional
        Mechanisms that are in force.

    Notes
    -----
    A request is admitted to the queue only if it would be in time, and if all
    that wait behind it still are: the queue is as long as it is useful,
    whatever the load. It is ordered by rank, then by the time until which an
    answer has its full worth; a request that came back after a refusal thus
    goes first, as long as it can be in time at all.

    References
    ----------
    .. [1] J. A. Stankovic et al., "Deadline Scheduling for Real-Time
       Systems: EDF and Related Algorithms", Kluwer, 1998.
    """

    def __init__(self, *, loop, slots=1, policy=None):
        self._loop = loop
        self._clock = loop.time
        self._policy = policy or Policy()
        self._queue = []
        self._numbers = itertools.count()
        self._running = 0
        self._running_seconds = 0.0
        self._seconds = {}
        self._mean = 0.0
        self._waits = {}
        self._empty_at = self._heard_at = float("-inf")
        self._shares = Shares(clock=self._clock)
        self.slots = slots

    @property
    def running(self):
        """Requests at the server."""
        return self._running

    @property
    def waiting(self):
        """Requests in the queue."""
        return len(self._queue)

    @property
    def seconds(self):
        """Smoothed time of all requests at the server, 0 if unknown.

        No less than for how long the server has answered nothing.
        """
        return max(self._mean, self._silence()) if self._mean else 0.0

    def measured(self, kind):
        """Return the smoothed time of requests of a kind, 0 if unknown."""
        seconds = self._seconds.get(kind, 0.0)
        return max(seconds, self._silence()) if seconds else 0.0

    def usual(self, kind):
        """Return the smoothed time of requests of a kind, seconds."""
        return self._seconds.get(kind) or self._mean or USUAL_SECONDS

    def _silence(self):
        """Return for how long the server has answered nothing, seconds."""
        if not self._running or not self._policy.silence:
            return 0.0
        return self._clock() - self._heard_at

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
    ):
        """Wait for a slot; return what `leave` needs.

        Parameters
        ----------
        rank : int
            The lowest is the most urgent.
        kind : str
            Requests of one kind take about the same time.
        wanted_by, deadline : float
            The clock's times by which an answer is worth all and nothing.
        call : bool
            Whether a server waits for the answer. Refusing it wastes the work
            that was done for it, so that it is let in as long as it can run.
        id : bytes, optional
            Names the request; for a call, the request that it is for.
        urgency : int, optional
            Rank of the request that callers sent, `rank` by default.
        again : bool
            Whether its caller has come back after a refusal.
        last : bool
            Whether its caller is told if it is refused here; else it is tried at
            another server.

        Raises
        ------
        NotRun
            If there will be no slot in time.
        """
        usual = self.usual(kind)
        room = self._running < self.slots and not self._queue
        admitted = self._shares.admits(
            kind,
            id,
            urgency=rank if urgency is None else urgency,
            again=again,
            room=room,
            last=last,
        )
        if room:
            if not self._running:
                self._heard_at = self._clock()
            self._running += 1
        else:
            now = self._clock()
            if not self._queue:
                self._empty_at = now
            waiter = self._waiter(rank, usual, wanted_by, deadline, call, now)
            if not admitted and self._policy.shares:
                self._refuse_for_others(waiter, kind, now)
            raw = self._check(waiter, kind, now, call)
            insort(self._queue, waiter, key=_order)
            try:
                await self._wait(waiter, now)
            finally:
                self._note_wait(kind, raw, self._clock() - now)
        self._running_seconds += usual
        self._shares.note_admitted(kind, id, again=again)
        return usual

    def _refuse_for_others(self, waiter, kind, now):
        """Refuse a request whose kind has more than its share already."""
        reasons = {"share": round(self._shares.level(kind), 2)}
        retry_after = waiter.retry_after(now, LONGEST_RETRY)
        raise NotRun("overloaded", retry_after=retry_after, reasons=reasons)

    def _waiter(self, rank, usual, wanted_by, deadline, call, now):
        latest = deadline - max(LAST_SECONDS, usual * LEAST_LEFT)
        rest = wanted_by - now - usual
        late = rest <= 0 and not call and self._policy.late_last
        if call:
            in_time = latest
        elif late:
            share = LATE_SHARE_STANDING if self._stands(now) else LATE_SHARE
            share *= self._policy.late_wait
            in_time = min(latest, now + share * (deadline - now))
        else:
            in_time = wanted_by - usual
        return _Waiter(
            order=(late, rank, wanted_by, next(self._numbers)),
            future=self._loop.create_future(),
            usual=usual,
            in_time=in_time,
            latest=latest,
            deadline=deadline,
        )

    def _check(self, waiter, kind, now, call):
        """Return the expected wait before its factor, or refuse.

        Raises
        ------
        NotRun
            If the request or one behind it would not be in time.
        """
        place = bisect_left(self._queue, waiter.order, key=_order)
        mean = ahead = self._running_seconds / max(1, self._running)
        ahead += sum(other.usual for other in self._queue[:place])
        raw = ahead / self.slots
        # A server that froze or went dark frees no slot, and has long been
        # silent when that shows; as long again is the best guess.
        wait = self._factor(kind) * raw + max(0.0, self._silence() - mean)
        spare = 0.0 if call else self._spare(waiter, now)
        if not self._policy.refusal:
            return raw
        fits = now + wait + spare <= waiter.in_time
        if not fits or not (call or self._keeps_promises(waiter, place, ahead, now)):
            again = min(max(SHORTEST_RETRY, wait / 2), LONGEST_RETRY)
            reasons = {
                "fits": fits,
                "late": waiter.order[0],
                "wait_ms": int(1000 * wait),
                "factor": round(self._factor(kind), 2),
                "spare_ms": int(1000 * spare),
                "usual_ms": int(1000 * waiter.usual),
                "ahead": place,
                "waiting": len(self._queue),
                "running": self._running,
                "to_target_ms": int(1000 * (waiter.order[2] - now)),
                "to_deadline_ms": int(1000 * (waiter.deadline - now)),
                "stands": self._stands(now),
                "silent_ms": int(1000 * self._silence()),
            }
            retry_after = waiter.retry_after(now, again)
            raise NotRun("overloaded", retry_after=retry_after, reasons=reasons)
        return raw

    def _spare(self, waiter, now):
        """Return the time that a request must have beyond the expected."""
        late = waiter.order[0]
        if late:
            return 0.0
        rest = waiter.in_time - now
        if self._stands(now):
            spare = min(SPARED_STANDING * waiter.usual, SPARED_OF_REST_STANDING * rest)
        else:
            spare = min(SPARED * waiter.usual, SPARED_OF_REST * rest)
        return self._policy.spare * spare

    def _stands(self, now):
        if not self._policy.standing:
            return False
        return now - self._empty_at >= STANDING_SECONDS

    def _keeps_promises(self, waiter, place, ahead, now):
        """Whether all that a request would overtake can still be in time."""
        if not self._policy.promises:
            return True
        ahead += waiter.usual
        for other in self._queue[place:]:
            if other.order[:2] != waiter.order[:2]:
                return True
            if now + ahead / self.slots + KEPT * other.usual > other.in_time:
                return False
            ahead += other.usual
        return True

    def _factor(self, kind):
        real, expected = self._waits.get(kind, (1.0, 1.0))
        return min(MOST_FACTOR, max(LEAST_FACTOR, real / expected))

    def _note_wait(self, kind, expected, real):
        before = self._waits.get(kind, (GRAIN_SECONDS, GRAIN_SECONDS))
        self._waits[kind] = (
            before[0] + FACTOR_WEIGHT * (real - before[0]),
            before[1] + FACTOR_WEIGHT * (max(expected, GRAIN_SECONDS) - before[1]),
        )

    async def _wait(self, waiter, now):
        future = waiter.future
        try:
            with TimeLimit(loop=self._loop, when=max(now, waiter.latest)):
                await future
        except TimeoutError:
            self._give_back(future)
            raise NotRun("overloaded", retry_after=SHORTEST_RETRY) from None
        except asyncio.CancelledError:
            self._give_back(future)
            raise
        finally:
            if waiter in self._queue:
                self._queue.remove(waiter)

    def _give_back(self, future):
        """Free the slot that came just when its request stopped waiting."""
        if future.done() and not future.cancelled() and not future.exception():
            self._free()

    def refuse_waiting(self):
        """Refuse all that wait, as their callers can still go elsewhere."""
        for waiter in self._queue:
            if not waiter.future.done():
                refused = NotRun("leaving", retry_after=SHORTEST_RETRY)
                waiter.future.set_exception(refused)

    def leave(self, usual, *, kind, seconds=None):
        """Give a slot back.

        Parameters
        ----------
        usual : float
            What `enter` returned.
        kind : str
            As given to `enter`.
        seconds : float, optional
            How long the server took, if it ran the request to its end.
        """
        self._running_seconds = max(0.0, self._running_seconds - usual)
        if seconds is not None:
            self._heard_at = self._clock()
            before = self._seconds.get(kind, seconds)
            self._seconds[kind] = before + SMOOTHING * (seconds - before)
            self._mean = self._mean or seconds
            self._mean += SMOOTHING * (seconds - self._mean)
        self._free()

    def _free(self):
        self._running -= 1
        now = self._clock()
        while self._queue and self._running < self.slots:
            waiter = self._queue.pop(0)
            if waiter.future.done():
                continue
            # Too late: it would be cut off in the middle of its work, or
            # take the place of one that can still be in time.
            yields = self._queue and now > waiter.in_time + GRACE * waiter.usual
            if now > waiter.latest or yields:
                again = waiter.retry_after(now, SHORTEST_RETRY)
                waiter.future.set_exception(NotRun("overloaded", retry_after=again))
                continue
            self._running += 1
            waiter.future.set_result(None)


def _order(waiter):
    return waiter.order
