"""The process beside a backend server: data path, heartbeats, readiness."""

import asyncio
import contextlib
import random

from guavastream.exception import GuavastreamError
from guavastream.fleet import Depart, FleetStateCodec, LiftSuspects, LoadReport
from guavastream.hosts.book_follower import BookFollower
from guavastream.hosts.end_reporter import EndReporter
from guavastream.hosts.key_keeper import KeyKeeper, KeySender
from guavastream.hosts.tasks import Tasks
from guavastream.http1 import Client, CutOff, Limits, NotSent, Server
from guavastream.kernel import (
    Counters,
    parse_address,
    part_logger,
    replace,
    steady_time,
)
from guavastream.leases import ControlClient
from guavastream.leases.messages import Watch
from guavastream.messages import RelayingTransport, RelayService
from guavastream.messages.zmq_transport import ZmqNetwork
from guavastream.relay import (
    CLOSING_RESPONSE,
    HOP_IDLE_SECONDS,
    Guard,
    HopHandler,
    Ingress,
    Picker,
    ServerLists,
)
from guavastream.replica import TableHolder
from guavastream.routes import RouteIndex

__all__ = ["ServerHost"]

# A heartbeat counts only if it is answered within a second.
BEAT_SECONDS = 0.85
BEAT_ATTEMPT_SECONDS = 0.75
# Part of that for which an answer may wait for a grant that is on its way.
BEAT_WAIT_SECONDS = 0.55
# A leader that answered within this time is waited for; else each control
# host gets only a short while.
TRUSTED_SECONDS = 2.5
DOUBTED_ATTEMPT_SECONDS = 0.2
# Time after which the local server has read an answer: a request that comes
# sooner would find that it does not hold the key yet.
GRANT_DELAY_SECONDS = 0.004
REPORT_SECONDS = 0.25
# Reports of all hosts together, a second: what a leader takes with ease.
REPORTS_PER_SECOND = 150
REPORTED_KEYS = 400
PROBE_SECONDS = 0.5
# Connections of callers beyond which idle ones are ended, longest idle first;
# each costs about 8 KB and a descriptor, of which a host has some thousands.
MOST_CALLERS = 500
# A stop: callers go elsewhere after two failed checks, a second apart. Where
# they do not, because too few others are left, requests are refused in time
# for those that run to end.
QUIET_SECONDS = 2.3
BUSY_SECONDS = 3.0
IDLE_SECONDS = 0.3
LAST_SECONDS = 0.3
END_SECONDS = 0.9
# Time for a request whose connection was made last, on the way from another host.
TAIL_SECONDS = 0.1
# So long before the end what waits for the local server is refused, as it is known
# not to have run, and what still runs is given its final answer.
REFUSED_SECONDS = 0.2
ANSWER_SECONDS = 0.1
POLL_SECONDS = 0.05

log = part_logger("host")


class ServerHost:
    """One process beside one backend server.

    Parameters
    ----------
    settings : FleetSettings
        Checked settings.
    dialect : Dialect
        Header names.
    key_dialect : KeyDialect
        How orders about keys are written.
    network : PeerNetwork, optional
        Carries calls between processes; over pyzmq by default.
    clock : callable, optional
        Steady time in seconds, suspensions included.
    """

    def __init__(
        self, *, settings, dialect, key_dialect, network=None, clock=steady_time
    ):
        self.counters = Counters()
        self.stopping = False
        self._settings = settings
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()
        network = network or ZmqNetwork()
        self._direct = network.transport(
            on_reconnect=lambda address: self.counters.count("peer_reconnects"),
            on_late=self._note_late,
        )
        self._transport = RelayingTransport(
            direct=self._direct,
            relays=self._other_hosts,
            probes=(Watch,),
            clock=self._loop.time,
            on_change=self._note_cut_off,
        )
        self._control = ControlClient(
            transport=self._transport, addresses=settings.seeds
        )
        self._books = TableHolder(codec=FleetStateCodec())
        self._follower = BookFollower(
            control=self._control,
            books=self._books,
            seeds=settings.seeds,
            on_change=self._note_book,
            count=self.counters.count,
            observe=self.counters.observe,
        )
        self._index = None
        self._picker = Picker(
            clock=self._loop.time,
            rng=random.Random(),
            zone=settings.zone,
            policy=settings.policy,
        )
        self._keeper = KeyKeeper(
            control=self._control,
            sender=KeySender(dialect=key_dialect),
            granting=settings.granting,
            longest=settings.longest_hold,
            door=settings.inbound,
            count=self.counters.count,
            on_refused=lambda instance: self._guard.note_refused(instance),
            clock=clock,
        )
        self._reporter = EndReporter(
            control=self._control, host=settings.host, count=self.counters.count
        )
        self._guard = Guard(
            loop=self._loop,
            dialect=dialect,
            books=self._books,
            keeper=self._keeper,
            door=settings.inbound,
            count=self.counters.count,
            on_ended=self._reporter.note_end,
            on_answered=self._reporter.note_answered,
            policy=settings.policy,
        )
        self._newest_beats = {}
        self._ingress = Ingress(
            loop=self._loop,
            dialect=dialect,
            books=self._books,
            routes=lambda: self._index,
            guard=self._guard,
            picker=self._picker,
            service=settings.service,
            lists=ServerLists(
                host=settings.host,
                zone=settings.zone,
                sampled=settings.policy.sampled,
            ),
            ratio=settings.retry_ratio,
            count=self.counters.count,
            observe=self.counters.observe,
            policy=settings.policy,
        )
        self._hops = HopHandler(
            loop=self._loop,
            dialect=dialect,
            guard=self._guard,
            link_rate=settings.link_rate,
        )
        self._outbound = Server(
            address=parse_address(settings.outbound),
            handler=self._ingress.handle,
            most=MOST_CALLERS,
            note_refused=lambda status: self.counters.count(f"rejected.{status}"),
            note_cut=lambda cut: self._note_cut("caller", cut),
        )
        self._inbound = Server(
            address=parse_address(settings.inbound),
            handler=self._hops.handle,
            limits=Limits(
                head_bytes=1 << 20, body_bytes=1 << 30, idle_seconds=HOP_IDLE_SECONDS
            ),
            holds_bodies=True,
            # Hosts know it, and bytes between availability zones cost.
            tells_idle=False,
            farewell=CLOSING_RESPONSE,
            note_cut=lambda cut: self._note_cut("host", cut),
        )
        desk = RelayService(
            transport=self._transport,
            targets=lambda: self._control.addresses,
            count=self.counters.count,
        )
        self._relay = network.server(
            address=settings.peer,
            handler=desk.handle,
            on_malformed=lambda: self.counters.count("malformed_messages"),
        )
        self._prober = Client()
        self._last_seq = {}
        self._answered_at = float("-inf")
        self._tasks = Tasks()

    @property
    def ready(self):
        """Whether callers may come."""
        return self._index is not None and not self.stopping

    @property
    def book(self):
        """The newest book."""
        return self._books.table

    async def lift_suspects(self, requests):
        """Have suspect requests forgotten, by their fingerprints.

        Raises
        ------
        NotReady, PeerFailure
            If whether they were is not known.
        """
        request = LiftSuspects(requests=requests)
        await self._control.call(request, timeout=BEAT_SECONDS)

    async def start(self):
        """Serve.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        self._relay.start()
        await self._inbound.start()
        await self._outbound.start()
        self._tasks.spawn(self._follower.run())
        self._tasks.spawn(self._reporter.run())
        self._tasks.spawn(self._report())

    def take_seeds(self, seeds):
        """Take the seeds of changed settings."""
        self._follower.seeds = seeds

    async def wait_failed(self):
        """Wait until a part has failed, and raise its error."""
        await self._tasks.wait_failed()

    # The way to the control hosts

    def _other_hosts(self):
        """Return the peer addresses of other hosts: ports are the same everywhere."""
        _, port = parse_address(self._settings.peer)
        here = parse_address(self._settings.inbound)[0]
        others = {
            parse_address(instance.door)[0]
            for instance in self._books.table.instances.values()
        }
        return [f"{ip}:{port}" for ip in sorted(others - {here})]

    def _note_cut_off(self, cut_off):
        if cut_off:
            self.counters.count("cut_off")
            log.warning("No control host answers: other hosts pass calls on.")
        else:
            log.info("A control host answers again.")

    def _note_cut(self, peer, cut):
        """Say that a connection of a caller or a host ended under its request."""
        self.counters.count(f"cut.{peer}.{cut.why}")
        headers = cut.request.headers
        log.warning(
            "A connection was ended under a request.",
            extra={
                "request": headers.get(self._dialect.request_id.lower()).decode(
                    "latin-1"
                ),
                "peer": peer,
                "why": cut.why,
                "begun": cut.begun,
                "whole": cut.whole,
                "answered": cut.answered,
                "stopping": self.stopping,
                "version": self._books.table.config.version,
            },
        )

    def _note_late(self, size):
        self.counters.count("late_answers")
        self.counters.count("late_answer_bytes", size)

    # The book

    def _note_book(self, before, book):
        if book.instances is not before.instances:
            self._picker.keep_only(book.instances)
            self._note_replaced(before, book)
        self._guard.quarantine.follow(before, book)
        self._keeper.follow(book)
        config = book.config
        if config is before.config or not config.version:
            return
        self._index = RouteIndex(config)
        self._outbound.limits = Limits(
            head_bytes=config.limits.head_bytes,
            body_bytes=config.limits.body_bytes,
            head_seconds=config.limits.head_seconds,
            idle_seconds=config.limits.idle_seconds,
        )
        self.counters.set("config_version", config.version)
        log.info("Version %d is in force.", config.version)

    def _note_replaced(self, before, book):
        """Note lives of the local server whose place another life has taken."""
        for id, instance in before.instances.items():
            if id in book.instances or instance.door != self._settings.inbound:
                continue
            if id in book.gone:
                self._guard.note_replaced(instance)

    # The local server

    async def beat(self, beat):
        """Pass on a heartbeat of the local server and return the answer.

        Raises
        ------
        NotReady, PeerFailure
            If no leader answered in time.
        """
        arrived = self._loop.time()
        self._guard.note_heard(beat.id)
        if beat.id not in self._books.table.instances and not await self._is_here(beat):
            self.counters.count("beats_of_others")
            log.warning("A heartbeat of %s, which is not at its address.", beat.id)
            return None
        if beat.leaving:
            self._guard.note_departure_acknowledged(beat.id)
        # Where it is in doubt who leads, an answer that may be held back could
        # not be told from none, and there is time to ask several.
        attempt = DOUBTED_ATTEMPT_SECONDS
        if arrived - self._answered_at <= TRUSTED_SECONDS:
            beat, attempt = replace(beat, wait=BEAT_WAIT_SECONDS), BEAT_ATTEMPT_SECONDS
        try:
            answer = await self._control.call(
                beat, timeout=BEAT_SECONDS, attempt=attempt
            )
        except GuavastreamError:
            self._answered_at = float("-inf")
            raise
        self._answered_at = self._loop.time()
        if answer.gone:
            return answer
        self._newest_beats[beat.name] = beat
        if answer.new:
            self._keeper.note_no_predecessor(beat.id)
        if answer.rows is not None:
            until = arrived + answer.hold
            self._guard.narrow_held_keys(beat.id, answer.rows)
            # The server learns of new keys when the answer reaches it.
            self._loop.call_later(
                GRANT_DELAY_SECONDS, self._note_held, beat, answer.rows, until
            )
        return answer

    def _note_held(self, beat, rows, until):
        if self._last_seq.get(beat.id, 0) <= beat.seq:
            self._last_seq[beat.id] = beat.seq
            self._guard.set_held_keys(beat.id, rows, until)

    async def depart(self, name, *, born=0):
        """Pass on that the local server ends.

        Parameters
        ----------
        name : str
            What it calls itself.
        born : int
            Which of its lives says so; 0 is the newest that is known.

        Raises
        ------
        NotReady, PeerFailure
            If no leader answered in time.
        """
        id = self._life_of(name, born)
        self._guard.note_departure_acknowledged(id)
        await self._control.call(Depart(id=id), timeout=BEAT_SECONDS)

    def _life_of(self, name, born):
        """Return the id of a life of the local server."""
        known = {
            i.born: i.id
            for i in self._books.table.instances.values()
            if i.server_name == name
        }
        # The book may not show yet what the last heartbeat told.
        beat = self._newest_beats.get(name)
        if beat is not None:
            known[beat.born] = beat.id
        return known.get(born or max(known, default=0), name)

    async def _is_here(self, beat):
        """Whether a server that nobody knows answers at its address.

        A heartbeat that was held up may come after its sender has ended and
        another one has its address.
        """
        rules = self._books.table.config.services.get(beat.service)
        path = rules.health if rules else "/health"
        name = self._dialect.instance.lower()
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                async with await self._prober.open(beat.address, fresh=True) as probe:
                    headers = [(b"Host", beat.address.encode())]
                    probe.send(b"GET", path.encode(), headers)
                    answer = await probe.answer()
                    await answer.body.read_up_to(1 << 16)
        except (NotSent, CutOff):
            return False
        except TimeoutError:
            return True
        said = answer.headers.get(name)
        return not said or said == (beat.name or beat.id).encode()

    async def _report(self):
        while True:
            hosts = len(self._books.table.instances)
            await asyncio.sleep(max(REPORT_SECONDS, hosts / REPORTS_PER_SECOND))
            counts = self._guard.take_key_counts()
            local = [
                i
                for i in self._books.table.instances.values()
                if i.door == self._settings.inbound
            ]
            if not counts or not local:
                continue
            busiest = sorted(counts.items(), key=lambda item: -item[1])
            keys = tuple(busiest[:REPORTED_KEYS])
            report = LoadReport(
                id=local[-1].id,
                service=local[-1].service,
                keys=keys,
                other_count=sum(count for _, count in busiest[REPORTED_KEYS:]),
                latency=self._guard.report().seconds,
            )
            with contextlib.suppress(GuavastreamError):
                await self._control.call(report, timeout=REPORT_SECONDS)

    # The end

    async def drain(self):
        """Stop as planned: no request is cut, within the time of grace."""
        self.stopping = True
        log.info("Stops: callers are sent elsewhere.")
        began = self._loop.time()
        limit = began + self._settings.grace - END_SECONDS
        for part in (self._ingress, self._hops):
            part.end_by(limit - ANSWER_SECONDS)
        self._outbound.closing = True
        await self._wait_quiet(began)
        # From here on requests are told that they did not run; open
        # connections go on, so that none is cut in the middle of one.
        self._ingress.leaving = self._hops.leaving = True
        self._inbound.closing = True
        self._outbound.begin_close()
        await self._end_requests(limit)
        await asyncio.gather(
            self._outbound.end_listening(), self._inbound.end_listening()
        )
        self._inbound.begin_close()
        await asyncio.sleep(TAIL_SECONDS)
        log.info("Stopped.")

    async def _wait_quiet(self, began):
        """Wait until callers have gone elsewhere, but not for those who stay."""
        quiet_since = None
        while self._loop.time() < began + BUSY_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            now = self._loop.time()
            if self._outbound.busy or self._inbound.busy:
                quiet_since = None
            else:
                quiet_since = quiet_since or now
            calm = quiet_since is not None and now - quiet_since >= IDLE_SECONDS
            if calm and now - began >= QUIET_SECONDS:
                return

    async def _end_requests(self, limit):
        """Wait until nothing runs, or waits, until the clock's time `limit`."""
        end = self._loop.time() + LAST_SECONDS
        while self._loop.time() < limit:
            busy = self._outbound.busy or self._inbound.busy
            if self._loop.time() >= end and not busy:
                return
            if self._loop.time() >= limit - REFUSED_SECONDS:
                self._guard.refuse_waiting()
            await asyncio.sleep(POLL_SECONDS)

    async def stop(self):
        """End all that is left."""
        await self._tasks.stop()
        await self._keeper.stop()
        await asyncio.gather(self._outbound.stop(), self._inbound.stop())
        self._relay.close()
        self._direct.close()
