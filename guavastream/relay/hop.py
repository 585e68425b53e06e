"""Requests between hosts: from the ingress to the host of the chosen server."""

import math

import msgspec

from guavastream.http1 import BudgetSpent, IncompleteMessage, format_head
from guavastream.kernel import TimeLimit, TimeLimitGroup, replace
from guavastream.relay.attempt import Attempt
from guavastream.relay.body_queue import BodyQueue, RequestedBody
from guavastream.relay.dialect import INTERNAL_PREFIX
from guavastream.relay.job import MAX_BUFFERED_BODY_BYTES, read_body
from guavastream.scheduling.admission import ANSWER_MARGIN_SECONDS
from guavastream.scheduling.outcome import FAILURE_RULES, NotRun, OutcomeUnknown
from guavastream.scheduling.pick import LARGE_BYTES, format_report, parse_report

__all__ = [
    "CLOSING_RESPONSE",
    "HOP_IDLE_SECONDS",
    "HopHandler",
    "HopHeader",
    "body_header",
    "read_failure",
    "read_levels",
    "read_report",
    "share_header",
]

# The remote host answers this much before the sending host gives up, so that its
# statement on whether the request ran arrives in time.
HOP_MARGIN_SECONDS = 0.02
# Requests of other hosts stop waiting this long before their deadline, so that the
# statement that they have not run arrives. A host with 0.43 cores may be paused for
# 57 ms of each 100 ms. The request, the decision to refuse and the statement can each
# meet such a pause, and the deadline counts from the arrival of the request here.
# Calls wait longer: a refused one wastes the work of the request that it is part of.
REFUSAL_MARGIN_SECONDS = 0.15
# At most this share of the time that is left on arrival, so that short requests wait.
MAX_REFUSAL_MARGIN_SHARE = 0.3
# Idle time of connections between hosts. With hundreds of servers a host sends each
# of them only a few requests a minute, and a new connection costs as much as the
# request itself.
HOP_IDLE_SECONDS = 60.0
HOP_HEADER_NAME = INTERNAL_PREFIX + b"job"
# Admission levels of the remote server, in answers while it refuses requests.
LEVELS_HEADER_NAME = INTERNAL_PREFIX + b"levels"
# Fingerprint of a body that the remote host has to ask for, in hexadecimal digits.
BODY_HEADER_NAME = INTERNAL_PREFIX + b"body"
# Share of such requests that the ingress admits, in thousandths, if it refuses some.
SHARE_HEADER_NAME = INTERNAL_PREFIX + b"share"
# Sent when a kept connection is closed, in case a request is already under way.
CLOSING_RESPONSE = format_head(
    b"HTTP/1.1 503 Service Unavailable",
    [
        (INTERNAL_PREFIX + b"code", b"unreachable"),
        (b"Content-Length", b"0"),
        (b"Connection", b"close"),
    ],
)
REPLACED_HEADERS = frozenset({b"content-length"})


class HopHeader(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The fields of a job that the remote host needs, encoded in one header.

    One header takes a third of the bytes that one header for each field would take,
    and traffic between availability zones costs money.

    The fields mean the same as those of `Attempt`; `remaining_ms` and `target_ms` are
    the milliseconds until `deadline` and `target_time`, and `config` is the version of
    the configuration that the route is from.
    """

    service: str
    instance: str
    route: str
    rank: int
    remaining_ms: int
    target_ms: int
    idempotent: bool
    is_call: bool
    is_retry: bool
    key: int | None
    urgency: int | None = None
    is_last: bool = True
    config: int = 0
    may_be_retried: bool = False

    @classmethod
    def of(cls, job, server, *, now, last=True, may_be_retried=False):
        """Return the header for a `Job` that is sent to a server."""
        left = int((job.deadline - HOP_MARGIN_SECONDS - now) * 1000)
        return cls(
            service=job.service,
            instance=server.id,
            route=job.route.name,
            rank=job.rank,
            remaining_ms=max(1, left),
            target_ms=int((job.target_time - now) * 1000),
            idempotent=job.idempotent,
            is_call=job.is_call,
            is_retry=job.is_retry,
            key=job.key if job.keyed else None,
            urgency=job.urgency,
            is_last=last,
            config=job.config_version,
            may_be_retried=may_be_retried,
        )

    def header(self):
        """Return the name and the value of the header, as bytes."""
        return HOP_HEADER_NAME, _encode(self)


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(HopHeader).decode


def read_report(answer):
    """Return the load report of the remote server in an answer, or None."""
    return parse_report(answer.headers.get(INTERNAL_PREFIX + b"report"))


def read_levels(answer):
    """Return the header value with the remote server's levels, empty if it has none."""
    return answer.headers.get(LEVELS_HEADER_NAME)


def share_header(share):
    """Return the header that says by which share a request was admitted."""
    return SHARE_HEADER_NAME, b"%d" % round(share * 1000)


def body_header(fingerprint):
    """Return the header that tells the fingerprint of a body that is sent on demand."""
    return BODY_HEADER_NAME, fingerprint.hex().encode()


def _parse_fingerprint(value):
    """Return the fingerprint in a header value, empty if missing or malformed.

    Examples
    --------
    >>> _parse_fingerprint(b"0aff"), _parse_fingerprint(b"none")
    (b'\\n\\xff', b'')
    """
    try:
        return bytes.fromhex(value.decode("latin-1"))
    except ValueError:
        return b""


def _parse_share(value):
    """Return the share in a header value, 1 if it is missing or malformed.

    Examples
    --------
    >>> _parse_share(b"250"), _parse_share(b""), _parse_share(b"4000")
    (0.25, 1.0, 1.0)
    """
    if not value.isdigit() or len(value) > 4:
        return 1.0
    return min(1.0, int(value) / 1000)


def read_failure(answer):
    """Return the `NotRun` or `OutcomeUnknown` that the remote host reports, or None."""
    code = answer.headers.get(INTERNAL_PREFIX + b"code").decode("latin-1")
    if not code:
        return None
    rule = FAILURE_RULES.get(code)
    status = rule.status if rule else answer.status
    if status != FAILURE_RULES["no_server"].status:
        return OutcomeUnknown(code if rule else "answer_lost")
    if rule is None:
        # A process of a newer version refuses for a reason that is unknown here.
        code = "overloaded"
    ms = answer.headers.get(INTERNAL_PREFIX + b"retry-ms")
    return NotRun(code, retry_after=int(ms) / 1000 if ms.isdigit() else 0.0)


def _refusal_margin(hop):
    """Return how long before its deadline a request stops waiting, in seconds."""
    if hop.is_call:
        return ANSWER_MARGIN_SECONDS
    share = MAX_REFUSAL_MARGIN_SHARE * hop.remaining_ms / 1000
    return max(ANSWER_MARGIN_SECONDS, min(REFUSAL_MARGIN_SECONDS, share))


class HopHandler:
    """Handles requests that other hosts send for the local server.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    guard : Guard
        Admits requests to the local server.
    link_rate : float
        Capacity of this host's link in bytes per second, 0 if unknown.
    class_priority : bool
        Whether requests are admitted by urgency class, and answers carry levels.
    """

    def __init__(self, *, loop, dialect, guard, link_rate=0.0, class_priority=False):
        self._loop = loop
        self._clock = loop.time
        self._dialect = dialect
        self._guard = guard
        self._class_priority = class_priority
        # Set at the end of a stop; all further requests are refused as not run.
        self.leaving = False
        self._body_queue = BodyQueue(loop=loop, link_rate=link_rate)
        self._limits = TimeLimitGroup(loop=loop)

    def end_by(self, when):
        """Answer every request by the clock's time `when` at the latest."""
        self._limits.end_by(when)

    async def handle(self, request, responder):
        """Answer a request of another host for the local server."""
        try:
            body, rest = b"", None
            # Most bodies are short and arrive together with the head.
            is_received = not request.expects_continue and (
                request.body.ended or not request.length
            )
            if is_received:
                body, rest = await read_body(request)
            attempt = self._parse_attempt(request, body, rest)
        except msgspec.DecodeError:
            await responder.send(400)
            return
        try:
            if self.leaving:
                raise NotRun("unreachable")
            if not is_received:
                attempt = await self._receive_body(attempt, request, responder)
            with self._limits.until(attempt.deadline):
                async with self._guard.serve(attempt) as answer:
                    await self._send_answer(answer, responder, attempt.kind)
        except NotRun as refused:
            await self._send_failure(
                responder, attempt.kind, refused.code, refused.retry_after
            )
        except BudgetSpent:
            await self._send_failure(responder, attempt.kind, "no_memory")
        except OutcomeUnknown as unknown:
            await self._send_failure(responder, attempt.kind, unknown.code)
        except TimeoutError:
            code = self._code_after_timeout(attempt)
            await self._send_failure(responder, attempt.kind, code)
        except IncompleteMessage:
            await responder.send(400)

    def _code_after_timeout(self, attempt):
        """Return the code for an attempt that was ended by a time limit."""
        if attempt.sent_at:
            return "no_answer"
        # It only waited, and does not wait any more.
        return "leaving" if self._clock() >= self._limits.end else "no_time"

    async def _receive_body(self, attempt, request, responder):
        """Return the attempt with its body, or with the means to ask for it later.

        Notes
        -----
        A body that the other host keeps is received now, so that it does not occupy a
        slot of the server meanwhile. One that it can send only once is asked for when
        nothing but the server itself can refuse the request any more.
        """
        if not 0 <= request.length <= MAX_BUFFERED_BODY_BYTES:
            return replace(attempt, rest=self._body_on_demand(attempt, request))
        try:
            until = attempt.deadline - attempt.margin
            with TimeLimit(loop=self._loop, when=until):
                if request.expects_continue and request.length >= LARGE_BYTES:
                    body, _ = await self._receive_large_body(
                        attempt, request, responder
                    )
                else:
                    responder.send_continue()
                    body, _ = await read_body(request)
        except TimeoutError:
            raise NotRun("no_time") from None
        return replace(attempt, body=body)

    def _body_on_demand(self, attempt, request):
        def enter():
            return self._enter_body_queue(attempt, request)

        length = None if request.length < 0 else request.length
        return RequestedBody(stream=request.body, length=length, enter=enter)

    async def _receive_large_body(self, attempt, request, responder):
        self._guard.refuse_early(attempt)
        place = await self._enter_body_queue(attempt, request)
        received = False
        try:
            responder.send_continue()
            with place.time_limit():
                body = await read_body(request)
            received = True
            return body
        finally:
            place.leave(received=received)

    async def _enter_body_queue(self, attempt, request):
        """Wait for a `BodyPlace`."""
        return await self._body_queue.enter(
            attempt,
            length=request.length,
            work_seconds=self._guard.usual_seconds(attempt.kind),
        )

    def _parse_attempt(self, request, body, rest):
        headers = request.headers
        now = self._clock()

        hop = _decode(headers.get(HOP_HEADER_NAME))
        fields = [
            (name, value)
            for name, value in headers.end_to_end(REPLACED_HEADERS)
            if not name.lower().startswith(INTERNAL_PREFIX)
        ]
        return Attempt(
            id=headers.get(self._dialect.request_id.lower()),
            service=hop.service,
            instance=hop.instance,
            method=request.method,
            target=request.target,
            headers=fields,
            body=body,
            rest=rest,
            key=hop.key,
            idempotent=hop.idempotent,
            is_call=hop.is_call,
            is_retry=hop.is_retry,
            is_last=hop.is_last,
            may_be_retried=hop.may_be_retried,
            rank=hop.rank,
            urgency=hop.rank if hop.urgency is None else hop.urgency,
            kind=hop.route,
            target_time=now + hop.target_ms / 1000,
            deadline=min(now + hop.remaining_ms / 1000, self._limits.end),
            margin=_refusal_margin(hop),
            share=_parse_share(headers.get(SHARE_HEADER_NAME)),
            config_version=hop.config,
            told_fingerprint=_parse_fingerprint(headers.get(BODY_HEADER_NAME)),
        )

    def _load_headers(self, kind):
        """Return the headers that tell the requesting host of the server's load."""
        report = format_report(self._guard.report(kind))
        headers = [(INTERNAL_PREFIX + b"report", report)]
        if self._class_priority and (levels := self._guard.levels_header()):
            headers.append((LEVELS_HEADER_NAME, levels))
        return headers

    async def _send_answer(self, answer, responder, kind):
        """Send the server's answer to the requesting host."""
        headers = answer.headers.end_to_end(REPLACED_HEADERS)
        headers += self._load_headers(kind)
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

    async def _send_failure(self, responder, kind, code, retry_after=0.0):
        if responder.complete:
            # The deadline passed just after the whole answer was sent.
            return
        if responder.started:
            responder.abort(code)
            return
        headers = [
            (INTERNAL_PREFIX + b"code", code.encode()),
            *self._load_headers(kind),
            (INTERNAL_PREFIX + b"retry-ms", b"%d" % math.ceil(retry_after * 1000)),
        ]
        await responder.send(FAILURE_RULES[code].status, headers)
