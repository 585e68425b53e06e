"""Admission of requests to the local backend server; no request bypasses it."""

import asyncio
import contextlib
import functools
import random
from dataclasses import dataclass, field

from guavastream.kernel import TimeLimit, part_logger
from guavastream.relay.body_queue import StreamedBodies
from guavastream.relay.departure_gate import DepartureGate
from guavastream.relay.level_reporter import LevelReporter
from guavastream.relay.quarantine import Quarantine
from guavastream.relay.server_client import ServerClient
from guavastream.scheduling.admission import AdmissionQueue
from guavastream.scheduling.class_admission import ClassAdmission
from guavastream.scheduling.departures import Departures
from guavastream.scheduling.hangs import SlowStart
from guavastream.scheduling.levels import LevelBoard
from guavastream.scheduling.outcome import NotRun
from guavastream.scheduling.pick import Report
from guavastream.scheduling.rate_limits import ServerRateLimiter
from guavastream.scheduling.return_times import ReturnTimes
from guavastream.scheduling.turns import LifoLock
from guavastream.scheduling.work_meter import WorkMeter

__all__ = ["Guard", "HeldKeys"]

# Longest wait for the server to be granted a key that the fleet state already assigns
# to it.
MAX_GRANT_WAIT_SECONDS = 0.4
KEY_POLL_SECONDS = 0.02
MIN_POLL_SECONDS = 0.001
MIN_SERVER_ERROR_STATUS = 500
# Requests that run at a time at a server that was there before this process, until an
# answer says whether it is limited. The margin beyond a limit is five requests, and the
# process may restart twice within the time over which they are counted. `SlowStart`
# then increases the number.
MAX_UNHEARD_RUNNING = 2
# Share of the time allowed for an evacuation during which an evacuated server still
# serves the keys that it owns, while they are moved.
EVACUATION_SHARE = 0.5

log = part_logger("guard")


def _queue_fields(attempt):
    """Return how an attempt queues for a slot, as arguments of `AdmissionQueue`."""
    return {
        "rank": attempt.rank,
        "kind": attempt.kind,
        "wanted_by": attempt.target_time,
        "deadline": attempt.deadline,
        "call": attempt.is_call,
        "urgency": attempt.urgency,
        "margin": attempt.margin,
    }


def _is_replaced(instance, fleet_state):
    """Whether another instance has the address or the name of one that is gone.

    A leaving server that is gone since it is silent may still run requests.
    """
    return any(
        other.address == instance.address or other.server_name == instance.server_name
        for other in fleet_state.instances.values()
    )


@dataclass(kw_only=True, slots=True)
class HeldKeys:
    """Key ranges that the local server was last told to hold, and until when."""

    ranges: tuple = ()
    until: float = float("-inf")
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def covers(self, key):
        """Whether the key is in one of the ranges, even if `until` has passed."""
        return any(first <= key <= last for first, last in self.ranges)


class Guard:
    """Admits requests to the local server and classifies its answers.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    fleet_holder : TableHolder
        Holds the newest fleet state, which names the local server.
    door : str
        IP:PORT where requests for the local server arrive.
    count : callable
        Counts an event by name.
    keeper : KeyManager, optional
        Holds the leases of servers that are granted keys by calls.
    on_ended : callable, optional
        Called with an instance that has ended and the fingerprints of the requests
        that were running on it.
    on_answered : callable, optional
        Called with the fingerprint of a suspect request and the instance that
        answered it.
    on_leaving : callable, optional
        Called with the local instance when its answers say that it is about to stop.
    policy : Policy, optional
        Mechanisms that are in force.
    rate_limiter : ServerRateLimiter, optional
        Keeps the limits of the local server.
    departures : Departures, optional
        Records since when local servers are leaving, by a clock that includes time
        while suspended.
    evacuation : float
        Time from the acknowledgement of a zone's evacuation until its servers must get
        no more requests, seconds.
    classes : callable, optional
        Returns the `ServiceClasses` of each service by its name.
    class_priority : bool
        Whether requests are admitted by urgency class.
    set_gauge : callable, optional
        Sets a gauge: its name and the value.
    rng : random.Random, optional
        Spreads retries for which no capacity is expected.
    lease_clock : callable, optional
        Monotonic time in seconds, including time while suspended, by which held keys
        expire; that of the loop by default.
    """

    def __init__(
        self,
        *,
        loop,
        dialect,
        fleet_holder,
        door,
        count,
        keeper=None,
        on_ended=lambda instance, requests: None,
        on_answered=lambda fingerprint, instance: None,
        on_leaving=lambda instance: None,
        policy=None,
        rate_limiter=None,
        departures=None,
        evacuation=5.0,
        classes=dict,
        class_priority=False,
        set_gauge=lambda name, value: None,
        rng=None,
        lease_clock=None,
    ):
        self._loop = loop
        self._clock = loop.time
        self._lease_clock = lease_clock or loop.time
        self._dialect = dialect
        self._fleet_holder = fleet_holder
        self._keeper = keeper
        self._door = door
        self._count = count
        self._on_ended = on_ended
        self._on_answered = on_answered
        self._on_leaving = on_leaving
        self._classes = classes
        self._rate_limiter = rate_limiter or ServerRateLimiter(clock=self._clock)
        self._evacuation_grace = EVACUATION_SHARE * evacuation
        # Times at which evacuations of the local server's zone came into force here.
        self._evacuated_at = {}
        self._server = ServerClient(
            loop=loop,
            dialect=dialect,
            count=count,
            on_ended=self._note_ended,
            on_statement=self._note_statement,
        )
        self.quarantine = Quarantine(fleet_holder=fleet_holder, count=count)
        # Held by the suspect request that runs; only one of them runs at a time.
        self._suspect_turn = LifoLock(loop=loop)
        return_times = ReturnTimes(clock=self._clock) if class_priority else None
        self._admission_queue = AdmissionQueue(
            loop=loop, policy=policy, return_times=return_times
        )
        self.level_board = self._class_admission = self._level_reporter = None
        if class_priority:
            rng = rng or random.Random()
            self.level_board = LevelBoard(clock=self._clock, rng=rng)
            self._class_admission = ClassAdmission(
                clock=self._clock,
                rng=rng,
                queue=self._admission_queue,
                return_times=return_times,
                count=count,
            )
            self._level_reporter = LevelReporter(
                clock=self._clock,
                class_admission=self._class_admission,
                board=self.level_board,
                queue=self._admission_queue,
                set_gauge=set_gauge,
            )
        self._held_by = self._local_id = ""
        self._held = None
        self._departure_gate = DepartureGate(
            loop=loop,
            fleet_holder=fleet_holder,
            find_local=self.find_local,
            local_id=lambda: self._local_id,
            queue=self._admission_queue,
            departures=departures or Departures(clock=self._clock),
            count=count,
        )
        # Local instances that were there before this process was, and whose answers it
        # has not seen.
        self._unheard = frozenset()
        # Their `SlowStart` by id, until all of their slots are used.
        self._starts = {}
        self._key_counts = {}
        self._running_attempts = {}
        self._streamed_bodies = StreamedBodies(loop=loop)
        self._work_meter = WorkMeter(clock=self._clock)

    @property
    def local_id(self):
        """Id of the local instance that was last sent a request, or ""."""
        return self._local_id

    def running_attempt(self, id):
        """Return the attempt that the local server runs under a request id, or None."""
        return self._running_attempts.get(id)

    @property
    def running(self):
        """Number of requests that run at the server or wait for it."""
        return self._admission_queue.running + self._admission_queue.waiting

    def usual_seconds(self, kind):
        """Return the smoothed time that a kind of request takes at the server."""
        return self._admission_queue.estimated_seconds(kind)

    def report(self, kind=""):
        """Return the load of the local server, with the times of a kind of request."""
        admission_queue = self._admission_queue
        most_urgent_wait, least_urgent_wait = self._class_waits()
        return Report(
            running=admission_queue.running,
            waiting=admission_queue.waiting,
            slots=admission_queue.slots,
            seconds=admission_queue.seconds,
            of_kind=admission_queue.mean_seconds_for(kind),
            wait=self._limited_wait(),
            most_urgent_wait=most_urgent_wait,
            least_urgent_wait=least_urgent_wait,
        )

    def _local_classes(self):
        """Return the `ServiceClasses` of the local server if it reserves slots."""
        instance = self.find_local(self._local_id)
        return instance and self._classes_of(instance)

    def _classes_of(self, instance):
        classes = self._classes().get(instance.service)
        ordered = classes is not None and classes.need_order(instance.slots)
        return classes if ordered else None

    def _class_waits(self):
        """Return the expected waits of the most and the least urgent requests."""
        classes = self._local_classes()
        if classes is None or not self._admission_queue.by_class:
            return None, None
        return (
            self._admission_queue.expected_wait(classes.most_urgent),
            self._admission_queue.expected_wait(classes.least_urgent),
        )

    @property
    def reserved_slots(self):
        """Number of slots that the least urgent requests may not use now."""
        classes = self._local_classes()
        if classes is None:
            return 0
        return self._admission_queue.reserved_slots(classes.least_urgent)

    @property
    def urgent_load(self):
        """Load of all but the least urgent requests, in slots that they occupy."""
        classes = self._local_classes()
        if classes is None:
            return 0.0
        return self._admission_queue.offered_load(classes.least_urgent)

    def levels_header(self):
        """Return the header value with admission levels, empty if there are none.

        They are those of the local server, and some that this process has received.
        """
        if self._level_reporter is None:
            return b""
        return self._level_reporter.header(self._local_id)

    def _limited_wait(self):
        """Return the time until the local server, if limited, may get a request."""
        instance = self.find_local(self._local_id)
        if instance is None:
            return None
        return self._rate_limiter.wait_seconds(instance.id, self._cold_rate(instance))

    def named_rate(self, id):
        """Return the limit that an instance names, requests per second, or None."""
        return self._rate_limiter.named_rate(id)

    def _cold_rate(self, instance):
        rules = self._fleet_holder.table.config.services.get(instance.service)
        return rules.cold_rate if rules else 0.0

    def refuse_waiting(self):
        """Refuse all requests that wait for the local server."""
        self._admission_queue.refuse_waiting()

    def note_heard(self, heartbeat):
        """Note that an incarnation of the local server announced itself."""
        self._server.watch.note_heard(heartbeat.id)
        self._rate_limiter.note_heartbeat(
            heartbeat.id, seq=heartbeat.seq, cold_seconds=heartbeat.cold_seconds
        )

    def follow(self, before, fleet_state):
        """Take note of changes of the fleet state that concern the local server."""
        self.quarantine.follow(before, fleet_state)
        if fleet_state.instances is before.instances:
            return
        if not before.index:
            self._unheard = frozenset(
                id for id, i in fleet_state.instances.items() if i.door == self._door
            )
            self._starts = {
                id: SlowStart(limit=MAX_UNHEARD_RUNNING) for id in self._unheard
            }
        for id, known in before.instances.items():
            if known.door != self._door:
                continue
            instance = fleet_state.instances.get(id)
            if instance is None:
                if id in fleet_state.gone and _is_replaced(known, fleet_state):
                    self._server.watch.note_replaced(known)
                continue
            if instance.leaving and not known.leaving:
                self._departure_gate.note(id, told_by="fleet state")
            if instance.evacuated and not known.evacuated:
                self._begin_evacuation(instance, fleet_state)
            elif known.evacuated and not instance.evacuated:
                self._evacuated_at.pop(id, None)
                # Servers may lose their caches during an evacuation.
                self._rate_limiter.note_maybe_cold(id)

    def _begin_evacuation(self, instance, fleet_state):
        self._evacuated_at[instance.id] = self._clock()
        rules = fleet_state.config.services.get(instance.service)
        if rules is None or not rules.keyed:
            self._admission_queue.refuse_waiting("evacuated")

    @contextlib.contextmanager
    def health_check(self):
        """Occupy a slot for a health check; yield whether the server may get it.

        A server that has been seen to hang would not respond if it were full, and the
        check would make it so for a request that arrives at the same time.
        """
        if not self._server.hangs:
            yield True
            return
        slot = self._admission_queue.take_free_slot()
        try:
            yield slot is not None
        finally:
            if slot is not None:
                self._admission_queue.leave(slot, kind="")

    def note_refused(self, instance):
        """Note that the local server's address refused a connection."""
        self._server.watch.note_refused(instance)

    def may_have_ended(self, id):
        """Whether calls to an instance of the local server may reach the next one."""
        return self._server.watch.may_have_ended(id)

    def _note_statement(self, instance, statement):
        """Act on what the local server says of itself in an answer."""
        id = instance.id
        known_before = (self.named_rate(id), id in self._departure_gate)
        if statement.is_unlimited or statement.rate_limit is not None:
            self._rate_limiter.set_named_rate(id, statement.rate_limit)
        if statement.leaving and id not in self._departure_gate:
            is_new = id not in self._unheard
            self._departure_gate.note(id, told_by="answer", is_new=is_new)
            self._on_leaving(instance)
        self._unheard -= {id}
        start = self._starts.get(id)
        if start is not None:
            start.note_answer()
            self._admission_queue.slots = self._usable_slots(instance)
            if start.limit >= instance.slots:
                del self._starts[id]
        known = (self.named_rate(id), id in self._departure_gate)
        if known != known_before:
            self._log_statement(id, rate_before=known_before[0])

    def _log_statement(self, id, *, rate_before):
        self._count("server_statements")
        log.info(
            "The local server says something new of itself.",
            extra={
                "server": id,
                "per_second": self.named_rate(id),
                "before_per_second": rate_before,
                "leaving": id in self._departure_gate,
                "running": self._admission_queue.running,
                "waiting": self._admission_queue.waiting,
                "sent": self._rate_limiter.count_sent(),
            },
        )

    def _note_ended(self, instance, requests):
        if instance.leaving or instance.id in self._departure_gate:
            # After a planned end, the running requests are not suspected as its cause.
            requests = ()
        for fingerprint in requests:
            self.quarantine.note_end(fingerprint, instance.id)
        self._on_ended(instance, requests)

    @property
    def counted_requests(self):
        """Number of requests with a key since the last call of `take_key_counts`."""
        return sum(self._key_counts.values())

    def take_key_counts(self):
        """Return the number of requests by key since the last call, and reset it."""
        key_counts, self._key_counts = self._key_counts, {}
        return key_counts

    def take_work(self):
        """Return the rows of `WorkMeter.take` for the local server."""
        return self._work_meter.take()

    def note_leaving(self, id, *, told_by=""):
        """Note that an instance has announced its departure; `told_by` says how."""
        self._departure_gate.note(id, told_by=told_by)

    def narrow_held_keys(self, id, rows):
        """Reduce the held keys to those in `rows`, before the server is told to."""
        if self._held is None or id != self._held_by:
            return
        self._held.ranges = tuple(
            (max(first, row[0]), min(last, row[1]))
            for first, last in self._held.ranges
            for row in rows
            if first <= row[1] and row[0] <= last
        )

    def set_held_keys(self, id, rows, until):
        """Set the keys that the server holds until the lease clock's time `until`."""
        before = self._held if id == self._held_by else None
        held = HeldKeys(ranges=tuple((r[0], r[1]) for r in rows), until=until)
        self._held_by, self._held = id, held
        if before is not None:
            before.changed.set()

    def find_local(self, id):
        """Return the instance with this id if it is the local one, or None."""
        instance = self._fleet_holder.table.instances.get(id)
        if instance is None or instance.door != self._door:
            return None
        return instance

    def _find_server(self, attempt):
        """Return the local server that an attempt is for.

        Raises
        ------
        NotRun
            If it is not here.
        """
        instance = self.find_local(attempt.instance)
        if instance is None or instance.service != attempt.service:
            raise NotRun("no_server")
        return instance

    @contextlib.asynccontextmanager
    async def serve(self, attempt):
        """Run an attempt and yield the server's answer; holds a slot until the exit.

        Raises
        ------
        NotRun
            If the server has not run the attempt and will not run it.
        OutcomeUnknown
            If the attempt may have run.
        """
        instance = self._find_server(attempt)
        self._local_id = instance.id
        if attempt.key is not None and not attempt.is_retry:
            # Retries are not counted: they would inflate the counts of the keys whose
            # owner is overloaded.
            self._key_counts[attempt.key] = self._key_counts.get(attempt.key, 0) + 1
        self._refuse_without_work(attempt, instance)
        if self._server.watch.has_ended(instance.id):
            raise NotRun("unreachable")
        has_turn = await self._wait_for_suspect_turn(attempt, instance)
        place = None
        try:
            if attempt.key is not None:
                await self._wait_for_key(attempt)
            if attempt.rest is not None:
                place = await self._streamed_bodies.enter(attempt, slots=instance.slots)
            with self._reserve_rate(attempt, instance) as reservation:
                slot = await self._wait_for_slot(attempt, instance)
                began, seconds = self._clock(), None
                self._running_attempts[attempt.id] = attempt
                check = functools.partial(self._check_send, attempt, reservation)
                try:
                    if attempt.rest is not None:
                        await attempt.rest.prepare()
                    answer = await self._send_measured(instance, attempt, check)
                    try:
                        yield answer
                    finally:
                        self._clear_if_answered(answer, attempt, instance)
                        answer.close()
                        seconds = self._clock() - began
                finally:
                    if attempt.rest is not None:
                        attempt.rest.end()
                    self._running_attempts.pop(attempt.id, None)
                    self._leave_slot(attempt, slot, seconds)
        finally:
            if place is not None:
                place.leave()
            if has_turn:
                self._suspect_turn.release()

    def _leave_slot(self, attempt, slot, seconds):
        """Free the slot of an attempt as soon as the server does not run it."""
        leave = functools.partial(
            self._admission_queue.leave, slot, kind=attempt.kind, seconds=seconds
        )
        runs_on = self._server.pop_seconds_running_on(attempt)
        if runs_on:
            self._loop.call_later(runs_on, leave)
        else:
            leave()

    def _check_send(self, attempt, reservation):
        """Refuse an attempt that the server must not get now.

        This is the only decision that counts: the earlier ones spare callers a wait.

        Raises
        ------
        NotRun
            If something has changed since the attempt was admitted.
        """
        instance = self.find_local(attempt.instance)
        if instance is None:
            raise NotRun("no_server")
        self._refuse_without_work(attempt, instance)
        self.quarantine.check(attempt, instance)
        if attempt.key is not None and not self._holds_key(attempt):
            raise NotRun("moving")
        if self._clock() >= attempt.deadline:
            raise NotRun("no_time")
        with self._logged_refusals(attempt):
            reservation.use()
        self._departure_gate.note_send(attempt, instance)

    async def _send_measured(self, instance, attempt, check):
        """Send an attempt and return the answer; count its time at the server.

        The time ends when the answer begins: how long the rest takes depends on the
        link to the caller, too.
        """
        self._work_meter.begin(attempt.id, attempt.kind)
        completed = failed = False
        try:
            answer = await self._server.send(instance, attempt, check)
            failed = answer.status >= MIN_SERVER_ERROR_STATUS
            completed = not failed
            return answer
        except NotRun:
            failed = True
            raise
        finally:
            self._work_meter.end(attempt.id, completed=completed, failed=failed)

    @contextlib.contextmanager
    def measure_call(self, id):
        """Count the time of the context as that of a call, given the call's id."""
        parent = id.partition(self._dialect.call_separator)[0]
        self._work_meter.begin_call(parent)
        try:
            yield
        finally:
            self._work_meter.end_call(parent)

    def refuse_early(self, attempt):
        """Refuse an attempt that the server would not get, before its body is received.

        Raises
        ------
        NotRun
            If the server has ended, leaves, is evacuated, does not own the key, gets as
            many requests as it takes, or has no slot in time.
        """
        instance = self._find_server(attempt)
        self._refuse_without_work(attempt, instance)
        if self._server.watch.has_ended(instance.id):
            raise NotRun("unreachable")
        if attempt.key is not None and not self._owns_key(attempt):
            raise NotRun("moving")
        with self._logged_refusals(attempt):
            self._rate_limiter.check(instance.id, self._cold_rate(instance))
            # A retry may have a reservation, which is known when it enters the queue.
            if self._class_admission is None or not attempt.is_retry:
                self._admission_queue.refuse_early(**_queue_fields(attempt))

    async def _wait_for_suspect_turn(self, attempt, instance):
        """Wait until no other suspect request runs, if this one is suspect.

        As it is the only suspect request at the server, it is known as the cause if
        the server ends, and is cleared if the server answers. Returns whether the
        request is suspect and has taken its turn, which the caller must release.
        """
        suspect_status = self.quarantine.check(attempt, instance)
        if suspect_status is None or not suspect_status.must_run_alone:
            return False
        needed = max(
            attempt.margin, self._admission_queue.estimated_seconds(attempt.kind)
        )
        try:
            await self._suspect_turn.acquire(until=attempt.deadline - needed)
        except TimeoutError:
            raise NotRun("overloaded") from None
        try:
            # The request may have been quarantined during the wait.
            self.quarantine.check(attempt, instance)
        except NotRun:
            self._suspect_turn.release()
            raise
        return True

    def _reserve_rate(self, attempt, instance):
        """Reserve one of the requests that a limited server may get."""
        with self._logged_refusals(attempt):
            return self._rate_limiter.reserve(instance.id, self._cold_rate(instance))

    async def _wait_for_slot(self, attempt, instance):
        """Wait for a slot and return it."""
        self._admission_queue.slots = self._usable_slots(instance)
        classes = self._classes_of(instance)
        self._admission_queue.by_class = classes is not None
        self._admission_queue.reserves_slots = (
            classes is not None and classes.need_reservation(instance.slots)
        )
        self._departure_gate.check_wait(attempt, instance)
        enter = self._admission_queue.enter
        if self._class_admission is not None:
            enter = functools.partial(
                self._class_admission.enter,
                what=(attempt.kind, attempt.target),
                keyed=attempt.key is not None,
                share=attempt.share,
            )
        with self._logged_refusals(attempt):
            slot = await enter(
                **_queue_fields(attempt),
                id=attempt.id.partition(self._dialect.call_separator)[0],
                again=attempt.is_retry,
                last=attempt.is_last,
            )
        if slot.was_starved:
            self._count("starved_requests_served")
        return slot

    def _usable_slots(self, instance):
        """Return the slots that may be used now, fewer just after a restart.

        Where long requests share slots with short ones, those of the process before
        may occupy slots for long. Elsewhere they have ended by the first answer.
        """
        start = self._starts.get(instance.id)
        if start is None:
            return instance.slots
        classes = self._classes_of(instance)
        if classes is None or not classes.need_reservation(instance.slots):
            if instance.id not in self._unheard:
                return instance.slots
        return min(instance.slots, start.limit)

    def _clear_if_answered(self, answer, attempt, instance):
        # An error does not clear the request: the server may have failed before it
        # reached the harmful part.
        if not answer.ended or answer.status >= MIN_SERVER_ERROR_STATUS:
            return
        suspect_status = self.quarantine.status_of(attempt)
        if suspect_status is not None:
            self.quarantine.note_answered(suspect_status.fingerprint)
            self._on_answered(suspect_status.fingerprint, instance)

    @contextlib.contextmanager
    def _logged_refusals(self, attempt):
        """Log a refusal of an attempt within the context, and raise it on."""
        try:
            yield
        except NotRun as refused:
            if (refused.reasons or {}).get("reserved"):
                self._count("refused_with_reserved_slots")
            self._log_refusal(attempt, refused)
            raise

    def _log_refusal(self, attempt, refused):
        """Log the reasons for a refusal; the ingress only receives its code."""
        log.info(
            "Refused before the server.",
            extra={
                "request": attempt.id.decode("latin-1"),
                "code": refused.code,
                "service": attempt.service,
                "kind": attempt.kind,
                "key": attempt.key,
                "call": attempt.is_call,
                "again": attempt.is_retry,
                "book_ms": self._fleet_holder.confirmation.age_ms,
                **(refused.reasons or {}),
            },
        )

    def _refuse_without_work(self, attempt, instance):
        """Refuse an attempt if the server gets no more work of its kind."""
        if not self._fleet_holder.confirmation.is_valid:
            raise NotRun("unconfirmed")
        self._refuse_if_rerouted(attempt)
        self._refuse_if_evacuated(attempt, instance)
        self._departure_gate.check(attempt, instance)

    def _refuse_if_rerouted(self, attempt):
        """Refuse an attempt that a newer configuration than the sender's leads away."""
        config = self._fleet_holder.table.config
        if not 0 < attempt.config_version < config.version:
            return
        route = config.routes.get(attempt.kind)
        if route is not None and route.leads_to(attempt.service):
            return
        self._count("routed_by_older")
        log.info(
            "Routed by an older configuration.",
            extra={
                "request": attempt.id.decode("latin-1"),
                "kind": attempt.kind,
                "config": attempt.config_version,
                "newest": config.version,
            },
        )
        raise NotRun("rerouted")

    def _refuse_if_evacuated(self, attempt, instance):
        if not instance.evacuated:
            return
        # The owner of a key serves it until it is moved. A process that was started
        # during the evacuation does not know its beginning and refuses at once.
        since = self._evacuated_at.get(instance.id, float("-inf"))
        if attempt.key is None or self._clock() - since > self._evacuation_grace:
            raise NotRun("evacuated")

    async def _wait_for_key(self, attempt):
        until = min(
            attempt.deadline - attempt.margin,
            self._clock() + MAX_GRANT_WAIT_SECONDS,
        )
        while not self._holds_key(attempt):
            if not self._owns_key(attempt):
                raise NotRun("moving")
            left = until - self._clock()
            if left <= 0:
                raise NotRun("moving")
            # The wait ends when the server is granted the key, or when the fleet state
            # assigns the key to another server. The latter sets no event, so it is
            # polled.
            self._fleet_holder.request_update()
            with contextlib.suppress(TimeoutError):
                pause = max(MIN_POLL_SECONDS, min(KEY_POLL_SECONDS, left))
                with TimeLimit.within(pause, loop=self._loop):
                    await self._held_keys_changed(attempt).wait()

    def _owns_key(self, attempt):
        """Whether the fleet state assigns the key of an attempt to its server."""
        owner = self._fleet_holder.table.owner_of(attempt.service, attempt.key)
        return owner is not None and owner.id == attempt.instance

    def _holds_key(self, attempt):
        """Whether the server holds the key of an attempt, as far as this host knows."""
        leases = self._find_leases(attempt)
        if leases is not None:
            return leases.covers(attempt.key)
        held = self._held if self._held_by == attempt.instance else None
        # A process that has just started does not know which keys the server holds.
        # The server knows, and refuses requests for other keys itself.
        return held is None or (
            held.covers(attempt.key) and self._lease_clock() < held.until
        )

    def _find_leases(self, attempt):
        return self._keeper and self._keeper.leases_of(attempt.instance)

    def _held_keys_changed(self, attempt):
        """Return an event that is set at the next change of the held keys."""
        if self._find_leases(attempt) is not None:
            return self._keeper.changed(attempt.instance)
        return self._held.changed
