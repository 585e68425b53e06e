"""Parse the platform's settings file into `FleetSettings`."""

import os

from guavastream.exception import Finding, FindingsError
from guavastream.hosts import FleetSettings
from guavastream.kernel import POLICY_VARIABLE, Policy, parse_address
from guavastream.platform.keys import GRANTING_BY_NAME
from guavastream.platform.units import parse_time
from guavastream.routes import Granting

__all__ = ["SETTINGS_VARIABLE", "parse_settings", "read_settings"]

SETTINGS_VARIABLE = "GUAVASTREAM_BOOT"
DEFAULT_PATH = "/etc/guavastream/settings.conf"
REQUIRED = ("NodeName", "Zone", "Ip", "InternalPorts", "Seeds", "Listen.Control")
REQUIRED_ON_SERVER_HOST = (
    "Listen.Outbound",
    "Listen.Inbound",
    "Listen.Ready",
    "Service",
)
REQUIRED_ON_CONTROL_HOST = ("DataDir",)
SIDECAR = "sidecar"
# Contract of a deployment whose callers compete for too few servers.
PRESSURE = "pressure"
BYTES_PER_MBIT = 125_000
BYTES_PER_MB = 1 << 20


def read_settings(environ=None):
    """Read the settings file named by the environment variable GUAVASTREAM_BOOT.

    Raises
    ------
    FindingsError
        With every missing or bad value.
    """
    environ = os.environ if environ is None else environ
    path = environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read(), environ.get(POLICY_VARIABLE, ""))
    except (OSError, UnicodeDecodeError) as error:
        text = f"Cannot be read ({error})."
        raise FindingsError([Finding(place=path, code="unreadable", text=text)]) from (
            error
        )


def parse_settings(text, policy=""):
    """Return the `FleetSettings` described by a settings file.

    Parameters
    ----------
    text : str
        Lines of the form NAME=VALUE; unknown names are ignored.
    policy : str
        Switches in the format of `Policy.parse`.

    Raises
    ------
    FindingsError
        With every missing or bad value.

    Examples
    --------
    >>> try:
    ...     parse_settings("NodeName=a\\nInternalPorts=x\\nSeeds=1.2.3.4:5\\n")
    ... except FindingsError as error:
    ...     [finding.place for finding in error.findings]
    ['Zone', 'Ip', 'Listen.Control', 'DataDir', 'InternalPorts']
    """
    raw = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            raw[name.strip()] = value.strip()
    reader = _SettingsReader(raw)
    is_sidecar = SIDECAR in reader.get_list("Serves")
    reader.require(
        REQUIRED + (REQUIRED_ON_SERVER_HOST if is_sidecar else REQUIRED_ON_CONTROL_HOST)
    )
    ports = reader.get_parsed("InternalPorts", _parse_port_range, (0, 0))
    peer_port, last_port = ports
    ip = raw.get("Ip", "")
    settings = {
        "host": raw.get("NodeName", ""),
        "zone": raw.get("Zone", ""),
        "service": raw.get("Service", ""),
        "outbound": reader.get_address("Listen.Outbound") if is_sidecar else "",
        "inbound": reader.get_address("Listen.Inbound") if is_sidecar else "",
        "ready": reader.get_address("Listen.Ready") if is_sidecar else "",
        "api": reader.get_address("Listen.Control"),
        "peer": f"{ip}:{peer_port}",
        "seeds": tuple(
            f"{seed.rpartition(':')[0]}:{peer_port}"
            for seed in reader.get_list("Seeds")
        ),
        "data": raw.get("DataDir", ""),
        "first_start": raw.get("Bootstrap", "") == "true",
        "losses": reader.get_parsed("FaultTolerance.Machines", int, 0),
        "heartbeat": reader.get_parsed("Heartbeat", parse_time, 1.0),
        "longest_hold": reader.get_parsed("Bounds.MaxHold", parse_time, 10.0),
        "retry_ratio": reader.get_parsed("Bounds.RetryBudgetRatio", float, 0.2),
        "granting": GRANTING_BY_NAME.get(
            raw.get("Grants", "heartbeat"), Granting.UNKNOWN
        ),
        "link_rate": reader.get_parsed("Limits.LinkMbps", _parse_link_rate, 0.0),
        "memory_bytes": reader.get_parsed("Limits.MemoryMb", _parse_memory, 0),
        "grace": reader.get_parsed("Bounds.Grace", parse_time, 6.0),
        "regions": reader.get_table("Zones"),
        "order_resend": reader.get_parsed("Bounds.Ack", parse_time, 4.0),
        "evacuation": reader.get_parsed("Bounds.Evacuation", parse_time, 5.0),
        "config_apply": reader.get_parsed(
            "Bounds.ConfigApply", _parse_positive_time, 2.0
        ),
        "cold_overage": reader.get_parsed(
            "Bounds.ColdOverage", _parse_non_negative, 1.5
        ),
        "cold_slack": reader.get_parsed("Bounds.ColdSlack", _parse_non_negative, 8.0),
        "class_priority": PRESSURE in reader.get_list("Contracts"),
        "policy": reader.get_policy(policy),
        "metrics": f"{ip}:{last_port}" if peer_port else "",
    }
    if reader.findings:
        raise FindingsError(reader.findings)
    return FleetSettings(**settings)


def _parse_link_rate(text):
    """Convert a link rate in Mbit/s to bytes per second."""
    return _parse_non_negative(text) * BYTES_PER_MBIT


def _parse_memory(text):
    """Convert a size in MB to bytes."""
    size = _parse_non_negative(text)
    if not size:
        raise ValueError("is not positive")
    return int(size * BYTES_PER_MB)


def _parse_positive_time(text):
    """Return a time in seconds that is not zero."""
    seconds = parse_time(text)
    if seconds <= 0:
        raise ValueError("is not positive")
    return seconds


def _parse_non_negative(text):
    """Return a finite number that is not negative."""
    number = float(text)
    if not 0 <= number < float("inf"):
        raise ValueError("is negative or not finite")
    return number


def _parse_port_range(text):
    """Return the first and last port of the range used between processes."""
    first, _, last = text.partition(",")
    ports = int(first), int(last or first)
    if not 0 < ports[0] <= ports[1] < 1 << 16:
        raise ValueError("is not a port range")
    return ports


class _SettingsReader:
    """Parses single values and collects a finding for each bad one."""

    def __init__(self, raw):
        self._raw = raw
        self.findings = []

    def require(self, names):
        for name in names:
            if not self._raw.get(name):
                finding = Finding(place=name, code="missing", text="Is required.")
                self.findings.append(finding)

    def get_list(self, name):
        return [part for part in self._raw.get(name, "").split(",") if part]

    def get_table(self, name):
        """Return the settings NAME.KEY=VALUE as a dict of value by key."""
        prefix = f"{name}."
        return {
            key.removeprefix(prefix): value
            for key, value in self._raw.items()
            if key.startswith(prefix)
        }

    def get_parsed(self, name, parse, default):
        """Return the parsed value of a setting, the default if missing or bad."""
        value = self._raw.get(name)
        if not value:
            return default
        try:
            return parse(value)
        except ValueError as error:
            text = f"{value!r} cannot be read ({error})."
            self.findings.append(Finding(place=name, code="bad_value", text=text))
            return default

    def get_policy(self, text):
        try:
            return Policy.parse(text)
        except FindingsError as error:
            self.findings += error.findings
            return Policy()

    def get_address(self, name):
        return self.get_parsed(name, lambda text: parse_address(text) and text, "")
