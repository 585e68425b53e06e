"""Short soak tests of real processes, with seeds that exposed faults."""

import pytest

from guavastream.platform.soak import run_soak

# Guards against a host that does not stop because a task swallows its cancellation, and
# against two owners of the same keys when a server returns while it is being removed.
STOPPED_HOSTS_SEED = 3


@pytest.mark.parametrize("seed", [STOPPED_HOSTS_SEED])
def test_no_invariant_is_violated(seed, tmp_path):
    violations, counts, faults = run_soak(seed=seed, seconds=12, folder=tmp_path)
    assert violations == [] and faults > 8 and counts[200] > 50


def test_requests_that_crash_their_servers_are_quarantined(tmp_path):
    """Guards against processes that send such a request to one server after another."""
    violations, counts, _ = run_soak(
        seed=1, seconds=12, folder=tmp_path, calm=True, harmful=True
    )
    assert violations == [] and counts[200] > 50 and counts[503] >= 10


def test_requests_on_reused_connections_to_a_frozen_host_are_answered(tmp_path):
    """Guards against a host that closes a connection as idle with a request on it."""
    violations, counts, _ = run_soak(
        seed=1, seconds=12, folder=tmp_path, returning=True
    )
    assert violations == [] and counts[200] > 50


def test_evacuated_zones_get_no_requests_and_cold_servers_are_not_pressed(tmp_path):
    """Guards against hosts that send to servers which must not get the request."""
    violations, counts, _ = run_soak(
        seed=1, seconds=14, folder=tmp_path, evacuating=True
    )
    assert violations == [] and counts[200] > 50


def test_servers_get_what_they_take_by_their_own_word(tmp_path):
    """Guards against limits and departures in answers that hosts do not keep to."""
    violations, counts, _ = run_soak(seed=1, seconds=14, folder=tmp_path, limiting=True)
    assert violations == [] and counts[200] > 50


def test_pipelined_requests_are_answered_in_order_under_faults(tmp_path):
    """Guards against answers of other requests, and unsafe runs behind a close."""
    violations, counts, _ = run_soak(
        seed=1, seconds=12, folder=tmp_path, pipelining=True
    )
    assert violations == [] and counts[200] > 500


def test_requests_follow_routes_that_change_while_hosts_are_frozen(tmp_path):
    """Guards against hosts that decide by an old configuration once they wake."""
    violations, counts, _ = run_soak(
        seed=1, seconds=14, folder=tmp_path, rerouting=True
    )
    assert violations == [] and counts[200] > 50


def test_servers_that_leave_get_nothing_after_the_drain(tmp_path):
    """Guards against requests that are decided in time and sent later."""
    violations, counts, _ = run_soak(
        seed=1, seconds=14, folder=tmp_path, departing=True
    )
    assert violations == [] and counts[200] > 50


def test_large_bodies_run_whole_while_answers_come_twice(tmp_path):
    """Guards against bodies with holes, and answers to other sendings of a request."""
    violations, counts, _ = run_soak(
        seed=1, seconds=12, folder=tmp_path, uploading=True, repeating=True
    )
    assert violations == [] and counts[200] > 50
