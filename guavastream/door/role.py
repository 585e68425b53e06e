"""Daemon role that runs the door."""

import asyncio

from guavastream.door.door import Door
from guavastream.door.forward import Forwarder
from guavastream.kernel import ROLES, Role, part_logger
from guavastream.routing import Chooser
from guavastream.web import HttpServer

__all__ = ["DoorRole"]


# Time in which callers are told that their connections will be closed.
DRAIN_NOTICE_SECONDS = 1.0
# Time in which the connections in the listen backlog are accepted.
ACCEPT_BACKLOG_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.02
TABLE_WAIT_SECONDS = 1.0
# Until it is ready, the process accepts no connections, so that callers connect
# to another host at once. After this time it accepts them and refuses requests.
MAX_READY_WAIT_SECONDS = 3.0

log = part_logger("door")


@ROLES.register("door")
class DoorRole(Role):
    """Serves callers and other doors at the address given by `--door`."""

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
            get_guard=lambda: node.guard,
            get_member_id=lambda: node.membership.member,
            clock=node.clock,
            metrics=node.metrics,
        )
        node.spawn(self._cancel_attempts_at_removed_members(forwarder))
        door = Door(
            forwarder=forwarder,
            tables=node.tables,
            is_ready=node.membership.ready.is_set,
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
            async with asyncio.timeout(MAX_READY_WAIT_SECONDS):
                await node.membership.ready.wait()
        except TimeoutError:
            log.warning(
                "No control host has confirmed the shard table yet; the door accepts "
                "connections and refuses requests."
            )
        self._server.start()

    async def _cancel_attempts_at_removed_members(self, forwarder):
        tables = self._node.tables
        previous = tables.table.members
        while True:
            await tables.wait(tables.table.index + 1, TABLE_WAIT_SECONDS)
            current = tables.table.members
            if current is not previous:
                forwarder.cancel_attempts(previous.keys() - current.keys())
                previous = current

    async def drain(self, deadline):
        # The next answer on each open connection announces that the connection
        # will be closed. Closing at once would break off requests that are being
        # sent, and their callers could not know whether these ran.
        clock = self._node.clock
        self._server.drain()
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        self._server.hold_new()
        await asyncio.sleep(ACCEPT_BACKLOG_SECONDS)
        self._server.refuse_new()
        while self._server.active and clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def stop(self):
        await asyncio.to_thread(self._server.stop)
