"""Grants and releases keys at the local backend server as the leader decides."""

import asyncio
import contextlib
import itertools
import random
from dataclasses import dataclass

from guavastream.exception import GuavastreamError
from guavastream.fleet import RenewKeys, ReturnKeys
from guavastream.hosts.tasks import Tasks
from guavastream.http1 import Client, IncompleteMessage, NotSent
from guavastream.kernel import Signal, TimeLimit, part_logger, steady_time
from guavastream.leases import KeyLeases
from guavastream.relay import KeyOutcome
from guavastream.routes import Granting

__all__ = ["KeyManager", "KeySender"]

# How long the leader may hold a renewal open when nothing has changed. Each host
# then renews about twice a second, so that a permission of a few seconds outlasts
# the loss of a leader.
RENEW_WAIT_SECONDS = 0.5
# Time for the answer itself, in addition to the wait.
ANSWER_MARGIN_SECONDS = 0.3
# Timeout per control host while it is unknown which one leads.
UNKNOWN_LEADER_ATTEMPT_SECONDS = 0.2
RETURN_TIMEOUT_SECONDS = 0.6
# Pause after a failure, and after an immediate answer without changes.
RETRY_SECONDS = 0.05
# Bounds of the pause of the loop that starts calls to the server.
MAX_LOOP_PAUSE_SECONDS = 0.25
MIN_LOOP_PAUSE_SECONDS = 0.01
CONNECT_TIMEOUT_SECONDS = 0.15
# Maximum size of an answer's body; a longer one closes the connection.
MAX_ANSWER_BYTES = 1 << 12

log = part_logger("keys")


@dataclass(kw_only=True)
class _Incarnation:
    """One incarnation of the local server, with its leases and tasks."""

    instance: object
    leases: KeyLeases
    tasks: Tasks
    seq: int = 0
    due: Signal
    # Set, and replaced by a new signal, when the held keys may have changed.
    changed: Signal


class KeySender:
    """Sends grants and releases of keys to backend servers.

    Parameters
    ----------
    dialect : KeyDialect
        How the calls are encoded.

    Notes
    -----
    A server may send an answer twice. If the second one were taken for the answer to a
    release, keys would be granted elsewhere while their holder still works on them. So
    a connection is used again only if the server names in its answers the call that
    they belong to.
    """

    def __init__(self, *, dialect):
        self._dialect = dialect
        self._client = Client(connect_seconds=CONNECT_TIMEOUT_SECONDS)
        # Distinguishes the ids of calls from those of other processes.
        self._prefix = b"keys%08x" % random.getrandbits(32)
        self._numbers = itertools.count(1)
        # Id of the instance whose answers name their calls.
        self._naming_id = ""

    @property
    def opened_count(self):
        """Number of connections that were opened."""
        return self._client.opened_count

    async def send(self, instance, call, *, may_have_ended=lambda id: False):
        """Send a `KeyCall`; return its `KeyResult`, or None if it is inconclusive.

        Cancelling resets the connection, so that what the server has not read
        by then never reaches it.

        Raises
        ------
        NotSent
            If no connection can be made, or the instance may have ended by then.
        IncompleteMessage
            If the connection ended before the answer.
        """
        id = b"%s-%d" % (self._prefix, next(self._numbers))
        path, body = self._dialect.encode(call)
        headers = self._dialect.headers(instance, id)
        fresh = self._naming_id != instance.id

        def is_for_call(answer):
            named = self._dialect.answered_id(answer.headers)
            return named == id or (fresh and not named)

        async with await self._client.open(instance.address, fresh=fresh) as exchange:
            if may_have_ended(instance.id):
                raise NotSent("the server may have ended")
            try:
                exchange.send(b"POST", path, headers, body)
                answer = await exchange.answer(is_for_call)
                await answer.body.read_up_to(MAX_ANSWER_BYTES)
            except BaseException:
                exchange.reset()
                if self._naming_id == instance.id:
                    self._naming_id = ""
                raise
            if self._dialect.answered_id(answer.headers) != id:
                exchange.discard()
            elif fresh:
                self._naming_id = instance.id
                log.info("Server %s names calls in its answers.", instance.id)
            return self._dialect.decode(answer.status, answer.headers)


class KeyManager:
    """Keeps the keys of the local server as the leader decides.

    Parameters
    ----------
    control : ControlClient
        Calls the leader.
    sender : KeySender
        Calls the local server.
    granting : Granting
        How keys are granted if the configuration of the service does not say.
    longest_hold : float
        Longest hold that servers accept, seconds.
    door : str
        IP:PORT of this process for requests to the local server.
    count : callable
        Increments the counter of the given name.
    on_refused : callable
        Called with the instance if its address refuses connections.
    may_have_ended : callable
        Whether calls to an instance, given its id, may reach the next one at its
        address. The leader frees the keys of an instance at once when its end is
        reported, and calls name the server only, which may keep its name.
    rng : random.Random, optional
        Identifies this process to the leader, and spreads renewals over time.
    clock : callable
        Monotonic time in seconds, including time while suspended.
    """

    def __init__(
        self,
        *,
        control,
        sender,
        granting,
        longest_hold,
        door,
        count,
        on_refused,
        may_have_ended,
        rng=None,
        clock=steady_time,
    ):
        rng = rng or random.Random()
        self._loop = asyncio.get_running_loop()
        self._control = control
        self._sender = sender
        self._clock = clock
        self._granting = granting
        self._longest_hold = longest_hold
        self._door = door
        self._count = count
        self._on_refused = on_refused
        self._may_have_ended = may_have_ended
        self._sender_id = f"{rng.getrandbits(64):x}"
        self._rng = rng
        self._incarnations = {}
        self._known_new = set()
        self._leader_answered_at = float("-inf")
        self._reported_unknown = set()

    def leases_of(self, id):
        """Return the `KeyLeases` of an incarnation of the local server, or None."""
        incarnation = self._incarnations.get(id)
        return incarnation.leases if incarnation else None

    def changed(self, id):
        """Return a signal that is set when the held keys may next have changed."""
        return self._incarnations[id].changed

    def note_no_predecessor(self, id):
        """Record that the incarnation started while this process was running.

        No earlier process can have sent it grants that are still in flight.
        """
        self._known_new.add(id)
        if id in self._incarnations:
            self._incarnations[id].leases.note_no_predecessor()

    def follow(self, fleet_state):
        """Start and stop managing incarnations to match the fleet state."""
        wanted = {
            instance.id: instance
            for instance in fleet_state.instances.values()
            if instance.door == self._door
            and self._uses_grant_calls(fleet_state, instance)
        }
        for id in [id for id in self._incarnations if id not in wanted]:
            incarnation = self._incarnations.pop(id)
            self._known_new.discard(id)
            asyncio.ensure_future(incarnation.tasks.stop())
        for id, instance in wanted.items():
            if id not in self._incarnations:
                self._start(instance)

    def _uses_grant_calls(self, fleet_state, instance):
        rules = fleet_state.config.services.get(instance.service)
        if rules is None or not rules.keyed:
            return False
        granting = rules.granting or self._granting
        if (
            granting is Granting.UNKNOWN
            and instance.service not in self._reported_unknown
        ):
            self._reported_unknown.add(instance.service)
            log.error(
                "Service %s uses an unknown way of granting keys, "
                "so its keys are not served.",
                instance.service,
            )
        return granting is Granting.CALL

    def _start(self, instance):
        leases = KeyLeases(
            clock=self._clock, rng=self._rng, max_hold=self._longest_hold
        )
        incarnation = _Incarnation(
            instance=instance,
            leases=leases,
            tasks=Tasks(),
            due=Signal(loop=self._loop),
            changed=Signal(loop=self._loop),
        )
        self._incarnations[instance.id] = incarnation
        if instance.id in self._known_new:
            leases.note_no_predecessor()
        incarnation.tasks.spawn(self._renew_keys(incarnation))
        incarnation.tasks.spawn(self._run_calls(incarnation))

    async def stop(self):
        """Stop all tasks; the server holds its keys until their leases expire."""
        incarnations, self._incarnations = self._incarnations, {}
        for incarnation in incarnations.values():
            await incarnation.tasks.stop()

    # Calls to the leader

    async def _renew_keys(self, incarnation):
        leases = incarnation.leases
        while True:
            if leases.is_unresponsive:
                # If renewals went on, a server that answers nothing would keep
                # its keys forever, because its host is healthy and renews them.
                await asyncio.sleep(RETRY_SECONDS)
                continue
            instructions = leases.last_instructions
            sent = self._clock()
            try:
                answer = await self._request_keys(incarnation, *instructions)
            except GuavastreamError as error:
                self._leader_answered_at = float("-inf")
                log.debug("Renewing keys failed: %s.", error)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._leader_answered_at = self._clock()
            if answer.rows is not None:
                leases.apply_answer(answer, sent=sent)
                self._signal_change(incarnation)
            if answer.rows is None or leases.last_instructions == instructions:
                # Nothing changed, or the leader does not know this incarnation yet.
                waited = self._clock() - sent
                await asyncio.sleep(max(0.0, RETRY_SECONDS - waited))

    async def _request_keys(self, incarnation, holds, drops):
        incarnation.seq += 1
        leader_known = (
            self._clock() - self._leader_answered_at <= 2 * RENEW_WAIT_SECONDS
        )
        wait = RENEW_WAIT_SECONDS if leader_known else 0.0
        request = RenewKeys(
            id=incarnation.instance.id,
            service=incarnation.instance.service,
            sender_id=self._sender_id,
            seq=incarnation.seq,
            holds=holds,
            drops=drops,
            wait=wait,
        )
        attempt = (
            wait + ANSWER_MARGIN_SECONDS
            if leader_known
            else UNKNOWN_LEADER_ATTEMPT_SECONDS
        )
        return await self._control.call(request, timeout=attempt, attempt=attempt)

    async def _return_keys(self, incarnation):
        """Report to the leader which keys the server no longer holds."""
        rows = incarnation.leases.pending_returns()
        if not rows:
            return
        request = ReturnKeys(
            id=incarnation.instance.id, service=incarnation.instance.service, rows=rows
        )
        with contextlib.suppress(GuavastreamError):
            await self._control.call(request, timeout=RETURN_TIMEOUT_SECONDS)
            incarnation.leases.note_acknowledged(rows)

    # Calls to the server

    async def _run_calls(self, incarnation):
        leases = incarnation.leases
        returning = None
        while True:
            incarnation.due.clear()
            for call in leases.due():
                incarnation.tasks.spawn(self._send_call(incarnation, call))
            if leases.pending_returns() and (returning is None or returning.done()):
                returning = asyncio.ensure_future(self._return_keys(incarnation))
                returning.add_done_callback(lambda task: incarnation.due.set())
            pause = leases.next_call_at() - self._clock()
            pause = min(MAX_LOOP_PAUSE_SECONDS, max(MIN_LOOP_PAUSE_SECONDS, pause))
            with contextlib.suppress(TimeoutError):
                with TimeLimit.within(pause, loop=self._loop):
                    await incarnation.due.wait()

    async def _send_call(self, incarnation, call):
        leases = incarnation.leases
        result, sent = None, True
        try:
            with TimeLimit.within(call.timeout, loop=self._loop):
                result = await self._sender.send(
                    incarnation.instance, call, may_have_ended=self._may_have_ended
                )
        except NotSent as error:
            self._count("server_unreachable")
            sent = False
            if error.refused:
                self._on_refused(incarnation.instance)
        except (IncompleteMessage, TimeoutError):
            self._count("orders.lost")
        if result is None:
            leases.note_lost(call, sent=sent)
        elif result.outcome is KeyOutcome.DONE:
            leases.note_done(call, result.handover)
        elif result.outcome is KeyOutcome.FENCED:
            log.warning(
                "The server rejected keys %d to %d: fencing token %d is too old.",
                *call.key_range,
                call.fence,
            )
            leases.note_fenced(call)
        else:
            leases.note_rejected(call)
        self._count("orders.granted" if call.hold else "orders.released")
        self._signal_change(incarnation)

    def _signal_change(self, incarnation):
        incarnation.due.set()
        changed, incarnation.changed = incarnation.changed, Signal(loop=self._loop)
        changed.set()
