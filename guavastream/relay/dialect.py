"""Header names of requests and answers, and the encoding of key orders."""

import abc
from enum import Enum

from guavastream.kernel import record

__all__ = ["INTERNAL_PREFIX", "Dialect", "KeyDialect", "KeyOutcome", "KeyResult"]

# Prefix of the headers that hosts exchange. Headers with this prefix are dropped
# from what callers and servers send, so that they can be neither forged nor leaked.
INTERNAL_PREFIX = b"guavastream-hop-"


@record
class Dialect:
    """Header names, as bytes in the spelling in which they are sent.

    Parameters
    ----------
    request_id : bytes
        Id of the request; a server repeats it in its answer.
    deadline_ms : bytes
        Milliseconds until the deadline of the request.
    key : bytes
        The request's key, a number.
    caller : bytes
        Service of the host at which the request entered.
    expected : bytes
        Incarnation of the server that may run the request; no other one may.
    seal : bytes
        Present in every successful answer of a server; a success without it comes
        from something else. Empty if servers send no such header.
    not_run : bytes
        Present in an answer if the server has not run the request.
    instance : bytes
        Incarnation of the server that answers a health check.
    rate_limit : bytes
        Requests per second, a decimal number, that the server takes from all hosts
        together; present in its answers for as long as it limits them.
    leaving : bytes
        Present in all answers of a server that is about to stop.
    call_separator : bytes
        Separator in the ids of nested calls: a server that sends a call while it
        runs a request may use that request's id, this separator and an id of its
        own.
    """

    request_id: bytes = b"Guavastream-Request-Id"
    deadline_ms: bytes = b"Guavastream-Deadline-Ms"
    key: bytes = b"Guavastream-Key"
    caller: bytes = b"Guavastream-Caller"
    expected: bytes = b"Guavastream-Expected"
    seal: bytes = b""
    not_run: bytes = b"Guavastream-Not-Run"
    instance: bytes = b"Guavastream-Instance"
    rate_limit: bytes = b"Guavastream-Rate-Limit"
    leaving: bytes = b"Guavastream-Leaving"
    call_separator: bytes = b"."


class KeyOutcome(Enum):
    """A server's answer to an order to hold or release keys."""

    DONE = "done"
    # The server has seen a higher fencing token for one of the keys.
    FENCED = "refused"
    # The order has not been carried out and will not be.
    REJECTED = "denied"


@record
class KeyResult:
    """The outcome of an order, and after a release the data for the next holder."""

    outcome: KeyOutcome
    handover: str = ""


class KeyDialect(abc.ABC):
    """Encodes orders about keys for backend servers, and decodes their answers."""

    @abc.abstractmethod
    def headers(self, instance, id):
        """Return the headers of an order to an `Instance`, as pairs of bytes.

        `id` is the id of this one order, which no other has.
        """

    @abc.abstractmethod
    def answered_id(self, headers):
        """Return the id of the order that an answer names, empty if it names none."""

    @abc.abstractmethod
    def encode(self, call):
        """Return path and body of the POST request for a `KeyCall`, as bytes."""

    @abc.abstractmethod
    def decode(self, status, headers):
        """Return the `KeyResult` of an answer, or None if it is inconclusive.

        An answer that is neither surely a success nor surely a refusal is
        inconclusive: the order may still be carried out.
        """
