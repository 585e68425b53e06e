"""Check raw tables against frozen data classes and collect every finding."""

import dataclasses

import msgspec

from guavastream.exception import Finding

__all__ = ["check_fields", "parse_address"]


def check_fields(cls, raw, *, place, strict=True, names=None):
    """Build `cls` from `raw`, field by field.

    Parameters
    ----------
    cls : type
        A frozen data class.
    raw : dict
        Values by field name, as read from a file, flags or variables.
    place : callable
        Gives the place of a field, for findings.
    strict : bool
        False lets strings stand for numbers and booleans.
    names : set of str, optional
        Further names that are allowed in `raw` and left alone.

    Returns
    -------
    tuple
        The instance, or None if there is a finding, and the findings.

    Examples
    --------
    >>> made, findings = check_fields(
    ...     Finding, {"place": 1, "wrong": 2}, place=lambda name: f"t.{name}"
    ... )
    >>> [f.place for f in findings]
    ['t.wrong', 't.place', 't.code', 't.text']
    """
    fields = {field.name: field for field in dataclasses.fields(cls)}
    known = set(fields) | (names or set())
    findings = [
        Finding(place=place(name), code="unknown_name", text="Is not known.")
        for name in raw
        if name not in known
    ]
    values = {}
    for name, field in fields.items():
        if name in raw:
            try:
                values[name] = msgspec.convert(raw[name], field.type, strict=strict)
            except msgspec.ValidationError as error:
                text = f"{error}."
                findings.append(Finding(place=place(name), code="bad_value", text=text))
        elif _is_required(field):
            finding = Finding(place=place(name), code="missing", text="Is required.")
            findings.append(finding)
    return (None if findings else cls(**values)), findings


def _is_required(field):
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def parse_address(text):
    """Split an `IP:PORT` text.

    Raises
    ------
    ValueError
        If the text is not an IP number and a port.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    import ipaddress

    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(f"{port} is not a port")
    return host.strip("[]"), int(port)
