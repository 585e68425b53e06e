"""Commands of the replicated log that change the fleet state."""

from guavastream.messages import message
from guavastream.routes import CallerLimits, Route, ServiceRules

__all__ = [
    "ChangeRoutes",
    "ChangeRoutesResult",
    "ClearSuspects",
    "EndInstance",
    "ForgetVersions",
    "GrantKeys",
    "JoinInstance",
    "LeaveInstance",
    "ExpireSuspects",
    "ReleaseKeys",
    "RemoveInstances",
    "SetEvacuation",
    "SetEvacuationResult",
]


@message
class JoinInstance:
    """Add an incarnation of a backend server, or update a known one.

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
    name: str = ""
    born: int = 0
    version: str = ""


@message
class LeaveInstance:
    """Mark a backend server as leaving, so that it gets no new work."""

    id: str


@message
class RemoveInstances:
    """Remove backend servers and free their keys.

    With `forever` set, the servers have ended or were replaced at their address,
    and a late message from them must not add them again.
    """

    ids: tuple[str, ...]
    forever: bool = False


@message
class EndInstance:
    """Remove a backend server that ended on its own, and note the requests it ran.

    `id` identifies the incarnation, `requests` are the fingerprints of the requests
    that it was running, and `version` is the version of the server's software.
    """

    id: str
    service: str
    host: str
    requests: tuple[bytes, ...] = ()
    version: str = ""


@message(tag="ClearRequests")
class ClearSuspects:
    """Clear suspect requests that a server of this service and version answered."""

    requests: tuple[bytes, ...]
    service: str
    version: str = ""


@message(tag="RelaxRequests")
class ExpireSuspects:
    """Relax suspect requests that have caused no crash for a long time.

    Refused ones are allowed again until their next crash, and others are dropped.
    With `lift` set, an operator has released them, and all are dropped.
    """

    requests: tuple[bytes, ...]
    lift: bool = False


@message
class ForgetVersions:
    """Forget pairs of service and version (`places`) that have no server left."""

    places: tuple[tuple[str, str], ...]


@message
class GrantKeys:
    """Grant rows of (first, last, owner) to their owners under a new fence."""

    service: str
    rows: tuple[tuple[int, int, str], ...]


@message
class ReleaseKeys:
    """Free rows of (first, last, handover) that their owner has released.

    An empty `handover` means that the owner left no data for the next one. A late
    message must not free keys that its sender was granted again since. It is
    recognised by `seq`, the sequence number of the owner's messages, or by `fences`,
    one for each row: only keys that were granted under that fence are freed.
    """

    service: str
    owner: str
    rows: tuple[tuple[int, int, str], ...]
    seq: int = 0
    fences: tuple[int, ...] = ()


@message
class ChangeRoutes:
    """Change the configuration of version `base` to `version`.

    `digest` identifies the change, so that an accepted one is acknowledged again
    when it is resent. With `whole` set, the given items replace the configuration.
    Otherwise they are added to it or replace the items of the same name.
    """

    base: int
    version: int
    digest: bytes
    whole: bool
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceRules, ...] = ()
    limits: CallerLimits | None = None
    drop_routes: tuple[str, ...] = ()
    drop_services: tuple[str, ...] = ()


@message(tag="ChangedRoutes")
class ChangeRoutesResult:
    """Result of `ChangeRoutes`.

    `code` is "ok", "conflict" or "invalid". `version` is the version that the change
    created, or the current one if it was refused; `findings` are the reasons.
    """

    code: str
    version: int
    findings: tuple[str, ...] = ()


@message
class SetEvacuation:
    """Start the evacuation of an availability zone, or end it if not `active`.

    `base` is the log index of the newest command for the zone that the leader knew,
    0 if there was none. If another one was committed since, nothing changes.
    """

    zone: str
    active: bool
    base: int = 0


@message
class SetEvacuationResult:
    """Result of `SetEvacuation`: whether the zone is now as the command wants it."""

    done: bool
