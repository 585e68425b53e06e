"""HTTP serving by cheroot: one exchange for each request, bodies streamed."""

import contextlib
import functools
import os
import threading
from urllib.parse import parse_qs, unquote

import msgspec
from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from guavastream.kernel import drop_new_connections, parse_address, part_logger
from guavastream.web.headers import StrictConnection
from guavastream.web.watch import CallerWatch

__all__ = ["CHUNK_BYTES", "Exchange", "HttpServer"]

CHUNK_BYTES = 65536
MAX_HEADER_BYTES = 32768
SOCKET_TIMEOUT_SECONDS = 10
FIRST_THREADS = 8
THREAD_STACK_BYTES = 512 * 1024

STATUS_TEXT = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

log = part_logger("http")


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    req : cheroot.server.HTTPRequest
        The request, its headers read and its body not.
    closing : bool
        Whether the connection is to be closed after the answer.
    watch : CallerWatch, optional
        Notices when the caller goes away.
    """

    def __init__(self, *, req, closing=False, watch=None):
        self._req = req
        self._watch = watch
        self._gone = False
        self._closing = closing
        if closing:
            req.close_connection = True
        self._rfile = req.rfile
        uri = req.uri.decode("latin-1")
        self._path, _, self._query = uri.partition("?")
        self._consumed = 0

    @property
    def method(self):
        """Request method, upper case."""
        return self._req.method.decode("latin-1")

    @property
    def target(self):
        """Path and query as they were sent."""
        return self._req.uri.decode("latin-1")

    @property
    def path(self):
        """Path without query, not decoded."""
        return self._path

    @functools.cached_property
    def segments(self):
        """Decoded segments of the path."""
        return [unquote(part) for part in self._path.split("/")[1:]]

    @property
    def gone(self):
        """Whether the caller was seen to go away."""
        return self._gone

    def tie(self, connection):
        """Cut a connection that works for this request if its caller goes."""
        if self._watch is None:
            return

        end = connection.make_cutter()

        def cut():
            self._gone = True
            end()

        self._watch.watch(self._req.conn.socket, cut)

    @property
    def closing(self):
        """Whether the server takes no more requests on this connection."""
        return self._closing

    @property
    def started(self):
        """Whether any byte of the answer was sent."""
        return self._req.sent_headers

    @property
    def length(self):
        """Declared length of the body in bytes; None if it is chunked."""
        if self._req.chunked_read:
            return None
        return int(self._req.inheaders.get(b"Content-Length", 0))

    @property
    def consumed(self):
        """Bytes of the body that were read."""
        return self._consumed

    @property
    def peer(self):
        """IP number of the caller."""
        return self._req.conn.remote_addr or ""

    def query(self, name):
        """Return the first value of a query parameter, or an empty string."""
        return parse_qs(self._query).get(name, [""])[0]

    def header(self, name):
        """Return the value of a header, or an empty string."""
        return self._req.inheaders.get(name.title().encode(), b"").decode("latin-1")

    def headers(self):
        """Return all headers of the request as pairs of str."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._req.inheaders.items()
        ]

    @contextlib.contextmanager
    def silence_bound(self, seconds):
        """Bound how long one read may wait for the caller."""
        sock = self._req.conn.socket
        usual = sock.gettimeout()
        sock.settimeout(seconds)
        try:
            yield
        finally:
            sock.settimeout(usual)

    def read(self, size=CHUNK_BYTES):
        """Read up to `size` bytes of the body; empty at its end.

        Raises
        ------
        OSError
            If the caller went away or was silent too long.
        ValueError
            If the body's framing is broken.
        """
        data = self._rfile.read(size)
        self._consumed += len(data)
        return data

    def read_all(self, limit):
        """Read the whole body, or raise ValueError if it is over `limit`."""
        parts, total = [], 0
        while True:
            part = self.read()
            if not part:
                return b"".join(parts)
            total += len(part)
            if total > limit:
                raise ValueError(f"the body is over {limit} bytes")
            parts.append(part)

    def start(self, status, headers, reason=""):
        """Send status line and headers, a list of pairs of str."""
        req = self._req
        # An early answer leaves a body half read. cheroot would read all of
        # it into memory before the headers go out; closing is the protocol's
        # other way.
        if self._is_body_left():
            req.close_connection = True
        text = reason or STATUS_TEXT.get(status, "Unknown")
        req.status = f"{status} {text}".encode("latin-1")
        req.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        req.ensure_headers_sent()

    def write(self, data):
        """Send part of the answer's body; blocks while the caller is slow."""
        if data:
            self._req.write(data)

    def respond(self, status, item, headers=()):
        """Answer with JSON, a typed object or plain values."""
        body = msgspec.json.encode(item) + b"\n"
        fields = [("Content-Type", "application/json")]
        fields += [("Content-Length", str(len(body))), *headers]
        self.start(status, fields)
        if self.method != "HEAD":
            self.write(body)

    def abort(self):
        """Cut the connection, so that a begun answer is visibly cut."""
        self._req.close_connection = True
        raise ConnectionAbortedError("the answer was cut")

    def close_after(self):
        """Close the connection once this answer is sent."""
        self._req.close_connection = True

    def json(self, cls, limit=1 << 20):
        """Read the body as JSON of a type.

        Raises
        ------
        ValueError
            If it does not fit.
        """
        return msgspec.json.decode(self.read_all(limit), type=cls)

    def _is_body_left(self):
        length = self.length
        return length is None or self._consumed < length


class _GrowingPool(threadpool.ThreadPool):
    """A pool that adds workers while none is idle, up to its bound.

    A long upload or stream holds its worker to the end; without growth eight
    sessions would stop the door for everybody.
    """

    def put(self, obj):
        # `grow` would sleep until the worker runs, on the thread that accepts
        # connections.
        if self.idle <= self.qsize and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())
        super().put(obj)


class HttpServer:
    """Serves requests on one address; a worker thread for each in progress.

    Parameters
    ----------
    address : str
        IP:PORT to bind; port 0 lets the system choose.
    handler : callable
        Takes an `Exchange`; runs in a worker thread.
    threads : int
        Most requests in progress.
    max_body : int
        Bound of a request body in bytes; 0 for none.
    tick : float
        Seconds between looks at idle connections, and at the end.
    watches : bool
        Whether to look out for callers that go away.
    """

    def __init__(
        self, *, address, handler, threads=64, max_body=0, tick=0.5, watches=False
    ):
        self._watch = CallerWatch() if watches else None
        server = cheroot_server.HTTPServer(
            parse_address(address), self._make_gateway(handler)
        )
        server.requests = _GrowingPool(
            server, min=min(FIRST_THREADS, threads), max=threads
        )
        server.timeout = SOCKET_TIMEOUT_SECONDS
        server.request_queue_size = 512
        server.keep_alive_conn_limit = 4096
        server.max_request_header_size = MAX_HEADER_BYTES
        server.max_request_body_size = max_body
        server.expiration_interval = tick
        server.error_log = self._log_error
        server.ConnectionClass = StrictConnection
        self._server = server
        self._thread = None
        self._active = 0
        self._lock = threading.Lock()
        self._draining = False
        self._listener = None

    @property
    def address(self):
        """IP:PORT that is bound."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self):
        """Bind and serve in threads.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        threading.stack_size(THREAD_STACK_BYTES)
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    @property
    def active(self):
        """Requests in progress."""
        return self._active

    def drain(self):
        """Ask each caller, with its next answer, to connect elsewhere."""
        self._draining = True

    def hold_new(self):
        """Let nobody begin to connect; who is connecting is still served.

        Closing a listening socket cuts the connections that the kernel has
        already accepted for it, and their callers, who may have sent a whole
        request, cannot know that nothing was read. With new ones held off
        for a moment none is left to be cut; theirs is a plain refusal.
        """
        drop_new_connections(self._server.socket)

    def refuse_new(self):
        """Close the listening socket; open connections go on."""
        # The number of the descriptor stays taken: cheroot's selector still
        # knows it, and must not meet it again as another connection.
        self._listener, self._server.socket = self._server.socket, None
        null = os.open(os.devnull, os.O_RDONLY)
        os.dup2(null, self._listener.fileno())
        os.close(null)

    def stop(self):
        """Close all connections and wait for the workers."""
        self._server.stop()
        self._thread.join(timeout=5)

    def _make_gateway(self, handler):
        outer = self

        class _Gateway(cheroot_server.Gateway):
            def respond(self):
                with outer._lock:
                    outer._active += 1
                try:
                    exchange = Exchange(
                        req=self.req, closing=outer._draining, watch=outer._watch
                    )
                    handler(exchange)
                finally:
                    if outer._watch is not None:
                        outer._watch.forget(self.req.conn.socket)
                    with outer._lock:
                        outer._active -= 1

        return _Gateway

    def _log_error(self, msg="", level=20, traceback=False):
        log.debug("%s", msg.strip(), exc_info=traceback)
