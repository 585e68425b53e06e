"""Which control hosts vote: the leader's side, and that of a host that asks."""

import asyncio
from dataclasses import dataclass

from guavastream.exception import GuavastreamError, NotLeader
from guavastream.fleet import JoinVoters
from guavastream.kernel import part_logger

__all__ = ["VoterCandidate", "VoterKeeper"]

CHECK_INTERVAL_SECONDS = 0.1
# A voter that has been silent for this long is removed if there are more voters than
# wanted. Longer than a restart or a short network interruption.
LOST_VOTER_SECONDS = 3.0
# Pause between two requests of a host that wants to vote.
REQUEST_INTERVAL_SECONDS = 0.4
REQUEST_TIMEOUT_SECONDS = 0.35
# A host that has not asked again for this long does not want to vote any more.
REQUEST_LIFETIME_SECONDS = 1.6

log = part_logger("control")


@dataclass(frozen=True, kw_only=True)
class _JoinRequest:
    """A control host that asked to vote, and when it last did."""

    address: str
    asked_at: float


class VoterKeeper:
    """Adds control hosts as voters and removes lost ones, without an operator.

    Parameters
    ----------
    raft : Raft
        This voter.
    clock : callable
        Monotonic time in seconds.
    wanted : int
        Number of voters that survives the loss of as many disks as allowed.
    """

    def __init__(self, *, raft, clock, wanted):
        self._raft = raft
        self._now = clock
        self._wanted = wanted
        self._term = 0
        self._requests = {}

    def join(self, request):
        """Note that a control host asks to vote; called on the leader.

        Notes
        -----
        The host asks again until it votes. Waiting here until it has caught up would
        let one that is gone again delay all others.
        """
        self._begin_term()
        if self._raft.voters.get(request.voter) == request.address:
            return
        self._requests[request.voter] = _JoinRequest(
            address=request.address, asked_at=self._now()
        )
        self._raft.add_learner(request.voter, request.address)

    async def run(self):
        """While this voter leads, add and remove voters."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._raft.is_leader:
                continue
            try:
                await self._change_voters()
            except GuavastreamError as error:
                log.debug("Changing the voters failed: %s.", error)

    def _begin_term(self):
        """Forget what was noted in an earlier term, as the Raft leader does."""
        if self._term != self._raft.term:
            self._term = self._raft.term
            self._requests.clear()

    async def _change_voters(self):
        """Make one change of the voters, if one is due."""
        self._begin_term()
        self._forget_old_requests()
        if await self._remove_lost():
            return
        for voter, request in self._requests.items():
            if self._raft.is_caught_up(voter):
                await self._raft.add_voter(voter, request.address)
                log.info("Control host %s votes now.", request.address)
                return

    def _forget_old_requests(self):
        oldest = self._now() - REQUEST_LIFETIME_SECONDS
        voters = self._raft.voters
        for voter, request in list(self._requests.items()):
            if request.asked_at < oldest or voter in voters:
                del self._requests[voter]
                self._raft.remove_learner(voter)

    async def _remove_lost(self):
        voters = self._raft.voters
        newest_voter = {address: voter for voter, address in voters.items()}
        silence_by_voter = self._raft.silence_by_voter
        for voter, silence in sorted(
            silence_by_voter.items(), key=lambda item: -item[1]
        ):
            replaced = newest_voter[voters[voter]] != voter
            lost = len(voters) > self._wanted and silence > LOST_VOTER_SECONDS
            if silence > CHECK_INTERVAL_SECONDS and (replaced or lost):
                await self._raft.remove_voter(voter)
                log.info("Control host %s is no longer a voter.", voters[voter])
                return True
        return False


class VoterCandidate:
    """Asks the leader to make this control host a voter.

    Parameters
    ----------
    raft : Raft
        This voter.
    transport : Transport
        Sends requests to the other control hosts.
    address : str
        Peer address of this host.
    seeds : tuple of str
        Peer addresses of some control hosts, from the settings.
    """

    def __init__(self, *, raft, transport, address, seeds):
        self._raft = raft
        self._transport = transport
        self._address = address
        self.seeds = seeds

    @property
    def known_hosts(self):
        """Peer addresses of the control hosts of the log and of the settings."""
        return tuple(dict.fromkeys([*self._raft.voters.values(), *self.seeds]))

    async def run(self):
        """Ask until this host votes, then watch that it still does."""
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
            if not self._raft.is_leader and not self._raft.is_voter:
                await self._ask_leader(
                    JoinVoters(voter=self._raft.voter, address=self._address)
                )

    async def _ask_leader(self, request):
        """Send a request to the leader; return whether it answered.

        All known control hosts are asked at once, so that none that is lost delays the
        request, and those that name another leader are believed.
        """
        asked = [address for address in self.known_hosts if address != self._address]
        answers = await asyncio.gather(*(self._ask(a, request) for a in asked))
        named = {answer for answer in answers if isinstance(answer, str)}
        named -= {"", self._address, *asked}
        answers += await asyncio.gather(*(self._ask(a, request) for a in named))
        return True in answers

    async def _ask(self, address, request):
        """Return True if the host answered as the leader, else the leader it names."""
        try:
            await self._transport.call(
                address, request, timeout=REQUEST_TIMEOUT_SECONDS
            )
        except NotLeader as error:
            return error.leader
        except GuavastreamError:
            return ""
        return True
