"""Placement of key ranges on servers by load, in few ranges and with few moves.

Handles loads in which a few adjacent keys receive a large share of a service's
requests for some seconds, and servers that differ in speed, slow down, join and
leave.
"""

import dataclasses
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from heapq import nlargest

from guavastream.fleet import KEY_COUNT, subtract_range
from guavastream.kernel import Policy, replace
from guavastream.placement.spread import spread_hot_keys
from guavastream.placement.worth import is_worthwhile

__all__ = ["KeyRangePlan", "KeyRangeView", "plan_key_ranges"]

# Total number of ranges into which all keys are cut when they are first granted,
# and the bounds per server. Busy keys are often adjacent, so many small ranges
# spread them before any load has been measured.
INITIAL_RANGES_TOTAL = 200
MIN_INITIAL_RANGES = 4
MAX_INITIAL_RANGES = 12
# Number of ranges at which a server receives no more for balancing. The answer to
# a heartbeat must fit in 4 KiB, which is about 90 ranges.
MAX_RANGES_PER_SERVER = 75
# Fraction of the load that is added evenly over all keys, so that keys without
# requests have a weight and new servers receive some of them.
EVEN_SHARE = 0.1
# A server is relieved if its utilization exceeds the mean by this factor. A
# smaller factor would move keys back and forth on the noise in one second's
# requests.
HYSTERESIS = 1.15
# Utilization (fraction of busy slots) below which load is not moved: up to half
# utilization hardly any request waits.
LOW_UTILIZATION = 0.35
# Maximum number of concurrent moves for one service, and while its busiest server
# refuses what exceeds its capacity: keys that wait for their move are hardly served.
MAX_MOVES = 10
MAX_MOVES_OFF_LIMITED = 40
# Utilization from which on the moves off a server are urgent, if hot keys are spread: a
# quarter of its requests is refused, for about a second until its next heartbeat, while
# keys without an owner wait for a third of a second.
URGENT_UTILIZATION = 1.33
# Hot keys are spread in up to twice as many moves as there are servers, and in at least
# this many.
MIN_SPREAD_MOVES = 40
# A range is chosen if its load is within this factor of the wanted load. If none
# is, the one with the largest smaller load is chosen, provided that it has at
# least this fraction of the wanted load, or the target has no keys.
FIT_FACTOR = 1.25
MIN_FIT_FRACTION = 0.1
# Number of servers that cannot be relieved, or not at a gain, beside which others still
# are, if hot keys are spread. Each costs a search of its ranges.
MAX_STUCK_SERVERS = 5
# Number of ranges, the busiest ones, that are searched for a part to cut off.
MAX_RANGES_TO_CUT = 8
# A key that no other server could serve in addition to its own keys is moved to
# the fastest server if the utilization it causes drops by at least this much.
MIN_UTILIZATION_GAIN = 0.1


@dataclass(frozen=True, kw_only=True)
class KeyRangeView:
    """The state of one service that its key ranges are planned from.

    Parameters
    ----------
    runs : tuple of KeyRun
        All keys as ranges, with their owners.
    capacity : dict of str to float
        Requests per second that each server can process; without leaving servers.
    silent : frozenset of str
        Servers that currently send no heartbeats. They neither receive nor give
        up keys.
    limited : frozenset of str
        Servers that get no more requests than their capacity; the others are refused.
    load : dict of int to float
        Requests per second for each busy key.
    other_load : float
        Requests per second for all other keys together, evenly spread.
    areas : tuple of float
        Requests per second for the other keys, for each of several equal parts
        of the key space.
    moving : dict of tuple to str
        Key ranges (first, last) being moved, and their target servers.
    policy : Policy
        Enabled mechanisms.
    load_seconds : float
        Time constant over which the loads are averaged; shorter for a new leader.
    spread : bool
        Whether hot adjacent keys are spread over many servers in one plan, and moves
        are made only if they are worth their cost.
    """

    runs: tuple
    capacity: dict
    silent: frozenset = frozenset()
    limited: frozenset = frozenset()
    load: dict = field(default_factory=dict)
    other_load: float = 0.0
    areas: tuple = ()
    moving: dict = field(default_factory=dict)
    policy: Policy = Policy()
    load_seconds: float = 2.0
    spread: bool = False


@dataclass(frozen=True, kw_only=True)
class KeyRangePlan:
    """Free ranges to grant and owned ranges to move, as (first, last, target).

    The servers in `urgent` refuse so much that their keys had better have no owner for
    a moment than wait until each target can be told.
    """

    grants: tuple = ()
    moves: tuple = ()
    urgent: frozenset = frozenset()


class _RangeLoads:
    """Computes the load of any key range from prefix sums over keys and areas."""

    def __init__(self, view):
        self.busy_keys = sorted(view.load)
        self.prefix_sums = [0.0]
        for key in self.busy_keys:
            self.prefix_sums.append(self.prefix_sums[-1] + view.load[key])
        area_rates = view.areas or (0.0,)
        if not view.policy.areas:
            area_rates = (sum(area_rates),)
        total = self.prefix_sums[-1] + view.other_load + sum(area_rates)
        even = (max(total, 1.0) * EVEN_SHARE + view.other_load) / len(area_rates)
        self._area_size = KEY_COUNT / len(area_rates)
        self._area_prefix_sums = [0.0]
        for rate in area_rates:
            self._area_prefix_sums.append(self._area_prefix_sums[-1] + rate + even)
        self._area_prefix_sums.append(self._area_prefix_sums[-1])

    def of(self, first, last):
        """Return the load of the keys `first` to `last`."""
        low, high = (
            bisect_left(self.busy_keys, first),
            bisect_right(self.busy_keys, last),
        )
        busy = self.prefix_sums[high] - self.prefix_sums[low]
        return busy + self._rare_load_below(last + 1) - self._rare_load_below(first)

    def _rare_load_below(self, key):
        """Return the load of all keys below `key`, without the busy ones."""
        area, fraction = divmod(key / self._area_size, 1)
        before, after = self._area_prefix_sums[int(area) : int(area) + 2]
        return before + fraction * (after - before)


def plan_key_ranges(view):
    """Return the `KeyRangePlan` for a `KeyRangeView`.

    Notes
    -----
    O(runs log keys + busy keys) and a constant number of moves.

    References
    ----------
    .. [1] R. L. Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM
       Journal on Applied Mathematics 17, 1969.

    Examples
    --------
    >>> from guavastream.fleet import KeyRun
    >>> view = KeyRangeView(
    ...     runs=(KeyRun(first=0, last=KEY_COUNT - 1),), capacity={"a": 1.0, "b": 1.0}
    ... )
    >>> plan = plan_key_ranges(view)
    >>> len(plan.grants), sorted({row[2] for row in plan.grants})
    (24, ['a', 'b'])
    """
    if not view.capacity:
        return KeyRangePlan()
    if view.spread:
        view = dataclasses.replace(view, runs=tuple(_split_at_moves(view)))
    loads = _RangeLoads(view)
    utilization = dict.fromkeys(view.capacity, 0.0)
    range_counts = dict.fromkeys(view.capacity, 0)
    free, to_evacuate, held = [], [], {server: [] for server in view.capacity}
    for first, last, owner, _ in _ranges_after_moves(view):
        if owner in utilization:
            utilization[owner] += loads.of(first, last) / view.capacity[owner]
            range_counts[owner] += 1
        if owner == "":
            free.append((first, last))
    for run in view.runs:
        if not run.owner or _is_moving(view, run):
            continue
        if run.owner in held:
            held[run.owner].append((run.first, run.last))
        elif run.owner not in view.silent:
            to_evacuate.append((run.first, run.last))
    urgent = frozenset(
        server
        for server, value in utilization.items()
        if view.spread and value > URGENT_UTILIZATION
    )
    grants = _assign(view, loads, utilization, range_counts, _cut_free(view, free))
    moves = _assign(view, loads, utilization, range_counts, to_evacuate)
    if not free and not to_evacuate and view.policy.balance:
        moves = _balance(view, loads, utilization, range_counts, held)
    return KeyRangePlan(grants=tuple(grants), moves=tuple(moves), urgent=urgent)


def _ranges_after_moves(view):
    """Yield first key, last key, future owner and current owner of every range."""
    for run in view.runs:
        target = view.moving.get((run.first, run.last))
        yield run.first, run.last, target or run.owner, run.owner


def _split_at_moves(view):
    """Yield the runs, split at the bounds of the ranges that are being moved.

    The rest of a run can then be moved, too, and a part that is being moved counts as
    load of its target. Otherwise the rest of the hot keys had to wait for the first.
    """
    moving = sorted(view.moving)
    position = 0
    for run in view.runs:
        first = run.first
        while position < len(moving) and moving[position][0] <= run.last:
            start, end = moving[position]
            if start > first:
                yield replace(run, first=first, last=start - 1)
            first = max(first, min(end, run.last) + 1)
            if start <= run.last and end >= run.first:
                yield replace(run, first=max(start, run.first), last=min(end, run.last))
            if end > run.last:
                break
            position += 1
        if first <= run.last:
            yield replace(run, first=first)


def _is_moving(view, run):
    if view.spread:
        return (run.first, run.last) in view.moving
    return any(run.overlaps(first, last) for first, last in view.moving)


def _cut_free(view, free):
    """Cut long free ranges, so that adjacent keys are spread over the servers."""
    servers = len(view.capacity)
    ranges_per_server = min(
        MAX_INITIAL_RANGES, max(MIN_INITIAL_RANGES, INITIAL_RANGES_TOTAL // servers)
    )
    size = max(1, KEY_COUNT // (servers * ranges_per_server))
    for first, last in free:
        while last - first + 1 >= 2 * size:
            yield first, first + size - 1
            first += size
        yield first, last


def _assign(view, loads, utilization, range_counts, ranges):
    """Assign each range to the server that it leaves least utilized, busiest first."""
    assigned = []
    for first, last in sorted(ranges, key=lambda r: loads.of(*r), reverse=True):
        load = loads.of(first, last)
        server = min(
            utilization,
            key=lambda s: (
                range_counts[s] >= MAX_RANGES_PER_SERVER,
                utilization[s] + load / view.capacity[s],
            ),
        )
        utilization[server] += load / view.capacity[server]
        range_counts[server] += 1
        assigned.append((first, last, server))
    return assigned


def _balance(view, loads, utilization, range_counts, held):
    """Return moves from the most to the least utilized servers."""
    moves = []
    capacity = view.capacity
    mean = loads.of(0, KEY_COUNT - 1) / sum(capacity.values())
    upper_bound = max(mean * HYSTERESIS, LOW_UTILIZATION)
    # Servers that cannot be relieved, or not at a gain. Where hot keys are spread,
    # these do not keep the others from being relieved.
    stuck = set()
    if view.spread:
        mean = _attainable_mean(view, mean)
        upper_bound = max(mean * HYSTERESIS, LOW_UTILIZATION)
        moves = spread_hot_keys(
            view,
            loads,
            utilization,
            range_counts,
            held,
            budget=max(MIN_SPREAD_MOVES, 2 * len(capacity)) - len(view.moving),
            bound=upper_bound,
            mean=mean,
            max_ranges=MAX_RANGES_PER_SERVER,
        )
    while len(stuck) <= MAX_STUCK_SERVERS:
        busiest = max(
            (s for s in utilization if s not in stuck),
            key=utilization.get,
            default=None,
        )
        if busiest is None:
            break
        is_limited = busiest in view.limited
        max_moves = MAX_MOVES_OFF_LIMITED if is_limited else MAX_MOVES
        if len(moves) + len(view.moving) >= max_moves:
            break
        idlest = min(
            utilization,
            key=lambda s: (range_counts[s] >= MAX_RANGES_PER_SERVER, utilization[s]),
        )
        has_no_keys = range_counts[idlest] == 0
        if not has_no_keys and utilization[busiest] < upper_bound:
            break
        if range_counts[idlest] >= MAX_RANGES_PER_SERVER or busiest == idlest:
            break
        wanted = min(
            (utilization[busiest] - mean) * capacity[busiest],
            (mean - utilization[idlest]) * capacity[idlest],
        )
        least_load = 0.0 if has_no_keys else wanted * MIN_FIT_FRACTION
        chosen = _find_range(loads, held[busiest], wanted, least_load)
        target = idlest
        if chosen is None or not _is_improvement(
            view, loads, utilization, busiest, chosen, idlest
        ):
            chosen, target = _hottest_key(view, loads, held[busiest], busiest)
        if view.spread and not _is_worthwhile(
            view, loads, utilization, busiest, chosen, target, has_no_keys
        ):
            stuck.add(busiest)
            continue
        if chosen is None:
            break
        moved_load = loads.of(*chosen)
        moves.append((*chosen, target))
        utilization[busiest] -= moved_load / capacity[busiest]
        utilization[target] += moved_load / capacity[target]
        range_counts[target] += 1
        # A cut in the middle of a range leaves its owner with one range more.
        range_counts[busiest] += 1
        held[busiest] = subtract_range(held[busiest], chosen)
    return moves


def _attainable_mean(view, mean):
    """Return the mean utilization of servers without a key that is too hot for one.

    Such keys cannot be split. If their load counted for all servers, others would not
    be relieved until they are as overloaded as the owners of these keys.
    """
    total = mean * sum(view.capacity.values())
    fastest = sorted(view.capacity.values(), reverse=True)
    rest = sum(fastest)
    hottest = nlargest(len(fastest) - 1, view.load.values())
    for load, capacity in zip(hottest, fastest, strict=False):
        if load <= capacity * total / rest:
            break
        total -= load
        rest -= capacity
    return max(0.0, total) / rest


def _is_improvement(view, loads, utilization, source, key_range, target):
    """Whether a move leaves its target less utilized than its source was before."""
    return (
        utilization[target] + loads.of(*key_range) / view.capacity[target]
        < utilization[source]
    )


def _is_worthwhile(view, loads, utilization, source, key_range, target, is_new):
    """Whether a move is worth its cost; any is if its target is new, without keys."""
    if key_range is None or is_new:
        return key_range is not None
    return is_worthwhile(
        loads.of(*key_range),
        source=(utilization[source], view.capacity[source]),
        target=(utilization[target], view.capacity[target]),
        seconds=view.load_seconds,
    )


def _hottest_key(view, loads, ranges, server):
    """Return the busiest key of a server as a range, and the fastest server.

    Returns None for both if the move would not gain enough. The load of a single
    key cannot be split. If it exceeds what its server can process, it goes to the
    fastest server, whose other keys are moved away afterwards.
    """
    busy_keys = [
        key
        for first, last in ranges
        for key in loads.busy_keys[
            bisect_left(loads.busy_keys, first) : bisect_right(loads.busy_keys, last)
        ]
    ]
    hottest = max(busy_keys, key=view.load.get, default=None)
    if hottest is None or not view.policy.hottest:
        return None, None
    load = view.load[hottest]
    key_utilization = load / view.capacity[server]
    target = max(view.capacity, key=view.capacity.get)
    gain = key_utilization - load / view.capacity[target]
    if (
        target == server
        or gain < MIN_UTILIZATION_GAIN
        or key_utilization < LOW_UTILIZATION
    ):
        return None, None
    return (hottest, hottest), target


def _find_range(loads, ranges, wanted, least_load):
    """Return the shortest range whose load is about `wanted`.

    If there is none, returns the range with the largest smaller load, or None if
    that load is below `least_load`.
    """
    if wanted <= 0:
        return None
    best, shortest = None, KEY_COUNT + 1
    fallback, fallback_load = None, 0.0
    for candidate in _candidates(loads, ranges, wanted):
        load = loads.of(*candidate)
        if load > wanted * FIT_FACTOR:
            continue
        if load > fallback_load:
            fallback, fallback_load = candidate, load
        length = candidate[1] - candidate[0] + 1
        if load >= wanted / FIT_FACTOR and length < shortest:
            best, shortest = candidate, length
    if best is None and fallback_load < least_load:
        return None
    return best or fallback


def _candidates(loads, ranges, wanted):
    """Yield ranges, whole or cut, that may be moved to shift a load of `wanted`."""
    yield from ranges
    # Where keys are busy, a short part of a range is enough.
    for first, last in nlargest(MAX_RANGES_TO_CUT, ranges, key=lambda r: loads.of(*r)):
        yield from _head_and_tail(loads, first, last, wanted)
        low = bisect_left(loads.busy_keys, first)
        high = bisect_right(loads.busy_keys, last)
        start = low
        for end in range(low, high):
            while start < end and _busy_load(loads, start, end) > wanted:
                start += 1
            if _busy_load(loads, start, end) <= wanted:
                yield loads.busy_keys[start], loads.busy_keys[end]


def _busy_load(loads, start, end):
    """Return the load of the busy keys at the indexes `start` to `end`."""
    return loads.prefix_sums[end + 1] - loads.prefix_sums[start]


def _head_and_tail(loads, first, last, wanted):
    """Yield the longest head and tail of a range with a load of at most `wanted`.

    Yields nothing if the load of the whole range is not larger.
    """
    if loads.of(first, last) <= wanted:
        return
    low, high = first, last
    while low < high:
        middle = (low + high + 1) // 2
        if loads.of(first, middle) <= wanted:
            low = middle
        else:
            high = middle - 1
    if loads.of(first, low) <= wanted:
        yield first, low
    low, high = first, last
    while low < high:
        middle = (low + high) // 2
        if loads.of(middle, last) <= wanted:
            high = middle
        else:
            low = middle + 1
    if loads.of(low, last) <= wanted:
        yield low, last
