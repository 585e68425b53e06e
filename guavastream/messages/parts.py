"""Large answers are compressed and transferred in several parts.

If a link needs longer for a large message than the call's timeout, the answer always
arrives too late, and the retried answer queues behind it. A part takes only a
fraction of its timeout on the slowest link. Parts that have arrived are kept when a
later one is lost, and other messages on the same connection, such as heartbeats, are
sent between the parts.
"""

from dataclasses import dataclass

import xxhash

from guavastream.exception import BadMessage, CallTimeout, PeerFailure
from guavastream.messages.codec import decode_message, encode_message, message
from guavastream.messages.packing import pack, unpack

__all__ = ["AnswerPart", "LargeAnswerCache", "PART_TIMEOUT_SECONDS", "PackedAnswer"]
__all__ += ["ReadPart", "read_whole"]

# Size of the first part, which is sent before the speed of the link is known.
FIRST_PART_BYTES = 8 << 10
# A link of 4 Mbit/s transfers a part in 65 ms. Smaller parts would need more round
# trips for a fleet state of 50 KB.
PART_BYTES = 32 << 10
# After a timeout a part of a quarter of the size is requested. A link with 20 KB/s
# still transfers the smallest parts in time.
PART_TIMEOUT_SECONDS = 0.6
ATTEMPTS_PER_PART = 3
PART_SHRINK_FACTOR = 4
MIN_PART_BYTES = 2 << 10
# Limits of the cache: its total size, and the time that an answer is cached after its
# last read, which is long enough for all attempts of a reader at one part.
MAX_CACHED_BYTES = 8 << 20
CACHE_SECONDS = 3.0


@message(tag="Packed", encoded_names={"digest": "name"})
class PackedAnswer:
    """The first part of a large answer, compressed if that makes it smaller.

    `tag` is that of the answer, `digest` the hash of its uncompressed body, and
    `size` the size of the whole answer as sent, in bytes. `complete_after` is that of a
    `WatchAnswer`; kept apart from the body, so that many callers read the same one.
    """

    tag: bytes
    digest: bytes
    size: int
    data: bytes
    complete_after: float = 0.0


@message(encoded_names={"digest": "name"})
class ReadPart:
    """Asks for up to `size` bytes of a `PackedAnswer`, starting at `offset`."""

    digest: bytes
    offset: int
    size: int = PART_BYTES


@message(tag="PartRead")
class AnswerPart:
    """The requested bytes of a `PackedAnswer`."""

    data: bytes


@dataclass(kw_only=True)
class _CachedAnswer:
    body: bytes
    read_at: float


class LargeAnswerCache:
    """Splits large answers and caches them for the callers that read the parts.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> @message
    ... class Sample:
    ...     text: bytes
    >>> cache = LargeAnswerCache(clock=lambda: 0.0)
    >>> short = Sample(text=b"a")
    >>> cache.split(short) is short
    True
    >>> type(cache.split(Sample(text=bytes(100_000)))).__name__
    'PackedAnswer'
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._cached = {}

    def split(self, answer):
        """Return the answer itself if it is small, otherwise its first part."""
        tag, body = encode_message(answer)
        if len(body) <= FIRST_PART_BYTES:
            return answer
        digest = xxhash.xxh3_128_digest(body)
        cached = self._cached.pop(digest, None)
        # Many callers read the same answer; it is compressed only once.
        packed = cached.body if cached else pack(body)
        if len(packed) > FIRST_PART_BYTES:
            self._store(digest, packed)
        return PackedAnswer(
            tag=tag, digest=digest, size=len(packed), data=packed[:FIRST_PART_BYTES]
        )

    def read(self, request):
        """Return the requested part.

        Raises
        ------
        PeerFailure
            If the answer is no longer cached.
        """
        cached = self._cached.get(request.digest)
        if cached is None:
            raise PeerFailure("The answer is no longer cached.", code="unknown_part")
        cached.read_at = self._clock()
        end = request.offset + min(request.size, PART_BYTES)
        return AnswerPart(data=cached.body[request.offset : end])

    def _store(self, digest, packed):
        self._cached[digest] = _CachedAnswer(body=packed, read_at=self._clock())
        total = sum(len(cached.body) for cached in self._cached.values())
        oldest = self._clock() - CACHE_SECONDS
        for other, cached in list(self._cached.items()):
            if other != digest and (
                total > MAX_CACHED_BYTES or cached.read_at < oldest
            ):
                total -= len(cached.body)
                del self._cached[other]


async def read_whole(packed, call, *, timeout=PART_TIMEOUT_SECONDS):
    """Read the remaining parts of an answer and return the whole answer.

    Parameters
    ----------
    packed : PackedAnswer
        The first part.
    call : callable
        Coroutine function that takes a request and a timeout in seconds, calls the
        peer that sent `packed` and returns its answer.
    timeout : float, optional
        Time allowed for each part, seconds.

    Raises
    ------
    CallTimeout
        If a part did not arrive in any attempt.
    PeerFailure
        As the peer answered.
    BadMessage
        If the received parts do not make up the answer.
    """
    received = bytearray(packed.data)
    size, attempts_left = PART_BYTES, ATTEMPTS_PER_PART
    while len(received) < packed.size:
        request = ReadPart(digest=packed.digest, offset=len(received), size=size)
        try:
            part = await call(request, timeout)
        except CallTimeout:
            attempts_left -= 1
            if not attempts_left:
                raise
            size = max(size // PART_SHRINK_FACTOR, MIN_PART_BYTES)
            continue
        if not part.data:
            raise BadMessage("a peer sent an empty part of an answer")
        attempts_left = ATTEMPTS_PER_PART
        received += part.data
    try:
        body = unpack(bytes(received))
    except ValueError as error:
        raise BadMessage(f"{packed.tag.decode()}: {error}") from error
    if xxhash.xxh3_128_digest(body) != packed.digest:
        raise BadMessage(
            f"{packed.tag.decode()}: the digest of the joined parts does not match"
        )
    return decode_message(packed.tag, body)
