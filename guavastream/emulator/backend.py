"""A small backend server that can behave well or badly, and records what ran."""

import hashlib
import threading
import time
import uuid
from dataclasses import dataclass, field

import msgspec
import urllib3

from guavastream.kernel import part_logger
from guavastream.timeline import Recorder
from guavastream.web import Exchange, HttpServer

__all__ = ["Behaviour", "StandinServer", "StandinSettings", "behaviour_body"]

ANNOUNCE_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 1.0
CHUNK = b"x" * 65536
MAX_GRANT_BYTES = 4 << 20

log = part_logger("standin")


@dataclass(frozen=True, kw_only=True)
class StandinSettings:
    """How a stand-in is started.

    Parameters
    ----------
    service : str
        Service it serves.
    listen : str
        IP:PORT.
    guard : str
        IP:PORT of the guard beside it.
    announce : str
        IP:PORT that it announces; its own by default.
    record : str
        File for its events.
    slots : int
        Requests it runs at a time; more are shed as not run.
    work_ms : float
        Time that one request takes.
    cold_ms : float
        Further time of a request right after the start; falls to 0 in 2 s.
    checks_grants : bool
        Whether it checks who gives it an order.
    tick : float
        Seconds between looks at idle connections.
    """

    service: str
    listen: str
    guard: str
    announce: str = ""
    record: str = ""
    slots: int = 20
    work_ms: float = 5.0
    cold_ms: float = 0.0
    checks_grants: bool = True
    tick: float = 0.5


@dataclass(frozen=True, kw_only=True)
class Behaviour:
    """What a stand-in does wrong from now on; set by PUT /.standin/behaviour.

    Parameters
    ----------
    healthy : bool
        What its health endpoint says, true or not.
    failing : bool
        Answer every request with 500.
    silent : bool
        Take requests and answer nothing, as a frozen server does.
    slow_ms : float
        Further time of each request.
    load : float
        What its load endpoint says; negative for the truth.
    echo : str
        Request id that its answers name; empty for the right one.
    """

    healthy: bool = True
    failing: bool = False
    silent: bool = False
    slow_ms: float = 0.0
    load: float = -1.0
    echo: str = ""


@dataclass(frozen=True, kw_only=True)
class _Grant:
    member: int = 0
    until_ns: int = 0
    version: int = -1
    epochs: dict = field(default_factory=dict)


class StandinServer:
    """Runs one stand-in.

    Parameters
    ----------
    settings : StandinSettings
        How it is started.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._boot = uuid.uuid4().hex[:12]
        self._behaviour = Behaviour()
        self._grant = _Grant()
        self._slots = threading.Semaphore(settings.slots)
        self._running = 0
        self._lock = threading.Lock()
        self._draining = False
        self._stopped = threading.Event()
        self._thawed = threading.Condition()
        self._started = time.monotonic()
        self._recorder = Recorder(
            host=f"{settings.service}/{self._boot}", path=settings.record
        )
        self._server = HttpServer(
            address=settings.listen,
            handler=self._handle,
            threads=256,
            tick=settings.tick,
        )
        self._http = urllib3.PoolManager(retries=False)

    @property
    def address(self):
        """IP:PORT that is bound."""
        return self._server.address

    @property
    def boot(self):
        """Name of this start of the server."""
        return self._boot

    @property
    def grant(self):
        """The newest grant."""
        return self._grant

    @property
    def running(self):
        """Requests that run at this moment."""
        return self._running

    def recent(self):
        """Return the latest events."""
        return self._recorder.recent()

    def serve(self):
        """Serve without announcing."""
        self._server.start()

    def stop_serving(self):
        """Close the server."""
        self._server.stop()

    def behave(self, behaviour):
        """Change what the server does wrong."""
        self._behaviour = behaviour
        with self._thawed:
            self._thawed.notify_all()

    def run(self):
        """Serve and announce until `stop`, then end what runs."""
        self.serve()
        while not self._stopped.wait(ANNOUNCE_SECONDS):
            self._announce()
        self._draining = True
        self._announce()
        while self._running:
            time.sleep(0.02)
        self.stop_serving()

    def stop(self):
        """Begin the graceful stop."""
        self._stopped.set()

    def _announce(self):
        said = {
            "service": self._settings.service,
            "address": self._settings.announce or self.address,
            "boot": self._boot,
            "slots": self._settings.slots,
            "draining": self._draining,
        }
        try:
            self._http.request(
                "POST",
                f"http://{self._settings.guard}/announce",
                json=said,
                timeout=ANNOUNCE_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError as error:
            log.debug("Announcement failed: %s.", error)

    def _handle(self, exchange: Exchange):
        if exchange.path == "/.guavastream/grant":
            self._take_grant(exchange)
        elif exchange.path == "/.guavastream/health":
            healthy = self._behaviour.healthy
            exchange.respond(200 if healthy else 503, {"healthy": healthy})
        elif exchange.path == "/.guavastream/load":
            load = self._behaviour.load
            exchange.respond(200, {"load": load if load >= 0 else self._running})
        elif exchange.path == "/.standin/behaviour":
            self._set_behaviour(exchange)
        else:
            self._serve(exchange)

    def _set_behaviour(self, exchange):
        self.behave(exchange.json(Behaviour))
        exchange.respond(200, self._behaviour)

    def _take_grant(self, exchange):
        grant = exchange.json(_Grant, MAX_GRANT_BYTES)
        with self._lock:
            # A grant that was delayed on its way must not bring back what a
            # newer one took away.
            newer = (grant.member, grant.version) >= (
                self._grant.member,
                self._grant.version,
            )
            if newer:
                self._grant = grant
        status = 200 if newer else 409
        exchange.respond(status, {"code": "ok" if newer else "old_grant"})

    def _serve(self, exchange):
        request = exchange.header("Guavastream-Request-Id") or uuid.uuid4().hex
        fields = {
            "service": self._settings.service,
            "request": request,
            "server": self._boot,
            "shard": int(exchange.header("Guavastream-Shard") or -1),
            "epoch": int(exchange.header("Guavastream-Epoch") or -1),
            "key": _key_of(exchange),
        }
        if not self._slots.acquire(blocking=False):
            self._refuse(exchange, request, "shed", fields)
            return
        with self._lock:
            self._running += 1
        try:
            self._run(exchange, request, fields)
        finally:
            with self._lock:
                self._running -= 1
            self._slots.release()

    def _run(self, exchange, request, fields):
        if not self._may_act(exchange, fields):
            self._refuse(exchange, request, "fenced", fields)
            return
        self._recorder.record("run_started", **fields)
        digest, size = hashlib.sha256(), 0
        while data := exchange.read():
            digest.update(data)
            size += len(data)
        if exchange.length is not None and size < exchange.length:
            self._recorder.record("run_dropped", **fields)
            exchange.abort()
        self._work(exchange)
        # The order takes effect only here, so the grant must still hold: a
        # server that was frozen in its work finds that another one owns.
        if not self._may_act(exchange, fields):
            self._recorder.record("run_dropped", **fields)
            self._answer_refusal(exchange, request, "fenced")
            return
        self._recorder.record("ran", **fields, detail={"bytes": size})
        if self._behaviour.failing:
            exchange.respond(500, {"code": "failing"}, _echo(request))
            return
        item = {
            "service": self._settings.service,
            "server": self._boot,
            "request": request,
            "key": fields["key"],
            "bytes": size,
            "sha256": digest.hexdigest(),
        }
        wanted = int(exchange.header("X-Reply-Bytes") or 0)
        if wanted:
            self._stream(exchange, request, wanted)
        else:
            exchange.respond(200, item, _echo(self._behaviour.echo or request))

    def _work(self, exchange):
        age = time.monotonic() - self._started
        settings, behaviour = self._settings, self._behaviour
        extra = settings.cold_ms * max(0.0, 1 - age / 2)
        asked = float(exchange.header("X-Work-Ms") or settings.work_ms)
        time.sleep((asked + extra + behaviour.slow_ms) / 1000)
        with self._thawed:
            self._thawed.wait_for(lambda: not self._behaviour.silent)

    def _stream(self, exchange, request, size):
        exchange.start(200, [("Content-Length", str(size)), *_echo(request)])
        while size:
            part = CHUNK[:size]
            exchange.write(part)
            size -= len(part)

    def _may_act(self, exchange, fields):
        if not self._settings.checks_grants or fields["shard"] < 0:
            return True
        now = time.monotonic_ns()
        grant = self._grant
        epoch = grant.epochs.get(str(fields["shard"]))
        # The lease may have been renewed since the last grant, and an order
        # may overtake the grant that allows it; the order's own header says
        # how long the lease ran when the guard sent it.
        until = int(exchange.header("Guavastream-Until") or 0)
        if epoch == fields["epoch"]:
            return now < max(until, grant.until_ns)
        newer = fields["epoch"] > grant.version
        return newer and now < until

    def _refuse(self, exchange, request, code, fields):
        self._recorder.record("run_refused", **fields, detail={"code": code})
        self._answer_refusal(exchange, request, code)

    def _answer_refusal(self, exchange, request, code):
        headers = [("Guavastream-Ran", "no"), *_echo(request)]
        exchange.close_after()
        exchange.respond(503, {"code": code}, headers)


def _echo(request):
    return [("Guavastream-Request-Id", request)]


def _key_of(exchange):
    """Return the key where the shipped declarations have it: segment 3."""
    segments = exchange.segments
    return segments[2] if len(segments) > 2 else ""


def behaviour_body(**changes):
    """Return the JSON body that sets a behaviour."""
    return msgspec.json.encode(Behaviour(**changes))
