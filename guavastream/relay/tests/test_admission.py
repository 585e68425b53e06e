"""The gate under load, played in simulated time against a plain queue."""

import asyncio
import random

from guavastream.emulator import run_paused
from guavastream.relay import Gate, NotRun

SLOTS = 8
WORK = 0.16
TARGET = 0.5
DEADLINE = 1.2


class PlainQueue:
    """Takes everybody in, first come first served, until the deadline."""

    running = waiting = seconds = 0

    def __init__(self, *, loop, slots):
        self.slots = slots
        self._slots = asyncio.Semaphore(slots)

    def measured(self, kind):
        return 0.0

    async def enter(self, *, deadline, **unused):
        left = deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(left):
                await self._slots.acquire()
        except TimeoutError:
            raise NotRun("overloaded") from None

    def leave(self, usual, *, kind, seconds=None):
        self._slots.release()


class Load:
    """Requests at a rate; counts what callers get within their target."""

    def __init__(self, gate_class, *, rate, seconds=20.0, ranks=(1,), seed=1):
        self.rate, self.seconds, self.ranks = rate, seconds, ranks
        self.gate_class = gate_class
        self.rng = random.Random(seed)
        self.in_time = dict.fromkeys(ranks, 0)
        self.late = self.refused = self.asked = 0
        self.waits_of_refused = []

    def run(self):
        run_paused(self._run())
        return self

    async def _run(self):
        loop = asyncio.get_running_loop()
        gate = self.gate_class(loop=loop, slots=SLOTS)
        tasks = []
        while loop.time() < self.seconds:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            rank = self.rng.choice(self.ranks)
            tasks.append(asyncio.ensure_future(self._ask(gate, rank)))
        await asyncio.gather(*tasks)

    async def _ask(self, gate, rank):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.asked += 1
        kind = f"k{rank}"
        try:
            usual = await gate.enter(
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
        gate.leave(usual, kind=kind, seconds=loop.time() - started)
        if loop.time() - began <= TARGET:
            self.in_time[rank] += 1
        else:
            self.late += 1

    @property
    def share(self):
        return sum(self.in_time.values()) / self.asked


def test_a_calm_load_is_served_without_refusals():
    load = Load(Gate, rate=0.6 * SLOTS / WORK).run()
    assert load.refused == 0 and load.share > 0.99


def test_under_overload_those_let_in_are_in_time():
    # Twice as many requests as the server can do. A plain queue fills until
    # nearly all answers come late; callers see a slow page each time.
    rate = 2 * SLOTS / WORK
    plain, gate = Load(PlainQueue, rate=rate).run(), Load(Gate, rate=rate).run()
    assert plain.share < 0.1
    assert gate.share > 0.4
    assert gate.late < 0.15 * sum(gate.in_time.values())


def test_refusals_come_at_once():
    load = Load(Gate, rate=2 * SLOTS / WORK).run()
    waits = sorted(load.waits_of_refused)
    assert waits[len(waits) * 9 // 10] < TARGET / 8


def test_the_more_urgent_are_served_first_and_the_others_not_starved_of_room():
    load = Load(Gate, rate=1.5 * SLOTS / WORK, ranks=(0, 3)).run()
    asked = load.asked / 2
    assert load.in_time[0] / asked > 0.85
    assert load.in_time[3] / asked > 0.2


def test_a_caller_that_leaves_the_queue_frees_its_place():
    async def main():
        loop = asyncio.get_running_loop()
        gate = Gate(loop=loop, slots=1)
        times = {"kind": "k", "wanted_by": 1.0, "deadline": 2.0}
        usual = await gate.enter(rank=0, **times)
        waiting = asyncio.ensure_future(gate.enter(rank=0, **times))
        await asyncio.sleep(0.01)
        assert gate.waiting == 1
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert gate.waiting == 0
        gate.leave(usual, kind="k", seconds=0.1)
        assert gate.running == 0
        await gate.enter(rank=0, **times)

    run_paused(main())


def test_a_server_that_went_dark_refuses_at_once_instead_of_holding():
    # It takes what is sent and answers nothing. Its slots stay busy until
    # their callers give up; a new caller would only wait behind them.
    async def main():
        loop = asyncio.get_running_loop()
        gate = Gate(loop=loop, slots=2)

        async def enter():
            now = loop.time()
            times = {"wanted_by": now + TARGET, "deadline": now + DEADLINE}
            return await gate.enter(rank=0, kind="k", **times)

        usual = await enter()
        gate.leave(usual, kind="k", seconds=WORK)
        await enter()
        await enter()
        await asyncio.sleep(3 * WORK)
        began = loop.time()
        try:
            await enter()
        except NotRun:
            assert loop.time() == began and gate.seconds > 2 * WORK
        else:
            raise AssertionError("waits behind a server that is dark")

    run_paused(main())


async def fill(gate, loop, *, count=SLOTS):
    """Take all slots with requests of a known usual time."""
    now = loop.time()
    times = {"wanted_by": now + TARGET, "deadline": now + DEADLINE}
    usual = await gate.enter(rank=0, kind="k", **times)
    gate.leave(usual, kind="k", seconds=WORK)
    return [await gate.enter(rank=0, kind="k", **times) for _ in range(count)]


async def refusal_of(gate, *, wanted_by, deadline):
    try:
        await gate.enter(rank=0, kind="k", wanted_by=wanted_by, deadline=deadline)
    except NotRun as refused:
        return refused
    return None


def test_a_late_request_waits_behind_those_that_can_be_in_time():
    # It came back after a refusal and is late whatever happens. Sorted by the
    # time it was wanted by it would go first, and make another one late.
    async def main():
        loop = asyncio.get_running_loop()
        gate = Gate(loop=loop, slots=SLOTS)
        usual = (await fill(gate, loop))[0]
        now, served = loop.time(), []

        async def enter(name, wanted_by):
            await gate.enter(
                rank=0, kind="k", wanted_by=wanted_by, deadline=now + DEADLINE
            )
            served.append(name)

        late = asyncio.ensure_future(enter("late", now + WORK / 2))
        await asyncio.sleep(0.001)
        fresh = asyncio.ensure_future(enter("fresh", now + TARGET))
        await asyncio.sleep(0.001)
        for _ in range(2):
            gate.leave(usual, kind="k", seconds=WORK)
            await asyncio.sleep(0.001)
        await asyncio.gather(late, fresh)
        assert served == ["fresh", "late"]

    run_paused(main())


def test_advice_to_come_back_is_soon_only_where_that_is_in_time():
    # Callers come back once or twice. One that cannot be in time any more
    # would spend that within 0.2 s on a load that lasts a second.
    async def main():
        loop = asyncio.get_running_loop()
        gate = Gate(loop=loop, slots=1)
        await fill(gate, loop, count=1)
        for _ in range(2):
            asyncio.ensure_future(
                refusal_of(gate, wanted_by=loop.time() + TARGET, deadline=DEADLINE)
            )
        await asyncio.sleep(0.001)
        now = loop.time()
        soon = await refusal_of(gate, wanted_by=now + 0.35, deadline=now + DEADLINE)
        later = await refusal_of(gate, wanted_by=now + 0.1, deadline=now + 0.9)
        assert loop.time() == now
        assert soon.retry_after <= 0.15
        assert 0.2 < later.retry_after <= 0.9 / 3

    run_paused(main())


def test_calls_are_let_in_as_long_as_they_can_run():
    # A server waits for the answer: refused, the work it has done is wasted.
    async def main():
        loop = asyncio.get_running_loop()
        gate = Gate(loop=loop, slots=1)
        usual = (await fill(gate, loop, count=1))[0]
        now = loop.time()
        times = {"wanted_by": now + 1.5 * WORK, "deadline": now + 0.4}
        assert await refusal_of(gate, **times) is not None and loop.time() == now
        call = asyncio.ensure_future(gate.enter(rank=0, kind="k", call=True, **times))
        await asyncio.sleep(WORK)
        gate.leave(usual, kind="k", seconds=WORK)
        await call
        assert loop.time() - now < 0.4

    run_paused(main())
