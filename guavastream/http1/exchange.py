"""One request on a connection of the client, and its response."""

import asyncio

from guavastream.http1.body import BodyLost
from guavastream.http1.message import IncompleteMessage, format_head

__all__ = ["Exchange"]

# Responses to earlier requests that are skipped before the connection is given up;
# a server that sends more of them has lost track of the requests on it.
MAX_STRAY_RESPONSES = 3
# Longest body of a response that is skipped.
MAX_STRAY_BYTES = 1 << 20


class Exchange:
    """One request and its response on a pooled connection.

    Use it as an asynchronous context manager: on exit the connection returns to the
    pool if it can be reused, and is aborted otherwise.
    """

    def __init__(self, *, client, connection, reused):
        self._client = client
        self._connection = connection
        # The task that sends a body of which the rest is not kept, and whether it has
        # sent all of it.
        self._sender = None
        self._body_sent = False
        self._response = None
        self.reused = reused
        # Whether a byte of the request, or of its body after "100 Continue", may have
        # been written.
        self.written = self.body_written = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        self.close()

    def close(self):
        """Return the connection to the pool if it can be reused, else abort it."""
        if self._sender is not None and not self._body_sent:
            self._sender.cancel()
            self._connection.reusable = False
        complete = self._response is not None and self._response.body.ended
        self._connection.end()
        if self.written and not complete:
            self._connection.reusable = False
        self._client.release(self._connection)

    @property
    def has_received_bytes(self):
        """Whether any byte arrived since the request began."""
        return self._connection.has_received_bytes

    def reset(self):
        """Send a TCP reset, so that the peer loses data that it has not read."""
        self._connection.reset()

    def discard(self):
        """Do not use the connection for another request."""
        self._connection.reusable = False

    def send(self, method, target, headers, body=b"", rest=None):
        """Send a request.

        Parameters
        ----------
        method, target : bytes
            As in the request line.
        headers : list of tuple
            Header fields without those that frame the body.
        body : bytes
            The whole body, or its beginning if `rest` is given.
        rest : BodyRest, optional
            The rest of the body, which is sent while it is received.

        Raises
        ------
        BodyLost
            If a part of the rest has been read, so that the body would lack it.
        """
        connection = self._connection
        fields = list(headers)
        if rest is not None or body or method in (b"POST", b"PUT", b"PATCH"):
            fields.append(_framing_field(body, rest))
        head = format_head(method + b" " + target + b" HTTP/1.1", fields)
        if rest is None:
            self.written = connection.write(head + body)
            return
        self.written = connection.write(head)
        if self.written:
            self._start_sending(body, rest)

    async def send_after_continue(self, method, target, headers, body, rest=None):
        """Send the head, and the body after the peer has sent "100 Continue".

        A peer that refuses the request responds at once, before any of the body is
        sent. The connection cannot be reused then, since the peer cannot know that
        no body will follow.

        Raises
        ------
        IncompleteMessage
            If the connection ended first.
        BodyLost
            As in `send`.
        """
        connection = self._connection
        fields = [
            *headers,
            _framing_field(body, rest),
            (b"Expect", b"100-continue"),
        ]
        head = format_head(method + b" " + target + b" HTTP/1.1", fields)
        self.written = connection.write(head)
        if not await connection.wait_for_continue():
            connection.reusable = False
            return
        if rest is None:
            self.body_written = connection.write(body)
        else:
            self.body_written = True
            self._start_sending(body, rest)

    def _start_sending(self, first, rest):
        self._sender = asyncio.ensure_future(self._send_streamed(first, rest))
        # Its failure is of no interest once the response is there.
        self._sender.add_done_callback(
            lambda sender: sender.cancelled() or sender.exception()
        )

    async def _send_streamed(self, first, rest):
        """Send a body; only one that was sent completely looks complete to the peer."""
        connection = self._connection
        in_chunks = rest.length is None
        piece = first or await rest.read()
        while piece:
            if in_chunks:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            connection.write(piece)
            await connection.drain()
            piece = await rest.read()
        if in_chunks:
            connection.write(b"0\r\n\r\n")
        self._body_sent = True

    async def answer(self, matches=lambda response: True):
        """Return the response for which `matches` is true, skipping stray ones.

        Raises
        ------
        IncompleteMessage
            If the connection ended first, or sent too many stray responses.
        BodyLost
            If the sender of the request's body broke it off before.
        """
        connection = self._connection
        for _ in range(MAX_STRAY_RESPONSES + 1):
            response = await self._next_response_or_send_error()
            if matches(response):
                self._response = response
                return response
            # An extra response to an earlier request; the expected one follows it.
            connection.reusable = False
            _, whole = await response.body.read_up_to(MAX_STRAY_BYTES)
            if not whole:
                break
        raise IncompleteMessage("too many responses to other requests")

    async def _next_response_or_send_error(self):
        """Return the next response; raise if sending the body fails before."""
        sender = self._sender
        if sender is None or self._body_sent:
            return await self._connection.next_response()
        pending = asyncio.ensure_future(self._connection.next_response())
        try:
            await asyncio.wait({pending, sender}, return_when=asyncio.FIRST_COMPLETED)
            if sender.done() and not sender.cancelled() and sender.exception():
                raise sender.exception()
            return await pending
        finally:
            pending.cancel()


def _framing_field(body, rest):
    """Return the header field by which the peer tells the end of a body.

    Raises
    ------
    BodyLost
        If a part of the rest is gone.
    """
    if rest is None:
        return b"Content-Length", b"%d" % len(body)
    if not rest.is_untouched:
        raise BodyLost("a part of the body has been sent before")
    if rest.length is None:
        return b"Transfer-Encoding", b"chunked"
    return b"Content-Length", b"%d" % (len(body) + rest.length)
