"""The current table of a process, read by all its threads."""

import asyncio
import threading

import msgspec

from guavastream.exception import BadMessage
from guavastream.kernel import Signal
from guavastream.replica.codec import decode_command
from guavastream.replica.confirmation import Confirmation

__all__ = ["TableHolder"]

# Raised by decoding or applying bytes that this version does not understand.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, LookupError)


class TableHolder:
    """Holds one immutable table and swaps it by reference.

    Only the event loop replaces the table; any thread may read it or wait for changes.

    Parameters
    ----------
    codec : TableCodec
        Codec of the table.
    confirmation : Confirmation, optional
        Through which time the table is known to be complete; by default the table may
        always be used.
    """

    def __init__(self, *, codec, confirmation=None):
        self._codec = codec
        self._confirmation = confirmation or Confirmation()
        self._table = self._codec.empty()
        self._changed = threading.Condition()
        self._change_waiters = []
        self._request_waiters = []

    @property
    def table(self):
        """The current table."""
        return self._table

    @property
    def confirmation(self):
        """The `Confirmation` of the table."""
        return self._confirmation

    def replace(self, table):
        """Replace the table by a newer one; others are ignored."""
        # A process must never go back to an older table. A delayed answer may carry an
        # older one than an answer that came on a faster connection.
        if table.index <= self._table.index:
            return
        with self._changed:
            self._table = table
            self._changed.notify_all()
        waiters, self._change_waiters = self._change_waiters, []
        for event in waiters:
            event.set()

    def apply_update(self, data, commands):
        """Apply an update in one step, so that readers see no intermediate table.

        Parameters
        ----------
        data : bytes
            A whole encoded table, or empty if the commands suffice.
        commands : iterable of tuple
            Pairs of index and encoded command; those already applied are skipped.

        Raises
        ------
        BadMessage
            If the update cannot be decoded or applied, for instance because it comes
            from a later version; the table then stays unchanged.
        """
        try:
            table = self._codec.decode(data) if data else self._table
            if table.index < self._table.index:
                table = self._table
            for index, data in commands:
                if index > table.index:
                    table, _ = table.apply(index, decode_command(data))
        except DECODE_ERRORS as error:
            raise BadMessage(f"table update cannot be decoded: {error}") from error
        self.replace(table)

    async def wait(self, index, timeout):
        """Wait in the event loop for a table at `index`; return whether it arrived."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self._table.index < index:
            event = Signal(loop=loop)
            self._change_waiters.append(event)
            self.request_update()
            try:
                if not await event.wait_until(deadline):
                    return False
            finally:
                # `wait_until_requested` must not count a waiter that has given up.
                if event in self._change_waiters:
                    self._change_waiters.remove(event)
        return True

    def request_update(self):
        """Ask the task that follows the table to fetch changes without a pause."""
        waiters, self._request_waiters = self._request_waiters, []
        for event in waiters:
            event.set()

    async def wait_until_requested(self, timeout):
        """Wait up to `timeout` seconds until an update is requested.

        Return at once if a task already waits for a newer table.
        """
        if self._change_waiters:
            return
        loop = asyncio.get_running_loop()
        event = Signal(loop=loop)
        self._request_waiters.append(event)
        await event.wait_until(loop.time() + timeout)

    def wait_in_thread(self, index, timeout):
        """Wait in a worker thread for a table after `index`; return whether it came."""
        with self._changed:
            return self._changed.wait_for(lambda: self._table.index > index, timeout)
