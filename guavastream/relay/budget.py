"""Each host's share of the second tries that all hosts may make together."""

__all__ = ["RetryShare"]

# Share of its own requests that a host may send once more. The operators'
# bound is for all hosts and for calls that repeated requests make again, so
# a host keeps to half of it.
KEPT_SHARE = 0.5
# Tries that may be saved up, so that a quiet service can retry at all.
SAVED = 3.0


class RetryShare:
    """Tokens earned by requests and spent by second tries, for one service.

    Parameters
    ----------
    ratio : float
        Second tries that all hosts may make for each request.

    Examples
    --------
    >>> share = RetryShare(ratio=0.2)
    >>> [share.spend() for _ in range(4)]
    [True, True, True, False]
    >>> for _ in range(11):
    ...     share.earn()
    >>> share.spend()
    True
    """

    def __init__(self, *, ratio):
        self._earned = ratio * KEPT_SHARE
        self._tokens = SAVED

    def earn(self):
        """Count a request."""
        self._tokens = min(self._tokens + self._earned, SAVED)

    def spend(self):
        """Take a token; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
