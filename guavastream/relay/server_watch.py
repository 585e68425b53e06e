"""Whether the local backend server has ended, told by how connections fail."""

import asyncio
from collections import deque
from dataclasses import dataclass

from guavastream.http1 import NotSent
from guavastream.kernel import part_logger
from guavastream.relay.fingerprint import fingerprint

__all__ = ["ServerWatch"]

# A server has ended if nobody listens at its address that often, spread over
# that time.
ENDED_TRIES = 4
ENDED_SECONDS = 0.2
# Requests without an answer that are remembered, and for how long, seconds: the
# next life of the server, which may be the first sign of its end, comes by then.
MOST_UNANSWERED = 256
UNANSWERED_SECONDS = 10.0

log = part_logger("guard")


@dataclass(frozen=True, kw_only=True, slots=True)
class _Run:
    """A request that a life of the server has, since the clock's time `at`."""

    life: str
    request: object
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Unanswered:
    """A request, by its fingerprint, that got no answer by the clock's time `at`."""

    life: str
    print: bytes
    at: float


class ServerWatch:
    """Watches the lives of the local server, and what it had when one ended.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    client : Client
        Holds the connections to the server.
    on_ended : callable
        Told the instance that has surely ended, and the fingerprints of the
        requests that it had, a tuple.

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
        self._runs = {}
        self._unanswered = deque(maxlen=MOST_UNANSWERED)
        self._heard_at = {}
        self._ended = ""
        self._confirming = None
        self._look = None

    @property
    def running(self):
        """Number of requests that the server has."""
        return len(self._runs)

    def is_over(self, id):
        """Whether a life of the server is known to have ended."""
        return id == self._ended

    def begin(self, id, exchange, request):
        """Note that a life of the server has a request, on a connection."""
        self._runs[exchange] = _Run(life=id, request=request, at=self._loop.time())

    def note_answered(self, exchange):
        """Note that the server has answered a request as a whole."""
        run = self._runs.pop(exchange, None)
        if run is None or not self._unanswered:
            return
        # It lived when this one began: what had no answer by then did it no harm.
        kept = [u for u in self._unanswered if u.life != run.life or u.at > run.at]
        self._unanswered = deque(kept, maxlen=MOST_UNANSWERED)

    def note_unanswered(self, exchange):
        """Note that a request got no whole answer: cut, given up or left alone."""
        run = self._runs.pop(exchange, None)
        if run is not None:
            self._unanswered.append(self._unanswered_by(run))

    def forget(self, exchange):
        """Note that a request is over, which tells nothing of the server."""
        self._runs.pop(exchange, None)

    def _unanswered_by(self, run):
        request = run.request
        print = fingerprint(
            request.method, request.headers, request.target, request.body
        )
        return _Unanswered(life=run.life, print=print, at=self._loop.time())

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

    def note_replaced(self, instance):
        """Note that another life of the server has its address: this one is over."""
        if self.is_over(instance.id):
            return
        self._ended = instance.id
        runs = {e: run for e, run in self._runs.items() if run.life == instance.id}
        for exchange in runs:
            self.note_unanswered(exchange)
            # Its connection may have gone silent, and would be waited for in vain.
            exchange.reset()
        self._tell(instance)

    def _tell(self, instance):
        since = self._loop.time() - UNANSWERED_SECONDS
        found = [u for u in self._unanswered if u.life == instance.id and u.at >= since]
        self._unanswered.clear()
        self._on_ended(instance, tuple(dict.fromkeys(u.print for u in found)))

    async def is_gone(self, instance):
        """Whether nobody listens at the server's address right now.

        Connections that break together are followed by one look for all of them.
        """
        if self.is_over(instance.id):
            return True
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
        self._tell(instance)

    async def _has_ended(self, instance):
        for _ in range(ENDED_TRIES):
            if any(run.life == instance.id for run in self._runs.values()):
                return False
            if self._client.count_open(instance.address):
                return False
            if not await self._refuses(instance):
                return False
            await asyncio.sleep(ENDED_SECONDS / ENDED_TRIES)
        return True
