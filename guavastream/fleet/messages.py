"""Messages to control hosts from the processes beside backend servers."""

from guavastream.messages import message
from guavastream.routes import RouteConfig

__all__ = ["CurrentRoutes", "Depart", "Heartbeat", "HeartbeatAnswer", "JoinVoters"]
__all__ += ["LeaveVoters"]
__all__ += ["LiftSuspects", "LoadReport", "ReadRoutes", "RenewKeys", "ReportAnswered"]
__all__ += ["ReportEnd", "ReturnKeys"]


@message(tag="Beat", encoded_names={"cold_seconds": "cold"})
class Heartbeat:
    """Heartbeat of a backend server, forwarded by the process beside it.

    Parameters
    ----------
    id : str
        Unique identifier of the incarnation.
    service : str
        Name of the service that the server belongs to.
    host : str
        Host that it runs on.
    door : str
        Address of the guavastream process beside it, which takes its requests.
    address : str
        Address that the server itself listens on.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs at the same time.
    leaving : bool
        Whether it is about to stop and gets no new work.
    cold_seconds : float
        Time for which it still warms up.
    seq : int
        Sequence number of the heartbeat.
    holds : tuple of tuple
        Rows of (first, last, fence) that it holds or still works on.
    released : tuple of tuple
        Rows of (first, last, handover) that it released since its last
        acknowledged heartbeat.
    wait : float
        Time that the answer may take, seconds. An imminent grant can then be sent
        without waiting for the next heartbeat.
    name : str
        Name of the server, which stays the same when it restarts; "" if it is `id`.
    born : int
        Start time, which orders the incarnations of one name; 0 if unknown.
    version : str
        Version of the server's software.
    """

    id: str
    service: str
    host: str
    door: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_seconds: float
    seq: int
    holds: tuple[tuple[int, int, int], ...] = ()
    released: tuple[tuple[int, int, str], ...] = ()
    wait: float = 0.0
    name: str = ""
    born: int = 0
    version: str = ""


@message(encoded_names={"sender_id": "asker"})
class RenewKeys:
    """Ask which keys a server may hold, and renew its lease on them.

    Sent by the process beside a server that is granted keys by calls, and answered
    by a `HeartbeatAnswer`. `holds` and `drops` are as in the last answer. While they
    are unchanged, the answer may be delayed by up to `wait` seconds. `sender_id`
    identifies the run of the sending process, whose messages `seq` numbers.
    """

    id: str
    service: str
    sender_id: str
    seq: int
    holds: tuple[tuple[int, int, int], ...] = ()
    drops: tuple[tuple[int, int, int], ...] = ()
    wait: float = 0.0


@message
class ReturnKeys:
    """Return rows of (first, last, fence, handover) that a server no longer holds."""

    id: str
    service: str
    rows: tuple[tuple[int, int, int, str], ...]


@message(tag="Beaten")
class HeartbeatAnswer:
    """Answer to a `Heartbeat` or to `RenewKeys`.

    Parameters
    ----------
    index : int
        Log index of the fleet state that the answer is based on.
    rows : tuple of tuple or None
        All rows of (first, last, fence, handover) that the server is to hold. None
        renews nothing.
    hold : float
        Duration of the lease on `rows`, seconds. It starts when the message that is
        answered was sent.
    gone : bool
        Whether this incarnation has been removed for good.
    drops : tuple of tuple
        Rows of (first, last, fence) that the server is to release.
    new : bool
        Whether the incarnation was unknown before this heartbeat.
    """

    index: int
    rows: tuple[tuple[int, int, int, str], ...] | None = None
    hold: float = 0.0
    gone: bool = False
    drops: tuple[tuple[int, int, int], ...] = ()
    new: bool = False


@message
class Depart:
    """Announce, outside of a heartbeat, that a backend server is about to end.

    `id` identifies the incarnation. With `name` set, it is the one that the leader
    knows under this name of a server. The answer has the id that was recorded.
    """

    id: str
    name: str = ""


@message
class ReportEnd:
    """Report that the local backend server has ended on its own.

    `id` identifies the incarnation, `requests` are the fingerprints of the requests
    that it was running, and `version` is the version of its software.
    """

    id: str
    service: str
    host: str
    requests: tuple[bytes, ...] = ()
    version: str = ""


@message
class ReportAnswered:
    """Report the fingerprints of suspect requests that a server has answered."""

    requests: tuple[bytes, ...]
    service: str
    version: str = ""


@message
class LiftSuspects:
    """Release suspect requests by fingerprint, on behalf of an operator."""

    requests: tuple[bytes, ...]


@message(encoded_names={"other_count": "rest"})
class LoadReport:
    """Report the number of requests for each key since the last report.

    `id` is the server that they were for. It is empty for requests that a host refused
    since it knew the owners of their keys to be limited.
    `keys` are pairs of key and count for the busiest keys, `other_count` is the
    number of requests for all other keys. `latency` is the smoothed time that the
    server takes for a request, seconds, or 0 if unknown. `rate_limit` is the number of
    requests per second that the server says it takes, None if it names no limit.
    `work` has a row for each kind of request that was at the server since the last
    report: kind, number of completed requests, seconds of work and seconds during which
    requests waited for calls. Earlier versions neither send nor read it.
    """

    id: str
    service: str
    keys: tuple[tuple[int, int], ...]
    other_count: int
    latency: float
    rate_limit: float | None = None
    work: tuple[tuple[str, int, float, float], ...] = ()


@message
class ReadRoutes:
    """Ask for the newest configuration."""


@message(tag="RoutesRead")
class CurrentRoutes:
    """Answer to `ReadRoutes`: the newest configuration, confirmed by the leader."""

    config: RouteConfig


@message
class JoinVoters:
    """Ask the leader to make a control host a voter."""

    voter: str
    address: str


@message
class LeaveVoters:
    """Tell the leader that the control host at `address` stops as planned.

    An earlier voter there, whose disk was lost, goes with it.
    """

    address: str
