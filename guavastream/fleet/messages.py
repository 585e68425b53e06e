"""Messages between processes beside backend servers and control hosts."""

from guavastream.messages import message
from guavastream.routes import RouteConfig

__all__ = ["Beat", "Beaten", "Depart", "JoinVoters", "LiftSuspects", "LoadReport"]
__all__ += ["ReadRoutes", "RenewKeys", "ReportAnswered", "ReportEnd", "ReturnKeys"]
__all__ += ["RoutesRead"]


@message
class Beat:
    """A backend server's heartbeat, as the process beside it passes it on.

    `id` names one life of the server, from its start to its end. `name` is what
    it calls itself, which may be the same in its next life; `born` orders the
    lives of one name, 0 if that is not known. `version` is that of its software.
    `holds` are rows of (first, last, fence) that it holds or still works on,
    `released` rows of (first, last, handover) that it gave up since its last
    acknowledged heartbeat. The answer may take up to `wait` seconds, so that
    a grant that is about to come need not wait for the next heartbeat.
    """

    id: str
    service: str
    host: str
    door: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold: float
    seq: int
    holds: tuple[tuple[int, int, int], ...] = ()
    released: tuple[tuple[int, int, str], ...] = ()
    wait: float = 0.0
    name: str = ""
    born: int = 0
    version: str = ""


@message
class RenewKeys:
    """A process asks what the server beside it may hold, and for how long.

    For servers that are granted keys by calls. `holds` and `drops` are what
    it was last told; the answer may take up to `wait` seconds while there is
    nothing else to say. `asker` names the life of the process, whose messages
    `seq` numbers.
    """

    id: str
    service: str
    asker: str
    seq: int
    holds: tuple[tuple[int, int, int], ...] = ()
    drops: tuple[tuple[int, int, int], ...] = ()
    wait: float = 0.0


@message
class ReturnKeys:
    """Rows of (first, last, fence, handover) that a server holds no more."""

    id: str
    service: str
    rows: tuple[tuple[int, int, int, str], ...]


@message
class Beaten:
    """Answer to a heartbeat, or to a renewal of keys.

    `rows` of (first, last, fence, handover) are all that the server is to
    hold for `hold` seconds from when the message was sent; None renews
    nothing. `drops` are rows of (first, last, fence) that it is to release.
    `gone` says that this life of the server is over, `new` that nobody knew
    of it before this heartbeat.
    """

    index: int
    rows: tuple[tuple[int, int, int, str], ...] | None = None
    hold: float = 0.0
    gone: bool = False
    drops: tuple[tuple[int, int, int], ...] = ()
    new: bool = False


@message
class Depart:
    """A backend server says that it ends soon, without a heartbeat."""

    id: str


@message
class ReportEnd:
    """The process beside a server has found that a life of it has ended.

    `requests` are fingerprints of what it had then, `version` is that of its software.
    """

    id: str
    service: str
    host: str
    requests: tuple[bytes, ...] = ()
    version: str = ""


@message
class ReportAnswered:
    """A server has answered requests that were suspect, by their fingerprints."""

    requests: tuple[bytes, ...]
    service: str
    version: str = ""


@message
class LiftSuspects:
    """An operator says that requests, by their fingerprints, do no harm any more."""

    requests: tuple[bytes, ...]


@message
class LoadReport:
    """Requests for each key since the last report, and the time they take.

    `keys` are pairs of key and count, the busiest ones; `latency` is the
    smoothed time of a request at the server, seconds, 0 if unknown.
    """

    id: str
    service: str
    keys: tuple[tuple[int, int], ...]
    rest: int
    latency: float


@message
class ReadRoutes:
    """Asks for the newest configuration."""


@message
class RoutesRead:
    """The newest configuration, as the leader knows for sure."""

    config: RouteConfig


@message
class JoinVoters:
    """A control host that does not vote asks the leader to let it."""

    voter: str
    address: str
