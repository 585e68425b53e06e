"""Planned moves of shards: drain requests, pin keys with sessions, release."""

import asyncio

from guavastream.exception import GuavastreamError
from guavastream.kernel import part_logger
from guavastream.state import FinishMoves, Unpin, shard_of

__all__ = ["Handover"]

# Requests that run longer than this are treated as sessions: their keys are
# pinned to this member.
GRACE_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 0.005
SUBMIT_TIMEOUT_SECONDS = 2.0
TABLE_WAIT_SECONDS = 0.5

log = part_logger("handover")


class Handover:
    """Releases the shards that the table asks this member to move.

    Parameters
    ----------
    admission : Admission
        Closes shards and knows their running requests.
    outcomes : Outcomes
        Gets the digests of granted shards and provides those of released ones.
    membership : Membership
        Provides the id of this member.
    control : ControlClient
        Submits commands to the replicated log.
    tables : TableHolder
        Holds the newest replicated table.
    record : callable
        Records an event, given its kind and fields.
    """

    def __init__(self, *, admission, outcomes, membership, control, tables, record):
        self._outcomes = outcomes
        self._admission = admission
        self._membership = membership
        self._control = control
        self._tables = tables
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._owned = {}
        self._released_epochs = {}
        admission.on_key_idle(self._key_idle)

    async def run(self):
        """Release shards as the table asks, until cancelled."""
        while True:
            index = self._tables.table.index
            self._update_owned()
            moves = {}
            for service, shard, epoch in self._pending_moves():
                moves.setdefault(service, {})[shard] = epoch
            for service, epochs in moves.items():
                await self._release_shards(service, epochs)
            self._admission.forget_unpinned_keys()
            self._unpin_idle()
            await self._tables.wait(index + 1, TABLE_WAIT_SECONDS)

    def _pending_moves(self):
        """Yield service, shard and epoch of each shard that is still to be released."""
        table = self._tables.table
        for service, shard, _ in table.moves_from(self._membership.member or -1):
            epoch = table.shards[service].epochs[shard]
            if self._released_epochs.get((service, shard)) != epoch:
                yield service, shard, epoch

    def _update_owned(self):
        """Record gained and lost shards, and admit requests for the gained ones."""
        table = self._tables.table
        member = self._membership.member
        for service, shards in table.shards.items():
            owned = {
                shard: shards.epochs[shard]
                for shard in (shards.owned_by(member) if member else ())
            }
            previous = self._owned.get(service, {})
            gained = [s for s, epoch in owned.items() if previous.get(s) != epoch]
            if gained:
                handover_digests = table.handover_digests.get(service, {})
                for shard in gained:
                    self._outcomes.note_granted(
                        service, shard, handover_digests=handover_digests.get(shard)
                    )
                self._admission.reopen_shards(service, gained)
                self._record_granted(service, {s: owned[s] for s in gained})
            lost = [s for s in previous if s not in owned]
            if lost:
                detail = {"shards": sorted(lost)}
                self._record("ended", service=service, detail=detail)
            self._owned[service] = owned

    def _record_granted(self, service, epochs):
        epochs_by_shard = {str(shard): epoch for shard, epoch in sorted(epochs.items())}
        detail = {"epochs": epochs_by_shard, "member": self._membership.member}
        self._record("granted", service=service, detail=detail)

    async def _release_shards(self, service, epochs):
        member = self._membership.member
        shards = tuple(epochs)
        self._admission.close_shards(service, shards)
        await self._wait_until_idle(service, shards)
        count = len(self._tables.table.shards[service].owners)
        pins = self._admission.busy_keys(
            service, set(shards), lambda key: shard_of(key, count)
        )
        command = FinishMoves(
            service=service,
            member=member,
            shards=shards,
            epochs=tuple(epochs.values()),
            pins=tuple(pins),
            recent_digests=self._outcomes.recent_digests(service, set(shards)),
        )
        # The command may commit even if no answer arrives, so another member may
        # own the shards from now on. They stay closed until they are granted to
        # this member again.
        self._record(
            "released",
            service=service,
            detail={"shards": sorted(shards), "pins": sorted(pins)},
        )
        try:
            await self._control.submit(command, timeout=SUBMIT_TIMEOUT_SECONDS)
        except GuavastreamError as error:
            log.warning("Release of shards was not confirmed: %s.", error)
            return
        self._released_epochs.update(((service, s), e) for s, e in epochs.items())

    async def _wait_until_idle(self, service, shards):
        deadline = self._loop.time() + GRACE_SECONDS
        while self._admission.busy_shards(service, shards):
            if self._loop.time() >= deadline:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _key_idle(self, service, key):
        if key in self._tables.table.pins.get(service, {}):
            self._loop.call_soon_threadsafe(self._unpin_idle)

    def _unpin_idle(self):
        member = self._membership.member
        if not member:
            return
        for service, pins in self._tables.table.pins.items():
            keys = [key for key, pin in pins.items() if pin.member == member]
            idle = [key for key in keys if self._admission.close_idle_key(service, key)]
            if idle:
                command = Unpin(
                    service=service,
                    member=member,
                    keys=tuple(idle),
                    epochs=tuple(pins[key].epoch for key in idle),
                )
                asyncio.ensure_future(self._submit(command))

    async def _submit(self, command):
        try:
            await self._control.submit(command, timeout=SUBMIT_TIMEOUT_SECONDS)
        except GuavastreamError as error:
            log.warning("Removal of pins was not confirmed: %s.", error)
