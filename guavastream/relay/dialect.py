"""Names of the headers by which callers, servers and this system speak."""

import abc
from enum import Enum

from guavastream.kernel import record

__all__ = ["OWN", "Dialect", "KeyDialect", "KeyOutcome", "KeyResult"]

# Headers between our own processes; nobody else's are believed or passed on.
OWN = b"guavastream-hop-"


@record
class Dialect:
    """Header names, as bytes in the spelling in which they are sent.

    Parameters
    ----------
    request_id : bytes
        Names a request; a server echoes it.
    deadline_ms : bytes
        Milliseconds that are left.
    key : bytes
        Number of the request's key.
    caller : bytes
        Service on whose host a request began.
    expected : bytes
        Life of the server that alone may run a request.
    seal : bytes
        A server's mark on its answer; without it a success is not its own.
    not_run : bytes
        Present where a server has not run a request.
    instance : bytes
        Names the life of the server that answers a health check.
    call_mark : bytes
        A server that calls others while it runs a request may name the call
        by that request's id, this mark and an id of its own.
    """

    request_id: bytes = b"Guavastream-Request-Id"
    deadline_ms: bytes = b"Guavastream-Deadline-Ms"
    key: bytes = b"Guavastream-Key"
    caller: bytes = b"Guavastream-Caller"
    expected: bytes = b"Guavastream-Expected"
    seal: bytes = b""
    not_run: bytes = b"Guavastream-Not-Run"
    instance: bytes = b"Guavastream-Instance"
    call_mark: bytes = b"."


class KeyOutcome(Enum):
    """What a server says of an order about keys."""

    DONE = "done"
    # A higher fence was seen on one of the keys.
    REFUSED = "refused"
    # Not carried out, and never will be.
    DENIED = "denied"


@record
class KeyResult:
    """An outcome, and after a release what the next holder needs."""

    outcome: KeyOutcome
    handover: str = ""


class KeyDialect(abc.ABC):
    """How orders about keys are written for backend servers."""

    @abc.abstractmethod
    def headers(self, instance):
        """Return the headers of an order to an `Instance`, pairs of bytes."""

    @abc.abstractmethod
    def encode(self, call):
        """Return path and body, bytes, of the POST request for a `KeyCall`."""

    @abc.abstractmethod
    def decode(self, status, headers):
        """Return the `KeyResult` of an answer, or None if it says nothing.

        Whatever is not known for sure to be a success or a refusal says
        nothing: the order may still be carried out.
        """
