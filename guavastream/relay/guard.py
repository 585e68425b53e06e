"""The only way to the local backend server."""

import asyncio
import contextlib
from dataclasses import dataclass, field

from guavastream.kernel import TimeLimit, part_logger, record
from guavastream.relay.admission import ANSWER_MARGIN_SECONDS, AdmissionQueue
from guavastream.relay.outcome import NotRun
from guavastream.relay.pick import Report
from guavastream.relay.quarantine import Quarantine
from guavastream.relay.server_client import ServerClient
from guavastream.relay.turns import LifoLock

__all__ = ["Attempt", "Guard", "Held"]

# Time after an acknowledged departure in which requests still go to the
# server; well within the 2 s that the operators allow.
LEAVING_SECONDS = 1.6
# Longest wait for a grant that the book already shows.
GRANT_SECONDS = 0.4
POLL_SECONDS = 0.02
SHORTEST_POLL = 0.001
SERVER_ERROR = 500

log = part_logger("guard")


@record
class Attempt:
    """One request as it is tried at one server; times are the clock's.

    `headers` are ready to be sent but for the ones that the guard sets,
    `body` is whole unless `stream` brings the rest of it. `kind` names
    requests that take about the same time; of those that wait the lowest
    `rank` goes first. `urgency` is the rank of the request that callers sent,
    `rank` itself unless this is a call for it. `call` tells that another server
    waits for the answer, `again` that the caller has come back, or that of the
    request it is for, `last` that no other server is tried if this one refuses it.
    """

    id: bytes
    service: str
    instance: str
    method: bytes
    target: bytes
    headers: list
    body: bytes
    stream: object
    key: int | None
    safe: bool
    rank: int
    urgency: int
    call: bool
    again: bool
    last: bool
    kind: str
    wanted_by: float
    deadline: float


@dataclass(kw_only=True, slots=True)
class Held:
    """What the local server was last told to hold."""

    rows: tuple = ()
    until: float = float("-inf")
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def covers(self, key):
        """Whether the server holds a key as far as it was told."""
        return any(first <= key <= last for first, last in self.rows)


class Guard:
    """Admits requests to the local server and judges its answers.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    books : TableHolder
        Says which server is here.
    door : str
        IP:PORT where requests for the local server arrive.
    count : callable
        Counts an event by name.
    keeper : KeyKeeper, optional
        Knows what servers hold that are granted keys by calls.
    on_ended : callable, optional
        Told the instance that has ended, and the fingerprints of the requests that
        it had.
    on_answered : callable, optional
        Told the fingerprint of a suspect request, and the instance that answered it.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(
        self,
        *,
        loop,
        dialect,
        books,
        door,
        count,
        keeper=None,
        on_ended=lambda instance, requests: None,
        on_answered=lambda print, instance: None,
        policy=None,
    ):
        self._loop = loop
        self._clock = loop.time
        self._dialect = dialect
        self._books = books
        self._keeper = keeper
        self._door = door
        self._count = count
        self._on_ended = on_ended
        self._on_answered = on_answered
        self._server = ServerClient(
            loop=loop, dialect=dialect, count=count, on_ended=self._note_ended
        )
        self.quarantine = Quarantine(clock=self._clock, books=books, count=count)
        # Held by the one request that runs of those that may be to blame.
        self._alone = LifoLock(loop=loop)
        self._gate = AdmissionQueue(loop=loop, policy=policy)
        self._id = self._here = ""
        self._held = None
        self._left_at = {}
        self._keys = {}
        self._at_server = {}

    @property
    def here(self):
        """Id of the instance that was last served here, or ""."""
        return self._here

    def running_attempt(self, id):
        """Return the attempt of a request that the local server runs, or None."""
        return self._at_server.get(id)

    @property
    def running(self):
        """Requests at the server or waiting for it."""
        return self._gate.running + self._gate.waiting

    def usual(self, kind):
        """Return the usual time of a kind of request at the server, seconds."""
        return self._gate.usual(kind)

    def report(self, kind=""):
        """Return the state of the local server, as seen by a kind of request."""
        gate = self._gate
        return Report(
            running=gate.running,
            waiting=gate.waiting,
            slots=gate.slots,
            seconds=gate.seconds,
            of_kind=gate.mean_seconds_for(kind),
        )

    def refuse_waiting(self):
        """Refuse the requests that wait for the local server."""
        self._gate.refuse_waiting()

    def note_heard(self, id):
        """Note that a life of the local server spoke for itself."""
        self._server.watch.note_heard(id)

    def note_refused(self, instance):
        """Note that nobody listens at the local server's address."""
        self._server.watch.note_refused(instance)

    def note_replaced(self, instance):
        """Note that another life of the local server has taken its place."""
        self._server.watch.note_replaced(instance)

    def _note_ended(self, instance, requests):
        if instance.leaving or instance.id in self._left_at:
            # It was about to end, whatever it still had.
            requests = ()
        for print in requests:
            self.quarantine.note_end(print, instance.id)
        self._on_ended(instance, requests)

    def take_key_counts(self):
        """Return requests by key since the last call, and forget them."""
        keys, self._keys = self._keys, {}
        return keys

    def note_left(self, id):
        """Note that a departure was acknowledged."""
        self._left_at.setdefault(id, self._clock())

    def note_dropped(self, id, rows):
        """Note that the server is about to be told to hold no more than this."""
        if self._held is None or id != self._id:
            return
        self._held.rows = tuple(
            (max(a, row[0]), min(b, row[1]))
            for a, b in self._held.rows
            for row in rows
            if a <= row[1] and row[0] <= b
        )

    def note_held(self, id, rows, until):
        """Note what the server holds until the clock's time `until`."""
        before = self._held if id == self._id else None
        held = Held(rows=tuple((r[0], r[1]) for r in rows), until=until)
        self._id, self._held = id, held
        if before is not None:
            before.changed.set()

    def local(self, id):
        """Return the instance here if it is called `id`, or None."""
        instance = self._books.table.instances.get(id)
        if instance is None or instance.door != self._door:
            return None
        return instance

    @contextlib.asynccontextmanager
    async def serve(self, attempt):
        """Run an attempt and yield the server's answer, holding its slot.

        Raises
        ------
        NotRun
            If the server has not run it and never will.
        Lost
            If it may have run.
        """
        instance = self.local(attempt.instance)
        if instance is None or instance.service != attempt.service:
            raise NotRun("no_server")
        self._here = instance.id
        if attempt.key is not None and not attempt.again:
            # Those that come back would count twice, just where keys are lacking
            # a server that has time for them.
            self._keys[attempt.key] = self._keys.get(attempt.key, 0) + 1
        self._check_leaving(instance)
        if self._server.watch.has_ended(instance.id):
            raise NotRun("unreachable")
        alone = await self._wait_alone(attempt, instance)
        try:
            if attempt.key is not None:
                await self._check_key(attempt)
            usual = await self._enter(attempt, instance)
            began, seconds = self._clock(), None
            self._at_server[attempt.id] = attempt
            try:
                self._check_leaving(instance)
                # While it waited, the key may have gone to another server.
                if attempt.key is not None and not self._holds_key(attempt):
                    raise NotRun("moving")
                answer = await self._server.send(instance, attempt)
                try:
                    yield answer
                finally:
                    self._note_outcome(answer, attempt, instance)
                    answer.close()
                    seconds = self._clock() - began
            finally:
                self._at_server.pop(attempt.id, None)
                self._gate.leave(usual, kind=attempt.kind, seconds=seconds)
        finally:
            if alone:
                self._alone.release()

    async def _wait_alone(self, attempt, instance):
        """Wait until no other request runs that may be to blame, if this one may be.

        If the server ends then, it is known which of them it was; if it answers,
        the request is cleared. Returns whether it was waited for.
        """
        standing = self.quarantine.check(attempt, instance)
        if standing is None or not standing.must_run_alone:
            return False
        needed = max(ANSWER_MARGIN_SECONDS, self._gate.usual(attempt.kind))
        try:
            await self._alone.acquire(until=attempt.deadline - needed)
        except TimeoutError:
            raise NotRun("overloaded") from None
        try:
            # While it waited, it may have been found to be the one.
            self.quarantine.check(attempt, instance)
        except NotRun:
            self._alone.release()
            raise
        return True

    async def _enter(self, attempt, instance):
        """Wait for a slot; return what leaving the gate needs."""
        self._gate.slots = instance.slots
        try:
            return await self._gate.enter(
                rank=attempt.rank,
                kind=attempt.kind,
                wanted_by=attempt.wanted_by,
                deadline=attempt.deadline,
                call=attempt.call,
                id=attempt.id.partition(self._dialect.call_mark)[0],
                urgency=attempt.urgency,
                again=attempt.again,
                last=attempt.last,
            )
        except NotRun as refused:
            self._log_refusal(attempt, refused)
            raise

    def _note_outcome(self, answer, attempt, instance):
        # With an error the server may not have come to what does it harm.
        if not answer.ended or answer.status >= SERVER_ERROR:
            return
        standing = self.quarantine.status_of(attempt)
        if standing is not None:
            self.quarantine.note_answered(standing.fingerprint)
            self._on_answered(standing.fingerprint, instance)

    def _log_refusal(self, attempt, refused):
        """Say what decided a refusal: the ingress knows no more than its code."""
        log.info(
            "Refused before the server.",
            extra={
                "request": attempt.id.decode("latin-1"),
                "code": refused.code,
                "service": attempt.service,
                "kind": attempt.kind,
                "key": attempt.key,
                "call": attempt.call,
                "again": attempt.again,
                "book_ms": self._books.age_ms(self._clock()),
                **(refused.reasons or {}),
            },
        )

    def _check_leaving(self, instance):
        if not instance.leaving and instance.id not in self._left_at:
            return
        # Requests that were on their way when the departure was acknowledged
        # still run; later ones find another server. Whoever acknowledged it
        # noted when; a process that started later knows only that it was.
        since = self._left_at.get(instance.id, float("-inf"))
        if self._clock() - since > LEAVING_SECONDS:
            raise NotRun("leaving")

    async def _check_key(self, attempt):
        until = min(
            attempt.deadline - ANSWER_MARGIN_SECONDS, self._clock() + GRANT_SECONDS
        )
        while not self._holds_key(attempt):
            owner = self._books.table.owner_of(attempt.service, attempt.key)
            if owner is None or owner.id != attempt.instance:
                raise NotRun("moving")
            left = until - self._clock()
            if left <= 0:
                raise NotRun("moving")
            # Either the server is told of the key, or the book says that it
            # goes to another one; the second has no event of its own here.
            self._books.want()
            with contextlib.suppress(TimeoutError):
                pause = max(SHORTEST_POLL, min(POLL_SECONDS, left))
                with TimeLimit.within(pause, loop=self._loop):
                    await self._changed(attempt).wait()

    def _holds_key(self, attempt):
        """Whether the server holds the key of an attempt, as far as is known."""
        leases = self._leases(attempt)
        if leases is not None:
            return leases.covers(attempt.key)
        held = self._held if self._id == attempt.instance else None
        # A process that has just started does not know what the server
        # holds; the server does, and refuses what it must.
        return held is None or (held.covers(attempt.key) and self._clock() < held.until)

    def _leases(self, attempt):
        return self._keeper and self._keeper.leases_of(attempt.instance)

    def _changed(self, attempt):
        """Return an event that is set when the held keys next change."""
        if self._leases(attempt) is not None:
            return self._keeper.changed(attempt.instance)
        return self._held.changed
