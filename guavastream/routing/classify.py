"""Find out from a declaration what a request is."""

import uuid
from dataclasses import dataclass

from guavastream.routing.outcomes import Refused

__all__ = ["Classified", "classify"]

MAX_KEY = 512
MAX_ID = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Classified:
    """A request as routing sees it; `deadline` is in the clock's seconds."""

    id: str
    service: object
    key: str
    idempotent: bool
    deadline: float
    priority: str


def classify(request, declaration, *, now):
    """Return what a request is, free of any transport.

    Parameters
    ----------
    request : object
        Has `method`, `path`, `segments`, `header(name)` and `query(name)`.
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
    return Classified(
        id=_request_id(request),
        service=service,
        key=_find_key(request, service) if service.divided_by_key else "",
        idempotent=not _matches(request, service.non_idempotent),
        deadline=now + _seconds(request, service),
        priority=request.header("Guavastream-Priority") or service.priority,
    )


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


def _matches(request, patterns):
    for pattern in patterns:
        method, _, path = pattern.partition(" ")
        if method != request.method:
            continue
        if path.endswith("*") and request.path.startswith(path[:-1]):
            return True
        if path == request.path:
            return True
    return False


def _seconds(request, service):
    given = request.header("Guavastream-Deadline-Ms")
    if not given:
        return service.deadline_ms / 1000
    if not given.isdecimal() or len(given) > 9:
        raise Refused("bad_deadline")
    return min(int(given), service.deadline_ms) / 1000
