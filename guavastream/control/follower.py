"""How a voter joins its group and answers the others: its promises."""

import asyncio

from guavastream.control.messages import (
    Appended,
    AppendEntries,
    Hello,
    HelloAnswer,
    InstallSnapshot,
    RequestVote,
    TakenOver,
    TakeOver,
    Vote,
)
from guavastream.control.storage import Snapshot
from guavastream.control.voter import Voter
from guavastream.exception import GuavastreamError, PeerFailure
from guavastream.kernel import part_logger

__all__ = ["Follower"]

log = part_logger("control")


class Follower(Voter):
    """A voter that answers candidates and leaders."""

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
            if self._may_form and len(found) == len(self._peers):
                self._adopt(dict(sorted(found.items())))
                return
            await asyncio.sleep(self._timing.heartbeat * 4)

    def _adopt(self, voters):
        if not self._storage.meta.voters:
            self._storage.save_meta(voters=voters)
            self._voters = self._voters_in_log()
            log.info("Group of %d voters formed.", len(voters))

    # Answers to other voters

    async def handle(self, request):
        """Answer a message of another voter."""
        if isinstance(request, Hello):
            return HelloAnswer(voter=self.voter, voters=self._voters)
        if request.to != self.voter:
            raise PeerFailure("Another disk was meant.", code="wrong_voter")
        if isinstance(request, RequestVote):
            return await self._handle_vote(request)
        if isinstance(request, TakeOver):
            return self._handle_take_over(request)
        if isinstance(request, AppendEntries):
            return await self._handle_append(request)
        if isinstance(request, InstallSnapshot):
            return await self._handle_install(request)
        raise PeerFailure(f"{type(request).__name__} is not for voters.")

    async def _handle_vote(self, request):
        # Whoever hears a leader ignores candidates, whatever their term: a
        # voter that comes back from a partition then disturbs nobody, and a
        # leader can rely on its lease.
        if self._ignores(request):
            return Vote(term=self.term, granted=False)
        if request.pre:
            granted = request.term > self.term and self._is_up_to_date(request)
            return Vote(term=self.term, granted=granted)
        async with self._write_lock:
            if self._ignores(request):
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

    def _ignores(self, request):
        if self.has_lease():
            return True
        if request.handed and request.term == self.term + 1:
            # The leader whose silence is awaited says itself that it is over.
            return False
        return self._now() - self._heard < self._timing.election_min

    def _handle_take_over(self, request):
        accepted = request.term == self.term and not self._leading
        if accepted:
            self._asked_to_lead.set()
        return TakenOver(accepted=accepted)

    def _is_up_to_date(self, request):
        last = (self._storage.last_term, self._storage.last_index)
        return (request.last_term, request.last_index) >= last

    async def _handle_append(self, request):
        if request.term < self.term:
            return Appended(term=self.term, success=False, match=0)
        self._hear(request)
        came_at = self._heard
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
        if self._applied >= request.commit:
            self._current_at = max(self._current_at, came_at)
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
