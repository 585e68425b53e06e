"""One connection of the client: its parser, and which requests it has carried."""

from collections import deque

import httptools

from guavastream.http1.flow import FlowProtocol
from guavastream.http1.framing import Framing
from guavastream.http1.message import BodyStream, Headers, IncompleteMessage

__all__ = ["ClientConnection", "Response"]

# Interim responses to one request, and responses that nobody has read yet; with more
# the peer does not follow the protocol.
MAX_INTERIM_RESPONSES = 32
MAX_UNREAD_RESPONSES = 8
# Size of the kernel's buffer, which is full while the caller does not read the answer.
RECEIVE_BUFFER_BYTES = 128 << 10
NO_BODY_STATUSES = (204, 304)
CONTINUE_STATUS = 100
# Requests whose ids a connection remembers; with more it is not used again.
MAX_REMEMBERED_IDS = 1024


class Response:
    """A response: status, header fields, and its body as a stream."""

    __slots__ = ("status", "reason", "headers", "body", "has_framing")

    def __init__(self, *, status, reason, headers, body, has_framing):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        # Whether a length or chunks mark the end of the body, rather than the end of
        # the connection.
        self.has_framing = has_framing


class ClientConnection(FlowProtocol):
    """A connection to a peer, with the callbacks of its transport and parser."""

    _receive_buffer_bytes = RECEIVE_BUFFER_BYTES

    def __init__(self, *, address, idle_seconds):
        super().__init__()
        self.address = address
        self._parser = httptools.HttpResponseParser(self)
        self._responses = deque()
        self._receiving = None
        self._error = None
        self._reason = b""
        self._headers = Headers()
        self._framing = Framing()
        self._interim_count = 0
        self._has_received_bytes = False
        self._continue_received = False
        self._in_response = False
        # Ids of the requests that it carried, and the loop times until which they may
        # be sent again.
        self._ids = {}
        self.in_use = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_seconds = idle_seconds

    @property
    def usable(self):
        """Whether another request may be sent on the connection."""
        return (
            self.reusable and self._error is None and not self._transport.is_closing()
        )

    @property
    def has_received_bytes(self):
        """Whether any byte arrived since the current request began."""
        return self._has_received_bytes

    def data_received(self, data):
        if not self.in_use:
            # The data belongs to no request.
            self.reusable = False
            self.abort()
            return
        self._has_received_bytes = True
        self._framing.note_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # The parser also raises for data after a response that closes its
            # connection; `_fail` leaves that response complete.
            self._end("the peer sent an invalid HTTP response")
        if self._framing.is_exceeded:
            self._end("the peer sent a response without end")

    def _end(self, text):
        """Close a connection whose peer does not follow the protocol.

        What it still sends would cost memory, or processor time, for as long as the
        request may take.
        """
        self._fail(IncompleteMessage(text))
        self.abort()

    def eof_received(self):
        current = self._receiving
        if current is not None and not current.has_framing:
            current.body.feed_end()
        self._fail(IncompleteMessage("the peer closed the connection"))
        return False

    def connection_lost(self, error):
        super().connection_lost(error)
        self._fail(IncompleteMessage(f"the connection was lost: {error}"))

    def on_message_begin(self):
        self._in_response = True
        self._reason = b""
        self._headers = Headers()

    def on_status(self, status):
        self._reason += status

    def on_header(self, name, value):
        self._headers.append((name, value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status < 200:
            self._receiving = None
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                self._end("the peer sent too many interim responses")
            self._continue_received = (
                self._continue_received or status == CONTINUE_STATUS
            )
            self._progress.set()
            return
        headers = self._headers
        has_framing = (
            status in NO_BODY_STATUSES
            or bool(headers.get(b"content-length"))
            or b"chunked" in headers.get(b"transfer-encoding").lower()
        )
        body = BodyStream(loop=self._loop, pause=self._pause, resume=self._resume)
        if not has_framing or not self._parser.should_keep_alive():
            self.reusable = False
        self._receiving = Response(
            status=status,
            reason=self._reason,
            headers=headers,
            body=body,
            has_framing=has_framing,
        )
        self._read_keep_alive(headers.get(b"keep-alive"))
        self._responses.append(self._receiving)
        if len(self._responses) > MAX_UNREAD_RESPONSES:
            self._end("the peer sent too many responses")
        self._progress.set()

    def on_body(self, data):
        self._framing.note_body(len(data))
        if self._receiving is not None:
            self._receiving.body.feed(data)

    def on_message_complete(self):
        self._in_response = False
        if self._receiving is not None:
            if self._receiving.has_framing:
                self._receiving.body.feed_end()
            self._receiving = None
            self._framing.reset()

    def _read_keep_alive(self, field_value):
        for part in field_value.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_seconds = float(value)

    def has_carried(self, id):
        """Whether a request with this id was sent on the connection before."""
        return id in self._ids

    def begin(self, id=None, until=0.0):
        """Reserve the connection for one request, and remember its id until a time."""
        self.in_use = True
        self._has_received_bytes = self._continue_received = False
        self._interim_count = 0
        if id is None:
            return
        now = self._loop.time()
        while self._ids and self._ids[oldest := next(iter(self._ids))] < now:
            del self._ids[oldest]
        self._ids[id] = until
        if len(self._ids) > MAX_REMEMBERED_IDS:
            self.reusable = False

    async def next_response(self):
        """Return the next response on the connection, once its head is complete.

        Raises
        ------
        IncompleteMessage
            If the connection ended first.
        """
        while not self._responses:
            if self._error is not None:
                raise self._error
            self._progress.clear()
            await self._progress.wait()
        return self._responses.popleft()

    async def wait_for_continue(self):
        """Wait for "100 Continue"; return False if a final response arrives instead.

        Raises
        ------
        IncompleteMessage
            If the connection ended first.
        """
        while not (self._continue_received or self._responses):
            if self._error is not None:
                raise self._error
            self._progress.clear()
            await self._progress.wait()
        return self._continue_received

    def end(self):
        """Finish the current request; unread responses make the connection unusable."""
        self.in_use = False
        if self._responses or self._in_response:
            self.reusable = False
        self.idle_since = self._loop.time()

    def _fail(self, error):
        if self._error is None:
            self._error = error
        self.reusable = False
        if self._receiving is not None:
            self._receiving.body.fail(self._error)
        self._progress.set()
