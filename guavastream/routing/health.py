"""What a process sees of each server by its own requests."""

import threading
from dataclasses import dataclass

__all__ = ["EJECTED_SHARE", "Observations"]

# At most this share of a service's servers is left out at a time. Beyond it
# the fault is more likely ours, or everybody's, than theirs.
EJECTED_SHARE = 0.5
FAILURES_TO_EJECT = 5
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 8.0
RETURN_SECONDS = 2.0
RETURN_BURDEN = 4.0


@dataclass(kw_only=True, slots=True)
class _Seen:
    failures: int = 0
    ejections: int = 0
    out_until: float = float("-inf")


class Observations:
    """Counts failures in a row and leaves a server out for a growing time.

    Answers and broken attempts are what counts; what a server says of its
    health or load is not asked here, because it may lag or mislead.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Examples
    --------
    >>> now = 0.0
    >>> seen = Observations(clock=lambda: now)
    >>> for _ in range(FAILURES_TO_EJECT):
    ...     seen.note(7, failed=True)
    >>> seen.is_out(7)
    True
    >>> now = 1.5
    >>> seen.is_out(7), seen.burden(7)
    (False, 3.25)
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._seen = {}
        self._lock = threading.Lock()

    def note(self, member, *, failed):
        """Count one attempt at a member."""
        with self._lock:
            seen = self._seen.setdefault(member, _Seen())
            if not failed:
                seen.failures = 0
                if self._clock() > seen.out_until + RETURN_SECONDS:
                    seen.ejections = 0
                return
            seen.failures += 1
            if seen.failures >= FAILURES_TO_EJECT:
                self._eject(seen)

    def _eject(self, seen):
        length = FIRST_EJECTION_SECONDS * 2**seen.ejections
        seen.out_until = self._clock() + min(length, LONGEST_EJECTION_SECONDS)
        seen.ejections += 1
        # One failure on return is enough for the next, longer ejection.
        seen.failures = FAILURES_TO_EJECT - 1

    def is_out(self, member):
        """Whether a member is left out at this moment."""
        seen = self._seen.get(member)
        return seen is not None and self._clock() < seen.out_until

    def burden(self, member):
        """Return a factor on a member's load; it falls to 1 on its return."""
        seen = self._seen.get(member)
        if seen is None:
            return 1.0
        back = (self._clock() - seen.out_until) / RETURN_SECONDS
        return max(1.0, RETURN_BURDEN - (RETURN_BURDEN - 1) * min(1.0, back))

    def usable(self, members):
        """Return those that are not left out, but never less than the share.

        Parameters
        ----------
        members : list of Member
            Servers of one service.
        """
        kept = [m for m in members if not self.is_out(m.id)]
        least = len(members) - int(len(members) * EJECTED_SHARE)
        return kept if len(kept) >= least else members
