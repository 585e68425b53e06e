"""Commands that change the book."""

from guavastream.messages import message
from guavastream.routes import CallerLimits, Route, ServiceRules

__all__ = [
    "ChangeRoutes",
    "ChangedRoutes",
    "ClearRequests",
    "EndInstance",
    "ForgetVersions",
    "GrantKeys",
    "JoinInstance",
    "LeaveInstance",
    "RelaxRequests",
    "ReleaseKeys",
    "RemoveInstances",
]


@message
class JoinInstance:
    """A backend server announced itself.

    `id` names this life of the server; `name`, if it is not the same, what the
    server calls itself, and `born` orders the lives of one name. `door` is where
    requests for it are taken, `address` where it listens itself, `version` that of
    its software.
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
    """A backend server said that it leaves; it gets no new work."""

    id: str


@message
class RemoveInstances:
    """Backend servers are gone: what they held may go to others.

    Those in `forever` ended or were replaced at their address; a late message
    of theirs must not bring them back.
    """

    ids: tuple[str, ...]
    forever: bool = False


@message
class EndInstance:
    """A life of a backend server has ended of itself, while it had `requests`.

    `requests` are fingerprints, `version` is that of the server's software.
    """

    id: str
    service: str
    host: str
    requests: tuple[bytes, ...] = ()
    version: str = ""


@message
class ClearRequests:
    """Servers of a service, in a version, have answered requests that were suspect."""

    requests: tuple[bytes, ...]
    service: str
    version: str = ""


@message
class RelaxRequests:
    """Suspect requests have long done no harm; with `lift` they are forgotten."""

    requests: tuple[bytes, ...]
    lift: bool = False


@message
class ForgetVersions:
    """Pairs of service and version of which no server is left."""

    places: tuple[tuple[str, str], ...]


@message
class GrantKeys:
    """Rows of (first, last, owner) go to their owners under a new fence."""

    service: str
    rows: tuple[tuple[int, int, str], ...]


@message
class ReleaseKeys:
    """An owner gave up rows of (first, last, handover); "" is no handover.

    A late message must not free what its sender was granted since. It is told
    by `seq`, which numbers the owner's messages, or by `fences`, one for each
    row: only what was granted under that one is freed.
    """

    service: str
    owner: str
    rows: tuple[tuple[int, int, str], ...]
    seq: int = 0
    fences: tuple[int, ...] = ()


@message
class ChangeRoutes:
    """An operator changes the configuration that has version `base`.

    `digest` names the change: one that was accepted is acknowledged again.
    With `whole` the given items are all there is, otherwise they are added
    or replace those of the same name.
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


@message
class ChangedRoutes:
    """What became of a change: `code` is ok, conflict or invalid."""

    code: str
    version: int
    findings: tuple[str, ...] = ()
