"""Bodies of the platform's calls, decoded into the product's types."""

from typing import Any

import msgspec
import xxhash

from guavastream.exception import Finding, FindingsError
from guavastream.fleet import KEYS, Beat, ChangeRoutes
from guavastream.platform.keys import GRANTING
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
    Part,
    Repeat,
    Route,
    ServiceRules,
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
    call_mark=b".",
)

DRAINING = "draining"
STATES = ("ready", DRAINING)
# Kinds of requests are the words of `Repeat`.
MOST_ID = 200
# Between what a server calls itself and the start of one of its lives.
LIFE_MARK = "~"


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    host: str
    path_prefix: str
    kind: Repeat
    timeout: str
    max_attempts: int
    # The time within which an answer earns its full credit.
    target_latency: str = ""
    priority: int = 0
    service: str = ""
    weighted_services: tuple[_Split, ...] = ()


class _Service(msgspec.Struct, rename="pascal"):
    health_path: str = "/health"
    max_connections: int = 120
    sharding: bool = False
    warmup: str = "0ms"
    grants: str = ""


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
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
    cold_remaining: str = "0ms"
    holds: list[tuple[int, int, int]] = []
    # Rows given up since the last acknowledged heartbeat, with what the next
    # holder needs.
    released: list[tuple[int, int, str]] = []
    # When this life of the server began, Unix time in ms.
    born: int = msgspec.field(default=0, name="born")


class _Left(msgspec.Struct):
    born: int = 0


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
    """Return the `Beat` of a heartbeat's body.

    Raises
    ------
    FindingsError
        If it cannot be read.
    """
    raw = _decode(_Beat, data, "heartbeat")
    findings = []

    def note(name, text):
        findings.append(Finding(place=name, code="bad_value", text=text))

    if raw.state not in STATES:
        note("State", f"{raw.state!r} is not known.")
    if not 0 < raw.slots < 1 << 20:
        note("Slots", "Is out of range.")
    if not 0 < len(id) <= MOST_ID:
        note("Id", "Is empty or too long.")
    if raw.seq < 0:
        note("Seq", "Is negative.")
    if raw.born < 0:
        note("born", "Is negative.")
    for name, rows in (("Holds", raw.holds), ("Released", raw.released)):
        if any(not 0 <= row[0] <= row[1] < KEYS for row in rows):
            note(name, "A row is out of range.")
    try:
        cold = parse_time(raw.cold_remaining)
    except ValueError as error:
        note("ColdRemaining", str(error))
    if findings:
        raise FindingsError(findings)
    return Beat(
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
        cold=cold,
        seq=raw.seq,
        holds=tuple(raw.holds),
        released=tuple(raw.released),
    )


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
        repeat=raw.kind,
        timeout=timeout,
        target=parse_time(raw.target_latency) if raw.target_latency else timeout,
        priority=raw.priority,
        attempts=raw.max_attempts,
        parts=tuple(Part(service=p.service, weight=p.weight) for p in split),
        origin=origin,
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
        origin=origin,
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
        origin=origin,
    )


def encode_config(config):
    """Return the body that tells a configuration, laid out as it was sent."""
    whole: dict[str, Any] = {
        "Version": format_version(config.version),
        "Routes": {n: msgspec.Raw(r.origin) for n, r in config.routes.items()},
        "Services": {n: msgspec.Raw(s.origin) for n, s in config.services.items()},
    }
    if config.limits.origin:
        whole["Limits"] = msgspec.Raw(config.limits.origin)
    return msgspec.json.encode(whole)
