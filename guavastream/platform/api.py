"""The platform's calls: readiness, heartbeats, the operator's API."""

from guavastream.exception import FindingsError, GuavastreamError
from guavastream.kernel import part_logger
from guavastream.platform.wire import (
    decode_beat,
    decode_change,
    decode_left,
    encode_beaten,
    encode_config,
)

__all__ = ["BesideApi", "OperatorApi"]

READY_PATH = b"/api/readiness"
CONFIG_PATH = b"/api/config"
INSTANCES_PATH = b"/api/instances/"
MOST_BEAT_BYTES = 1 << 20
MOST_CONFIG_BYTES = 16 << 20
JSON = [(b"Content-Type", b"application/json")]
STATUS_OF_CODE = {"ok": 200, "conflict": 412, "invalid": 422}

log = part_logger("platform")


async def _refuse(responder, error, counters):
    """Answer bad input with every finding, and go on."""
    counters.count("bad_calls")
    for place in {_reason(finding) for finding in error.findings}:
        counters.count(f"bad_calls.{place}")
    log.warning("A call was refused: %s", error)
    text = str(error).encode("utf-8", "replace")
    await responder.send(400, [(b"Content-Type", b"text/plain")], text + b"\n")


def _reason(finding):
    """Return which field is bad, without the names that its sender chose."""
    return finding.place.partition(".")[0]


async def _body(request, limit):
    body, whole = await request.body.read_up_to(limit)
    return body if whole else None


class BesideApi:
    """Calls at the process beside a backend server.

    Parameters
    ----------
    host : ServerHost
        What answers them.
    settings : FleetSettings
        Names this host.
    """

    def __init__(self, *, host, settings):
        self._host = host
        self._settings = settings

    async def ready(self, request, responder):
        """Answer the readiness check."""
        known = request.path == READY_PATH
        status = 404 if not known else 200 if self._host.ready else 503
        await responder.send(status)

    async def control(self, request, responder):
        """Answer heartbeats and departures of the local server."""
        id = request.path.removeprefix(INSTANCES_PATH).decode("latin-1")
        if not request.path.startswith(INSTANCES_PATH) or not id:
            await responder.send(404)
            return
        try:
            if request.method == b"DELETE":
                body = await _body(request, MOST_BEAT_BYTES)
                await self._host.depart(id, born=decode_left(body))
                await responder.send(200, JSON, b"{}")
                return
            if request.method != b"PUT":
                await responder.send(400)
                return
            await self._beat(id, request, responder)
        except FindingsError as error:
            await _refuse(responder, error, self._host.counters)
        except GuavastreamError as error:
            self._host.counters.count("unanswered_heartbeats")
            log.warning("No control host answers a call of %s: %s.", id, error)
            await responder.send(503, [(b"Retry-After", b"0.2")])

    async def _beat(self, id, request, responder):
        body = await _body(request, MOST_BEAT_BYTES)
        if body is None:
            await responder.send(413)
            return
        beat = decode_beat(
            id,
            body,
            host=self._settings.host,
            door=self._settings.inbound,
        )
        answer = await self._host.beat(beat)
        if answer is None or answer.gone:
            await responder.send(409)
            return
        await responder.send(200, JSON, encode_beaten(answer))


class OperatorApi:
    """The operator's calls at a control host.

    Parameters
    ----------
    host : ControlHost
        What answers them.
    """

    def __init__(self, *, host):
        self._host = host

    async def control(self, request, responder):
        """Answer one call."""
        try:
            if request.path != CONFIG_PATH:
                await responder.send(404)
            elif request.method == b"GET":
                config = await self._host.read_routes()
                await responder.send(200, JSON, encode_config(config))
            elif request.method in (b"PUT", b"PATCH"):
                await self._change(request, responder)
            else:
                await responder.send(400)
        except FindingsError as error:
            await _refuse(responder, error, self._host.counters)
        except GuavastreamError as error:
            self._host.counters.count("unanswered_calls")
            log.warning("Whether a call counts is not known: %s.", error)
            await responder.send(503, [(b"Retry-After", b"0.2")])

    async def _change(self, request, responder):
        body = await _body(request, MOST_CONFIG_BYTES)
        if body is None:
            await responder.send(413)
            return
        base = request.headers.get(b"if-match")
        command = decode_change(request.method, base, body)
        answer = await self._host.change(command)
        log.info(
            "Change to version %d on %d: %s.",
            command.version,
            command.base,
            answer.code,
        )
        self._host.counters.count(f"changes.{answer.code}")
        text = "\n".join(answer.findings).encode()
        await responder.send(STATUS_OF_CODE[answer.code], (), text)
