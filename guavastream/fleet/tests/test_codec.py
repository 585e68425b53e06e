"""Books and commands that were written before are still read."""

import msgspec

from guavastream.fleet import (
    Book,
    BookCodec,
    LeaveInstance,
    decode_command,
    encode_command,
)
from guavastream.fleet.tests.test_book import join
from guavastream.messages import encode_message


def without(raw, *names):
    return {name: value for name, value in raw.items() if name not in names}


def test_a_command_and_a_book_that_are_not_compressed_are_read():
    command = LeaveInstance(id="a" * 5000)
    plain = msgspec.msgpack.encode(encode_message(command))
    assert decode_command(plain) == decode_command(encode_command(command)) == command
    assert len(encode_command(command)) < len(plain)
    book, _ = Book().apply(1, join("a"))
    assert BookCodec().decode(msgspec.msgpack.encode(book)) == book


def test_an_instance_without_name_and_start_is_read():
    # Written by a version that knew servers by their ids alone: after an
    # upgrade the data folder must still tell who owns which keys.
    book, _ = Book().apply(1, join("a"))
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(book), strict=False)
    raw["instances"] = {
        id: without(item, "name", "born") for id, item in raw["instances"].items()
    }
    read = BookCodec().decode(msgspec.msgpack.encode(raw))
    assert read.instances["a"].called == "a" and read.instances["a"].born == 0
