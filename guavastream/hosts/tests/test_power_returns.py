"""After a loss of all power, every host soon has the fleet state again.

Guards against hosts that refuse all requests, even those without a key, because
they never get their first fleet state: in one run none of 3,025 requests was served
from 15 s after the return of power on. With 1,200 routes the state is large. All
hosts ask for it at once, over slow links, from control hosts that restart one after
the other. A host that gives up an answer its link cannot pass in time, and asks the
next control host, has that answer queued behind the first. Reading long answers in
parts avoids this; without it no host gets a fleet state in this test.
"""

import asyncio
import random

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.fleet import ChangeRoutes, FleetStateCodec
from guavastream.hosts.book_follower import FleetStateFollower
from guavastream.hosts.tests.test_book_follower import (
    NARROW_LINK_RATE,
    make_large_change,
)
from guavastream.replica import TableHolder

HOSTS = 40
# Control hosts restart one after the other within this time.
SPREAD_SECONDS = 0.3
DOWN_SECONDS = 1.0
# A quarter of all requests has to be served 15 s after the return of power. With
# the fleet state by this time, most of that remains for the servers, which start
# cold and without keys.
RECOVERY_SECONDS = 4.0
# Time within which a change is acknowledged under normal conditions.
ACKNOWLEDGED_SECONDS = 4.0


class FollowingHost:
    """The fleet state of one host, received over its own link."""

    def __init__(self, cluster, number):
        self._cluster = cluster
        self._address = f"10.2.0.{number}:1"
        cluster.network.narrow(self._address, NARROW_LINK_RATE)
        self._start()

    def _start(self):
        self.holder = TableHolder(codec=FleetStateCodec())
        follower = FleetStateFollower(
            control=self._cluster.client(self._address),
            holder=self.holder,
            seeds=self._cluster.seeds,
            on_change=lambda before, fleet_state: None,
        )
        self._task = asyncio.ensure_future(follower.run())

    def restart(self):
        """Start again without any state."""
        self._task.cancel()
        self._start()

    @property
    def version(self):
        """Version of the configuration that is in force."""
        return self.holder.table.config.version


async def lose_power(cluster, hosts, rng):
    """Kill all processes at once; restart control hosts one after the other."""
    for address in cluster.addresses:
        cluster.kill(address)
    await asyncio.sleep(DOWN_SECONDS)
    for host in hosts:
        host.restart()
    for address in rng.sample(cluster.addresses, len(cluster.addresses)):
        cluster.start(address, first=False)
        await asyncio.sleep(rng.uniform(0, SPREAD_SECONDS / len(cluster.addresses)))


def test_all_hosts_have_the_fleet_state_soon_after_power_returns(tmp_path):
    async def main():
        cluster = await start_control_cluster(tmp_path)
        await cluster.change(make_large_change())
        hosts = [FollowingHost(cluster, number) for number in range(HOSTS)]
        await cluster.until(lambda: all(host.version == 2 for host in hosts))
        await lose_power(cluster, hosts, random.Random(7))
        await cluster.until(
            lambda: all(host.version == 2 for host in hosts), seconds=RECOVERY_SECONDS
        )

    run_paused(main())


def test_a_change_is_acknowledged_and_in_force_soon_after_power_returns(tmp_path):
    # An operator sends a change while all hosts are receiving the fleet state. The
    # change must not wait for that, and must also reach the hosts that are late.
    async def main():
        cluster = await start_control_cluster(tmp_path)
        await cluster.change(make_large_change())
        hosts = [FollowingHost(cluster, number) for number in range(HOSTS)]
        await cluster.until(lambda: all(host.version == 2 for host in hosts))
        await lose_power(cluster, hosts, random.Random(11))
        change = ChangeRoutes(base=2, version=3, digest=b"third", whole=False)
        async with asyncio.timeout(ACKNOWLEDGED_SECONDS):
            await cluster.change(change)
        await cluster.until(
            lambda: all(host.version == 3 for host in hosts), seconds=RECOVERY_SECONDS
        )

    run_paused(main())
