"""Answers that are too large for one message are read part by part.

A message of any size, waited for as long as a small one, never arrives where a
link needs longer for it: it comes when nobody waits any more, and what is asked
anew queues behind it. A part passes the narrowest link in a fraction of the time
that it is waited for; what has come is kept; and other messages on the same
connection, heartbeats above all, pass in between.
"""

from dataclasses import dataclass

import xxhash

from guavastream.exception import BadMessage, CallTimeout, PeerFailure
from guavastream.messages.codec import decode_message, encode_message, message
from guavastream.messages.packing import pack, unpack

__all__ = ["Packed", "PartShelf", "PartRead", "ReadPart", "read_whole"]

# What comes with the first answer, when nothing is known of the link yet.
FIRST_BYTES = 8 << 10
# A link of 4 Mbit/s passes a part in 65 ms; with smaller ones a book of 50 KB
# would take more round trips.
PART_BYTES = 32 << 10
# A part that does not come in time is asked for anew, a quarter as long: a link
# that passes 20 KB a second still passes the shortest ones.
PART_SECONDS = 0.6
PART_TRIES = 4
SHRINK = 4
SHORTEST_BYTES = 2 << 10
# Bytes that wait to be read on, and how long they do after they were last
# asked for: all tries of a reader.
SHELF_BYTES = 8 << 20
SHELF_SECONDS = 3.0


@message
class Packed:
    """The beginning of a large answer, compressed.

    `name` stands for its content, `size` counts all its bytes, `tag` is that
    of the answer.
    """

    tag: bytes
    name: bytes
    size: int
    data: bytes


@message
class ReadPart:
    """Asks for up to `size` bytes from `offset` on of a `Packed` answer."""

    name: bytes
    offset: int
    size: int = PART_BYTES


@message
class PartRead:
    """A part of an answer."""

    data: bytes


@dataclass(kw_only=True)
class _Kept:
    body: bytes
    asked_at: float


class PartShelf:
    """Keeps large answers while those who asked read them.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> @message
    ... class Sample:
    ...     text: bytes
    >>> shelf = PartShelf(clock=lambda: 0.0)
    >>> short = Sample(text=b"a")
    >>> shelf.cut(short) is short
    True
    >>> type(shelf.cut(Sample(text=bytes(100_000)))).__name__
    'Packed'
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._kept = {}

    def cut(self, answer):
        """Return an answer as it is sent: itself, or its beginning."""
        tag, body = encode_message(answer)
        if len(body) <= FIRST_BYTES:
            return answer
        name = xxhash.xxh3_128_digest(body)
        kept = self._kept.pop(name, None)
        # Many ask for the same: it is compressed once.
        whole = kept.body if kept else pack(body)
        if len(whole) > FIRST_BYTES:
            self._keep(name, whole)
        return Packed(tag=tag, name=name, size=len(whole), data=whole[:FIRST_BYTES])

    def read(self, request):
        """Return the part that is asked for.

        Raises
        ------
        PeerFailure
            If the answer is not kept any more.
        """
        kept = self._kept.get(request.name)
        if kept is None:
            raise PeerFailure("The rest is not kept any more.", code="unknown_part")
        kept.asked_at = self._clock()
        end = request.offset + min(request.size, PART_BYTES)
        return PartRead(data=kept.body[request.offset : end])

    def _keep(self, name, whole):
        self._kept[name] = _Kept(body=whole, asked_at=self._clock())
        total = sum(len(kept.body) for kept in self._kept.values())
        limit = self._clock() - SHELF_SECONDS
        for other, kept in list(self._kept.items()):
            if other != name and (total > SHELF_BYTES or kept.asked_at < limit):
                total -= len(kept.body)
                del self._kept[other]


async def read_whole(packed, call):
    """Return the answer of which `packed` is the beginning.

    Parameters
    ----------
    packed : Packed
        As it came.
    call : callable
        Coroutine function from a request and a timeout in seconds to the
        answer of the peer that sent it.

    Raises
    ------
    CallTimeout
        If a part did not come, however often it was asked for.
    PeerFailure
        As the peer answered.
    BadMessage
        If what came is not the answer.
    """
    whole = bytearray(packed.data)
    size, tries = PART_BYTES, PART_TRIES
    while len(whole) < packed.size:
        request = ReadPart(name=packed.name, offset=len(whole), size=size)
        try:
            part = await call(request, PART_SECONDS)
        except CallTimeout:
            tries -= 1
            if not tries:
                raise
            size = max(size // SHRINK, SHORTEST_BYTES)
            continue
        if not part.data:
            raise BadMessage("a part is empty")
        tries = PART_TRIES
        whole += part.data
    try:
        body = unpack(bytes(whole))
    except ValueError as error:
        raise BadMessage(f"{packed.tag.decode()}: {error}") from error
    if xxhash.xxh3_128_digest(body) != packed.name:
        raise BadMessage(f"{packed.tag.decode()}: parts do not fit together")
    return decode_message(packed.tag, body)
