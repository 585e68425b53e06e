"""What a control host tells those that follow its table."""

import math

from guavastream.leases.messages import Watch, Watched
from guavastream.messages import PartShelf, ReadPart

__all__ = ["WATCH_MESSAGES", "WatchDesk"]

WATCH_MESSAGES = (Watch, ReadPart)
# A watch does not go on for less than this, seconds.
SHORTEST_WAIT = 0.001


class WatchDesk:
    """Answers watches of the table, and reads of what follows a long answer.

    Parameters
    ----------
    raft : Raft
        This voter; says when something was applied.
    machine : TableMachine
        Its table.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, *, raft, machine, clock):
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._shelf = PartShelf(clock=clock)

    async def answer(self, request, *, hosts=lambda: (), fresh_for=lambda: math.inf):
        """Answer one of the WATCH_MESSAGES.

        Parameters
        ----------
        request : Watch or ReadPart
            What was asked.
        hosts : callable
            Called before and after waiting: the peer addresses that go with the
            answer. What it raises is the answer.
        fresh_for : callable
            Seconds after which `hosts` will raise, unless something is heard.
        """
        if isinstance(request, ReadPart):
            return self._shelf.read(request)
        known = await self._wait(request, hosts, fresh_for)
        table, commands = self._machine.news(request.index)
        return self.cut(Watched(table=table, commands=commands, hosts=known))

    async def _wait(self, request, hosts, fresh_for):
        """Wait for news as long as is asked, and return the hosts to tell of.

        Whoever waits at a control host that has lost its leader is told so at
        once: news may wait for it elsewhere, and the time in which a change is
        to be in force runs.
        """
        end = self._clock() + request.wait
        while True:
            known = hosts()
            # Not all that is applied changes the table: a new leader says only
            # that it leads.
            applied = self._raft.applied
            index = self._machine.table.index
            left = end - self._clock()
            if index > request.index or left < SHORTEST_WAIT:
                return known
            await self._raft.wait_applied(applied, min(left, fresh_for()))

    def cut(self, answer):
        """Return an answer of any length as it is sent."""
        return self._shelf.cut(answer)
