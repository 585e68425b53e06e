"""Declared services and presets, as operators keep them in version control."""

from dataclasses import dataclass, field

__all__ = ["Declaration", "KEY_SOURCES", "Preset", "Service", "Weights"]

KEY_SOURCES = ("header", "query", "path")


@dataclass(frozen=True, kw_only=True)
class Weights:
    """What placement minimises for a service, as a weighted sum."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Service:
    """A set of backend servers that share a trade.

    Parameters
    ----------
    name : str
        First segment of the request path.
    divided_by_key : bool
        Whether each key has one owning server.
    key : str
        Where the key is: `header:NAME`, `query:NAME` or `path:N`, where N
        counts path segments from 1 and segment 1 is the service.
    shards : int
        Parts that the keys are hashed to; never changed for a live service.
    slots : int
        Requests that one server runs at a time.
    connections : int
        Connections that one server accepts.
    queue : int
        Requests that may wait for a slot of one server.
    checks_grants : bool
        Whether the servers check who gives them an order.
    deadline_ms : int
        Time for a whole request unless the caller gives less.
    idle_ms : int
        Longest silence within a request or answer body.
    non_idempotent : tuple of str
        Requests that must not repeat, as `METHOD PATH`; `*` ends a prefix.
    idempotent : tuple of str
        POST and PATCH requests that may repeat, written likewise; all others
        of these methods must not (RFC 9110, 9.2.2).
    priority : str
        Class that presets name in their shedding order.
    priorities : dict of str to str
        Classes of single requests, by `METHOD PATH`.
    weights : Weights
        Weights of the placement policy.
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
        """Whether its servers own shards: of keys, or of operations.

        Where requests must not repeat but have no key, the server that owns
        an operation's id keeps its outcome.
        """
        return self.divided_by_key or bool(self.non_idempotent)


@dataclass(frozen=True, kw_only=True)
class Preset:
    """Limits in force together.

    Parameters
    ----------
    name : str
        Name that operators use.
    shed : tuple of str
        Priority classes refused first under overload, in order.
    move_budget : int
        Shards that may be on the move at once for the sake of balance.
    slow_start_ms : int
        Time over which a new server comes to its full slots.
    queue_share : float
        Share of each service's queue that may be used, 0 to 1.
    drained : tuple of str
        Hosts and availability zones that get no new work.
    """

    name: str
    shed: tuple[str, ...] = ()
    move_budget: int = 64
    slow_start_ms: int = 1000
    queue_share: float = 1.0
    drained: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Declaration:
    """Everything that one file of declarations says."""

    services: tuple[Service, ...] = ()
    presets: tuple[Preset, ...] = ()
    preset: str = ""

    def service(self, name):
        """Return the service called `name`, or None."""
        return next((s for s in self.services if s.name == name), None)

    def find_preset(self, name):
        """Return the preset called `name`, or None."""
        return next((p for p in self.presets if p.name == name), None)
