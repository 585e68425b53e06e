"""Cuts hot adjacent keys apart and spreads them over many servers in one plan."""

import heapq
from bisect import bisect_left, bisect_right

from guavastream.fleet import subtract_range
from guavastream.placement.worth import is_worthwhile

__all__ = ["spread_hot_keys"]

# A server is relieved here if its excess load is larger than this multiple of what any
# other server can take; smaller ones are relieved by single moves.
MIN_TARGETS = 1.5
# Utilization, as a share of the mean, down to which a server is relieved. What the
# estimate of many hot keys is short of stays with their former server alone.
SOURCE_SHARE = 0.5
# Number of windows of hot keys that are cut off one server in a plan. Adjacent keys lie
# in one or two of its ranges.
MAX_WINDOWS = 4
# Share of the busy load of a range that a window covers at most, so that a few busy
# keys far from the hot ones do not stretch it.
MAX_WINDOW_SHARE = 0.95
# Share of the busy load of a range from which on nearly all of it is moved, if that
# much is in excess. In the first moments of a rise its size is uncertain by a third,
# and all of that error would stay with the former server.
MIN_WHOLE_SHARE = 0.5
# Share of the excess below which a window is not worth cutting.
MIN_WINDOW_SHARE = 0.1
# Load of a piece for a server that is at the mean already, as a share of the mean: if
# the estimates leave no room below the mean, the rest is divided evenly.
SPILL_SHARE = 0.2
# Number of pieces in succession that no server can take at a gain, after which the rest
# of a window is left where it is.
MAX_FAILURES = 3


def spread_hot_keys(
    view, loads, utilization, range_counts, held, *, budget, bound, mean, max_ranges
):
    """Return moves of hot adjacent keys from overloaded servers to all others.

    `utilization`, `range_counts` and `held` are updated for the moves.

    Parameters
    ----------
    view : KeyRangeView
        The state that is planned from.
    loads : object
        Loads of key ranges and prefix sums of the busy keys.
    utilization, range_counts : dict of str to float
        Utilization and number of ranges of each server.
    held : dict of str to list
        Ranges (first, last) that may be moved, by server.
    budget : int
        Maximum number of moves.
    bound : float
        Utilization above which a server is relieved.
    mean : float
        Mean utilization.
    max_ranges : int
        Number of ranges at which a server receives no more.

    Notes
    -----
    O(ranges log keys) to find the windows, and O(servers) for each move.
    """
    moves = []
    for source in sorted(utilization, key=utilization.get, reverse=True):
        if utilization[source] < bound or len(moves) >= budget:
            break
        targets = [
            ((utilization[s] - mean) * view.capacity[s], s)
            for s in view.capacity
            if s != source and range_counts[s] < max_ranges and utilization[s] < mean
        ]
        heapq.heapify(targets)
        for _ in range(MAX_WINDOWS):
            excess = utilization[source] - SOURCE_SHARE * mean
            excess *= view.capacity[source]
            # A source that has fallen below its share has nothing more to give away.
            if not targets or excess <= 0 or excess < -MIN_TARGETS * targets[0][0]:
                break
            window = _hot_window(loads, held[source], excess)
            if window is None:
                break
            cutter = _Cutter(view, loads, utilization, source, targets, mean)
            pieces = cutter.cut(*window, budget=budget - len(moves))
            for first, last, target in pieces:
                moves.append((first, last, target))
                range_counts[target] += 1
                held[source] = subtract_range(held[source], (first, last))
            range_counts[source] += 1
            if not pieces:
                break
    return moves


def _hot_window(loads, ranges, excess):
    """Return the indexes of the closest busy keys in one range that have the excess.

    Returns None if all busy keys of any range together have hardly any of it.
    """
    best, best_load = None, 0.0
    for first, last in ranges:
        low = bisect_left(loads.busy_keys, first)
        high = bisect_right(loads.busy_keys, last)
        load = loads.prefix_sums[high] - loads.prefix_sums[low]
        if load > best_load:
            best, best_load = (low, high), load
    if best is None or best_load < MIN_WINDOW_SHARE * excess:
        return None
    wanted = MAX_WINDOW_SHARE * best_load
    if excess < MIN_WHOLE_SHARE * best_load:
        wanted = min(excess, wanted)
    low, high = best
    start, found = low, None
    for end in range(low, high):
        while loads.prefix_sums[end + 1] - loads.prefix_sums[start + 1] >= wanted:
            start += 1
        if loads.prefix_sums[end + 1] - loads.prefix_sums[start] >= wanted:
            length = loads.busy_keys[end] - loads.busy_keys[start]
            if found is None or length < found[0]:
                found = length, start, end
    return found and found[1:]


class _Cutter:
    """Cuts one window of hot keys into pieces that fit the least loaded servers."""

    def __init__(self, view, loads, utilization, source, targets, mean):
        self._view = view
        self._loads = loads
        self._utilization = utilization
        self._source = source
        # Heap of (load above the mean, server), of servers that were below the mean.
        self._targets = targets
        self._mean = mean

    def cut(self, start, end, *, budget):
        """Return moves (first, last, target) of the busy keys at `start` to `end`."""
        keys, sums = self._loads.busy_keys, self._loads.prefix_sums
        pieces, failures = [], 0
        while start <= end and failures < MAX_FAILURES and len(pieces) < budget:
            above, target = self._targets[0]
            spill = SPILL_SHARE * self._mean * self._view.capacity[target]
            stop = start
            while stop < end and sums[stop + 2] - sums[start] <= max(-above, spill):
                stop += 1
            # No keys between two pieces are left behind.
            last = keys[stop] if stop == end else keys[stop + 1] - 1
            load = self._loads.of(keys[start], last)
            index = 0
            if stop == start and load > max(-above, spill):
                # A single key is too much for it, but may be less so for a faster one.
                index = self._best_target(load)
                target = self._targets[index][1]
            if self._may_move(load, target):
                pieces.append((keys[start], last, target))
                self._move(load, index)
                failures = 0
            else:
                failures += 1
            start = stop + 1
        return pieces

    def _best_target(self, load):
        """Return the index of the target that a load leaves least utilized."""
        utilization, capacity = self._utilization, self._view.capacity

        def utilization_after(index):
            target = self._targets[index][1]
            return utilization[target] + load / capacity[target]

        return min(range(len(self._targets)), key=utilization_after)

    def _may_move(self, load, target):
        utilization, capacity = self._utilization, self._view.capacity
        source = self._source
        if utilization[target] + load / capacity[target] >= utilization[source]:
            return False
        return is_worthwhile(
            load,
            source=(utilization[source], capacity[source]),
            target=(utilization[target], capacity[target]),
            seconds=self._view.load_seconds,
        )

    def _move(self, load, index):
        utilization, capacity = self._utilization, self._view.capacity
        target = self._targets[index][1]
        utilization[self._source] -= load / capacity[self._source]
        utilization[target] += load / capacity[target]
        above = (utilization[target] - self._mean) * capacity[target]
        self._targets[index] = (above, target)
        heapq.heapify(self._targets)
