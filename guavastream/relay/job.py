"""Reads callers' requests and assigns them a route, a service and time limits."""

import random

import msgspec

from guavastream.fleet import KEY_COUNT
from guavastream.http1 import BodyRest
from guavastream.kernel import Policy, TimeLimit, record, replace
from guavastream.relay.dialect import INTERNAL_PREFIX
from guavastream.relay.fingerprint import body_fingerprint
from guavastream.scheduling.outcome import NotRun
from guavastream.scheduling.returns import RetryTracker

__all__ = [
    "MAX_BUFFERED_BODY_BYTES",
    "BadRequest",
    "Job",
    "JobReader",
    "read_body",
]

# A body of at most this size is read completely before the request is sent on, so
# that the request can be sent to another server if the first one refuses it.
MAX_BUFFERED_BODY_BYTES = 512 << 10
# A request is given up this long before its time limit, which leaves time for the
# answer to reach the caller.
LAST_HOP_MARGIN_SECONDS = 0.01
NO_CONFIG_RETRY_SECONDS = 0.3
MAX_NUMBER_DIGITS = 10
MAX_DEADLINE_MS = 10**9


class BadRequest(Exception):
    """The request is invalid or has no route; it is answered with `status`."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


@record
class Job:
    """A caller's request with its route, service and time limits.

    All times are those of the loop's clock.

    Attributes
    ----------
    id : bytes
        Id of the request.
    route : Route
        The route that matches it.
    service : str
        Service that the route, or a weighted choice among its parts, leads to.
    keyed : bool
        Whether it goes to the owner of `key`.
    key : int or None
        Its key; None if it has none.
    method, target : bytes
        As in the request line.
    headers : list of tuple
        Headers that are sent on.
    body : bytes
        The whole body, or its beginning if `rest` is set.
    rest : BodyRest or None
        The rest of the body, which is not kept.
    rank : int
        Priority of its route; the lowest is served first.
    urgency : int
        Priority of the request that entered the system, which for a call is the
        request that the local server runs.
    is_call : bool
        Whether it is a call that the local server makes while it runs a request.
    is_retry : bool
        Whether the caller retries a request that was not served; for a call,
        whether that holds for the request that caused it.
    started : float
        Time at which it arrived.
    first_sent_at : float
        Time at which the caller first sent it, perhaps in an earlier request.
    retry_at : float or None
        Time before which the caller was told not to retry, if it was.
    reserved : bool
        Whether a server has reserved capacity for this retry.
    share : float
        Share of such requests that this ingress admits by their class.
    caller_deadline : float or None
        Time at which the caller stops waiting, if it sent a deadline.
    target_time : float
        Time until which an answer counts as in time.
    deadline : float
        Time at which it is given up.
    config_version : int
        Version of the configuration that its route is from.
    failed_statuses : list of int
        Statuses of server failures after which it was retried.
    sent_to : list of str
        Ids of the servers that may have been sent the whole request, without those
        that reported that it has not run.
    unknown_outcomes : list of str
        Codes of the attempts that may have run.
    considered_servers : list
        Candidates among which the last server was chosen.
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
    rest: object
    rank: int
    urgency: int
    is_call: bool
    is_retry: bool
    started: float
    first_sent_at: float
    caller_deadline: float | None
    target_time: float
    deadline: float
    config_version: int = 0
    retry_at: float | None = None
    reserved: bool = False
    share: float = 1.0
    failed_statuses: list = msgspec.field(default_factory=list)
    sent_to: list = msgspec.field(default_factory=list)
    unknown_outcomes: list = msgspec.field(default_factory=list)
    considered_servers: list = msgspec.field(default_factory=list)

    @property
    def idempotent(self):
        """Whether the request is idempotent, so that it may run more than once."""
        return self.route.idempotent

    @property
    def has_whole_body(self):
        """Whether none of the body is lost, so that the request can be sent again."""
        return self.rest is None or self.rest.is_untouched

    @property
    def body_fingerprint(self):
        """Fingerprint of the body."""
        return body_fingerprint(self.body)


async def read_body(request):
    """Return the body of a request, and the `BodyRest` if it is too large to keep."""
    if not request.length:
        return b"", None
    body, whole = await request.body.read_up_to(MAX_BUFFERED_BODY_BYTES)
    if whole:
        return body, None
    length = None if request.length < 0 else request.length - len(body)
    return body, BodyRest(stream=request.body, length=length)


class JobReader:
    """Reads requests of local callers and returns them as jobs.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    dialect : Dialect
        Header names.
    routes : callable
        Returns the `RouteIndex` in force, or None before there is one.
    service : str
        Service of this host, which servers receive as the caller's service.
    running_attempt : callable
        Returns the `Attempt` that the local server runs under a request id, or None.
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
        self._replaced_headers = frozenset(
            name.lower() for name in (names.caller, names.deadline_ms, names.expected)
        ) | {b"content-length"}

    async def read(self, request, *, started):
        """Return the `Job` of a request that arrived at `started`.

        Raises
        ------
        NotRun
            If there is no configuration yet.
        BadRequest
            If no route matches, or a numeric header is malformed or out of range.
        IncompleteMessage, TimeoutError
            If its body ends early or does not arrive in time.
        """
        index = self._routes()
        if index is None:
            raise NotRun("no_config", retry_after=NO_CONFIG_RETRY_SECONDS)
        names = self._dialect
        headers = request.headers
        route = index.find(headers.get(b"host"), request.path)
        if route is None:
            raise BadRequest(404)
        service = self._choose_service(route)
        key = self._read_key(index, service, headers.get(names.key.lower()))
        timeout = route.timeout
        caller_deadline, first_sent_at, earlier = None, started, None
        left = _parse_number(headers.get(names.deadline_ms.lower()), MAX_DEADLINE_MS)
        if left is not None:
            timeout = min(timeout, left / 1000)
            caller_deadline = started + left / 1000
        deadline = started + timeout - LAST_HOP_MARGIN_SECONDS
        id = headers.get(names.request_id.lower())
        parent = self._find_parent(id)
        is_call = parent is not None
        if caller_deadline is not None and not is_call and self._policy.returns:
            resource = (route.name, request.target)
            earlier = self._returns.pop(resource, gives_up=caller_deadline)
            if earlier is not None:
                first_sent_at = earlier.first
        target_time = min(first_sent_at + route.target, deadline)
        # Most bodies arrive together with the head, and need no time limit.
        if not request.length or request.body.ended:
            body, rest = await read_body(request)
        else:
            # After its deadline it would be refused, and keep its memory until then.
            idle_end = started + index.config.limits.idle_seconds
            with TimeLimit(loop=self._loop, when=min(idle_end, deadline)):
                body, rest = await read_body(request)
        fields = [
            (name, value)
            for name, value in headers.end_to_end(self._replaced_headers)
            if not name.lower().startswith(INTERNAL_PREFIX)
        ]
        fields.append((names.caller, self._service))
        return Job(
            id=id,
            route=route,
            service=service,
            keyed=key is not None,
            key=key,
            method=request.method,
            target=request.target,
            headers=fields,
            body=body,
            rest=rest,
            rank=route.priority,
            urgency=parent.urgency if is_call else route.priority,
            is_call=is_call,
            is_retry=parent.is_retry if is_call else first_sent_at < started,
            started=started,
            first_sent_at=first_sent_at,
            caller_deadline=caller_deadline,
            target_time=target_time,
            deadline=deadline,
            config_version=index.config.version,
            retry_at=earlier and earlier.retry_at,
            reserved=earlier is not None and earlier.reserved,
        )

    def follow(self, job):
        """Return a job as the configuration in force routes it.

        A request may wait for seconds, and be sent to several servers. If its route
        leads elsewhere by then, so does the next attempt.

        Raises
        ------
        BadRequest
            If no route matches any more.
        """
        index = self._routes()
        if index is None or index.config.version == job.config_version:
            return job
        fields = {name.lower(): value for name, value in job.headers}
        path = job.target.partition(b"?")[0]
        route = index.find(fields.get(b"host", b""), path)
        if route is None:
            raise BadRequest(404)
        job = replace(job, config_version=index.config.version)
        if route.leads_to(job.service):
            return job
        service = self._choose_service(route)
        key = self._read_key(index, service, fields.get(self._dialect.key.lower()))
        return replace(
            job,
            route=route,
            service=service,
            keyed=key is not None,
            key=key,
            rank=route.priority,
            urgency=job.urgency if job.is_call else route.priority,
        )

    def _read_key(self, index, service, text):
        """Return the key in a header, None if the service has no keys or it is missing.

        Raises
        ------
        BadRequest
            If it is not a key.
        """
        rules = index.config.services.get(service)
        if rules is None or not rules.keyed:
            return None
        return _parse_number(text, KEY_COUNT - 1)

    def may_overlap(self, request):
        """Whether a request may run while others of its connection run.

        That holds for idempotent requests without a body. Others must not run behind
        a response that closes the connection, since their callers repeat them then.
        """
        index = self._routes()
        if request.length or index is None:
            return False
        route = index.find(request.headers.get(b"host"), request.path)
        return route is not None and route.idempotent

    def _find_parent(self, id):
        """Return the attempt that a call belongs to, or None if this is not a call.

        Notes
        -----
        Callers and the local server use the same address, so that only the id
        distinguishes them. The ids of running requests are not known to callers.
        """
        parent, mark, _ = id.partition(self._dialect.call_separator)
        return self._running_attempt(parent) if mark else None

    def note_unserved(self, job, *, retry_at=None, reserved=False):
        """Record an unserved job, so that a retry by its caller is recognized.

        Parameters
        ----------
        job : Job
            The job.
        retry_at : float, optional
            Time before which the caller is told not to retry.
        reserved : bool
            Whether a server has reserved capacity for the retry.
        """
        if job.caller_deadline is not None and not job.is_call:
            resource = (job.route.name, job.target)
            self._returns.note(
                resource,
                gives_up=job.caller_deadline,
                first=job.first_sent_at,
                retry_at=retry_at,
                reserved=reserved,
            )

    def _choose_service(self, route):
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [part.weight for part in route.weighted_services]
        return self._rng.choices(route.weighted_services, weights)[0].service


def _parse_number(value, maximum):
    """Return the number in a header, or None if the header is missing.

    Raises
    ------
    BadRequest
        If the value is not a number from 0 to `maximum`.
    """
    if not value:
        return None
    if not value.isdigit() or len(value) > MAX_NUMBER_DIGITS or int(value) > maximum:
        raise BadRequest(400)
    return int(value)
