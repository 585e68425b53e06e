"""The ledger detects a violation of each invariant, and accepts a correct run."""

import pytest

from guavastream.soak import KINDS, Ledger, make_schedule


def record_request_of_caller(ledger, id=b"1", *, idempotent=False):
    ledger.record_request(id, b"POST", b"/pay", b"x", idempotent=idempotent)


def run_request(ledger, id=b"1", *, server="a", at=0.0, target=b"/pay"):
    ledger.record_run(id, b"POST", target, b"x", server=server, at=at)


def run_twice(ledger):
    record_request_of_caller(ledger)
    run_request(ledger)
    run_request(ledger, server="b")


def run_after_a_refusal(ledger):
    record_request_of_caller(ledger)
    ledger.record_answer(b"1", 503, b"", b"yes")
    run_request(ledger)


def wrong_answer(ledger):
    record_request_of_caller(ledger)
    run_request(ledger)
    ledger.record_answer(b"1", 200, b"no", b"yes")


def answer_without_a_run(ledger):
    record_request_of_caller(ledger)
    ledger.record_answer(b"1", 200, b"yes", b"yes")


def run_without_a_caller(ledger):
    run_request(ledger)


def changed_target(ledger):
    record_request_of_caller(ledger)
    run_request(ledger, target=b"/other")


def late_run_at_a_leaving_server(ledger):
    record_request_of_caller(ledger)
    ledger.record_departure("a", 1.0)
    run_request(ledger, at=3.5)


def two_owners(ledger):
    ledger.record_key_use(7, 1, server="a", others=["b"])


def reused_fencing_token(ledger):
    ledger.record_key_use(7, 5, server="a", others=[])
    ledger.record_key_use(7, 5, server="b", others=[])


def stale_configuration(ledger):
    ledger.record_change(3, 1.0)
    ledger.record_read(2, 3.5)


@pytest.mark.parametrize(
    "record_events, invariant",
    [
        (run_twice, "requests run at most once"),
        (run_after_a_refusal, "refused requests do not run"),
        (wrong_answer, "answers are complete and match their request"),
        (answer_without_a_run, "answers are complete and match their request"),
        (run_without_a_caller, "only requests of callers run"),
        (changed_target, "requests are forwarded unchanged"),
        (late_run_at_a_leaving_server, "leaving servers get no new requests"),
        (two_owners, "keys have one owner"),
        (reused_fencing_token, "fencing tokens increase"),
        (stale_configuration, "reads return no stale configuration"),
    ],
)
def test_each_violation_is_detected(record_events, invariant):
    ledger = Ledger()
    record_events(ledger)
    assert [violation.invariant for violation in ledger.all_violations()] == [invariant]


def test_a_correct_run_has_no_violations():
    ledger = Ledger()
    for number in range(3):
        id = b"%d" % number
        record_request_of_caller(ledger, id, idempotent=number == 2)
        run_request(ledger, id)
        ledger.record_answer(id, 200, b"yes", b"yes")
    run_request(ledger, b"2", server="b")
    ledger.record_departure("a", 1.0)
    record_request_of_caller(ledger, b"3")
    run_request(ledger, b"3", at=2.5)
    ledger.record_key_use(7, 5, server="a", others=[])
    ledger.record_key_use(7, 5, server="a", others=[])
    ledger.record_key_use(7, 6, server="b", others=[])
    ledger.record_change(3, 1.0)
    ledger.record_read(2, 1.5)
    ledger.record_read(3, 3.5)
    assert ledger.all_violations() == []


def test_schedules_fault_one_control_host_at_a_time_and_contain_every_kind():
    counts = {"control": 3, "host": 4, "server": 4}
    seen = set()
    for seed in range(50):
        faults = make_schedule(seed=seed, seconds=30, counts=counts)
        free = 0.0
        for fault in faults:
            seen.add((fault.group, fault.kind))
            assert fault.target < counts[fault.group]
            if fault.group == "control":
                assert fault.at >= free
                free = fault.at + fault.seconds
    assert seen == {(group, kind) for group in KINDS for kind in KINDS[group]}
