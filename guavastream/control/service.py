"""Requests of voters, nodes and operators that a control host answers."""

import msgspec

from guavastream.control.messages import VOTER_MESSAGES, Hello
from guavastream.control.watching import WATCH_MESSAGES, WatchService
from guavastream.exception import NotLeader, PeerFailure
from guavastream.leases import LeaseTiming, Renew, RenewAnswer, Submit, SubmitAnswer
from guavastream.messages import decode_message, message
from guavastream.state import (
    ApplyDeclaration,
    FinishMoves,
    RegisterMember,
    RemoveMembers,
    SetDrained,
    SetLeaving,
    Unpin,
    UsePreset,
    encode_command,
)

__all__ = ["AskControl", "ChangeVoters", "ControlInfo", "ControlService", "HostReport"]

# Commands that nodes and operators may submit to the log.
SUBMITTABLE_COMMANDS = (
    ApplyDeclaration,
    FinishMoves,
    RegisterMember,
    RemoveMembers,
    SetDrained,
    SetLeaving,
    Unpin,
    UsePreset,
)
# Hosts that have not renewed for longer are left out of `ControlInfo`.
MAX_REPORT_AGE_SECONDS = 5.0


@message
class AskControl:
    """Asks the leader for a `ControlInfo`."""


@message
class HostReport:
    """State that a live process had in force `age` seconds ago."""

    host: str
    member: int
    index: int
    revision: int
    age: float


@message
class ControlInfo:
    """Voters, mapped to peer addresses, and live processes known to the leader."""

    leader: str
    term: int
    index: int
    voters: dict[str, str]
    hosts: tuple[HostReport, ...]


@message
class ChangeVoters:
    """Adds the control host at `address` to the voters, or removes it."""

    address: str
    add: bool


class ControlService:
    """Dispatches the messages that reach a control host.

    Parameters
    ----------
    raft : Raft
        This voter.
    machine : TableStateMachine
        The replicated state.
    keeper : LeaseKeeper
        Leases of the members; used while this voter leads.
    planner : Planner
        Prepares each new term before a lease is renewed.
    transport : Transport
        Sends requests to new voters.
    timing : LeaseTiming
        Durations of the leases.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self, *, raft, machine, keeper, planner, transport, clock, timing=None
    ):
        self._raft = raft
        self._machine = machine
        self._keeper = keeper
        self._planner = planner
        self._transport = transport
        self._clock = clock
        self._timing = timing or LeaseTiming()
        self._renewals = {}
        self._watches = WatchService(raft=raft, machine=machine, clock=clock)

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
            return await self._watches.answer(request)
        self._require_leadership()
        if isinstance(request, Renew):
            return self._renew(request)
        if isinstance(request, Submit):
            return await self._submit(request)
        if isinstance(request, AskControl):
            return self._control_info()
        if isinstance(request, ChangeVoters):
            return await self._change_voters(request)
        raise PeerFailure(
            f"{type(request).__name__} is not a request to a control host."
        )

    def _require_leadership(self):
        if self._raft.is_leader:
            return
        leader = self._raft.leader_address
        raise NotLeader(leader=leader)

    def _renew(self, request):
        self._planner.ensure_term()
        self._renewals[request.host] = (self._clock(), request)
        table = self._machine.table
        gone = False
        if request.member:
            known = request.member in table.members
            gone = not (known and self._keeper.renew(request.member))
        # Checked again after the lease was renewed: a leader that was paused in
        # between may have been replaced and must not confirm the renewal.
        self._require_leadership()
        return RenewAnswer(duration=self._timing.duration, index=table.index, gone=gone)

    async def _submit(self, request):
        command = decode_message(request.tag, request.body)
        if not isinstance(command, SUBMITTABLE_COMMANDS):
            raise PeerFailure(f"{type(command).__name__} cannot be submitted.")
        self._planner.ensure_term()
        if isinstance(command, RemoveMembers):
            for member in command.members:
                self._keeper.release(member)
        result = await self._raft.propose(encode_command(command))
        if isinstance(command, RegisterMember):
            self._keeper.admit(result)
        encoded = msgspec.msgpack.encode(result)
        return SubmitAnswer(index=self._machine.table.index, result=encoded)

    def _control_info(self):
        now = self._clock()
        reports = [
            HostReport(
                host=host,
                member=renewal.member,
                index=renewal.index,
                revision=renewal.revision,
                age=now - renewed_at,
            )
            for host, (renewed_at, renewal) in sorted(self._renewals.items())
            if now - renewed_at < MAX_REPORT_AGE_SECONDS
        ]
        return ControlInfo(
            leader=self._raft.leader_address,
            term=self._raft.term,
            index=self._machine.table.index,
            voters=self._raft.voters,
            hosts=tuple(reports),
        )

    async def _change_voters(self, request):
        if not request.add:
            found = [v for v, a in self._raft.voters.items() if a == request.address]
            if not found:
                raise PeerFailure(
                    f"No voter has the address {request.address}.", code="unknown_voter"
                )
            await self._raft.remove_voter(found[0])
            return self._control_info()
        hello = Hello(voter=self._raft.voter, address=request.address)
        answer = await self._transport.call(request.address, hello, timeout=1.0)
        earlier = [
            voter
            for voter, address in self._raft.voters.items()
            if address == request.address and voter != answer.voter
        ]
        # Another identity at this address means that the earlier disk is lost. While
        # it counts as a voter, a majority needs one more of the others.
        for voter in earlier:
            await self._raft.remove_voter(voter)
        await self._raft.add_voter(answer.voter, request.address)
        return self._control_info()
