"""Validation of raw values against data classes, with all findings at once."""

import dataclasses

import msgspec

from guavastream.exception import Finding

__all__ = ["check_fields", "parse_address"]


def check_fields(cls, raw, *, place, strict=True, names=None):
    """Validate raw values and build an instance of a data class from them.

    Parameters
    ----------
    cls : type
        The data class.
    raw : dict
        Values by field name, as read from a file, flags or environment variables.
    place : callable
        Returns the place of a field by its name, for findings.
    strict : bool
        Whether numbers and booleans given as strings are refused.
    names : set of str, optional
        Further names that are allowed in `raw` and ignored.

    Returns
    -------
    tuple
        The instance, or None if there are findings, and the list of findings.

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
    """Split an address `IP:PORT` into its host and port.

    Raises
    ------
    ValueError
        If the text is not an IP address and a port.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    import ipaddress

    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65535:
        raise ValueError(f"{port} is not a valid port")
    return host.strip("[]"), int(port)
