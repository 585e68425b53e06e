"""HTTP/1.1 server that passes requests to a coroutine function."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass

from guavastream.http1.capacity import Capacity
from guavastream.http1.connection import ServerConnection
from guavastream.http1.receiving import RECEIVE_BUFFER_BYTES
from guavastream.kernel import drop_new_connections, open_listener

__all__ = ["Limits", "Server"]

# Connections that wait to be accepted. What their senders have sent is memory of the
# process, and no budget counts it.
ACCEPT_BACKLOG = 256
# Connections that are accepted in one iteration of the event loop.
ACCEPTS_PER_ITERATION = 8
# Connections that are looked at for each one that is opened above the maximum.
MAX_IDLE_CHECKS = 16
# Connections that may linger at a time: that only read before they close.
MAX_LINGERING_CONNECTIONS = 200
# Time in which the event loop accepts the connections in the listen queue.
DRAIN_LISTENER_SECONDS = 0.05
# Longest wait of `Server.stop` for buffered responses to be sent.
FLUSH_SECONDS = 0.2
STOP_POLL_SECONDS = 0.01


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the size of requests and on the time (seconds) callers may take."""

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Server:
    """HTTP/1.1 server on one address.

    Parameters
    ----------
    address : tuple
        IP address and port; with port 0 the operating system chooses a free port.
    handler : callable
        Coroutine function that is called with a `Request` and its `Responder`.
    limits : Limits, optional
        Limits on callers; may be replaced while the server runs.
    max_connections : int
        Number of connections above which idle ones are closed, least recently used
        first.
    note_refused : callable, optional
        Called with the status of each response to an invalid request.
    note_aborted : callable, optional
        Called with the `AbortedRequest` of each request whose connection this server
        ended before the response was complete.
    closing_response : bytes, optional
        Complete response that is sent on a connection which closes without a previous
        `Connection: close`. Peers must tolerate responses without a request.
    announces_idle_timeout : bool
        Whether responses announce the idle timeout in a `Keep-Alive` field.
    may_overlap : callable, optional
        Returns whether a `Request` may run while others of its connection run. It is
        called only for requests that are pipelined. By default the requests of a
        connection run one after another.
    count : callable, optional
        Counts an event of pipelined requests by name.
    capacity : Capacity, optional
        Shared by all servers of a process; by default this one has its own.
    """

    def __init__(
        self,
        *,
        address,
        handler,
        limits=None,
        max_connections=2000,
        note_refused=None,
        note_aborted=None,
        closing_response=b"",
        announces_idle_timeout=True,
        may_overlap=None,
        count=None,
        capacity=None,
    ):
        self._address = address
        self.capacity = capacity
        self._listener = None
        # Least recently used first.
        self._connections = {}
        self._lingering = {}
        self._max_connections = max_connections
        self.handler = handler
        self.limits = limits or Limits()
        self.closing = False
        self.closing_idle = False
        self.may_overlap = may_overlap
        self.count = count or (lambda name: None)
        self.announces_idle_timeout = announces_idle_timeout
        self.closing_response = closing_response
        self.note_refused = note_refused or (lambda status: None)
        self.note_aborted = note_aborted or (lambda aborted: None)

    @property
    def address(self):
        """Bound address as IP:PORT."""
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
        """Bind the address and accept connections.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        if self.capacity is None:
            self.capacity = Capacity(loop=loop)
        listener, options = None, {}
        if isinstance(loop, asyncio.SelectorEventLoop):
            turns = self.capacity.turns
            listener = open_listener(
                self._address,
                receive_bytes=RECEIVE_BUFFER_BYTES,
                is_busy=lambda: turns.is_crowded,
            )
            # The event loop accepts as many connections at once as the backlog that it
            # is told, each with the cost of a small request.
            options = {"sock": listener, "backlog": ACCEPTS_PER_ITERATION}
        else:
            # A loop for tests has sockets of its own.
            options["host"], options["port"] = self._address
        self._listener = await loop.create_server(
            lambda: ServerConnection(server=self), **options
        )
        if listener is not None:
            listener.listen(ACCEPT_BACKLOG)

    def begin_close(self):
        """Send `Connection: close` in responses and close idle connections."""
        self.closing = self.closing_idle = True
        for connection in list(self._connections):
            connection.recheck_closing()

    def stop_listening(self):
        """Stop accepting connections at once; open connections continue."""
        self._listener.close()

    async def drain_listener(self):
        """Stop accepting connections after those in the listen queue were accepted.

        Closing a listening socket resets the connections in its queue, on which
        callers may have sent complete requests already. New connections are dropped
        for DRAIN_LISTENER_SECONDS first, so that the queue becomes empty.
        """
        for listener in self._listener.sockets:
            # Not supported on every platform; most of the queue is accepted anyway.
            with contextlib.suppress(OSError):
                drop_new_connections(listener)
        await asyncio.sleep(DRAIN_LISTENER_SECONDS)
        self._listener.close()

    async def stop(self):
        """Stop listening, abort requests in progress and close all connections.

        Waits up to FLUSH_SECONDS for buffered responses to be sent.
        """
        self._listener.close()
        for connection in [*self._connections, *self._lingering]:
            connection.close()
        until = asyncio.get_running_loop().time() + FLUSH_SECONDS
        while self.open_count and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(STOP_POLL_SECONDS)

    def connection_opened(self, connection):
        """Register a connection, and close idle ones above the maximum."""
        self._connections[connection] = None
        excess = len(self._connections) - self._max_connections
        if excess <= 0:
            return
        for other in list(itertools.islice(self._connections, MAX_IDLE_CHECKS)):
            if not other.idle:
                # The next connection that is opened looks at others.
                self.connection_used(other)
                continue
            other.close_when_idle()
            excess -= 1
            if not excess:
                return

    def connection_used(self, connection):
        """Mark a connection as the most recently used."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def connection_lingering(self, connection):
        """Register a lingering connection, and close the oldest above the maximum."""
        self._connections.pop(connection, None)
        self._lingering[connection] = None
        if len(self._lingering) > MAX_LINGERING_CONNECTIONS:
            next(iter(self._lingering)).close()

    def connection_closed(self, connection):
        """Remove a closed connection."""
        self._connections.pop(connection, None)
        self._lingering.pop(connection, None)
