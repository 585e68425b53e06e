"""Books and their commands as bytes, for the log and for watchers."""

import msgspec

from guavastream.fleet.book import Book
from guavastream.messages import pack, unpack
from guavastream.replica import TableCodec, decode_command, encode_command

__all__ = ["BookCodec"]

_decoder = msgspec.msgpack.Decoder(Book)


class BookCodec(TableCodec):
    """Lets the control log and its watchers keep a book.

    Examples
    --------
    >>> codec = BookCodec()
    >>> codec.decode(codec.encode(Book(index=3))).index
    3
    """

    def empty(self):
        return Book()

    def encode(self, table):
        return pack(msgspec.msgpack.encode(table))

    def decode(self, data):
        return _decoder.decode(unpack(data))


__all__ += ["decode_command", "encode_command"]
