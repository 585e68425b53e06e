"""Requests for each key, smoothed over the last seconds."""

import math

__all__ = ["KeyLoads"]

# Time over which requests are averaged. Busy keys change within seconds, so
# that older ones tell little; shorter, the noise of single requests decides.
WINDOW_SECONDS = 2.0
# A key below this is counted with the rest, requests a second.
FLOOR = 0.4


class KeyLoads:
    """What the processes beside the servers of one service reported.

    Parameters
    ----------
    clock : callable
        Steady time in seconds.

    Examples
    --------
    >>> now = 0.0
    >>> loads = KeyLoads(clock=lambda: now)
    >>> loads.note(((7, 40),), 4)
    >>> loads.busy()
    ({7: 20.0}, 2.0)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._keys = {}
        self._rest = 0.0
        self._at = clock()

    def _decay(self):
        now = self._clock()
        factor = math.exp((self._at - now) / WINDOW_SECONDS)
        self._at = now
        if factor > 0.999:
            return
        self._rest *= factor
        self._keys = {
            key: value * factor
            for key, value in self._keys.items()
            if value * factor > FLOOR / 4
        }

    def note(self, keys, rest):
        """Count requests: pairs of key and count, and those for other keys."""
        self._decay()
        for key, count in keys:
            self._keys[key] = self._keys.get(key, 0.0) + count / WINDOW_SECONDS
        self._rest += rest / WINDOW_SECONDS

    def busy(self):
        """Return requests a second of each busy key, and of all others."""
        self._decay()
        busy = {key: value for key, value in self._keys.items() if value >= FLOOR}
        rest = self._rest + sum(v for v in self._keys.values() if v < FLOOR)
        return busy, rest
