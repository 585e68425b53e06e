"""Typed messages between processes and their encoding."""

import msgspec

from guavastream.exception import BadMessage
from guavastream.kernel import record

__all__ = ["decode_message", "encode_message", "message"]

MAX_MESSAGE_BYTES = 64 << 20

_types = {}
_decoders = {}
_encoder = msgspec.msgpack.Encoder()


def message(cls):
    """Register a class as a message; it becomes a frozen record.

    Examples
    --------
    >>> @message
    ... class Ping:
    ...     count: int
    >>> decode_message(*encode_message(Ping(count=2)))
    Ping(count=2)
    """
    cls = record(cls)
    _types[cls.__name__.encode()] = cls
    return cls


def encode_message(item):
    """Return the tag and the body of a message, both bytes."""
    return type(item).__name__.encode(), _encoder.encode(item)


def decode_message(tag, body):
    """Return the message of a tag and a body.

    Raises
    ------
    BadMessage
        If the tag is unknown or the body does not fit it.

    Examples
    --------
    >>> decode_message(b"Nonsense", b"")
    Traceback (most recent call last):
    guavastream.exception.BadMessage: unknown message b'Nonsense'
    """
    decoder = _decoders.get(tag)
    if decoder is None:
        cls = _types.get(bytes(tag))
        if cls is None:
            raise BadMessage(f"unknown message {bytes(tag[:40])!r}")
        decoder = _decoders[bytes(tag)] = msgspec.msgpack.Decoder(cls)
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadMessage(f"{bytes(tag).decode()}: {error}") from error
