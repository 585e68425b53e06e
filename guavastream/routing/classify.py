"""Find out from a declaration what a request is."""

import uuid
from dataclasses import dataclass

from guavastream.routing.outcomes import Refused

__all__ = ["Classified", "classify", "made_at"]

MAX_KEY = 512
MAX_ID = 200
NOT_IDEMPOTENT_METHODS = ("POST", "PATCH")
UUID_TIME_SHIFT = 80
TIMED_VERSION = 7


@dataclass(frozen=True, kw_only=True, slots=True)
class Classified:
    """A request as routing sees it; `deadline` is in the clock's seconds.

    `operation` is the Idempotency-Key of a request that must not repeat.
    """

    id: str
    service: object
    key: str
    idempotent: bool
    deadline: float
    priority: str
    operation: str = ""
    caller: str = ""

    @property
    def owned_key(self):
        """Key whose owner must serve it; empty if any server may."""
        return self.key or self.operation


def classify(request, declaration, *, now):
    """Return what a request is, free of any transport.

    Parameters
    ----------
    request : object
        Has `method`, `segments`, `peer`, `header(name)` and `query(name)`.
    declaration : Declaration
        Services in force.
    now : float
        The clock's time.

    Raises
    ------
    Refused
        If the service is unknown, or the key or the deadline is not right.
    """
    segments = request.segments
    service = declaration.service(segments[0]) if segments else None
    if service is None:
        raise Refused("unknown_service")
    path = _plain_path(segments)
    idempotent = _is_idempotent(request.method, path, service)
    operation = "" if idempotent else request.header("Idempotency-Key")
    if operation:
        made_at(operation)
    return Classified(
        id=_request_id(request),
        service=service,
        key=_find_key(request, service) if service.divided_by_key else "",
        idempotent=idempotent,
        deadline=now + _seconds(request, service),
        priority=_priority(request.method, path, service),
        operation=operation,
        caller=request.header("Guavastream-Caller") or request.peer,
    )


def _plain_path(segments):
    """Return the decoded path as a backend server may understand it.

    A request must not pass as another one because its path is written in
    another way: `%70ost` for `post`, two slashes for one. Dot segments, whose
    meaning depends on the server, are refused.
    """
    if any(part in (".", "..") or "/" in part for part in segments):
        raise Refused("bad_request")
    return "/" + "/".join(part for part in segments if part)


def _is_idempotent(method, path, service):
    if _matches(method, path, service.non_idempotent):
        return False
    if method in NOT_IDEMPOTENT_METHODS:
        return _matches(method, path, service.idempotent)
    return True


def _priority(method, path, service):
    for pattern, priority in service.priorities.items():
        if _matches(method, path, (pattern,)):
            return priority
    return service.priority


def made_at(operation):
    """Return the wall time at which an operation's id was made, in seconds.

    Raises
    ------
    Refused
        If it is not a UUID of version 7, which carries its time.

    Examples
    --------
    >>> made_at("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058.518
    """
    try:
        parsed = uuid.UUID(operation)
    except ValueError:
        raise Refused("bad_idempotency_key") from None
    if parsed.version != TIMED_VERSION:
        raise Refused("bad_idempotency_key")
    return (parsed.int >> UUID_TIME_SHIFT) / 1000


def _request_id(request):
    given = request.header("Guavastream-Request-Id")
    if given and len(given) <= MAX_ID and given.isprintable():
        return given
    return uuid.uuid4().hex


def _find_key(request, service):
    source, _, name = service.key.partition(":")
    if source == "header":
        key = request.header(name)
    elif source == "query":
        key = request.query(name)
    else:
        position = int(name) - 1
        segments = request.segments
        key = segments[position] if position < len(segments) else ""
    if not key or len(key) > MAX_KEY:
        raise Refused("missing_key")
    return key


def _matches(method, path, patterns):
    for pattern in patterns:
        wanted, _, prefix = pattern.partition(" ")
        if wanted != method:
            continue
        if prefix.endswith("*") and path.startswith(prefix[:-1]):
            return True
        if path.rstrip("/") == prefix.rstrip("/"):
            return True
    return False


def _seconds(request, service):
    given = request.header("Guavastream-Deadline-Ms")
    if not given:
        return service.deadline_ms / 1000
    if not given.isdecimal() or len(given) > 9:
        raise Refused("bad_deadline")
    return min(int(given), service.deadline_ms) / 1000
