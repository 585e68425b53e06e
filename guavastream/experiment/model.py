"""Simulates a deployment in virtual time with the algorithms of the router.

Admission, server selection, recognition of caller retries, the retry budget, load
statistics by key and the planning of key moves run the code of the router. Sockets,
processes and the replicated log are not simulated.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import numpy as np

from guavastream.control.loads import KeyLoads
from guavastream.fleet import KEY_COUNT, Instance, KeyRun, find_run, update_runs
from guavastream.kernel import Policy, Signal, TimeLimit, replace
from guavastream.placement import KeyRangeView, plan_key_ranges
from guavastream.relay.ingress import (
    DEFAULT_RETRY_AFTER_SECONDS,
    FLEET_POLL_SECONDS,
    MAX_REFUSALS,
    MIN_REMAINING_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    OWNER_WAIT_SHARE,
)
from guavastream.relay.job import LAST_HOP_MARGIN_SECONDS
from guavastream.scheduling import (
    AdmissionQueue,
    NotRun,
    Picker,
    Report,
    RetryBudget,
)
from guavastream.scheduling.outcome import FAILURE_RULES
from guavastream.scheduling.returns import RetryTracker
from guavastream.scheduling.servers import ServerLists

__all__ = ["Counts", "Model", "Tally"]

# Number of keys that callers request. They are adjacent, in the order of their
# popularity.
REQUESTED_KEYS = 60000
# Limit on the attempts of one request that reach a server.
MAX_SENT_ATTEMPTS = 2
# Retries that all hosts together may make per request.
RETRY_RATIO = 0.2
# Duration of a key move in addition to the requests that still run for its keys: a
# commit to the replicated log and two calls.
MOVE_OVERHEAD_SECONDS = 0.012
# Time until a host detects the crash of its server, or the leader learns that a
# server is leaving.
DETECTION_SECONDS = 0.4
# Length of the time intervals by which outcomes are counted.
BUCKET_SECONDS = 0.5


@dataclass(kw_only=True, slots=True)
class Counts:
    """Counts requests by outcome.

    A request is counted once, however often its caller retries, with the outcome of the
    last attempt. `asked` is the number of all requests.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    def earned_share(self, late_worth):
        """Return the earned fraction of the worth of all requests.

        An answer in time earns its full worth, a late one the fraction `late_worth`.
        """
        if not self.asked:
            return 1.0
        return (self.in_time + late_worth * self.late) / self.asked


@dataclass(kw_only=True, slots=True)
class Tally:
    """Outcomes of a run.

    Parameters
    ----------
    kinds : dict of str to Counts
        Outcomes by kind of request, without the warm-up.
    buckets : dict of tuple to Counts
        Outcomes by kind of request and number of the time interval.
    latencies : dict of str to list of float
        Seconds from the first attempt of a caller to its answer, by kind.
    failed_attempts : dict of str to int
        Number of attempts of hosts that ended with `NotRun`, by its code.
    moved_share : float
        Number of keys that moved to another server, as a fraction of all keys.
    """

    kinds: dict = field(default_factory=dict)
    buckets: dict = field(default_factory=dict)
    latencies: dict = field(default_factory=dict)
    failed_attempts: dict = field(default_factory=dict)
    moved_share: float = 0.0


class _RequestFailed(Exception):
    """Raised if a request ran and was answered with a failure."""


@dataclass(kw_only=True, slots=True)
class _Host:
    """State of the router process on the host of a server.

    `retry_budgets` are by service.
    """

    zone: str
    picker: Picker
    server_lists: ServerLists
    retry_tracker: RetryTracker
    server_id: str = ""
    retry_budgets: dict = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _Server:
    """A backend server with its admission queue and its current faults.

    A fault multiplies processing times by `slowdown`, refuses a `refused_share` of the
    requests, or makes the server `silent`. `key_counts` are the requests by key since
    the last load report.
    """

    instance: Instance
    host: _Host
    admission: AdmissionQueue
    speed: float
    slowdown: float = 1.0
    refused_share: float = 0.0
    silent: bool = False
    key_counts: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Request:
    """One attempt of a caller, or a call that a server makes.

    `started` is the start of this attempt, and `first_asked` the start of the caller's
    first attempt, which the host knows only if it recognizes the retry. Until
    `wanted_by` an answer has its full worth; after `deadline` it has none.
    """

    kind: object
    key: int
    host: _Host
    first_asked: float
    started: float
    wanted_by: float
    deadline: float
    is_call: bool = False

    @property
    def is_retry(self):
        """Whether the host has recognized the request as a retry."""
        return self.first_asked < self.started


class Model:
    """Simulates one run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        The scenario to simulate.
    seed : int
        Seed of all random numbers. Equal seeds produce the same requests of callers.
    policy : Policy, optional
        Enabled mechanisms.
    """

    def __init__(self, *, scenario, seed, policy=None):
        self._scenario = scenario
        self._policy = policy or Policy()
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        # Callers have a random generator of their own. Otherwise the number of draws
        # by servers, which depends on the policy, would change the requests.
        self._caller_rng = np.random.default_rng([seed, 1])
        self._server_rng = np.random.default_rng([seed, 2])
        self._rng = random.Random(seed)
        self._popular_keys = self._draw_popular_keys(seed)
        self._services = {service.name: service for service in scenario.services}
        self._servers = {service.name: {} for service in scenario.services}
        self._instances, self._servers_by_id = {}, {}
        self._key_runs = {}
        self._loads = {}
        self._moving = {}
        self._hosts = []
        self._owners_changed = Signal(loop=self._loop)
        self._instance_numbers = itertools.count()
        self._tasks = set()
        self.tally = Tally(kinds={kind.name: Counts() for kind in scenario.kinds})
        for service in scenario.services:
            for number in range(service.server_count):
                self._start_server(service, number)
            if service.keyed:
                self._loads[service.name] = KeyLoads(
                    clock=self._clock, policy=self._policy
                )
                self._moving[service.name] = {}
                self._key_runs[service.name] = (KeyRun(first=0, last=KEY_COUNT - 1),)
                self._plan_keys(service.name)

    def _draw_popular_keys(self, seed):
        """Return the most popular key, and an empty dict of hot keys by fault."""
        rng = np.random.default_rng([seed, 3])
        return int(rng.integers(0, KEY_COUNT)), {}

    def _start_server(self, service, number):
        """Start a new instance of a server on a new host in the next zone."""
        scenario = self._scenario
        zone = f"zone-{len(self._hosts) % scenario.zones}"
        id = f"{service.name}-{number}-{next(self._instance_numbers)}"
        host = _Host(
            zone=zone,
            picker=Picker(
                clock=self._clock, rng=self._rng, zone=zone, policy=self._policy
            ),
            server_lists=ServerLists(host=id, zone=zone, sampled=self._policy.sampled),
            retry_tracker=RetryTracker(),
            server_id=id,
        )
        instance = Instance(
            id=id,
            service=service.name,
            host=id,
            door=id,
            address=id,
            zone=zone,
            slots=service.slots,
        )
        admission = AdmissionQueue(
            loop=self._loop, slots=service.slots, policy=self._policy
        )
        server = _Server(
            instance=instance,
            host=host,
            admission=admission,
            speed=service.speed(number),
        )
        self._servers[service.name][number] = server
        self._hosts.append(host)
        self._update_servers()

    async def run(self):
        """Run the scenario to its end and return the `Tally`."""
        for fault in self._scenario.faults:
            self._spawn(self._inject_fault(fault))
        if self._key_runs:
            self._spawn(self._run_leader())
        callers = [
            self._loop.create_task(self._generate_requests(kind))
            for kind in self._scenario.kinds
            if kind.rate
        ]
        await asyncio.gather(*callers)
        for task in self._tasks:
            task.cancel()
        return self.tally

    def _spawn(self, coroutine):
        """Start a background task, which is cancelled at the end of the run."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Callers

    async def _generate_requests(self, kind):
        """Start callers of one kind as a Poisson process; wait until all are done."""
        rng = np.random.default_rng(self._caller_rng.integers(0, 2**63))
        weights = np.arange(1, REQUESTED_KEYS + 1, dtype=float) ** -kind.skew
        cumulative = np.cumsum(weights) / weights.sum()
        tasks = []
        while self._clock() < self._scenario.seconds:
            await asyncio.sleep(rng.exponential(1 / self._request_rate(kind)))
            key = self._draw_key(kind, rng, cumulative)
            host = self._hosts[int(rng.integers(len(self._hosts)))]
            patience = kind.deadline * (1 - kind.impatience * rng.random())
            tasks.append(
                self._loop.create_task(self._run_caller(kind, key, host, patience))
            )
        await asyncio.gather(*tasks)

    def _request_rate(self, kind):
        """Return the current requests per second of a kind, including bursts."""
        rate = kind.rate
        for fault in self._active_faults("burst"):
            if fault.kind in ("", kind.name):
                rate *= fault.factor
        return rate

    def _draw_key(self, kind, rng, cumulative):
        """Return a random key, given the cumulative popularity by rank.

        During a "hot key" fault, a share of the requests are for one other key.
        """
        most_popular, hot_keys = self._popular_keys
        for fault in self._active_faults("hot key"):
            if fault.kind == kind.name and rng.random() < fault.share:
                return hot_keys.setdefault(fault, int(rng.integers(0, KEY_COUNT)))
        rank = int(np.searchsorted(cumulative, rng.random()))
        return (most_popular + rank) % KEY_COUNT

    def _active_faults(self, what):
        """Return the faults of this type that are in effect now."""
        now = self._clock()
        return [
            fault
            for fault in self._scenario.faults
            if fault.what == what and fault.at <= now < fault.at + fault.seconds
        ]

    async def _run_caller(self, kind, key, host, patience):
        """Send the request of one caller; retry until it is served or gives up."""
        scenario = self._scenario
        first = self._clock()
        outcome = "refused"
        for attempt in range(kind.retries + 1):
            await asyncio.sleep(scenario.to_callers)
            started = self._clock()
            remaining = first + patience - started
            outcome, retry_delay = await self._handle_caller_attempt(
                kind, key, host, first, started, remaining
            )
            await asyncio.sleep(scenario.to_callers)
            remaining = first + patience - self._clock()
            retryable = outcome == "refused" or (
                outcome == "failed" and kind.idempotent
            )
            if not retryable or attempt == kind.retries or remaining <= 0:
                break
            await asyncio.sleep(min(retry_delay, remaining / 3))
        self._count_outcome(kind, first, outcome)

    def _count_outcome(self, kind, first, outcome):
        """Count a request in its time interval and, after the warm-up, in its kind."""
        latency = self._clock() - first
        if outcome == "served":
            outcome = "in_time" if latency <= kind.target else "late"
        bucket = (kind.name, int(first / BUCKET_SECONDS))
        counters = [self.tally.buckets.setdefault(bucket, Counts())]
        if first >= self._scenario.counted_from:
            counters.append(self.tally.kinds[kind.name])
            if outcome in ("in_time", "late"):
                self.tally.latencies.setdefault(kind.name, []).append(latency)
        for counts in counters:
            counts.asked += 1
            setattr(counts, outcome, getattr(counts, outcome) + 1)

    async def _handle_caller_attempt(self, kind, key, host, first, started, remaining):
        """Handle a caller's attempt at a host; return its outcome and retry delay."""
        fingerprint = (kind.name, key)
        first_asked = started
        if self._policy.returns:
            first_asked = host.retry_tracker.pop_first_asked(
                fingerprint, gives_up=started + remaining, now=started
            )
        deadline = started + min(remaining, kind.timeout) - LAST_HOP_MARGIN_SECONDS
        request = _Request(
            kind=kind,
            key=key,
            host=host,
            first_asked=first_asked,
            started=started,
            wanted_by=min(first_asked + kind.target, deadline),
            deadline=deadline,
        )
        retry_delay = 0.0
        try:
            if deadline - started < MIN_REMAINING_SECONDS:
                raise NotRun("no_time")
            await self._serve(request)
            return "served", retry_delay
        except NotRun as refused:
            outcome = "refused"
            retry_delay = max(
                MIN_RETRY_AFTER_SECONDS,
                refused.retry_after or DEFAULT_RETRY_AFTER_SECONDS,
            )
            retry_delay *= self._rng.uniform(0.7, 1.3)
        except (_RequestFailed, TimeoutError):
            outcome = "failed"
        host.retry_tracker.note(
            fingerprint, gives_up=started + remaining, first=first_asked
        )
        return outcome, retry_delay

    # Hosts

    async def _serve(self, request):
        """Send a request to a server; retry if that is safe and in the retry budget."""
        kind = request.kind
        retry_budget = request.host.retry_budgets.get(kind.service)
        if retry_budget is None:
            retry_budget = request.host.retry_budgets[kind.service] = RetryBudget(
                ratio=RETRY_RATIO
            )
        retry_budget.earn()
        tried, sent_attempts, refusals = set(), 0, 0
        owner_wait_limit = OWNER_WAIT_SHARE * self._policy.owner_wait
        owner_wait_limit = (
            self._clock() + (request.deadline - self._clock()) * owner_wait_limit
        )
        with TimeLimit(loop=self._loop, when=request.deadline):
            while True:
                server = None
                try:
                    server = self._choose(request, tried)
                    tried_now = tried | {server.instance.id}
                    last = refusals + 1 >= MAX_REFUSALS
                    last = last or self._all_tried(kind, tried_now)
                    return await self._attempt(request, server, last=last)
                except NotRun as refused:
                    code, failure = refused.code, refused
                self.tally.failed_attempts[code] = (
                    self.tally.failed_attempts.get(code, 0) + 1
                )
                rule = FAILURE_RULES[code]
                if server is not None:
                    tried.add(server.instance.id)
                if rule.reached_server:
                    sent_attempts += 1
                    attempts_used_up = (
                        sent_attempts >= MAX_SENT_ATTEMPTS or not retry_budget.spend()
                    )
                    if attempts_used_up or not self._policy.second_tries:
                        raise failure
                keyed = self._services[kind.service].keyed
                if rule.wait_for_owner and keyed:
                    if (
                        self._clock() >= owner_wait_limit
                        or not self._policy.owner_waits
                    ):
                        raise failure
                    await self._wait_for_owner_change()
                    continue
                refusals += code == "overloaded"
                if keyed or not rule.try_elsewhere or refusals >= MAX_REFUSALS:
                    raise failure
                if self._all_tried(kind, tried):
                    raise failure

    def _all_tried(self, kind, tried):
        """Return whether every server of the service of `kind` is in `tried`."""
        servers = self._servers[kind.service].values()
        return all(server.instance.id in tried for server in servers)

    async def _wait_for_owner_change(self):
        """Wait until owners of keys change, at most `FLEET_POLL_SECONDS`."""
        try:
            with TimeLimit.within(FLEET_POLL_SECONDS, loop=self._loop):
                await self._owners_changed.wait()
        except TimeoutError:
            pass

    def _choose(self, request, tried):
        """Return the owner of the key, or the best server that was not tried yet.

        Raises
        ------
        NotRun
            If there is none, or if the owner is silent.
        """
        kind = request.kind
        picker = request.host.picker
        if self._services[kind.service].keyed:
            owner = self._servers_by_id.get(self._owner(kind.service, request.key))
            if owner is None:
                raise NotRun("no_owner", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            if picker.is_silent(owner.instance, kind.name):
                raise NotRun("silent", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            return owner
        local_id = request.host.server_id
        choices = request.host.server_lists.of(self._instances, kind.service)
        chosen = picker.choose(
            picker.candidates(choices, tried, here=local_id),
            kind=kind.name,
            target=kind.target,
            here=local_id,
        )
        if chosen is None:
            raise NotRun("no_server", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
        return self._servers_by_id[chosen.id]

    def _update_servers(self):
        """Rebuild the indexes of servers after a server was added, removed or changed.

        `ServerLists` requires a new dict whenever an instance has changed.
        """
        self._servers_by_id = {
            server.instance.id: server
            for servers in self._servers.values()
            for server in servers.values()
        }
        self._instances = {
            id: server.instance for id, server in self._servers_by_id.items()
        }

    async def _attempt(self, request, server, *, last):
        """Send a request to a server, and record its answer in the `Picker`."""
        picker = request.host.picker
        picker.begin(server.instance)
        delay = self._network_delay(request.host, server.host)
        try:
            await asyncio.sleep(delay)
            await self._admit_and_run(request, server, last=last)
            picker.note_answer(server.instance, failed=False)
        except _RequestFailed:
            picker.note_answer(server.instance, failed=True)
            raise
        except NotRun as refused:
            if refused.code == "server_refused":
                picker.note_answer(server.instance, failed=True)
            raise
        finally:
            picker.end(server.instance)
        admission = server.admission
        report = Report(
            running=admission.running,
            waiting=admission.waiting,
            slots=admission.slots,
            seconds=admission.seconds,
            of_kind=admission.mean_seconds_for(request.kind.name),
        )
        await asyncio.sleep(delay)
        picker.note_report(server.instance, report, kind=request.kind.name)

    def _network_delay(self, host, other_host):
        """Return the one-way delay between two hosts."""
        same_zone = host.zone == other_host.zone
        return self._scenario.in_zone if same_zone else self._scenario.cross_zone

    # Servers

    async def _admit_and_run(self, request, server, *, last):
        """Queue a request at its server and run it.

        The owner of the key is checked again after the wait in the queue.
        """
        kind, key = request.kind, request.key
        keyed = self._services[kind.service].keyed
        if keyed and not request.is_retry:
            server.key_counts[key] = server.key_counts.get(key, 0) + 1
        if keyed and not self._owns(server, kind, key):
            raise NotRun("moving")
        slot = await server.admission.enter(
            rank=kind.rank,
            kind=kind.name,
            wanted_by=request.wanted_by,
            deadline=request.deadline,
            call=request.is_call,
            last=last or keyed,
        )
        began, has_run = self._clock(), False
        try:
            if keyed and not self._owns(server, kind, key):
                raise NotRun("moving")
            if self._rng.random() < server.refused_share:
                raise NotRun("server_refused")
            has_run = True
            await self._run_request(request, server)
        finally:
            seconds = self._clock() - began if has_run else None
            server.admission.leave(slot, kind=kind.name, seconds=seconds)

    def _owns(self, server, kind, key):
        """Return whether a server owns a key of the service of `kind`."""
        return self._owner(kind.service, key) == server.instance.id

    def _owner(self, service, key):
        """Return the ID of the owner of a key, "" while the key is being moved."""
        if any(first <= key <= last for first, last in self._moving[service]):
            return ""
        return find_run(self._key_runs[service], key).owner

    async def _run_request(self, request, server):
        """Run a request: half of its work, its calls to other servers, the rest.

        A silent server waits until the deadline has passed.
        """
        kind = request.kind
        if server.silent:
            await asyncio.sleep(max(0.0, request.deadline - self._clock()) + 1.0)
        work = kind.work * self._server_rng.lognormal(0.0, kind.spread)
        work *= server.slowdown / server.speed
        await asyncio.sleep(work / 2)
        for calls in kind.calls:
            if self._server_rng.random() < calls.share:
                await self._make_calls(request, server, calls)
        await asyncio.sleep(work / 2)

    async def _make_calls(self, request, server, calls):
        """Make the calls of a request; it fails if one of them is not answered."""
        kind = self._scenario.kind(calls.kind)
        for _ in range(calls.times):
            now = self._clock()
            deadline = min(request.deadline, now + kind.deadline)
            call = _Request(
                kind=kind,
                key=request.key,
                host=server.host,
                first_asked=now,
                started=now,
                wanted_by=min(now + kind.target, deadline),
                deadline=deadline,
                is_call=True,
            )
            try:
                await self._serve(call)
            except (NotRun, TimeoutError):
                raise _RequestFailed from None

    # Leader of the control plane

    async def _run_leader(self):
        """Collect the load reports and plan moves of keys at each report interval."""
        while True:
            await asyncio.sleep(self._scenario.report)
            for name, loads in self._loads.items():
                for server in self._servers[name].values():
                    counts, server.key_counts = server.key_counts, {}
                    loads.note(tuple(counts.items()), 0)
                self._plan_keys(name)

    def _plan_keys(self, name):
        """Plan the keys of a service; apply the grants and start the moves."""
        service = self._services[name]
        capacity = {}
        for server in self._servers[name].values():
            if not server.instance.leaving:
                # 1/8 s is assumed as long as the mean request time is unknown.
                seconds = server.admission.seconds or 1 / 8
                capacity[server.instance.id] = service.slots / seconds
        loads = self._loads[name].current_loads()
        moving = self._moving[name]
        view = KeyRangeView(
            runs=self._key_runs[name],
            capacity=capacity,
            load=loads.busy,
            areas=loads.areas,
            moving=dict(moving),
            policy=self._policy,
        )
        plan = plan_key_ranges(view)
        self._grant_keys(name, plan.grants)
        for first, last, target in plan.moves:
            moving[first, last] = target
            self._spawn(self._move_keys(name, first, last, target))

    async def _move_keys(self, name, first, last, target):
        """Revoke a key range, wait for its running requests, grant it to `target`."""
        servers = self._servers[name].values()
        longest_mean = max(
            (server.admission.seconds for server in servers), default=0.0
        )
        await asyncio.sleep(MOVE_OVERHEAD_SECONDS + longest_mean / 2)
        self._moving[name].pop((first, last), None)
        if any(server.instance.id == target for server in servers):
            self._grant_keys(name, [(first, last, target)])
            self.tally.moved_share += (last - first + 1) / KEY_COUNT

    def _grant_keys(self, name, rows):
        """Set the owners of key ranges, and wake the requests that wait for owners.

        Each row is a first key, a last key, and the ID of the owner or "".
        """
        if not rows:
            return
        self._key_runs[name] = update_runs(
            self._key_runs[name], rows, lambda run, row: replace(run, owner=row[2])
        )
        changed, self._owners_changed = self._owners_changed, Signal(loop=self._loop)
        changed.set()

    # Faults

    async def _inject_fault(self, fault):
        """Apply a fault of servers at its time.

        "hot key" and "burst" concern callers, which check for active faults themselves.
        """
        await asyncio.sleep(fault.at)
        if fault.what in ("hot key", "burst"):
            return
        servers = self._servers[fault.service]
        numbers = list(servers) if fault.server < 0 else [fault.server]
        for number in numbers:
            self._spawn(self._apply_fault(fault, number))

    async def _apply_fault(self, fault, number):
        """Apply a fault to one server, and end it after its duration."""
        service = self._services[fault.service]
        server = self._servers[fault.service][number]
        if fault.what == "slow":
            server.slowdown = fault.factor
            await asyncio.sleep(fault.seconds)
            server.slowdown = 1.0
        elif fault.what == "shed":
            server.refused_share = fault.share
            await asyncio.sleep(fault.seconds)
            server.refused_share = 0.0
        elif fault.what == "dark":
            server.silent = True
            await asyncio.sleep(fault.seconds)
            server.silent = False
        else:
            await self._stop_and_restart(fault, service, number)

    async def _stop_and_restart(self, fault, service, number):
        """Stop a server by leaving or crashing, and restart it as a new instance."""
        server = self._servers[service.name][number]
        if fault.what == "leave":
            server.instance = replace(server.instance, leaving=True)
            self._update_servers()
        else:
            server.silent = True
        await asyncio.sleep(DETECTION_SECONDS)
        if fault.what == "crash":
            self._servers[service.name].pop(number)
            self._update_servers()
            if service.keyed:
                runs = self._key_runs[service.name]
                rows = [
                    (run.first, run.last, "")
                    for run in runs
                    if run.owner == server.instance.id
                ]
                self._grant_keys(service.name, rows)
                self._plan_keys(service.name)
        await asyncio.sleep(fault.seconds)
        self._hosts.remove(server.host)
        self._servers[service.name].pop(number, None)
        self._start_server(service, number)
