"""No server gets more requests than it takes while it is cold, or names a limit."""

import contextlib
import random

import pytest

from guavastream.scheduling import NotRun, ServerRateLimiter

RATE = 7.5
# Rate times 1.5, plus 8: what a cold server must never get in a second.
BOUND = 19.25


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def send(limiter, clock, id="a", *, delay=0.0):
    """Send one request `delay` after it was admitted; return whether it was sent."""
    try:
        with limiter.reserve(id, RATE) as reservation:
            clock.now += delay
            reservation.use()
    except NotRun:
        return False
    return True


def most_in_a_second(times):
    return max(sum(t <= u < t + 1.0 for u in times) for t in times)


def test_a_server_that_was_not_heard_of_is_taken_to_be_cold():
    # The process was restarted; the server beside it may have started as well.
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    assert [send(limiter, clock) for _ in range(9)] == [True] * 7 + [False] * 2


@pytest.mark.parametrize("seed", range(5))
def test_in_no_second_a_cold_server_gets_more_than_it_tolerates(seed):
    rng = random.Random(seed)
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    sent = []
    for _ in range(2000):
        clock.now += rng.expovariate(40.0)
        if send(limiter, clock, delay=rng.choice((0.0, 0.0, 0.02))):
            sent.append(clock.now)
    assert most_in_a_second(sent) <= RATE
    # The rate that the server tolerates is used.
    assert len(sent) >= 0.85 * RATE * (clock.now - 100.0)


def test_requests_of_the_process_before_count_in_the_first_second():
    # Two processes follow each other within a second, each with its own count.
    clock = Clock()
    sent = []
    for _ in range(2):
        limiter = ServerRateLimiter(clock=clock)
        sent += [clock.now for _ in range(30) if send(limiter, clock)]
        clock.now += 0.3
    assert most_in_a_second(sent) <= BOUND
    # A tolerated rate so high that twice of it exceeds the bound.
    limiter = ServerRateLimiter(clock=clock)
    admitted = 0
    while limiter.wait_seconds("a", 40.0) == 0.0:
        limiter.note_sent()
        admitted += 1
    assert admitted + 40 <= 40.0 * 1.5 + 8.0


def test_a_warm_server_is_not_limited():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    assert all(send(limiter, clock) for _ in range(50))


def test_a_server_that_becomes_cold_gets_nothing_beyond_its_rate():
    # Its requests of the last second count, and those that were admitted before.
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    admitted = [limiter.reserve("a", RATE) for _ in range(20)]
    limiter.note_heartbeat("a", seq=2, cold_seconds=3.0)
    sent = 0
    for reservation in admitted:
        try:
            with reservation:
                reservation.use()
        except NotRun:
            continue
        sent += 1
    assert sent == 7
    clock.now += 3.2
    limiter.note_heartbeat("a", seq=3, cold_seconds=0.0)
    assert all(send(limiter, clock) for _ in range(30))


def test_a_late_heartbeat_does_not_make_a_cold_server_warm():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.note_heartbeat("a", seq=5, cold_seconds=3.0)
    limiter.note_heartbeat("a", seq=4, cold_seconds=0.0)
    assert limiter.is_cold("a")


def test_a_server_that_stops_its_heartbeats_may_be_cold():
    # Its host was frozen, or the server was; what was known of it is out of date.
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock, heartbeat=1.0)
    limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    clock.now += 3.5
    assert limiter.is_cold("a")


def test_refused_requests_are_told_when_there_is_room():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    for _ in range(7):
        clock.now += 0.05
        send(limiter, clock)
    with pytest.raises(NotRun) as refused:
        limiter.reserve("a", RATE)
    clock.now += refused.value.retry_after
    assert send(limiter, clock)


def test_an_unused_reservation_is_returned():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    for _ in range(20):
        with limiter.reserve("a", RATE):
            pass
    assert send(limiter, clock)


@pytest.mark.parametrize("rate", [0.2, 0.5, 1.9, 15.2, 80.0])
def test_a_named_limit_is_kept_and_used(rate):
    rng = random.Random(3)
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.set_named_rate("a", rate)
    followed = max(rate, 0.5)
    sent = []
    for _ in range(5000):
        clock.now += rng.expovariate(20 * followed)
        with contextlib.suppress(NotRun), limiter.reserve("a") as reservation:
            reservation.use()
            sent.append(clock.now)
    for first in sent:
        number = sum(first <= at < first + 4.0 for at in sent)
        assert number <= 1.5 * rate * 4.0 + 5
    allowed = followed * (clock.now - 100.0)
    assert 0.9 * allowed <= len(sent) <= allowed + max(1.0, followed)


def test_what_was_admitted_before_a_limit_was_lowered_is_refused():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.set_named_rate("a", 20.0)
    admitted = [limiter.reserve("a") for _ in range(20)]
    limiter.set_named_rate("a", 4.0)
    sent = 0
    for reservation in admitted:
        with contextlib.suppress(NotRun), reservation:
            reservation.use()
            sent += 1
    assert sent <= 4


def test_a_limited_server_that_is_cold_keeps_both_limits():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.set_named_rate("a", 3.0)
    assert sum(send(limiter, clock) for _ in range(9)) == 3
    limiter.set_named_rate("a", 100.0)
    assert sum(send(limiter, clock) for _ in range(9)) == 4


def test_a_lifted_limit_and_that_of_another_instance_do_not_count():
    clock = Clock()
    limiter = ServerRateLimiter(clock=clock)
    limiter.set_named_rate("a", 1.0)
    assert limiter.wait_seconds("b") is None
    limiter.set_named_rate("a", None)
    assert limiter.wait_seconds("a") is None
