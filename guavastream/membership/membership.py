"""A node's part: follow the table, join with its server, renew its lease."""

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

__all__ = ["Announced", "Membership"]

WATCH_SECONDS = 1.0
WATCH_PATIENCE = 0.5
RENEW_SECONDS = 0.5
SUBMIT_SECONDS = 2.0
RETRY_SECONDS = 0.05
CATCH_UP_SECONDS = 0.02

log = part_logger("member")


@dataclass(frozen=True, kw_only=True)
class Announced:
    """The local backend server as it announced itself; `address` is IP:PORT."""

    service: str
    address: str
    boot: str
    slots: int


class Membership:
    """Keeps this process in the system.

    Parameters
    ----------
    host, zone, region, door : str
        From the settings.
    control : ControlClient
        Reaches the control hosts.
    tables : TableHolder
        Kept up to date.
    clock : callable
        Monotonic time in seconds.
    timing : LeaseTiming
        Times of leases.
    record : callable
        Takes the kind and fields of an event.
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
        number = xxhash.xxh3_64_intdigest(host.encode()) % len(control.addresses)
        self._news = HedgedWatch(control=control, first=control.addresses[number])
        self._lease = Lease(clock=clock)
        self._announced = None
        self._joined = None
        self._member = 0
        self._had_lease = False
        self._ready = asyncio.Event()
        self._poke = asyncio.Event()

    @property
    def lease(self):
        """The lease for all that this member owns."""
        return self._lease

    @property
    def watched(self):
        """Peer address of the control host that is asked for news first."""
        return self._news.first

    @property
    def member(self):
        """Member id, or 0 before joining and after the lease was lost."""
        return self._member

    @property
    def announced(self):
        """The server that announced itself, or None."""
        return self._announced

    @property
    def ready(self):
        """Set once the table is as new as any that was ever in force here.

        A process that restarts has no memory of the revisions it served; it
        waits for one that the leader confirms as current.
        """
        return self._ready

    def announce(self, announced):
        """Take the announcement of the local backend server, or None."""
        if announced != self._announced:
            self._announced = announced
            self._poke.set()

    async def run(self):
        """Follow the table and renew until cancelled."""
        await asyncio.gather(self._watch(), self._renew())

    async def leave(self):
        """Tell the control hosts that this member gives up what it owns."""
        if self._member:
            command = SetLeaving(member=self._member)
            await self._control.submit(command, timeout=SUBMIT_SECONDS)

    async def depart(self):
        """End the membership; nothing may run at the server any more."""
        member, self._member = self._member, 0
        self._lease.drop()
        self._announced = None
        if member:
            command = RemoveMembers(members=(member,))
            await self._control.submit(command, timeout=SUBMIT_SECONDS)

    async def _watch(self):
        wait = WATCH_SECONDS
        while True:
            request = Watch(index=self._tables.table.index, wait=wait)
            try:
                answer = await self._news.ask(request, patience=WATCH_PATIENCE)
                self._take(answer)
            except GuavastreamError as error:
                log.debug("No news of the table: %s.", error)
                wait = 0.0
                await asyncio.sleep(RETRY_SECONDS)
                continue
            wait = WATCH_SECONDS

    def _take(self, answer):
        before = self._tables.table.revision
        self._tables.take(answer.table, answer.commands)
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
                if self._announced != self._joined:
                    await self._join()
                await self._renew_once()
            except GuavastreamError as error:
                log.debug("Renewal failed: %s.", error)
            self._note_loss()
            await self._pause()

    async def _pause(self):
        try:
            async with asyncio.timeout(self._timing.interval):
                await self._poke.wait()
        except TimeoutError:
            pass
        self._poke.clear()

    async def _join(self):
        announced = self._announced
        # The server that came back is another one: whatever ran at the old
        # one is over, and its shards come back under new epochs.
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
            self._member = await self._control.submit(command, timeout=SUBMIT_SECONDS)
            log.info("Joined as member %d.", self._member)
            self._record("joined", service=announced.service, epoch=self._member)
        self._joined = announced

    async def _renew_once(self):
        sent = self._clock()
        table = self._tables.table
        request = Renew(
            host=self._host,
            member=self._member,
            index=table.index,
            revision=table.revision,
        )
        answer = await self._control.call(request, timeout=RENEW_SECONDS)
        if answer.gone and self._member == request.member:
            self._lose()
            return
        # Extending before the table has caught up could keep alive an owner
        # whose shard was given away while it was out of touch.
        await self._catch_up(answer.index)
        self._ready.set()
        if self._member and self._member == request.member:
            self._lease.extend(sent + answer.duration)
            self._had_lease = True

    async def _catch_up(self, index):
        """Bring the table to `index`, if need be from the leader itself.

        The control host that is watched may just have been lost, which shows
        only when the watch runs out; waiting for that would cost the lease.
        """
        if self._tables.table.index >= index:
            return
        if await self._tables.wait(index, CATCH_UP_SECONDS):
            return
        request = Watch(index=self._tables.table.index, wait=0.0)
        self._take(await self._control.call(request, timeout=RENEW_SECONDS))
        if self._tables.table.index < index:
            raise NotReady("The table is behind the leader's.")

    def _lose(self):
        if self._member:
            log.warning("Member %d is gone; joins anew.", self._member)
            self._record("member_gone", epoch=self._member)
        self._member = 0
        self._lease.drop()
        self._joined = None
        # A new boot name makes the next registration another member, even
        # though process and server are the same.
        self._incarnation = uuid.uuid4().hex

    def _note_loss(self):
        if self._had_lease and not self._lease.is_held:
            self._had_lease = False
            self._record("lease_lost", epoch=self._member)
