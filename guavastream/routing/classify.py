"""Classifies requests: service, key, deadline, priority and idempotency."""

import uuid
from dataclasses import dataclass

from guavastream.routing.outcomes import Refused

__all__ = ["ClassifiedRequest", "classify", "uuid7_seconds"]

MAX_KEY_LENGTH = 512
MAX_REQUEST_ID_LENGTH = 200
NOT_IDEMPOTENT_METHODS = ("POST", "PATCH")
UUID7_TIME_SHIFT_BITS = 80
UUID_TIME_VERSION = 7


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassifiedRequest:
    """The properties of a request that routing needs.

    `deadline` is a time of the clock in seconds. `operation` is the Idempotency-Key
    of a request that is not idempotent, or empty.
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
        """Key whose owner must serve the request; empty if any server may."""
        return self.key or self.operation


def classify(request, declaration, *, now):
    """Return the classification of a request, independent of its transport.

    Parameters
    ----------
    request : object
        Has `method`, `segments`, `peer`, `header(name)` and `query(name)`.
    declaration : Declaration
        The declaration of services in force.
    now : float
        The clock's current time.

    Raises
    ------
    Refused
        If the service is unknown, or the path, key, Idempotency-Key or deadline is
        missing or invalid.
    """
    segments = request.segments
    service = declaration.service(segments[0]) if segments else None
    if service is None:
        raise Refused("unknown_service")
    path = _normalized_path(segments)
    idempotent = _is_idempotent(request.method, path, service)
    operation = "" if idempotent else request.header("Idempotency-Key")
    if operation:
        uuid7_seconds(operation)
    return ClassifiedRequest(
        id=_request_id(request),
        service=service,
        key=_find_key(request, service) if service.divided_by_key else "",
        idempotent=idempotent,
        deadline=now + _timeout_seconds(request, service),
        priority=_priority(request.method, path, service),
        operation=operation,
        caller=request.header("Guavastream-Caller") or request.peer,
    )


def _normalized_path(segments):
    """Return the path, decoded and without empty segments.

    Equivalent spellings must not change how a request is classified, such as `%70ost`
    for `post` or two slashes for one. Paths with dot segments, or with a slash encoded
    in a segment, are refused, because their meaning depends on the server.
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


def uuid7_seconds(operation):
    """Return the creation time in an operation's UUIDv7, in seconds of wall time.

    Raises
    ------
    Refused
        With `bad_idempotency_key` if it is not a UUID of version 7.

    Examples
    --------
    >>> uuid7_seconds("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058.518
    """
    try:
        parsed = uuid.UUID(operation)
    except ValueError:
        raise Refused("bad_idempotency_key") from None
    if parsed.version != UUID_TIME_VERSION:
        raise Refused("bad_idempotency_key")
    return (parsed.int >> UUID7_TIME_SHIFT_BITS) / 1000


def _request_id(request):
    given = request.header("Guavastream-Request-Id")
    if given and len(given) <= MAX_REQUEST_ID_LENGTH and given.isprintable():
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
    if not key or len(key) > MAX_KEY_LENGTH:
        raise Refused("missing_key")
    return key


def _matches(method, path, patterns):
    for pattern in patterns:
        pattern_method, _, prefix = pattern.partition(" ")
        if pattern_method != method:
            continue
        if prefix.endswith("*") and path.startswith(prefix[:-1]):
            return True
        if path.rstrip("/") == prefix.rstrip("/"):
            return True
    return False


def _timeout_seconds(request, service):
    given = request.header("Guavastream-Deadline-Ms")
    if not given:
        return service.deadline_ms / 1000
    if not given.isdecimal() or len(given) > 9:
        raise Refused("bad_deadline")
    return min(int(given), service.deadline_ms) / 1000
