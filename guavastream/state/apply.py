"""What each command does to the table."""

import msgspec
import xxhash

from guavastream.declare import Declaration
from guavastream.kernel import replace
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
from guavastream.state.table import (
    NOBODY,
    Change,
    Member,
    Pin,
    ShardMap,
    handles,
    shard_of,
)

__all__ = []

KEPT_ANSWERS = 4096
KEPT_CHANGES = 200


@handles(RegisterMember)
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


@handles(SetLeaving)
def _set_leaving(table, index, command):
    member = table.members.get(command.member)
    if member is None:
        return {}, None
    leaving = replace(member, leaving=True)
    return {"members": table.members | {member.id: leaving}}, None


@handles(RemoveMembers)
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


@handles(AssignShards)
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


@handles(StartMoves)
def _start_moves(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, None
    moves = dict(table.moves.get(command.service, {}))
    for shard, target in zip(command.shards, command.targets, strict=True):
        if shard_map.owners[shard] != NOBODY and target in table.members:
            moves[shard] = target
    return {"moves": table.moves | {command.service: moves}}, None


@handles(FinishMoves)
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


@handles(Unpin)
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


@handles(ApplyDeclaration)
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


@handles(UsePreset)
def _use_preset(table, index, command):
    def make():
        if table.declaration.find_preset(command.preset) is None:
            return {}, f"There is no preset {command.preset!r}."
        return {"preset": command.preset}, ""

    return _change(table, index, command, f"use preset {command.preset}", make)


@handles(SetDrained)
def _set_drained(table, index, command):
    def make():
        drained = [t for t in table.drained if t != command.target]
        if command.drained:
            drained.append(command.target)
        return {"drained": tuple(drained)}, ""

    what = f"{'drain' if command.drained else 'undrain'} {command.target}"
    return _change(table, index, command, what, make)
