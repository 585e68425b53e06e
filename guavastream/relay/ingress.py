"""Takes requests from local callers and brings them to the right server."""

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

from guavastream.http1 import Client, CutOff, Headers, NotSent
from guavastream.kernel import part_logger
from guavastream.relay.budget import RetryShare
from guavastream.relay.dialect import OWN
from guavastream.relay.guard import Attempt
from guavastream.relay.outcome import VERDICTS, Lost, NotRun
from guavastream.relay.pick import format_report, parse_report

__all__ = ["Ingress"]

# Bodies up to this are read whole before they are sent on, so that a refused
# request can go to another server.
WHOLE_BODY = 512 << 10
# Answers up to this reach the caller only once they are whole: one that is
# cut can still be told as a failure, or be tried again.
WHOLE_ANSWER = 256 << 10
# Time for the last hop of an answer; a request is given up this long before
# its caller stops waiting.
LAST_HOP_SECONDS = 0.01
HOP_SECONDS = 0.02
# Longest wait for a key without an owner, as a share of the time left: a
# caller that is told early can come back.
OWNER_PATIENCE = 0.8
POLL_SECONDS = 0.03
SHORTEST_POLL = 0.001
# The longest deadline that callers of a route gave fades, request by request,
# in case one of them gave an unusual one.
LONGEST_FADING = 0.9999
SHORTEST_RETRY = 0.05
USUAL_RETRY = 0.3
SERVER_ERROR = 500
# Failures of a server after which a request that may repeat is tried again.
TRIED_AGAIN = (500, 502)
# Only while failures are rarer than this: where many fail, what they need is
# missing, and a second try wastes as much again.
RARE_FAILURES = 0.05
FAILURE_WEIGHT = 0.02

log = part_logger("ingress")


@dataclass(frozen=True, kw_only=True, slots=True)
class _Job:
    """A caller's request, read and classified."""

    id: bytes
    route: object
    service: str
    keyed: bool
    key: int | None
    method: bytes
    target: bytes
    headers: list
    body: bytes
    stream: object
    rank: int
    started: float
    wanted_by: float
    deadline: float
    failed: list = field(default_factory=list)
    # Places to which it went and that did not say that it has not run.
    sent: list = field(default_factory=list)

    @property
    def safe(self):
        return self.route.idempotent

    @property
    def replayable(self):
        return self.stream is None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    """An answer to be passed on: whole, or with `more` to come."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    more: object = None


class Ingress:
    """Handles the requests of local callers, and those of other hosts.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    dialect : Dialect
        Header names.
    books : TableHolder
        Newest book.
    routes : callable
        Gives the `RouteIndex` in force, or None before there is one.
    guard : Guard
        The way to the local server.
    picker : Picker
        Chooses among servers.
    service : str
        Service of this host, told to servers as the caller's.
    ratio : float
        Second tries that all hosts may make for each request.
    local : frozenset of str
        IP numbers of this host; only its server calls from there.
    count : callable
        Counts an event by name.
    observe : callable
        Takes the name of a duration and its seconds.
    """

    def __init__(
        self,
        *,
        clock,
        dialect,
        books,
        routes,
        guard,
        picker,
        service,
        ratio,
        local,
        count,
        observe,
    ):
        self._clock = clock
        self._dialect = dialect
        self._books = books
        self._routes = routes
        self._guard = guard
        self._picker = picker
        self._service = service.encode()
        self._ratio = ratio
        self._local = local
        self._count = count
        self._observe = observe
        self._client = Client(connect_seconds=0.3)
        self._rng = random.Random()
        self._shares = {}
        self._longest = {}
        self._failing = {}
        # Set in the last moments of a stop: whoever still asks for the local
        # server is told that nothing ran.
        self.leaving = False
        names = dialect
        self._own = frozenset(
            name.lower() for name in (names.caller, names.deadline_ms, names.expected)
        ) | {b"content-length"}

    # Callers

    async def handle(self, request, responder):
        """Answer one request of a local caller."""
        started = self._clock()
        self._count("requests")
        job = None
        try:
            if self.leaving:
                raise NotRun("leaving", retry_after=SHORTEST_RETRY)
            job = await self._read(request, started, responder.peer)
            async with asyncio.timeout_at(job.deadline):
                await self._serve(job, responder)
        except NotRun as refused:
            await self._refuse(responder, job, refused)
        except Lost as lost:
            await self._fail(responder, job, lost.code)
        except TimeoutError:
            if job is None or not job.sent:
                await self._refuse(responder, job, NotRun("no_time"))
            else:
                await self._fail(responder, job, "no_answer")
        except _BadRequest as bad:
            self._count(f"rejected.{bad.status}")
            await responder.send(bad.status)
        except CutOff:
            responder.abort()
        self._observe("request", self._clock() - started)

    async def _read(self, request, started, peer):
        index = self._routes()
        if index is None:
            raise NotRun("no_config", retry_after=USUAL_RETRY)
        names = self._dialect
        headers = request.headers
        route = index.find(headers.get(b"host"), request.path)
        if route is None:
            raise _BadRequest(404)
        service = self._choose_part(route)
        rules = index.config.services.get(service)
        keyed = rules is not None and rules.keyed
        key = _number(headers.get(names.key.lower()), 65535) if keyed else None
        timeout = route.timeout
        left = _number(headers.get(names.deadline_ms.lower()), 10**9)
        if left is not None:
            timeout = min(timeout, left / 1000)
        deadline = started + timeout - LAST_HOP_SECONDS
        is_call = peer in self._local
        used = 0.0 if is_call else self._time_used(route, left)
        wanted_by = min(started - used + route.target, deadline)
        if is_call:
            # Work that is done already waits for a call. Refusing it wastes
            # that, so that it may wait beyond its target; at its deadline
            # the work would be lost as well.
            wanted_by = (wanted_by + deadline) / 2
        body, stream = b"", None
        if request.length:
            async with asyncio.timeout(index.config.limits.idle_seconds):
                body, whole = await request.body.read_up_to(WHOLE_BODY)
            stream = None if whole else request.body
        fields = [
            (name, value)
            for name, value in headers.end_to_end(self._own)
            if not name.lower().startswith(OWN)
        ]
        fields.append((names.caller, self._service))
        return _Job(
            id=headers.get(names.request_id.lower()),
            route=route,
            service=service,
            keyed=keyed and key is not None,
            key=key,
            method=request.method,
            target=request.target,
            headers=fields,
            body=body,
            stream=stream,
            rank=route.priority,
            started=started,
            wanted_by=wanted_by,
            deadline=deadline,
        )

    def _time_used(self, route, left):
        """Return how long the caller has been trying already, seconds.

        Callers of one route wait equally long, so that one who waits less
        than the others has come back after a refusal.
        """
        if left is None:
            return 0.0
        longest = max(left, self._longest.get(route.name, 0.0) * LONGEST_FADING)
        self._longest[route.name] = longest
        used = (longest - left) / 1000
        return used if used > SHORTEST_RETRY / 2 else 0.0

    def _choose_part(self, route):
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._rng.choices(route.parts, weights)[0].service

    async def _serve(self, job, responder):
        share = self._shares.get(job.service)
        if share is None:
            share = self._shares[job.service] = RetryShare(ratio=self._ratio)
        share.earn()
        tried = set()
        arrivals = 0
        patience = self._clock() + (job.deadline - self._clock()) * OWNER_PATIENCE
        while True:
            book = self._books.table
            server = None
            try:
                server = self._choose(book, job, tried)
                return await self._try(job, server, responder)
            except NotRun as error:
                failure, code = error, error.code
            except Lost as error:
                failure, code = error, error.code
            verdict = VERDICTS[code]
            self._note_try(job, server, code)
            if responder.started:
                raise failure
            if server is not None:
                tried.add(server.id)
            if isinstance(failure, Lost) and not job.safe:
                raise failure
            if not job.replayable and verdict.arrived:
                raise failure
            if verdict.arrived:
                arrivals += 1
                if arrivals >= job.route.attempts or not share.spend():
                    raise failure
            if code == "server_failed":
                continue
            if verdict.awaits_owner and (job.keyed or code == "no_server"):
                if self._clock() >= patience:
                    raise failure
                await self._wait_for_book(book.index, patience)
                tried.clear()
                continue
            if job.keyed or not verdict.elsewhere:
                raise failure
            if not self._has_other(book, job, tried):
                raise failure

    def _note_try(self, job, server, code):
        self._count(f"tries.{code}")
        log.info(
            "Try failed.",
            extra={
                "request": job.id.decode("latin-1"),
                "code": code,
                "server": server.id if server else "",
                "key": job.key,
                "index": self._books.table.index,
                "left_ms": int((job.deadline - self._clock()) * 1000),
            },
        )

    def _has_other(self, book, job, tried):
        return any(
            s.id not in tried and not s.leaving for s in book.servers(job.service)
        )

    async def _wait_for_book(self, index, until):
        left = min(POLL_SECONDS, until - self._clock())
        await self._books.wait(index + 1, max(SHORTEST_POLL, left))

    def _choose(self, book, job, tried):
        """Return the server to try next."""
        if job.keyed:
            owner = book.owner_of(job.service, job.key)
            if owner is None:
                raise NotRun("no_owner", retry_after=USUAL_RETRY)
            return owner
        servers = [s for s in book.servers(job.service) if not s.leaving]
        server = self._picker.choose(
            servers, tried, size=len(job.body), target=job.route.target
        )
        if server is None:
            raise NotRun("no_server", retry_after=USUAL_RETRY)
        return server

    async def _try(self, job, server, responder):
        self._picker.begin(server)
        job.sent.append(server.id)
        try:
            if self._guard.local(server.id) is not None:
                await self._try_here(job, server, responder)
            else:
                await self._try_there(job, server, responder)
        except NotRun as refused:
            job.sent.remove(server.id)
            if refused.code == "unreachable":
                self._picker.note_unreachable(server)
            elif refused.code in ("server_refused", "leaving"):
                self._picker.note_answer(server, failed=True)
            raise
        except Lost:
            self._picker.note_answer(server, failed=True)
            raise
        finally:
            self._picker.end(server)

    async def _try_here(self, job, server, responder):
        attempt = Attempt(
            id=job.id,
            service=job.service,
            instance=server.id,
            method=job.method,
            target=job.target,
            headers=job.headers,
            body=job.body,
            stream=job.stream,
            key=job.key if job.keyed else None,
            safe=job.safe,
            rank=job.rank,
            kind=job.route.name,
            wanted_by=job.wanted_by,
            deadline=job.deadline,
        )
        async with self._guard.serve(attempt) as answer:
            await self._pass_on(job, server, answer, answer.read, responder)
        self._picker.note_report(server, self._guard.report)

    async def _try_there(self, job, server, responder):
        try:
            exchange = await self._client.open(server.door)
        except NotSent:
            raise NotRun("unreachable", retry_after=USUAL_RETRY) from None
        async with exchange:
            headers = job.headers + self._hop_headers(job, server)
            exchange.send(job.method, job.target, headers, job.body, job.stream)
            try:
                answer = await exchange.answer()
            except CutOff:
                self._client.forget(server.door)
                raise Lost("answer_lost") from None
            report = parse_report(answer.headers.get(OWN + b"report"))
            if report is not None:
                self._picker.note_report(server, report)
            code = answer.headers.get(OWN + b"code").decode("latin-1")
            if code:
                with contextlib.suppress(CutOff):
                    await answer.body.read_up_to(0)
                raise _failure(code, answer)

            async def read():
                try:
                    return await answer.body.read()
                except CutOff:
                    raise Lost("answer_lost") from None

            await self._pass_on(job, server, answer, read, responder)

    def _hop_headers(self, job, server):
        # The other host answers a little sooner, so that its word on whether
        # the request ran is still heard.
        left = job.deadline - HOP_SECONDS - self._clock()
        left = max(1, int(left * 1000))
        wanted = int((job.wanted_by - self._clock()) * 1000)
        fields = [
            (OWN + b"service", job.service.encode()),
            (OWN + b"instance", server.id.encode()),
            (OWN + b"rank", b"%d" % job.rank),
            (OWN + b"route", job.route.name.encode()),
            (OWN + b"left-ms", b"%d" % left),
            (OWN + b"wanted-ms", b"%d" % wanted),
            (OWN + b"safe", b"%d" % job.safe),
        ]
        if job.keyed:
            fields.append((OWN + b"key", b"%d" % job.key))
        return fields

    async def _pass_on(self, job, server, answer, read, responder):
        """Give the answer to the caller, whole where it is not too large."""
        failed = answer.status >= SERVER_ERROR
        self._picker.note_answer(server, failed=failed)
        before = self._failing.get(job.service, 0.0)
        self._failing[job.service] = before + FAILURE_WEIGHT * (failed - before)
        if answer.status in TRIED_AGAIN and job.safe and not job.failed:
            left = job.deadline - self._clock()
            enough = left > 2 * (self._clock() - job.started)
            if enough and self._failing.get(job.service, 0.0) < RARE_FAILURES:
                job.failed.append(answer.status)
                raise Lost("server_failed")
        parts, size = [], 0
        while size <= WHOLE_ANSWER:
            piece = await read()
            if not piece:
                break
            parts.append(piece)
            size += len(piece)
        headers = _answer_headers(answer.headers)
        body = b"".join(parts)
        self._count(f"answers.{answer.status}")
        if size <= WHOLE_ANSWER:
            await responder.send(answer.status, headers, body, reason=answer.reason)
            return
        await responder.start(answer.status, headers, reason=answer.reason)
        await responder.write(body)
        while piece := await read():
            await responder.write(piece)
        responder.finish()

    async def _refuse(self, responder, job, refused):
        self._count(f"refused.{refused.code}")
        seconds = max(SHORTEST_RETRY, refused.retry_after or USUAL_RETRY)
        # Spread, so that those refused together do not return together.
        seconds *= self._rng.uniform(0.7, 1.3)
        self._log_final(job, refused.code)
        headers = [(b"Retry-After", b"%.2f" % seconds)]
        await responder.send(VERDICTS[refused.code].status, headers)

    async def _fail(self, responder, job, code):
        self._count(f"failed.{code}")
        self._log_final(job, code)
        if responder.started:
            # What was begun must not look whole.
            responder.abort()
            return
        await responder.send(VERDICTS[code].status)

    def _log_final(self, job, code):
        if job is None:
            log.info("Refused: %s.", code)
            return
        log.info(
            "Gave up.",
            extra={
                "request": job.id.decode("latin-1"),
                "code": code,
                "service": job.service,
                "key": job.key,
                "took_ms": int((self._clock() - job.started) * 1000),
            },
        )

    # Other hosts

    async def handle_hop(self, request, responder):
        """Answer a request that another host sent for the local server."""
        try:
            attempt = await self._read_hop(request)
        except (ValueError, CutOff):
            await responder.send(400)
            return
        try:
            if self.leaving:
                raise NotRun("unreachable")
            async with asyncio.timeout_at(attempt.deadline):
                async with self._guard.serve(attempt) as answer:
                    await self._pass_back(answer, responder)
        except NotRun as refused:
            await self._tell(responder, refused.code, refused.retry_after)
        except Lost as lost:
            await self._tell(responder, lost.code)
        except TimeoutError:
            await self._tell(responder, "no_answer")

    async def _read_hop(self, request):
        headers = request.headers
        now = self._clock()

        def said(name):
            return headers.get(OWN + name)

        body, stream = b"", None
        if request.length:
            body, whole = await request.body.read_up_to(WHOLE_BODY)
            stream = None if whole else request.body
        own = frozenset({b"content-length"})
        fields = [
            (name, value)
            for name, value in headers.end_to_end(own)
            if not name.lower().startswith(OWN)
        ]
        return Attempt(
            id=headers.get(self._dialect.request_id.lower()),
            service=said(b"service").decode(),
            instance=said(b"instance").decode(),
            method=request.method,
            target=request.target,
            headers=fields,
            body=body,
            stream=stream,
            key=int(said(b"key")) if said(b"key") else None,
            safe=said(b"safe") == b"1",
            rank=int(said(b"rank")),
            kind=said(b"route").decode(),
            wanted_by=now + int(said(b"wanted-ms")) / 1000,
            deadline=now + int(said(b"left-ms")) / 1000,
        )

    async def _pass_back(self, answer, responder):
        """Give the server's answer to the host that asked."""
        headers = answer.headers.end_to_end(frozenset({b"content-length"}))
        headers.append((OWN + b"report", format_report(self._guard.report)))
        first = await answer.read()
        length = answer.headers.get(b"content-length")
        known = int(length) if length.isdigit() else None
        if known is not None and known == len(first):
            await responder.send(answer.status, headers, first, reason=answer.reason)
            return
        await responder.start(
            answer.status, headers, length=known, reason=answer.reason, first=b""
        )
        await responder.write(first)
        while piece := await answer.read():
            await responder.write(piece)
        responder.finish()

    async def _tell(self, responder, code, retry_after=0.0):
        if responder.started:
            responder.abort()
            return
        headers = [
            (OWN + b"code", code.encode()),
            (OWN + b"report", format_report(self._guard.report)),
            (OWN + b"retry-ms", b"%d" % int(retry_after * 1000)),
        ]
        await responder.send(VERDICTS[code].status, headers)


class _BadRequest(Exception):
    def __init__(self, status):
        super().__init__(status)
        self.status = status


def _failure(code, answer):
    verdict = VERDICTS.get(code)
    if verdict is None or verdict.status != 503:
        return Lost(code if verdict else "answer_lost")
    ms = answer.headers.get(OWN + b"retry-ms")
    return NotRun(code, retry_after=int(ms) / 1000 if ms.isdigit() else 0.0)


def _answer_headers(headers):
    kept = headers.end_to_end(frozenset({b"content-length"}))
    return [(k, v) for k, v in kept if not k.lower().startswith(OWN)]


def _number(value, most):
    """Return a header's number, or None where there is none.

    Raises
    ------
    _BadRequest
        If it is not a number up to `most`.
    """
    if not value:
        return None
    if not value.isdigit() or len(value) > 10 or int(value) > most:
        raise _BadRequest(400)
    return int(value)
