"""A fleet's control hosts: voters replaced, keys with one holder at a time."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from guavastream.control import Raft, RaftTiming, Storage, TableMachine
from guavastream.control.fleet import MAX_STATE_AGE_SECONDS, FleetService, VoterKeeper
from guavastream.control.grants import Granter
from guavastream.control.suspects import SuspectKeeper
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError, PeerFailure
from guavastream.fleet import (
    Beat,
    BookCodec,
    ChangedRoutes,
    ChangeRoutes,
    ReadRoutes,
    ReportEnd,
)
from guavastream.leases import ControlClient, HoldTiming, Watch
from guavastream.routes import Part, Repeat, Route, ServiceRules

TIMING = RaftTiming(
    heartbeat=0.08, election_min=0.5, election_max=0.8, lease=0.45, call=0.4
)
HOLDS = HoldTiming(hold=2.8, settle=1.0)
HEARTBEAT = 0.87
ROUTE = Route(
    name="r",
    host="a",
    prefix="/",
    repeat=Repeat.SAFE,
    timeout=1.0,
    target=0.1,
    priority=0,
    attempts=1,
    parts=(Part(service="s"),),
)
FIRST = ChangeRoutes(
    base=0,
    version=1,
    digest=b"first",
    whole=True,
    routes=(ROUTE,),
    services=(ServiceRules(name="s", keyed=True),),
)


class Core:
    """Control hosts in one loop, on real files and a fake network."""

    def __init__(self, folder, network, *, seeds=3, count=5, timing=TIMING, losses=2):
        self.timing = timing
        self.losses = losses
        self.folder = folder
        self.network = network
        self.addresses = [f"10.0.0.{n}:1" for n in range(1, count + 1)]
        self.seeds = tuple(self.addresses[:seeds])
        self.rafts, self.tasks, self.starts = {}, {}, 0

    def start(self, address, *, first=True, disk=None):
        loop = asyncio.get_running_loop()
        self.starts += 1
        transport = self.network.transport(address)
        machine = TableMachine(codec=BookCodec())
        raft = Raft(
            storage=self.storage(str(self.folder / (disk or address))),
            offload=self.offload,
            transport=transport,
            address=address,
            peers=self.seeds,
            machine=machine,
            timing=self.timing,
            rng=random.Random(self.starts),
            may_form=first,
        )
        granter = Granter(raft=raft, machine=machine, clock=loop.time, timing=HOLDS)
        client = ControlClient(transport=transport, addresses=self.seeds)
        keeper = VoterKeeper(
            raft=raft, control=client, address=address, wanted=len(self.addresses)
        )
        suspects = SuspectKeeper(raft=raft, machine=machine, clock=loop.time)
        service = FleetService(
            raft=raft,
            machine=machine,
            granter=granter,
            voters=keeper,
            suspects=suspects,
            losses=self.losses,
        )
        self.network.serve(address, service.handle)
        self.rafts[address] = raft
        self.tasks[address] = [
            asyncio.ensure_future(part)
            for part in (raft.run(), granter.run(), keeper.run(), suspects.run())
        ]

    def storage(self, folder):
        return Storage(folder=folder)

    async def offload(self, function, *args):
        return function(*args)

    def start_all(self):
        for address in self.addresses:
            self.start(address)

    def kill(self, address):
        self.network.remove(address)
        self.rafts.pop(address)
        for task in self.tasks.pop(address):
            task.cancel()

    def leader(self):
        return next((a for a, raft in self.rafts.items() if raft.is_leader), None)

    async def until(self, condition, seconds=10.0):
        for _ in range(int(seconds / 0.05)):
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError("did not come about")

    async def until_full(self, count=5):
        await self.until(
            lambda: self.leader() and len(self.rafts[self.leader()].voters) == count
        )

    def client(self, name="10.1.0.1:1"):
        return ControlClient(
            transport=self.network.transport(name), addresses=self.addresses
        )

    async def change(self, command):
        return await self.client().submit(command, timeout=5.0, result=ChangedRoutes)

    async def read(self):
        answer = await self.client().call(ReadRoutes(), timeout=5.0)
        return answer.config.version


async def start_core(folder, **settings):
    """Return a `Core` that has formed its group and has a configuration."""
    core = Core(folder, FakeNetwork(seed=1), **settings)
    core.start_all()
    await core.until_full(len(core.addresses))
    await core.change(FIRST)
    return core


@dataclass
class Server:
    """A backend server as the fleet sees it: heartbeats, holds, releases."""

    id: str
    core: Core
    log: dict
    held: dict = field(default_factory=dict)
    until: float = 0.0
    seen: dict = field(default_factory=dict)
    released: list = field(default_factory=list)
    leaving: bool = False
    drift: float = 1.02

    def holds(self, key):
        now = asyncio.get_running_loop().time()
        return key in self.held and now < self.until

    async def run(self):
        loop = asyncio.get_running_loop()
        client = self.core.client(f"10.9.0.{self.id}:1")
        seq = 0
        while True:
            seq += 1
            sent = loop.time()
            if sent >= self.until:
                self.held = {}
            told = list(self.released)
            beat = Beat(
                id=self.id,
                service="s",
                host=self.id,
                door=f"door-{self.id}",
                address=f"server-{self.id}",
                zone="z",
                slots=8,
                leaving=self.leaving,
                cold=0.0,
                seq=seq,
                holds=tuple((k, k, f) for k, f in self.held.items()),
                released=tuple(told),
                wait=0.5,
            )
            pause = HEARTBEAT
            try:
                answer = await client.call(beat, timeout=0.9, attempt=0.75)
            except GuavastreamError:
                pass
            else:
                self.released = self.released[len(told) :]
                if answer.rows is not None:
                    pause = self.take(answer, sent)
            await asyncio.sleep(max(0.0, sent + pause - loop.time()))

    def take(self, answer, sent):
        # A server that keeps one key in a thousand is enough for a test.
        wanted = {}
        for first, last, fence, _ in answer.rows:
            for key in range(0, 65536, 997):
                if first <= key <= last and fence >= self.seen.get(key, 0):
                    wanted[key] = fence
        gone = [key for key in self.held if key not in wanted]
        for key, fence in wanted.items():
            if self.held.get(key) != fence:
                # A fence must be above all that others had for the key.
                assert fence >= self.log.get(key, 0), f"old fence for {key}"
                self.log[key] = fence
            self.seen[key] = fence
        self.held = wanted
        self.until = sent + answer.hold * self.drift
        self.released += [(key, key, f"t{key}") for key in gone]
        return 0.1 if gone else HEARTBEAT


class Fleet:
    """Servers at a core, watched for two holders of one key."""

    def __init__(self, core, count=4):
        log = {}
        self.servers = [
            Server(id=str(n), core=core, log=log) for n in range(1, count + 1)
        ]
        self.tasks = {}

    def start(self, server):
        self.tasks[server.id] = asyncio.ensure_future(server.run())

    def crash(self, server):
        self.tasks.pop(server.id).cancel()
        server.held = {}

    def holders(self, key):
        return [server for server in self.servers if server.holds(key)]

    def check(self):
        for key in range(0, 65536, 997):
            assert len(self.holders(key)) <= 1, f"two hold {key}"

    def is_served(self):
        return all(self.holders(key) for key in range(0, 65536, 997))

    async def watch(self):
        while True:
            self.check()
            await asyncio.sleep(0.02)


def play(folder, scenario, **kwargs):
    async def main():
        core = Core(folder, FakeNetwork(**kwargs))
        core.start_all()
        await core.until_full()
        await core.change(FIRST)
        fleet = Fleet(core)
        for server in fleet.servers:
            fleet.start(server)
        watch = asyncio.ensure_future(fleet.watch())
        await core.until(fleet.is_served)
        await scenario(core, fleet)
        assert not watch.done(), watch.exception()
        for task in (watch, *fleet.tasks.values()):
            task.cancel()

    run_paused(main())


def test_all_keys_are_held_by_all_servers(tmp_path):
    async def scenario(core, fleet):
        assert all(len(server.held) >= 8 for server in fleet.servers)

    play(tmp_path, scenario)


def test_a_lost_server_s_keys_are_held_again_after_its_hold(tmp_path):
    # The server falls silent; nobody can tell whether it still works. Its
    # keys go to others only when its hold has run out, and then at once.
    async def scenario(core, fleet):
        began = asyncio.get_running_loop().time()
        fleet.crash(fleet.servers[0])
        await core.until(fleet.is_served)
        assert asyncio.get_running_loop().time() - began < HOLDS.hold + 1.0

    play(tmp_path, scenario)


def test_a_server_that_surely_ended_makes_room_at_once(tmp_path):
    # The process beside it finds that nobody listens at its address any more.
    async def scenario(core, fleet):
        began = asyncio.get_running_loop().time()
        ended = fleet.servers[0]
        fleet.crash(ended)
        await core.client().call(
            ReportEnd(id=ended.id, service="s", host="h"), timeout=1.0
        )
        await core.until(fleet.is_served)
        assert asyncio.get_running_loop().time() - began < 1.5

    play(tmp_path, scenario)


def test_a_leaving_server_hands_its_keys_over_within_a_second(tmp_path):
    async def scenario(core, fleet):
        leaving = fleet.servers[0]
        leaving.leaving = True
        began = asyncio.get_running_loop().time()
        await core.until(lambda: not leaving.held and fleet.is_served())
        assert asyncio.get_running_loop().time() - began < 2.5

    play(tmp_path, scenario)


def test_a_new_leader_does_not_give_away_what_the_old_one_granted(tmp_path):
    # The leader is lost together with a server, right after renewing it. The
    # next leader does not know when that was, and waits for a whole hold.
    async def scenario(core, fleet):
        for _ in range(2):
            leader = core.leader()
            fleet.crash(fleet.servers[0])
            core.kill(leader)
            await core.until(fleet.is_served)
            core.start(leader, first=False)
            fleet.start(fleet.servers[0])
            await asyncio.sleep(3.0)

    play(tmp_path, scenario)


def test_a_cut_off_server_keeps_its_keys_until_its_hold_ends(tmp_path):
    # It works on with the keys that it holds, on a clock that runs slow, while
    # the leader that granted them is lost. Nobody else may have them sooner,
    # and after that they are held by others.
    async def scenario(core, fleet):
        cut_off = fleet.servers[0]
        for leader_lost in (False, True):
            core.network.isolate(f"10.9.0.{cut_off.id}:1", core.addresses)
            if leader_lost:
                core.kill(core.leader())
            await core.until(lambda: not cut_off.holds(next(iter(cut_off.held), 0)))
            await core.until(fleet.is_served)
            core.network.heal()
            await core.until(lambda: cut_off.until > asyncio.get_running_loop().time())
            await core.until(lambda: bool(cut_off.held), seconds=20.0)

    play(tmp_path, scenario)


def test_one_holder_while_messages_are_lost_and_hosts_cut(tmp_path):
    async def scenario(core, fleet):
        rng = random.Random(5)
        for _ in range(6):
            cut = rng.choice(core.addresses)
            core.network.isolate(cut, core.addresses)
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            core.network.heal()
            server = rng.choice(fleet.servers)
            fleet.crash(server)
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            fleet.start(server)
        await core.until(fleet.is_served, seconds=20.0)

    play(tmp_path, scenario, seed=3, lost=0.02, doubled=0.02, slowest=0.02)


def test_wiped_hosts_come_back_as_new_voters(tmp_path):
    # Two hosts lose their disks right after an acknowledgement, one after the
    # other; each comes back at its address without its old promises.
    async def scenario(core, fleet):
        for number, address in enumerate(core.addresses[:2]):
            second = FIRST.__class__(
                base=number + 1,
                version=number + 2,
                digest=b"%d" % number,
                whole=False,
            )
            assert (await core.change(second)).code == "ok"
            core.kill(address)
            core.start(address, first=False, disk=f"empty-{number}")
            await core.until_full()
            await asyncio.sleep(4.0)
            assert await core.read() == number + 2
        voters = core.rafts[core.leader()].voters
        assert sorted(voters.values()) == sorted(core.addresses)

    play(tmp_path, scenario)


def test_a_replaced_host_makes_room_for_its_successor(tmp_path):
    async def scenario(core, fleet):
        lost = core.addresses[1]
        core.kill(lost)
        core.start("10.0.0.9:1", first=False)

        def replaced():
            leader = core.leader()
            voters = core.rafts[leader].voters.values() if leader else ()
            return "10.0.0.9:1" in voters and lost not in voters

        await core.until(replaced, seconds=20.0)
        assert await core.read() == 1

    play(tmp_path, scenario)


def test_no_change_is_taken_on_fewer_disks_than_may_be_lost(tmp_path):
    async def main():
        core = Core(tmp_path, FakeNetwork(), count=3)
        core.start_all()
        await core.until(core.leader)
        try:
            await core.client().submit(FIRST, timeout=1.0)
        except GuavastreamError as error:
            assert error.code == "not_ready"
        else:
            raise AssertionError("taken on two disks")

    run_paused(main())


def test_a_watch_is_not_answered_before_there_is_news(tmp_path):
    # Each heartbeat of the leader woke whoever watched a follower: 16 answers
    # a second without news for each host, half of what an idle host did.
    async def main():
        loop = asyncio.get_running_loop()
        core = Core(tmp_path, FakeNetwork())
        core.start_all()
        await core.until_full()
        await core.change(FIRST)
        await asyncio.sleep(1.0)
        for address, raft in core.rafts.items():
            began = loop.time()
            client = core.client()
            request = Watch(index=raft.applied, wait=0.6)
            turn = core.addresses.index(address)
            answer = await client.call_any(turn, request, timeout=1.0)
            assert not answer.commands and loop.time() - began >= 0.6

    run_paused(main())


@pytest.mark.parametrize("leads", [False, True])
def test_a_watch_ends_once_no_leader_is_heard(tmp_path, leads):
    # A control host was cut off from the others. Whoever waited there for news
    # learned only at the end of the wait that it hears no leader, while a change
    # was acknowledged by the others: 0.8 s of the 2 s in which it is to be in force.
    async def main():
        loop = asyncio.get_running_loop()
        core = await start_core(tmp_path)
        leader = core.leader()
        away = leader if leads else next(a for a in core.addresses if a != leader)
        index = core.rafts[away].applied
        core.network.isolate(away, core.addresses)
        began = loop.time()
        turn = core.addresses.index(away)
        with pytest.raises(PeerFailure):
            await core.client().call_any(
                turn, Watch(index=index, wait=10.0), timeout=11.0
            )
        assert loop.time() - began <= MAX_STATE_AGE_SECONDS + TIMING.heartbeat

    run_paused(main())


def test_a_watch_waits_for_news_after_a_change_of_leader(tmp_path):
    # A new leader commits an entry that says only that it leads. Watches took it
    # for news and were answered at once, as often as they came, until somebody
    # changed something: each host asked a thousand times a second.
    async def main():
        loop = asyncio.get_running_loop()
        core = await start_core(tmp_path)
        core.kill(core.leader())
        await core.until(core.leader)
        await asyncio.sleep(1.0)
        for address, raft in core.rafts.items():
            turn = core.addresses.index(address)
            watch = Watch(index=raft._machine.table.index, wait=0.5)
            began = loop.time()
            await core.client().call_any(turn, watch, timeout=1.0)
            assert loop.time() - began >= 0.5

    run_paused(main())
