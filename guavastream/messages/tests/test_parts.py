"""Large answers in parts: they come whole, whatever is lost, or not at all."""

import asyncio
import random

import pytest

from guavastream.exception import BadMessage, CallTimeout, PeerFailure
from guavastream.messages import Packed, PartRead, PartShelf, message, read_whole
from guavastream.messages.parts import (
    FIRST_BYTES,
    PART_BYTES,
    PART_TRIES,
    SHELF_BYTES,
    SHORTEST_BYTES,
)


@message
class Long:
    """An answer of any length."""

    text: bytes


def long_answer(seed=1, parts=5):
    return Long(text=random.Random(seed).randbytes(parts * PART_BYTES))


class Link:
    """Reads parts off a shelf; every call may fail as told."""

    def __init__(self, shelf):
        self.shelf = shelf
        self.calls = 0
        self.offsets = []
        self.most = PART_BYTES
        self.lost = lambda number: False

    async def call(self, request, timeout):
        self.calls += 1
        self.offsets.append(request.offset)
        if self.lost(self.calls) or request.size > self.most:
            raise CallTimeout("lost")
        return self.shelf.read(request)


def make_link(answer, clock=lambda: 0.0):
    shelf = PartShelf(clock=clock)
    return shelf.cut(answer), Link(shelf)


def test_an_answer_comes_whole_in_parts():
    packed, link = make_link(long_answer())
    assert asyncio.run(read_whole(packed, link.call)) == long_answer()
    assert len(packed.data) == FIRST_BYTES and link.calls == 5


def test_a_compressible_answer_needs_no_more_parts():
    answer = Long(text=bytes(20 * PART_BYTES))
    packed, link = make_link(answer)
    assert asyncio.run(read_whole(packed, link.call)) == answer
    assert link.calls == 0


def test_a_lost_part_is_asked_for_again_and_what_has_come_is_kept():
    packed, link = make_link(long_answer())
    link.lost = lambda number: number % 2
    assert asyncio.run(read_whole(packed, link.call)) == long_answer()
    assert link.offsets == sorted(link.offsets)


def test_parts_get_shorter_where_they_do_not_come_in_time():
    # The link passes 8 KB within the time that a part is waited for.
    packed, link = make_link(long_answer())
    link.most = 8 << 10
    assert asyncio.run(read_whole(packed, link.call)) == long_answer()
    link.most = SHORTEST_BYTES - 1
    with pytest.raises(CallTimeout):
        asyncio.run(read_whole(packed, link.call))


def test_a_peer_that_is_gone_is_given_up():
    packed, link = make_link(long_answer())
    link.lost = lambda number: number > 2
    with pytest.raises(CallTimeout):
        asyncio.run(read_whole(packed, link.call))
    assert link.calls == 2 + PART_TRIES


def test_a_peer_that_started_anew_says_that_it_keeps_nothing():
    packed, _ = make_link(long_answer())
    _, other = make_link(Long(text=b""))
    with pytest.raises(PeerFailure) as caught:
        asyncio.run(read_whole(packed, other.call))
    assert caught.value.code == "unknown_part"


def test_parts_that_do_not_fit_together_are_refused():
    packed, link = make_link(long_answer())

    async def call(request, timeout):
        part = await link.call(request, timeout)
        return PartRead(data=part.data[::-1])

    with pytest.raises(BadMessage):
        asyncio.run(read_whole(packed, call))


def test_answers_are_kept_for_readers_of_the_same_and_let_go_after_a_while():
    now = [0.0]
    shelf = PartShelf(clock=lambda: now[0])
    first = shelf.cut(long_answer(1))
    assert isinstance(first, Packed) and shelf.cut(long_answer(1)) == first
    for seed in range(2, 3 + SHELF_BYTES // (5 * PART_BYTES)):
        shelf.cut(long_answer(seed))
    with pytest.raises(PeerFailure):
        asyncio.run(read_whole(first, Link(shelf).call))
    newest = shelf.cut(long_answer(0))
    now[0] = 60.0
    shelf.cut(long_answer(1))
    with pytest.raises(PeerFailure):
        asyncio.run(read_whole(newest, Link(shelf).call))
