"""Chooses the member that serves a request, based on the table."""

import random
import threading
from dataclasses import dataclass

from guavastream.routing.health import Observations
from guavastream.routing.outcomes import Refused
from guavastream.state import Member, shard_of

__all__ = ["Chooser", "Target", "find_owner"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """The member to send an attempt to; shard and epoch are -1 without a key."""

    member: Member
    shard: int = -1
    epoch: int = -1


def find_owner(table, service, key):
    """Return the `Target` that owns a key.

    Raises
    ------
    Refused
        With `no_owner` if the key currently has no owner.
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
    """Chooses servers for requests without a key, by the load this process observes.

    Of two members drawn at random, the one with the lower load is chosen; on a tie, a
    member in this process's availability zone. Load is the number of this process's
    own attempts in flight per slot, because load reported by servers may be wrong.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
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
        self._observations = Observations(clock=clock)
        self._lock = threading.Lock()

    def choose(self, table, service, *, avoid=()):
        """Return a `Target`; members in `avoid` are chosen only if no others are left.

        Raises
        ------
        Refused
            With `no_owner` if no server of the service accepts new requests.
        """
        servers = [m for m in table.servers(service) if not table.is_drained(m)]
        if not servers:
            raise Refused("no_owner")
        usable = self._observations.usable(servers)
        pool = [m for m in usable if m.id not in avoid]
        pool = pool or [m for m in servers if m.id not in avoid] or servers
        drawn = self._rng.sample(pool, min(2, len(pool)))
        return Target(member=min(drawn, key=self._rank))

    def begin(self, member):
        """Count the start of an attempt at a member."""
        with self._lock:
            self._in_flight[member] = self._in_flight.get(member, 0) + 1

    def end(self, member, *, failed):
        """Count the end of an attempt and whether it failed."""
        with self._lock:
            self._in_flight[member] = self._in_flight.get(member, 1) - 1
        self._observations.note(member, failed=failed)

    def _rank(self, member):
        """Return the sort key of a member; the lowest is preferred."""
        near = member.zone == self._zone
        load = (self._in_flight.get(member.id, 0) + 1) / member.slots
        return (load * self._observations.load_factor(member.id), not near)
