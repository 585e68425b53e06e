"""One request on a connection, and the writing of its answer."""

from dataclasses import dataclass

from guavastream.http1.message import REASONS, format_head

__all__ = ["Cut", "Request", "Responder"]


@dataclass(frozen=True, kw_only=True)
class Cut:
    """A connection that was ended here under a request without a whole answer.

    `why` is what ended it, `begun` whether its handler had been called, `whole`
    whether all of the request had come, `answered` how much of the answer had been
    written: none or part.
    """

    request: object
    why: str
    begun: bool
    whole: bool
    answered: str


class Request:
    """One request: its head, and its body as it comes.

    `target` is the path with its query, byte for byte as it was sent.
    """

    __slots__ = (
        "awaits_go",
        "body",
        "headers",
        "keep_alive",
        "length",
        "method",
        "target",
    )

    def __init__(self, *, method, target, headers, body, keep_alive, length):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        # Bytes of the body as declared, -1 if it comes in chunks.
        self.length = length
        # Whether the body comes only after an interim answer (RFC 9110, 10.1.1).
        self.awaits_go = False

    @property
    def path(self):
        """Path without the query, bytes."""
        return self.target.partition(b"?")[0]


class Responder:
    """Writes the one answer of a request.

    Parameters
    ----------
    connection : ServerConnection
        Where it goes.
    request : Request
        What it answers.
    """

    def __init__(self, *, connection, request):
        self._connection = connection
        self._request = request
        self._chunked = False
        self._left = 0
        self.started = False
        # Whether the answer says that its connection ends.
        self.closes = False
        self._ended = False
        self.status = 0

    @property
    def whole(self):
        """Whether all of the answer was written."""
        if self._chunked:
            return self._ended
        return self.started and self._left == 0

    @property
    def request(self):
        """What it answers."""
        return self._request

    def go_ahead(self):
        """Ask for the body, if the peer holds it back until then."""
        self._connection.go_ahead(self._request)

    async def send(self, status, headers=(), body=b"", *, reason=b""):
        """Send a whole answer; the connection sees to it that it goes out."""
        self._begin(status, headers, length=len(body), reason=reason, first=body)
        self.finish()

    async def start(self, status, headers, *, length=None, reason=b"", first=b""):
        """Send the head; without `length` the body goes in chunks."""
        self._begin(status, headers, length=length, reason=reason, first=first)
        await self._connection.drain()

    def _begin(self, status, headers, *, length, reason, first):
        self.started = True
        self.status = status
        connection = self._connection
        reason = reason or REASONS.get(status, b"")
        fields = list(headers)
        self._chunked = length is None
        if self._chunked:
            fields.append((b"Transfer-Encoding", b"chunked"))
        elif status not in (204, 304):
            fields.append((b"Content-Length", b"%d" % length))
        self.closes = connection.closes_after(self._request)
        if self.closes:
            fields.append((b"Connection", b"close"))
        elif connection.keep_seconds:
            value = b"timeout=%d" % connection.keep_seconds
            fields.append((b"Keep-Alive", value))
        self._left = (length or 0) - len(first)
        line = b"HTTP/1.1 %d %s" % (status, reason)
        connection.write(format_head(line, fields) + first)

    async def write(self, data):
        """Send a piece of the body."""
        if not data:
            return
        self._left -= len(data)
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)
        await self._connection.drain()

    def finish(self):
        """Note that all of the body was written."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._ended = True

    def abort(self, why="handler"):
        """Reset the connection: what was begun must not look whole."""
        self._connection.cut(why)
