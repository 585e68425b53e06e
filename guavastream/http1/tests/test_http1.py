"""Client and server connections: early ends, early responses, idle limits, pooling."""

import asyncio
import warnings

import pytest

from guavastream.emulator import run_paused
from guavastream.http1 import (
    BodyRest,
    Client,
    IncompleteMessage,
    Limits,
    NotSent,
    Server,
)
from guavastream.http1.client import MAX_IDLE_CONNECTIONS

BIND_ADDRESS = ("10.0.0.1", 80)
SERVER_ADDRESS = "10.0.0.1:80"
LONG_IDLE_LIMITS = Limits(idle_seconds=60.0)


def run_scenario(scenario):
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        run_paused(scenario())


async def serve_replies(*replies, keep_open=False):
    """Serve `replies` as raw bytes, one per request; None sends no response."""
    remaining = list(replies)

    async def handle(reader, writer):
        while remaining:
            await reader.readuntil(b"\r\n\r\n")
            reply = remaining.pop(0)
            if reply is not None:
                writer.write(reply)
            if not keep_open:
                break
        if not keep_open:
            writer.close()

    return await asyncio.start_server(handle, *BIND_ADDRESS)


async def get(client, **kwargs):
    async with await client.open(SERVER_ADDRESS, **kwargs) as exchange:
        exchange.send(b"GET", b"/", [(b"Host", b"x")])
        response = await exchange.answer()
        body, _ = await response.body.read_up_to(1 << 20)
        return response.status, body


async def respond_ok(request, responder):
    await responder.send(200)


def test_response_without_length_is_complete_at_end_of_connection():
    async def scenario():
        await serve_replies(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        assert await get(Client()) == (200, b"all of it")

    run_scenario(scenario)


def test_response_without_length_is_incomplete_after_reset():
    # The server resets the connection within the body. The client must not report the
    # part that it received as a complete response.
    async def scenario():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of")
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        await asyncio.start_server(handle, *BIND_ADDRESS)
        client = Client()
        try:
            status, body = await get(client)
        except IncompleteMessage:
            pass
        else:
            # The emulated network reports a reset as a normal end of the connection.
            assert body == b"half of"
        assert client.idle_count == 0

    run_scenario(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
        b"\x00\x01 nonsense\r\n\r\n",
        b"",
    ],
)
def test_truncated_or_invalid_response_raises_incomplete_message(reply):
    async def scenario():
        await serve_replies(reply)
        client = Client()
        with pytest.raises(IncompleteMessage):
            await get(client)
        assert client.idle_count == 0

    run_scenario(scenario)


def test_data_after_response_is_not_used_for_next_request():
    async def scenario():
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        await serve_replies(head + b"a" + head + b"b", head + b"c", keep_open=True)
        client = Client()
        assert await get(client) == (200, b"a")
        assert client.idle_count == 0

    run_scenario(scenario)


def test_early_response_stops_upload_and_discards_connection():
    # The server responds before it has read a long body, and continues to read. If the
    # client reused the connection, the server would take the next head for a part of
    # that body.
    async def scenario():
        reply = b"HTTP/1.1 413 Too\r\nContent-Length: 0\r\n\r\n"
        await serve_replies(reply, None, keep_open=True)

        class EndlessBody:
            async def read(self):
                await asyncio.sleep(0.01)
                return b"x" * 1000

        client = Client()
        async with await client.open(SERVER_ADDRESS) as exchange:
            rest = BodyRest(stream=EndlessBody(), length=None)
            exchange.send(b"POST", b"/", [(b"Host", b"x")], b"", rest)
            response = await exchange.answer()
            await response.body.read_up_to(10)
        assert response.status == 413 and client.idle_count == 0

    run_scenario(scenario)


def test_connection_near_its_idle_timeout_is_not_reused():
    async def scenario():
        served = []

        async def handle(request, responder):
            served.append(responder)
            await responder.send(200, [(b"Keep-Alive", b"timeout=4")])

        server = Server(address=BIND_ADDRESS, handler=handle)
        await server.start()
        client = Client()
        await get(client)
        await asyncio.sleep(2.0)
        await get(client)
        assert client.opened_count == 1
        await asyncio.sleep(3.5)
        await get(client)
        assert client.opened_count == 2
        await get(client, idle_seconds=0.0)
        assert client.opened_count == 3

    run_scenario(scenario)


def test_refused_connection_raises_not_sent():
    async def scenario():
        with pytest.raises(NotSent) as caught:
            await Client().open(SERVER_ADDRESS)
        assert caught.value.refused

    run_scenario(scenario)


def test_idle_connections_above_the_maximum_are_closed_but_not_busy_ones():
    # Callers that open a new connection for every retry could exhaust the host's file
    # descriptors, so the connections that have been idle longest are closed.
    async def scenario():
        release = asyncio.Event()

        async def handle(request, responder):
            if request.target == b"/slow":
                await release.wait()
            await responder.send(200)

        server = Server(address=BIND_ADDRESS, handler=handle, max_connections=3)
        await server.start()
        client = Client()
        slow = await client.open(SERVER_ADDRESS)
        slow.send(b"GET", b"/slow", [(b"Host", b"x")])
        exchanges = [await client.open(SERVER_ADDRESS, fresh=True) for _ in range(5)]
        await asyncio.sleep(0.1)
        for exchange in exchanges[-2:]:
            exchange.send(b"GET", b"/", [(b"Host", b"x")])
            assert (await exchange.answer()).status == 200
        with pytest.raises(IncompleteMessage):
            exchanges[0].send(b"GET", b"/", [(b"Host", b"x")])
            await exchanges[0].answer()
        release.set()
        assert (await slow.answer()).status == 200

    run_scenario(scenario)


def test_closing_server_announces_close_in_responses():
    async def scenario():
        async def handle(request, responder):
            await asyncio.sleep(0.2)
            await responder.send(200)

        server = Server(address=BIND_ADDRESS, handler=handle)
        await server.start()
        client = Client()
        running = asyncio.ensure_future(get(client))
        await asyncio.sleep(0.1)
        server.begin_close()
        assert await running == (200, b"")
        assert client.idle_count == 0

    run_scenario(scenario)


def test_idle_caller_is_disconnected_after_the_idle_limit():
    async def scenario():
        async def handle(request, responder):
            await responder.send(200)

        limits = Limits(idle_seconds=5.0)
        server = Server(address=BIND_ADDRESS, handler=handle, limits=limits)
        await server.start()
        reader, _ = await asyncio.open_connection(*BIND_ADDRESS)
        started_at = asyncio.get_running_loop().time()
        assert await reader.read() == b""
        assert asyncio.get_running_loop().time() - started_at == pytest.approx(
            5.0, abs=0.1
        )

    run_scenario(scenario)


@pytest.mark.parametrize("sends_continue", [True, False])
def test_body_is_sent_only_after_100_continue(sends_continue):
    # A peer without capacity refuses at once. Sending the body anyway would load its
    # link for nothing, and the connection must not be reused, since the peer would
    # take the next request for the body.
    body, body_ended_early = b"x" * 50_000, []

    async def scenario():
        async def handle(request, responder):
            if request.method == b"POST":
                await asyncio.sleep(0.2)
                body_ended_early.append(request.body.ended)
                if sends_continue:
                    responder.send_continue()
                    received, _ = await request.body.read_up_to(1 << 20)
                    assert received == body
            await responder.send(200 if sends_continue else 503)

        server = Server(address=BIND_ADDRESS, handler=handle)
        await server.start()
        client = Client()
        async with await client.open(SERVER_ADDRESS) as exchange:
            await exchange.send_after_continue(b"POST", b"/", [(b"Host", b"x")], body)
            response = await exchange.answer()
            await response.body.read_up_to(1 << 10)
        assert response.status == (
            200 if sends_continue else 503
        ) and body_ended_early == [False]
        assert client.idle_count == (1 if sends_continue else 0)
        assert (await get(client))[0] == response.status

    run_scenario(scenario)


def test_connections_between_hosts_with_infrequent_requests_are_reused():
    # Guards against a client that drops connections which the peer still keeps open.
    # A host that sends three requests a minute to each of a hundred servers would open
    # a connection for nearly every request.
    async def scenario():
        server = Server(
            address=BIND_ADDRESS, handler=respond_ok, limits=LONG_IDLE_LIMITS
        )
        await server.start()
        client = Client(idle_seconds=60.0)
        await get(client)
        await asyncio.sleep(30.0)
        await get(client)
        assert client.opened_count == 1 and client.idle_count == 1
        await server.stop()

    run_scenario(scenario)


def test_client_pool_is_bounded_and_evicts_oldest_connection_first():
    async def scenario():
        server = Server(address=BIND_ADDRESS, handler=respond_ok)
        await server.start()
        client = Client()
        exchanges = [
            await client.open(SERVER_ADDRESS) for _ in range(MAX_IDLE_CONNECTIONS + 5)
        ]
        for exchange in exchanges:
            exchange.send(b"GET", b"/", [(b"Host", b"x")])
            await (await exchange.answer()).body.read_up_to(1)
            await exchange.__aexit__()
        assert client.idle_count == MAX_IDLE_CONNECTIONS
        await server.stop()

    run_scenario(scenario)


def test_full_pool_whose_oldest_address_has_no_idle_connection_drops_another():
    """Guards against an answer that is lost because its connection can't be pooled."""

    async def scenario():
        addresses = [("10.0.0.1", 80), ("10.0.0.2", 80)]
        for address in addresses:
            server = Server(
                address=address, handler=respond_ok, limits=LONG_IDLE_LIMITS
            )
            await server.start()
        client = Client()

        async def open_all(count, address):
            return [await client.open(address, fresh=True) for _ in range(count)]

        (first,) = await open_all(1, "10.0.0.1:80")
        first.close()
        # It is in use now, and its address has no other connection.
        first = await client.open("10.0.0.1:80")
        others = await open_all(MAX_IDLE_CONNECTIONS + 1, "10.0.0.2:80")
        for exchange in [*others, first]:
            exchange.close()
        assert client.idle_count == MAX_IDLE_CONNECTIONS
        client.close()

    run_scenario(scenario)
