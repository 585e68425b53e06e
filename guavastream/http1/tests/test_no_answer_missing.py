"""Every request that was sent completely gets a response on its connection."""

import asyncio
import errno
import gc
import socket

import pytest

from guavastream.emulator import run_stalling
from guavastream.http1 import (
    BodyStream,
    Client,
    IncompleteMessage,
    Limits,
    NotSent,
    Server,
)
from guavastream.kernel import ThrottledSelector

IDLE_SECONDS = 5.0
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
OK = b"HTTP/1.1 200"


class Caller:
    """A caller that sends raw bytes and reads the responses."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        """Send bytes without waiting."""
        self.writer.write(data)

    async def read_response(self):
        """Return the head and the body of the next response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        )
        return head, await self.reader.readexactly(length)


async def respond_with_size(request, responder):
    """Read the body and respond with its size."""
    body, _ = await request.body.read_up_to(1 << 24)
    await responder.send(200, (), b"%d" % len(body))


async def refuse(request, responder):
    """Refuse the request without reading its body."""
    await responder.send(503, (), b"no")


def run_scenario(scenario, *, handler=respond_with_size, selector=None, **limits):
    """Run `scenario` with a server and a function that connects to it.

    Afterwards no request may have been aborted by the server.
    """
    limits = {"idle_seconds": IDLE_SECONDS} | limits

    async def run():
        aborted = []
        server = Server(
            address=("127.0.0.1", 0),
            handler=handler,
            limits=Limits(**limits),
            note_aborted=aborted.append,
        )
        await server.start()
        host, _, port = server.address.rpartition(":")

        async def connect():
            return Caller(*await asyncio.open_connection(host, int(port)))

        await scenario(server, connect)
        await server.stop()
        assert not aborted

    run_stalling(run(), selector=selector)


def test_request_that_arrives_as_the_idle_limit_expires_is_served():
    """Guards against closing a connection as idle after its request was read."""

    async def scenario(server, connect):
        caller = await connect()
        for _ in range(3):
            caller.send(GET)
            assert (await caller.read_response())[0].startswith(OK)
            await asyncio.sleep(0)
            caller.send(GET)
            asyncio.get_running_loop().stand_still(IDLE_SECONDS + 1.0)
            assert (await caller.read_response())[0].startswith(OK)

    run_scenario(scenario)


def test_unread_request_is_served_when_the_idle_limit_expires():
    """Guards against closing a connection as idle while its socket has unread data.

    An event loop may run an expired timer before it polls the sockets.
    """

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        for rounds in range(6):
            caller.send(GET)
            assert (await caller.read_response())[0].startswith(OK)
            for _ in range(rounds):
                await asyncio.sleep(0)
            caller.send(GET)
            loop.stand_still(IDLE_SECONDS + 1.0)
            # A ready callback, so that the loop does not wait for its sockets.
            loop.call_soon(lambda: None)
            assert (await caller.read_response())[0].startswith(OK)

    run_scenario(scenario, selector=ThrottledSelector())


def test_unread_request_is_served_when_the_server_closes():
    """Guards against closing a connection that has an unread request."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        await caller.read_response()
        caller.send(GET)
        server.begin_close()
        head, _ = await caller.read_response()
        assert head.startswith(OK) and b"connection: close" in head.lower()

    run_scenario(scenario)


def test_longer_idle_limit_applies_to_open_connections():
    """Guards against applying the old limit to callers that rely on the new one."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        caller.send(GET)
        await caller.read_response()
        server.limits = Limits(idle_seconds=4 * IDLE_SECONDS)
        loop.stand_still(2 * IDLE_SECONDS)
        for _ in range(20):
            await asyncio.sleep(0)
        caller.send(GET)
        assert (await caller.read_response())[0].startswith(OK)

    run_scenario(scenario)


def test_shorter_idle_limit_applies_from_the_next_response():
    """Guards against applying the new limit to callers that rely on the old one."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        caller.send(GET)
        await caller.read_response()
        server.limits = Limits(idle_seconds=IDLE_SECONDS / 10)
        loop.stand_still(IDLE_SECONDS / 2)
        for _ in range(20):
            await asyncio.sleep(0)
        caller.send(GET)
        assert (await caller.read_response())[0].startswith(OK)

    run_scenario(scenario)


def test_idle_limit_is_announced_in_responses():
    """Guards against callers that send on a connection while it is closed as idle."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        head, _ = await caller.read_response()
        announced = head.lower().partition(b"keep-alive: timeout=")[2].split(b"\r\n")[0]
        # A fifth is left for network latency and pauses of the host.
        assert int(announced) == 4

    run_scenario(scenario)


@pytest.mark.parametrize("pipelined", [1, 3])
def test_pipelined_requests_are_answered_by_a_closing_server(pipelined):
    """Guards against dropping requests that were read before the server closes."""
    handler_called, proceed = asyncio.Event(), asyncio.Event()

    async def respond_later(request, responder):
        handler_called.set()
        await proceed.wait()
        await responder.send(200)

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET * (1 + pipelined))
        await handler_called.wait()
        server.begin_close()
        proceed.set()
        for remaining in reversed(range(1 + pipelined)):
            head, _ = await caller.read_response()
            assert head.startswith(OK)
            assert (b"connection: close" in head.lower()) == (remaining == 0)
        assert await caller.reader.read() == b""

    run_scenario(scenario, handler=respond_later)


def test_connection_stays_open_if_its_response_did_not_announce_the_close():
    """Guards against closing a connection that began a response before the stop."""
    handler_called, proceed = asyncio.Event(), asyncio.Event()

    async def respond_in_parts(request, responder):
        await responder.start(200, (), length=2)
        handler_called.set()
        await proceed.wait()
        await responder.write(b"ok")
        responder.finish()

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        await handler_called.wait()
        server.closing = True
        caller.send(GET)
        proceed.set()
        assert (await caller.read_response())[0].startswith(OK)
        assert (await caller.read_response())[0].startswith(OK)

    run_scenario(scenario, handler=respond_in_parts)


def test_requests_before_an_invalid_one_are_answered():
    """Guards against dropping valid requests because an invalid one follows."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET * 2 + b"nonsense\r\n\r\n")
        assert (await caller.read_response())[0].startswith(OK)
        assert (await caller.read_response())[0].startswith(OK)
        assert (await caller.read_response())[0].startswith(b"HTTP/1.1 400")

    run_scenario(scenario)


@pytest.mark.parametrize("size", [3_000, 300_000, 3_000_000])
def test_refusal_reaches_a_caller_that_is_sending_its_body(size):
    """Guards against a reset, due to unread data, that overtakes the response."""

    async def scenario(server, connect):
        caller = await connect()
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        caller.send(head % size)
        body = bytes(size)
        caller.send(body[: size // 2])
        await caller.writer.drain()
        caller.send(body[size // 2 :])
        await caller.writer.drain()
        head, body = await caller.read_response()
        assert head.startswith(b"HTTP/1.1 503") and body == b"no"
        assert await caller.reader.read() == b""

    run_scenario(scenario, handler=refuse)


def test_chunked_body_above_the_limit_is_answered_with_413():
    """Guards against resetting the connection instead of sending 413."""

    async def scenario(server, connect):
        caller = await connect()
        caller.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(8):
            caller.send(b"400\r\n" + bytes(1024) + b"\r\n")
            await caller.writer.drain()
        caller.send(b"0\r\n\r\n")
        assert (await caller.read_response())[0].startswith(b"HTTP/1.1 413")

    run_scenario(scenario, body_bytes=4096)


@pytest.mark.parametrize("idle_before", [0.0, 2.0])
def test_head_that_exceeds_its_time_limit_is_answered_with_408(idle_before):
    """Guards against applying the longer idle limit while a head is received."""

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        caller = await connect()
        loop.stand_still(idle_before)
        caller.send(GET[:9])
        for _ in range(20):
            await asyncio.sleep(0)
        loop.stand_still(1.5)
        for _ in range(20):
            await asyncio.sleep(0)
        caller.send(GET[9:])
        assert (await caller.read_response())[0].startswith(b"HTTP/1.1 408")

    run_scenario(scenario, head_seconds=1.0)


def test_request_is_answered_with_500_if_its_handler_raises():
    """Guards against an unexpected exception that closes the connection."""

    async def fail(request, responder):
        raise KeyError("unexpected")

    async def scenario(server, connect):
        caller = await connect()
        for _ in range(2):
            caller.send(GET)
            assert (await caller.read_response())[0].startswith(b"HTTP/1.1 500")

    run_scenario(scenario, handler=fail)


def test_complete_response_is_not_aborted_by_a_timeout():
    """Guards against a timeout that interrupts sending a complete response."""
    size = 8 << 20

    async def respond_with_timeout(request, responder):
        try:
            async with asyncio.timeout(0.0):
                await responder.send(200, (), bytes(size))
        except TimeoutError:
            if not responder.complete:
                responder.abort()

    async def scenario(server, connect):
        caller = await connect()
        caller.send(GET)
        head, body = await caller.read_response()
        assert head.startswith(OK) and len(body) == size
        caller.send(GET)
        assert (await caller.read_response())[0].startswith(OK)

    run_scenario(scenario, handler=respond_with_timeout)


def test_failed_body_never_becomes_complete():
    """Guards against forwarding a request with an incomplete body."""

    async def scenario():
        body = BodyStream(
            loop=asyncio.get_running_loop(), pause=lambda: None, resume=lambda: None
        )
        body.feed(b"part")
        body.fail(IncompleteMessage("too large"))
        body.feed_end()
        assert not body.ended
        with pytest.raises(IncompleteMessage):
            await body.read_up_to(1 << 20)

    asyncio.run(scenario())


def test_new_connections_are_answered_by_a_stopping_server():
    """Guards against resetting connections in the queue of a closed listener."""

    async def scenario(server, connect):
        host, _, port = server.address.rpartition(":")
        callers = [socket.create_connection((host, int(port))) for _ in range(50)]
        for caller in callers:
            caller.sendall(GET)
        await server.drain_listener()
        server.begin_close()
        while server.busy:
            await asyncio.sleep(0)
        await server.stop()
        for caller in callers:
            with caller:
                assert caller.recv(100).startswith(OK)

    run_scenario(scenario)


def test_buffered_responses_are_sent_before_the_server_stops():
    """Guards against a stop that discards responses in the write buffers."""
    size = 8 << 20

    async def respond_with_large_body(request, responder):
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

    run_scenario(scenario, handler=respond_with_large_body)


def test_request_that_crosses_the_close_of_its_connection_is_answered():
    """Guards against a close without a response to a request that was just sent."""
    handled = []

    async def respond(request, responder):
        handled.append(request)
        await responder.send(200)

    async def scenario():
        closing_response = b"HTTP/1.1 503 Gone\r\nContent-Length: 0\r\n\r\n"
        server = Server(
            address=("127.0.0.1", 0), handler=respond, closing_response=closing_response
        )
        await server.start()
        client = Client()
        for crosses_close in (False, True):
            async with await client.open(server.address) as exchange:
                exchange.send(b"GET", b"/x", [])
                assert (await exchange.answer()).status == 200
            if crosses_close:
                crossing = await client.open(server.address)
            server.closing_idle = True
            for connection in list(server._connections):
                connection.recheck_closing()
            # The server closes the connection; the client has not read that yet.
            await asyncio.sleep(0)
            if not crosses_close:
                while client.count_usable(server.address):
                    await asyncio.sleep(0)
                server.closing_idle = False
        async with crossing as exchange:
            assert exchange.reused
            exchange.send(b"GET", b"/x", [])
            assert (await exchange.answer()).status == 503
        assert len(handled) == 2
        await server.stop()

    run_stalling(scenario())


def test_kept_connection_that_its_peer_has_closed_is_not_used():
    """Guards against requests that are lost although they were never received."""

    async def respond(request, responder):
        await responder.send(200)

    async def scenario():
        server = Server(address=("127.0.0.1", 0), handler=respond)
        await server.start()
        client = Client()
        async with await client.open(server.address) as exchange:
            exchange.send(b"GET", b"/x", [])
            assert (await exchange.answer()).status == 200
        [connection] = server._connections
        connection.close()
        # The transport closes its socket in the next iteration of the loop, in which
        # the client does not read the end of the connection yet.
        await asyncio.sleep(0)
        assert client.count_usable(server.address) == 1
        async with await client.open(server.address) as exchange:
            assert not exchange.reused
            exchange.send(b"GET", b"/x", [])
            assert (await exchange.answer()).status == 200
        await server.stop()

    run_stalling(scenario())


def test_request_on_a_broken_connection_is_known_as_not_written():
    """Guards against a request of which no byte was sent that may seem to have run."""

    async def respond(request, responder):
        await responder.send(200)

    async def scenario():
        server = Server(address=("127.0.0.1", 0), handler=respond)
        await server.start()
        client = Client()
        for breaks in (False, True):
            exchange = await client.open(server.address)
            if breaks:
                list(server._connections)[-1].reset()
                await asyncio.sleep(0)
            async with exchange:
                exchange.send(b"GET", b"/x", [])
                assert exchange.written is not breaks
                if breaks:
                    with pytest.raises(IncompleteMessage):
                        await exchange.answer()
                else:
                    assert (await exchange.answer()).status == 200
        await server.stop()

    run_stalling(scenario())


def test_new_connection_that_its_peer_closes_at_once_is_not_used():
    """Guards against a request that is written to a closed connection."""

    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        client = Client()
        connect = client._connect

        async def connect_and_wait(address):
            connection = await connect(address)
            while connection.usable:
                await asyncio.sleep(0)
            return connection

        client._connect = connect_and_wait
        with pytest.raises(NotSent):
            await client.open(f"{host}:{port}")
        server.close()

    run_stalling(scenario())


def test_a_connection_that_its_caller_has_reset_is_closed_quietly(monkeypatch):
    """Guards against an error that nobody handles for each caller that resets."""
    unhandled = []

    def write_eof(transport):
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    monkeypatch.setattr(
        asyncio.selector_events._SelectorSocketTransport, "write_eof", write_eof
    )

    async def scenario(server, connect):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: unhandled.append(context))
        caller = await connect()
        caller.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\nx")
        assert await caller.reader.read(1 << 16)
        # Without an end of the connection, the test would wait for ever.
        async with asyncio.timeout(IDLE_SECONDS):
            assert await caller.reader.read() == b""
        gc.collect()
        await asyncio.sleep(0)

    run_scenario(scenario, handler=refuse)
    assert unhandled == []
