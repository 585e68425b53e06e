"""Listens at an address and hands requests to a coroutine."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass

from guavastream.http1.connection import ServerConnection
from guavastream.kernel import drop_new_connections

__all__ = ["Limits", "Server"]

BACKLOG = 1024
# Connections that only read on, at a time.
MOST_LINGERING = 200
# Time for the loop to accept the connections that have begun.
ACCEPT_SECONDS = 0.05
# Longest wait at a stop for answers that are on their way out.
FLUSH_SECONDS = 0.2
POLL_SECONDS = 0.01


@dataclass(frozen=True, kw_only=True)
class Limits:
    """What a caller may send and how long it may take; times in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 64 << 20
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


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
            lambda: ServerConnection(server=self),
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
