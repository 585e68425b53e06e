"""Hosts that cannot reach any control host, but can reach other hosts."""

import asyncio
import random

import pytest

from guavastream.control.tests.test_fleet import (
    HEARTBEAT_SECONDS,
    HOLD_TIMING,
    start_control_cluster,
)
from guavastream.emulator import run_paused
from guavastream.exception import GuavastreamError, PeerFailure
from guavastream.fleet import FleetStateCodec, Heartbeat
from guavastream.hosts.book_follower import FleetStateFollower
from guavastream.leases import ControlClient, Watch
from guavastream.messages import (
    RelayedCall,
    RelayingTransport,
    RelayService,
    encode_message,
)
from guavastream.replica import TableHolder

CUT, OTHER, THIRD = "10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"
HOSTS = (CUT, OTHER, THIRD)


class RelayingHost:
    """A process that relays calls, and the heartbeats of its server."""

    def __init__(self, cluster, address, *, relays=HOSTS):
        loop = asyncio.get_running_loop()
        self.address = address
        self.network = cluster.network
        self.answered = []
        self.relayed = 0
        others = [other for other in relays if other != address]
        self.transport = RelayingTransport(
            direct=cluster.network.transport(address),
            relays=lambda: others,
            probes=(Watch,),
            clock=loop.time,
            rng=random.Random(address),
        )
        self.control = ControlClient(
            transport=self.transport, addresses=cluster.addresses
        )
        self.relay_desk = RelayService(
            transport=self.transport, targets=lambda: cluster.addresses
        )
        cluster.network.serve(address, self._serve)
        self.holder = TableHolder(codec=FleetStateCodec())
        follower = FleetStateFollower(
            control=self.control,
            holder=self.holder,
            seeds=cluster.seeds,
            on_change=lambda before, fleet_state: None,
        )
        self.tasks = [
            asyncio.ensure_future(follower.run()),
            asyncio.ensure_future(self._beat()),
        ]

    async def _serve(self, request):
        self.relayed += 1
        return await self.relay_desk.handle(request)

    async def _beat(self):
        loop = asyncio.get_running_loop()
        holds = ()
        for seq in range(1, 10**6):
            heartbeat = Heartbeat(
                id=self.address,
                service="s",
                host=self.address,
                door=self.address,
                address=f"server-{self.address}",
                zone="z",
                slots=8,
                leaving=False,
                cold_seconds=0.0,
                seq=seq,
                holds=holds,
            )
            try:
                answer = await self.control.call(heartbeat, timeout=0.85, attempt=0.2)
            except GuavastreamError:
                pass
            else:
                self.answered.append(loop.time())
                holds = tuple(row[:3] for row in answer.rows or ())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def longest_silence(self):
        """Return the longest time without an answered heartbeat, seconds."""
        times = [*self.answered, asyncio.get_running_loop().time()]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


async def start_hosts(tmp_path, *, relays=HOSTS):
    cluster = await start_control_cluster(tmp_path)
    hosts = [RelayingHost(cluster, address, relays=relays) for address in HOSTS]
    await asyncio.sleep(5.0)
    return cluster, hosts


@pytest.mark.parametrize("relays, kept", [(HOSTS, True), ((), False)])
def test_a_host_that_can_reach_only_other_hosts_keeps_its_keys(tmp_path, relays, kept):
    # A partition separates a host from all control hosts, while callers and other
    # hosts still reach it. Unless another host relays its calls, the heartbeats of
    # its server get no answer, its keys expire after 2.8 s and go to the remaining
    # servers, which are then overloaded and refuse half of the requests.
    async def main():
        cluster, (cut, *_) = await start_hosts(tmp_path, relays=relays)
        cluster.network.isolate(CUT, cluster.addresses)
        await asyncio.sleep(10.0)
        assert (cut.longest_silence() < HOLD_TIMING.hold) == kept
        leader = cluster.rafts[cluster.leader()]
        owners = {run.owner for run in leader._machine.table.runs_of("s")}
        assert (CUT in owners) == kept
        if kept:
            assert cut.holder.table.index == leader.applied

    run_paused(main())


def test_calls_are_no_longer_relayed_once_the_partition_heals(tmp_path):
    async def main():
        cluster, (cut, other, third) = await start_hosts(tmp_path)
        cluster.network.isolate(CUT, cluster.addresses)
        await asyncio.sleep(5.0)
        assert cut.transport.is_cut_off and other.relayed + third.relayed
        cluster.network.heal()
        await asyncio.sleep(2.0)
        before = other.relayed + third.relayed
        assert not cut.transport.is_cut_off
        await asyncio.sleep(5.0)
        assert other.relayed + third.relayed == before

    run_paused(main())


def test_relaying_stays_limited_while_all_control_hosts_are_down(
    tmp_path,
):
    # Each host could relay the calls of all others for as long as none is answered.
    async def main():
        cluster, hosts = await start_hosts(tmp_path)
        for address in list(cluster.rafts):
            cluster.kill(address)
        await asyncio.sleep(2.0)
        before = sum(host.relayed for host in hosts)
        await asyncio.sleep(10.0)
        per_second = (sum(host.relayed for host in hosts) - before) / 10.0
        assert per_second <= 3 * len(hosts)

    run_paused(main())


def test_calls_are_relayed_to_control_hosts_only(tmp_path):
    async def main():
        cluster, (_, other, _) = await start_hosts(tmp_path)
        tag, body = encode_message(Watch(index=0, wait=0.0))
        asked = RelayedCall(to=THIRD, tag=tag, body=body, seconds=0.5)
        with pytest.raises(PeerFailure):
            await cluster.network.transport(CUT).call(OTHER, asked, timeout=1.0)

    run_paused(main())
