"""Admission to the local backend server: ownership, slots, a short queue."""

import threading
from collections import Counter
from dataclasses import dataclass

from guavastream.guard.queue import Waiter, WaitQueue
from guavastream.routing import Refused

__all__ = ["Admission", "Permit"]

# Share of the slots that a cold server starts with.
COLD_SHARE = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Leave to hand one request to the server; given back by `release`."""

    service: str
    key: str
    shard: int
    epoch: int
    caller: str = ""


class Admission:
    """Decides in worker threads what may reach the server.

    Parameters
    ----------
    lease : Lease
        Lease for all that this member owns.
    member : callable
        Gives this process's member id, 0 if it has none.
    tables : TableHolder
        Newest table.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, *, lease, member, tables, clock):
        self._lease = lease
        self._member = member
        self._tables = tables
        self._clock = clock
        self._lock = threading.Lock()
        self._running = 0
        self._by_shard = Counter()
        self._by_key = Counter()
        self._closed_shards = set()
        self._closed_keys = set()
        self._leaving = False
        self._queue = WaitQueue()
        self._by_caller = Counter()
        self._last_slots = 1
        self._warm_since = None
        self._on_key_idle = lambda service, key: None

    @property
    def running(self):
        """Requests at the server at this moment."""
        return self._running

    @property
    def queued(self):
        """Requests that wait for a slot."""
        return len(self._queue)

    def on_key_idle(self, callback):
        """Set what is told of a key whose last request has ended."""
        self._on_key_idle = callback

    def started(self):
        """Note that a new server has announced itself, cold."""
        self._warm_since = self._clock()

    def stop_admitting(self):
        """Admit nothing more; what runs goes on."""
        self._leaving = True

    def acquire(self, request, target):
        """Return a `Permit`, after a wait in the queue if need be.

        Parameters
        ----------
        request : ClassifiedRequest
            The request.
        target : Target
            Shard and epoch under which it came here.

        Raises
        ------
        Refused
            As not run.
        """
        with self._lock:
            self._check(request, target)
            waiter = self._take_slot_or_wait(request)
            if waiter is None:
                return self._enter(request, target)
        woken = waiter.woken.wait(max(0, request.deadline - self._clock()))
        with self._lock:
            if not woken and not waiter.woken.is_set():
                self._queue.remove(waiter)
                raise Refused("deadline_passed")
            if waiter.code:
                raise Refused(waiter.code)
            try:
                # The wait may have lasted past the lease or into a move.
                self._check(request, target)
            except Refused:
                self._running -= 1
                self._wake_next()
                raise
            return self._enter(request, target)

    def check_again(self, permit):
        """Make sure at the last instant that the permit still holds.

        A process that was frozen with a request in hand finds here that its
        lease has run out, before the request reaches the server.

        Raises
        ------
        Refused
            With `no_lease`.
        """
        if permit.epoch >= 0 and not self._lease.is_held:
            raise Refused("no_lease")

    def release(self, permit):
        """Give a permit back; the request has ended at the server."""
        with self._lock:
            self._running -= 1
            self._by_caller[permit.caller] -= 1
            if not self._by_caller[permit.caller]:
                del self._by_caller[permit.caller]
            idle = False
            if permit.key:
                place = (permit.service, permit.shard)
                self._by_shard[place] -= 1
                if not self._by_shard[place]:
                    del self._by_shard[place]
                name = (permit.service, permit.key)
                self._by_key[name] -= 1
                idle = not self._by_key[name]
                if idle:
                    del self._by_key[name]
            self._wake_next()
        if idle:
            self._on_key_idle(permit.service, permit.key)

    def close_shards(self, service, shards):
        """Admit nothing more for shards that are about to be released."""
        with self._lock:
            self._closed_shards.update((service, shard) for shard in shards)

    def busy_shards(self, service, shards):
        """Return those of `shards` that have requests at the server."""
        with self._lock:
            return [shard for shard in shards if self._by_shard[(service, shard)]]

    def busy_keys(self, service, shards, shard_of_key):
        """Return the keys of `shards` that have requests at the server."""
        with self._lock:
            return [
                key
                for (name, key), count in self._by_key.items()
                if count and name == service and shard_of_key(key) in shards
            ]

    def reopen(self, service, shards):
        """Admit again for shards that came back under a new epoch."""
        with self._lock:
            self._closed_shards.difference_update((service, s) for s in shards)

    def close_key(self, service, key):
        """Close a pinned key for good; return False if it is busy again."""
        with self._lock:
            if self._by_key[(service, key)]:
                return False
            self._closed_keys.add((service, key))
            return True

    def forget_keys(self):
        """Forget closed keys whose pins have gone from the table."""
        with self._lock:
            pins = self._tables.table.pins
            self._closed_keys = {
                (service, key)
                for service, key in self._closed_keys
                if key in pins.get(service, {})
            }

    def _check(self, request, target):
        service, key = request.service, request.owned_key
        if self._leaving:
            raise Refused("leaving")
        if not key:
            return
        if not self._lease.is_held:
            raise Refused("no_lease")
        table = self._tables.table
        member = self._member()
        pin = table.pins.get(service.name, {}).get(key)
        if pin is not None and pin.member == member:
            if (service.name, key) in self._closed_keys:
                raise Refused("moving")
            return
        shards = table.shards.get(service.name)
        if not member or shards is None or shards.owners[target.shard] != member:
            raise Refused("wrong_owner")
        if pin is not None:
            raise Refused("wrong_owner")
        if shards.epochs[target.shard] != target.epoch:
            raise Refused("wrong_owner")
        if (service.name, target.shard) in self._closed_shards:
            raise Refused("moving")

    def _take_slot_or_wait(self, request):
        slots = self._slots(request.service)
        if self._running < slots and not self._queue:
            self._running += 1
            return None
        preset = self._preset()
        limit = int(request.service.queue * (preset.queue_share if preset else 1))
        waiter = Waiter(
            deadline=request.deadline,
            importance=_importance(request.priority, preset),
            caller=request.caller,
        )
        self._queue.add(waiter, limit)
        return waiter

    def _enter(self, request, target):
        service, key = request.service.name, request.owned_key
        if key:
            self._by_shard[(service, target.shard)] += 1
            self._by_key[(service, key)] += 1
        self._by_caller[request.caller] += 1
        return Permit(
            service=service,
            key=key,
            shard=target.shard,
            epoch=target.epoch,
            caller=request.caller,
        )

    def _wake_next(self):
        # The slot passes on with the wake-up, so that no newcomer takes it.
        if self._queue and self._running < self._last_slots:
            self._running += 1
            self._queue.pop(self._by_caller).woken.set()

    def _slots(self, service):
        slots = service.slots
        preset = self._preset()
        span = preset.slow_start_ms / 1000 if preset else 0
        if self._warm_since is not None and span > 0:
            warm = min(1.0, (self._clock() - self._warm_since) / span)
            slots = max(1, int(slots * (COLD_SHARE + (1 - COLD_SHARE) * warm)))
        self._last_slots = slots
        return slots

    def _preset(self):
        table = self._tables.table
        return table.declaration.find_preset(table.preset)


def _importance(priority, preset):
    """Return the rank of a class: what the preset sheds first has the least."""
    shed = preset.shed if preset else ()
    return shed.index(priority) if priority in shed else len(shed)
