"""Background task of the leader: expires leases, assigns shards, starts moves."""

import asyncio

from guavastream.exception import NotLeader
from guavastream.kernel import part_logger
from guavastream.placement import POLICIES, PlacementView
from guavastream.state import (
    AssignShards,
    RemoveMembers,
    StartMoves,
    encode_command,
)

__all__ = ["Planner"]

LEADER_INTERVAL_SECONDS = 0.02
FOLLOWER_INTERVAL_SECONDS = 0.1
# Wait for further servers before the shards of a new service are first assigned.
SETTLE_SECONDS = 0.3

log = part_logger("planner")


class Planner:
    """Keeps the shard table in line with leases, declarations and drains.

    Parameters
    ----------
    raft : Raft
        Commits the decisions.
    machine : TableStateMachine
        Holds the table that the decisions are based on.
    keeper : LeaseKeeper
        Tracks the leases of the members.
    policy : str
        Name of the placement policy.
    record : callable
        Receives the kind and fields of an event.
    """

    def __init__(self, *, raft, machine, keeper, policy="balanced", record):
        self._raft = raft
        self._machine = machine
        self._keeper = keeper
        self._policy = POLICIES.get(policy)()
        self._record = record
        self._term = 0
        self._planned_index = None
        self._first_seen = {}
        self._clock = asyncio.get_running_loop().time

    def ensure_term(self):
        """Start tracking leases anew if a new term of this leader has started.

        Must be called before any lease is renewed in the term: the start of a
        term resets the leases and would discard the renewal.
        """
        if self._term != self._raft.term:
            self._term = self._raft.term
            self._planned_index = None
            self._keeper.start(
                self._machine.table.members, since=self._raft.predecessor_end
            )

    async def run(self):
        """Expire leases and plan shards while leading, until cancelled."""
        while True:
            if not self._raft.is_leader:
                await asyncio.sleep(FOLLOWER_INTERVAL_SECONDS)
                continue
            await asyncio.sleep(LEADER_INTERVAL_SECONDS)
            self.ensure_term()
            try:
                await self._update_table()
            except NotLeader:
                continue

    async def _update_table(self):
        expired = self._keeper.expired()
        members = self._machine.table.members
        to_remove = tuple(member for member in expired if member in members)
        for member in to_remove:
            log.info("Lease of member %d has expired.", member)
            self._record("lease_expired", epoch=member)
        if to_remove:
            await self._propose(RemoveMembers(members=to_remove))
        for member in expired:
            self._keeper.forget(member)
        table = self._machine.table
        # Plan once per version of the table. A load report alone triggers no plan,
        # which limits the moves that servers with false reports can cause.
        if self._planned_index == table.index:
            return
        self._planned_index = table.index
        await asyncio.gather(
            *(self._plan_service(table, service) for service in table.shards)
        )

    async def _plan_service(self, table, name):
        service = table.declaration.service(name)
        preset = table.declaration.find_preset(table.preset)
        servers = table.servers(name)
        view = PlacementView(
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
        """Whether the first servers of a service have only just joined.

        If the first server to join received all shards, most of them would have
        to move again when the others join a moment later.
        """
        if any(view.shards.epochs):
            return False
        now = self._clock()
        first_seen = self._first_seen.setdefault(frozenset(view.capacity), now)
        if now - first_seen < SETTLE_SECONDS:
            self._planned_index = None
            return True
        return False

    async def _propose(self, command):
        return await self._raft.propose(encode_command(command))
