"""Tracks the attempts of a request and decides whether it may be retried."""

import threading
from enum import Enum

from guavastream.routing.outcomes import REFUSALS, Refused, RunStatus

__all__ = ["AttemptState", "Attempts", "RetryBudget", "may_try_again"]


class AttemptState(Enum):
    """How far an attempt is known to have progressed."""

    NOT_SENT = "not sent"
    NOT_RUN = "refused as not run"
    SENT = "sent"
    ANSWERED = "answered"


def may_try_again(state, *, idempotent):
    """Whether a request may be sent again after an attempt.

    Parameters
    ----------
    state : AttemptState
        How far the attempt progressed.
    idempotent : bool
        Whether the request may run more than once.

    Examples
    --------
    >>> may_try_again(AttemptState.SENT, idempotent=False)
    False
    >>> may_try_again(AttemptState.NOT_RUN, idempotent=False)
    True
    """
    if state in (AttemptState.NOT_SENT, AttemptState.NOT_RUN):
        return True
    return state is AttemptState.SENT and idempotent


class Attempts:
    """The results of all attempts of one request.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.

    Examples
    --------
    >>> attempts = Attempts(idempotent=True)
    >>> attempts.note("answer_lost", AttemptState.SENT)
    >>> attempts.note("unreachable", AttemptState.NOT_SENT)
    >>> attempts.final().refusal.code
    'answer_lost'
    """

    def __init__(self, *, idempotent):
        self._idempotent = idempotent
        self._code = ""
        self._state = None
        self._confirmed = False
        self._sent_code = ""

    @property
    def code(self):
        """Refusal code of the last attempt."""
        return self._code

    @property
    def state(self):
        """How far the last attempt progressed."""
        return self._state

    @property
    def may_try_again(self):
        """Whether another attempt is allowed after the last one."""
        return may_try_again(self._state, idempotent=self._idempotent)

    def note(self, code, state, *, confirmed=False):
        """Record how an attempt ended; see `Refused` for `confirmed`."""
        self._code, self._state, self._confirmed = code, state, confirmed
        if state is AttemptState.SENT:
            self._sent_code = code

    def note_refused(self, refused):
        """Record an attempt that ended with a `Refused`."""
        self.note(
            refused.refusal.code, AttemptState.NOT_RUN, confirmed=refused.confirmed
        )

    def final(self):
        """Return the refusal that is correct for all attempts together.

        An attempt that was sent may have run. If a later attempt could not be sent,
        the result must still not be reported as "not run".
        """
        if not self._sent_code:
            return Refused(self._code, confirmed=self._confirmed)
        if REFUSALS[self._sent_code].ran is RunStatus.NOT_RUN:
            return Refused("answer_lost")
        return Refused(self._sent_code)


class RetryBudget:
    """Limits the retries of one service to a share of its new requests.

    A fixed number of retries per request would multiply the load just when a service
    fails. A share of the new requests limits the load to 1 + `share` times theirs.

    Parameters
    ----------
    share : float
        Retries earned by each new request.
    reserve : float
        Maximum number of retries that can be saved up, also the initial number.

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
        self._available = reserve
        self._lock = threading.Lock()

    def earn(self):
        """Count one new request."""
        with self._lock:
            self._available = min(self._reserve, self._available + self._share)

    def spend(self):
        """Use one retry; return False if none is left."""
        with self._lock:
            if self._available < 1:
                return False
            self._available -= 1
            return True
