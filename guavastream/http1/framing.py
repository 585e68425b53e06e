"""Bounds of what a peer may send around a body, and of how small its pieces may be."""

__all__ = ["Framing", "MAX_HEAD_BYTES"]

# Longest head of a response, with the interim ones before it.
MAX_HEAD_BYTES = 256 << 10
# Bytes of chunk sizes and trailers that are allowed for each byte of the body. A body
# in chunks of one byte has five.
BYTES_PER_BODY_BYTE = 8
# Pieces of a body, and the mean size that allows for more. Each piece costs processor
# time, so a body in single bytes could keep a whole core busy.
MAX_SMALL_PIECES = 1 << 16
MIN_MEAN_PIECE_BYTES = 16


class Framing:
    """Counts the bytes of one message, so that it can't go on without end.

    Parameters
    ----------
    limits_pieces : bool
        Whether the pieces of a body may be too small, too. Those of a request may not:
        what they cost is limited by the turns of its connection.

    Examples
    --------
    >>> framing = Framing()
    >>> framing.note_received(MAX_HEAD_BYTES)
    >>> framing.is_exceeded
    False
    >>> framing.note_received(1)
    >>> framing.is_exceeded
    True
    """

    def __init__(self, *, limits_pieces=True):
        self._limits_pieces = limits_pieces
        self.reset()

    def reset(self):
        """Begin with the next message."""
        self._other_bytes = 0
        self._body_bytes = 0
        self._pieces = 0

    def note_received(self, count):
        """Count bytes that were received, of whatever part of the message."""
        self._other_bytes += count

    def note_body(self, count):
        """Count a piece of the body, among the bytes that are received."""
        self._other_bytes -= count
        self._body_bytes += count
        self._pieces += 1

    @property
    def is_exceeded(self):
        """Whether there are too many bytes beside the body, or too small pieces."""
        other_limit = MAX_HEAD_BYTES + BYTES_PER_BODY_BYTE * self._body_bytes
        if self._other_bytes > other_limit:
            return True
        piece_limit = MAX_SMALL_PIECES + self._body_bytes // MIN_MEAN_PIECE_BYTES
        return self._limits_pieces and self._pieces > piece_limit
