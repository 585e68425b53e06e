"""Takes requests from local callers and brings them to the right server."""

import asyncio
import contextlib
import logging
import random

from guavastream.http1 import Client, CutOff, NotSent
from guavastream.kernel import Policy, TimeLimits, part_logger, replace
from guavastream.relay.budget import RetryBudget
from guavastream.relay.dialect import OWN
from guavastream.relay.fingerprint import fingerprint
from guavastream.relay.guard import Attempt
from guavastream.relay.hop import (
    HOP_IDLE_SECONDS,
    HopJob,
    read_failure,
    read_report,
)
from guavastream.relay.job import BadRequest, JobReader
from guavastream.relay.outcome import VERDICTS, Lost, NotRun
from guavastream.relay.pick import LARGE_BYTES

__all__ = ["Ingress"]

# Answers up to this reach the caller only once they are whole: one that is
# cut can still be told as a failure, or be tried again.
WHOLE_ANSWER = 256 << 10
# Longest wait for a key without an owner, as a share of the time left: a
# caller that is told by then has time enough to come back and be served.
OWNER_PATIENCE = 0.3
# A server that is gone may come back without a new book, so that waiting for
# one is cut into pieces.
POLL_SECONDS = 0.03
SHORTEST_POLL = 0.001
# Advice to come back, seconds: where another host takes over at once, and
# where a key or a server has to be found first.
SHORTEST_RETRY = 0.05
USUAL_RETRY = 0.3
# Servers that may refuse a request for lack of room before its caller is told. Those
# that were expected to be the fastest have been asked by then.
MOST_REFUSALS = 3
# A request with less time than this could not even reach a server; sent on, it
# would end as one that may have run.
LEAST_SECONDS = 0.02
SERVER_ERROR = 500
# Failures of a server after which a request that may repeat is tried again.
TRIED_AGAIN = (500, 502)
# Only while failures are rarer than this: where many fail, what they need is
# missing, and a second try wastes as much again.
RARE_FAILURES = 0.05
FAILURE_WEIGHT = 0.02

log = part_logger("ingress")


class Ingress:
    """Handles the requests of local callers.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
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
    lists : ServerLists
        The servers of each service.
    ratio : float
        Second tries that all hosts may make for each request.
    count : callable
        Counts an event by name.
    observe : callable
        Takes the name of a duration and its seconds.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(
        self,
        *,
        loop,
        dialect,
        books,
        routes,
        guard,
        picker,
        service,
        lists,
        ratio,
        count,
        observe,
        policy=None,
    ):
        self._policy = policy or Policy()
        self._loop = loop
        self._clock = loop.time
        self._dialect = dialect
        self._books = books
        self._guard = guard
        self._picker = picker
        self._lists = lists
        self._ratio = ratio
        self._count = count
        self._observe = observe
        self._client = Client(connect_seconds=0.3, idle_seconds=HOP_IDLE_SECONDS)
        self._rng = random.Random()
        self._shares = {}
        self._failing = {}
        # Set in the last moments of a stop: whoever still asks for the local
        # server is told that nothing ran.
        self.leaving = False
        self._limits = TimeLimits(loop=loop)
        self._reader = JobReader(
            loop=loop,
            dialect=dialect,
            routes=routes,
            service=service,
            running_attempt=guard.running_attempt,
            policy=self._policy,
        )

    async def handle(self, request, responder):
        """Answer one request of a local caller."""
        started = self._clock()
        self._count("requests")
        job = None
        try:
            if self.leaving:
                raise NotRun("leaving", retry_after=SHORTEST_RETRY)
            job = await self._reader.read(request, started=started)
            if job.deadline - self._clock() < LEAST_SECONDS:
                raise NotRun("no_time")
            if self._limits.end < job.deadline:
                job = replace(job, deadline=self._limits.end)
            with self._limits.until(job.deadline):
                await self._serve(job, responder)
        except NotRun as refused:
            if job is not None and job.lost:
                # The answer speaks for all tries, not for the last one.
                await self._fail(responder, job, job.lost[-1])
            else:
                await self._refuse(responder, job, refused)
        except Lost as lost:
            await self._fail(responder, job, lost.code)
        except TimeoutError:
            if job is None or not job.sent:
                await self._refuse(responder, job, NotRun("no_time"))
            else:
                await self._fail(responder, job, "no_answer")
        except BadRequest as bad:
            self._count(f"rejected.{bad.status}")
            await responder.send(bad.status)
        except asyncio.CancelledError:
            # The caller left, perhaps to try again.
            if job is not None:
                self._reader.note_unserved(job)
            raise
        self._observe("request", self._clock() - started)

    def end_by(self, when):
        """See that every request has its final answer by the clock's time `when`.

        Callers may wait for longer than a stopping process may take. Cut off,
        they would be told nothing; what comes from now on is refused in time.
        """
        self._limits.end_by(when)

    async def _serve(self, job, responder):
        share = self._shares.get(job.service)
        if share is None:
            share = self._shares[job.service] = RetryBudget(ratio=self._ratio)
        share.earn()
        tried = set()
        told = None
        arrivals = refusals = 0
        patience = OWNER_PATIENCE * self._policy.owner_wait
        patience = self._clock() + (job.deadline - self._clock()) * patience
        while True:
            book = self._books.table
            server = None
            try:
                server = self._choose(book, job, tried)
                self._guard.quarantine.check(job, server)
                last = self._is_last(book, job, server, tried, refusals)
                return await self._try(job, server, responder, last=last)
            except NotRun as error:
                failure, code = error, error.code
            except Lost as error:
                failure, code = error, error.code
                job.lost.append(code)
            verdict = VERDICTS[code]
            self._count(f"tries.{code}")
            # One that waits for a new owner asks many times a second.
            before, told = told, (code, server and server.id)
            if told != before:
                self._log_try(job, server, code)
            if responder.started:
                raise failure
            if server is not None:
                tried.add(server.id)
            takes_along = code == "server_ended" and self._takes_along(job, server)
            if isinstance(failure, Lost) and (takes_along or not job.safe):
                raise failure
            if not job.replayable and verdict.arrived:
                raise failure
            if verdict.arrived:
                arrivals += 1
                if not self._policy.second_tries:
                    raise failure
                if arrivals >= job.route.attempts or not share.spend():
                    raise failure
            if code == "server_failed":
                continue
            if verdict.awaits_owner and (job.keyed or code == "no_server"):
                if self._clock() >= patience or not self._policy.owner_waits:
                    raise failure
                await self._wait_for_book(book.index, patience)
                tried.clear()
                continue
            if job.keyed or not verdict.elsewhere:
                raise failure
            refusals += code == "overloaded"
            if refusals >= MOST_REFUSALS:
                raise failure
            if not self._has_other(book, job, tried):
                raise failure

    def _takes_along(self, job, server):
        """Note a server that ended under a request; whether no other is tried."""
        print = self._print_of(job)
        quarantine = self._guard.quarantine
        quarantine.note_end(print, server.id)
        standing = quarantine.status_of(job)
        return standing is not None and standing.must_run_alone

    def _log_try(self, job, server, code):
        if not log.isEnabledFor(logging.INFO):
            return
        best_servers = self._picker.best_servers(job.drawn, job.route.name)
        log.info(
            "Try failed.",
            extra={
                "service": job.service,
                "kind": job.route.name,
                "weighed": best_servers,
                "request": job.id.decode("latin-1"),
                "code": code,
                "server": server.id if server else "",
                "key": job.key,
                "index": self._books.table.index,
                "book_ms": self._books.age_ms(self._clock()),
                "left_ms": int((job.deadline - self._clock()) * 1000),
            },
        )

    def _has_other(self, book, job, tried):
        choices = self._lists.of(book.instances, job.service)
        return any(server.id not in tried for server in choices.all)

    def _is_last(self, book, job, server, tried, refusals):
        """Whether a request that this server refuses is tried at no other one."""
        if job.keyed or refusals + 1 >= MOST_REFUSALS:
            return True
        return not self._has_other(book, job, tried | {server.id})

    async def _wait_for_book(self, index, until):
        left = min(POLL_SECONDS, until - self._clock())
        await self._books.wait(index + 1, max(SHORTEST_POLL, left))

    def _choose(self, book, job, tried):
        """Return the server to try next."""
        if job.keyed:
            owner = book.owner_of(job.service, job.key)
            if owner is None:
                raise NotRun("no_owner", retry_after=USUAL_RETRY)
            if self._picker.is_silent(owner, job.route.name):
                # It would wait out its time and end without an answer.
                raise NotRun("silent", retry_after=USUAL_RETRY)
            if not self._picker.may_send(owner):
                raise NotRun("unreachable", retry_after=USUAL_RETRY)
            return owner
        here = self._guard.here
        choices = self._lists.of(book.instances, job.service)
        job.drawn[:] = self._picker.candidates(choices, tried, here=here)
        server = self._picker.choose(
            job.drawn,
            kind=job.route.name,
            size=len(job.body),
            target=job.route.target,
            here=here,
        )
        if server is None:
            raise NotRun("no_server", retry_after=USUAL_RETRY)
        return server

    async def _try(self, job, server, responder, *, last):
        self._picker.begin(server)
        job.sent.append(server.id)
        try:
            if self._guard.local(server.id) is not None:
                await self._try_here(job, server, responder, last=last)
            else:
                await self._try_there(job, server, responder, last=last)
        except NotRun as refused:
            job.sent.remove(server.id)
            if refused.code == "unreachable":
                self._picker.note_unreachable(server)
            else:
                self._picker.note_reached(server)
            if refused.code in ("server_refused", "leaving"):
                self._picker.note_answer(server, failed=True)
            raise
        except Lost:
            self._picker.note_answer(server, failed=True)
            raise
        finally:
            self._picker.end(server)

    async def _try_here(self, job, server, responder, *, last):
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
            urgency=job.urgency,
            call=job.call,
            again=job.again,
            last=last,
            kind=job.route.name,
            wanted_by=job.wanted_by,
            deadline=job.deadline,
        )
        async with self._guard.serve(attempt) as answer:
            await self._pass_on(job, server, answer, answer.read, responder)
        self._note_report(job, server, self._guard.report(job.route.name))

    async def _try_there(self, job, server, responder, *, last):
        try:
            exchange = await self._client.open(server.door)
        except NotSent:
            raise NotRun("unreachable", retry_after=USUAL_RETRY) from None
        async with exchange:
            hop = HopJob.of(job, server, now=self._clock(), last=last)
            headers = [*job.headers, hop.header()]
            await self._send(exchange, job, server, headers)
            sent_at = self._clock()
            try:
                answer = await exchange.answer()
            except CutOff as cut:
                self._client.forget(server.door)
                self._log_cut(job, server, exchange, cut, sent_at)
                raise Lost("answer_lost") from None
            report = read_report(answer)
            if report is not None:
                self._note_report(job, server, report)
            failure = read_failure(answer)
            if failure is not None:
                with contextlib.suppress(CutOff):
                    await answer.body.read_up_to(0)
                raise failure

            async def read():
                try:
                    return await answer.body.read()
                except CutOff:
                    raise Lost("answer_lost") from None

            await self._pass_on(job, server, answer, read, responder)

    def _log_cut(self, job, server, exchange, cut, sent_at):
        self._count("cut_by_host")
        log.warning(
            "A connection to a host broke under a request.",
            extra={
                "request": job.id.decode("latin-1"),
                "server": server.id,
                "door": server.door,
                "at_host_ms": round((self._clock() - sent_at) * 1e3),
                "cut": str(cut),
                "kept": exchange.reused,
            },
        )

    async def _send(self, exchange, job, server, headers):
        # A new connection may meet a host that is about to end and reset it; whether
        # the request had been read could not be told.
        unsure = bool(job.body) and not job.safe and not exchange.reused
        if job.stream is None and len(job.body) < LARGE_BYTES and not unsure:
            exchange.send(job.method, job.target, headers, job.body)
            return
        try:
            await exchange.send_when_asked(
                job.method, job.target, headers, job.body, job.stream
            )
        except CutOff:
            # No byte of the body has gone out, and nothing runs without it.
            self._client.forget(server.door)
            raise NotRun("unreachable", retry_after=USUAL_RETRY) from None

    def _note_report(self, job, server, report):
        self._picker.note_report(server, report, kind=job.route.name)

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
        if failed:
            self._reader.note_unserved(job)
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
        if responder.whole:
            # Its time was over just as the answer went out.
            return
        self._count(f"failed.{code}")
        self._log_final(job, code)
        if responder.started:
            # What was begun must not look whole.
            responder.abort(code)
            return
        await responder.send(VERDICTS[code].status)

    def _log_final(self, job, code):
        if job is None:
            log.info("Refused: %s.", code)
            return
        self._reader.note_unserved(job)
        # Of these it matters whether they are sent again and again under new ids.
        recurs = job.sent or code == "quarantined"
        log.info(
            "Gave up.",
            extra={
                "request": job.id.decode("latin-1"),
                "what": self._print_of(job).hex() if recurs else None,
                "code": code,
                "service": job.service,
                "kind": job.route.name,
                "again": job.again,
                "key": job.key,
                "took_ms": int((self._clock() - job.started) * 1000),
            },
        )

    @staticmethod
    def _print_of(job):
        return fingerprint(job.method, job.headers, job.target, job.body)


def _answer_headers(headers):
    kept = headers.end_to_end(frozenset({b"content-length"}))
    return [(k, v) for k, v in kept if not k.lower().startswith(OWN)]
