"""Encoding of fleet states and commands, for the log and for watchers."""

import msgspec

from guavastream.fleet.book import FleetState
from guavastream.messages import pack, unpack
from guavastream.replica import TableCodec, decode_command, encode_command

__all__ = ["FleetStateCodec"]

_decoder = msgspec.msgpack.Decoder(FleetState)


class FleetStateCodec(TableCodec):
    """Encodes and decodes fleet states for the control log and its watchers.

    Examples
    --------
    >>> codec = FleetStateCodec()
    >>> codec.decode(codec.encode(FleetState(index=3))).index
    3
    """

    def empty(self):
        return FleetState()

    def encode(self, table):
        return pack(msgspec.msgpack.encode(table))

    def decode(self, data):
        return _decoder.decode(unpack(data))


__all__ += ["decode_command", "encode_command"]
