"""Each checker finds a small time line that breaks its promise."""

import pytest

from guavastream.timeline import CHECKERS, Event, check_timeline

SECOND = 1_000_000 << 12


def make_events(*items):
    """Make events a second apart from (kind, fields) pairs."""
    return [
        Event(
            stamp=(number + 1) * SECOND,
            kind=kind,
            host=fields.pop("host", "h"),
            **fields,
        )
        for number, (kind, fields) in enumerate(items)
    ]


def told(request, **detail):
    full = {
        "code": "ok",
        "ran": "answer",
        "whole": True,
        "answered": request,
        "idempotent": True,
    }
    return "caller_told", {"request": request, "detail": full | detail}


def run(kind, request, server, epoch, key="k"):
    return kind, {
        "request": request,
        "server": server,
        "epoch": epoch,
        "shard": 1,
        "key": key,
        "service": "s",
    }


def granted(member, epoch):
    return "granted", {
        "service": "s",
        "detail": {"member": member, "epochs": {"1": epoch}},
    }


def in_force(revision, preset, host="h"):
    return "revision_in_force", {
        "host": host,
        "revision": revision,
        "detail": {"preset": preset},
    }


BROKEN = {
    "sole-owner": [
        (
            "older_epoch",
            [
                run("run_started", "a", "x", 5),
                run("run_started", "b", "y", 6),
                run("ran", "b", "y", 6),
                run("ran", "a", "x", 5),
            ],
        ),
        (
            "two_owners",
            [
                run("run_started", "a", "x", 5),
                run("run_started", "b", "y", 6),
                run("ran", "a", "x", 5),
                run("ran", "b", "y", 6),
            ],
        ),
    ],
    "assignment-survives": [
        ("epoch_reused", [granted(1, 7), granted(2, 7)]),
        (
            "change_lost",
            [
                ("change_accepted", {"revision": 4, "request": "c"}),
                ("history_seen", {"detail": {"changes": {"3": "b"}}}),
            ],
        ),
        (
            "change_replaced",
            [
                ("change_accepted", {"revision": 4, "request": "c"}),
                ("history_seen", {"detail": {"changes": {"4": "d"}}}),
            ],
        ),
    ],
    "whole-answer": [
        ("answer_not_whole", [told("a", whole=False)]),
        ("answer_crossed", [told("a", answered="b")]),
    ],
    "not-run": [
        ("not_run_ran", [run("ran", "a", "x", 5), told("a", ran="not run", code="x")]),
    ],
    "at-most-once": [
        (
            "ran_twice",
            [
                run("ran", "a", "x", 5),
                run("ran", "a", "x", 5),
                told("a", idempotent=False),
            ],
        ),
    ],
    "leaving": [
        (
            "work_after_leaving",
            [("stopping", {}), told("x"), told("y"), told("z"), ("admitted", {})],
        ),
    ],
    "planned-stop": [
        (
            "cut_by_plan",
            [
                run("run_started", "a", "x", 5),
                ("planned_stop", {"server": "x"}),
                told("a", code="answer_lost", ran="outcome unknown"),
            ],
        ),
    ],
    "configuration": [
        ("revision_reverted", [in_force(4, "p"), in_force(3, "p")]),
        (
            "late_in_force",
            [
                (
                    "in_force_everywhere",
                    {"revision": 3, "detail": {"seconds": 2.0, "behind": ["h9"]}},
                )
            ],
        ),
    ],
    "one-preset": [
        ("two_presets", [in_force(4, "p"), in_force(4, "q", host="i")]),
    ],
}
CASES = [(name, code, items) for name, cases in BROKEN.items() for code, items in cases]


def test_every_checker_is_proved_able_to_fail():
    assert set(BROKEN) == set(CHECKERS.names)


@pytest.mark.parametrize(("name", "code", "items"), CASES)
def test_checker_finds_what_breaks_its_promise(name, code, items):
    copies = [(kind, dict(fields)) for kind, fields in items]
    found = check_timeline(make_events(*copies))
    assert [finding.code for finding in found.pop(name)] == [code]
    assert not any(found.values())


def test_sound_time_line_has_no_findings():
    """A move, a frozen server's dropped run and a refused swap break nothing.

    Nor does a request that a fault cut before its server was stopped.
    """
    events = make_events(
        granted(1, 5),
        run("run_started", "a", "x", 5),
        run("ran", "a", "x", 5),
        run("run_started", "f", "x", 5),
        granted(2, 6),
        run("run_started", "b", "y", 6),
        run("ran", "b", "y", 6),
        run("run_dropped", "f", "x", 5),
        told("a"),
        told("b", idempotent=False),
        told("c", idempotent=False, code="overloaded", ran="not run"),
        run("run_started", "d", "z", 7, key="l"),
        ("server_lost", {"server": "x"}),
        told("d", code="connection_broken", ran="outcome unknown"),
        ("planned_stop", {"server": "z"}),
        in_force(1, "p"),
        in_force(2, "q"),
        in_force(2, "q", host="i"),
    )
    assert not any(check_timeline(events).values())
