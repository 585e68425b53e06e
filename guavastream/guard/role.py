"""The guard as a role of the daemon."""

import asyncio

from guavastream.exception import GuavastreamError
from guavastream.guard.admission import Admission
from guavastream.guard.guard import Guard
from guavastream.guard.handover import Handover
from guavastream.guard.outcomes import Outcomes
from guavastream.guard.server import ServerLink
from guavastream.kernel import ROLES, Role, part_logger
from guavastream.web import HttpServer

__all__ = ["GuardRole"]

ANNOUNCE_THREADS = 8
POLL_SECONDS = 0.02
# A leaving server gets no new work after this time, also if nobody can take
# its shards over; what runs goes on to its end.
NEW_WORK_SECONDS = 2.5

log = part_logger("guard")


@ROLES.register("guard")
class GuardRole(Role):
    """Guards the server that announces itself at `--guard`."""

    @classmethod
    def wanted(cls, settings):
        return bool(settings.guard)

    _since = 0.0

    async def start(self):
        node = self._node
        admission = Admission(
            lease=node.membership.lease,
            member=lambda: node.membership.member,
            tables=node.tables,
            clock=node.clock,
        )
        outcomes = Outcomes()
        node.guard = Guard(
            admission=admission,
            outcomes=outcomes,
            membership=node.membership,
            sender=node.sender,
            clock=node.clock,
            metrics=node.metrics,
            record=node.record,
        )
        self._handover = Handover(
            admission=admission,
            outcomes=outcomes,
            membership=node.membership,
            control=node.control,
            tables=node.tables,
            record=node.record,
        )
        self._link = ServerLink(
            membership=node.membership,
            admission=admission,
            tables=node.tables,
            sender=node.sender,
            served_at=lambda: node.guard.served_at,
            on_drain=node.stop,
        )
        self._server = HttpServer(
            address=node.settings.guard,
            handler=self._link.handle,
            threads=ANNOUNCE_THREADS,
        )
        self._server.start()
        node.spawn(self._handover.run())
        node.spawn(self._link.run())

    async def drain(self, deadline):
        node = self._node
        self._link.stop()
        if not node.membership.member:
            return
        try:
            await node.membership.leave()
        except GuavastreamError as error:
            log.warning("Nobody heard that this member leaves: %s.", error)
        while self._may_wait(deadline) and not self._is_empty():
            await asyncio.sleep(POLL_SECONDS)
        node.guard.admission.stop_admitting()
        while node.clock() < deadline and node.guard.admission.running:
            await asyncio.sleep(POLL_SECONDS)
        await node.membership.depart()

    def _may_wait(self, deadline):
        """Whether new work may still come; it must not for more than 3 s."""
        now = self._node.clock()
        self._since = self._since or now
        return now < min(deadline, self._since + NEW_WORK_SECONDS)

    async def stop(self):
        await asyncio.to_thread(self._server.stop)

    def _is_empty(self):
        """Whether nothing is owned, pinned or running here any more.

        For a service without keys the other doors need a moment to hear that
        this member leaves; `leave` has been committed by now, and requests
        that still come are served until `stop_admitting`.
        """
        table = self._node.tables.table
        member = self._node.membership.member
        known = table.members.get(member)
        if known is None or not known.leaving:
            return False
        if any(shards.owned_by(member) for shards in table.shards.values()):
            return False
        pinned = any(
            pin.member == member
            for pins in table.pins.values()
            for pin in pins.values()
        )
        return not pinned and not self._node.guard.admission.running
