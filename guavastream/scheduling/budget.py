"""Limits the retries of one host to its share of the budget of all hosts."""

__all__ = ["RetryBudget"]

# Share of the configured retry ratio that one host uses. The operators' limit applies
# to all hosts together and includes calls that are made again by retried requests.
LOCAL_RATIO_SHARE = 0.5
# Largest number of saved tokens; they let a service with little traffic retry at all.
MAX_TOKENS = 3.0


class RetryBudget:
    """Token bucket of one service: requests earn tokens, retries spend them.

    Parameters
    ----------
    ratio : float
        Retries per request that all hosts together may make.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.2)
    >>> [budget.spend() for _ in range(4)]
    [True, True, True, False]
    >>> for _ in range(11):
    ...     budget.earn()
    >>> budget.spend()
    True
    """

    def __init__(self, *, ratio):
        self._tokens_per_request = ratio * LOCAL_RATIO_SHARE
        self._tokens = MAX_TOKENS

    @property
    def has_token(self):
        """Whether a retry may be made now."""
        return self._tokens >= 1

    def earn(self):
        """Add the tokens that one request earns."""
        self._tokens = min(self._tokens + self._tokens_per_request, MAX_TOKENS)

    def spend(self):
        """Take one token; return whether there was one."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True
