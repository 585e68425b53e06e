"""Both ends of a lease: the holder's deadline and the grantor's records."""

from dataclasses import dataclass

__all__ = ["Lease", "LeaseKeeper", "LeaseTiming"]


@dataclass(frozen=True, kw_only=True)
class LeaseTiming:
    """Durations of leases, in seconds.

    Parameters
    ----------
    duration : float
        How long a renewal is valid for the holder.
    interval : float
        Pause between renewals.
    drift : float
        Upper bound on the relative difference between the rates of two clocks.
    """

    duration: float = 0.5
    interval: float = 0.125
    drift: float = 0.01

    @classmethod
    def from_milliseconds(cls, milliseconds):
        """Return the timing of leases that are renewed four times per duration."""
        return cls(duration=milliseconds / 1000, interval=milliseconds / 4000)

    @property
    def grantor_duration(self):
        """How long the grantor waits before it reassigns what the holder owned."""
        return self.duration * (1 + 2 * self.drift)


class Lease:
    """The holder's end of a lease: a deadline set by the event loop.

    Any thread may read it.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    The holder counts from the moment it *sent* the renewal, the grantor from the
    moment it *received* it, which is later. Without clock drift the holder therefore
    always stops first; `LeaseTiming.drift` allows for drift.

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
        """Whether the lease has not expired; reads the clock each time.

        A process that was paused thus detects the expiry before it uses what the
        lease protects, because the clock continued during the pause.
        """
        return self._clock() < self._deadline

    @property
    def remaining(self):
        """Seconds until the lease expires, negative afterwards."""
        return self._deadline - self._clock()

    @property
    def deadline(self):
        """The clock's time at which the lease expires."""
        return self._deadline

    def extend(self, deadline):
        """Extend the lease to a deadline; an earlier one has no effect."""
        self._deadline = max(self._deadline, deadline)

    def drop(self):
        """Give up the lease immediately."""
        self._deadline = float("-inf")


class LeaseKeeper:
    """The grantor's end of all leases, on the leading control host.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    timing : LeaseTiming
        Durations of leases.

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
        self._expires_at = {}
        self._expired = set()

    def start(self, members, *, since):
        """Begin a term in which each member may hold a lease of an earlier leader.

        A new leader does not know the latest renewals, so it treats every lease as
        renewed at `since`: the clock's time after which no earlier leader renewed
        anything. It may renew leases immediately.
        """
        expires_at = min(since, self._clock()) + self._timing.grantor_duration
        self._expires_at = dict.fromkeys(members, expires_at)
        self._expired = set()

    def admit(self, member):
        """Start tracking the lease of a new member."""
        if member not in self._expired:
            self._expires_at.setdefault(
                member, self._clock() + self._timing.grantor_duration
            )

    def renew(self, member):
        """Renew a lease; return False if it has expired or is unknown."""
        # Once `expired` has returned a member, its removal may already be in the log,
        # so a late renewal must not revive the lease.
        if member in self._expired or member not in self._expires_at:
            return False
        self._expires_at[member] = self._clock() + self._timing.grantor_duration
        return True

    def expired(self):
        """Return the members whose leases have expired; this is permanent."""
        now = self._clock()
        newly_expired = [
            member
            for member, expires_at in self._expires_at.items()
            if expires_at <= now
        ]
        self._expired.update(newly_expired)
        return sorted(self._expired)

    def forget(self, member):
        """Stop tracking a member that was removed from the table."""
        self._expires_at.pop(member, None)

    def release(self, member):
        """Expire a lease immediately because its holder gave it up."""
        if member in self._expires_at:
            self._expires_at[member] = self._clock()
