"""Which of the requests that were running at server crashes are refused."""

from guavastream.fleet import (
    ClearSuspects,
    EndInstance,
    ExpireSuspects,
    FleetState,
    ForgetVersions,
    JoinInstance,
)
from guavastream.fleet.suspects import CRASHES_BEFORE_REFUSAL, MAX_SUSPECTS


class CrashHistory:
    """A fleet state in which servers crash one after the other."""

    def __init__(self):
        self.state = FleetState()
        self._numbers = iter(range(1, 10**6))

    def apply(self, command):
        self.state, _ = self.state.apply(self.state.index + 1, command)

    def crash(self, *requests, host="", version="v1", service="s", id=""):
        number = next(self._numbers)
        self.apply(
            EndInstance(
                id=id or f"incarnation-{number}",
                service=service,
                host=host or f"host-{number}",
                requests=requests,
                version=version,
            )
        )

    def refused(self):
        return {r for r, s in self.state.suspects.items() if s.refused}


def test_a_request_is_refused_after_three_crashes():
    history = CrashHistory()
    for number in range(CRASHES_BEFORE_REFUSAL):
        assert not history.refused()
        history.crash(b"bad", b"other-%d" % number)
    assert history.refused() == {b"bad"}


def test_harmless_requests_running_at_the_same_crashes_are_not_refused():
    """Guards against refusing every request that was running at the crashes."""
    history = CrashHistory()
    for _ in range(2):
        history.crash(b"bad", b"harmless", b"another")
    # Requests with two crashes run one at a time, so the harmless ones are not
    # running at the next crash.
    history.crash(b"bad", b"new")
    assert history.refused() == {b"bad"}


def test_no_request_is_refused_while_two_have_equally_many_crashes():
    history = CrashHistory()
    for _ in range(CRASHES_BEFORE_REFUSAL):
        history.crash(b"bad", b"harmless")
    assert not history.refused()
    history.crash(b"bad")
    assert history.refused() == {b"bad"}


def test_an_answered_request_is_no_longer_suspect():
    history = CrashHistory()
    for _ in range(2):
        history.crash(b"harmless", b"bad")
    history.apply(ClearSuspects(requests=(b"harmless",), service="s", version="v1"))
    history.crash(b"harmless")
    assert (
        not history.refused() and history.state.suspects[b"harmless"].crash_count == 1
    )


def test_an_answer_from_another_version_does_not_clear_a_request():
    history = CrashHistory()
    history.crash(b"bad")
    history.apply(ClearSuspects(requests=(b"bad",), service="s", version="v2"))
    assert b"bad" in history.state.suspects


def test_a_duplicate_report_is_counted_once():
    """Guards against counting a report again that is resent after a lost answer."""
    history = CrashHistory()
    for _ in range(5):
        history.crash(b"bad", id="same incarnation")
    assert (
        history.state.suspects[b"bad"].crash_count == 1
        and len(history.state.crashes) == 1
    )


def test_no_request_is_refused_for_a_server_that_crashes_without_it():
    """Guards against refusing a request that is retried on a broken server."""
    history = CrashHistory()
    for _ in range(4):
        history.crash(host="broken")
    for _ in range(CRASHES_BEFORE_REFUSAL):
        history.crash(b"harmless", host="broken")
    assert not history.refused()


def test_a_request_that_alone_crashes_the_only_server_is_refused():
    history = CrashHistory()
    for _ in range(CRASHES_BEFORE_REFUSAL):
        history.crash(b"bad", host="only")
    assert history.refused() == {b"bad"}


def test_several_requests_that_crash_the_only_server_in_turn_are_refused():
    history = CrashHistory()
    for _ in range(6):
        for number in range(4):
            history.crash(b"bad-%d" % number, host="only")
    assert len(history.refused()) == 4


def test_many_new_suspects_do_not_evict_a_refused_request():
    """Guards against a flood of requests that gets a harmful one allowed again."""
    history = CrashHistory()
    for _ in range(CRASHES_BEFORE_REFUSAL):
        history.crash(b"bad")
    history.crash(b"twice")
    history.crash(b"twice")
    for number in range(3 * MAX_SUSPECTS // 16):
        history.crash(*(b"%d-%d" % (number, n) for n in range(16)))
    assert len(history.state.suspects) == MAX_SUSPECTS
    assert history.refused() == {b"bad"} and b"twice" in history.state.suspects


def test_the_oldest_refused_requests_are_evicted_if_all_are_refused():
    history = CrashHistory()
    for number in range(MAX_SUSPECTS + 5):
        for _ in range(CRASHES_BEFORE_REFUSAL):
            history.crash(b"bad-%d" % number)
    assert len(history.state.suspects) == MAX_SUSPECTS
    assert b"bad-%d" % (MAX_SUSPECTS + 4) in history.refused()


def test_an_expired_request_is_refused_after_one_more_crash():
    history = CrashHistory()
    for _ in range(CRASHES_BEFORE_REFUSAL):
        history.crash(b"bad")
    history.apply(ExpireSuspects(requests=(b"bad",)))
    assert not history.refused()
    history.crash(b"bad")
    assert history.refused() == {b"bad"}


def test_requests_that_crashed_only_removed_versions_are_forgotten():
    history = CrashHistory()
    for _ in range(CRASHES_BEFORE_REFUSAL):
        history.crash(b"bad", version="v1")
    history.crash(b"worse", version="v1")
    history.crash(b"worse", version="v2")
    history.apply(ForgetVersions(places=(("s", "v1"),)))
    assert list(history.state.suspects) == [b"worse"]


def test_a_crashed_server_is_removed_from_the_fleet_state():
    history = CrashHistory()
    history.apply(
        JoinInstance(
            id="incarnation",
            service="s",
            host="h",
            door="d",
            address="a",
            zone="z",
            slots=1,
        )
    )
    history.crash(b"bad", id="incarnation")
    assert not history.state.instances
