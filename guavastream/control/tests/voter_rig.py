"""Control hosts that are lost, return and are replaced, counted by the rule."""

import asyncio
import enum
import random
from dataclasses import dataclass

from guavastream.control.tests.test_fleet import FIRST_CHANGE, ControlCluster
from guavastream.control.voter import RaftTiming
from guavastream.emulator import FakeNetwork
from guavastream.exception import GuavastreamError
from guavastream.fleet import ChangeRoutesResult, ReadRoutes
from guavastream.kernel import replace

__all__ = ["ControlGroup", "Fault", "LOSSES"]

LOSSES = 2
CONTROL_HOSTS = 2 * LOSSES + 1
SEEDS = 3
# Time for which a host that is back, or new, still counts as lost.
CATCH_UP_SECONDS = 4.0
# Time within which a leader is elected after a loss.
RECOVERY_SECONDS = 15.0
# Time after which the settings name control hosts that are there.
SEED_LAG_SECONDS = 3.0
# Time in which it shows that a host is gone whose successor is there already: its
# process ended, or its power was lost.
ENDED_SECONDS = 0.5
DARK_SECONDS = 0.95
POWER_OFF_SECONDS = 0.7
CALL_SECONDS = 1.0
TIMING = RaftTiming(
    heartbeat=0.09, election_min=0.35, election_max=0.55, lease=0.3, call=0.28
)


class Fault(enum.Enum):
    """How a control host is lost for a time."""

    KILLED = "killed"
    DARK = "dark"
    STOPPED = "stopped"
    CUT = "cut"
    FROZEN = "frozen"

    @property
    def ends_process(self):
        """Whether the process starts anew after it."""
        return self not in (Fault.CUT, Fault.FROZEN)


@dataclass
class Member:
    """A control host: its fault if it has one, and when it counts as sound again."""

    address: str
    disk: str
    sound_at: float
    fault: Fault | None = None


@dataclass
class Position:
    """One of the deployment's control hosts; `member` is None if it is lost for good.

    `successor` runs beside the member that it is to replace.
    """

    member: Member | None
    successor: Member | None = None

    def is_lost(self, now):
        """Whether a loss of this position counts."""
        member = self.member
        return member is None or member.fault is not None or now < member.sound_at


class ControlGroup:
    """Control hosts under faults, and how many of them count as lost."""

    def __init__(self, folder, *, seed):
        self._rng = random.Random(seed)
        self._network = FakeNetwork(seed=seed)
        self._cluster = ControlCluster(
            folder, self._network, count=CONTROL_HOSTS, losses=LOSSES, timing=TIMING
        )
        self._numbers = iter(range(CONTROL_HOSTS + 1, 10**6))
        self._seed_tasks = set()
        self._version = 0
        self._client = self._cluster.client()
        self.positions = []

    @property
    def now(self):
        """Time of the loop's clock in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def lost_count(self):
        """Number of control hosts that count as lost."""
        return sum(position.is_lost(self.now) for position in self.positions)

    def present(self):
        """Return the positions whose member runs and is reached."""
        return [p for p in self.positions if p.member and p.member.fault is None]

    def away(self):
        """Return the positions whose member has a fault."""
        return [p for p in self.positions if p.member and p.member.fault]

    def vacant(self):
        """Return the positions whose member is lost for good."""
        return [p for p in self.positions if p.member is None]

    async def start(self):
        """Form the group, and make a first change."""
        self._cluster.start_all()
        self.positions = [
            Position(Member(address, address, self.now))
            for address in self._cluster.addresses
        ]
        await self._cluster.wait_for_voters(CONTROL_HOSTS)
        await self.change()

    async def change(self):
        """Make a change of the configuration; it counts once it is acknowledged."""
        version = self._version + 1
        command = replace(
            FIRST_CHANGE, base=self._version, version=version, digest=b"%d" % version
        )
        result = await self._until_answered(
            lambda client: client.submit(
                command, timeout=CALL_SECONDS, result=ChangeRoutesResult
            )
        )
        assert result.code == "ok", result
        self._version = version

    async def _until_answered(self, call):
        """Repeat a call until it is answered, within the time for an election."""
        async with asyncio.timeout(RECOVERY_SECONDS):
            while True:
                self._client.update_addresses(self._addresses())
                try:
                    return await call(self._client)
                except GuavastreamError:
                    await asyncio.sleep(0.1)

    def _addresses(self):
        """Return the addresses of all control hosts that are not gone."""
        members = [p.member for p in self.positions if p.member]
        members += [p.successor for p in self.positions if p.successor]
        return [member.address for member in members]

    # Faults that end

    async def strike(self, position, fault):
        """Give a member a fault."""
        address = position.member.address
        position.member.fault = fault
        if fault is Fault.CUT:
            self._network.isolate(address, [*self._addresses(), *self._cluster.tasks])
        elif fault is Fault.FROZEN:
            self._network.suspend(address)
        elif fault is Fault.STOPPED:
            await self._cluster.stop(address)
        else:
            self._cluster.kill(address, dark=fault is Fault.DARK)

    async def end_fault(self, position, *, empty=False):
        """End the fault of a member; with `empty` it comes back without its disk."""
        member, fault = position.member, position.member.fault
        if fault is Fault.CUT:
            self._network.rejoin(member.address)
        elif fault is Fault.FROZEN:
            self._network.resume(member.address)
        if empty and not fault.ends_process:
            self._cluster.kill(member.address)
        if empty:
            member.disk = f"disk-{next(self._numbers)}"
        if empty or fault.ends_process:
            self._start(member)
        member.fault = None
        member.sound_at = self.now + CATCH_UP_SECONDS

    def _start(self, member):
        self._cluster.start(member.address, first=False, disk=member.disk)
        self._cluster.candidates[member.address].seeds = self._cluster.seeds
        for other in self.away():
            if other.member.fault is Fault.CUT:
                self._network.cut(member.address, other.member.address)

    # Replacement

    def _new_member(self):
        number = next(self._numbers)
        member = Member(
            f"10.0.1.{number}:1", f"disk-{number}", self.now + CATCH_UP_SECONDS
        )
        self._start(member)
        return member

    async def lose_for_good(self, position, *, dark):
        """Take the member of a position away, without a word."""
        member = position.member
        if member.fault is None or not member.fault.ends_process:
            if member.fault is Fault.FROZEN:
                self._network.resume(member.address)
            self._cluster.kill(member.address, dark=dark)
        position.member = position.successor
        position.successor = None
        if position.member:
            noticed_at = self.now + (DARK_SECONDS if dark else ENDED_SECONDS)
            position.member.sound_at = max(position.member.sound_at, noticed_at)
        self._update_seeds_later()

    async def start_successor(self, position):
        """Start the host that replaces the member of a position, or will."""
        successor = self._new_member()
        if position.member is None:
            position.member = successor
        else:
            position.successor = successor

    async def finish_planned_replacement(self, position):
        """Stop the member of a position that has a successor."""
        member, position.member = position.member, position.successor
        position.successor = None
        await self._cluster.stop(member.address)
        self._update_seeds_later()

    def _update_seeds_later(self):
        async def update():
            await asyncio.sleep(SEED_LAG_SECONDS)
            addresses = self._addresses()
            count = min(SEEDS, len(addresses))
            self._cluster.seeds = tuple(self._rng.sample(addresses, count))
            for candidate in self._cluster.candidates.values():
                candidate.seeds = self._cluster.seeds

        task = asyncio.ensure_future(update())
        self._seed_tasks.add(task)
        task.add_done_callback(self._seed_tasks.discard)

    # Lost disks

    async def wait_until_allowed(self, disks):
        """Wait for the first moment at which so many disks may be lost."""
        while self.lost_count + disks > LOSSES:
            await asyncio.sleep(0.01)

    async def lose_disks(self, positions, *, power):
        """Empty the disks of some members; with `power` all others lose their power."""
        present = self.present()
        successors = [p.successor for p in self.positions if p.successor]
        for position in present if power else positions:
            self._cluster.kill(position.member.address, dark=True)
        if power:
            for successor in successors:
                self._cluster.kill(successor.address, dark=True)
        await asyncio.sleep(POWER_OFF_SECONDS)
        for position in positions:
            position.member.disk = f"disk-{next(self._numbers)}"
        for position in present if power else positions:
            self._start(position.member)
            position.member.sound_at = self.now + CATCH_UP_SECONDS
        if power:
            for successor in successors:
                self._start(successor)
                successor.sound_at = self.now + CATCH_UP_SECONDS

    async def check_recovery(self):
        """Require a leader, and the last acknowledged configuration, in time."""
        answer = await self._until_answered(
            lambda client: client.call(ReadRoutes(), timeout=CALL_SECONDS)
        )
        assert answer.config.version == self._version, self.describe()

    def check_tasks(self):
        """Raise the error of a task that failed."""
        for tasks in self._cluster.tasks.values():
            for task in tasks:
                if task.done() and not task.cancelled():
                    task.result()

    def leads(self, position):
        """Whether the member of a position leads."""
        return position.member.address == self._cluster.leader()

    def describe(self):
        """Return the voters of each running control host, for a failed test."""
        return {a: sorted(r.voters.items()) for a, r in self._cluster.rafts.items()}

    def stop(self):
        """End all control hosts."""
        for address in list(self._cluster.rafts):
            self._cluster.kill(address)
        for task in self._seed_tasks:
            task.cancel()
