"""Calls that are due to the local server, on a clock that the tests advance."""

import random

from hypothesis import given, strategies as st

from guavastream.fleet import KEY_COUNT, HeartbeatAnswer
from guavastream.leases import KeyLeases
from guavastream.leases.keys import (
    GRANT_TIMEOUT_SECONDS,
    MAX_HOLD_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
    RENEWAL_POINT_RANGE,
    UNRESPONSIVE_CALLS,
    UNRESPONSIVE_SECONDS,
)

HOLD_SECONDS = 2.8
SLOW_CLOCK_FACTOR = 1 / 0.98
# After this time each key range is due for renewal and still held.
RENEWAL_SECONDS = MAX_HOLD_SECONDS * RENEWAL_POINT_RANGE[1]
ALL_KEYS = (0, KEY_COUNT - 1, 7, "")


class Rig:
    """Key leases of one server, with answers of the leader made by the test."""

    def __init__(self, *, since=100.0):
        self.now = since
        self.leases = KeyLeases(clock=lambda: self.now, rng=random.Random(1))
        # By then every grant of a predecessor process has expired.
        self.now += 2 * MAX_HOLD_SECONDS

    def instruct(self, *rows, drops=(), age=0.0):
        answer = HeartbeatAnswer(index=1, rows=rows, hold=HOLD_SECONDS, drops=drops)
        self.leases.apply_answer(answer, sent=self.now - age)

    def grant(self, *rows):
        self.instruct(*rows)
        for call in self.leases.due():
            self.leases.note_done(call)


def test_range_is_granted_and_renewed_and_expires():
    rig = Rig()
    rig.instruct(ALL_KEYS)
    (call,) = rig.leases.due()
    assert call.hold and not rig.leases.covers(5)
    rig.leases.note_done(call)
    assert rig.leases.covers(5) and not rig.leases.due()
    rig.now = rig.leases.next_call_at()
    rig.instruct(ALL_KEYS)
    (again,) = rig.leases.due()
    # A grant is renewed by sending the same grant again.
    assert (again.key_range, again.fence) == (call.key_range, call.fence)
    rig.now = call.began + call.hold
    assert not rig.leases.covers(5)


@given(
    age=st.floats(0, 3), left=st.floats(0, 3), wait=st.floats(0, GRANT_TIMEOUT_SECONDS)
)
def test_server_never_holds_keys_longer_than_permitted(age, left, wait):
    # Guards against a server that works on keys which another server already has.
    # The grant may arrive just before its timeout, and the server's clock may be slow.
    rig = Rig()
    rig.instruct(ALL_KEYS, age=age)
    permitted = rig.now - age + HOLD_SECONDS
    rig.now += left
    for call in rig.leases.due():
        arrived = rig.now + wait
        assert (
            arrived + call.hold * SLOW_CLOCK_FACTOR <= permitted + 0.02 * HOLD_SECONDS
        )


def test_permission_has_expired_after_a_suspension():
    rig = Rig()
    rig.grant(ALL_KEYS)
    rig.now += 10.0
    assert not rig.leases.covers(5) and not rig.leases.due()


def test_part_of_a_range_is_released_and_the_rest_renewed():
    rig = Rig()
    rig.grant(ALL_KEYS)
    rig.instruct((0, 9, 7, ""), (20, KEY_COUNT - 1, 7, ""))
    (call,) = rig.leases.due()
    assert call.key_range == (10, 19) and not call.hold
    assert rig.leases.covers(5) and not rig.leases.covers(15)
    rig.leases.note_done(call, "h")
    assert rig.leases.pending_returns() == ((10, 19, 7, "h"),)
    # A new leader that does not know of the move assigns the whole range again.
    rig.instruct(ALL_KEYS)
    rig.now += RENEWAL_SECONDS
    ranges = {call.key_range for call in rig.leases.due()}
    assert ranges == {(0, 9), (20, KEY_COUNT - 1)}
    rig.leases.note_acknowledged(rig.leases.pending_returns())
    assert not rig.leases.pending_returns()


def test_release_waits_for_a_grant_in_flight():
    rig = Rig()
    rig.instruct(ALL_KEYS)
    (grant,) = rig.leases.due()
    rig.instruct()
    assert not rig.leases.due()
    rig.leases.note_lost(grant)
    (release,) = rig.leases.due()
    rig.leases.note_done(release)
    # The server may still apply the grant, and counts its hold from the arrival.
    assert not rig.leases.pending_returns()
    rig.now += grant.hold * SLOW_CLOCK_FACTOR
    assert not rig.leases.pending_returns()
    rig.now += 0.1
    assert rig.leases.pending_returns()


def test_lost_release_is_resent_until_the_hold_expires():
    rig = Rig()
    rig.grant(ALL_KEYS)
    rig.instruct()
    for _ in range(3):
        (release,) = rig.leases.due()
        rig.now += RELEASE_TIMEOUT_SECONDS
        rig.leases.note_lost(release)
        rig.now = max(rig.now, rig.leases.next_call_at())
    rig.now += 2 * MAX_HOLD_SECONDS
    assert not rig.leases.due()
    assert rig.leases.pending_returns() == ((0, KEY_COUNT - 1, 7, ""),)


def test_fencing_token_is_not_used_again_after_a_refusal():
    # The server has seen a higher fencing token. The range must be returned once the
    # server can no longer hold it; the leader then grants it under a new token.
    rig = Rig()
    rig.instruct(ALL_KEYS)
    (call,) = rig.leases.due()
    rig.leases.note_fenced(call)
    assert not rig.leases.pending_returns()
    rig.instruct(ALL_KEYS)
    assert not rig.leases.due()
    rig.now += 2 * MAX_HOLD_SECONDS
    assert rig.leases.pending_returns() == ((0, KEY_COUNT - 1, 7, ""),)
    rig.leases.note_acknowledged(rig.leases.pending_returns())
    rig.instruct((0, KEY_COUNT - 1, 9, ""))
    assert [call.fence for call in rig.leases.due()] == [9]


def test_new_process_waits_for_grants_of_its_predecessor():
    # The server may still apply grants that the previous process sent, so keys must
    # not be returned to the leader before those would have expired.
    now = 100.0
    leases = KeyLeases(clock=lambda: now, rng=random.Random(1))
    drops = ((0, 9, 7),)
    leases.apply_answer(
        HeartbeatAnswer(index=1, rows=(), hold=HOLD_SECONDS, drops=drops), sent=now
    )
    (release,) = leases.due()
    leases.note_done(release)
    assert not leases.pending_returns()
    now += MAX_HOLD_SECONDS * SLOW_CLOCK_FACTOR + 0.1
    assert leases.pending_returns()


def test_new_server_incarnation_has_no_uncertain_grants():
    # After a power loss of all hosts, keys must move at once to where they are needed.
    now = 100.0
    leases = KeyLeases(clock=lambda: now, rng=random.Random(1))
    leases.note_no_predecessor()
    drops = ((0, 9, 7),)
    leases.apply_answer(
        HeartbeatAnswer(index=1, rows=(), hold=HOLD_SECONDS, drops=drops), sent=now
    )
    (release,) = leases.due()
    leases.note_done(release)
    assert leases.pending_returns()


def test_server_that_answers_nothing_is_unresponsive():
    rig = Rig()
    rig.grant(ALL_KEYS)
    for _ in range(UNRESPONSIVE_CALLS):
        rig.instruct(ALL_KEYS)
        rig.now += RENEWAL_SECONDS
        for call in rig.leases.due():
            rig.leases.note_lost(call)
    assert rig.leases.is_unresponsive
    rig.leases.note_done(call)
    assert not rig.leases.is_unresponsive


def test_few_lost_calls_in_a_short_time_do_not_make_a_server_unresponsive():
    rig = Rig()
    rig.grant(ALL_KEYS)
    rig.instruct(ALL_KEYS)
    rig.now += UNRESPONSIVE_SECONDS / 2
    for _ in range(UNRESPONSIVE_CALLS):
        for call in rig.leases.due():
            rig.leases.note_lost(call)
    assert not rig.leases.is_unresponsive
