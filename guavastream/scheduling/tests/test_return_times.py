"""Tests of the reservations for retries."""

from guavastream.scheduling.return_times import (
    MAX_RESERVATIONS,
    STEP_SECONDS,
    TOLERANCE_SECONDS,
    ReturnTimes,
)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def reserve(times, what, *, clock, first=0.0, urgency=0, **kwargs):
    """Reserve capacity for a request with a target of 0.6 s."""
    values = {"seconds": 0.1, "slots": 2, "until": first + 0.5} | kwargs
    return times.reserve(what=what, target_time=first + 0.6, urgency=urgency, **values)


def test_callers_return_in_the_order_in_which_they_were_refused():
    clock = Clock()
    times = ReturnTimes(clock=clock)
    told = [reserve(times, what, clock=clock) for what in range(8)]
    found = [at for at in told if at is not None]
    assert found == sorted(found) and 2 <= len(found) < 8
    # The reserved work is within the share of the capacity that is set aside.
    assert 0.1 * len(found) <= 0.5 * 2


def test_a_retry_that_is_refused_again_comes_before_new_requests():
    # It has less time left, and its caller returns only once more.
    clock = Clock()
    times = ReturnTimes(clock=clock)
    new = 0
    while reserve(times, new, clock=clock) is not None:
        new += 1
    assert reserve(times, "new", clock=clock) is None
    assert reserve(times, "again", clock=clock, again=True) is not None


def test_a_caller_that_returns_early_keeps_its_own_time_only():
    clock = Clock()
    times = ReturnTimes(clock=clock)
    first = reserve(times, "a", clock=clock)
    second = reserve(times, "b", clock=clock)
    assert first < second
    clock.now = second - TOLERANCE_SECONDS - 0.01
    # The second caller can take neither its own reservation yet nor the first one.
    assert not times.claim(what="b", target_time=0.6)
    assert reserve(times, "b", clock=clock, again=True) == second
    assert times.claim(what="a", target_time=0.61) or clock.now > first
    clock.now = second
    assert times.claim(what="b", target_time=0.6)
    assert not times.claim(what="b", target_time=0.6)


def test_another_caller_of_the_same_thing_is_distinguished_by_its_target():
    clock = Clock()
    times = ReturnTimes(clock=clock)
    clock.now = reserve(times, "a", clock=clock)
    assert not times.claim(what="a", target_time=0.9)
    assert times.claim(what="a", target_time=0.6)


def test_urgent_callers_do_not_see_the_reservations_of_less_urgent_ones():
    clock = Clock()
    times = ReturnTimes(clock=clock)
    while reserve(times, len(times), clock=clock, urgency=1) is not None:
        pass
    assert reserve(times, "urgent", clock=clock, urgency=0) is not None
    assert times.seconds_reserved(urgency=0, until=1.0) == 0.1
    assert times.seconds_reserved(urgency=1, until=1.0) > 0.1


def test_reservations_expire_when_their_callers_do_not_return():
    # Capacity kept for callers that have given up would be refused to others.
    clock = Clock()
    times = ReturnTimes(clock=clock)
    while reserve(times, len(times), clock=clock) is not None:
        pass
    assert len(times)
    clock.now = 0.5 + TOLERANCE_SECONDS + STEP_SECONDS
    assert times.seconds_reserved(urgency=9, until=9.0) == 0.0
    assert not len(times)


def test_the_number_of_reservations_is_bounded():
    clock = Clock()
    times = ReturnTimes(clock=clock)
    for what in range(2 * MAX_RESERVATIONS):
        reserve(times, what, clock=clock, seconds=1e-9)
    assert len(times) == MAX_RESERVATIONS
    assert reserve(times, "one more", clock=clock, seconds=1e-9) is None
