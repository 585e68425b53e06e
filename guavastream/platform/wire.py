"""Bodies of the platform's calls, decoded into the product's types."""

from typing import Annotated, Any

import msgspec
import xxhash

from guavastream.exception import Finding, FindingsError
from guavastream.fleet import KEY_COUNT, ChangeRoutes, Heartbeat
from guavastream.kernel import parse_address
from guavastream.platform.keys import GRANTING, MOST_HANDOVER
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

__all__ = ["DIALECT", "decode_beat", "decode_change", "decode_left"]
__all__ += ["encode_beaten", "encode_config"]

DIALECT = Dialect(
    request_id=b"Request-Id",
    deadline_ms=b"Deadline-Ms",
    key=b"Shard-Key",
    caller=b"Caller-Service",
    expected=b"Expected-Instance",
    seal=b"Response-Seal",
    not_run=b"Not-Executed",
    instance=b"Instance-Id",
    call_separator=b".",
)

DRAINING = "draining"
STATES = ("ready", DRAINING)
# Kinds of requests are the words of `RetrySafety`.
MOST_ID = 200
# Bounds of what is taken from other writers: whatever passes is kept in the book
# and sent to all hosts. Numbers are those that messages can carry; a heartbeat
# has some 90 rows, and more while it releases many.
MOST_NUMBER = 2**63 - 1
MOST_WEIGHT = 1e9
MOST_TEXT = 255
MOST_ROWS = 2048
# A server that is cold for longer is not one that starts.
MOST_COLD_SECONDS = 3600.0
# Between what a server calls itself and the start of one of its lives.
LIFE_MARK = "~"


_Count = Annotated[int, msgspec.Meta(ge=-MOST_NUMBER, le=MOST_NUMBER)]
_Weight = Annotated[float, msgspec.Meta(ge=-MOST_WEIGHT, le=MOST_WEIGHT)]


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: _Weight


class _Route(msgspec.Struct, rename="pascal"):
    host: str
    path_prefix: str
    kind: RetrySafety
    timeout: str
    max_attempts: _Count
    # The time within which an answer earns its full credit.
    target_latency: str = ""
    priority: _Count = 0
    service: str = ""
    weighted_services: tuple[_Split, ...] = ()


class _Service(msgspec.Struct, rename="pascal"):
    health_path: str = "/health"
    max_connections: _Count = 120
    sharding: bool = False
    warmup: str = "0ms"
    grants: str = ""


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: _Count = 16384
    max_body_bytes: _Count = 64 << 20
    header_timeout: str = "3000ms"
    idle_timeout: str = "15000ms"


class _Items(msgspec.Struct, rename="pascal"):
    routes: dict[str, msgspec.Raw] = {}
    services: dict[str, msgspec.Raw] = {}
    limits: msgspec.Raw = msgspec.field(default_factory=msgspec.Raw)


class _Names(msgspec.Struct, rename="pascal"):
    routes: list[str] = []
    services: list[str] = []


class _Put(msgspec.Struct, rename="pascal"):
    version: str
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: msgspec.Raw = msgspec.field(default_factory=msgspec.Raw)


class _Patch(msgspec.Struct, rename="pascal"):
    version: str
    upsert: _Items = msgspec.field(default_factory=_Items)
    remove: _Names = msgspec.field(default_factory=_Names)


class _Beat(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    slots: int
    seq: int
    state: str = "ready"
    zone: str = ""
    # Of the server's software.
    version: str = ""
    cold_remaining: str = "0ms"
    holds: list[tuple[int, int, int]] = []
    # Rows given up since the last acknowledged heartbeat, with what the next
    # holder needs.
    released: list[tuple[int, int, str]] = []
    # When this life of the server began, Unix time in ms.
    born: int = msgspec.field(default=0, name="born")


class _Left(msgspec.Struct):
    born: Annotated[int, msgspec.Meta(ge=0, le=MOST_NUMBER)] = 0


class _Beaten(msgspec.Struct, rename="pascal", omit_defaults=True):
    holds: list | None = None
    hold: str = ""


def _bad(place, text):
    return FindingsError([Finding(place=place, code="bad_value", text=str(text))])


def _decode(cls, data, place):
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad(place, error) from error


def decode_beat(id, data, *, host, door):
    """Return the `Heartbeat` of a heartbeat's body.

    Raises
    ------
    FindingsError
        If it cannot be read.
    """
    raw = _decode(_Beat, data, "heartbeat")
    findings = [
        Finding(place=name, code="bad_value", text=text)
        for name, text in _beat_errors(id, raw)
    ]
    if findings:
        raise FindingsError(findings)
    return Heartbeat(
        id=f"{id}{LIFE_MARK}{raw.born}" if raw.born else id,
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


def _beat_errors(id, raw):
    """Yield the name of each bad value of a heartbeat, and what is wrong with it."""
    if not 0 < len(id) <= MOST_ID:
        yield "Id", "Is empty or too long."
    if raw.state not in STATES:
        yield "State", f"{raw.state[:MOST_TEXT]!r} is not known."
    if not 0 < raw.slots < 1 << 20:
        yield "Slots", "Is out of range."
    for name, number in (("Seq", raw.seq), ("born", raw.born)):
        if not 0 <= number <= MOST_NUMBER:
            yield name, "Is out of range."
    texts = {"Service": raw.service, "Zone": raw.zone, "Version": raw.version}
    for name, text in texts.items():
        if len(text) > MOST_TEXT:
            yield name, "Is too long."
    if not _is_address(raw.address):
        yield "Address", "Is no IP number and port."
    try:
        if parse_time(raw.cold_remaining) > MOST_COLD_SECONDS:
            yield "ColdRemaining", "Is out of range."
    except ValueError as error:
        yield "ColdRemaining", str(error)
    for name, rows in (("Holds", raw.holds), ("Released", raw.released)):
        if len(rows) > MOST_ROWS:
            yield name, "Are too many rows."
        if any(not 0 <= row[0] <= row[1] < KEY_COUNT for row in rows):
            yield name, "A row is out of range."
    if any(not 0 <= row[2] <= MOST_NUMBER for row in raw.holds):
        yield "Holds", "A fence is out of range."
    if any(len(row[2]) > MOST_HANDOVER for row in raw.released):
        yield "Released", "A handover is too long."


def _is_address(text):
    """Whether a text is what others can connect to."""
    if len(text) > MOST_TEXT:
        return False
    try:
        return parse_address(text)[1] > 0
    except ValueError:
        return False


def decode_left(data):
    """Return the start of the life that says that it ends, 0 if it is not said.

    Raises
    ------
    FindingsError
        If the body cannot be read.
    """
    return _decode(_Left, data, "departure").born if data else 0


def encode_beaten(answer):
    """Return the body of an acknowledgement."""
    if answer.rows is None:
        return b"{}"
    body = _Beaten(holds=list(answer.rows), hold=format_time(answer.hold))
    return msgspec.json.encode(body)


def decode_change(method, base, data):
    """Return the `ChangeRoutes` of an operator's call.

    Parameters
    ----------
    method : bytes
        PUT carries a whole configuration, PATCH named items.
    base : bytes
        Version on which it builds, as its header says.
    data : bytes
        Body.

    Raises
    ------
    FindingsError
        With every finding about single items, or the first about the whole.
    """
    whole = method == b"PUT"
    raw = _decode(_Put if whole else _Patch, data, "configuration")
    items, drop = (raw, _Names()) if whole else (raw.upsert, raw.remove)
    findings = []

    def collect(place, build, *args):
        try:
            return build(*args)
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
            found = Finding(place=place, code="bad_value", text=str(error))
            findings.append(found)
            return None

    number = collect("Version", parse_version, raw.version)
    built_on = collect("If-Match", parse_version, base.decode("latin-1").strip('"'))
    routes = [
        collect(f"Routes.{name}", _route, name, bytes(item))
        for name, item in items.routes.items()
    ]
    services = [
        collect(f"Services.{name}", _service, name, bytes(item))
        for name, item in items.services.items()
    ]
    limits = None
    if bytes(items.limits):
        limits = collect("Limits", _limits, bytes(items.limits))
    if findings:
        raise FindingsError(findings)
    said = b"%d\n%d\n%d\n" % (whole, built_on, number)
    return ChangeRoutes(
        base=built_on,
        version=number,
        digest=xxhash.xxh3_128_digest(said + data),
        whole=whole,
        routes=tuple(routes),
        services=tuple(services),
        limits=limits,
        drop_routes=tuple(drop.routes),
        drop_services=tuple(drop.services),
    )


def _route(name, origin):
    raw = msgspec.json.decode(origin, type=_Route)
    split = raw.weighted_services or [_Split(service=raw.service, weight=1.0)]
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
            WeightedService(service=p.service, weight=p.weight) for p in split
        ),
        raw_json=origin,
    )


def _service(name, origin):
    raw = msgspec.json.decode(origin, type=_Service)
    return ServiceRules(
        name=name,
        connections=raw.max_connections,
        keyed=raw.sharding,
        warmup=parse_time(raw.warmup),
        health=raw.health_path,
        granting=GRANTING.get(raw.grants, Granting.UNKNOWN) if raw.grants else None,
        raw_json=origin,
    )


def _limits(origin):
    raw = msgspec.json.decode(origin, type=_Limits)
    if min(raw.max_header_bytes, raw.max_body_bytes) < 0:
        raise ValueError("a bound is negative")
    return CallerLimits(
        head_bytes=raw.max_header_bytes,
        body_bytes=raw.max_body_bytes,
        head_seconds=parse_time(raw.header_timeout),
        idle_seconds=parse_time(raw.idle_timeout),
        raw_json=origin,
    )


def encode_config(config):
    """Return the body that tells a configuration, laid out as it was sent."""
    whole: dict[str, Any] = {
        "Version": format_version(config.version),
        "Routes": {n: msgspec.Raw(r.raw_json) for n, r in config.routes.items()},
        "Services": {n: msgspec.Raw(s.raw_json) for n, s in config.services.items()},
    }
    if config.limits.raw_json:
        whole["Limits"] = msgspec.Raw(config.limits.raw_json)
    return msgspec.json.encode(whole)
