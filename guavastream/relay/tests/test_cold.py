"""No cold server gets more requests in a second than it tolerates."""

import random

import pytest

from guavastream.relay import ColdStartLimiter, NotRun

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
    limiter = ColdStartLimiter(clock=clock)
    assert [send(limiter, clock) for _ in range(9)] == [True] * 7 + [False] * 2


@pytest.mark.parametrize("seed", range(5))
def test_in_no_second_a_cold_server_gets_more_than_it_tolerates(seed):
    rng = random.Random(seed)
    clock = Clock()
    limiter = ColdStartLimiter(clock=clock)
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
        limiter = ColdStartLimiter(clock=clock)
        sent += [clock.now for _ in range(30) if send(limiter, clock)]
        clock.now += 0.3
    assert most_in_a_second(sent) <= BOUND
    # A tolerated rate so high that twice of it exceeds the bound.
    limiter = ColdStartLimiter(clock=clock)
    admitted = 0
    while limiter.wait_seconds("a", 40.0) == 0.0:
        limiter.note_sent()
        admitted += 1
    assert admitted + 40 <= 40.0 * 1.5 + 8.0


def test_a_warm_server_is_not_limited():
    clock = Clock()
    limiter = ColdStartLimiter(clock=clock)
    limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    assert all(send(limiter, clock) for _ in range(50))


def test_a_server_that_becomes_cold_gets_nothing_beyond_its_rate():
    # Its requests of the last second count, and those that were admitted before.
    clock = Clock()
    limiter = ColdStartLimiter(clock=clock)
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
    limiter = ColdStartLimiter(clock=clock)
    limiter.note_heartbeat("a", seq=5, cold_seconds=3.0)
    limiter.note_heartbeat("a", seq=4, cold_seconds=0.0)
    assert limiter.is_cold("a")


def test_a_server_that_stops_its_heartbeats_may_be_cold():
    # Its host was frozen, or the server was; what was known of it is out of date.
    clock = Clock()
    limiter = ColdStartLimiter(clock=clock, heartbeat=1.0)
    limiter.note_heartbeat("a", seq=1, cold_seconds=0.0)
    clock.now += 3.5
    assert limiter.is_cold("a")


def test_refused_requests_are_told_when_there_is_room():
    clock = Clock()
    limiter = ColdStartLimiter(clock=clock)
    for _ in range(7):
        clock.now += 0.05
        send(limiter, clock)
    with pytest.raises(NotRun) as refused:
        limiter.reserve("a", RATE)
    clock.now += refused.value.retry_after
    assert send(limiter, clock)


def test_an_unused_reservation_is_returned():
    clock = Clock()
    limiter = ColdStartLimiter(clock=clock)
    for _ in range(20):
        with limiter.reserve("a", RATE):
            pass
    assert send(limiter, clock)
