"""Server side of a connection: its requests are answered in their order."""

import asyncio
import contextlib

from guavastream.http1.holding import HoldingProtocol
from guavastream.http1.memory import BudgetSpent
from guavastream.http1.message import REASONS, IncompleteMessage, format_head
from guavastream.http1.responder import AbortedRequest, Responder
from guavastream.kernel import Signal, TimeLimit, part_logger

__all__ = ["ServerConnection"]

log = part_logger("http")

# Wait for the event loop to read data that is in the receive buffer already.
UNREAD_WAIT_SECONDS = 0.01
# Time for which a connection still reads after its last response, before it closes.
LINGER_SECONDS = 2.0
# Share of the idle limit that is announced to callers; the rest allows for network
# latency and for pauses of the host.
ANNOUNCED_IDLE_SHARE = 0.8
# Header fields above which a request waits for its turn: each is copied several times.
MANY_FIELDS = 64
# Requests of one connection that begin in a turn, of those that may overlap.
OVERLAPPING_STARTS = 4
# Value of Retry-After of a request for which there is no memory.
RETRY_AFTER_SPENT = b"0.5"


class ServerConnection(HoldingProtocol):
    """One caller's connection: handles its requests and sends the responses."""

    def __init__(self, *, server):
        super().__init__(server=server)
        self._task = None
        self._handling = False
        self._closing_when_idle = False
        self._linger_timer = None
        self._idle_started_at = self._idle_limit_at_start = 0.0
        self._start_turn = Signal(loop=self._loop)
        self._overlap_turn_requested = False

    # Callbacks of the transport

    def connection_made(self, transport):
        super().connection_made(transport)
        self._server.connection_opened(self)
        self._task = self._loop.create_task(self._run())

    def connection_lost(self, error):
        super().connection_lost(error)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._server.connection_closed(self)
        if self._task is not None:
            self._task.cancel()
        self._pipeline.cancel()

    # The task that handles the requests, and those that run before their turn

    async def _run(self):
        cause = "ended"
        try:
            while await self._wait_for_request():
                if not await self._serve_next():
                    break
            else:
                if not self._rejection_status:
                    # Answers a request that is sent while the connection closes
                    # and is therefore not handled.
                    self.write(self._server.closing_response)
        except asyncio.CancelledError:
            cause = "cancelled"
        except Exception:
            log.exception("The task of a caller's connection failed.")
            self.abort_requests("error")
        finally:
            self._task = None
            self._report_aborted(cause)
            self._linger()

    def _linger(self):
        """Close the sending direction, and keep reading for a while before closing.

        If a connection is closed while data is unread or still arrives, a reset is
        sent, which can reach the caller before the response does (RFC 9112, 9.6).
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._lingering = True
        self._resume()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, which the transport does not know.
            self._transport.abort()
            return
        self._server.connection_lingering(self)
        self._linger_timer = self._loop.call_later(
            LINGER_SECONDS, self._transport.close
        )

    async def _wait_for_request(self):
        """Wait for a request; return False if the connection should be closed."""
        self._idle_started_at = self._loop.time()
        self._idle_limit_at_start = self._server.limits.idle_seconds
        waited = False
        while not self._requests and not self._pipeline:
            waited = True
            if self._unparsed:
                await self._data_arrives(
                    self._loop.time() + self._server.limits.head_seconds
                )
                continue
            if self._rejection_status:
                await self._send_rejection()
                return False
            closing_idle = self._closing_when_idle or self._server.closing_idle
            if not closing_idle or self._head_started_at is not None:
                until = self._read_deadline()
                if await self._data_arrives(until) or self._read_deadline() > until:
                    continue
            if self._head_started_at is not None:
                self._rejection_status = 408
            elif not await self._unread_data_arrives():
                return False
        return await self._wait_for_turn(waited)

    async def _wait_for_turn(self, waited):
        """Wait until the next request may begin; return False if its caller has left.

        One that was sent ahead, or that takes long to begin, lets all others begin
        before; `waited` says that the request was not sent ahead.
        """
        if self._pipeline:
            # It has begun already.
            return True
        if not waited and self._caller_has_left():
            return False
        goes_first = waited and len(self._requests[0].headers) <= MANY_FIELDS
        if goes_first and self._turns.may_start():
            return True
        enter = self._turns.start if goes_first else self._turns.continue_later
        self._start_turn.clear()
        enter(self._give_turn)
        await self._start_turn.wait()
        return True

    def _caller_has_left(self):
        """Abort the connection if its end waits behind data that is not read.

        Without this, requests that were sent ahead would run for a caller who has left.
        """
        if not (self._reading_paused and self.has_hung_up()):
            return False
        self._lost = True
        self.abort()
        return True

    def _give_turn(self):
        self._start_turn.set()
        return not self._transport.is_closing()

    async def _unread_data_arrives(self):
        """Read data from the receive buffer, if any; return whether some arrived."""
        if not self.has_unread():
            return False
        return await self._data_arrives(self._loop.time() + UNREAD_WAIT_SECONDS)

    async def _data_arrives(self, until):
        """Wait until data arrives or the task is woken; return False after `until`."""
        self._progress.clear()
        return await self._progress.wait_until(until)

    def _read_deadline(self):
        """Return the time by which the caller must have completed or begun a head."""
        limits = self._server.limits
        if self._head_started_at is not None:
            return self._head_started_at + limits.head_seconds
        # The caller may rely on the limit announced in its last response or on the
        # current one, so the longer of them applies.
        return self._idle_started_at + max(
            self._idle_limit_at_start, limits.idle_seconds
        )

    async def _serve_next(self):
        """Answer the oldest request; return whether the connection stays open."""
        self._handling = True
        self._server.connection_used(self)
        try:
            if self._pipeline:
                self._responder, task = self._pipeline.pop()
                self._responder.release()
                self._start_overlapping()
                received = await task
            elif not self._requests:
                # The connection was aborted while it waited for its turn.
                return False
            else:
                request = self._requests.popleft()
                self._responder = Responder(connection=self, request=request)
                self._update_reading()
                self._start_overlapping()
                received = await self._handle(self._responder)
        finally:
            self._handling = False
        return await self._end_response(received)

    async def _handle(self, responder):
        """Run the handler; return whether the request was received completely."""
        try:
            await self._server.handler(responder.request, responder)
        except IncompleteMessage:
            return False
        except BudgetSpent:
            if not responder.started:
                await responder.send(503, [(b"Retry-After", RETRY_AFTER_SPENT)])
        except Exception:
            log.exception("The handler of a request failed.")
            if not responder.started:
                await responder.send(500)
        finally:
            responder.request.memory.release()
        return True

    def _on_parsed(self):
        if self._head_started_at is not None:
            # Wakes the task, which applies the time limit of the head from now on
            # instead of the idle limit.
            self._progress.set()
        self._start_overlapping()

    def _start_overlapping(self):
        """Start the requests that may run while earlier ones do."""
        starts = 0
        if self._requests and self._responder is not None and self._caller_has_left():
            return
        while (
            self._requests
            and self._responder is not None
            and self._pipeline.may_start(self._requests[0], current=self._responder)
        ):
            if starts == OVERLAPPING_STARTS:
                self._request_overlap_turn()
                return
            starts += 1
            responder = Responder(
                connection=self,
                request=self._requests.popleft(),
                turn=Signal(loop=self._loop),
            )
            self._pipeline.start(responder, self._handle(responder))
            self._update_reading()

    def _request_overlap_turn(self):
        if not self._overlap_turn_requested:
            self._overlap_turn_requested = True
            self._turns.continue_later(self._take_overlap_turn)

    def _take_overlap_turn(self):
        self._overlap_turn_requested = False
        self._start_overlapping()
        return not self._transport.is_closing()

    async def _end_response(self, received):
        """Flush the response that is due; return whether the connection stays open."""
        responder = self._responder
        if responder is None:
            # The connection was aborted and its requests were reported.
            return False
        if not received and not responder.started and self._rejection_status:
            self._responder = None
            await self._send_rejection()
            return False
        if not responder.complete:
            self.abort_requests(
                "request_cut" if not responder.request.body.ended else "unanswered"
            )
            return False
        with contextlib.suppress(TimeoutError):
            with TimeLimit.within(self._server.limits.idle_seconds, loop=self._loop):
                await self.drain()
                self._responder = None
                # The handler may not have read a body for which reading has paused.
                self._update_reading()
                return not responder.closes
        # The caller did not read the response in time.
        self.abort()
        return False

    async def _send_rejection(self):
        self._server.note_refused(self._rejection_status)
        line = b"HTTP/1.1 %d %s" % (
            self._rejection_status,
            REASONS[self._rejection_status],
        )
        fields = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.write(format_head(line, fields))
        await self.drain()

    # Used by the responder and the server

    def send_continue(self, request):
        """Send "100 Continue" if the caller waits for it before sending the body."""
        if request.expects_continue:
            request.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def closes_after(self, request):
        """Whether the connection closes after the response to `request`."""
        if not request.keep_alive or not request.body.ended:
            # The rest of the body must not be parsed as the next request.
            return True
        # Pipelined requests are still handled, and a rejection has a response of its
        # own that closes the connection.
        return (
            self._server.closing
            and not self._requests
            and not self._unparsed
            and not self._pipeline
            and not self._rejection_status
        )

    @property
    def buffer_full(self):
        """Whether responses wait until they are due, instead of being buffered."""
        return self._pipeline.full

    def note_buffered(self):
        """Count a response that is buffered until it is due."""
        self._server.count("pipelined.buffered")

    @property
    def announced_idle_seconds(self):
        """Idle time announced to callers in whole seconds, 0 for no announcement."""
        if not self._server.announces_idle_timeout:
            return 0
        return int(self._server.limits.idle_seconds * ANNOUNCED_IDLE_SHARE)

    @property
    def busy(self):
        """Number of requests that have started and are not answered yet."""
        return self._handling + len(self._pipeline)

    @property
    def idle(self):
        """Whether no request is in progress, queued or partly received."""
        return (
            not self.busy
            and not self._requests
            and not self._unparsed
            and self._head_started_at is None
        )

    def close(self):
        """Close the connection, with a reset if a request is in progress."""
        self._report_aborted("stopped")
        if self.busy:
            self.abort()
        elif self._transport is not None:
            self._transport.close()

    def abort_requests(self, cause):
        """Reset the connection and report its unfinished requests as aborted."""
        self._report_aborted(cause)
        self.abort()

    def close_when_idle(self):
        """Close the connection as soon as it is idle."""
        self._closing_when_idle = True
        self.recheck_closing()

    def recheck_closing(self):
        """Wake the task, so that it checks whether the connection should close."""
        self._progress.set()

    def _report_aborted(self, cause):
        """Report the requests left without a complete response."""
        responder, self._responder = self._responder, None
        started = self._pipeline.cancel()
        waiting = list(self._requests)
        self._requests.clear()
        if self._lost:
            # The caller ended the connection, so this server aborted nothing.
            return
        if responder is not None and not responder.complete:
            response_sent = "part" if responder.started else "none"
            self._report_aborted_request(
                responder.request,
                cause,
                handler_called=True,
                response_sent=response_sent,
            )
        for later in started:
            self._report_aborted_request(
                later.request, cause, handler_called=True, response_sent="none"
            )
        for request in waiting:
            self._report_aborted_request(
                request, cause, handler_called=False, response_sent="none"
            )

    def _report_aborted_request(self, request, cause, *, handler_called, response_sent):
        aborted = AbortedRequest(
            request=request,
            cause=cause,
            handler_called=handler_called,
            request_complete=request.body.ended,
            response_sent=response_sent,
        )
        self._server.note_aborted(aborted)
