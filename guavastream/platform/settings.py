"""Read the platform's settings file into the product's settings."""

import os

from guavastream.exception import Finding, FindingsError
from guavastream.hosts import FleetSettings
from guavastream.kernel import POLICY_VARIABLE, Policy, parse_address
from guavastream.platform.keys import GRANTING
from guavastream.platform.units import parse_time
from guavastream.routes import Granting

__all__ = ["SETTINGS_VARIABLE", "parse_settings", "read_settings"]

SETTINGS_VARIABLE = "GUAVASTREAM_BOOT"
DEFAULT_PATH = "/etc/guavastream/settings.conf"
REQUIRED = ("NodeName", "Zone", "Ip", "InternalPorts", "Seeds", "Listen.Control")
REQUIRED_BESIDE = ("Listen.Outbound", "Listen.Inbound", "Listen.Ready", "Service")
REQUIRED_CONTROL = ("DataDir",)
SIDECAR = "sidecar"
MBIT_BYTES = 125_000


def read_settings(environ=None):
    """Read the file that the environment names.

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
    """Return the `FleetSettings` of a settings file and a text of switches.

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
    reader = _Reader(raw)
    beside = SIDECAR in reader.words("Serves")
    reader.require(REQUIRED + (REQUIRED_BESIDE if beside else REQUIRED_CONTROL))
    ports = reader.take("InternalPorts", _ports, (0, 0))
    peer_port, last_port = ports
    ip = raw.get("Ip", "")
    settings = {
        "host": raw.get("NodeName", ""),
        "zone": raw.get("Zone", ""),
        "service": raw.get("Service", ""),
        "outbound": reader.address("Listen.Outbound") if beside else "",
        "inbound": reader.address("Listen.Inbound") if beside else "",
        "ready": reader.address("Listen.Ready") if beside else "",
        "api": reader.address("Listen.Control"),
        "peer": f"{ip}:{peer_port}",
        "seeds": tuple(
            f"{seed.rpartition(':')[0]}:{peer_port}" for seed in reader.words("Seeds")
        ),
        "data": raw.get("DataDir", ""),
        "first_start": raw.get("Bootstrap", "") == "true",
        "losses": reader.take("FaultTolerance.Machines", int, 0),
        "heartbeat": reader.take("Heartbeat", parse_time, 1.0),
        "longest_hold": reader.take("Bounds.MaxHold", parse_time, 10.0),
        "retry_ratio": reader.take("Bounds.RetryBudgetRatio", float, 0.2),
        "granting": GRANTING.get(raw.get("Grants", "heartbeat"), Granting.UNKNOWN),
        "link_rate": reader.take("Limits.LinkMbps", _rate, 0.0),
        "grace": reader.take("Bounds.Grace", parse_time, 6.0),
        "policy": reader.policy(policy),
        "metrics": f"{ip}:{last_port}" if peer_port else "",
    }
    if reader.findings:
        raise FindingsError(reader.findings)
    return FleetSettings(**settings)


def _rate(text):
    """Return the bytes a second of a number of Mbit/s."""
    rate = float(text) * MBIT_BYTES
    if not 0 <= rate < float("inf"):
        raise ValueError("not a rate")
    return rate


def _ports(text):
    """Return the first and the last of the ports between processes."""
    first, _, last = text.partition(",")
    ports = int(first), int(last or first)
    if not 0 < ports[0] <= ports[1] < 1 << 16:
        raise ValueError("not a range of ports")
    return ports


class _Reader:
    def __init__(self, raw):
        self._raw = raw
        self.findings = []

    def require(self, names):
        for name in names:
            if not self._raw.get(name):
                finding = Finding(place=name, code="missing", text="Is required.")
                self.findings.append(finding)

    def words(self, name):
        return [part for part in self._raw.get(name, "").split(",") if part]

    def take(self, name, parse, default):
        value = self._raw.get(name)
        if not value:
            return default
        try:
            return parse(value)
        except ValueError as error:
            text = f"{value!r} cannot be read ({error})."
            self.findings.append(Finding(place=name, code="bad_value", text=text))
            return default

    def policy(self, text):
        try:
            return Policy.parse(text)
        except FindingsError as error:
            self.findings += error.findings
            return Policy()

    def address(self, name):
        return self.take(name, lambda text: parse_address(text) and text, "")
