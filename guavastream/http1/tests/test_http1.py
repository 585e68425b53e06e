"""Connections that end early, answer early, linger or speak out of turn."""

import asyncio
import warnings

import pytest

from guavastream.emulator import run_paused
from guavastream.http1 import Client, CutOff, Limits, NotSent, Server
from guavastream.http1.client import MOST_IDLE

ADDRESS = ("10.0.0.1", 80)
PEER = "10.0.0.1:80"
PATIENT = Limits(idle_seconds=60.0)


def play(scenario):
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        run_paused(scenario())


async def serve_raw(*replies, keep=False):
    """Serve connections that answer with given bytes; None waits for ever."""
    waiting = list(replies)

    async def handle(reader, writer):
        while waiting:
            await reader.readuntil(b"\r\n\r\n")
            reply = waiting.pop(0)
            if reply is not None:
                writer.write(reply)
            if not keep:
                break
        if not keep:
            writer.close()

    return await asyncio.start_server(handle, *ADDRESS)


async def ask(client, **kwargs):
    async with await client.open(PEER, **kwargs) as exchange:
        exchange.send(b"GET", b"/", [(b"Host", b"x")])
        answer = await exchange.answer()
        body, _ = await answer.body.read_up_to(1 << 20)
        return answer.status, body


async def answer_at_once(request, responder):
    await responder.send(200)


def test_an_answer_without_a_length_ends_with_its_connection():
    async def scenario():
        await serve_raw(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        assert await ask(Client()) == (200, b"all of it")

    play(scenario)


def test_an_answer_without_a_length_that_is_reset_is_not_whole():
    # The server breaks off; a caller that got the part would take it for all.
    async def scenario():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of")
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        await asyncio.start_server(handle, *ADDRESS)
        client = Client()
        try:
            status, body = await ask(client)
        except CutOff:
            pass
        else:
            # The paused network has no resets, only ends.
            assert body == b"half of"
        assert client.idle_count == 0

    play(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
        b"\x00\x01 nonsense\r\n\r\n",
        b"",
    ],
)
def test_a_broken_answer_is_cut_off(reply):
    async def scenario():
        await serve_raw(reply)
        client = Client()
        with pytest.raises(CutOff):
            await ask(client)
        assert client.idle_count == 0

    play(scenario)


def test_bytes_after_an_answer_belong_to_nobody():
    async def scenario():
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        await serve_raw(whole + b"a" + whole + b"b", whole + b"c", keep=True)
        client = Client()
        assert await ask(client) == (200, b"a")
        assert client.idle_count == 0

    play(scenario)


def test_an_early_answer_ends_the_upload_and_its_connection():
    # The server refuses a long body before it has read it and reads on. Used
    # again, the connection would give it the next head as the body's rest.
    async def scenario():
        reply = b"HTTP/1.1 413 Too\r\nContent-Length: 0\r\n\r\n"
        await serve_raw(reply, None, keep=True)

        class Endless:
            async def read(self):
                await asyncio.sleep(0.01)
                return b"x" * 1000

        client = Client()
        async with await client.open(PEER) as exchange:
            exchange.send(b"POST", b"/", [(b"Host", b"x")], b"", Endless())
            answer = await exchange.answer()
            await answer.body.read_up_to(10)
        assert answer.status == 413 and client.idle_count == 0

    play(scenario)


def test_a_connection_near_the_end_of_its_idle_time_is_not_used():
    async def scenario():
        served = []

        async def handle(request, responder):
            served.append(responder)
            await responder.send(200, [(b"Keep-Alive", b"timeout=4")])

        server = Server(address=ADDRESS, handler=handle)
        await server.start()
        client = Client()
        await ask(client)
        await asyncio.sleep(2.0)
        await ask(client)
        assert client.opened == 1
        await asyncio.sleep(3.5)
        await ask(client)
        assert client.opened == 2
        await ask(client, idle_seconds=0.0)
        assert client.opened == 3

    play(scenario)


def test_nobody_listens():
    async def scenario():
        with pytest.raises(NotSent) as caught:
            await Client().open(PEER)
        assert caught.value.refused

    play(scenario)


def test_idle_connections_make_room_and_busy_ones_stay():
    # Callers that open a connection for each repeat would use up the host's
    # descriptors; the longest idle ones end.
    async def scenario():
        release = asyncio.Event()

        async def handle(request, responder):
            if request.target == b"/slow":
                await release.wait()
            await responder.send(200)

        server = Server(address=ADDRESS, handler=handle, most=3)
        await server.start()
        client = Client()
        slow = await client.open(PEER)
        slow.send(b"GET", b"/slow", [(b"Host", b"x")])
        held = [await client.open(PEER, fresh=True) for _ in range(5)]
        await asyncio.sleep(0.1)
        for exchange in held[-2:]:
            exchange.send(b"GET", b"/", [(b"Host", b"x")])
            assert (await exchange.answer()).status == 200
        with pytest.raises(CutOff):
            held[0].send(b"GET", b"/", [(b"Host", b"x")])
            await held[0].answer()
        release.set()
        assert (await slow.answer()).status == 200

    play(scenario)


def test_a_closing_server_says_so_and_ends_idle_connections():
    async def scenario():
        async def handle(request, responder):
            await asyncio.sleep(0.2)
            await responder.send(200)

        server = Server(address=ADDRESS, handler=handle)
        await server.start()
        client = Client()
        running = asyncio.ensure_future(ask(client))
        await asyncio.sleep(0.1)
        server.begin_close()
        assert await running == (200, b"")
        assert client.idle_count == 0

    play(scenario)


def test_a_silent_caller_is_let_go_after_its_idle_time():
    async def scenario():
        async def handle(request, responder):
            await responder.send(200)

        limits = Limits(idle_seconds=5.0)
        server = Server(address=ADDRESS, handler=handle, limits=limits)
        await server.start()
        reader, _ = await asyncio.open_connection(*ADDRESS)
        began = asyncio.get_running_loop().time()
        assert await reader.read() == b""
        assert asyncio.get_running_loop().time() - began == pytest.approx(5.0, abs=0.1)

    play(scenario)


@pytest.mark.parametrize("asks", [True, False])
def test_a_body_is_sent_only_when_the_peer_asks_for_it(asks):
    # A peer without room answers at once. The body would have filled its link
    # for nothing; and what it sees next on the connection must be no body.
    body, seen = b"x" * 50_000, []

    async def scenario():
        async def handle(request, responder):
            if request.method == b"POST":
                await asyncio.sleep(0.2)
                seen.append(request.body.ended)
                if asks:
                    responder.go_ahead()
                    taken, _ = await request.body.read_up_to(1 << 20)
                    assert taken == body
            await responder.send(200 if asks else 503)

        server = Server(address=ADDRESS, handler=handle, holds_bodies=True)
        await server.start()
        client = Client()
        async with await client.open(PEER) as exchange:
            await exchange.send_when_asked(b"POST", b"/", [(b"Host", b"x")], body)
            answer = await exchange.answer()
            await answer.body.read_up_to(1 << 10)
        assert answer.status == (200 if asks else 503) and seen == [False]
        assert client.idle_count == (1 if asks else 0)
        assert (await ask(client))[0] == answer.status

    play(scenario)


def test_connections_of_hosts_that_ask_each_other_rarely_are_kept():
    # A host asked each of a hundred servers three times a minute and opened a
    # connection for nearly every request, though the peer kept the old one open.
    async def scenario():
        server = Server(address=ADDRESS, handler=answer_at_once, limits=PATIENT)
        await server.start()
        client = Client(idle_seconds=60.0)
        await ask(client)
        await asyncio.sleep(30.0)
        await ask(client)
        assert client.opened == 1 and client.idle_count == 1
        await server.stop()

    play(scenario)


def test_idle_connections_of_a_client_are_bounded_and_the_oldest_goes_first():
    async def scenario():
        server = Server(address=ADDRESS, handler=answer_at_once)
        await server.start()
        client = Client()
        held = [await client.open(PEER) for _ in range(MOST_IDLE + 5)]
        for exchange in held:
            exchange.send(b"GET", b"/", [(b"Host", b"x")])
            await (await exchange.answer()).body.read_up_to(1)
            await exchange.__aexit__()
        assert client.idle_count == MOST_IDLE
        await server.stop()

    play(scenario)
