"""The rest of a request's body that is sent on while it is received."""

from guavastream.http1.message import IncompleteMessage

__all__ = ["BodyLost", "BodyRest"]


class BodyLost(IncompleteMessage):
    """The body of a request that is sent on ended early, or part of it was sent."""


class BodyRest:
    """The part of a body that is not kept: it can be read only once.

    Parameters
    ----------
    stream : BodyStream
        Where it comes from.
    length : int or None
        Its length in bytes; None if its sender has not declared it.
    """

    def __init__(self, *, stream, length):
        self._stream = stream
        self._length = length
        self._read_bytes = 0

    @property
    def length(self):
        """Length in bytes, None if it is unknown."""
        return self._length

    @property
    def is_untouched(self):
        """Whether none of it has been read, so that all of it can still be sent."""
        return not self._read_bytes

    @property
    def read_bytes(self):
        """Number of bytes that have been read."""
        return self._read_bytes

    async def prepare(self):
        """Wait until it may be received; nothing is read."""

    def end(self):
        """Give up what `prepare` has waited for."""

    async def read(self):
        """Return the next piece, or empty bytes at the end.

        Raises
        ------
        BodyLost
            If its sender has broken it off.
        """
        try:
            piece = await self._stream.read()
        except IncompleteMessage as cut:
            raise BodyLost(str(cut)) from cut
        self._read_bytes += len(piece)
        if not piece and self._length not in (None, self._read_bytes):
            raise BodyLost("the body is shorter than declared")
        return piece
