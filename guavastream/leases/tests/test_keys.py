"""Which call the local server is owed, on a clock that the tests move."""

import random

from hypothesis import given, strategies as st

from guavastream.fleet import KEY_COUNT, HeartbeatAnswer
from guavastream.leases import KeyLeases
from guavastream.leases.keys import (
    DARK_CALLS,
    DARK_SECONDS,
    GRANT_SECONDS,
    LONGEST_HOLD,
    RELEASE_SECONDS,
    RENEW_SHARES,
)

HOLD = 2.8
SLOW_CLOCK = 1 / 0.98
# After this time each row is due for renewal, and still held.
RENEWAL = LONGEST_HOLD * RENEW_SHARES[1]
ALL = (0, KEY_COUNT - 1, 7, "")


class Bench:
    """Leases of one server, with the leader's answers at hand."""

    def __init__(self, *, since=100.0):
        self.now = since
        self.leases = KeyLeases(clock=lambda: self.now, rng=random.Random(1))
        # What a process that has just started cannot know is over by then.
        self.now += 2 * LONGEST_HOLD

    def tell(self, *rows, drops=(), age=0.0):
        answer = HeartbeatAnswer(index=1, rows=rows, hold=HOLD, drops=drops)
        self.leases.take(answer, sent=self.now - age)

    def granted(self, *rows):
        self.tell(*rows)
        for call in self.leases.due():
            self.leases.note_done(call)


def test_a_row_is_granted_renewed_and_held():
    bench = Bench()
    bench.tell(ALL)
    (call,) = bench.leases.due()
    assert call.hold and not bench.leases.covers(5)
    bench.leases.note_done(call)
    assert bench.leases.covers(5) and not bench.leases.due()
    bench.now = bench.leases.next_at()
    bench.tell(ALL)
    (again,) = bench.leases.due()
    # The same call again is what renews a grant.
    assert (again.row, again.fence) == (call.row, call.fence)
    bench.now = call.began + call.hold
    assert not bench.leases.covers(5)


@given(age=st.floats(0, 3), left=st.floats(0, 3), wait=st.floats(0, GRANT_SECONDS))
def test_what_a_server_holds_ends_before_its_permission(age, left, wait):
    # The server would work on while another one has its keys. The call may
    # arrive at the last moment, and the server's clock may be slow.
    bench = Bench()
    bench.tell(ALL, age=age)
    permitted = bench.now - age + HOLD
    bench.now += left
    for call in bench.leases.due():
        arrived = bench.now + wait
        assert arrived + call.hold * SLOW_CLOCK <= permitted + 0.02 * HOLD


def test_a_suspended_process_finds_its_permission_over():
    bench = Bench()
    bench.granted(ALL)
    bench.now += 10.0
    assert not bench.leases.covers(5) and not bench.leases.due()


def test_a_part_is_released_and_the_rest_renewed():
    bench = Bench()
    bench.granted(ALL)
    bench.tell((0, 9, 7, ""), (20, KEY_COUNT - 1, 7, ""))
    (call,) = bench.leases.due()
    assert call.row == (10, 19) and not call.hold
    assert bench.leases.covers(5) and not bench.leases.covers(15)
    bench.leases.note_done(call, "h")
    assert bench.leases.returned() == ((10, 19, 7, "h"),)
    # A new leader that does not know of the move says what the book says.
    bench.tell(ALL)
    bench.now += RENEWAL
    rows = {call.row for call in bench.leases.due()}
    assert rows == {(0, 9), (20, KEY_COUNT - 1)}
    bench.leases.note_told(bench.leases.returned())
    assert not bench.leases.returned()


def test_a_release_waits_for_the_grant_that_is_on_its_way():
    bench = Bench()
    bench.tell(ALL)
    (grant,) = bench.leases.due()
    bench.tell()
    assert not bench.leases.due()
    bench.leases.note_lost(grant)
    (release,) = bench.leases.due()
    bench.leases.note_done(release)
    # The grant may be carried out still, and counts from when it came.
    assert not bench.leases.returned()
    bench.now += grant.hold * SLOW_CLOCK
    assert not bench.leases.returned()
    bench.now += 0.1
    assert bench.leases.returned()


def test_a_lost_release_is_sent_again_and_ends_with_the_hold():
    bench = Bench()
    bench.granted(ALL)
    bench.tell()
    for _ in range(3):
        (release,) = bench.leases.due()
        bench.now += RELEASE_SECONDS
        bench.leases.note_lost(release)
        bench.now = max(bench.now, bench.leases.next_at())
    bench.now += 2 * LONGEST_HOLD
    assert not bench.leases.due()
    assert bench.leases.returned() == ((0, KEY_COUNT - 1, 7, ""),)


def test_a_refused_fence_is_never_used_again():
    # Somebody newer was there: the leader grants the row anew under a fence
    # above all, once what the server may still hold is over.
    bench = Bench()
    bench.tell(ALL)
    (call,) = bench.leases.due()
    bench.leases.note_refused(call)
    assert not bench.leases.returned()
    bench.tell(ALL)
    assert not bench.leases.due()
    bench.now += 2 * LONGEST_HOLD
    assert bench.leases.returned() == ((0, KEY_COUNT - 1, 7, ""),)
    bench.leases.note_told(bench.leases.returned())
    bench.tell((0, KEY_COUNT - 1, 9, ""))
    assert [call.fence for call in bench.leases.due()] == [9]


def test_a_process_that_has_just_started_returns_nothing_at_once():
    # Its predecessor's calls may still be carried out.
    now = 100.0
    leases = KeyLeases(clock=lambda: now, rng=random.Random(1))
    drops = ((0, 9, 7),)
    leases.take(HeartbeatAnswer(index=1, rows=(), hold=HOLD, drops=drops), sent=now)
    (release,) = leases.due()
    leases.note_done(release)
    assert not leases.returned()
    now += LONGEST_HOLD * SLOW_CLOCK + 0.1
    assert leases.returned()


def test_a_new_life_of_the_server_leaves_nothing_in_doubt():
    # After all lost power its keys are moved to where they are needed at once.
    now = 100.0
    leases = KeyLeases(clock=lambda: now, rng=random.Random(1))
    leases.note_new()
    drops = ((0, 9, 7),)
    leases.take(HeartbeatAnswer(index=1, rows=(), hold=HOLD, drops=drops), sent=now)
    (release,) = leases.due()
    leases.note_done(release)
    assert leases.returned()


def test_a_server_that_answers_nothing_is_dark():
    bench = Bench()
    bench.granted(ALL)
    for _ in range(DARK_CALLS):
        bench.tell(ALL)
        bench.now += RENEWAL
        for call in bench.leases.due():
            bench.leases.note_lost(call)
    assert bench.leases.is_dark
    bench.leases.note_done(call)
    assert not bench.leases.is_dark


def test_a_few_lost_calls_in_a_short_time_are_no_darkness():
    bench = Bench()
    bench.granted(ALL)
    bench.tell(ALL)
    bench.now += DARK_SECONDS / 2
    for _ in range(DARK_CALLS):
        for call in bench.leases.due():
            bench.leases.note_lost(call)
    assert not bench.leases.is_dark
