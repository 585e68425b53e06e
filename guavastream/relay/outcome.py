"""What can become of one attempt, and the final answers that are ours."""

from guavastream.kernel import record

__all__ = ["Lost", "NotRun", "Verdict", "VERDICTS"]


@record
class Verdict:
    """How an attempt that brought no answer is judged.

    Parameters
    ----------
    status : int
        Final status if no other attempt follows.
    awaits_owner : bool
        Whether the next attempt needs a newer book.
    elsewhere : bool
        Whether another server may fare better.
    arrived : bool
        Whether a server saw the request, which counts as a try there.
    """

    status: int
    awaits_owner: bool = False
    elsewhere: bool = False
    arrived: bool = False


VERDICTS = {
    # Not run, and never will be.
    "no_config": Verdict(status=503),
    "no_server": Verdict(status=503, awaits_owner=True),
    "no_owner": Verdict(status=503, awaits_owner=True),
    "moving": Verdict(status=503, awaits_owner=True),
    "leaving": Verdict(status=503, awaits_owner=True, elsewhere=True),
    "overloaded": Verdict(status=503, elsewhere=True),
    "no_time": Verdict(status=503),
    "quarantined": Verdict(status=503),
    "silent": Verdict(status=503, elsewhere=True),
    "unreachable": Verdict(status=503, awaits_owner=True, elsewhere=True),
    "server_refused": Verdict(status=503, elsewhere=True, arrived=True),
    "server_not_owner": Verdict(
        status=503, awaits_owner=True, elsewhere=True, arrived=True
    ),
    # May have run.
    "answer_lost": Verdict(status=502, elsewhere=True, arrived=True),
    "server_ended": Verdict(
        status=502, awaits_owner=True, elsewhere=True, arrived=True
    ),
    "server_failed": Verdict(status=500, elsewhere=True, arrived=True),
    "no_answer": Verdict(status=504, arrived=True),
}


class NotRun(Exception):
    """The request has not run and never will.

    Parameters
    ----------
    code : str
        A key of `VERDICTS`.
    retry_after : float
        Seconds after which another try may fare better, 0 if unknown.
    reasons : dict, optional
        Values that decided it, for the log.
    """

    def __init__(self, code, *, retry_after=0.0, reasons=None):
        super().__init__(code)
        self.code = code
        self.retry_after = retry_after
        self.reasons = reasons


class Lost(Exception):
    """Whether the request ran is not known.

    Parameters
    ----------
    code : str
        A key of `VERDICTS`.
    """

    def __init__(self, code):
        super().__init__(code)
        self.code = code
