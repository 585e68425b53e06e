"""Peers that send bytes without end, in the head or the body of a message."""

import asyncio
import itertools

import pytest

from guavastream.http1 import Client, IncompleteMessage, Limits, Server
from guavastream.http1.tests.test_http1 import (
    BIND_ADDRESS,
    SERVER_ADDRESS,
    run_scenario,
)

PIECE_BYTES = 16 << 10
# A peer that is not stopped by then would not be stopped at all.
MAX_SENT_BYTES = 8 << 20
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EMPTY = HEAD + b"Content-Length: 0\r\n\r\n"
RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header name": (HEAD, b"x"),
    "header value": (HEAD + b"X: ", b"x"),
    "header fields": (HEAD, b"X: y\r\n"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "garbage": (b"", b"x"),
    "empty lines": (b"", b"\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "trailer": (CHUNKED + b"0\r\nX: ", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n"),
    "tiny chunks": (CHUNKED, b"1\r\nx\r\n"),
    "responses": (EMPTY, EMPTY),
}


async def flood(writer, first, unit):
    """Send without end; return the number of bytes until the peer closed."""
    piece = unit * max(1, PIECE_BYTES // len(unit))
    writer.write(first)
    for count in itertools.count(1):
        if count * len(piece) > MAX_SENT_BYTES:
            raise AssertionError("the peer reads on")
        try:
            writer.write(piece)
            await writer.drain()
        except ConnectionError:
            return count * len(piece)
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("form", RESPONSES)
def test_response_without_end_is_closed_at_once(form):
    """Guards against a server that fills the memory or takes a core of its host."""

    async def scenario():
        ended = asyncio.get_running_loop().create_future()

        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            try:
                ended.set_result(await flood(writer, *RESPONSES[form]))
            except AssertionError as error:
                ended.set_exception(error)

        await asyncio.start_server(handle, *BIND_ADDRESS)
        client = Client()
        exchange = await client.open(SERVER_ADDRESS)
        exchange.send(b"GET", b"/", [(b"Host", b"x")])
        try:
            response = await exchange.answer()
            while await response.body.read():
                pass
        except IncompleteMessage:
            pass
        # It is closed without the caller's doing.
        await ended
        exchange.close()
        assert client.idle_count == 0

    run_scenario(scenario)


def test_skipped_response_without_end_is_given_up():
    """Guards against a stray response that is read for as long as it comes."""

    async def scenario():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await flood(writer, CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n")

        await asyncio.start_server(handle, *BIND_ADDRESS)
        async with await Client().open(SERVER_ADDRESS) as exchange:
            exchange.send(b"GET", b"/", [(b"Host", b"x")])
            with pytest.raises(IncompleteMessage):
                await exchange.answer(lambda response: False)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("first", "unit"),
    [(b"1;", b"x"), (b"0\r\n", b"X: y\r\n"), (b"0\r\nX: ", b"x"), (b"", b"0")],
)
def test_request_without_end_is_rejected(first, unit):
    """Guards against a heartbeat or a request whose framing never ends."""

    async def scenario():
        async def read_body(request, responder):
            await request.body.read_up_to(1 << 20)
            await responder.send(200)

        server = Server(
            address=BIND_ADDRESS,
            handler=read_body,
            limits=Limits(head_bytes=4096, body_bytes=1 << 20),
        )
        await server.start()
        _, writer = await asyncio.open_connection(*BIND_ADDRESS)
        head = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        await flood(writer, head + first, unit)
        await server.stop()

    run_scenario(scenario)
