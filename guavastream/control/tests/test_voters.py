"""Losses of disks after voters joined, returned or left."""

import asyncio
import socket

import pytest

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.messages.zmq_transport import ZmqNetwork

# Time after which a control host that is back, or new, counts as in service again.
CATCH_UP_SECONDS = 4.0
# Time within which a leader is elected after a loss.
RECOVERY_SECONDS = 15.0
DOWN_SECONDS = 0.7
NEW_HOST = "10.0.0.9:1"


async def lose_disks(cluster, addresses):
    """End control hosts and start them again with empty disks."""
    for address in addresses:
        cluster.kill(address)
    await asyncio.sleep(DOWN_SECONDS)
    for address in addresses:
        cluster.start(address, first=False, disk=f"empty-{address}")


def run_losses(folder, scenario):
    """Play a scenario, which returns the hosts whose disks are lost then."""

    async def main():
        cluster = await start_control_cluster(folder)
        await asyncio.sleep(CATCH_UP_SECONDS)
        lost = await scenario(cluster)
        await lose_disks(cluster, lost)
        await cluster.until(cluster.leader, RECOVERY_SECONDS)
        assert await cluster.read() == 1

    run_paused(main())


def test_two_disks_are_lost_after_the_first_seed_was_replaced(tmp_path):
    """Guards against a dead seed that keeps a new control host from voting."""

    async def scenario(cluster):
        first, *others = cluster.addresses
        cluster.kill(first)
        await asyncio.sleep(1.0)
        cluster.start(NEW_HOST, first=False)
        await asyncio.sleep(CATCH_UP_SECONDS)
        return others[:2]

    run_losses(tmp_path, scenario)


def test_host_that_is_gone_again_does_not_delay_another_one(tmp_path):
    """Guards against a host that asks to vote and vanishes, and holds up the next."""

    async def scenario(cluster):
        gone, *others = cluster.addresses
        cluster.kill(gone)
        cluster.start("10.0.0.8:1", first=False)
        # It asks after 0.4 s, and is gone before it has answered the leader.
        await asyncio.sleep(0.39)
        cluster.network.cut(cluster.leader(), "10.0.0.8:1", both=False)
        await asyncio.sleep(0.1)
        cluster.kill("10.0.0.8:1")
        cluster.start(NEW_HOST, first=False)
        await asyncio.sleep(CATCH_UP_SECONDS)
        return others[:2]

    run_losses(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["kill", "cut"])
def test_two_disks_are_lost_after_a_removed_host_came_back(tmp_path, fault):
    """Guards against a host that was removed while away and never votes again."""

    async def scenario(cluster):
        leader = cluster.leader()
        *others, away, gone = [a for a in cluster.addresses if a != leader]
        if fault == "kill":
            cluster.kill(away)
        else:
            cluster.network.isolate(away, [*cluster.addresses, NEW_HOST])
        await asyncio.sleep(1.1)
        cluster.kill(gone)
        await asyncio.sleep(1.0)
        cluster.start(NEW_HOST, first=False)
        await asyncio.sleep(3.4)
        cluster.network.heal()
        if fault == "kill":
            cluster.start(away, first=False)
        await asyncio.sleep(CATCH_UP_SECONDS)
        return others

    run_losses(tmp_path, scenario)


def test_disks_are_lost_that_had_just_voted_again(tmp_path):
    """Guards against a lost disk that counts beside its successor for a moment."""

    async def scenario(cluster):
        leader = cluster.leader()
        twice, other = [a for a in cluster.addresses if a != leader][:2]
        cluster.kill(twice)
        joined = cluster.start(twice, first=False, disk="first-empty")
        await cluster.until(lambda: joined.is_voter)
        return [twice, other]

    run_losses(tmp_path, scenario)


@pytest.mark.parametrize("leads", [False, True])
def test_two_disks_are_lost_right_after_a_planned_replacement(tmp_path, leads):
    """Guards against a stopped host that counts as a voter beside its successor."""

    async def scenario(cluster):
        cluster.start(NEW_HOST, first=False)
        await asyncio.sleep(CATCH_UP_SECONDS)
        leader = cluster.leader()
        others = [a for a in cluster.addresses if a != leader]
        await cluster.stop(leader if leads else others.pop())
        return others[:2]

    run_losses(tmp_path, scenario)


def test_host_that_restarts_as_planned_stays_a_voter(tmp_path):
    """Guards against a restart that leaves a voter less than may be lost."""

    async def scenario(cluster):
        leader = cluster.leader()
        restarted, *others = [a for a in cluster.addresses if a != leader]
        await cluster.stop(restarted)
        assert len(cluster.rafts[cluster.leader()].voters) == 5
        cluster.start(restarted, first=False)
        await asyncio.sleep(CATCH_UP_SECONDS)
        return others[:2]

    run_losses(tmp_path, scenario)


@pytest.mark.parametrize(("dark", "seconds"), [(False, 0.45), (True, 0.9)])
def test_two_disks_are_lost_after_a_replaced_host_ended(tmp_path, dark, seconds):
    """Guards against a process that is gone and counts as a voter for long."""

    async def scenario(cluster):
        cluster.start(NEW_HOST, first=False)
        await asyncio.sleep(CATCH_UP_SECONDS)
        leader = cluster.leader()
        replaced, other = [a for a in cluster.addresses if a != leader][:2]
        cluster.kill(replaced, dark=dark)
        await asyncio.sleep(seconds)
        return [leader, other]

    run_losses(tmp_path, scenario)


def test_refused_connection_is_told_from_silence():
    """Guards against a process that is gone and looks like a host that is cut off."""

    async def scenario():
        transport = ZmqNetwork().transport(
            on_reconnect=lambda address: None, on_late=lambda size: None
        )
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{bound.getsockname()[1]}"
            assert await transport.is_refused(address, timeout=1.0)
            bound.listen()
            assert not await transport.is_refused(address, timeout=1.0)
        transport.close()

    asyncio.run(scenario())
