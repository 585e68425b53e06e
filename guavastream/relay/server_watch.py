"""Whether the local backend server has ended, told by how connections fail."""

import asyncio

from guavastream.http1 import NotSent
from guavastream.kernel import part_logger

__all__ = ["ServerWatch"]

# A server has ended if nobody listens at its address that often, spread over
# that time.
ENDED_TRIES = 4
ENDED_SECONDS = 0.2

log = part_logger("guard")


class ServerWatch:
    """Watches the lives of the local server.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    client : Client
        Holds the connections to the server.
    on_ended : callable
        Told the instance that has surely ended.

    Notes
    -----
    A server that is only full, or about to leave, still has connections of ours
    open; all of them end with its process, and then nobody listens at its address
    either, at any of some tries. Requests that have yet to get a connection tell
    nothing: while a server is away there are always some.
    """

    def __init__(self, *, loop, client, on_ended):
        self._loop = loop
        self._client = client
        self._on_ended = on_ended
        self._exchanges = {}
        self._heard_at = {}
        self._ended = ""
        self._confirming = None
        self._look = None

    def is_over(self, id):
        """Whether a life of the server is known to have ended."""
        return id == self._ended

    def begin(self, id, exchange):
        """Note that a life of the server has a request."""
        self._exchanges[exchange] = id

    def finish(self, exchange):
        """Note that the request on a connection is over."""
        self._exchanges.pop(exchange, None)

    def note_heard(self, id):
        """Note that a life of the server spoke for itself."""
        self._heard_at = {id: self._loop.time()}
        if id == self._ended:
            self._ended = ""

    def note_refused(self, instance):
        """Note that nobody listens at the server's address."""
        if self.is_over(instance.id):
            return
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.ensure_future(self._confirm(instance))

    async def is_gone(self, instance):
        """Whether nobody listens at the server's address right now.

        Connections that break together are followed by one look for all of them.
        """
        if self._look is None or self._look.done():
            self._look = asyncio.ensure_future(self._refuses(instance))
        gone = await asyncio.shield(self._look)
        if gone:
            self.note_refused(instance)
        return gone

    async def _refuses(self, instance):
        try:
            exchange = await self._client.open(instance.address, fresh=True)
        except NotSent as error:
            return error.refused
        exchange.close()
        return False

    async def _confirm(self, instance):
        began = self._loop.time()
        if not await self._has_ended(instance):
            return
        if self._heard_at.get(instance.id, float("-inf")) >= began:
            return
        log.warning("The local server %s has ended.", instance.id)
        self._ended = instance.id
        self._on_ended(instance)

    async def _has_ended(self, instance):
        for _ in range(ENDED_TRIES):
            if instance.id in self._exchanges.values():
                return False
            if self._client.count_open(instance.address):
                return False
            if not await self._refuses(instance):
                return False
            await asyncio.sleep(ENDED_SECONDS / ENDED_TRIES)
        return True
