"""Handles callers' requests: classify, forward and return the answer."""

from dataclasses import dataclass

import msgspec

from guavastream.kernel import part_logger
from guavastream.routing import Refused, RunStatus, classify
from guavastream.web import AttemptFailed, BodyFailed
from guavastream.web.body import Body
from guavastream.web.send import HOP_BY_HOP

__all__ = ["Door", "RefusalBody"]

INTERNAL_SEGMENT = ".guavastream"

log = part_logger("door")


@dataclass(frozen=True, kw_only=True)
class RefusalBody:
    """JSON body of an answer that does not come from a backend server.

    Parameters
    ----------
    code : str
        Code of the refusal.
    ran : str
        Whether the request ran, a value of `RunStatus`.
    text : str
        Explanation for people.
    request : str
        Id of the request, empty if it was refused before it got one.
    """

    code: str
    ran: str
    text: str
    request: str = ""


class Door:
    """Handles HTTP requests from callers and from other doors.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards requests to the backend servers.
    tables : TableHolder
        Holds the newest table.
    is_ready : callable
        Returns whether the table is confirmed as current.
    clock : callable
        Returns the monotonic time in seconds.
    metrics : object
        A statsd client.
    record : callable
        Records an event; takes its kind and its fields.
    """

    def __init__(self, *, forwarder, tables, is_ready, clock, metrics, record):
        self._forwarder = forwarder
        self._tables = tables
        self._is_ready = is_ready
        self._clock = clock
        self._metrics = metrics
        self._record = record

    def handle(self, exchange):
        """Answer one request; called in a worker thread."""
        if exchange.segments and exchange.segments[0] == INTERNAL_SEGMENT:
            self._answer_internal(exchange)
            return
        started = self._clock()
        self._metrics.incr("door.requests")
        request, code = None, "ok"
        try:
            if not self._is_ready():
                raise Refused("not_ready")
            request = classify(exchange, self._tables.table.declaration, now=started)
            self._forward(exchange, request)
        except Refused as refused:
            code = refused.refusal.code
            self._refuse(exchange, request, refused)
        except (AttemptFailed, BodyFailed) as error:
            code = getattr(error, "code", "caller_gone")
            self._record_answer(exchange, request, code)
            # Abort the connection, so that a partial answer does not look complete.
            exchange.abort()
        self._metrics.timing("door.latency", (self._clock() - started) * 1000)
        self._record_answer(exchange, request, code)

    def _forward(self, exchange, request):
        body = Body(exchange=exchange, idle=request.service.idle_ms / 1000)
        headers = _end_to_end_headers(exchange)
        answer = self._forwarder.run(exchange, request, body, headers)
        fields = [
            (name, value)
            for name, value in answer.headers()
            if not name.lower().startswith("guavastream-")
        ]
        fields.append(("Guavastream-Request-Id", request.id))
        try:
            exchange.start(answer.status, fields, answer.reason)
            for chunk in answer.chunks():
                exchange.write(chunk)
        except OSError as error:
            raise BodyFailed("the caller closed its connection") from error
        finally:
            answer.finish(whole=False)

    def _refuse(self, exchange, request, refused):
        refusal = refused.refusal
        operation = request.operation if request else ""
        ran = refused.reported_run_status(operation)
        body = RefusalBody(
            code=refusal.code,
            ran=ran.value,
            text=refusal.text,
            request=request.id if request else "",
        )
        headers = [("Guavastream-Code", refusal.code)]
        if ran is RunStatus.NOT_RUN:
            headers.append(("Guavastream-Ran", "no"))
        if refusal.retry_after:
            headers.append(("Retry-After", str(refusal.retry_after)))
        exchange.respond(refusal.status, body, headers)

    def _record_answer(self, exchange, request, code):
        self._metrics.incr(f"door.answers.{code}")
        if request is None or exchange.header("Guavastream-Hops"):
            return
        self._record(
            "answered",
            service=request.service.name,
            key=request.key,
            request=request.id,
            detail={"code": code, "idempotent": request.idempotent},
        )

    def _answer_internal(self, exchange):
        table = self._tables.table
        if exchange.segments[1:] == ["health"]:
            ready = self._is_ready() and not exchange.closing
            exchange.respond(200 if ready else 503, {"ready": ready})
            return
        if exchange.segments[1:2] == ["routes"] and len(exchange.segments) == 3:
            self._answer_routes(exchange, table, exchange.segments[2])
            return
        exchange.respond(404, {"code": "unknown_path"})

    def _answer_routes(self, exchange, table, name):
        service = table.declaration.service(name)
        if service is None:
            exchange.respond(404, {"code": "unknown_service"})
            return
        exchange.respond(200, make_routes(table, service))


def make_routes(table, service):
    """Return the routes with which a client library can contact owners directly."""
    shards = table.shards.get(service.name)
    members = {
        str(m.id): {"door": m.door, "zone": m.zone, "drained": table.is_drained(m)}
        for m in table.servers(service.name)
    }
    pins = {key: pin.member for key, pin in table.pins.get(service.name, {}).items()}
    return {
        "index": table.index,
        "service": msgspec.to_builtins(service),
        "members": members,
        "owners": list(shards.owners) if shards else [],
        "pins": pins,
    }


def _end_to_end_headers(exchange):
    """Return the headers of a request that are passed on to the backend server."""
    connection_headers = {
        p.strip().lower() for p in exchange.header("Connection").split(",")
    }
    excluded = HOP_BY_HOP | connection_headers | {"content-length"}
    return {
        name: value
        for name, value in exchange.headers()
        if name.lower() not in excluded and not name.lower().startswith("guavastream-")
    }
