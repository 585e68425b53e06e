"""Interface and registry of the placement policies for shards."""

import abc
from dataclasses import dataclass, field

from guavastream.kernel import Registry
from guavastream.state import ShardMap

__all__ = ["POLICIES", "Plan", "PlacementPolicy", "PlacementView"]

POLICIES = Registry(kind="placement policy")


@dataclass(frozen=True, kw_only=True)
class PlacementView:
    """The state of one service that a placement policy decides on.

    Parameters
    ----------
    shards : ShardMap
        Current owners.
    moving : dict of int to int
        Shards being moved and their target members.
    capacity : dict of int to float
        Number of slots of each member that may receive shards.
    present : frozenset of int
        Members that are still running, including those that may not receive
        shards.
    load : dict of int to float
        Load of each shard; 1 for shards without a known load.
    budget : int
        Maximum number of concurrent moves for balancing.
    churn_weight, imbalance_weight : float
        Weights declared for the service.
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
    """Shards to assign and shards to move, each with its target member."""

    assign: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)


class PlacementPolicy(abc.ABC):
    """Decides which member owns which shard of one service."""

    @abc.abstractmethod
    def plan(self, view):
        """Return the `Plan` for a `PlacementView`; empty if nothing is to change."""
