"""Pipelined requests that run at the same time, and their responses in order."""

import asyncio
import re
import warnings

import pytest

from guavastream.emulator import run_paused
from guavastream.http1 import Limits, Server
from guavastream.http1.flow import READ_BYTES
from guavastream.http1.message import BUFFER_HIGH_WATER_BYTES
from guavastream.http1.pipeline import MAX_BUFFERED_BYTES, MAX_CONCURRENT_REQUESTS
from guavastream.http1.receiving import MAX_WAITING_REQUESTS

ADDRESS = ("10.0.0.1", 80)
IDLE_SECONDS = 5.0
RUN_SECONDS = 0.3
# Time for data to cross the emulated network.
SETTLE_SECONDS = 0.01
BUFFERED_PIECE_BYTES = 100 << 10


def get(path, *fields):
    """Return the bytes of a safe request."""
    return b"\r\n".join([b"GET %s HTTP/1.1" % path, b"Host: h", *fields, b"", b""])


def post(path, body=b"", *fields):
    """Return the bytes of an unsafe request."""
    length = b"Content-Length: %d" % len(body)
    head = [b"POST %s HTTP/1.1" % path, b"Host: h", length, *fields, b"", b""]
    return b"\r\n".join(head) + body


class Backend:
    """A handler that runs each request for the seconds in its path, /NAME/SECONDS.

    Attributes
    ----------
    events : list of tuple
        "start", "end" or "cancel" of each request, by name.
    bodies : dict of bytes to bytes
        Body of the response by name; by default the name.
    behavior : dict of bytes to callable
        Coroutine functions of request and responder by name, run instead.
    """

    def __init__(self):
        self.events = []
        self.bodies = {}
        self.behavior = {}
        self.asked_to_overlap = []
        self.running = self.most_running = 0

    def may_overlap(self, request):
        """Let safe requests without a body overlap."""
        self.asked_to_overlap.append(_name(request))
        return request.method == b"GET" and not request.length

    async def handle(self, request, responder):
        """Run a request."""
        name = _name(request)
        self.events.append(("start", name))
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if name in self.behavior:
                await self.behavior[name](request, responder)
            else:
                await asyncio.sleep(float(request.path.split(b"/")[2]))
                await request.body.read_up_to(1 << 24)
                body = self.bodies.get(name, name)
                await responder.send(200, [(b"Name", name)], body)
        except asyncio.CancelledError:
            self.events.append(("cancel", name))
            raise
        finally:
            self.running -= 1
        self.events.append(("end", name))

    def names(self, event):
        """Return the names of the requests with an event, in its order."""
        return [name for kind, name in self.events if kind == event]


def _name(request):
    return request.path.split(b"/")[1]


class Caller:
    """A caller's connection, with the time at which each response arrived."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def response(self):
        """Return status, `Connection: close`, body and time of the next response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        body = await self.reader.readexactly(length)
        closes = b"connection: close" in head.lower()
        now = asyncio.get_running_loop().time()
        return int(head.split()[1]), closes, body, now

    async def names(self, count):
        """Return the bodies of the next responses, which must have status 200."""
        responses = [await self.response() for _ in range(count)]
        assert [status for status, *_ in responses] == [200] * count
        return [body for _, _, body, _ in responses]

    async def is_closed(self):
        """Whether nothing but the end of the connection follows."""
        try:
            return await self.reader.read() == b""
        except ConnectionResetError:
            return True


def run_scenario(scenario, *, overlapping=True, **limits):
    """Run `scenario` with a backend, its server and a caller, on a paused clock.

    Returns the requests that the server aborted, as pairs of name and
    `AbortedRequest`.
    """
    aborted = []

    async def run():
        backend = Backend()
        server = Server(
            address=ADDRESS,
            handler=backend.handle,
            limits=Limits(**{"idle_seconds": IDLE_SECONDS} | limits),
            may_overlap=backend.may_overlap if overlapping else None,
            note_aborted=lambda cut: aborted.append((_name(cut.request), cut)),
        )
        await server.start()
        caller = Caller(*await asyncio.open_connection(*ADDRESS))
        await scenario(backend, server, caller)
        await server.stop()

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        run_paused(run())
    return aborted


def now():
    return asyncio.get_running_loop().time()


# Order and concurrency


def test_last_of_four_requests_is_answered_within_the_goal():
    """Guards against requests of a connection that wait for each other's runs."""

    async def scenario(backend, server, caller):
        began = now()
        for name in (b"a", b"b", b"c", b"d"):
            caller.writer.write(get(b"/%s/%g" % (name, RUN_SECONDS)))
        assert await caller.names(4) == [b"a", b"b", b"c", b"d"]
        assert now() - began <= 1.2 * RUN_SECONDS

    run_scenario(scenario)


def test_responses_are_sent_in_the_order_of_their_requests():
    """Guards against a response that is taken for that of an earlier request."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0.4") + get(b"/b/0.1") + get(b"/c/0.3"))
        caller.writer.write(get(b"/d/0.2"))
        assert await caller.names(4) == [b"a", b"b", b"c", b"d"]
        assert backend.names("end") == [b"b", b"d", b"c", b"a"]

    run_scenario(scenario)


def test_request_starts_while_an_earlier_one_runs_whenever_it_arrives():
    """Guards against overlap only of requests that arrive in one piece."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0.4"))
        await asyncio.sleep(0.1)
        for byte in get(b"/b/0.1"):
            caller.writer.write(bytes([byte]))
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.2)
        assert backend.names("end") == [b"b"]
        assert await caller.names(2) == [b"a", b"b"]

    run_scenario(scenario)


def test_server_handles_requests_one_after_another_by_default():
    """Guards against overlap on listeners that did not ask for it."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0.1") + get(b"/b/0.1") + get(b"/c/0.1"))
        assert await caller.names(3) == [b"a", b"b", b"c"]
        assert backend.most_running == 1

    run_scenario(scenario, overlapping=False)


def test_no_more_than_the_maximum_of_requests_run_at_a_time():
    """Guards against a caller that occupies many servers with one connection."""
    count = 3 * MAX_CONCURRENT_REQUESTS

    async def scenario(backend, server, caller):
        names = [b"n%d" % number for number in range(count)]
        caller.writer.write(b"".join(get(b"/%s/0.1" % name) for name in names))
        assert await caller.names(count) == names
        assert backend.most_running == MAX_CONCURRENT_REQUESTS
        assert backend.names("start") == names

    run_scenario(scenario)


def test_waiting_request_starts_as_soon_as_an_earlier_one_is_answered():
    """Guards against requests that wait for a whole group before them."""

    async def scenario(backend, server, caller):
        requests = [get(b"/a/0.1")]
        requests += [get(b"/n%d/0.5" % n) for n in range(MAX_CONCURRENT_REQUESTS)]
        began = now()
        caller.writer.write(b"".join(requests))
        await caller.names(len(requests))
        assert now() - began < 0.65

    run_scenario(scenario)


def test_reading_pauses_while_the_maximum_of_requests_waits():
    """Guards against requests that are read without bound while others run."""

    async def scenario(backend, server, caller):
        read = []
        for number in range(4 * MAX_WAITING_REQUESTS):
            caller.writer.write(get(b"/n%d/1.0" % number))
            await asyncio.sleep(SETTLE_SECONDS)
            (connection,) = server._connections
            read.append(len(connection._requests) + connection.busy)
        assert max(read) == MAX_WAITING_REQUESTS + MAX_CONCURRENT_REQUESTS
        assert len(await caller.names(len(read))) == len(read)

    run_scenario(scenario)


def test_requests_of_one_read_are_handled_before_more_are_read():
    """Guards against reading on while more than the maximum of requests waits."""
    request = get(b"/n/0")
    count = 5 * READ_BYTES // len(request)

    async def scenario(backend, server, caller):
        waiting = []

        async def record(request, responder):
            (connection,) = server._connections
            waiting.append(len(connection._requests))
            await responder.send(200, (), b"n")

        backend.behavior[b"n"] = record
        caller.writer.write(request * count)
        await caller.names(count)
        limit = READ_BYTES // len(request) + MAX_WAITING_REQUESTS + 1
        assert 0 < max(waiting) <= limit

    run_scenario(scenario)


# Unsafe requests


def test_unsafe_request_starts_after_all_earlier_ones_were_answered():
    """Guards against an unsafe run beside an earlier request of its connection."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0.3") + get(b"/b/0.1") + post(b"/c/0.1"))
        assert await caller.names(3) == [b"a", b"b", b"c"]
        assert backend.events[-2:] == [("start", b"c"), ("end", b"c")]

    run_scenario(scenario)


def test_no_request_starts_before_an_earlier_unsafe_one_was_answered():
    """Guards against a read that overtakes the write sent before it."""

    async def scenario(backend, server, caller):
        caller.writer.write(post(b"/a/0.3") + get(b"/b/0.1") + get(b"/c/0.1"))
        assert await caller.names(3) == [b"a", b"b", b"c"]
        assert backend.events[:2] == [("start", b"a"), ("end", b"a")]
        assert backend.most_running == 2

    run_scenario(scenario)


def test_no_request_starts_behind_a_response_that_closes():
    """Guards against runs whose responses cannot be sent, unsafe ones above all."""

    async def scenario(backend, server, caller):
        async def respond_early(request, responder):
            # Part of the request's body is missing, so the connection will close.
            await responder.start(200, (), length=2)
            await asyncio.sleep(0.2)
            await responder.write(b"ok")
            responder.finish()

        backend.behavior[b"early"] = respond_early
        request = post(b"/early/0", b"x" * 10)
        caller.writer.write(request[:-5])
        await asyncio.sleep(0.1)
        caller.writer.write(request[-5:] + get(b"/safe/0") + post(b"/unsafe/0"))
        assert (await caller.response())[:3] == (200, True, b"ok")
        assert await caller.is_closed()
        assert backend.names("start") == [b"early"]

    run_scenario(scenario)


def test_no_request_starts_behind_the_last_response_of_a_closing_server():
    """Guards against runs on a connection whose close is announced already."""

    async def scenario(backend, server, caller):
        async def stream(request, responder):
            await responder.start(200, (), length=2)
            await asyncio.sleep(0.2)
            await responder.write(b"ok")
            responder.finish()

        backend.behavior[b"last"] = stream
        server.closing = True
        caller.writer.write(get(b"/last/0"))
        await asyncio.sleep(0.1)
        caller.writer.write(get(b"/safe/0") + post(b"/unsafe/0"))
        assert (await caller.response())[:3] == (200, True, b"ok")
        assert await caller.is_closed()
        assert backend.names("start") == [b"last"]

    run_scenario(scenario)


def test_data_behind_a_request_that_asks_to_close_is_not_run():
    """Guards against requests that run after their caller has announced the end."""

    async def scenario(backend, server, caller):
        last = get(b"/b/0.1", b"Connection: close")
        caller.writer.write(get(b"/a/0.2") + last + get(b"/c/0") + post(b"/d/0"))
        assert (await caller.response())[1:3] == (False, b"a")
        assert (await caller.response())[1:3] == (True, b"b")
        assert await caller.is_closed()
        assert backend.names("start") == [b"a", b"b"]

    run_scenario(scenario)


def test_aborted_response_cancels_later_requests_and_starts_no_unsafe_one():
    """Guards against runs that continue behind a connection that was cut."""

    async def scenario(backend, server, caller):
        async def abort_later(request, responder):
            await responder.start(200, (), length=2)
            await asyncio.sleep(0.2)
            responder.abort()

        backend.behavior[b"a"] = abort_later
        caller.writer.write(get(b"/a/0") + get(b"/b/1") + post(b"/c/0"))
        assert not (await caller.reader.read()).endswith(b"ok")
        await asyncio.sleep(2.0)
        assert backend.names("start") == [b"a", b"b"]
        assert backend.names("cancel") == [b"b"]

    aborted = run_scenario(scenario)
    assert [(name, cut.handler_called) for name, cut in aborted] == [
        (b"a", True),
        (b"b", True),
        (b"c", False),
    ]


# Failures


@pytest.mark.parametrize("half", [False, True])
def test_all_requests_are_cancelled_when_the_caller_leaves(half):
    """Guards against servers that work for callers that are gone.

    A caller that closes only its sending direction counts as gone, as with one request.
    """

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/1") + get(b"/b/1") + get(b"/c/1") + post(b"/d/0"))
        await asyncio.sleep(0.1)
        if half:
            caller.writer.write_eof()
        else:
            caller.writer.close()
        await asyncio.sleep(SETTLE_SECONDS)
        assert sorted(backend.names("cancel")) == [b"a", b"b", b"c"]
        await asyncio.sleep(2.0)
        assert backend.names("start") == [b"a", b"b", b"c"] and server.busy == 0

    assert run_scenario(scenario) == []


def test_requests_are_cancelled_while_an_earlier_one_still_cleans_up():
    """Guards against runs that end only with the slowest one before them."""

    async def scenario(backend, server, caller):
        async def clean_up(request, responder):
            try:
                await asyncio.sleep(10.0)
            finally:
                await asyncio.sleep(1.0)

        backend.behavior[b"a"] = clean_up
        caller.writer.write(get(b"/a/0") + get(b"/b/1"))
        await asyncio.sleep(0.1)
        caller.writer.close()
        await asyncio.sleep(SETTLE_SECONDS)
        assert backend.names("cancel") == [b"b"]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n", 413),
        (get(b"/x", b"Long: " + b"x" * 3000), 431),
    ],
)
def test_requests_before_a_rejected_one_are_answered_first(data, status):
    """Guards against a rejection that overtakes or discards earlier responses."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0.3") + get(b"/b/0.1") + data)
        caller.writer.write(get(b"/c/0") if status != 408 else b"")
        assert await caller.names(2) == [b"a", b"b"]
        assert (await caller.response())[:3] == (status, True, b"")
        assert await caller.is_closed()
        assert backend.names("start") == [b"a", b"b"]

    limits = {"body_bytes": 1000, "head_bytes": 2000, "head_seconds": 1.0}
    assert run_scenario(scenario, **limits) == []


def test_chunked_body_over_the_limit_is_rejected_in_its_turn():
    """Guards against a 413 that is sent instead of an earlier response."""

    async def scenario(backend, server, caller):
        head = b"POST /c/0 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        caller.writer.write(get(b"/a/0.3") + get(b"/b/0.1") + head)
        for _ in range(3):
            caller.writer.write(b"200\r\n" + bytes(512) + b"\r\n")
        assert await caller.names(2) == [b"a", b"b"]
        assert (await caller.response())[:2] == (413, True)

    assert run_scenario(scenario, body_bytes=1000) == []


def test_draining_server_answers_started_requests_and_closes_with_the_last():
    """Guards against a planned stop that cuts requests or closes before the last."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0.3") + get(b"/b/0.1") + get(b"/c/0.2"))
        # The response to b is buffered by then.
        await asyncio.sleep(0.15)
        server.begin_close()
        assert server.busy == 3
        responses = [await caller.response() for _ in range(3)]
        assert [body for _, _, body, _ in responses] == [b"a", b"b", b"c"]
        assert [closes for _, closes, _, _ in responses] == [False, False, True]
        assert await caller.is_closed()

    assert run_scenario(scenario) == []


def test_requests_cut_by_a_stop_are_reported():
    """Guards against requests without a response of which nothing is logged."""

    async def scenario(backend, server, caller):
        caller.writer.write(
            get(b"/a/1") + get(b"/b/0.1") + get(b"/c/1") + post(b"/d/0")
        )
        await asyncio.sleep(0.2)

    aborted = run_scenario(scenario)
    assert [(name, cut.handler_called) for name, cut in aborted] == [
        (b"a", True),
        (b"b", True),
        (b"c", True),
        (b"d", False),
    ]
    assert {(cut.cause, cut.response_sent) for _, cut in aborted} == {
        ("stopped", "none")
    }


def test_failed_handler_is_answered_with_500_in_its_turn():
    """Guards against a failure that is reported for another request."""

    async def scenario(backend, server, caller):
        async def fail(request, responder):
            raise KeyError("unexpected")

        backend.behavior[b"b"] = fail
        caller.writer.write(get(b"/a/0.2") + get(b"/b/0") + get(b"/c/0.1"))
        statuses = [(await caller.response())[0] for _ in range(3)]
        assert statuses == [200, 500, 200]

    assert run_scenario(scenario) == []


@pytest.mark.parametrize("before_turn", [False, True])
def test_failure_within_a_response_cuts_only_what_is_not_answered_yet(before_turn):
    """Guards against an abort that takes earlier responses with it."""

    async def scenario(backend, server, caller):
        async def fail(request, responder):
            if before_turn:
                responder.abort()
                return
            await responder.start(200, (), length=2)
            raise KeyError("unexpected")

        backend.behavior[b"b"] = fail
        caller.writer.write(get(b"/a/0.2") + get(b"/b/0") + get(b"/c/1"))
        assert await caller.names(1) == [b"a"]
        await caller.is_closed()
        await asyncio.sleep(2.0)
        assert backend.names("cancel") == [b"c"]

    run_scenario(scenario)


def test_handler_that_ends_without_a_response_cuts_in_its_turn():
    """Guards against a caller that waits for a response that nobody will send."""

    async def scenario(backend, server, caller):
        async def do_nothing(request, responder):
            pass

        backend.behavior[b"b"] = do_nothing
        caller.writer.write(get(b"/a/0.2") + get(b"/b/0"))
        assert await caller.names(1) == [b"a"]
        assert await caller.is_closed()

    aborted = run_scenario(scenario)
    assert [(name, cut.cause) for name, cut in aborted] == [(b"b", "unanswered")]


# Bodies


def test_chunked_body_between_overlapping_requests_is_received_completely():
    """Guards against bodies that are mixed with pipelined requests."""
    received = []

    async def scenario(backend, server, caller):
        async def receive(request, responder):
            received.append(await request.body.read_up_to(1 << 20))
            await responder.send(200, (), b"c")

        backend.behavior[b"c"] = receive
        caller.writer.write(get(b"/a/0.2") + get(b"/b/0.1"))
        caller.writer.write(
            b"POST /c/0 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        caller.writer.write(get(b"/d/0.2") + get(b"/e/0.1"))
        assert await caller.names(5) == [b"a", b"b", b"c", b"d", b"e"]

    run_scenario(scenario)
    assert received == [(b"abc", True)]


def test_interim_response_is_not_sent_before_earlier_responses():
    """Guards against "100 Continue" within or before another request's response."""

    async def scenario(backend, server, caller):
        request = post(b"/c/0", b"body", b"Expect: 100-continue")
        caller.writer.write(get(b"/a/0.3") + get(b"/b/0.1") + request[:-4])
        assert await caller.names(2) == [b"a", b"b"]
        interim = await caller.reader.readuntil(b"\r\n\r\n")
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.writer.write(request[-4:])
        assert await caller.names(1) == [b"c"]

    run_scenario(scenario)


def test_safe_request_with_an_expectation_runs_in_its_turn():
    """Guards against a request that overlaps and misses its interim response."""

    async def scenario(backend, server, caller):
        expecting = get(b"/b/0.1", b"Expect: 100-continue")
        caller.writer.write(get(b"/a/0.3") + expecting + get(b"/c/0.1"))
        assert await caller.names(1) == [b"a"]
        interim = await caller.reader.readuntil(b"\r\n\r\n")
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert await caller.names(2) == [b"b", b"c"]

    run_scenario(scenario)


def test_next_request_is_read_after_a_large_body_that_was_not():
    """Guards against reading that stays paused for the body of an answered request."""

    async def scenario(backend, server, caller):
        async def refuse(request, responder):
            while not request.body.ended:
                await asyncio.sleep(SETTLE_SECONDS)
            await responder.send(200, (), b"a")

        backend.behavior[b"a"] = refuse
        caller.writer.write(post(b"/a/0", bytes(BUFFER_HIGH_WATER_BYTES + 1)))
        assert await caller.names(1) == [b"a"]
        caller.writer.write(get(b"/b/0"))
        assert await caller.names(1) == [b"b"]

    run_scenario(scenario)


def test_reading_stays_paused_for_a_large_body_when_an_earlier_request_ends():
    """Guards against a whole upload in memory that nobody reads yet."""

    async def scenario(backend, server, caller):
        body = bytes(4 << 20)
        caller.writer.write(post(b"/a/0.2") + post(b"/b/0.4") + post(b"/c/0", body))
        await asyncio.sleep(0.4)
        (connection,) = server._connections
        assert connection._receiving.body._buffered_bytes < 1 << 20
        assert await caller.names(3) == [b"a", b"b", b"c"]

    run_scenario(scenario)


# Memory


def test_no_request_starts_while_the_buffer_is_full():
    """Guards against responses that fill the memory while an early request runs."""

    async def scenario(backend, server, caller):
        backend.bodies = dict.fromkeys((b"b", b"c"), bytes(MAX_BUFFERED_BYTES // 2 + 1))
        caller.writer.write(get(b"/a/1") + get(b"/b/0.1") + get(b"/c/0.1"))
        await asyncio.sleep(0.2)
        caller.writer.write(get(b"/d/0.1"))
        await asyncio.sleep(0.7)
        assert backend.names("start") == [b"a", b"b", b"c"]
        assert await caller.names(1) == [b"a"]
        for _ in range(2):
            assert len((await caller.response())[2]) == MAX_BUFFERED_BYTES // 2 + 1
        assert await caller.names(1) == [b"d"]

    run_scenario(scenario)


def test_handlers_wait_with_their_responses_while_the_buffer_is_full():
    """Guards against an unlimited buffer of a connection.

    The responses are in memory either way, but their handlers take no new work.
    """

    async def scenario(backend, server, caller):
        names = [b"n%d" % number for number in range(7)]
        backend.bodies = dict.fromkeys(names, bytes(BUFFERED_PIECE_BYTES))
        caller.writer.write(get(b"/slow/1"))
        caller.writer.write(b"".join(get(b"/%s/0.1" % name) for name in names))
        await asyncio.sleep(0.5)
        # The third response exceeded the limit.
        assert MAX_BUFFERED_BYTES // BUFFERED_PIECE_BYTES == 2
        assert len(backend.names("end")) == 3 and backend.running == 5
        for _ in range(8):
            await caller.response()
        assert sorted(backend.names("end")) == sorted([b"slow", *names])

    run_scenario(scenario)


def test_response_that_waits_for_its_turn_is_not_lost_by_a_time_limit():
    """Guards against a finished response that is replaced by a time-out."""

    async def scenario(backend, server, caller):
        async def respond_in_time(request, responder):
            try:
                async with asyncio.timeout(0.3):
                    await responder.send(200, (), bytes(BUFFERED_PIECE_BYTES))
            except TimeoutError:
                if not responder.complete:
                    await responder.send(504)

        names = [b"n%d" % number for number in range(5)]
        backend.behavior = dict.fromkeys(names, respond_in_time)
        caller.writer.write(get(b"/slow/1"))
        caller.writer.write(b"".join(get(b"/%s/0" % name) for name in names))
        assert await caller.names(1) == [b"slow"]
        for _ in names:
            status, _, body, _ = await caller.response()
            assert (status, len(body)) == (200, BUFFERED_PIECE_BYTES)

    run_scenario(scenario)


def test_streamed_response_begins_when_it_is_due():
    """Guards against large bodies that are buffered while an earlier request runs."""
    began = []

    async def scenario(backend, server, caller):
        async def stream(request, responder):
            await responder.start(200, (), length=1 << 20)
            began.append(now())
            for _ in range(16):
                await responder.write(bytes(1 << 16))
            responder.finish()

        backend.behavior[b"b"] = stream
        sent = now()
        caller.writer.write(get(b"/a/0.5") + get(b"/b/0") + get(b"/c/0"))
        assert await caller.names(1) == [b"a"]
        assert len((await caller.response())[2]) == 1 << 20
        assert await caller.names(1) == [b"c"]
        assert began[0] - sent >= 0.5

    run_scenario(scenario)


def test_time_limit_of_a_streamed_response_before_its_turn_cuts_no_other():
    """Guards against an abort of the connection for a response that has not begun."""

    async def scenario(backend, server, caller):
        async def stream(request, responder):
            try:
                async with asyncio.timeout(0.2):
                    await responder.start(200, (), length=1 << 20)
            except TimeoutError:
                assert not responder.started
                await responder.send(504)

        backend.behavior[b"b"] = stream
        caller.writer.write(get(b"/a/0.5") + get(b"/b/0") + get(b"/c/0"))
        statuses = [(await caller.response())[0] for _ in range(3)]
        assert statuses == [200, 504, 200]

    run_scenario(scenario)


def test_caller_that_does_not_read_is_disconnected_after_the_idle_limit():
    """Guards against buffers and runs that a caller keeps by not reading."""

    async def scenario(backend, server, caller):
        backend.bodies[b"a"] = bytes(64 << 20)
        caller.writer.write(get(b"/a/0") + get(b"/b/100") + post(b"/c/0"))
        await asyncio.sleep(IDLE_SECONDS - 0.5)
        assert server.open_count == 1
        await asyncio.sleep(1.0)
        assert server.open_count == 0
        assert backend.names("cancel") == [b"b"]
        assert backend.names("start") == [b"a", b"b"]

    run_scenario(scenario)


# One request at a time


def test_single_requests_cost_no_task_and_no_question_about_overlap():
    """Guards against overhead for callers that do not pipeline."""

    async def scenario(backend, server, caller):
        caller.writer.write(get(b"/a/0"))
        await caller.names(1)
        created = []

        def count_task(loop, coroutine, **options):
            created.append(coroutine)
            return asyncio.Task(coroutine, loop=loop, **options)

        asyncio.get_running_loop().set_task_factory(count_task)
        for _ in range(5):
            caller.writer.write(get(b"/a/0.1"))
            assert await caller.names(1) == [b"a"]
        assert created == [] and backend.asked_to_overlap == []

    run_scenario(scenario)


def test_single_requests_get_the_same_bytes_at_the_same_time():
    """Guards against a change for callers that do not pipeline."""

    def record(overlapping):
        received = []

        async def scenario(backend, server, caller):
            head = b"POST /c/0.1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            requests = [
                get(b"/a/0.1"),
                post(b"/b/0.1", b"xyz", b"Expect: 100-continue"),
            ]
            requests += [head + b"\r\n1\r\na\r\n0\r\n\r\n", b"GET /x\r\n\r\n"]
            for request in requests:
                caller.writer.write(request)
                await asyncio.sleep(0.05)
                received.append((await caller.reader.read(1 << 16), now()))
            received.append((await caller.reader.read(), now()))

        run_scenario(scenario, overlapping=overlapping)
        began = received[0][1]
        return [(data, round(at - began, 6)) for data, at in received]

    assert record(True) == record(False)
