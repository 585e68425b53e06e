"""Watches of the replicated table, answered by any control host."""

import math

from guavastream.kernel import replace
from guavastream.leases.messages import Watch, WatchAnswer
from guavastream.messages import LargeAnswerCache, ReadPart

__all__ = ["WATCH_MESSAGES", "WatchService"]

WATCH_MESSAGES = (Watch, ReadPart)
# A watch with less time left than this is answered at once.
MIN_WAIT_SECONDS = 0.001


class WatchService:
    """Answers watches of the table and reads of the further parts of long answers.

    Parameters
    ----------
    raft : Raft
        This voter; signals when an entry was applied.
    machine : TableStateMachine
        The state machine that holds the table.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, *, raft, machine, clock):
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._parts = LargeAnswerCache(clock=clock)

    async def answer(
        self, request, *, hosts=lambda: (), staleness_delay=lambda: math.inf
    ):
        """Answer one of the WATCH_MESSAGES.

        Parameters
        ----------
        request : Watch or ReadPart
            The request.
        hosts : callable
            Returns the peer addresses to send with the answer. Called before each
            wait and before answering; an error that it raises ends the watch.
        staleness_delay : callable
            Returns the seconds after which `hosts` will raise unless the state is
            refreshed.
        """
        if isinstance(request, ReadPart):
            return self._parts.read(request)
        arrived = self._clock()
        known = await self._wait(request, hosts, staleness_delay)
        table, commands = self._machine.updates_since(request.index)
        first = self.split_answer(
            WatchAnswer(table=table, commands=commands, hosts=known)
        )
        complete_after = self._clock() - arrived - self._raft.state_age
        return replace(first, complete_after=complete_after)

    async def _wait(self, request, hosts, staleness_delay):
        """Wait for a change of the table, at most as long as requested.

        Returns the addresses from `hosts`. If this control host loses its leader
        the wait ends with an error as soon as `hosts` raises one, so that the
        watcher turns to a host that may have a change that must soon be in force.
        """
        end = self._clock() + request.wait
        while True:
            known = hosts()
            # Not every applied entry changes the table; the first entry of a new
            # leader is empty.
            applied = self._raft.applied
            index = self._machine.table.index
            remaining = end - self._clock()
            if index > request.index or remaining < MIN_WAIT_SECONDS:
                return known
            await self._raft.wait_applied(applied, min(remaining, staleness_delay()))

    def split_answer(self, answer):
        """Return an answer as sent: a large one is compressed and read in parts."""
        return self._parts.split(answer)
