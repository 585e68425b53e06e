"""Differences between two policies over the same seeds."""

import math
import statistics
from dataclasses import dataclass

__all__ = ["Difference", "difference"]

# Two-sided 95% quantiles of Student's t, by degrees of freedom; beyond the
# last the normal one is close enough.
STUDENT_95 = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
    2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09,
)  # fmt: skip
NORMAL_95 = 1.96


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """Mean of paired differences, and half the width of its 95% interval."""

    mean: float
    half: float

    @property
    def is_clear(self):
        """Whether zero lies outside of the interval."""
        return abs(self.mean) > self.half


def difference(before, after):
    """Return the `Difference` of values that belong together pair by pair.

    Examples
    --------
    >>> found = difference([1.0, 2.0, 3.0], [1.5, 2.5, 3.5])
    >>> found.mean, found.half, found.is_clear
    (0.5, 0.0, True)
    """
    changes = [b - a for a, b in zip(before, after, strict=True)]
    mean = statistics.fmean(changes)
    if len(changes) < 2:
        return Difference(mean=mean, half=math.inf)
    free = len(changes) - 1
    quantile = STUDENT_95[free - 1] if free <= len(STUDENT_95) else NORMAL_95
    half = quantile * statistics.stdev(changes) / math.sqrt(len(changes))
    return Difference(mean=mean, half=half)
