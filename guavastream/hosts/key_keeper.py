"""Carries out at the local backend server what the leader decides about keys."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from guavastream.exception import GuavastreamError
from guavastream.fleet import RenewKeys, ReturnKeys
from guavastream.hosts.tasks import Tasks
from guavastream.http1 import Client, CutOff, NotSent
from guavastream.kernel import Signal, TimeLimit, part_logger, steady_time
from guavastream.leases import KeyLeases
from guavastream.relay import KeyOutcome
from guavastream.routes import Granting

__all__ = ["KeyKeeper", "KeySender"]

# The leader may hold its answer back for so long while it has nothing new to
# say. With it each host asks about twice a second, and a permission of a few
# seconds bears the loss of a leader.
WAIT_SECONDS = 0.5
# Time for the answer itself, beyond the wait.
ANSWER_SECONDS = 0.3
# Where it is in doubt who leads, each control host gets only a short while.
DOUBTED_ATTEMPT_SECONDS = 0.2
RETURN_SECONDS = 0.6
# Pause after a failure, and after an answer that came at once with no news.
RETRY_SECONDS = 0.05
# Longest and shortest pause of the task that makes the calls.
IDLE_SECONDS = 0.25
SHORTEST_SECONDS = 0.01
CONNECT_SECONDS = 0.15
# Bytes of an answer's body that are read; a longer one ends its connection.
MOST_ANSWER = 1 << 12

log = part_logger("keys")


@dataclass(kw_only=True)
class _Life:
    """One life of the local server, with what runs on its behalf."""

    instance: object
    leases: KeyLeases
    tasks: Tasks
    seq: int = 0
    due: Signal
    # Set, and made anew, whenever the keys that are held have changed.
    changed: Signal


class KeySender:
    """Sends orders about keys to backend servers.

    Parameters
    ----------
    dialect : KeyDialect
        How they are written.
    """

    def __init__(self, *, dialect):
        self._dialect = dialect
        self._client = Client(connect_seconds=CONNECT_SECONDS)

    async def send(self, instance, call):
        """Send a `KeyCall`; return its `KeyResult`, or None if that says nothing.

        Whoever gives up on it by cancelling is sure that what the server has
        not read by then never arrives there.

        Raises
        ------
        NotSent
            If no connection can be made.
        CutOff
            If the connection ended first.
        """
        path, body = self._dialect.encode(call)
        headers = self._dialect.headers(instance)
        async with await self._client.open(instance.address) as exchange:
            try:
                exchange.send(b"POST", path, headers, body)
                answer = await exchange.answer()
                await answer.body.read_up_to(MOST_ANSWER)
            except BaseException:
                exchange.reset()
                raise
            return self._dialect.decode(answer.status, answer.headers)


class KeyKeeper:
    """Grants and releases keys at the local server, as the leader decides.

    Parameters
    ----------
    control : ControlClient
        Reaches the leader.
    sender : KeySender
        Reaches the local server.
    granting : Granting
        How servers are granted keys where the configuration does not say.
    longest : float
        Longest hold that servers accept, seconds.
    door : str
        IP:PORT where requests for the local server arrive.
    count : callable
        Counts an event by name.
    on_refused : callable
        Told the instance at whose address nobody listens.
    rng : random.Random, optional
        Names this process, and spreads renewals over time.
    clock : callable
        Steady time in seconds, suspensions included.
    """

    def __init__(
        self,
        *,
        control,
        sender,
        granting,
        longest,
        door,
        count,
        on_refused,
        rng=None,
        clock=steady_time,
    ):
        rng = rng or random.Random()
        self._loop = asyncio.get_running_loop()
        self._control = control
        self._sender = sender
        self._clock = clock
        self._granting = granting
        self._longest = longest
        self._door = door
        self._count = count
        self._on_refused = on_refused
        self._asker = f"{rng.getrandbits(64):x}"
        self._rng = rng
        self._lives = {}
        self._new = set()
        self._answered_at = float("-inf")
        self._told_unknown = set()

    def leases_of(self, id):
        """Return the `KeyLeases` of a life of the local server, or None."""
        life = self._lives.get(id)
        return life.leases if life else None

    def changed(self, id):
        """Return an event that is set when the held keys next change."""
        return self._lives[id].changed

    def note_no_predecessor(self, id):
        """Note that no process before this one knew a life of the server."""
        self._new.add(id)
        if id in self._lives:
            self._lives[id].leases.note_no_predecessor()

    def follow(self, book):
        """Begin and end lives as the book says."""
        wanted = {
            instance.id: instance
            for instance in book.instances.values()
            if instance.door == self._door and self._is_ours(book, instance)
        }
        for id in [id for id in self._lives if id not in wanted]:
            life = self._lives.pop(id)
            self._new.discard(id)
            asyncio.ensure_future(life.tasks.stop())
        for id, instance in wanted.items():
            if id not in self._lives:
                self._begin(instance)

    def _is_ours(self, book, instance):
        rules = book.config.services.get(instance.service)
        if rules is None or not rules.keyed:
            return False
        granting = rules.granting or self._granting
        if granting is Granting.UNKNOWN and instance.service not in self._told_unknown:
            self._told_unknown.add(instance.service)
            log.error(
                "Service %s is granted keys in a way that is not known here: "
                "its keys are not served.",
                instance.service,
            )
        return granting is Granting.CALL

    def _begin(self, instance):
        leases = KeyLeases(clock=self._clock, rng=self._rng, max_hold=self._longest)
        life = _Life(
            instance=instance,
            leases=leases,
            tasks=Tasks(),
            due=Signal(loop=self._loop),
            changed=Signal(loop=self._loop),
        )
        self._lives[instance.id] = life
        if instance.id in self._new:
            leases.note_no_predecessor()
        life.tasks.spawn(self._renew(life))
        life.tasks.spawn(self._work(life))

    async def stop(self):
        """End everything; the server keeps its keys until they run out."""
        lives, self._lives = self._lives, {}
        for life in lives.values():
            await life.tasks.stop()

    # What the leader says

    async def _renew(self, life):
        leases = life.leases
        while True:
            if leases.is_unresponsive:
                # Renewed on, a server that answers nothing would keep its
                # keys for ever: its host is well, and asks in its name.
                await asyncio.sleep(RETRY_SECONDS)
                continue
            asked = leases.last_instructions
            sent = self._clock()
            try:
                answer = await self._ask(life, *asked)
            except GuavastreamError as error:
                self._answered_at = float("-inf")
                log.debug("Keys are not renewed: %s.", error)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._answered_at = self._clock()
            if answer.rows is not None:
                leases.apply_answer(answer, sent=sent)
                self._note_change(life)
            if answer.rows is None or leases.last_instructions == asked:
                # Nothing new, or the leader does not know this life yet.
                waited = self._clock() - sent
                await asyncio.sleep(max(0.0, RETRY_SECONDS - waited))

    async def _ask(self, life, holds, drops):
        life.seq += 1
        trusted = self._clock() - self._answered_at <= 2 * WAIT_SECONDS
        wait = WAIT_SECONDS if trusted else 0.0
        request = RenewKeys(
            id=life.instance.id,
            service=life.instance.service,
            sender_id=self._asker,
            seq=life.seq,
            holds=holds,
            drops=drops,
            wait=wait,
        )
        attempt = wait + ANSWER_SECONDS if trusted else DOUBTED_ATTEMPT_SECONDS
        return await self._control.call(request, timeout=attempt, attempt=attempt)

    async def _return(self, life):
        """Tell the leader which keys the server holds no more."""
        rows = life.leases.pending_returns()
        if not rows:
            return
        request = ReturnKeys(
            id=life.instance.id, service=life.instance.service, rows=rows
        )
        with contextlib.suppress(GuavastreamError):
            await self._control.call(request, timeout=RETURN_SECONDS)
            life.leases.note_acknowledged(rows)

    # What the server is told

    async def _work(self, life):
        leases = life.leases
        returning = None
        while True:
            life.due.clear()
            for call in leases.due():
                life.tasks.spawn(self._call(life, call))
            if leases.pending_returns() and (returning is None or returning.done()):
                returning = asyncio.ensure_future(self._return(life))
                returning.add_done_callback(lambda task: life.due.set())
            pause = leases.next_call_at() - self._clock()
            pause = min(IDLE_SECONDS, max(SHORTEST_SECONDS, pause))
            with contextlib.suppress(TimeoutError):
                with TimeLimit.within(pause, loop=self._loop):
                    await life.due.wait()

    async def _call(self, life, call):
        leases = life.leases
        result, sent = None, True
        try:
            with TimeLimit.within(call.timeout, loop=self._loop):
                result = await self._sender.send(life.instance, call)
        except NotSent as error:
            self._count("server_unreachable")
            sent = False
            if error.refused:
                self._on_refused(life.instance)
        except (CutOff, TimeoutError):
            self._count("orders.lost")
        if result is None:
            leases.note_lost(call, sent=sent)
        elif result.outcome is KeyOutcome.DONE:
            leases.note_done(call, result.handover)
        elif result.outcome is KeyOutcome.FENCED:
            log.warning(
                "Keys %d to %d are refused under fence %d.", *call.key_range, call.fence
            )
            leases.note_fenced(call)
        else:
            leases.note_rejected(call)
        self._count("orders.granted" if call.hold else "orders.released")
        self._note_change(life)

    def _note_change(self, life):
        life.due.set()
        changed, life.changed = life.changed, Signal(loop=self._loop)
        changed.set()
