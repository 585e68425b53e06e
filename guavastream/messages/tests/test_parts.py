"""Large answers in parts: they arrive complete, or the read fails."""

import asyncio
import random

import pytest

from guavastream.exception import BadMessage, CallTimeout, PeerFailure
from guavastream.messages import (
    AnswerPart,
    LargeAnswerCache,
    PackedAnswer,
    message,
    read_whole,
)
from guavastream.messages.parts import (
    ATTEMPTS_PER_PART,
    FIRST_PART_BYTES,
    MAX_CACHED_BYTES,
    MIN_PART_BYTES,
    PART_BYTES,
)


@message
class Long:
    """An answer of arbitrary length."""

    text: bytes


def long_answer(seed=1, parts=5):
    return Long(text=random.Random(seed).randbytes(parts * PART_BYTES))


class Link:
    """A simulated link to a `LargeAnswerCache`; calls fail as configured."""

    def __init__(self, cache):
        self.cache = cache
        self.calls = 0
        self.offsets = []
        self.max_part_bytes = PART_BYTES
        self.loses = lambda number: False

    async def call(self, request, timeout):
        self.calls += 1
        self.offsets.append(request.offset)
        if self.loses(self.calls) or request.size > self.max_part_bytes:
            raise CallTimeout("lost")
        return self.cache.read(request)


def make_link(answer, clock=lambda: 0.0):
    cache = LargeAnswerCache(clock=clock)
    return cache.split(answer), Link(cache)


def test_large_answer_is_read_completely_in_parts():
    packed, link = make_link(long_answer())
    assert asyncio.run(read_whole(packed, link.call)) == long_answer()
    assert len(packed.data) == FIRST_PART_BYTES and link.calls == 5


def test_compressed_answer_that_fits_the_first_part_needs_no_further_call():
    answer = Long(text=bytes(20 * PART_BYTES))
    packed, link = make_link(answer)
    assert asyncio.run(read_whole(packed, link.call)) == answer
    assert link.calls == 0


def test_lost_part_is_retried_without_reading_earlier_parts_again():
    packed, link = make_link(long_answer())
    link.loses = lambda number: number % 2
    assert asyncio.run(read_whole(packed, link.call)) == long_answer()
    assert link.offsets == sorted(link.offsets)


def test_part_size_shrinks_after_timeouts():
    # The link transfers at most 8 KB within the timeout of a part.
    packed, link = make_link(long_answer())
    link.max_part_bytes = 8 << 10
    assert asyncio.run(read_whole(packed, link.call)) == long_answer()
    link.max_part_bytes = MIN_PART_BYTES - 1
    with pytest.raises(CallTimeout):
        asyncio.run(read_whole(packed, link.call))


def test_read_fails_after_the_last_attempt_at_a_part():
    packed, link = make_link(long_answer())
    link.loses = lambda number: number > 2
    with pytest.raises(CallTimeout):
        asyncio.run(read_whole(packed, link.call))
    assert link.calls == 2 + ATTEMPTS_PER_PART


def test_restarted_peer_reports_the_part_as_unknown():
    packed, _ = make_link(long_answer())
    _, other = make_link(Long(text=b""))
    with pytest.raises(PeerFailure) as caught:
        asyncio.run(read_whole(packed, other.call))
    assert caught.value.code == "unknown_part"


def test_corrupt_parts_are_rejected():
    packed, link = make_link(long_answer())

    async def call(request, timeout):
        part = await link.call(request, timeout)
        return AnswerPart(data=part.data[::-1])

    with pytest.raises(BadMessage):
        asyncio.run(read_whole(packed, call))


def test_cached_answers_are_shared_and_evicted_by_size_and_age():
    now = [0.0]
    cache = LargeAnswerCache(clock=lambda: now[0])
    first = cache.split(long_answer(1))
    assert isinstance(first, PackedAnswer) and cache.split(long_answer(1)) == first
    for seed in range(2, 3 + MAX_CACHED_BYTES // (5 * PART_BYTES)):
        cache.split(long_answer(seed))
    with pytest.raises(PeerFailure):
        asyncio.run(read_whole(first, Link(cache).call))
    newest = cache.split(long_answer(0))
    now[0] = 60.0
    cache.split(long_answer(1))
    with pytest.raises(PeerFailure):
        asyncio.run(read_whole(newest, Link(cache).call))
