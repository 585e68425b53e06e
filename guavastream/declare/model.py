"""Services and presets, declared in a file that operators keep in version control."""

from dataclasses import dataclass, field

__all__ = ["Declaration", "KEY_SOURCES", "Preset", "Service", "Weights"]

KEY_SOURCES = ("header", "query", "path")


@dataclass(frozen=True, kw_only=True)
class Weights:
    """Weights of the cost terms that placement minimizes for a service.

    Parameters
    ----------
    imbalance : float
        Weight of uneven load across the servers.
    churn : float
        Weight of moving shards between servers.
    unavailable : float
        Weight of shards that are unavailable.
    """

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that a set of backend servers provides.

    Parameters
    ----------
    name : str
        Name of the service, which is the first segment of its request paths.
    divided_by_key : bool
        Whether each key is owned by exactly one server.
    key : str
        Where a request carries its key: `header:NAME`, `query:NAME` or
        `path:N`. N counts path segments from 1; segment 1 is the service name.
    shards : int
        Number of shards that keys are hashed to; must not change while the
        service is live.
    slots : int
        Requests that one server runs concurrently.
    connections : int
        Maximum number of connections that one server accepts.
    queue : int
        Requests that may wait for a free slot of one server.
    checks_grants : bool
        Whether the servers verify that the sender of a request may act for its
        shard.
    deadline_ms : int
        Time limit of a whole request, unless the caller sets a shorter one.
    idle_ms : int
        Maximum time without data within a request or response body.
    non_idempotent : tuple of str
        Requests that must not be repeated, as `METHOD PATH`; a path that ends
        in `*` is a prefix.
    idempotent : tuple of str
        POST and PATCH requests that may be repeated, in the same form. All
        other requests of these methods must not be (RFC 9110, 9.2.2).
    priority : str
        Default priority class, to which the `shed` list of a preset refers.
    priorities : dict of str to str
        Priority classes of particular requests, by `METHOD PATH`.
    weights : Weights
        Weights of the cost terms of placement.
    """

    name: str
    divided_by_key: bool = False
    key: str = ""
    shards: int = 256
    slots: int = 20
    connections: int = 120
    queue: int = 40
    checks_grants: bool = True
    deadline_ms: int = 5000
    idle_ms: int = 10000
    non_idempotent: tuple[str, ...] = ()
    idempotent: tuple[str, ...] = ()
    priority: str = "normal"
    priorities: dict[str, str] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)

    @property
    def has_shards(self):
        """Whether the servers of this service own shards of keys or operations.

        Requests that must not be repeated but have no key are assigned to
        shards by their operation id; the owning server keeps the outcome.
        """
        return self.divided_by_key or bool(self.non_idempotent)


@dataclass(frozen=True, kw_only=True)
class Preset:
    """A named set of limits that take effect together.

    Parameters
    ----------
    name : str
        Name by which operators select the preset.
    shed : tuple of str
        Priority classes to refuse first under overload, in this order.
    move_budget : int
        Maximum number of shards that may be moving at once for rebalancing.
    slow_start_ms : int
        Time over which the usable slots of a new server rise to the full number.
    queue_share : float
        Fraction of each service's queue that may be used, from 0 to 1.
    drained : tuple of str
        Hosts and availability zones that receive no new work.
    """

    name: str
    shed: tuple[str, ...] = ()
    move_budget: int = 64
    slow_start_ms: int = 1000
    queue_share: float = 1.0
    drained: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Declaration:
    """The contents of one declaration file.

    Parameters
    ----------
    services : tuple of Service
        The declared services.
    presets : tuple of Preset
        The declared presets.
    preset : str
        Name of the initial preset.
    """

    services: tuple[Service, ...] = ()
    presets: tuple[Preset, ...] = ()
    preset: str = ""

    def service(self, name):
        """Return the service called `name`, or None."""
        return next((s for s in self.services if s.name == name), None)

    def find_preset(self, name):
        """Return the preset called `name`, or None."""
        return next((p for p in self.presets if p.name == name), None)
