"""Header fields, streamed bodies and errors of HTTP/1.1 messages."""

import functools
from collections import deque

from guavastream.http1.memory import FREE_BYTES, BudgetSpent
from guavastream.kernel import Signal

__all__ = [
    "HOP_BY_HOP",
    "BodyStream",
    "IncompleteMessage",
    "Headers",
    "REASONS",
    "format_head",
    "tune_socket",
]

# Header fields that apply to a single connection and are not forwarded
# (RFC 9110, 7.6.1).
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
def _excluded_names(dropped):
    """Return the hop-by-hop field names and those in `dropped`."""
    return HOP_BY_HOP | dropped


# Buffered body bytes above which reading from the sender pauses.
BUFFER_HIGH_WATER_BYTES = 64 << 10
# A piece of a body that is shorter is joined with the next: each has a cost in memory
# that a body in single bytes would multiply.
MIN_PIECE_BYTES = 4 << 10
# What a body costs that is kept, for each of its bytes: it is there once more while its
# pieces are joined, and again while it is written to a peer that reads slowly.
KEPT_BODY_FACTOR = 2

# If a network device drops the state of a connection, the only sign is missing
# acknowledgements. A connection is closed when data stays unacknowledged for
# USER_TIMEOUT_MS, which is long enough for retransmissions on a lossy link. Idle
# connections are probed every second.
USER_TIMEOUT_MS = 1500
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2


class IncompleteMessage(Exception):
    """The connection ended, or its data was invalid, before a message was complete."""


class Headers(list):
    """Header fields as pairs of name and value in bytes, in the order received.

    Examples
    --------
    >>> Headers([(b"Host", b"a"), (b"X", b"1")]).get(b"host")
    b'a'
    """

    # A dozen fields are looked up per message. Scanning the list for each lookup
    # took a tenth of the CPU time of a hop, so lookups use a cached dict.
    _first_values = None
    _index_length = -1

    @property
    def first_values(self):
        """Dict of each lowercase field name to the first value of that field."""
        if self._index_length != len(self):
            self._first_values = {key.lower(): value for key, value in reversed(self)}
            self._index_length = len(self)
        return self._first_values

    def get(self, name, default=b""):
        """Return the first value of a field; `name` must be in lower case."""
        if self._index_length == len(self):
            return self._first_values.get(name, default)
        return self.first_values.get(name, default)

    def end_to_end(self, dropped=frozenset()):
        """Return the end-to-end fields, without those in `dropped`.

        Parameters
        ----------
        dropped : set of bytes
            Additional field names to leave out, in lower case.
        """
        excluded = _excluded_names(dropped)
        connection = self.get(b"connection")
        if connection:
            excluded |= {part.strip().lower() for part in connection.split(b",")}
        return Headers([field for field in self if field[0].lower() not in excluded])


class BodyStream:
    """A body that is read while it arrives, with back-pressure on the sender.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    pause, resume : callable
        Pause and resume reading from the connection.
    length : int
        Declared length in bytes, -1 if it is unknown.
    memory : RequestMemory, optional
        Charged for what is buffered or kept; None if its sender is trusted.

    Attributes
    ----------
    ask : callable or None
        Called before the first read: asks a sender that waits for that.
    """

    def __init__(
        self,
        *,
        loop,
        pause,
        resume,
        length=-1,
        memory=None,
    ):
        self.ask = None
        self._length = length
        self._memory = memory
        self._buffer_charged = False
        self._collecting = self._waiting = False
        self._pause = pause
        self._resume = resume
        self._pieces = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._ended = False
        self._error = None
        self._progress = Signal(loop=loop)

    @property
    def ended(self):
        """Whether the complete body has been received."""
        return self._ended

    @property
    def full(self):
        """Whether no more of the body may be read from the connection for now."""
        return self._paused and not self._ended

    @property
    def collecting(self):
        """Whether it is received to be kept, so that nothing was sent on yet."""
        return self._collecting

    @property
    def waiting(self):
        """Whether it waits for memory."""
        return self._waiting

    def feed(self, data):
        """Buffer data received from the connection, and pause reading if needed."""
        pieces = self._pieces
        if pieces and len(pieces[-1]) < MIN_PIECE_BYTES:
            pieces[-1] += data
        else:
            pieces.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > BUFFER_HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._pause()
        if (
            self._buffered_bytes > FREE_BYTES
            and self._memory is not None
            and not self._buffer_charged
        ):
            self._buffer_charged = True
            # Reading pauses only after the read that exceeds the limit.
            self._memory.charge(2 * BUFFER_HIGH_WATER_BYTES)
        self._progress.set()

    def feed_end(self):
        """Mark the body as complete, unless it has failed already."""
        if self._error is None:
            self._ended = True
            self._progress.set()

    def fail(self, error):
        """Mark the body as incomplete: `read` raises `error` after buffered data."""
        if not self._ended and self._error is None:
            self._error = error
            self._progress.set()

    def refuse(self):
        """Drop what is buffered; a request that is being collected is refused."""
        self._pieces.clear()
        self._buffered_bytes = 0
        self._ended = False
        self._error = BudgetSpent()
        self._progress.set()

    async def read(self):
        """Return the next piece of the body, or empty bytes at its end.

        Raises
        ------
        IncompleteMessage
            If the connection ended before the body was complete.
        """
        if self.ask is not None:
            ask, self.ask = self.ask, None
            ask()
        while not self._pieces:
            if self._ended:
                return b""
            if self._error is not None:
                raise self._error
            self._progress.clear()
            await self._progress.wait()
        data = self._pieces.popleft()
        self._buffered_bytes -= len(data)
        if self._paused and self._buffered_bytes <= BUFFER_HIGH_WATER_BYTES // 2:
            self._paused = False
            self._resume()
        return data

    async def read_up_to(self, limit, *, factor=KEPT_BODY_FACTOR):
        """Return the data read and whether it is the complete body.

        Reading stops at the end of the body or once more than `limit` bytes were
        read.

        Parameters
        ----------
        limit : int
            Bytes after which it stops.
        factor : float
            Bytes of memory that each byte takes until the request is answered.

        Raises
        ------
        BudgetSpent
            If there is no memory for it.
        IncompleteMessage
            If the connection ended before.
        """
        self._collecting = True
        try:
            return await self._collect(limit, factor)
        finally:
            self._collecting = False

    async def _collect(self, limit, factor):
        parts, size, reserved = [], 0, self._memory is None
        while size <= limit:
            expected = max(self._length, size + self._buffered_bytes)
            if not reserved and expected > FREE_BYTES:
                reserved = True
                await self._reserve(limit, factor)
            piece = await self.read()
            if not piece:
                return b"".join(parts), True
            parts.append(piece)
            size += len(piece)
        return b"".join(parts), False

    async def _reserve(self, limit, factor):
        """Charge a body that is kept, once there is memory for it."""
        if self._ended:
            self._memory.charge(int(factor * min(limit, self._buffered_bytes)))
            return
        expected = limit if self._length < 0 else min(limit, self._length)
        self._waiting = True
        try:
            await self._memory.reserve(int(factor * expected))
        finally:
            self._waiting = False


def format_head(first_line, headers):
    """Return the encoded start line and header fields, with the final empty line.

    Examples
    --------
    >>> format_head(b"GET / HTTP/1.1", [(b"Host", b"a")])
    b'GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n'
    """
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def tune_socket(transport, *, receive_bytes=0):
    """Disable Nagle's algorithm and detect connections whose peer is unreachable.

    With `receive_bytes`, the kernel's receive buffer gets that size; otherwise it grows
    to megabytes for a connection that is read quickly.
    """
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
    if receive_bytes:
        options += ((socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes),)
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError:
            # Some socket types lack some of these options; the others still apply.
            continue
