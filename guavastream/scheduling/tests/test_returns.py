"""Tests that retries are distinguished from other requests for the same thing."""

from guavastream.scheduling.returns import MAX_REMEMBERED, RetryTracker

WHAT = ("read", b"/x")


def test_two_callers_with_the_same_request_are_distinguished():
    tracker = RetryTracker()
    tracker.note(WHAT, gives_up=1.0, first=0.0)
    tracker.note(WHAT, gives_up=1.2, first=0.2)
    assert tracker.pop_first_asked(WHAT, gives_up=1.21, now=0.5) == 0.2
    assert tracker.pop_first_asked(WHAT, gives_up=0.99, now=0.6) == 0.0
    assert tracker.pop_first_asked(WHAT, gives_up=1.0, now=0.7) == 0.7
    assert not len(tracker)


def test_a_different_request_is_not_a_retry():
    tracker = RetryTracker()
    tracker.note(WHAT, gives_up=1.0, first=0.0)
    assert tracker.pop_first_asked(("read", b"/y"), gives_up=1.0, now=0.5) == 0.5


def test_the_number_of_remembered_requests_is_bounded():
    tracker = RetryTracker()
    for number in range(2 * MAX_REMEMBERED):
        tracker.note(("read", b"%d" % number), gives_up=1.0, first=0.0)
    assert len(tracker) == MAX_REMEMBERED
    for number in range(2 * MAX_REMEMBERED):
        tracker.note(WHAT, gives_up=number + 1.0, first=float(number))
    # Entries whose callers have given up are removed.
    assert tracker.pop_first_asked(WHAT, gives_up=2.0, now=3.0) == 3.0
