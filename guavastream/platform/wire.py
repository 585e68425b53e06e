"""Decoding and encoding of the bodies of the platform's API calls."""

from typing import Annotated, Any

import msgspec
import xxhash

from guavastream.exception import Finding, FindingsError
from guavastream.fleet import KEY_COUNT, ChangeRoutes, Heartbeat
from guavastream.kernel import parse_address
from guavastream.platform.keys import GRANTING_BY_NAME, MAX_HANDOVER_LENGTH
from guavastream.platform.units import (
    format_time,
    format_version,
    parse_time,
    parse_version,
)
from guavastream.relay import Dialect
from guavastream.routes import (
    CallerLimits,
    Granting,
    RetrySafety,
    Route,
    ServiceRules,
    WeightedService,
)

__all__ = ["DIALECT", "decode_heartbeat", "decode_change", "decode_departure"]
__all__ += ["encode_acknowledgement", "encode_config"]

DIALECT = Dialect(
    request_id=b"Request-Id",
    deadline_ms=b"Deadline-Ms",
    key=b"Shard-Key",
    caller=b"Caller-Service",
    expected=b"Expected-Instance",
    seal=b"Response-Seal",
    not_run=b"Not-Executed",
    instance=b"Instance-Id",
    rate_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
    call_separator=b".",
)

DRAINING = "draining"
STATES = ("ready", DRAINING)
MAX_ID_LENGTH = 200
# Limits on input from other processes: everything accepted is stored in the fleet state
# and sent to all hosts. Messages carry signed 64-bit integers. A heartbeat usually has
# about 90 rows, and more while it releases many.
MAX_INTEGER = 2**63 - 1
MAX_WEIGHT = 1e9
MAX_COLD_RATE = 1e9
MAX_TEXT_LENGTH = 255
MAX_ROWS = 2048
# A longer warm-up is not plausible for a server that has just started.
MAX_COLD_SECONDS = 3600.0
# Separates a server's own id from its start time in the id of an instance.
INSTANCE_SEPARATOR = "~"


_Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
_ColdRate = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_RATE)]
_WeightValue = Annotated[float, msgspec.Meta(ge=-MAX_WEIGHT, le=MAX_WEIGHT)]


class _WeightedService(msgspec.Struct, rename="pascal"):
    service: str
    weight: _WeightValue


class _Route(msgspec.Struct, rename="pascal"):
    host: str
    path_prefix: str
    # A value of `RetrySafety`.
    kind: RetrySafety
    timeout: str
    max_attempts: _Integer
    # Latency within which an answer counts in full; defaults to the timeout.
    target_latency: str = ""
    priority: _Integer = 0
    service: str = ""
    weighted_services: tuple[_WeightedService, ...] = ()
    # Regions whose servers may get the requests; all if it is empty.
    allowed_regions: tuple[str, ...] = ()


class _Service(msgspec.Struct, rename="pascal"):
    health_path: str = "/health"
    max_connections: _Integer = 120
    sharding: bool = False
    warmup: str = "0ms"
    grants: str = ""
    # Requests per second that a server tolerates while it is cold.
    cold_per_s: _ColdRate = 0.0


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: _Integer = 16384
    max_body_bytes: _Integer = 64 << 20
    header_timeout: str = "3000ms"
    idle_timeout: str = "15000ms"


class _ChangedItems(msgspec.Struct, rename="pascal"):
    routes: dict[str, msgspec.Raw] = {}
    services: dict[str, msgspec.Raw] = {}
    limits: msgspec.Raw = msgspec.field(default_factory=msgspec.Raw)


class _RemovedItems(msgspec.Struct, rename="pascal"):
    routes: list[str] = []
    services: list[str] = []


class _PutBody(msgspec.Struct, rename="pascal"):
    version: str
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: msgspec.Raw = msgspec.field(default_factory=msgspec.Raw)


class _PatchBody(msgspec.Struct, rename="pascal"):
    version: str
    upsert: _ChangedItems = msgspec.field(default_factory=_ChangedItems)
    remove: _RemovedItems = msgspec.field(default_factory=_RemovedItems)


class _HeartbeatBody(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    slots: int
    seq: int
    state: str = "ready"
    zone: str = ""
    # Version of the server's software.
    version: str = ""
    cold_remaining: str = "0ms"
    # Rows of keys held: first key, last key, fencing token.
    holds: list[tuple[int, int, int]] = []
    # Rows released since the last acknowledged heartbeat: first key, last key and the
    # handover data for the next owner.
    released: list[tuple[int, int, str]] = []
    # Start of this instance, Unix time in ms; 0 if the server does not send it.
    born: int = msgspec.field(default=0, name="born")


class _DepartureBody(msgspec.Struct):
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)] = 0


class _AcknowledgementBody(msgspec.Struct, rename="pascal", omit_defaults=True):
    holds: list | None = None
    hold: str = ""


def _bad_value_error(place, text):
    return FindingsError([Finding(place=place, code="bad_value", text=str(text))])


def _decode_json(cls, data, place):
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_value_error(place, error) from error


def decode_heartbeat(id, data, *, host, door):
    """Decode the body of a heartbeat.

    Parameters
    ----------
    id : str
        Id of the server, from the path of the call.
    data : bytes
        Body.
    host, door : str
        Name and inbound address of the host that received the heartbeat.

    Returns
    -------
    Beat

    Raises
    ------
    FindingsError
        With every bad value, or if the body is malformed.
    """
    raw = _decode_json(_HeartbeatBody, data, "heartbeat")
    findings = [
        Finding(place=name, code="bad_value", text=text)
        for name, text in _heartbeat_errors(id, raw)
    ]
    if findings:
        raise FindingsError(findings)
    return Heartbeat(
        id=_incarnation_id(id, raw.born),
        name=id,
        born=raw.born,
        service=raw.service,
        host=host,
        door=door,
        address=raw.address,
        zone=raw.zone,
        slots=raw.slots,
        leaving=raw.state == DRAINING,
        cold_seconds=parse_time(raw.cold_remaining),
        seq=raw.seq,
        holds=tuple(raw.holds),
        released=tuple(raw.released),
        version=raw.version,
    )


def _incarnation_id(id, born):
    """Return the id of an incarnation of a server that names its start time or 0."""
    return f"{id}{INSTANCE_SEPARATOR}{born}" if born else id


def _heartbeat_errors(id, raw):
    """Yield the field name and an error text for each bad value of a heartbeat."""
    if not 0 < len(id) <= MAX_ID_LENGTH:
        yield "Id", "Is empty or too long."
    if raw.state not in STATES:
        yield "State", f"{raw.state[:MAX_TEXT_LENGTH]!r} is not known."
    if not 0 < raw.slots < 1 << 20:
        yield "Slots", "Is out of range."
    for name, number in (("Seq", raw.seq), ("born", raw.born)):
        if not 0 <= number <= MAX_INTEGER:
            yield name, "Is out of range."
    texts = {"Service": raw.service, "Zone": raw.zone, "Version": raw.version}
    for name, text in texts.items():
        if len(text) > MAX_TEXT_LENGTH:
            yield name, "Is too long."
    if not _is_address(raw.address):
        yield "Address", "Must be an IP address and a port."
    try:
        if parse_time(raw.cold_remaining) > MAX_COLD_SECONDS:
            yield "ColdRemaining", "Is out of range."
    except ValueError as error:
        yield "ColdRemaining", str(error)
    for name, rows in (("Holds", raw.holds), ("Released", raw.released)):
        if len(rows) > MAX_ROWS:
            yield name, "Has too many rows."
        if any(not 0 <= row[0] <= row[1] < KEY_COUNT for row in rows):
            yield name, "A row is out of range."
    if any(not 0 <= row[2] <= MAX_INTEGER for row in raw.holds):
        yield "Holds", "A fence is out of range."
    if any(len(row[2]) > MAX_HANDOVER_LENGTH for row in raw.released):
        yield "Released", "A handover is too long."


def _is_address(text):
    """Return whether a text is an IP address and a port to connect to."""
    if len(text) > MAX_TEXT_LENGTH:
        return False
    try:
        return parse_address(text)[1] > 0
    except ValueError:
        return False


def decode_departure(id, data):
    """Decode the body of a departure of the server with this id.

    Returns
    -------
    str
        Id of the departing incarnation, as in `Heartbeat.id`; empty if the body does
        not tell which one it is.

    Raises
    ------
    FindingsError
        If the body is malformed.
    """
    born = _decode_json(_DepartureBody, data, "departure").born if data else 0
    return _incarnation_id(id, born) if born else ""


def encode_acknowledgement(answer):
    """Return the body of the answer to a heartbeat."""
    if answer.rows is None:
        return b"{}"
    body = _AcknowledgementBody(holds=list(answer.rows), hold=format_time(answer.hold))
    return msgspec.json.encode(body)


def decode_change(method, base, data):
    """Decode an operator's change of the configuration into a `ChangeRoutes`.

    Parameters
    ----------
    method : bytes
        PUT for a complete configuration, PATCH for single items.
    base : bytes
        Version that the change is based on: the value of the If-Match header.
    data : bytes
        Body.

    Raises
    ------
    FindingsError
        With every bad item, or with the first error if the body is malformed.
    """
    whole = method == b"PUT"
    raw = _decode_json(_PutBody if whole else _PatchBody, data, "configuration")
    items, removed = (raw, _RemovedItems()) if whole else (raw.upsert, raw.remove)
    findings = []

    def collect_errors(place, build, *args):
        try:
            return build(*args)
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
            finding = Finding(place=place, code="bad_value", text=str(error))
            findings.append(finding)
            return None

    number = collect_errors("Version", parse_version, raw.version)
    base_version = collect_errors(
        "If-Match", parse_version, base.decode("latin-1").strip('"')
    )
    routes = [
        collect_errors(f"Routes.{name}", _decode_route, name, bytes(item))
        for name, item in items.routes.items()
    ]
    services = [
        collect_errors(f"Services.{name}", _decode_service, name, bytes(item))
        for name, item in items.services.items()
    ]
    limits = None
    if bytes(items.limits):
        limits = collect_errors("Limits", _decode_limits, bytes(items.limits))
    if findings:
        raise FindingsError(findings)
    digest_prefix = b"%d\n%d\n%d\n" % (whole, base_version, number)
    return ChangeRoutes(
        base=base_version,
        version=number,
        digest=xxhash.xxh3_128_digest(digest_prefix + data),
        whole=whole,
        routes=tuple(routes),
        services=tuple(services),
        limits=limits,
        drop_routes=tuple(removed.routes),
        drop_services=tuple(removed.services),
    )


def _decode_route(name, origin):
    raw = msgspec.json.decode(origin, type=_Route)
    weighted = raw.weighted_services or [
        _WeightedService(service=raw.service, weight=1.0)
    ]
    timeout = parse_time(raw.timeout)
    return Route(
        name=name,
        host=raw.host.lower(),
        prefix=raw.path_prefix,
        retry_safety=raw.kind,
        timeout=timeout,
        target=parse_time(raw.target_latency) if raw.target_latency else timeout,
        priority=raw.priority,
        attempts=raw.max_attempts,
        weighted_services=tuple(
            WeightedService(service=p.service, weight=p.weight) for p in weighted
        ),
        regions=raw.allowed_regions,
        raw_json=origin,
    )


def _decode_service(name, origin):
    raw = msgspec.json.decode(origin, type=_Service)
    return ServiceRules(
        name=name,
        connections=raw.max_connections,
        keyed=raw.sharding,
        warmup=parse_time(raw.warmup),
        health=raw.health_path,
        granting=GRANTING_BY_NAME.get(raw.grants, Granting.UNKNOWN)
        if raw.grants
        else None,
        cold_rate=raw.cold_per_s,
        raw_json=origin,
    )


def _decode_limits(origin):
    raw = msgspec.json.decode(origin, type=_Limits)
    if min(raw.max_header_bytes, raw.max_body_bytes) < 0:
        raise ValueError("a limit is negative")
    return CallerLimits(
        head_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        head_seconds=parse_time(raw.header_timeout),
        idle_seconds=parse_time(raw.idle_timeout),
        raw_json=origin,
    )


def encode_config(config):
    """Return the body of a configuration, with every item as the operator sent it."""
    whole: dict[str, Any] = {
        "Version": format_version(config.version),
        "Routes": {n: msgspec.Raw(r.raw_json) for n, r in config.routes.items()},
        "Services": {n: msgspec.Raw(s.raw_json) for n, s in config.services.items()},
    }
    if config.limits.raw_json:
        whole["Limits"] = msgspec.Raw(config.limits.raw_json)
    return msgspec.json.encode(whole)
