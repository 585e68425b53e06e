"""Request rates by key, as used for planning moves of keys."""

import random

import pytest

from guavastream.control.loads import AREAS, KeyLoads

REPORT_SECONDS = 0.25


class LoadReports:
    """Sends load reports of one service, on a simulated clock."""

    def __init__(self, seed=1):
        self.now = 0.0
        self.loads = KeyLoads(clock=lambda: self.now)
        self._rng = random.Random(seed)

    def send_for(self, seconds, rates):
        """Report requests at the given rates by key, and return the loads after."""
        end = self.now + seconds
        while self.now < end:
            self.now += REPORT_SECONDS
            keys = [
                (key, self._count(rate * REPORT_SECONDS)) for key, rate in rates.items()
            ]
            self.loads.note([item for item in keys if item[1]], 0)
        return self.loads.current_loads()

    def _count(self, mean):
        return int(mean + self._rng.random())


def test_rate_of_a_busy_key_is_measured():
    reports = LoadReports()
    found = reports.send_for(8.0, {7: 20.0})
    assert found.busy[7] == pytest.approx(20.0, rel=0.5)


def test_first_reports_count_in_full():
    # A newly elected leader has no earlier reports. If it averaged over the full
    # window from the start, it would take all servers to be idle for seconds, while
    # some refused a third of their requests.
    reports = LoadReports()
    rates = {7: 40.0} | dict.fromkeys(range(1000, 4000, 10), 0.3)
    found = reports.send_for(0.5, rates)
    assert found.busy[7] == pytest.approx(40.0, rel=0.3)
    assert sum(found.areas) == pytest.approx(90.0, rel=0.4)


def test_newly_hot_key_is_detected_within_half_a_second():
    # The key must be moved to a server of its own before most of its requests have
    # been refused.
    reports = LoadReports()
    reports.send_for(6.0, {7: 4.0})
    assert reports.send_for(0.5, {7: 150.0}).busy[7] > 60.0


def test_rate_of_a_key_falls_soon_after_its_requests_stop():
    reports = LoadReports()
    reports.send_for(5.0, {7: 150.0})
    assert reports.send_for(1.5, {7: 2.0}).busy.get(7, 0.0) < 30.0


def test_rare_keys_are_counted_by_area():
    reports = LoadReports()
    rates = dict.fromkeys(range(0, 2560, 10), 0.3)
    found = reports.send_for(20.0, rates)
    assert sum(found.areas[:10]) == pytest.approx(0.3 * 256, rel=0.3)
    assert sum(found.areas[10:]) == 0.0 and len(found.areas) == AREAS


def test_requests_reported_without_a_key_are_spread_evenly():
    loads = KeyLoads(clock=lambda: 0.0)
    loads.note((), 512)
    areas = loads.current_loads().areas
    assert min(areas) == max(areas) > 0


@pytest.mark.parametrize("reports_meanwhile", [False, True])
def test_rates_are_measured_after_hours_without_a_reader(reports_meanwhile):
    """Guards against a weight that overflows and ends a leader after six minutes."""
    reports = LoadReports()
    reports.send_for(8.0, {7: 20.0})
    for _ in range(120):
        reports.now += 60.0
        if reports_meanwhile:
            reports.loads.note([(9, 1)], 3)
    found = reports.send_for(8.0, {7: 20.0})
    assert found.busy[7] == pytest.approx(20.0, rel=0.5)
    assert 9 not in found.busy
