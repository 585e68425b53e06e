"""The daemon role of a control host."""

import asyncio
import fcntl
import os
import random

from guavastream.control.machine import TableStateMachine
from guavastream.control.planner import Planner
from guavastream.control.raft import Raft
from guavastream.control.service import ControlService
from guavastream.control.storage import Storage
from guavastream.exception import Finding, FindingsError
from guavastream.kernel import ROLES, Role
from guavastream.leases import LeaseKeeper, LeaseTiming
from guavastream.messages.zmq_transport import ZmqServer

__all__ = ["ControlRole"]

LOCK_NAME = "lock"


@ROLES.register("control")
class ControlRole(Role):
    """Runs a Raft voter with its log in `--data` that listens at `--peer`."""

    @classmethod
    def wanted(cls, settings):
        return bool(settings.data)

    async def start(self):
        node = self._node
        settings = node.settings
        self._lock = _lock_folder(settings.data)
        storage = Storage(folder=settings.data)
        machine = TableStateMachine()
        timing = LeaseTiming.from_milliseconds(settings.lease_ms)
        keeper = LeaseKeeper(clock=node.clock, timing=timing)
        self._raft = Raft(
            storage=storage,
            transport=node.transport,
            address=settings.peer,
            peers=settings.control_addresses,
            machine=machine,
            rng=random.Random(),
            offload=asyncio.to_thread,
            record=node.record,
        )
        planner = Planner(
            raft=self._raft, machine=machine, keeper=keeper, record=node.record
        )
        service = ControlService(
            raft=self._raft,
            machine=machine,
            keeper=keeper,
            planner=planner,
            transport=node.transport,
            clock=node.clock,
            timing=timing,
        )
        self._server = ZmqServer(
            address=settings.peer,
            handler=service.handle,
            hybrid=node.recorder.clock,
            on_malformed=lambda: node.metrics.incr("peer.malformed"),
        )
        self._server.start()
        node.spawn(self._raft.run())
        node.spawn(planner.run())

    async def stop(self):
        self._server.close()


def _lock_folder(folder):
    """Lock the data folder and return the lock file, which must stay open."""
    # Two processes with the same data folder would vote with one identity and
    # could vote twice in a term.
    file = open(os.path.join(folder, LOCK_NAME), "w")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        finding = Finding(
            place="--data",
            code="folder_in_use",
            text=f"Data folder {folder} is locked by another process.",
        )
        raise FindingsError([finding]) from error
    return file
