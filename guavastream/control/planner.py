"""The leader's task: expire leases, hand out shards, start moves."""

import asyncio

from guavastream.exception import NotLeader
from guavastream.kernel import part_logger
from guavastream.placement import POLICIES, View
from guavastream.state import (
    AssignShards,
    RemoveMembers,
    StartMoves,
    encode_command,
)

__all__ = ["Planner"]

TICK_SECONDS = 0.02
FOLLOWER_TICK_SECONDS = 0.1
SETTLE_SECONDS = 0.3

log = part_logger("planner")


class Planner:
    """Keeps the table as leases, declarations and drains demand.

    Parameters
    ----------
    raft : Raft
        Commits the decisions.
    machine : TableMachine
        The state they start from.
    keeper : LeaseKeeper
        Says who has gone.
    policy : str
        Name of the placement policy.
    record : callable
        Takes the kind and fields of an event.
    """

    def __init__(self, *, raft, machine, keeper, policy="balanced", record):
        self._raft = raft
        self._machine = machine
        self._keeper = keeper
        self._policy = POLICIES.get(policy)()
        self._record = record
        self._term = 0
        self._seen = None
        self._first_seen = {}
        self._clock = asyncio.get_running_loop().time

    def ensure_term(self):
        """Begin a new term of this leader, if there is one.

        Called before any lease is renewed, so that no renewal of this term
        is lost to the book's start.
        """
        if self._term != self._raft.term:
            self._term = self._raft.term
            self._seen = None
            self._keeper.start(
                self._machine.table.members, since=self._raft.predecessor_end
            )

    async def run(self):
        """Tend the table while this control host leads, until cancelled."""
        while True:
            if not self._raft.is_leader:
                await asyncio.sleep(FOLLOWER_TICK_SECONDS)
                continue
            await asyncio.sleep(TICK_SECONDS)
            self.ensure_term()
            try:
                await self._tend()
            except NotLeader:
                continue

    async def _tend(self):
        expired = self._keeper.expired()
        members = self._machine.table.members
        gone = tuple(member for member in expired if member in members)
        for member in gone:
            log.info("Lease of member %d has run out.", member)
            self._record("lease_expired", epoch=member)
        if gone:
            await self._propose(RemoveMembers(members=gone))
        for member in expired:
            self._keeper.forget(member)
        table = self._machine.table
        # Nothing is planned twice from the same table; a load report is no
        # reason on its own, which bounds the churn that lying servers cause.
        if self._seen == table.index:
            return
        self._seen = table.index
        await asyncio.gather(*(self._plan(table, service) for service in table.shards))

    async def _plan(self, table, name):
        service = table.declaration.service(name)
        preset = table.declaration.find_preset(table.preset)
        servers = table.servers(name)
        view = View(
            shards=table.shards[name],
            moving=table.moves.get(name, {}),
            capacity={m.id: m.slots for m in servers if not table.is_drained(m)},
            present=frozenset(m.id for m in servers),
            budget=preset.move_budget if preset else 0,
            churn_weight=service.weights.churn,
            imbalance_weight=service.weights.imbalance,
        )
        if self._is_settling(view):
            return
        plan = self._policy.plan(view)
        proposals = []
        if plan.assign:
            shards, owners = zip(*sorted(plan.assign.items()), strict=True)
            command = AssignShards(service=name, shards=shards, members=owners)
            proposals.append(self._propose(command))
        if plan.moves:
            shards, targets = zip(*sorted(plan.moves.items()), strict=True)
            command = StartMoves(service=name, shards=shards, targets=targets)
            proposals.append(self._propose(command))
        await asyncio.gather(*proposals)

    def _is_settling(self, view):
        """Whether a service has only just got its first servers.

        Handing all shards to the first one to join would move most of them
        again as the others come, a moment later.
        """
        if any(view.shards.epochs):
            return False
        now = self._clock()
        settled = self._first_seen.setdefault(frozenset(view.capacity), now)
        if now - settled < SETTLE_SECONDS:
            self._seen = None
            return True
        return False

    async def _propose(self, command):
        return await self._raft.propose(encode_command(command))
