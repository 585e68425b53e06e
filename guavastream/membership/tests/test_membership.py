"""A node that is cut off, catches up, or has been removed from the members."""

import asyncio

from guavastream.emulator import FakeNetwork, run_paused
from guavastream.leases import (
    ControlClient,
    LeaseTiming,
    Renew,
    RenewAnswer,
    Submit,
    SubmitAnswer,
    Watch,
    WatchAnswer,
)
from guavastream.membership import Membership, ServerAnnouncement
from guavastream.messages import decode_message
from guavastream.state import (
    Noop,
    RegisterMember,
    ShardTableHolder,
    encode_command,
)

NODE_ADDRESS = "10.0.0.1:1"
CONTROL_ADDRESSES = ("10.0.1.1:1", "10.0.1.2:1")
TIMING = LeaseTiming()
SERVER = ServerAnnouncement(service="s", address="127.0.0.1:9", boot="b1", slots=4)


class FakeControl:
    """Answers like a leading control host, from a list of commands."""

    def __init__(self):
        self.commands = [encode_command(Noop())]
        self.registrations = []
        self.removed = set()

    @property
    def index(self):
        return len(self.commands)

    async def handle(self, request):
        if isinstance(request, Watch):
            deadline = asyncio.get_running_loop().time() + request.wait
            while self.index <= request.index:
                if asyncio.get_running_loop().time() >= deadline:
                    break
                await asyncio.sleep(0.005)
            return WatchAnswer(commands=tuple(enumerate(self.commands, 1)))
        if isinstance(request, Renew):
            return RenewAnswer(
                duration=TIMING.duration,
                index=self.index,
                gone=request.member in self.removed,
            )
        assert isinstance(request, Submit)
        command = decode_message(request.tag, request.body)
        self.commands.append(encode_command(command))
        if isinstance(command, RegisterMember):
            self.registrations.append(command)
        return SubmitAnswer(index=self.index, result=bytes([self.index]))


class Rig:
    """One node and its control hosts on an emulated network."""

    def __init__(self):
        self.network = FakeNetwork()
        self.control = FakeControl()
        for address in CONTROL_ADDRESSES:
            self.network.serve(address, self.control.handle)
        self.tables = ShardTableHolder()
        self.events = []
        self.membership = Membership(
            host="h1",
            zone="z",
            region="",
            door="127.0.0.1:1",
            control=ControlClient(
                transport=self.network.transport(NODE_ADDRESS),
                addresses=CONTROL_ADDRESSES,
            ),
            tables=self.tables,
            clock=asyncio.get_running_loop().time,
            record=lambda kind, **fields: self.events.append(kind),
        )
        self.task = asyncio.ensure_future(self.membership.run())


def run_with_rig(scenario):
    async def run():
        rig = Rig()
        rig.membership.announce(SERVER)
        await asyncio.sleep(0.5)
        assert rig.membership.lease.is_held
        await scenario(rig)

    run_paused(run())


def test_lease_survives_the_loss_of_the_watched_control_host():
    """Guards against a lost lease when the watched control host fails.

    The table changes meanwhile, and the watch times out only later, so the node must
    fetch the missing changes from the leader that renews its lease.
    """

    async def scenario(rig):
        rig.network.cut(NODE_ADDRESS, rig.membership.watched_address)
        for _ in range(100):
            rig.control.commands.append(encode_command(Noop()))
            await asyncio.sleep(0.02)
            assert rig.membership.lease.is_held

    run_with_rig(scenario)


def test_lease_expires_when_no_control_host_is_reachable():
    """Guards against a node that, cut off, serves shards after their reassignment."""

    async def scenario(rig):
        for address in CONTROL_ADDRESSES:
            rig.network.cut(NODE_ADDRESS, address)
        await asyncio.sleep(TIMING.duration + 0.01)
        assert not rig.membership.lease.is_held

    run_with_rig(scenario)


def test_renewal_has_no_effect_before_the_table_has_caught_up():
    """Guards against two owners that serve the same shard.

    The node's lease is renewed, but the change that reassigned one of its shards has
    not reached it. Extending the lease would let it go on serving that shard.
    """

    async def scenario(rig):
        for address in CONTROL_ADDRESSES:
            rig.network.serve(address, _answer_all_but_watches(rig.control))
        await asyncio.sleep(2)
        assert rig.membership.lease.is_held
        rig.control.commands.append(encode_command(Noop()))
        await asyncio.sleep(TIMING.duration + 0.2)
        assert not rig.membership.lease.is_held

    run_with_rig(scenario)


def _answer_all_but_watches(control):
    async def handle(request):
        if isinstance(request, Watch):
            await asyncio.sleep(3600)
        return await control.handle(request)

    return handle


def test_lease_is_counted_from_when_the_renewal_was_sent():
    """Guards against a holder whose lease outlasts the grantor's.

    On a slow network, a renewal takes almost half the lease to be answered. The grantor
    counts from the receipt at the latest, so the holder must not count from the answer.
    """

    async def scenario(rig):
        loop = asyncio.get_running_loop()
        sent = []

        async def slow(request):
            if isinstance(request, Renew):
                sent.append(loop.time())
                await asyncio.sleep(0.2)
            return await rig.control.handle(request)

        for address in CONTROL_ADDRESSES:
            rig.network.serve(address, slow)
        await asyncio.sleep(1)
        assert rig.membership.lease.deadline <= sent[-1] + TIMING.duration

    run_with_rig(scenario)


def test_removed_member_registers_under_a_new_id():
    """Guards against a returning node that regains reassigned shards.

    It was cut off for longer than its lease, and its shards have other owners. Renewing
    the old id could restore ownership that was given to another member.
    """

    async def scenario(rig):
        old = rig.membership.member
        rig.control.removed.add(old)
        await asyncio.sleep(0.15)
        await asyncio.sleep(0.3)
        assert rig.membership.member not in (0, old)
        first, last = rig.control.registrations[0], rig.control.registrations[-1]
        assert first.incarnation != last.incarnation
        assert "member_gone" in rig.events

    run_with_rig(scenario)


def test_restarted_server_registers_as_a_new_member():
    """Guards against epochs of the old member that reach a restarted server.

    The backend server restarts while the process beside it goes on running. What ran at
    the old server has ended.
    """

    async def scenario(rig):
        old = rig.membership.member
        rig.membership.announce(
            ServerAnnouncement(service="s", address="127.0.0.1:9", boot="b2", slots=4)
        )
        await asyncio.sleep(0.05)
        assert rig.membership.member not in (0, old)

    run_with_rig(scenario)
