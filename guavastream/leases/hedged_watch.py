"""Watches a replicated table at several control hosts with hedged requests."""

import asyncio
import random
from dataclasses import dataclass

from guavastream.exception import CallTimeout, GuavastreamError
from guavastream.kernel import Signal, replace

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


class HedgedWatch:
    """Sends each watch to further control hosts when the first one is late.

    A change must take effect within seconds even if the control host that is called
    first is cut off from its leader, paused, or behind a saturated link. Calling the
    hosts one after another would add up their timeouts.

    Parameters
    ----------
    control : ControlClient
        Calls the control hosts.
    first : str
        Peer address of the control host to call first.

    References
    ----------
    .. [1] J. Dean and L. A. Barroso, "The Tail at Scale", Communications of the
       ACM 56(2), 2013; hedged requests.
    """

    def __init__(self, *, control, first):
        self._control = control
        self._loop = asyncio.get_running_loop()
        self._first = first
        self._lateness = 0.0
        self._avoided = ""
        self._answered_early = False

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
        others = [a for a in self._control.addresses if a != self._first]
        self._first = random.choice(others or self._control.addresses)

    async def ask(self, request, *, final_wait):
        """Return the complete first answer.

        Parameters
        ----------
        request : Watch
            Sent unchanged to the control host that answered last; the others get it
            with a wait of 0.
        final_wait : float
            Seconds to wait for the first part of an answer after all control hosts
            were called.

        Raises
        ------
        GuavastreamError
            If no control host answered successfully, or the rest of the answer could
            not be read.

        Notes
        -----
        Only the first part of an answer is hedged: two copies of a long answer would
        saturate the slow link that delays it.
        """
        address, begun = await self._find_first_answer(request, final_wait)
        try:
            return await self._control.finish(address, begun)
        except GuavastreamError:
            self._first = random.choice(self._control.addresses)
            raise

    async def _find_first_answer(self, request, final_wait):
        """Return the address that answered first and the first part of its answer."""
        order = self._call_order()
        pause = HEDGE_SECONDS if request.index else INITIAL_HEDGE_SECONDS
        slack = max(pause, self._slack_seconds())
        calls = _ConcurrentCalls(loop=self._loop)
        for address in order:
            timeout = request.wait + slack + len(order) * pause + final_wait
            call = self._control.begin(address, request, timeout=timeout)
            calls.add(call, address=address, wait=request.wait)
            until = self._loop.time() + request.wait + slack
            found = await calls.first_answer(
                until, stop_if_all_failed=bool(request.index)
            )
            if found:
                return self._record_answer(found)
            request, slack = replace(request, wait=0.0), pause
        found = await calls.first_answer(
            self._loop.time() + final_wait, stop_if_all_failed=True
        )
        if found:
            return self._record_answer(found)
        self._first = random.choice(order)
        raise calls.failure()

    def _call_order(self):
        addresses = self._control.addresses
        first = self._first if self._first in addresses else addresses[0]
        others = [address for address in addresses if address != first]
        # The order is random so that clients which lose the same control host spread
        # over all others.
        others = random.sample(others, len(others))
        return sorted([first, *others], key=self._avoided.__eq__)

    def _slack_seconds(self):
        usual = SLACK_FACTOR * self._lateness
        return min(max(MIN_SLACK_SECONDS, usual), MAX_SLACK_SECONDS)

    def _record_answer(self, found):
        """Record which host answered and how late; return its address and answer."""
        self._first = found.address
        late = self._loop.time() - found.started_at - found.wait
        self._answered_early = -late > found.wait / 2
        if late >= 0.0:
            self._lateness += LATENESS_WEIGHT * (late - self._lateness)
        return found.address, found.task.result()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Call:
    """A call to a control host; it began at the loop's time `started_at`."""

    task: asyncio.Task
    address: str
    started_at: float
    wait: float


class _ConcurrentCalls:
    """Concurrent calls to several control hosts for the same answer."""

    def __init__(self, *, loop):
        self._loop = loop
        self._call_ended = Signal(loop=loop)
        self._calls = []

    def add(self, call, *, address, wait):
        """Start a call; its result is ignored if another call is chosen first."""
        task = self._loop.create_task(call)
        now = self._loop.time()
        self._calls.append(_Call(task=task, address=address, started_at=now, wait=wait))
        task.add_done_callback(self._on_done)

    def _on_done(self, task):
        # Reading the exception keeps asyncio from logging it as never retrieved.
        task.cancelled() or task.exception()
        self._call_ended.set()

    async def first_answer(self, until, *, stop_if_all_failed):
        """Return a call that succeeded, or None at the loop's time `until`.

        With `stop_if_all_failed`, return None as soon as all calls have failed.
        """
        while True:
            call = self._find_answered()
            if call is not None:
                return call
            if stop_if_all_failed and all(call.task.done() for call in self._calls):
                return None
            if self._loop.time() >= until:
                return None
            self._call_ended.clear()
            if not await self._call_ended.wait_until(until):
                # The callback of a call that ends in this loop iteration runs only in
                # the next one, so look for it once more.
                return self._find_answered()

    def _find_answered(self):
        for call in self._calls:
            if call.task.done() and not call.task.exception():
                return call
        return None

    def failure(self):
        """Return an error of the calls, preferably not a timeout.

        An unexpected error, which is not a `GuavastreamError`, is raised instead.
        """
        errors = [call.task.exception() for call in self._calls if call.task.done()]
        errors.sort(key=lambda error: isinstance(error, CallTimeout))
        for error in errors:
            if not isinstance(error, GuavastreamError):
                raise error
        return errors[0] if errors else CallTimeout("No control host answered")
