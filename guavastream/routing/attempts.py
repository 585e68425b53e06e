"""What is known of each attempt, and whether another one is allowed."""

import threading
from enum import Enum

from guavastream.routing.outcomes import REFUSALS, Ran, Refused

__all__ = ["Attempts", "Knowledge", "RetryBudget", "may_try_again"]


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


class Attempts:
    """All that is known of one request's attempts.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.

    Examples
    --------
    >>> attempts = Attempts(idempotent=True)
    >>> attempts.note("answer_lost", Knowledge.SENT)
    >>> attempts.note("unreachable", Knowledge.NOT_SENT)
    >>> attempts.final().refusal.code
    'answer_lost'
    """

    def __init__(self, *, idempotent):
        self._idempotent = idempotent
        self._code = ""
        self._knowledge = None
        self._confirmed = False
        self._sent_code = ""

    @property
    def code(self):
        """Code of the last attempt."""
        return self._code

    @property
    def knowledge(self):
        """What is known of the last attempt."""
        return self._knowledge

    @property
    def may_try_again(self):
        """Whether what is known allows another attempt."""
        return may_try_again(self._knowledge, idempotent=self._idempotent)

    def note(self, code, knowledge, *, confirmed=False):
        """Note how an attempt ended; see `Refused` for `confirmed`."""
        self._code, self._knowledge, self._confirmed = code, knowledge, confirmed
        if knowledge is Knowledge.SENT:
            self._sent_code = code

    def note_refused(self, refused):
        """Note an attempt that ended with a `Refused`."""
        self.note(refused.refusal.code, Knowledge.NOT_RUN, confirmed=refused.confirmed)

    def final(self):
        """Return the refusal that says the truth about all attempts.

        One attempt that was sent may have run. That a later one could not
        even be sent must not turn this into "not run".
        """
        if not self._sent_code:
            return Refused(self._code, confirmed=self._confirmed)
        if REFUSALS[self._sent_code].ran is Ran.NOT_RUN:
            return Refused("answer_lost")
        return Refused(self._sent_code)


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
