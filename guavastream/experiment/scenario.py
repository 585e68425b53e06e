"""Defines scenarios of services, callers and faults, and reads them from TOML."""

import dataclasses
import tomllib
import typing
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

from guavastream.exception import Finding, FindingsError

__all__ = [
    "Calls",
    "Fault",
    "RequestKind",
    "Scenario",
    "Service",
    "load_scenario",
    "shipped_scenarios",
]

FAULT_TYPES = ("hot key", "burst", "slow", "shed", "dark", "crash", "leave")


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """The backend servers of one service.

    Parameters
    ----------
    name : str
        Unique name.
    speeds : tuple of float
        Relative speeds of the servers, repeated if there are more servers. A server
        of speed 1 processes a request in the time that its kind states.
    count : int
        Number of servers; 0 means one for each speed.
    slots : int
        Number of requests that a server runs concurrently.
    keyed : bool
        Whether each key is owned by exactly one server.
    """

    name: str
    speeds: tuple[float, ...]
    count: int = 0
    slots: int = 16
    keyed: bool = False

    @property
    def server_count(self):
        """Number of servers."""
        return self.count or len(self.speeds)

    def speed(self, number):
        """Return the relative speed of the server with this number."""
        return self.speeds[number % len(self.speeds)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Calls:
    """Calls that a server makes to other servers while it runs a request.

    A `share` of the requests make `times` calls of `kind`, one after the other.
    """

    kind: str
    times: int = 1
    share: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """A kind of request; times are in seconds.

    Parameters
    ----------
    name, service : str
        Unique name, and the service that processes these requests.
    rate : float
        Requests per second of all callers together; 0 if only servers make them.
    work, spread : float
        Median processing time at a server of speed 1, and the standard deviation of
        its logarithm.
    target, deadline, timeout : float
        Time within which an answer has its full worth, time that the caller waits
        over all attempts, and time that it waits for one attempt.
    worth, late_worth : float
        Worth of an answer within the target, and the fraction of it that a later
        answer has.
    impatience : float
        Largest fraction of `deadline` by which a caller waits less; each caller draws
        its own.
    retries : int
        Number of retries of a caller.
    rank : int
        Priority; the lowest rank is the most urgent.
    idempotent : bool
        Whether a request may run more than once.
    skew : float
        Exponent of the Zipf distribution of requests over keys; 0 is uniform.
    calls : tuple of Calls
        Calls that the servers make while they run such a request, in this order.
    """

    name: str
    service: str
    rate: float = 0.0
    work: float = 0.1
    spread: float = 0.3
    target: float = 0.3
    deadline: float = 2.0
    timeout: float = 1.0
    worth: float = 1.0
    late_worth: float = 0.5
    impatience: float = 0.0
    retries: int = 1
    rank: int = 1
    idempotent: bool = True
    skew: float = 0.84
    calls: tuple[Calls, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A fault or a change of load that lasts for some time.

    Parameters
    ----------
    what : str
        "hot key": one key gets a `share` of the requests of `kind`; "burst": the
        request rate of `kind`, or of all kinds, is multiplied by `factor`; "slow":
        processing times are multiplied by `factor`; "shed": servers refuse a `share`
        of the requests; "dark": servers do not answer; "crash": servers crash, and
        restart after `seconds`; "leave": servers announce that they leave, and
        restart after `seconds`.
    at, seconds : float
        Start and duration in seconds of virtual time.
    kind, service : str
        Kind of request or service that is affected.
    server : int
        Number of the server in its service, from 0; -1 means all servers.
    share, factor : float
        Fraction of the requests, and multiplier, where `what` uses them.
    """

    what: str
    at: float
    seconds: float = 5.0
    kind: str = ""
    service: str = ""
    server: int = 0
    share: float = 0.4
    factor: float = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A deployment, its callers and its faults; times are in seconds.

    Parameters
    ----------
    name : str
        Title for reports and plots.
    seconds, counted_from : float
        Duration, and the time from which requests are counted. Earlier ones belong to
        the warm-up.
    zones : int
        Number of availability zones; hosts are assigned to them round robin.
    in_zone, cross_zone, to_callers : float
        One-way network delays between hosts of one zone, between hosts of different
        zones, and between callers and hosts.
    services, kinds, faults : tuple
        Services, kinds of requests and faults.
    report : float
        Interval of the reports of request counts by key.
    """

    name: str
    services: tuple[Service, ...]
    kinds: tuple[RequestKind, ...]
    faults: tuple[Fault, ...] = ()
    seconds: float = 20.0
    counted_from: float = 3.0
    zones: int = 3
    in_zone: float = 0.0002
    cross_zone: float = 0.0014
    to_callers: float = 0.008
    report: float = 0.25

    def kind(self, name):
        """Return the kind of request with this name."""
        return next(kind for kind in self.kinds if kind.name == name)


def shipped_scenarios():
    """Return the sorted names of the scenarios that are part of the package."""
    folder = resources.files("guavastream.experiment") / "scenarios"
    return sorted(
        path.name.removesuffix(".toml")
        for path in folder.iterdir()
        if path.name.endswith(".toml")
    )


def load_scenario(name):
    """Load a scenario from a file, or a shipped scenario by its name.

    Raises
    ------
    FindingsError
        With all errors of the scenario.
    """
    path = Path(name)
    if name in shipped_scenarios():
        path = resources.files("guavastream.experiment") / "scenarios" / f"{name}.toml"
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        known = ", ".join(shipped_scenarios())
        text = f"Cannot be read ({error}); shipped scenarios are {known}."
        finding = Finding(place=str(name), code="unreadable", text=text)
        raise FindingsError([finding]) from error
    findings = []
    scenario = _parse_table(Scenario, raw, str(name), findings)
    if not findings:
        _check_consistency(scenario, findings)
    if findings:
        raise FindingsError(findings)
    return scenario


def _parse_table(cls, raw, place, findings):
    """Convert a TOML table to a data class; add errors to `findings`."""

    def add_finding(where, text):
        findings.append(Finding(place=where, code="bad_value", text=text))

    if not isinstance(raw, dict):
        add_finding(place, "Must be a table.")
        return None
    types = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    values = {}
    for name in raw.keys() - fields.keys():
        add_finding(
            f"{place}.{name}", f"Unknown field; known fields are {', '.join(fields)}."
        )
    for name, field in fields.items():
        where = f"{place}.{name}"
        if name in raw:
            values[name] = _parse_value(
                types[name], raw[name], where, findings, add_finding
            )
        elif field.default is dataclasses.MISSING:
            add_finding(where, "Is required.")
    return None if findings else cls(**values)


def _parse_value(kind, raw, where, findings, add_finding):
    """Convert a TOML value to the type of its field; add errors to `findings`."""
    if typing.get_origin(kind) is tuple:
        inner = typing.get_args(kind)[0]
        if not isinstance(raw, list):
            add_finding(where, "Must be an array.")
            return ()
        return tuple(
            _parse_value(inner, item, f"{where}[{number}]", findings, add_finding)
            for number, item in enumerate(raw)
        )
    if dataclasses.is_dataclass(kind):
        return _parse_table(kind, raw, where, findings)
    if kind is float and isinstance(raw, int) and not isinstance(raw, bool):
        raw = float(raw)
    if not isinstance(raw, kind) or (kind is int and isinstance(raw, bool)):
        add_finding(where, f"Must be of type {kind.__name__}.")
    elif kind in (int, float) and raw < 0 and not where.endswith(".server"):
        add_finding(where, "Must not be negative.")
    return raw


def _check_consistency(scenario, findings):
    """Add a finding for each invalid speed or slots and each unknown name."""

    def add_finding(where, text):
        findings.append(Finding(place=where, code="bad_value", text=text))

    services = {service.name: service for service in scenario.services}
    kinds = {kind.name for kind in scenario.kinds}
    for service in scenario.services:
        if not service.speeds or min(service.speeds) <= 0 or service.slots < 1:
            add_finding(
                f"services.{service.name}",
                "Speeds and slots must be positive, with at least one speed.",
            )
    for kind in scenario.kinds:
        where = f"kinds.{kind.name}"
        if kind.service not in services:
            add_finding(where, f"Service {kind.service!r} does not exist.")
        for calls in kind.calls:
            if calls.kind not in kinds:
                add_finding(where, f"Called kind {calls.kind!r} does not exist.")
    for number, fault in enumerate(scenario.faults):
        where = f"faults[{number}]"
        if fault.what not in FAULT_TYPES:
            add_finding(
                where,
                f"Unknown fault {fault.what!r}; known are {', '.join(FAULT_TYPES)}.",
            )
        if fault.kind and fault.kind not in kinds:
            add_finding(where, f"Kind {fault.kind!r} does not exist.")
        if fault.service and fault.service not in services:
            add_finding(where, f"Service {fault.service!r} does not exist.")
        elif fault.service and fault.server >= services[fault.service].server_count:
            add_finding(
                where, f"Service {fault.service!r} has no server {fault.server}."
            )
