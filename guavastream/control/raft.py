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

DISK_PAUSE_SECONDS = 0.2
# A successor that is further behind than this needs an election all the same.
HAND_OVER_SECONDS = 0.3
POLL_SECONDS = 0.01

log = part_logger("control")


class Raft(Leader):
    """A voter that follows, stands for election, and leads.

    It is made as a `Voter` is; `run` takes part.
    """

    async def run(self):
        """Take part until cancelled."""
        await self._form()
        while True:
            await self._follow()
            try:
                if await self._campaign():
                    await self._lead()
            except OSError as error:
                # A disk that refuses writes keeps this voter from voting and
                # leading, not from hearing a leader.
                log.warning("The disk refuses writes: %s.", error)
                await asyncio.sleep(DISK_PAUSE_SECONDS)

    async def hand_over(self):
        """Have the voter with the longest log lead next, if this one leads.

        Notes
        -----
        This leader stops acting before it asks, so that nobody has to wait
        for the end of its lease. Without a successor that is up to date the
        others elect one, as after a crash.
        """
        deadline = self._now() + HAND_OVER_SECONDS
        successor = self._successor()
        while self._leading and self._now() < deadline:
            if self._match.get(successor, 0) >= self._storage.last_index:
                break
            await asyncio.sleep(POLL_SECONDS)
            successor = self._successor()
        if not self._leading:
            return
        term, address = self.term, self._voters.get(successor)
        self._leading = False
        self._step_down.set()
        if address is None:
            return
        log.info("Hands over to %s.", address)
        try:
            await self._call(address, TakeOver(to=successor, term=term))
        except GuavastreamError as error:
            log.warning("The successor does not answer: %s.", error)

    def _successor(self):
        """Return the voter with the longest log of those that answer, or ""."""
        lease = self._timing.lease
        heard = [voter for voter, age in self.unheard.items() if age < lease]
        return max(heard, key=lambda voter: self._match.get(voter, 0), default="")

    # Following and being elected

    async def _follow(self):
        """Return once no leader was heard for a whole election timeout.

        Or at once, when the leader asks this voter to succeed it.
        """
        timing = self._timing
        self._asked_to_lead.clear()
        while True:
            timeout = self._rng.uniform(timing.election_min, timing.election_max)
            patience = max(timing.heartbeat, self._heard + timeout - self._now())
            try:
                with TimeLimit.within(patience, loop=self._loop):
                    await self._asked_to_lead.wait()
                silent = True
            except TimeoutError:
                silent = self._now() - self._heard >= timeout
            # A voter whose disk hangs could not lead.
            able = self.voter in self._voters and not self._write_lock.locked()
            if silent and able:
                return
            self._asked_to_lead.clear()

    async def _campaign(self):
        """Return True if a majority elected this voter."""
        started = self._now()
        handed = self._asked_to_lead.is_set()
        term = self.term + 1
        if not handed and not await self._ask_votes(term, pre=True):
            return False
        async with self._write_lock:
            if self.term + 1 != term or (self._heard > started and not handed):
                return False
            await self._save_meta(term=term, voted_for=self.voter)
            self._leader = self._leader_address = ""
        asked = self._now()
        elected = await self._ask_votes(term, handed=handed)
        if not elected or self.term != term:
            return False
        self._leading = True
        self._led_since = asked
        self._leader, self._leader_address = self.voter, self._address
        self._acked = dict.fromkeys(self._granted, asked)
        log.info("Elected in term %d.", term)
        self._record("elected", detail={"term": term})
        return True

    async def _ask_votes(self, term, *, pre=False, handed=False):
        others = {v: a for v, a in self._voters.items() if v != self.voter}
        self._granted = {self.voter}
        self._last_heard = self._heard
        needed = len(self._voters) // 2 + 1
        tasks = [
            asyncio.ensure_future(self._ask_vote(voter, address, term, pre, handed))
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

    async def _ask_vote(self, voter, address, term, pre, handed):
        request = RequestVote(
            to=voter,
            term=term,
            candidate=self.voter,
            last_index=self._storage.last_index,
            last_term=self._storage.last_term,
            pre=pre,
            handed=handed,
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
