"""Outcomes of non-idempotent requests, for callers that resend them."""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

import xxhash

from guavastream.routing import Refused, uuid7_seconds

__all__ = ["Outcomes", "StoredAnswer", "digest_of"]

KEPT_SECONDS = 600.0
KEPT_OUTCOMES = 100_000
# Bound on the difference between the wall clocks of callers and hosts.
SKEW_SECONDS = 1.0


class _State(Enum):
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_KEPT = "not kept"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A whole answer, to be given again."""

    status: int
    reason: str
    fields: tuple
    body: bytes

    def headers(self):
        """Return the end-to-end headers as pairs."""
        return list(self.fields)

    def header(self, name):
        """Return the value of a header, or an empty string."""
        found = (v for k, v in self.fields if k.lower() == name.lower())
        return next(found, "")

    def chunks(self):
        """Yield the body."""
        yield self.body

    def finish(self, *, whole):
        """Do nothing; there is no connection behind it."""


@dataclass(kw_only=True, slots=True)
class _Outcome:
    state: _State
    shard: int
    answer: StoredAnswer | None = None


def digest_of(operation):
    """Return 63 bits that stand for an operation's id in the log."""
    return xxhash.xxh3_64_intdigest(operation.encode()) >> 1


class Outcomes:
    """What came of the operations whose shards this member owns.

    Parameters
    ----------
    wall : callable, optional
        Gives wall time in seconds.

    Notes
    -----
    A member cannot know what ran before its ownership began. An operation's
    id carries the time at which it was made, so an id from before is known
    to be possibly old. When the shard came by a planned move, the owner
    before has left the digests of its latest ids, and only those are old;
    when it came by a loss, ids are doubted until the clocks' bound is over.

    Examples
    --------
    >>> outcomes = Outcomes(wall=lambda: 1688096059.0)
    >>> outcomes.granted("s", 1, handed=())
    >>> operation = "01890a5d-ac96-774b-bcce-b302099a8057"
    >>> outcomes.begin("s", 1, operation)
    >>> outcomes.begin("s", 1, operation)
    Traceback (most recent call last):
    guavastream.routing.outcomes.Refused: still_running
    """

    def __init__(self, *, wall=time.time):
        self._wall = wall
        self._lock = threading.Lock()
        self._outcomes = OrderedDict()
        self._granted = {}
        self._floor = float("-inf")

    def granted(self, service, shard, *, handed):
        """Note that a shard was granted just now.

        Parameters
        ----------
        handed : tuple of int or None
            Digests that the owner before has left; None if it left nothing.
        """
        known = None if handed is None else frozenset(handed)
        with self._lock:
            self._granted[(service, shard)] = (self._wall(), known)

    def begin(self, service, shard, operation):
        """Note that an operation is about to run.

        Returns
        -------
        StoredAnswer or None
            Its answer, if it has run; None if it is to run now.

        Raises
        ------
        Refused
            With `still_running`, `earlier_unknown` or `answer_not_kept`.
        """
        made = uuid7_seconds(operation)
        place = (service, operation)
        with self._lock:
            self._expire()
            found = self._outcomes.get(place)
            if found is None:
                self._doubt(service, shard, operation, made)
                self._outcomes[place] = _Outcome(state=_State.RUNNING, shard=shard)
                return None
        if found.state is _State.RUNNING:
            raise Refused("still_running")
        if found.state is _State.UNKNOWN:
            raise Refused("earlier_unknown")
        if found.state is _State.NOT_KEPT:
            raise Refused("answer_not_kept")
        return found.answer

    def is_new(self, service, shard, operation):
        """Whether an operation is known not to have come here or before."""
        with self._lock:
            if (service, operation) in self._outcomes:
                return False
            try:
                self._doubt(service, shard, operation, uuid7_seconds(operation))
            except Refused:
                return False
            return True

    def not_run(self, service, operation):
        """Forget an operation that did not run; it may be tried again."""
        with self._lock:
            self._outcomes.pop((service, operation), None)

    def unknown(self, service, operation):
        """Note that nobody can say whether the operation ran."""
        self._set(service, operation, _State.UNKNOWN)

    def answered(self, service, operation, answer):
        """Keep the answer of an operation; None if it is too large."""
        state = _State.NOT_KEPT if answer is None else _State.ANSWERED
        self._set(service, operation, state, answer)

    def recent(self, service, shards):
        """Return digests of the latest ids of shards that are given up."""
        since = self._wall() - 2 * SKEW_SECONDS
        with self._lock:
            return tuple(
                digest_of(operation)
                for (name, operation), outcome in self._outcomes.items()
                if name == service
                and outcome.shard in shards
                and uuid7_seconds(operation) >= since
            )

    def _doubt(self, service, shard, operation, made):
        since, known = self._granted.get((service, shard), (self._wall(), None))
        if made < self._floor:
            raise Refused("earlier_unknown")
        if known is None and made < since + SKEW_SECONDS:
            raise Refused("earlier_unknown")
        if known is not None:
            if made < since - SKEW_SECONDS or digest_of(operation) in known:
                raise Refused("earlier_unknown")

    def _set(self, service, operation, state, answer=None):
        with self._lock:
            outcome = self._outcomes.get((service, operation))
            if outcome is not None:
                outcome.state, outcome.answer = state, answer

    def _expire(self):
        # What is dropped must not look new: ids as old as it are doubted
        # from then on.
        oldest = self._wall() - KEPT_SECONDS
        self._floor = max(self._floor, oldest)
        while len(self._outcomes) > KEPT_OUTCOMES:
            (_, operation), _ = self._outcomes.popitem(last=False)
            self._floor = max(self._floor, uuid7_seconds(operation))
        while self._outcomes:
            place = next(iter(self._outcomes))
            if uuid7_seconds(place[1]) >= oldest:
                return
            del self._outcomes[place]
