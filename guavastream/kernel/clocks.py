"""Steady time that also runs while a host is suspended."""

import time

__all__ = ["steady_time"]


def steady_time():
    """Return seconds of a clock that never jumps and never stops.

    A host that was suspended must find its leases run out; the monotonic
    clock of the loop does not count that time.

    Examples
    --------
    >>> steady_time() <= steady_time()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
