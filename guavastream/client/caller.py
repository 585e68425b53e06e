"""Sends requests directly to the guavastream process on the owner's host."""

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

ROUTES_TIMEOUT_SECONDS = 1.0
MAX_RETRY_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.02
# Refusals that suggest that the routes are out of date.
STALE_ROUTES_CODES = (
    "no_owner",
    "wrong_owner",
    "moving",
    "no_lease",
    "leaving",
    "not_ready",
    "unreachable",
)


class RequestFailed(GuavastreamError):
    """A request got no answer from a backend server.

    Parameters
    ----------
    code : str
        One of the codes in docs/errors.md.
    ran : str
        Whether the request ran: `not run` or `outcome unknown`.
    """

    def __init__(self, *, code, ran):
        self.code = code
        self.ran = ran
        super().__init__(f"{code} ({ran})")


@dataclass(frozen=True, kw_only=True)
class Reply:
    """An answer; `chunks` yields its body and must be consumed or closed."""

    status: int
    headers: list
    chunks: object

    def read(self):
        """Return the whole body.

        Raises
        ------
        RequestFailed
            If the connection broke before the body was complete.
        """
        try:
            return b"".join(self.chunks)
        except AttemptFailed as error:
            raise RequestFailed(code=error.code, ran="outcome unknown") from error


@dataclass(frozen=True, kw_only=True)
class _Request:
    """The parts of a request that `classify` reads."""

    method: str
    path: str
    headers: dict
    peer: str = ""

    @property
    def segments(self):
        return [unquote(part) for part in self.path.partition("?")[0].split("/")[1:]]

    def header(self, name):
        return self.headers.get(name.title(), "")

    def query(self, name):
        return parse_qs(self.path.partition("?")[2]).get(name, [""])[0]


@dataclass(frozen=True, kw_only=True)
class _Routes:
    """Routes of one service, as decoded from the JSON answer of a door."""

    index: int
    service: Service
    members: dict[str, dict]
    owners: list[int]
    pins: dict[str, int]


def _make_failure(refused, request):
    operation = getattr(request, "operation", "")
    ran = refused.reported_run_status(operation).value
    return RequestFailed(code=refused.refusal.code, ran=ran)


class Caller:
    """Sends requests with one hop less than through an arbitrary door.

    It caches the routes of each service, fetches them again when a process
    refuses a request because it is not the owner, and follows the same retry
    rules as the doors.

    Parameters
    ----------
    doors : list of str
        Addresses (IP:PORT) of some doors, from which routes are fetched.
    zone : str
        Own availability zone; its servers are preferred for requests without a key.
    """

    def __init__(self, *, doors, zone=""):
        self._doors = list(doors)
        self._zone = zone
        self._sender = HttpSender()
        self._http = urllib3.PoolManager(retries=False, timeout=ROUTES_TIMEOUT_SECONDS)
        self._routes = {}
        self._budgets = {}
        self._round_robin_index = 0
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
            If no backend server answered; it says whether the request ran.
        """
        title_headers = {name.title(): value for name, value in (headers or {}).items()}
        name = path.split("/")[1].partition("?")[0]
        request = self._classify(method, path, title_headers, name)
        budget = self._budgets.setdefault(name, RetryBudget())
        budget.earn()
        retry_end = min(request.deadline, time.monotonic() + MAX_RETRY_SECONDS)
        attempts = Attempts(idempotent=request.idempotent)
        replayable = body is None or isinstance(body, bytes)
        while True:
            try:
                return self._attempt_once(request, method, path, title_headers, body)
            except Refused as refused:
                attempts.note_refused(refused)
            except AttemptFailed as failed:
                attempts.note(failed.code, failed.knowledge)
            has_time = time.monotonic() < retry_end
            if not (attempts.may_try_again and replayable and has_time):
                raise _make_failure(attempts.final(), request)
            if attempts.code not in STALE_ROUTES_CODES and not budget.spend():
                raise _make_failure(attempts.final(), request)
            time.sleep(RETRY_DELAY_SECONDS)
            self._fetch_routes(name)

    def close(self):
        """Close all connections."""
        self._sender.close()
        self._http.clear()

    def _classify(self, method, path, headers, name) -> ClassifiedRequest:
        routes = self._routes.get(name) or self._fetch_routes(name)
        declaration = Declaration(services=(routes.service,))
        request = _Request(method=method, path=path, headers=headers)
        try:
            return classify(request, declaration, now=time.monotonic())
        except Refused as refused:
            raise _make_failure(refused, request) from None

    def _attempt_once(self, request, method, path, headers, body):
        door = self._choose_door(request)
        left = max(0.001, request.deadline - time.monotonic())
        sent_headers = {
            **headers,
            "Guavastream-Request-Id": request.id,
            "Guavastream-Deadline-Ms": str(max(1, int(left * 1000))),
        }
        answer = self._sender.send(
            door,
            method,
            path,
            sent_headers,
            body,
            seconds=left,
            idle=request.service.idle_ms / 1000,
            may_repeat=request.idempotent,
        )
        answer = vet_answer(answer, request)
        return Reply(
            status=answer.status, headers=answer.headers(), chunks=answer.chunks()
        )

    def _choose_door(self, request):
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
        return self._choose_any_door(routes)

    def _choose_any_door(self, routes):
        candidates = [m for m in routes.members.values() if not m["drained"]]
        if not candidates:
            raise Refused("no_owner")
        preferred = [m for m in candidates if m["zone"] == self._zone] or candidates
        self._round_robin_index += 1
        return preferred[self._round_robin_index % len(preferred)]["door"]

    def _fetch_routes(self, name):
        """Fetch the routes of a service from the first door that has them."""
        failure = "unreachable"
        for _ in self._doors:
            door = self._doors[self._round_robin_index % len(self._doors)]
            self._round_robin_index += 1
            try:
                answer = self._http.request(
                    "GET", f"http://{door}/.guavastream/routes/{name}"
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                return self._store_routes(name, answer.data)
            failure = msgspec.json.decode(answer.data).get("code", failure)
        raise RequestFailed(code=failure, ran="not run")

    def _store_routes(self, name, data):
        """Store routes unless newer ones are stored; return the stored ones."""
        routes = msgspec.json.decode(data, type=_Routes)
        with self._lock:
            stored = self._routes.get(name)
            if stored is None or routes.index >= stored.index:
                self._routes[name] = routes
            return self._routes[name]
