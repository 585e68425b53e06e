"""Hosts that are cut off from all control hosts, but not from other hosts."""

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
from guavastream.hosts.book_follower import BookFollower
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


class Host:
    """A process that passes calls on, and its server's heartbeats."""

    def __init__(self, core, address, *, relays=HOSTS):
        loop = asyncio.get_running_loop()
        self.address = address
        self.network = core.network
        self.answered = []
        self.relayed = 0
        others = [other for other in relays if other != address]
        self.transport = RelayingTransport(
            direct=core.network.transport(address),
            relays=lambda: others,
            probes=(Watch,),
            clock=loop.time,
            rng=random.Random(address),
        )
        self.control = ControlClient(transport=self.transport, addresses=core.addresses)
        self.desk = RelayService(
            transport=self.transport, targets=lambda: core.addresses
        )
        core.network.serve(address, self._serve)
        self.books = TableHolder(codec=FleetStateCodec())
        follower = BookFollower(
            control=self.control,
            books=self.books,
            seeds=core.seeds,
            on_change=lambda before, book: None,
        )
        self.tasks = [
            asyncio.ensure_future(follower.run()),
            asyncio.ensure_future(self._beat()),
        ]

    async def _serve(self, request):
        self.relayed += 1
        return await self.desk.handle(request)

    async def _beat(self):
        loop = asyncio.get_running_loop()
        holds = ()
        for seq in range(1, 10**6):
            beat = Heartbeat(
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
                answer = await self.control.call(beat, timeout=0.85, attempt=0.2)
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


async def start(tmp_path, *, relays=HOSTS):
    core = await start_control_cluster(tmp_path)
    hosts = [Host(core, address, relays=relays) for address in HOSTS]
    await asyncio.sleep(5.0)
    return core, hosts


@pytest.mark.parametrize("relays, kept", [(HOSTS, True), ((), False)])
def test_a_host_that_reaches_only_other_hosts_keeps_its_keys(tmp_path, relays, kept):
    # A cut separates a host from all control hosts; callers and other hosts
    # still reach it. Its server's heartbeats went unanswered, its keys ran out
    # after 2.8 s and went to the servers that were left, which refused half of
    # what came. Now another host passes its calls on, and it follows the book.
    async def main():
        core, (cut, *_) = await start(tmp_path, relays=relays)
        core.network.isolate(CUT, core.addresses)
        await asyncio.sleep(10.0)
        assert (cut.longest_silence() < HOLD_TIMING.hold) == kept
        leader = core.rafts[core.leader()]
        owners = {run.owner for run in leader._machine.table.runs_of("s")}
        assert (CUT in owners) == kept
        if kept:
            assert cut.books.table.index == leader.applied

    run_paused(main())


def test_the_direct_way_is_taken_again_once_it_is_there(tmp_path):
    async def main():
        core, (cut, other, third) = await start(tmp_path)
        core.network.isolate(CUT, core.addresses)
        await asyncio.sleep(5.0)
        assert cut.transport.is_cut_off and other.relayed + third.relayed
        core.network.heal()
        await asyncio.sleep(2.0)
        before = other.relayed + third.relayed
        assert not cut.transport.is_cut_off
        await asyncio.sleep(5.0)
        assert other.relayed + third.relayed == before

    run_paused(main())


def test_hosts_do_not_ask_each_other_without_end_while_all_control_hosts_are_down(
    tmp_path,
):
    # Each would pass the calls of all others on, for as long as nobody answers.
    async def main():
        core, hosts = await start(tmp_path)
        for address in list(core.rafts):
            core.kill(address)
        await asyncio.sleep(2.0)
        before = sum(host.relayed for host in hosts)
        await asyncio.sleep(10.0)
        a_second = (sum(host.relayed for host in hosts) - before) / 10.0
        assert a_second <= 3 * len(hosts)

    run_paused(main())


def test_calls_are_passed_on_to_control_hosts_only(tmp_path):
    async def main():
        core, (_, other, _) = await start(tmp_path)
        tag, body = encode_message(Watch(index=0, wait=0.0))
        asked = RelayedCall(to=THIRD, tag=tag, body=body, seconds=0.5)
        with pytest.raises(PeerFailure):
            await core.network.transport(CUT).call(OTHER, asked, timeout=1.0)

    run_paused(main())
