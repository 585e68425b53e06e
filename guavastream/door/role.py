"""The door as a role of the daemon."""

import asyncio

from guavastream.door.door import Door
from guavastream.door.forward import Forwarder
from guavastream.kernel import ROLES, Role
from guavastream.routing import Chooser
from guavastream.web import HttpServer

__all__ = ["DoorRole"]


@ROLES.register("door")
class DoorRole(Role):
    """Serves callers and other doors at `--door`."""

    @classmethod
    def wanted(cls, settings):
        return bool(settings.door)

    async def start(self):
        node = self._node
        chooser = Chooser(zone=node.settings.zone, clock=node.clock)
        forwarder = Forwarder(
            tables=node.tables,
            chooser=chooser,
            sender=node.sender,
            guard=lambda: node.guard,
            member=lambda: node.membership.member,
            clock=node.clock,
            metrics=node.metrics,
        )
        door = Door(
            forwarder=forwarder,
            tables=node.tables,
            ready=node.membership.ready.is_set,
            clock=node.clock,
            metrics=node.metrics,
            record=node.record,
        )
        self._server = HttpServer(
            address=node.settings.door,
            handler=door.handle,
            threads=node.settings.threads,
        )
        self._server.start()

    async def stop(self):
        await asyncio.to_thread(self._server.stop)
