"""Choose the member for a request from the table."""

import random
import threading
from dataclasses import dataclass

from guavastream.routing.health import Observations
from guavastream.routing.outcomes import Refused
from guavastream.state import Member, shard_of

__all__ = ["Chooser", "Target", "find_owner"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Where an attempt goes; shard and epoch are -1 without a key."""

    member: Member
    shard: int = -1
    epoch: int = -1


def find_owner(table, service, key):
    """Return the `Target` of a key.

    Raises
    ------
    Refused
        With `no_owner` while nobody owns the key.
    """
    pin = table.pins.get(service, {}).get(key)
    if pin is not None and pin.member in table.members:
        member = table.members[pin.member]
        return Target(member=member, shard=pin.shard, epoch=pin.epoch)
    shards = table.shards.get(service)
    if shards is None:
        raise Refused("no_owner")
    shard = shard_of(key, len(shards.owners))
    member = table.members.get(shards.owners[shard])
    if member is None:
        raise Refused("no_owner")
    return Target(member=member, shard=shard, epoch=shards.epochs[shard])


class Chooser:
    """Chooses a server for requests without a key, by load seen from here.

    The smaller load of two members drawn at random wins; members of the own
    availability zone win ties. Own counts come first: reports may mislead.

    Parameters
    ----------
    zone : str
        Own availability zone.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random, optional
        Draws the two members.

    References
    ----------
    .. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
       Balancing", IEEE TPDS 12(10), 2001.
    """

    def __init__(self, *, zone, clock, rng=None):
        self._zone = zone
        self._rng = rng or random.Random()
        self._in_flight = {}
        self._seen = Observations(clock=clock)
        self._lock = threading.Lock()

    def choose(self, table, service, *, avoid=()):
        """Return a `Target`; members in `avoid` come last.

        Raises
        ------
        Refused
            With `no_owner` if the service has no server for new work.
        """
        servers = [m for m in table.servers(service) if not table.is_drained(m)]
        if not servers:
            raise Refused("no_owner")
        usable = self._seen.usable(servers)
        pool = [m for m in usable if m.id not in avoid]
        pool = pool or [m for m in servers if m.id not in avoid] or servers
        drawn = self._rng.sample(pool, min(2, len(pool)))
        return Target(member=min(drawn, key=self._burden))

    def begin(self, member):
        """Count an attempt at a member."""
        with self._lock:
            self._in_flight[member] = self._in_flight.get(member, 0) + 1

    def end(self, member, *, failed):
        """Count the end of an attempt and what is learned from it."""
        with self._lock:
            self._in_flight[member] = self._in_flight.get(member, 1) - 1
        self._seen.note(member, failed=failed)

    def _burden(self, member):
        near = member.zone == self._zone
        load = (self._in_flight.get(member.id, 0) + 1) / member.slots
        return (load * self._seen.burden(member.id), not near)
