"""Commands as bytes, and what a kind of replicated state must offer."""

import abc

import msgspec

from guavastream.messages import decode_message, encode_message, pack, unpack

__all__ = ["TableCodec", "decode_command", "encode_command"]


def encode_command(command):
    """Return a command as bytes for the log."""
    return pack(msgspec.msgpack.encode(encode_message(command)))


def decode_command(data):
    """Return the command that `encode_command` wrote."""
    tag, body = msgspec.msgpack.decode(unpack(data))
    return decode_message(tag, body)


class TableCodec(abc.ABC):
    """The kind of state that a control log keeps.

    A state has an `index` and `apply(index, command)`, which returns the next
    state and the command's result.
    """

    @abc.abstractmethod
    def empty(self):
        """Return the state before the first command."""

    @abc.abstractmethod
    def encode(self, table):
        """Return a whole state as bytes."""

    @abc.abstractmethod
    def decode(self, data):
        """Return the state that `encode` wrote."""
