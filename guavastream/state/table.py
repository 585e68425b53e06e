"""The replicated table: members, owners of shards, configuration."""

from array import array

import msgspec
import xxhash

from guavastream.declare import Declaration
from guavastream.kernel import record, replace

__all__ = ["Change", "Member", "Pin", "ShardMap", "Table", "handles", "shard_of"]

NOBODY = 0


@record
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


@record
class Pin:
    """A key that stays at `member` under `epoch` until its sessions end."""

    member: int
    epoch: int
    shard: int


@record
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


@record
class Change:
    """One accepted change of configuration, for `history`."""

    revision: int
    change: str
    author: str
    at: float
    what: str


@record
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
    declaration: Declaration = msgspec.field(default_factory=Declaration)
    preset: str = ""
    drained: tuple[str, ...] = ()
    members: dict = msgspec.field(default_factory=dict)
    shards: dict = msgspec.field(default_factory=dict)
    moves: dict = msgspec.field(default_factory=dict)
    pins: dict = msgspec.field(default_factory=dict)
    handed: dict = msgspec.field(default_factory=dict)
    answers: dict = msgspec.field(default_factory=dict)
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


_handlers = {}


def handles(cls):
    """Return a decorator that registers what applies a class of command."""

    def enter(handler):
        _handlers[cls] = handler
        return handler

    return enter
