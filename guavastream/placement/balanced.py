"""Greedy balance with hysteresis: move no more than balance is worth."""

import heapq

from guavastream.placement.policy import POLICIES, PlacementPolicy, Plan

__all__ = ["BalancedPolicy"]

# Imbalance, as max over mean load, that is left alone at equal weights.
HYSTERESIS = 0.08


@POLICIES.register("balanced")
class BalancedPolicy(PlacementPolicy):
    """Gives each shard without an owner to the member with most room.

    Members that may own nothing more are emptied; beyond that shards move
    only while the fullest member stands further above the mean than the
    hysteresis, which grows with the weight of churn.

    Notes
    -----
    Longest-processing-time greedy: O(s log m) for s shards and m members.
    A join moves s/m shards, a leave those of the member that left, which is
    the least possible.

    References
    ----------
    .. [1] R. L. Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM
       Journal on Applied Mathematics 17, 1969.

    Examples
    --------
    >>> from guavastream.placement.policy import View
    >>> from guavastream.state import ShardMap
    >>> view = View(
    ...     shards=ShardMap.empty(4), moving={}, capacity={1: 1, 2: 1},
    ...     present=frozenset({1, 2}),
    ... )
    >>> sorted(BalancedPolicy().plan(view).assign.values())
    [1, 1, 2, 2]
    """

    def plan(self, view):
        if not view.capacity:
            return Plan()
        held = self._held(view)
        total = {m: sum(map(view.load_of, shards)) for m, shards in held.items()}
        assign, moves = {}, {}
        homeless = [s for s, owner in enumerate(view.shards.owners) if owner == 0]
        self._place(view, homeless, total, held, assign)
        stranded = [
            shard
            for shard, owner in enumerate(view.shards.owners)
            if owner
            and owner not in view.capacity
            and owner in view.present
            and view.moving.get(shard) not in view.capacity
        ]
        self._place(view, stranded, total, held, moves)
        room = view.budget - len(view.moving) - len(moves)
        self._rebalance(view, total, held, moves, room)
        return Plan(assign=assign, moves=moves)

    def _held(self, view):
        """Return for each eligible member the shards it has or will get."""
        held = {member: [] for member in view.capacity}
        for shard, owner in enumerate(view.shards.owners):
            owner = view.moving.get(shard, owner)
            if owner in held:
                held[owner].append(shard)
        return held

    def _place(self, view, shards, total, held, chosen):
        heap = [(total[m] / c, m) for m, c in view.capacity.items()]
        heapq.heapify(heap)
        for shard in sorted(shards, key=view.load_of, reverse=True):
            _, member = heap[0]
            chosen[shard] = member
            held[member].append(shard)
            total[member] += view.load_of(shard)
            heapq.heapreplace(heap, (total[member] / view.capacity[member], member))

    def _rebalance(self, view, total, held, moves, room):
        mean = sum(total.values()) / sum(view.capacity.values())
        weights = view.churn_weight / max(view.imbalance_weight, 1e-9)
        allowed = mean * (1 + HYSTERESIS * max(0.5, min(2.0, weights)))

        def use(member):
            return total[member] / view.capacity[member]

        # One shard is the grain: a gap that no shard fits into stays.
        while room > 0:
            full = max(total, key=use)
            free = min(total, key=use)
            if use(full) <= allowed and use(free) >= 2 * mean - allowed:
                return
            shard = self._fitting(view, held[full], moves, use(full) - use(free))
            if shard is None:
                return
            held[full].remove(shard)
            held[free].append(shard)
            total[full] -= view.load_of(shard)
            total[free] += view.load_of(shard)
            moves[shard] = free
            room -= 1

    def _fitting(self, view, shards, moves, gap):
        """Return the largest shard whose move narrows the gap, or None."""
        best = None
        for shard in shards:
            owned = view.shards.owners[shard] != 0
            if not owned or shard in view.moving or shard in moves:
                continue
            load = view.load_of(shard)
            if load < gap and (best is None or load > view.load_of(best)):
                best = shard
        return best
