"""Passive health checks: ejects servers at which this process's attempts fail."""

import threading
from dataclasses import dataclass

__all__ = ["MAX_EJECTED_SHARE", "Observations"]

# Servers are ejected only up to this share of a service's servers. If more fail, the
# cause is more likely this process, or one that all servers have in common.
MAX_EJECTED_SHARE = 0.5
FAILURES_TO_EJECT = 5
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# During this time after an ejection, the factor by which a server's load is
# multiplied falls from the value below to 1.
RECOVERY_SECONDS = 2.0
RECOVERY_LOAD_FACTOR = 4.0


@dataclass(kw_only=True, slots=True)
class _Observed:
    """Consecutive failures and ejections of one server."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")


class Observations:
    """Counts consecutive failures and ejects failing servers for a growing time.

    Only the results of attempts count. The health and load that servers report are
    not used here, because they may be outdated or wrong.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> now = 0.0
    >>> observations = Observations(clock=lambda: now)
    >>> for _ in range(FAILURES_TO_EJECT):
    ...     observations.note(7, failed=True)
    >>> observations.is_ejected(7)
    True
    >>> now = 1.5
    >>> observations.is_ejected(7), observations.load_factor(7)
    (False, 3.25)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._observed = {}
        self._lock = threading.Lock()

    def note(self, member, *, failed):
        """Record the result of one attempt at a member."""
        with self._lock:
            observed = self._observed.setdefault(member, _Observed())
            if not failed:
                observed.failures = 0
                if self._clock() > observed.ejected_until + RECOVERY_SECONDS:
                    observed.ejections = 0
                return
            observed.failures += 1
            if observed.failures >= FAILURES_TO_EJECT:
                self._eject(observed)

    def _eject(self, observed):
        seconds = MIN_EJECTION_SECONDS * 2**observed.ejections
        observed.ejected_until = self._clock() + min(seconds, MAX_EJECTION_SECONDS)
        observed.ejections += 1
        # After the ejection, a single failure suffices for the next, longer one.
        observed.failures = FAILURES_TO_EJECT - 1

    def is_ejected(self, member):
        """Whether a member is ejected at this moment."""
        observed = self._observed.get(member)
        return observed is not None and self._clock() < observed.ejected_until

    def load_factor(self, member):
        """Return the factor for a member's load; it falls to 1 after an ejection."""
        observed = self._observed.get(member)
        if observed is None:
            return 1.0
        recovered = (self._clock() - observed.ejected_until) / RECOVERY_SECONDS
        return max(
            1.0,
            RECOVERY_LOAD_FACTOR - (RECOVERY_LOAD_FACTOR - 1) * min(1.0, recovered),
        )

    def usable(self, members):
        """Return the members that are not ejected, or all if too many are ejected.

        Parameters
        ----------
        members : list of Member
            Servers of one service.
        """
        kept = [m for m in members if not self.is_ejected(m.id)]
        least = len(members) - int(len(members) * MAX_EJECTED_SHARE)
        return kept if len(kept) >= least else members
