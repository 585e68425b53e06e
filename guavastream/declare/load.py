"""Parses and validates declaration files, and reports all findings at once."""

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
NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
TOP_LEVEL_NAMES = ("services", "presets", "preset")


def load_declaration(path):
    """Read and validate the declaration file (TOML) at `path`.

    Raises
    ------
    FindingsError
        If the file cannot be read or is invalid; it holds all findings.
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
    """Parse and validate a declaration given as TOML text.

    Parameters
    ----------
    text : str
        The TOML text.
    place : str
        Name of the source, which starts the place of each finding.

    Returns
    -------
    Declaration
        The validated declaration.

    Raises
    ------
    FindingsError
        If the text is invalid; it holds all findings.

    Examples
    --------
    >>> declaration = parse_declaration('''
    ... preset = "ordinary"
    ... [services.swapdesk]
    ... non_idempotent = ["POST /swapdesk/swaps"]
    ... [presets.ordinary]
    ... ''')
    >>> declaration.services[0].slots
    20
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        finding = Finding(place=place, code="bad_toml", text=f"{error}.")
        raise FindingsError([finding]) from error
    findings = [
        Finding(place=f"{place}: {name}", code="unknown_name", text="Unknown name.")
        for name in raw
        if name not in TOP_LEVEL_NAMES
    ]
    services, new_findings = _parse_named_tables(raw, "services", Service, place)
    findings += new_findings
    presets, new_findings = _parse_named_tables(raw, "presets", Preset, place)
    findings += new_findings
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


def _parse_named_tables(raw, name, cls, place):
    tables = raw.get(name, {})
    if not isinstance(tables, dict):
        finding = Finding(
            place=f"{place}: {name}", code="bad_value", text="Must be a table."
        )
        return [], [finding]
    items, findings = [], []
    for key, table in tables.items():
        item_place = f"{place}: {name}.{key}"
        if not isinstance(table, dict):
            findings.append(
                Finding(place=item_place, code="bad_value", text="Must be a table.")
            )
            continue
        if not NAME_PATTERN.fullmatch(key):
            text = "Must be lower-case letters, digits and hyphens, a letter first."
            findings.append(Finding(place=item_place, code="bad_name", text=text))
        item, new_findings = _parse_table(cls, key, dict(table), item_place)
        findings += new_findings
        if item is not None:
            items.append(item)
    return items, findings


def _parse_table(cls, key, table, item_place):
    findings = []
    weights = table.get("weights")
    if cls is Service and isinstance(weights, dict):
        parsed_weights, findings = check_fields(
            Weights, weights, place=lambda name: f"{item_place}.weights.{name}"
        )
        table["weights"] = parsed_weights or Weights()
    table["name"] = key
    item, new_findings = check_fields(
        cls, table, place=lambda name: f"{item_place}.{name}"
    )
    return item, findings + new_findings


def _check_service(service, place):
    def bad_value(name, text):
        return Finding(place=f"{place}.{name}", code="bad_value", text=text)

    source, _, name = service.key.partition(":")
    if service.divided_by_key and (source not in KEY_SOURCES or not name):
        yield bad_value("key", "Must be header:NAME, query:NAME or path:N.")
    elif source == "path" and not (name.isdigit() and int(name) >= 1):
        yield bad_value("key", "N in path:N must be a whole number of 1 or more.")
    if service.key and not service.divided_by_key:
        yield bad_value("key", "Only allowed if divided_by_key is true.")
    if not 1 <= service.shards <= MAX_SHARDS:
        yield bad_value("shards", f"Must be from 1 to {MAX_SHARDS}.")
    for field in ("slots", "connections", "deadline_ms", "idle_ms"):
        if getattr(service, field) < 1:
            yield bad_value(field, "Must be 1 or more.")
    if service.queue < 0:
        yield bad_value("queue", "Must be 0 or more.")
    for field in ("non_idempotent", "idempotent", "priorities"):
        for pattern in getattr(service, field):
            method, _, path = pattern.partition(" ")
            if method not in HTTP_METHODS or not path.startswith(f"/{service.name}"):
                text = (
                    f"{pattern!r} does not have the form METHOD /{service.name}/PATH."
                )
                yield bad_value(field, text)
    for field in ("imbalance", "churn", "unavailable"):
        if getattr(service.weights, field) < 0:
            yield bad_value(f"weights.{field}", "Must be 0 or more.")


def _check_preset(preset, place):
    if preset.move_budget < 1:
        yield Finding(
            place=f"{place}.move_budget", code="bad_value", text="Must be 1 or more."
        )
    if not 0 <= preset.queue_share <= 1:
        yield Finding(
            place=f"{place}.queue_share", code="bad_value", text="Must be from 0 to 1."
        )
    if preset.slow_start_ms < 0:
        yield Finding(
            place=f"{place}.slow_start_ms", code="bad_value", text="Must be 0 or more."
        )


def _check_initial_preset(raw, presets, place):
    preset_place = f"{place}: preset"
    if "preset" not in raw:
        return [Finding(place=preset_place, code="missing", text="Is required.")]
    if raw["preset"] not in [preset.name for preset in presets]:
        text = f"{raw['preset']!r} is not defined under presets."
        return [Finding(place=preset_place, code="unknown_preset", text=text)]
    return []
