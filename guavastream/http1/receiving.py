"""Receiving side of a caller's connection: its requests are parsed in turns."""

from collections import deque

import httptools

from guavastream.http1.flow import FlowProtocol
from guavastream.http1.framing import Framing
from guavastream.http1.memory import RequestMemory
from guavastream.http1.message import BodyStream, Headers, IncompleteMessage
from guavastream.http1.responder import Request
from guavastream.http1.turns import TURN_WORK
from guavastream.kernel import part_logger

__all__ = ["MAX_WAITING_REQUESTS", "RECEIVE_BUFFER_BYTES", "ReceivingProtocol"]

log = part_logger("http")

# Requests of a connection that wait to be started at which reading from it pauses.
MAX_WAITING_REQUESTS = 8
# Bytes that are parsed before the work that they made is looked at. The parser can't
# stop within them; they hold some hundred fields, chunks or requests.
SLICE_BYTES = 1 << 10
# Bytes that arrive at once after which the connection waits for a turn to read more.
LARGE_READ_BYTES = 16 << 10
# Work of a request, in units of one field.
REQUEST_WORK = 16
# Size of a connection's receive buffer in the kernel. Data in it counts as memory of
# the process, and a sender fills it while reading pauses.
RECEIVE_BUFFER_BYTES = 32 << 10
# The kernel reserves twice the size that is asked for, for its own overhead.
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
# Memory of a header field while its request is handled: objects for name and value, and
# entries in the list and the index. A field of three bytes takes a hundred times that.
FIELD_BYTES = 320
# Fields that are covered by what a connection is charged for.
FREE_FIELDS = 32
# Memory of a request that waits for earlier ones of its connection.
WAITING_REQUEST_BYTES = 2 << 10
# Statuses of requests that do not follow the protocol. What comes after one may be
# without end, and is not read for as long as the rest of a body.
INVALID_STATUSES = (400, 431)
# Fields that may occur only once in a request.
SINGLE_FIELDS = (b"host", b"content-length", b"transfer-encoding")


class ReceivingProtocol(FlowProtocol):
    """Parses requests, and charges the memory budget for what is received.

    Parameters
    ----------
    server : Server
        Provides limits, memory and turns.
    """

    def __init__(self, *, server):
        super().__init__()
        self._server = server
        self._memory = server.capacity.memory
        self._turns = server.capacity.turns
        self._parser = httptools.HttpRequestParser(self)
        # Complete heads of requests that have not started.
        self._requests = deque()
        # Received data that waits for a turn, or for requests before it.
        self._unparsed = b""
        self._turn_work = 0
        self._turn_requested = False
        self._charged_bytes = 0
        # Bytes of heads and bodies, without what frames the bodies.
        self._progress_bytes = 0
        self._reading_paused = False
        self._lost = self._lingering = False
        self._rejection_status = 0
        self._receiving = None
        self._target = b""
        self._headers = Headers()
        self._head_bytes = 0
        self._body_bytes = 0
        self._body_pieces = []
        self._framing = Framing(limits_pieces=False)
        self._head_started_at = None
        self._in_head = True

    # Callbacks of the transport

    def data_received(self, data):
        if self._rejection_status or self._lingering:
            self._framing.note_received(len(data))
            if self._rejection_status in INVALID_STATUSES:
                self._end_if_without_end()
        elif self._unparsed:
            self._unparsed += data
        else:
            self._parse(data, work=self._turns.arrival_work)
        if len(data) >= LARGE_READ_BYTES and not self._turn_requested:
            self._request_turn()
            self._update_reading()

    def eof_received(self):
        return False

    def connection_lost(self, error):
        super().connection_lost(error)
        self._memory.close(self)
        self._lost = True
        self._fail_incomplete_bodies()
        self._drop_received()

    def _drop_received(self):
        """Drop what was received.

        The parser refers to the connection, so that both are freed only when the
        garbage collector looks at old objects, long after they have filled the memory.
        """
        self._parser = None
        self._unparsed = b""
        self._headers = Headers()
        self._body_pieces = []
        self._receiving = None

    # Turns

    def _parse(self, data, *, work):
        """Parse data until it has made that much work."""
        self._turn_work = 0
        position = 0
        while position < len(data) and not self._is_done:
            size = max(SLICE_BYTES, self._declared_bytes_left())
            piece = data[position : position + size]
            position += len(piece)
            self._feed(piece)
            if self._turn_work > work or self._has_enough_requests():
                break
        self._flush_body()
        self._unparsed = b"" if self._is_done else data[position:]
        if not self._in_head:
            self._end_if_without_end()
        if self._unparsed:
            self._update_reading()
        if self._unparsed or self._charged_bytes or self._has_large_head():
            self._update_charge()
        self._on_parsed()

    @property
    def _is_done(self):
        """Whether nothing more is parsed."""
        return bool(
            self._rejection_status or self._lingering or self._transport.is_closing()
        )

    def _feed(self, data):
        self._framing.note_received(len(data))
        if self._in_head:
            self._head_bytes += len(data)
            self._progress_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject(400)
        if self._in_head and self._head_bytes > self._server.limits.head_bytes:
            self._reject(431)

    def _declared_bytes_left(self):
        """Return how much of a body with a declared length has not been parsed."""
        if self._in_head or self._receiving is None:
            return 0
        return self._receiving.length - self._body_bytes

    def _has_enough_requests(self):
        return len(self._requests) >= MAX_WAITING_REQUESTS

    def _has_enough(self):
        """Whether no more is read until a handler has gone on."""
        body_full = self._receiving is not None and self._receiving.body.full
        return body_full or self._has_enough_requests()

    def _update_reading(self):
        """Read from the connection, unless enough has been received for now."""
        is_full = not self._is_done and self._has_enough()
        if self._unparsed and not is_full:
            self._request_turn()
        if is_full or self._turn_requested:
            self._pause()
        else:
            self._resume()

    def _request_turn(self):
        if not self._turn_requested:
            self._turn_requested = True
            self._turns.continue_later(self._take_turn)

    def _take_turn(self):
        self._turn_requested = False
        if self._lost or self._transport.is_closing():
            return False
        if self._unparsed and self.has_hung_up():
            # While reading pauses, the end of the connection is not read either.
            self.abort()
            return True
        if self._is_done:
            self._unparsed = b""
        elif self._unparsed and not self._has_enough():
            data, self._unparsed = self._unparsed, b""
            self._parse(data, work=TURN_WORK)
        self._update_reading()
        self._progress.set()
        return True

    def _pause(self):
        super()._pause()
        if not self._reading_paused:
            self._reading_paused = True
            self._update_charge()

    def _resume(self):
        super()._resume()
        if self._reading_paused:
            self._reading_paused = False
            self._update_charge()

    # Memory

    def _has_large_head(self):
        return self._head_started_at is not None and len(self._headers) > FREE_FIELDS

    def _update_charge(self):
        """Charge for what has been received and is not part of a request yet."""
        size = len(self._unparsed)
        if self._reading_paused:
            size += UNREAD_BYTES
        if self._has_large_head():
            size += len(self._headers) * FIELD_BYTES
        change, self._charged_bytes = size - self._charged_bytes, size
        if change:
            self._memory.charge(self, change)

    def _charge_request(self, memory):
        size = WAITING_REQUEST_BYTES if self._requests else 0
        if len(self._headers) > FREE_FIELDS:
            size += len(self._headers) * FIELD_BYTES
        if size:
            memory.charge(size)

    # Callbacks of the parser

    def on_message_begin(self):
        self._target = b""
        self._headers = Headers()
        self._in_head = True
        self._head_started_at = self._loop.time()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._turn_work += 1
        # Trailers, which come after the body, are not fields of the head.
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self):
        self._in_head = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._framing.reset()
        self._turn_work += REQUEST_WORK
        headers = self._headers
        length_text = headers.get(b"content-length")
        coding = headers.get(b"transfer-encoding")
        # If the end of the body is ambiguous, another request can be smuggled in
        # the body (RFC 9112, 6.3). If there are two Host fields, a request can
        # pass as one for another service. Both are rejected.
        if (length_text and coding) or _has_repeated_single_field(headers):
            self._reject(400)
        if coding and coding != b"chunked":
            self._reject(400)
        length = int(length_text) if length_text.isdigit() else 0
        if length > self._server.limits.body_bytes:
            self._reject(413)
        size = len(self._target) + sum([len(k) + len(v) + 4 for k, v in headers])
        if size > self._server.limits.head_bytes:
            self._reject(431)
        length = -1 if coding else length
        memory = RequestMemory(budget=self._memory, holder=self)
        body = BodyStream(
            loop=self._loop,
            pause=self._pause,
            resume=self._update_reading,
            length=length,
            memory=memory,
        )
        self._receiving = request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            length=length,
            memory=memory,
        )
        self._head_started_at = None
        if self._rejection_status:
            return
        if headers.get(b"expect").lower() == b"100-continue":
            request.expects_continue = True
            body.ask = lambda: self.send_continue(request)
        self._charge_request(memory)
        self._requests.append(request)
        if self._has_enough_requests():
            self._pause()
        self._progress.set()

    def on_body(self, data):
        self._turn_work += 1
        self._body_bytes += len(data)
        self._progress_bytes += len(data)
        self._framing.note_body(len(data))
        if self._body_bytes > self._server.limits.body_bytes:
            self._reject(413)
            self._receiving.body.fail(
                IncompleteMessage("the request body exceeds the size limit")
            )
            return
        self._body_pieces.append(data)

    def on_message_complete(self):
        self._in_head = True
        self._head_bytes = 0
        self._flush_body()
        if self._receiving is not None:
            self._receiving.body.feed_end()

    def _flush_body(self):
        """Pass on the pieces of a body that were parsed in this turn, as one."""
        if self._body_pieces:
            pieces, self._body_pieces = self._body_pieces, []
            self._receiving.body.feed(b"".join(pieces))

    # Rejections

    def _end_if_without_end(self):
        """Close the connection if chunk sizes, trailers or garbage go on for long."""
        if self._framing.is_exceeded:
            log.warning("Closing a connection: a request goes on without end.")
            self.abort_requests("request_cut")

    def _reject(self, status):
        self._rejection_status = self._rejection_status or status
        self._fail_incomplete_bodies()
        self._progress.set()

    def _fail_incomplete_bodies(self):
        error = IncompleteMessage("the caller's connection ended")
        if self._receiving is not None:
            self._receiving.body.fail(error)
        for request in self._requests:
            request.body.fail(error)


def _has_repeated_single_field(headers):
    """Whether a field that may occur only once is repeated."""
    if len(headers.first_values) == len(headers):
        return False
    names = [name.lower() for name, _ in headers]
    return any(names.count(name) > 1 for name in SINGLE_FIELDS)
