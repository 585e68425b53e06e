"""Detects the end of the local backend server by its failing connections."""

import asyncio
from collections import deque
from dataclasses import dataclass

from guavastream.http1 import NotSent
from guavastream.kernel import part_logger
from guavastream.relay.fingerprint import fingerprint_of

__all__ = ["ServerWatch"]

# A server has ended if its address refuses this many connections in a row, spread
# over this time.
REFUSED_CONNECTIONS = 4
CONFIRM_SECONDS = 0.2
# Unanswered requests that are remembered, and for how long. The first sign of the end
# of an instance may be that the next one starts, which happens within this time.
MAX_UNANSWERED = 256
UNANSWERED_SECONDS = 10.0

log = part_logger("guard")


@dataclass(frozen=True, kw_only=True, slots=True)
class _Run:
    """A request that a server instance has been running since the loop time `at`."""

    instance_id: str
    request: object
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Unanswered:
    """A request, by fingerprint, that ended without an answer at loop time `at`."""

    instance_id: str
    fingerprint: bytes
    at: float


class ServerWatch:
    """Detects the end of instances of the local server, and what each was running.

    Each start of the local server is an instance with its own ID.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop, whose time is used as the clock.
    client : Client
        Holds the connections to the server.
    on_ended : callable
        Called with an instance that has certainly ended, and a tuple of the
        fingerprints of the requests that it was running.

    Notes
    -----
    A server that is merely overloaded, or about to stop, keeps some connections of
    this process open. When its process ends, all of them close and its address
    refuses each of several new ones. Requests that still wait for a connection say
    nothing about the server: there are always some while it is down.
    """

    def __init__(self, *, loop, client, on_ended):
        self._loop = loop
        self._client = client
        self._on_ended = on_ended
        self._runs = {}
        self._unanswered = deque(maxlen=MAX_UNANSWERED)
        self._heard_at = {}
        self._ended_id = ""
        self._confirming = None
        # Id of the instance whose end is being confirmed.
        self._confirming_id = ""
        self._probe = None

    @property
    def running(self):
        """Number of requests at the server."""
        return len(self._runs)

    def has_ended(self, id):
        """Whether a server instance is known to have ended."""
        return id == self._ended_id

    def may_have_ended(self, id):
        """Whether a server instance is known to have ended, or has refused connections.

        What is sent to its address then may reach the next instance, and what is sent
        before the last of the refused connections cannot.
        """
        return self.has_ended(id) or id == self._confirming_id

    def begin(self, id, exchange, request):
        """Note that a request was sent to a server instance on a connection."""
        self._runs[exchange] = _Run(
            instance_id=id, request=request, at=self._loop.time()
        )

    def note_answered(self, exchange):
        """Note that the server has answered a request completely."""
        run = self._runs.pop(exchange, None)
        if run is None or not self._unanswered:
            return
        # The instance was still alive when this request began, so requests that had
        # failed by then did not end it.
        kept = [
            u
            for u in self._unanswered
            if u.instance_id != run.instance_id or u.at > run.at
        ]
        self._unanswered = deque(kept, maxlen=MAX_UNANSWERED)

    def note_unanswered(self, exchange):
        """Note that a request got no complete answer: cut off, timed out or dropped."""
        run = self._runs.pop(exchange, None)
        if run is not None:
            self._unanswered.append(self._unanswered_by(run))

    def forget(self, exchange):
        """Drop a finished request that says nothing about the server."""
        self._runs.pop(exchange, None)

    def may_be_retried(self, exchange):
        """Whether the request that runs on a connection can be sent again."""
        run = self._runs.get(exchange)
        return run is not None and run.request.may_be_retried

    def describe(self, exchange):
        """Return the request on a connection and its server, for the log."""
        run = self._runs.get(exchange)
        if run is None:
            return {}
        return {
            "request": run.request.id.decode("latin-1"),
            "server": run.instance_id,
            "kind": run.request.kind,
            "key": run.request.key,
            "others": len(self._runs) - 1,
        }

    def _unanswered_by(self, run):
        return _Unanswered(
            instance_id=run.instance_id,
            fingerprint=fingerprint_of(run.request),
            at=self._loop.time(),
        )

    def note_heard(self, id):
        """Note that a server instance has announced itself, so it is alive."""
        self._heard_at = {id: self._loop.time()}
        if id == self._ended_id:
            self._ended_id = ""

    def note_refused(self, instance):
        """Note that the server's address refuses connections."""
        if self.has_ended(instance.id):
            return
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.ensure_future(self._confirm_end(instance))

    def note_replaced(self, instance):
        """Note that another instance has the address, so this one has ended."""
        if self.has_ended(instance.id):
            return
        self._ended_id = instance.id
        runs = {
            e: run for e, run in self._runs.items() if run.instance_id == instance.id
        }
        for exchange in runs:
            self.note_unanswered(exchange)
            # The connection may stay open without ever carrying an answer.
            exchange.reset()
        self._report_end(instance)

    def _report_end(self, instance):
        """Call `on_ended` with the recent unanswered requests of an instance."""
        since = self._loop.time() - UNANSWERED_SECONDS
        found = [
            u
            for u in self._unanswered
            if u.instance_id == instance.id and u.at >= since
        ]
        self._unanswered.clear()
        self._on_ended(instance, tuple(dict.fromkeys(u.fingerprint for u in found)))

    async def is_gone(self, instance):
        """Whether the server's address refuses connections now.

        Concurrent calls share one connection attempt.
        """
        if self.has_ended(instance.id):
            return True
        if self._probe is None or self._probe.done():
            self._probe = asyncio.ensure_future(self._refuses_connection(instance))
        gone = await asyncio.shield(self._probe)
        if gone:
            self.note_refused(instance)
        return gone

    async def _refuses_connection(self, instance):
        try:
            exchange = await self._client.open(instance.address, fresh=True)
        except NotSent as error:
            return error.refused
        exchange.close()
        return False

    async def _confirm_end(self, instance):
        """Report the end of an instance if it is confirmed."""
        began = self._loop.time()
        self._confirming_id = instance.id
        try:
            if not await self._keeps_refusing(instance):
                return
        finally:
            self._confirming_id = ""
        if self._heard_at.get(instance.id, float("-inf")) >= began:
            return
        log.warning("The local server %s has ended.", instance.id)
        self._ended_id = instance.id
        self._report_end(instance)

    async def _keeps_refusing(self, instance):
        """Whether an instance has no open connections and refuses all new ones."""
        for _ in range(REFUSED_CONNECTIONS):
            await asyncio.sleep(CONFIRM_SECONDS / REFUSED_CONNECTIONS)
            if any(run.instance_id == instance.id for run in self._runs.values()):
                return False
            if self._client.count_usable(instance.address):
                return False
            if not await self._refuses_connection(instance):
                return False
        return True
