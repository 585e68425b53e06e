"""A monotonic clock that also runs while the host is suspended."""

import time

__all__ = ["steady_time"]


def steady_time():
    """Return the time in seconds since boot, including time spent suspended.

    Leases must expire while a host is suspended. The monotonic clock of the event
    loop does not count that time.

    Examples
    --------
    >>> steady_time() <= steady_time()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
