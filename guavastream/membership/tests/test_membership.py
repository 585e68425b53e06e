"""A node that loses touch, catches up, or finds its membership gone."""

import asyncio

from guavastream.emulator import FakeNetwork, run_paused
from guavastream.leases import (
    ControlClient,
    LeaseTiming,
    Renew,
    Renewed,
    Submit,
    Submitted,
    Watch,
    Watched,
)
from guavastream.membership import Announced, Membership
from guavastream.messages import decode_message
from guavastream.state import (
    Noop,
    RegisterMember,
    ShardTableHolder,
    encode_command,
)

NODE = "10.0.0.1:1"
CONTROL = ("10.0.1.1:1", "10.0.1.2:1")
TIMING = LeaseTiming()
SERVER = Announced(service="s", address="127.0.0.1:9", boot="b1", slots=4)


class FakeControl:
    """Answers as a leading control host does, from a list of commands."""

    def __init__(self):
        self.commands = [encode_command(Noop())]
        self.joined = []
        self.gone = set()

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
            return Watched(commands=tuple(enumerate(self.commands, 1)))
        if isinstance(request, Renew):
            return Renewed(
                duration=TIMING.duration,
                index=self.index,
                gone=request.member in self.gone,
            )
        assert isinstance(request, Submit)
        command = decode_message(request.tag, request.body)
        self.commands.append(encode_command(command))
        if isinstance(command, RegisterMember):
            self.joined.append(command)
        return Submitted(index=self.index, result=bytes([self.index]))


class Bench:
    """One node and its control hosts on a fake network."""

    def __init__(self):
        self.network = FakeNetwork()
        self.control = FakeControl()
        for address in CONTROL:
            self.network.serve(address, self.control.handle)
        self.tables = ShardTableHolder()
        self.events = []
        self.membership = Membership(
            host="h1",
            zone="z",
            region="",
            door="127.0.0.1:1",
            control=ControlClient(
                transport=self.network.transport(NODE), addresses=CONTROL
            ),
            tables=self.tables,
            clock=asyncio.get_running_loop().time,
            record=lambda kind, **fields: self.events.append(kind),
        )
        self.task = asyncio.ensure_future(self.membership.run())


def with_bench(scenario):
    async def run():
        bench = Bench()
        bench.membership.announce(SERVER)
        await asyncio.sleep(0.5)
        assert bench.membership.lease.is_held
        await scenario(bench)

    run_paused(run())


def test_loss_of_the_watched_control_host_costs_no_lease():
    """The control host that a node watches is lost while changes are made.

    Callers must notice nothing: the watch runs out only later, so the node
    fetches what it lacks from the leader that renews its lease.
    """

    async def scenario(bench):
        bench.network.cut(NODE, bench.membership.watched)
        for _ in range(100):
            bench.control.commands.append(encode_command(Noop()))
            await asyncio.sleep(0.02)
            assert bench.membership.lease.is_held

    with_bench(scenario)


def test_lease_ends_when_no_control_host_is_heard():
    """A node is cut off; it must stop before its shards are given away."""

    async def scenario(bench):
        for address in CONTROL:
            bench.network.cut(NODE, address)
        await asyncio.sleep(TIMING.duration + 0.01)
        assert not bench.membership.lease.is_held

    with_bench(scenario)


def test_renewal_does_not_count_before_the_table_has_caught_up():
    """A renewal arrives, but not the change that took a shard away.

    Counting it would let the node serve the shard beside its new owner.
    """

    async def scenario(bench):
        for address in CONTROL:
            bench.network.serve(address, _only_renewals(bench.control))
        await asyncio.sleep(2)
        assert bench.membership.lease.is_held
        bench.control.commands.append(encode_command(Noop()))
        await asyncio.sleep(TIMING.duration + 0.2)
        assert not bench.membership.lease.is_held

    with_bench(scenario)


def _only_renewals(control):
    async def handle(request):
        if isinstance(request, Watch):
            await asyncio.sleep(3600)
        return await control.handle(request)

    return handle


def test_late_answer_to_a_renewal_counts_from_when_it_was_sent():
    """A renewal takes half the lease to be answered, in a slow network.

    The keeper counts from its receipt at the latest, so the holder must not
    count from the answer.
    """

    async def scenario(bench):
        loop = asyncio.get_running_loop()
        sent = []

        async def slow(request):
            if isinstance(request, Renew):
                sent.append(loop.time())
                await asyncio.sleep(0.2)
            return await bench.control.handle(request)

        for address in CONTROL:
            bench.network.serve(address, slow)
        await asyncio.sleep(1)
        assert bench.membership.lease.deadline <= sent[-1] + TIMING.duration

    with_bench(scenario)


def test_member_that_is_gone_joins_as_another():
    """A node was away for longer than its lease; its shards are another's.

    It must come back under a new id: renewing the old one could bring back
    ownership that has been given away.
    """

    async def scenario(bench):
        old = bench.membership.member
        bench.control.gone.add(old)
        await asyncio.sleep(0.15)
        await asyncio.sleep(0.3)
        assert bench.membership.member not in (0, old)
        first, last = bench.control.joined[0], bench.control.joined[-1]
        assert first.incarnation != last.incarnation
        assert "member_gone" in bench.events

    with_bench(scenario)


def test_restarted_server_is_another_member():
    """The backend server restarts beside a process that lives on.

    What ran at the old one is over; epochs of the old member must not reach
    the new server.
    """

    async def scenario(bench):
        old = bench.membership.member
        bench.membership.announce(
            Announced(service="s", address="127.0.0.1:9", boot="b2", slots=4)
        )
        await asyncio.sleep(0.05)
        assert bench.membership.member not in (0, old)

    with_bench(scenario)
