"""Where runs of keys go: by load, in few rows, with little churn.

It answers loads in which few keys that lie close together get a large share
of a service's requests for some seconds, and servers that differ in speed,
slow down, join and leave.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from heapq import nlargest

from guavastream.fleet import KEYS, rows_without
from guavastream.kernel import Policy

__all__ = ["RunPlan", "RunView", "plan_runs"]

# Rows that all servers together get when all keys are handed out for the
# first time, and bounds for one of them. Busy keys lie close together, so
# many small rows spread them before anything was measured.
FIRST_ROWS_OF_ALL = 200
LEAST_FIRST_ROWS = 4
MOST_FIRST_ROWS = 12
# Rows beyond which no server gets more for the sake of balance; a
# heartbeat's answer must stay within 4 KiB, which is about 90 rows.
MOST_ROWS = 75
# Share of the load that is spread over all keys evenly, so that keys without
# requests count for something and new servers get their part of them.
EVEN_SHARE = 0.1
# A server is relieved when its use lies above the mean by this factor. With
# less, noise in a second's worth of requests moves keys to and fro.
HYSTERESIS = 1.15
# Use (share of slots that are busy) below which load is left where it is:
# at half use hardly any request waits.
CALM_USE = 0.35
# Moves that are started at once for one service.
MOST_MOVES = 10
# A window is taken if its load is within this factor of what is wanted; if
# none is, the largest below it, from this part of it on.
FIT = 1.25
LEAST_PART = 0.1
# Rows that are looked at for a piece to cut off, the busiest ones.
MOST_CUT = 8
# A key that no other server could serve beside its own keys moves to the
# fastest one if it takes that much less of it, in shares of a server.
LEAST_GAIN = 0.1


@dataclass(frozen=True, kw_only=True)
class RunView:
    """What is known of one service.

    Parameters
    ----------
    runs : tuple of Run
        All keys with their owners.
    capacity : dict of str to float
        Requests a second that each server can do; leaving ones are not there.
    absent : frozenset of str
        Silent servers, which neither get keys nor give any.
    load : dict of int to float
        Requests a second for each busy key.
    rest : float
        Requests a second for all other keys together, spread evenly.
    areas : tuple of float
        Requests a second for other keys, by equal parts of all keys.
    moving : dict of tuple to str
        Rows (first, last) that are on the move, and their targets.
    policy : Policy
        Mechanisms that are in force.
    """

    runs: tuple
    capacity: dict
    absent: frozenset = frozenset()
    load: dict = field(default_factory=dict)
    rest: float = 0.0
    areas: tuple = ()
    moving: dict = field(default_factory=dict)
    policy: Policy = Policy()


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """Free rows to grant and held rows to move, (first, last, to)."""

    grants: tuple = ()
    moves: tuple = ()


class _Loads:
    """Load of any row, from prefix sums over busy keys and over areas."""

    def __init__(self, view):
        self.keys = sorted(view.load)
        self.sums = [0.0]
        for key in self.keys:
            self.sums.append(self.sums[-1] + view.load[key])
        rare = view.areas or (0.0,)
        if not view.policy.areas:
            rare = (sum(rare),)
        total = self.sums[-1] + view.rest + sum(rare)
        even = (max(total, 1.0) * EVEN_SHARE + view.rest) / len(rare)
        self._area_keys = KEYS / len(rare)
        self._area_sums = [0.0]
        for rate in rare:
            self._area_sums.append(self._area_sums[-1] + rate + even)
        self._area_sums.append(self._area_sums[-1])

    def of(self, first, last):
        low, high = bisect_left(self.keys, first), bisect_right(self.keys, last)
        busy = self.sums[high] - self.sums[low]
        return busy + self._below(last + 1) - self._below(first)

    def _below(self, key):
        """Return the load of rare keys below `key`."""
        area, part = divmod(key / self._area_keys, 1)
        before, after = self._area_sums[int(area) : int(area) + 2]
        return before + part * (after - before)


def plan_runs(view):
    """Return the `RunPlan` for a `RunView`.

    Notes
    -----
    O(runs log keys + busy keys) and a constant number of moves.

    References
    ----------
    .. [1] R. L. Graham, "Bounds on Multiprocessing Timing Anomalies", SIAM
       Journal on Applied Mathematics 17, 1969.

    Examples
    --------
    >>> from guavastream.fleet import Run
    >>> view = RunView(
    ...     runs=(Run(first=0, last=KEYS - 1),), capacity={"a": 1.0, "b": 1.0}
    ... )
    >>> plan = plan_runs(view)
    >>> len(plan.grants), sorted({row[2] for row in plan.grants})
    (24, ['a', 'b'])
    """
    if not view.capacity:
        return RunPlan()
    loads = _Loads(view)
    use = dict.fromkeys(view.capacity, 0.0)
    rows = dict.fromkeys(view.capacity, 0)
    free, stranded, held = [], [], {member: [] for member in view.capacity}
    for first, last, owner, _ in _pieces(view):
        if owner in use:
            use[owner] += loads.of(first, last) / view.capacity[owner]
            rows[owner] += 1
        if owner == "":
            free.append((first, last))
    for run in view.runs:
        if not run.owner or _is_moving(view, run):
            continue
        if run.owner in held:
            held[run.owner].append((run.first, run.last))
        elif run.owner not in view.absent:
            stranded.append((run.first, run.last))
    grants = _spread(view, loads, use, rows, _chunks(view, free))
    moves = _spread(view, loads, use, rows, stranded)
    if not free and not stranded and view.policy.balance:
        moves = _balance(view, loads, use, rows, held)
    return RunPlan(grants=tuple(grants), moves=tuple(moves))


def _pieces(view):
    """Yield first, last, future owner and present owner of every run."""
    for run in view.runs:
        target = view.moving.get((run.first, run.last))
        yield run.first, run.last, target or run.owner, run.owner


def _is_moving(view, run):
    return any(run.overlaps(first, last) for first, last in view.moving)


def _chunks(view, free):
    """Cut long free rows, so that keys that lie close spread over servers."""
    count = len(view.capacity)
    rows = min(MOST_FIRST_ROWS, max(LEAST_FIRST_ROWS, FIRST_ROWS_OF_ALL // count))
    size = max(1, KEYS // (count * rows))
    for first, last in free:
        while last - first + 1 >= 2 * size:
            yield first, first + size - 1
            first += size
        yield first, last


def _spread(view, loads, use, rows, pieces):
    """Give each piece to the server that is least used with it, largest first."""
    chosen = []
    for first, last in sorted(pieces, key=lambda p: loads.of(*p), reverse=True):
        load = loads.of(first, last)
        member = min(
            use, key=lambda m: (rows[m] >= MOST_ROWS, use[m] + load / view.capacity[m])
        )
        use[member] += load / view.capacity[member]
        rows[member] += 1
        chosen.append((first, last, member))
    return chosen


def _balance(view, loads, use, rows, held):
    moves = []
    capacity = view.capacity
    mean = loads.of(0, KEYS - 1) / sum(capacity.values())
    bound = max(mean * HYSTERESIS, CALM_USE)
    while len(moves) + len(view.moving) < MOST_MOVES:
        full = max(use, key=use.get)
        idle = min(use, key=lambda m: (rows[m] >= MOST_ROWS, use[m]))
        empty = rows[idle] == 0
        if not empty and use[full] < bound:
            break
        if rows[idle] >= MOST_ROWS or full == idle:
            break
        wanted = min(
            (use[full] - mean) * capacity[full], (mean - use[idle]) * capacity[idle]
        )
        window, target = _window(loads, held[full], wanted), idle
        if window is None or not _relieves(view, loads, use, full, window, idle):
            window, target = _hottest(view, loads, held[full], full)
        if window is None:
            break
        moved = loads.of(*window)
        moves.append((*window, target))
        use[full] -= moved / capacity[full]
        use[target] += moved / capacity[target]
        rows[target] += 1
        rows[full] += 1
        held[full] = rows_without(held[full], window)
    return moves


def _relieves(view, loads, use, full, window, target):
    """Whether a move leaves its target below where its source was."""
    return use[target] + loads.of(*window) / view.capacity[target] < use[full]


def _hottest(view, loads, rows, full):
    """Return the busiest key of a server as a row, and where it does better.

    One key that is more than its server can do cannot be cut; what helps is
    the fastest server, whose other keys make room for it afterwards.
    """
    keys = [
        key
        for first, last in rows
        for key in loads.keys[
            bisect_left(loads.keys, first) : bisect_right(loads.keys, last)
        ]
    ]
    hottest = max(keys, key=view.load.get, default=None)
    if hottest is None or not view.policy.hottest:
        return None, None
    load = view.load[hottest]
    alone = load / view.capacity[full]
    target = max(view.capacity, key=view.capacity.get)
    gain = alone - load / view.capacity[target]
    if target == full or gain < LEAST_GAIN or alone < CALM_USE:
        return None, None
    return (hottest, hottest), target


def _window(loads, rows, wanted):
    """Return the shortest row whose load is about `wanted`, or None.

    Where none fits, the row of most load below it.
    """
    if wanted <= 0:
        return None
    best, shortest = None, KEYS + 1
    spare, spare_load = None, 0.0
    for window in _candidates(loads, rows, wanted):
        found = loads.of(*window)
        if found > wanted * FIT:
            continue
        if found > spare_load:
            spare, spare_load = window, found
        span = window[1] - window[0] + 1
        if found >= wanted / FIT and span < shortest:
            best, shortest = window, span
    if best is None and spare_load < wanted * LEAST_PART:
        return None
    return best or spare


def _candidates(loads, rows, wanted):
    """Yield rows that may be moved for a load of `wanted`."""
    yield from rows
    # Where keys are busy, a short piece is enough.
    for first, last in nlargest(MOST_CUT, rows, key=lambda row: loads.of(*row)):
        yield from _ends(loads, first, last, wanted)
        low = bisect_left(loads.keys, first)
        high = bisect_right(loads.keys, last)
        start = low
        for end in range(low, high):
            while start < end and _sum(loads, start, end) > wanted:
                start += 1
            if _sum(loads, start, end) <= wanted:
                yield loads.keys[start], loads.keys[end]


def _sum(loads, start, end):
    return loads.sums[end + 1] - loads.sums[start]


def _ends(loads, first, last, wanted):
    """Yield the longest head and tail of a row that hold at most `wanted`."""
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
