"""Admission control of the local backend server: ownership, slots and a queue."""

import threading
from collections import Counter
from dataclasses import dataclass

from guavastream.guard.queue import Waiter, WaitQueue
from guavastream.routing import Refused

__all__ = ["Admission", "Permit"]

# Share of its slots that a newly started server gets at first.
COLD_SHARE = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Permission to send one request to the server; returned with `release`."""

    service: str
    key: str
    shard: int
    epoch: int
    caller: str = ""


class Admission:
    """Admits requests to the server; called from worker threads.

    Parameters
    ----------
    lease : Lease
        Lease under which this member owns its shards and keys.
    member : callable
        Returns the member id of this process, or 0 if it has none.
    tables : TableHolder
        Holds the newest replicated table.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, lease, member, tables, clock):
        self._lease = lease
        self._member = member
        self._tables = tables
        self._clock = clock
        self._lock = threading.Lock()
        self._running = 0
        self._running_by_shard = Counter()
        self._running_by_key = Counter()
        self._closed_shards = set()
        self._closed_keys = set()
        self._leaving = False
        self._queue = WaitQueue()
        self._running_by_caller = Counter()
        self._current_slots = 1
        self._server_started_at = None
        self._on_key_idle = lambda service, key: None

    @property
    def running(self):
        """Number of requests that are running at the server."""
        return self._running

    @property
    def queued(self):
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def on_key_idle(self, callback):
        """Set the callback that gets service and key when a key's last request ends."""
        self._on_key_idle = callback

    def note_server_started(self):
        """Begin the slow start of a newly announced server."""
        self._server_started_at = self._clock()

    def stop_admitting(self):
        """Refuse all further requests; running requests continue."""
        self._leaving = True

    def acquire(self, request, target):
        """Return a `Permit`, waiting in the queue if all slots are taken.

        Parameters
        ----------
        request : ClassifiedRequest
            The request.
        target : Target
            Shard and epoch that the sender of the request assumed.

        Raises
        ------
        Refused
            If the request is not admitted; it has not run then.
        """
        with self._lock:
            self._check_ownership(request, target)
            waiter = self._take_slot_or_enqueue(request)
            if waiter is None:
                return self._admit(request, target)
        woken = waiter.woken.wait(max(0, request.deadline - self._clock()))
        with self._lock:
            if not woken and not waiter.woken.is_set():
                self._queue.remove(waiter)
                raise Refused("deadline_passed")
            if waiter.refusal_code:
                raise Refused(waiter.refusal_code)
            try:
                # During the wait the lease may have ended or a move begun.
                self._check_ownership(request, target)
            except Refused:
                self._running -= 1
                self._wake_next()
                raise
            return self._admit(request, target)

    def check_lease(self, permit):
        """Check the lease again, immediately before the request is sent.

        The process may have been suspended after the request was admitted. This
        check refuses the request if the lease has ended in the meantime.

        Raises
        ------
        Refused
            With `no_lease` if the lease has ended.
        """
        if permit.epoch >= 0 and not self._lease.is_held:
            raise Refused("no_lease")

    def release(self, permit):
        """Return a permit when its request has ended at the server."""
        with self._lock:
            self._running -= 1
            self._running_by_caller[permit.caller] -= 1
            if not self._running_by_caller[permit.caller]:
                del self._running_by_caller[permit.caller]
            idle = False
            if permit.key:
                shard_id = (permit.service, permit.shard)
                self._running_by_shard[shard_id] -= 1
                if not self._running_by_shard[shard_id]:
                    del self._running_by_shard[shard_id]
                key_id = (permit.service, permit.key)
                self._running_by_key[key_id] -= 1
                idle = not self._running_by_key[key_id]
                if idle:
                    del self._running_by_key[key_id]
            self._wake_next()
        if idle:
            self._on_key_idle(permit.service, permit.key)

    def close_shards(self, service, shards):
        """Refuse further requests for shards that are about to be released."""
        with self._lock:
            self._closed_shards.update((service, shard) for shard in shards)

    def busy_shards(self, service, shards):
        """Return those of `shards` that have running requests."""
        with self._lock:
            return [
                shard for shard in shards if self._running_by_shard[(service, shard)]
            ]

    def busy_keys(self, service, shards, shard_of_key):
        """Return the keys of `shards` that have running requests."""
        with self._lock:
            return [
                key
                for (name, key), count in self._running_by_key.items()
                if count and name == service and shard_of_key(key) in shards
            ]

    def reopen_shards(self, service, shards):
        """Admit requests again for shards that were granted under a new epoch."""
        with self._lock:
            self._closed_shards.difference_update((service, s) for s in shards)

    def close_idle_key(self, service, key):
        """Refuse further requests for a pinned key, unless it has running requests.

        Returns
        -------
        bool
            Whether the key is closed.
        """
        with self._lock:
            if self._running_by_key[(service, key)]:
                return False
            self._closed_keys.add((service, key))
            return True

    def forget_unpinned_keys(self):
        """Drop closed keys that are no longer pinned in the table."""
        with self._lock:
            pins = self._tables.table.pins
            self._closed_keys = {
                (service, key)
                for service, key in self._closed_keys
                if key in pins.get(service, {})
            }

    def _check_ownership(self, request, target):
        """Raise `Refused` unless this member may serve the request now."""
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

    def _take_slot_or_enqueue(self, request):
        """Take a slot and return None, or return the queued `Waiter`."""
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

    def _admit(self, request, target):
        service, key = request.service.name, request.owned_key
        if key:
            self._running_by_shard[(service, target.shard)] += 1
            self._running_by_key[(service, key)] += 1
        self._running_by_caller[request.caller] += 1
        return Permit(
            service=service,
            key=key,
            shard=target.shard,
            epoch=target.epoch,
            caller=request.caller,
        )

    def _wake_next(self):
        # The slot is taken on behalf of the waiter before it wakes, so that a new
        # request cannot take it first.
        if self._queue and self._running < self._current_slots:
            self._running += 1
            self._queue.pop(self._running_by_caller).woken.set()

    def _slots(self, service):
        """Return the usable slots of the server, fewer during its slow start."""
        slots = service.slots
        preset = self._preset()
        slow_start_seconds = preset.slow_start_ms / 1000 if preset else 0
        if self._server_started_at is not None and slow_start_seconds > 0:
            warm_share = min(
                1.0, (self._clock() - self._server_started_at) / slow_start_seconds
            )
            slots = max(1, int(slots * (COLD_SHARE + (1 - COLD_SHARE) * warm_share)))
        self._current_slots = slots
        return slots

    def _preset(self):
        table = self._tables.table
        return table.declaration.find_preset(table.preset)


def _importance(priority, preset):
    """Return the importance of a priority class; the preset sheds the lowest first."""
    shed = preset.shed if preset else ()
    return shed.index(priority) if priority in shed else len(shed)
