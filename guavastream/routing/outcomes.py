"""Defines all refusals of requests and whether the request ran."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["REFUSALS", "RunStatus", "Refused", "Refusal", "refusals_page"]


class RunStatus(StrEnum):
    """Whether a request ran at the backend server, as far as is known."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    ANSWERED = "answer"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A kind of final answer that does not come from the backend server.

    `retry_after` is in seconds, 0 for none. `retryable` says that another attempt may
    succeed.
    """

    code: str
    status: int
    ran: RunStatus
    text: str
    retry_after: int = 0
    retryable: bool = False


def _not_run(code, status, text, retry_after=0, retryable=False):
    return Refusal(
        code=code,
        status=status,
        ran=RunStatus.NOT_RUN,
        text=text,
        retry_after=retry_after,
        retryable=retryable,
    )


def _unknown(code, status, text, retry_after=0):
    return Refusal(
        code=code,
        status=status,
        ran=RunStatus.UNKNOWN,
        text=text,
        retry_after=retry_after,
    )


def _answered(code, status, text):
    return Refusal(code=code, status=status, ran=RunStatus.ANSWERED, text=text)


REFUSALS = {
    refusal.code: refusal
    for refusal in (
        _not_run("unknown_service", 404, "No such service is declared."),
        _not_run("bad_request", 400, "The request cannot be read."),
        _not_run("missing_key", 400, "The request has no key where one is declared."),
        _not_run("bad_idempotency_key", 400, "Idempotency-Key is not a UUIDv7."),
        _not_run("bad_deadline", 400, "Guavastream-Deadline-Ms is not a number."),
        _not_run("not_ready", 503, "This process is not ready yet.", 1, True),
        _not_run("no_owner", 503, "The key has no owner at this moment.", 1, True),
        _not_run("wrong_owner", 503, "This process does not own the key.", 1, True),
        _not_run("moving", 503, "The key is on its way to another owner.", 1, True),
        _not_run("no_lease", 503, "The lease of this process has run out.", 1, True),
        _not_run("leaving", 503, "The server takes no new work.", 1, True),
        _not_run(
            "overloaded", 503, "All slots and places in the queue are taken.", 1, True
        ),
        _not_run("shed", 503, "The preset sheds this priority class.", 2),
        _not_run("unreachable", 503, "The server could not be connected to.", 1, True),
        _not_run("server_refused", 503, "The server refused the order.", 1, True),
        _not_run("too_many_hops", 503, "Processes disagree about the owner.", 1),
        _not_run("deadline_passed", 504, "The deadline passed before it could run."),
        _unknown("no_answer", 504, "No answer came before the deadline."),
        _unknown("answer_lost", 502, "The connection broke before an answer."),
        _unknown("wrong_answer", 502, "The answer belonged to another request."),
        _unknown("still_running", 409, "The same request is still running.", 1),
        _answered(
            "answer_not_kept", 409, "It ran; its answer was too large to be kept."
        ),
        _unknown("earlier_unknown", 409, "Whether the first attempt ran is not known."),
    )
}


class Refused(Exception):
    """Ends an attempt with one of the `REFUSALS`.

    Parameters
    ----------
    code : str
        A key of `REFUSALS`.
    confirmed : bool
        Whether the owner's record of outcomes was checked, so that "not run" holds
        for every earlier attempt of the same operation as well.
    """

    def __init__(self, code, *, confirmed=False):
        self.refusal = REFUSALS[code]
        self.confirmed = confirmed
        super().__init__(code)

    def reported_run_status(self, operation):
        """Return the run status to report to the caller of a request.

        A retry that is refused on the way to the owner says nothing about earlier
        attempts. Reporting "not run" would make the caller submit the operation again
        under a new id, although the first attempt may have run.
        """
        if operation and self.refusal.ran is RunStatus.NOT_RUN and not self.confirmed:
            return RunStatus.UNKNOWN
        return self.refusal.ran


def refusals_page():
    """Return the table of `REFUSALS` for docs/errors.md in Markdown."""
    lines = ["| code | status | ran | meaning |", "| --- | --- | --- | --- |"]
    for refusal in REFUSALS.values():
        lines.append(
            f"| `{refusal.code}` | {refusal.status} | {refusal.ran.value} "
            f"| {refusal.text} |"
        )
    return "\n".join(lines) + "\n"
