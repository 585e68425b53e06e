"""Forwards a request to a backend server, with retries."""

import threading

from guavastream.guard import internal_headers
from guavastream.routing import (
    REFUSALS,
    Attempts,
    Refused,
    RetryBudget,
    RunStatus,
    Target,
    find_owner,
)
from guavastream.web import AttemptFailed, BodyFailed, vet_answer

__all__ = ["Forwarder"]

# Maximum time that a request waits for its key to get an owner. The keys of a lost
# owner are reassigned within one second; if it takes longer, the caller is told.
MAX_OWNER_WAIT_SECONDS = 2.0
MAX_TABLE_WAIT_SECONDS = 0.05
MIN_SERVER_ERROR_STATUS = 500
MAX_HOP_COUNT_DIGITS = 3
# Refusals after which a newer table may name another owner.
OWNERSHIP_CODES = (
    "no_owner",
    "wrong_owner",
    "moving",
    "no_lease",
    "not_ready",
    "leaving",
)


class Forwarder:
    """Forwards each request to the guard of the server that should run it.

    Parameters
    ----------
    tables : TableHolder
        Holds the newest table.
    chooser : Chooser
        Chooses a server for requests without an owned key.
    sender : HttpSender
        Sends requests to other doors.
    get_guard : callable
        Returns the guard of this process, or None.
    get_member_id : callable
        Returns the member id of this process, 0 if it has none.
    clock : callable
        Returns the monotonic time in seconds.
    metrics : object
        A statsd client.
    """

    def __init__(
        self, *, tables, chooser, sender, get_guard, get_member_id, clock, metrics
    ):
        self._tables = tables
        self._chooser = chooser
        self._sender = sender
        self._get_guard = get_guard
        self._get_member_id = get_member_id
        self._clock = clock
        self._metrics = metrics
        self._budgets = {}
        self._cancels_by_member = {}
        self._lock = threading.Lock()

    def run(self, exchange, request, body, headers):
        """Return the answer of the first attempt that gets one.

        Parameters
        ----------
        exchange : Exchange
            The caller's request.
        request : ClassifiedRequest
            The request as it was classified.
        body : Body
            The request body.
        headers : dict
            End-to-end headers.

        Raises
        ------
        Refused
            If no attempt got an answer; it states the result of all attempts.
        BodyFailed
            If the caller closed its connection or its body could not be read.
        """
        hops = _count_hops(exchange)
        budget = self._budget(request.service.name)
        if not hops:
            budget.earn()
        owner_wait_end = min(request.deadline, self._clock() + MAX_OWNER_WAIT_SECONDS)
        tried = set()
        attempts = Attempts(idempotent=request.idempotent)
        while True:
            index = self._tables.table.index
            try:
                return self._attempt_once(exchange, request, body, headers, hops, tried)
            except Refused as refused:
                attempts.note_refused(refused)
            except AttemptFailed as failed:
                attempts.note(failed.code, failed.knowledge)
            if exchange.gone:
                raise BodyFailed("the caller closed its connection")
            if not self._may_retry(request, body, attempts, hops, budget):
                raise attempts.final()
            if self._must_wait_for_owner(request, attempts.code):
                left = owner_wait_end - self._clock()
                if left <= 0:
                    raise attempts.final()
                self._tables.wait_in_thread(index, min(MAX_TABLE_WAIT_SECONDS, left))
            if self._clock() >= request.deadline:
                raise attempts.final()

    def _may_retry(self, request, body, attempts, hops, budget):
        if not (attempts.may_try_again and body.replayable):
            return False
        code = attempts.code
        refusal = REFUSALS[code]
        if refusal.ran is RunStatus.NOT_RUN and not refusal.retryable:
            return False
        # Only the first door retries. If a second one did too, retries would
        # multiply and requests could loop.
        if hops:
            return False
        if self._must_wait_for_owner(request, code):
            return not self._has_no_servers(request.service.name)
        if request.owned_key and refusal.ran is RunStatus.NOT_RUN:
            # Only the owner can serve the key, so there is no other server to try.
            return False
        return budget.spend()

    def _must_wait_for_owner(self, request, code):
        """Whether the next attempt must wait until the key has another owner."""
        owner_lost = code == "unreachable" and bool(request.owned_key)
        return owner_lost or code in OWNERSHIP_CODES

    def _has_no_servers(self, service):
        return not self._tables.table.servers(service)

    def _attempt_once(self, exchange, request, body, headers, hops, tried):
        self._metrics.incr("door.attempts")
        target = self._choose_target(request, exchange, hops, tried)
        member = target.member
        failed = True
        self._chooser.begin(member.id)
        try:
            if member.id == self._get_member_id():
                answer = self._serve_locally(exchange, request, target, body, headers)
            elif hops:
                raise Refused("wrong_owner")
            else:
                answer = self._send_to_door(exchange, request, target, body, headers)
            failed = answer.status >= MIN_SERVER_ERROR_STATUS
            return answer
        except BodyFailed:
            failed = False
            raise
        except Refused as refused:
            failed = refused.refusal.code not in ("shed", "overloaded")
            raise
        finally:
            tried.add(member.id)
            self._chooser.end(member.id, failed=failed)

    def _choose_target(self, request, exchange, hops, tried):
        table = self._tables.table
        service = request.service
        if request.owned_key:
            return find_owner(table, service.name, request.owned_key)
        if hops:
            # The previous door chose this server; choosing again could cause a loop.
            member = table.members.get(self._get_member_id())
            if member is None:
                raise Refused("wrong_owner")
            return Target(member=member)
        return self._chooser.choose(table, service.name, avoid=tried)

    def _serve_locally(self, exchange, request, target, body, headers):
        guard = self._get_guard()
        if guard is None:
            raise Refused("wrong_owner")
        return guard.serve(
            request,
            target,
            method=exchange.method,
            path=exchange.target,
            headers=headers,
            body=body,
            tie=exchange.tie,
        )

    def cancel_attempts(self, members):
        """Cancel the attempts at members that are no longer in the table.

        A paused or partitioned host keeps its connections open but does not
        answer, so callers would otherwise wait until their deadlines. Attempts
        that are not idempotent and have no owned key continue: they are not
        fenced by a new owner, and their answer may still arrive.
        """
        with self._lock:
            cancels = [
                cancel
                for member in members
                for cancel in self._cancels_by_member.pop(member, ())
            ]
        for cancel in cancels:
            cancel()

    def _track_attempt(self, exchange, request, member):
        """Return two callbacks: track a connection, and stop tracking it."""
        if not (request.owned_key or request.idempotent):
            return exchange.tie, lambda: None
        cancels = []

        def track(connection):
            exchange.tie(connection)
            cancels.append(connection.make_cutter())
            with self._lock:
                self._cancels_by_member.setdefault(member, set()).add(cancels[-1])

        def untrack():
            with self._lock:
                for cancel in cancels:
                    self._cancels_by_member.get(member, set()).discard(cancel)

        return track, untrack

    def _send_to_door(self, exchange, request, target, body, headers):
        headers = headers | internal_headers(request, target, now=self._clock(), hops=1)
        headers["Guavastream-Caller"] = request.caller
        headers |= dict(body.headers)
        track, untrack = self._track_attempt(exchange, request, target.member.id)
        try:
            answer = self._sender.send(
                target.member.door,
                exchange.method,
                exchange.target,
                headers,
                body.content(),
                seconds=max(0.001, request.deadline - self._clock()),
                idle=request.service.idle_ms / 1000,
                last=track,
                may_repeat=request.idempotent,
            )
        finally:
            untrack()
        return vet_answer(answer, request)

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, RetryBudget())
        return budget


def _count_hops(exchange):
    """Return how many doors have forwarded a request.

    The header is validated, because callers can send any value in it.
    """
    value = exchange.header("Guavastream-Hops") or "0"
    if not (
        value.isascii() and value.isdecimal() and len(value) <= MAX_HOP_COUNT_DIGITS
    ):
        raise Refused("bad_request")
    return int(value)
