"""Attempts of one request: choose, send, judge, and perhaps try again."""

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

# Longest wait for a key that has no owner at this moment, seconds. An owner's
# loss is over within one; what takes longer the caller is told.
OWNER_WAIT_SECONDS = 2.0
TABLE_WAIT_SECONDS = 0.05
SERVER_ERRORS = 500
MAX_HOPS_DIGITS = 3
OWNERSHIP = ("no_owner", "wrong_owner", "moving", "no_lease", "not_ready", "leaving")


class Forwarder:
    """Brings requests to the guard of the right server.

    Parameters
    ----------
    tables : TableHolder
        Newest table.
    chooser : Chooser
        Picks a server where there is no key.
    sender : HttpSender
        Reaches other doors.
    guard : callable
        Gives the guard of this process, or None.
    member : callable
        Gives this process's member id, 0 if it has none.
    clock : callable
        Monotonic time in seconds.
    metrics : object
        A statsd client.
    """

    def __init__(self, *, tables, chooser, sender, guard, member, clock, metrics):
        self._tables = tables
        self._chooser = chooser
        self._sender = sender
        self._guard = guard
        self._member = member
        self._clock = clock
        self._metrics = metrics
        self._budgets = {}
        self._attempts = {}
        self._lock = threading.Lock()

    def run(self, exchange, request, body, headers):
        """Return the answer of the first attempt that brings one.

        Parameters
        ----------
        exchange : Exchange
            The caller's request.
        request : ClassifiedRequest
            What it is.
        body : Body
            Its body.
        headers : dict
            End-to-end headers.

        Raises
        ------
        Refused
            With the final refusal.
        BodyFailed
            If the caller's body broke.
        """
        hops = _hops_of(exchange)
        budget = self._budget(request.service.name)
        if not hops:
            budget.earn()
        patience = min(request.deadline, self._clock() + OWNER_WAIT_SECONDS)
        avoid = set()
        attempts = Attempts(idempotent=request.idempotent)
        while True:
            index = self._tables.table.index
            try:
                return self._attempt(exchange, request, body, headers, hops, avoid)
            except Refused as refused:
                attempts.note_refused(refused)
            except AttemptFailed as failed:
                attempts.note(failed.code, failed.knowledge)
            if exchange.gone:
                raise BodyFailed("the caller went away")
            if not self._may_retry(request, body, attempts, hops, budget):
                raise attempts.final()
            if self._waits(request, attempts.code):
                left = patience - self._clock()
                if left <= 0:
                    raise attempts.final()
                self._tables.wait_in_thread(index, min(TABLE_WAIT_SECONDS, left))
            if self._clock() >= request.deadline:
                raise attempts.final()

    def _may_retry(self, request, body, attempts, hops, budget):
        if not (attempts.may_try_again and body.replayable):
            return False
        code = attempts.code
        refusal = REFUSALS[code]
        if refusal.ran is RunStatus.NOT_RUN and not refusal.retryable:
            return False
        # The first door tries again; a second one only says what it knows.
        # With both at it, retries would multiply and requests could circle.
        if hops:
            return False
        if self._waits(request, code):
            return not self._is_hopeless(request.service.name)
        if request.owned_key and refusal.ran is RunStatus.NOT_RUN:
            # There is no other server to try.
            return False
        return budget.spend()

    def _waits(self, request, code):
        """Whether the next attempt has to wait for another owner."""
        lost = code == "unreachable" and bool(request.owned_key)
        return lost or code in OWNERSHIP

    def _is_hopeless(self, service):
        return not self._tables.table.servers(service)

    def _attempt(self, exchange, request, body, headers, hops, avoid):
        self._metrics.incr("door.attempts")
        target = self._choose(request, exchange, hops, avoid)
        member = target.member
        failed = True
        self._chooser.begin(member.id)
        try:
            if member.id == self._member():
                answer = self._serve_here(exchange, request, target, body, headers)
            elif hops:
                raise Refused("wrong_owner")
            else:
                answer = self._send_on(exchange, request, target, body, headers)
            failed = answer.status >= SERVER_ERRORS
            return answer
        except BodyFailed:
            failed = False
            raise
        except Refused as refused:
            failed = refused.refusal.code not in ("shed", "overloaded")
            raise
        finally:
            avoid.add(member.id)
            self._chooser.end(member.id, failed=failed)

    def _choose(self, request, exchange, hops, avoid):
        table = self._tables.table
        service = request.service
        if request.owned_key:
            return find_owner(table, service.name, request.owned_key)
        if hops:
            # The door before chose this server; choosing again could circle.
            member = table.members.get(self._member())
            if member is None:
                raise Refused("wrong_owner")
            return Target(member=member)
        return self._chooser.choose(table, service.name, avoid=avoid)

    def _serve_here(self, exchange, request, target, body, headers):
        guard = self._guard()
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

    def abandon(self, members):
        """End the attempts at members that are gone from the table.

        A host that is paused or cut off keeps its connections open and
        silent; without this its callers would wait out their deadlines. What
        may not repeat and has no owner to be fenced by is left alone: its
        answer may still come.
        """
        with self._lock:
            lost = [cut for m in members for cut in self._attempts.pop(m, ())]
        for cut in lost:
            cut()

    def _note_attempt(self, exchange, request, member):
        """Return what is told the connection, and what forgets it."""
        if not (request.owned_key or request.idempotent):
            return exchange.tie, lambda: None
        noted = []

        def note(connection):
            exchange.tie(connection)
            noted.append(connection.make_cutter())
            with self._lock:
                self._attempts.setdefault(member, set()).add(noted[-1])

        def forget():
            with self._lock:
                for cut in noted:
                    self._attempts.get(member, set()).discard(cut)

        return note, forget

    def _send_on(self, exchange, request, target, body, headers):
        headers = headers | internal_headers(request, target, now=self._clock(), hops=1)
        headers["Guavastream-Caller"] = request.caller
        headers |= dict(body.headers)
        note, forget = self._note_attempt(exchange, request, target.member.id)
        try:
            answer = self._sender.send(
                target.member.door,
                exchange.method,
                exchange.target,
                headers,
                body.content(),
                seconds=max(0.001, request.deadline - self._clock()),
                idle=request.service.idle_ms / 1000,
                last=note,
                may_repeat=request.idempotent,
            )
        finally:
            forget()
        return vet_answer(answer, request)

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, RetryBudget())
        return budget


def _hops_of(exchange):
    """Return how many doors a request has passed; a caller may write anything."""
    said = exchange.header("Guavastream-Hops") or "0"
    if not (said.isascii() and said.isdecimal() and len(said) <= MAX_HOPS_DIGITS):
        raise Refused("bad_request")
    return int(said)
