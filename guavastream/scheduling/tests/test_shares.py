"""Tests of fair sharing when a server has capacity for a third of the requests.

Guards against an overload in which two of three orders were refused while six of ten
pages were served, although orders are more urgent. Most pages make two calls of 22 ms
to the server of orders. Calls are admitted as long as they can run, because refusing
one wastes the work on its page. With one server left for orders, the calls alone used
nine tenths of it, and orders got the rest.
"""

import asyncio
import random
from dataclasses import dataclass, field

from guavastream.emulator import run_paused
from guavastream.scheduling import AdmissionQueue, NotRun

SLOTS = 17
SECONDS = 30.0
# Largest accepted excess of the served share of a less urgent kind over that of a more
# urgent one.
MAX_SHARE_EXCESS = 0.15
MIN_TIME_LEFT_SECONDS = 0.05
MAX_TRIES = 3


@dataclass(kw_only=True)
class Kind:
    """Requests of one kind and the counts of their outcomes."""

    name: str
    rank: int
    rate: float
    work: float
    target: float
    deadline: float
    calls: int = 0
    retries: int = 2
    asked: int = 0
    served: int = 0
    seconds: list = field(default_factory=list)

    @property
    def share(self):
        return self.served / self.asked


class Simulation:
    """Simulates callers that retry after a refusal, and pages that make calls.

    With several `servers`, each request is tried at up to three random ones.
    """

    def __init__(self, kinds, *, seed=1, servers=1):
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.wasted = 0
        self._servers = servers

    def run(self):
        run_paused(self._run())
        return self

    async def _run(self):
        self.loop = asyncio.get_running_loop()
        self.queues = [
            AdmissionQueue(loop=self.loop, slots=SLOTS) for _ in range(self._servers)
        ]
        await asyncio.gather(*(self._send_requests(kind) for kind in self.kinds))

    async def _send_requests(self, kind):
        tasks = []
        while self.loop.time() < SECONDS:
            await asyncio.sleep(self.rng.expovariate(kind.rate))
            tasks.append(asyncio.ensure_future(self._send_request(kind)))
        await asyncio.gather(*tasks)

    async def _send_request(self, kind):
        kind.asked += 1
        began = self.loop.time()
        for attempt in range(1 + kind.retries):
            id = self.rng.randbytes(8).hex()
            try:
                if kind.calls:
                    await self._serve_page(kind, id, again=attempt > 0)
                else:
                    await self._run_request(kind, id, began, again=attempt > 0)
            except NotRun as refused:
                left = began + kind.deadline - self.loop.time()
                pause = min(refused.retry_after or 0.3, left / 3)
                if left - pause < MIN_TIME_LEFT_SECONDS:
                    return
                await asyncio.sleep(pause)
                continue
            kind.served += self.loop.time() - began <= kind.deadline
            return

    async def _serve_page(self, kind, id, *, again):
        for _ in range(kind.calls):
            try:
                await self._run_request(
                    kind, id, self.loop.time(), call=True, again=again
                )
            except NotRun:
                self.wasted += 1
                raise NotRun("overloaded", retry_after=0.3) from None

    async def _run_request(self, kind, id, began, *, call=False, again=False):
        queues = self.rng.sample(self.queues, min(MAX_TRIES, len(self.queues)))
        for queue in queues:
            last = queue is queues[-1]
            try:
                await self._run_at(
                    queue, kind, id, began, call=call, again=again, last=last
                )
                return
            except NotRun:
                if last:
                    raise

    async def _run_at(self, queue, kind, id, began, *, call, again, last):
        deadline = 0.25 if call else kind.deadline
        name = f"{kind.name}.call" if call else kind.name
        estimate = await queue.enter(
            id=id.encode(),
            rank=1 if call else kind.rank,
            urgency=kind.rank,
            kind=name,
            wanted_by=began + kind.target,
            deadline=began + deadline,
            call=call,
            again=again,
            last=last,
        )
        started = self.loop.time()
        await asyncio.sleep(self.rng.lognormvariate(0, 0.3) * kind.work)
        queue.leave(estimate, kind=name, seconds=self.loop.time() - started)


def orders(rate):
    return Kind(name="orders", rank=1, rate=rate, work=0.12, target=0.4, deadline=1.2)


def pages(rate):
    return Kind(
        name="pages", rank=2, rate=rate, work=0.022, target=0.1, deadline=1.0, calls=2
    )


def test_a_less_urgent_kind_is_not_served_much_more_often():
    kinds = [orders(259.0), pages(340.0)]
    Simulation(kinds).run()
    assert kinds[0].share >= kinds[1].share - MAX_SHARE_EXCESS
    # The less urgent kind is not starved either.
    assert kinds[1].share >= 0.2


def test_nothing_is_refused_for_fairness_without_overload():
    kinds = [orders(60.0), pages(130.0)]
    Simulation(kinds).run()
    assert min(kind.share for kind in kinds) > 0.98


def test_calls_are_not_refused_for_orders_that_another_server_takes():
    """Guards against refusing calls in favour of orders that the next server takes."""
    kinds = [orders(540.0), pages(760.0)]
    simulation = Simulation(kinds, servers=6).run()
    assert kinds[1].share > 0.98 and simulation.wasted <= 0.1 * kinds[1].asked
    assert kinds[0].share >= kinds[1].share - MAX_SHARE_EXCESS
