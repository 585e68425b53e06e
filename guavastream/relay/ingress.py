"""Receives requests of local callers and routes them to the right server."""

import asyncio
import contextlib
import logging
import random

from guavastream.http1 import (
    FREE_BYTES,
    BodyLost,
    BudgetSpent,
    Client,
    IncompleteMessage,
    NotSent,
)
from guavastream.kernel import Policy, TimeLimitGroup, part_logger, record, replace
from guavastream.relay.attempt import Attempt
from guavastream.relay.dialect import INTERNAL_PREFIX
from guavastream.relay.fingerprint import fingerprint_of
from guavastream.relay.hop import (
    HOP_IDLE_SECONDS,
    HopHeader,
    body_header,
    read_failure,
    read_levels,
    read_report,
    share_header,
)
from guavastream.relay.job import BadRequest, JobReader
from guavastream.relay.own_answers import (
    DEFAULT_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    OwnAnswers,
)
from guavastream.relay.statements import read_statement
from guavastream.scheduling.budget import RetryBudget
from guavastream.scheduling.class_admission import IngressAdmission
from guavastream.scheduling.outcome import FAILURE_RULES, NotRun, OutcomeUnknown
from guavastream.scheduling.pick import LARGE_BYTES

__all__ = ["Ingress", "MAX_CONFIRMATION_WAIT_SECONDS"]

# An answer of at most this size is buffered before any of it is sent to the caller:
# if it is cut off, the request can still be reported as failed or be retried.
MAX_BUFFERED_ANSWER_BYTES = 256 << 10
# Memory of each byte of an answer that is buffered: its pieces, and the whole of them.
KEPT_ANSWER_FACTOR = 2
# Longest wait for the owner of a key, as a share of the remaining time. A caller that
# is refused then still has enough time for a successful retry.
OWNER_WAIT_SHARE = 0.3
# Codes after which requests without a key wait for a newer fleet state, too.
WAITING_CODES = ("no_server", "rerouted")
# Longest wait for a confirmation of the fleet state that is overdue. It may only be
# late; a host that was cut off for longer refuses requests at once.
MAX_CONFIRMATION_WAIT_SECONDS = 0.5
# Longest single wait for a newer fleet state. An unreachable owner may become reachable
# without a change of the fleet state, so it is tried again after each wait.
FLEET_POLL_SECONDS = 0.03
MIN_POLL_SECONDS = 0.001
# Value of Retry-After while all servers of a service are in evacuated zones, which
# lasts for seconds at least.
EVACUATED_RETRY_SECONDS = 1.0
# Value of Retry-After while bodies of other callers fill the memory.
NO_MEMORY_RETRY_SECONDS = 0.5
# Number of servers that may refuse a request for lack of capacity before the caller is
# refused. They are the servers with the shortest expected times.
MAX_REFUSALS = 3
# Codes of refusals by limited servers, which tell when there is room again.
LIMITED_CODES = ("cold", "limited")
# A request with less remaining time is refused. It could not reach a server, and would
# time out with an unknown outcome if it were sent.
MIN_REMAINING_SECONDS = 0.02
MIN_SERVER_ERROR_STATUS = 500
# Statuses of server failures after which an idempotent request is retried.
RETRIED_STATUSES = (500, 502)
# Server failures are retried only while their rate is below this. Where many requests
# fail, a dependency is missing, and retries would double the wasted work.
MAX_FAILURE_RATE = 0.05
FAILURE_RATE_SMOOTHING = 0.02

log = part_logger("ingress")


@record
class _Outlook:
    """What follows if an attempt ends without an answer.

    `last` says that no other server is tried after a refusal, `may_be_retried` that the
    request can be sent again if its outcome is unknown.
    """

    last: bool
    may_be_retried: bool


class Ingress:
    """Handles requests of local callers.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    fleet_holder : TableHolder
        Holds the newest fleet state.
    routes : callable
        Returns the `RouteIndex` in force, or None before there is one.
    guard : Guard
        Admits requests to the local server.
    picker : Picker
        Chooses servers for requests without a key.
    service : str
        Service of this host, which servers receive as the caller's service.
    lists : ServerLists
        The servers of each service.
    ratio : float
        Retry budget: retries per request that all hosts together may make.
    count : callable
        Counts an event by name.
    observe : callable
        Records a duration: its name and the seconds.
    policy : Policy, optional
        Mechanisms that are in force.
    classes : callable, optional
        Returns the `ServiceClasses` of each service by its name.

    class_priority : bool
        Whether requests are admitted by urgency class.
    rng : random.Random, optional
        Varies Retry-After, and decides which requests of a class are admitted.
    """

    def __init__(
        self,
        *,
        loop,
        dialect,
        fleet_holder,
        routes,
        guard,
        picker,
        service,
        lists,
        ratio,
        count,
        observe,
        policy=None,
        classes=dict,
        class_priority=False,
        rng=None,
    ):
        self._policy = policy or Policy()
        self._classes = classes
        self._loop = loop
        self._clock = loop.time
        self._dialect = dialect
        self._fleet_holder = fleet_holder
        self._guard = guard
        self._picker = picker
        self._lists = lists
        self._ratio = ratio
        self._count = count
        self._observe = observe
        self._client = Client(connect_seconds=0.3, idle_seconds=HOP_IDLE_SECONDS)
        self._rng = rng or random.Random()
        self._class_admission = None
        if class_priority:
            self._class_admission = IngressAdmission(
                clock=self._clock, rng=self._rng, board=guard.level_board
            )
        self._retry_budgets = {}
        # Requests that were refused here since their owner is limited, or by their
        # class, by service and key: the process beside the owner does not see them.
        self._refused_keys = {}
        self._failure_rates = {}
        # Set at the end of a shutdown; all further requests are refused as not run.
        self.leaving = False
        self._limits = TimeLimitGroup(loop=loop)
        self._reader = JobReader(
            loop=loop,
            dialect=dialect,
            routes=routes,
            service=service,
            running_attempt=guard.running_attempt,
            policy=self._policy,
        )
        self._own_answers = OwnAnswers(
            clock=self._clock,
            dialect=dialect,
            fleet_holder=fleet_holder,
            reader=self._reader,
            picker=picker,
            class_admission=self._class_admission,
            count=count,
            rng=self._rng,
        )

    async def handle(self, request, responder):
        """Answer a request of a local caller."""
        started = self._clock()
        self._count("requests")
        job = None
        try:
            if self.leaving:
                raise NotRun("leaving", retry_after=MIN_RETRY_AFTER_SECONDS)
            await self._wait_until_confirmed(self._limits.end)
            job = await self._reader.read(request, started=started)
            self._refuse_if_out_of_time(job)
            if self._limits.end < job.deadline:
                job = replace(job, deadline=self._limits.end)
            with self._limits.until(job.deadline), self._measure_call(job):
                await self._serve(job, responder)
        except NotRun as refused:
            if job is not None and job.unknown_outcomes:
                # An earlier attempt may have run, so "not run" would be wrong.
                await self._own_answers.fail(responder, job, job.unknown_outcomes[-1])
            else:
                await self._own_answers.refuse(responder, job, refused)
        except BudgetSpent:
            refused = NotRun("no_memory", retry_after=NO_MEMORY_RETRY_SECONDS)
            await self._own_answers.refuse(responder, job, refused)
        except OutcomeUnknown as unknown:
            await self._own_answers.fail(responder, job, unknown.code)
        except TimeoutError:
            if job is not None and (job.sent_to or job.unknown_outcomes):
                await self._own_answers.fail(responder, job, "no_answer")
            else:
                is_stopping = self._clock() >= self._limits.end
                refused = NotRun("leaving" if is_stopping else "no_time")
                await self._own_answers.refuse(responder, job, refused)
        except BadRequest as bad:
            await self._own_answers.reject(responder, request, bad.status)
        except asyncio.CancelledError:
            # The caller closed the connection, perhaps to retry.
            if job is not None:
                self._reader.note_unserved(job)
            raise
        self._observe("request", self._clock() - started)

    def may_overlap(self, request):
        """Whether a request may run while others of its connection run."""
        return self._reader.may_overlap(request)

    def _measure_call(self, job):
        """Return a context in which a call counts as time that its parent waits."""
        if not job.is_call:
            return contextlib.nullcontext()
        return self._guard.measure_call(job.id)

    def end_by(self, when):
        """Answer every request by the clock's time `when` at the latest.

        Deadlines of callers may be later than the time at which a stopping process
        has to exit. Without this limit, such callers would get no answer.
        """
        self._limits.end_by(when)

    async def _serve(self, job, responder):
        """Send a job to one server after another until it is answered or given up."""
        if self._class_admission is not None:
            job = self._admit_by_class(job)
        self._retry_budget(job.service).earn()
        tried = set()
        last_logged = None
        reached_attempts = refusals = 0
        owner_wait_share = OWNER_WAIT_SHARE * self._policy.owner_wait
        owner_wait_limit = (
            self._clock() + (job.deadline - self._clock()) * owner_wait_share
        )
        while True:
            await self._wait_until_confirmed(owner_wait_limit)
            job = self._follow_route(job)
            fleet_state = self._fleet_holder.table
            server = None
            try:
                self._refuse_if_out_of_time(job)
                server = self._choose(fleet_state, job, tried)
                self._guard.quarantine.check(job, server)
                outlook = _Outlook(
                    last=self._is_last_attempt(
                        fleet_state, job, server, tried, refusals
                    ),
                    may_be_retried=self._may_be_retried(job, reached_attempts),
                )
                return await self._try(job, server, responder, outlook)
            except NotRun as error:
                failure, code = error, error.code
            except OutcomeUnknown as error:
                failure, code = error, error.code
                job.unknown_outcomes.append(code)
            rule = FAILURE_RULES[code]
            self._count(f"tries.{code}")
            # A request that waits for an owner is tried many times a second; the same
            # failure is logged once.
            before, last_logged = last_logged, (code, server and server.id)
            if last_logged != before:
                self._log_failed_attempt(job, server, code)
            if responder.started:
                raise failure
            if server is not None:
                tried.add(server.id)
            ends_servers = code == "server_ended" and self._note_server_end(job, server)
            if not job.has_whole_body:
                raise failure
            if isinstance(failure, OutcomeUnknown) and (
                ends_servers or not job.idempotent
            ):
                raise failure
            if rule.reached_server:
                reached_attempts += 1
                if not self._policy.second_tries:
                    raise failure
                if reached_attempts >= job.route.attempts:
                    raise failure
                if not self._retry_budget(job.service).spend():
                    raise failure
            if code in ("server_failed", "dropped"):
                # The owner of a key is tried again. Its host sends no id twice on a
                # connection.
                continue
            if rule.wait_for_owner and (job.keyed or code in WAITING_CODES):
                if self._is_evacuated(fleet_state, job):
                    raise NotRun("evacuated", retry_after=EVACUATED_RETRY_SECONDS)
                if self._clock() >= owner_wait_limit or not self._policy.owner_waits:
                    raise failure
                await self._wait_for_newer_state(fleet_state.index, owner_wait_limit)
                tried.clear()
                continue
            if job.keyed or not rule.try_elsewhere:
                raise failure
            refusals += code == "overloaded" or code in LIMITED_CODES
            if refusals >= MAX_REFUSALS:
                raise failure
            if not self._has_untried_server(fleet_state, job, tried):
                raise failure

    def _retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = RetryBudget(ratio=self._ratio)
        return budget

    async def _wait_until_confirmed(self, until):
        """Wait until decisions may be based on the fleet state, at most until a time.

        Raises
        ------
        NotRun
            If it is too old.
        """
        confirmation = self._fleet_holder.confirmation
        if confirmation.is_valid or not self._fleet_holder.table.index:
            return
        wait = min(
            MAX_CONFIRMATION_WAIT_SECONDS - confirmation.overdue,
            until - self._clock(),
        )
        if wait <= 0 or not await confirmation.wait_valid(wait):
            raise NotRun("unconfirmed", retry_after=DEFAULT_RETRY_AFTER_SECONDS)

    def _follow_route(self, job):
        """Return the job as the configuration in force routes it.

        Raises
        ------
        BadRequest
            If its route was removed.
        OutcomeUnknown
            If its route was removed after an attempt that may have run.
        """
        try:
            return self._reader.follow(job)
        except BadRequest:
            if job.unknown_outcomes:
                raise OutcomeUnknown(job.unknown_outcomes[-1]) from None
            raise

    def _refuse_if_out_of_time(self, job):
        if job.deadline - self._clock() < MIN_REMAINING_SECONDS:
            raise NotRun("no_time")

    def _admit_by_class(self, job):
        """Return the job with the share by which it is admitted, or refuse it.

        Raises
        ------
        NotRun
            If its class has no capacity at the servers that may run it.
        """
        # A refused call would waste the work that its caller has already caused.
        if not self._class_admission.board.is_restricting or job.is_call:
            return job
        fleet_state = self._fleet_holder.table
        if job.keyed:
            owner = fleet_state.owner_of(job.service, job.key)
            ids = [] if owner is None else [owner.id]
        else:
            ids = [server.id for server in self._choices_for(fleet_state, job).subset]
        if not ids:
            return job
        try:
            share = self._class_admission.check(
                ids,
                urgency=job.urgency,
                seconds=self._picker.usual_seconds(job.route.name),
                target_time=job.target_time,
                deadline=job.deadline,
                again=job.is_retry,
                retry_at=job.retry_at,
                reserved=job.reserved,
            )
        except NotRun:
            if job.keyed:
                self._count_refused_key(job)
            raise
        return job if share >= 1.0 else replace(job, share=share)

    def _note_server_end(self, job, server):
        """Record that a server ended while it ran a job; return whether to give up.

        The job is not sent to another server if enough servers ended under it, since
        it may end that server too.
        """
        digest = fingerprint_of(job)
        quarantine = self._guard.quarantine
        quarantine.note_end(digest, server.id)
        suspect_status = quarantine.status_of(job)
        return suspect_status is not None and suspect_status.must_run_alone

    def _log_failed_attempt(self, job, server, code):
        if not log.isEnabledFor(logging.INFO):
            return
        best_servers = self._picker.best_servers(
            job.considered_servers,
            job.route.name,
            class_position=self._class_position(job),
        )
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
                "index": self._fleet_holder.table.index,
                "config": job.config_version,
                "book_ms": self._fleet_holder.confirmation.age_ms,
                "left_ms": int((job.deadline - self._clock()) * 1000),
            },
        )

    def _has_untried_server(self, fleet_state, job, tried):
        choices = self._choices_for(fleet_state, job)
        return bool(self._picker.untried(choices, tried))

    def _choices_for(self, fleet_state, job):
        """Return the `Choices` of servers that may run a job, by their region."""
        return self._lists.of(fleet_state.instances, job.service, job.route.regions)

    def _is_evacuated(self, fleet_state, job):
        """Whether all servers of a job's service are in evacuated zones."""
        if self._choices_for(fleet_state, job).all:
            return False
        return any(server.evacuated for server in fleet_state.servers(job.service))

    def _is_last_attempt(self, fleet_state, job, server, tried, refusals):
        """Whether no other server is tried if this one refuses the request."""
        if job.keyed or refusals + 1 >= MAX_REFUSALS:
            return True
        return not self._has_untried_server(fleet_state, job, tried | {server.id})

    def _may_be_retried(self, job, reached_attempts):
        """Whether a job can be sent again if its next attempt gets no answer."""
        return (
            job.idempotent
            and job.rest is None
            and self._policy.second_tries
            and reached_attempts + 1 < job.route.attempts
            and self._retry_budget(job.service).has_token
        )

    async def _wait_for_newer_state(self, index, until):
        """Wait for a fleet state after `index`, for one poll interval at most."""
        left = min(FLEET_POLL_SECONDS, until - self._clock())
        await self._fleet_holder.wait(index + 1, max(MIN_POLL_SECONDS, left))

    def _choose(self, fleet_state, job, tried):
        """Return the server for the next attempt."""
        if job.keyed:
            owner = fleet_state.owner_of(job.service, job.key)
            if owner is None:
                raise NotRun("no_owner", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            if not self._lists.allows(owner, job.route.regions):
                raise NotRun("wrong_region", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            if self._picker.has_left(owner):
                raise NotRun("leaving", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            wait = self._picker.seconds_until_room([owner])
            if wait:
                self._count_refused_key(job)
                raise NotRun("limited", retry_after=wait)
            if self._picker.is_silent(owner, job.route.name):
                # The request would time out there without an answer.
                raise NotRun("silent", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            if not self._picker.may_send(owner):
                raise NotRun("unreachable", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            return owner
        here = self._guard.local_id
        choices = self._choices_for(fleet_state, job)
        job.considered_servers[:] = self._picker.candidates(choices, tried, here=here)
        server = self._picker.choose(
            job.considered_servers,
            kind=job.route.name,
            size=len(job.body),
            target=job.route.target,
            here=here,
            class_position=self._class_position(job),
        )
        if server is not None:
            return server
        wait = self._picker.seconds_until_room(job.considered_servers)
        if wait:
            raise NotRun("limited", retry_after=wait)
        raise NotRun("no_server", retry_after=DEFAULT_RETRY_AFTER_SECONDS)

    def _class_position(self, job):
        """Return the position of a job's urgency among the classes of its service."""
        classes = self._classes().get(job.service)
        return classes.position(job.urgency) if classes else 0.0

    def _count_refused_key(self, job):
        if not job.is_retry:
            by_key = self._refused_keys.setdefault(job.service, {})
            by_key[job.key] = by_key.get(job.key, 0) + 1

    def take_refused_keys(self):
        """Return the requests for owners that were refused here since the last call.

        Returns
        -------
        dict of str to dict
            Number of requests by key, by service.
        """
        refused, self._refused_keys = self._refused_keys, {}
        return refused

    async def _try(self, job, server, responder, outlook):
        """Make one attempt at a server, and update what the picker knows of it."""
        self._picker.begin(server)
        sent_before = len(job.sent_to)
        try:
            if self._guard.find_local(server.id) is not None:
                await self._try_local(job, server, responder, outlook)
            else:
                await self._try_remote(job, server, responder, outlook)
        except NotRun as refused:
            del job.sent_to[sent_before:]
            if refused.code == "unreachable":
                self._picker.note_unreachable(server)
            else:
                self._picker.note_reached(server)
            if refused.code in LIMITED_CODES:
                self._picker.note_full(server, refused.retry_after)
            if refused.code in ("server_refused", "leaving"):
                self._picker.note_answer(server, failed=True)
            raise
        except OutcomeUnknown as unknown:
            self._picker.note_answer(server, failed=True)
            if unknown.code == "answer_lost":
                self._picker.note_broken(server)
            raise
        else:
            self._picker.note_whole(server)
        finally:
            self._picker.end(server)

    async def _try_local(self, job, server, responder, outlook):
        attempt = Attempt(
            id=job.id,
            service=job.service,
            instance=server.id,
            method=job.method,
            target=job.target,
            headers=job.headers,
            body=job.body,
            rest=job.rest,
            key=job.key if job.keyed else None,
            idempotent=job.idempotent,
            rank=job.rank,
            urgency=job.urgency,
            is_call=job.is_call,
            is_retry=job.is_retry,
            is_last=outlook.last,
            may_be_retried=outlook.may_be_retried,
            kind=job.route.name,
            target_time=job.target_time,
            deadline=job.deadline,
            share=job.share,
            config_version=job.config_version,
        )
        try:
            async with self._guard.serve(attempt) as answer:
                await self._send_answer(job, server, answer, answer.read, responder)
        finally:
            if attempt.sent_at:
                job.sent_to.append(server.id)
        self._note_report(job, server, self._guard.report(job.route.name))

    async def _try_remote(self, job, server, responder, outlook):
        try:
            exchange = await self._client.open(server.door)
        except NotSent:
            raise NotRun(
                "unreachable", retry_after=DEFAULT_RETRY_AFTER_SECONDS
            ) from None
        sent_before = len(job.sent_to)
        async with exchange:
            hop = HopHeader.of(
                job,
                server,
                now=self._clock(),
                last=outlook.last,
                may_be_retried=outlook.may_be_retried,
            )
            headers = [*job.headers, hop.header()]
            if job.share < 1.0:
                headers.append(share_header(job.share))
            if job.rest is not None:
                headers.append(body_header(job.body_fingerprint))
            await self._send(exchange, job, server, headers)
            sent_at = self._clock()
            try:
                answer = await exchange.answer()
            except BodyLost:
                raise
            except IncompleteMessage as cut:
                self._log_cut(job, server, exchange, cut, sent_at)
                unreachable = self._unreachable(server)
                if server.id not in job.sent_to[sent_before:]:
                    raise unreachable from None
                raise OutcomeUnknown("answer_lost") from None
            report = read_report(answer)
            if report is not None:
                self._note_report(job, server, report)
            if self._class_admission is not None:
                self._class_admission.board.note(server.id, read_levels(answer))
            failure = read_failure(answer)
            if failure is not None:
                with contextlib.suppress(IncompleteMessage):
                    await answer.body.read_up_to(0)
                raise failure

            async def read():
                try:
                    return await answer.body.read()
                except IncompleteMessage:
                    raise OutcomeUnknown("answer_lost") from None

            await self._send_answer(job, server, answer, read, responder)

    def _log_cut(self, job, server, exchange, cut, sent_at):
        self._count("cut_by_host")
        log.warning(
            "A connection to a host broke before it answered.",
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
        # A host that is shutting down may reset a new connection. It is then unknown
        # whether the host has read the request, so the body is sent only on demand.
        may_be_reset = bool(job.body) and not job.idempotent and not exchange.reused
        if job.rest is None and len(job.body) < LARGE_BYTES and not may_be_reset:
            exchange.send(job.method, job.target, headers, job.body)
            if not exchange.written:
                raise self._unreachable(server)
            job.sent_to.append(server.id)
            return
        try:
            await exchange.send_after_continue(
                job.method, job.target, headers, job.body, job.rest
            )
        except IncompleteMessage:
            # No byte of the body was sent, and a server runs no request without it.
            raise self._unreachable(server) from None
        if exchange.body_written:
            job.sent_to.append(server.id)

    def _unreachable(self, server):
        """Close the idle connections to a server's host; return the `NotRun`."""
        self._client.close_idle(server.door)
        return NotRun("unreachable", retry_after=DEFAULT_RETRY_AFTER_SECONDS)

    def _note_report(self, job, server, report):
        self._picker.note_report(server, report, kind=job.route.name)

    async def _send_answer(self, job, server, answer, read, responder):
        """Send an answer to the caller, buffered unless it is too large."""
        if read_statement(answer.headers, self._dialect).leaving:
            self._picker.note_leaving(server)
        failed = answer.status >= MIN_SERVER_ERROR_STATUS
        self._picker.note_answer(server, failed=failed)
        before = self._failure_rates.get(job.service, 0.0)
        self._failure_rates[job.service] = before + FAILURE_RATE_SMOOTHING * (
            failed - before
        )
        if (
            answer.status in RETRIED_STATUSES
            and job.idempotent
            and job.has_whole_body
            and not job.failed_statuses
        ):
            left = job.deadline - self._clock()
            has_time_to_retry = left > 2 * (self._clock() - job.started)
            if (
                has_time_to_retry
                and self._failure_rates.get(job.service, 0.0) < MAX_FAILURE_RATE
            ):
                job.failed_statuses.append(answer.status)
                raise OutcomeUnknown("server_failed")
        parts, size = [], 0
        while size <= MAX_BUFFERED_ANSWER_BYTES:
            piece = await read()
            if not piece:
                break
            parts.append(piece)
            size += len(piece)
            if size > FREE_BYTES:
                responder.request.memory.charge(KEPT_ANSWER_FACTOR * len(piece))
        if failed:
            self._reader.note_unserved(job)
        headers = _answer_headers(answer.headers)
        body = b"".join(parts)
        parts.clear()
        self._count(f"answers.{answer.status}")
        if size <= MAX_BUFFERED_ANSWER_BYTES:
            await responder.send(answer.status, headers, body, reason=answer.reason)
            return
        await responder.start(answer.status, headers, reason=answer.reason)
        await responder.write(body)
        while piece := await read():
            await responder.write(piece)
        responder.finish()


def _answer_headers(headers):
    kept = headers.end_to_end(frozenset({b"content-length"}))
    return [(k, v) for k, v in kept if not k.lower().startswith(INTERNAL_PREFIX)]
