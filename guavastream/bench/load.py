"""Callers in threads that check and record every answer they get."""

import hashlib
import random
import threading
import time
import uuid
from dataclasses import dataclass

import msgspec
import urllib3

__all__ = ["Load", "Prober", "REQUEST_KINDS", "RequestKind"]

NOT_RUN = "not run"
UNKNOWN = "outcome unknown"
ANSWER = "answer"
CHUNK_BYTES = 65536
TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True, kw_only=True)
class RequestKind:
    """One kind of request in a mix.

    Parameters
    ----------
    name : str
        For reports.
    service, method, path : str
        Where it goes; the key or a fresh id follows the path.
    share : float
        Its part of the mix.
    idempotent : bool
        Whether it may repeat.
    keys : int
        Keys in use; 0 for a fresh id each time.
    size : int
        Bytes of its body.
    spread : float
        Seconds over which the body is sent.
    """

    name: str
    service: str
    method: str
    path: str
    share: float
    idempotent: bool = True
    keys: int = 0
    size: int = 0
    spread: float = 0.0


REQUEST_KINDS = {
    "rosterdeck": (
        RequestKind(
            name="page",
            service="dutyboard",
            method="GET",
            path="/dutyboard/rosters/crew-",
            share=6,
            keys=400,
        ),
        RequestKind(
            name="pairing",
            service="dutyboard",
            method="POST",
            path="/dutyboard/pairings/crew-",
            share=2,
            keys=400,
            idempotent=False,
            size=300,
        ),
        RequestKind(
            name="swap",
            service="swapdesk",
            method="POST",
            path="/swapdesk/swaps/",
            share=3,
            idempotent=False,
            size=300,
        ),
        RequestKind(
            name="bundle",
            service="recordkeep",
            method="PUT",
            path="/recordkeep/bundles/",
            share=0.4,
            size=600_000,
            spread=0.5,
        ),
    ),
    "island-trips": (
        RequestKind(
            name="balance",
            service="balances",
            method="GET",
            path="/balances/trips/trip-",
            share=6,
            keys=400,
        ),
        RequestKind(
            name="correction",
            service="balances",
            method="POST",
            path="/balances/corrections/trip-",
            share=1,
            keys=400,
            idempotent=False,
            size=300,
        ),
        RequestKind(
            name="settlement",
            service="settlements",
            method="POST",
            path="/settlements/transfers/",
            share=3,
            idempotent=False,
            size=300,
        ),
        RequestKind(
            name="receipts",
            service="receipts",
            method="PUT",
            path="/receipts/bundles/",
            share=0.4,
            size=600_000,
            spread=0.5,
        ),
    ),
}


@dataclass(frozen=True, kw_only=True)
class Told:
    """What a caller was told; `code` is `ok` for a server's own answer."""

    code: str
    ran: str
    whole: bool = True
    answered: str = ""
    status: int = 0


class CallerHttp:
    """Sends single requests, never twice, and judges their answers.

    Parameters
    ----------
    doors : callable
        Gives the addresses to draw from.
    recorder : Recorder
        Takes a `caller_told` event for each request.
    rng : random.Random
        Draws the doors.
    """

    def __init__(self, *, doors, recorder, rng):
        self._doors = doors
        self._recorder = recorder
        self._rng = rng
        self._http = urllib3.PoolManager(retries=False, num_pools=64, maxsize=4)

    def send(self, kind, key, *, request="", headers=None):
        """Send one request and return what was told.

        Parameters
        ----------
        request : str
            Its id; a fresh one by default.
        headers : dict, optional
            Further headers.
        """
        request = request or uuid.uuid4().hex
        body = request.encode() * (kind.size // 32)
        started = time.monotonic()
        told = self._send(kind, key, request, body, headers or {})
        self._recorder.record(
            "caller_told",
            service=kind.service,
            key=key,
            request=request,
            detail={
                "code": told.code,
                "ran": told.ran,
                "whole": told.whole,
                "answered": told.answered,
                "idempotent": kind.idempotent,
                "kind": kind.name,
                "ms": round((time.monotonic() - started) * 1000, 2),
            },
        )
        return told

    def _send(self, kind, key, request, body, headers):
        door = self._rng.choice(self._doors())
        headers = {"Guavastream-Request-Id": request, **headers}
        if body:
            headers["Content-Length"] = str(len(body))
        try:
            answer = self._http.request(
                kind.method,
                f"http://{door}{kind.path}{key}",
                headers=headers,
                body=_spread(body, kind.spread) if kind.spread else body or None,
                timeout=TIMEOUT_SECONDS,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            # Of a resend's earlier sendings this says nothing.
            resent = "Idempotency-Key" in headers
            ran = UNKNOWN if resent else NOT_RUN
            return Told(code="door_unreachable", ran=ran)
        except (urllib3.exceptions.HTTPError, OSError):
            return Told(code="connection_broken", ran=UNKNOWN)
        return _judge(answer, body)


def _spread(body, seconds):
    parts = [body[n : n + CHUNK_BYTES] for n in range(0, len(body), CHUNK_BYTES)]
    for part in parts:
        yield part
        time.sleep(seconds / len(parts))


def _judge(answer, body):
    code = answer.headers.get("Guavastream-Code")
    if code:
        said = msgspec.json.decode(answer.data)
        return Told(code=code, ran=said["ran"], status=answer.status)
    try:
        said = msgspec.json.decode(answer.data)
    except msgspec.DecodeError:
        said = {}
    digest = hashlib.sha256(body).hexdigest()
    return Told(
        code="ok" if answer.status == 200 else f"status_{answer.status}",
        ran=ANSWER,
        whole=said.get("sha256") == digest,
        answered=said.get("request", ""),
        status=answer.status,
    )


class Load:
    """Callers that send a mix until stopped.

    Parameters
    ----------
    kinds : tuple of RequestKind
        The mix.
    doors : callable
        Gives the addresses of live doors.
    recorder : Recorder
        Takes what callers were told.
    callers : int
        Threads.
    pause : float
        Mean pause of a caller between two requests, seconds.
    seed : int
        Of the mix.
    """

    def __init__(self, *, kinds, doors, recorder, callers=12, pause=0.06, seed=1):
        self._kinds = kinds
        self._doors = doors
        self._recorder = recorder
        self._pause = pause
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(seed + n,), daemon=True)
            for n in range(callers)
        ]

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop after the requests in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(TIMEOUT_SECONDS)

    def _call(self, seed):
        rng = random.Random(seed)
        caller = CallerHttp(doors=self._doors, recorder=self._recorder, rng=rng)
        shares = [kind.share for kind in self._kinds]
        while not self._stopped.wait(rng.expovariate(1 / self._pause)):
            kind = rng.choices(self._kinds, shares)[0]
            key = str(rng.randrange(kind.keys)) if kind.keys else uuid.uuid4().hex
            caller.send(kind, key)


class Prober:
    """Asks for one key again and again, to see when it is not served.

    Parameters
    ----------
    kind : RequestKind
        What to ask.
    key : str
        The key.
    doors : callable
        Gives the addresses of live doors.
    recorder : Recorder
        Takes what was told.
    pause : float
        Seconds between requests.
    """

    def __init__(self, *, kind, key, doors, recorder, pause=0.02):
        self._kind = kind
        self._key = key
        self._pause = pause
        self._caller = CallerHttp(
            doors=doors, recorder=recorder, rng=random.Random(key)
        )
        self._served = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._probe, daemon=True)

    @property
    def key(self):
        """The key."""
        return self._key

    def start(self):
        """Begin to ask."""
        self._thread.start()

    def stop(self):
        """Stop asking."""
        self._stopped.set()
        self._thread.join(TIMEOUT_SECONDS)

    def first_served(self, since):
        """Return the first moment after `since` at which it was served."""
        return min((t for t in self._served if t > since), default=float("inf"))

    def longest_gap(self, since, until):
        """Return the longest time without an answer within a span, seconds."""
        times = [t for t in self._served if since <= t <= until]
        marks = [since, *times, until]
        return max(b - a for a, b in zip(marks, marks[1:], strict=False))

    def _probe(self):
        while not self._stopped.wait(self._pause):
            told = self._caller.send(self._kind, self._key)
            if told.code == "ok":
                self._served.append(time.monotonic())
