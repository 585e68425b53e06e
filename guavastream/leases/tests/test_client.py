"""Finding the leading control host, with concurrent calls and partitions."""

import asyncio

from guavastream.emulator import run_paused
from guavastream.exception import CallTimeout, NotLeader
from guavastream.leases import ControlClient
from guavastream.messages import Transport


class Hosts(Transport):
    """Hosts "lost", which never answers, "follower" and "leader"."""

    def __init__(self):
        self.called = []

    async def call(self, address, request, *, timeout):
        self.called.append(address)
        if address == "lost":
            await asyncio.sleep(timeout)
            raise CallTimeout("lost")
        if address == "follower":
            raise NotLeader(leader="leader")
        return address


def test_slow_call_does_not_undo_the_switch_to_a_new_leader():
    # The leader is lost while a call with a long timeout waits for it. Quick calls
    # find the new leader meanwhile; when the slow call times out, the client must
    # stay with the new leader.
    async def main():
        hosts = Hosts()
        client = ControlClient(
            transport=hosts, addresses=("lost", "follower", "leader")
        )
        slow = asyncio.ensure_future(client.call("x", timeout=2.0, attempt=0.7))
        assert await client.call("x", timeout=2.0, attempt=0.2) == "leader"
        assert await slow == "leader"
        hosts.called.clear()
        assert await client.call("x", timeout=2.0, attempt=0.2) == "leader"
        assert hosts.called == ["leader"]

    run_paused(main())


def test_follower_redirects_to_the_leader():
    async def main():
        hosts = Hosts()
        client = ControlClient(transport=hosts, addresses=("follower", "leader"))
        client.prefer("follower")
        assert await client.call("x", timeout=1.0) == "leader"

    run_paused(main())


class PartitionedHosts(Transport):
    """Hosts "a" and "b" are partitioned and name the former leader; "d" leads."""

    async def call(self, address, request, *, timeout):
        if address in ("a", "b"):
            raise NotLeader(leader="a")
        if address == "d":
            return address
        raise NotLeader(leader="")


def test_hints_of_partitioned_hosts_do_not_loop_forever():
    # The caller reaches both sides of a partition. The former leader has lost its
    # majority, but it and its neighbor keep naming it. A client that only follows
    # these hints leaves heartbeats of servers unanswered until all holds expire.
    async def main():
        addresses = ("a", "b", "c", "d", "e")
        client = ControlClient(transport=PartitionedHosts(), addresses=addresses)
        assert await client.call("x", timeout=0.85) == "d"

    run_paused(main())
