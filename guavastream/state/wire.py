"""Tables and commands as bytes, for the log and for watchers."""

from array import array

import msgspec

from guavastream.declare import Declaration
from guavastream.kernel import record
from guavastream.messages import pack, unpack
from guavastream.replica import TableCodec, TableHolder, decode_command, encode_command
from guavastream.state.commands import ChangeAnswer
from guavastream.state.table import Change, Member, Pin, ShardMap, Table

__all__ = [
    "ShardTableCodec",
    "ShardTableHolder",
    "decode_command",
    "decode_table",
    "encode_command",
    "encode_table",
]


@record
class _Wire:
    """A table as it is encoded: arrays as bytes, in the host's byte order."""

    index: int
    revision: int
    declaration: Declaration
    preset: str
    drained: tuple[str, ...]
    members: tuple[Member, ...]
    shards: dict[str, tuple[bytes, bytes]]
    moves: dict[str, dict[int, int]]
    pins: dict[str, dict[str, Pin]]
    handed: dict[str, dict[int, tuple[int, ...]]]
    answers: dict[str, tuple[int, ChangeAnswer]]
    history: tuple[Change, ...]


_table_decoder = msgspec.msgpack.Decoder(_Wire)


def encode_table(table):
    """Return a whole table as bytes."""
    shards = {
        name: (item.owners.tobytes(), item.epochs.tobytes())
        for name, item in table.shards.items()
    }
    return msgspec.msgpack.encode(
        _Wire(
            index=table.index,
            revision=table.revision,
            declaration=table.declaration,
            preset=table.preset,
            drained=table.drained,
            members=tuple(table.members.values()),
            shards=shards,
            moves=table.moves,
            pins=table.pins,
            handed=table.handed,
            answers=table.answers,
            history=table.history,
        )
    )


def decode_table(data):
    """Return the table that `encode_table` wrote.

    Examples
    --------
    >>> decode_table(encode_table(Table(index=3))).index
    3
    """
    wire = _table_decoder.decode(data)
    shards = {
        name: ShardMap(owners=array("I", owners), epochs=array("Q", epochs))
        for name, (owners, epochs) in wire.shards.items()
    }
    return Table(
        index=wire.index,
        revision=wire.revision,
        declaration=wire.declaration,
        preset=wire.preset,
        drained=wire.drained,
        members={member.id: member for member in wire.members},
        shards=shards,
        moves=wire.moves,
        pins=wire.pins,
        handed=wire.handed,
        answers=wire.answers,
        history=wire.history,
    )


class ShardTableCodec(TableCodec):
    """Keeps the table of members and hashed shards."""

    def empty(self):
        return Table()

    def encode(self, table):
        return pack(encode_table(table))

    def decode(self, data):
        return decode_table(unpack(data))


class ShardTableHolder(TableHolder):
    """Holds the table of members and hashed shards.

    Examples
    --------
    >>> ShardTableHolder().table.index
    0
    """

    def __init__(self):
        super().__init__(codec=ShardTableCodec())
