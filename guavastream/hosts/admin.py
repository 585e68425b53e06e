"""What operators see and do at one process: counters, and suspect requests."""

import msgspec

from guavastream.exception import GuavastreamError
from guavastream.kernel import part_logger

__all__ = ["AdminApi", "SuspectRow", "SuspectsToLift"]

METRICS_PATH = b"/metrics"
SUSPECTS_PATH = b"/suspects"
LIFT_PATH = b"/suspects/lift"
TEXT = [(b"Content-Type", b"text/plain; version=0.0.4")]
JSON = [(b"Content-Type", b"application/json")]
MOST_BYTES = 1 << 16

log = part_logger("admin")


class SuspectRow(msgspec.Struct, frozen=True, kw_only=True):
    """A request under which servers ended, as it is shown.

    `request` is its fingerprint in hexadecimal digits, as in the lines of logs.
    """

    request: str
    ended_servers: int
    refused: bool
    places: list[tuple[str, str]]
    hosts: list[str]


class SuspectsToLift(msgspec.Struct, frozen=True, kw_only=True):
    """Fingerprints that are to be forgotten, all that are known if there are none."""

    requests: list[str] = []


class AdminApi:
    """Answers operators at the address of a process's counters.

    Parameters
    ----------
    host : ServerHost or ControlHost
        The process.
    """

    def __init__(self, *, host):
        self._host = host

    async def handle(self, request, responder):
        """Answer one call."""
        if request.path == METRICS_PATH:
            await responder.send(200, TEXT, self._host.counters.text().encode())
        elif request.path == SUSPECTS_PATH and request.method == b"GET":
            await responder.send(200, JSON, msgspec.json.encode(self._rows()))
        elif request.path == LIFT_PATH and request.method == b"POST":
            await self._lift(request, responder)
        else:
            await responder.send(404)

    def _rows(self):
        return [
            SuspectRow(
                request=print.hex(),
                ended_servers=suspect.crash_count,
                refused=suspect.refused,
                places=list(suspect.places),
                hosts=list(suspect.hosts),
            )
            for print, suspect in self._host.book.suspects.items()
        ]

    async def _lift(self, request, responder):
        body, whole = await request.body.read_up_to(MOST_BYTES)
        try:
            asked = msgspec.json.decode(body if whole else b"", type=SuspectsToLift)
            prints = tuple(bytes.fromhex(text) for text in asked.requests)
        except (msgspec.MsgspecError, ValueError) as error:
            await responder.send(400, TEXT, f"{error}\n".encode())
            return
        known = self._host.book.suspects
        unknown = [print.hex() for print in prints if print not in known]
        if unknown:
            text = f"Not suspect here: {', '.join(unknown)}.\n"
            await responder.send(404, TEXT, text.encode())
            return
        try:
            await self._host.lift_suspects(prints or tuple(known))
        except GuavastreamError as error:
            log.warning("Whether suspects were lifted is not known: %s.", error)
            await responder.send(503, TEXT, f"{error}\n".encode())
            return
        await responder.send(200)
