"""Two services in a row, played in simulated time: pages whose servers call."""

import asyncio
import random
from dataclasses import dataclass, field

from guavastream.emulator import run_paused
from guavastream.fleet import Instance
from guavastream.relay import AdmissionQueue, NotRun, Picker, Report

__all__ = ["Kind", "Tandem"]

SLOTS = 18
# A caller comes back once after a refusal, as long as it has this much left.
LEAST_LEFT = 0.05


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one kind; times in seconds, `calls` are of the `called` kind."""

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


@dataclass(kw_only=True)
class Counts:
    """What callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    seconds: list = field(default_factory=list)

    @property
    def share(self):
        """Share that was answered within its target."""
        return self.in_time / max(1, self.asked)


class Server:
    """A server with its gate."""

    def __init__(self, *, gate, instance, speed):
        self.gate, self.instance, self.speed = gate, instance, speed


class Tandem:
    """Callers, services and servers; `run` returns the counts of each kind."""

    def __init__(self, *, kinds, servers, queue=AdmissionQueue, seconds=20.0, seed=1):
        self.kinds, self.seconds = kinds, seconds
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
                    slots=SLOTS,
                )
                gate = self._queue(loop=asyncio.get_running_loop(), slots=SLOTS)
                self.services[service][id] = Server(
                    gate=gate, instance=instance, speed=speed
                )
        tasks = [asyncio.ensure_future(self._callers(kind)) for kind in self.kinds]
        await asyncio.gather(*tasks)

    async def _callers(self, kind):
        tasks = []
        while self.clock() < self.seconds:
            await asyncio.sleep(self.rng.expovariate(kind.rate))
            tasks.append(asyncio.ensure_future(self._caller(kind)))
        await asyncio.gather(*tasks)

    async def _caller(self, kind):
        counts = self.counts[kind.name]
        counts.asked += 1
        began = self.clock()
        for chance in range(2):
            try:
                await self._ask(kind, began, began + kind.deadline, call=False)
            except NotRun as refused:
                seconds = refused.retry_after * self.rng.uniform(0.7, 1.3)
                left = began + kind.deadline - self.clock()
                if chance or left - seconds < LEAST_LEFT:
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

    async def _ask(self, kind, began, deadline, *, call):
        servers = self.services[kind.service]
        if kind.keyed:
            ids = list(servers)
            weights = [server.speed for server in servers.values()]
            id = self.rng.choices(ids, weights)[0]
            await self._try(kind, servers[id], began, deadline, call=call)
            return
        tried = set()
        while True:
            instances = [server.instance for server in servers.values()]
            chosen = self.picker.choose(instances, tried, kind=kind.name)
            try:
                await self._try(kind, servers[chosen.id], began, deadline, call=call)
                return
            except NotRun:
                tried.add(chosen.id)
                if len(tried) == len(servers):
                    raise

    async def _try(self, kind, server, began, deadline, *, call):
        chosen = server.instance
        self.picker.begin(chosen)
        wanted_by = min(began + kind.target, deadline)
        try:
            usual = await server.gate.enter(
                rank=kind.rank,
                kind=kind.name,
                wanted_by=wanted_by,
                deadline=deadline,
                call=call,
            )
            started = self.clock()
            try:
                async with asyncio.timeout_at(deadline):
                    await self._work(kind, server, deadline)
            finally:
                server.gate.leave(usual, kind=kind.name, seconds=self.clock() - started)
        finally:
            self.picker.end(chosen)
            gate = server.gate
            report = Report(
                running=gate.running,
                waiting=gate.waiting,
                slots=gate.slots,
                seconds=gate.seconds,
                of_kind=gate.mean_seconds_for(kind.name),
            )
            self.picker.note_report(chosen, report, kind=kind.name)

    async def _work(self, kind, server, deadline):
        work = self.rng.lognormvariate(0, 0.3) * kind.work / server.speed
        await asyncio.sleep(work / 2)
        if kind.calls and self.rng.random() < kind.call_share:
            now = self.clock()
            until = min(deadline, now + kind.called.deadline)
            calls = [
                self._ask(kind.called, now, until, call=True) for _ in range(kind.calls)
            ]
            try:
                await asyncio.gather(*calls)
            except NotRun:
                raise TimeoutError from None
        await asyncio.sleep(work / 2)
