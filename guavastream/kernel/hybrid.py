"""A hybrid logical clock, which orders events of all processes causally."""

import threading
import time

__all__ = ["HybridClock"]

LOGICAL_BITS = 12


class HybridClock:
    """Clock close to wall time that never goes back nor falls behind its peers.

    Parameters
    ----------
    wall : callable, optional
        Returns the wall time in nanoseconds.

    Notes
    -----
    A stamp is an integer: microseconds since the epoch, shifted left by 12 bits to
    make room for the logical counter. Both methods run in O(1).

    References
    ----------
    .. [1] S. Kulkarni, M. Demirbas et al., "Logical Physical Clocks",
       OPODIS 2014.

    Examples
    --------
    >>> clock = HybridClock(wall=lambda: 5_000)
    >>> first = clock.stamp()
    >>> clock.observe(first + 100)
    >>> clock.stamp() > first + 100
    True
    """

    def __init__(self, *, wall=time.time_ns):
        self._wall = wall
        self._last = 0
        self._lock = threading.Lock()

    def stamp(self):
        """Return a stamp later than all returned or observed before."""
        now = (self._wall() // 1000) << LOGICAL_BITS
        with self._lock:
            self._last = max(self._last + 1, now)
            return self._last

    def observe(self, stamp):
        """Advance the clock to a stamp received from a peer, if that is later."""
        with self._lock:
            self._last = max(self._last, stamp)
