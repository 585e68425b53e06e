"""Greedy balancing of shards, with hysteresis to limit the number of moves."""

import heapq

from guavastream.placement.policy import POLICIES, PlacementPolicy, Plan

__all__ = ["BalancedPolicy"]

# Excess of the maximum over the mean load that is tolerated, as a fraction of the
# mean, when the weights of churn and imbalance are equal.
HYSTERESIS = 0.08


@POLICIES.register("balanced")
class BalancedPolicy(PlacementPolicy):
    """Assigns each shard without an owner to the least loaded member.

    Moves all shards off members that may no longer own any. Other shards are
    moved only while the load of the most loaded member exceeds the mean, or that
    of the least loaded one falls short of it, by more than the hysteresis, which
    grows with the weight of churn.

    Notes
    -----
    Longest-processing-time greedy: O(s log m) for s shards and m members.
    A join moves s/m shards and a leave moves the shards of the member that
    left, which is the minimum.

    References
    ----------
    .. [1] R. L. Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM
       Journal on Applied Mathematics 17, 1969.

    Examples
    --------
    >>> from guavastream.placement.policy import PlacementView
    >>> from guavastream.state import ShardMap
    >>> view = PlacementView(
    ...     shards=ShardMap.empty(4), moving={}, capacity={1: 1, 2: 1},
    ...     present=frozenset({1, 2}),
    ... )
    >>> sorted(BalancedPolicy().plan(view).assign.values())
    [1, 1, 2, 2]
    """

    def plan(self, view):
        if not view.capacity:
            return Plan()
        shards_by_member = self._shards_by_member(view)
        total_load = {
            m: sum(map(view.load_of, shards)) for m, shards in shards_by_member.items()
        }
        assign, moves = {}, {}
        unowned = [s for s, owner in enumerate(view.shards.owners) if owner == 0]
        self._assign_shards(view, unowned, total_load, shards_by_member, assign)
        # Shards whose owner is present but may own none, and which are not yet
        # being moved to a member that may.
        to_evacuate = [
            shard
            for shard, owner in enumerate(view.shards.owners)
            if owner
            and owner not in view.capacity
            and owner in view.present
            and view.moving.get(shard) not in view.capacity
        ]
        self._assign_shards(view, to_evacuate, total_load, shards_by_member, moves)
        remaining_budget = view.budget - len(view.moving) - len(moves)
        self._rebalance(view, total_load, shards_by_member, moves, remaining_budget)
        return Plan(assign=assign, moves=moves)

    def _shards_by_member(self, view):
        """Return the shards that each eligible member owns or is about to receive."""
        shards_by_member = {member: [] for member in view.capacity}
        for shard, owner in enumerate(view.shards.owners):
            owner = view.moving.get(shard, owner)
            if owner in shards_by_member:
                shards_by_member[owner].append(shard)
        return shards_by_member

    def _assign_shards(self, view, shards, total_load, shards_by_member, assigned):
        """Assign shards, the most loaded first, to the least utilized members."""
        heap = [(total_load[m] / c, m) for m, c in view.capacity.items()]
        heapq.heapify(heap)
        for shard in sorted(shards, key=view.load_of, reverse=True):
            _, member = heap[0]
            assigned[shard] = member
            shards_by_member[member].append(shard)
            total_load[member] += view.load_of(shard)
            heapq.heapreplace(
                heap, (total_load[member] / view.capacity[member], member)
            )

    def _rebalance(self, view, total_load, shards_by_member, moves, budget):
        """Move shards from the most to the least utilized member, at most `budget`."""
        mean = sum(total_load.values()) / sum(view.capacity.values())
        weight_ratio = view.churn_weight / max(view.imbalance_weight, 1e-9)
        upper_bound = mean * (1 + HYSTERESIS * max(0.5, min(2.0, weight_ratio)))

        def utilization(member):
            return total_load[member] / view.capacity[member]

        # Shards are indivisible: a gap smaller than every shard remains.
        while budget > 0:
            busiest = max(total_load, key=utilization)
            idlest = min(total_load, key=utilization)
            if (
                utilization(busiest) <= upper_bound
                and utilization(idlest) >= 2 * mean - upper_bound
            ):
                return
            shard = self._largest_within(
                view,
                shards_by_member[busiest],
                moves,
                utilization(busiest) - utilization(idlest),
            )
            if shard is None:
                return
            shards_by_member[busiest].remove(shard)
            shards_by_member[idlest].append(shard)
            total_load[busiest] -= view.load_of(shard)
            total_load[idlest] += view.load_of(shard)
            moves[shard] = idlest
            budget -= 1

    def _largest_within(self, view, shards, moves, gap):
        """Return the most loaded movable shard with a load below `gap`, or None."""
        best = None
        for shard in shards:
            owned = view.shards.owners[shard] != 0
            if not owned or shard in view.moving or shard in moves:
                continue
            load = view.load_of(shard)
            if load < gap and (best is None or load > view.load_of(best)):
                best = shard
        return best
