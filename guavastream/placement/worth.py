"""Weighs what a move of keys gains against the requests that it makes late."""

import math

__all__ = ["is_worthwhile"]

# Time for which a gain counts. Demand differs between zones for 15 s at a time; in the
# middle of such a period half of it is left.
HORIZON_SECONDS = 8.0
# Time during which moved keys have no owner that serves them: release, commit, grant.
UNAVAILABLE_SECONDS = 0.3
# Time during which requests for keys without a handover are slow: the middle of the 3
# to 5 s that servers need. About a third of them are then late and lose about 0.7 of
# their value.
SLOW_SECONDS = 4.0
SLOW_LOSS = 0.25
# Multiple of the noise of loads by which the source is assumed to be less utilized and
# the target more than they seem. Without this, most moves between evenly loaded servers
# followed the noise.
NOISE_SIGMAS = 1.0
# Utilization (fraction of busy slots) from which on some requests wait, and from which
# on each further one makes another one late.
FREE_UTILIZATION = 0.5
FULL_UTILIZATION = 0.75


def _late_rate(utilization, capacity):
    """Return how many requests per second are late at a server, about.

    Zero up to `FREE_UTILIZATION`, then a parabola whose slope reaches one at
    `FULL_UTILIZATION`, then a straight line.
    """
    excess = max(0.0, utilization - FREE_UTILIZATION)
    span = FULL_UTILIZATION - FREE_UTILIZATION
    if excess <= span:
        return capacity * excess * excess / (2 * span)
    return capacity * (excess - span / 2)


def _noise(utilization, capacity, seconds):
    """Return the standard deviation of a utilization due to random requests."""
    # Utilizations that were reduced by subtraction may end just below 0.
    return math.sqrt(max(0.0, utilization) / capacity / (2 * seconds))


def is_worthwhile(load, *, source, target, seconds):
    """Return whether a move makes fewer requests late than it costs.

    Parameters
    ----------
    load : float
        Requests per second for the moved keys.
    source, target : tuple of float
        Utilization before the move, and requests per second that the server can
        process.
    seconds : float
        Time constant over which the loads are averaged.

    Examples
    --------
    >>> is_worthwhile(10.0, source=(1.1, 50.0), target=(0.5, 50.0), seconds=2.0)
    True
    >>> is_worthwhile(10.0, source=(0.6, 50.0), target=(0.4, 50.0), seconds=2.0)
    False
    """
    (source_utilization, source_capacity) = source
    (target_utilization, target_capacity) = target
    source_utilization -= NOISE_SIGMAS * _noise(*source, seconds)
    target_utilization += NOISE_SIGMAS * _noise(*target, seconds)
    before = _late_rate(source_utilization, source_capacity)
    before += _late_rate(target_utilization, target_capacity)
    after = _late_rate(source_utilization - load / source_capacity, source_capacity)
    after += _late_rate(target_utilization + load / target_capacity, target_capacity)
    # Requests that an overloaded source refuses anyway are not lost by the move.
    served = load / max(1.0, source_utilization)
    cost = served * (UNAVAILABLE_SECONDS + SLOW_SECONDS * SLOW_LOSS)
    return (before - after) * HORIZON_SECONDS > cost
