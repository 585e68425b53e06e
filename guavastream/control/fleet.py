"""What a control host of a fleet answers, and how its voters are replaced."""

import asyncio

import msgspec

from guavastream.control.messages import VOTER_MESSAGES
from guavastream.control.watching import WATCH_MESSAGES, WatchDesk
from guavastream.exception import GuavastreamError, NotLeader, NotReady, PeerFailure
from guavastream.fleet import (
    Beat,
    ChangeRoutes,
    Depart,
    JoinVoters,
    LiftSuspects,
    LoadReport,
    ReadRoutes,
    RenewKeys,
    ReportAnswered,
    ReportEnd,
    ReturnKeys,
    RoutesRead,
    encode_command,
    shorten_change,
)
from guavastream.kernel import part_logger
from guavastream.leases import Submit, Submitted
from guavastream.messages import decode_message

__all__ = ["FleetService", "VoterKeeper"]

# A control host that has not known all that its leader has committed for this
# long does not pass on what it knows as new: whoever watches it asks another one.
FRESH_SECONDS = 0.5
# A watch looks this much later, so that the time is surely over then.
GRAIN_SECONDS = 0.002
# Time after which a silent voter makes room, if one more than wanted votes.
# A restart or a short cut must not cost a vote.
UNHEARD_SECONDS = 3.0
TEND_SECONDS = 0.4
CATCH_UP_SECONDS = 5.0

log = part_logger("control")


class FleetService:
    """Dispatches the messages that reach a control host.

    Parameters
    ----------
    raft : Raft
        This voter.
    machine : TableMachine
        Its book.
    granter : Granter
        Answers heartbeats while this voter leads.
    voters : VoterKeeper
        Takes in new voters while this voter leads.
    suspects : SuspectKeeper
        Tends the suspect requests while this voter leads.
    losses : int
        Disks that may be lost at once; no change is acknowledged on fewer
        synced disks than one more.
    """

    def __init__(self, *, raft, machine, granter, voters, suspects, losses):
        self._raft = raft
        self._machine = machine
        self._granter = granter
        self._voters = voters
        self._suspects = suspects
        self._losses = losses
        self._watches = WatchDesk(
            raft=raft, machine=machine, clock=asyncio.get_running_loop().time
        )

    async def handle(self, request):
        """Answer one message.

        Raises
        ------
        NotLeader, NotReady, PeerFailure
            Carried to the caller by the transport.
        """
        if isinstance(request, VOTER_MESSAGES):
            return await self._raft.handle(request)
        if isinstance(request, WATCH_MESSAGES):
            return await self._watches.answer(
                request, hosts=self._fresh_hosts, fresh_for=self._fresh_for
            )
        self._require_lead()
        self._granter.ensure_term()
        if isinstance(request, Beat):
            return await self._granter.beat(request)
        if isinstance(request, RenewKeys):
            return await self._granter.renew(request)
        if isinstance(request, ReturnKeys):
            await self._granter.take_back(request)
            return request
        if isinstance(request, Depart):
            await self._granter.depart(request.id)
            return request
        if isinstance(request, ReportEnd):
            await self._granter.end(request)
            return request
        if isinstance(request, ReportAnswered):
            await self._suspects.note_answered(request)
            return request
        if isinstance(request, LiftSuspects):
            await self._suspects.lift(request.requests)
            return request
        if isinstance(request, LoadReport):
            self._granter.note_load(request)
            return request
        if isinstance(request, ReadRoutes):
            return self._watches.cut(RoutesRead(config=self._machine.table.config))
        if isinstance(request, Submit):
            return await self._submit(request)
        if isinstance(request, JoinVoters):
            await self._voters.join(request)
            return request
        raise PeerFailure(f"{type(request).__name__} is not for control hosts.")

    def _require_lead(self):
        if not self._raft.is_leader:
            raise NotLeader(leader=self._raft.leader_address)

    def _fresh_hosts(self):
        """Return the control hosts, if what is known here is new enough."""
        if self._raft.knowledge_age > FRESH_SECONDS:
            raise NotReady("No leader is heard here, or not all it has committed.")
        return tuple(self._raft.voters.values())

    def _fresh_for(self):
        """Return when to look again, seconds, if no leader is heard by then."""
        return max(0.0, FRESH_SECONDS - self._raft.knowledge_age) + GRAIN_SECONDS

    async def _submit(self, request):
        command = decode_message(request.tag, request.body)
        if not isinstance(command, ChangeRoutes):
            raise PeerFailure(f"{type(command).__name__} is not for submission.")
        if len(self._raft.voters) // 2 < self._losses:
            raise NotReady("Too few voters to bear the losses that are allowed.")
        command = shorten_change(command, self._machine.table.config)
        result = await self._raft.propose(encode_command(command))
        encoded = msgspec.msgpack.encode(result)
        return Submitted(index=self._machine.table.index, result=encoded)


class VoterKeeper:
    """Takes control hosts in and lets lost ones go, without an operator.

    Parameters
    ----------
    raft : Raft
        This voter.
    control : ControlClient
        Reaches the leader.
    address : str
        Own peer address.
    wanted : int
        Voters that are kept at least; one more than that only while one is
        replaced.
    """

    def __init__(self, *, raft, control, address, wanted):
        self._raft = raft
        self._control = control
        self._address = address
        self._wanted = wanted
        self._busy = asyncio.Lock()

    async def join(self, request):
        """Let a control host vote, as the leader.

        The newcomer is added before an old voter goes: at no time does a
        commit need fewer disks than before.
        """
        async with self._busy:
            if self._raft.voters.get(request.voter) == request.address:
                return
            await self._raft.add_voter(
                request.voter, request.address, timeout=CATCH_UP_SECONDS
            )
            log.info("Control host %s votes now.", request.address)

    async def run(self):
        """Ask to vote while not voting; as the leader remove the lost."""
        while True:
            await asyncio.sleep(TEND_SECONDS)
            try:
                if self._raft.is_leader:
                    await self._remove_lost()
                elif not self._raft.votes:
                    await self._ask()
            except GuavastreamError as error:
                log.debug("Voters stay as they are: %s.", error)

    async def _ask(self):
        request = JoinVoters(voter=self._raft.voter, address=self._address)
        await self._control.call(
            request, timeout=2 * CATCH_UP_SECONDS, attempt=CATCH_UP_SECONDS
        )

    async def _remove_lost(self):
        async with self._busy:
            voters = self._raft.voters
            newest = {address: voter for voter, address in voters.items()}
            unheard = self._raft.unheard
            for voter, silence in sorted(unheard.items(), key=lambda item: -item[1]):
                replaced = newest[voters[voter]] != voter
                lost = len(voters) > self._wanted and silence > UNHEARD_SECONDS
                if silence > TEND_SECONDS and (replaced or lost):
                    await self._raft.remove_voter(voter)
                    log.info("Control host %s votes no more.", voters[voter])
                    return
