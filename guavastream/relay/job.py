"""A caller's request: read whole, matched to its route, with its times."""

import random

import msgspec

from guavastream.fleet import KEYS
from guavastream.kernel import Policy, TimeLimit, record
from guavastream.relay.dialect import OWN
from guavastream.relay.outcome import NotRun
from guavastream.relay.returns import RetryTracker

__all__ = ["BadRequest", "Job", "JobReader", "read_body"]

# Bodies up to this are read whole before they are sent on, so that a refused
# request can go to another server.
WHOLE_BODY = 512 << 10
# Time for the last hop of an answer; a request is given up this long before
# its caller stops waiting.
LAST_HOP_SECONDS = 0.01
NO_CONFIG_RETRY_SECONDS = 0.3
MOST_DIGITS = 10
LONGEST_MS = 10**9


class BadRequest(Exception):
    """The request cannot be served as it is; ends with `status`."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


@record
class Job:
    """A caller's request, read and classified; times are the clock's.

    `headers` travel on, `body` is whole unless `stream` brings the rest.
    `call` tells that the local server waits for the answer. Its caller first
    asked at `first`, perhaps in an earlier request, and gives up at `gives_up`
    (None if it did not say).
    `sent` are the servers to which it went and that did not say that it has
    not run, `failed` the statuses of those that failed it, `lost` the codes of tries
    that may have run, `drawn` the servers among which the last one was chosen.
    """

    id: bytes
    route: object
    service: str
    keyed: bool
    key: int | None
    method: bytes
    target: bytes
    headers: list
    body: bytes
    stream: object
    rank: int
    urgency: int
    call: bool
    again: bool
    started: float
    first: float
    gives_up: float | None
    wanted_by: float
    deadline: float
    failed: list = msgspec.field(default_factory=list)
    sent: list = msgspec.field(default_factory=list)
    lost: list = msgspec.field(default_factory=list)
    drawn: list = msgspec.field(default_factory=list)

    @property
    def safe(self):
        """Whether it may run more than once."""
        return self.route.idempotent

    @property
    def replayable(self):
        """Whether its body can be sent again."""
        return self.stream is None


async def read_body(request):
    """Return the body of a request, and the stream of its rest, or None."""
    if not request.length:
        return b"", None
    body, whole = await request.body.read_up_to(WHOLE_BODY)
    return body, None if whole else request.body


class JobReader:
    """Turns requests into jobs.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    routes : callable
        Gives the `RouteIndex` in force, or None before there is one.
    service : str
        Service of this host, told to servers as the caller's.
    running_attempt : callable
        Attempt of a request that the local server runs, by its id, or None.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(self, *, loop, dialect, routes, service, running_attempt, policy=None):
        self._policy = policy or Policy()
        self._loop = loop
        self._dialect = dialect
        self._routes = routes
        self._service = service.encode()
        self._running_attempt = running_attempt
        self._returns = RetryTracker()
        self._rng = random.Random()
        names = dialect
        self._own = frozenset(
            name.lower() for name in (names.caller, names.deadline_ms, names.expected)
        ) | {b"content-length"}

    async def read(self, request, *, started):
        """Return the `Job` of a request that came at `started`.

        Raises
        ------
        NotRun
            If there is no configuration yet.
        BadRequest
            If it has no route, or a header that is no number.
        CutOff, TimeoutError
            If its body ends early or does not come.
        """
        index = self._routes()
        if index is None:
            raise NotRun("no_config", retry_after=NO_CONFIG_RETRY_SECONDS)
        names = self._dialect
        headers = request.headers
        route = index.find(headers.get(b"host"), request.path)
        if route is None:
            raise BadRequest(404)
        service = self._choose_part(route)
        rules = index.config.services.get(service)
        keyed = rules is not None and rules.keyed
        key = _number(headers.get(names.key.lower()), KEYS - 1) if keyed else None
        timeout = route.timeout
        gives_up, first = None, started
        left = _number(headers.get(names.deadline_ms.lower()), LONGEST_MS)
        if left is not None:
            timeout = min(timeout, left / 1000)
            gives_up = started + left / 1000
        deadline = started + timeout - LAST_HOP_SECONDS
        id = headers.get(names.request_id.lower())
        parent = self._parent_of(id)
        call = parent is not None
        if gives_up is not None and not call and self._policy.returns:
            what = (route.name, request.target)
            first = self._returns.pop_first_asked(what, gives_up=gives_up, now=started)
        wanted_by = min(first + route.target, deadline)
        # Most bodies have come with their heads.
        if not request.length or request.body.ended:
            body, stream = await read_body(request)
        else:
            limits = index.config.limits
            with TimeLimit.within(limits.idle_seconds, loop=self._loop):
                body, stream = await read_body(request)
        fields = [
            (name, value)
            for name, value in headers.end_to_end(self._own)
            if not name.lower().startswith(OWN)
        ]
        fields.append((names.caller, self._service))
        return Job(
            id=id,
            route=route,
            service=service,
            keyed=keyed and key is not None,
            key=key,
            method=request.method,
            target=request.target,
            headers=fields,
            body=body,
            stream=stream,
            rank=route.priority,
            urgency=parent.urgency if call else route.priority,
            call=call,
            again=parent.again if call else first < started,
            started=started,
            first=first,
            gives_up=gives_up,
            wanted_by=wanted_by,
            deadline=deadline,
        )

    def _parent_of(self, id):
        """Return the attempt that a call is for, or None if it is no call.

        Notes
        -----
        Callers and the local server send from the same address; only the id
        of a call tells. Nobody else knows the ids that the server runs.
        """
        parent, mark, _ = id.partition(self._dialect.call_mark)
        return self._running_attempt(parent) if mark else None

    def note_unserved(self, job):
        """Note that a job's caller may come back for it."""
        if job.gives_up is not None and not job.call:
            what = (job.route.name, job.target)
            self._returns.note(what, gives_up=job.gives_up, first=job.first)

    def _choose_part(self, route):
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._rng.choices(route.parts, weights)[0].service


def _number(value, most):
    """Return a header's number, or None where there is none.

    Raises
    ------
    BadRequest
        If it is not a number up to `most`.
    """
    if not value:
        return None
    if not value.isdigit() or len(value) > MOST_DIGITS or int(value) > most:
        raise BadRequest(400)
    return int(value)
