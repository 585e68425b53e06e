"""Keeps requests that seem to crash servers away from other servers."""

from collections import OrderedDict

from guavastream.fleet import CRASHES_BEFORE_REFUSAL
from guavastream.kernel import part_logger
from guavastream.relay.fingerprint import (
    FINGERPRINT_BYTES,
    head_fingerprint,
)
from guavastream.scheduling.outcome import NotRun

__all__ = ["Quarantine", "SuspectStatus"]

# Number of requests for which this host remembers the servers that it saw end, and how
# long these records count while the fleet state does not list the request.
MAX_LOCAL_SUSPECTS = 256
LOCAL_SUSPECT_SECONDS = 5.0
# Without contact to a control host for this long, a host also refuses requests by
# what it has observed itself.
CUT_OFF_SECONDS = 2.0
# Retry-After advice for a refused request: the earliest time by which an operator may
# have repaired the server.
RETRY_SECONDS = 60.0
# Once this many server instances have ended during a request, it never runs at the
# same time as another such request, and it is not sent to another server by this
# system after one has ended during it.
RUN_ALONE_ENDS = CRASHES_BEFORE_REFUSAL - 1

log = part_logger("quarantine")


class SuspectStatus:
    """What is known of a request during which server instances ended.

    Parameters
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    suspect : Suspect or None
        Its entry in the fleet state.
    seen : set of str
        IDs of the server instances that this host saw end during it.
    cut_off : bool
        Whether the fleet state may be long out of date.
    """

    __slots__ = ("fingerprint", "_cut_off", "_seen", "_suspect")

    def __init__(self, *, fingerprint, suspect, seen, cut_off):
        self.fingerprint = fingerprint
        self._suspect = suspect
        self._seen = seen
        self._cut_off = cut_off

    @property
    def crash_count(self):
        """Number of server instances that are known to have ended during it."""
        known = self._suspect.crash_count if self._suspect else 0
        return max(known, len(self._seen))

    @property
    def must_run_alone(self):
        """Whether it may not run at the same time as another such request."""
        return self.crash_count >= RUN_ALONE_ENDS

    def is_refused_at(self, server):
        """Whether it must not be sent to a server."""
        if self._cut_off and len(self._seen) >= CRASHES_BEFORE_REFUSAL:
            return True
        suspect = self._suspect
        if suspect is None or not suspect.refused:
            return False
        return (server.service, server.version) in suspect.places


class Quarantine:
    """Suspect requests, from the fleet state and from what this host has observed.

    A host that has lost contact to the control hosts also refuses requests by its own
    observations alone.

    Parameters
    ----------
    fleet_holder : TableHolder
        Holder of the latest fleet state.
    count : callable
        Counts an event by name.

    Notes
    -----
    A check takes 0.2 us while there are no suspects, and 3 us while there are. Only
    the head of a request is hashed then; its body is hashed as well if the head
    matches that of a suspect.
    """

    def __init__(self, *, fleet_holder, count):
        self._confirmation = fleet_holder.confirmation
        self._count = count
        self._suspects = {}
        self._seen = OrderedDict()
        self._heads = frozenset()

    def follow(self, before, fleet_state):
        """Apply the changes from one version of the fleet state to a newer one."""
        if fleet_state.suspects is before.suspects:
            return
        # A request that is no longer listed or refused was answered by a server,
        # released by an operator, or has expired.
        for fingerprint, suspect in before.suspects.items():
            now = fleet_state.suspects.get(fingerprint)
            if now is None or (suspect.refused and not now.refused):
                self._seen.pop(fingerprint, None)
        self._suspects = fleet_state.suspects
        self._index_heads()

    def _index_heads(self):
        """Rebuild the set of head fingerprints of all suspects."""
        half = FINGERPRINT_BYTES // 2
        fingerprints = (*self._suspects, *self._seen)
        self._heads = frozenset(fingerprint[:half] for fingerprint in fingerprints)

    def status_of(self, request):
        """Return the `SuspectStatus` of a job or an attempt, None if not suspect.

        Uses its `method`, `headers`, `target` and `body_fingerprint`.
        """
        if not self._heads:
            return None
        head = head_fingerprint(request.method, request.headers, request.target)
        if head not in self._heads:
            return None
        fingerprint = head + request.body_fingerprint
        suspect = self._suspects.get(fingerprint)
        seen = self._seen_ended(fingerprint, suspect)
        if suspect is None and not seen:
            return None
        return SuspectStatus(
            fingerprint=fingerprint,
            suspect=suspect,
            seen=seen,
            cut_off=self._confirmation.age > CUT_OFF_SECONDS,
        )

    def _seen_ended(self, fingerprint, suspect):
        """Return the IDs of the instances that this host saw end during a request."""
        at, instance_ids = self._seen.get(fingerprint, (0.0, ()))
        if not instance_ids or suspect is not None:
            return instance_ids
        # The control hosts were told long ago and have dropped or cleared it.
        if self._confirmation.complete_through - at > LOCAL_SUSPECT_SECONDS:
            del self._seen[fingerprint]
            self._index_heads()
            return ()
        return instance_ids

    def check(self, request, server):
        """Return the status of a request that may go to a server, None if not suspect.

        Raises
        ------
        NotRun
            If the request must not be sent to that server.
        """
        status = self.status_of(request)
        if status is not None and status.is_refused_at(server):
            raise NotRun("quarantined", retry_after=RETRY_SECONDS)
        return status

    def note_end(self, fingerprint, instance_id):
        """Note that this host saw a server instance end during a request."""
        _, instance_ids = self._seen.pop(fingerprint, (0.0, frozenset()))
        self._seen[fingerprint] = (
            self._confirmation.now(),
            instance_ids | {instance_id},
        )
        while len(self._seen) > MAX_LOCAL_SUSPECTS:
            self._seen.popitem(last=False)
        self._index_heads()

    def note_answered(self, fingerprint):
        """Note that a server has answered a request, so that it is not harmful."""
        if self._seen.pop(fingerprint, None):
            self._index_heads()
