"""The process beside a backend server: requests, heartbeats, readiness."""

import asyncio
import random

from guavastream.exception import GuavastreamError
from guavastream.fleet import Depart, FleetStateCodec, LiftSuspects
from guavastream.hosts.book_follower import FleetStateFollower
from guavastream.hosts.end_reporter import EndReporter
from guavastream.hosts.key_keeper import KeyManager, KeySender
from guavastream.hosts.load_reporter import LoadReporter
from guavastream.hosts.tasks import Tasks
from guavastream.http1 import (
    Capacity,
    Client,
    IncompleteMessage,
    Limits,
    NotSent,
    Server,
)
from guavastream.kernel import (
    Counters,
    parse_address,
    part_logger,
    replace,
    steady_time,
)
from guavastream.leases import MAX_CLOCK_DRIFT, ControlClient
from guavastream.leases.messages import Watch
from guavastream.messages import RelayingTransport, RelayService
from guavastream.messages.zmq_transport import ZmqNetwork
from guavastream.relay import (
    CLOSING_RESPONSE,
    HOP_IDLE_SECONDS,
    MAX_CONFIRMATION_WAIT_SECONDS,
    Guard,
    HopHandler,
    Ingress,
)
from guavastream.replica import Confirmation, TableHolder
from guavastream.routes import RouteIndex
from guavastream.scheduling import (
    Departures,
    Picker,
    ServerLists,
    ServerRateLimiter,
    service_classes,
)

__all__ = ["ServerHost"]

# The answer to a heartbeat counts only within one second.
HEARTBEAT_TIMEOUT_SECONDS = 0.85
HEARTBEAT_ATTEMPT_SECONDS = 0.75
# How long the leader may delay its answer to include a grant in progress.
HEARTBEAT_WAIT_SECONDS = 0.55
# If the leader has answered within this time, it gets the full timeout; otherwise
# each control host is tried with a short one.
LEADER_TRUST_SECONDS = 2.5
UNKNOWN_LEADER_ATTEMPT_SECONDS = 0.2
# Time within which the local server reads an answer. A request sent to it earlier
# would find that it does not hold the key yet.
GRANT_DELAY_SECONDS = 0.004
PROBE_TIMEOUT_SECONDS = 0.5
# Above this number, idle connections of callers are closed, longest idle first.
# Each costs about 8 KB and a file descriptor, of which a host has some thousands.
MAX_CALLER_CONNECTIONS = 500
# Limits on requests of other hosts.
MIN_INBOUND_HEAD_BYTES = 64 << 10
MAX_INBOUND_BODY_BYTES = 1 << 30
# Planned stop: callers go to other hosts after two failed readiness checks, one
# second apart, so requests are accepted for at least MIN_DRAIN_SECONDS and until
# there were none for DRAIN_IDLE_SECONDS. Callers may stay because too few other
# hosts are left; after MAX_DRAIN_SECONDS their requests are refused, which leaves
# the running ones time to finish.
MIN_DRAIN_SECONDS = 2.3
MAX_DRAIN_SECONDS = 3.0
DRAIN_IDLE_SECONDS = 0.3
# Shortest time for which requests are then refused before connections are closed.
MIN_REFUSE_SECONDS = 0.3
# Share of the grace time reserved for closing connections. Requests that run are ended
# by this process in the last sixth of the grace time only, on other hosts, too.
SHUTDOWN_RESERVE_SHARE = 0.13
# Extra time for a request that is still in transit from another host on a
# connection that was accepted last.
LATE_REQUEST_SECONDS = 0.1
# Before the time limit of the stop, requests queued for the local server are
# refused, since they surely did not run, and running ones get their final answer.
REFUSE_WAITING_SECONDS = 0.2
FINAL_ANSWER_SECONDS = 0.1
POLL_SECONDS = 0.05

log = part_logger("host")


class ServerHost:
    """One process beside one backend server.

    Parameters
    ----------
    settings : FleetSettings
        Validated settings.
    dialect : Dialect
        Header names.
    key_dialect : KeyDialect
        How grants and releases of keys are encoded.
    network : PeerNetwork, optional
        Carries messages between processes; pyzmq by default.
    clock : callable, optional
        Monotonic time in seconds, including time while suspended.
    started_at : float, optional
        Time of the clock at which this process started, and an earlier one had ended;
        now by default.
    """

    def __init__(
        self,
        *,
        settings,
        dialect,
        key_dialect,
        network=None,
        clock=steady_time,
        started_at=None,
    ):
        self.counters = Counters()
        self.stopping = False
        self._settings = settings
        self._clock = clock
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()
        network = network or ZmqNetwork()
        self._direct = network.transport(
            on_reconnect=lambda address: self.counters.count("peer_reconnects"),
            on_late=self._count_late,
        )
        self._transport = RelayingTransport(
            direct=self._direct,
            relays=self._other_peers,
            probes=(Watch,),
            clock=self._loop.time,
            on_change=self._on_cut_off,
        )
        self._control = ControlClient(
            transport=self._transport, addresses=settings.seeds
        )
        self._state_holder = TableHolder(
            codec=FleetStateCodec(),
            confirmation=Confirmation(
                clock=clock,
                max_age=settings.config_apply * (1 - MAX_CLOCK_DRIFT),
                since=clock() if started_at is None else started_at,
            ),
        )
        self._state_follower = FleetStateFollower(
            control=self._control,
            holder=self._state_holder,
            seeds=settings.seeds,
            on_change=self._on_fleet_change,
            count=self.counters.count,
            observe=self.counters.observe,
        )
        self._route_index = None
        self._service_classes = {}
        self._picker = Picker(
            clock=self._loop.time,
            rng=random.Random(),
            zone=settings.zone,
            policy=settings.policy,
        )
        self._key_manager = KeyManager(
            control=self._control,
            sender=KeySender(dialect=key_dialect),
            granting=settings.granting,
            longest_hold=settings.longest_hold,
            door=settings.inbound,
            count=self.counters.count,
            on_refused=lambda instance: self._guard.note_refused(instance),
            may_have_ended=lambda id: self._guard.may_have_ended(id),
            clock=clock,
        )
        self._end_reporter = EndReporter(
            control=self._control, host=settings.host, count=self.counters.count
        )
        self._guard = Guard(
            loop=self._loop,
            dialect=dialect,
            fleet_holder=self._state_holder,
            keeper=self._key_manager,
            door=settings.inbound,
            count=self.counters.count,
            on_ended=self._end_reporter.record_end,
            on_answered=self._end_reporter.record_answered,
            on_leaving=self._end_reporter.record_departure,
            policy=settings.policy,
            rate_limiter=ServerRateLimiter(
                clock=clock,
                heartbeat=settings.heartbeat,
                overage=settings.cold_overage,
                slack=settings.cold_slack,
            ),
            departures=Departures(clock=clock),
            lease_clock=clock,
            evacuation=settings.evacuation,
            classes=lambda: self._service_classes,
            class_priority=settings.class_priority,
            set_gauge=self.counters.set,
        )
        self.counters.set_function("reserved_slots", lambda: self._guard.reserved_slots)
        self.counters.set_function(
            "urgent_load", lambda: round(self._guard.urgent_load, 3)
        )
        self._newest_heartbeats = {}
        self._ingress = Ingress(
            loop=self._loop,
            dialect=dialect,
            fleet_holder=self._state_holder,
            routes=lambda: self._route_index,
            guard=self._guard,
            picker=self._picker,
            service=settings.service,
            lists=ServerLists(
                host=settings.host,
                zone=settings.zone,
                sampled=settings.policy.sampled,
                regions=settings.regions,
            ),
            ratio=settings.retry_ratio,
            count=self.counters.count,
            observe=self.counters.observe,
            policy=settings.policy,
            classes=lambda: self._service_classes,
            class_priority=settings.class_priority,
        )
        self._load_reporter = LoadReporter(
            control=self._control,
            holder=self._state_holder,
            guard=self._guard,
            ingress=self._ingress,
            door=settings.inbound,
            class_priority=settings.class_priority,
        )
        self._hop_handler = HopHandler(
            loop=self._loop,
            dialect=dialect,
            guard=self._guard,
            link_rate=settings.link_rate,
            class_priority=settings.class_priority,
        )
        self.capacity = Capacity(
            loop=self._loop,
            machine_bytes=settings.memory_bytes,
            count=self.counters.count,
        )
        self.counters.set_function(
            "client_memory_bytes", lambda: self.capacity.memory.held
        )
        self._outbound = Server(
            address=parse_address(settings.outbound),
            handler=self._ingress.handle,
            max_connections=MAX_CALLER_CONNECTIONS,
            note_refused=lambda status: self.counters.count(f"rejected.{status}"),
            note_aborted=lambda cut: self._log_cut("caller", cut),
            may_overlap=self._ingress.may_overlap,
            count=self.counters.count,
            capacity=self.capacity,
        )
        self._inbound = Server(
            address=parse_address(settings.inbound),
            handler=self._hop_handler.handle,
            limits=_inbound_limits(Limits.head_bytes),
            # The other hosts know this timeout, and traffic between zones is billed.
            announces_idle_timeout=False,
            closing_response=CLOSING_RESPONSE,
            note_aborted=lambda cut: self._log_cut("host", cut),
            capacity=self.capacity,
        )
        desk = RelayService(
            transport=self._transport,
            targets=lambda: self._control.addresses,
            count=self.counters.count,
        )
        self._relay_server = network.server(
            address=settings.peer,
            handler=desk.handle,
            on_malformed=lambda: self.counters.count("malformed_messages"),
        )
        self._prober = Client()
        # Times of the last heartbeats of local servers by id. Those that were there
        # before this process count as heard at its start.
        self._began = clock()
        self._heard_at = {}
        self._held_seq = {}
        self._leader_answered_at = float("-inf")
        self._tasks = Tasks()

    @property
    def ready(self):
        """Whether the readiness check passes and callers may send requests."""
        if self._route_index is None or self.stopping:
            return False
        # Later the ingress refuses all requests at once.
        overdue = self._state_holder.confirmation.overdue
        return overdue < MAX_CONFIRMATION_WAIT_SECONDS

    @property
    def fleet_state(self):
        """The newest fleet state."""
        return self._state_holder.table

    async def lift_suspects(self, requests):
        """Clear suspect requests, given their fingerprints.

        Raises
        ------
        NotReady, PeerFailure
            If it is unknown whether they were cleared.
        """
        request = LiftSuspects(requests=requests)
        await self._control.call(request, timeout=HEARTBEAT_TIMEOUT_SECONDS)

    async def start(self):
        """Start serving.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        self._relay_server.start()
        await self._inbound.start()
        await self._outbound.start()
        self._tasks.spawn(self._state_follower.run())
        self._tasks.spawn(self._end_reporter.run())
        self._tasks.spawn(self._load_reporter.run())

    def update_seeds(self, seeds):
        """Set the seeds from changed settings."""
        self._state_follower.seeds = seeds

    async def wait_failed(self):
        """Wait until a background task fails, and raise its error."""
        await self._tasks.wait_failed()

    # Connections

    def _other_peers(self):
        """Return the peer addresses of other hosts; all hosts use the same ports."""
        _, port = parse_address(self._settings.peer)
        here = parse_address(self._settings.inbound)[0]
        others = {
            parse_address(instance.door)[0]
            for instance in self._state_holder.table.instances.values()
        }
        return [f"{ip}:{port}" for ip in sorted(others - {here})]

    def _on_cut_off(self, cut_off):
        if cut_off:
            self.counters.count("cut_off")
            log.warning(
                "No control host can be reached: calls are relayed by other hosts."
            )
        else:
            log.info("A control host can be reached directly again.")

    def _log_cut(self, peer, cut):
        """Log that a connection from a caller or a host was cut during a request."""
        self.counters.count(f"cut.{peer}.{cut.cause}")
        headers = cut.request.headers
        log.warning(
            "A connection was ended under a request.",
            extra={
                "request": headers.get(self._dialect.request_id.lower()).decode(
                    "latin-1"
                ),
                "peer": peer,
                "why": cut.cause,
                "begun": cut.handler_called,
                "whole": cut.request_complete,
                "answered": cut.response_sent,
                "stopping": self.stopping,
                "version": self._state_holder.table.config.version,
            },
        )

    def _count_late(self, size):
        self.counters.count("late_answers")
        self.counters.count("late_answer_bytes", size)

    # The fleet state

    def _on_fleet_change(self, before, fleet_state):
        if fleet_state.instances is not before.instances:
            self._picker.keep_only(fleet_state.instances)
        self._guard.follow(before, fleet_state)
        self._key_manager.follow(fleet_state)
        config = fleet_state.config
        if config is before.config or not config.version:
            return
        self._route_index = RouteIndex(config)
        self._service_classes = service_classes(
            config, class_priority=self._settings.class_priority
        )
        self._outbound.limits = Limits(
            head_bytes=config.limits.head_bytes,
            body_bytes=config.limits.body_bytes,
            head_seconds=config.limits.head_seconds,
            idle_seconds=config.limits.idle_seconds,
        )
        self._inbound.limits = _inbound_limits(config.limits.head_bytes)
        self.counters.set("config_version", config.version)
        log.info("Version %d of the configuration is in force.", config.version)

    # The local server

    async def beat(self, heartbeat):
        """Forward a heartbeat of the local server and return the answer.

        Raises
        ------
        NotReady, PeerFailure
            If no leader answered in time.
        """
        arrived, lease_begins = self._loop.time(), self._clock()
        if (
            heartbeat.id not in self._state_holder.table.instances
            and not await self._is_at_its_address(heartbeat)
        ):
            self.counters.count("beats_of_others")
            log.warning(
                "Heartbeat of %s dropped: the server is not at its address.",
                heartbeat.id,
            )
            return None
        self._guard.note_heard(heartbeat)
        self._heard_at[heartbeat.id] = lease_begins
        if heartbeat.leaving:
            self._guard.note_leaving(heartbeat.id, told_by="heartbeat")
        # While the leader is unknown, a delayed answer could not be told from a
        # lost one, and the short attempts leave time to try several hosts.
        attempt = UNKNOWN_LEADER_ATTEMPT_SECONDS
        if arrived - self._leader_answered_at <= LEADER_TRUST_SECONDS:
            heartbeat, attempt = (
                replace(heartbeat, wait=HEARTBEAT_WAIT_SECONDS),
                HEARTBEAT_ATTEMPT_SECONDS,
            )
        try:
            answer = await self._control.call(
                heartbeat, timeout=HEARTBEAT_TIMEOUT_SECONDS, attempt=attempt
            )
        except GuavastreamError:
            self._leader_answered_at = float("-inf")
            raise
        self._leader_answered_at = self._loop.time()
        if answer.gone:
            return answer
        self._newest_heartbeats[heartbeat.name] = heartbeat
        if answer.new:
            self._key_manager.note_no_predecessor(heartbeat.id)
        if answer.rows is not None:
            until = lease_begins + answer.hold
            self._guard.narrow_held_keys(heartbeat.id, answer.rows)
            # The server holds new keys only once this answer has reached it.
            self._loop.call_later(
                GRANT_DELAY_SECONDS,
                self._record_held_keys,
                heartbeat,
                answer.rows,
                until,
            )
        return answer

    def _record_held_keys(self, heartbeat, rows, until):
        if self._held_seq.get(heartbeat.id, 0) <= heartbeat.seq:
            self._held_seq[heartbeat.id] = heartbeat.seq
            self._guard.set_held_keys(heartbeat.id, rows, until)

    async def depart(self, name, *, id=""):
        """Forward the announcement that the local server is stopping.

        Parameters
        ----------
        name : str
            Name that the server gives itself.
        id : str
            Incarnation that is stopping, the newest one of that name by default.

        Raises
        ------
        NotReady, PeerFailure
            If the departure may not have been recorded.
        """
        departure = Depart(id=id) if id else Depart(id=name, name=name)
        known_id = id or self._known_incarnation(name)
        self._guard.note_leaving(known_id, told_by="departure")
        answer = await self._control.call(departure, timeout=HEARTBEAT_TIMEOUT_SECONDS)
        self._guard.note_leaving(answer.id, told_by="departure")

    def _known_incarnation(self, name):
        """Return the id of the newest incarnation of a server that is known here."""
        # The fleet state may not yet contain what the last heartbeat announced.
        heartbeat = self._newest_heartbeats.get(name)
        incarnations = [] if heartbeat is None else [heartbeat]
        incarnations += [
            instance
            for instance in self._state_holder.table.instances.values()
            if instance.server_name == name
        ]
        if not incarnations:
            return name
        return max(incarnations, key=lambda known: known.born).id

    async def _is_at_its_address(self, heartbeat):
        """Whether the sender of a heartbeat, which is unknown, answers at its address.

        A delayed heartbeat may arrive when its sender has ended and another
        server uses the address. Without an answer the sender counts as there, unless it
        would displace a server that may hold keys.
        """
        with self._guard.health_check() as may_check:
            # Without a free slot it would not respond.
            reported = await self._reported_name(heartbeat) if may_check else b""
        if reported is None:
            return False
        if not reported:
            return not self._has_other_server(heartbeat)
        return reported == (heartbeat.name or heartbeat.id).encode()

    def _has_other_server(self, heartbeat):
        """Whether another server was heard at its address within the longest hold.

        One of the same name is an earlier or a later life of the sender, which the
        leader tells by the times at which they started.
        """
        since = self._clock() - self._settings.longest_hold
        return any(
            other.address == heartbeat.address
            and other.server_name != (heartbeat.name or heartbeat.id)
            and self._heard_at.get(other.id, self._began) >= since
            for other in self._state_holder.table.instances.values()
        )

    async def _reported_name(self, heartbeat):
        """Return the name of the server at the address of a heartbeat's sender.

        Empty if it does not say or is late, None if no server is there.
        """
        rules = self._state_holder.table.config.services.get(heartbeat.service)
        path = rules.health if rules else "/health"
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                async with await self._prober.open(
                    heartbeat.address, fresh=True
                ) as probe:
                    headers = [(b"Host", heartbeat.address.encode())]
                    probe.send(b"GET", path.encode(), headers)
                    answer = await probe.answer()
                    await answer.body.read_up_to(1 << 16)
                    # Checks use new connections only, and the server has few.
                    probe.discard()
        except (NotSent, IncompleteMessage):
            return None
        except TimeoutError:
            return b""
        return answer.headers.get(self._dialect.instance.lower())

    # Stopping

    async def drain(self):
        """Drain before a planned stop, within the grace time, cutting no request."""
        self.stopping = True
        log.info("Stopping: the readiness check fails, so callers go to other hosts.")
        began = self._loop.time()
        limit = began + self._settings.grace * (1 - SHUTDOWN_RESERVE_SHARE)
        for part in (self._ingress, self._hop_handler):
            part.end_by(limit - FINAL_ANSWER_SECONDS)
        self._outbound.closing = True
        await self._wait_callers_gone(began)
        # From here on new requests are refused as not run. Connections stay
        # open, so that no request is cut.
        self._ingress.leaving = self._hop_handler.leaving = True
        self._inbound.closing = True
        self._outbound.begin_close()
        await self._end_requests(limit)
        await asyncio.gather(
            self._outbound.drain_listener(), self._inbound.drain_listener()
        )
        self._inbound.begin_close()
        await asyncio.sleep(LATE_REQUEST_SECONDS)
        log.info("Stopped.")

    async def _wait_callers_gone(self, began):
        """Wait until callers have gone to other hosts, at most MAX_DRAIN_SECONDS."""
        idle_since = None
        while self._loop.time() < began + MAX_DRAIN_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            now = self._loop.time()
            if self._outbound.busy or self._inbound.busy:
                idle_since = None
            else:
                idle_since = idle_since or now
            is_idle = idle_since is not None and now - idle_since >= DRAIN_IDLE_SECONDS
            if is_idle and now - began >= MIN_DRAIN_SECONDS:
                return

    async def _end_requests(self, limit):
        """Wait until no request runs or is queued, at most until the time `limit`."""
        end = self._loop.time() + MIN_REFUSE_SECONDS
        while self._loop.time() < limit:
            busy = self._outbound.busy or self._inbound.busy
            if self._loop.time() >= end and not busy:
                return
            if self._loop.time() >= limit - REFUSE_WAITING_SECONDS:
                self._guard.refuse_waiting()
            await asyncio.sleep(POLL_SECONDS)

    async def stop(self):
        """Stop all tasks and close all connections."""
        await self._tasks.stop()
        await self._key_manager.stop()
        await asyncio.gather(self._outbound.stop(), self._inbound.stop())
        self._relay_server.close()
        self._direct.close()


def _inbound_limits(caller_head_bytes):
    """Return the limits on requests of other hosts.

    They add headers to those of callers, whose limit may be higher there by a newer
    configuration.
    """
    return Limits(
        head_bytes=max(MIN_INBOUND_HEAD_BYTES, 2 * caller_head_bytes),
        body_bytes=MAX_INBOUND_BODY_BYTES,
        idle_seconds=HOP_IDLE_SECONDS,
    )
