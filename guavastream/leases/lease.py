"""Both ends of a lease: the holder's deadline and the keeper's book."""

from dataclasses import dataclass

__all__ = ["Lease", "LeaseKeeper", "LeaseTiming"]


@dataclass(frozen=True, kw_only=True)
class LeaseTiming:
    """Times of leases, in seconds.

    Parameters
    ----------
    duration : float
        How long a renewal counts for its holder.
    interval : float
        Pause between renewals.
    drift : float
        Bound on the difference of two clocks' rates, as a share.
    """

    duration: float = 0.5
    interval: float = 0.125
    drift: float = 0.01

    @classmethod
    def of_length(cls, milliseconds):
        """Return the times for leases of a length; renewed four times in it."""
        return cls(duration=milliseconds / 1000, interval=milliseconds / 4000)

    @property
    def kept(self):
        """How long the keeper waits before it gives anything away."""
        return self.duration * (1 + 2 * self.drift)


class Lease:
    """The holder's end: a deadline that the loop moves and threads read.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    The holder counts from the moment it *sent* the renewal, the keeper from
    the moment it *received* it, which is later. Without clock drift the
    holder therefore always stops first; `LeaseTiming.drift` covers the rest.

    References
    ----------
    .. [1] C. Gray and D. Cheriton, "Leases: An Efficient Fault-Tolerant
       Mechanism for Distributed File Cache Consistency", SOSP 1989.

    Examples
    --------
    >>> now = 10.0
    >>> lease = Lease(clock=lambda: now)
    >>> lease.extend(10.5)
    >>> lease.is_held, round(lease.remaining, 1)
    (True, 0.5)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._deadline = float("-inf")

    @property
    def is_held(self):
        """Whether the lease still runs; reads the clock each time.

        A process that was paused learns it here, before it does anything
        with what it held: the clock went on while it stood still.
        """
        return self._clock() < self._deadline

    @property
    def remaining(self):
        """Seconds left, negative once it ran out."""
        return self._deadline - self._clock()

    @property
    def deadline(self):
        """The clock's time at which the lease ends."""
        return self._deadline

    def extend(self, deadline):
        """Move the deadline on; an earlier one changes nothing."""
        self._deadline = max(self._deadline, deadline)

    def drop(self):
        """Give the lease up at once."""
        self._deadline = float("-inf")


class LeaseKeeper:
    """The keeper's end, on the leading control host.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    timing : LeaseTiming
        Times of leases.

    Examples
    --------
    >>> now = 0.0
    >>> keeper = LeaseKeeper(clock=lambda: now, timing=LeaseTiming())
    >>> keeper.start([4], since=0.0)
    >>> keeper.renew(4), keeper.renew(9)
    (True, False)
    >>> now = 0.52
    >>> keeper.expired()
    [4]
    >>> keeper.renew(4)
    False
    """

    def __init__(self, *, clock, timing):
        self._clock = clock
        self._timing = timing
        self._until = {}
        self._condemned = set()

    def start(self, members, *, since):
        """Begin a term: each member may hold a lease of the leader before.

        A new leader does not know what was renewed last, so it waits a full
        lease before it gives anything away; it may renew at once. `since` is
        the clock's time after which no earlier leader renewed anything.
        """
        until = min(since, self._clock()) + self._timing.kept
        self._until = dict.fromkeys(members, until)
        self._condemned = set()

    def admit(self, member):
        """Begin to keep the lease of a new member."""
        if member not in self._condemned:
            self._until.setdefault(member, self._clock() + self._timing.kept)

    def renew(self, member):
        """Renew a lease; return False if it has run out for good."""
        # Once expiry was noticed the removal may be in the log already, so a
        # renewal that comes late must not bring the lease back.
        if member in self._condemned or member not in self._until:
            return False
        self._until[member] = self._clock() + self._timing.kept
        return True

    def expired(self):
        """Return the members whose leases have run out; they stay so."""
        now = self._clock()
        gone = [member for member, until in self._until.items() if until <= now]
        self._condemned.update(gone)
        return sorted(self._condemned)

    def forget(self, member):
        """Drop a member that was removed from the table."""
        self._until.pop(member, None)

    def release(self, member):
        """End a lease early, because its holder gave it up."""
        if member in self._until:
            self._until[member] = self._clock()
