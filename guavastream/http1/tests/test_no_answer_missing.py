"""Whoever has sent a whole request gets an answer on that connection."""

import asyncio
import socket

import pytest

from guavastream.emulator import run_stalling
from guavastream.http1 import BodyStream, Client, CutOff, Limits, Server
from guavastream.kernel import ThrottledSelector

IDLE_SECONDS = 5.0
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
OK = b"HTTP/1.1 200"


class Caller:
    """A caller that writes bytes as it likes and reads what comes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        """Send bytes at once."""
        self.writer.write(data)

    async def read(self):
        """Return the head and the body of the next answer."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        )
        return head, await self.reader.readexactly(length)


async def answer(request, responder):
    """Read the body and answer with its size."""
    body, _ = await request.body.read_up_to(1 << 24)
    await responder.send(200, (), b"%d" % len(body))


async def refuse(request, responder):
    """Answer without a look at the body."""
    await responder.send(503, (), b"no")


def play(scenario, *, handler=answer, selector=None, **limits):
    """Run a scenario with a server, and a function that connects to it."""
    limits = {"idle_seconds": IDLE_SECONDS} | limits

    async def run():
        cuts = []
        server = Server(
            address=("127.0.0.1", 0),
            handler=handler,
            limits=Limits(**limits),
            note_cut=cuts.append,
        )
        await server.start()
        host, _, port = server.address.rpartition(":")

        async def connect():
            return Caller(*await asyncio.open_connection(host, int(port)))

        await scenario(server, connect)
        await server.stop()
        assert not cuts

    run_stalling(run(), selector=selector)


def test_a_request_is_served_that_comes_as_its_connection_s_idle_time_ends():
    """Guards against a connection closed as idle with a request that was read."""

    async def scenario(server, connect):
        caller = await connect()
        for _ in range(3):
            caller.send(GET)
            assert (await caller.read())[0].startswith(OK)
            await asyncio.sleep(0)
            caller.send(GET)
            asyncio.get_running_loop().stand_still(IDLE_SECONDS + 1.0)
            assert (await caller.read())[0].startswith(OK)

    play(scenario)


def test_a_request_is_served_that_waits_unread_as_the_idle_time_ends():
    """Guards against a loop that runs timers before it has looked at its sockets."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        for rounds in range(6):
            caller.send(GET)
            assert (await caller.read())[0].startswith(OK)
            for _ in range(rounds):
                await asyncio.sleep(0)
            caller.send(GET)
            loop.stand_still(IDLE_SECONDS + 1.0)
            # Something is ready to run, so that the loop does not wait.
            loop.call_soon(lambda: None)
            assert (await caller.read())[0].startswith(OK)

    play(scenario, selector=ThrottledSelector())


def test_a_request_is_served_that_waits_unread_as_its_server_closes():
    """Guards against idle connections that a stop ends with a request on them."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        await caller.read()
        caller.send(GET)
        server.begin_close()
        head, _ = await caller.read()
        assert head.startswith(OK) and b"connection: close" in head.lower()

    play(scenario)


def test_a_longer_idle_limit_holds_for_connections_that_are_open():
    """Guards against callers who trust a new limit and meet the old one."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        caller.send(GET)
        await caller.read()
        server.limits = Limits(idle_seconds=4 * IDLE_SECONDS)
        loop.stand_still(2 * IDLE_SECONDS)
        for _ in range(20):
            await asyncio.sleep(0)
        caller.send(GET)
        assert (await caller.read())[0].startswith(OK)

    play(scenario)


def test_a_shorter_idle_limit_holds_from_the_next_answer_on():
    """Guards against callers who still know the old limit and meet the new one."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        caller.send(GET)
        await caller.read()
        server.limits = Limits(idle_seconds=IDLE_SECONDS / 10)
        loop.stand_still(IDLE_SECONDS / 2)
        for _ in range(20):
            await asyncio.sleep(0)
        caller.send(GET)
        assert (await caller.read())[0].startswith(OK)

    play(scenario)


def test_callers_are_told_how_long_a_connection_is_kept():
    """Guards against callers who guess, and send as their connection is closed."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        head, _ = await caller.read()
        told = head.lower().partition(b"keep-alive: timeout=")[2].split(b"\r\n")[0]
        # A fifth is left for the way and for a host that stands still.
        assert int(told) == 4

    play(scenario)


@pytest.mark.parametrize("ahead", [1, 3])
def test_requests_that_were_sent_ahead_are_answered_by_a_closing_server(ahead):
    """Guards against requests that were read and dropped with `Connection: close`."""
    begun, go_on = asyncio.Event(), asyncio.Event()

    async def wait(request, responder):
        begun.set()
        await go_on.wait()
        await responder.send(200)

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET * (1 + ahead))
        await begun.wait()
        server.begin_close()
        go_on.set()
        for left in reversed(range(1 + ahead)):
            head, _ = await caller.read()
            assert head.startswith(OK)
            assert (b"connection: close" in head.lower()) == (left == 0)
        assert await caller.reader.read() == b""

    play(scenario, handler=wait)


def test_a_connection_is_not_closed_whose_answer_did_not_say_so():
    """Guards against a stop between the head of an answer and its end."""
    begun, go_on = asyncio.Event(), asyncio.Event()

    async def answer_slowly(request, responder):
        await responder.start(200, (), length=2)
        begun.set()
        await go_on.wait()
        await responder.write(b"ok")
        responder.finish()

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        await begun.wait()
        server.closing = True
        caller.send(GET)
        go_on.set()
        assert (await caller.read())[0].startswith(OK)
        assert (await caller.read())[0].startswith(OK)

    play(scenario, handler=answer_slowly)


def test_requests_before_one_that_cannot_be_read_are_answered():
    """Guards against good requests that are dropped for a bad one behind them."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET * 2 + b"nonsense\r\n\r\n")
        assert (await caller.read())[0].startswith(OK)
        assert (await caller.read())[0].startswith(OK)
        assert (await caller.read())[0].startswith(b"HTTP/1.1 400")

    play(scenario)


@pytest.mark.parametrize("size", [3_000, 300_000, 3_000_000])
def test_a_refusal_reaches_a_caller_that_still_sends_its_body(size):
    """Guards against a reset that overtakes the answer, for bytes left unread."""

    async def scenario(server, connect):
        caller = await connect()
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        caller.send(head % size)
        body = bytes(size)
        caller.send(body[: size // 2])
        await caller.writer.drain()
        caller.send(body[size // 2 :])
        await caller.writer.drain()
        head, body = await caller.read()
        assert head.startswith(b"HTTP/1.1 503") and body == b"no"
        assert await caller.reader.read() == b""

    play(scenario, handler=refuse)


def test_a_body_in_chunks_beyond_the_limit_is_told_so():
    """Guards against a reset in place of 413."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(8):
            caller.send(b"400\r\n" + bytes(1024) + b"\r\n")
            await caller.writer.drain()
        caller.send(b"0\r\n\r\n")
        assert (await caller.read())[0].startswith(b"HTTP/1.1 413")

    play(scenario, body_bytes=4096)


@pytest.mark.parametrize("after", [0.0, 2.0])
def test_a_head_that_takes_longer_than_its_limit_is_refused(after):
    """Guards against heads that may take as long as a connection may be idle."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        loop.stand_still(after)
        caller.send(GET[:9])
        for _ in range(20):
            await asyncio.sleep(0)
        loop.stand_still(1.5)
        for _ in range(20):
            await asyncio.sleep(0)
        caller.send(GET[9:])
        assert (await caller.read())[0].startswith(b"HTTP/1.1 408")

    play(scenario, head_seconds=1.0)


def test_a_request_whose_handler_fails_is_answered():
    """Guards against an error nobody expects that ends the connection."""

    async def fail(request, responder):
        raise KeyError("nobody expects it")

    async def scenario(server, connect):
        caller = await connect()
        for _ in range(2):
            caller.send(GET)
            assert (await caller.read())[0].startswith(b"HTTP/1.1 500")

    play(scenario, handler=fail)


def test_an_answer_that_is_written_is_not_taken_back():
    """Guards against a time limit that strikes while a whole answer goes out."""
    size = 8 << 20

    async def answer_late(request, responder):
        try:
            async with asyncio.timeout(0.0):
                await responder.send(200, (), bytes(size))
        except TimeoutError:
            if not responder.whole:
                responder.abort()

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        head, body = await caller.read()
        assert head.startswith(OK) and len(body) == size
        caller.send(GET)
        assert (await caller.read())[0].startswith(OK)

    play(scenario, handler=answer_late)


def test_a_body_that_was_cut_off_is_never_whole():
    """Guards against a request that is passed on with a part of its body."""

    async def scenario():
        body = BodyStream(
            loop=asyncio.get_running_loop(), pause=lambda: None, resume=lambda: None
        )
        body.feed(b"part")
        body.fail(CutOff("too large"))
        body.feed_end()
        assert not body.ended
        with pytest.raises(CutOff):
            await body.read_up_to(1 << 20)

    asyncio.run(scenario())


def test_callers_who_have_just_connected_are_answered_by_a_server_that_stops():
    """Guards against connections that are reset in the queue of a closed listener."""

    async def scenario(server, connect):
        host, _, port = server.address.rpartition(":")
        callers = [socket.create_connection((host, int(port))) for _ in range(50)]
        for caller in callers:
            caller.sendall(GET)
        await server.end_listening()
        server.begin_close()
        while server.busy:
            await asyncio.sleep(0)
        await server.stop()
        for caller in callers:
            with caller:
                assert caller.recv(100).startswith(OK)

    play(scenario)


def test_answers_that_still_go_out_are_not_lost_with_the_server():
    """Guards against a stop that ends with answers in the buffers of connections."""
    size = 8 << 20

    async def answer_much(request, responder):
        await responder.send(200, (), bytes(size))

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        head = await caller.reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.ensure_future(server.stop())
        assert head.startswith(OK)
        assert len(await caller.reader.readexactly(size)) == size
        await stopping
        assert server.open_count == 0

    play(scenario, handler=answer_much)


def test_a_request_that_crosses_the_end_of_its_connection_is_told_so():
    """Guards against a connection between hosts that ends under a request just sent."""
    ran = []

    async def run(request, responder):
        ran.append(request)
        await responder.send(200)

    async def scenario():
        farewell = b"HTTP/1.1 503 Gone\r\nContent-Length: 0\r\n\r\n"
        server = Server(address=("127.0.0.1", 0), handler=run, farewell=farewell)
        await server.start()
        client = Client()
        for crosses in (False, True):
            async with await client.open(server.address) as exchange:
                exchange.send(b"GET", b"/x", [])
                assert (await exchange.answer()).status == 200
            server.ends_idle = True
            for connection in list(server._connections):
                connection.wake()
            # The server ends the connection; its peer has not read that yet.
            await asyncio.sleep(0)
            if not crosses:
                while client.count_open(server.address):
                    await asyncio.sleep(0)
                server.ends_idle = False
        async with await client.open(server.address) as exchange:
            assert exchange.reused
            exchange.send(b"GET", b"/x", [])
            assert (await exchange.answer()).status == 503
        assert len(ran) == 2
        await server.stop()

    run_stalling(scenario())
