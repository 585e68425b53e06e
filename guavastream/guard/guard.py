"""Forwards admitted requests to the local backend server."""

from guavastream.guard.outcomes import StoredAnswer
from guavastream.routing import AttemptState, Refused
from guavastream.web import AttemptFailed

__all__ = ["Guard", "GuardedAnswer", "internal_headers"]

MIN_TIMEOUT_SECONDS = 0.001
MAX_STORED_BYTES = 65536
MIN_SERVER_ERROR_STATUS = 500
# Refusals that are raised after ownership was checked, so that the outcomes of
# this member tell whether the operation ran.
CODES_AFTER_OWNERSHIP_CHECK = ("overloaded", "shed", "deadline_passed")
# Refusals because an earlier attempt of the same operation is on record.
CODES_OF_EARLIER_ATTEMPT = ("still_running", "earlier_unknown", "answer_not_kept")


def internal_headers(request, target, *, now, hops):
    """Return the headers that guavastream processes add to a forwarded request.

    Parameters
    ----------
    request : ClassifiedRequest
        The request.
    target : Target
        Shard and epoch to which the request is sent.
    now : float
        Monotonic time in seconds.
    hops : int
        Number of times the request was forwarded between processes.
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
    """An answer of the local server that releases its permit when it ends.

    Parameters
    ----------
    answer : Answer
        The server's answer.
    release : callable
        Releases the permit; called once.
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

        Headers that begin with "Guavastream-" are hidden: only guavastream
        processes may set them, not backend servers.
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
            self._release_permit()

    def finish(self, *, whole):
        """End the answer without reading further."""
        self._answer.finish(whole=whole)
        self._release_permit()

    def _release_permit(self):
        release, self._release = self._release, lambda: None
        release()


def _is_not_sent(error):
    return getattr(error, "knowledge", None) is AttemptState.NOT_SENT


class PartlyReadAnswer(GuardedAnswer):
    """An answer that is too large to store, whose beginning was read already.

    Parameters
    ----------
    answer : GuardedAnswer
        The whole answer.
    parts : list of bytes
        The chunks that were read already.
    chunks : iterator of bytes
        The remaining chunks.
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
    """Sends admitted requests to the server and records their outcomes.

    Parameters
    ----------
    admission : Admission
        Admits requests.
    outcomes : Outcomes
        Outcomes of non-idempotent operations.
    membership : Membership
        Provides the announced server and the lease.
    sender : HttpSender
        Sends requests to the server.
    clock : callable
        Returns monotonic time in seconds.
    metrics : object
        A statsd client.
    record : callable
        Records an event, given its kind and fields.
    """

    def __init__(
        self, *, admission, outcomes, membership, sender, clock, metrics, record
    ):
        self._last_success_at = float("-inf")
        self._outcomes = outcomes
        self._admission = admission
        self._membership = membership
        self._sender = sender
        self._clock = clock
        self._metrics = metrics
        self._record = record

    @property
    def admission(self):
        """The `Admission` of this guard."""
        return self._admission

    @property
    def last_success_at(self):
        """Monotonic time of the server's last answer without a 5xx status."""
        return self._last_success_at

    def serve(self, request, target, *, method, path, headers, body, tie):
        """Send a request to the server and return its answer.

        Parameters
        ----------
        request : ClassifiedRequest
            The request.
        target : Target
            Shard and epoch that the sender of the request assumed.
        headers : dict
            End-to-end headers of the request.
        body : Body
            Request body.
        tie : callable
            Called with the connection to the server, which is closed if the
            caller disconnects.

        Raises
        ------
        Refused
            If the request is refused; its code tells whether it may have run.
        AttemptFailed
            If the attempt failed; it tells how far the attempt is known to have
            come.
        """
        announced = self._membership.announced
        if announced is None or announced.service != request.service.name:
            raise Refused("wrong_owner")
        try:
            permit = self._admission.acquire(request, target)
        except Refused as refused:
            self._metrics.incr(f"guard.refused.{refused.refusal.code}")
            raise self._confirm_if_never_run(request, target, refused) from None
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
        return self._read_and_store(request, guarded) if request.operation else guarded

    def _confirm_if_never_run(self, request, target, refused):
        """Return the refusal, marked as confirmed if the operation never ran."""
        owned = refused.refusal.code in CODES_AFTER_OWNERSHIP_CHECK
        if not (request.operation and owned):
            return refused
        name, operation = request.service.name, request.operation
        if self._outcomes.is_known_new(name, target.shard, operation):
            return Refused(refused.refusal.code, confirmed=True)
        return refused

    def _begin(self, request, target):
        """Register an operation as running; return its earlier answer, if any."""
        if not request.operation:
            return None
        return self._outcomes.begin(
            request.service.name, target.shard, request.operation
        )

    def _note_failure(self, request, error):
        if not request.operation:
            return
        if isinstance(error, Refused):
            # A refusal on account of an earlier attempt must leave the record of
            # that attempt as it is.
            if error.refusal.code not in CODES_OF_EARLIER_ATTEMPT:
                self._outcomes.forget_not_run(request.service.name, request.operation)
                error.confirmed = True
            return
        not_sent = _is_not_sent(error)
        note = (
            self._outcomes.forget_not_run if not_sent else self._outcomes.mark_unknown
        )
        note(request.service.name, request.operation)

    def _read_and_store(self, request, answer):
        """Read an operation's answer to its end, store it and return it.

        The stored outcome then does not depend on whether the caller stays
        connected. An answer that is too large to store is returned partly read.
        """
        name, operation = request.service.name, request.operation
        parts, size = [], 0
        chunks = answer.chunks()
        try:
            for part in chunks:
                parts.append(part)
                size += len(part)
                if size > MAX_STORED_BYTES:
                    self._outcomes.store_answer(name, operation, None)
                    return PartlyReadAnswer(answer=answer, parts=parts, chunks=chunks)
        except AttemptFailed:
            self._outcomes.mark_unknown(name, operation)
            raise
        stored = StoredAnswer(
            status=answer.status,
            reason=answer.reason,
            header_pairs=tuple(answer.headers()),
            body=b"".join(parts),
        )
        self._outcomes.store_answer(name, operation, stored)
        return stored

    def _send(
        self, announced, request, target, permit, method, path, headers, body, tie
    ):
        headers = headers | internal_headers(request, target, now=self._clock(), hops=0)
        if target.epoch >= 0:
            until = self._membership.lease.deadline
            headers["Guavastream-Until"] = str(int(until * 1e9))
        headers |= dict(body.headers)
        content = body.content()

        def check_before_write(connection):
            self._admission.check_lease(permit)
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
            seconds=max(MIN_TIMEOUT_SECONDS, request.deadline - self._clock()),
            idle=request.service.idle_ms / 1000,
            last=check_before_write,
            may_repeat=request.idempotent,
        )
        answer = self._validated(answer, request)
        if answer.status < MIN_SERVER_ERROR_STATUS:
            self._last_success_at = self._clock()
        return answer

    def _validated(self, answer, request):
        echoed_id = answer.header("Guavastream-Request-Id")
        if echoed_id and echoed_id != request.id:
            # A late answer to an earlier request on the reused connection. The
            # connection is out of step and must not be read further.
            answer.finish(whole=False)
            raise AttemptFailed(AttemptState.SENT, "wrong_answer")
        if answer.header("Guavastream-Ran") == "no":
            answer.finish(whole=False)
            raise Refused("server_refused")
        return answer
