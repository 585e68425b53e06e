"""Replication of the control log by Raft, with leader leases.

References
----------
.. [1] D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", USENIX ATC 2014.
.. [2] D. Ongaro, "Consensus: Bridging Theory and Practice", PhD thesis,
   Stanford 2014; transfer of leadership (3.10), pre-vote (9.6), check-quorum
   and leases (6.2, 6.4).
"""

import asyncio

from guavastream.control.leader import Leader
from guavastream.control.messages import RequestVote, TakeOver
from guavastream.exception import GuavastreamError
from guavastream.kernel import TimeLimit, part_logger

__all__ = ["Raft"]

DISK_RETRY_SECONDS = 0.2
# How long a stopping leader waits for a successor to catch up. If none has by
# then, the voters hold an ordinary election.
TRANSFER_WAIT_SECONDS = 0.3
POLL_SECONDS = 0.01

log = part_logger("control")


class Raft(Leader):
    """A voter that follows, stands for election and leads.

    Takes the parameters of `Voter`; `run` is its main loop.
    """

    async def run(self):
        """Run this voter until cancelled."""
        await self._form_group()
        while True:
            await self._wait_for_election()
            try:
                if await self._campaign():
                    await self._lead()
            except OSError as error:
                # With a failing disk this voter cannot vote or lead, but it still
                # follows a leader.
                log.warning("A disk write failed: %s.", error)
                await asyncio.sleep(DISK_RETRY_SECONDS)

    async def transfer_leadership(self):
        """Transfer leadership to the most up-to-date voter, and lead no more.

        Notes
        -----
        This voter still votes, but stands for no election: a host that stops would
        cost the others an election timeout if it were elected before it ends.

        The leader stops acting before it sends the request, so that the successor
        need not wait for the lease to expire. If no successor is up to date or it
        does not answer, the others elect a leader as after a crash.
        """
        self._stands_for_election = False
        deadline = self._now() + TRANSFER_WAIT_SECONDS
        successor = self._choose_successor()
        while self._leading and self._now() < deadline:
            if self._match_indexes.get(successor, 0) >= self._storage.last_index:
                break
            await asyncio.sleep(POLL_SECONDS)
            successor = self._choose_successor()
        if not self._leading:
            return
        term, address = self.term, self._voters.get(successor)
        self._leading = False
        self._step_down.set()
        if address is None:
            return
        log.info("Transferring leadership to %s.", address)
        try:
            await self._call(address, TakeOver(to=successor, term=term))
        except GuavastreamError as error:
            log.warning("Transfer of leadership failed: %s.", error)

    def _choose_successor(self):
        """Return the most up-to-date voter with recent answers, or an empty string."""
        lease = self._timing.lease
        responsive = [
            voter for voter, silence in self.silence_by_voter.items() if silence < lease
        ]
        return max(
            responsive, key=lambda voter: self._match_indexes.get(voter, 0), default=""
        )

    # Following and elections

    async def _wait_for_election(self):
        """Return when this voter should start an election.

        That is after an election timeout without contact with a leader, or when the
        leader asks this voter to succeed it.
        """
        timing = self._timing
        self._takeover_requested.clear()
        while True:
            timeout = self._rng.uniform(timing.election_min, timing.election_max)
            remaining = max(
                timing.heartbeat, self._leader_heard_at + timeout - self._now()
            )
            try:
                with TimeLimit.within(remaining, loop=self._loop):
                    await self._takeover_requested.wait()
                silent = True
            except TimeoutError:
                silent = self._now() - self._leader_heard_at >= timeout
            # A voter whose disk hangs cannot lead.
            can_lead = (
                self.voter in self._voters
                and self._stands_for_election
                and not self._write_lock.locked()
            )
            if silent and can_lead:
                return
            self._takeover_requested.clear()

    async def _campaign(self):
        """Start an election; return True if a majority elected this voter."""
        started = self._now()
        transfer = self._takeover_requested.is_set()
        term = self.term + 1
        if not transfer and not await self._ask_votes(term, pre_vote=True):
            return False
        async with self._write_lock:
            if self.term + 1 != term or (
                self._leader_heard_at > started and not transfer
            ):
                return False
            await self._save_meta(term=term, voted_for=self.voter)
            self._leader = self._leader_address = ""
        requested_at = self._now()
        elected = await self._ask_votes(term, transfer=transfer)
        if not elected or self.term != term or not self._stands_for_election:
            return False
        self._leading = True
        self._leader_since = requested_at
        self._leader, self._leader_address = self.voter, self._address
        self._acked_at = dict.fromkeys(self._granted_by, requested_at)
        log.info("Elected in term %d.", term)
        self._record("elected", detail={"term": term})
        return True

    async def _ask_votes(self, term, *, pre_vote=False, transfer=False):
        """Ask the other voters for their votes; return True for a majority."""
        others = {v: a for v, a in self._voters.items() if v != self.voter}
        self._granted_by = {self.voter}
        self._latest_leader_contact = self._leader_heard_at
        majority = len(self._voters) // 2 + 1
        tasks = [
            asyncio.ensure_future(
                self._ask_vote(voter, address, term, pre_vote, transfer)
            )
            for voter, address in others.items()
        ]
        pending = set(tasks)
        while pending and len(self._granted_by) < majority:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        for task in pending:
            task.cancel()
        if len(self._granted_by) < majority and not pre_vote:
            await asyncio.sleep(self._rng.uniform(0, self._timing.heartbeat))
        return len(self._granted_by) >= majority

    async def _ask_vote(self, voter, address, term, pre_vote, transfer):
        request = RequestVote(
            to=voter,
            term=term,
            candidate=self.voter,
            last_index=self._storage.last_index,
            last_term=self._storage.last_term,
            pre_vote=pre_vote,
            leadership_transfer=transfer,
        )
        try:
            vote = await self._call(address, request)
        except GuavastreamError:
            return
        if vote.granted:
            self._granted_by.add(voter)
            self._latest_leader_contact = max(
                self._latest_leader_contact, self._now() - vote.leader_silence
            )
        elif vote.term > self.term:
            async with self._write_lock:
                if vote.term > self.term:
                    await self._enter_term(vote.term)
