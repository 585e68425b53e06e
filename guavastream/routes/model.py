"""Routes, services and limits that operators configure."""

from enum import StrEnum

import msgspec

from guavastream.kernel import record

__all__ = ["CallerLimits", "Granting", "RetrySafety", "Route", "RouteConfig"]
__all__ += ["ServiceRules", "WeightedService"]


class RetrySafety(StrEnum):
    """Whether a request may be retried after it may have run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    # With a large body; not safe to retry either.
    UPLOAD = "upload"
    # With a large answer; safe to retry.
    DOWNLOAD = "download"


class Granting(StrEnum):
    """How the backend servers of a service are granted keys."""

    # In the answers to their heartbeats.
    HEARTBEAT = "heartbeat"
    # By calls from the process beside them.
    CALL = "call"
    # By a method that this version does not support; no keys are granted.
    UNKNOWN = "unknown"


@record
class WeightedService:
    """A service that receives a weighted share of the requests of a route."""

    service: str
    weight: float = 1.0


@record(
    encoded_names={
        "retry_safety": "repeat",
        "weighted_services": "parts",
        "raw_json": "origin",
    }
)
class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Value of the Host header, in lower case and without a port.
    prefix : str
        Path prefix, which must begin and end with a slash.
    retry_safety : RetrySafety
        Whether its requests may run more than once.
    timeout : float
        Longest time until a request is answered, seconds.
    target : float
        Target latency, seconds. A later answer is worth less to the caller.
    priority : int
        Priority; 0 is the highest.
    attempts : int
        Maximum number of backend servers that a request is sent to.
    weighted_services : tuple of WeightedService
        Services that share the requests.
    raw_json : bytes
        The route as the operator wrote it, for reading the configuration back.
    regions : tuple of str
        Regions whose servers may get its requests; all regions if it is empty.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    timeout: float
    target: float
    priority: int
    attempts: int
    weighted_services: tuple[WeightedService, ...]
    raw_json: bytes = b""
    regions: tuple[str, ...] = ()

    @property
    def idempotent(self):
        """Whether a request may run more than once without harm."""
        return self.retry_safety in (RetrySafety.SAFE, RetrySafety.DOWNLOAD)

    def leads_to(self, service):
        """Whether a service gets a share of its requests."""
        return any(part.service == service for part in self.weighted_services)

    @property
    def has_target(self):
        """Whether a target latency is configured, rather than the timeout alone."""
        return self.target < self.timeout


@record(encoded_names={"raw_json": "origin"})
class ServiceRules:
    """Settings shared by all backend servers of a service.

    Parameters
    ----------
    name : str
        Unique name.
    connections : int
        Maximum number of connections to one backend server.
    keyed : bool
        Whether its servers own keys exclusively.
    warmup : float
        Time for which requests are slow for keys granted without a handover, seconds.
    health : str
        Path of the health check.
    granting : Granting or None
        How its servers are granted keys; None uses the setting of the process.
    raw_json : bytes
        The service as the operator wrote it.
    cold_rate : float
        Requests per second that a server tolerates while it is cold after its start;
        0 if there is no limit.
    """

    name: str
    connections: int = 120
    keyed: bool = False
    warmup: float = 0.0
    health: str = "/health"
    granting: Granting | None = None
    raw_json: bytes = b""
    cold_rate: float = 0.0


@record(encoded_names={"raw_json": "origin"})
class CallerLimits:
    """Limits on the requests and connections of callers."""

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0
    raw_json: bytes = b""


@record
class RouteConfig:
    """One version of the configuration; version 0 is the empty one."""

    version: int = 0
    routes: dict[str, Route] = msgspec.field(default_factory=dict)
    services: dict[str, ServiceRules] = msgspec.field(default_factory=dict)
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
