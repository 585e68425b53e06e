"""The door as a role of the daemon."""

import asyncio

from guavastream.door.door import Door
from guavastream.door.forward import Forwarder
from guavastream.kernel import ROLES, Role, part_logger
from guavastream.routing import Chooser
from guavastream.web import HttpServer

__all__ = ["DoorRole"]


LAME_SECONDS = 1.0
BACKLOG_SECONDS = 0.1
POLL_SECONDS = 0.02
WATCH_SECONDS = 1.0
# A process that is not ready takes no connections, so that callers go
# elsewhere at once; after this time it takes them to say so.
READY_SECONDS = 3.0

log = part_logger("door")


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
        node.spawn(self._watch_members(forwarder))
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
            watches=True,
        )
        try:
            async with asyncio.timeout(READY_SECONDS):
                await node.membership.ready.wait()
        except TimeoutError:
            log.warning("No control host has confirmed the table yet.")
        self._server.start()

    async def _watch_members(self, forwarder):
        tables = self._node.tables
        known = tables.table.members
        while True:
            await tables.wait(tables.table.index + 1, WATCH_SECONDS)
            present = tables.table.members
            if present is not known:
                forwarder.abandon(known.keys() - present.keys())
                known = present

    async def drain(self, deadline):
        # Callers with open connections learn from their next answer that
        # this one will close; closing at once would cut what they are just
        # sending, and they could not know whether it ran.
        clock = self._node.clock
        self._server.drain()
        await asyncio.sleep(LAME_SECONDS)
        self._server.hold_new()
        await asyncio.sleep(BACKLOG_SECONDS)
        self._server.refuse_new()
        while self._server.active and clock() < deadline:
            await asyncio.sleep(POLL_SECONDS)

    async def stop(self):
        await asyncio.to_thread(self._server.stop)
