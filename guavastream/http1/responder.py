"""Server side of one request: its head, its body and its response."""

from dataclasses import dataclass

from guavastream.http1.message import REASONS, format_head

__all__ = ["AbortedRequest", "Request", "Responder"]

# Memory of an answer that is passed on while it is received: buffers on both sides, in
# the process and in the kernel.
STREAMED_ANSWER_BYTES = 384 << 10


@dataclass(frozen=True, kw_only=True)
class AbortedRequest:
    """A request without a complete response whose connection this server ended.

    `cause` is what ended the connection, `handler_called` whether the handler had
    been called, `request_complete` whether the whole request had been received, and
    `response_sent` how much of the response had been written: "none" or "part".
    """

    request: object
    cause: str
    handler_called: bool
    request_complete: bool
    response_sent: str


class Request:
    """A request: its head, and its body as a stream.

    `target` is the path with its query, in the exact bytes received.
    """

    __slots__ = (
        "body",
        "expects_continue",
        "headers",
        "keep_alive",
        "length",
        "memory",
        "method",
        "overlaps",
        "target",
    )

    def __init__(self, *, method, target, headers, body, keep_alive, length, memory):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        # Declared length of the body in bytes, -1 if the body is chunked.
        self.length = length
        # The `RequestMemory` that is charged for it until it is answered.
        self.memory = memory
        # Whether the client waits for "100 Continue" before it sends the body
        # (RFC 9110, 10.1.1).
        self.expects_continue = False
        # Whether it may run while others of its connection run; None until that is
        # needed.
        self.overlaps = None

    @property
    def path(self):
        """Path without the query, as bytes."""
        return self.target.partition(b"?")[0]


class Responder:
    """Writes the response to one request.

    Parameters
    ----------
    connection : ServerConnection
        Connection on which the response is sent.
    request : Request
        The request to respond to.
    turn : Signal, optional
        Set once all earlier requests of the connection have been answered, which
        `release` reports; by default the response is due at once.
    """

    def __init__(self, *, connection, request, turn=None):
        self._connection = connection
        self._request = request
        self._turn = turn
        # Status, fields, reason and body of a response that is not due yet.
        self._buffered = None
        self._abort_cause = None
        self._chunked = False
        self._unsent_bytes = 0
        self.started = False
        # Whether the response carries `Connection: close`.
        self.closes = False
        self._finished = False
        self.status = 0

    @property
    def complete(self):
        """Whether the whole response was written, or is buffered until it is due."""
        if self._chunked:
            return self._finished
        return self.started and self._unsent_bytes == 0

    @property
    def buffered_bytes(self):
        """Size of the body that is buffered until the response is due."""
        return 0 if self._buffered is None else len(self._buffered[-1])

    @property
    def request(self):
        """The request to respond to."""
        return self._request

    @property
    def connection(self):
        """The connection on which the response is sent."""
        return self._connection

    def release(self):
        """Send what is buffered; from now on the response is written directly."""
        turn, self._turn = self._turn, None
        turn.set()
        if self._abort_cause is not None:
            self._connection.abort_requests(self._abort_cause)
        elif self._buffered is not None:
            status, fields, reason, body = self._buffered
            self._buffered = None
            self._write_head(status, fields, reason, body)

    def send_continue(self):
        """Send "100 Continue" if the client waits for it before sending the body."""
        self._connection.send_continue(self._request)

    async def send(self, status, headers=(), body=b"", *, reason=b""):
        """Write a whole response; the connection waits for its buffer to drain.

        A response that is not due yet is buffered. It is complete then, also if the
        buffer is full and this method is interrupted while it waits for the turn.
        """
        turn = self._turn
        waits = turn is not None and self._connection.buffer_full
        self._begin(status, headers, length=len(body), reason=reason, first=body)
        self.finish()
        if waits:
            await turn.wait()

    async def start(self, status, headers, *, length=None, reason=b"", first=b""):
        """Send the head and `first`; without `length` the body is sent in chunks.

        Waits until the response is due: the rest of the body is not buffered, and an
        interrupted response that has begun would end the connection.
        """
        if self._turn is not None:
            await self._turn.wait()
        self._request.memory.charge(STREAMED_ANSWER_BYTES)
        self._begin(status, headers, length=length, reason=reason, first=first)
        await self._connection.drain()

    def _begin(self, status, headers, *, length, reason, first):
        self.started = True
        self.status = status
        fields = list(headers)
        self._chunked = length is None
        if self._chunked:
            fields.append((b"Transfer-Encoding", b"chunked"))
        elif status not in (204, 304):
            fields.append((b"Content-Length", b"%d" % length))
        self._unsent_bytes = (length or 0) - len(first)
        if self._turn is not None:
            self._buffered = status, fields, reason, first
            self._connection.note_buffered()
            return
        self._write_head(status, fields, reason, first)

    def _write_head(self, status, fields, reason, first):
        """Write the head and `first`.

        Whether the connection closes is decided here, when the response is due: by
        then further requests may have arrived.
        """
        connection = self._connection
        reason = reason or REASONS.get(status, b"")
        self.closes = connection.closes_after(self._request)
        if self.closes:
            fields.append((b"Connection", b"close"))
        elif connection.announced_idle_seconds:
            value = b"timeout=%d" % connection.announced_idle_seconds
            fields.append((b"Keep-Alive", value))
        line = b"HTTP/1.1 %d %s" % (status, reason)
        connection.write(format_head(line, fields) + first)

    async def write(self, data):
        """Send a piece of the body."""
        if not data:
            return
        self._unsent_bytes -= len(data)
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)
        await self._connection.drain()

    def finish(self):
        """Mark the response as complete, and end a chunked body."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finished = True

    def abort(self, cause="handler"):
        """Reset the connection, so that a partial response does not look complete.

        If the response is not due yet, earlier requests are answered before.
        """
        if self._turn is not None:
            self._abort_cause = cause
            return
        self._connection.abort_requests(cause)
