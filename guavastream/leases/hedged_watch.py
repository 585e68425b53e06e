"""Asks control hosts for news of a table, another one before the first is late."""

import asyncio
import random
from dataclasses import dataclass

from guavastream.exception import CallTimeout, GuavastreamError
from guavastream.kernel import Signal, replace

__all__ = ["HedgedWatch"]

# The next control host is asked when an answer is this late, or by twice as much
# as answers are usually late here: on a link that stands full all of them are.
LEAST_SLACK_SECONDS = 0.1
MOST_SLACK_SECONDS = 0.4
SLACK_FACTOR = 2.0
# Weight of the newest answer in how late answers usually are.
LATENESS_WEIGHT = 0.2
# Pause between asking one control host and the next once the first is late. A
# host that has no book yet asks more slowly: the beginnings of many first books
# would fill a narrow link after a loss of all power.
STEP_SECONDS = 0.1
FIRST_STEP_SECONDS = 0.2


class HedgedWatch:
    """Has a watch answered by whichever control host can.

    A change is to be in force within seconds wherever the host that is asked first
    stands: cut off from its leader, frozen, or behind a full link. Waiting for one
    after the other until each has used up its time adds these times up.

    Parameters
    ----------
    control : ControlClient
        Reaches the control hosts.
    first : str
        Peer address of the control host that is asked first.

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
        self._early = False

    @property
    def first(self):
        """Peer address of the control host that is asked first."""
        return self._first

    @property
    def early(self):
        """Whether the last answer came before half of its wait was over."""
        return self._early

    def avoid(self):
        """Ask others before the one that answered last, whatever it answers."""
        self._avoided = self._first
        others = [a for a in self._control.addresses if a != self._first]
        self._first = random.choice(others or self._control.addresses)

    async def ask(self, request, *, patience):
        """Return the whole of the first answer that has begun.

        Parameters
        ----------
        request : Watch
            Asked as it is of the host that answered last; the others are asked
            not to wait.
        patience : float
            Seconds for which the beginnings of answers are waited for at the end.

        Raises
        ------
        GuavastreamError
            If no control host answered with what it knows, or the rest of the
            answer did not come.

        Notes
        -----
        Only beginnings are hedged: two copies of a long answer would fill the
        narrow link that makes it late.
        """
        address, begun = await self._find(request, patience)
        try:
            return await self._control.finish(address, begun)
        except GuavastreamError:
            self._first = random.choice(self._control.addresses)
            raise

    async def _find(self, request, patience):
        """Return the address that gave the first answer, and its beginning."""
        order = self._order()
        step = STEP_SECONDS if request.index else FIRST_STEP_SECONDS
        slack = max(step, self._slack())
        asked = _Asked(loop=self._loop)
        for address in order:
            timeout = request.wait + slack + len(order) * step + patience
            call = self._control.begin(address, request, timeout=timeout)
            asked.add(call, address=address, wait=request.wait)
            until = self._loop.time() + request.wait + slack
            found = await asked.answered(until, hasty=bool(request.index))
            if found:
                return self._note(found)
            request, slack = replace(request, wait=0.0), step
        found = await asked.answered(self._loop.time() + patience, hasty=True)
        if found:
            return self._note(found)
        self._first = random.choice(order)
        raise asked.failure()

    def _order(self):
        addresses = self._control.addresses
        first = self._first if self._first in addresses else addresses[0]
        others = [address for address in addresses if address != first]
        # Hosts that lose one control host together meet at all of the others.
        others = random.sample(others, len(others))
        return sorted([first, *others], key=self._avoided.__eq__)

    def _slack(self):
        usual = SLACK_FACTOR * self._lateness
        return min(max(LEAST_SLACK_SECONDS, usual), MOST_SLACK_SECONDS)

    def _note(self, found):
        """Note who answered, and when; return the address and the answer."""
        self._first = found.address
        late = self._loop.time() - found.at - found.wait
        self._early = -late > found.wait / 2
        if late >= 0.0:
            self._lateness += LATENESS_WEIGHT * (late - self._lateness)
        return found.address, found.task.result()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Call:
    """A call to a control host; `at` is the loop's time at which it began."""

    task: asyncio.Task
    address: str
    at: float
    wait: float


class _Asked:
    """Calls to several control hosts for the same news."""

    def __init__(self, *, loop):
        self._loop = loop
        self._heard = Signal(loop=loop)
        self._calls = []

    def add(self, call, *, address, wait):
        """Begin a call; what it brings after the others are left counts no more."""
        task = self._loop.create_task(call)
        now = self._loop.time()
        self._calls.append(_Call(task=task, address=address, at=now, wait=wait))
        task.add_done_callback(self._note)

    def _note(self, task):
        # Asked for, so that an error which nobody waits for is not reported.
        task.cancelled() or task.exception()
        self._heard.set()

    async def answered(self, until, *, hasty):
        """Return a call whose answer has begun, or None at the time `until`.

        For the `hasty` also None once all have said that they cannot answer.
        """
        while True:
            call = self._find_answered()
            if call is not None:
                return call
            if hasty and all(call.task.done() for call in self._calls):
                return None
            if self._loop.time() >= until:
                return None
            self._heard.clear()
            if not await self._heard.wait_until(until):
                # A call that ends in this turn of the loop tells so in the next.
                return self._find_answered()

    def _find_answered(self):
        for call in self._calls:
            if call.task.done() and not call.task.exception():
                return call
        return None

    def failure(self):
        """Return an error of the calls, rather one that says something."""
        errors = [call.task.exception() for call in self._calls if call.task.done()]
        errors.sort(key=lambda error: isinstance(error, CallTimeout))
        for error in errors:
            if not isinstance(error, GuavastreamError):
                raise error
        return errors[0] if errors else CallTimeout("No control host answered")
