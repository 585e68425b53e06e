"""A deployment in virtual time that runs the decisions of the product.

Admission, choice of servers, memory of callers that come back, share of second
tries, loads by key and plans of moves are those of the product; sockets,
processes and the log are not there.
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
from guavastream.relay import AdmissionQueue, NotRun, Picker, Report, RetryBudget
from guavastream.relay.ingress import (
    BOOK_POLL_SECONDS,
    DEFAULT_RETRY_AFTER_SECONDS,
    MAX_REFUSALS,
    MIN_REMAINING_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    OWNER_WAIT_SHARE,
)
from guavastream.relay.job import LAST_HOP_MARGIN_SECONDS
from guavastream.relay.outcome import FAILURE_RULES
from guavastream.relay.returns import RetryTracker
from guavastream.relay.servers import ServerLists

__all__ = ["Counts", "Model", "Tally"]

# Things that callers ask about; each is one key, the popular ones side by side.
THINGS = 60000
# Tries at servers for one request.
MOST_ARRIVALS = 2
RETRY_RATIO = 0.2
# A move takes a commit and two calls beyond the work that runs on its keys.
MOVE_SECONDS = 0.012
# A host finds that its server has crashed, and a leader that it leaves.
NOTICE_SECONDS = 0.4
# Width of the intervals for which outcomes are counted, seconds.
BUCKET_SECONDS = 0.5


@dataclass(kw_only=True, slots=True)
class Counts:
    """What became of requests, each counted once, by its caller's last try."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    def share(self, late_worth):
        """Return what was earned of what was asked, with late answers' worth."""
        if not self.asked:
            return 1.0
        return (self.in_time + late_worth * self.late) / self.asked


@dataclass(kw_only=True, slots=True)
class Tally:
    """Outcomes of a run: by kind, and by kind and interval of time.

    `seconds` are those from a caller's first try to its answer, by kind;
    `tries` counts tries of hosts that brought no answer, by code; `moved` is
    the share of all keys that changed hands.
    """

    kinds: dict = field(default_factory=dict)
    buckets: dict = field(default_factory=dict)
    seconds: dict = field(default_factory=dict)
    tries: dict = field(default_factory=dict)
    moved: float = 0.0


class _Failed(Exception):
    """The request ran, and its answer is a failure."""


@dataclass(kw_only=True, slots=True)
class _Host:
    """A host beside a server: what its process knows."""

    zone: str
    picker: Picker
    lists: ServerLists
    returns: RetryTracker
    here: str = ""
    shares: dict = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _Server:
    """A backend server and the queue before it."""

    instance: Instance
    host: _Host
    gate: AdmissionQueue
    speed: float
    factor: float = 1.0
    shed: float = 0.0
    dark: bool = False
    counts: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Request:
    """One try of a caller, or a call of a server."""

    kind: object
    key: int
    host: _Host
    first: float
    started: float
    wanted_by: float
    deadline: float
    call: bool = False

    @property
    def again(self):
        return self.first < self.started


class Model:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
        What is played.
    seed : int
        Of all that is random; equal seeds meet equal callers.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(self, *, scenario, seed, policy=None):
        self._scenario = scenario
        self._policy = policy or Policy()
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        # Callers draw from a stream of their own, so that two policies meet
        # the same ones whatever their servers draw.
        self._callers = np.random.default_rng([seed, 1])
        self._work = np.random.default_rng([seed, 2])
        self._rng = random.Random(seed)
        self._keys = self._draw_keys(seed)
        self._services = {service.name: service for service in scenario.services}
        self._servers = {service.name: {} for service in scenario.services}
        self._instances, self._by_id = {}, {}
        self._runs = {}
        self._loads = {}
        self._moving = {}
        self._hosts = []
        self._changed = Signal(loop=self._loop)
        self._ids = itertools.count()
        self._tasks = set()
        self.tally = Tally(kinds={kind.name: Counts() for kind in scenario.kinds})
        for service in scenario.services:
            for number in range(service.size):
                self._start_server(service, number)
            if service.keyed:
                self._loads[service.name] = KeyLoads(
                    clock=self._clock, policy=self._policy
                )
                self._moving[service.name] = {}
                self._runs[service.name] = (KeyRun(first=0, last=KEY_COUNT - 1),)
                self._plan(service.name)

    def _draw_keys(self, seed):
        """Return where the busiest keys begin, and the weights of all things."""
        rng = np.random.default_rng([seed, 3])
        return int(rng.integers(0, KEY_COUNT)), {}

    def _start_server(self, service, number):
        scenario = self._scenario
        zone = f"zone-{len(self._hosts) % scenario.zones}"
        id = f"{service.name}-{number}-{next(self._ids)}"
        host = _Host(
            zone=zone,
            picker=Picker(
                clock=self._clock, rng=self._rng, zone=zone, policy=self._policy
            ),
            lists=ServerLists(host=id, zone=zone, sampled=self._policy.sampled),
            returns=RetryTracker(),
            here=id,
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
        gate = AdmissionQueue(loop=self._loop, slots=service.slots, policy=self._policy)
        server = _Server(
            instance=instance, host=host, gate=gate, speed=service.speed(number)
        )
        self._servers[service.name][number] = server
        self._hosts.append(host)
        self._note_servers()

    async def run(self):
        """Play the scenario to its end and return the `Tally`."""
        for fault in self._scenario.faults:
            self._spawn(self._strike(fault))
        if self._runs:
            self._spawn(self._lead())
        callers = [
            self._loop.create_task(self._call_all(kind))
            for kind in self._scenario.kinds
            if kind.rate
        ]
        await asyncio.gather(*callers)
        for task in self._tasks:
            task.cancel()
        return self.tally

    def _spawn(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Callers

    async def _call_all(self, kind):
        rng = np.random.default_rng(self._callers.integers(0, 2**63))
        weights = np.arange(1, THINGS + 1, dtype=float) ** -kind.skew
        popular = np.cumsum(weights) / weights.sum()
        tasks = []
        while self._clock() < self._scenario.seconds:
            await asyncio.sleep(rng.exponential(1 / self._rate(kind)))
            key = self._key(kind, rng, popular)
            host = self._hosts[int(rng.integers(len(self._hosts)))]
            patience = kind.deadline * (1 - kind.impatience * rng.random())
            tasks.append(self._loop.create_task(self._call(kind, key, host, patience)))
        await asyncio.gather(*tasks)

    def _rate(self, kind):
        rate = kind.rate
        for fault in self._at_work("burst"):
            if fault.kind in ("", kind.name):
                rate *= fault.factor
        return rate

    def _key(self, kind, rng, popular):
        first, hot = self._keys
        for fault in self._at_work("hot key"):
            if fault.kind == kind.name and rng.random() < fault.share:
                return hot.setdefault(fault, int(rng.integers(0, KEY_COUNT)))
        thing = int(np.searchsorted(popular, rng.random()))
        return (first + thing) % KEY_COUNT

    def _at_work(self, what):
        now = self._clock()
        return [
            fault
            for fault in self._scenario.faults
            if fault.what == what and fault.at <= now < fault.at + fault.seconds
        ]

    async def _call(self, kind, key, host, patience):
        """One caller: its tries, until it is served or has had enough."""
        scenario = self._scenario
        first = self._clock()
        outcome = "refused"
        for chance in range(kind.retries + 1):
            await asyncio.sleep(scenario.to_callers)
            started = self._clock()
            left = first + patience - started
            outcome, pause = await self._take(kind, key, host, first, started, left)
            await asyncio.sleep(scenario.to_callers)
            left = first + patience - self._clock()
            again = outcome == "refused" or (outcome == "failed" and kind.idempotent)
            if not again or chance == kind.retries or left <= 0:
                break
            await asyncio.sleep(min(pause, left / 3))
        self._count(kind, first, outcome)

    def _count(self, kind, first, outcome):
        took = self._clock() - first
        if outcome == "served":
            outcome = "in_time" if took <= kind.target else "late"
        bucket = (kind.name, int(first / BUCKET_SECONDS))
        counted = [self.tally.buckets.setdefault(bucket, Counts())]
        if first >= self._scenario.counted_from:
            counted.append(self.tally.kinds[kind.name])
            if outcome in ("in_time", "late"):
                self.tally.seconds.setdefault(kind.name, []).append(took)
        for counts in counted:
            counts.asked += 1
            setattr(counts, outcome, getattr(counts, outcome) + 1)

    async def _take(self, kind, key, host, first, started, left):
        """Take a caller's request at a host; return its outcome and a pause."""
        what = (kind.name, key)
        known = started
        if self._policy.returns:
            known = host.returns.pop_first_asked(
                what, gives_up=started + left, now=started
            )
        deadline = started + min(left, kind.timeout) - LAST_HOP_MARGIN_SECONDS
        request = _Request(
            kind=kind,
            key=key,
            host=host,
            first=known,
            started=started,
            wanted_by=min(known + kind.target, deadline),
            deadline=deadline,
        )
        pause = 0.0
        try:
            if deadline - started < MIN_REMAINING_SECONDS:
                raise NotRun("no_time")
            await self._serve(request)
            return "served", pause
        except NotRun as refused:
            outcome = "refused"
            pause = max(
                MIN_RETRY_AFTER_SECONDS,
                refused.retry_after or DEFAULT_RETRY_AFTER_SECONDS,
            )
            pause *= self._rng.uniform(0.7, 1.3)
        except (_Failed, TimeoutError):
            outcome = "failed"
        host.returns.note(what, gives_up=started + left, first=known)
        return outcome, pause

    # A host

    async def _serve(self, request):
        """Bring a request to a server, with second tries where they are safe."""
        kind = request.kind
        share = request.host.shares.get(kind.service)
        if share is None:
            share = request.host.shares[kind.service] = RetryBudget(ratio=RETRY_RATIO)
        share.earn()
        tried, arrivals, refusals = set(), 0, 0
        patience = OWNER_WAIT_SHARE * self._policy.owner_wait
        patience = self._clock() + (request.deadline - self._clock()) * patience
        with TimeLimit(loop=self._loop, when=request.deadline):
            while True:
                server = None
                try:
                    server = self._choose(request, tried)
                    others = tried | {server.instance.id}
                    last = refusals + 1 >= MAX_REFUSALS
                    last = last or self._all_tried(kind, others)
                    return await self._try(request, server, last=last)
                except NotRun as refused:
                    code, failure = refused.code, refused
                self.tally.tries[code] = self.tally.tries.get(code, 0) + 1
                verdict = FAILURE_RULES[code]
                if server is not None:
                    tried.add(server.instance.id)
                if verdict.reached_server:
                    arrivals += 1
                    spent = arrivals >= MOST_ARRIVALS or not share.spend()
                    if spent or not self._policy.second_tries:
                        raise failure
                keyed = self._services[kind.service].keyed
                if verdict.wait_for_owner and keyed:
                    if self._clock() >= patience or not self._policy.owner_waits:
                        raise failure
                    await self._wait_for_change()
                    continue
                refusals += code == "overloaded"
                if keyed or not verdict.try_elsewhere or refusals >= MAX_REFUSALS:
                    raise failure
                if self._all_tried(kind, tried):
                    raise failure

    def _all_tried(self, kind, tried):
        servers = self._servers[kind.service].values()
        return all(server.instance.id in tried for server in servers)

    async def _wait_for_change(self):
        try:
            with TimeLimit.within(BOOK_POLL_SECONDS, loop=self._loop):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _choose(self, request, tried):
        kind = request.kind
        picker = request.host.picker
        if self._services[kind.service].keyed:
            owner = self._by_id.get(self._owner(kind.service, request.key))
            if owner is None:
                raise NotRun("no_owner", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            if picker.is_silent(owner.instance, kind.name):
                raise NotRun("silent", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
            return owner
        here = request.host.here
        choices = request.host.lists.of(self._instances, kind.service)
        chosen = picker.choose(
            picker.candidates(choices, tried, here=here),
            kind=kind.name,
            target=kind.target,
            here=here,
        )
        if chosen is None:
            raise NotRun("no_server", retry_after=DEFAULT_RETRY_AFTER_SECONDS)
        return self._by_id[chosen.id]

    def _note_servers(self):
        """Note that servers came, went, or said that they leave."""
        self._by_id = {
            server.instance.id: server
            for servers in self._servers.values()
            for server in servers.values()
        }
        self._instances = {id: server.instance for id, server in self._by_id.items()}

    async def _try(self, request, server, *, last):
        picker = request.host.picker
        picker.begin(server.instance)
        delay = self._delay(request.host, server.host)
        try:
            await asyncio.sleep(delay)
            await self._guard(request, server, last=last)
            picker.note_answer(server.instance, failed=False)
        except _Failed:
            picker.note_answer(server.instance, failed=True)
            raise
        except NotRun as refused:
            if refused.code == "server_refused":
                picker.note_answer(server.instance, failed=True)
            raise
        finally:
            picker.end(server.instance)
        gate = server.gate
        report = Report(
            running=gate.running,
            waiting=gate.waiting,
            slots=gate.slots,
            seconds=gate.seconds,
            of_kind=gate.mean_seconds_for(request.kind.name),
        )
        await asyncio.sleep(delay)
        picker.note_report(server.instance, report, kind=request.kind.name)

    def _delay(self, host, other):
        same = host.zone == other.zone
        return self._scenario.in_zone if same else self._scenario.cross_zone

    # A server

    async def _guard(self, request, server, *, last):
        kind, key = request.kind, request.key
        keyed = self._services[kind.service].keyed
        if keyed and not request.again:
            server.counts[key] = server.counts.get(key, 0) + 1
        if keyed and not self._owns(server, kind, key):
            raise NotRun("moving")
        usual = await server.gate.enter(
            rank=kind.rank,
            kind=kind.name,
            wanted_by=request.wanted_by,
            deadline=request.deadline,
            call=request.call,
            last=last or keyed,
        )
        began, ran = self._clock(), False
        try:
            if keyed and not self._owns(server, kind, key):
                raise NotRun("moving")
            if self._rng.random() < server.shed:
                raise NotRun("server_refused")
            ran = True
            await self._run(request, server)
        finally:
            seconds = self._clock() - began if ran else None
            server.gate.leave(usual, kind=kind.name, seconds=seconds)

    def _owns(self, server, kind, key):
        return self._owner(kind.service, key) == server.instance.id

    def _owner(self, service, key):
        """Return the id of a key's owner, "" while it moves."""
        if any(first <= key <= last for first, last in self._moving[service]):
            return ""
        return find_run(self._runs[service], key).owner

    async def _run(self, request, server):
        kind = request.kind
        if server.dark:
            await asyncio.sleep(max(0.0, request.deadline - self._clock()) + 1.0)
        work = kind.work * self._work.lognormal(0.0, kind.spread)
        work *= server.factor / server.speed
        await asyncio.sleep(work / 2)
        for calls in kind.calls:
            if self._work.random() < calls.share:
                await self._ask_others(request, server, calls)
        await asyncio.sleep(work / 2)

    async def _ask_others(self, request, server, calls):
        kind = self._scenario.kind(calls.kind)
        for _ in range(calls.times):
            now = self._clock()
            deadline = min(request.deadline, now + kind.deadline)
            call = _Request(
                kind=kind,
                key=request.key,
                host=server.host,
                first=now,
                started=now,
                wanted_by=min(now + kind.target, deadline),
                deadline=deadline,
                call=True,
            )
            try:
                await self._serve(call)
            except (NotRun, TimeoutError):
                raise _Failed from None

    # The leader

    async def _lead(self):
        while True:
            await asyncio.sleep(self._scenario.report)
            for name, loads in self._loads.items():
                for server in self._servers[name].values():
                    counts, server.counts = server.counts, {}
                    loads.note(tuple(counts.items()), 0)
                self._plan(name)

    def _plan(self, name):
        service = self._services[name]
        capacity = {}
        for server in self._servers[name].values():
            if not server.instance.leaving:
                seconds = server.gate.seconds or 1 / 8
                capacity[server.instance.id] = service.slots / seconds
        loads = self._loads[name].current_loads()
        moving = self._moving[name]
        view = KeyRangeView(
            runs=self._runs[name],
            capacity=capacity,
            load=loads.busy,
            areas=loads.areas,
            moving=dict(moving),
            policy=self._policy,
        )
        plan = plan_key_ranges(view)
        self._grant(name, plan.grants)
        for first, last, target in plan.moves:
            moving[first, last] = target
            self._spawn(self._move(name, first, last, target))

    async def _move(self, name, first, last, target):
        """Take keys from their owner, wait for its work on them, grant them on."""
        owners = self._servers[name].values()
        usual = max((server.gate.seconds for server in owners), default=0.0)
        await asyncio.sleep(MOVE_SECONDS + usual / 2)
        self._moving[name].pop((first, last), None)
        if any(server.instance.id == target for server in owners):
            self._grant(name, [(first, last, target)])
            self.tally.moved += (last - first + 1) / KEY_COUNT

    def _grant(self, name, rows):
        if not rows:
            return
        self._runs[name] = update_runs(
            self._runs[name], rows, lambda run, row: replace(run, owner=row[2])
        )
        changed, self._changed = self._changed, Signal(loop=self._loop)
        changed.set()

    # Faults

    async def _strike(self, fault):
        await asyncio.sleep(fault.at)
        if fault.what in ("hot key", "burst"):
            return
        servers = self._servers[fault.service]
        numbers = list(servers) if fault.server < 0 else [fault.server]
        for number in numbers:
            self._spawn(self._strike_server(fault, number))

    async def _strike_server(self, fault, number):
        service = self._services[fault.service]
        server = self._servers[fault.service][number]
        if fault.what == "slow":
            server.factor = fault.factor
            await asyncio.sleep(fault.seconds)
            server.factor = 1.0
        elif fault.what == "shed":
            server.shed = fault.share
            await asyncio.sleep(fault.seconds)
            server.shed = 0.0
        elif fault.what == "dark":
            server.dark = True
            await asyncio.sleep(fault.seconds)
            server.dark = False
        else:
            await self._lose(fault, service, number)

    async def _lose(self, fault, service, number):
        """Let a server leave or crash, and come back as another life of it."""
        server = self._servers[service.name][number]
        if fault.what == "leave":
            server.instance = replace(server.instance, leaving=True)
            self._note_servers()
        else:
            server.dark = True
        await asyncio.sleep(NOTICE_SECONDS)
        if fault.what == "crash":
            self._servers[service.name].pop(number)
            self._note_servers()
            if service.keyed:
                runs = self._runs[service.name]
                rows = [
                    (run.first, run.last, "")
                    for run in runs
                    if run.owner == server.instance.id
                ]
                self._grant(service.name, rows)
                self._plan(service.name)
        await asyncio.sleep(fault.seconds)
        self._hosts.remove(server.host)
        self._servers[service.name].pop(number, None)
        self._start_server(service, number)
