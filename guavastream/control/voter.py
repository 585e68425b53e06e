"""What a voter keeps, whoever leads (Raft).

References
----------
.. [1] D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", USENIX ATC 2014.
.. [2] D. Ongaro, "Consensus: Bridging Theory and Practice", PhD thesis,
   Stanford 2014; pre-vote (9.6), check-quorum and leases (6.2, 6.4).
"""

import asyncio
import random
from dataclasses import dataclass

import msgspec

from guavastream.control.storage import COMMAND, VOTERS, Snapshot
from guavastream.kernel import Signal, part_logger

__all__ = ["RaftTiming", "StateMachine", "Voter"]

SNAPSHOT_EVERY = 2000
# Longer than any election takes while a majority is in touch.
HINT_SECONDS = 1.0
# Bound on the difference of two clocks' rates, as a share.
DRIFT = 0.02

log = part_logger("control")


@dataclass(frozen=True, kw_only=True)
class RaftTiming:
    """Times of the voters, in seconds.

    `lease` must be shorter than `election_min` by more than the clocks may
    differ in rate, so that a leader cut off stops before another is elected.
    """

    heartbeat: float = 0.05
    election_min: float = 0.2
    election_max: float = 0.3
    lease: float = 0.18
    call: float = 0.2


class StateMachine:
    """What the log is applied to; the defaults keep nothing."""

    def check(self, data):
        """Raise an error if the command in `data` could not be applied now."""

    def apply(self, index, data):
        """Apply the command in `data` and return its result."""

    def dump(self):
        """Return the whole state as bytes."""
        return b""

    def load(self, index, data):
        """Replace the state by that of `data`, which stands at `index`."""


async def call_directly(function, *args):
    """Run a blocking function in place; the daemon passes a thread instead."""
    return function(*args)


class Voter:
    """What a voter is whether or not it leads: its promises and its log.

    Parameters
    ----------
    storage : Storage
        Durable state of this voter.
    transport : Transport
        Reaches the other voters.
    address : str
        Own peer address.
    peers : tuple of str
        Peer addresses of all voters with which a new group is formed.
    machine : StateMachine
        Applied to by every committed command.
    timing : RaftTiming
        Timeouts.
    rng : random.Random
        Spreads the election timeouts.
    offload : callable, optional
        Coroutine function that runs blocking writes.
    record : callable, optional
        Takes the kind and fields of an event.
    clock : callable, optional
        Steady time in seconds; the loop's by default. Where a host may be
        suspended it must count that time too, or a leader that wakes would
        still believe in its lease.
    may_form : bool
        Whether this voter may form a new group; False where its host was in
        one before, whatever its disk says.
    """

    def __init__(
        self,
        *,
        storage,
        transport,
        address,
        peers,
        machine,
        timing=None,
        rng=None,
        offload=call_directly,
        record=lambda kind, **fields: None,
        clock=None,
        may_form=True,
    ):
        self._storage = storage
        self._transport = transport
        self._address = address
        self._peers = peers
        self._machine = machine
        self._timing = timing or RaftTiming()
        self._rng = rng or random.Random()
        self._offload = offload
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._now = clock or self._loop.time
        self._may_form = may_form and address in peers
        # A restarted voter may have promised a leader its silence just
        # before; it counts as having heard from one at its start.
        self._heard = self._now()
        self._current_at = float("-inf")
        self._leading = False
        self._leader = ""
        self._leader_address = ""
        self._commit = storage.snapshot.index
        self._applied = storage.snapshot.index
        self._ready_index = 0
        self._lead_term = 0
        self._acked = {}
        self._match = {}
        self._learners = {}
        self._waiting = {}
        self._proposals = []
        self._write_lock = asyncio.Lock()
        self._kicks = {}
        self._granted = set()
        self._last_heard = self._heard
        self._led_since = self._heard
        self._writing_since = None
        self._wake = Signal(loop=self._loop)
        self._step_down = Signal(loop=self._loop)
        self._asked_to_lead = Signal(loop=self._loop)
        self._advanced = Signal(loop=self._loop)
        if storage.snapshot.index:
            machine.load(storage.snapshot.index, storage.snapshot.data)
        self._voters = self._voters_in_log()

    @property
    def votes(self):
        """Whether this voter is one of its group as far as it knows."""
        return self.voter in self._voters

    @property
    def leader_age(self):
        """Seconds since a leader was heard; 0 for one that leads."""
        if self._leading:
            return 0.0 if self.has_lease() else float("inf")
        return self._now() - self._heard if self._leader else float("inf")

    @property
    def knowledge_age(self):
        """Seconds since all that its leader had committed was applied here.

        Notes
        -----
        Hearing the leader is not enough: a voter whose disk hangs, or that was
        away, hears it all the time and knows nothing of what is committed.
        """
        if self._leading:
            # A new leader learns what its predecessor has committed when its own
            # first entry is.
            ready = self._applied >= self._ready_index
            return self.leader_age if ready else float("inf")
        return max(self.leader_age, self._now() - self._current_at)

    @property
    def unheard(self):
        """Seconds since each other voter answered this leader, by voter.

        A voter that never did counts from the election.
        """
        now = self._now()
        return {
            voter: now - self._acked.get(voter, self._led_since)
            for voter in self._voters
            if voter != self.voter
        }

    @property
    def voter(self):
        """Identity of this voter's disk."""
        return self._storage.meta.voter

    @property
    def voters(self):
        """Voters in force, disk to peer address."""
        return dict(self._voters)

    @property
    def term(self):
        """Current term."""
        return self._storage.meta.term

    @property
    def leader_address(self):
        """Peer address of the leader as far as known, or an empty string.

        One that was not heard for long is no hint any more: whoever followed
        it would not look for its successor.
        """
        if self.leader_age > HINT_SECONDS:
            return ""
        return self._leader_address

    @property
    def applied(self):
        """Index of the last entry that was applied."""
        return self._applied

    @property
    def is_leader(self):
        """Whether this voter leads and has applied all that came before."""
        return self._leading and self._applied >= self._ready_index and self.has_lease()

    @property
    def predecessor_end(self):
        """Time by which every earlier leader had stopped acting.

        Notes
        -----
        An earlier leader acts only for `lease` seconds after a majority heard
        it. That majority shares a voter with the one that elected this
        leader, and each of those told how long ago it last heard one.
        """
        return self._last_heard + self._timing.lease * (1 + DRIFT)

    def has_lease(self):
        """Whether no other voter can have been elected by now.

        Notes
        -----
        A majority has answered messages sent within the last `lease` seconds,
        and promised to ignore candidates for `election_min` since. A process
        that was paused finds its own clock advanced and says no.
        """
        if not self._leading:
            return False
        now = self._now()
        times = [
            now if v == self.voter else self._acked.get(v, -1e9) for v in self._voters
        ]
        times.sort(reverse=True)
        return now - times[len(self._voters) // 2] < self._timing.lease

    async def wait_applied(self, index, timeout):
        """Wait until an entry after `index` is applied, or `timeout` seconds."""
        if self._applied > index:
            return
        await self._advanced.wait_until(self._loop.time() + timeout)

    # The log on the disk

    def _voters_in_log(self):
        for entry in reversed(self._storage.entries):
            if entry.kind == VOTERS:
                return msgspec.msgpack.decode(entry.data, type=dict[str, str])
        return self._storage.snapshot.voters or self._storage.meta.voters

    async def _new_term(self, term):
        await self._save_meta(term=term, voted_for="")
        self._leader = self._leader_address = ""
        if self._leading:
            self._step_down.set()

    async def _append_to_log(self, entries):
        self._writing_since = self._now()
        try:
            await self._offload(self._storage.write, entries)
        finally:
            self._writing_since = None
        self._storage.take(entries)

    async def _save_meta(self, **changes):
        def save():
            self._storage.save_meta(**changes)

        await self._offload(save)

    async def _call(self, address, request, timeout=None):
        timeout = timeout or self._timing.call
        return await self._transport.call(address, request, timeout=timeout)

    # Committing and applying

    def _set_commit(self, index):
        self._commit = max(self._commit, index)
        if self._applied >= self._commit:
            # Heartbeats say it again and again; whoever waits for news would
            # be woken by each.
            return
        while self._applied < self._commit:
            entry = self._storage.slice(self._applied + 1, 1)[0]
            result = None
            if entry.kind == COMMAND and entry.data:
                result = self._machine.apply(entry.index, entry.data)
            self._applied = entry.index
            future = self._waiting.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result(result)
        self._notify()
        self._compact()

    def _notify(self):
        self._advanced.set()
        self._advanced = Signal(loop=self._loop)

    def _compact(self):
        storage = self._storage
        if self._applied - storage.snapshot.index < SNAPSHOT_EVERY:
            return
        if self._write_lock.locked():
            return
        snapshot = Snapshot(
            index=self._applied,
            term=storage.term_at(self._applied),
            data=self._machine.dump(),
            voters=self._voters,
        )
        storage.save_snapshot(snapshot)
