"""Functions that apply each command to the fleet state."""

from guavastream.fleet.book import Instance, handles, runs_within, update_runs
from guavastream.fleet.commands import (
    ChangeRoutes,
    ChangeRoutesResult,
    ClearSuspects,
    EndInstance,
    ExpireSuspects,
    ForgetVersions,
    GrantKeys,
    JoinInstance,
    LeaveInstance,
    ReleaseKeys,
    RemoveInstances,
    SetEvacuation,
    SetEvacuationResult,
)
from guavastream.fleet.evacuations import ZoneEvacuation
from guavastream.fleet.suspects import (
    clear_suspects,
    expire_suspects,
    forget_versions,
    record_crash,
)
from guavastream.kernel import replace
from guavastream.routes import RouteConfig, check_config

__all__ = []

# IDs of removed instances that must not rejoin. A late message is late by seconds,
# so the IDs of the last few hundred replacements are enough.
MAX_REMOVED_IDS = 512
# Operators resend a change for a few seconds at most.
MAX_ACCEPTED_DIGESTS = 1024


@handles(JoinInstance)
def _join(state, index, command):
    if command.id in state.gone:
        return {}, False
    name, address = command.name or command.id, command.address
    # Only one process can listen on an address, and a server that restarts under
    # its name no longer holds the keys it had. Any other instance with the same
    # address or name has therefore ended.
    conflicting = [
        i
        for i in state.instances.values()
        if i.address == address or (i.name or i.id) == name
    ]
    others = [i for i in conflicting if i.id != command.id]
    if any((i.name or i.id) == name and i.born > command.born for i in others):
        # The message was delayed and announces an incarnation that has ended.
        return {}, False
    changes = _without_instances(state, [i.id for i in others], forever=True)
    known = state.instances.get(command.id)
    changes["instances"][command.id] = Instance(
        id=command.id,
        service=command.service,
        host=command.host,
        door=command.door,
        address=command.address,
        zone=command.zone,
        slots=command.slots,
        leaving=known.leaving if known else False,
        released_seq=known.released_seq if known else 0,
        name=command.name,
        born=command.born,
        version=command.version,
        evacuated=state.is_evacuated(command.zone),
    )
    return changes, True


@handles(LeaveInstance)
def _mark_leaving(state, index, command):
    instance = state.instances.get(command.id)
    if instance is None:
        return {}, None
    leaving = replace(instance, leaving=True)
    return {"instances": state.instances | {leaving.id: leaving}}, None


@handles(RemoveInstances)
def _remove_instances(state, index, command):
    return _without_instances(state, command.ids, forever=command.forever), None


@handles(EndInstance)
def _end_instance(state, index, command):
    suspects, crashes = record_crash(state.suspects, state.crashes, command)
    ids = (command.id,) if command.id in state.instances else ()
    changes = _without_instances(state, ids, forever=False)
    return changes | {"suspects": suspects, "crashes": crashes}, None


@handles(ClearSuspects)
def _clear_suspects(state, index, command):
    place = (command.service, command.version)
    return {"suspects": clear_suspects(state.suspects, command.requests, place)}, None


@handles(ExpireSuspects)
def _expire_suspects(state, index, command):
    if command.lift:
        known = state.suspects.items()
        kept = {r: s for r, s in known if r not in command.requests}
        return {"suspects": kept}, None
    return {"suspects": expire_suspects(state.suspects, command.requests)}, None


@handles(ForgetVersions)
def _forget_versions(state, index, command):
    return {"suspects": forget_versions(state.suspects, command.places)}, None


@handles(SetEvacuation)
def _set_evacuation(state, index, command):
    zone, active = command.zone, command.active
    known = state.evacuations.get(zone)
    if state.is_evacuated(zone) == active:
        return {}, SetEvacuationResult(done=True)
    if command.base != (known.newest if known else 0):
        return {}, SetEvacuationResult(done=False)
    if active:
        ended = known.ended if known else 0
        newest = ZoneEvacuation(active=True, started=index, ended=ended)
    else:
        newest = replace(known, active=False, ended=index)
    instances = {
        id: replace(i, evacuated=active) if i.zone == zone else i
        for id, i in state.instances.items()
    }
    changes = {
        "evacuations": state.evacuations | {zone: newest},
        "instances": instances,
    }
    return changes, SetEvacuationResult(done=True)


def _without_instances(state, ids, *, forever):
    """Return the fields of the fleet state that change when instances are removed.

    The value of `instances` is always a new dict, which the caller may modify.
    """
    if not ids:
        # Without a replaced instance, the scan of all runs is skipped. When all
        # hosts start together, each of 196 hosts applies 196 such commands.
        return {"instances": dict(state.instances)}
    ids = frozenset(ids)
    runs = dict(state.runs)
    for service, old in state.runs.items():
        rows = [(r.first, r.last) for r in old if r.owner in ids]
        if rows:
            runs[service] = update_runs(old, rows, lambda run, row: _release(run, ""))
    gone = state.gone
    if forever:
        gone = (gone + tuple(i for i in ids if i not in gone))[-MAX_REMOVED_IDS:]
    instances = {k: i for k, i in state.instances.items() if k not in ids}
    return {"instances": instances, "runs": runs, "gone": gone}


def _release(run, handover):
    return replace(run, owner="", handover=handover)


@handles(GrantKeys)
def _grant_keys(state, index, command):
    old = state.runs_of(command.service)
    # The grant may have been decided on an older state. Rows in which any key has
    # been granted since are skipped, so that no owner loses a key.
    rows = [
        row
        for row in command.rows
        if row[2] in state.instances
        and all(not run.owner for run in runs_within(old, row[0], row[1]))
    ]

    def assign(run, row):
        return replace(run, owner=row[2], fence=index)

    runs = update_runs(old, rows, assign)
    return {"runs": state.runs | {command.service: runs}}, tuple(rows)


@handles(ReleaseKeys)
def _release_keys(state, index, command):
    old = state.runs_of(command.service)
    instances = state.instances
    owner = instances.get(command.owner)
    # A delayed message may report an earlier release of keys that the sender has
    # been granted again since; they must stay with it.
    if owner is not None and command.seq:
        if command.seq < owner.released_seq:
            return {}, None
        instances = instances | {owner.id: replace(owner, released_seq=command.seq)}

    def release(run, row):
        # A duplicate release may arrive after the keys were granted again.
        stale = len(row) > 3 and row[3] != run.fence
        return run if stale or run.owner != command.owner else _release(run, row[2])

    rows = command.rows
    if command.fences:
        pairs = zip(command.rows, command.fences, strict=True)
        rows = [(*row, fence) for row, fence in pairs]
    runs = update_runs(old, rows, release)
    return {"runs": state.runs | {command.service: runs}, "instances": instances}, None


@handles(ChangeRoutes)
def _change_routes(state, index, command):
    current = state.config
    if command.digest in state.accepted_changes:
        version = state.accepted_changes[command.digest]
        return {}, ChangeRoutesResult(code="ok", version=version)
    if command.base != current.version:
        return {}, ChangeRoutesResult(code="conflict", version=current.version)
    config = _apply_to_config(current, command)
    findings = [str(finding) for finding in check_config(config)]
    if command.version <= current.version:
        findings.insert(0, f"Version {current.version} is already in force.")
    if findings:
        texts = tuple(findings)
        return {}, ChangeRoutesResult(
            code="invalid", version=current.version, findings=texts
        )
    accepted = dict(state.accepted_changes)
    accepted[command.digest] = config.version
    while len(accepted) > MAX_ACCEPTED_DIGESTS:
        del accepted[next(iter(accepted))]
    answer = ChangeRoutesResult(code="ok", version=config.version)
    return {"config": config, "accepted_changes": accepted}, answer


def _apply_to_config(current, command):
    routes, services = {}, {}
    limits = command.limits
    if not command.whole:
        routes, services = dict(current.routes), dict(current.services)
        limits = limits or current.limits
    for name in command.drop_routes:
        routes.pop(name, None)
    for name in command.drop_services:
        services.pop(name, None)
    routes |= {route.name: route for route in command.routes}
    services |= {service.name: service for service in command.services}
    config = RouteConfig(version=command.version, routes=routes, services=services)
    return replace(config, limits=limits) if limits else config
