"""Admission by urgency class under load, in simulated time.

The load is that of a keyed service with two kinds of request. Half of the callers
retry twice, on Retry-After; the others repeat at once, three times as often. Figures
in comments are shares of callers that are answered within their target.
"""

import asyncio
import random
from functools import cache

import pytest

from guavastream.emulator import run_paused
from guavastream.scheduling import (
    AdmissionQueue,
    ClassAdmission,
    NotRun,
    ReturnTimes,
)
from guavastream.scheduling.class_admission import IngressAdmission
from guavastream.scheduling.levels import (
    LEVEL_VALID_SECONDS,
    MAX_CLASSES,
    MAX_PASSED_ON,
    MAX_SERVERS,
    MIN_RELATIVE_SHARE,
    PROBE_SHARE,
    LevelBoard,
    LevelMeter,
    RequestClass,
    parse_levels,
)
from guavastream.scheduling.tests.keyed_overload import ORDER, STATUS, KeyedOverload

URGENT = RequestClass(urgency=0)
LESS_URGENT = RequestClass(urgency=1)
# No kind may be served less than this share of how often all are.
MIN_SERVED_SHARE = 0.25


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def rates(status, order, *, until=float("inf")):
    """Return the rates of a load that falls to 0.6 of the capacity at a time."""
    return lambda kind, time: (
        (status if kind is STATUS else order) * (1.0 if time < until else 0.3)
    )


@cache
def overload(*, classes, until=float("inf"), seconds=8.0):
    """Run an overload of 1.9 times the capacity; the result must not be changed."""
    return KeyedOverload(
        rates=rates(200, 40, until=until),
        classes=classes,
        ingresses=12,
        seconds=seconds,
    ).run()


def test_few_refusals_need_a_hop():
    # Of 16,300 refused requests of a day, all went to the host of the owner first.
    assert overload(classes=False).hop_share == 1.0
    assert overload(classes=True).hop_share < 0.3


def test_urgent_requests_are_served_as_often_as_without_refusals_at_ingresses():
    # The server knows best which requests fit; hops cost nothing in this simulation.
    before, after = (overload(classes=on).counts["status"] for on in (False, True))
    assert after.share > 0.93 * before.share
    assert overload(classes=True).value > 0.93 * overload(classes=False).value


def test_less_urgent_requests_are_not_starved():
    # With the order of the queue alone, they got a sixth of what all requests got.
    counts = overload(classes=True).counts.values()
    callers = sum(c.callers for c in counts)
    served = sum(c.callers * c.served_share for c in counts) / callers
    for kind in counts:
        assert kind.served_share > MIN_SERVED_SHARE * served


def test_callers_that_repeat_at_once_get_no_more_than_those_that_wait():
    before, after = (overload(classes=on).counts["status"] for on in (False, True))
    assert before.share_of(impatient=True) > before.share_of(impatient=False)
    assert after.share_of(impatient=False) > after.share_of(impatient=True)
    assert after.share_of(impatient=False) > before.share_of(impatient=False)


def test_refused_callers_are_told_early():
    # A caller that is told late has no time left for a retry. Without classes, the
    # longest wait of a less urgent request is nearly all of its time.
    before, after = (overload(classes=on).counts for on in (False, True))
    assert max(before["order"].refusal_seconds) > 0.9 * ORDER.deadline
    for kind in (STATUS, ORDER):
        assert max(after[kind.name].refusal_seconds) <= kind.target


def test_callers_are_served_within_a_second_after_the_load_ends():
    load = overload(classes=True, until=3.0, seconds=8.0)
    for counts in load.counts.values():
        assert counts.share_since(3.0 + LEVEL_VALID_SECONDS) > 0.97


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ingresses_refuse_nothing_within_capacity(seed):
    # A single server may have too many requests for a moment and refuse some itself.
    before, after = (
        KeyedOverload(rates=rates(60, 20), classes=on, seconds=5.0, seed=seed).run()
        for on in (False, True)
    )
    for name, counts in after.counts.items():
        assert counts.refusals == counts.refusals_after_hop
        assert counts.share > 0.98
        assert counts.share >= before.counts[name].share - 0.02


def test_reservations_end_with_their_callers():
    load = overload(classes=True)
    assert sum(len(server.return_times) for server in load.servers) <= 5


def test_calls_that_start_too_late_restrict_less_urgent_requests():
    # Calls are admitted as long as they can run, so that refusals of calls don't show
    # that their callers fail.
    async def main():
        loop = asyncio.get_running_loop()
        times = ReturnTimes(clock=loop.time)
        queue = AdmissionQueue(loop=loop, slots=2, return_times=times)
        admission = ClassAdmission(
            clock=loop.time, rng=random.Random(1), queue=queue, return_times=times
        )

        async def ask(number, *, kind, rank, work, target, call):
            request = {
                "rank": rank,
                "kind": kind,
                "wanted_by": loop.time() + target,
                "deadline": loop.time() + 10 * target,
                "id": b"%d" % number,
                "call": call,
            }
            what = (kind, number)
            estimate = await admission.enter(what=what, keyed=False, **request)
            await asyncio.sleep(work)
            queue.leave(estimate, kind=kind, seconds=work)

        slow = {"kind": "slow", "rank": 2, "work": 0.7, "target": 30.0, "call": False}
        short = {"kind": "short", "rank": 0, "work": 0.05, "target": 0.2, "call": True}
        tasks = []
        for number in range(30):
            tasks.append(asyncio.ensure_future(ask(number, **short)))
            if number % 2 == 0:
                tasks.append(asyncio.ensure_future(ask(100 + number, **slow)))
            await asyncio.sleep(0.1)
        shares = admission.shares()
        assert shares[RequestClass(urgency=2)] < 1.0
        assert URGENT not in shares
        await asyncio.gather(*tasks, return_exceptions=True)

    run_paused(main())


def note(meter, cls, *, work, admitted, share=1.0):
    """Count a request that is admitted or refused at once."""
    meter.note_asked(cls, work=work, share=share)
    meter.note_outcome(cls, admitted=admitted)


def fill(meter, clock, *, requests, seconds=1.0, work=0.2, every=3, cls=URGENT):
    """Ask for a class at an even rate; one in `every` requests is admitted."""
    for number in range(requests):
        clock.now += seconds / requests
        note(meter, cls, work=work, admitted=number % every == 0)


def test_less_urgent_classes_are_restricted_first():
    clock = Clock()
    meter = LevelMeter(clock=clock)
    for number in range(40):
        clock.now += 0.025
        note(meter, URGENT, work=0.1, admitted=number % 4 > 0)
        note(meter, LESS_URGENT, work=0.2, admitted=number % 4 > 0)
    shares = meter.levels(slots=4)
    assert URGENT not in shares
    assert MIN_SERVED_SHARE < shares[LESS_URGENT] < 0.4


def test_late_requests_come_after_all_that_can_be_in_time():
    clock = Clock()
    meter = LevelMeter(clock=clock)
    late = RequestClass(urgency=0, late=True)
    for _ in range(40):
        clock.now += 0.025
        note(meter, LESS_URGENT, work=0.2, admitted=False)
        note(meter, late, work=0.2, admitted=False)
    shares = meter.levels(slots=4)
    assert shares[LESS_URGENT] == pytest.approx(0.75, abs=0.05)
    assert shares[late] == PROBE_SHARE


def test_a_level_does_not_rise_because_it_takes_effect():
    # If only what arrives were counted, levels would oscillate between 1 and too low.
    clock = Clock()
    meter = LevelMeter(clock=clock)
    for number in range(60):
        clock.now += 0.02
        note(meter, URGENT, work=0.2, admitted=number % 2 == 0)
    level = meter.levels(slots=4)[URGENT]
    for number in range(int(60 * level)):
        clock.now += 0.02 / level
        note(meter, URGENT, work=0.2, admitted=number % 4 > 0, share=level)
    assert meter.levels(slots=4)[URGENT] == pytest.approx(level, rel=0.15)


def test_a_class_is_never_locked_out():
    clock = Clock()
    meter = LevelMeter(clock=clock)
    fill(meter, clock, requests=500, every=10**9)
    assert meter.levels(slots=1)[URGENT] == PROBE_SHARE
    board = LevelBoard(clock=clock, rng=random.Random(1))
    board.note("a", b"0:0:0:0")
    admission = IngressAdmission(clock=clock, rng=random.Random(1), board=board)
    board.note("a", b"0:0:%d:0" % (1000 * PROBE_SHARE))
    refused = 0
    for _ in range(200):
        try:
            check(admission)
        except NotRun:
            refused += 1
    assert 170 < refused < 200


def check(admission, *, id="a", urgency=0, wanted_in=0.6, **kwargs):
    now = admission._clock()
    return admission.check(
        [id],
        urgency=urgency,
        seconds=0.2,
        target_time=now + wanted_in,
        deadline=now + 5.0,
        **kwargs,
    )


def test_levels_expire_after_a_host_stops_reporting():
    # A partitioned host, or one that has ended, must not restrict anything.
    clock = Clock()
    board = LevelBoard(clock=clock, rng=random.Random(1))
    board.note("a", b"0:0:100:0")
    before = 0.0
    for clock.now in (0.0, 0.4, 0.6, 0.8, 0.99):
        share = board.level(["a"], URGENT).share
        assert before <= share < 1.0
        before = share
    clock.now = LEVEL_VALID_SECONDS
    assert board.level(["a"], URGENT) is None and board.passed_on() == b""


def test_levels_that_are_passed_on_do_not_get_younger():
    # Otherwise hosts would keep an old level alive among themselves.
    clock = Clock()
    boards = [LevelBoard(clock=clock, rng=random.Random(n)) for n in range(3)]
    boards[0].note("a", b"0:0:100:0")
    for _ in range(4):
        clock.now += 0.1
        for number, board in enumerate(boards):
            boards[number - 1].note(f"s{number}", board.passed_on())
    assert boards[2].level(["a"], URGENT).age == pytest.approx(clock.now, abs=0.01)
    clock.now = LEVEL_VALID_SECONDS + 0.002
    assert all(board.level(["a"], URGENT) is None for board in boards)


def test_levels_do_not_outlive_their_server_by_being_passed_on_again():
    # Each transit makes a level a little older than its age tells.
    clock = Clock()
    board = LevelBoard(clock=clock, rng=random.Random(1))
    board.note("a", b"0:0:250:80;gone=40=0:0:50:0")
    passed_on = board.passed_on(except_for="b")
    assert b"a=" in passed_on and b"gone" not in passed_on


def test_callers_of_one_resource_have_reservations_of_their_own():
    # Twenty callers of a popular key were told the same time.
    clock = Clock()
    times = ReturnTimes(clock=clock)

    def reserve(**kwargs):
        return times.reserve(
            what="x",
            target_time=5.0,
            until=4.0,
            urgency=0,
            seconds=0.2,
            slots=1,
            **kwargs,
        )

    first = [reserve() for _ in range(5)]
    assert None not in first and len(times) == 5 and max(first) > min(first)
    # A caller that comes too early keeps its own.
    assert reserve(again=True) == first[0] and len(times) == 5


def test_an_old_level_does_not_replace_news_of_room():
    clock = Clock()
    board = LevelBoard(clock=clock, rng=random.Random(1))
    clock.now = 1.0
    board.note("a", b"")
    board.note("b", b";a=200=0:0:100:0")
    assert board.level(["a"], URGENT) is None


def test_a_class_without_a_level_of_its_own_comes_after_a_restricted_one():
    board = LevelBoard(clock=Clock(), rng=random.Random(1))
    board.note("a", b"0:0:500:0")
    share = board.level(["a"], LESS_URGENT).share
    assert share == pytest.approx(MIN_RELATIVE_SHARE * 0.5)
    board.note("a", b"1:0:500:0")
    assert board.level(["a"], URGENT) is None


def test_an_early_retry_is_refused_and_one_with_a_reservation_is_not():
    clock = Clock()
    board = LevelBoard(clock=clock, rng=random.Random(1))
    admission = IngressAdmission(clock=clock, rng=random.Random(1), board=board)
    board.note("a", b"0:0:%d:0" % (1000 * PROBE_SHARE))
    for _ in range(50):
        with pytest.raises(NotRun) as refused:
            check(admission, retry_at=0.3, reserved=True)
        assert refused.value.code == "shed"
        # It keeps its time: it does not get a later or an earlier one.
        assert refused.value.retry_after == pytest.approx(0.3)
    for _ in range(50):
        assert check(admission, retry_at=0.0, reserved=True) == 1.0


def test_a_refused_caller_is_told_a_time_that_it_can_wait_for():
    # Callers wait for at most a third of their time, and a retry in time is worth most.
    clock = Clock()
    board = LevelBoard(clock=clock, rng=random.Random(1))
    admission = IngressAdmission(clock=clock, rng=random.Random(1), board=board)
    board.note("a", b"0:0:%d:120" % (1000 * PROBE_SHARE))
    for wanted_in, least, most in ((0.6, 0.12, 0.4), (0.1, 0.5, 5.0 / 3)):
        told = []
        for _ in range(100):
            try:
                check(admission, wanted_in=wanted_in)
            except NotRun as refused:
                told.append(refused.retry_after)
        assert least <= min(told) and max(told) <= most + 1e-6
        # Retries don't come at the same time.
        assert max(told) - min(told) > 0.7 * (most - least)


def test_memory_is_bounded():
    clock = Clock()
    board = LevelBoard(clock=clock, rng=random.Random(1))
    for number in range(2 * MAX_SERVERS):
        board.note(f"s{number}", b"0:0:100:0")
    assert len(board) == MAX_SERVERS
    many = b"".join(b";x%d=1=0:0:100:0" % number for number in range(1000))
    board = LevelBoard(clock=clock, rng=random.Random(1))
    board.note("a", b"0:0:100:0" + many)
    assert len(board) == 1 + MAX_PASSED_ON
    long = b",".join(b"%d:0:100:0" % number for number in range(1000))
    assert len(parse_levels(long)) == MAX_CLASSES
    meter = LevelMeter(clock=clock)
    fill(meter, clock, requests=20_000, seconds=100.0)
    assert len(meter._steps) <= 12


@pytest.mark.parametrize(
    "value",
    [b";", b"=", b"a", b"0:0:1", b"0:0:1:1;=", b";a=x=0:0:1:1", b"\xff;\xff=1="],
)
def test_malformed_values_do_no_harm(value):
    board = LevelBoard(clock=Clock(), rng=random.Random(1))
    board.note("a", value)
    board.level(["a"], URGENT)
    board.passed_on()
