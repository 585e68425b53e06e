"""Clients that ask for more than their share of a process's memory or time."""

import asyncio
import warnings

import pytest

from guavastream.emulator import run_paused
from guavastream.http1 import (
    BudgetSpent,
    Capacity,
    Holder,
    Limits,
    MemoryBudget,
    Patience,
    RequestMemory,
    Server,
    TurnQueue,
)
from guavastream.http1.connection import ServerConnection
from guavastream.http1.memory import (
    CONNECTION_BYTES,
    MAX_BODY_WAIT_SECONDS,
    PATIENCE_SECONDS,
)
from guavastream.http1.receiving import FIELD_BYTES, MAX_WAITING_REQUESTS

BIND_ADDRESS = ("10.0.0.1", 80)
MACHINE_BYTES = 40 << 20
HEAD = b"%s %s HTTP/1.1\r\nHost: x\r\n"
GET = HEAD % (b"GET", b"/ordinary") + b"\r\n"
LARGE_BYTES = 2 << 20
KEPT_BYTES = 512 << 10
CLIENTS = 60
SETTLE_SECONDS = 0.01


class FakeHolder(Holder):
    """A holder that only says what it does."""

    def __init__(self, patience=Patience.ORDINARY):
        self.patience_now = patience
        self.was_shed = False

    @property
    def patience(self):
        return self.patience_now

    def note_period(self):
        pass

    def shed(self):
        self.was_shed = True


class Rig:
    """A server that keeps a part of each body, and clients of it."""

    def __init__(self, **limits):
        self.capacity = Capacity(
            loop=asyncio.get_running_loop(), machine_bytes=MACHINE_BYTES
        )
        self.most_held = 0
        self.handled = []
        self.answer = b""
        self._limits = Limits(**limits)
        self.server = None
        self._writers = []

    async def start(self):
        self.server = Server(
            address=BIND_ADDRESS,
            handler=self._handle,
            capacity=self.capacity,
            limits=self._limits,
        )
        await self.server.start()

    async def _handle(self, request, responder):
        self.most_held = max(self.most_held, self.capacity.memory.held)
        body, whole = await request.body.read_up_to(KEPT_BYTES)
        self.most_held = max(self.most_held, self.capacity.memory.held)
        while not whole:
            whole = not await request.body.read()
        self.handled.append(request)
        await responder.send(200, (), self.answer)

    def close(self):
        """Close the connections of `connect`."""
        for writer in self._writers:
            writer.transport.abort()

    async def ask(self, data=GET):
        """Send a request on a new connection, and return the status of the answer."""
        reader, writer = await asyncio.open_connection(*BIND_ADDRESS)
        writer.write(data)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        finally:
            writer.close()
        return int(head.split()[1])

    async def connect(self, data):
        """Send bytes on a new connection, and return its reader and writer."""
        reader, writer = await asyncio.open_connection(*BIND_ADDRESS)
        # A writer that nobody refers to closes its connection.
        self._writers.append(writer)
        writer.write(data)
        await asyncio.sleep(SETTLE_SECONDS)
        return reader, writer


def run_scenario(scenario, **limits):
    async def main():
        rig = Rig(**limits)
        await rig.start()
        await scenario(rig)
        rig.close()
        await rig.server.stop()

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        run_paused(main())


def make_upload(size, sent=None):
    head = HEAD % (b"POST", b"/large") + b"Content-Length: %d\r\n\r\n" % size
    return head + bytes(size if sent is None else sent)


def with_budget(limit=MACHINE_BYTES):
    return MemoryBudget(loop=asyncio.get_running_loop(), limit=limit)


# Memory


def test_sum_of_large_bodies_is_bounded_and_ordinary_callers_are_served():
    """Guards against a process that ends since each body alone is inside its limit."""

    async def scenario(rig):
        uploads = [
            asyncio.ensure_future(rig.ask(make_upload(LARGE_BYTES)))
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(SETTLE_SECONDS)
        assert [await rig.ask() for _ in range(10)] == [200] * 10
        assert set(await asyncio.gather(*uploads)) <= {200, 503}
        assert 0 < rig.most_held <= rig.capacity.memory.limit
        await asyncio.sleep(10.0)
        assert rig.capacity.memory.held == 0

    run_scenario(scenario)


def test_single_body_of_the_longest_size_is_served():
    """Guards against a budget that refuses what is inside the limits, in calm."""

    async def scenario(rig):
        assert await rig.ask(make_upload(64 << 20)) == 200

    run_scenario(scenario)


def test_uploads_that_stop_leave_room_for_others():
    """Guards against bodies whose senders stop half-way and keep others out."""

    async def scenario(rig):
        stalled = make_upload(LARGE_BYTES, sent=LARGE_BYTES // 4)
        for _ in range(CLIENTS):
            await rig.connect(stalled)
        await asyncio.sleep(2 * PATIENCE_SECONDS)
        assert await rig.ask(make_upload(LARGE_BYTES)) == 200

    run_scenario(scenario)


def test_stalled_upload_in_calm_is_left_alone():
    """Guards against a least progress that a slow client inside the limits meets."""

    async def scenario(rig):
        _, writer = await rig.connect(make_upload(LARGE_BYTES, sent=1000))
        await asyncio.sleep(5 * PATIENCE_SECONDS)
        assert rig.server.open_count == 1
        writer.write(bytes(LARGE_BYTES - 1000))
        await asyncio.sleep(1.0)
        assert len(rig.handled) == 1

    run_scenario(scenario)


def test_refused_body_was_not_handled():
    """Guards against a refusal of a request that has been sent on."""

    async def scenario(rig):
        for _ in range(CLIENTS):
            await rig.connect(make_upload(LARGE_BYTES, sent=LARGE_BYTES // 4))
        statuses = await asyncio.gather(
            *(rig.ask(make_upload(LARGE_BYTES)) for _ in range(CLIENTS))
        )
        assert statuses.count(200) == len(rig.handled)

    run_scenario(scenario)


def test_heads_of_many_short_fields_are_charged_for_their_objects():
    """Guards against heads whose fields take a hundred times their bytes."""
    fields = 2300

    async def scenario(rig):
        head = HEAD % (b"GET", b"/x") + b"a:b\r\n" * fields
        before = rig.capacity.memory.held
        await rig.connect(head)
        assert rig.capacity.memory.held - before >= fields * FIELD_BYTES
        for _ in range(3 * CLIENTS):
            await rig.connect(head)
            assert rig.capacity.memory.held <= rig.capacity.memory.limit
        assert await rig.ask() == 200

    run_scenario(scenario)


def test_request_of_many_short_fields_is_served_in_calm():
    """Guards against a limit on fields that a request inside the limits meets."""

    async def scenario(rig):
        head = HEAD % (b"GET", b"/x") + b"a:b\r\n" * 2300 + b"\r\n"
        assert await rig.ask(head) == 200

    run_scenario(scenario)


def test_crowd_of_connections_does_not_keep_new_ones_out():
    """Guards against places that are all taken by connections that do nothing."""

    async def scenario(rig):
        most = rig.capacity.memory.max_connections
        for _ in range(most + 50):
            await rig.connect(b"GET /x HT")
        assert rig.server.open_count <= most
        assert await rig.ask() == 200

    run_scenario(scenario)


def test_answers_that_nobody_reads_are_dropped_when_memory_is_short():
    """Guards against memory that is full of answers to clients that don't read."""

    async def scenario(rig):
        rig.answer = bytes(1 << 20)
        for _ in range(CLIENTS):
            await rig.connect(GET)
        assert rig.capacity.memory.held <= rig.capacity.memory.limit
        rig.answer = b""
        assert await rig.ask() == 200

    run_scenario(scenario)


@pytest.mark.parametrize(("bytes_per_second", "is_slow"), [(1000, True), (1e6, False)])
def test_reader_of_a_long_answer_is_slow_only_if_it_reads_slowly(
    bytes_per_second, is_slow
):
    """Guards against answers that are cut under pressure although they are read."""

    async def scenario(rig):
        async def stream(request, responder):
            await responder.start(200, ())
            while True:
                await responder.write(bytes(50_000))

        rig.server.handler = stream
        reader, _ = await rig.connect(GET)
        (connection,) = rig.server._connections
        connection.note_period()
        for _ in range(10):
            await reader.readexactly(int(bytes_per_second * PATIENCE_SECONDS / 10))
            await asyncio.sleep(PATIENCE_SECONDS / 10)
        connection.note_period()
        assert (connection.patience is Patience.SLOW) == is_slow

    run_scenario(scenario)


def test_trailers_are_neither_kept_nor_fields_of_the_request():
    """Guards against fields behind the body that fill memory or pass as the head's."""

    async def scenario(rig):
        head = HEAD % (b"POST", b"/x") + b"Transfer-Encoding: chunked\r\n\r\n"
        trailers = b"X-Late: 7\r\n" * 100
        assert await rig.ask(head + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n") == 200
        (request,) = rig.handled
        assert request.headers.get(b"x-late") == b""

    run_scenario(scenario)


def test_single_bytes_of_a_body_are_kept_as_few_pieces():
    """Guards against pieces that take many times their bytes."""

    async def scenario(rig):
        head = HEAD % (b"POST", b"/x") + b"Transfer-Encoding: chunked\r\n\r\n"
        data = head + b"1\r\nx\r\n" * 20_000
        await rig.connect(data)
        (connection,) = rig.server._connections
        assert len(connection._receiving.body._pieces) <= 20

    run_scenario(scenario)


def test_whole_request_that_waits_for_its_turn_is_not_idle():
    """Guards against ordinary callers that are closed while they wait to begin."""

    async def scenario(rig):
        rig.capacity.turns.may_start = lambda: False
        rig.capacity.turns.start = lambda callback: None
        await rig.connect(GET)
        (connection,) = rig.server._connections
        assert connection.patience is Patience.ORDINARY

    run_scenario(scenario)


def test_order_in_which_holders_are_closed():
    """Guards against ordinary callers that are closed before those who hold most."""

    async def scenario():
        budget = with_budget()
        holders = {patience: FakeHolder(patience) for patience in Patience}
        for holder in holders.values():
            budget.open(holder)
        small = FakeHolder(Patience.RECEIVING)
        budget.open(small)
        budget.charge(holders[Patience.RECEIVING], 1 << 20)
        closed = [budget._worst()[n] for n in range(len(budget._holders))]
        assert closed == [
            holders[Patience.CLOSING],
            holders[Patience.SLOW],
            holders[Patience.WAITING],
            holders[Patience.RECEIVING],
            small,
            holders[Patience.IDLE],
            holders[Patience.LARGE],
            holders[Patience.ORDINARY],
        ]

    run_paused(scenario())


def test_body_waits_for_room_and_gets_it():
    """Guards against refusals while others are about to end."""

    async def scenario():
        budget = with_budget()
        first, second = FakeHolder(), FakeHolder()
        budget.open(first)
        budget.open(second)
        size = budget.max_bodies
        await budget.reserve(first, size)
        waiting = asyncio.ensure_future(budget.reserve(second, size))
        await asyncio.sleep(MAX_BODY_WAIT_SECONDS / 2)
        assert not waiting.done()
        budget.release(first, size)
        await waiting
        assert budget.held == 2 * CONNECTION_BYTES + size

    run_paused(scenario())


@pytest.mark.parametrize("admitted", [False, True])
def test_body_whose_caller_leaves_while_it_waits_keeps_no_room(admitted):
    """Guards against room that is never given back."""

    async def scenario():
        budget = with_budget()
        first, second = FakeHolder(), FakeHolder()
        budget.open(first)
        budget.open(second)
        size = budget.max_bodies
        await budget.reserve(first, size)
        waiting = asyncio.ensure_future(budget.reserve(second, size))
        await asyncio.sleep(SETTLE_SECONDS)
        if admitted:
            budget.release(first, size)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        if not admitted:
            budget.release(first, size)
        await budget.reserve(first, size)

    run_paused(scenario())


def test_body_without_room_is_refused_after_a_time():
    """Guards against bodies that wait until their callers have given up."""

    async def scenario():
        budget = with_budget()
        holder = FakeHolder()
        budget.open(holder)
        await budget.reserve(holder, budget.max_bodies)
        memory = RequestMemory(budget=budget, holder=holder)
        with pytest.raises(BudgetSpent):
            await memory.reserve(1)

    run_paused(scenario())


# Time


@pytest.mark.parametrize("path", [b"/a", b"/b"])
def test_requests_sent_ahead_let_others_go_first(path):
    """Guards against a connection that keeps the loop for all that it has sent."""
    ahead = (HEAD % (b"GET", path) + b"\r\n") * 2000

    async def scenario(rig):
        _, writer = await asyncio.open_connection(*BIND_ADDRESS)
        ordinary = asyncio.ensure_future(rig.ask())
        writer.write(ahead)
        assert await ordinary == 200
        targets = [request.target for request in rig.handled]
        assert targets.index(b"/ordinary") < 100

    run_scenario(scenario)


def test_chunks_of_one_byte_let_others_go_first():
    """Guards against a connection that keeps the loop for each byte that it sends."""

    async def scenario(rig):
        head = HEAD % (b"POST", b"/x") + b"Transfer-Encoding: chunked\r\n\r\n"
        reader, writer = await asyncio.open_connection(*BIND_ADDRESS)
        ordinary = asyncio.ensure_future(rig.ask())
        writer.write(head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
        assert await ordinary == 200
        assert [request.target for request in rig.handled] == [b"/ordinary"]
        await reader.readuntil(b"\r\n\r\n")
        assert len(rig.handled) == 2

    run_scenario(scenario)


def test_turns_of_connections_that_have_ended_are_skipped():
    """Guards against requests that wait for the turns of clients that have left."""

    async def scenario():
        turns = TurnQueue(loop=asyncio.get_running_loop())
        calls = []
        for _ in range(1000):
            turns.start(lambda: False)
            turns.continue_later(lambda: False)
        turns.start(lambda: calls.append("start") or True)
        turns.continue_later(lambda: calls.append("further") or True)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert calls == ["start", "further"]

    run_paused(scenario())


def test_first_requests_of_connections_go_before_further_turns():
    """Guards against a new caller that waits behind all that others have sent."""

    async def scenario():
        turns = TurnQueue(loop=asyncio.get_running_loop())
        calls = []
        for number in range(100):
            turns.continue_later(lambda n=number: calls.append(n) or True)
        turns.start(lambda: calls.append("start") or True)
        for _ in range(3):
            await asyncio.sleep(0)
        assert calls[0] == "start"
        assert len(calls) < 5

    run_paused(scenario())


def test_requests_sent_ahead_are_all_answered():
    """Guards against requests that are lost while they wait for turns."""
    count = 5000

    async def scenario(rig):
        reader, writer = await rig.connect(GET * count)
        for _ in range(count):
            await reader.readuntil(b"\r\n\r\n")
        assert len(rig.handled) == count

    run_scenario(scenario)


def test_connection_that_ends_behind_unread_data_is_closed():
    """Guards against requests of a client that has left, behind those it sent."""

    async def scenario(rig):
        _, writer = await rig.connect(GET * 5000)
        writer.transport.abort()
        await asyncio.sleep(1.0)
        assert rig.server.open_count == 0
        assert rig.capacity.memory.held == 0

    run_scenario(scenario)


def test_body_over_the_limit_is_refused_while_it_comes():
    """Guards against a body that is kept although it is known to be too long."""

    async def scenario(rig):
        assert await rig.ask(make_upload(LARGE_BYTES, sent=10)) == 413
        head = HEAD % (b"POST", b"/x") + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"10000\r\n" + bytes(1 << 16) + b"\r\n"
        assert await rig.ask(head + chunk * 20) == 413

    run_scenario(scenario, body_bytes=1 << 20)


def test_requests_sent_ahead_do_not_run_for_a_caller_who_has_left(monkeypatch):
    """Guards against work for a caller whose end waits behind unread requests."""

    async def scenario(rig):
        async def run(request, responder):
            rig.handled.append(request)
            await asyncio.sleep(1.0)
            await responder.send(200)

        rig.server.handler = run
        # Reading pauses, so that the end of the connection is not read either.
        await rig.connect(GET * (MAX_WAITING_REQUESTS + 1))
        monkeypatch.setattr(ServerConnection, "has_hung_up", lambda self: True)
        await asyncio.sleep(20.0)
        assert len(rig.handled) == 1
        assert rig.server.open_count == 0

    run_scenario(scenario)
