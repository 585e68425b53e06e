"""The replicated table of members, shard owners and configuration."""

from array import array

import msgspec
import xxhash

from guavastream.declare import Declaration
from guavastream.kernel import record, replace

__all__ = ["Change", "Member", "Pin", "ShardMap", "Table", "handles", "shard_of"]

NO_OWNER = 0


@record
class Member:
    """A backend server and the router process on its host.

    `id` is never reused; `door` is the IP:PORT at which the process accepts
    requests.
    """

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
    """A key that stays with `member` under `epoch` until its sessions end."""

    member: int
    epoch: int
    shard: int


@record
class ShardMap:
    """Owner and epoch of each shard of a service; never changed in place.

    Parameters
    ----------
    owners : array of 'I'
        Member id by shard; 0 if the shard has no owner.
    epochs : array of 'Q'
        Fencing token by shard: the log index of the command that assigned the
        owner.
    """

    owners: array
    epochs: array

    @classmethod
    def empty(cls, count):
        """Return a map of `count` shards without owners."""
        return cls(
            owners=array("I", bytes(4 * count)), epochs=array("Q", bytes(8 * count))
        )

    def assign(self, shards, member, epoch):
        """Return a copy in which `member` owns `shards` under `epoch`."""
        return self.assign_each(dict.fromkeys(shards, member), epoch)

    def assign_each(self, owners_by_shard, epoch):
        """Return a copy with the owners of `owners_by_shard` under `epoch`."""
        if not owners_by_shard:
            return self
        owners, epochs = self.owners[:], self.epochs[:]
        for shard, member in owners_by_shard.items():
            owners[shard] = member
            epochs[shard] = epoch
        return ShardMap(owners=owners, epochs=epochs)

    def owned_by(self, *members):
        """Return the list of shards that any of `members` owns."""
        wanted = frozenset(members)
        return [shard for shard, owner in enumerate(self.owners) if owner in wanted]


@record
class Change:
    """An accepted change of the configuration, as kept in `Table.history`.

    `change` is its id, `at` the wall time in seconds, and `what` a short
    description.
    """

    revision: int
    change: str
    author: str
    at: float
    what: str


@record(encoded_names={"handover_digests": "handed"})
class Table:
    """State after the log up to `index`; immutable, a command returns a new one.

    Parameters
    ----------
    index : int
        Log index of the last command.
    revision : int
        Number of the configuration in force; each change adds one.
    declaration : Declaration
        Services and presets.
    preset : str
        The preset in force; empty before the first declaration is applied.
    drained : tuple of str
        Hosts and availability zones drained by operators.
    members : dict of int to Member
        Members by id.
    shards : dict of str to ShardMap
        Shard owners by service, for services whose servers own shards.
    moves : dict of str to dict of int to int
        For each service, the target member of each shard that is being moved.
    pins : dict of str to dict of str to Pin
        For each service, the pinned keys.
    handover_digests : dict of str to dict of int to tuple
        For each service and each shard released in a planned move, digests of
        the ids of the latest operations at the previous owner.
    answers : dict of str to tuple
        For each change id, the digest of the change and its answer. The latest
        4,096 are kept.
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
    handover_digests: dict = msgspec.field(default_factory=dict)
    answers: dict = msgspec.field(default_factory=dict)
    history: tuple[Change, ...] = ()

    def apply(self, index, command):
        """Return the table after `command`, and the result of the command.

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
        """Return whether `member` must get no new work: it is leaving or drained."""
        preset = self.declaration.find_preset(self.preset)
        drained = self.drained + (preset.drained if preset else ())
        return member.leaving or member.host in drained or member.zone in drained

    def servers(self, service):
        """Return the list of members that serve `service`."""
        return [m for m in self.members.values() if m.service == service]

    def moves_from(self, member):
        """Yield service, shard and target for each shard that `member` must release."""
        for service, moves in self.moves.items():
            owners = self.shards[service].owners
            for shard, target in moves.items():
                if owners[shard] == member:
                    yield service, shard, target


def shard_of(key, count):
    """Return the shard of a key, by its hash modulo `count`.

    Examples
    --------
    >>> shard_of("crew-7", 256) == shard_of("crew-7", 256)
    True
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % count


_handlers = {}


def handles(cls):
    """Return a decorator that registers the handler of the command class `cls`."""

    def register(handler):
        _handlers[cls] = handler
        return handler

    return register
