"""Hands requests to a backend server or another door over HTTP."""

import contextlib
import http.client
import select
import socket
import threading
import time

from guavastream.kernel import parse_address
from guavastream.routing import AttemptState
from guavastream.web.serve import CHUNK_BYTES

__all__ = ["Answer", "AttemptFailed", "BodyFailed", "HttpSender"]

CONNECT_SECONDS = 0.5
MAX_IDLE_SECONDS = 2.0
PATIENCE = 1 / 3
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
# A path that forgets a connection drops its packets without a word. Unsent
# data gives up after USER_TIMEOUT_MS; idle connections are probed meanwhile.
USER_TIMEOUT_MS = 2000
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


class AttemptFailed(Exception):
    """An attempt brought no answer.

    Parameters
    ----------
    knowledge : AttemptState
        How far it is known to have come.
    code : str
        Refusal for the caller if it was the last attempt.
    """

    def __init__(self, knowledge, code):
        self.knowledge = knowledge
        self.code = code
        super().__init__(code)


class BodyFailed(Exception):
    """The caller's side of a request body broke, not the server's."""


class _Connection(http.client.HTTPConnection):
    """A connection that sends one request after the other.

    It is of the standard library, the layer under urllib3. On top of it
    urllib3's pool, retries and response took a third of the time of a short
    request, and 8 of the 32 MB that a process may have, to decide what is
    decided here.
    """

    used_at = 0.0

    def __init__(self, host, port):
        super().__init__(host, port)
        self._use = 0
        self._lock = threading.Lock()

    def make_cutter(self):
        """Return what ends the present use of the connection, from any thread.

        Once the answer has been read it does nothing: the connection may
        carry another caller's request by then, and cutting that one because
        the first caller has left would be the worst of errors.
        """
        use = self._use

        def cut():
            with self._lock:
                if self._use != use or self.sock is None:
                    return
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

        return cut

    def end_use(self):
        """Note that the present request is over."""
        with self._lock:
            self._use += 1

    def prepare(self, seconds):
        """Connect, unless a fresh enough connection stands; return if it did.

        Raises
        ------
        OSError
            If no connection could be made.
        """
        if self.sock is not None:
            is_fresh = time.monotonic() - self.used_at < MAX_IDLE_SECONDS
            if is_fresh and not _is_readable(self.sock):
                return True
            # The other end has closed it, or something between the ends may
            # have forgotten it: a fresh connection costs a millisecond, a
            # dead one the request.
            self.close()
        self.sock = socket.create_connection(
            (self.host, self.port), min(CONNECT_SECONDS, seconds)
        )
        for option in SOCKET_OPTIONS:
            self.sock.setsockopt(*option)
        return False

    def transmit(self, method, target, headers, body, seconds):
        """Send a request; a body that is an iterable is streamed."""
        self.used_at = time.monotonic()
        self.sock.settimeout(seconds)
        names = {name.lower() for name in headers}
        self.putrequest(
            method, target, skip_host="host" in names, skip_accept_encoding=True
        )
        for name, value in headers.items():
            self.putheader(name, value)
        chunked = "transfer-encoding" in names
        if isinstance(body, bytes):
            if "content-length" not in names:
                self.putheader("Content-Length", str(len(body)))
            body = (body,)
        self.endheaders(body, encode_chunked=chunked)

    def receive(self, seconds):
        """Return the head of the answer, as `http.client` reads it."""
        self.sock.settimeout(seconds)
        return self.getresponse()


def _is_readable(sock):
    """Whether an idle connection was closed by the other end, or is odd."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


class _Pool:
    """Idle connections to one address, the last used first.

    Parameters
    ----------
    address : str
        IP:PORT.
    limit : int
        Connections kept.
    """

    def __init__(self, *, address, limit):
        self._host, self._port = parse_address(address)
        self._limit = limit
        self._idle = []
        self._lock = threading.Lock()
        self._closed = False

    def take(self):
        """Return an idle connection, or a new one that is yet to connect."""
        with self._lock:
            if self._idle:
                return self._idle.pop()
        return _Connection(self._host, self._port)

    def give_back(self, connection):
        """Keep a connection whose last answer was read to its end."""
        with self._lock:
            keep = len(self._idle) < self._limit and not self._closed
            if keep and connection.sock is not None:
                self._idle.append(connection)
                return
        connection.close()

    def close(self):
        """Close the idle connections and keep no more."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()


class Answer:
    """An answer whose body is still to be read.

    Parameters
    ----------
    response : http.client.HTTPResponse
        Status and headers have arrived.
    connection : _Connection
        Where the body comes from.
    pool : _Pool
        Where the connection goes afterwards.
    """

    def __init__(self, *, response, connection, pool):
        self._response = response
        self._connection = connection
        self._pool = pool
        self._left = response.length

    @property
    def status(self):
        """HTTP status."""
        return self._response.status

    @property
    def reason(self):
        """Reason phrase."""
        return self._response.reason or ""

    def header(self, name):
        """Return the value of a header, or an empty string."""
        return self._response.headers.get(name, "")

    def headers(self):
        """Return the end-to-end headers as pairs."""
        named = {part.strip().lower() for part in self.header("Connection").split(",")}
        return [
            (name, value)
            for name, value in self._response.headers.items()
            if name.lower() not in HOP_BY_HOP and name.lower() not in named
        ]

    def chunks(self):
        """Yield the body as it comes.

        Raises
        ------
        AttemptFailed
            If it was cut or fell silent; the connection is then closed.
        """
        whole = False
        try:
            while data := self._response.read1(CHUNK_BYTES):
                if self._left is not None:
                    self._left -= len(data)
                yield data
            if self._left:
                raise AttemptFailed(AttemptState.SENT, "answer_lost")
            whole = True
        except (http.client.HTTPException, OSError) as error:
            raise AttemptFailed(AttemptState.SENT, "answer_lost") from error
        finally:
            self.finish(whole=whole)

    def finish(self, *, whole):
        """Return the connection to the pool, or close it if in any doubt."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        self._response.close()
        connection.end_use()
        # A connection whose answer was not read to its end could hand the
        # rest of it to the next request.
        if whole:
            self._pool.give_back(connection)
        else:
            connection.close()


class HttpSender:
    """Sends requests over pooled connections, each answer streamed.

    Parameters
    ----------
    connections : int
        Connections kept for each address.
    """

    def __init__(self, *, connections=120):
        self._connections = connections
        self._pools = {}
        self._lock = threading.Lock()

    def send(
        self,
        address,
        method,
        target,
        headers,
        body,
        *,
        seconds,
        idle,
        last=None,
        may_repeat=False,
    ):
        """Send one request and return its `Answer`.

        Parameters
        ----------
        address : str
            IP:PORT.
        body : bytes or iterable of bytes or None
            Request body; an iterable is streamed.
        seconds : float
            Time for the head of the answer to come.
        idle : float
            Longest silence within the answer's body, seconds.
        last : callable, optional
            Called with the connection when it stands, right before the first
            byte goes out; what it raises ends the attempt as not sent.
        may_repeat : bool
            Whether another attempt may follow. A silent pooled connection is
            then given up after a third of the time.

        Raises
        ------
        AttemptFailed
            With what is known of the attempt.
        """
        pool = self._pool(address)
        connection = pool.take()
        try:
            reused = self._connect(connection, seconds)
            if last is not None:
                last(connection)
            # A pooled connection may have gone silent for good. Its answer
            # is waited for only so long that a new one has time to serve.
            patience = seconds * PATIENCE if reused and may_repeat else seconds
            response = self._exchange(
                connection, method, target, headers, body, seconds, patience
            )
        except BaseException as error:
            connection.close()
            if getattr(error, "code", "") == "no_answer":
                self._distrust(address)
            raise
        if connection.sock is not None:
            connection.sock.settimeout(idle)
        return Answer(response=response, connection=connection, pool=pool)

    def close(self):
        """Close every idle connection."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

    def _connect(self, connection, seconds):
        try:
            return connection.prepare(seconds)
        except OSError as error:
            raise AttemptFailed(AttemptState.NOT_SENT, "unreachable") from error

    def _exchange(self, connection, method, target, headers, body, seconds, patience):
        try:
            try:
                connection.transmit(method, target, headers, body, seconds)
            except (BrokenPipeError, ConnectionResetError):
                # An early answer may stand behind a refused upload.
                pass
            return connection.receive(patience)
        except TimeoutError as error:
            raise AttemptFailed(AttemptState.SENT, "no_answer") from error
        except (http.client.HTTPException, OSError) as error:
            raise AttemptFailed(AttemptState.SENT, "answer_lost") from error

    def _distrust(self, address):
        """Keep no idle connection to an address that has not answered.

        What made one of them silent has probably made the others so.
        """
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = self._pools.setdefault(
                    address, _Pool(address=address, limit=self._connections)
                )
        return pool
