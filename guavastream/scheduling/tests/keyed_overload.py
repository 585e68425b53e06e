"""Simulates overload of a keyed service behind several ingresses, on a paused clock."""

import asyncio
import random
from dataclasses import dataclass, field

from guavastream.emulator import run_paused
from guavastream.scheduling import (
    AdmissionQueue,
    ClassAdmission,
    IngressAdmission,
    LevelBoard,
    NotRun,
    RetryTracker,
    ReturnTimes,
)

__all__ = ["ORDER", "STATUS", "Kind", "KeyedOverload"]

SLOTS = 6
# Time from an ingress to the host of a server or back.
HOP_SECONDS = 0.002
# A caller that does not wait repeats at once, three times as often as one that waits.
IMPATIENT_SECONDS = 0.02
PATIENT_RETRIES = 2
IMPATIENT_RETRIES = 6
# A caller does not retry if less of its time would be left.
MIN_REMAINING_SECONDS = 0.05
DEFAULT_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests of one kind; times in seconds, rates by time of the simulation."""

    name: str
    urgency: int
    work: float
    target: float
    deadline: float
    value: float
    late_value: float


STATUS = Kind(
    name="status",
    urgency=0,
    work=0.18,
    target=0.623,
    deadline=4.981,
    value=1.3,
    late_value=0.16,
)
ORDER = Kind(
    name="order",
    urgency=1,
    work=0.23,
    target=0.921,
    deadline=5.753,
    value=1.4,
    late_value=0.41,
)


@dataclass(kw_only=True)
class Counts:
    """What the callers of one kind got."""

    callers: int = 0
    in_time: int = 0
    late: int = 0
    refusals: int = 0
    refusals_after_hop: int = 0
    # Times from a try to its refusal.
    refusal_seconds: list = field(default_factory=list)
    # Clock time of the first try, and whether the answer was in time, of each caller.
    outcomes: list = field(default_factory=list)
    # Callers, and those answered in time, by whether they repeat at once.
    impatient: dict = field(default_factory=lambda: {True: [0, 0], False: [0, 0]})

    @property
    def share(self):
        """Share of the callers that were answered in time."""
        return self.in_time / max(1, self.callers)

    def share_since(self, since):
        """Return the share answered in time of callers that came after a time."""
        found = [in_time for began, in_time in self.outcomes if began >= since]
        return sum(found) / len(found)

    def share_of(self, *, impatient):
        """Return the share answered in time of callers that repeat at once or wait."""
        callers, in_time = self.impatient[impatient]
        return in_time / max(1, callers)

    @property
    def served_share(self):
        """Share of the callers that were answered."""
        return (self.in_time + self.late) / max(1, self.callers)


class _Server:
    """A server with its admission, with or without classes."""

    def __init__(self, *, loop, id, speed, classes, rng):
        self.id, self.speed = id, speed
        self.served = True
        return_times = ReturnTimes(clock=loop.time) if classes else None
        self.return_times = return_times
        self.queue = AdmissionQueue(loop=loop, slots=SLOTS, return_times=return_times)
        self.admission = None
        if classes:
            self.admission = ClassAdmission(
                clock=loop.time, rng=rng, queue=self.queue, return_times=return_times
            )


class _Ingress:
    """What one ingress knows of servers and callers."""

    def __init__(self, *, clock, rng, classes):
        self.returns = RetryTracker()
        self.board = self.admission = None
        if classes:
            self.board = LevelBoard(clock=clock, rng=rng)
            self.admission = IngressAdmission(clock=clock, rng=rng, board=self.board)
        self.kind_seconds = {}


class KeyedOverload:
    """Callers, ingresses and the servers that own the keys.

    Parameters
    ----------
    rates : callable
        Returns the requests per second of a `Kind` at a time of the simulation.
    classes : bool
        Whether admission by class is on.
    impatient : float
        Share of the callers that repeat at once.
    seconds : float
        Time for which callers arrive.
    """

    def __init__(
        self,
        *,
        rates,
        classes,
        kinds=(STATUS, ORDER),
        speeds=(0.6, 1.0, 1.4, 1.0),
        ingresses=6,
        impatient=0.5,
        seconds=10.0,
        seed=1,
    ):
        self.rng = random.Random(seed)
        # Callers are the same for all kinds of admission.
        self.arrivals = random.Random(seed)
        self.rates, self.classes, self.kinds = rates, classes, kinds
        self.impatient, self.seconds = impatient, seconds
        self.counts = {kind.name: Counts() for kind in kinds}
        self._speeds, self._ingress_number = speeds, ingresses
        self._numbers = iter(range(10**9))

    def run(self):
        run_paused(self._run())
        return self

    @property
    def value(self):
        """Mean value of a request."""
        total = sum(
            kind.value * self.counts[kind.name].in_time
            + kind.late_value * self.counts[kind.name].late
            for kind in self.kinds
        )
        return total / sum(
            kind.value * self.counts[kind.name].callers for kind in self.kinds
        )

    @property
    def hop_share(self):
        """Share of all refusals that were made after a hop."""
        counts = self.counts.values()
        hops = sum(c.refusals_after_hop for c in counts)
        return hops / max(1, sum(c.refusals for c in counts))

    async def _run(self):
        loop = asyncio.get_running_loop()
        self.clock = loop.time
        self.servers = [
            _Server(
                loop=loop,
                id=f"s{number}",
                speed=speed,
                classes=self.classes,
                rng=self.rng,
            )
            for number, speed in enumerate(self._speeds)
        ]
        self.ingresses = [
            _Ingress(clock=loop.time, rng=self.rng, classes=self.classes)
            for _ in range(self._ingress_number)
        ]
        await asyncio.gather(*(self._callers(kind) for kind in self.kinds))

    async def _callers(self, kind):
        tasks = []
        while True:
            rate = self.rates(kind, self.clock())
            await asyncio.sleep(self.arrivals.expovariate(rate))
            if self.clock() >= self.seconds:
                break
            tasks.append(asyncio.ensure_future(self._caller(kind)))
        await asyncio.gather(*tasks)

    async def _caller(self, kind):
        counts = self.counts[kind.name]
        counts.callers += 1
        began = self.clock()
        gives_up = began + kind.deadline
        what = (kind.name, b"/%d" % next(self._numbers))
        server = self.rng.choices(self.servers, self._speeds)[0]
        ingress = self.rng.choice(self.ingresses)
        is_impatient = self.rng.random() < self.impatient
        retries = IMPATIENT_RETRIES if is_impatient else PATIENT_RETRIES
        counts.impatient[is_impatient][0] += 1
        in_time = False
        for tries_left in range(retries, -1, -1):
            asked = self.clock()
            try:
                await self._ask(kind, ingress, server, what, gives_up)
            except NotRun as refused:
                counts.refusals += 1
                counts.refusal_seconds.append(self.clock() - asked)
                left = gives_up - self.clock()
                wait = min(refused.retry_after, left / 3)
                if is_impatient:
                    wait = IMPATIENT_SECONDS
                if not tries_left or left - wait < MIN_REMAINING_SECONDS:
                    break
                await asyncio.sleep(wait)
            except TimeoutError:
                break
            else:
                in_time = self.clock() - began <= kind.target
                counts.in_time += in_time
                counts.late += not in_time
                break
        counts.impatient[is_impatient][1] += in_time
        counts.outcomes.append((began, in_time))

    async def _ask(self, kind, ingress, server, what, gives_up):
        """Handle one try at an ingress."""
        now = self.clock()
        earlier = ingress.returns.pop(what, gives_up=gives_up)
        first = now if earlier is None else earlier.first
        wanted_by = first + kind.target
        seconds = ingress.kind_seconds.get(kind.name, DEFAULT_SECONDS)
        share, refused_after_hop = 1.0, False
        try:
            if ingress.admission is not None:
                share = ingress.admission.check(
                    [server.id],
                    urgency=kind.urgency,
                    seconds=seconds,
                    target_time=wanted_by,
                    deadline=gives_up,
                    retry_at=earlier and earlier.retry_at,
                    reserved=earlier is not None and earlier.reserved,
                )
            refused_after_hop = True
            await asyncio.sleep(HOP_SECONDS)
            try:
                await self._serve(
                    kind, server, what, wanted_by, gives_up, share, earlier is not None
                )
            finally:
                header = self._header(server)
                await asyncio.sleep(HOP_SECONDS)
                if ingress.admission is not None:
                    ingress.admission.board.note(server.id, header)
                ingress.kind_seconds[kind.name] = (
                    server.queue.mean_seconds_for(kind.name) or seconds
                )
        except NotRun as refused:
            self.counts[kind.name].refusals_after_hop += refused_after_hop
            retry_at, reserved = None, False
            seconds_told = refused.retry_after
            if ingress.admission is None:
                seconds_told *= self.rng.uniform(0.7, 1.3)
            else:
                now = self.clock()
                retry_at = ingress.admission.early_until(now, seconds_told, gives_up)
                reserved = refused.code == "overloaded" and (
                    now + seconds_told + seconds <= wanted_by
                )
            ingress.returns.note(
                what,
                gives_up=gives_up,
                first=first,
                retry_at=retry_at,
                reserved=reserved,
            )
            raise NotRun(refused.code, retry_after=seconds_told) from None

    def _header(self, server):
        """Return the levels in an answer; a process has a server and an ingress."""
        if server.admission is None:
            return b""
        board = self.ingresses[self.servers.index(server)].board
        return server.admission.header() + board.passed_on(except_for=server.id)

    async def _serve(self, kind, server, what, wanted_by, gives_up, share, again):
        """Run a request at a server, or refuse it."""
        request = {
            "rank": kind.urgency,
            "kind": kind.name,
            "wanted_by": wanted_by,
            "deadline": gives_up - HOP_SECONDS,
            "id": what[1],
            "again": again,
        }
        if server.admission is not None:
            estimate = await server.admission.enter(
                what=what, keyed=True, share=share, **request
            )
        else:
            estimate = await server.queue.enter(**request)
        began = self.clock()
        work = self.rng.lognormvariate(0, 0.3) * kind.work / server.speed
        try:
            async with asyncio.timeout_at(gives_up):
                await asyncio.sleep(work)
        finally:
            server.queue.leave(estimate, kind=kind.name, seconds=self.clock() - began)
