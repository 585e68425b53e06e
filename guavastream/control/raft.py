"""Replication of the control log by Raft, with leader leases.

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

from guavastream.control.messages import (
    Appended,
    AppendEntries,
    Hello,
    HelloAnswer,
    InstallSnapshot,
    RequestVote,
    Vote,
)
from guavastream.control.storage import COMMAND, VOTERS, Entry, Snapshot
from guavastream.exception import GuavastreamError, NotLeader, PeerFailure
from guavastream.kernel import part_logger

__all__ = ["Raft", "RaftTiming", "StateMachine"]

BATCH = 256
SNAPSHOT_EVERY = 2000
SNAPSHOT_SECONDS = 5.0
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


class Raft:
    """One voter.

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
        self._now = asyncio.get_running_loop().time
        # A restarted voter may have promised a leader its silence just
        # before; it counts as having heard from one at its start.
        self._heard = self._now()
        self._leading = False
        self._leader = ""
        self._leader_address = ""
        self._commit = storage.snapshot.index
        self._applied = storage.snapshot.index
        self._ready_index = 0
        self._acked = {}
        self._match = {}
        self._learners = {}
        self._waiting = {}
        self._proposals = []
        self._write_lock = asyncio.Lock()
        self._kicks = {}
        self._granted = set()
        self._last_heard = self._heard
        self._wake = asyncio.Event()
        self._step_down = asyncio.Event()
        self._advanced = asyncio.Event()
        if storage.snapshot.index:
            machine.load(storage.snapshot.index, storage.snapshot.data)
        self._voters = self._voters_in_log()

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
        """Peer address of the leader as far as known, or an empty string."""
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

    async def run(self):
        """Take part until cancelled."""
        await self._form()
        while True:
            await self._follow()
            if await self._campaign():
                await self._lead()

    async def wait_applied(self, index, timeout):
        """Wait until an entry after `index` is applied, or `timeout` seconds."""
        if self._applied > index:
            return
        try:
            await asyncio.wait_for(self._advanced.wait(), timeout)
        except TimeoutError:
            pass

    async def propose(self, data, *, kind=COMMAND):
        """Replicate a command and return its result once it is applied.

        Raises
        ------
        NotLeader
            If this voter does not lead. When it lost the lead meanwhile the
            command may still be committed later.
        """
        if not self._leading:
            raise NotLeader(leader=self._leader_address)
        future = asyncio.get_running_loop().create_future()
        self._proposals.append((kind, data, future))
        self._wake.set()
        return await future

    # Forming a group

    async def _form(self):
        """Wait until every peer is known, then take the common voters.

        A host whose disk was lost finds the others in a group that does not
        list its new disk; it then stays outside until it is added.
        """
        while not self._voters:
            found = {self.voter: self._address}
            for address in self._peers:
                if address == self._address:
                    continue
                hello = Hello(voter=self.voter, address=self._address)
                try:
                    answer = await self._call(address, hello)
                except GuavastreamError:
                    continue
                if self.voter in answer.voters:
                    self._adopt(answer.voters)
                    return
                if not answer.voters:
                    found[answer.voter] = address
            if len(found) == len(self._peers):
                self._adopt(dict(sorted(found.items())))
                return
            await asyncio.sleep(self._timing.heartbeat * 4)

    def _adopt(self, voters):
        if not self._storage.meta.voters:
            self._storage.save_meta(voters=voters)
            self._voters = self._voters_in_log()
            log.info("Group of %d voters formed.", len(voters))

    def _voters_in_log(self):
        for entry in reversed(self._storage.entries):
            if entry.kind == VOTERS:
                return msgspec.msgpack.decode(entry.data, type=dict[str, str])
        return self._storage.snapshot.voters or self._storage.meta.voters

    # Answers to other voters

    async def handle(self, request):
        """Answer a message of another voter."""
        if isinstance(request, Hello):
            return HelloAnswer(voter=self.voter, voters=self._voters)
        if request.to != self.voter:
            raise PeerFailure("Another disk was meant.", code="wrong_voter")
        if isinstance(request, RequestVote):
            return await self._handle_vote(request)
        if isinstance(request, AppendEntries):
            return await self._handle_append(request)
        if isinstance(request, InstallSnapshot):
            return await self._handle_install(request)
        raise PeerFailure(f"{type(request).__name__} is not for voters.")

    async def _handle_vote(self, request):
        # Whoever hears a leader ignores candidates, whatever their term: a
        # voter that comes back from a partition then disturbs nobody, and a
        # leader can rely on its lease.
        if self._hears_leader():
            return Vote(term=self.term, granted=False)
        if request.pre:
            granted = request.term > self.term and self._is_up_to_date(request)
            return Vote(term=self.term, granted=granted)
        async with self._write_lock:
            if self._hears_leader():
                return Vote(term=self.term, granted=False)
            age = self._now() - self._heard
            if request.term > self.term:
                await self._new_term(request.term)
            meta = self._storage.meta
            free = meta.voted_for in ("", request.candidate)
            granted = (
                request.term == meta.term and free and self._is_up_to_date(request)
            )
            if granted and not meta.voted_for:
                await self._save_meta(voted_for=request.candidate)
            if granted:
                self._heard = self._now()
        return Vote(term=self.term, granted=granted, age=age)

    def _hears_leader(self):
        silence = self._now() - self._heard
        return self.has_lease() or silence < self._timing.election_min

    def _is_up_to_date(self, request):
        last = (self._storage.last_term, self._storage.last_index)
        return (request.last_term, request.last_index) >= last

    async def _handle_append(self, request):
        if request.term < self.term:
            return Appended(term=self.term, success=False, match=0)
        self._hear(request)
        async with self._write_lock:
            if request.term < self.term:
                return Appended(term=self.term, success=False, match=0)
            if request.term > self.term:
                await self._new_term(request.term)
            # A write that took long must not count as silence of the leader.
            self._hear(request)
            match = await self._store(request)
        if match is None:
            hint = min(self._storage.last_index, request.previous - 1)
            return Appended(term=self.term, success=False, match=max(0, hint))
        self._set_commit(min(request.commit, match))
        return Appended(term=self.term, success=True, match=match)

    def _hear(self, request):
        self._heard = self._now()
        self._leader = request.leader
        self._leader_address = request.leader_address
        if self._leading:
            self._step_down.set()

    async def _store(self, request):
        """Store new entries; return the last index that agrees, or None."""
        previous = request.previous
        # What the snapshot holds is committed and always agrees.
        if previous > self._storage.snapshot.index:
            if self._storage.term_at(previous) != request.previous_term:
                return None
        new = [
            e
            for e in request.entries
            if e.index > self._storage.snapshot.index
            and self._storage.term_at(e.index) != e.term
        ]
        if new:
            # From the first entry that differs on, all are taken anew.
            first = new[0].index
            new = [e for e in request.entries if e.index >= first]
            await self._append_to_log(new)
            self._voters = self._voters_in_log()
        if request.entries:
            return request.entries[-1].index
        return previous

    async def _handle_install(self, request):
        if request.term < self.term:
            return Appended(term=self.term, success=False, match=0)
        self._hear(request)
        async with self._write_lock:
            if request.term > self.term:
                await self._new_term(request.term)
            if request.index > self._commit:
                snapshot = Snapshot(
                    index=request.index,
                    term=request.index_term,
                    data=request.data,
                    voters=request.voters,
                )
                self._storage.save_snapshot(snapshot)
                self._machine.load(request.index, request.data)
                self._commit = self._applied = request.index
                self._voters = self._voters_in_log()
                self._notify()
            self._hear(request)
        return Appended(term=self.term, success=True, match=request.index)

    async def _new_term(self, term):
        await self._save_meta(term=term, voted_for="")
        self._leader = self._leader_address = ""
        if self._leading:
            self._step_down.set()

    async def _append_to_log(self, entries):
        await self._offload(self._storage.write, entries)
        self._storage.take(entries)

    async def _save_meta(self, **changes):
        def save():
            self._storage.save_meta(**changes)

        await self._offload(save)

    # Following and being elected

    async def _follow(self):
        """Return once no leader was heard for a whole election timeout."""
        timing = self._timing
        while True:
            timeout = self._rng.uniform(timing.election_min, timing.election_max)
            await asyncio.sleep(
                max(timing.heartbeat, self._heard + timeout - self._now())
            )
            if self._now() - self._heard >= timeout and self.voter in self._voters:
                return

    async def _campaign(self):
        """Return True if a majority elected this voter."""
        started = self._now()
        if not await self._ask_votes(self.term + 1, pre=True):
            return False
        async with self._write_lock:
            if self._heard > started:
                return False
            term = self.term + 1
            await self._save_meta(term=term, voted_for=self.voter)
            self._leader = self._leader_address = ""
        asked = self._now()
        if not await self._ask_votes(term, pre=False) or self.term != term:
            return False
        self._leading = True
        self._leader, self._leader_address = self.voter, self._address
        self._acked = dict.fromkeys(self._granted, asked)
        log.info("Elected in term %d.", term)
        self._record("elected", detail={"term": term})
        return True

    async def _ask_votes(self, term, *, pre):
        others = {v: a for v, a in self._voters.items() if v != self.voter}
        self._granted = {self.voter}
        self._last_heard = self._heard
        needed = len(self._voters) // 2 + 1
        tasks = [
            asyncio.ensure_future(self._ask_vote(voter, address, term, pre))
            for voter, address in others.items()
        ]
        pending = set(tasks)
        while pending and len(self._granted) < needed:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        for task in pending:
            task.cancel()
        if len(self._granted) < needed and not pre:
            await asyncio.sleep(self._rng.uniform(0, self._timing.heartbeat))
        return len(self._granted) >= needed

    async def _ask_vote(self, voter, address, term, pre):
        request = RequestVote(
            to=voter,
            term=term,
            candidate=self.voter,
            last_index=self._storage.last_index,
            last_term=self._storage.last_term,
            pre=pre,
        )
        try:
            vote = await self._call(address, request)
        except GuavastreamError:
            return
        if vote.granted:
            self._granted.add(voter)
            self._last_heard = max(self._last_heard, self._now() - vote.age)
        elif vote.term > self.term:
            async with self._write_lock:
                if vote.term > self.term:
                    await self._new_term(vote.term)

    # Leading

    async def _lead(self):
        """Replicate until another leads or the majority falls silent."""
        self._step_down.clear()
        self._proposals = []
        self._match = {}
        self._learners = {}
        self._ready_index = self._storage.last_index + 1
        self._proposals.append((COMMAND, b"", None))
        self._wake.set()
        tasks = {
            "write": asyncio.ensure_future(self._write_proposals()),
            "quorum": asyncio.ensure_future(self._check_quorum()),
        }
        try:
            while not self._step_down.is_set():
                self._tend_peers(tasks)
                try:
                    await asyncio.wait_for(
                        self._step_down.wait(), self._timing.heartbeat
                    )
                except TimeoutError:
                    pass
        finally:
            self._leading = False
            for task in tasks.values():
                task.cancel()
            self._heard = self._now()
            self._fail_waiting()
        log.info("No longer leads.")
        self._record("stepped_down", detail={"term": self.term})

    def _tend_peers(self, tasks):
        """Keep one pair of tasks for each other voter and learner."""
        peers = self._learners | self._voters
        for voter, address in peers.items():
            if voter != self.voter and voter not in tasks:
                tasks[voter] = asyncio.ensure_future(self._serve_peer(voter, address))
        for voter in list(tasks):
            if voter not in peers and voter not in ("write", "quorum"):
                tasks.pop(voter).cancel()

    def _fail_waiting(self):
        waiting = list(self._waiting.values())
        waiting += [future for _, _, future in self._proposals if future]
        self._waiting.clear()
        self._proposals = []
        for future in waiting:
            if not future.done():
                future.set_exception(NotLeader(leader=self._leader_address))

    async def _check_quorum(self):
        while True:
            await asyncio.sleep(self._timing.heartbeat)
            if not self.has_lease():
                # Cut off silently: whoever is elected must find this one gone.
                log.warning("A majority is silent; steps down.")
                self._step_down.set()
                return

    async def _write_proposals(self):
        term = self.term
        while True:
            await self._wake.wait()
            self._wake.clear()
            async with self._write_lock:
                if self.term != term:
                    return
                batch, self._proposals = self._proposals, []
                entries = []
                for number, (kind, data, future) in enumerate(batch, 1):
                    index = self._storage.last_index + number
                    entry = Entry(index=index, term=term, kind=kind, data=data)
                    entries.append(entry)
                    if future:
                        self._waiting[index] = future
                await self._append_to_log(entries)
                self._voters = self._voters_in_log()
            self._match[self.voter] = self._storage.last_index
            self._advance_commit()
            self._kick()

    def _kick(self):
        """Wake the tasks that replicate."""
        for event in list(self._kicks.values()):
            event.set()

    async def _serve_peer(self, voter, address):
        self._kicks[voter] = asyncio.Event()
        try:
            await asyncio.gather(
                self._heartbeat_peer(voter, address),
                self._replicate_to(voter, address),
            )
        finally:
            self._kicks.pop(voter, None)

    async def _heartbeat_peer(self, voter, address):
        # Separate from replication, so that a slow write at the follower
        # does not cost the leader its lease.
        while True:
            previous = self._match.get(voter, 0)
            if self._storage.term_at(previous) is not None:
                await self._send(voter, address, self._append(voter, previous, ()))
            await asyncio.sleep(self._timing.heartbeat)

    async def _replicate_to(self, voter, address):
        following = self._storage.last_index + 1
        while True:
            if following < self._storage.first_index:
                match = await self._install(voter, address)
            else:
                previous = following - 1
                entries = self._storage.slice(following, BATCH)
                request = self._append(voter, previous, entries)
                match = await self._send(voter, address, request)
            if match is None:
                await asyncio.sleep(self._timing.heartbeat)
                continue
            success, index = match
            following = index + 1
            if success:
                self._match[voter] = max(index, self._match.get(voter, 0))
                self._advance_commit()
            if following > self._storage.last_index:
                await self._kicks[voter].wait()
                self._kicks[voter].clear()

    def _append(self, voter, previous, entries):
        return AppendEntries(
            to=voter,
            term=self.term,
            leader=self.voter,
            leader_address=self._address,
            previous=previous,
            previous_term=self._storage.term_at(previous) or 0,
            commit=self._commit,
            entries=entries,
        )

    async def _install(self, voter, address):
        snapshot = self._storage.snapshot
        request = InstallSnapshot(
            to=voter,
            term=self.term,
            leader=self.voter,
            leader_address=self._address,
            index=snapshot.index,
            index_term=snapshot.term,
            data=snapshot.data,
            voters=snapshot.voters,
        )
        return await self._send(voter, address, request, timeout=SNAPSHOT_SECONDS)

    async def _send(self, voter, address, request, timeout=None):
        """Send to a follower; return success and index, or None if unheard."""
        sent = self._now()
        try:
            answer = await self._call(address, request, timeout=timeout)
        except GuavastreamError:
            return None
        if answer.term > self.term:
            async with self._write_lock:
                if answer.term > self.term:
                    await self._new_term(answer.term)
            return None
        if answer.term < request.term or self.term != request.term:
            return None
        # The follower's promise counts from when this was sent, the earliest
        # moment at which it can have been given.
        self._acked[voter] = max(sent, self._acked.get(voter, -1e9))
        return answer.success, answer.match

    async def _call(self, address, request, timeout=None):
        timeout = timeout or self._timing.call
        return await self._transport.call(address, request, timeout=timeout)

    # Committing and applying

    def _advance_commit(self):
        if self._step_down.is_set() or not self._leading:
            return
        matches = sorted((self._match.get(v, 0) for v in self._voters), reverse=True)
        index = matches[len(self._voters) // 2]
        # Only entries of the own term are committed by counting (Raft, 5.4.2).
        if index > self._commit and self._storage.term_at(index) == self.term:
            self._set_commit(index)
            self._kick()

    def _set_commit(self, index):
        self._commit = max(self._commit, index)
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
        self._advanced = asyncio.Event()

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

    # Changing the voters

    async def add_voter(self, voter, address, *, timeout=30.0):
        """Bring a host up to date, then let it vote.

        Raises
        ------
        NotLeader
            If this voter does not lead.
        PeerFailure
            If the host has not caught up within `timeout` seconds.
        """
        if not self._leading:
            raise NotLeader(leader=self._leader_address)
        if voter in self._voters:
            return
        self._learners[voter] = address
        deadline = self._now() + timeout
        try:
            # Counting it before it has caught up would let the loss of a
            # second host lose what only the first two held.
            while self._match.get(voter, 0) < self._commit:
                if self._now() > deadline:
                    raise PeerFailure(
                        f"{address} did not catch up.", code="not_caught_up"
                    )
                await asyncio.sleep(self._timing.heartbeat)
            await self._change_voters(self._voters | {voter: address})
        finally:
            self._learners.pop(voter, None)

    async def remove_voter(self, voter):
        """Take a voter out of the group; the leader itself steps down after."""
        voters = {v: a for v, a in self._voters.items() if v != voter}
        if not voters:
            raise PeerFailure("The last voter cannot go.", code="last_voter")
        await self._change_voters(voters)
        if voter == self.voter:
            self._step_down.set()

    async def _change_voters(self, voters):
        # One voter at a time, and only once the change before is committed,
        # so that any two majorities share a voter.
        pending = self._storage.slice(self._commit + 1, BATCH)
        if any(entry.kind == VOTERS for entry in pending):
            raise PeerFailure("Another change of voters runs.", code="busy")
        await self.propose(msgspec.msgpack.encode(voters), kind=VOTERS)
