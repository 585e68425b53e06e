"""Raft leaders: writing, replicating and committing entries, changing voters."""

import asyncio

import msgspec

from guavastream.control.follower import Follower
from guavastream.control.messages import AppendEntries, InstallSnapshot
from guavastream.control.storage import COMMAND, VOTERS, Entry
from guavastream.exception import GuavastreamError, NotLeader, PeerFailure
from guavastream.kernel import Signal, part_logger

__all__ = ["Leader"]

MAX_BATCH_ENTRIES = 256
# Entries per message in bytes; 12 ms on a link of 170 Mbit/s. Without a limit a
# follower that had been away was sent everything it had missed in one message,
# which never arrived within the call timeout and was sent again and again.
MAX_BATCH_BYTES = 256 << 10
# Slowest expected link between control hosts. Timeouts of messages with large
# entries or a snapshot are extended by their size at this rate.
MIN_LINK_BYTES_PER_SECOND = 2_000_000
SNAPSHOT_TIMEOUT_SECONDS = 5.0
# A leader steps down when a single disk write takes longer than this, because
# commands would wait although other voters have working disks. More than ten times
# the slowest write expected of a slow but working disk (25 x 0.5 ms).
MAX_WRITE_SECONDS = 0.3

log = part_logger("control")


class Leader(Follower):
    """A voter that can replicate its log to the others as the leader."""

    async def propose(self, data):
        """Replicate a command and return its result after it is applied.

        Raises
        ------
        NotLeader
            If this voter does not lead. If it lost leadership after the command
            was proposed, the command may still be committed later.
        PeerFailure
            If the command cannot be applied.
        """
        if not self._leading:
            raise NotLeader(leader=self._leader_address)
        # A command in the log that cannot be applied would crash every voter, again at
        # each start.
        self._machine.check(data)
        return await self._queue_proposal(COMMAND, data)

    def _queue_proposal(self, kind, data):
        """Queue an entry to be written; return a future of its result."""
        future = self._loop.create_future()
        self._proposals.append((kind, data, future))
        self._proposals_ready.set()
        return future

    # Leading

    async def _lead(self):
        """Lead until this voter steps down."""
        self._step_down.clear()
        self._proposals = []
        self._match_indexes = {}
        self._received_at = {}
        self._learners = {}
        self._commit_at_beat = self._commit
        self._leader_term = self.term
        self._term_start_index = self._storage.last_index + 1
        self._proposals.append((COMMAND, b"", None))
        self._proposals_ready.set()
        tasks = {
            "write": asyncio.ensure_future(self._write_proposals()),
            "quorum": asyncio.ensure_future(self._check_quorum()),
        }
        try:
            while not self._step_down.is_set():
                self._commit_at_beat = self._commit
                self._update_peer_tasks(tasks)
                next_check = self._loop.time() + self._timing.heartbeat
                await self._step_down.wait_until(next_check)
        finally:
            self._leading = False
            if self._leader == self.voter:
                self._leader = self._leader_address = ""
            for task in tasks.values():
                task.cancel()
            self._leader_heard_at = self._now()
            self._fail_pending_results()
            # Wake the watchers, so that they turn to another control host.
            self._notify_applied()
        log.info("Stepped down as leader.")
        self._record("stepped_down", detail={"term": self.term})

    def _update_peer_tasks(self, tasks):
        """Start replication to new voters and learners; stop it for removed ones."""
        peers = self._learners | self._voters
        for voter, address in peers.items():
            if voter != self.voter and voter not in tasks:
                tasks[voter] = asyncio.ensure_future(self._run_peer(voter, address))
        for voter in list(tasks):
            if voter not in peers and voter not in ("write", "quorum"):
                tasks.pop(voter).cancel()

    def _fail_pending_results(self):
        """Raise `NotLeader` in all callers of `propose` that still wait."""
        waiting = list(self._pending_results.values())
        waiting += [future for _, _, future in self._proposals if future]
        self._pending_results.clear()
        self._proposals = []
        for future in waiting:
            if not future.done():
                future.set_exception(NotLeader(leader=self._leader_address))

    async def _check_quorum(self):
        """Step down when the lease has expired or a disk write hangs."""
        while True:
            await asyncio.sleep(self._timing.heartbeat)
            if not self.has_lease():
                # Other voters may elect a leader from now on.
                log.warning("Stepping down: no majority answered within the lease.")
                self._step_down.set()
                return
            started_at = self._write_started_at
            if started_at is not None and self._now() - started_at > MAX_WRITE_SECONDS:
                log.warning("Stepping down: a disk write hangs.")
                self._step_down.set()
                return

    async def _write_proposals(self):
        try:
            await self._write_until_stepped_down()
        except OSError as error:
            log.warning("Stepping down: a disk write failed: %s.", error)
            self._step_down.set()

    async def _write_until_stepped_down(self):
        """Append proposals to the log in batches while this term lasts."""
        term = self.term
        while True:
            await self._proposals_ready.wait()
            self._proposals_ready.clear()
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
                        self._pending_results[index] = future
                await self._append_to_log(entries)
                self._voters = self._latest_voters()
            self._match_indexes[self.voter] = self._storage.last_index
            self._advance_commit()
            self._wake_replication()

    def _wake_replication(self):
        """Wake the replication tasks of all peers."""
        for event in list(self._replication_signals.values()):
            event.set()

    async def _run_peer(self, voter, address):
        self._replication_signals[voter] = Signal(loop=self._loop)
        try:
            await asyncio.gather(
                self._heartbeat_peer(voter, address),
                self._replicate_to(voter, address),
            )
        finally:
            self._replication_signals.pop(voter, None)

    async def _heartbeat_peer(self, voter, address):
        # Heartbeats are sent apart from entries, so that a slow disk write on the
        # follower does not cost the leader its lease.
        while True:
            previous_index = self._match_indexes.get(voter, 0)
            if self._storage.term_at(previous_index) is not None:
                await self._send(
                    voter, address, self._make_append_request(voter, previous_index, ())
                )
            await asyncio.sleep(self._timing.heartbeat)

    async def _replicate_to(self, voter, address):
        """Send a peer the entries it lacks, or a snapshot if they are dropped."""
        next_index = self._storage.last_index + 1
        while True:
            if next_index < self._storage.first_index:
                outcome = await self._send_snapshot(voter, address)
            else:
                previous_index = next_index - 1
                entries = self._storage.slice(
                    next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES
                )
                request = self._make_append_request(voter, previous_index, entries)
                size = sum(len(entry.data) for entry in entries)
                timeout = self._timing.call + size / MIN_LINK_BYTES_PER_SECOND
                outcome = await self._send(voter, address, request, timeout=timeout)
            if outcome is None:
                await asyncio.sleep(self._timing.heartbeat)
                continue
            success, index = outcome
            next_index = index + 1
            if success:
                self._match_indexes[voter] = max(
                    index, self._match_indexes.get(voter, 0)
                )
                self._advance_commit()
            if next_index > self._storage.last_index:
                await self._replication_signals[voter].wait()
                self._replication_signals[voter].clear()

    def _make_append_request(self, voter, previous_index, entries):
        return AppendEntries(
            to=voter,
            # Not the newest term: a message still being made after this voter was
            # deposed must not look like one of the next leader.
            term=self._leader_term,
            leader=self.voter,
            leader_address=self._address,
            previous_index=previous_index,
            previous_term=self._storage.term_at(previous_index) or 0,
            commit=self._commit,
            entries=entries,
            heard_at=self._received_at.get(voter, 0.0) if self.is_leader else 0.0,
        )

    async def _send_snapshot(self, voter, address):
        snapshot = self._storage.snapshot
        request = InstallSnapshot(
            to=voter,
            term=self._leader_term,
            leader=self.voter,
            leader_address=self._address,
            index=snapshot.index,
            index_term=snapshot.term,
            data=snapshot.data,
            voters=snapshot.voters,
        )
        timeout = (
            SNAPSHOT_TIMEOUT_SECONDS + len(snapshot.data) / MIN_LINK_BYTES_PER_SECOND
        )
        return await self._send(voter, address, request, timeout=timeout)

    async def _send(self, voter, address, request, timeout=None):
        """Send a request to a follower and note its answer.

        Returns
        -------
        tuple or None
            Whether the follower accepted and its match index; None without a
            valid answer.
        """
        sent_at = self._now()
        try:
            answer = await self._call(address, request, timeout=timeout)
        except GuavastreamError:
            return None
        if answer.term > self.term:
            async with self._write_lock:
                if answer.term > self.term:
                    await self._enter_term(answer.term)
            return None
        if answer.term < request.term or self.term != request.term:
            return None
        # The lease counts from the time of sending, the earliest moment at which the
        # follower can have received the message.
        self._acked_at[voter] = max(sent_at, self._acked_at.get(voter, -1e9))
        if answer.received_at:
            self._received_at[voter] = answer.received_at
        return answer.success, answer.match_index

    def _advance_commit(self):
        """Commit the entries that a majority of voters has stored."""
        if self._step_down.is_set() or not self._leading:
            return
        match_indexes = sorted(
            (self._match_indexes.get(v, 0) for v in self._voters), reverse=True
        )
        index = match_indexes[len(self._voters) // 2]
        # Only entries of the current term are committed by counting replicas
        # (Raft paper, section 5.4.2).
        if index > self._commit and self._storage.term_at(index) == self.term:
            self._set_commit(index)
            self._wake_replication()

    # Changing the voters

    def add_learner(self, voter, address):
        """Replicate the log to a host that does not vote."""
        if self._leading and voter not in self._voters:
            self._learners[voter] = address

    def remove_learner(self, voter):
        """Stop replicating to a host that does not vote."""
        self._learners.pop(voter, None)

    def is_answering(self, voter):
        """Whether a voter or a learner has answered lately."""
        silence = self._now() - self._acked_at.get(voter, float("-inf"))
        return silence < self._timing.lease

    def is_caught_up(self, voter):
        """Whether a learner has answered lately and has the log up to the last beat.

        If it counted towards the majority before, the loss of another host could lose
        entries that it does not have yet.
        """
        match_index = self._match_indexes.get(voter, 0)
        return self.is_answering(voter) and match_index >= self._commit_at_beat

    async def add_voter(self, voter, address, *, timeout=30.0):
        """Replicate the log to a host, then make it a voter.

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
        self.add_learner(voter, address)
        deadline = self._now() + timeout
        try:
            while not self.is_caught_up(voter):
                if self._now() > deadline:
                    raise PeerFailure(
                        f"Control host {address} did not catch up in time.",
                        code="not_caught_up",
                    )
                await asyncio.sleep(self._timing.heartbeat)
            await self._change_voters(add={voter: address})
        finally:
            self.remove_learner(voter)

    async def remove_voter(self, voter):
        """Remove a voter from the group; a leader that removes itself steps down."""
        if set(self._voters) == {voter}:
            raise PeerFailure("The last voter cannot be removed.", code="last_voter")
        await self._change_voters(remove=voter)
        if voter == self.voter:
            self._step_down.set()

    async def _change_voters(self, *, add=None, remove=None):
        """Commit the voters with one added or removed.

        Voters change one at a time, and only after the previous change and an entry of
        this term are committed, so that any two majorities share a voter.
        """
        # Under the lock no entries are on their way from the queue to the log.
        async with self._write_lock:
            self._require_no_voter_change()
            voters = self._voters | (add or {})
            voters.pop(remove, None)
            data = msgspec.msgpack.encode(voters)
            future = self._queue_proposal(VOTERS, data)
        await future

    def _require_no_voter_change(self):
        if not self._leading:
            raise NotLeader(leader=self._leader_address)
        queued = [kind for kind, _, _ in self._proposals]
        written = [entry.kind for entry in self._storage.entries_after(self._commit)]
        if self._commit < self._term_start_index or VOTERS in queued + written:
            raise PeerFailure("Another change of voters is in progress.", code="busy")
