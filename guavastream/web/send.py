"""Hands requests to a backend server or another door over HTTP."""

import contextlib
import socket
import threading
import time

import urllib3
from urllib3.util import Timeout

from guavastream.kernel import parse_address
from guavastream.routing import Knowledge
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
    knowledge : Knowledge
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


_thread = threading.local()


class _Connection(urllib3.connection.HTTPConnection):
    """A connection that looks once more before the first byte goes out."""

    used_at = 0.0
    reused = False

    def cut(self):
        """End what goes on over the connection; safe from any thread."""
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def getresponse(self):
        # A pooled connection may have gone silent for good. Its answer is
        # waited for only so long that a new one still has time to serve.
        patience = getattr(_thread, "patience", None)
        if self.reused and patience is not None:
            self.timeout = patience
        return super().getresponse()

    def send(self, data):
        if getattr(_thread, "is_first", False):
            _thread.is_first = False
            self._begin()
        self.used_at = time.monotonic()
        super().send(data)

    def _begin(self):
        if self.sock is not None and time.monotonic() - self.used_at > MAX_IDLE_SECONDS:
            # Something between the ends may have forgotten it meanwhile; a
            # fresh connection costs a millisecond, a dead one the request.
            self.sock.close()
            self.sock = None
        self.reused = self.sock is not None
        if not self.reused:
            self.connect()
        check, _thread.check = getattr(_thread, "check", None), None
        if check is not None:
            check(self)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class Answer:
    """An answer whose body is still to be read.

    Parameters
    ----------
    response : urllib3.response.BaseHTTPResponse
        Status and headers have arrived.
    """

    def __init__(self, *, response):
        self._response = response
        self._left = response.length_remaining

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
            while True:
                data = self._response.read1(CHUNK_BYTES)
                if not data:
                    break
                if self._left is not None:
                    self._left -= len(data)
                yield data
            if self._left:
                raise AttemptFailed(Knowledge.SENT, "answer_lost")
            whole = True
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AttemptFailed(Knowledge.SENT, "answer_lost") from error
        finally:
            self.finish(whole=whole)

    def finish(self, *, whole):
        """Return the connection to the pool, or close it if in any doubt."""
        # A connection whose answer was not read to its end could hand the
        # rest of it to the next request.
        if not whole:
            self._response.close()
        self._response.release_conn()


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
        timeout = Timeout(connect=min(CONNECT_SECONDS, seconds), read=seconds)
        _thread.check, _thread.is_first = last, True
        _thread.patience = seconds * PATIENCE if may_repeat else None
        try:
            response = pool.urlopen(
                method,
                target,
                body=body,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
                chunked=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise AttemptFailed(Knowledge.NOT_SENT, "unreachable") from error
        except urllib3.exceptions.ReadTimeoutError as error:
            self._distrust(address)
            raise AttemptFailed(Knowledge.SENT, "no_answer") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AttemptFailed(Knowledge.SENT, "answer_lost") from error
        _bound_silence(response, idle)
        return Answer(response=response)

    def close(self):
        """Close every idle connection."""
        with self._lock:
            for pool in self._pools.values():
                pool.close()
            self._pools.clear()

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
                pool = self._pools.get(address)
                if pool is None:
                    host, port = parse_address(address)
                    pool = _Pool(
                        host,
                        port,
                        maxsize=self._connections,
                        block=False,
                        socket_options=SOCKET_OPTIONS,
                    )
                    self._pools[address] = pool
        return pool


def _bound_silence(response, idle):
    sock = getattr(response.connection, "sock", None)
    if sock is not None:
        sock.settimeout(idle)
