"""HTTP/1.1 client with a connection pool; no pipelining of requests."""

import asyncio
from collections import deque

import httptools

from guavastream.http1.body import BodyLost
from guavastream.http1.flow import FlowProtocol
from guavastream.http1.message import (
    BodyStream,
    Headers,
    IncompleteMessage,
    format_head,
)
from guavastream.kernel import TimeLimit

__all__ = ["Response", "Client", "Exchange", "NotSent"]

# Longest head of a response; a connection with a longer one is aborted.
MAX_HEAD_BYTES = 256 << 10
# Responses to earlier requests that are skipped before the connection is given up;
# a server that sends more of them has lost track of the requests on it.
MAX_STRAY_RESPONSES = 3
# Share of the peer's idle timeout after which a connection is not reused. If the peer
# closes the connection while a request is on its way, it is unknown whether the
# request ran.
USABLE_IDLE_SHARE = 0.75
DEFAULT_IDLE_SECONDS = 8.0
# Idle connections in the pool; each takes a few KB and a file descriptor.
MAX_IDLE_CONNECTIONS = 400
NO_BODY_STATUSES = (204, 304)
CONTINUE_STATUS = 100
# Requests whose ids a connection remembers; with more it is not used again.
MAX_REMEMBERED_IDS = 1024


class NotSent(Exception):
    """No connection could be used, so no byte of the request has reached the peer.

    Parameters
    ----------
    refused : bool
        Whether the peer's host refused the connection because no process listens.
    """

    def __init__(self, text, *, refused=False):
        super().__init__(text)
        self.refused = refused


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


class _Connection(FlowProtocol):
    """A connection to a peer, with the callbacks of its transport and parser."""

    def __init__(self, *, address, idle_seconds):
        super().__init__()
        self.address = address
        self._parser = httptools.HttpResponseParser(self)
        self._responses = deque()
        self._receiving = None
        self._error = None
        self._reason = b""
        self._headers = Headers()
        self._head_bytes = 0
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
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reusable = False
            # The parser also raises for data after a response that closes its
            # connection; `_fail` leaves that response complete.
            self._fail(IncompleteMessage("the peer sent an invalid HTTP response"))

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
        self._head_bytes = 0

    def on_status(self, status):
        self._reason += status

    def on_header(self, name, value):
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(
                IncompleteMessage("the head of the response exceeds the size limit")
            )
            self.abort()

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status < 200:
            self._receiving = None
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
        self._progress.set()

    def on_body(self, data):
        if self._receiving is not None:
            self._receiving.body.feed(data)

    def on_message_complete(self):
        self._in_response = False
        if self._receiving is not None:
            if self._receiving.has_framing:
                self._receiving.body.feed_end()
            self._receiving = None

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
            while await response.body.read():
                pass
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


class Client:
    """HTTP/1.1 client with a pool of idle connections for each address.

    Parameters
    ----------
    connect_seconds : float
        Timeout for opening a connection.
    idle_seconds : float
        Assumed idle timeout of peers that announce none.

    Examples
    --------
    >>> Client().idle_count
    0
    """

    def __init__(self, *, connect_seconds=0.5, idle_seconds=DEFAULT_IDLE_SECONDS):
        self._connect_seconds = connect_seconds
        self._idle_seconds = idle_seconds
        self._loop = None
        self._idle = {}
        self._idle_total = 0
        self.opened_count = 0

    @property
    def idle_count(self):
        """Number of idle connections in the pool."""
        return self._idle_total

    def count_usable(self, address):
        """Return the number of usable idle connections to an address."""
        pooled = self._idle.get(address, ())
        return sum(connection.usable for connection in pooled)

    async def open(
        self, address, *, fresh=False, idle_seconds=None, id=None, until=0.0
    ):
        """Return an `Exchange` on an idle or a new connection.

        Parameters
        ----------
        address : str
            IP:PORT.
        fresh : bool
            Whether to open a new connection even if an idle one is usable.
        idle_seconds : float, optional
            Reuse only connections that were idle for less than this time.
        id : bytes, optional
            Id of the request, by which its response is recognized. No connection is
            reused that has carried the id before: if the response to that sending came
            once more, it would be taken for the one to this sending.
        until : float
            Loop time until which the id may be sent again.

        Raises
        ------
        NotSent
            If no connection can be opened.
        """
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        connection = None if fresh else self._take_idle(address, idle_seconds, id)
        reused = connection is not None
        if connection is None:
            connection = await self._connect(address)
            if not connection.usable:
                connection.abort()
                raise NotSent(f"{address}: the peer closed the new connection")
        connection.begin(id, until)
        return Exchange(client=self, connection=connection, reused=reused)

    def _take_idle(self, address, idle_seconds, id):
        """Return the idle connection that was used last and may be used, or None."""
        pooled = self._idle.get(address)
        if not pooled:
            return None
        passed_over = []
        try:
            return self._take_usable(pooled, idle_seconds, id, passed_over)
        finally:
            pooled.extend(reversed(passed_over))

    def _take_usable(self, pooled, idle_seconds, id, passed_over):
        now = self._loop.time()
        while pooled:
            connection = pooled.pop()
            if id is not None and connection.has_carried(id):
                passed_over.append(connection)
                continue
            self._idle_total -= 1
            allowed = connection.idle_seconds * USABLE_IDLE_SHARE
            if idle_seconds is not None:
                allowed = min(allowed, idle_seconds)
            is_fresh_enough = now - connection.idle_since < allowed
            # A request that is sent after the peer has closed the connection ends
            # without an answer, although it has not run.
            if (
                connection.usable
                and is_fresh_enough
                and not connection.has_pending_event()
            ):
                return connection
            connection.abort()
        return None

    async def _connect(self, address):
        host, _, port = address.rpartition(":")
        loop = self._loop
        try:
            with TimeLimit.within(self._connect_seconds, loop=loop):
                _, connection = await loop.create_connection(
                    lambda: _Connection(
                        address=address, idle_seconds=self._idle_seconds
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise NotSent(f"{address}: {error!r}", refused=refused) from error
        self.opened_count += 1
        return connection

    def release(self, connection):
        """Add a connection to the pool if it is usable, and abort it otherwise."""
        if not connection.usable:
            connection.abort()
            return
        # Addresses are kept in the order of their last use.
        pooled = self._idle.pop(connection.address, [])
        pooled.append(connection)
        self._idle[connection.address] = pooled
        self._idle_total += 1
        if self._idle_total > MAX_IDLE_CONNECTIONS:
            address = next(iter(self._idle))
            self._drop_oldest(address)

    def _drop_oldest(self, address):
        pooled = self._idle[address]
        pooled.pop(0).abort()
        self._idle_total -= 1
        if not pooled:
            del self._idle[address]

    def close_idle(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            self._idle_total -= 1
            connection.abort()

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
