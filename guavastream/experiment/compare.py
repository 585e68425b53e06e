"""Compares the results of two policies over the same seeds."""

import math
import statistics
from dataclasses import dataclass

__all__ = ["Difference", "paired_difference"]

# Critical values of Student's t for a two-sided 95% confidence interval, for 1, 2, ...
# degrees of freedom. For more of them the normal distribution is close enough.
STUDENT_T_95 = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
    2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09,
)  # fmt: skip
NORMAL_95 = 1.96


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """Mean of paired differences, and half the width of its 95% confidence interval."""

    mean: float
    half_width: float

    @property
    def is_significant(self):
        """Whether the confidence interval excludes zero."""
        return abs(self.mean) > self.half_width


def paired_difference(before, after):
    """Return the mean `Difference` of paired values and its confidence interval.

    Parameters
    ----------
    before, after : list of float
        Values of equal length; those with the same index form a pair.

    Examples
    --------
    >>> found = paired_difference([1.0, 2.0, 3.0], [1.5, 2.5, 3.5])
    >>> found.mean, found.half_width, found.is_significant
    (0.5, 0.0, True)
    """
    changes = [b - a for a, b in zip(before, after, strict=True)]
    mean = statistics.fmean(changes)
    if len(changes) < 2:
        return Difference(mean=mean, half_width=math.inf)
    degrees_of_freedom = len(changes) - 1
    critical_value = (
        STUDENT_T_95[degrees_of_freedom - 1]
        if degrees_of_freedom <= len(STUDENT_T_95)
        else NORMAL_95
    )
    half_width = critical_value * statistics.stdev(changes) / math.sqrt(len(changes))
    return Difference(mean=mean, half_width=half_width)
