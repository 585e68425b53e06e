"""The state machine under the log: the table, and its latest changes."""

from collections import deque

from guavastream.control.voter import StateMachine
from guavastream.exception import PeerFailure
from guavastream.kernel import part_logger
from guavastream.state import ShardTableCodec, decode_command

__all__ = ["TableMachine"]

KEPT_COMMANDS = 4000
# Who lacks more commands than this gets a dump, which takes less of a link and
# of a processor than to make the table anew. A dump may be behind by as many,
# which go with it: at a start of all hosts the table changes with each that
# joins, and a dump made for each would cost the square of their number.
BEHIND_COMMANDS = 200

log = part_logger("control")


class TableMachine(StateMachine):
    """Applies commands to a table and keeps the latest for watchers.

    Parameters
    ----------
    codec : TableCodec, optional
        The kind of table.

    Examples
    --------
    >>> from guavastream.state import Noop, encode_command
    >>> machine = TableMachine()
    >>> machine.apply(1, encode_command(Noop()))
    >>> machine.table.index, machine.since(0)[0][0]
    (1, 1)
    >>> machine.since(5) == () and machine.since(-1) is None
    True
    >>> machine.news(0)[1]
    ()
    >>> machine.apply(2, encode_command(Noop()))
    >>> [index for index, _ in machine.news(0)[1]], machine.news(1)[0]
    ([2], b'')
    """

    def __init__(self, *, codec=None):
        self._codec = codec or ShardTableCodec()
        self._table = self._codec.empty()
        self._recent = deque(maxlen=KEPT_COMMANDS)
        self._floor = 0
        self._dumped = (0, b"")

    @property
    def table(self):
        """The table after the last command."""
        return self._table

    def check(self, data):
        try:
            self._table.apply(self._table.index + 1, decode_command(data))
        except Exception as error:
            log.exception("A command that cannot be applied is refused.")
            raise PeerFailure(
                f"cannot be applied: {error!r}", code="bad_command"
            ) from (error)

    def apply(self, index, data):
        if len(self._recent) == KEPT_COMMANDS:
            self._floor = self._recent[0][0]
        self._table, result = self._table.apply(index, decode_command(data))
        self._recent.append((index, data))
        return result

    def dump(self):
        if self._dumped[0] != self._table.index:
            self._dumped = (self._table.index, self._codec.encode(self._table))
        return self._dumped[1]

    def news(self, index):
        """Return what a watcher at `index` lacks.

        Returns
        -------
        table : bytes
            A dump of now or of some moments ago; none if commands are enough.
        commands : tuple
            Pairs of index and command after that.
        """
        commands = self.since(index) if index else None
        if commands is not None and len(commands) <= BEHIND_COMMANDS:
            return b"", commands
        at, dumped = self._dumped
        behind = self._table.index - at
        if not dumped or at < self._floor or behind > BEHIND_COMMANDS:
            return self.dump(), ()
        return dumped, self.since(at)

    def load(self, index, data):
        self._table = self._codec.decode(data)
        self._recent.clear()
        self._floor = self._table.index

    def since(self, index):
        """Return the commands after `index`, or None if some are not kept."""
        if index < self._floor:
            return None
        wanted = []
        for item in reversed(self._recent):
            if item[0] <= index:
                break
            wanted.append(item)
        return tuple(reversed(wanted))
