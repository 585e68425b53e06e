"""A control host of a fleet: log, book, grants and operators' changes."""

import asyncio
import random

from guavastream.control.fleet import FleetService, VoterKeeper
from guavastream.control.grants import GrantManager
from guavastream.control.machine import TableStateMachine
from guavastream.control.raft import Raft
from guavastream.control.storage import Storage
from guavastream.control.suspects import SuspectManager
from guavastream.control.voter import RaftTiming
from guavastream.fleet import (
    ChangeRoutesResult,
    FleetStateCodec,
    LiftSuspects,
    ReadRoutes,
)
from guavastream.hosts.tasks import Tasks
from guavastream.kernel import Counters, part_logger, steady_time
from guavastream.leases import ControlClient
from guavastream.messages.zmq_transport import ZmqNetwork

__all__ = ["ControlHost"]

# Times of the voters. A lost leader is replaced within about half a second; a
# host that is five times slower than usual still answers a heartbeat in time.
TIMING = RaftTiming(
    heartbeat=0.09, election_min=0.35, election_max=0.55, lease=0.3, call=0.28
)
# After a hand-over whoever still asks is told who leads now for this long.
HINT_SECONDS = 0.2
CHANGE_SECONDS = 1.5
READ_SECONDS = 0.8

log = part_logger("control")


class ControlHost:
    """One of the few hosts with a disk.

    Parameters
    ----------
    settings : FleetSettings
        Checked settings.
    """

    def __init__(self, *, settings):
        self.counters = Counters()
        self._settings = settings
        network = ZmqNetwork()
        self._transport = network.transport(
            on_reconnect=lambda address: self.counters.count("peer_reconnects"),
            on_late=lambda size: None,
        )
        self._control = ControlClient(
            transport=self._transport, addresses=settings.seeds
        )
        machine = TableStateMachine(codec=FleetStateCodec())
        self._machine = machine
        self._raft = Raft(
            storage=Storage(folder=settings.data),
            transport=self._transport,
            address=settings.peer,
            peers=settings.seeds,
            machine=machine,
            timing=TIMING,
            rng=random.Random(),
            offload=asyncio.to_thread,
            record=lambda kind, **fields: self.counters.count(kind),
            clock=steady_time,
            may_form=settings.first_start,
        )
        self._granter = GrantManager(
            raft=self._raft,
            machine=machine,
            clock=steady_time,
            timing=settings.holds,
            granting=settings.granting,
            policy=settings.policy,
        )
        self._keeper = VoterKeeper(
            raft=self._raft,
            control=self._control,
            address=settings.peer,
            wanted=settings.wanted_voters,
        )
        self._suspects = SuspectManager(
            raft=self._raft, machine=machine, clock=steady_time
        )
        service = FleetService(
            raft=self._raft,
            machine=machine,
            granter=self._granter,
            voters=self._keeper,
            suspects=self._suspects,
            losses=settings.losses,
        )
        self._server = network.server(
            address=settings.peer,
            handler=service.handle,
            on_malformed=lambda: self.counters.count("malformed_messages"),
        )
        self._tasks = Tasks()

    async def start(self):
        """Begin to take part.

        Raises
        ------
        OSError
            If the peer address cannot be bound.
        """
        self._server.start()
        self._tasks.spawn(self._raft.run())
        self._tasks.spawn(self._granter.run())
        self._tasks.spawn(self._keeper.run())
        self._tasks.spawn(self._suspects.run())

    @property
    def book(self):
        """The newest book."""
        return self._machine.table

    async def lift_suspects(self, requests):
        """Have suspect requests forgotten, by their fingerprints.

        Raises
        ------
        NotReady, PeerFailure
            If whether they were is not known.
        """
        self._know_leader()
        request = LiftSuspects(requests=requests)
        await self._control.call(request, timeout=CHANGE_SECONDS)

    def take_seeds(self, seeds):
        """Take other control hosts to ask, while no leader is known."""
        self._control.update_addresses(tuple(self._raft.voters.values()) or seeds)

    async def change(self, command):
        """Have a change of the configuration committed and return its fate.

        Raises
        ------
        NotReady, PeerFailure
            If whether it was accepted is not known.
        """
        self._know_leader()
        return await self._control.submit(
            command, timeout=CHANGE_SECONDS, result=ChangeRoutesResult
        )

    async def read_routes(self):
        """Return the newest configuration.

        Raises
        ------
        NotReady, PeerFailure
            If nobody can be sure which that is.
        """
        self._know_leader()
        answer = await self._control.call(ReadRoutes(), timeout=READ_SECONDS)
        return answer.config

    def _know_leader(self):
        self._control.update_addresses(tuple(self._raft.voters.values()))
        if self._raft.leader_address:
            self._control.prefer(self._raft.leader_address)

    async def wait_failed(self):
        """Wait until a part has failed, and raise its error."""
        await self._tasks.wait_failed()

    async def drain(self):
        """Let another control host lead, so that nobody waits for an election."""
        await self._raft.transfer_leadership()
        await asyncio.sleep(HINT_SECONDS)

    async def stop(self):
        """Stop at once; the log is synced whenever anything was promised."""
        await self._tasks.stop()
        self._server.close()
        self._transport.close()
