"""Failures of one attempt to run a request, and how each of them is handled."""

from guavastream.kernel import record

__all__ = ["OutcomeUnknown", "NotRun", "FailureRule", "FAILURE_RULES"]


@record
class FailureRule:
    """How an attempt that ended without an answer is handled.

    Parameters
    ----------
    status : int
        Status sent to the caller if no other attempt follows.
    wait_for_owner : bool
        Whether the next attempt has to wait for a newer fleet state, which may name
        another owner or server.
    try_elsewhere : bool
        Whether an attempt at another server may succeed.
    reached_server : bool
        Whether the request reached a server; the attempt then counts towards the
        route's limit of attempts.
    """

    status: int
    wait_for_owner: bool = False
    try_elsewhere: bool = False
    reached_server: bool = False


FAILURE_RULES = {
    # Raised as `NotRun`: the request has not run and will not run.
    "no_config": FailureRule(status=503),
    # The fleet state of the host was not confirmed for too long to decide by it.
    "unconfirmed": FailureRule(status=503, wait_for_owner=True, try_elsewhere=True),
    # A newer configuration leads the request to another service.
    "rerouted": FailureRule(status=503, wait_for_owner=True),
    "no_server": FailureRule(status=503, wait_for_owner=True),
    "no_owner": FailureRule(status=503, wait_for_owner=True),
    "moving": FailureRule(status=503, wait_for_owner=True),
    "leaving": FailureRule(status=503, wait_for_owner=True, try_elsewhere=True),
    "overloaded": FailureRule(status=503, try_elsewhere=True),
    # Refused at the ingress: the class of the request has no capacity at its servers.
    "shed": FailureRule(status=503),
    # The server takes no more requests for now: while it is cold, or by its own word.
    "cold": FailureRule(status=503, try_elsewhere=True),
    "limited": FailureRule(status=503, try_elsewhere=True),
    # The owner of the key is in a region that the route does not allow.
    "wrong_region": FailureRule(status=503),
    "evacuated": FailureRule(status=503, wait_for_owner=True, try_elsewhere=True),
    "no_time": FailureRule(status=503),
    # The host has no memory for its body.
    "no_memory": FailureRule(status=503, try_elsewhere=True),
    "quarantined": FailureRule(status=503),
    "silent": FailureRule(status=503, try_elsewhere=True),
    "unreachable": FailureRule(status=503, wait_for_owner=True, try_elsewhere=True),
    "server_refused": FailureRule(status=503, try_elsewhere=True, reached_server=True),
    "server_not_owner": FailureRule(
        status=503, wait_for_owner=True, try_elsewhere=True, reached_server=True
    ),
    # Raised as `OutcomeUnknown`: the request may have run.
    "answer_lost": FailureRule(status=502, try_elsewhere=True, reached_server=True),
    # The same, and the server must not get the request again.
    "not_sent_again": FailureRule(
        status=502, wait_for_owner=True, try_elsewhere=True, reached_server=True
    ),
    "server_ended": FailureRule(
        status=502, wait_for_owner=True, try_elsewhere=True, reached_server=True
    ),
    "server_failed": FailureRule(status=500, try_elsewhere=True, reached_server=True),
    "no_answer": FailureRule(status=504, reached_server=True),
    # The server answers later requests, but will never answer this one.
    "dropped": FailureRule(status=504, try_elsewhere=True, reached_server=True),
}


class NotRun(Exception):
    """The request has not run and will not run.

    Parameters
    ----------
    code : str
        A key of `FAILURE_RULES`.
    retry_after : float
        Seconds after which another attempt may succeed, 0 if unknown.
    reasons : dict, optional
        Values behind the decision, for the log.
    """

    def __init__(self, code, *, retry_after=0.0, reasons=None):
        super().__init__(code)
        self.code = code
        self.retry_after = retry_after
        self.reasons = reasons


class OutcomeUnknown(Exception):
    """It is not known whether the request ran.

    Parameters
    ----------
    code : str
        A key of `FAILURE_RULES`.
    """

    def __init__(self, code):
        super().__init__(code)
        self.code = code
