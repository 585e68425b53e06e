"""Heads, bodies and failures of HTTP/1.1 messages."""

import functools
from collections import deque

from guavastream.kernel import Signal

__all__ = [
    "HOP_BY_HOP",
    "BodyStream",
    "CutOff",
    "Headers",
    "REASONS",
    "format_head",
    "tune_socket",
]

# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@functools.cache
def _gone(dropped):
    """Return the names that never travel on, and those in `dropped`."""
    return HOP_BY_HOP | dropped


# Bytes of a body that are held before the sender is made to wait; about the
# window of one connection.
HIGH_WATER = 256 << 10

# A path that forgets a connection shows only by missing acknowledgements:
# unacknowledged data ends the connection after this time, idle ones are
# probed each second. Long enough for the resends of a lossy link.
USER_TIMEOUT_MS = 1500
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2


class CutOff(Exception):
    """A connection ended, or spoke nonsense, before a message was whole."""


class Headers(list):
    """Header fields as pairs of bytes, in their order.

    Examples
    --------
    >>> Headers([(b"Host", b"a"), (b"X", b"1")]).get(b"host")
    b'a'
    """

    # Each message is asked for a dozen names; going through its fields each
    # time took a tenth of a hop's processor time.
    _index = None
    _indexed = -1

    @property
    def index(self):
        """First value of each field by its name in lower case, a dict."""
        if self._indexed != len(self):
            self._index = {key.lower(): value for key, value in reversed(self)}
            self._indexed = len(self)
        return self._index

    def get(self, name, default=b""):
        """Return the first value of a field; `name` is in lower case."""
        if self._indexed == len(self):
            return self._index.get(name, default)
        return self.index.get(name, default)

    def end_to_end(self, dropped=frozenset()):
        """Return the fields that travel on, without those in `dropped`.

        Parameters
        ----------
        dropped : set of bytes
            Further names in lower case.
        """
        gone = _gone(dropped)
        connection = self.get(b"connection")
        if connection:
            gone |= {part.strip().lower() for part in connection.split(b",")}
        return Headers([field for field in self if field[0].lower() not in gone])


class BodyStream:
    """Pieces of a body as they arrive, with back-pressure on the sender.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    pause, resume : callable
        Stop and restart reading from the connection.
    """

    def __init__(self, *, loop, pause, resume):
        self._pause = pause
        self._resume = resume
        self._pieces = deque()
        self._held = 0
        self._paused = False
        self._ended = False
        self._error = None
        self._arrived = Signal(loop=loop)

    @property
    def ended(self):
        """Whether the last piece has arrived."""
        return self._ended

    def feed(self, data):
        """Take a piece from the connection."""
        self._pieces.append(data)
        self._held += len(data)
        if self._held > HIGH_WATER and not self._paused:
            self._paused = True
            self._pause()
        self._arrived.set()

    def feed_end(self):
        """Note that the body is whole, unless a part of it was lost."""
        if self._error is None:
            self._ended = True
            self._arrived.set()

    def fail(self, error):
        """Note that the body will never be whole."""
        if not self._ended and self._error is None:
            self._error = error
            self._arrived.set()

    async def read(self):
        """Return the next piece, or empty bytes after the last.

        Raises
        ------
        CutOff
            If the connection ended before the body was whole.
        """
        while not self._pieces:
            if self._ended:
                return b""
            if self._error is not None:
                raise self._error
            self._arrived.clear()
            await self._arrived.wait()
        data = self._pieces.popleft()
        self._held -= len(data)
        if self._paused and self._held <= HIGH_WATER // 2:
            self._paused = False
            self._resume()
        return data

    async def read_up_to(self, limit):
        """Return the pieces read so far, as bytes, and whether that is all."""
        parts, size = [], 0
        while size <= limit:
            piece = await self.read()
            if not piece:
                return b"".join(parts), True
            parts.append(piece)
            size += len(piece)
        return b"".join(parts), False


def format_head(first_line, headers):
    """Return the bytes of a head.

    Examples
    --------
    >>> format_head(b"GET / HTTP/1.1", [(b"Host", b"a")])
    b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n'
    """
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def tune_socket(transport):
    """Send at once, and notice a path that has gone silent."""
    import socket

    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError:
            # Not every kind of socket knows every option; the others count.
            continue
