"""A caller's connection: a task reads its requests one by one and sees to answers."""

import asyncio
import contextlib
from collections import deque

import httptools

from guavastream.http1.flow import FlowProtocol
from guavastream.http1.message import (
    REASONS,
    BodyStream,
    CutOff,
    Headers,
    format_head,
)
from guavastream.http1.responder import Cut, Request, Responder
from guavastream.kernel import TimeLimit, part_logger

__all__ = ["ServerConnection"]

log = part_logger("http")

# Requests that a caller may send ahead on one connection before reading stops.
MAX_AHEAD = 4
# Time for the loop to read what has come already.
UNREAD_SECONDS = 0.01
# Time after its last answer in which a connection reads what its caller still sends.
LINGER_SECONDS = 2.0
# Share of the idle limit that callers are told; the rest is for the way, and for a
# host that stands still.
COUNTED_SHARE = 0.8
# Fields that a request has once at most.
ONCE = (b"host", b"content-length", b"transfer-encoding")


class ServerConnection(FlowProtocol):
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
            if not ends_idle or self._head_since is not None:
                until = self._patient_until()
                if await self._arrives(until) or self._patient_until() > until:
                    continue
            if self._head_since is not None:
                self._refusal = 408
            elif not await self._has_more():
                return False
        return True

    async def _has_more(self):
        """Whether something has come that the loop has not read yet."""
        if not self.has_unread():
            return False
        return await self._arrives(self._loop.time() + UNREAD_SECONDS)

    async def _arrives(self, until):
        """Wait until something arrives; return False if nothing did in time."""
        self._arrived.clear()
        return await self._arrived.wait_until(until)

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
