"""Between two hosts: a job on its way to the host beside its server."""

import msgspec

from guavastream.http1 import CutOff, format_head
from guavastream.kernel import TimeLimit, TimeLimits, replace
from guavastream.relay.admission import AdmissionQueue
from guavastream.relay.dialect import OWN
from guavastream.relay.guard import Attempt
from guavastream.relay.job import read_body
from guavastream.relay.outcome import VERDICTS, Lost, NotRun
from guavastream.relay.pick import LARGE_BYTES, format_report, parse_report

__all__ = [
    "FAREWELL",
    "HOP_IDLE_SECONDS",
    "HopDoor",
    "HopJob",
    "read_failure",
    "read_report",
]

# The other host answers this much sooner than the one that asks gives up, so
# that its word on whether the request ran is still heard.
HOP_SECONDS = 0.02
# Time for which a host keeps idle connections of other hosts. Among hundreds of
# servers each is asked by a host only a few times a minute; a connection made anew
# costs as much as the request on it.
HOP_IDLE_SECONDS = 60.0
JOB = OWN + b"job"
# What the other host reads if it sends a request just as its connection ends.
FAREWELL = format_head(
    b"HTTP/1.1 503 Service Unavailable",
    [
        (OWN + b"code", b"unreachable"),
        (b"Content-Length", b"0"),
        (b"Connection", b"close"),
    ],
)
LENGTH = frozenset({b"content-length"})
# Large bodies that come in at a time at the most: two fill a link as well as
# twenty, and a third is on its way while one of them waits for its sender.
MOST_BODIES = 3
# Time that a link needs for the bodies that are on their way at once. What else
# comes waits behind them: calls between servers, and news of the book.
ROOM_SECONDS = 0.3
# Weight of the newest length in the usual one.
LENGTH_WEIGHT = 0.1
# A body whose sender froze gives up its place after this, seconds.
INTAKE_SECONDS = 2.0


class HopJob(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What the other host is told about a job, in one header.

    One header with all of it is a third of the bytes of one for each field,
    and bytes between zones cost.
    """

    service: str
    instance: str
    route: str
    rank: int
    left_ms: int
    wanted_ms: int
    safe: bool
    call: bool
    again: bool
    key: int | None
    urgency: int | None = None
    last: bool = True

    @classmethod
    def of(cls, job, server, *, now, last=True):
        """Return what is told of a `Job` that goes to a server."""
        left = int((job.deadline - HOP_SECONDS - now) * 1000)
        return cls(
            service=job.service,
            instance=server.id,
            route=job.route.name,
            rank=job.rank,
            left_ms=max(1, left),
            wanted_ms=int((job.wanted_by - now) * 1000),
            safe=job.safe,
            call=job.call,
            again=job.again,
            key=job.key if job.keyed else None,
            urgency=job.urgency,
            last=last,
        )

    def header(self):
        """Return it as a header, a pair of bytes."""
        return JOB, _encode(self)


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(HopJob).decode


def read_report(answer):
    """Return what an answer tells of the other host's server, or None."""
    return parse_report(answer.headers.get(OWN + b"report"))


def read_failure(answer):
    """Return `NotRun` or `Lost` as the other host tells, or None."""
    code = answer.headers.get(OWN + b"code").decode("latin-1")
    if not code:
        return None
    verdict = VERDICTS.get(code)
    if verdict is None or verdict.status != VERDICTS["no_server"].status:
        return Lost(code if verdict else "answer_lost")
    ms = answer.headers.get(OWN + b"retry-ms")
    return NotRun(code, retry_after=int(ms) / 1000 if ms.isdigit() else 0.0)


class HopDoor:
    """Answers the requests that other hosts send for the local server.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    guard : Guard
        The way to the local server.
    link_rate : float
        Bytes a second that the link of this host passes, 0 if not known.
    """

    def __init__(self, *, loop, dialect, guard, link_rate=0.0):
        self._loop = loop
        self._clock = loop.time
        self._dialect = dialect
        self._guard = guard
        # Set in the last moments of a stop: whoever still asks for the local
        # server is told that nothing ran.
        self.leaving = False
        self._intake = AdmissionQueue(loop=loop, slots=MOST_BODIES)
        self._link_rate = link_rate
        self._usual_length = 0.0
        self._limits = TimeLimits(loop=loop)

    def end_by(self, when):
        """See that every request has its answer by the clock's time `when`."""
        self._limits.end_by(when)

    async def handle(self, request, responder):
        """Answer a request that another host sent for the local server."""
        try:
            body, stream = b"", None
            if not request.awaits_go and (request.body.ended or not request.length):
                # Most bodies are short, and have come with their heads.
                body, stream = await read_body(request)
            attempt = self._read(request, body, stream)
        except msgspec.DecodeError:
            await responder.send(400)
            return
        try:
            if self.leaving:
                raise NotRun("unreachable")
            if request.awaits_go or not (request.body.ended or not request.length):
                attempt = await self._take_body(attempt, request, responder)
            with self._limits.until(attempt.deadline):
                async with self._guard.serve(attempt) as answer:
                    await self._pass_back(answer, responder, attempt.kind)
        except NotRun as refused:
            await self._tell(responder, attempt.kind, refused.code, refused.retry_after)
        except Lost as lost:
            await self._tell(responder, attempt.kind, lost.code)
        except TimeoutError:
            await self._tell(responder, attempt.kind, "no_answer")
        except CutOff:
            await responder.send(400)

    async def _take_body(self, attempt, request, responder):
        """Return the attempt with its body, taken when the link has room.

        Notes
        -----
        Large bodies of many hosts meet on the link of this one. All at once
        they fill its queue, and short requests wait behind them until their
        time is over; a few at a time use the link as well, and what cannot be
        served in time is refused before its body has come.
        """
        try:
            with TimeLimit(loop=self._loop, when=attempt.deadline):
                if request.awaits_go and not 0 <= request.length < LARGE_BYTES:
                    body, stream = await self._take_large(attempt, request, responder)
                else:
                    responder.go_ahead()
                    body, stream = await read_body(request)
        except TimeoutError:
            raise NotRun("no_time") from None
        return replace(attempt, body=body, stream=stream)

    async def _take_large(self, attempt, request, responder):
        self._pace(request.length)
        work = self._guard.usual(attempt.kind)
        usual = await self._intake.enter(
            rank=attempt.rank,
            kind=attempt.kind,
            wanted_by=attempt.wanted_by - work,
            deadline=attempt.deadline - work,
        )
        began, seconds = self._clock(), None
        try:
            responder.go_ahead()
            with TimeLimit.within(INTAKE_SECONDS, loop=self._loop):
                taken = await read_body(request)
            seconds = self._clock() - began
            return taken
        finally:
            self._intake.leave(usual, kind=attempt.kind, seconds=seconds)

    def _pace(self, length):
        """Set how many bodies may come in at a time on a link of this rate."""
        if length <= 0 or not self._link_rate:
            return
        before = self._usual_length or length
        self._usual_length = before + LENGTH_WEIGHT * (length - before)
        passing = self._link_rate * ROOM_SECONDS / self._usual_length
        self._intake.slots = max(1, min(MOST_BODIES, int(passing)))

    def _read(self, request, body, stream):
        headers = request.headers
        now = self._clock()

        hop = _decode(headers.get(JOB))
        fields = [
            (name, value)
            for name, value in headers.end_to_end(LENGTH)
            if not name.lower().startswith(OWN)
        ]
        return Attempt(
            id=headers.get(self._dialect.request_id.lower()),
            service=hop.service,
            instance=hop.instance,
            method=request.method,
            target=request.target,
            headers=fields,
            body=body,
            stream=stream,
            key=hop.key,
            safe=hop.safe,
            call=hop.call,
            again=hop.again,
            last=hop.last,
            rank=hop.rank,
            urgency=hop.rank if hop.urgency is None else hop.urgency,
            kind=hop.route,
            wanted_by=now + hop.wanted_ms / 1000,
            deadline=min(now + hop.left_ms / 1000, self._limits.end),
        )

    async def _pass_back(self, answer, responder, kind):
        """Give the server's answer to the host that asked."""
        headers = answer.headers.end_to_end(LENGTH)
        headers.append((OWN + b"report", format_report(self._guard.report(kind))))
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

    async def _tell(self, responder, kind, code, retry_after=0.0):
        if responder.whole:
            # Its time was over just as the answer went out.
            return
        if responder.started:
            responder.abort(code)
            return
        headers = [
            (OWN + b"code", code.encode()),
            (OWN + b"report", format_report(self._guard.report(kind))),
            (OWN + b"retry-ms", b"%d" % int(retry_after * 1000)),
        ]
        await responder.send(VERDICTS[code].status, headers)
