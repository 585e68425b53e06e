"""The fleet state: backend servers, ownership of keys and configuration."""

from bisect import bisect_right

import msgspec

from guavastream.fleet.evacuations import ZoneEvacuation
from guavastream.fleet.suspects import ServerCrash, Suspect
from guavastream.kernel import record, replace
from guavastream.routes import RouteConfig

__all__ = ["KEY_COUNT", "FleetState", "Instance", "KeyRun", "find_run", "handles"]
__all__ += ["runs_within", "update_runs"]

# The keys of a service are the integers from 0 to KEY_COUNT - 1.
KEY_COUNT = 65536

_handlers = {}


def handles(command_type):
    """Return a decorator that registers the handler of a command type.

    A handler takes the fleet state, the log index and the command. It returns a
    dict of the fields of the state that change, and the result of the command.
    """

    def register(handler):
        _handlers[command_type] = handler
        return handler

    return register


@record
class Instance:
    """One incarnation of a backend server, from its start to its end.

    Parameters
    ----------
    id : str
        Unique identifier of the incarnation.
    service : str
        Name of the service that it belongs to.
    host : str
        Host that it runs on.
    door : str
        Address of the guavastream process beside it, which takes its requests.
    address : str
        Address that the server itself listens on.
    zone : str
        Availability zone.
    slots : int
        Requests that it runs at the same time.
    leaving : bool
        Whether it is about to stop and gets no new work.
    released_seq : int
        Sequence number of its last message that released keys.
    name : str
        Name of the server, which stays the same when it restarts.
    born : int
        Start time, which orders the incarnations of one name; 0 if unknown.
    version : str
        Version of the server's software.
    evacuated : bool
        Whether its availability zone is evacuated.
    """

    id: str
    service: str
    host: str
    door: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    released_seq: int = 0
    name: str = ""
    born: int = 0
    version: str = ""
    evacuated: bool = False

    @property
    def accepts_work(self):
        """Whether it gets new requests and keys."""
        return not self.leaving and not self.evacuated

    @property
    def server_name(self):
        """The name that the server gives itself, or its ID if it gives none."""
        return self.name or self.id


@record
class KeyRun:
    """Adjacent keys that have the same owner, fence and handover.

    Parameters
    ----------
    first, last : int
        Bounds of the run, both included.
    owner : str
        ID of the instance that owns the keys, or "" if they are free.
    fence : int
        Fencing token: the log index of the last grant.
    handover : str
        Data that the previous owner left for the next one, or "".
    """

    first: int
    last: int
    owner: str = ""
    fence: int = 0
    handover: str = ""

    def overlaps(self, first, last):
        """Return whether the run has any key from `first` to `last`."""
        return self.first <= last and first <= self.last


ALL_FREE = (KeyRun(first=0, last=KEY_COUNT - 1),)


@record(encoded_names={"accepted_changes": "accepted", "crashes": "ended"})
class FleetState:
    """The replicated state of the fleet after all log commands up to `index`.

    It is immutable. Applying a command returns a new state.

    Parameters
    ----------
    index : int
        Log index of the last applied command.
    config : RouteConfig
        Configuration in force.
    accepted_changes : dict of bytes to int
        Digests of the latest accepted changes and the versions they created.
    instances : dict of str to Instance
        All current instances by ID, including those that are leaving.
    gone : tuple of str
        IDs of the latest removed instances, which must not rejoin.
    runs : dict of str to tuple of KeyRun
        Runs of each keyed service. They cover all keys in order, without gaps.
    suspects : dict of bytes to Suspect
        Requests that were running on a server when it crashed, by fingerprint.
    crashes : tuple of ServerCrash
        The latest crashes of servers.
    evacuations : dict of str to ZoneEvacuation
        Newest evacuation of each availability zone that was ever evacuated.
    """

    index: int = 0
    config: RouteConfig = msgspec.field(default_factory=RouteConfig)
    accepted_changes: dict[bytes, int] = msgspec.field(default_factory=dict)
    instances: dict[str, Instance] = msgspec.field(default_factory=dict)
    gone: tuple[str, ...] = ()
    runs: dict[str, tuple[KeyRun, ...]] = msgspec.field(default_factory=dict)
    suspects: dict[bytes, Suspect] = msgspec.field(default_factory=dict)
    crashes: tuple[ServerCrash, ...] = ()
    evacuations: dict[str, ZoneEvacuation] = msgspec.field(default_factory=dict)

    def apply(self, index, command):
        """Return the new state and the result of `command`."""
        handler = _handlers.get(type(command))
        if handler is None:
            return replace(self, index=index), None
        changes, result = handler(self, index, command)
        return replace(self, index=index, **changes), result

    def is_evacuated(self, zone):
        """Return whether an availability zone is evacuated."""
        evacuation = self.evacuations.get(zone)
        return evacuation is not None and evacuation.active

    def runs_of(self, service):
        """Return the runs of a service; without any grant, all keys are free."""
        return self.runs.get(service, ALL_FREE)

    def servers(self, service):
        """Return a list of the instances of a service."""
        return [i for i in self.instances.values() if i.service == service]

    def owner_of(self, service, key):
        """Return the instance that owns a key, or None."""
        run = find_run(self.runs_of(service), key)
        return self.instances.get(run.owner)

    def runs_owned_by(self, owner, service):
        """Return a list of the runs of a service that an instance owns."""
        return [run for run in self.runs_of(service) if run.owner == owner]


def find_run(runs, key):
    """Return the run that contains a key.

    Examples
    --------
    >>> find_run((KeyRun(first=0, last=9), KeyRun(first=10, last=65535)), 10).first
    10
    """
    return runs[bisect_right(runs, key, key=_first_key) - 1]


def runs_within(runs, first, last):
    """Return the runs that have any key from `first` to `last`.

    Examples
    --------
    >>> a, b = KeyRun(first=0, last=9), KeyRun(first=10, last=65535)
    >>> runs_within((a, b), 3, 9) == (a,), runs_within((a, b), 9, 10) == (a, b)
    (True, True)
    """
    low, high = _index_range(runs, first, last)
    return runs[low:high]


def _index_range(runs, first, last):
    """Return the slice bounds of the runs that have any key from `first` to `last`."""
    low = bisect_right(runs, first, key=_first_key) - 1
    return low, bisect_right(runs, last, lo=low, key=_first_key)


def _first_key(run):
    return run.first


def update_runs(runs, rows, change):
    """Return the runs with `change` applied to the keys of the given rows.

    Parameters
    ----------
    runs : tuple of KeyRun
        Runs that cover all keys in order.
    rows : iterable of tuple
        Key ranges (first, last, ...) to change. Runs are split at their bounds.
    change : callable
        Called with the part of a run that lies in a row, and with the row.
        Returns the replacement for that part.

    Notes
    -----
    Every host applies every change, so only the runs that overlap a row are
    processed and the others are copied as slices. With 586 runs, a grant of one
    row takes 23 microseconds this way, against 348 if all runs are processed.

    Examples
    --------
    >>> updated = update_runs(
    ...     ALL_FREE, [(5, 6, "a")], lambda run, row: replace(run, owner=row[2])
    ... )
    >>> [(run.first, run.last, run.owner) for run in updated]
    [(0, 4, ''), (5, 6, 'a'), (7, 65535, '')]
    """
    updated = []
    # Index of the next run to process, and the part of it that is left.
    position, remaining = 0, runs[0]
    for row in sorted(rows):
        low, high = _index_range(runs, row[0], row[1])
        if low > position:
            _append_run(updated, remaining)
            updated.extend(runs[position + 1 : low])
            position, remaining = low, runs[low]
        while position < high:
            first, last = max(row[0], remaining.first), min(row[1], remaining.last)
            if first > last:
                break
            if first > remaining.first:
                _append_run(updated, replace(remaining, last=first - 1))
            _append_run(
                updated, change(replace(remaining, first=first, last=last), row)
            )
            if last < remaining.last:
                remaining = replace(remaining, first=last + 1)
                break
            position += 1
            remaining = runs[position] if position < len(runs) else None
    if remaining is not None:
        _append_run(updated, remaining)
        updated.extend(runs[position + 1 :])
    return tuple(updated)


def _append_run(updated, run):
    """Append a run, or extend the last one if only their bounds differ."""
    last = updated[-1] if updated else None
    if last is not None and (run.owner, run.fence, run.handover) == (
        last.owner,
        last.fence,
        last.handover,
    ):
        updated[-1] = replace(last, last=run.last)
    else:
        updated.append(run)
