"""Requests to the control hosts of a fleet."""

import asyncio

import msgspec

from guavastream.control.messages import VOTER_MESSAGES
from guavastream.control.watching import WATCH_MESSAGES, WatchService
from guavastream.exception import NotLeader, NotReady, PeerFailure
from guavastream.fleet import (
    ChangeRoutes,
    CurrentRoutes,
    Depart,
    Heartbeat,
    JoinVoters,
    LeaveVoters,
    LiftSuspects,
    LoadReport,
    ReadRoutes,
    RenewKeys,
    ReportAnswered,
    ReportEnd,
    ReturnKeys,
    SetEvacuation,
    encode_command,
    make_incremental,
)
from guavastream.leases import Submit, SubmitAnswer
from guavastream.messages import decode_message

__all__ = ["FleetService"]

# A control host whose state is older than this refuses watches, so that the watchers
# turn to another one.
MAX_STATE_AGE_SECONDS = 0.5
# Added to the delay before a watch checks the age of the state again, so that the
# limit has certainly passed by then.
TIMER_MARGIN_SECONDS = 0.002


class FleetService:
    """Dispatches the messages that reach a control host.

    Parameters
    ----------
    raft : Raft
        This voter.
    machine : TableStateMachine
        The replicated state.
    granter : GrantManager
        Answers heartbeats while this voter leads.
    voters : VoterKeeper
        Adds new voters while this voter leads.
    suspects : SuspectManager
        Maintains the suspect requests while this voter leads.
    evacuations : EvacuationManager
        Commits evacuations of availability zones while this voter leads.
    losses : int
        Number of disks that may be lost at once. A change is accepted only if it is
        synced on at least one disk more.
    """

    def __init__(
        self, *, raft, machine, granter, voters, suspects, evacuations, losses
    ):
        self._raft = raft
        self._machine = machine
        self._granter = granter
        self._voters = voters
        self._suspects = suspects
        self._evacuations = evacuations
        self._losses = losses
        self._watches = WatchService(
            raft=raft, machine=machine, clock=asyncio.get_running_loop().time
        )

    async def handle(self, request):
        """Answer one request.

        Raises
        ------
        NotLeader, NotReady, PeerFailure
            Returned to the caller by the transport.
        """
        if isinstance(request, VOTER_MESSAGES):
            return await self._raft.handle(request)
        if isinstance(request, WATCH_MESSAGES):
            return await self._watches.answer(
                request,
                hosts=self._hosts_if_fresh,
                staleness_delay=self._staleness_delay,
            )
        self._require_leadership()
        self._granter.ensure_term()
        if isinstance(request, Heartbeat):
            return await self._granter.answer_heartbeat(request)
        if isinstance(request, RenewKeys):
            return await self._granter.renew(request)
        if isinstance(request, ReturnKeys):
            await self._granter.release_keys(request)
            return request
        if isinstance(request, Depart):
            return Depart(id=await self._granter.mark_leaving(request))
        if isinstance(request, ReportEnd):
            await self._granter.remove_ended(request)
            return request
        if isinstance(request, ReportAnswered):
            await self._suspects.clear_answered(request)
            return request
        if isinstance(request, LiftSuspects):
            await self._suspects.lift(request.requests)
            return request
        if isinstance(request, LoadReport):
            self._granter.record_load(request)
            return request
        if isinstance(request, ReadRoutes):
            return self._watches.split_answer(
                CurrentRoutes(config=self._machine.table.config)
            )
        if isinstance(request, Submit):
            return await self._submit(request)
        if isinstance(request, JoinVoters):
            self._voters.join(request)
            return request
        if isinstance(request, LeaveVoters):
            await self._voters.leave(request)
            return request
        raise PeerFailure(
            f"{type(request).__name__} is not a request to a control host."
        )

    def _require_leadership(self):
        if not self._raft.is_leader:
            raise NotLeader(leader=self._raft.leader_address)

    def _hosts_if_fresh(self):
        """Return the addresses of the voters; raise `NotReady` if the state is old."""
        if self._raft.state_age > MAX_STATE_AGE_SECONDS:
            raise NotReady(
                "No contact with a leader, or its commits are not applied yet."
            )
        return tuple(self._raft.voters.values())

    def _staleness_delay(self):
        """Return the seconds until the state is too old, unless it is refreshed."""
        return (
            max(0.0, MAX_STATE_AGE_SECONDS - self._raft.state_age)
            + TIMER_MARGIN_SECONDS
        )

    async def _submit(self, request):
        command = decode_message(request.tag, request.body)
        if not isinstance(command, (ChangeRoutes, SetEvacuation)):
            raise PeerFailure(f"{type(command).__name__} cannot be submitted.")
        if len(self._raft.voters) // 2 < self._losses:
            raise NotReady("Too few voters to survive the allowed disk losses.")
        if isinstance(command, SetEvacuation):
            result = await self._evacuations.submit(command)
        else:
            command = make_incremental(command, self._machine.table.config)
            result = await self._raft.propose(encode_command(command))
        encoded = msgspec.msgpack.encode(result)
        return SubmitAnswer(index=self._machine.table.index, result=encoded)
