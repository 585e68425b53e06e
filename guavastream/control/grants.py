"""Decisions of the leader about key ranges: grants, renewals of holds, moves."""

import asyncio
from heapq import nlargest

from guavastream.control.capacity import CapacityEstimator
from guavastream.control.demand import ServiceDemand
from guavastream.control.holds import HoldTracker
from guavastream.control.moves import KeyMoves
from guavastream.control.settling import SettlingTimer
from guavastream.exception import NotLeader, NotReady
from guavastream.fleet import (
    EndInstance,
    GrantKeys,
    Heartbeat,
    HeartbeatAnswer,
    JoinInstance,
    LeaveInstance,
    ReleaseKeys,
    RemoveInstances,
    RenewKeys,
    encode_command,
    report_interval,
    runs_within,
    subtract_range,
    subtract_rows,
)
from guavastream.kernel import Policy, Signal, TimeLimit, part_logger, replace
from guavastream.leases import HoldTiming
from guavastream.placement import KeyRangeView, plan_key_ranges
from guavastream.routes import Granting

__all__ = ["GrantManager"]

TICK_INTERVAL_SECONDS = 0.05
# Interval between balancing plans, about that of the load reports.
BALANCE_INTERVAL_SECONDS = 0.25
# A move waits this long for a moment at which both the source and the target have
# a heartbeat waiting for an answer; after that the source alone is enough, and
# after twice this long the move starts regardless.
MAX_MOVE_DELAY_SECONDS = 1.0
# Time that the source needs to release a range: its next heartbeat follows within
# 0.1 s, and its requests in progress take a while.
HANDOVER_SECONDS = 0.2

# Maximum numbers of busiest keys and of moves in a log line.
MAX_LOGGED_KEYS = 5
MAX_LOGGED_MOVES = 8
UNKNOWN = Granting.UNKNOWN

log = part_logger("grants")


class GrantManager:
    """Decides which server holds which keys while this control host leads.

    A server holds key ranges under a lease, its hold, which the answers to its
    heartbeats renew.

    Parameters
    ----------
    raft : Raft
        Commits the decisions.
    machine : TableStateMachine
        Keeps the replicated state: servers, key ranges and configuration.
    clock : callable
        Monotonic time in seconds, including time while suspended.
    timing : HoldTiming
        Durations of holds.
    granting : Granting
        How servers are granted keys if the configuration does not specify it.
    policy : Policy, optional
        Enabled mechanisms.
    class_priority : bool
        Whether the settings demand that urgent classes have priority.
    set_gauge, unset_gauge : callable, optional
        Set a gauge by name and value; remove it by name.
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
        class_priority=False,
        set_gauge=lambda name, value: None,
        unset_gauge=lambda name: None,
    ):
        self._class_priority = class_priority
        self._set_gauge = set_gauge
        self._unset_gauge = unset_gauge
        self._policy = policy or Policy()
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._timing = timing or HoldTiming()
        self._granting = granting
        self._holds = HoldTracker(clock=clock, timing=self._timing)
        self._term = 0
        self._latest = {}
        self._wakeups = {}
        self._waiting_until = {}
        self._moves = KeyMoves(clock=clock)
        self._demands = {}
        self._estimator = CapacityEstimator(clock=clock)
        self._settling = SettlingTimer(
            clock=clock, initial_wait=self._timing.initial_wait
        )
        self._balanced_at = 0.0
        self._removing = set()

    @property
    def _state(self):
        """The replicated state after the last applied command."""
        return self._machine.table

    def ensure_term(self):
        """Reset the leader's state if a new term of this leader has started."""
        if self._term == self._raft.term:
            return
        self._term = self._raft.term
        self._holds.start_term(self._state.instances, since=self._raft.predecessor_end)
        self._latest = {}
        self._waiting_until = {}
        self._moves.clear()
        self._settling.clear()
        self._removing = set()

    # The latest message of each type by server: heartbeats, and renewal requests of
    # the sidecar. Both may arrive late and out of order.

    def _latest_like(self, message):
        return self._latest.get((type(message), message.id))

    def _set_latest(self, message):
        self._latest[type(message), message.id] = message

    def _is_latest(self, message):
        return self._latest_like(message) is message

    # Heartbeats

    async def answer_heartbeat(self, heartbeat):
        """Answer a heartbeat, with committed grants only.

        Raises
        ------
        NotLeader
            If this control host is not the leader, or stops being it.
        """
        arrived = self._clock()
        self.ensure_term()
        latest = self._latest_like(heartbeat)
        if latest is not None and heartbeat.seq < latest.seq:
            return HeartbeatAnswer(index=self._state.index)
        self._set_latest(heartbeat)
        is_new = heartbeat.id not in self._state.instances
        if not await self._update_server(heartbeat):
            return HeartbeatAnswer(index=self._state.index, gone=True)
        self._holds.record_heartbeat(heartbeat.id)
        self._estimator.note_cold(heartbeat.id, heartbeat.cold_seconds)
        service = self._state.config.services.get(heartbeat.service)
        if service is None or not service.keyed:
            return HeartbeatAnswer(index=self._state.index)
        if self._granting_mode(heartbeat.service) is not Granting.HEARTBEAT:
            return HeartbeatAnswer(index=self._state.index, new=is_new)
        await self._wait_for_change(heartbeat, arrived)
        self._require_lead()
        if not self._is_latest(heartbeat) or heartbeat.id in self._removing:
            return HeartbeatAnswer(index=self._state.index)
        return self._renewal(heartbeat, arrived)

    def _granting_mode(self, name):
        service = self._state.config.services.get(name)
        return service and service.granting or self._granting

    # Calls of sidecars that grant keys to their servers

    async def renew(self, request):
        """Tell a sidecar which key ranges its server may hold.

        Raises
        ------
        NotLeader
            If this control host is not the leader, or stops being it.
        """
        arrived = self._clock()
        self.ensure_term()
        no_change = HeartbeatAnswer(index=self._state.index)
        if request.id not in self._state.instances:
            return replace(no_change, gone=request.id in self._state.gone)
        if self._granting_mode(request.service) is not Granting.CALL:
            return no_change
        latest = self._latest_like(request)
        if latest is not None and latest.sender_id == request.sender_id:
            if request.seq < latest.seq:
                return no_change
        self._set_latest(request)
        await self._wait_for_change(request, arrived)
        self._require_lead()
        if not self._is_latest(request) or request.id in self._removing:
            return no_change
        if request.id not in self._state.instances:
            return no_change
        drops = self._ranges_to_release(request)
        return replace(self._renewal(request, arrived), drops=drops)

    def _ranges_to_release(self, request):
        """Return the ranges that a server still owns but must release."""
        to_release = []
        for run in self._state.runs_owned_by(request.id, request.service):
            to_keep = self._moves.parts_to_keep(run)
            remaining = [(run.first, run.last)]
            for key_range in to_keep:
                remaining = subtract_range(remaining, key_range)
            to_release += [(first, last, run.fence) for first, last in remaining]
        return tuple(to_release)

    async def release_keys(self, request):
        """Free the ranges that a server has released, and grant them again.

        Raises
        ------
        NotLeader
            If this control host is not the leader, or stops being it.
        """
        self.ensure_term()
        runs = self._state.runs_of(request.service)
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
        await self._plan_service(request.service)

    async def _update_server(self, heartbeat):
        """Commit what a heartbeat changes; return False if the server is gone."""
        state = self._state
        if heartbeat.id in state.gone:
            return False
        known = state.instances.get(heartbeat.id)
        if known is None and not self._accepts_service(heartbeat.service):
            return False
        announced = (
            heartbeat.service,
            heartbeat.door,
            heartbeat.address,
            heartbeat.slots,
        )
        if known is None or announced != (
            known.service,
            known.door,
            known.address,
            known.slots,
        ):
            self._refuse_while_earlier_life_holds(heartbeat)
            if not await self._propose(_join_command(heartbeat)):
                return False
            log.info(
                "Server %s of %s joined at %s.",
                heartbeat.id,
                heartbeat.service,
                heartbeat.door,
            )
            self._settling.note_join(heartbeat.service)
        if heartbeat.leaving and not self._state.instances[heartbeat.id].leaving:
            await self._propose(LeaveInstance(id=heartbeat.id))
            log.info("Server %s is leaving.", heartbeat.id)
        await self._release_reported(heartbeat)
        return True

    def _refuse_while_earlier_life_holds(self, heartbeat):
        """Refuse a server that has restarted under its name while it may hold keys.

        Calls that grant keys name the server, so the process beside it may have granted
        keys of its earlier life to the new one, which then holds them.

        Raises
        ------
        NotReady
            If a permission to grant such keys has not expired.
        """
        if self._granting_mode(heartbeat.service) is not Granting.CALL:
            return
        name = heartbeat.name or heartbeat.id
        for earlier in self._state.instances.values():
            if earlier.server_name != name or earlier.born >= heartbeat.born:
                continue
            if not self._holds.is_expired(earlier.id):
                # It is not renewed from now on.
                self._removing.add(earlier.id)
                raise NotReady("The server may hold keys of its earlier life.")

    def _accepts_service(self, service):
        """Whether servers of a service may join.

        A heartbeat for an unconfigured service comes from outside this
        deployment. Its server would replace the one that is registered under the
        same address.
        """
        config = self._state.config
        return not config.version or service in config.services

    async def _release_reported(self, heartbeat):
        """Free the ranges that a heartbeat reports as released.

        Keys that the same heartbeat reports as held stay with the server. If they were
        freed, it would hold them together with the next owner until an answer that
        leaves them out reaches it.
        """
        runs = self._state.runs_of(heartbeat.service)
        rows = tuple(
            row
            for row in subtract_rows(heartbeat.released, heartbeat.holds)
            if any(
                run.owner == heartbeat.id for run in runs_within(runs, row[0], row[1])
            )
        )
        if not rows:
            return
        command = ReleaseKeys(
            service=heartbeat.service, owner=heartbeat.id, rows=rows, seq=heartbeat.seq
        )
        await self._propose(command)
        # Grant the ranges again at once: until then they have no owner.
        await self._plan_service(heartbeat.service)

    async def _wait_for_change(self, message, arrived):
        """Wait until the answer changes, at most as long as the message allows."""
        wakeup = self._wakeups.setdefault(message.id, Signal(loop=self._loop))
        self._waiting_until[message.id] = arrived + message.wait
        while self._is_latest(message) and not self._has_change(message):
            self._require_lead()
            remaining = arrived + message.wait - self._clock()
            if remaining <= 0:
                return
            wakeup.clear()
            try:
                with TimeLimit.within(remaining, loop=self._loop):
                    await wakeup.wait()
            except TimeoutError:
                return

    def _is_waiting(self, id, seconds):
        """Whether a server's message waits for an answer for `seconds` more."""
        return self._waiting_until.get(id, 0.0) - self._clock() >= seconds

    def _activate_moves(self):
        """Start the moves whose source and target can both be told at once.

        A key has no owner between the answer to its old owner and the answer to
        its new owner. This time is short if the heartbeats of both are waiting.
        """
        now = self._clock()
        for move in self._moves:
            if move.is_active:
                continue
            waited = now - move.started_at
            source = self._state.instances.get(move.source)
            ready = self._is_waiting(move.source, 0.0) and (
                move.is_urgent
                or waited > MAX_MOVE_DELAY_SECONDS
                or self._is_waiting(move.target, HANDOVER_SECONDS)
            )
            if (
                ready
                or source is None
                or not source.accepts_work
                or self._estimator.is_rate_limited(move.source)
                or waited > 2 * MAX_MOVE_DELAY_SECONDS
            ):
                move.is_active = True
                self._notify((move.source,))

    def _has_change(self, message):
        if set(message.holds) != {row[:3] for row in self._ranges_to_hold(message)}:
            return True
        if isinstance(message, RenewKeys):
            return set(message.drops) != set(self._ranges_to_release(message))
        return bool(message.released)

    def _ranges_to_hold(self, message):
        """Return all ranges that a server is to hold, without those to release.

        Handover data is included only for ranges that the server does not hold yet.
        """
        ranges = []
        reported = set(message.holds)
        for run in self._state.runs_owned_by(message.id, message.service):
            for first, last in self._moves.parts_to_keep(run):
                already_held = any(
                    a <= first and last <= b and fence == run.fence
                    for a, b, fence in reported
                )
                ranges.append(
                    (first, last, run.fence, "" if already_held else run.handover)
                )
        return ranges

    def _renewal(self, message, arrived):
        """Renew the hold of a server and return the answer to its message."""
        self._waiting_until.pop(message.id, None)
        self._moves.note_renewal(message.id, self._holds.expires_at(message.id))
        self._holds.renew(message.id, arrived=arrived)
        return HeartbeatAnswer(
            index=self._state.index,
            rows=tuple(self._ranges_to_hold(message)),
            hold=self._timing.hold,
        )

    async def remove_ended(self, report):
        """Remove a server that has ended, and record its requests at that time.

        Its keys are freed at once, because an ended server holds nothing and its
        hold need not expire first.
        """
        self.ensure_term()
        present = report.id in self._state.instances
        if not present and not report.requests:
            return
        command = EndInstance(
            id=report.id,
            service=report.service,
            host=report.host,
            requests=report.requests,
            version=report.version,
        )
        await self._remove_servers((report.id,), command)
        if present:
            log.info("Server %s has ended and was removed.", report.id)

    async def mark_leaving(self, departure):
        """Mark a server as leaving that sends no heartbeat to say so; return its id.

        If the incarnation is not known, a late heartbeat must not let it join.

        Raises
        ------
        NotReady
            If no server of that name is known; it may be about to join.
        """
        self.ensure_term()
        id = departure.id
        if departure.name:
            id = self._id_by_name(departure.name)
        instance = self._state.instances.get(id)
        if instance is None:
            if id not in self._state.gone:
                await self._propose(RemoveInstances(ids=(id,), forever=True))
                log.info("Unknown server %s is leaving.", id)
        elif not instance.leaving:
            await self._propose(LeaveInstance(id=id))
            log.info("Server %s is leaving.", id)
        return id

    def _id_by_name(self, name):
        for instance in self._state.instances.values():
            if instance.server_name == name:
                return instance.id
        raise NotReady(f"No server has the name {name}.")

    def record_load(self, report):
        """Record a report of the requests by key and of their latency."""
        self._demand(report.service).note(
            report, interval=report_interval(len(self._state.instances))
        )
        if not report.id:
            return
        if report.latency:
            self._estimator.note_latency(report.id, report.latency)
        self._estimator.set_rate_limit(report.id, report.rate_limit)

    def _demand(self, name):
        """Return the `ServiceDemand` of a service."""
        demand = self._demands.get(name)
        if demand is None:
            demand = self._demands[name] = ServiceDemand(
                name=name,
                clock=self._clock,
                class_priority=self._class_priority,
                policy=self._policy,
                set_gauge=self._set_gauge,
                unset_gauge=self._unset_gauge,
            )
        return demand

    # Plans

    async def run(self):
        """Expire holds and plan key ranges while leading, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            if not self._raft.is_leader:
                # Wake the waiting messages: they fail with `NotLeader`, and their
                # senders look for the next leader at once.
                self._notify(self._waiting_until)
                self._waiting_until = {}
                for demand in self._demands.values():
                    demand.clear_gauges()
                continue
            self.ensure_term()
            try:
                await self._remove_expired()
                self._activate_moves()
                for name, service in self._state.config.services.items():
                    if service.keyed and self._granting_mode(name) is not UNKNOWN:
                        await self._plan_service(name)
            except NotLeader:
                continue

    async def _remove_expired(self):
        """Remove servers whose hold has expired, or that own nothing and are silent."""
        state = self._state
        owners = {run.owner for runs in state.runs.values() for run in runs}
        expired = [
            id
            for id in state.instances
            if (
                self._holds.is_expired(id)
                if id in owners
                else self._holds.is_silent(id)
            )
        ]
        if expired:
            log.info(
                "Removing silent servers without a valid hold: %s.", ", ".join(expired)
            )
            # A late heartbeat must not bring back a server that was leaving.
            leaving = tuple(id for id in expired if state.instances[id].leaving)
            others = tuple(id for id in expired if id not in leaving)
            for ids, forever in ((leaving, True), (others, False)):
                if ids:
                    command = RemoveInstances(ids=ids, forever=forever)
                    await self._remove_servers(ids, command)
        await self._expire_moves()

    async def _remove_servers(self, ids, command):
        """Commit the removal of servers, after which others may get their keys.

        Notes
        -----
        The commit takes a while. A server that comes back during that time must
        not be renewed: it would continue to hold keys that get another owner as
        soon as the removal is committed. If the commit fails, its outcome is
        unknown, and the servers are not renewed until the next term.
        """
        self._removing.update(ids)
        await self._propose(command)
        for id in ids:
            self._holds.forget(id)
            # If the server comes back with the same id, its sequence numbers
            # start again.
            self._latest.pop((Heartbeat, id), None)
        self._removing.difference_update(ids)

    async def _expire_moves(self):
        """Free moved ranges whose source's hold has expired; drop stalled moves."""
        for move in self._moves.with_expired_source():
            if move.is_owned(self._state.runs_of(move.service)):
                rows = ((move.first, move.last, ""),)
                await self._propose(
                    ReleaseKeys(service=move.service, owner=move.source, rows=rows)
                )
        self._moves.drop_stalled()

    async def _plan_service(self, name):
        """Plan and commit grants for one service, and begin moves."""
        state = self._state
        capacity = self._capacity(name)
        if not capacity or self._is_settling(name):
            return
        runs = state.runs_of(name)
        now = self._clock()
        # Silent servers keep their keys until their holds have certainly expired.
        silent = frozenset(
            i.id for i in state.servers(name) if i.accepts_work and i.id not in capacity
        )
        has_free = any(not run.owner for run in runs)
        keeping = {"", *capacity, *silent}
        has_evacuations = any(run.owner not in keeping for run in runs)
        if (
            not has_free
            and not has_evacuations
            and now - self._balanced_at < BALANCE_INTERVAL_SECONDS
        ):
            return
        if not has_free:
            self._balanced_at = now
        demand = self._demand(name)
        loads = demand.current_loads()
        moves = self._moves.of(name)
        finished = await self._grant_released(name, runs, moves, capacity)
        view = KeyRangeView(
            runs=self._state.runs_of(name),
            capacity=capacity,
            silent=silent,
            limited=frozenset(filter(self._estimator.is_rate_limited, capacity)),
            load=loads.busy,
            areas=loads.areas,
            policy=self._policy,
            load_seconds=loads.seconds,
            spread=demand.is_active,
            moving={
                move.key_range: move.target
                for move in moves
                if move.key_range not in finished
            },
        )
        plan = plan_key_ranges(view)
        if plan.grants:
            await self._propose(GrantKeys(service=name, rows=plan.grants))
            self._notify(row[2] for row in plan.grants)
        if plan.moves:
            log.info(
                "Moving key ranges.",
                extra={
                    "service": name,
                    "moves": plan.moves[:MAX_LOGGED_MOVES],
                    "number": len(plan.moves),
                    "servers": len(capacity),
                    "urgent": sorted(plan.urgent)[:MAX_LOGGED_MOVES],
                    "capacity": {
                        target: round(capacity[target])
                        for _, _, target in plan.moves[:MAX_LOGGED_MOVES]
                        if target in capacity
                    },
                    "busiest": dict(
                        nlargest(MAX_LOGGED_KEYS, loads.busy.items(), _item_rate)
                    ),
                    "rare": round(sum(loads.areas), 1),
                    "speeds": demand.describe_speeds(
                        dict.fromkeys(
                            [*sorted(plan.urgent), *(row[2] for row in plan.moves)]
                        )
                    ),
                },
            )
        for first, last, target in plan.moves:
            self._begin_move(name, first, last, target, urgent=plan.urgent)

    async def _grant_released(self, name, runs, moves, capacity):
        """Grant ranges that were released for a move to their targets.

        Returns
        -------
        finished : set of tuple
            Ranges (first, last) of the moves whose source no longer owns them.
        """
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
                "Granted moved key ranges to their targets.",
                extra={
                    "service": name,
                    "rows": rows[:MAX_LOGGED_MOVES],
                    "number": len(rows),
                },
            )
        runs = self._state.runs_of(name)
        finished = {move.key_range for move in moves if not move.is_owned(runs)}
        self._moves.drop(name, finished)
        return finished

    def _begin_move(self, name, first, last, target, *, urgent):
        """Record a planned move, one for each owned range that it covers.

        Moves off the servers in `urgent` do not wait for their targets.
        """
        for run in runs_within(self._state.runs_of(name), first, last):
            if not run.owner or run.owner == target:
                continue
            move = self._moves.begin(
                service=name,
                first=max(first, run.first),
                last=min(last, run.last),
                source=run.owner,
                target=target,
                is_urgent=run.owner in urgent,
            )
            if self._granting_mode(name) is Granting.CALL:
                # Sidecars that grant by calls can be told at any moment.
                move.is_active = True
                self._notify((move.source,))
            log.debug(
                "Moving keys %d to %d of %s from server %s to %s.",
                move.first,
                move.last,
                name,
                move.source,
                target,
            )

    def _capacity(self, name):
        """Return the requests per second that each server can process.

        Leaves out servers that get no new work or are not present.
        """
        known = self._state.servers(name)
        servers = [i for i in known if i.accepts_work and self._is_present(i)]
        rules = self._state.config.services.get(name)
        demand = self._demand(name)
        demand.update(self._state.config, servers, known=(i.id for i in known))
        return self._estimator.capacities(
            servers,
            rules.cold_rate if rules else 0.0,
            learned=demand.request_seconds(),
        )

    def _is_present(self, server):
        """Whether a server was heard from in this term, and may hold keys.

        After a power failure of all hosts the replicated state lists many servers
        that have ended. Keys must not be granted to those, or moved between them.
        """
        granted_by_call = self._granting_mode(server.service) is Granting.CALL
        message_type = RenewKeys if granted_by_call else Heartbeat
        heard = (message_type, server.id) in self._latest
        return heard and not self._holds.is_expired(server.id)

    def _is_settling(self, name):
        """Whether the first servers of a service are still joining."""
        return name not in self._state.runs and self._settling.is_settling(name)

    def _notify(self, ids):
        """Wake the messages of servers that wait for an answer."""
        for id in ids:
            wakeup = self._wakeups.get(id)
            if wakeup is not None:
                wakeup.set()

    def _require_lead(self):
        if not self._raft.is_leader:
            raise NotLeader(leader=self._raft.leader_address)

    async def _propose(self, command):
        return await self._raft.propose(encode_command(command))


def _item_rate(item):
    return item[1]


def _join_command(heartbeat):
    return JoinInstance(
        id=heartbeat.id,
        service=heartbeat.service,
        host=heartbeat.host,
        door=heartbeat.door,
        address=heartbeat.address,
        zone=heartbeat.zone,
        slots=heartbeat.slots,
        name=heartbeat.name,
        born=heartbeat.born,
        version=heartbeat.version,
    )
