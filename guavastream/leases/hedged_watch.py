"""Asks control hosts for news of a table, another one before the first is late."""

import asyncio
import random

from guavastream.exception import CallTimeout, GuavastreamError
from guavastream.kernel import Signal, TimeLimit, replace

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
        self._asked = set()

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
        heard = Signal(loop=self._loop)
        round_ = {}
        for address in order:
            timeout = request.wait + slack + len(order) * step + patience
            self._ask(round_, heard, address, request, timeout)
            until = self._loop.time() + request.wait + slack
            found = await self._wait(round_, heard, until, hasty=request.index)
            if found:
                return found
            request, slack = replace(request, wait=0.0), step
        until = self._loop.time() + patience
        found = await self._wait(round_, heard, until, hasty=True)
        if found:
            return found
        self._first = random.choice(order)
        raise self._failure(round_)

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

    def _ask(self, round_, heard, address, request, timeout):
        """Begin a call; what comes after the round is over counts no more."""
        call = self._control.begin(address, request, timeout=timeout)
        task = self._loop.create_task(call)
        round_[task] = (address, self._loop.time(), request.wait)
        self._asked.add(task)

        def note(task):
            self._asked.discard(task)
            # An error that nobody waits for any more is no news either.
            task.cancelled() or task.exception()
            heard.set()

        task.add_done_callback(note)

    async def _wait(self, round_, heard, until, *, hasty):
        """Return an answer that has begun, or None when another host is to be asked.

        That is at the time `until`; or, for the `hasty`, once all that were asked
        have said that they know nothing new for sure.
        """
        while True:
            for task, (address, asked_at, wait) in round_.items():
                if task.done() and not task.exception():
                    self._first = address
                    late = self._loop.time() - asked_at - wait
                    self._early = -late > wait / 2
                    self._note_lateness(late)
                    return address, task.result()
            if hasty and all(task.done() for task in round_):
                return None
            if self._loop.time() >= until:
                return None
            heard.clear()
            try:
                with TimeLimit(loop=self._loop, when=until):
                    await heard.wait()
            except TimeoutError:
                return None

    def _note_lateness(self, late):
        if late >= 0.0:
            self._lateness += LATENESS_WEIGHT * (late - self._lateness)

    @staticmethod
    def _failure(round_):
        """Return the error of a control host, rather one that says something."""
        errors = [task.exception() for task in round_ if task.done()]
        errors.sort(key=lambda error: isinstance(error, CallTimeout))
        for error in errors:
            if not isinstance(error, GuavastreamError):
                raise error
        return errors[0] if errors else CallTimeout("No control host answered")
