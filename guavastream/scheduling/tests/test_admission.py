"""Tests of the admission queue under load, in simulated time."""

import asyncio
import random

from guavastream.emulator import run_paused
from guavastream.scheduling import AdmissionQueue, NotRun

SLOTS = 8
WORK = 0.16
TARGET = 0.5
DEADLINE = 1.2


class PlainQueue:
    """Admits all requests in order of arrival until their deadline, for comparison."""

    running = waiting = seconds = 0

    def __init__(self, *, loop, slots):
        self.slots = slots
        self._slots = asyncio.Semaphore(slots)

    def mean_seconds_for(self, kind):
        return 0.0

    async def enter(self, *, deadline, **unused):
        left = deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(left):
                await self._slots.acquire()
        except TimeoutError:
            raise NotRun("overloaded") from None

    def leave(self, estimate, *, kind, seconds=None):
        self._slots.release()


class Load:
    """Sends requests at a given rate and counts how many are answered on time."""

    def __init__(self, queue_class, *, rate, seconds=20.0, ranks=(1,), seed=1):
        self.rate, self.seconds, self.ranks = rate, seconds, ranks
        self.queue_class = queue_class
        self.rng = random.Random(seed)
        self.in_time = dict.fromkeys(ranks, 0)
        self.late = self.refused = self.asked = 0
        self.waits_of_refused = []

    def run(self):
        run_paused(self._run())
        return self

    async def _run(self):
        loop = asyncio.get_running_loop()
        queue = self.queue_class(loop=loop, slots=SLOTS)
        tasks = []
        while loop.time() < self.seconds:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            rank = self.rng.choice(self.ranks)
            tasks.append(asyncio.ensure_future(self._ask(queue, rank)))
        await asyncio.gather(*tasks)

    async def _ask(self, queue, rank):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.asked += 1
        kind = f"k{rank}"
        try:
            estimate = await queue.enter(
                rank=rank,
                kind=kind,
                wanted_by=began + TARGET,
                deadline=began + DEADLINE,
            )
        except NotRun:
            self.refused += 1
            self.waits_of_refused.append(loop.time() - began)
            return
        started = loop.time()
        await asyncio.sleep(self.rng.lognormvariate(0, 0.3) * WORK)
        queue.leave(estimate, kind=kind, seconds=loop.time() - started)
        if loop.time() - began <= TARGET:
            self.in_time[rank] += 1
        else:
            self.late += 1

    @property
    def share(self):
        return sum(self.in_time.values()) / self.asked


def test_no_requests_are_refused_without_overload():
    load = Load(AdmissionQueue, rate=0.6 * SLOTS / WORK).run()
    assert load.refused == 0 and load.share > 0.99


def test_admitted_requests_are_on_time_under_overload():
    # With twice as many requests as the server can serve, a plain queue grows until
    # nearly all answers are late and callers see slow pages.
    rate = 2 * SLOTS / WORK
    plain, limited = (
        Load(PlainQueue, rate=rate).run(),
        Load(AdmissionQueue, rate=rate).run(),
    )
    assert plain.share < 0.1
    assert limited.share > 0.4
    assert limited.late < 0.15 * sum(limited.in_time.values())


def test_refused_requests_hardly_wait():
    load = Load(AdmissionQueue, rate=2 * SLOTS / WORK).run()
    waits = sorted(load.waits_of_refused)
    assert waits[len(waits) * 9 // 10] < TARGET / 8


def test_urgent_requests_are_preferred_without_starving_others():
    load = Load(AdmissionQueue, rate=1.5 * SLOTS / WORK, ranks=(0, 3)).run()
    asked = load.asked / 2
    assert load.in_time[0] / asked > 0.85
    assert load.in_time[3] / asked > 0.2


def test_a_cancelled_request_leaves_the_queue_and_no_slot_is_lost():
    async def main():
        loop = asyncio.get_running_loop()
        queue = AdmissionQueue(loop=loop, slots=1)
        times = {"kind": "k", "wanted_by": 1.0, "deadline": 2.0}
        estimate = await queue.enter(rank=0, **times)
        waiting = asyncio.ensure_future(queue.enter(rank=0, **times))
        await asyncio.sleep(0.01)
        assert queue.waiting == 1
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert queue.waiting == 0
        queue.leave(estimate, kind="k", seconds=0.1)
        assert queue.running == 0
        await queue.enter(rank=0, **times)

    run_paused(main())


def test_requests_to_an_unresponsive_server_are_refused_at_once():
    # A server that accepts requests and never answers keeps its slots occupied until
    # the callers give up. A new request would wait behind them in vain.
    async def main():
        loop = asyncio.get_running_loop()
        queue = AdmissionQueue(loop=loop, slots=2)

        async def enter():
            now = loop.time()
            times = {"wanted_by": now + TARGET, "deadline": now + DEADLINE}
            return await queue.enter(rank=0, kind="k", **times)

        estimate = await enter()
        queue.leave(estimate, kind="k", seconds=WORK)
        await enter()
        await enter()
        await asyncio.sleep(3 * WORK)
        began = loop.time()
        try:
            await enter()
        except NotRun:
            assert loop.time() == began and queue.seconds > 2 * WORK
        else:
            raise AssertionError("request was queued for an unresponsive server")

    run_paused(main())


async def occupy_slots(queue, loop, *, count=SLOTS):
    """Occupy `count` slots with requests whose estimated time is known."""
    now = loop.time()
    times = {"wanted_by": now + TARGET, "deadline": now + DEADLINE}
    estimate = await queue.enter(rank=0, kind="k", **times)
    queue.leave(estimate, kind="k", seconds=WORK)
    return [await queue.enter(rank=0, kind="k", **times) for _ in range(count)]


async def refusal_of(queue, *, wanted_by, deadline):
    """Return the refusal of a request, None if it was admitted."""
    try:
        await queue.enter(rank=0, kind="k", wanted_by=wanted_by, deadline=deadline)
    except NotRun as refused:
        return refused
    return None


def test_a_late_request_waits_behind_those_that_can_be_on_time():
    # A retry that can't meet its target any more has the earliest target time. In
    # that order it would be served first and make another request late too.
    async def main():
        loop = asyncio.get_running_loop()
        queue = AdmissionQueue(loop=loop, slots=SLOTS)
        estimate = (await occupy_slots(queue, loop))[0]
        now, served = loop.time(), []

        async def enter(name, wanted_by):
            await queue.enter(
                rank=0, kind="k", wanted_by=wanted_by, deadline=now + DEADLINE
            )
            served.append(name)

        late = asyncio.ensure_future(enter("late", now + WORK / 2))
        await asyncio.sleep(0.001)
        fresh = asyncio.ensure_future(enter("fresh", now + TARGET))
        await asyncio.sleep(0.001)
        for _ in range(2):
            queue.leave(estimate, kind="k", seconds=WORK)
            await asyncio.sleep(0.001)
        await asyncio.gather(late, fresh)
        assert served == ["fresh", "late"]

    run_paused(main())


def test_a_quick_retry_is_advised_only_if_it_can_be_on_time():
    # Callers retry once or twice. A caller whose request is late anyway would use up
    # these retries within 0.2 s during an overload that lasts a second.
    async def main():
        loop = asyncio.get_running_loop()
        queue = AdmissionQueue(loop=loop, slots=1)
        await occupy_slots(queue, loop, count=1)
        for _ in range(2):
            asyncio.ensure_future(
                refusal_of(queue, wanted_by=loop.time() + TARGET, deadline=DEADLINE)
            )
        await asyncio.sleep(0.001)
        now = loop.time()
        soon = await refusal_of(queue, wanted_by=now + 0.35, deadline=now + DEADLINE)
        later = await refusal_of(queue, wanted_by=now + 0.1, deadline=now + 0.9)
        assert loop.time() == now
        assert soon.retry_after <= 0.15
        assert 0.2 < later.retry_after <= 0.9 / 3

    run_paused(main())


def test_calls_are_admitted_as_long_as_they_can_run():
    # Another server waits for the answer. If the call is refused, the work that it
    # has done so far is wasted.
    async def main():
        loop = asyncio.get_running_loop()
        queue = AdmissionQueue(loop=loop, slots=1)
        estimate = (await occupy_slots(queue, loop, count=1))[0]
        now = loop.time()
        times = {"wanted_by": now + 1.5 * WORK, "deadline": now + 0.4}
        assert await refusal_of(queue, **times) is not None and loop.time() == now
        call = asyncio.ensure_future(queue.enter(rank=0, kind="k", call=True, **times))
        await asyncio.sleep(WORK)
        queue.leave(estimate, kind="k", seconds=WORK)
        await call
        assert loop.time() - now < 0.4

    run_paused(main())
