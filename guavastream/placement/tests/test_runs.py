"""Runs of keys under hot keys, slow servers, joins and leaves."""

import random

import pytest

from guavastream.fleet import KEYS, Run, cut_runs
from guavastream.kernel import replace
from guavastream.placement import RunView, plan_runs

FREE = (Run(first=0, last=KEYS - 1),)


def carry_out(runs, plan):
    def take(run, row):
        return replace(run, owner=row[2])

    return cut_runs(runs, [*plan.grants, *plan.moves], take)


def use(runs, capacity, load, rest=0.0):
    found = dict.fromkeys(capacity, 0.0)
    for run in runs:
        keys = sum(v for k, v in load.items() if run.first <= k <= run.last)
        even = rest * (run.last - run.first + 1) / KEYS
        if run.owner in found:
            found[run.owner] += (keys + even) / capacity[run.owner]
    return found


def settle(runs, capacity, load, rest=0.0, rounds=6):
    """Carry out some plans; return the runs and the share of keys that moved."""
    moved = 0
    for _ in range(rounds):
        view = RunView(runs=runs, capacity=capacity, load=load, rest=rest)
        plan = plan_runs(view)
        moved += sum(last - first + 1 for first, last, _ in plan.moves)
        runs = carry_out(runs, plan)
    return runs, moved / KEYS


def imbalance(runs, capacity, load, rest=0.0):
    found = use(runs, capacity, load, rest)
    mean = (sum(load.values()) + rest) / sum(capacity.values())
    return max(found.values()) / mean


def skewed(seed, total=300.0, keys=600):
    # Busy keys lie close together, as those of one crew base do.
    rng = random.Random(seed)
    load = {}
    for rank in range(1, keys + 1):
        key = min(KEYS - 1, int(abs(rng.gauss(0, 3000))))
        load[key] = load.get(key, 0.0) + 1 / rank**0.84
    scale = total / sum(load.values())
    return {key: value * scale for key, value in load.items()}


CAPACITY = {"a": 56.0, "b": 112.0, "c": 112.0, "d": 112.0, "e": 168.0}


@pytest.mark.parametrize("seed", range(5))
def test_busy_keys_that_lie_close_are_spread_by_speed(seed):
    load = skewed(seed)
    runs, _ = settle(FREE, CAPACITY, {})
    before = imbalance(runs, CAPACITY, load)
    runs, moved = settle(runs, CAPACITY, load)
    assert imbalance(runs, CAPACITY, load) < min(1.35, before)
    assert moved < 0.4


@pytest.mark.parametrize("count", [60, 200])
def test_a_hot_stretch_is_spread_within_a_few_plans(count):
    # Two hundred keys in a row suddenly get two fifths of all requests.
    load = skewed(3)
    runs, _ = settle(*settle(FREE, CAPACITY, {})[:1], CAPACITY, load)
    hot = {k: v * 0.6 for k, v in load.items()}
    for key in range(30000, 30000 + count):
        hot[key] = hot.get(key, 0.0) + 120.0 / count
    assert imbalance(runs, CAPACITY, hot) > 1.5
    runs, moved = settle(runs, CAPACITY, hot, rounds=3)
    assert imbalance(runs, CAPACITY, hot) < 1.4
    assert moved < 0.3


def test_one_key_that_is_too_hot_ends_up_nearly_alone():
    load = {40000: 100.0} | dict.fromkeys(range(0, 60000, 300), 1.0)
    runs, _ = settle(FREE, CAPACITY, load, rounds=12)
    found = use(runs, CAPACITY, load)
    owner = next(run.owner for run in runs if run.first <= 40000 <= run.last)
    others = found[owner] * CAPACITY[owner] - 100.0
    assert others < 0.5 * 100.0


def test_a_balanced_service_is_left_alone():
    rng = random.Random(1)
    runs, _ = settle(FREE, CAPACITY, {}, rest=300.0)
    load = {rng.randrange(KEYS): 1.0 for _ in range(100)}
    runs, _ = settle(runs, CAPACITY, load, rest=200.0)
    _, moved = settle(runs, CAPACITY, load, rest=200.0, rounds=3)
    assert moved == 0


def test_a_new_server_gets_keys_and_a_leaving_one_loses_all():
    load = skewed(7)
    four = {name: CAPACITY[name] for name in "abcd"}
    runs, _ = settle(FREE, four, load)
    runs, _ = settle(runs, CAPACITY, load)
    assert use(runs, CAPACITY, load)["e"] > 0
    left = {name: CAPACITY[name] for name in "bcde"}
    plan = plan_runs(RunView(runs=runs, capacity=left, load=load))
    assert {row[:2] for row in plan.moves} >= {
        (run.first, run.last) for run in runs if run.owner == "a"
    }
    runs = carry_out(runs, plan)
    assert all(run.owner in left for run in runs)


def test_rows_that_move_are_not_planned_again():
    load = skewed(2)
    runs, _ = settle(FREE, CAPACITY, {})
    plan = plan_runs(RunView(runs=runs, capacity=CAPACITY, load=load))
    moving = {row[:2]: row[2] for row in plan.moves}
    again = plan_runs(RunView(runs=runs, capacity=CAPACITY, load=load, moving=moving))
    for first, last, _ in again.moves:
        assert all(last < a or b < first for a, b in moving)


def test_no_server_gets_more_rows_than_fit_an_answer():
    runs = FREE
    rng = random.Random(4)
    for seed in range(30):
        load = skewed(seed)
        shift = rng.randrange(KEYS)
        load = {(key + shift) % KEYS: value for key, value in load.items()}
        runs, _ = settle(runs, CAPACITY, load, rounds=2)
    counts = {n: sum(run.owner == n for run in runs) for n in CAPACITY}
    assert max(counts.values()) <= 90


def test_a_key_beyond_its_server_moves_to_the_fastest_one():
    # One key gets two fifths of all requests, three times what its server can
    # do: two in three of them would be refused, while the fastest could serve
    # nearly all. What else the fastest had makes room.
    load = skewed(5)
    runs, _ = settle(*settle(FREE, CAPACITY, {})[:1], CAPACITY, load)
    slow = next(run for run in runs if run.owner == "a")
    hot = {key: value * 0.6 for key, value in load.items()} | {slow.first: 150.0}
    runs, moved = settle(runs, CAPACITY, hot, rounds=6)
    owner = next(run.owner for run in runs if run.first <= slow.first <= run.last)
    assert owner == "e"
    assert use(runs, CAPACITY, hot)["e"] < 1.05
    assert moved < 0.5


def test_rare_keys_count_where_they_lie():
    # Most requests go to keys that are rare by themselves and lie close
    # together. Counted as spread evenly, the servers of that stretch looked
    # idle, and refused a third of their requests.
    areas = tuple(250.0 / 2 ** (n / 16) / 23.6 for n in range(256))
    runs, _ = settle(FREE, CAPACITY, {})
    for _ in range(8):
        plan = plan_runs(RunView(runs=runs, capacity=CAPACITY, areas=areas))
        runs = carry_out(runs, plan)
    found = dict.fromkeys(CAPACITY, 0.0)
    for run in runs:
        for area in range(256):
            low, high = max(run.first, area * 256), min(run.last + 1, area * 256 + 256)
            if low < high:
                found[run.owner] += areas[area] * (high - low) / 256
    shares = {name: found[name] / CAPACITY[name] for name in CAPACITY}
    mean = sum(areas) / sum(CAPACITY.values())
    assert max(shares.values()) < 1.3 * mean
