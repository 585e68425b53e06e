"""The guard role of the daemon."""

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
POLL_INTERVAL_SECONDS = 0.02
# A leaving server admits new work for at most this time, even if no other
# member can take over its shards. Running requests continue to their end.
MAX_NEW_WORK_SECONDS = 2.5

log = part_logger("guard")


@ROLES.register("guard")
class GuardRole(Role):
    """Guards the backend server that announces itself at `--guard`."""

    @classmethod
    def wanted(cls, settings):
        return bool(settings.guard)

    _draining_since = 0.0

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
            last_success_at=lambda: node.guard.last_success_at,
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
            log.warning("Leaving was not confirmed by the control plane: %s.", error)
        while self._may_take_new_work(deadline) and not self._is_idle():
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        node.guard.admission.stop_admitting()
        while node.clock() < deadline and node.guard.admission.running:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        await node.membership.depart()

    def _may_take_new_work(self, deadline):
        """Return whether new work may still be admitted during the drain.

        It must not be admitted later than 3 s after the drain began.
        """
        now = self._node.clock()
        self._draining_since = self._draining_since or now
        return now < min(deadline, self._draining_since + MAX_NEW_WORK_SECONDS)

    async def stop(self):
        await asyncio.to_thread(self._server.stop)

    def _is_idle(self):
        """Return whether this member owns, pins and runs nothing any more.

        It must be marked as leaving in the table. For a service without keys,
        other processes learn of that a moment later; requests that they still
        send are served until `stop_admitting`.
        """
        table = self._node.tables.table
        member = self._node.membership.member
        own_entry = table.members.get(member)
        if own_entry is None or not own_entry.leaving:
            return False
        if any(shards.owned_by(member) for shards in table.shards.values()):
            return False
        pinned = any(
            pin.member == member
            for pins in table.pins.values()
            for pin in pins.values()
        )
        return not pinned and not self._node.guard.admission.running
