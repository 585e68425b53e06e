"""Reserved slots, and the queue that respects them, in simulated time."""

import asyncio
import random

import pytest

from guavastream.emulator import run_paused
from guavastream.scheduling import AdmissionQueue, MinimumShare, NotRun, ReservedSlots

SLOTS = 6
# A call of a mesh in which six slots may be held by requests of 0.7 s.
CALL_SECONDS = 0.044
LONG_SECONDS = 0.7


class Requests:
    """Requests to one queue that reserves slots; `started` has them in order."""

    def __init__(self, *, slots=SLOTS, by_class=True):
        self.loop = asyncio.get_running_loop()
        self.queue = AdmissionQueue(loop=self.loop, slots=slots)
        self.queue.by_class = by_class
        self.started, self.tasks = [], {}
        self.refused = {}

    def send(self, name, urgency, *, seconds, kind=None, target=10.0, rank=1, **how):
        """Start a request that takes some seconds at the server."""
        kind = kind or f"k{urgency}"
        request = self._run(name, urgency, seconds, kind, target, rank, how)
        self.tasks[name] = asyncio.ensure_future(request)

    async def _run(self, name, urgency, seconds, kind, target, rank, how):
        now = self.loop.time()
        try:
            slot = await self.queue.enter(
                rank=rank,
                urgency=urgency,
                kind=kind,
                wanted_by=now + target,
                deadline=now + 2 * target,
                **how,
            )
        except NotRun as refused:
            self.refused[name] = refused
            return
        self.started.append((name, self.loop.time()))
        try:
            await asyncio.sleep(seconds)
        finally:
            self.queue.leave(slot, kind=kind, seconds=seconds)

    async def learn(self, urgency, seconds):
        """Let the queue measure the time of a kind, and forget the arrivals."""
        self.send("learn", urgency, seconds=seconds)
        await self.tasks["learn"]
        await asyncio.sleep(2.0)
        self.started.clear()

    def names(self):
        return [name for name, _ in self.started]


def run(scenario, **kwargs):
    async def main():
        await scenario(Requests(**kwargs))

    run_paused(main())


def test_the_reservation_follows_the_offered_load_and_ends_with_it():
    now = 0.0
    reserved = ReservedSlots(clock=lambda: now)
    assert reserved.count(2, slots=SLOTS) == 0 and reserved.next_change() is None
    for _ in range(40):
        reserved.note_arrival(0, 0.05)
        now += 0.025
    assert reserved.offered_load(2) == pytest.approx(2.0, rel=0.05)
    assert reserved.count(2, slots=SLOTS) == 3
    assert reserved.count(0, slots=SLOTS) == 0
    now += 0.97
    assert reserved.count(2, slots=SLOTS) == 1
    now += 0.01
    assert reserved.count(2, slots=SLOTS) == 0


def test_one_slot_is_never_reserved():
    reserved = ReservedSlots(clock=lambda: 0.0)
    for _ in range(1000):
        reserved.note_arrival(0, 1.0)
    assert [reserved.count(1, slots=slots) for slots in (6, 2, 1)] == [5, 1, 0]


def test_reservations_build_up_within_a_second_after_a_restart():
    async def scenario(requests):
        fresh = Requests()
        assert fresh.queue.reserved_slots(2) == 0
        for number in range(20):
            fresh.send(f"u{number}", 0, seconds=0.2)
            await asyncio.sleep(0.05)
        # The load is 4; the time of a request is known only since the first has ended.
        assert fresh.queue.reserved_slots(2) in (4, 5)

    run(scenario)


def test_less_urgent_requests_leave_reserved_slots_free():
    # If long requests held all slots, a call would wait for one of them to end.
    async def scenario(requests):
        await requests.learn(2, LONG_SECONDS)
        await requests.learn(0, CALL_SECONDS)
        requests.send("first", 0, seconds=CALL_SECONDS)
        await asyncio.sleep(0.2)
        for number in range(SLOTS):
            requests.send(f"long{number}", 2, seconds=LONG_SECONDS)
        await asyncio.sleep(0.01)
        assert requests.queue.running == SLOTS - 1
        assert requests.queue.expected_wait(0) == 0.0
        assert requests.queue.expected_wait(2) > 0.0
        now = requests.loop.time()
        requests.send("call", 0, seconds=CALL_SECONDS, call=True)
        await requests.tasks["call"]
        assert requests.started[-1] == ("call", now)

    run(scenario)


def test_all_slots_are_used_when_nothing_urgent_arrives():
    async def scenario(requests):
        for number in range(SLOTS + 1):
            requests.send(f"long{number}", 2, seconds=LONG_SECONDS)
        await asyncio.sleep(0.01)
        assert requests.queue.running == SLOTS and requests.queue.waiting == 1

    run(scenario)


def test_a_waiting_request_starts_when_the_reservation_ends():
    # No slot becomes free at that moment: without a timer, the request would wait
    # until one of the running requests ends.
    async def scenario(requests):
        await requests.learn(0, CALL_SECONDS)
        requests.send("urgent", 0, seconds=CALL_SECONDS)
        await asyncio.sleep(0.1)
        reserved_until = requests.loop.time() + 0.9
        for number in range(SLOTS):
            requests.send(f"long{number}", 2, seconds=30.0, target=100.0)
        await asyncio.sleep(0.01)
        assert requests.queue.running == SLOTS - 1 and requests.queue.waiting == 1
        await asyncio.sleep(1.0)
        name, started = requests.started[-1]
        assert name == "long5" and started == pytest.approx(reserved_until, abs=0.01)

    run(scenario)


def test_no_timer_is_left_when_nothing_waits():
    # A timer that starts itself again would keep a busy loop for ever.
    async def scenario(requests):
        await requests.learn(0, CALL_SECONDS)
        requests.send("urgent", 0, seconds=CALL_SECONDS)
        await asyncio.sleep(0.1)
        for number in range(SLOTS):
            requests.send(f"long{number}", 2, seconds=5.0, target=100.0)
        await asyncio.sleep(0.01)
        requests.tasks[f"long{SLOTS - 1}"].cancel()
        await asyncio.sleep(0.01)
        assert requests.queue.waiting == 0
        await asyncio.sleep(1.0)
        assert requests.queue._check is None

    run(scenario)


def test_requests_that_wait_go_on_when_reservation_is_switched_off():
    async def scenario(requests):
        await requests.learn(0, CALL_SECONDS)
        requests.send("urgent", 0, seconds=CALL_SECONDS)
        await asyncio.sleep(0.1)
        for number in range(SLOTS):
            requests.send(f"long{number}", 2, seconds=30.0, target=100.0)
        await asyncio.sleep(0.01)
        requests.queue.by_class = False
        await asyncio.sleep(0.01)
        assert requests.queue.running == SLOTS and requests.queue.reserved_slots(2) == 0

    run(scenario)


def test_a_less_urgent_class_cannot_take_slots_that_a_middle_class_leaves():
    # With a limit for each class by itself, five requests of the middle class, which
    # respect the slot that is reserved, would let the least urgent class take it.
    async def scenario(requests):
        await requests.learn(0, CALL_SECONDS)
        await requests.learn(1, CALL_SECONDS)
        requests.send("urgent", 0, seconds=CALL_SECONDS)
        await asyncio.sleep(0.1)
        for number in range(SLOTS - 1):
            requests.send(f"middle{number}", 1, seconds=0.6)
        await asyncio.sleep(0.01)
        assert requests.queue.running == SLOTS - 1 and requests.queue.waiting == 0
        requests.send("least", 2, seconds=0.6)
        await asyncio.sleep(0.01)
        assert "least" not in requests.names()

    run(scenario)


@pytest.mark.parametrize("by_class, first", [(True, "urgent"), (False, "older")])
def test_the_queue_is_ordered_by_the_urgency_of_the_original_request(by_class, first):
    # Both are calls with a route of the same priority.
    async def scenario(requests):
        requests.send("running", 0, seconds=0.5)
        await asyncio.sleep(0.01)
        requests.send("older", 2, seconds=0.1, kind="call", call=True)
        await asyncio.sleep(0.01)
        requests.send("urgent", 0, seconds=0.1, kind="call", call=True)
        await asyncio.sleep(2.0)
        assert requests.names()[1] == first

    run(scenario, slots=1, by_class=by_class)


def test_the_expected_wait_of_an_urgent_request_ignores_less_urgent_ones():
    # Otherwise urgent requests would be refused because long ones wait behind them.
    async def scenario(requests):
        await requests.learn(2, LONG_SECONDS)
        for number in range(SLOTS + 6):
            requests.send(f"long{number}", 2, seconds=LONG_SECONDS)
        await asyncio.sleep(0.01)
        assert requests.queue.waiting == 6
        urgent = requests.queue.expected_wait(0)
        assert urgent == pytest.approx(LONG_SECONDS / SLOTS)
        assert requests.queue.expected_wait(2) == pytest.approx(7 * urgent)

    run(scenario)


def test_less_urgent_requests_that_wait_do_not_make_the_queue_standing():
    # In a standing queue, more time has to be left. Urgent requests would be refused
    # because less urgent ones always wait for slots that are not reserved.
    async def scenario(requests):
        await requests.learn(2, LONG_SECONDS)
        await requests.learn(0, 0.2)
        for number in range(SLOTS + 6):
            requests.send(f"long{number}", 2, seconds=LONG_SECONDS)
        await asyncio.sleep(0.6)
        # 0.5 s are enough for the wait and the usual reserve, not for the larger one.
        requests.send("urgent", 0, seconds=0.2, target=0.5)
        await asyncio.sleep(0.01)
        assert requests.queue.waiting == 7 and not requests.refused

    run(scenario)


def test_a_refusal_tells_what_was_reserved():
    async def scenario(requests):
        await requests.learn(2, LONG_SECONDS)
        await requests.learn(0, 0.1)
        for number in range(30):
            requests.send(f"urgent{number}", 0, seconds=0.1)
        for number in range(4):
            requests.send(f"long{number}", 2, seconds=LONG_SECONDS, target=0.8)
        await asyncio.sleep(0.01)
        reasons = requests.refused["long3"].reasons
        assert reasons["reserved"] == 4 and reasons["urgent_load"] == 3.0
        assert reasons["urgency"] == 2 and not reasons["starved"]

    run(scenario)


def test_credit_is_earned_by_the_share_of_all_requests_that_are_served():
    # If nothing is served, for example by a frozen server, no kind is starved.
    share = MinimumShare(clock=lambda: 0.0)
    for _ in range(100):
        share.note_refused("k")
    assert not share.is_starved("k")


class Overload:
    """More urgent requests than the server can run, and some less urgent ones."""

    def __init__(self, loads, *, calls, retries, seed):
        self._loads, self._calls, self._retries = loads, calls, retries
        self._rng = random.Random(seed)
        self.requests = dict.fromkeys(loads, 0)
        self.served = dict.fromkeys(loads, 0)
        self.starved = 0

    def run(self):
        run_paused(self._run())
        return self

    async def _run(self):
        self._loop = asyncio.get_running_loop()
        self._queue = AdmissionQueue(loop=self._loop, slots=SLOTS)
        self._queue.by_class = True
        await asyncio.gather(*(self._send(urgency) for urgency in self._loads))

    async def _send(self, urgency):
        tasks = []
        while self._loop.time() < 60.0:
            await asyncio.sleep(self._rng.expovariate(self._loads[urgency][0]))
            tasks.append(asyncio.ensure_future(self._ask(urgency)))
        await asyncio.gather(*tasks)

    async def _ask(self, urgency):
        _, work, target, deadline = self._loads[urgency]
        self.requests[urgency] += 1
        began, kind = self._loop.time(), f"k{urgency}"
        for attempt in range(1 + self._retries):
            try:
                slot = await self._queue.enter(
                    rank=1,
                    urgency=urgency,
                    kind=kind,
                    wanted_by=began + target,
                    deadline=began + deadline,
                    call=self._calls and urgency == 0,
                    again=attempt > 0,
                )
            except NotRun as refused:
                left = began + deadline - self._loop.time()
                pause = min(refused.retry_after, left / 3)
                if left - pause < 0.05:
                    return
                await asyncio.sleep(pause)
                continue
            started = self._loop.time()
            await asyncio.sleep(self._rng.lognormvariate(0, 0.3) * work)
            self._queue.leave(slot, kind=kind, seconds=self._loop.time() - started)
            self.served[urgency] += 1
            self.starved += slot.was_starved
            return


@pytest.mark.parametrize("calls", [False, True])
@pytest.mark.parametrize("retries", [0, 2])
@pytest.mark.parametrize("rate, work", [(66, 0.18), (200, 0.044)])
def test_no_class_starves_under_an_overload_of_urgent_requests(
    calls, retries, rate, work
):
    # Urgent calls are admitted as long as they can run, so they alone can fill the
    # queue for ever. Each class is to be served a quarter as often as all.
    loads = {
        0: (rate, work, 0.623, 4.98),
        1: (5, 0.14, 1.156, 7.225),
        2: (3, 0.7, 4.123, 12.368),
    }
    load = Overload(loads, calls=calls, retries=retries, seed=1).run()
    share = sum(load.served.values()) / sum(load.requests.values())
    for urgency in loads:
        # One request may be on its way to its turn at the end.
        served = load.served[urgency] + 1
        assert served / load.requests[urgency] >= 0.25 * share
    # Operators see by this count that the rule acts.
    assert load.starved > 0


def test_a_request_that_is_cancelled_as_it_gets_a_slot_frees_it():
    # The slot would be counted as running for ever, for the class of the request.
    async def scenario(requests):
        slot = await requests.queue.enter(
            rank=1, urgency=0, kind="k0", wanted_by=10.0, deadline=20.0
        )
        requests.send("waiting", 2, seconds=0.1)
        await asyncio.sleep(0.01)
        requests.queue.leave(slot, kind="k0", seconds=0.02)
        assert requests.queue.running == 1 and requests.queue.waiting == 0
        requests.tasks["waiting"].cancel()
        await asyncio.gather(requests.tasks["waiting"], return_exceptions=True)
        assert requests.queue.running == 0
        assert requests.queue._running_by_urgency == {}

    run(scenario, slots=1)


@pytest.mark.parametrize("seed", range(5))
def test_no_slot_is_lost_whatever_happens_to_requests(seed):
    # Requests end, are cancelled and refused while slots and the mode change. A slot
    # that is counted for the wrong class would stay unused for ever.
    rng = random.Random(seed)

    async def scenario(requests):
        queue = requests.queue
        for number in range(1500):
            urgency = rng.choice((0, 0, 1, 2))
            requests.send(
                f"r{number}",
                urgency,
                seconds=rng.expovariate(1 / (0.05, 0.15, 0.5)[urgency]),
                target=rng.choice((0.3, 1.0, 5.0)),
                call=rng.random() < 0.3,
            )
            await asyncio.sleep(rng.expovariate(20))
            chance = rng.random()
            if chance < 0.02:
                queue.slots = rng.choice((2, SLOTS))
            elif chance < 0.03:
                queue.by_class = not queue.by_class
            elif chance < 0.2:
                waiting = requests.tasks.keys() - set(requests.names())
                requests.tasks[rng.choice(sorted(waiting) or [f"r{number}"])].cancel()
            running = sum(count for count, _ in queue._running_by_urgency.values())
            assert running == queue.running <= SLOTS
        ends = await asyncio.gather(*requests.tasks.values(), return_exceptions=True)
        assert {type(end) for end in ends} <= {type(None), asyncio.CancelledError}
        assert queue.running == queue.waiting == 0 and not queue._running_by_urgency

    run(scenario)
