"""Serving side: a task for each connection reads requests one by one."""

import asyncio
import contextlib
import itertools
from collections import deque
from dataclasses import dataclass

import httptools

from guavastream.http1.flow import FlowProtocol
from guavastream.http1.message import (
    REASONS,
    BodyStream,
    CutOff,
    Headers,
    format_head,
)
from guavastream.kernel import TimeLimit, drop_new_connections, part_logger

__all__ = ["Cut", "Limits", "Request", "Responder", "Server"]

log = part_logger("http")

BACKLOG = 1024
# Requests that a caller may send ahead on one connection before reading stops.
MAX_AHEAD = 4
# Time for the loop to read what has come already.
UNREAD_SECONDS = 0.01
# Time after its last answer in which a connection reads what its caller still sends,
# and connections that do so at a time.
LINGER_SECONDS = 2.0
MOST_LINGERING = 200
# Time for the loop to accept the connections that have begun.
ACCEPT_SECONDS = 0.05
# Longest wait at a stop for answers that are on their way out.
FLUSH_SECONDS = 0.2
POLL_SECONDS = 0.01
# Share of the idle limit that callers are told; the rest is for the way, and for a
# host that stands still.
COUNTED_SHARE = 0.8
# Fields that a request has once at most.
ONCE = (b"host", b"content-length", b"transfer-encoding")


@dataclass(frozen=True, kw_only=True)
class Limits:
    """What a caller may send and how long it may take; times in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


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
    connection : _Connection
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


class _Connection(FlowProtocol):
    """One caller's connection; also the callbacks of its parser."""

    def __init__(self, *, server):
        super().__init__()
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._requests = deque()
        self._task = None
        self._responder = None
        self._lost = False
        self._leaves = self._lingers = False
        self._end_of_linger = None
        self._refusal = 0
        self._current = None
        self._target = b""
        self._headers = Headers()
        self._head_bytes = 0
        self._body_bytes = 0
        self._head_since = None
        self._idle_since = self._idle_allowed = 0.0
        self._in_head = True
        self.busy = False

    # What the loop calls

    def connection_made(self, transport):
        super().connection_made(transport)
        self._server.opened(self)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data):
        if self._refusal or self._lingers:
            return
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        if self._in_head and self._head_bytes > self._server.limits.head_bytes:
            self._refuse(431)
        if self._head_since is not None:
            # Its limit counts from now on, not that of an idle connection.
            self._arrived.set()

    def eof_received(self):
        return False

    def connection_lost(self, error):
        super().connection_lost(error)
        self._lost = True
        if self._end_of_linger is not None:
            self._end_of_linger.cancel()
        self._fail_bodies()
        self._server.closed(self)
        if self._task is not None:
            self._task.cancel()

    # What the parser calls

    def on_message_begin(self):
        self._target = b""
        self._headers = Headers()
        self._in_head = True
        self._head_since = self._loop.time()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._headers.append((name, value))

    def on_headers_complete(self):
        self._in_head = False
        self._head_bytes = 0
        self._body_bytes = 0
        headers = self._headers
        length_text = headers.get(b"content-length")
        coding = headers.get(b"transfer-encoding")
        # Two readings of where a body ends are how one request is smuggled
        # inside another (RFC 9112, 6.3), two hosts how it passes as one for
        # another service; neither reading is taken.
        if (length_text and coding) or _repeats(headers):
            self._refuse(400)
        if coding and coding != b"chunked":
            self._refuse(400)
        length = int(length_text) if length_text.isdigit() else 0
        if length > self._server.limits.body_bytes:
            self._refuse(413)
        size = len(self._target) + sum([len(k) + len(v) + 4 for k, v in headers])
        if size > self._server.limits.head_bytes:
            self._refuse(431)
        body = BodyStream(loop=self._loop, pause=self._pause, resume=self._resume)
        self._current = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            length=-1 if coding else length,
        )
        self._head_since = None
        if self._refusal:
            return
        self._current.awaits_go = headers.get(b"expect").lower() == b"100-continue"
        if self._current.awaits_go and not self._server.holds_bodies:
            self.go_ahead(self._current)
        self._requests.append(self._current)
        if len(self._requests) > MAX_AHEAD:
            self._pause()
        self._arrived.set()

    def on_body(self, data):
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            self._current.body.fail(CutOff("body too large"))
            return
        self._current.body.feed(data)

    def on_message_complete(self):
        self._in_head = True
        self._head_bytes = 0
        if self._current is not None:
            self._current.body.feed_end()

    # The task

    async def _run(self):
        why = "ended"
        try:
            while await self._next():
                request = self._requests.popleft()
                self._resume()
                if not await self._serve(request):
                    break
            else:
                if not self._refusal:
                    # For a request that crosses the end; it will not be handled.
                    self.write(self._server.farewell)
        except asyncio.CancelledError:
            why = "cancelled"
        except Exception:
            log.exception("A connection failed.")
            self.cut("error")
        finally:
            self._task = None
            self._note_cuts(why)
            self._linger()

    def _linger(self):
        """Say that nothing follows, and read on for a while before closing.

        Closed with bytes unread, or still to come, the connection is reset, and the
        reset overtakes the answer (RFC 9112, 9.6).
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._lingers = True
        self._resume()
        self._transport.write_eof()
        self._server.lingers(self)
        self._end_of_linger = self._loop.call_later(
            LINGER_SECONDS, self._transport.close
        )

    async def _next(self):
        """Wait for a request; return False when the connection is to end."""
        self._idle_since = self._loop.time()
        self._idle_allowed = self._server.limits.idle_seconds
        while not self._requests:
            if self._refusal:
                await self._end_refused()
                return False
            ends_idle = self._leaves or self._server.ends_idle
            if ends_idle and self._head_since is None:
                return False
            until = self._patient_until()
            if await self._arrives(until) or self._patient_until() > until:
                continue
            if self._head_since is not None:
                self._refusal = 408
            elif not self.has_unread():
                return False
            elif not await self._arrives(self._loop.time() + UNREAD_SECONDS):
                return False
        return True

    async def _arrives(self, until):
        """Wait until something arrives; return False if nothing did in time."""
        self._arrived.clear()
        try:
            with TimeLimit(loop=self._loop, when=until):
                await self._arrived.wait()
        except TimeoutError:
            # It may have come in the very turn in which the time was over.
            return self._arrived.is_set()
        return True

    def _patient_until(self):
        """Return the time at which the caller has taken too long."""
        limits = self._server.limits
        if self._head_since is not None:
            return self._head_since + limits.head_seconds
        # A caller knows the limit of its last answer, or the newest one.
        return self._idle_since + max(self._idle_allowed, limits.idle_seconds)

    async def _serve(self, request):
        self.busy = True
        self._server.used(self)
        responder = self._responder = Responder(connection=self, request=request)
        try:
            await self._server.handler(request, responder)
        except CutOff:
            # The request did not come whole.
            if not responder.started and self._refusal:
                self._responder = None
                await self._end_refused()
                return False
        except Exception:
            log.exception("A request failed.")
            if not responder.started:
                await responder.send(500)
        finally:
            self.busy = False
        if not responder.whole:
            self.cut("request_cut" if not request.body.ended else "unanswered")
            return False
        with contextlib.suppress(TimeoutError):
            with TimeLimit.within(self._server.limits.idle_seconds, loop=self._loop):
                await self.drain()
                return not responder.closes
        # The caller does not read.
        self.abort()
        return False

    async def _end_refused(self):
        self._server.note_refused(self._refusal)
        line = b"HTTP/1.1 %d %s" % (self._refusal, REASONS[self._refusal])
        fields = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.write(format_head(line, fields))
        await self.drain()

    # What the responder uses

    def go_ahead(self, request):
        """Let the peer send the body that it asked for."""
        if request.awaits_go:
            request.awaits_go = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def closes_after(self, request):
        """Whether the connection ends after the answer to `request`."""
        if not request.keep_alive or not request.body.ended:
            # The rest of a body must not be read as the next request.
            return True
        # What was sent ahead is answered too, and a refusal closes with its own answer.
        return self._server.closing and not self._requests and not self._refusal

    @property
    def keep_seconds(self):
        """Whole seconds for which callers may count on the connection, 0 if none."""
        if not self._server.tells_idle:
            return 0
        return int(self._server.limits.idle_seconds * COUNTED_SHARE)

    @property
    def idle(self):
        """Whether nothing of a request has come that is not answered."""
        return not self.busy and not self._requests and self._head_since is None

    def end(self):
        """End the connection, with a reset if a request is in progress."""
        self._note_cuts("stopped")
        if self.busy:
            self.abort()
        elif self._transport is not None:
            self._transport.close()

    def cut(self, why):
        """Reset the connection under its requests."""
        self._note_cuts(why)
        self.abort()

    def leave(self):
        """End the connection as soon as it is idle."""
        self._leaves = True
        self.wake()

    def wake(self):
        """Look again whether the server is closing."""
        self._arrived.set()

    def _note_cuts(self, why):
        """Tell of the requests that this connection leaves without a whole answer."""
        responder, self._responder = self._responder, None
        waiting = list(self._requests)
        self._requests.clear()
        if self._lost:
            # The caller has ended it.
            return
        if responder is not None and not responder.whole:
            answered = "part" if responder.started else "none"
            self._note_cut(responder.request, why, begun=True, answered=answered)
        for request in waiting:
            self._note_cut(request, why, begun=False, answered="none")

    def _note_cut(self, request, why, *, begun, answered):
        cut = Cut(
            request=request,
            why=why,
            begun=begun,
            whole=request.body.ended,
            answered=answered,
        )
        self._server.note_cut(cut)

    def _refuse(self, status):
        self._refusal = self._refusal or status
        self._fail_bodies()
        self._arrived.set()

    def _fail_bodies(self):
        error = CutOff("the caller's connection ended")
        if self._current is not None:
            self._current.body.fail(error)
        for request in self._requests:
            request.body.fail(error)


def _repeats(headers):
    """Whether a field that a request has once at most stands there again."""
    if len(headers.index) == len(headers):
        return False
    names = [name.lower() for name, _ in headers]
    return any(names.count(name) > 1 for name in ONCE)


class Server:
    """Listens at one address and hands each request to a coroutine.

    Parameters
    ----------
    address : tuple
        IP number and port; port 0 lets the system choose.
    handler : callable
        Coroutine function of a `Request` and its `Responder`.
    limits : Limits, optional
        Bounds on callers; may be replaced while serving.
    most : int
        Connections beyond which idle ones are ended, longest idle first.
    note_refused : callable, optional
        Told the status of each request that could not be read.
    note_cut : callable, optional
        Told the `Cut` of each request whose connection was ended here.
    farewell : bytes, optional
        A whole answer that is sent on a connection which ends though nothing said so.
        Peers must bear answers that they have not asked for.
    tells_idle : bool
        Whether answers say how long their connection is kept.
    holds_bodies : bool
        Whether the handler itself says when a body may come that its sender
        holds back; else it may come at once.
    """

    def __init__(
        self,
        *,
        address,
        handler,
        limits=None,
        most=2000,
        note_refused=None,
        note_cut=None,
        farewell=b"",
        tells_idle=True,
        holds_bodies=False,
    ):
        self._address = address
        self._listener = None
        # In the order of their last use.
        self._connections = {}
        self._lingering = {}
        self._most = most
        self.handler = handler
        self.limits = limits or Limits()
        self.closing = False
        self.ends_idle = False
        self.holds_bodies = holds_bodies
        self.tells_idle = tells_idle
        self.farewell = farewell
        self.note_refused = note_refused or (lambda status: None)
        self.note_cut = note_cut or (lambda cut: None)

    @property
    def address(self):
        """IP:PORT that is bound."""
        host, port = self._listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._connections) + len(self._lingering)

    @property
    def busy(self):
        """Number of requests in progress."""
        return sum(connection.busy for connection in self._connections)

    async def start(self):
        """Bind and serve.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(server=self),
            *self._address,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def begin_close(self):
        """Say `Connection: close` on answers and end idle connections."""
        self.closing = self.ends_idle = True
        for connection in list(self._connections):
            connection.wake()

    def stop_listening(self):
        """Take no new connections; open ones go on."""
        self._listener.close()

    async def end_listening(self):
        """Take no new connections once those that have begun are taken.

        Closing a listening socket resets what waits in its queue, whose callers have
        perhaps sent a whole request. With new ones held off for a moment none waits.
        """
        for listener in self._listener.sockets:
            # Not every platform knows it; most of the queue is taken all the same.
            with contextlib.suppress(OSError):
                drop_new_connections(listener)
        await asyncio.sleep(ACCEPT_SECONDS)
        self._listener.close()

    async def stop(self):
        """Stop listening; end what is idle, let answers out, and cut the rest."""
        self._listener.close()
        for connection in [*self._connections, *self._lingering]:
            connection.end()
        until = asyncio.get_running_loop().time() + FLUSH_SECONDS
        while self.open_count and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(POLL_SECONDS)

    def opened(self, connection):
        """Note a new connection, and end idle ones beyond the bound."""
        self._connections[connection] = None
        excess = len(self._connections) - self._most
        if excess > 0:
            idle = (c for c in self._connections if c.idle)
            for other in list(itertools.islice(idle, excess)):
                other.leave()

    def used(self, connection):
        """Note that a request came on a connection."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def lingers(self, connection):
        """Note a connection that only reads on, and end the oldest beyond the bound."""
        self._connections.pop(connection, None)
        self._lingering[connection] = None
        if len(self._lingering) > MOST_LINGERING:
            next(iter(self._lingering)).end()

    def closed(self, connection):
        """Forget a connection."""
        self._connections.pop(connection, None)
        self._lingering.pop(connection, None)
