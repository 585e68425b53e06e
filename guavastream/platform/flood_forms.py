"""Forms of clients that ask for more than their share, one connection at a time."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["FLOODS", "Flood"]

KB = 1 << 10
MB = 1 << 20
# Fields of two or three bytes that fit in a head of 16 KB.
SHORT_FIELD_COUNT = 2300
# Requests that are sent ahead on one connection.
REQUESTS_AHEAD = 50_000
CONTINUE = b"Expect: 100-continue"
# Enough for any form of body that is never completed.
ENDLESS = 1 << 30


@dataclass(frozen=True, kw_only=True)
class Flood:
    """What each of many clients sends, again and again.

    Parameters
    ----------
    connections : int
        Number of clients, each with one connection at a time.
    pieces : callable
        Returns an iterable of the bytes that are sent on a connection.
    pause : float
        Seconds between two pieces.
    reads : bool
        Whether the client waits for an answer after each piece.
    read_bytes : int
        Bytes that it reads each second after it has sent everything.
    holds : bool
        Whether it then keeps the connection open; otherwise it opens a new one.
    port : str
        The address that it connects to, as in `PORTS`.
    control : bool
        Whether it plays against a control host.
    """

    connections: int
    pieces: Callable
    pause: float = 0.0
    reads: bool = False
    read_bytes: int = 0
    holds: bool = False
    port: str = "outbound"
    control: bool = False


_ids = itertools.count(1)


def _head(method, path, *fields):
    lines = [
        b"%s %s HTTP/1.1" % (method, path),
        b"Host: a.example",
        b"Request-Id: flood-%d" % next(_ids),
        b"Deadline-Ms: 8000",
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _body(path, size, *, piece, sent=None, method=b"POST"):
    """Return the pieces of a request whose body has a declared length."""
    yield _head(method, path, b"Content-Length: %d" % size)
    for _ in range((size if sent is None else sent) // piece):
        yield b"x" * piece


def _chunked(path, size, *, chunk, piece=64 * KB, method=b"POST", last=b"0\r\n\r\n"):
    """Return the pieces of a request whose body comes in chunks."""
    yield _head(method, path, b"Transfer-Encoding: chunked")
    unit = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    count = max(1, piece // len(unit))
    for _ in range(max(1, size // chunk // count)):
        yield unit * count
    yield last


def _trailers(path):
    yield _head(b"POST", path, b"Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n" * 4096 + b"0\r\n"
    while True:
        yield b"a:b\r\n" * 2048


def _extensions(path):
    """Return a body in chunks of one byte, each with a long extension."""
    yield _head(b"POST", path, b"Transfer-Encoding: chunked")
    while True:
        yield (b"1;" + b"e" * 6 + b"\r\nx\r\n") * 4096


def _dripped(data):
    for byte in data:
        yield b"%c" % byte


def _short_fields(path, *, ended, method=b"GET"):
    head = _head(method, path)[:-2]
    yield head + b"a:b\r\n" * SHORT_FIELD_COUNT + (b"\r\n" if ended else b"")


def _repeat(make):
    while True:
        yield from make()


def _ahead(path, *, method=b"GET"):
    batch = 500
    for _ in range(REQUESTS_AHEAD // batch):
        yield b"".join(_head(method, path) for _ in range(batch))


def _each(path, *fields, method=b"GET"):
    while True:
        yield _head(method, path, *fields)


def _small_routes(size):
    """Return a change of the configuration that holds very many routes."""
    route = b'"%d":{"Host":"a","PathPrefix":"/%d/","Kind":"safe","Service":"plain"},'
    routes = b"".join(route % (n, n) for n in range(size // 70))
    return b'{"Version":"00000100","Routes":{' + routes[:-1] + b'},"Services":{}}'


def _change(size):
    body = _small_routes(size)
    yield _head(
        b"PUT", b"/api/config", b"If-Match: 1", b"Content-Length: %d" % len(body)
    )
    yield body


FLOODS = {
    # Bodies of legal size
    "large bodies": Flood(
        connections=200, pieces=lambda: _body(b"/order/x", 4 * MB, piece=MB)
    ),
    "uploads": Flood(
        connections=400, pieces=lambda: _body(b"/load/x", MB, piece=64 * KB)
    ),
    "safe bodies": Flood(
        connections=200, pieces=lambda: _body(b"/look/x", 4 * MB, piece=MB)
    ),
    "largest bodies": Flood(
        connections=48, pieces=lambda: _body(b"/load/x", 32 * MB, piece=MB)
    ),
    "stalled uploads": Flood(
        connections=1200,
        pieces=lambda: _body(b"/load/x", MB, piece=64 * KB, sent=256 * KB),
        holds=True,
    ),
    "slow uploads": Flood(
        connections=600, pieces=lambda: _body(b"/load/x", MB, piece=200), pause=0.2
    ),
    "small packets": Flood(
        connections=100, pieces=lambda: _body(b"/order/x", MB, piece=16)
    ),
    # Bodies in chunks
    "tiny chunks": Flood(
        connections=60, pieces=lambda: _chunked(b"/order/x", 4 * MB, chunk=1)
    ),
    "tiny chunks, safe": Flood(
        connections=60, pieces=lambda: _chunked(b"/look/x", 4 * MB, chunk=1)
    ),
    "chunks": Flood(
        connections=200, pieces=lambda: _chunked(b"/order/x", 4 * MB, chunk=4 * KB)
    ),
    "trailers": Flood(connections=60, pieces=lambda: _trailers(b"/order/x")),
    "chunk extensions": Flood(connections=60, pieces=lambda: _extensions(b"/order/x")),
    # Bodies over the limit, or where none belongs
    "too long": Flood(
        connections=100,
        pieces=lambda: _body(b"/order/x", ENDLESS, piece=MB, sent=16 * MB),
    ),
    "too long, chunks": Flood(
        connections=100,
        pieces=lambda: _chunked(b"/order/x", 128 * MB, chunk=64 * KB),
    ),
    "bodies without a route": Flood(
        connections=200, pieces=lambda: _body(b"/none/x", 4 * MB, piece=MB)
    ),
    "bodies at readiness": Flood(
        connections=200,
        pieces=lambda: _body(b"/api/readiness", 4 * MB, piece=MB),
        port="ready",
    ),
    "bodies at counters": Flood(
        connections=200,
        pieces=lambda: _body(b"/suspects/lift", 4 * MB, piece=MB),
        port="last",
    ),
    # Heads
    "endless heads": Flood(
        connections=1500,
        pieces=lambda: _short_fields(b"/look/x", ended=False),
        holds=True,
    ),
    "short fields": Flood(
        connections=100,
        pieces=lambda: _repeat(lambda: _short_fields(b"/look/x", ended=True)),
        reads=True,
    ),
    "half request lines": Flood(
        connections=3600, pieces=lambda: [b"GET /look/x HT"], holds=True
    ),
    "dripped heads": Flood(
        connections=1200,
        pieces=lambda: _dripped(_head(b"GET", b"/look/x")),
        pause=0.2,
    ),
    "idle connections": Flood(connections=3600, pieces=lambda: [], holds=True),
    "uploads not sent": Flood(
        connections=600,
        pieces=lambda: [
            _head(b"POST", b"/load/x", b"Content-Length: 1000000", CONTINUE)
        ],
        holds=True,
    ),
    "broken off": Flood(
        connections=200, pieces=lambda: _body(b"/load/x", MB, piece=KB, sent=100 * KB)
    ),
    # Many requests, and answers that are not read
    "ahead without a route": Flood(connections=20, pieces=lambda: _ahead(b"/none/x")),
    "ahead at readiness": Flood(
        connections=20, pieces=lambda: _ahead(b"/api/readiness"), port="ready"
    ),
    "ahead at counters": Flood(
        connections=20, pieces=lambda: _ahead(b"/metrics"), port="last"
    ),
    "ahead to a route": Flood(connections=20, pieces=lambda: _ahead(b"/look/x")),
    "ahead, unsafe": Flood(
        connections=20, pieces=lambda: _ahead(b"/order/x", method=b"POST")
    ),
    "quick requests": Flood(
        connections=400, pieces=lambda: _each(b"/none/x"), reads=True
    ),
    "new connections": Flood(
        connections=200, pieces=lambda: [_head(b"GET", b"/none/x")], reads=True
    ),
    "slow readers": Flood(
        connections=300,
        pieces=lambda: [_head(b"GET", b"/look/2mb")],
        read_bytes=100,
        holds=True,
    ),
    "large answers ahead": Flood(
        connections=30, pieces=lambda: _ahead(b"/look/2mb"), read_bytes=100, holds=True
    ),
    # Other hosts' and servers' addresses
    "bodies at inbound": Flood(
        connections=100,
        pieces=lambda: _body(b"/order/x", 4 * MB, piece=MB),
        port="inbound",
    ),
    "long heads at inbound": Flood(
        connections=60,
        pieces=lambda: itertools.chain(
            [_head(b"GET", b"/x")[:-2]],
            itertools.repeat(b"a:b\r\n" * 3000, 60),
        ),
        port="inbound",
        holds=True,
    ),
    "heartbeats": Flood(
        connections=100,
        pieces=lambda: _body(
            b"/api/instances/x", MB - KB, piece=1023 * KB, method=b"PUT"
        ),
        port="control",
    ),
    "stalled heartbeats": Flood(
        connections=400,
        pieces=lambda: _body(
            b"/api/instances/x", MB, piece=64 * KB, sent=960 * KB, method=b"PUT"
        ),
        port="control",
        holds=True,
    ),
    # Control hosts
    "changes": Flood(
        connections=30,
        pieces=lambda: _body(b"/api/config", 15 * MB, piece=MB, method=b"PUT"),
        port="control",
        control=True,
    ),
    "changes of many routes": Flood(
        connections=8,
        pieces=lambda: _change(2 * MB),
        reads=True,
        port="control",
        control=True,
    ),
    "stalled changes": Flood(
        connections=200,
        pieces=lambda: _body(
            b"/api/config", 8 * MB, piece=MB, sent=7 * MB, method=b"PUT"
        ),
        port="control",
        control=True,
        holds=True,
    ),
    "reads of the configuration": Flood(
        connections=20,
        pieces=lambda: _ahead(b"/api/config"),
        port="control",
        control=True,
    ),
    "endless heads at control": Flood(
        connections=1500,
        pieces=lambda: _short_fields(b"/api/config", ended=False),
        port="control",
        control=True,
        holds=True,
    ),
}
