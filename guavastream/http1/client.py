"""Sending side: pooled connections, one request at a time on each."""

import asyncio
from collections import deque

import httptools

from guavastream.http1.flow import FlowProtocol
from guavastream.http1.message import (
    BodyStream,
    CutOff,
    Headers,
    format_head,
)
from guavastream.kernel import TimeLimit

__all__ = ["Answer", "Client", "Exchange", "NotSent"]

# Bytes of an answer's head beyond which it is taken for none.
MOST_HEAD = 256 << 10
# Answers to earlier requests that are skipped on one connection; a server
# that sends more of them has lost track of it.
MAX_STRAYS = 3
# Share of the peer's announced idle time after which a connection is not
# used: a request that crosses the peer's close may or may not have run.
IDLE_SHARE = 0.75
DEFAULT_IDLE_SECONDS = 8.0
# Idle connections that are kept; each costs some KB and a descriptor.
MOST_IDLE = 400
NO_BODY = (204, 304)
CONTINUE = 100


class NotSent(Exception):
    """No byte of the request has reached the peer.

    Parameters
    ----------
    refused : bool
        Whether the peer's host said that nobody listens there.
    """

    def __init__(self, text, *, refused=False):
        super().__init__(text)
        self.refused = refused


class Answer:
    """One answer: status, headers, and the body as it comes."""

    __slots__ = ("status", "reason", "headers", "body", "framed")

    def __init__(self, *, status, reason, headers, body, framed):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        # Whether the end of the body is told by length or chunks.
        self.framed = framed


class _Connection(FlowProtocol):
    """A connection to a peer; also the callbacks of its parser."""

    def __init__(self, *, address, idle_seconds):
        super().__init__()
        self.address = address
        self._parser = httptools.HttpResponseParser(self)
        self._answers = deque()
        self._current = None
        self._error = None
        self._reason = b""
        self._headers = Headers()
        self._head_bytes = 0
        self._heard_bytes = False
        self._may_go = False
        self.in_use = False
        self.clean = True
        self.idle_since = 0.0
        self.idle_seconds = idle_seconds

    @property
    def usable(self):
        """Whether another request may go out on it."""
        return self.clean and self._error is None and not self._transport.is_closing()

    @property
    def heard_bytes(self):
        """Whether any byte of an answer arrived in this use."""
        return self._heard_bytes

    def data_received(self, data):
        if not self.in_use:
            # Bytes that nobody asked for belong to no request.
            self.clean = False
            self.abort()
            return
        self._heard_bytes = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.clean = False
            # What follows a whole answer that ends its connection is no part
            # of it.
            self._fail(CutOff("not an answer"))

    def eof_received(self):
        current = self._current
        if current is not None and not current.framed:
            current.body.feed_end()
        self._fail(CutOff("ended"))
        return False

    def connection_lost(self, error):
        super().connection_lost(error)
        self._fail(CutOff(f"lost: {error}"))

    def on_message_begin(self):
        self._reason = b""
        self._headers = Headers()
        self._head_bytes = 0

    def on_status(self, status):
        self._reason += status

    def on_header(self, name, value):
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MOST_HEAD:
            self._fail(CutOff("a head without end"))
            self.abort()

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status < 200:
            self._current = None
            self._may_go = self._may_go or status == CONTINUE
            self._arrived.set()
            return
        headers = self._headers
        framed = (
            status in NO_BODY
            or bool(headers.get(b"content-length"))
            or b"chunked" in headers.get(b"transfer-encoding").lower()
        )
        body = BodyStream(loop=self._loop, pause=self._pause, resume=self._resume)
        if not framed or not self._parser.should_keep_alive():
            self.clean = False
        self._current = Answer(
            status=status,
            reason=self._reason,
            headers=headers,
            body=body,
            framed=framed,
        )
        self._note_idle(headers.get(b"keep-alive"))
        self._answers.append(self._current)
        self._arrived.set()

    def on_body(self, data):
        if self._current is not None:
            self._current.body.feed(data)

    def on_message_complete(self):
        if self._current is not None:
            if self._current.framed:
                self._current.body.feed_end()
            self._current = None

    def _note_idle(self, said):
        for part in said.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_seconds = float(value)

    def begin(self):
        """Start a use of the connection."""
        self.in_use = True
        self._heard_bytes = self._may_go = False

    async def next_answer(self):
        """Return the next answer on the connection.

        Raises
        ------
        CutOff
            If it ended first.
        """
        while not self._answers:
            if self._error is not None:
                raise self._error
            self._arrived.clear()
            await self._arrived.wait()
        return self._answers.popleft()

    async def wait_go(self):
        """Wait until the peer wants the body; False if it answers without.

        Raises
        ------
        CutOff
            If the connection ended first.
        """
        while not (self._may_go or self._answers):
            if self._error is not None:
                raise self._error
            self._arrived.clear()
            await self._arrived.wait()
        return self._may_go

    def end(self):
        """End a use; anything left over makes the connection unusable."""
        self.in_use = False
        if self._answers or self._current is not None:
            self.clean = False
        self.idle_since = self._loop.time()

    def _fail(self, error):
        if self._error is None:
            self._error = error
        self.clean = False
        if self._current is not None:
            self._current.body.fail(self._error)
        self._arrived.set()


class Exchange:
    """One request on a connection, from its head to the end of its answer.

    Use it as an asynchronous context manager: leaving it gives a clean
    connection back to the pool and ends any other.
    """

    def __init__(self, *, client, connection, reused):
        self._client = client
        self._connection = connection
        self._sender = None
        self._answer = None
        self.reused = reused

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        self.close()

    def close(self):
        """Give the connection back if it is clean, and end it if not."""
        if self._sender is not None and not self._sender.done():
            self._sender.cancel()
            self._connection.clean = False
        whole = self._answer is not None and self._answer.body.ended
        self._connection.end()
        if not whole:
            self._connection.clean = False
        self._client.give_back(self._connection)

    @property
    def heard_bytes(self):
        """Whether any byte of an answer arrived."""
        return self._connection.heard_bytes

    def reset(self):
        """Reset the connection: what the peer has not read it never will."""
        self._connection.reset()

    def send(self, method, target, headers, body=b"", stream=None):
        """Send a request; `stream` is what follows `body`, in chunks."""
        connection = self._connection
        fields = list(headers)
        if stream is not None:
            fields.append((b"Transfer-Encoding", b"chunked"))
        elif body or method in (b"POST", b"PUT", b"PATCH"):
            fields.append((b"Content-Length", b"%d" % len(body)))
        head = format_head(method + b" " + target + b" HTTP/1.1", fields)
        if stream is None:
            connection.write(head + body)
            return
        connection.write(head)
        self._sender = asyncio.ensure_future(self._send_stream(body, stream))

    async def send_when_asked(self, method, target, headers, body, stream=None):
        """Send the head, and the body once the peer asks for it.

        A peer that refuses the request answers at once, and no byte of the
        body has gone over the link; the connection ends then, since the peer
        cannot know that none will follow.

        Raises
        ------
        CutOff
            If the connection ended first.
        """
        connection = self._connection
        framing = (b"Content-Length", b"%d" % len(body))
        if stream is not None:
            framing = (b"Transfer-Encoding", b"chunked")
        fields = [*headers, framing, (b"Expect", b"100-continue")]
        connection.write(format_head(method + b" " + target + b" HTTP/1.1", fields))
        if not await connection.wait_go():
            connection.clean = False
        elif stream is None:
            connection.write(body)
        else:
            self._sender = asyncio.ensure_future(self._send_stream(body, stream))

    async def _send_stream(self, first, stream):
        connection = self._connection
        piece = first or await stream.read()
        while piece:
            connection.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await connection.drain()
            piece = await stream.read()
        connection.write(b"0\r\n\r\n")

    async def answer(self, is_ours=lambda answer: True):
        """Return the answer for which `is_ours` holds, skipping strays.

        Raises
        ------
        CutOff
            If the connection ended first, or brought too many strays.
        """
        connection = self._connection
        for _ in range(MAX_STRAYS + 1):
            answer = await self._next_or_sender_failure()
            if is_ours(answer):
                self._answer = answer
                return answer
            # An extra answer to an earlier request; ours comes after it.
            connection.clean = False
            while await answer.body.read():
                pass
        raise CutOff("too many answers to other requests")

    async def _next_or_sender_failure(self):
        sender = self._sender
        if sender is None or sender.done():
            return await self._connection.next_answer()
        waiting = asyncio.ensure_future(self._connection.next_answer())
        try:
            await asyncio.wait({waiting, sender}, return_when=asyncio.FIRST_COMPLETED)
            if sender.done() and not sender.cancelled() and sender.exception():
                raise sender.exception()
            return await waiting
        finally:
            waiting.cancel()


class Client:
    """Keeps idle connections by address and opens new ones.

    Parameters
    ----------
    connect_seconds : float
        Longest wait for a new connection.
    idle_seconds : float
        Time for which peers keep idle connections if they do not say so.

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
        self._count = 0
        self.opened = 0

    @property
    def idle_count(self):
        """Number of idle connections."""
        return self._count

    def count_open(self, address):
        """Return the number of idle connections that are still open."""
        waiting = self._idle.get(address, ())
        return sum(connection.usable for connection in waiting)

    async def open(self, address, *, fresh=False, idle_seconds=None):
        """Return an `Exchange` on an idle or a new connection.

        Parameters
        ----------
        address : str
            IP:PORT.
        fresh : bool
            Never reuse a connection.
        idle_seconds : float, optional
            Do not use one that was idle for longer.

        Raises
        ------
        NotSent
            If no connection can be made.
        """
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        connection = None if fresh else self._take(address, idle_seconds)
        reused = connection is not None
        if connection is None:
            connection = await self._connect(address)
        connection.begin()
        return Exchange(client=self, connection=connection, reused=reused)

    def _take(self, address, idle_seconds):
        now = self._loop.time()
        waiting = self._idle.get(address)
        while waiting:
            connection = waiting.pop()
            self._count -= 1
            allowed = connection.idle_seconds * IDLE_SHARE
            if idle_seconds is not None:
                allowed = min(allowed, idle_seconds)
            if connection.usable and now - connection.idle_since < allowed:
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
        self.opened += 1
        return connection

    def give_back(self, connection):
        """Keep a connection that is clean, and end any other."""
        if not connection.usable:
            connection.abort()
            return
        # The address that was used last stands last.
        waiting = self._idle.pop(connection.address, [])
        waiting.append(connection)
        self._idle[connection.address] = waiting
        self._count += 1
        if self._count > MOST_IDLE:
            address = next(iter(self._idle))
            self._drop_oldest(address)

    def _drop_oldest(self, address):
        waiting = self._idle[address]
        waiting.pop(0).abort()
        self._count -= 1
        if not waiting:
            del self._idle[address]

    def forget(self, address):
        """End the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            self._count -= 1
            connection.abort()

    def close(self):
        """End all idle connections."""
        for address in list(self._idle):
            self.forget(address)
