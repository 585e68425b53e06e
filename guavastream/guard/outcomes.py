"""Outcomes of non-idempotent operations, for answering resends."""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

import xxhash

from guavastream.routing import Refused, uuid7_seconds

__all__ = ["Outcomes", "StoredAnswer", "operation_digest"]

RETENTION_SECONDS = 600.0
MAX_OUTCOMES = 100_000
# Assumed limit of the difference between wall clocks of callers and hosts.
MAX_CLOCK_SKEW_SECONDS = 1.0


class _OutcomeState(Enum):
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_KEPT = "not kept"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A complete answer, kept for resends of its request."""

    status: int
    reason: str
    header_pairs: tuple
    body: bytes

    def headers(self):
        """Return the end-to-end headers as pairs."""
        return list(self.header_pairs)

    def header(self, name):
        """Return the value of a header, or an empty string."""
        found = (v for k, v in self.header_pairs if k.lower() == name.lower())
        return next(found, "")

    def chunks(self):
        """Yield the whole body."""
        yield self.body

    def finish(self, *, whole):
        """Do nothing: a stored answer has no connection to close."""


@dataclass(kw_only=True, slots=True)
class _Outcome:
    state: _OutcomeState
    shard: int
    answer: StoredAnswer | None = None


def operation_digest(operation):
    """Return a 63-bit hash of an operation's id, for use in the replicated log."""
    return xxhash.xxh3_64_intdigest(operation.encode()) >> 1


class Outcomes:
    """Outcomes of the operations on shards that this member owns.

    Parameters
    ----------
    wall_clock : callable, optional
        Returns wall time in seconds.

    Notes
    -----
    A member does not know which operations ran before it became the owner of a
    shard. The id of an operation contains its time of creation, so an id from
    before that point may have run already. If the shard came by a planned move,
    the previous owner has handed over digests of its latest ids. The member then
    refuses these ids, and all that were created more than the maximum clock skew
    before the grant. If the previous owner was lost, it refuses all ids that were
    created before the grant or less than the maximum clock skew after it.

    Examples
    --------
    >>> outcomes = Outcomes(wall_clock=lambda: 1688096059.0)
    >>> outcomes.note_granted("s", 1, handover_digests=())
    >>> operation = "01890a5d-ac96-774b-bcce-b302099a8057"
    >>> outcomes.begin("s", 1, operation)
    >>> outcomes.begin("s", 1, operation)
    Traceback (most recent call last):
    guavastream.routing.outcomes.Refused: still_running
    """

    def __init__(self, *, wall_clock=time.time):
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        self._outcomes = OrderedDict()
        self._grants = {}
        self._kept_since = float("-inf")

    def note_granted(self, service, shard, *, handover_digests):
        """Note that this member now owns a shard.

        Parameters
        ----------
        handover_digests : tuple of int or None
            Digests handed over by the previous owner; None if there are none.
        """
        inherited_digests = (
            None if handover_digests is None else frozenset(handover_digests)
        )
        with self._lock:
            self._grants[(service, shard)] = (self._wall_clock(), inherited_digests)

    def begin(self, service, shard, operation):
        """Note that an operation is about to run, unless it has run before.

        Returns
        -------
        StoredAnswer or None
            The answer if the operation has run; None if the caller must run it.

        Raises
        ------
        Refused
            With `still_running` while it runs, `answer_not_kept` if its answer
            was too large to keep, or `earlier_unknown` if it may have run.
        """
        created_at = uuid7_seconds(operation)
        outcome_key = (service, operation)
        with self._lock:
            self._drop_expired()
            outcome = self._outcomes.get(outcome_key)
            if outcome is None:
                self._check_not_run_before(service, shard, operation, created_at)
                self._outcomes[outcome_key] = _Outcome(
                    state=_OutcomeState.RUNNING, shard=shard
                )
                return None
        if outcome.state is _OutcomeState.RUNNING:
            raise Refused("still_running")
        if outcome.state is _OutcomeState.UNKNOWN:
            raise Refused("earlier_unknown")
        if outcome.state is _OutcomeState.NOT_KEPT:
            raise Refused("answer_not_kept")
        return outcome.answer

    def is_known_new(self, service, shard, operation):
        """Return whether the operation is known not to have run, here or earlier."""
        with self._lock:
            if (service, operation) in self._outcomes:
                return False
            try:
                self._check_not_run_before(
                    service, shard, operation, uuid7_seconds(operation)
                )
            except Refused:
                return False
            return True

    def forget_not_run(self, service, operation):
        """Forget an operation that did not run, so that it can be tried again."""
        with self._lock:
            self._outcomes.pop((service, operation), None)

    def mark_unknown(self, service, operation):
        """Note that it is unknown whether the operation ran."""
        self._update(service, operation, _OutcomeState.UNKNOWN)

    def store_answer(self, service, operation, answer):
        """Keep the answer of an operation, or None if it is too large to keep."""
        state = _OutcomeState.NOT_KEPT if answer is None else _OutcomeState.ANSWERED
        self._update(service, operation, state, answer)

    def recent_digests(self, service, shards):
        """Return digests of the latest operation ids, to hand over with `shards`.

        Older ids than these are refused by the next owner for their age.
        """
        since = self._wall_clock() - 2 * MAX_CLOCK_SKEW_SECONDS
        with self._lock:
            return tuple(
                operation_digest(operation)
                for (name, operation), outcome in self._outcomes.items()
                if name == service
                and outcome.shard in shards
                and uuid7_seconds(operation) >= since
            )

    def _check_not_run_before(self, service, shard, operation, created_at):
        """Raise `Refused` if the operation may have run before."""
        granted_at, inherited_digests = self._grants.get(
            (service, shard), (self._wall_clock(), None)
        )
        if created_at < self._kept_since:
            raise Refused("earlier_unknown")
        if (
            inherited_digests is None
            and created_at < granted_at + MAX_CLOCK_SKEW_SECONDS
        ):
            raise Refused("earlier_unknown")
        if inherited_digests is not None:
            if (
                created_at < granted_at - MAX_CLOCK_SKEW_SECONDS
                or operation_digest(operation) in inherited_digests
            ):
                raise Refused("earlier_unknown")

    def _update(self, service, operation, state, answer=None):
        with self._lock:
            outcome = self._outcomes.get((service, operation))
            if outcome is not None:
                outcome.state, outcome.answer = state, answer

    def _drop_expired(self):
        # A dropped operation must not be taken for a new one. Ids that are older
        # than the latest dropped id are refused.
        oldest = self._wall_clock() - RETENTION_SECONDS
        self._kept_since = max(self._kept_since, oldest)
        while len(self._outcomes) > MAX_OUTCOMES:
            (_, operation), _ = self._outcomes.popitem(last=False)
            self._kept_since = max(self._kept_since, uuid7_seconds(operation))
        while self._outcomes:
            outcome_key = next(iter(self._outcomes))
            if uuid7_seconds(outcome_key[1]) >= oldest:
                return
            del self._outcomes[outcome_key]
