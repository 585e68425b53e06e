"""Requests by key, as the planner of moves sees them."""

import random

import pytest

from guavastream.control.loads import AREAS, KeyLoads

REPORT = 0.25


class Reports:
    """Reports of a service's requests, on a clock of their own."""

    def __init__(self, seed=1):
        self.now = 0.0
        self.loads = KeyLoads(clock=lambda: self.now)
        self._rng = random.Random(seed)

    def play(self, seconds, rates):
        """Report requests at some rates a key for a while."""
        end = self.now + seconds
        while self.now < end:
            self.now += REPORT
            keys = [(key, self._count(rate * REPORT)) for key, rate in rates.items()]
            self.loads.note([item for item in keys if item[1]], 0)
        return self.loads.read()

    def _count(self, mean):
        return int(mean + self._rng.random())


def test_a_busy_key_is_found_and_its_rate_is_steady():
    reports = Reports()
    found = reports.play(8.0, {7: 20.0})
    assert found.busy[7] == pytest.approx(20.0, rel=0.5)


def test_the_first_reports_count_in_full():
    # A leader that has just been elected knows nothing. It took all servers
    # to be idle for seconds, while some refused a third of their requests.
    reports = Reports()
    rates = {7: 40.0} | dict.fromkeys(range(1000, 4000, 10), 0.3)
    found = reports.play(0.5, rates)
    assert found.busy[7] == pytest.approx(40.0, rel=0.3)
    assert sum(found.areas) == pytest.approx(90.0, rel=0.4)


def test_a_key_that_gets_hot_shows_within_half_a_second():
    # It has a server of its own before most of its callers have been refused.
    reports = Reports()
    reports.play(6.0, {7: 4.0})
    assert reports.play(0.5, {7: 150.0}).busy[7] > 60.0


def test_a_key_that_has_cooled_down_is_soon_one_of_many():
    reports = Reports()
    reports.play(5.0, {7: 150.0})
    assert reports.play(1.5, {7: 2.0}).busy.get(7, 0.0) < 30.0


def test_rare_keys_are_counted_where_they_lie():
    reports = Reports()
    rates = dict.fromkeys(range(0, 2560, 10), 0.3)
    found = reports.play(20.0, rates)
    assert sum(found.areas[:10]) == pytest.approx(0.3 * 256, rel=0.3)
    assert sum(found.areas[10:]) == 0.0 and len(found.areas) == AREAS


def test_requests_that_were_not_told_by_key_are_spread_evenly():
    loads = KeyLoads(clock=lambda: 0.0)
    loads.note((), 512)
    areas = loads.read().areas
    assert min(areas) == max(areas) > 0
