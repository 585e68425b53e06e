"""A request body that streams, and can be sent again while it is small."""

from guavastream.web.send import BodyFailed
from guavastream.web.serve import CHUNK_BYTES

__all__ = ["Body"]


class Body:
    """Body of one exchange, for one or more attempts.

    Up to 64 KiB are kept, so that an attempt that was not run may be followed
    by another. A longer body streams through and can be sent once, unless no
    attempt has read past the part that is kept.

    Parameters
    ----------
    exchange : Exchange
        The request.
    idle : float
        Longest silence of the caller within the body, seconds. A slow body
        that goes on is never too slow.
    """

    def __init__(self, *, exchange, idle):
        self._exchange = exchange
        self._idle = idle
        self._length = exchange.length
        self._head = None
        self._whole = self._length == 0
        self._streamed = False

    @property
    def replayable(self):
        """Whether another attempt can send the whole body."""
        return not self._streamed

    @property
    def headers(self):
        """Framing headers for the next hop, a list of pairs."""
        self._fill()
        if self._whole:
            length = len(self._head)
            needed = length or self._exchange.method in ("POST", "PUT", "PATCH")
            return [("Content-Length", str(length))] if needed else []
        if self._length is None:
            return [("Transfer-Encoding", "chunked")]
        return [("Content-Length", str(self._length))]

    def content(self):
        """Return the body as bytes, an iterable of bytes, or None.

        Raises
        ------
        BodyFailed
            If the caller's side breaks; an iterable raises it later.
        """
        self._fill()
        if self._whole:
            return self._head or None
        return self._stream()

    def _fill(self):
        if self._head is not None:
            return
        if self._whole:
            self._head = b""
            return
        parts, size = [], 0
        while size < CHUNK_BYTES:
            data = self._read(CHUNK_BYTES - size)
            if not data:
                self._whole = True
                break
            parts.append(data)
            size += len(data)
            if self._length is not None and size == self._length:
                self._whole = True
                break
        self._head = b"".join(parts)

    def _stream(self):
        yield self._head
        self._streamed = True
        while True:
            data = self._read(CHUNK_BYTES)
            if not data:
                return
            yield data

    def _read(self, size):
        try:
            with self._exchange.silence_bound(self._idle):
                data = self._exchange.read(size)
        except (OSError, ValueError) as error:
            raise BodyFailed(str(error)) from error
        # cheroot ends a body early without an error when the caller is gone;
        # passing that on as whole would cut an upload invisibly.
        if not data and self._length and self._exchange.consumed < self._length:
            raise BodyFailed("the caller went away")
        return data
