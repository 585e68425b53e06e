"""Scenarios: services, callers and faults, read from TOML with all findings."""

import dataclasses
import tomllib
import typing
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

from guavastream.exception import Finding, FindingsError

__all__ = ["Calls", "Fault", "Kind", "Scenario", "Service", "load_scenario", "shipped"]

FAULTS = ("hot key", "burst", "slow", "shed", "dark", "crash", "leave")


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Backend servers of one trade.

    Parameters
    ----------
    name : str
        Unique name.
    speeds : tuple of float
        Speeds of servers, in turn; 1 does work in its stated time.
    count : int
        Number of servers; 0 is one for each speed.
    slots : int
        Requests that a server runs at a time.
    keyed : bool
        Whether the servers own keys.
    """

    name: str
    speeds: tuple[float, ...]
    count: int = 0
    slots: int = 16
    keyed: bool = False

    @property
    def size(self):
        """Number of servers."""
        return self.count or len(self.speeds)

    def speed(self, number):
        """Return the speed of a server."""
        return self.speeds[number % len(self.speeds)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Calls:
    """Requests that a server makes while it runs one.

    `share` of the requests make `times` of them, one after the other.
    """

    kind: str
    times: int = 1
    share: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """Requests of one kind; times are in seconds.

    Parameters
    ----------
    name, service : str
        Its name, and the service that runs it.
    rate : float
        Requests a second of all callers; 0 for those that only servers make.
    work, spread : float
        Median time at a server of speed 1, and the sigma of its logarithm.
    target, deadline, timeout : float
        Times within which an answer is worth all, and until when its caller
        waits, over all tries and for one.
    worth, late_worth : float
        What an answer in time is worth, and which part of it a late one.
    impatience : float
        Callers wait for up to this share less than `deadline`.
    retries : int
        Times that a caller comes back.
    rank : int
        The lowest is the most urgent.
    idempotent : bool
        Whether it may run more than once.
    skew : float
        Exponent of the popularity of keys.
    calls : tuple of Calls
        What its servers ask for in turn.
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
    """Trouble from `at` on, for some seconds.

    Parameters
    ----------
    what : str
        "hot key": one key gets `share` of the requests of `kind`; "burst":
        callers of `kind`, or all, ask `factor` times as often; "slow": a server
        takes `factor` times as long; "shed": servers refuse `share` of what
        comes; "dark": a server answers nothing; "crash": it ends, and is back
        afterwards; "leave": it says that it leaves.
    at, seconds : float
        Begin and length.
    kind, service : str
        What it concerns.
    server : int
        Place of the server in its service; -1 is all of them.
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
    """A deployment, its callers, and what befalls it.

    Parameters
    ----------
    name : str
        What it shows.
    seconds, counted_from : float
        Length, and the moment from which requests count.
    zones : int
        Availability zones; hosts are spread over them in turn.
    in_zone, cross_zone, to_callers : float
        Delays one way.
    report : float
        Seconds between two reports of requests by key.
    """

    name: str
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    faults: tuple[Fault, ...] = ()
    seconds: float = 20.0
    counted_from: float = 3.0
    zones: int = 3
    in_zone: float = 0.0002
    cross_zone: float = 0.0014
    to_callers: float = 0.008
    report: float = 0.25

    def kind(self, name):
        """Return the kind of a name."""
        return next(kind for kind in self.kinds if kind.name == name)


def shipped():
    """Return the names of the scenarios that come with the program."""
    folder = resources.files("guavastream.experiment") / "scenarios"
    return sorted(
        path.name.removesuffix(".toml")
        for path in folder.iterdir()
        if path.name.endswith(".toml")
    )


def load_scenario(name):
    """Return the scenario of a file, or of a shipped one's name.

    Raises
    ------
    FindingsError
        With everything that is wrong with it.
    """
    path = Path(name)
    if name in shipped():
        path = resources.files("guavastream.experiment") / "scenarios" / f"{name}.toml"
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        known = ", ".join(shipped())
        text = f"Cannot be read ({error}); shipped ones are {known}."
        found = Finding(place=str(name), code="unreadable", text=text)
        raise FindingsError([found]) from error
    findings = []
    scenario = _build(Scenario, raw, str(name), findings)
    if not findings:
        _check(scenario, findings)
    if findings:
        raise FindingsError(findings)
    return scenario


def _build(cls, raw, place, findings):
    """Return an object of a data class from a table, and note what is wrong."""

    def note(where, text):
        findings.append(Finding(place=where, code="bad_value", text=text))

    if not isinstance(raw, dict):
        note(place, "Must be a table.")
        return None
    types = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    values = {}
    for name in raw.keys() - fields.keys():
        note(f"{place}.{name}", f"Is not known; known are {', '.join(fields)}.")
    for name, field in fields.items():
        where = f"{place}.{name}"
        if name in raw:
            values[name] = _value(types[name], raw[name], where, findings, note)
        elif field.default is dataclasses.MISSING:
            note(where, "Is required.")
    return None if findings else cls(**values)


def _value(kind, raw, where, findings, note):
    if typing.get_origin(kind) is tuple:
        inner = typing.get_args(kind)[0]
        if not isinstance(raw, list):
            note(where, "Must be a list.")
            return ()
        return tuple(
            _value(inner, item, f"{where}[{number}]", findings, note)
            for number, item in enumerate(raw)
        )
    if dataclasses.is_dataclass(kind):
        return _build(kind, raw, where, findings)
    if kind is float and isinstance(raw, int) and not isinstance(raw, bool):
        raw = float(raw)
    if not isinstance(raw, kind) or (kind is int and isinstance(raw, bool)):
        note(where, f"Must be a {kind.__name__}.")
    elif kind in (int, float) and raw < 0 and not where.endswith(".server"):
        note(where, "Is negative.")
    return raw


def _check(scenario, findings):
    """Note names that mean nothing, and values that make no sense together."""

    def note(where, text):
        findings.append(Finding(place=where, code="bad_value", text=text))

    services = {service.name: service for service in scenario.services}
    kinds = {kind.name for kind in scenario.kinds}
    for service in scenario.services:
        if not service.speeds or min(service.speeds) <= 0 or service.slots < 1:
            note(f"services.{service.name}", "Needs servers with speed and slots.")
    for kind in scenario.kinds:
        where = f"kinds.{kind.name}"
        if kind.service not in services:
            note(where, f"Service {kind.service!r} is not there.")
        for calls in kind.calls:
            if calls.kind not in kinds:
                note(where, f"Calls {calls.kind!r}, which is no kind.")
    for number, fault in enumerate(scenario.faults):
        where = f"faults[{number}]"
        if fault.what not in FAULTS:
            note(where, f"{fault.what!r} is none of {', '.join(FAULTS)}.")
        if fault.kind and fault.kind not in kinds:
            note(where, f"Kind {fault.kind!r} is not there.")
        if fault.service and fault.service not in services:
            note(where, f"Service {fault.service!r} is not there.")
        elif fault.service and fault.server >= services[fault.service].size:
            note(where, f"Service {fault.service!r} has no server {fault.server}.")
