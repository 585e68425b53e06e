"""Raft followers: forming a group and answering candidates and leaders."""

import asyncio

from guavastream.control.messages import (
    Appended,
    AppendEntries,
    Hello,
    HelloAnswer,
    InstallSnapshot,
    RequestVote,
    TakeOver,
    TakeOverAnswer,
    Vote,
)
from guavastream.control.storage import Snapshot
from guavastream.control.voter import Voter
from guavastream.exception import GuavastreamError, PeerFailure
from guavastream.kernel import part_logger

__all__ = ["Follower"]

log = part_logger("control")


class Follower(Voter):
    """A voter that forms a group and answers the requests of other voters."""

    # Forming a group

    async def _form_group(self):
        """Ask the peers for their identities until this voter is in a group.

        If it may, it forms a new group once all peers have answered and none is in
        a group. A host that lost its disk finds the others in a group without its
        new identity; it then waits until the leader adds it.
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
                    self._set_initial_voters(answer.voters)
                    return
                if not answer.voters:
                    found[answer.voter] = address
            if self._may_form and len(found) == len(self._peers):
                self._set_initial_voters(dict(sorted(found.items())))
                return
            await asyncio.sleep(self._timing.heartbeat * 4)

    def _set_initial_voters(self, voters):
        if not self._storage.meta.voters:
            self._storage.save_meta(voters=voters)
            self._voters = self._latest_voters()
            log.info("Formed a group of %d voters.", len(voters))

    # Answering other voters

    async def handle(self, request):
        """Answer a request of another voter.

        Raises
        ------
        PeerFailure
            If the request is for another voter or of an unknown type.
        """
        if isinstance(request, Hello):
            return HelloAnswer(voter=self.voter, voters=self._voters)
        if request.to != self.voter:
            raise PeerFailure("The request is for another voter.", code="wrong_voter")
        if isinstance(request, RequestVote):
            return await self._handle_vote(request)
        if isinstance(request, TakeOver):
            return self._handle_take_over(request)
        if isinstance(request, AppendEntries):
            return await self._handle_append(request)
        if isinstance(request, InstallSnapshot):
            return await self._handle_install(request)
        raise PeerFailure(f"{type(request).__name__} is not a request to a voter.")

    async def _handle_vote(self, request):
        # A voter that has recently heard a leader ignores candidates of any term.
        # Otherwise a voter that returns from a partition could depose the leader,
        # and a leader could not rely on its lease.
        if self._must_ignore(request):
            return Vote(term=self.term, granted=False)
        if request.pre_vote:
            granted = request.term > self.term and self._is_up_to_date(request)
            return Vote(term=self.term, granted=granted)
        async with self._write_lock:
            if self._must_ignore(request):
                return Vote(term=self.term, granted=False)
            leader_silence = self._now() - self._leader_heard_at
            if request.term > self.term:
                await self._enter_term(request.term)
            meta = self._storage.meta
            free = meta.voted_for in ("", request.candidate)
            granted = (
                request.term == meta.term and free and self._is_up_to_date(request)
            )
            if granted and not meta.voted_for:
                await self._save_meta(voted_for=request.candidate)
            if granted:
                self._leader_heard_at = self._now()
        return Vote(term=self.term, granted=granted, leader_silence=leader_silence)

    def _must_ignore(self, request):
        if self.has_lease():
            return True
        if request.leadership_transfer and request.term == self.term + 1:
            # The current leader has stopped acting, so its lease need not expire.
            return False
        return self._now() - self._leader_heard_at < self._timing.election_min

    def _handle_take_over(self, request):
        accepted = (
            request.term == self.term
            and not self._leading
            and self._stands_for_election
        )
        if accepted:
            self._takeover_requested.set()
        return TakeOverAnswer(accepted=accepted)

    def _is_up_to_date(self, request):
        last = (self._storage.last_term, self._storage.last_index)
        return (request.last_term, request.last_index) >= last

    async def _handle_append(self, request):
        if request.term < self.term:
            return Appended(term=self.term, success=False, match_index=0)
        self._note_leader(request)
        received_at = self._leader_heard_at
        async with self._write_lock:
            if request.term < self.term:
                return Appended(term=self.term, success=False, match_index=0)
            if request.term > self.term:
                await self._enter_term(request.term)
            # Waiting for an earlier slow write must not count as leader silence.
            self._note_leader(request)
            match_index = await self._store_entries(request)
        if match_index is None:
            hint = min(self._storage.last_index, request.previous_index - 1)
            return Appended(
                term=self.term,
                success=False,
                match_index=max(0, hint),
                received_at=received_at,
            )
        self._set_commit(min(request.commit, match_index))
        if self._applied >= request.commit:
            self._note_complete(request.heard_at)
        return Appended(
            term=self.term,
            success=True,
            match_index=match_index,
            received_at=received_at,
        )

    def _note_complete(self, heard_at):
        """Note that everything committed through a time of this clock is applied.

        The time is not that of the arrival: the message may have been under way while
        more was committed. The leader made it after it had received this voter's own
        answer of that time.
        """
        # After a restart of the host the leader may still have a time of the clock
        # before.
        if self._started_at <= heard_at <= self._now():
            self._caught_up_at = max(self._caught_up_at, heard_at)

    def _note_leader(self, request):
        """Record contact with the leader that sent the request."""
        self._leader_heard_at = self._now()
        self._leader = request.leader
        self._leader_address = request.leader_address
        if self._leading:
            self._step_down.set()

    async def _store_entries(self, request):
        """Store the new entries of a request.

        Returns
        -------
        int or None
            Last index at which the log agrees with the leader's; None if this
            voter does not have the entry at the request's `previous_index`.
        """
        previous_index = request.previous_index
        # Entries up to the snapshot are committed and always agree.
        if previous_index > self._storage.snapshot.index:
            if self._storage.term_at(previous_index) != request.previous_term:
                return None
        new = [
            e
            for e in request.entries
            if e.index > self._storage.snapshot.index
            and self._storage.term_at(e.index) != e.term
        ]
        if new:
            # Replace everything from the first differing entry on.
            first = new[0].index
            new = [e for e in request.entries if e.index >= first]
            await self._append_to_log(new)
            self._voters = self._latest_voters()
        if request.entries:
            return request.entries[-1].index
        return previous_index

    async def _handle_install(self, request):
        if request.term < self.term:
            return Appended(term=self.term, success=False, match_index=0)
        self._note_leader(request)
        async with self._write_lock:
            if request.term > self.term:
                await self._enter_term(request.term)
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
                self._voters = self._latest_voters()
                self._notify_applied()
            self._note_leader(request)
        return Appended(term=self.term, success=True, match_index=request.index)
