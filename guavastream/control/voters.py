"""Which control hosts vote: the leader's side, and that of a host that asks."""

import asyncio
from dataclasses import dataclass

from guavastream.exception import GuavastreamError, NotLeader
from guavastream.fleet import JoinVoters, LeaveVoters
from guavastream.kernel import TimeLimit, part_logger

__all__ = ["AddVoter", "OtherVoter", "RemoveVoter", "VoterCandidate", "VoterKeeper"]
__all__ += ["choose_change"]

CHECK_INTERVAL_SECONDS = 0.1
# A voter that has been silent for this long may be removed for another one. One that
# was removed by mistake asks again, so this need not be longer than all its pauses.
LOST_VOTER_SECONDS = 0.6
# A voter that has been silent for this long is asked whether its process still runs.
PROBE_AFTER_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 0.1
# A voter that has heard no leader for this long may have been removed. Longer than an
# election.
UNHEARD_LEADER_SECONDS = 0.7
# How long a host that wants to vote asks each time, and its pause before the next.
REQUEST_SECONDS = 0.4
REQUEST_INTERVAL_SECONDS = 0.3
# Timeout of a call to one control host, and the pause before the next to it.
CALL_SECONDS = 0.35
CALL_INTERVAL_SECONDS = 0.1
# A host that has not asked again for this long does not want to vote any more.
REQUEST_LIFETIME_SECONDS = 1.6
# How long a host that stops waits to be let go.
LEAVE_SECONDS = 1.0

log = part_logger("control")


@dataclass(frozen=True, kw_only=True)
class OtherVoter:
    """What the leader knows of another voter.

    `silence` is the time since its last answer in seconds. `replaced` is whether
    another voter, or one that asks to vote, answers at its address: its disk is lost.
    `leaving` is whether it said that it stops as planned, `refused` whether its host
    refuses connections: its process is gone.
    """

    voter: str
    address: str
    silence: float
    replaced: bool = False
    leaving: bool = False
    refused: bool = False

    @property
    def is_lost(self):
        """Whether it may be removed for another voter."""
        known = self.replaced or self.leaving or self.refused
        return known or self.silence > LOST_VOTER_SECONDS

    @property
    def urgency(self):
        """Sort key: voters with a greater one are removed first."""
        return self.replaced, self.leaving, self.refused, self.silence


@dataclass(frozen=True, kw_only=True)
class AddVoter:
    """Make a host a voter."""

    voter: str
    address: str


@dataclass(frozen=True, kw_only=True)
class RemoveVoter:
    """Remove a voter."""

    voter: str
    address: str


def choose_change(others, *, ready, wanted):
    """Return the next change of the voters, or None.

    Parameters
    ----------
    others : list of OtherVoter
        All voters but the leader.
    ready : dict of str to str
        Hosts that have caught up and ask to vote, mapped to their addresses.
    wanted : int
        Number of voters that survives the loss of as many disks as allowed.

    Returns
    -------
    AddVoter, RemoveVoter or None

    Notes
    -----
    With one voter less than wanted a majority has as many disks as with all of them,
    and one voter that is lost counts neither for nor against it. So a lost one goes
    before its successor is added, and there are more voters than wanted only while all
    of them answer. Without a successor it stays: it would have to ask again when it
    is back.

    Examples
    --------
    >>> silent = OtherVoter(voter="b", address="h2", silence=2.0)
    >>> others = [silent, OtherVoter(voter="c", address="h3", silence=0.0)]
    >>> choose_change(others, ready={}, wanted=3)
    >>> choose_change(others, ready={"d": "h4"}, wanted=3)
    RemoveVoter(voter='b', address='h2')
    >>> choose_change(others[1:], ready={"d": "h4"}, wanted=3)
    AddVoter(voter='d', address='h4')
    """
    count = len(others) + 1
    lost = max(
        (other for other in others if other.is_lost),
        key=lambda other: other.urgency,
        default=None,
    )
    if lost and (count > wanted or count == wanted and (ready or lost.replaced)):
        return RemoveVoter(voter=lost.voter, address=lost.address)
    for voter, address in ready.items():
        return AddVoter(voter=voter, address=address)
    return None


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
    transport : Transport
        Reaches the other control hosts.
    clock : callable
        Monotonic time in seconds.
    wanted : int
        Number of voters that survives the loss of as many disks as allowed.
    """

    def __init__(self, *, raft, transport, clock, wanted):
        self._raft = raft
        self._transport = transport
        self._now = clock
        self._wanted = wanted
        self._term = 0
        self._requests = {}
        self._leaving = set()
        # Held from the decision on a change until it is committed.
        self._lock = asyncio.Lock()

    def join(self, request):
        """Note that a control host asks to vote; called on the leader.

        Notes
        -----
        The host asks again until it votes. Waiting here until it has caught up would
        let one that is gone again delay all others.
        """
        self._begin_term()
        self._leaving.discard(request.address)
        if self._raft.voters.get(request.voter) == request.address:
            return
        self._requests[request.voter] = _JoinRequest(
            address=request.address, asked_at=self._now()
        )
        self._raft.add_learner(request.voter, request.address)

    async def leave(self, request):
        """Remove a voter whose host stops as planned, unless that leaves too few.

        Without a successor it stays a voter, as it may only restart, and goes when
        the successor joins.
        """
        self._begin_term()
        self._leaving.add(request.address)
        async with self._lock:
            await self._change_voters()

    async def run(self):
        """While this voter leads, add and remove voters."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._raft.is_leader:
                continue
            try:
                async with self._lock:
                    await self._change_voters()
            except GuavastreamError as error:
                log.debug("Changing the voters failed: %s.", error)

    def _begin_term(self):
        """Forget what was noted in an earlier term, as the Raft leader does."""
        if self._term != self._raft.term:
            self._term = self._raft.term
            self._requests.clear()
            self._leaving.clear()

    async def _change_voters(self):
        """Make one change of the voters, if one is due."""
        self._begin_term()
        self._forget_old_requests()
        refused = await self._refused_voters() if self._may_remove() else set()
        answering = {
            voter: request.address
            for voter, request in self._requests.items()
            if self._raft.is_answering(voter)
        }
        ready = {
            voter: address
            for voter, address in answering.items()
            if self._raft.is_caught_up(voter)
        }
        others = self._other_voters(answering, refused)
        change = choose_change(others, ready=ready, wanted=self._wanted)
        if isinstance(change, AddVoter):
            await self._raft.add_voter(change.voter, change.address)
            log.info("Control host %s votes now.", change.address)
        elif isinstance(change, RemoveVoter):
            await self._raft.remove_voter(change.voter)
            log.info("Control host %s is no longer a voter.", change.address)

    def _forget_old_requests(self):
        oldest = self._now() - REQUEST_LIFETIME_SECONDS
        voters = self._raft.voters
        for voter, request in list(self._requests.items()):
            if request.asked_at < oldest or voter in voters:
                del self._requests[voter]
                self._raft.remove_learner(voter)

    def _may_remove(self):
        """Whether a lost voter would be removed now or once a host has caught up."""
        return bool(self._requests) or len(self._raft.voters) > self._wanted

    async def _refused_voters(self):
        """Return the silent voters whose hosts refuse connections."""
        voters = self._raft.voters
        silent = [
            voter
            for voter, silence in self._raft.silence_by_voter.items()
            if silence > PROBE_AFTER_SECONDS
        ]
        refusals = await asyncio.gather(
            *(
                self._transport.is_refused(voters[voter], timeout=PROBE_TIMEOUT_SECONDS)
                for voter in silent
            )
        )
        return {
            voter for voter, refused in zip(silent, refusals, strict=True) if refused
        }

    def _other_voters(self, answering, refused):
        voters = self._raft.voters
        newest_voter = {
            address: voter for voter, address in (voters | answering).items()
        }
        return [
            OtherVoter(
                voter=voter,
                address=voters[voter],
                silence=silence,
                replaced=newest_voter[voters[voter]] != voter,
                leaving=voters[voter] in self._leaving,
                refused=voter in refused,
            )
            for voter, silence in self._raft.silence_by_voter.items()
        ]


class VoterCandidate:
    """Asks the leader to make this control host a voter, and to keep it one.

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
        self._announced = False
        self._leaving = False
        self.seeds = seeds

    @property
    def known_hosts(self):
        """Peer addresses of the control hosts of the log and of the settings."""
        return tuple(dict.fromkeys([*self._raft.voters.values(), *self.seeds]))

    async def run(self):
        """Ask after the start until this host votes, and when no leader is heard.

        A host that was removed while it was cut off, frozen or down still finds itself
        among the voters of its own log, and the leader sends it nothing any more.
        """
        request = JoinVoters(voter=self._raft.voter, address=self._address)
        while not self._leaving:
            if not self._is_settled():
                self._announced |= await self._ask_leader(request, REQUEST_SECONDS)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def _is_settled(self):
        """Whether the leader knows that this host is here and votes."""
        if self._raft.is_leader:
            return True
        unheard_seconds = self._raft.unheard_seconds
        heard = self._raft.is_voter and unheard_seconds <= UNHEARD_LEADER_SECONDS
        return heard and self._announced

    async def leave(self):
        """Tell the leader that this host stops as planned; wait until it is let go."""
        self._leaving = True
        request = LeaveVoters(address=self._address)
        if not await self._ask_leader(request, LEAVE_SECONDS):
            log.warning("No leader knows that this control host stops.")

    async def _ask_leader(self, request, seconds):
        """Send a request to the leader; return whether it answered within `seconds`.

        All known control hosts are asked at once, so that none that is lost delays the
        request, and those that they name too.
        """
        answered = asyncio.get_running_loop().create_future()
        tasks = {}

        def ask(address):
            if address and address != self._address and address not in tasks:
                call = self._ask(address, request, answered, ask)
                tasks[address] = asyncio.ensure_future(call)

        for address in self.known_hosts:
            ask(address)
        try:
            with TimeLimit.within(seconds, loop=asyncio.get_running_loop()):
                await answered
        except TimeoutError:
            return False
        finally:
            for task in tasks.values():
                task.cancel()
        return True

    async def _ask(self, address, request, answered, ask_other):
        """Ask one control host until one has answered as the leader."""
        while not answered.done():
            try:
                await self._transport.call(address, request, timeout=CALL_SECONDS)
            except NotLeader as error:
                ask_other(error.leader)
            except GuavastreamError as error:
                log.debug("%s did not answer as the leader: %s.", address, error)
            else:
                if not answered.done():
                    answered.set_result(True)
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
