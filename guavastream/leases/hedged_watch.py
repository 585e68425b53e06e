"""Watches a replicated table at several control hosts with hedged requests."""

import asyncio
import random
from dataclasses import dataclass
from functools import partial

from guavastream.exception import CallTimeout, GuavastreamError
from guavastream.kernel import Signal, replace, steady_time

__all__ = ["HedgedWatch"]

# The next control host is called when an answer is overdue by the usual lateness
# times the factor, within these limits. On a saturated link all answers are late.
MIN_SLACK_SECONDS = 0.1
MAX_SLACK_SECONDS = 0.4
SLACK_FACTOR = 2.0
# Weight of the newest answer in the moving average of the lateness.
LATENESS_WEIGHT = 0.2
# Pause before each further control host once the first is late. A host that has no
# table yet pauses longer: after a power loss of all hosts, the first parts of many
# whole tables would otherwise saturate a slow link.
HEDGE_SECONDS = 0.1
INITIAL_HEDGE_SECONDS = 0.2
# Time for each further part of a long answer: the usual lateness times the factor, and
# the time in which a slow link passes a part, within these limits. With the lowest one,
# a control host that is lost meanwhile has been given up after three attempts, 1.2 s.
PART_LATENESS_FACTOR = 4.0
PART_TRANSFER_SECONDS = 0.3
MIN_PART_SECONDS = 0.4
MAX_PART_SECONDS = 2.0


class HedgedWatch:
    """Sends each watch to further control hosts when the first one is late.

    A change must take effect within seconds even if the control host that is called
    first is cut off from its leader, paused, or behind a saturated link. Calling the
    hosts one after another would add up their timeouts. Calls that were not answered
    are still waited for while later ones are made: their answers may be late, or lost.
    When all have been called, one is called through another host.

    When a part of a long answer is late, the other control hosts are called, too. If
    one of them answers before that part has come, its answer is read instead.

    Parameters
    ----------
    control : ControlClient
        Calls the control hosts.
    first : str
        Peer address of the control host to call first.
    clock : callable, optional
        Monotonic time in seconds, including time while suspended.

    References
    ----------
    .. [1] J. Dean and L. A. Barroso, "The Tail at Scale", Communications of the
       ACM 56(2), 2013; hedged requests.
    """

    def __init__(self, *, control, first, clock=steady_time):
        self._control = control
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._first = first
        self._calls = _ConcurrentCalls(loop=self._loop)
        self._lateness = 0.0
        self._avoided = ""
        self._answered_early = False
        self._complete_through = float("-inf")

    @property
    def complete_through(self):
        """Time of the clock through which the last answer is complete."""
        return self._complete_through

    @property
    def lateness(self):
        """Usual time in seconds from the end of a wait to the answer."""
        return self._lateness

    @property
    def first(self):
        """Peer address of the control host that is called first."""
        return self._first

    @property
    def answered_early(self):
        """Whether the last answer came before half of its wait had passed."""
        return self._answered_early

    def avoid(self):
        """Call the control host that answered last only after all others."""
        self._avoided = self._first
        self._first = random.choice(self._others(self._first) or [self._first])

    async def ask(self, request, *, final_wait, patience=0.0):
        """Return the complete first answer, perhaps to an earlier request.

        Parameters
        ----------
        request : Watch
            Sent unchanged to the control host that answered last; the others get it
            with a wait of 0.
        final_wait : float
            Seconds to wait for the first part of an answer after all control hosts
            were called.
        patience : float
            Seconds for which answers are accepted after that, if there are more
            requests.

        Raises
        ------
        GuavastreamError
            If no control host answered successfully, or the rest of the answer could
            not be read.

        Notes
        -----
        Parts of an answer other than the first are hedged only when one was late: two
        copies of a long answer would saturate the slow link that delays it.
        """
        order = self._call_order()
        self._calls.begin_round()
        try:
            found = await self._find_first_answer(
                self._calls, request, order, final_wait=final_wait, patience=patience
            )
        except GuavastreamError:
            self._first = random.choice(order)
            raise
        parts = _HedgedParts(
            call=partial(self._control.begin, found.address),
            find_other=partial(self._find_other_answer, found.address, request),
        )
        try:
            return await self._finish(found, parts.read)
        except _AnsweredElsewhere as other:
            found = other.found
            return await self._finish(
                found, partial(self._control.begin, found.address)
            )

    async def _finish(self, found, read_part):
        """Return the complete answer to a call, reading its parts by `read_part`."""
        begun = self._record_answer(found)
        try:
            return await self._control.finish(
                begun, read_part, part_timeout=self._part_seconds()
            )
        except GuavastreamError:
            self._first = random.choice(self._others(found.address) or [found.address])
            raise

    async def _find_other_answer(self, address, request, probe):
        """Return a call that a control host other than `address` answered, or None.

        They are called only if one of them answers the `probe`, a short request for
        which it need not have an answer. If the link is slow for all of them, even the
        first parts of their answers would saturate it.
        """
        others = self._others(address)
        if not others:
            return None
        try:
            await self._control.begin(
                random.choice(others), probe, timeout=self._part_seconds()
            )
        except CallTimeout:
            return None
        except GuavastreamError:
            pass
        try:
            return await self._find_first_answer(
                _ConcurrentCalls(loop=self._loop),
                replace(request, wait=0.0),
                random.sample(others, len(others)),
                final_wait=self._part_seconds(),
            )
        except GuavastreamError:
            return None

    async def _find_first_answer(
        self, calls, request, order, *, final_wait, patience=0.0
    ):
        """Return the first call that was answered; make them in the given order."""
        pause = HEDGE_SECONDS if request.index else INITIAL_HEDGE_SECONDS
        slack = max(pause, self._slack_seconds())
        for address in order:
            found = calls.find_answered()
            if found:
                return found
            timeout = request.wait + slack + len(order) * pause + final_wait + patience
            call = self._control.begin(address, request, timeout=timeout)
            calls.add(call, address=address, wait=request.wait, sent_at=self._clock())
            until = self._loop.time() + request.wait + slack
            found = await calls.first_answer(
                until, stop_if_all_failed=bool(request.index)
            )
            if found:
                return found
            request, slack = replace(request, wait=0.0), pause
        if calls.is_waiting:
            # This host may be cut off from all of them.
            call = self._control.begin_indirectly(
                order[0], request, timeout=final_wait + patience
            )
            calls.add(call, address=order[0], wait=0.0, sent_at=self._clock())
        found = await calls.first_answer(
            self._loop.time() + final_wait, stop_if_all_failed=True
        )
        if found:
            return found
        raise calls.failure()

    def _part_seconds(self):
        seconds = PART_TRANSFER_SECONDS + PART_LATENESS_FACTOR * self._lateness
        return min(max(MIN_PART_SECONDS, seconds), MAX_PART_SECONDS)

    def _call_order(self):
        addresses = self._control.addresses
        first = self._first if self._first in addresses else addresses[0]
        others = self._others(first)
        # The order is random so that clients which lose the same control host spread
        # over all others.
        others = random.sample(others, len(others))
        return sorted([first, *others], key=self._avoided.__eq__)

    def _others(self, address):
        return [other for other in self._control.addresses if other != address]

    def _slack_seconds(self):
        usual = SLACK_FACTOR * self._lateness
        return min(max(MIN_SLACK_SECONDS, usual), MAX_SLACK_SECONDS)

    def _record_answer(self, found):
        """Record which host answered and how late; return its answer."""
        answer = found.task.result()
        self._calls = _ConcurrentCalls(loop=self._loop)
        # Counted from when the request was sent: the answer may have been under way
        # for long.
        self._complete_through = found.sent_at + answer.complete_after
        self._first = found.address
        late = self._loop.time() - found.started_at - found.wait
        self._answered_early = -late > found.wait / 2
        if late >= 0.0:
            self._lateness += LATENESS_WEIGHT * (late - self._lateness)
        return answer


class _AnsweredElsewhere(Exception):
    """Another control host answered while a part of an answer was late.

    `found` is the call that it answered.
    """

    def __init__(self, found):
        super().__init__(found)
        self.found = found


class _HedgedParts:
    """Calls a control host for parts of its answer, and the others once one is late.

    A slow link delays all of them. The control host whose part is late then answers
    first, as it is called before the others.

    Parameters
    ----------
    call : callable
        Coroutine function that takes a request and a timeout in seconds, and calls the
        control host.
    find_other : callable
        Coroutine function that takes a short request, and returns a call which another
        control host answered, or None if none does.
    """

    def __init__(self, *, call, find_other):
        self._call = call
        self._find_other = find_other
        self._is_late = False

    async def read(self, request, timeout):
        """Return a part.

        Raises
        ------
        CallTimeout
            If it did not come in time.
        _AnsweredElsewhere
            If another control host answered before it.
        """
        call = self._race if self._is_late else self._call
        try:
            part = await call(request, timeout)
        except CallTimeout:
            self._is_late = True
            raise
        self._is_late = False
        return part

    async def _race(self, request, timeout):
        part = asyncio.ensure_future(self._call(request, timeout))
        other = asyncio.ensure_future(self._find_other_after_pause(request))
        try:
            await asyncio.wait((part, other), return_when=asyncio.FIRST_COMPLETED)
            if not part.done() and other.result() is not None:
                raise _AnsweredElsewhere(other.result())
            return await part
        finally:
            part.cancel()
            other.cancel()

    async def _find_other_after_pause(self, request):
        await asyncio.sleep(HEDGE_SECONDS)
        return await self._find_other(replace(request, size=1))


@dataclass(frozen=True, kw_only=True, slots=True)
class _Call:
    """A call to a control host.

    It began at the loop's time `started_at`, the time `sent_at` of the watch's clock.
    """

    task: asyncio.Task
    address: str
    started_at: float
    sent_at: float
    wait: float


class _ConcurrentCalls:
    """Concurrent calls to several control hosts; any of their answers will do."""

    def __init__(self, *, loop):
        self._loop = loop
        self._call_ended = Signal(loop=loop)
        self._calls = []
        self._round = []

    def begin_round(self):
        """Begin a round of calls; those before it can still be answered."""
        self._calls = [
            call
            for call in self._calls
            if not (call.task.done() and call.task.exception())
        ]
        self._round = []

    @property
    def is_waiting(self):
        """Whether calls of the round have neither been answered nor failed."""
        return any(not call.task.done() for call in self._round)

    def add(self, call, *, address, wait, sent_at):
        """Start a call; its result is ignored if another call is chosen first."""
        task = self._loop.create_task(call)
        now = self._loop.time()
        call = _Call(
            task=task, address=address, started_at=now, sent_at=sent_at, wait=wait
        )
        self._calls.append(call)
        self._round.append(call)
        task.add_done_callback(self._on_done)

    def _on_done(self, task):
        # Reading the exception keeps asyncio from logging it as never retrieved.
        task.cancelled() or task.exception()
        self._call_ended.set()

    async def first_answer(self, until, *, stop_if_all_failed):
        """Return a call that succeeded, or None at the loop's time `until`.

        With `stop_if_all_failed`, return None as soon as all calls of the round have
        failed.
        """
        while True:
            call = self.find_answered()
            if call is not None:
                return call
            if stop_if_all_failed and not self.is_waiting:
                return None
            if self._loop.time() >= until:
                return None
            self._call_ended.clear()
            if not await self._call_ended.wait_until(until):
                # The callback of a call that ends in this loop iteration runs only in
                # the next one, so look for it once more.
                return self.find_answered()

    def find_answered(self):
        """Return a call that succeeded, or None."""
        for call in self._calls:
            if call.task.done() and not call.task.exception():
                return call
        return None

    def failure(self):
        """Return an error of the calls, preferably not a timeout.

        An unexpected error, which is not a `GuavastreamError`, is raised instead.
        """
        errors = [call.task.exception() for call in self._round if call.task.done()]
        errors.sort(key=lambda error: isinstance(error, CallTimeout))
        for error in errors:
            if not isinstance(error, GuavastreamError):
                raise error
        return errors[0] if errors else CallTimeout("No control host answered")
