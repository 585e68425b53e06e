"""Requests that a server has dropped are told from requests at a slow server."""

import asyncio
import random

import pytest

from guavastream.emulator import run_paused
from guavastream.scheduling.hangs import (
    DROPPED_TIMES,
    LATER_ANSWERS,
    MIN_DROPPED_SECONDS,
    RUNS_ON_TIMES,
    HangDetector,
)

USUAL_SECONDS = 0.2
DEADLINE_SECONDS = 4.0


def run(main):
    async def start():
        loop = asyncio.get_running_loop()
        return await main(loop, HangDetector(clock=loop.time))

    return run_paused(start())


async def answer(loop, detector, count=1, *, seconds=USUAL_SECONDS, kind="k"):
    """Let the server answer some requests one after the other."""
    for _ in range(count):
        token = object()
        detector.note_sent(token, kind=kind, deadline=loop.time() + DEADLINE_SECONDS)
        await asyncio.sleep(seconds)
        detector.note_answered(token)


async def see_hang(loop, detector):
    """Let one request run into its deadline while others are answered."""
    await answer(loop, detector)
    detector.note_sent("hung", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
    await answer(loop, detector, round(DEADLINE_SECONDS / USUAL_SECONDS))
    detector.note_given_up("hung")


def test_dropped_request_is_recognized_early_once_the_server_was_seen_to_hang():
    """Guards against callers that wait until their deadline for nothing."""

    async def main(loop, detector):
        await answer(loop, detector)
        detector.note_sent("one", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
        while loop.time() < DEADLINE_SECONDS:
            assert (
                detector.dropped() == [] and detector.seconds_until_late("one") is None
            )
            await answer(loop, detector)
        await answer(loop, detector)
        detector.note_given_up("one")
        assert detector.hangs
        sent_at = loop.time()
        detector.note_sent("two", kind="k", deadline=sent_at + DEADLINE_SECONDS)
        while not detector.dropped():
            await answer(loop, detector)
        assert detector.dropped() == ["two"]
        assert loop.time() - sent_at <= (DROPPED_TIMES + 1) * USUAL_SECONDS + 1e-6

    run(main)


def test_other_servers_are_not_taken_for_hanging():
    """Guards against other behaviour at servers that answer every request at last."""

    async def main(loop, detector):
        # All requests time out while the server is paused, and nothing is answered.
        await answer(loop, detector, 5)
        for number in range(8):
            deadline = loop.time() + DEADLINE_SECONDS
            detector.note_sent(number, kind="k", deadline=deadline)
        await asyncio.sleep(DEADLINE_SECONDS)
        for number in range(8):
            assert detector.note_given_up(number) == 0.0
        # The caller gives up early, while others are answered.
        detector.note_sent("left", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
        await answer(loop, detector, 12)
        detector.note_given_up("left")
        # A request with little time left runs into its deadline.
        detector.note_sent("short", kind="k", deadline=loop.time() + 2 * USUAL_SECONDS)
        await answer(loop, detector, 2)
        detector.note_given_up("short")
        # The time that a kind of request usually takes is not known.
        detector.note_sent("new", kind="n", deadline=loop.time() + DEADLINE_SECONDS)
        await answer(loop, detector, 20)
        detector.note_given_up("new")
        assert not detector.hangs

    run(main)


def test_requests_at_a_slow_server_are_not_taken_for_dropped():
    """Guards against unsafe requests that are given up while they run.

    The server takes between a half and twice its usual time, and is three times slower
    for periods of 0.4 s, a fifth of the time.
    """

    async def main(loop, detector):
        await see_hang(loop, detector)
        rng = random.Random(5)
        given_up = []

        async def serve(token):
            left = USUAL_SECONDS * rng.uniform(0.5, 2.0)
            deadline = loop.time() + DEADLINE_SECONDS
            detector.note_sent(token, kind="k", deadline=deadline)
            while left > 0:
                speed = 1 / 3 if loop.time() % 2.0 < 0.4 else 1.0
                await asyncio.sleep(0.01)
                left -= 0.01 * speed
                given_up.extend(detector.dropped())
            detector.note_answered(token)

        async def slot(name):
            for number in range(200):
                await serve((name, number))

        await asyncio.gather(*(slot(name) for name in range(5)))
        assert detector.hangs and given_up == []

    run(main)


def test_pause_of_a_whole_server_drops_nothing():
    """Guards against a server that loses all its requests by a short pause."""

    async def main(loop, detector):
        await see_hang(loop, detector)
        for number in range(5):
            deadline = loop.time() + DEADLINE_SECONDS
            detector.note_sent(number, kind="k", deadline=deadline)
        await asyncio.sleep(DROPPED_TIMES * USUAL_SECONDS + 1.0)
        assert detector.dropped() == []
        for number in range(5):
            detector.note_answered(number)
            assert detector.dropped() == []

    run(main)


def test_slot_of_a_request_that_was_given_up_is_held_while_it_may_run():
    """Guards against a full server that gets another request and hangs."""

    async def main(loop, detector):
        await answer(loop, detector, 3)
        detector.note_sent("calm", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
        assert detector.note_given_up("calm") == 0.0
        await see_hang(loop, detector)
        usual = USUAL_SECONDS
        detector.note_sent("left", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
        await asyncio.sleep(usual)
        held = detector.note_given_up("left")
        assert held == pytest.approx((RUNS_ON_TIMES - 1) * usual)
        # A request that was dropped does not run, and one that was refused neither.
        detector.note_sent("hung", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
        await answer(loop, detector, 8)
        assert detector.dropped() == ["hung"] and detector.note_given_up("hung") == 0.0
        detector.note_sent("no", kind="k", deadline=loop.time() + DEADLINE_SECONDS)
        detector.forget("no")
        assert detector.note_given_up("no") == 0.0

    run(main)


def test_short_requests_are_not_given_up_within_a_pause():
    """Guards against limits that a pause of this process exceeds."""

    async def main(loop, detector):
        await see_hang(loop, detector)
        await answer(loop, detector, 100, seconds=0.01, kind="short")
        detector.note_sent("one", kind="short", deadline=loop.time() + DEADLINE_SECONDS)
        assert detector.seconds_until_late("one") == pytest.approx(MIN_DROPPED_SECONDS)
        await answer(loop, detector, LATER_ANSWERS, seconds=0.01, kind="short")
        assert detector.dropped() == []
        await asyncio.sleep(MIN_DROPPED_SECONDS)
        assert detector.dropped() == ["one"]

    run(main)


def test_kind_of_request_that_sometimes_takes_long_is_not_taken_for_dropped():
    """Guards against early 504 at servers some of whose requests take long.

    One request of 50 takes 10 to 15 times as long as the others. Some callers have less
    time than that, so that such requests run into their deadline.
    """

    async def main(loop, detector):
        rng = random.Random(7)
        given_up = []

        async def slot(name):
            for number in range(300):
                token = (name, number)
                is_long = rng.random() < 0.02
                seconds = USUAL_SECONDS * (rng.uniform(10, 15) if is_long else 1.0)
                left = rng.choice([1.0, 1.0, 0.6]) * DEADLINE_SECONDS
                detector.note_sent(token, kind="k", deadline=loop.time() + left)
                await asyncio.sleep(min(seconds, left))
                given_up.extend(detector.dropped())
                if seconds < left:
                    detector.note_answered(token)
                else:
                    detector.note_given_up(token)

        await asyncio.gather(*(slot(name) for name in range(5)))
        assert not detector.hangs and not given_up

    run(main)
