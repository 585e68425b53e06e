"""The only way to the local backend server."""

from guavastream.guard.outcomes import StoredAnswer
from guavastream.routing import AttemptState, Refused
from guavastream.web import AttemptFailed

__all__ = ["Guard", "GuardedAnswer", "own_headers"]

MIN_SECONDS = 0.001
MAX_KEPT_BYTES = 65536
SERVER_ERRORS = 500
# Refusals that come after ownership was checked.
WHILE_OWNING = ("overloaded", "shed", "deadline_passed")
EARLIER = ("still_running", "earlier_unknown", "answer_not_kept")


def own_headers(request, target, *, now, hops):
    """Return the headers that travel with a request between our processes.

    Parameters
    ----------
    request : ClassifiedRequest
        The request.
    target : Target
        Where it goes.
    now : float
        The clock's time.
    hops : int
        Doors it has passed.
    """
    left = max(1, int((request.deadline - now) * 1000))
    headers = {
        "Guavastream-Request-Id": request.id,
        "Guavastream-Deadline-Ms": str(left),
        "Guavastream-Hops": str(hops),
    }
    if target.shard >= 0:
        headers["Guavastream-Shard"] = str(target.shard)
        headers["Guavastream-Epoch"] = str(target.epoch)
    return headers


class GuardedAnswer:
    """An answer of the local server that holds its permit until it ends.

    Parameters
    ----------
    answer : Answer
        The server's answer.
    release : callable
        Gives the permit back; called once.
    """

    def __init__(self, *, answer, release):
        self._answer = answer
        self._release = release

    @property
    def status(self):
        """HTTP status."""
        return self._answer.status

    @property
    def reason(self):
        """Reason phrase."""
        return self._answer.reason

    def header(self, name):
        """Return the value of a header, or an empty string.

        What only our processes may say is never taken from a server.
        """
        if name.lower().startswith("guavastream-"):
            return ""
        return self._answer.header(name)

    def headers(self):
        """Return the end-to-end headers as pairs."""
        return [
            (name, value)
            for name, value in self._answer.headers()
            if not name.lower().startswith("guavastream-")
        ]

    def chunks(self):
        """Yield the body as it comes."""
        try:
            yield from self._answer.chunks()
        finally:
            self._let_go()

    def finish(self, *, whole):
        """End the answer without reading on."""
        self._answer.finish(whole=whole)
        self._let_go()

    def _let_go(self):
        release, self._release = self._release, lambda: None
        release()


def _is_not_sent(error):
    return getattr(error, "knowledge", None) is AttemptState.NOT_SENT


class LongAnswer(GuardedAnswer):
    """An answer too large to be kept, of which the beginning was read.

    Parameters
    ----------
    answer : GuardedAnswer
        The whole answer.
    parts : list of bytes
        What was read of it.
    chunks : iterator of bytes
        The rest.
    """

    def __init__(self, *, answer, parts, chunks):
        super().__init__(answer=answer, release=lambda: None)
        self._parts = parts
        self._chunks = chunks

    def chunks(self):
        """Yield the body as it comes."""
        yield from self._parts
        yield from self._chunks


class Guard:
    """Hands admitted requests to the server and watches what comes of them.

    Parameters
    ----------
    admission : Admission
        Decides what may pass.
    outcomes : Outcomes
        Remembers operations.
    membership : Membership
        Knows the server and the lease.
    sender : HttpSender
        Reaches the server.
    clock : callable
        Monotonic time in seconds.
    metrics : object
        A statsd client.
    record : callable
        Takes the kind and fields of an event.
    """

    def __init__(
        self, *, admission, outcomes, membership, sender, clock, metrics, record
    ):
        self._served_at = float("-inf")
        self._outcomes = outcomes
        self._admission = admission
        self._membership = membership
        self._sender = sender
        self._clock = clock
        self._metrics = metrics
        self._record = record

    @property
    def admission(self):
        """What decides about requests."""
        return self._admission

    @property
    def served_at(self):
        """The clock's time of the last good answer of the server."""
        return self._served_at

    def serve(self, request, target, *, method, path, headers, body, tie):
        """Run a request at the server and return its answer.

        Parameters
        ----------
        request : ClassifiedRequest
            The request.
        target : Target
            Shard and epoch under which it came here.
        headers : dict
            End-to-end headers of the caller.
        body : Body
            Request body.
        tie : callable
            Told the connection to the server, to be cut if the caller goes.

        Raises
        ------
        Refused
            If it was not run.
        AttemptFailed
            With what is known of the attempt.
        """
        announced = self._membership.announced
        if announced is None or announced.service != request.service.name:
            raise Refused("wrong_owner")
        try:
            permit = self._admission.acquire(request, target)
        except Refused as refused:
            self._metrics.incr(f"guard.refused.{refused.refusal.code}")
            raise self._confirmed(request, target, refused) from None
        try:
            earlier = self._begin(request, target)
            if earlier is not None:
                self._admission.release(permit)
                return earlier
            answer = self._send(
                announced, request, target, permit, method, path, headers, body, tie
            )
        except BaseException as error:
            self._note_failure(request, error)
            self._admission.release(permit)
            if request.operation and _is_not_sent(error):
                raise Refused(error.code, confirmed=True) from error
            raise
        guarded = GuardedAnswer(
            answer=answer, release=lambda: self._admission.release(permit)
        )
        return self._keep(request, guarded) if request.operation else guarded

    def _confirmed(self, request, target, refused):
        """Return a refusal that says whether the operation never ran."""
        owned = refused.refusal.code in WHILE_OWNING
        if not (request.operation and owned):
            return refused
        name, operation = request.service.name, request.operation
        if self._outcomes.is_new(name, target.shard, operation):
            return Refused(refused.refusal.code, confirmed=True)
        return refused

    def _begin(self, request, target):
        """Return the answer that an operation had before, if it had one."""
        if not request.operation:
            return None
        return self._outcomes.begin(
            request.service.name, target.shard, request.operation
        )

    def _note_failure(self, request, error):
        if not request.operation:
            return
        if isinstance(error, Refused):
            # A resend that was refused says nothing about the first attempt.
            if error.refusal.code not in EARLIER:
                self._outcomes.not_run(request.service.name, request.operation)
                error.confirmed = True
            return
        not_sent = _is_not_sent(error)
        note = self._outcomes.not_run if not_sent else self._outcomes.unknown
        note(request.service.name, request.operation)

    def _keep(self, request, answer):
        """Read an operation's answer to its end before the caller gets it.

        Whether the caller stays to hear it makes no difference then to what
        a resend is told.
        """
        name, operation = request.service.name, request.operation
        parts, size = [], 0
        chunks = answer.chunks()
        try:
            for part in chunks:
                parts.append(part)
                size += len(part)
                if size > MAX_KEPT_BYTES:
                    self._outcomes.answered(name, operation, None)
                    return LongAnswer(answer=answer, parts=parts, chunks=chunks)
        except AttemptFailed:
            self._outcomes.unknown(name, operation)
            raise
        stored = StoredAnswer(
            status=answer.status,
            reason=answer.reason,
            fields=tuple(answer.headers()),
            body=b"".join(parts),
        )
        self._outcomes.answered(name, operation, stored)
        return stored

    def _send(
        self, announced, request, target, permit, method, path, headers, body, tie
    ):
        headers = headers | own_headers(request, target, now=self._clock(), hops=0)
        if target.epoch >= 0:
            until = self._membership.lease.deadline
            headers["Guavastream-Until"] = str(int(until * 1e9))
        headers |= dict(body.headers)
        content = body.content()

        def check(connection):
            self._admission.check_again(permit)
            tie(connection)
            self._metrics.incr("guard.admitted")
            self._record(
                "admitted",
                service=request.service.name,
                key=request.key,
                request=request.id,
                server=announced.boot,
                shard=target.shard,
                epoch=target.epoch,
            )

        answer = self._sender.send(
            announced.address,
            method,
            path,
            headers,
            content,
            seconds=max(MIN_SECONDS, request.deadline - self._clock()),
            idle=request.service.idle_ms / 1000,
            last=check,
            may_repeat=request.idempotent,
        )
        answer = self._vetted(answer, request)
        if answer.status < SERVER_ERRORS:
            self._served_at = self._clock()
        return answer

    def _vetted(self, answer, request):
        echoed = answer.header("Guavastream-Request-Id")
        if echoed and echoed != request.id:
            # An answer that came late over a reused connection belongs to
            # somebody else; nothing more may be read from that connection.
            answer.finish(whole=False)
            raise AttemptFailed(AttemptState.SENT, "wrong_answer")
        if answer.header("Guavastream-Ran") == "no":
            answer.finish(whole=False)
            raise Refused("server_refused")
        return answer
