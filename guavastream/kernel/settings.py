"""Settings of the daemon, read from flags and environment variables."""

import dataclasses
import os
from dataclasses import dataclass, field

from guavastream.exception import Finding, FindingsError
from guavastream.kernel.checks import check_fields, parse_address

__all__ = ["Settings", "add_flags", "load_settings", "settings_page"]

ENVIRONMENT_PREFIX = "GUAVASTREAM_"
ADDRESS_CHECK = "address"
ADDRESS_LIST_CHECK = "addresses"
FOLDER_CHECK = "folder"
READABLE_FILE_CHECK = "readable file"


def _setting(text, *, default=dataclasses.MISSING, check=None):
    return field(default=default, metadata={"help": text, "check": check})


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of one process, fixed when it starts."""

    host: str = _setting("Name of this host, unique in the system.")
    zone: str = _setting("Availability zone of this host.")
    door: str = _setting("IP:PORT for callers.", check=ADDRESS_CHECK)
    control: str = _setting(
        "Peer addresses IP:PORT of all control hosts, by comma.",
        check=ADDRESS_LIST_CHECK,
    )
    region: str = _setting("Region of this host.", default="")
    guard: str = _setting(
        "IP:PORT where the backend server of this host announces itself.",
        default="",
        check=ADDRESS_CHECK,
    )
    data: str = _setting(
        "Data folder; makes this process a control host.",
        default="",
        check=FOLDER_CHECK,
    )
    peer: str = _setting(
        "IP:PORT for other processes of the system; control hosts need it.",
        default="",
        check=ADDRESS_CHECK,
    )
    operator: str = _setting("IP:PORT for operators.", default="", check=ADDRESS_CHECK)
    operator_token_file: str = _setting(
        "File with the operators' token.", default="", check=READABLE_FILE_CHECK
    )
    insecure: bool = _setting(
        "Serve operators without a token and peers without keys.", default=False
    )
    timeline: str = _setting("File for the events of this process.", default="")
    timeline_mb: int = _setting("Bound of that file, in MB.", default=64)
    statsd: str = _setting(
        "IP:PORT of a statsd server.", default="", check=ADDRESS_CHECK
    )
    log_level: str = _setting("DEBUG, INFO, WARNING or ERROR.", default="INFO")
    lease_ms: int = _setting(
        "Length of a node's lease; the same on every host.", default=500
    )
    threads: int = _setting("Most callers served at a time.", default=320)
    stop_seconds: float = _setting(
        "Longest wait of a graceful shutdown for requests in flight.", default=60.0
    )

    @property
    def control_addresses(self):
        """Peer addresses of the control hosts, as a tuple of str."""
        return tuple(part.strip() for part in self.control.split(",") if part.strip())


def _flag(name):
    return "--" + name.replace("_", "-")


def _variable(name):
    return ENVIRONMENT_PREFIX + name.upper()


def add_flags(parser):
    """Add a flag for each setting to an argparse parser."""
    for item in dataclasses.fields(Settings):
        text = f"{item.metadata['help']} [{_variable(item.name)}]"
        if item.type is bool:
            parser.add_argument(
                _flag(item.name), action="store_const", const="true", help=text
            )
        else:
            parser.add_argument(_flag(item.name), metavar="VALUE", help=text)


def load_settings(flags, environ=None):
    """Read and validate all settings. A flag overrides its environment variable.

    Parameters
    ----------
    flags : dict
        Values by setting name, None if the flag was not given.
    environ : dict, optional
        Environment variables; by default those of the process.

    Raises
    ------
    FindingsError
        With a finding for each invalid setting.

    Examples
    --------
    >>> try:
    ...     load_settings({"zone": "a", "door": "x"}, {"GUAVASTREAM_GUARD": "y"})
    ... except FindingsError as error:
    ...     [finding.place for finding in error.findings]
    ['--host', '--control', '--door', 'GUAVASTREAM_GUARD']
    """
    environ = os.environ if environ is None else environ
    raw, places = {}, {}
    for item in dataclasses.fields(Settings):
        name = item.name
        if flags.get(name) is not None:
            raw[name], places[name] = flags[name], _flag(name)
        elif _variable(name) in environ:
            raw[name], places[name] = environ[_variable(name)], _variable(name)

    def place(name):
        return places.get(name, _flag(name))

    settings, findings = check_fields(Settings, raw, place=place, strict=False)
    findings += _check_values(raw, place)
    if settings is not None:
        findings += _check_combinations(settings, place)
    if findings:
        raise FindingsError(findings)
    return settings


def _check_values(raw, place):
    findings = []
    for item in dataclasses.fields(Settings):
        value = raw.get(item.name)
        check = item.metadata["check"]
        if value and check:
            problem = _find_problem(value, check)
            if problem:
                findings.append(
                    Finding(place=place(item.name), code="bad_value", text=problem)
                )
    return findings


def _find_problem(value, check):
    if check in (ADDRESS_CHECK, ADDRESS_LIST_CHECK):
        try:
            for part in value.split(",") if check == ADDRESS_LIST_CHECK else [value]:
                parse_address(part.strip())
        except ValueError as error:
            return f"{value!r} is not an IP:PORT ({error})."
    elif check == FOLDER_CHECK:
        try:
            os.makedirs(value, exist_ok=True)
        except OSError as error:
            return f"The folder {value!r} cannot be created ({error.strerror})."
        if not os.access(value, os.W_OK):
            return f"The folder {value!r} is not writable."
    elif check == READABLE_FILE_CHECK and not os.access(value, os.R_OK):
        return f"The file {value!r} is not readable."
    return ""


def _check_combinations(settings, place):
    findings = []
    if settings.data and not settings.peer:
        findings.append(
            Finding(
                place=place("peer"),
                code="missing",
                text="Is required on a control host (--data is set).",
            )
        )
    if settings.operator and not (settings.operator_token_file or settings.insecure):
        findings.append(
            Finding(
                place=place("operator_token_file"),
                code="missing",
                text="Is required for operators, unless --insecure is set.",
            )
        )
    if settings.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        findings.append(
            Finding(
                place=place("log_level"),
                code="bad_value",
                text=f"{settings.log_level!r} is not a log level.",
            )
        )
    for name in ("threads", "timeline_mb", "stop_seconds", "lease_ms"):
        if getattr(settings, name) <= 0:
            findings.append(
                Finding(
                    place=place(name), code="bad_value", text="Must be greater than 0."
                )
            )
    return findings


def settings_page():
    """Return the text of docs/settings.md, generated from `Settings`."""
    lines = [
        "# Settings of `guavastream run`",
        "",
        "A flag beats its environment variable. All wrong settings are reported",
        "together; the process then exits with status 2 and has started nothing.",
        "",
        "| flag | variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for item in dataclasses.fields(Settings):
        if item.default is dataclasses.MISSING:
            default = "required"
        else:
            default = f"`{item.default}`" if item.default != "" else "not set"
        lines.append(
            f"| `{_flag(item.name)}` | `{_variable(item.name)}` | {default} "
            f"| {item.metadata['help']} |"
        )
    return "\n".join(lines) + "\n"
