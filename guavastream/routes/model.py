"""Routes, services and limits as operators configure them."""

from enum import StrEnum

import msgspec

from guavastream.kernel import record

__all__ = ["CallerLimits", "Granting", "Part", "Repeat", "Route", "RouteConfig"]
__all__ += ["ServiceRules"]


class Repeat(StrEnum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    # A large body; never repeated either.
    UPLOAD = "upload"


class Granting(StrEnum):
    """How the backend servers of a service are granted keys."""

    # By the answers to their heartbeats.
    HEARTBEAT = "heartbeat"
    # By calls of the process beside them.
    CALL = "call"
    # In a way that this version does not know: no keys are granted.
    UNKNOWN = "unknown"


@record
class Part:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float = 1.0


@record
class Route:
    """Requests of one host under one path prefix.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host header, in lower case and without a port.
    prefix : str
        Path prefix that begins and ends with a slash.
    repeat : Repeat
        Whether its requests may run more than once.
    timeout : float
        Longest time that a request is kept waiting, seconds.
    target : float
        Time within which an answer has its full worth, seconds.
    priority : int
        Rank; 0 is the highest.
    attempts : int
        Most backend servers that one request may be sent to.
    parts : tuple of Part
        Services that share the requests.
    origin : bytes
        The item as its operator wrote it, given back when it is read.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: float
    target: float
    priority: int
    attempts: int
    parts: tuple[Part, ...]
    origin: bytes = b""

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.repeat is Repeat.SAFE


@record
class ServiceRules:
    """What holds for all backend servers of a service.

    Parameters
    ----------
    name : str
        Unique name.
    connections : int
        Connections that one backend server accepts.
    keyed : bool
        Whether its servers own keys.
    warmup : float
        Time for which keys that came without a handover are slow, seconds.
    health : str
        Path of the health check.
    granting : Granting or None
        How they are granted keys; None is as the process's settings say.
    origin : bytes
        The item as its operator wrote it.
    """

    name: str
    connections: int = 120
    keyed: bool = False
    warmup: float = 0.0
    health: str = "/health"
    granting: Granting | None = None
    origin: bytes = b""


@record
class CallerLimits:
    """Bounds on callers; sizes in bytes, times in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0
    origin: bytes = b""


@record
class RouteConfig:
    """One version of the whole configuration; version 0 is none at all."""

    version: int = 0
    routes: dict[str, Route] = msgspec.field(default_factory=dict)
    services: dict[str, ServiceRules] = msgspec.field(default_factory=dict)
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
