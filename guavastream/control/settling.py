"""How long to wait for further servers before a service's keys are first granted."""

__all__ = ["SettlingTimer"]

# Pause between joins after which no further server is expected soon, as a share of
# the initial wait. Platforms start the servers of a service one after another.
QUIET_SHARE = 0.5
# Longest wait in total, as a multiple of the initial wait: a service whose servers
# join for minutes must not stay without keys until the last one has joined.
MAX_WAIT_FACTOR = 4.0


class SettlingTimer:
    """Tracks the joins of servers to services whose keys were never granted.

    Without it, only the servers that had joined within the initial wait received
    keys. With 53 servers that joined over 1.8 s, the last 19 got a third of the load
    of the others once requests came.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    initial_wait : float
        Shortest wait after the first join, seconds.

    Examples
    --------
    >>> now = 0.0
    >>> timer = SettlingTimer(clock=lambda: now, initial_wait=1.0)
    >>> timer.note_join("s")
    >>> now = 0.9
    >>> timer.note_join("s")
    >>> now = 1.1
    >>> timer.is_settling("s")
    True
    >>> now = 1.5
    >>> timer.is_settling("s")
    False
    """

    def __init__(self, *, clock, initial_wait):
        self._clock = clock
        self._initial_wait = initial_wait
        self._first_join = {}
        self._last_join = {}

    def clear(self):
        """Forget all joins, at the start of a term."""
        self._first_join.clear()
        self._last_join.clear()

    def note_join(self, service):
        """Note that a server has joined a service."""
        self._first_join.setdefault(service, self._clock())
        self._last_join[service] = self._clock()

    def is_settling(self, service):
        """Whether further servers of a service are expected to join soon."""
        now = self._clock()
        # A new leader knows no joins; it waits from the first time it asks.
        waited = now - self._first_join.setdefault(service, now)
        if waited < self._initial_wait:
            return True
        quiet = now - self._last_join.get(service, float("-inf"))
        return (
            quiet < QUIET_SHARE * self._initial_wait
            and waited < MAX_WAIT_FACTOR * self._initial_wait
        )
