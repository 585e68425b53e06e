"""State machine of the replicated log: the table and the latest commands."""

from collections import deque

from guavastream.control.voter import StateMachine
from guavastream.exception import PeerFailure
from guavastream.kernel import part_logger
from guavastream.state import ShardTableCodec, decode_command

__all__ = ["TableStateMachine"]

MAX_KEPT_COMMANDS = 4000
# A watcher that lacks more commands than this receives a dump of the table, which
# costs less bandwidth and CPU time than applying the commands. A dump may itself be
# out of date by as many commands, which are then sent with it: when all hosts
# start, each join changes the table, and a new dump for each watcher would take
# work quadratic in the number of hosts.
MAX_COMMANDS_BEHIND = 200

log = part_logger("control")


class TableStateMachine(StateMachine):
    """Applies commands to a table and keeps the latest commands for watchers.

    Parameters
    ----------
    codec : TableCodec, optional
        Encodes and decodes the table, and creates an empty one.

    Examples
    --------
    >>> from guavastream.state import Noop, encode_command
    >>> machine = TableStateMachine()
    >>> machine.apply(1, encode_command(Noop()))
    >>> machine.table.index, machine.commands_since(0)[0][0]
    (1, 1)
    >>> machine.commands_since(5) == () and machine.commands_since(-1) is None
    True
    >>> machine.updates_since(0)[1]
    ()
    >>> machine.apply(2, encode_command(Noop()))
    >>> [index for index, _ in machine.updates_since(0)[1]], machine.updates_since(1)[0]
    ([2], b'')
    """

    def __init__(self, *, codec=None):
        self._codec = codec or ShardTableCodec()
        self._table = self._codec.empty()
        self._recent_commands = deque(maxlen=MAX_KEPT_COMMANDS)
        self._last_discarded_index = 0
        self._last_dump = (0, b"")

    @property
    def table(self):
        """The table after the last applied command."""
        return self._table

    def check(self, data):
        try:
            self._table.apply(self._table.index + 1, decode_command(data))
        except Exception as error:
            log.exception("Refused a command that cannot be applied.")
            raise PeerFailure(
                f"the command cannot be applied: {error!r}", code="bad_command"
            ) from (error)

    def apply(self, index, data):
        if len(self._recent_commands) == MAX_KEPT_COMMANDS:
            self._last_discarded_index = self._recent_commands[0][0]
        self._table, result = self._table.apply(index, decode_command(data))
        self._recent_commands.append((index, data))
        return result

    def dump(self):
        if self._last_dump[0] != self._table.index:
            self._last_dump = (self._table.index, self._codec.encode(self._table))
        return self._last_dump[1]

    def updates_since(self, index):
        """Return what a watcher needs whose table is at `index`.

        Returns
        -------
        table : bytes
            A dump of the table, possibly a few commands old; empty if the commands
            are enough.
        commands : tuple
            Pairs of index and command, those after the dump or after `index`.
        """
        commands = self.commands_since(index) if index else None
        if commands is not None and len(commands) <= MAX_COMMANDS_BEHIND:
            return b"", commands
        dump_index, dump_data = self._last_dump
        behind = self._table.index - dump_index
        if (
            not dump_data
            or dump_index < self._last_discarded_index
            or behind > MAX_COMMANDS_BEHIND
        ):
            return self.dump(), ()
        return dump_data, self.commands_since(dump_index)

    def load(self, index, data):
        self._table = self._codec.decode(data)
        self._recent_commands.clear()
        self._last_discarded_index = self._table.index

    def commands_since(self, index):
        """Return the commands after `index`, or None if some are no longer kept."""
        if index < self._last_discarded_index:
            return None
        newer = []
        for item in reversed(self._recent_commands):
            if item[0] <= index:
                break
            newer.append(item)
        return tuple(reversed(newer))
