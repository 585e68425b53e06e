"""State of a Raft voter that does not depend on its role.

References
----------
.. [1] D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", USENIX ATC 2014.
.. [2] D. Ongaro, "Consensus: Bridging Theory and Practice", PhD thesis,
   Stanford 2014; pre-vote (9.6), check-quorum and leases (6.2, 6.4).
"""

import asyncio
import math
import random
from dataclasses import dataclass

import msgspec

from guavastream.control.storage import COMMAND, VOTERS, Snapshot
from guavastream.kernel import Signal, part_logger
from guavastream.leases import MAX_CLOCK_DRIFT

__all__ = ["RaftTiming", "StateMachine", "Voter"]

ENTRIES_PER_SNAPSHOT = 2000
# Longer than an election takes while a majority of voters is connected.
LEADER_HINT_SECONDS = 1.0

log = part_logger("control")


@dataclass(frozen=True, kw_only=True)
class RaftTiming:
    """Raft timeouts in seconds.

    `heartbeat` is the interval between heartbeats, `election_min` and
    `election_max` bound the random election timeout, `lease` is how long a leader
    may act after a majority has answered it, and `call` is the timeout of a
    request to another voter.

    `lease` must be shorter than `election_min` by more than the clock drift, so
    that a disconnected leader stops acting before another one is elected.
    """

    heartbeat: float = 0.05
    election_min: float = 0.2
    election_max: float = 0.3
    lease: float = 0.18
    call: float = 0.2


class StateMachine:
    """State machine to which the log is applied; this base class keeps no state."""

    def check(self, data):
        """Raise an error if the command in `data` cannot be applied to the state."""

    def apply(self, index, data):
        """Apply the command in `data` and return its result."""

    def dump(self):
        """Return a snapshot of the whole state."""
        return b""

    def load(self, index, data):
        """Replace the state with the snapshot `data`, taken after entry `index`."""


async def call_directly(function, *args):
    """Call a blocking function on the event loop; stands in for a worker thread."""
    return function(*args)


class Voter:
    """State that a voter has in every role: its term, vote, log and commit index.

    Parameters
    ----------
    storage : Storage
        Durable state of this voter.
    transport : Transport
        Sends requests to the other voters.
    address : str
        Peer address of this voter.
    peers : tuple of str
        Peer addresses of all voters of a new group, this one included.
    machine : StateMachine
        Receives every committed command.
    timing : RaftTiming
        Timeouts of the protocol.
    rng : random.Random
        Randomizes the election timeouts.
    offload : callable, optional
        Coroutine function that runs blocking disk writes, for example in a thread.
    record : callable, optional
        Called with the kind and the fields of each event.
    clock : callable, optional
        Monotonic time in seconds; that of the event loop by default. If the host
        may be suspended, the clock must include the time spent suspended;
        otherwise a leader that resumes would still rely on an expired lease.
    may_form : bool
        Whether this voter may form a new group. Must be False if its host was in
        a group before, even if its disk is empty now.
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
        # Before a restart this voter may have answered a leader that now relies on
        # its lease, so the start counts as contact with a leader.
        self._started_at = self._leader_heard_at = self._now()
        self._caught_up_at = float("-inf")
        self._leading = False
        self._stands_for_election = True
        self._leader = ""
        self._leader_address = ""
        self._commit = storage.snapshot.index
        self._applied = storage.snapshot.index
        self._term_start_index = 0
        self._leader_term = 0
        self._acked_at = {}
        # Newest times of the other voters' clocks at which they received a message.
        self._received_at = {}
        self._match_indexes = {}
        self._learners = {}
        # The commit index at the leader's last heartbeat.
        self._commit_at_beat = 0
        self._pending_results = {}
        self._proposals = []
        self._write_lock = asyncio.Lock()
        self._replication_signals = {}
        self._granted_by = set()
        self._latest_leader_contact = self._leader_heard_at
        self._leader_since = self._leader_heard_at
        self._write_started_at = None
        self._proposals_ready = Signal(loop=self._loop)
        self._step_down = Signal(loop=self._loop)
        self._takeover_requested = Signal(loop=self._loop)
        self._applied_changed = Signal(loop=self._loop)
        if storage.snapshot.index:
            machine.load(storage.snapshot.index, storage.snapshot.data)
        self._voters = self._latest_voters()

    @property
    def is_voter(self):
        """Whether this host votes, according to its own log."""
        return self.voter in self._voters

    @property
    def leader_silence(self):
        """Seconds since a leader was last heard; 0 on a leader with a lease."""
        if self._leading:
            return 0.0 if self.has_lease() else float("inf")
        return self._now() - self._leader_heard_at if self._leader else float("inf")

    @property
    def unheard_seconds(self):
        """Seconds since this voter last heard a leader, led or started."""
        return 0.0 if self._leading else self._now() - self._leader_heard_at

    @property
    def state_age(self):
        """Seconds since this voter had applied everything its leader had committed.

        Notes
        -----
        Recent contact with the leader does not show that the state is current: a
        voter whose disk hangs, or that was disconnected, receives heartbeats
        but has not applied what is committed.
        """
        if self._leading:
            # A new leader knows what its predecessor had committed only after the
            # first entry of its own term is committed.
            ready = self._applied >= self._term_start_index
            return self.leader_silence if ready else float("inf")
        return max(self.leader_silence, self._now() - self._caught_up_at)

    @property
    def silence_by_voter(self):
        """Seconds since each other voter last answered this leader, by voter.

        For a voter that has never answered, the time since the election.
        """
        now = self._now()
        return {
            voter: now - self._acked_at.get(voter, self._leader_since)
            for voter in self._voters
            if voter != self.voter
        }

    @property
    def voter(self):
        """Identity of this voter, stored on its disk."""
        return self._storage.meta.voter

    @property
    def voters(self):
        """Current voters, mapped to their peer addresses."""
        return dict(self._voters)

    @property
    def term(self):
        """Current term."""
        return self._storage.meta.term

    @property
    def leader_address(self):
        """Peer address of the last known leader, or an empty string.

        Empty also if that leader has been silent for too long, so that clients
        look for its successor instead of being redirected to it.
        """
        if self.leader_silence > LEADER_HINT_SECONDS:
            return ""
        return self._leader_address

    @property
    def applied(self):
        """Index of the last applied entry."""
        return self._applied

    @property
    def is_leader(self):
        """Whether this voter leads, has a lease and has applied all earlier entries."""
        return (
            self._leading
            and self._applied >= self._term_start_index
            and self.has_lease()
        )

    @property
    def predecessor_end(self):
        """Time by which every earlier leader has stopped acting.

        Notes
        -----
        A leader acts for at most `lease` seconds after a majority last heard it.
        That majority shares at least one voter with the majority that elected
        this leader, and every voter reports with its vote how long ago it last
        heard a leader.
        """
        return self._latest_leader_contact + self._timing.lease * (1 + MAX_CLOCK_DRIFT)

    def has_lease(self):
        """Whether this voter leads and no other voter can have been elected yet.

        Notes
        -----
        True if a majority answered messages that were sent within the last `lease`
        seconds: those voters ignore candidates for `election_min` after each of
        them. After a pause of the process the clock has advanced, so the lease
        has expired.
        """
        if not self._leading:
            return False
        now = self._now()
        contact_times = [
            now if v == self.voter else self._acked_at.get(v, -1e9)
            for v in self._voters
        ]
        contact_times.sort(reverse=True)
        return now - contact_times[len(self._voters) // 2] < self._timing.lease

    async def wait_applied(self, index, timeout):
        """Wait until an entry after `index` is applied, at most `timeout` seconds."""
        if self._applied > index:
            return
        await self._applied_changed.wait_until(self._loop.time() + timeout)

    # Stored state

    def _latest_voters(self, index=math.inf):
        """Return the voters of the last change up to `index`, committed or not."""
        for entry in reversed(self._storage.entries):
            if entry.kind == VOTERS and entry.index <= index:
                return msgspec.msgpack.decode(entry.data, type=dict[str, str])
        return self._storage.snapshot.voters or self._storage.meta.voters

    async def _enter_term(self, term):
        """Store a newer term and step down if this voter leads."""
        await self._save_meta(term=term, voted_for="")
        self._leader = self._leader_address = ""
        if self._leading:
            self._step_down.set()

    async def _append_to_log(self, entries):
        """Write entries to the disk, then add them to those in memory."""
        self._write_started_at = self._now()
        try:
            await self._offload(self._storage.write, entries)
        finally:
            self._write_started_at = None
        self._storage.cache_entries(entries)

    async def _save_meta(self, **changes):
        def save():
            self._storage.save_meta(**changes)

        await self._offload(save)

    async def _call(self, address, request, timeout=None):
        timeout = timeout or self._timing.call
        return await self._transport.call(address, request, timeout=timeout)

    # Committing and applying entries

    def _set_commit(self, index):
        """Raise the commit index and apply all entries up to it."""
        self._commit = max(self._commit, index)
        if self._applied >= self._commit:
            # Heartbeats repeat the commit index; without this check each one would
            # wake every waiting watcher.
            return
        while self._applied < self._commit:
            entry = self._storage.slice(self._applied + 1, 1)[0]
            result = None
            if entry.kind == COMMAND and entry.data:
                result = self._machine.apply(entry.index, entry.data)
            self._applied = entry.index
            future = self._pending_results.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result(result)
        self._notify_applied()
        self._compact()

    def _notify_applied(self):
        self._applied_changed.set()
        self._applied_changed = Signal(loop=self._loop)

    def _compact(self):
        """Take a snapshot once enough entries were applied since the last one."""
        storage = self._storage
        if self._applied - storage.snapshot.index < ENTRIES_PER_SNAPSHOT:
            return
        if self._write_lock.locked():
            return
        snapshot = Snapshot(
            index=self._applied,
            term=storage.term_at(self._applied),
            data=self._machine.dump(),
            # A later change of voters may still be replaced by another one.
            voters=self._latest_voters(self._applied),
        )
        try:
            storage.save_snapshot(snapshot)
        except OSError as error:
            # The log is complete without it; it is tried again with the next entry.
            log.warning("A snapshot could not be written: %s.", error)
