"""Each promise of the ledger can be seen broken, and a sound day passes."""

import pytest

from guavastream.soak import KINDS, Ledger, make_schedule


def ask(ledger, id=b"1", *, repeatable=False):
    ledger.asked(id, b"POST", b"/pay", b"x", repeatable=repeatable)


def run(ledger, id=b"1", *, server="a", at=0.0, target=b"/pay"):
    ledger.ran(id, b"POST", target, b"x", server=server, at=at)


def twice(ledger):
    ask(ledger)
    run(ledger)
    run(ledger, server="b")


def run_after_a_refusal(ledger):
    ask(ledger)
    ledger.answered(b"1", 503, b"", b"yes")
    run(ledger)


def somebody_elses_answer(ledger):
    ask(ledger)
    run(ledger)
    ledger.answered(b"1", 200, b"no", b"yes")


def answer_without_a_run(ledger):
    ask(ledger)
    ledger.answered(b"1", 200, b"yes", b"yes")


def run_of_nobody(ledger):
    run(ledger)


def changed(ledger):
    ask(ledger)
    run(ledger, target=b"/other")


def late_at_a_leaving_server(ledger):
    ask(ledger)
    ledger.acknowledged_leave("a", 1.0)
    run(ledger, at=3.5)


def two_holders(ledger):
    ledger.owned(7, 1, server="a", others=["b"])


def lower_fence(ledger):
    ledger.owned(7, 5, server="a", others=[])
    ledger.owned(7, 5, server="b", others=[])


def older_configuration(ledger):
    ledger.accepted(3, 1.0)
    ledger.read(2, 3.5)


@pytest.mark.parametrize(
    "story, promise",
    [
        (twice, "at most once"),
        (run_after_a_refusal, "not run is true"),
        (somebody_elses_answer, "own whole answer"),
        (answer_without_a_run, "own whole answer"),
        (run_of_nobody, "nobody else's request"),
        (changed, "unchanged"),
        (late_at_a_leaving_server, "nothing new at a leaving server"),
        (two_holders, "one owner"),
        (lower_fence, "rising fences"),
        (older_configuration, "no older configuration"),
    ],
)
def test_a_broken_promise_is_seen(story, promise):
    ledger = Ledger()
    story(ledger)
    assert [broken.promise for broken in ledger.verdict()] == [promise]


def test_a_sound_day_breaks_nothing():
    ledger = Ledger()
    for number in range(3):
        id = b"%d" % number
        ask(ledger, id, repeatable=number == 2)
        run(ledger, id)
        ledger.answered(id, 200, b"yes", b"yes")
    run(ledger, b"2", server="b")
    ledger.acknowledged_leave("a", 1.0)
    ask(ledger, b"3")
    run(ledger, b"3", at=2.5)
    ledger.owned(7, 5, server="a", others=[])
    ledger.owned(7, 5, server="a", others=[])
    ledger.owned(7, 6, server="b", others=[])
    ledger.accepted(3, 1.0)
    ledger.read(2, 1.5)
    ledger.read(3, 3.5)
    assert ledger.verdict() == []


def test_schedules_bear_one_lost_control_host_and_hold_every_kind():
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
