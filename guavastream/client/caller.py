"""Sends a caller's requests straight to the process beside the owner."""

import threading
import time
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote

import msgspec
import urllib3

from guavastream.declare import Declaration, Service
from guavastream.exception import GuavastreamError
from guavastream.routing import (
    Attempts,
    ClassifiedRequest,
    Refused,
    RetryBudget,
    classify,
)
from guavastream.state import shard_of
from guavastream.web import AttemptFailed, HttpSender, vet_answer

__all__ = ["Caller", "Reply", "RequestFailed"]

ROUTES_SECONDS = 1.0
OWNER_WAIT_SECONDS = 2.0
PAUSE_SECONDS = 0.02
LEARNS = (
    "no_owner",
    "wrong_owner",
    "moving",
    "no_lease",
    "leaving",
    "not_ready",
    "unreachable",
)


class RequestFailed(GuavastreamError):
    """A request brought no answer of a backend server.

    Parameters
    ----------
    code : str
        As in docs/errors.md.
    ran : str
        `not run` or `outcome unknown`.
    """

    def __init__(self, *, code, ran):
        self.code = code
        self.ran = ran
        super().__init__(f"{code} ({ran})")


@dataclass(frozen=True, kw_only=True)
class Reply:
    """An answer; `chunks` yields its body and must be read or closed."""

    status: int
    headers: list
    chunks: object

    def read(self):
        """Return the whole body.

        Raises
        ------
        RequestFailed
            If it was cut.
        """
        try:
            return b"".join(self.chunks)
        except AttemptFailed as error:
            raise RequestFailed(code=error.code, ran="outcome unknown") from error


@dataclass(frozen=True, kw_only=True)
class _Request:
    """What `classify` needs of a request."""

    method: str
    path: str
    fields: dict
    peer: str = ""

    @property
    def segments(self):
        return [unquote(part) for part in self.path.partition("?")[0].split("/")[1:]]

    def header(self, name):
        return self.fields.get(name.title(), "")

    def query(self, name):
        return parse_qs(self.path.partition("?")[2]).get(name, [""])[0]


@dataclass(frozen=True, kw_only=True)
class _Routes:
    index: int
    service: Service
    members: dict[str, dict]
    owners: list[int]
    pins: dict[str, int]


def _failed(refused, request):
    operation = getattr(request, "operation", "")
    ran = refused.reported_run_status(operation).value
    return RequestFailed(code=refused.refusal.code, ran=ran)


class Caller:
    """Sends requests with one hop less than through an arbitrary door.

    It keeps the routes of each service, learns new ones when a process
    refuses as not the owner, and goes by the same rules about repeating as
    the doors do.

    Parameters
    ----------
    doors : list of str
        IP:PORT of some doors, to ask for routes.
    zone : str
        Own availability zone; nearer servers win ties.
    """

    def __init__(self, *, doors, zone=""):
        self._doors = list(doors)
        self._zone = zone
        self._sender = HttpSender()
        self._http = urllib3.PoolManager(retries=False, timeout=ROUTES_SECONDS)
        self._routes = {}
        self._budgets = {}
        self._turn = 0
        self._lock = threading.Lock()

    def send(self, method, path, *, body=None, headers=None):
        """Send one request and return its `Reply`.

        Parameters
        ----------
        body : bytes or iterable of bytes, optional
            An iterable is streamed and sent at most once.
        headers : dict, optional
            End-to-end headers.

        Raises
        ------
        RequestFailed
            With what is known of it.
        """
        fields = {name.title(): value for name, value in (headers or {}).items()}
        name = path.split("/")[1].partition("?")[0]
        request = self._classify(method, path, fields, name)
        budget = self._budgets.setdefault(name, RetryBudget())
        budget.earn()
        patience = min(request.deadline, time.monotonic() + OWNER_WAIT_SECONDS)
        attempts = Attempts(idempotent=request.idempotent)
        replayable = body is None or isinstance(body, bytes)
        while True:
            try:
                return self._attempt(request, method, path, fields, body)
            except Refused as refused:
                attempts.note_refused(refused)
            except AttemptFailed as failed:
                attempts.note(failed.code, failed.knowledge)
            may_wait = time.monotonic() < patience
            if not (attempts.may_try_again and replayable and may_wait):
                raise _failed(attempts.final(), request)
            if attempts.code not in LEARNS and not budget.spend():
                raise _failed(attempts.final(), request)
            time.sleep(PAUSE_SECONDS)
            self._learn(name)

    def close(self):
        """Close all connections."""
        self._sender.close()
        self._http.clear()

    def _classify(self, method, path, fields, name) -> ClassifiedRequest:
        routes = self._routes.get(name) or self._learn(name)
        declaration = Declaration(services=(routes.service,))
        request = _Request(method=method, path=path, fields=fields)
        try:
            return classify(request, declaration, now=time.monotonic())
        except Refused as refused:
            raise _failed(refused, request) from None

    def _attempt(self, request, method, path, fields, body):
        door = self._door_for(request)
        left = max(0.001, request.deadline - time.monotonic())
        sent = {
            **fields,
            "Guavastream-Request-Id": request.id,
            "Guavastream-Deadline-Ms": str(max(1, int(left * 1000))),
        }
        answer = self._sender.send(
            door,
            method,
            path,
            sent,
            body,
            seconds=left,
            idle=request.service.idle_ms / 1000,
            may_repeat=request.idempotent,
        )
        answer = vet_answer(answer, request)
        return Reply(
            status=answer.status, headers=answer.headers(), chunks=answer.chunks()
        )

    def _door_for(self, request):
        routes = self._routes[request.service.name]
        key = request.owned_key
        if key and routes.owners:
            owner = (
                routes.pins.get(key) or routes.owners[shard_of(key, len(routes.owners))]
            )
            member = routes.members.get(str(owner))
            if member is None:
                raise Refused("no_owner")
            return member["door"]
        return self._next_door(routes)

    def _next_door(self, routes):
        live = [m for m in routes.members.values() if not m["drained"]]
        if not live:
            raise Refused("no_owner")
        near = [m for m in live if m["zone"] == self._zone] or live
        self._turn += 1
        return near[self._turn % len(near)]["door"]

    def _learn(self, name):
        """Ask a door for the routes of a service; older ones are not taken."""
        failure = "unreachable"
        for _ in self._doors:
            door = self._doors[self._turn % len(self._doors)]
            self._turn += 1
            try:
                answer = self._http.request(
                    "GET", f"http://{door}/.guavastream/routes/{name}"
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                return self._take(name, answer.data)
            failure = msgspec.json.decode(answer.data).get("code", failure)
        raise RequestFailed(code=failure, ran="not run")

    def _take(self, name, data):
        routes = msgspec.json.decode(data, type=_Routes)
        with self._lock:
            present = self._routes.get(name)
            if present is None or routes.index >= present.index:
                self._routes[name] = routes
            return self._routes[name]
