"""One request that is sent to one server."""

import msgspec

from guavastream.kernel import record
from guavastream.relay.fingerprint import body_fingerprint
from guavastream.scheduling.admission import ANSWER_MARGIN_SECONDS

__all__ = ["Attempt"]


@record
class Attempt:
    """One request that is sent to one server; all times are those of the loop's clock.

    Attributes
    ----------
    id : bytes
        Id of the request.
    service : str
        Service that runs it.
    instance : str
        Id of the server it is sent to.
    method, target : bytes
        As in the request line.
    headers : list of tuple
        Headers to send, without those that the guard adds.
    body : bytes
        The whole body, or its beginning if `rest` is set.
    rest : BodyRest or None
        The rest of the body, which is not kept.
    key : int or None
        Key that the server must hold; None if the request has none.
    idempotent : bool
        Whether the request is idempotent.
    rank : int
        Priority in the queue; the lowest is served first.
    urgency : int
        Priority of the request that entered the system; equal to `rank` unless
        this is a call.
    is_call : bool
        Whether another server makes this call while it runs a request.
    is_retry : bool
        Whether the caller retries a request that was not served; for a call,
        whether that holds for the request that caused it.
    is_last : bool
        Whether no other server is tried if this one refuses the request.
    may_be_retried : bool
        Whether it can be made again if it is ended before its answer.
    kind : str
        Name of a class of requests that take about the same time.
    target_time : float
        Time until which an answer counts as in time.
    deadline : float
        Time at which the request is given up.
    sent_at : list of float
        Times at which it may have begun to be written to the server. While it is
        empty, the request has surely not run.
    margin : float
        Seconds before `deadline` at which it stops waiting, so that a refusal arrives
        in time.
    share : float
        Share of such requests that the ingress admitted by their class.
    config_version : int
        Version of the configuration that its route is from; 0 if unknown.
    told_fingerprint : bytes
        Fingerprint of the body if the sending host has told it, else empty.
    """

    id: bytes
    service: str
    instance: str
    method: bytes
    target: bytes
    headers: list
    body: bytes
    rest: object
    key: int | None
    idempotent: bool
    rank: int
    urgency: int
    is_call: bool
    is_retry: bool
    is_last: bool
    kind: str
    target_time: float
    deadline: float
    sent_at: list = msgspec.field(default_factory=list)
    margin: float = ANSWER_MARGIN_SECONDS
    share: float = 1.0
    config_version: int = 0
    told_fingerprint: bytes = b""
    may_be_retried: bool = False

    @property
    def has_whole_body(self):
        """Whether none of the body is lost, so that it can be sent again."""
        return self.rest is None or self.rest.is_untouched

    @property
    def body_fingerprint(self):
        """Fingerprint of the body, also while it has not been received."""
        return self.told_fingerprint or body_fingerprint(self.body)
