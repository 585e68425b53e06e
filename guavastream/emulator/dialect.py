"""A small backend server that speaks a dialect, for tests in one loop."""

import asyncio
import hashlib
from collections import deque

from guavastream.http1 import Server

__all__ = ["DialectServer", "summarize_body"]

# Largest body that a server keeps as it is if it does not keep all bodies.
MAX_KEPT_BODY_BYTES = 64 << 10


def summarize_body(body):
    """Return a short body, or the length and the digest of a long one, as bytes.

    Examples
    --------
    >>> summarize_body(b"abc")
    b'abc'
    >>> summarize_body(bytes(100_000))[:13]
    b'100000 bytes,'
    """
    if len(body) <= MAX_KEPT_BODY_BYTES:
        return body
    digest = hashlib.sha256(body).hexdigest()
    return f"{len(body)} bytes, sha256 {digest}".encode()


class DialectServer:
    """Runs requests for a while and seals its answers.

    Parameters
    ----------
    id : str
        This life of the server.
    dialect : Dialect
        Header names.
    address : tuple
        IP number and port.
    slots : int
        Requests that run at a time; more are refused as not run.
    seconds : float
        Time that a request takes.

    Attributes
    ----------
    ran : list of tuple
        Id, method, target, body and caller of each request that ran.
    cut : list of bytes
        Ids of those whose caller left while they ran.
    calls : dict of bytes to callable
        Coroutine functions of body and responder that answer other paths.
    on_run : callable
        Told the entry of `ran` and the key, or None, when a request begins.
    behave : callable
        Coroutine function of request and responder that may answer in place
        of the server after the work is done; returns whether it did.
    cold_until : float
        Loop time until which the server is cold; its work then takes twice as long.
    most_while_cold : int
        Largest number of requests that it got within a second while it was cold.
    rate_limit : float, bytes or None
        Requests per second that its answers say it takes, or the text in its place;
        None if they name no limit.
    leaving : bool
        Whether its answers say that it is about to stop.
    on_arrival : callable
        Called with the id of each request that it gets and does not misdirect.
    reports_name : bool
        Whether it names itself when its health is checked.
    hangs_when_full : bool
        Whether it never responds to a request for which it has no free slot, health
        checks included, nor to anything later on that connection.
    drops : callable
        Whether it never responds to the request with this id, nor to anything later on
        that connection. Such a request does not run.
    hung : list of bytes
        Ids of the requests to which it never responds.
    finishes_cut : bool
        Whether a request runs on, and occupies its slot, after its caller has left.
    repeats : RepeatedAnswers or None
        Answers of any kind that come twice.
    keeps_bodies : bool
        Whether `ran` has all bodies as they are, or long ones as `summarize_body`
        returns them.
    """

    def __init__(self, *, id, dialect, address, slots=8, seconds=0.1):
        self.id = id
        self.slots = slots
        self.seconds = seconds
        self.holds = lambda key: True
        self.ran = []
        self.cut = []
        self.sheds = False
        self.behave = None
        self.calls = {}
        self.on_run = lambda request, key: None
        self.cold_until = 0.0
        self.most_while_cold = 0
        self.rate_limit = None
        self.leaving = False
        self.on_arrival = lambda id: None
        self.reports_name = True
        self.hangs_when_full = False
        self.drops = lambda id: False
        self.hung = []
        self.finishes_cut = False
        self.repeats = None
        self.keeps_bodies = True
        self._arrivals = deque()
        self.running = 0
        # Keys of the requests that run, as often as each runs.
        self.running_keys = []
        self._dialect = dialect
        self._server = Server(address=address, handler=self._handle)

    @property
    def address(self):
        """IP:PORT of the server."""
        return self._server.address

    @property
    def _is_full(self):
        return self.running >= self.slots

    @property
    def cold_seconds(self):
        """Time for which the server stays cold."""
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    def _note_arrival(self):
        now = asyncio.get_running_loop().time()
        self._arrivals.append(now)
        while self._arrivals[0] < now - 1.0:
            self._arrivals.popleft()
        if self.cold_seconds:
            self.most_while_cold = max(self.most_while_cold, len(self._arrivals))

    def _statement(self):
        """Return the headers in which an answer says something of the server."""
        names, fields = self._dialect, []
        if self.rate_limit is not None:
            fields.append((names.rate_limit, self._rate_limit_text()))
        if self.leaving:
            fields.append((names.leaving, b"1"))
        return fields

    def _rate_limit_text(self):
        is_text = isinstance(self.rate_limit, bytes)
        return self.rate_limit if is_text else b"%.1f" % self.rate_limit

    def echo(self, request):
        """Return the header in which an answer names its request."""
        name = self._dialect.request_id
        return [(name, request.headers.get(name.lower()))]

    async def start(self):
        """Begin to serve."""
        await self._server.start()

    def stop_listening(self):
        """Take no new connections; those that are open go on."""
        self._server.stop_listening()

    async def stop(self):
        """End, as a crash does."""
        await self._server.stop()

    async def _hang(self, id):
        """Never return: requests of a connection are handled one after the other."""
        self.hung.append(id)
        await asyncio.get_running_loop().create_future()

    def _end_run(self, number):
        self.running -= 1
        self.running_keys.remove(number)

    async def _handle(self, request, responder):
        if self.repeats is not None:
            responder = await self.repeats.wrap(responder)
        names, headers = self._dialect, request.headers
        id = headers.get(names.request_id.lower())
        echo = self.echo(request)
        refused = [*echo, (names.not_run, b"1")]
        if request.path == b"/health":
            if self.hangs_when_full and self._is_full:
                await self._hang(id)
            fields = [(names.instance, self.id.encode())] if self.reports_name else []
            await responder.send(200, fields)
            return
        body, _ = await request.body.read_up_to(1 << 24)
        if not self.keeps_bodies:
            body = summarize_body(body)
        if request.path in self.calls:
            await self.calls[request.path](body, responder)
            return
        key = headers.get(names.key.lower())
        expected = headers.get(names.expected.lower()).decode()
        if expected != self.id or (key and not self.holds(int(key))):
            await responder.send(421, refused)
            return
        self._note_arrival()
        self.on_arrival(id)
        if self.drops(id) or (self.hangs_when_full and self._is_full):
            await self._hang(id)
        if self.sheds or self._is_full:
            await responder.send(503, refused + self._statement())
            return
        self.running += 1
        caller = headers.get(names.caller.lower())
        self.ran.append((id, request.method, request.target, body, caller))
        self.on_run(self.ran[-1], int(key) if key else None)
        number = int(key) if key else -1
        self.running_keys.append(number)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.seconds * (2 if self.cold_seconds else 1)
        try:
            await asyncio.sleep(ends_at - loop.time())
        except asyncio.CancelledError:
            self.cut.append(id)
            if self.finishes_cut:
                loop.call_at(ends_at, self._end_run, number)
            else:
                self._end_run(number)
            raise
        self._end_run(number)
        if self.behave is not None and await self.behave(request, responder):
            return
        sealed = [*echo, (names.seal, b"seal-" + id)] if names.seal else echo
        await responder.send(200, sealed + self._statement(), b"body of " + id)
