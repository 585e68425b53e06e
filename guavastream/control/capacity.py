"""Estimates of the load that each server of a keyed service can bear."""

__all__ = ["CapacityEstimator"]

# Requests per second assumed for a slot before any latency has been reported.
DEFAULT_SLOT_RATE = 8.0
# A server that reports itself as cold works at about half its speed.
COLD_CAPACITY_FACTOR = 0.5
# Lower bound of a capacity, in requests per second.
MIN_CAPACITY = 0.1


class CapacityEstimator:
    """Estimates capacities from latencies, heartbeats and the limits of servers.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> from guavastream.fleet import Instance
    >>> a, b = (
    ...     Instance(
    ...         id=id, service="s", host="", door="", address="", zone="", slots=5
    ...     )
    ...     for id in "ab"
    ... )
    >>> estimator = CapacityEstimator(clock=lambda: 0.0)
    >>> estimator.note_latency("a", 0.1)
    >>> estimator.note_cold("b", 3.0)
    >>> estimator.capacities([a, b], cold_rate=7.5)
    {'a': 50.0, 'b': 7.5}
    >>> estimator.set_rate_limit("a", 15.2)
    >>> estimator.capacities([a])
    {'a': 15.2}
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._latency = {}
        self._cold_until = {}
        self._rate_limits = {}

    def note_latency(self, id, seconds):
        """Note the smoothed time that a server takes for a request."""
        self._latency[id] = seconds

    def note_cold(self, id, seconds):
        """Note for how long a server stays cold."""
        self._cold_until[id] = self._clock() + seconds

    def set_rate_limit(self, id, rate):
        """Set the requests per second that a server says it takes; None lifts it."""
        self._rate_limits.pop(id, None)
        if rate is not None:
            self._rate_limits[id] = rate

    def is_rate_limited(self, id):
        """Whether a server says that it takes only so many requests per second."""
        return id in self._rate_limits

    def capacities(self, servers, cold_rate=0.0, learned=None):
        """Return the requests per second that each server can process, by ID.

        Parameters
        ----------
        servers : list of Instance
            Servers of one service.
        cold_rate : float
            Requests per second that a cold server tolerates; 0 if there is no limit.
        learned : dict of str to float, optional
            Seconds for which a request occupies a slot, by server, from the learned
            speeds. Replaces the smoothed times that the servers report.
        """
        latency = learned or self._latency
        known = sorted(latency[s.id] for s in servers if s.id in latency)
        median = known[len(known) // 2] if known else 1 / DEFAULT_SLOT_RATE
        now = self._clock()
        capacities = {}
        for server in servers:
            rate = server.slots / latency.get(server.id, median)
            if self._cold_until.get(server.id, 0.0) > now:
                rate = min(rate * COLD_CAPACITY_FACTOR, cold_rate or rate)
            rate = min(rate, self._rate_limits.get(server.id, rate))
            capacities[server.id] = max(rate, MIN_CAPACITY)
        return capacities
