"""Admission by urgency class: beside a server, and at ingresses before any hop."""

from guavastream.scheduling.levels import (
    Level,
    LevelMeter,
    RequestClass,
    format_levels,
)
from guavastream.scheduling.outcome import NotRun
from guavastream.scheduling.return_times import (
    MAX_RETRY_SHARE,
    MIN_RETRY_SECONDS,
    spread_retry,
)

__all__ = ["ClassAdmission", "IngressAdmission"]

# Time for which a process sends the same header value.
HEADER_SECONDS = 0.02
# Share of the told Retry-After before which a retry counts as early. Callers measure
# time themselves, and cap the wait at a third of their remaining time.
EARLY_SHARE = 0.9


class ClassAdmission:
    """Admits requests to a server, measures levels and plans retries.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Spreads retries for which no capacity is expected.
    queue : AdmissionQueue
        Queue of the server, which must use `return_times` of this object.
    return_times : ReturnTimes
        Capacity that is reserved for retries.
    count : callable, optional
        Counts an event by name.
    """

    def __init__(self, *, clock, rng, queue, return_times, count=lambda name: None):
        self._clock = clock
        self._count = count
        self._rng = rng
        self._queue = queue
        self._meter = LevelMeter(clock=clock)
        self._return_times = return_times
        self._header = b""
        self._header_until = float("-inf")

    @property
    def reservations(self):
        """Number of reservations for retries."""
        return len(self._return_times)

    def shares(self):
        """Return the share to admit of each restricted class, by `RequestClass`."""
        return self._meter.levels(slots=self._queue.slots)

    def asked(self):
        """Return the counts of the last second of each class, for log records."""
        return [
            {
                "urgency": cls.urgency,
                "late": cls.late,
                "asked": round(asked),
                "admitted": admitted,
            }
            for cls, (asked, admitted) in self._meter.measured().items()
        ]

    def header(self):
        """Return the levels as a header value, empty if nothing is restricted."""
        queue = self._queue
        if not queue.waiting and queue.running < queue.slots:
            return b""
        now = self._clock()
        if now >= self._header_until:
            self._header_until = now + HEADER_SECONDS
            self._header = self._format_header(self.shares())
        return self._header

    def _format_header(self, shares):
        queue, seconds = self._queue, self._queue.seconds
        return format_levels(
            {
                cls: Level(
                    share=share,
                    retry_seconds=0.0
                    if cls.late
                    else self._return_times.seconds_until_free(
                        urgency=cls.urgency, seconds=seconds, slots=queue.slots
                    ),
                )
                for cls, share in shares.items()
            }
        )

    async def enter(
        self, *, what, keyed, share=1.0, rank, kind, wanted_by, deadline, **kwargs
    ):
        """Wait for a slot as `AdmissionQueue.enter` does.

        Parameters
        ----------
        what : object
            Identifies what is requested.
        keyed : bool
            Whether the caller's retry comes to this server.
        share : float
            Share of such requests that the ingress admitted.
        rank, kind, wanted_by, deadline, **kwargs
            As in `AdmissionQueue.enter`.

        Raises
        ------
        NotRun
            If there will be no slot in time, with the best time of a retry.
        """
        now = self._clock()
        urgency = kwargs.get("urgency")
        urgency = rank if urgency is None else urgency
        is_call = kwargs.get("call", False)
        seconds = self._queue.estimated_seconds(kind)
        again = kwargs.get("again", False)
        # A first attempt is never late, even if its kind takes longer than its target
        # at this server: if all of a kind were refused, its estimate could not fall.
        late = not is_call and again and now + seconds > wanted_by
        cls = RequestClass(urgency=urgency, late=late)
        reserved = (
            keyed
            and again
            and not is_call
            and self._return_times.claim(what=what, target_time=wanted_by)
        )
        self._meter.note_asked(cls, work=seconds, share=share)
        if reserved:
            self._count("returns.claimed")
        try:
            if late:
                self._refuse_late(cls)
            estimate = await self._queue.enter(
                rank=rank,
                kind=kind,
                wanted_by=wanted_by,
                deadline=deadline,
                reserved=reserved,
                **kwargs,
            )
        except NotRun as refused:
            if refused.code != "overloaded":
                raise
            self._meter.note_outcome(cls, admitted=False)
            if is_call or not kwargs.get("last", True):
                raise
            retry_after = self._retry_after(
                what, keyed, urgency, seconds, wanted_by, deadline, again
            )
            reasons = {
                **(refused.reasons or {}),
                "urgency": urgency,
                "claimed": reserved,
                "retry_ms": int(1000 * retry_after),
                "reservations": self.reservations,
            }
            raise NotRun(
                refused.code, retry_after=retry_after, reasons=reasons
            ) from None
        # Calls are hardly ever refused. One that starts too late shows as much as a
        # refusal that the server has no capacity for its class.
        in_time = not is_call or self._clock() + seconds <= wanted_by
        self._meter.note_outcome(cls, admitted=in_time)
        return estimate

    def _refuse_late(self, cls):
        """Refuse a late request if its class is restricted and no slot is free.

        While ingresses refuse requests that can be in time, the queue is short enough
        to admit late ones, which would take their capacity.
        """
        queue = self._queue
        if queue.running < queue.slots and not queue.waiting:
            return
        share = self.shares().get(cls)
        if share is not None:
            reasons = {"late": True, "level": round(share, 3)}
            raise NotRun("overloaded", reasons=reasons)

    def _retry_after(self, what, keyed, urgency, seconds, wanted_by, deadline, again):
        """Return the Retry-After of a refused request, in seconds."""
        now = self._clock()
        left = deadline - now
        until = min(wanted_by - seconds, now + MAX_RETRY_SHARE * left)
        at = None
        if keyed:
            at = self._return_times.reserve(
                what=what,
                target_time=wanted_by,
                until=until,
                urgency=urgency,
                seconds=seconds,
                slots=self._queue.slots,
                again=again,
            )
        elif now + MIN_RETRY_SECONDS <= until:
            # The retry may come to another server, where nothing can be reserved.
            at = now + MIN_RETRY_SECONDS
        if at is None:
            self._count("returns.none_left")
            return spread_retry(left, self._rng.random())
        self._count("returns.told")
        return max(MIN_RETRY_SECONDS, at - now)


class IngressAdmission:
    """Refuses requests at an ingress if their class has no capacity.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Decides which requests of a class are admitted.
    board : LevelBoard
        Levels that this process has received.
    """

    def __init__(self, *, clock, rng, board):
        self._clock = clock
        self._rng = rng
        self.board = board

    def check(
        self,
        server_ids,
        *,
        urgency,
        seconds,
        target_time,
        deadline,
        again=True,
        retry_at=None,
        reserved=False,
    ):
        """Return the share of such requests that is admitted.

        Parameters
        ----------
        server_ids : sequence of str
            Ids of the servers that may run the request.
        urgency : int
            Urgency class of the request.
        seconds : float
            Estimated time of the request at a server.
        target_time, deadline : float
            Clock times until which an answer is in time, and has any value.
        again : bool
            Whether this is a retry; only retries count as late.
        retry_at : float, optional
            Clock time before which the caller was told not to retry.
        reserved : bool
            Whether a server has reserved capacity for this retry.

        Raises
        ------
        NotRun
            If the request is refused; it was sent nowhere.
        """
        now = self._clock()
        late = again and now + seconds > target_time
        cls = RequestClass(urgency=urgency, late=late)
        level = self.board.level(server_ids, cls)
        if level is None or level.share >= 1.0:
            return 1.0
        is_early = retry_at is not None and now < retry_at
        if reserved and not is_early and not late:
            return 1.0
        if not is_early and self._rng.random() < level.share:
            return level.share
        if is_early:
            retry_after = max(MIN_RETRY_SECONDS, retry_at - now)
        else:
            retry_after = self._retry_after(now, level, seconds, target_time, deadline)
        reasons = {
            "urgency": urgency,
            "late": late,
            "early": is_early,
            "level": round(level.share, 3),
            "level_ms": int(1000 * level.age),
            "servers": len(server_ids),
            "server": server_ids[0] if len(server_ids) == 1 else "",
            "retry_ms": int(1000 * retry_after),
        }
        raise NotRun("shed", retry_after=retry_after, reasons=reasons)

    def _retry_after(self, now, level, seconds, target_time, deadline):
        """Return the Retry-After of a refused request, in seconds."""
        left = deadline - now
        earliest = max(now + MIN_RETRY_SECONDS, level.retry_at)
        latest = min(target_time - seconds, now + MAX_RETRY_SHARE * left)
        if earliest > latest:
            return spread_retry(left, self._rng.random())
        return earliest + self._rng.random() * (latest - earliest) - now

    @staticmethod
    def early_until(now, retry_after, deadline):
        """Return the clock time before which a retry counts as early."""
        return now + EARLY_SHARE * min(retry_after, MAX_RETRY_SHARE * (deadline - now))
