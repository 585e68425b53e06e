"""Encodes commands, and defines the codec that each kind of table provides."""

import abc

import msgspec

from guavastream.messages import decode_message, encode_message, pack, unpack

__all__ = ["TableCodec", "decode_command", "encode_command"]


def encode_command(command):
    """Return a command as bytes for the log."""
    return pack(msgspec.msgpack.encode(encode_message(command)))


def decode_command(data):
    """Return the command that `encode_command` encoded."""
    tag, body = msgspec.msgpack.decode(unpack(data))
    return decode_message(tag, body)


class TableCodec(abc.ABC):
    """Creates, encodes and decodes one kind of table, the state of a control log.

    A table has an `index` and a method `apply(index, command)`, which returns the next
    table and the result of the command.
    """

    @abc.abstractmethod
    def empty(self):
        """Return the table before the first command."""

    @abc.abstractmethod
    def encode(self, table):
        """Return a whole table as bytes."""

    @abc.abstractmethod
    def decode(self, data):
        """Return the table that `encode` encoded."""
