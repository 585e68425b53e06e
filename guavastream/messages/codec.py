"""Registry and msgpack encoding of the typed messages between processes."""

import functools

import msgspec

from guavastream.exception import BadMessage
from guavastream.kernel import record

__all__ = ["decode_message", "encode_message", "message"]

MAX_MESSAGE_BYTES = 64 << 20

_types = {}
_tags = {}
_decoders = {}
_encoder = msgspec.msgpack.Encoder()


def message(cls=None, *, tag=None, encoded_names=None):
    r"""Turn a class into a frozen record and register it as a message.

    Parameters
    ----------
    cls : type, optional
        The class. A decorator is returned if it is omitted.
    tag : str, optional
        Name of the message on the wire; by default that of the class.
    encoded_names : dict, optional
        Names of fields on the wire by attribute name, where the two differ.

    Examples
    --------
    >>> @message
    ... class Ping:
    ...     count: int
    >>> decode_message(*encode_message(Ping(count=2)))
    Ping(count=2)

    >>> @message(tag="Pong", encoded_names={"received": "count"})
    ... class PingAnswer:
    ...     received: int
    >>> encode_message(PingAnswer(received=2))
    (b'Pong', b'\x81\xa5count\x02')
    >>> decode_message(b"Pong", b"\x81\xa5count\x02")
    PingAnswer(received=2)
    """
    if cls is None:
        return functools.partial(message, tag=tag, encoded_names=encoded_names)
    tag = (tag or cls.__name__).encode()
    cls = record(cls, encoded_names=encoded_names)
    _types[tag] = cls
    _tags[cls] = tag
    return cls


def encode_message(item):
    """Return the tag and the encoded body of a message, both as bytes."""
    return _tags[type(item)], _encoder.encode(item)


def decode_message(tag, body):
    """Decode a message from its tag and body.

    Raises
    ------
    BadMessage
        If the tag is unknown or the body is not a valid message of its type.

    Examples
    --------
    >>> decode_message(b"Nonsense", b"")
    Traceback (most recent call last):
    guavastream.exception.BadMessage: unknown message tag b'Nonsense'
    """
    decoder = _decoders.get(tag)
    if decoder is None:
        cls = _types.get(bytes(tag))
        if cls is None:
            raise BadMessage(f"unknown message tag {bytes(tag[:40])!r}")
        decoder = _decoders[bytes(tag)] = msgspec.msgpack.Decoder(cls)
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadMessage(f"{bytes(tag).decode()}: {error}") from error
