"""What a voter does while it leads: write, replicate, commit, change voters."""

import asyncio

import msgspec

from guavastream.control.follower import Follower
from guavastream.control.messages import AppendEntries, InstallSnapshot
from guavastream.control.storage import COMMAND, VOTERS, Entry
from guavastream.exception import GuavastreamError, NotLeader, PeerFailure
from guavastream.kernel import Signal, part_logger

__all__ = ["Leader"]

BATCH = 256
# Bytes of entries in one message. A link of 170 Mbit/s passes them in 12 ms:
# without a limit a follower that had been away was sent all that it had missed
# at once, again and again, because it never came within the time of a call.
BATCH_BYTES = 256 << 10
# Slowest rate that is expected between control hosts, in bytes a second. A
# single large entry, or a snapshot, is waited for accordingly.
SLOWEST_RATE = 2_000_000
SNAPSHOT_SECONDS = 5.0
# A leader whose disk takes longer for one write makes way for another: the
# others' disks are well, and commands wait for nothing. Ten times the slowest
# write of a disk that is merely slow (25 x 0.5 ms).
STALL_SECONDS = 0.3

log = part_logger("control")


class Leader(Follower):
    """A voter that can lead."""

    async def propose(self, data, *, kind=COMMAND):
        """Replicate a command and return its result once it is applied.

        Raises
        ------
        NotLeader
            If this voter does not lead. When it lost the lead meanwhile the
            command may still be committed later.
        PeerFailure
            If the command cannot be applied.
        """
        if not self._leading:
            raise NotLeader(leader=self._leader_address)
        if kind == COMMAND:
            # Once in the log it would end every voter, again at each start.
            self._machine.check(data)
        future = self._loop.create_future()
        self._proposals.append((kind, data, future))
        self._wake.set()
        return await future

    # Leading

    async def _lead(self):
        """Replicate until another leads or the majority falls silent."""
        self._step_down.clear()
        self._proposals = []
        self._match = {}
        self._learners = {}
        self._lead_term = self.term
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
                soon = self._loop.time() + self._timing.heartbeat
                await self._step_down.wait_until(soon)
        finally:
            self._leading = False
            if self._leader == self.voter:
                self._leader = self._leader_address = ""
            for task in tasks.values():
                task.cancel()
            self._heard = self._now()
            self._fail_waiting()
            # Whoever waits here for news is to look for it elsewhere.
            self._notify()
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
            began = self._writing_since
            if began is not None and self._now() - began > STALL_SECONDS:
                log.warning("The disk hangs; steps down.")
                self._step_down.set()
                return

    async def _write_proposals(self):
        try:
            await self._write_until_stepped_down()
        except OSError as error:
            log.warning("The disk refuses writes: %s; steps down.", error)
            self._step_down.set()

    async def _write_until_stepped_down(self):
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
        self._kicks[voter] = Signal(loop=self._loop)
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
                entries = self._storage.slice(following, BATCH, BATCH_BYTES)
                request = self._append(voter, previous, entries)
                size = sum(len(entry.data) for entry in entries)
                timeout = self._timing.call + size / SLOWEST_RATE
                match = await self._send(voter, address, request, timeout=timeout)
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
            # Not the newest term: what is left of a lost lead must never
            # pass for the word of the leader after it.
            term=self._lead_term,
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
            term=self._lead_term,
            leader=self.voter,
            leader_address=self._address,
            index=snapshot.index,
            index_term=snapshot.term,
            data=snapshot.data,
            voters=snapshot.voters,
        )
        timeout = SNAPSHOT_SECONDS + len(snapshot.data) / SLOWEST_RATE
        return await self._send(voter, address, request, timeout=timeout)

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

    def _advance_commit(self):
        if self._step_down.is_set() or not self._leading:
            return
        matches = sorted((self._match.get(v, 0) for v in self._voters), reverse=True)
        index = matches[len(self._voters) // 2]
        # Only entries of the own term are committed by counting (Raft, 5.4.2).
        if index > self._commit and self._storage.term_at(index) == self.term:
            self._set_commit(index)
            self._kick()

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
