"""The replicated table: members, owners of shards, configuration."""

from array import array
from dataclasses import dataclass, field, replace

import msgspec
import xxhash

from guavastream.declare import Declaration
from guavastream.messages import decode_message, encode_message
from guavastream.state.commands import (
    ApplyDeclaration,
    AssignShards,
    ChangeAnswer,
    FinishMoves,
    RegisterMember,
    RemoveMembers,
    SetDrained,
    SetLeaving,
    StartMoves,
    Unpin,
    UsePreset,
)

__all__ = [
    "Change",
    "Member",
    "Pin",
    "ShardMap",
    "Table",
    "decode_command",
    "decode_table",
    "encode_command",
    "encode_table",
    "shard_of",
]

NOBODY = 0
KEPT_ANSWERS = 4096
KEPT_CHANGES = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A backend server with the process beside it; `id` is never reused."""

    id: int
    host: str
    zone: str
    region: str
    incarnation: str
    boot: str
    door: str
    service: str
    slots: int
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Pin:
    """A key that stays at `member` under `epoch` until its sessions end."""

    member: int
    epoch: int
    shard: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardMap:
    """Owner and epoch of each shard; never changed in place.

    Parameters
    ----------
    owners : array of 'I'
        Member ids; 0 where nobody owns the shard.
    epochs : array of 'Q'
        Log index of the command that made the owner one: the fencing token.
    """

    owners: array
    epochs: array

    @classmethod
    def empty(cls, count):
        """Return a map of `count` shards that nobody owns."""
        return cls(
            owners=array("I", bytes(4 * count)), epochs=array("Q", bytes(8 * count))
        )

    def assign(self, shards, member, epoch):
        """Return a map in which `member` owns `shards` under `epoch`."""
        return self.assign_each(dict.fromkeys(shards, member), epoch)

    def assign_each(self, owners_by_shard, epoch):
        """Return a map in which each shard has its owner under `epoch`."""
        if not owners_by_shard:
            return self
        owners, epochs = self.owners[:], self.epochs[:]
        for shard, member in owners_by_shard.items():
            owners[shard] = member
            epochs[shard] = epoch
        return ShardMap(owners=owners, epochs=epochs)

    def owned_by(self, *members):
        """Return the shards of one or more members, a list of int."""
        wanted = frozenset(members)
        return [shard for shard, owner in enumerate(self.owners) if owner in wanted]


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One accepted change of configuration, for `history`."""

    revision: int
    change: str
    author: str
    at: float
    what: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """State after the log up to `index`; commands make new tables from it.

    Parameters
    ----------
    index : int
        Log index of the last command.
    revision : int
        Number of the configuration in force; rises by one at each change.
    declaration : Declaration
        Services and presets.
    preset : str
        The one preset in force, or an empty string before the first apply.
    drained : tuple of str
        Hosts and zones drained by operators.
    members : dict of int to Member
    shards : dict of str to ShardMap
        For each service whose servers own shards.
    moves : dict of str to dict of int to int
        For each service the shards on the move and their targets.
    pins : dict of str to dict of str to Pin
        For each service the pinned keys.
    handed : dict of str to dict of int to tuple
        For each service and shard that came by a planned move, digests of
        the latest operations at the owner before.
    answers : dict of str to tuple
        Change id to the digest of its content and its answer; the oldest of
        more than 4,096 are dropped.
    history : tuple of Change
        The last 200 changes.
    """

    index: int = 0
    revision: int = 0
    declaration: Declaration = field(default_factory=Declaration)
    preset: str = ""
    drained: tuple[str, ...] = ()
    members: dict = field(default_factory=dict)
    shards: dict = field(default_factory=dict)
    moves: dict = field(default_factory=dict)
    pins: dict = field(default_factory=dict)
    handed: dict = field(default_factory=dict)
    answers: dict = field(default_factory=dict)
    history: tuple[Change, ...] = ()

    def apply(self, index, command):
        """Return the table after `command` and the command's result.

        Examples
        --------
        >>> from guavastream.state.commands import Noop
        >>> Table().apply(7, Noop())[0].index
        7
        """
        handler = _handlers.get(type(command))
        if handler is None:
            return replace(self, index=index), None
        changes, result = handler(self, index, command)
        return replace(self, index=index, **changes), result

    def is_drained(self, member):
        """Whether `member` is to get no new work."""
        preset = self.declaration.find_preset(self.preset)
        drained = self.drained + (preset.drained if preset else ())
        return member.leaving or member.host in drained or member.zone in drained

    def servers(self, service):
        """Return the members that serve `service`, a list."""
        return [m for m in self.members.values() if m.service == service]

    def moves_from(self, member):
        """Yield service, shard, target for each move that `member` must make."""
        for service, moves in self.moves.items():
            owners = self.shards[service].owners
            for shard, target in moves.items():
                if owners[shard] == member:
                    yield service, shard, target


def shard_of(key, count):
    """Return the shard of a key.

    Examples
    --------
    >>> shard_of("crew-7", 256) == shard_of("crew-7", 256)
    True
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % count


def encode_command(command):
    """Return a command as bytes for the log."""
    return msgspec.msgpack.encode(encode_message(command))


def decode_command(data):
    """Return the command that `encode_command` wrote."""
    tag, body = msgspec.msgpack.decode(data)
    return decode_message(tag, body)


_handlers = {}


def _handles(cls):
    def enter(handler):
        _handlers[cls] = handler
        return handler

    return enter


@_handles(RegisterMember)
def _register_member(table, index, command):
    same = [
        m
        for m in table.members.values()
        if m.host == command.host and m.service == command.service
    ]
    for member in same:
        if (member.incarnation, member.boot) == (command.incarnation, command.boot):
            return {}, member.id
    members = dict(table.members)
    # The earlier process or server of this host may still be alive for what
    # is left of its lease; it keeps its shards until then, but gets no more.
    for member in same:
        members[member.id] = replace(member, leaving=True)
    members[index] = Member(
        id=index,
        host=command.host,
        zone=command.zone,
        region=command.region,
        incarnation=command.incarnation,
        boot=command.boot,
        door=command.door,
        service=command.service,
        slots=command.slots,
    )
    return {"members": members}, index


@_handles(SetLeaving)
def _set_leaving(table, index, command):
    member = table.members.get(command.member)
    if member is None:
        return {}, None
    leaving = replace(member, leaving=True)
    return {"members": table.members | {member.id: leaving}}, None


@_handles(RemoveMembers)
def _remove_members(table, index, command):
    gone = frozenset(command.members)
    members = {key: m for key, m in table.members.items() if key not in gone}
    shards = {
        service: shard_map.assign(shard_map.owned_by(*gone), NOBODY, index)
        for service, shard_map in table.shards.items()
    }
    moves = {
        service: {
            shard: target
            for shard, target in service_moves.items()
            if target not in gone and shards[service].owners[shard] != NOBODY
        }
        for service, service_moves in table.moves.items()
    }
    pins = {
        service: {key: pin for key, pin in held.items() if pin.member not in gone}
        for service, held in table.pins.items()
    }
    handed = {
        service: {
            shard: digests
            for shard, digests in service_handed.items()
            if table.shards[service].owners[shard] not in gone
        }
        for service, service_handed in table.handed.items()
        if service in table.shards
    }
    changes = {"members": members, "shards": shards, "moves": moves, "pins": pins}
    return changes | {"handed": handed}, None


@_handles(AssignShards)
def _assign_shards(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, ()
    # A late command of an earlier decision must not take a shard from the
    # owner that came in between: only shards still with `previous` go over.
    shards = {
        shard: member
        for shard, member in zip(command.shards, command.members, strict=True)
        if shard_map.owners[shard] == command.previous and member in table.members
    }
    shard_map = shard_map.assign_each(shards, index)
    # A shard that was released to nobody in particular keeps what its last
    # owner left; one whose owner was lost has nothing (see RemoveMember).
    return {"shards": table.shards | {command.service: shard_map}}, tuple(shards)


@_handles(StartMoves)
def _start_moves(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, None
    moves = dict(table.moves.get(command.service, {}))
    for shard, target in zip(command.shards, command.targets, strict=True):
        if shard_map.owners[shard] != NOBODY and target in table.members:
            moves[shard] = target
    return {"moves": table.moves | {command.service: moves}}, None


@_handles(FinishMoves)
def _finish_moves(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, None
    moves = dict(table.moves.get(command.service, {}))
    pins = dict(table.pins.get(command.service, {}))
    # A release that was sent twice may arrive after the shard has come back
    # to the same member. It serves again by then, so a release of an earlier
    # epoch must not take it away.
    handed = dict(table.handed.get(command.service, {}))
    released = [
        shard
        for shard, epoch in zip(command.shards, command.epochs, strict=True)
        if shard_map.owners[shard] == command.member
        and shard_map.epochs[shard] == epoch
    ]
    count = len(shard_map.owners)
    for key in command.pins:
        shard = shard_of(key, count)
        if shard in released:
            epoch = shard_map.epochs[shard]
            pins[key] = Pin(member=command.member, epoch=epoch, shard=shard)
    targets = {}
    for shard in released:
        target = moves.pop(shard, NOBODY)
        targets[shard] = target if target in table.members else NOBODY
        handed[shard] = command.recent
    shard_map = shard_map.assign_each(targets, index)
    return {
        "shards": table.shards | {command.service: shard_map},
        "moves": table.moves | {command.service: moves},
        "pins": table.pins | {command.service: pins},
        "handed": table.handed | {command.service: handed},
    }, None


@_handles(Unpin)
def _unpin(table, index, command):
    ended = dict(zip(command.keys, command.epochs, strict=True))
    pins = {
        key: pin
        for key, pin in table.pins.get(command.service, {}).items()
        if not (ended.get(key) == pin.epoch and pin.member == command.member)
    }
    return {"pins": table.pins | {command.service: pins}}, None


def _change(table, index, command, what, make):
    digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(_without_time(command)))
    earlier = table.answers.get(command.change)
    if earlier is not None:
        if earlier[0] == digest:
            return {}, earlier[1]
        text = "This change id was used with another content."
        return {}, ChangeAnswer(
            revision=table.revision, code="change_id_reused", text=text
        )
    if command.expect not in (-1, table.revision):
        last = table.history[-1] if table.history else None
        winner = f"{last.author}: {last.what} ({last.change})" if last else ""
        text = f"Revision {table.revision} is in force, not {command.expect}."
        answer = ChangeAnswer(
            revision=table.revision, code="conflict", text=text, winner=winner
        )
        return {"answers": _kept(table, command, digest, answer)}, answer
    changes, problem = make()
    if problem:
        answer = ChangeAnswer(revision=table.revision, code="refused", text=problem)
        return {"answers": _kept(table, command, digest, answer)}, answer
    revision = table.revision + 1
    change = Change(
        revision=revision,
        change=command.change,
        author=command.author,
        at=command.at,
        what=what,
    )
    answer = ChangeAnswer(revision=revision)
    return {
        **changes,
        "revision": revision,
        "history": (table.history + (change,))[-KEPT_CHANGES:],
        "answers": _kept(table, command, digest, answer),
    }, answer


def _without_time(command):
    # A resend carries another time of sending but is the same change.
    return replace(command, at=0.0)


def _kept(table, command, digest, answer):
    answers = dict(table.answers)
    answers[command.change] = (digest, answer)
    while len(answers) > KEPT_ANSWERS:
        del answers[next(iter(answers))]
    return answers


@_handles(ApplyDeclaration)
def _apply_declaration(table, index, command):
    def make():
        made = msgspec.msgpack.decode(command.declaration, type=Declaration)
        shards = {}
        for service in made.services:
            if not service.has_shards:
                continue
            old = table.shards.get(service.name)
            if old is not None and len(old.owners) != service.shards:
                return {}, f"The shards of {service.name} cannot change while it lives."
            shards[service.name] = old or ShardMap.empty(service.shards)
        preset = table.preset if made.find_preset(table.preset) else made.preset
        kept = {name: moves for name, moves in table.moves.items() if name in shards}
        return {
            "declaration": made,
            "preset": preset,
            "shards": shards,
            "moves": kept,
        }, ""

    return _change(table, index, command, "apply declaration", make)


@_handles(UsePreset)
def _use_preset(table, index, command):
    def make():
        if table.declaration.find_preset(command.preset) is None:
            return {}, f"There is no preset {command.preset!r}."
        return {"preset": command.preset}, ""

    return _change(table, index, command, f"use preset {command.preset}", make)


@_handles(SetDrained)
def _set_drained(table, index, command):
    def make():
        drained = [t for t in table.drained if t != command.target]
        if command.drained:
            drained.append(command.target)
        return {"drained": tuple(drained)}, ""

    what = f"{'drain' if command.drained else 'undrain'} {command.target}"
    return _change(table, index, command, what, make)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Wire:
    """A table as it is encoded: arrays as bytes, in the host's byte order."""

    index: int
    revision: int
    declaration: Declaration
    preset: str
    drained: tuple[str, ...]
    members: tuple[Member, ...]
    shards: dict[str, tuple[bytes, bytes]]
    moves: dict[str, dict[int, int]]
    pins: dict[str, dict[str, Pin]]
    handed: dict[str, dict[int, tuple[int, ...]]]
    answers: dict[str, tuple[int, ChangeAnswer]]
    history: tuple[Change, ...]


_table_decoder = msgspec.msgpack.Decoder(_Wire)


def encode_table(table):
    """Return a whole table as bytes."""
    shards = {
        name: (item.owners.tobytes(), item.epochs.tobytes())
        for name, item in table.shards.items()
    }
    return msgspec.msgpack.encode(
        _Wire(
            index=table.index,
            revision=table.revision,
            declaration=table.declaration,
            preset=table.preset,
            drained=table.drained,
            members=tuple(table.members.values()),
            shards=shards,
            moves=table.moves,
            pins=table.pins,
            handed=table.handed,
            answers=table.answers,
            history=table.history,
        )
    )


def decode_table(data):
    """Return the table that `encode_table` wrote.

    Examples
    --------
    >>> decode_table(encode_table(Table(index=3))).index
    3
    """
    wire = _table_decoder.decode(data)
    shards = {
        name: ShardMap(owners=array("I", owners), epochs=array("Q", epochs))
        for name, (owners, epochs) in wire.shards.items()
    }
    return Table(
        index=wire.index,
        revision=wire.revision,
        declaration=wire.declaration,
        preset=wire.preset,
        drained=wire.drained,
        members={member.id: member for member in wire.members},
        shards=shards,
        moves=wire.moves,
        pins=wire.pins,
        handed=wire.handed,
        answers=wire.answers,
        history=wire.history,
    )
