"""What a placement policy decides, and the registry of policies."""

import abc
from dataclasses import dataclass, field

from guavastream.kernel import Registry
from guavastream.state import ShardMap

__all__ = ["POLICIES", "Plan", "PlacementPolicy", "View"]

POLICIES = Registry(kind="placement policy")


@dataclass(frozen=True, kw_only=True)
class View:
    """What a policy sees of one service.

    Parameters
    ----------
    shards : ShardMap
        Present owners.
    moving : dict of int to int
        Shards on the move and their targets.
    capacity : dict of int to float
        For each member that may get shards, its share of work (slots).
    present : frozenset of int
        Members that still hold what they own, eligible or not.
    load : dict of int to float
        Load of each shard; 1 where nothing is known.
    budget : int
        Shards that may be on the move at once for balance.
    churn_weight, imbalance_weight : float
        Declared weights of the service.
    """

    shards: ShardMap
    moving: dict
    capacity: dict
    present: frozenset
    load: dict = field(default_factory=dict)
    budget: int = 64
    churn_weight: float = 1.0
    imbalance_weight: float = 1.0

    def load_of(self, shard):
        """Return the load of a shard."""
        return self.load.get(shard, 1.0)


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Shards to hand out and shards to move, each to a member."""

    assign: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)


class PlacementPolicy(abc.ABC):
    """Decides which member owns which shard of one service."""

    @abc.abstractmethod
    def plan(self, view):
        """Return the `Plan` for a `View`; an empty one if all is well."""
