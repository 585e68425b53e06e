"""Simulates two services, one of which calls the other, on a paused clock."""

import asyncio
import random
from dataclasses import dataclass, field

from guavastream.emulator import run_paused
from guavastream.fleet import Instance
from guavastream.scheduling import (
    AdmissionQueue,
    NotRun,
    Picker,
    Report,
)

__all__ = ["Kind", "TwoServiceSimulation"]

SLOTS = 18
# A caller retries once after a refusal, if this much of its time would be left.
MIN_REMAINING_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one kind; times in seconds.

    With probability `call_share` a request makes `calls` calls of the kind `called`.
    Between the two times of `burst` the rate is `burst_factor` times as high. Calls
    have the `rank` of their route, but the urgency of the request that makes them.
    """

    name: str
    service: str
    rate: float
    work: float
    target: float
    deadline: float
    rank: int
    calls: int = 0
    call_share: float = 0.0
    called: object = None
    keyed: bool = False
    burst: tuple = (0.0, 0.0)
    burst_factor: float = 1.0


@dataclass(kw_only=True)
class Counts:
    """Outcomes of the requests of one kind."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    seconds: list = field(default_factory=list)
    # Calls made by requests of this kind, those answered, and their times.
    calls: int = 0
    call_seconds: list = field(default_factory=list)

    def call_share_within(self, seconds):
        """Return the share of the calls that were answered within some seconds."""
        return sum(s <= seconds for s in self.call_seconds) / max(1, self.calls)

    @property
    def served(self):
        """Share of the requests that were answered."""
        return (self.in_time + self.late) / max(1, self.requests)

    @property
    def share(self):
        """Share of the requests that were answered within their target."""
        return self.in_time / max(1, self.requests)


class Server:
    """A server with its admission queue."""

    def __init__(self, *, admission_queue, instance, speed):
        self.admission_queue, self.instance, self.speed = (
            admission_queue,
            instance,
            speed,
        )


class TwoServiceSimulation:
    """Callers, services and servers; `run` returns the counts by kind.

    Servers of the services in `by_class` reserve slots for more urgent requests, whose
    urgencies are from 0 to `least_urgent`. Each server is `slow_factor` times as slow
    in a share `slow_share` of all periods of `slow_seconds`.
    """

    def __init__(
        self,
        *,
        kinds,
        servers,
        queue=AdmissionQueue,
        seconds=20.0,
        seed=1,
        slots=SLOTS,
        by_class=(),
        least_urgent=2,
        slow_share=0.0,
        slow_seconds=0.4,
        slow_factor=3.0,
    ):
        self.kinds, self.seconds = kinds, seconds
        self._slots, self._by_class, self._least_urgent = slots, by_class, least_urgent
        self._slow = slow_share, slow_seconds, slow_factor
        self._slow_rng = random.Random(seed)
        self._slow_periods = {}
        self.rng = random.Random(seed)
        self.counts = {kind.name: Counts() for kind in kinds}
        self._servers, self._queue = servers, queue

    def run(self):
        run_paused(self._run())
        return self.counts

    async def _run(self):
        clock = asyncio.get_running_loop().time
        self.clock = clock
        self.picker = Picker(clock=clock, rng=self.rng)
        self.services = {}
        for service, speeds in self._servers.items():
            self.services[service] = {}
            for number, speed in enumerate(speeds):
                id = f"{service}-{number}"
                instance = Instance(
                    id=id,
                    service=service,
                    host="",
                    door="",
                    address="",
                    zone="",
                    slots=self._slots,
                )
                admission_queue = self._queue(
                    loop=asyncio.get_running_loop(), slots=self._slots
                )
                if service in self._by_class:
                    admission_queue.by_class = True
                self.services[service][id] = Server(
                    admission_queue=admission_queue, instance=instance, speed=speed
                )
        tasks = [asyncio.ensure_future(self._callers(kind)) for kind in self.kinds]
        await asyncio.gather(*tasks)

    async def _callers(self, kind):
        tasks = []
        while self.clock() < self.seconds:
            rate = kind.rate
            if kind.burst[0] <= self.clock() < kind.burst[1]:
                rate *= kind.burst_factor
            await asyncio.sleep(self.rng.expovariate(rate))
            tasks.append(asyncio.ensure_future(self._caller(kind)))
        await asyncio.gather(*tasks)

    async def _caller(self, kind):
        counts = self.counts[kind.name]
        counts.requests += 1
        began = self.clock()
        for attempt in range(2):
            try:
                await self._ask(
                    kind,
                    began,
                    began + kind.deadline,
                    urgency=kind.rank,
                    again=attempt > 0,
                )
            except NotRun as refused:
                seconds = refused.retry_after * self.rng.uniform(0.7, 1.3)
                left = began + kind.deadline - self.clock()
                if attempt or left - seconds < MIN_REMAINING_SECONDS:
                    counts.refused += 1
                    return
                await asyncio.sleep(min(seconds, left / 3))
            except TimeoutError:
                counts.failed += 1
                return
            else:
                took = self.clock() - began
                counts.seconds.append(took)
                if took <= kind.target:
                    counts.in_time += 1
                else:
                    counts.late += 1
                return

    async def _ask(self, kind, began, deadline, *, urgency, call=False, again=False):
        how = {"urgency": urgency, "call": call, "again": again}
        servers = self.services[kind.service]
        if kind.keyed:
            ids = list(servers)
            weights = [server.speed for server in servers.values()]
            id = self.rng.choices(ids, weights)[0]
            await self._try(kind, servers[id], began, deadline, **how)
            return
        tried = set()
        while True:
            instances = [server.instance for server in servers.values()]
            instance = self.picker.choose(
                instances,
                tried,
                kind=kind.name,
                class_position=urgency / self._least_urgent,
            )
            how["last"] = len(tried) + 1 == len(servers)
            try:
                await self._try(kind, servers[instance.id], began, deadline, **how)
                return
            except NotRun:
                tried.add(instance.id)
                if len(tried) == len(servers):
                    raise

    async def _try(self, kind, server, began, deadline, **how):
        instance = server.instance
        self.picker.begin(instance)
        wanted_by = min(began + kind.target, deadline)
        try:
            usual = await server.admission_queue.enter(
                rank=kind.rank,
                kind=kind.name,
                wanted_by=wanted_by,
                deadline=deadline,
                **how,
            )
            started = self.clock()
            try:
                async with asyncio.timeout_at(deadline):
                    await self._work(kind, server, deadline, how["urgency"])
            finally:
                server.admission_queue.leave(
                    usual, kind=kind.name, seconds=self.clock() - started
                )
        finally:
            self.picker.end(instance)
            admission_queue = server.admission_queue
            report = Report(
                running=admission_queue.running,
                waiting=admission_queue.waiting,
                slots=admission_queue.slots,
                seconds=admission_queue.seconds,
                of_kind=admission_queue.mean_seconds_for(kind.name),
                **self._class_waits(kind.service, admission_queue),
            )
            self.picker.note_report(instance, report, kind=kind.name)

    def _class_waits(self, service, queue):
        if service not in self._by_class:
            return {}
        return {
            "most_urgent_wait": queue.expected_wait(0),
            "least_urgent_wait": queue.expected_wait(self._least_urgent),
        }

    def _slowness(self, server):
        """Return the factor on the time of work that starts now at a server."""
        share, seconds, factor = self._slow
        if not share:
            return 1.0
        period = server.instance.id, int(self.clock() / seconds)
        if period not in self._slow_periods:
            self._slow_periods[period] = self._slow_rng.random() < share
        return factor if self._slow_periods[period] else 1.0

    async def _work(self, kind, server, deadline, urgency):
        work = self.rng.lognormvariate(0, 0.3) * kind.work / server.speed
        work *= self._slowness(server)
        await asyncio.sleep(work / 2)
        if kind.calls and self.rng.random() < kind.call_share:
            now = self.clock()
            until = min(deadline, now + kind.called.deadline)
            calls = [self._call(kind, now, until, urgency) for _ in range(kind.calls)]
            try:
                await asyncio.gather(*calls)
            except NotRun:
                raise TimeoutError from None
        await asyncio.sleep(work / 2)

    async def _call(self, kind, now, until, urgency):
        counts = self.counts[kind.name]
        counts.calls += 1
        await self._ask(kind.called, now, until, urgency=urgency, call=True)
        counts.call_seconds.append(self.clock() - now)
