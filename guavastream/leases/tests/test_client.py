"""Finding the leader, with calls side by side."""

import asyncio

from guavastream.emulator import run_paused
from guavastream.exception import CallTimeout, NotLeader
from guavastream.leases import ControlClient
from guavastream.messages import Transport


class Hosts(Transport):
    """One lost leader, one that leads, one that knows who does."""

    def __init__(self):
        self.asked = []

    async def call(self, address, request, *, timeout):
        self.asked.append(address)
        if address == "lost":
            await asyncio.sleep(timeout)
            raise CallTimeout("lost")
        if address == "follower":
            raise NotLeader(leader="leader")
        return address


def test_a_call_that_waited_long_does_not_undo_what_others_found():
    # The leader is lost while a slow call waits for it. Quick calls find the
    # next one; when the slow one ends, it must not lead them away again.
    async def main():
        hosts = Hosts()
        client = ControlClient(
            transport=hosts, addresses=("lost", "follower", "leader")
        )
        slow = asyncio.ensure_future(client.call("x", timeout=2.0, attempt=0.7))
        assert await client.call("x", timeout=2.0, attempt=0.2) == "leader"
        assert await slow == "leader"
        hosts.asked.clear()
        assert await client.call("x", timeout=2.0, attempt=0.2) == "leader"
        assert hosts.asked == ["leader"]

    run_paused(main())


def test_a_hint_at_the_host_that_was_just_asked_is_not_followed():
    async def main():
        hosts = Hosts()
        client = ControlClient(transport=hosts, addresses=("follower", "leader"))
        client.prefer("follower")
        assert await client.call("x", timeout=1.0) == "leader"

    run_paused(main())


class CutOffHosts(Transport):
    """Two hosts that are cut off still name the leader of before."""

    async def call(self, address, request, *, timeout):
        if address in ("a", "b"):
            raise NotLeader(leader="a")
        if address == "d":
            return address
        raise NotLeader(leader="")


def test_hints_of_hosts_that_are_cut_off_do_not_go_round_for_ever():
    # The caller reaches both sides of a cut. The leader of before has no
    # majority any more; it and its neighbour name it again and again, and the
    # servers' heartbeats went unanswered until all holds had run out.
    async def main():
        addresses = ("a", "b", "c", "d", "e")
        client = ControlClient(transport=CutOffHosts(), addresses=addresses)
        assert await client.call("x", timeout=0.85) == "d"

    run_paused(main())
