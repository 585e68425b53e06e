"""What a control host answers to voters, nodes and operators."""

import msgspec

from guavastream.control.messages import VOTER_MESSAGES, Hello
from guavastream.control.watching import WATCH_MESSAGES, WatchDesk
from guavastream.exception import NotLeader, PeerFailure
from guavastream.leases import LeaseTiming, Renew, Renewed, Submit, Submitted
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

SUBMITTED = (
    ApplyDeclaration,
    FinishMoves,
    RegisterMember,
    RemoveMembers,
    SetDrained,
    SetLeaving,
    Unpin,
    UsePreset,
)
REPORT_SECONDS = 5.0


@message
class AskControl:
    """An operator asks the leader for its view."""


@message
class HostReport:
    """What a live process has in force, `age` seconds ago."""

    host: str
    member: int
    index: int
    revision: int
    age: float


@message
class ControlInfo:
    """The leader's view: voters (disk to address) and live processes."""

    leader: str
    term: int
    index: int
    voters: dict[str, str]
    hosts: tuple[HostReport, ...]


@message
class ChangeVoters:
    """An operator adds the control host at `address`, or removes it."""

    address: str
    add: bool


class ControlService:
    """Dispatches the messages that reach a control host.

    Parameters
    ----------
    raft : Raft
        This voter.
    machine : TableMachine
        Its state.
    keeper : LeaseKeeper
        Used while this voter leads.
    planner : Planner
        Told of new terms before a lease is renewed.
    transport : Transport
        Asks new voters for their identity.
    timing : LeaseTiming
        Times of leases.
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
        self._hosts = {}
        self._watches = WatchDesk(raft=raft, machine=machine, clock=clock)

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
            return await self._watches.answer(request)
        self._require_lead()
        if isinstance(request, Renew):
            return self._renew(request)
        if isinstance(request, Submit):
            return await self._submit(request)
        if isinstance(request, AskControl):
            return self._info()
        if isinstance(request, ChangeVoters):
            return await self._change_voters(request)
        raise PeerFailure(f"{type(request).__name__} is not for control hosts.")

    def _require_lead(self):
        if self._raft.is_leader:
            return
        leader = self._raft.leader_address
        raise NotLeader(leader=leader)

    def _renew(self, request):
        self._planner.ensure_term()
        self._hosts[request.host] = (self._clock(), request)
        table = self._machine.table
        gone = False
        if request.member:
            known = request.member in table.members
            gone = not (known and self._keeper.renew(request.member))
        # Checked again after the book was changed: a leader that was paused
        # in between must not answer for a term that is no longer its own.
        self._require_lead()
        return Renewed(duration=self._timing.duration, index=table.index, gone=gone)

    async def _submit(self, request):
        command = decode_message(request.tag, request.body)
        if not isinstance(command, SUBMITTED):
            raise PeerFailure(f"{type(command).__name__} is not for submission.")
        self._planner.ensure_term()
        if isinstance(command, RemoveMembers):
            for member in command.members:
                self._keeper.release(member)
        result = await self._raft.propose(encode_command(command))
        if isinstance(command, RegisterMember):
            self._keeper.admit(result)
        encoded = msgspec.msgpack.encode(result)
        return Submitted(index=self._machine.table.index, result=encoded)

    def _info(self):
        now = self._clock()
        reports = [
            HostReport(
                host=host,
                member=renewal.member,
                index=renewal.index,
                revision=renewal.revision,
                age=now - at,
            )
            for host, (at, renewal) in sorted(self._hosts.items())
            if now - at < REPORT_SECONDS
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
                    f"{request.address} does not vote.", code="unknown_voter"
                )
            await self._raft.remove_voter(found[0])
            return self._info()
        hello = Hello(voter=self._raft.voter, address=request.address)
        answer = await self._transport.call(request.address, hello, timeout=1.0)
        earlier = [
            voter
            for voter, address in self._raft.voters.items()
            if address == request.address and voter != answer.voter
        ]
        # The disk that stood at this address is gone for good; as long as it
        # counted, the group would need one more of the others.
        for voter in earlier:
            await self._raft.remove_voter(voter)
        await self._raft.add_voter(answer.voter, request.address)
        return self._info()
