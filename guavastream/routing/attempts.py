"""What is known of each attempt, and whether another one is allowed."""

import threading
from enum import Enum

from guavastream.routing.outcomes import Ran

__all__ = ["Knowledge", "RetryBudget", "may_try_again"]


class Knowledge(Enum):
    """How far an attempt is known to have come."""

    NOT_SENT = "not sent"
    NOT_RUN = "refused as not run"
    SENT = "sent"
    ANSWERED = "answered"


def may_try_again(knowledge, *, idempotent):
    """Whether a request may be sent again after an attempt.

    Parameters
    ----------
    knowledge : Knowledge
        What is known of the attempt.
    idempotent : bool
        Whether the request may run more than once.

    Examples
    --------
    >>> may_try_again(Knowledge.SENT, idempotent=False)
    False
    >>> may_try_again(Knowledge.NOT_RUN, idempotent=False)
    True
    """
    if knowledge in (Knowledge.NOT_SENT, Knowledge.NOT_RUN):
        return True
    return knowledge is Knowledge.SENT and idempotent


def outcome_of(knowledge):
    """Return what a caller may be told after a last attempt."""
    if knowledge in (Knowledge.NOT_SENT, Knowledge.NOT_RUN):
        return Ran.NOT_RUN
    return Ran.UNKNOWN if knowledge is Knowledge.SENT else Ran.ANSWERED


class RetryBudget:
    """Bounds retries to a share of fresh traffic, for one service.

    A count per request multiplies load just when a service fails; a share of
    the fresh traffic bounds what the service sees at 1 + `share` times that.

    Parameters
    ----------
    share : float
        Retries earned by each fresh request.
    reserve : float
        Retries that may be saved up, also the stock at the start.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(), budget.earn(), budget.spend()
    (None, None, True)
    """

    def __init__(self, *, share=0.2, reserve=10.0):
        self._share = share
        self._reserve = reserve
        self._stock = reserve
        self._lock = threading.Lock()

    def earn(self):
        """Count one fresh request."""
        with self._lock:
            self._stock = min(self._reserve, self._stock + self._share)

    def spend(self):
        """Take one retry; return False if none is left."""
        with self._lock:
            if self._stock < 1:
                return False
            self._stock -= 1
            return True
