"""Handlers that apply each command to the replicated table."""

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
    NO_OWNER,
    Change,
    Member,
    Pin,
    ShardMap,
    handles,
    shard_of,
)

__all__ = []

MAX_ANSWERS = 4096
MAX_HISTORY = 200


@handles(RegisterMember)
def _register_member(table, index, command):
    local_members = [
        m
        for m in table.members.values()
        if m.host == command.host and m.service == command.service
    ]
    for member in local_members:
        if (member.incarnation, member.boot) == (command.incarnation, command.boot):
            return {}, member.id
    members = dict(table.members)
    # The previous process or server of this host may still run until its lease
    # ends. It keeps its shards until then but gets no new ones.
    for member in local_members:
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
    removed = frozenset(command.members)
    members = {key: m for key, m in table.members.items() if key not in removed}
    shards = {
        service: shard_map.assign(shard_map.owned_by(*removed), NO_OWNER, index)
        for service, shard_map in table.shards.items()
    }
    moves = {
        service: {
            shard: target
            for shard, target in service_moves.items()
            if target not in removed and shards[service].owners[shard] != NO_OWNER
        }
        for service, service_moves in table.moves.items()
    }
    pins = {
        service: {
            key: pin for key, pin in service_pins.items() if pin.member not in removed
        }
        for service, service_pins in table.pins.items()
    }
    handover_digests = {
        service: {
            shard: digests
            for shard, digests in service_digests.items()
            if table.shards[service].owners[shard] not in removed
        }
        for service, service_digests in table.handover_digests.items()
        if service in table.shards
    }
    changes = {"members": members, "shards": shards, "moves": moves, "pins": pins}
    return changes | {"handover_digests": handover_digests}, None


@handles(AssignShards)
def _assign_shards(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, ()
    # The command may commit after another one has given a shard to a new owner.
    # Only shards that `previous` still owns are assigned.
    shards = {
        shard: member
        for shard, member in zip(command.shards, command.members, strict=True)
        if shard_map.owners[shard] == command.previous and member in table.members
    }
    shard_map = shard_map.assign_each(shards, index)
    # A shard that was released without a target keeps the handover digests of
    # its last owner. If the owner was lost, `_remove_members` has dropped them.
    return {"shards": table.shards | {command.service: shard_map}}, tuple(shards)


@handles(StartMoves)
def _start_moves(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, None
    moves = dict(table.moves.get(command.service, {}))
    for shard, target in zip(command.shards, command.targets, strict=True):
        if shard_map.owners[shard] != NO_OWNER and target in table.members:
            moves[shard] = target
    return {"moves": table.moves | {command.service: moves}}, None


@handles(FinishMoves)
def _finish_moves(table, index, command):
    shard_map = table.shards.get(command.service)
    if shard_map is None:
        return {}, None
    moves = dict(table.moves.get(command.service, {}))
    pins = dict(table.pins.get(command.service, {}))
    handover_digests = dict(table.handover_digests.get(command.service, {}))
    # A duplicate release may arrive after the shard has returned to the same
    # member, which serves it again. Releases of an earlier epoch are ignored.
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
    new_owners = {}
    for shard in released:
        target = moves.pop(shard, NO_OWNER)
        new_owners[shard] = target if target in table.members else NO_OWNER
        handover_digests[shard] = command.recent_digests
    shard_map = shard_map.assign_each(new_owners, index)
    return {
        "shards": table.shards | {command.service: shard_map},
        "moves": table.moves | {command.service: moves},
        "pins": table.pins | {command.service: pins},
        "handover_digests": table.handover_digests
        | {command.service: handover_digests},
    }, None


@handles(Unpin)
def _unpin(table, index, command):
    ended_epochs = dict(zip(command.keys, command.epochs, strict=True))
    pins = {
        key: pin
        for key, pin in table.pins.get(command.service, {}).items()
        if not (ended_epochs.get(key) == pin.epoch and pin.member == command.member)
    }
    return {"pins": table.pins | {command.service: pins}}, None


def _apply_change(table, index, command, what, compute_changes):
    """Apply an operator's change unless it is a resend, conflicts or is refused.

    `compute_changes` returns the changed fields of the table and, if the change
    must be refused, a text that says why.
    """
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
        return {"answers": _with_answer(table, command, digest, answer)}, answer
    changes, problem = compute_changes()
    if problem:
        answer = ChangeAnswer(revision=table.revision, code="refused", text=problem)
        return {"answers": _with_answer(table, command, digest, answer)}, answer
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
        "history": (table.history + (change,))[-MAX_HISTORY:],
        "answers": _with_answer(table, command, digest, answer),
    }, answer


def _without_time(command):
    # A resend has another time but is the same change.
    return replace(command, at=0.0)


def _with_answer(table, command, digest, answer):
    """Return the stored answers with one added and the oldest ones dropped."""
    answers = dict(table.answers)
    answers[command.change] = (digest, answer)
    while len(answers) > MAX_ANSWERS:
        del answers[next(iter(answers))]
    return answers


@handles(ApplyDeclaration)
def _apply_declaration(table, index, command):
    def compute_changes():
        new_declaration = msgspec.msgpack.decode(command.declaration, type=Declaration)
        shards = {}
        for service in new_declaration.services:
            if not service.has_shards:
                continue
            existing = table.shards.get(service.name)
            if existing is not None and len(existing.owners) != service.shards:
                return {}, f"The shards of {service.name} cannot change while it lives."
            shards[service.name] = existing or ShardMap.empty(service.shards)
        preset = (
            table.preset
            if new_declaration.find_preset(table.preset)
            else new_declaration.preset
        )
        remaining_moves = {
            name: moves for name, moves in table.moves.items() if name in shards
        }
        return {
            "declaration": new_declaration,
            "preset": preset,
            "shards": shards,
            "moves": remaining_moves,
        }, ""

    return _apply_change(table, index, command, "apply declaration", compute_changes)


@handles(UsePreset)
def _use_preset(table, index, command):
    def compute_changes():
        if table.declaration.find_preset(command.preset) is None:
            return {}, f"There is no preset {command.preset!r}."
        return {"preset": command.preset}, ""

    return _apply_change(
        table, index, command, f"use preset {command.preset}", compute_changes
    )


@handles(SetDrained)
def _set_drained(table, index, command):
    def compute_changes():
        drained = [t for t in table.drained if t != command.target]
        if command.drained:
            drained.append(command.target)
        return {"drained": tuple(drained)}, ""

    what = f"{'drain' if command.drained else 'undrain'} {command.target}"
    return _apply_change(table, index, command, what, compute_changes)
