"""The leader's part in who holds which keys: answers to heartbeats, and plans."""

import asyncio
from heapq import nlargest

from guavastream.control.holds import Holds, Move
from guavastream.control.loads import KeyLoads, Loads
from guavastream.exception import NotLeader
from guavastream.fleet import (
    Beat,
    Beaten,
    EndInstance,
    GrantKeys,
    JoinInstance,
    LeaveInstance,
    ReleaseKeys,
    RemoveInstances,
    RenewKeys,
    encode_command,
    rows_without,
    runs_within,
)
from guavastream.kernel import Policy, Signal, TimeLimit, part_logger, replace
from guavastream.leases import HoldTiming
from guavastream.placement import RunView, plan_runs
from guavastream.routes import Granting

__all__ = ["Granter"]

TICK_SECONDS = 0.05
# Plans of balance are made this often; a load report comes about as often.
BALANCE_SECONDS = 0.25
# Request rate assumed of a slot before anything was measured, per second.
SLOT_RATE = 8.0
# A server that says it is cold works at about half its speed.
COLD_SHARE = 0.5
# A move waits this long for a moment at which both its ends can be told.
PATIENCE_SECONDS = 1.0
# Time that the old owner needs to release: its next heartbeat comes within
# 0.1 s, and what runs there takes a while.
HANDOVER_SECONDS = 0.2
# Patience with a source that does not release a row after it was told.
MOVE_SECONDS = 6.0

# Busiest keys, and moves, that a line about a plan tells.
LOGGED_KEYS = 5
LOGGED_MOVES = 8
UNKNOWN = Granting.UNKNOWN

log = part_logger("grants")


class Granter:
    """Decides who holds which keys while this control host leads.

    Parameters
    ----------
    raft : Raft
        Commits the decisions.
    machine : TableMachine
        Keeps the book.
    clock : callable
        Steady time in seconds, suspensions included.
    timing : HoldTiming
        Times of holds.
    granting : Granting
        How servers are granted keys where the configuration does not say.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(
        self,
        *,
        raft,
        machine,
        clock,
        timing=None,
        granting=Granting.HEARTBEAT,
        policy=None,
    ):
        self._policy = policy or Policy()
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._timing = timing or HoldTiming()
        self._granting = granting
        self._holds = Holds(clock=clock, timing=self._timing)
        self._term = 0
        self._newest = {}
        self._events = {}
        self._parked = {}
        self._moves = []
        self._loads = {}
        self._latency = {}
        self._cold = {}
        self._joined = {}
        self._balanced = 0.0
        self._removing = set()

    @property
    def _book(self):
        return self._machine.table

    def ensure_term(self):
        """Begin a new term of this leader, if there is one."""
        if self._term == self._raft.term:
            return
        self._term = self._raft.term
        self._holds.start(self._book.instances, since=self._raft.predecessor_end)
        self._newest = {}
        self._parked = {}
        self._moves = []
        self._joined = {}
        self._removing = set()

    # Each server is spoken for by its heartbeats, and by the renewals of the
    # process beside it; both may come late and out of order.

    def _newest_like(self, said):
        return self._newest.get((type(said), said.id))

    def _note_newest(self, said):
        self._newest[type(said), said.id] = said

    def _is_newest(self, said):
        return self._newest_like(said) is said

    # Heartbeats

    async def beat(self, beat):
        """Answer a heartbeat; nothing is granted that is not committed.

        Raises
        ------
        NotLeader
            If this control host does not lead, or no longer.
        """
        arrived = self._clock()
        self.ensure_term()
        newest = self._newest_like(beat)
        if newest is not None and beat.seq < newest.seq:
            return Beaten(index=self._book.index)
        self._note_newest(beat)
        new = beat.id not in self._book.instances
        if not await self._take(beat):
            return Beaten(index=self._book.index, gone=True)
        self._holds.hear(beat.id)
        self._cold[beat.id] = arrived + beat.cold
        rules = self._book.config.services.get(beat.service)
        if rules is None or not rules.keyed:
            return Beaten(index=self._book.index)
        if self._granting_of(beat.service) is not Granting.HEARTBEAT:
            return Beaten(index=self._book.index, new=new)
        await self._wait_for_news(beat, arrived)
        self._require_lead()
        if not self._is_newest(beat) or beat.id in self._removing:
            return Beaten(index=self._book.index)
        return self._answer(beat, arrived)

    def _granting_of(self, service):
        rules = self._book.config.services.get(service)
        return rules and rules.granting or self._granting

    # Calls of processes that carry grants out

    async def renew(self, request):
        """Say what a server may hold, to the process that grants it.

        Raises
        ------
        NotLeader
            If this control host does not lead, or no longer.
        """
        arrived = self._clock()
        self.ensure_term()
        nothing = Beaten(index=self._book.index)
        if request.id not in self._book.instances:
            return replace(nothing, gone=request.id in self._book.gone)
        if self._granting_of(request.service) is not Granting.CALL:
            return nothing
        newest = self._newest_like(request)
        if newest is not None and newest.asker == request.asker:
            if request.seq < newest.seq:
                return nothing
        self._note_newest(request)
        await self._wait_for_news(request, arrived)
        self._require_lead()
        if not self._is_newest(request) or request.id in self._removing:
            return nothing
        if request.id not in self._book.instances:
            return nothing
        drops = self._drops(request)
        return replace(self._answer(request, arrived), drops=drops)

    def _drops(self, request):
        """Return the rows that a server still has and is to release."""
        drops = []
        for run in self._book.rows_of(request.id, request.service):
            staying = self._staying(run)
            going = [(run.first, run.last)]
            for row in staying:
                going = rows_without(going, row)
            drops += [(first, last, run.fence) for first, last in going]
        return tuple(drops)

    async def take_back(self, request):
        """Free rows that a server has released, and grant them on.

        Raises
        ------
        NotLeader
            If this control host does not lead, or no longer.
        """
        self.ensure_term()
        runs = self._book.runs_of(request.service)
        rows = [
            row
            for row in request.rows
            if any(
                run.owner == request.id and run.fence == row[2]
                for run in runs_within(runs, row[0], row[1])
            )
        ]
        if not rows:
            return
        command = ReleaseKeys(
            service=request.service,
            owner=request.id,
            rows=tuple((first, last, handover) for first, last, _, handover in rows),
            fences=tuple(row[2] for row in rows),
        )
        await self._propose(command)
        await self._plan(request.service)

    async def _take(self, beat):
        """Bring the book in step with what a server says of itself."""
        book = self._book
        if beat.id in book.gone:
            return False
        known = book.instances.get(beat.id)
        if known is None and not self._is_configured(beat.service):
            return False
        said = (beat.service, beat.door, beat.address, beat.slots)
        if known is None or said != (
            known.service,
            known.door,
            known.address,
            known.slots,
        ):
            if not await self._propose(_joining(beat)):
                return False
            log.info("Server %s of %s joined at %s.", beat.id, beat.service, beat.door)
            self._joined.setdefault(beat.service, self._clock())
        if beat.leaving and not self._book.instances[beat.id].leaving:
            await self._propose(LeaveInstance(id=beat.id))
            log.info("Server %s leaves.", beat.id)
        await self._take_released(beat)
        return True

    def _is_configured(self, service):
        """Whether a service may have servers.

        A heartbeat that names another one is of a writer that is not ours. It
        would push the server out whose address it gives.
        """
        config = self._book.config
        return not config.version or service in config.services

    async def _take_released(self, beat):
        runs = self._book.runs_of(beat.service)
        rows = tuple(
            row
            for row in beat.released
            if any(run.owner == beat.id for run in runs_within(runs, row[0], row[1]))
        )
        if not rows:
            return
        command = ReleaseKeys(
            service=beat.service, owner=beat.id, rows=rows, seq=beat.seq
        )
        await self._propose(command)
        # Grant it in the same breath: each wait here is time without an owner.
        await self._plan(beat.service)

    async def _wait_for_news(self, beat, arrived):
        """Hold the answer back while there is nothing new to say."""
        event = self._events.setdefault(beat.id, Signal(loop=self._loop))
        self._parked[beat.id] = arrived + beat.wait
        while self._is_newest(beat) and not self._has_news(beat):
            self._require_lead()
            left = arrived + beat.wait - self._clock()
            if left <= 0:
                return
            event.clear()
            try:
                with TimeLimit.within(left, loop=self._loop):
                    await event.wait()
            except TimeoutError:
                return

    def _is_parked(self, id, seconds):
        """Whether a heartbeat of a server waits here for `seconds` more."""
        return self._parked.get(id, 0.0) - self._clock() >= seconds

    def _activate_moves(self):
        """Begin moves whose both ends can be told at once.

        A key is without an owner from the answer to the old one until the
        answer to the new one; with both heartbeats at hand that is short.
        """
        now = self._clock()
        for move in self._moves:
            if move.active:
                continue
            waited = now - move.began
            source = self._book.instances.get(move.source)
            ready = self._is_parked(move.source, 0.0) and (
                waited > PATIENCE_SECONDS
                or self._is_parked(move.target, HANDOVER_SECONDS)
            )
            if (
                ready
                or source is None
                or source.leaving
                or waited > 2 * PATIENCE_SECONDS
            ):
                move.active = True
                self._notify((move.source,))

    def _has_news(self, beat):
        if set(beat.holds) != {row[:3] for row in self._rows(beat)}:
            return True
        if isinstance(beat, RenewKeys):
            return set(beat.drops) != set(self._drops(beat))
        return bool(beat.released)

    def _rows(self, beat):
        """Return all rows that a server is to hold, without those that leave."""
        rows = []
        held = set(beat.holds)
        for run in self._book.rows_of(beat.id, beat.service):
            for first, last in self._staying(run):
                known = any(
                    a <= first and last <= b and fence == run.fence
                    for a, b, fence in held
                )
                rows.append((first, last, run.fence, "" if known else run.handover))
        return rows

    def _staying(self, run):
        pieces = [(run.first, run.last)]
        for move in self._moves:
            if move.source == run.owner and move.active:
                pieces = rows_without(pieces, (move.first, move.last))
        return pieces

    def _answer(self, beat, arrived):
        self._parked.pop(beat.id, None)
        before = self._holds.until(beat.id)
        for move in self._moves:
            if move.source == beat.id and move.active and not move.until:
                # What is left out now was renewed by the answer before last.
                move.until = before
        self._holds.renew(beat.id, arrived=arrived)
        return Beaten(
            index=self._book.index,
            rows=tuple(self._rows(beat)),
            hold=self._timing.hold,
        )

    async def end(self, report):
        """Take a server out that has ended, and note what it had then.

        It holds nothing any more: its keys need not wait for the end of its hold.
        """
        self.ensure_term()
        present = report.id in self._book.instances
        if not present and not report.requests:
            return
        command = EndInstance(
            id=report.id,
            service=report.service,
            host=report.host,
            requests=report.requests,
            version=report.version,
        )
        await self._take_out((report.id,), command)
        if present:
            log.info("Server %s has ended.", report.id)

    async def depart(self, id):
        """Take a server out that ends without a heartbeat that says so."""
        self.ensure_term()
        instance = self._book.instances.get(id)
        if instance is not None and not instance.leaving:
            await self._propose(LeaveInstance(id=id))
            log.info("Server %s leaves.", id)

    def note_load(self, report):
        """Take a report of requests by key."""
        loads = self._loads.get(report.service)
        if loads is None:
            loads = self._loads[report.service] = KeyLoads(
                clock=self._clock, policy=self._policy
            )
        loads.note(report.keys, report.rest)
        if report.latency:
            self._latency[report.id] = report.latency

    # Plans

    async def run(self):
        """Tend the book while this control host leads, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._raft.is_leader:
                # Whoever waits here for news finds the next leader sooner.
                self._notify(self._parked)
                self._parked = {}
                continue
            self.ensure_term()
            try:
                await self._expire()
                self._activate_moves()
                for name, rules in self._book.config.services.items():
                    if rules.keyed and self._granting_of(name) is not UNKNOWN:
                        await self._plan(name)
            except NotLeader:
                continue

    async def _expire(self):
        book = self._book
        owners = {r.owner for runs in book.runs.values() for r in runs}
        gone = [
            id
            for id in book.instances
            if (self._holds.expired(id) if id in owners else self._holds.silent(id))
        ]
        if gone:
            log.info("Servers are silent and hold nothing now: %s.", ", ".join(gone))
            await self._take_out(tuple(gone), RemoveInstances(ids=tuple(gone)))
        await self._expire_moves()

    async def _take_out(self, ids, command):
        """Commit that servers are out, whose keys may then be given to others.

        Notes
        -----
        The commit takes a while. A server that comes back in that time must
        not be renewed: it would go on holding keys that have another owner
        as soon as the commit is there. If its fate stays unknown, so does
        theirs until the next term.
        """
        self._removing.update(ids)
        await self._propose(command)
        for id in ids:
            self._holds.forget(id)
            # Should it come back under the same start, its numbers begin anew.
            self._newest.pop((Beat, id), None)
        self._removing.difference_update(ids)

    async def _expire_moves(self):
        now = self._clock()
        for move in list(self._moves):
            if move.until and now > move.until and self._is_pending(move):
                rows = ((move.first, move.last, ""),)
                await self._propose(
                    ReleaseKeys(service=move.service, owner=move.source, rows=rows)
                )
        self._moves = [
            move
            for move in self._moves
            if move.until or now - move.began <= MOVE_SECONDS
        ]

    def _is_pending(self, move):
        runs = self._book.runs_of(move.service)
        return any(
            run.owner == move.source for run in runs_within(runs, move.first, move.last)
        )

    async def _plan(self, name):
        book = self._book
        capacity = self._capacity(name)
        if not capacity or self._settles(name):
            return
        runs = book.runs_of(name)
        now = self._clock()
        # Silent servers keep their keys until it is sure that they hold none.
        absent = frozenset(
            i.id for i in book.servers(name) if not i.leaving and i.id not in capacity
        )
        free = any(not run.owner for run in runs)
        staying = {"", *capacity, *absent}
        stranded = any(run.owner not in staying for run in runs)
        if not free and not stranded and now - self._balanced < BALANCE_SECONDS:
            return
        if not free:
            self._balanced = now
        loads = self._loads[name].read() if name in self._loads else Loads()
        moves = [move for move in self._moves if move.service == name]
        targets = await self._grant_moved(name, runs, moves, capacity)
        view = RunView(
            runs=self._book.runs_of(name),
            capacity=capacity,
            absent=absent,
            load=loads.busy,
            areas=loads.areas,
            policy=self._policy,
            moving={
                (m.first, m.last): m.target
                for m in moves
                if (m.first, m.last) not in targets
            },
        )
        plan = plan_runs(view)
        if plan.grants:
            await self._propose(GrantKeys(service=name, rows=plan.grants))
            self._notify(row[2] for row in plan.grants)
        if plan.moves:
            log.info(
                "Keys move.",
                extra={
                    "service": name,
                    "moves": plan.moves[:LOGGED_MOVES],
                    "number": len(plan.moves),
                    "servers": len(capacity),
                    "capacity": {
                        target: round(capacity[target])
                        for _, _, target in plan.moves[:LOGGED_MOVES]
                        if target in capacity
                    },
                    "busiest": dict(nlargest(LOGGED_KEYS, loads.busy.items(), _rate)),
                    "rare": round(sum(loads.areas), 1),
                },
            )
        for first, last, target in plan.moves:
            self._begin_move(name, first, last, target)

    async def _grant_moved(self, name, runs, moves, capacity):
        """Give rows that were released for a move to their targets."""
        rows = []
        for move in moves:
            for run in runs_within(runs, move.first, move.last):
                if not run.owner:
                    if move.target in capacity:
                        first = max(run.first, move.first)
                        last = min(run.last, move.last)
                        rows.append((first, last, move.target))
        if rows:
            await self._propose(GrantKeys(service=name, rows=tuple(rows)))
            self._notify(row[2] for row in rows)
            log.info(
                "Moved keys are granted.",
                extra={
                    "service": name,
                    "rows": rows[:LOGGED_MOVES],
                    "number": len(rows),
                },
            )
        done = {(m.first, m.last) for m in moves if not self._is_pending(m)}
        self._moves = [
            m for m in self._moves if m.service != name or (m.first, m.last) not in done
        ]
        return done

    def _begin_move(self, name, first, last, target):
        for run in runs_within(self._book.runs_of(name), first, last):
            if not run.owner or run.owner == target:
                continue
            move = Move(
                service=name,
                first=max(first, run.first),
                last=min(last, run.last),
                source=run.owner,
                target=target,
                began=self._clock(),
            )
            if self._granting_of(name) is Granting.CALL:
                # Both ends can be told at any moment.
                move.active = True
                self._notify((move.source,))
            self._moves.append(move)
            log.debug(
                "Keys %d to %d of %s go from %s to %s.",
                move.first,
                move.last,
                name,
                move.source,
                target,
            )

    def _capacity(self, name):
        """Return requests a second that each server that stays can do."""
        servers = [
            i for i in self._book.servers(name) if not i.leaving and self._is_present(i)
        ]
        known = [self._latency[i.id] for i in servers if i.id in self._latency]
        usual = sorted(known)[len(known) // 2] if known else 1 / SLOT_RATE
        now = self._clock()
        capacity = {}
        for server in servers:
            rate = server.slots / self._latency.get(server.id, usual)
            if self._cold.get(server.id, 0.0) > now:
                rate *= COLD_SHARE
            capacity[server.id] = max(rate, 0.1)
        return capacity

    def _is_present(self, server):
        """Whether a server was heard in this term, and may hold something.

        After the loss of all power the book is full of servers that ended;
        keys must not go to those, nor from one to another.
        """
        by_call = self._granting_of(server.service) is Granting.CALL
        kind = RenewKeys if by_call else Beat
        heard = (kind, server.id) in self._newest
        return heard and not self._holds.expired(server.id)

    def _settles(self, name):
        """Whether the first servers of a service are still coming."""
        if name in self._book.runs:
            return False
        joined = self._joined.setdefault(name, self._clock())
        return self._clock() - joined < self._timing.settle

    def _notify(self, ids):
        for id in ids:
            event = self._events.get(id)
            if event is not None:
                event.set()

    def _require_lead(self):
        if not self._raft.is_leader:
            raise NotLeader(leader=self._raft.leader_address)

    async def _propose(self, command):
        return await self._raft.propose(encode_command(command))


def _rate(item):
    return item[1]


def _joining(beat):
    return JoinInstance(
        id=beat.id,
        service=beat.service,
        host=beat.host,
        door=beat.door,
        address=beat.address,
        zone=beat.zone,
        slots=beat.slots,
        name=beat.name,
        born=beat.born,
        version=beat.version,
    )
