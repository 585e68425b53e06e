"""What a control host tells those that follow its table."""

from guavastream.leases.messages import Watch, Watched
from guavastream.messages import PartShelf, ReadPart

__all__ = ["WATCH_MESSAGES", "WatchDesk"]

WATCH_MESSAGES = (Watch, ReadPart)


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
        self._shelf = PartShelf(clock=clock)

    async def answer(self, request, *, hosts=lambda: ()):
        """Answer one of the WATCH_MESSAGES.

        Parameters
        ----------
        request : Watch or ReadPart
            What was asked.
        hosts : callable
            Called once there is news: the peer addresses that go with it. What
            it raises is the answer.
        """
        if isinstance(request, ReadPart):
            return self._shelf.read(request)
        machine = self._machine
        if machine.table.index <= request.index:
            await self._raft.wait_applied(machine.table.index, request.wait)
        known = hosts()
        table, commands = machine.news(request.index)
        return self.cut(Watched(table=table, commands=commands, hosts=known))

    def cut(self, answer):
        """Return an answer of any length as it is sent."""
        return self._shelf.cut(answer)
