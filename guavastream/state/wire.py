"""Encoding of tables and commands for the log and for watching processes."""

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


@record(encoded_names={"handover_digests": "handed"})
class _EncodedTable:
    """A table in its encoded form, with arrays as bytes in native byte order."""

    index: int
    revision: int
    declaration: Declaration
    preset: str
    drained: tuple[str, ...]
    members: tuple[Member, ...]
    shards: dict[str, tuple[bytes, bytes]]
    moves: dict[str, dict[int, int]]
    pins: dict[str, dict[str, Pin]]
    handover_digests: dict[str, dict[int, tuple[int, ...]]]
    answers: dict[str, tuple[int, ChangeAnswer]]
    history: tuple[Change, ...]


_table_decoder = msgspec.msgpack.Decoder(_EncodedTable)


def encode_table(table):
    """Return a table as bytes."""
    shards = {
        name: (shard_map.owners.tobytes(), shard_map.epochs.tobytes())
        for name, shard_map in table.shards.items()
    }
    return msgspec.msgpack.encode(
        _EncodedTable(
            index=table.index,
            revision=table.revision,
            declaration=table.declaration,
            preset=table.preset,
            drained=table.drained,
            members=tuple(table.members.values()),
            shards=shards,
            moves=table.moves,
            pins=table.pins,
            handover_digests=table.handover_digests,
            answers=table.answers,
            history=table.history,
        )
    )


def decode_table(data):
    """Return the table that `encode_table` encoded.

    Examples
    --------
    >>> decode_table(encode_table(Table(index=3))).index
    3
    """
    encoded = _table_decoder.decode(data)
    shards = {
        name: ShardMap(owners=array("I", owners), epochs=array("Q", epochs))
        for name, (owners, epochs) in encoded.shards.items()
    }
    return Table(
        index=encoded.index,
        revision=encoded.revision,
        declaration=encoded.declaration,
        preset=encoded.preset,
        drained=encoded.drained,
        members={member.id: member for member in encoded.members},
        shards=shards,
        moves=encoded.moves,
        pins=encoded.pins,
        handover_digests=encoded.handover_digests,
        answers=encoded.answers,
        history=encoded.history,
    )


class ShardTableCodec(TableCodec):
    """Codec of the replicated table of members and hashed shards."""

    def empty(self):
        return Table()

    def encode(self, table):
        return pack(encode_table(table))

    def decode(self, data):
        return decode_table(unpack(data))


class ShardTableHolder(TableHolder):
    """Holds the newest replicated table of members and hashed shards.

    Examples
    --------
    >>> ShardTableHolder().table.index
    0
    """

    def __init__(self):
        super().__init__(codec=ShardTableCodec())
