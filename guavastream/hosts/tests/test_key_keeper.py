"""Keys granted by calls have at most one holder, even if calls are lost or late."""

import asyncio

import pytest

from guavastream.hosts.tests.orders import (
    HOLD_TIMING,
    SAMPLED_KEYS,
    CallFaults,
    RandomFaults,
    run_key_fleet,
)

LOSSY_CALLS = CallFaults(late=0.2, lost=0.05, unanswered=0.05)


async def wait_until_released(fleet, host):
    """Wait until the server of a host holds no key and other servers hold all."""

    def has_released():
        holds = any(host.server.holds(key) for key in SAMPLED_KEYS)
        return not holds and fleet.all_keys_held()

    await fleet.cluster.until(has_released)


def test_all_servers_hold_some_keys(tmp_path):
    async def scenario(fleet):
        for host in fleet.hosts:
            assert any(host.server.holds(key) for key in SAMPLED_KEYS)

    run_key_fleet(tmp_path, scenario)


def test_keys_of_a_stopping_server_are_moved_without_a_long_gap(tmp_path):
    # Callers wait while a key has no owner. Between the release and the next grant
    # there is one commit.
    async def scenario(fleet):
        host = fleet.hosts[0]
        host.leaving = True
        await wait_until_released(fleet, host)

    assert run_key_fleet(tmp_path, scenario).longest_gap < 0.1


def test_keys_are_moved_once_the_running_requests_have_ended(tmp_path):
    # The server answers the release when no request runs on the keys any more.
    async def scenario(fleet):
        host = fleet.hosts[0]
        host.server.work_seconds = 0.4
        host.leaving = True
        await wait_until_released(fleet, host)

    assert 0.4 < run_key_fleet(tmp_path, scenario).longest_gap < 0.5


def test_keys_of_a_crashed_server_are_granted_within_a_second(tmp_path):
    # The address of the server refuses the process's calls, which tells the leader.
    async def scenario(fleet):
        fleet.hosts[0].crash_server()
        await fleet.cluster.until(fleet.all_keys_held)
        await asyncio.sleep(0.05)

    # The next renewal, due after at most 1.2 s, detects the crash.
    assert run_key_fleet(tmp_path, scenario).longest_gap < 1.3


def test_keys_of_an_unresponsive_server_are_moved_when_they_expire(tmp_path):
    # The server answers nothing, but its host is healthy. If the host went on to
    # renew the keys, requests for them would never be served again.
    async def scenario(fleet):
        server = fleet.hosts[0].server
        fleet.key_sender.unresponsive.add(server.id)
        server.held = {}
        await fleet.cluster.until(fleet.all_keys_held)
        await asyncio.sleep(0.05)

    assert (
        run_key_fleet(tmp_path, scenario).longest_gap
        < HOLD_TIMING.grantor_duration + 2.0
    )


def test_a_running_server_keeps_its_keys_when_its_process_restarts(tmp_path):
    # The new process has no state and learns the keys from the leader. It makes
    # the same grants again before the old ones expire.
    async def scenario(fleet):
        host = fleet.hosts[0]
        held = [key for key in SAMPLED_KEYS if host.server.holds(key)]
        await host.kill_process()
        await asyncio.sleep(0.5)
        host.start_process()
        await asyncio.sleep(4.0)
        assert all(host.server.holds(key) for key in held)

    assert run_key_fleet(tmp_path, scenario).longest_gap < 0.05


def test_keys_are_held_through_the_loss_of_a_leader(tmp_path):
    # The process renews grants for as long as its last permission lasts.
    async def scenario(fleet):
        for _ in range(3):
            lost = fleet.cluster.leader()
            fleet.cluster.kill(lost)
            await fleet.cluster.until(fleet.cluster.leader)
            await asyncio.sleep(1.0)
            fleet.cluster.start(lost, first=False)
            await asyncio.sleep(2.0)

    assert run_key_fleet(tmp_path, scenario).longest_gap < 0.05


def test_keys_are_spread_evenly_soon_after_a_loss_of_all_power(tmp_path):
    # Hosts restart one after the other, with new incarnations of their servers.
    # Keys went to the first server to return and to incarnations that had ended,
    # and stayed there for the 2 s in which new processes await late grants.
    async def scenario(fleet):
        for address in list(fleet.cluster.rafts):
            fleet.cluster.kill(address)
        for host in fleet.hosts:
            await host.kill_process()
            host.crash_server()
        await asyncio.sleep(0.8)
        for address in fleet.cluster.addresses:
            fleet.cluster.start(address, first=False)
        for host in fleet.hosts:
            host.start_process()
            host.start_server()
            await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        await fleet.cluster.until(fleet.all_keys_held)
        assert asyncio.get_running_loop().time() - began < 2.0
        await asyncio.sleep(0.8)
        counts = [
            sum(host.server.holds(key) for key in SAMPLED_KEYS) for host in fleet.hosts
        ]
        assert min(counts) > len(SAMPLED_KEYS) / len(counts) / 2

    run_key_fleet(tmp_path, scenario)


def test_keys_of_a_lost_host_are_moved_when_they_expire(tmp_path):
    # Process and server become unreachable together; the server may still work.
    async def scenario(fleet):
        host = fleet.hosts[0]
        host.heartbeat_task.cancel()
        await host.kill_process()
        await wait_until_released(fleet, host)

    assert run_key_fleet(tmp_path, scenario).longest_gap < HOLD_TIMING.grantor_duration


def test_a_late_renewal_does_not_restore_keys_that_were_moved(tmp_path):
    # A renewal gets no answer and is delayed at the server. The keys are released
    # successfully and granted to another server. If the late renewal then took
    # effect, two servers would hold the same keys.
    async def scenario(fleet):
        host = fleet.hosts[0]
        fleet.faults.late = 1.0
        await asyncio.sleep(1.5)
        fleet.faults.late = 0.0
        host.leaving = True
        await wait_until_released(fleet, host)
        await asyncio.sleep(3.0)

    run_key_fleet(tmp_path, scenario, late=(0.1, 2.0))


def test_a_new_process_awaits_late_renewals_of_its_predecessor(tmp_path):
    # As above, but the process that sent the late renewals was killed. Its
    # successor releases the keys at once and does not know of the renewals.
    async def scenario(fleet):
        host = fleet.hosts[0]
        fleet.faults.late = 1.0
        await asyncio.sleep(0.9)
        await host.kill_process()
        fleet.faults.late = 0.0
        host.leaving = True
        await asyncio.sleep(0.4)
        host.start_process()
        await wait_until_released(fleet, host)
        await asyncio.sleep(3.0)

    run_key_fleet(tmp_path, scenario, late=(0.5, 2.0))


def run_with_random_faults(folder, seed, *, faults=LOSSY_CALLS, count=10):
    async def scenario(fleet):
        await RandomFaults(fleet).inject(count)
        fleet.cluster.network.heal()
        await fleet.cluster.until(fleet.all_keys_held, seconds=20.0)

    return run_key_fleet(
        folder,
        scenario,
        seed=seed,
        faults=faults,
        lost=0.01,
        doubled=0.02,
        slowest=0.02,
    )


# Each safeguard is needed for some of these seeds: 1, 5 and 6 fail if late grants
# are not taken into account; 8, 9 and 14 if a release does not wait for a grant in
# flight; 16 and 40 if a fencing token is reused after a release; 4 and 10 if the
# permission does not expire; all of them if a release counts immediately.
@pytest.mark.parametrize("unheard_seconds", [0.05, 0.3, 0.8, 2.0])
def test_keys_of_a_server_that_restarts_under_its_name_have_one_holder(
    tmp_path, unheard_seconds
):
    """Guards against keys granted elsewhere that calls have granted to its new life."""

    async def scenario(fleet):
        host = fleet.hosts[0]
        host.restart_server(unheard_seconds=unheard_seconds)
        await asyncio.sleep(unheard_seconds + 8.0)
        assert fleet.all_keys_held()
        assert any(host.server.holds(key) for key in SAMPLED_KEYS)

    run_key_fleet(tmp_path, scenario, named=True)


def test_next_life_gets_no_calls_while_the_end_of_the_one_before_is_reported(tmp_path):
    """Guards against keys that a call grants to a new life and the leader to others."""

    async def scenario(fleet):
        host = fleet.hosts[0]
        ended = host.server.id
        host.restart_server(unheard_seconds=4.0)
        host.note_end(ended, report_after=1.5)
        await asyncio.sleep(12.0)
        assert fleet.all_keys_held()
        assert any(host.server.holds(key) for key in SAMPLED_KEYS)

    run_key_fleet(tmp_path, scenario, named=True)


@pytest.mark.parametrize("seed", [1, 4, 5, 6, 8, 9, 10, 14, 16, 40])
def test_keys_have_one_holder_under_random_faults_and_lost_calls(tmp_path, seed):
    # Guards against two servers holding one key. Calls get no answer and are
    # carried out later, processes restart beside running servers, leaders are
    # lost, hosts are isolated, servers crash and stop, and keys are moved.
    run_with_random_faults(tmp_path, seed)
