"""What each command does to the book."""

from guavastream.fleet.book import Instance, cut_runs, handles, runs_within
from guavastream.fleet.commands import (
    ChangedRoutes,
    ChangeRoutes,
    ClearRequests,
    EndInstance,
    ForgetVersions,
    GrantKeys,
    JoinInstance,
    LeaveInstance,
    RelaxRequests,
    ReleaseKeys,
    RemoveInstances,
)
from guavastream.fleet.suspects import (
    clear_suspects,
    forget_versions,
    note_end,
    relax_suspects,
)
from guavastream.kernel import replace
from guavastream.routes import RouteConfig, check_config

__all__ = []

# Names of instances that never come back; a late message is seconds late, so
# those of the last few hundred replacements are enough.
KEPT_GONE = 512
# Digests of accepted changes; an operator resends for seconds.
KEPT_ACCEPTED = 1024


@handles(JoinInstance)
def _join(book, index, command):
    if command.id in book.gone:
        return {}, False
    name, address = command.name or command.id, command.address
    # One address has one listener, and a server that starts again under its
    # name holds nothing of before: whoever was there has ended.
    before = [
        i
        for i in book.instances.values()
        if i.address == address or (i.name or i.id) == name
    ]
    others = [i for i in before if i.id != command.id]
    if any((i.name or i.id) == name and i.born > command.born for i in others):
        # A message that was held up tells of a life that is over.
        return {}, False
    changes = _without(book, [i.id for i in others], forever=True)
    known = book.instances.get(command.id)
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
    )
    return changes, True


@handles(LeaveInstance)
def _leave(book, index, command):
    instance = book.instances.get(command.id)
    if instance is None:
        return {}, None
    leaving = replace(instance, leaving=True)
    return {"instances": book.instances | {leaving.id: leaving}}, None


@handles(RemoveInstances)
def _remove(book, index, command):
    return _without(book, command.ids, forever=command.forever), None


@handles(EndInstance)
def _end(book, index, command):
    suspects, ended = note_end(book.suspects, book.ended, command)
    ids = (command.id,) if command.id in book.instances else ()
    changes = _without(book, ids, forever=False)
    return changes | {"suspects": suspects, "ended": ended}, None


@handles(ClearRequests)
def _clear(book, index, command):
    place = (command.service, command.version)
    return {"suspects": clear_suspects(book.suspects, command.requests, place)}, None


@handles(RelaxRequests)
def _relax(book, index, command):
    if command.lift:
        known = book.suspects.items()
        kept = {r: s for r, s in known if r not in command.requests}
        return {"suspects": kept}, None
    return {"suspects": relax_suspects(book.suspects, command.requests)}, None


@handles(ForgetVersions)
def _forget_versions(book, index, command):
    return {"suspects": forget_versions(book.suspects, command.places)}, None


def _without(book, ids, *, forever):
    """Return what changes when instances go, a dict; `instances` is a new one."""
    if not ids:
        # A server that is new takes nobody's place. All hosts make this change
        # for all others when they start together: 196 times 196 times.
        return {"instances": dict(book.instances)}
    ids = frozenset(ids)
    runs = dict(book.runs)
    for service, old in book.runs.items():
        rows = [(r.first, r.last) for r in old if r.owner in ids]
        if rows:
            runs[service] = cut_runs(old, rows, lambda run, row: _freed(run, ""))
    gone = book.gone
    if forever:
        gone = (gone + tuple(i for i in ids if i not in gone))[-KEPT_GONE:]
    instances = {k: i for k, i in book.instances.items() if k not in ids}
    return {"instances": instances, "runs": runs, "gone": gone}


def _freed(run, handover):
    return replace(run, owner="", handover=handover)


@handles(GrantKeys)
def _grant(book, index, command):
    old = book.runs_of(command.service)
    # A decision made from an older book must not take a key from an owner
    # that came in between: only rows that are free throughout go over.
    rows = [
        row
        for row in command.rows
        if row[2] in book.instances
        and all(not run.owner for run in runs_within(old, row[0], row[1]))
    ]

    def take(run, row):
        return replace(run, owner=row[2], fence=index)

    runs = cut_runs(old, rows, take)
    return {"runs": book.runs | {command.service: runs}}, tuple(rows)


@handles(ReleaseKeys)
def _release(book, index, command):
    old = book.runs_of(command.service)
    instances = book.instances
    owner = instances.get(command.owner)
    # A message that was held up for seconds may tell of an earlier time at
    # which its sender had the same keys; they must not be taken from it now.
    if owner is not None and command.seq:
        if command.seq < owner.released_seq:
            return {}, None
        instances = instances | {owner.id: replace(owner, released_seq=command.seq)}

    def free(run, row):
        # A release that was sent twice may come after the keys went on.
        late = len(row) > 3 and row[3] != run.fence
        return run if late or run.owner != command.owner else _freed(run, row[2])

    rows = command.rows
    if command.fences:
        pairs = zip(command.rows, command.fences, strict=True)
        rows = [(*row, fence) for row, fence in pairs]
    runs = cut_runs(old, rows, free)
    return {"runs": book.runs | {command.service: runs}, "instances": instances}, None


@handles(ChangeRoutes)
def _change(book, index, command):
    current = book.config
    if command.digest in book.accepted:
        version = book.accepted[command.digest]
        return {}, ChangedRoutes(code="ok", version=version)
    if command.base != current.version:
        return {}, ChangedRoutes(code="conflict", version=current.version)
    config = _changed(current, command)
    findings = [str(finding) for finding in check_config(config)]
    if command.version <= current.version:
        findings.insert(0, f"Version {current.version} is in force already.")
    if findings:
        found = tuple(findings)
        return {}, ChangedRoutes(
            code="invalid", version=current.version, findings=found
        )
    accepted = dict(book.accepted)
    accepted[command.digest] = config.version
    while len(accepted) > KEPT_ACCEPTED:
        del accepted[next(iter(accepted))]
    answer = ChangedRoutes(code="ok", version=config.version)
    return {"config": config, "accepted": accepted}, answer


def _changed(current, command):
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
