"""Moves of key ranges between servers that the leader has begun."""

from dataclasses import dataclass

from guavastream.fleet import runs_within, subtract_range

__all__ = ["KeyMove", "KeyMoves"]

# A move is given up if its source has not been told to release the range by then.
MOVE_TIMEOUT_SECONDS = 6.0


@dataclass(kw_only=True, slots=True)
class KeyMove:
    """A key range that is being moved between two servers.

    The source keeps the range until the move `is_active`. A move that `is_urgent` does
    not wait for its target, since the source refuses most requests. Once the source has
    been told, `source_expires_at` is the time after which it certainly no longer
    holds the range; 0 before that.
    """

    service: str
    first: int
    last: int
    source: str
    target: str
    started_at: float
    is_active: bool = False
    is_urgent: bool = False
    source_expires_at: float = 0.0

    @property
    def key_range(self):
        """First and last key."""
        return self.first, self.last

    def is_owned(self, runs):
        """Whether the source still owns any key of the range."""
        return any(
            run.owner == self.source for run in runs_within(runs, self.first, self.last)
        )


class KeyMoves:
    """The moves in progress of all services; kept by the leader only.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds, including time while suspended.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._moves = []

    def __iter__(self):
        return iter(self._moves)

    def clear(self):
        """Forget all moves."""
        self._moves = []

    def of(self, service):
        """Return the moves of a service as a list."""
        return [move for move in self._moves if move.service == service]

    def begin(self, **fields):
        """Add a move that begins now and return it; `fields` are those of `KeyMove`."""
        move = KeyMove(started_at=self._clock(), **fields)
        self._moves.append(move)
        return move

    def parts_to_keep(self, run):
        """Return the parts of an owned range that no active move takes away."""
        parts = [(run.first, run.last)]
        for move in self._moves:
            if move.source == run.owner and move.is_active:
                parts = subtract_range(parts, move.key_range)
        return parts

    def note_renewal(self, source, previous_expiry):
        """Note that an answer renews a server's hold, without what moves away.

        The answer before it was the last one to renew those ranges; the hold that it
        granted ends at `previous_expiry`.
        """
        for move in self._moves:
            if move.source == source and move.is_active and not move.source_expires_at:
                move.source_expires_at = previous_expiry

    def with_expired_source(self):
        """Return the moves whose source certainly holds nothing of the range."""
        now = self._clock()
        return [
            move
            for move in self._moves
            if move.source_expires_at and now > move.source_expires_at
        ]

    def drop_stalled(self):
        """Drop the moves whose source has not been told for too long."""
        now = self._clock()
        self._moves = [
            move
            for move in self._moves
            if move.source_expires_at or now - move.started_at <= MOVE_TIMEOUT_SECONDS
        ]

    def drop(self, service, key_ranges):
        """Drop the moves of these key ranges of a service."""
        self._moves = [
            move
            for move in self._moves
            if move.service != service or move.key_range not in key_ranges
        ]
