"""Orders to evacuate availability zones, given to a group of control hosts."""

import asyncio
import itertools

import pytest

from guavastream.control.tests.test_fleet import (
    ORDER_RESEND_SECONDS,
    start_control_cluster,
)
from guavastream.emulator import run_paused
from guavastream.exception import NotReady
from guavastream.fleet import SetEvacuation, SetEvacuationResult

BEGIN = SetEvacuation(zone="z", active=True)
END = SetEvacuation(zone="z", active=False)


async def submit(cluster, order, timeout=0.5):
    return await cluster.client().submit(
        order, timeout=timeout, result=SetEvacuationResult
    )


async def submit_until_acknowledged(cluster, order):
    """Resend an order, each time to another control host, as operators do."""
    for address in itertools.cycle(cluster.addresses):
        client = cluster.client()
        client.prefer(address)
        try:
            return await client.submit(order, timeout=0.5, result=SetEvacuationResult)
        except NotReady:
            continue


def is_evacuated(cluster):
    """Whether the leader's fleet state says that the zone is evacuated."""
    leader = cluster.rafts[cluster.leader()]
    return leader._machine.table.is_evacuated("z")


def run_scenario(folder, scenario):
    async def main():
        await scenario(await start_control_cluster(folder))

    run_paused(main())


def test_an_order_is_acknowledged_again_after_the_leader_was_lost(tmp_path):
    # The acknowledgement is lost with the leader; the operator asks another host.
    async def scenario(cluster):
        await submit(cluster, BEGIN)
        cluster.kill(cluster.leader())
        assert (await submit_until_acknowledged(cluster, BEGIN)).done
        assert is_evacuated(cluster)

    run_scenario(tmp_path, scenario)


def test_an_acknowledged_evacuation_survives_the_loss_of_all_control_hosts(tmp_path):
    # All processes are killed at the moment of the acknowledgement.
    async def scenario(cluster):
        await submit(cluster, BEGIN)
        for address in cluster.addresses:
            cluster.kill(address)
        for address in cluster.addresses:
            cluster.start(address, first=False)
        await cluster.wait_for_voters()
        await cluster.until(lambda: cluster.leader() and is_evacuated(cluster))

    run_scenario(tmp_path, scenario)


def test_a_late_copy_of_an_overtaken_order_changes_nothing(tmp_path):
    # The operator begins and ends an evacuation; a copy of the first order arrives
    # late. It must not evacuate the zone again.
    async def scenario(cluster):
        await submit(cluster, BEGIN)
        await asyncio.sleep(1.0)
        await submit(cluster, END)
        with pytest.raises(NotReady):
            await submit(cluster, BEGIN)
        assert not is_evacuated(cluster)
        # Once nobody resends the first order any more, an order is a new one.
        await asyncio.sleep(ORDER_RESEND_SECONDS)
        assert (await submit(cluster, BEGIN)).done
        assert is_evacuated(cluster)

    run_scenario(tmp_path, scenario)


def test_a_late_copy_of_an_end_does_not_end_a_later_evacuation(tmp_path):
    async def scenario(cluster):
        await submit(cluster, BEGIN)
        await asyncio.sleep(ORDER_RESEND_SECONDS - 1.0)
        await submit(cluster, END)
        await asyncio.sleep(1.0)
        await submit(cluster, BEGIN)
        with pytest.raises(NotReady):
            await submit(cluster, END)
        assert is_evacuated(cluster)

    run_scenario(tmp_path, scenario)


def test_a_new_leader_does_not_take_a_late_copy_for_a_new_order(tmp_path):
    # The leader that knew when the orders were committed is lost.
    async def scenario(cluster):
        await submit(cluster, BEGIN)
        await submit(cluster, END)
        cluster.kill(cluster.leader())
        await cluster.until(lambda: cluster.leader())
        with pytest.raises(NotReady):
            await submit(cluster, BEGIN, timeout=1.0)
        assert not is_evacuated(cluster)

    run_scenario(tmp_path, scenario)


def test_two_zones_are_evacuated_independently(tmp_path):
    async def scenario(cluster):
        await submit(cluster, BEGIN)
        await submit(cluster, SetEvacuation(zone="y", active=True))
        await submit(cluster, END)
        table = cluster.rafts[cluster.leader()]._machine.table
        assert table.is_evacuated("y") and not table.is_evacuated("z")

    run_scenario(tmp_path, scenario)
