"""The process on a control host: Raft log, fleet state, grants and changes."""

import asyncio
import random

from guavastream.control.evacuations import EvacuationManager
from guavastream.control.fleet import FleetService
from guavastream.control.grants import GrantManager
from guavastream.control.machine import TableStateMachine
from guavastream.control.raft import Raft
from guavastream.control.storage import Storage
from guavastream.control.suspects import SuspectManager
from guavastream.control.voter import RaftTiming
from guavastream.control.voters import VoterCandidate, VoterKeeper
from guavastream.fleet import (
    ChangeRoutesResult,
    FleetStateCodec,
    LiftSuspects,
    ReadRoutes,
    SetEvacuation,
    SetEvacuationResult,
)
from guavastream.hosts.tasks import Tasks
from guavastream.http1 import Capacity
from guavastream.kernel import Counters, part_logger, steady_time
from guavastream.leases import ControlClient
from guavastream.messages.zmq_transport import ZmqNetwork

__all__ = ["ControlHost"]

# Raft timing, in seconds. A lost leader is replaced within about half a second,
# and a host that is five times slower than usual still answers heartbeats in time.
RAFT_TIMING = RaftTiming(
    heartbeat=0.09, election_min=0.35, election_max=0.55, lease=0.3, call=0.28
)
# After transferring leadership the process stays up for this long, to redirect
# late calls to the new leader.
LEADER_HINT_SECONDS = 0.2
CHANGE_TIMEOUT_SECONDS = 1.5
READ_TIMEOUT_SECONDS = 0.8

log = part_logger("control")


class ControlHost:
    """Takes part in the Raft group and, as leader, grants keys.

    Parameters
    ----------
    settings : FleetSettings
        Validated settings.
    """

    def __init__(self, *, settings):
        self.counters = Counters()
        self.capacity = Capacity(
            loop=asyncio.get_running_loop(),
            machine_bytes=settings.memory_bytes,
            count=self.counters.count,
        )
        self.counters.set_function(
            "client_memory_bytes", lambda: self.capacity.memory.held
        )
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
            timing=RAFT_TIMING,
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
            class_priority=settings.class_priority,
            set_gauge=self.counters.set,
            unset_gauge=self.counters.unset,
        )
        self._voter_keeper = VoterKeeper(
            raft=self._raft,
            transport=self._transport,
            clock=steady_time,
            wanted=settings.wanted_voters,
        )
        self._candidate = VoterCandidate(
            raft=self._raft,
            transport=self._transport,
            address=settings.peer,
            seeds=settings.seeds,
        )
        self._suspects = SuspectManager(
            raft=self._raft, machine=machine, clock=steady_time
        )
        service = FleetService(
            raft=self._raft,
            machine=machine,
            granter=self._granter,
            voters=self._voter_keeper,
            suspects=self._suspects,
            evacuations=EvacuationManager(
                raft=self._raft,
                machine=machine,
                clock=steady_time,
                resend_seconds=settings.order_resend,
            ),
            losses=settings.losses,
        )
        self._server = network.server(
            address=settings.peer,
            handler=service.handle,
            on_malformed=lambda: self.counters.count("malformed_messages"),
        )
        self._tasks = Tasks()

    async def start(self):
        """Start serving and voting.

        Raises
        ------
        OSError
            If the peer address cannot be bound.
        """
        self._server.start()
        self._tasks.spawn(self._raft.run())
        self._tasks.spawn(self._granter.run())
        self._tasks.spawn(self._voter_keeper.run())
        self._tasks.spawn(self._candidate.run())
        self._tasks.spawn(self._suspects.run())

    @property
    def fleet_state(self):
        """The fleet state as this host has applied it."""
        return self._machine.table

    async def lift_suspects(self, requests):
        """Clear suspect requests, given their fingerprints.

        Raises
        ------
        NotReady, PeerFailure
            If it is unknown whether they were cleared.
        """
        self._update_leader()
        request = LiftSuspects(requests=requests)
        await self._control.call(request, timeout=CHANGE_TIMEOUT_SECONDS)

    def update_seeds(self, seeds):
        """Set the seeds from changed settings."""
        self._candidate.seeds = seeds

    async def change(self, command):
        """Commit a change of the configuration and return its result.

        Raises
        ------
        NotReady, PeerFailure
            If it is unknown whether the change was accepted.
        """
        self._update_leader()
        return await self._control.submit(
            command, timeout=CHANGE_TIMEOUT_SECONDS, result=ChangeRoutesResult
        )

    def knows_zone(self, zone):
        """Return whether an availability zone belongs to the deployment."""
        instances = self._machine.table.instances.values()
        return zone in self._settings.regions or any(i.zone == zone for i in instances)

    async def set_evacuation(self, zone, *, active):
        """Commit the start or the end of the evacuation of an availability zone.

        Raises
        ------
        NotReady, PeerFailure
            If it is unknown whether it was committed, or if the order may be a late
            copy of one that a later order has overtaken.
        """
        self._update_leader()
        await self._control.submit(
            SetEvacuation(zone=zone, active=active),
            timeout=CHANGE_TIMEOUT_SECONDS,
            result=SetEvacuationResult,
        )

    async def read_routes(self):
        """Return the newest configuration.

        Raises
        ------
        NotReady, PeerFailure
            If no leader could confirm that its configuration is the newest.
        """
        self._update_leader()
        answer = await self._control.call(ReadRoutes(), timeout=READ_TIMEOUT_SECONDS)
        return answer.config

    def _update_leader(self):
        self._control.update_addresses(self._candidate.known_hosts)
        if self._raft.leader_address:
            self._control.prefer(self._raft.leader_address)

    async def wait_failed(self):
        """Wait until a background task fails, and raise its error."""
        await self._tasks.wait_failed()

    async def drain(self):
        """Transfer leadership and leave the voters, so that the stop is no loss.

        Otherwise an election timeout passes, and until the leader finds this voter
        silent the group bears one lost disk less, though a successor is there.
        """
        await self._raft.transfer_leadership()
        await self._candidate.leave()
        await asyncio.sleep(LEADER_HINT_SECONDS)

    async def stop(self):
        """Stop immediately. Everything acknowledged has been synced to disk."""
        await self._tasks.stop()
        self._server.close()
        self._transport.close()
