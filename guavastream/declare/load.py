"""Read a file of declarations and report every finding with its place."""

import re
import tomllib

from guavastream.declare.model import (
    KEY_SOURCES,
    Declaration,
    Preset,
    Service,
    Weights,
)
from guavastream.exception import Finding, FindingsError
from guavastream.kernel import check_fields

__all__ = ["load_declaration", "parse_declaration"]

MAX_SHARDS = 65536
NAME = re.compile(r"[a-z][a-z0-9-]{0,62}")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
TOP_NAMES = ("services", "presets", "preset")


def load_declaration(path):
    """Read the TOML file at `path`.

    Raises
    ------
    FindingsError
        With every finding and its table.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        finding = Finding(place=path, code="unreadable", text=f"{reason}.")
        raise FindingsError([finding]) from error
    return parse_declaration(text, place=path)


def parse_declaration(text, *, place="declaration"):
    """Return the `Declaration` that a TOML text holds.

    Raises
    ------
    FindingsError
        With every finding and its table.

    Examples
    --------
    >>> made = parse_declaration('''
    ... preset = "ordinary"
    ... [services.swapdesk]
    ... non_idempotent = ["POST /swapdesk/swaps"]
    ... [presets.ordinary]
    ... ''')
    >>> made.services[0].slots
    20
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        finding = Finding(place=place, code="bad_toml", text=f"{error}.")
        raise FindingsError([finding]) from error
    findings = [
        Finding(place=f"{place}: {name}", code="unknown_name", text="Is not known.")
        for name in raw
        if name not in TOP_NAMES
    ]
    services, found = _parse_tables(raw, "services", Service, place)
    findings += found
    presets, found = _parse_tables(raw, "presets", Preset, place)
    findings += found
    for service in services:
        findings += _check_service(service, f"{place}: services.{service.name}")
    for preset in presets:
        findings += _check_preset(preset, f"{place}: presets.{preset.name}")
    findings += _check_initial_preset(raw, presets, place)
    if findings:
        raise FindingsError(findings)
    return Declaration(
        services=tuple(services), presets=tuple(presets), preset=raw["preset"]
    )


def _parse_tables(raw, name, cls, place):
    tables = raw.get(name, {})
    if not isinstance(tables, dict):
        finding = Finding(
            place=f"{place}: {name}", code="bad_value", text="Is not a table."
        )
        return [], [finding]
    made, findings = [], []
    for key, table in tables.items():
        where = f"{place}: {name}.{key}"
        if not isinstance(table, dict):
            findings.append(
                Finding(place=where, code="bad_value", text="Is not a table.")
            )
            continue
        if not NAME.fullmatch(key):
            text = "A name has lower-case letters, digits and hyphens."
            findings.append(Finding(place=where, code="bad_name", text=text))
        item, found = _parse_one(cls, key, dict(table), where)
        findings += found
        if item is not None:
            made.append(item)
    return made, findings


def _parse_one(cls, key, table, where):
    findings = []
    weights = table.get("weights")
    if cls is Service and isinstance(weights, dict):
        made, findings = check_fields(
            Weights, weights, place=lambda name: f"{where}.weights.{name}"
        )
        table["weights"] = made or Weights()
    table["name"] = key
    item, found = check_fields(cls, table, place=lambda name: f"{where}.{name}")
    return item, findings + found


def _check_service(service, where):
    def finding(name, text):
        return Finding(place=f"{where}.{name}", code="bad_value", text=text)

    source, _, name = service.key.partition(":")
    if service.divided_by_key and (source not in KEY_SOURCES or not name):
        yield finding("key", "Is header:NAME, query:NAME or path:N.")
    elif source == "path" and not (name.isdigit() and int(name) >= 1):
        yield finding("key", "path:N needs a whole number from 1.")
    if service.key and not service.divided_by_key:
        yield finding("key", "Is only for a service divided by key.")
    if not 1 <= service.shards <= MAX_SHARDS:
        yield finding("shards", f"Must be from 1 to {MAX_SHARDS}.")
    for field in ("slots", "connections", "deadline_ms", "idle_ms"):
        if getattr(service, field) < 1:
            yield finding(field, "Must be 1 or more.")
    if service.queue < 0:
        yield finding("queue", "Must be 0 or more.")
    for field in ("non_idempotent", "idempotent", "priorities"):
        for pattern in getattr(service, field):
            method, _, path = pattern.partition(" ")
            if method not in METHODS or not path.startswith(f"/{service.name}"):
                text = f"{pattern!r} is not METHOD /{service.name}/PATH."
                yield finding(field, text)
    for field in ("imbalance", "churn", "unavailable"):
        if getattr(service.weights, field) < 0:
            yield finding(f"weights.{field}", "Must be 0 or more.")


def _check_preset(preset, where):
    if preset.move_budget < 1:
        yield Finding(
            place=f"{where}.move_budget", code="bad_value", text="Must be 1 or more."
        )
    if not 0 <= preset.queue_share <= 1:
        yield Finding(
            place=f"{where}.queue_share", code="bad_value", text="Must be from 0 to 1."
        )
    if preset.slow_start_ms < 0:
        yield Finding(
            place=f"{where}.slow_start_ms", code="bad_value", text="Must be 0 or more."
        )


def _check_initial_preset(raw, presets, place):
    where = f"{place}: preset"
    if "preset" not in raw:
        return [Finding(place=where, code="missing", text="Is required.")]
    if raw["preset"] not in [preset.name for preset in presets]:
        text = f"{raw['preset']!r} is not declared under presets."
        return [Finding(place=where, code="unknown_preset", text=text)]
    return []
