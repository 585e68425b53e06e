"""HTTP/1.1 client with a connection pool; no pipelining of requests."""

import asyncio

from guavastream.http1.client_connection import ClientConnection
from guavastream.http1.exchange import Exchange
from guavastream.kernel import TimeLimit

__all__ = ["Client", "NotSent"]

# Share of the peer's idle timeout after which a connection is not reused. If the peer
# closes the connection while a request is on its way, it is unknown whether the
# request ran.
USABLE_IDLE_SHARE = 0.75
DEFAULT_IDLE_SECONDS = 8.0
# Idle connections in the pool; each takes a few KB and a file descriptor.
MAX_IDLE_CONNECTIONS = 400


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
        now = self._loop.time()
        pooled = self._idle.get(address, ())
        for index in reversed(range(len(pooled))):
            connection = pooled[index]
            if id is not None and connection.has_carried(id):
                continue
            self._remove(address, index)
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
                    lambda: ClientConnection(
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
            self._remove(address, 0).abort()

    def _remove(self, address, index):
        """Take a connection out of the pool, and return it."""
        pooled = self._idle[address]
        self._idle_total -= 1
        connection = pooled.pop(index)
        if not pooled:
            del self._idle[address]
        return connection

    def close_idle(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            self._idle_total -= 1
            connection.abort()

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)
