"""Follows the table, registers the local server and renews its lease."""

import asyncio
import uuid
from dataclasses import dataclass

import xxhash

from guavastream.exception import GuavastreamError, NotReady
from guavastream.kernel import part_logger
from guavastream.leases.hedged_watch import HedgedWatch
from guavastream.leases.lease import Lease, LeaseTiming
from guavastream.leases.messages import Renew, Watch
from guavastream.state import RegisterMember, RemoveMembers, SetLeaving

__all__ = ["ServerAnnouncement", "Membership"]

WATCH_WAIT_SECONDS = 1.0
WATCH_FINAL_WAIT_SECONDS = 0.5
RENEW_TIMEOUT_SECONDS = 0.5
SUBMIT_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.05
CATCH_UP_SECONDS = 0.02

log = part_logger("member")


@dataclass(frozen=True, kw_only=True)
class ServerAnnouncement:
    """The local backend server as it announced itself; `address` is IP:PORT."""

    service: str
    address: str
    boot: str
    slots: int


class Membership:
    """Keeps this process and its local server a member of the system.

    Parameters
    ----------
    host, zone, region, door : str
        Settings; `door` is the IP:PORT at which callers and other processes
        reach this one.
    control : ControlClient
        Calls the control hosts.
    tables : TableHolder
        The copy of the table that is kept up to date.
    clock : callable
        Monotonic time in seconds.
    timing : LeaseTiming
        Durations of leases.
    record : callable
        Records an event, given its kind and fields.
    """

    def __init__(
        self,
        *,
        host,
        zone,
        region,
        door,
        control,
        tables,
        clock,
        timing=None,
        record=lambda kind, **fields: None,
    ):
        self._host = host
        self._zone = zone
        self._region = region
        self._door = door
        self._control = control
        self._tables = tables
        self._clock = clock
        self._timing = timing or LeaseTiming()
        self._record = record
        self._incarnation = uuid.uuid4().hex
        position = xxhash.xxh3_64_intdigest(host.encode()) % len(control.addresses)
        self._hedged_watch = HedgedWatch(
            control=control, first=control.addresses[position]
        )
        self._lease = Lease(clock=clock)
        self._announced = None
        self._registered = None
        self._member = 0
        self._lease_was_held = False
        self._ready = asyncio.Event()
        self._announcement_changed = asyncio.Event()

    @property
    def lease(self):
        """The lease that covers everything this member owns."""
        return self._lease

    @property
    def watched_address(self):
        """Peer address of the control host whose table is watched first."""
        return self._hedged_watch.first

    @property
    def member(self):
        """Member id, or 0 before registration and after the membership was lost."""
        return self._member

    @property
    def announced(self):
        """The announcement of the local server, or None."""
        return self._announced

    @property
    def ready(self):
        """Event that is set once the table is at least as new as any used here before.

        A restarted process does not know which revisions it served, so it waits until
        the leader has confirmed that its table is current.
        """
        return self._ready

    def announce(self, announced):
        """Set the announcement of the local backend server, or None."""
        if announced != self._announced:
            self._announced = announced
            self._announcement_changed.set()

    async def run(self):
        """Follow the table and renew the lease until cancelled."""
        await asyncio.gather(self._watch(), self._renew())

    async def leave(self):
        """Tell the control hosts that this member is giving up what it owns."""
        if self._member:
            command = SetLeaving(member=self._member)
            await self._control.submit(command, timeout=SUBMIT_TIMEOUT_SECONDS)

    async def depart(self):
        """End the membership; the server must not run any requests by now."""
        member, self._member = self._member, 0
        self._lease.drop()
        self._announced = None
        if member:
            command = RemoveMembers(members=(member,))
            await self._control.submit(command, timeout=SUBMIT_TIMEOUT_SECONDS)

    async def _watch(self):
        wait = WATCH_WAIT_SECONDS
        while True:
            request = Watch(index=self._tables.table.index, wait=wait)
            try:
                answer = await self._hedged_watch.ask(
                    request, final_wait=WATCH_FINAL_WAIT_SECONDS
                )
                self._apply(answer)
            except GuavastreamError as error:
                log.debug("Watching the table failed: %s.", error)
                wait = 0.0
                await asyncio.sleep(RETRY_SECONDS)
                continue
            wait = WATCH_WAIT_SECONDS

    def _apply(self, answer):
        before = self._tables.table.revision
        self._tables.apply_update(answer.table, answer.commands)
        table = self._tables.table
        if table.revision != before:
            self._record(
                "revision_in_force",
                revision=table.revision,
                detail={"preset": table.preset},
            )

    async def _renew(self):
        while True:
            try:
                if self._announced != self._registered:
                    await self._register()
                await self._renew_once()
            except GuavastreamError as error:
                log.debug("Lease renewal failed: %s.", error)
            self._record_lease_loss()
            await self._wait_for_next_renewal()

    async def _wait_for_next_renewal(self):
        try:
            async with asyncio.timeout(self._timing.interval):
                await self._announcement_changed.wait()
        except TimeoutError:
            pass
        self._announcement_changed.clear()

    async def _register(self):
        announced = self._announced
        # A changed announcement means another server. Whatever ran at the old one has
        # ended, and its shards are assigned again under new epochs.
        self._member = 0
        self._lease.drop()
        if announced is not None:
            command = RegisterMember(
                host=self._host,
                zone=self._zone,
                region=self._region,
                incarnation=self._incarnation,
                boot=announced.boot,
                door=self._door,
                service=announced.service,
                slots=announced.slots,
            )
            self._member = await self._control.submit(
                command, timeout=SUBMIT_TIMEOUT_SECONDS
            )
            log.info("Registered as member %d.", self._member)
            self._record("joined", service=announced.service, epoch=self._member)
        self._registered = announced

    async def _renew_once(self):
        sent = self._clock()
        table = self._tables.table
        request = Renew(
            host=self._host,
            member=self._member,
            index=table.index,
            revision=table.revision,
        )
        answer = await self._control.call(request, timeout=RENEW_TIMEOUT_SECONDS)
        if answer.gone and self._member == request.member:
            self._reset_member()
            return
        # Extending the lease before the table has caught up could let this member keep
        # serving a shard that was reassigned while it was disconnected.
        await self._catch_up(answer.index)
        self._ready.set()
        if self._member and self._member == request.member:
            self._lease.extend(sent + answer.duration)
            self._lease_was_held = True

    async def _catch_up(self, index):
        """Bring the table to `index`, requesting it from the leader if necessary.

        The watched control host may just have failed, which is noticed only when the
        watch times out. Waiting for that would cost the lease.
        """
        if self._tables.table.index >= index:
            return
        if await self._tables.wait(index, CATCH_UP_SECONDS):
            return
        request = Watch(index=self._tables.table.index, wait=0.0)
        self._apply(await self._control.call(request, timeout=RENEW_TIMEOUT_SECONDS))
        if self._tables.table.index < index:
            raise NotReady("The table is older than the leader's.")

    def _reset_member(self):
        if self._member:
            log.warning("Member %d was removed; registering again.", self._member)
            self._record("member_gone", epoch=self._member)
        self._member = 0
        self._lease.drop()
        self._registered = None
        # A new incarnation makes the next registration a new member, although the
        # process and the server are the same.
        self._incarnation = uuid.uuid4().hex

    def _record_lease_loss(self):
        if self._lease_was_held and not self._lease.is_held:
            self._lease_was_held = False
            self._record("lease_lost", epoch=self._member)
