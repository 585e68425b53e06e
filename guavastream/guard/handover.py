"""Planned moves: stop admitting, let requests end, pin sessions, release."""

import asyncio

from guavastream.exception import GuavastreamError
from guavastream.kernel import part_logger
from guavastream.state import FinishMoves, Unpin, shard_of

__all__ = ["Handover"]

# Requests that still run after this time are sessions: their keys stay.
GRACE_SECONDS = 0.1
POLL_SECONDS = 0.005
SUBMIT_SECONDS = 2.0
WATCH_SECONDS = 0.5

log = part_logger("handover")


class Handover:
    """Gives up the shards that the table asks this member to move.

    Parameters
    ----------
    admission : Admission
        Stops admitting and knows what runs.
    outcomes : Outcomes
        Told of what comes, asked about what goes.
    membership : Membership
        Names this member.
    control : ControlClient
        Commits the release.
    tables : TableHolder
        Says what is to move.
    record : callable
        Takes the kind and fields of an event.
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
        self._released = {}
        admission.on_key_idle(self._key_idle)

    async def run(self):
        """Move what the table asks for until cancelled."""
        while True:
            index = self._tables.table.index
            self._note_owned()
            moves = {}
            for service, shard, epoch in self._pending_moves():
                moves.setdefault(service, {})[shard] = epoch
            for service, epochs in moves.items():
                await self._move(service, epochs)
            self._admission.forget_keys()
            self._unpin_idle()
            await self._tables.wait(index + 1, WATCH_SECONDS)

    def _pending_moves(self):
        """Yield service, shard and epoch of what is yet to be released."""
        table = self._tables.table
        for service, shard, _ in table.moves_from(self._membership.member or -1):
            epoch = table.shards[service].epochs[shard]
            if self._released.get((service, shard)) != epoch:
                yield service, shard, epoch

    def _note_owned(self):
        """Record what came and went, and reopen what came back."""
        table = self._tables.table
        member = self._membership.member
        for service, shards in table.shards.items():
            owned = {
                shard: shards.epochs[shard]
                for shard in (shards.owned_by(member) if member else ())
            }
            before = self._owned.get(service, {})
            came = [s for s, epoch in owned.items() if before.get(s) != epoch]
            if came:
                handed = table.handed.get(service, {})
                for shard in came:
                    self._outcomes.granted(service, shard, handed=handed.get(shard))
                self._admission.reopen(service, came)
                self._record_granted(service, {s: owned[s] for s in came})
            went = [s for s in before if s not in owned]
            if went:
                detail = {"shards": sorted(went)}
                self._record("ended", service=service, detail=detail)
            self._owned[service] = owned

    def _record_granted(self, service, epochs):
        named = {str(shard): epoch for shard, epoch in sorted(epochs.items())}
        detail = {"epochs": named, "member": self._membership.member}
        self._record("granted", service=service, detail=detail)

    async def _move(self, service, epochs):
        member = self._membership.member
        shards = tuple(epochs)
        self._admission.close_shards(service, shards)
        await self._let_end(service, shards)
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
            recent=self._outcomes.recent(service, set(shards)),
        )
        # From here on the shards may be another's, whether or not an answer
        # comes; they stay closed until the table gives them back.
        self._record(
            "released",
            service=service,
            detail={"shards": sorted(shards), "pins": sorted(pins)},
        )
        try:
            await self._control.submit(command, timeout=SUBMIT_SECONDS)
        except GuavastreamError as error:
            log.warning("Release was not confirmed: %s.", error)
            return
        self._released.update(((service, s), e) for s, e in epochs.items())

    async def _let_end(self, service, shards):
        deadline = self._loop.time() + GRACE_SECONDS
        while self._admission.busy_shards(service, shards):
            if self._loop.time() >= deadline:
                return
            await asyncio.sleep(POLL_SECONDS)

    def _key_idle(self, service, key):
        if key in self._tables.table.pins.get(service, {}):
            self._loop.call_soon_threadsafe(self._unpin_idle)

    def _unpin_idle(self):
        member = self._membership.member
        if not member:
            return
        for service, pins in self._tables.table.pins.items():
            keys = [key for key, pin in pins.items() if pin.member == member]
            idle = [key for key in keys if self._admission.close_key(service, key)]
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
            await self._control.submit(command, timeout=SUBMIT_SECONDS)
        except GuavastreamError as error:
            log.warning("Unpinning was not confirmed: %s.", error)
