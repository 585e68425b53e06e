"""Callers that send several requests at once on one connection."""

from dataclasses import dataclass

__all__ = ["PipelinedRequest", "send_pipelined"]

MAX_BODY_BYTES = 1 << 24


@dataclass(frozen=True, kw_only=True)
class PipelinedRequest:
    """A request to be sent: method, target, header fields and body."""

    method: bytes
    target: bytes
    headers: tuple
    body: bytes = b""


async def send_pipelined(client, address, requests):
    """Send requests at once on one connection, and yield their answers in order.

    Parameters
    ----------
    client : Client
        Opens the connection.
    address : str
        IP:PORT.
    requests : iterable of PipelinedRequest
        The requests.

    Yields
    ------
    response : Response
        The head of an answer.
    body : bytes
        Its complete body.

    Raises
    ------
    NotSent
        If no connection can be opened.
    IncompleteMessage
        If the connection ended before all answers were complete.
    """
    requests = tuple(requests)
    async with await client.open(address) as exchange:
        for request in requests:
            exchange.send(request.method, request.target, request.headers, request.body)
        for _ in requests:
            response = await exchange.answer()
            body, _ = await response.body.read_up_to(MAX_BODY_BYTES)
            yield response, body
