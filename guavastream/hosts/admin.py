"""HTTP endpoints for operators: metrics and suspect requests of one process."""

import msgspec

from guavastream.exception import GuavastreamError
from guavastream.kernel import part_logger

__all__ = ["AdminApi", "MAX_ADMIN_BODY_BYTES", "SuspectRow", "SuspectsToLift"]

METRICS_PATH = b"/metrics"
SUSPECTS_PATH = b"/suspects"
LIFT_PATH = b"/suspects/lift"
TEXT_HEADERS = [(b"Content-Type", b"text/plain; version=0.0.4")]
JSON_HEADERS = [(b"Content-Type", b"application/json")]
MAX_ADMIN_BODY_BYTES = 1 << 16

log = part_logger("admin")


class SuspectRow(msgspec.Struct, frozen=True, kw_only=True):
    """A suspect request: backend servers have crashed while running it.

    `request` is its fingerprint in hexadecimal digits, as in log lines.
    """

    request: str
    ended_servers: int
    refused: bool
    places: list[tuple[str, str]]
    hosts: list[str]


class SuspectsToLift(msgspec.Struct, frozen=True, kw_only=True):
    """Fingerprints of the requests to clear; an empty list clears all suspects."""

    requests: list[str] = []


class AdminApi:
    """Serves metrics and suspect requests on the metrics address.

    Parameters
    ----------
    host : ServerHost or ControlHost
        The process whose data is served.
    """

    def __init__(self, *, host):
        self._host = host

    async def handle(self, request, responder):
        """Answer one HTTP request."""
        if request.path == METRICS_PATH:
            await responder.send(200, TEXT_HEADERS, self._host.counters.text().encode())
        elif request.path == SUSPECTS_PATH and request.method == b"GET":
            await responder.send(
                200, JSON_HEADERS, msgspec.json.encode(self._suspect_rows())
            )
        elif request.path == LIFT_PATH and request.method == b"POST":
            await self._lift(request, responder)
        else:
            await responder.send(404)

    def _suspect_rows(self):
        return [
            SuspectRow(
                request=fingerprint.hex(),
                ended_servers=suspect.crash_count,
                refused=suspect.refused,
                places=list(suspect.places),
                hosts=list(suspect.hosts),
            )
            for fingerprint, suspect in self._host.fleet_state.suspects.items()
        ]

    async def _lift(self, request, responder):
        body, whole = await request.body.read_up_to(MAX_ADMIN_BODY_BYTES)
        try:
            request_body = msgspec.json.decode(
                body if whole else b"", type=SuspectsToLift
            )
            fingerprints = tuple(bytes.fromhex(text) for text in request_body.requests)
        except (msgspec.MsgspecError, ValueError) as error:
            await responder.send(400, TEXT_HEADERS, f"{error}\n".encode())
            return
        known = self._host.fleet_state.suspects
        unknown = [
            fingerprint.hex()
            for fingerprint in fingerprints
            if fingerprint not in known
        ]
        if unknown:
            text = f"Not known as suspect requests: {', '.join(unknown)}.\n"
            await responder.send(404, TEXT_HEADERS, text.encode())
            return
        try:
            await self._host.lift_suspects(fingerprints or tuple(known))
        except GuavastreamError as error:
            log.warning(
                "Clearing suspect requests failed, it may still take effect: %s.", error
            )
            await responder.send(503, TEXT_HEADERS, f"{error}\n".encode())
            return
        await responder.send(200)
