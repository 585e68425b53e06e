"""Speeds of servers, learned from the work that they report."""

import pytest

from guavastream.control.speeds import ServerSpeeds
from guavastream.control.tests.load_rig import SimulatedService

KINDS = {"short": (0.2, 0.0), "long": (0.8, 0.0), "calling": (0.2, 0.3)}


def even_rates(ids, kind, rate):
    return {(id, kind): rate for id in ids}


@pytest.mark.parametrize("seed", range(4))
def test_speeds_of_uneven_servers_are_learned(seed):
    # Guards against a slow server that gets as many keys as a fast one.
    actual = {"a": 0.55, "b": 1.2, "c": 1.2, "d": 1.2}
    service = SimulatedService(actual, KINDS, seed=seed)
    service.run_for(8.0, even_rates(actual, "short", 8.0))
    found = service.found()
    for fast in "bcd":
        assert found[fast] / found["a"] == pytest.approx(1.2 / 0.55, rel=0.4)


@pytest.mark.parametrize("kind", ["long", "calling"])
@pytest.mark.parametrize("seed", range(4))
def test_a_server_with_long_requests_or_calls_is_not_slow(seed, kind):
    # Guards against moving keys off a server that got longer requests than others,
    # or that waits for another service.
    ids = "abcd"
    service = SimulatedService(dict.fromkeys(ids, 1.0), KINDS, seed=seed)
    rates = even_rates(ids, "short", 6.0) | even_rates(ids, kind, 0.5)
    service.run_for(6.0, rates)
    rates["a", "short"], rates["a", kind] = 1.0, 4.0
    service.run_for(4.0, rates)
    assert service.found()["a"] == pytest.approx(1.0, rel=0.35)


@pytest.mark.parametrize("seed", range(8))
def test_a_server_that_slows_down_five_times_is_found_within_a_second(seed):
    # Guards against a slow server that keeps its keys until its queue is full.
    ids = [f"s{number}" for number in range(36)]
    service = SimulatedService(dict.fromkeys(ids, 1.0), KINDS, seed=seed)
    rates = even_rates(ids, "short", 14.0)
    service.run_for(6.0, rates)
    service.servers["s3"].speed = 0.2
    service.run_for(1.0, rates)
    found = service.found()
    assert found["s3"] < 0.5
    assert sum(speed < 0.5 for speed in found.values()) == 1


def test_a_server_that_recovers_is_found_within_two_seconds():
    ids = [f"s{number}" for number in range(8)]
    service = SimulatedService(dict.fromkeys(ids, 1.0), KINDS)
    rates = even_rates(ids, "short", 12.0)
    service.servers["s3"].speed = 0.2
    service.run_for(6.0, rates)
    assert service.found()["s3"] < 0.35
    service.servers["s3"].speed = 1.0
    service.run_for(2.0, rates)
    assert service.found()["s3"] > 0.6


def test_a_server_without_answers_has_almost_no_speed():
    # Guards against the estimate waiting for requests that are never answered.
    now = 0.0
    speeds = ServerSpeeds(clock=lambda: now)
    for _ in range(40):
        now += 0.25
        for id in "abc":
            speeds.note(id, (("short", 4, 0.8, 0.0),))
    for _ in range(4):
        now += 0.25
        speeds.note("a", (("short", 0, 1.25, 0.0),))
        for id in "bc":
            speeds.note(id, (("short", 4, 0.8, 0.0),))
    assert speeds.speeds("abc")["a"].speed < 0.3


def test_a_server_without_reports_has_the_median_speed():
    service = SimulatedService({"a": 0.5, "b": 1.0, "c": 1.0}, KINDS)
    service.run_for(5.0, even_rates("abc", "short", 8.0))
    found = service.server_speeds.speeds(["a", "b", "c", "new"])
    assert found["new"].speed == sorted(found[id].speed for id in "abc")[1]


def test_an_idle_server_keeps_its_learned_speed():
    service = SimulatedService({"a": 0.5, "b": 1.0, "c": 1.0}, KINDS)
    rates = even_rates("abc", "short", 8.0)
    service.run_for(6.0, rates)
    before = service.found()["a"]
    del rates["a", "short"]
    service.run_for(20.0, rates)
    assert service.found()["a"] == pytest.approx(before, rel=0.3)


@pytest.mark.parametrize("count", [4, 36])
@pytest.mark.parametrize("seed", range(4))
def test_even_servers_are_never_taken_for_uneven(seed, count):
    # Guards against planning by learned speeds where nothing requires it.
    ids = [f"s{number}" for number in range(count)]
    service = SimulatedService(dict.fromkeys(ids, 1.0), KINDS, seed=seed)
    rates = even_rates(ids, "short", 9.0) | even_rates(ids[::3], "long", 1.5)
    for second in range(30):
        if second == 20:
            # One server with a fault does not make its service uneven.
            service.servers["s0"].speed = 0.2 if count > 4 else 1.0
        service.run_for(1.0, rates)
        assert not service.server_speeds.update_uneven(ids)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("pattern", [(0.55, 1.2, 1.2, 1.2), (0.6, 1.0, 1.4)])
def test_uneven_servers_are_recognized_within_sixteen_seconds(pattern, seed):
    speeds = {f"s{number}": pattern[number % len(pattern)] for number in range(36)}
    service = SimulatedService(speeds, KINDS, seed=seed)
    rates = {(id, "short"): 10.0 * speed for id, speed in speeds.items()}
    for _ in range(16):
        service.run_for(1.0, rates)
        uneven = service.server_speeds.update_uneven(list(speeds))
    assert uneven
