"""What an answer of another process of the system says."""

from guavastream.routing import REFUSALS, AttemptState, Refused, RunStatus
from guavastream.web.send import AttemptFailed

__all__ = ["vet_answer"]


def vet_answer(answer, request):
    """Return an answer of a door if it is the backend server's own.

    Parameters
    ----------
    answer : Answer
        As it came from a door.
    request : ClassifiedRequest
        What it should answer.

    Raises
    ------
    Refused
        If the door says that the request was not run.
    AttemptFailed
        If the outcome is not known, or the answer belongs to another request.
    """
    code = answer.header("Guavastream-Code")
    if code in REFUSALS:
        answer.finish(whole=False)
        if REFUSALS[code].ran is RunStatus.NOT_RUN:
            raise Refused(code, confirmed=answer.header("Guavastream-Ran") == "no")
        raise AttemptFailed(AttemptState.SENT, code)
    if answer.header("Guavastream-Request-Id") != request.id:
        answer.finish(whole=False)
        raise AttemptFailed(AttemptState.SENT, "wrong_answer")
    return answer
