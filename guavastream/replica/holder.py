"""The newest table of a process, read by all its threads."""

import asyncio
import threading

import msgspec

from guavastream.exception import BadMessage
from guavastream.kernel import Signal
from guavastream.replica.codec import decode_command

__all__ = ["TableHolder"]

# What bytes raise that are no table or command of this version.
UNREADABLE = (msgspec.MsgspecError, ValueError, TypeError, LookupError)


class TableHolder:
    """Holds one immutable table and swaps it by reference.

    Only the event loop replaces the table; any thread may read it or wait.

    Parameters
    ----------
    codec : TableCodec
        The kind of table.

    Attributes
    ----------
    confirmed_at : float
        The loop's time at which a control host that hears a leader last said what
        it knows. What is held may be as much older than the newest.
    """

    def __init__(self, *, codec):
        self._codec = codec
        self._table = self._codec.empty()
        self._changed = threading.Condition()
        self._events = []
        self._wanted = []
        self.confirmed_at = float("-inf")

    @property
    def table(self):
        """The newest table."""
        return self._table

    def age_ms(self, now):
        """Return for how long the table is not confirmed, whole ms, or None."""
        age = now - self.confirmed_at
        return round(age * 1000) if age < float("inf") else None

    def replace(self, table):
        """Take a table unless it is older than the one held."""
        # A process must never go back: an answer that was delayed may carry
        # an older table than one that came on a faster connection.
        if table.index <= self._table.index:
            return
        with self._changed:
            self._table = table
            self._changed.notify_all()
        events, self._events = self._events, []
        for event in events:
            event.set()

    def take(self, data, commands):
        """Take news in one step: no reader sees what is in between.

        Parameters
        ----------
        data : bytes
            A whole encoded table, or none if the commands are enough.
        commands : iterable of tuple
            Pairs of index and encoded command; known ones are skipped.

        Raises
        ------
        BadMessage
            If they cannot be read or applied, as those of a later version; then
            nothing is taken.
        """
        try:
            table = self._codec.decode(data) if data else self._table
            if table.index < self._table.index:
                table = self._table
            for index, data in commands:
                if index > table.index:
                    table, _ = table.apply(index, decode_command(data))
        except UNREADABLE as error:
            raise BadMessage(f"news that cannot be read: {error}") from error
        self.replace(table)

    async def wait(self, index, timeout):
        """Wait in the event loop for a table at `index`; return whether it came."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self._table.index < index:
            event = Signal(loop=loop)
            self._events.append(event)
            self.want()
            try:
                if not await event.wait_until(deadline):
                    return False
            finally:
                # Whoever has stopped waiting must not pass for one that waits.
                if event in self._events:
                    self._events.remove(event)
        return True

    def want(self):
        """Ask whoever follows the table for news without a pause."""
        wanted, self._wanted = self._wanted, []
        for event in wanted:
            event.set()

    async def wait_wanted(self, timeout):
        """Wait until somebody waits for news, or `timeout` seconds."""
        if self._events:
            return
        loop = asyncio.get_running_loop()
        event = Signal(loop=loop)
        self._wanted.append(event)
        await event.wait_until(loop.time() + timeout)

    def wait_in_thread(self, index, timeout):
        """Wait in a worker thread for a table after `index`."""
        with self._changed:
            return self._changed.wait_for(lambda: self._table.index > index, timeout)
