"""The pyzmq transport over real sockets, and through a proxy that goes silent."""

import asyncio

import pytest
import zmq
import zmq.asyncio

from guavastream.emulator import FaultProxy
from guavastream.exception import CallTimeout, NotLeader, PeerFailure
from guavastream.kernel import HybridClock
from guavastream.messages import encode_message, message
from guavastream.messages.zmq_transport import ZmqServer, ZmqTransport


@message
class Echo:
    """A request that is returned as its own answer."""

    text: str


async def answer(request):
    if request.text == "not me":
        raise NotLeader(leader="elsewhere")
    if request.text == "broken":
        raise ValueError("cannot")
    return request


def with_server(scenario, on_late=lambda size: None):
    async def run():
        server = ZmqServer(address="127.0.0.1:0", handler=answer, hybrid=HybridClock())
        server.start()
        replaced = []
        transport = ZmqTransport(
            hybrid=HybridClock(), on_reconnect=replaced.append, on_late=on_late
        )
        try:
            await scenario(server, transport, replaced)
        finally:
            transport.close()
            server.close()

    asyncio.run(run())


def test_concurrent_calls_get_their_own_answers_and_errors():
    async def scenario(server, transport, replaced):
        calls = [
            transport.call(server.address, Echo(text=str(n)), timeout=5)
            for n in range(50)
        ]
        answers = await asyncio.gather(*calls)
        assert [item.text for item in answers] == [str(n) for n in range(50)]
        with pytest.raises(NotLeader) as caught:
            await transport.call(server.address, Echo(text="not me"), timeout=5)
        assert caught.value.leader == "elsewhere"
        with pytest.raises(PeerFailure):
            await transport.call(server.address, Echo(text="broken"), timeout=5)

    with_server(scenario)


def test_silent_connection_between_peers_is_replaced():
    """Guards against using a connection forever after the path has lost its state.

    Nothing is delivered on the connection and no error is reported, while new
    connections work. Calls time out until the connection is replaced, and then
    succeed again.
    """

    async def scenario(server, transport, replaced):
        proxy = FaultProxy(target=server.address)
        await transport.call(proxy.address, Echo(text="a"), timeout=5)
        proxy.silence()
        lost = 0
        while True:
            try:
                await transport.call(proxy.address, Echo(text="b"), timeout=0.3)
                break
            except CallTimeout:
                lost += 1
        assert lost
        assert proxy.connections > 1
        proxy.close()

    with_server(scenario)


def test_answers_that_arrive_after_the_timeout_are_counted():
    late = []

    async def scenario(server, transport, replaced):
        given_up = asyncio.Event()

        async def wait(request):
            await given_up.wait()
            return request

        server._handler = wait
        with pytest.raises(CallTimeout):
            await transport.call(server.address, Echo(text="a"), timeout=0.01)
        given_up.set()
        await transport.call(server.address, Echo(text="b"), timeout=5)
        assert late == [len(encode_message(Echo(text="a"))[1])]

    with_server(scenario, on_late=late.append)


def test_malformed_message_is_counted_and_answered_with_a_failure():
    async def scenario(server, transport, replaced):
        counted = []
        server._on_malformed = lambda: counted.append(1)
        socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        socket.connect(f"tcp://{server.address}")
        await socket.send_multipart([b"1", b"2", b"Nonsense", b"\xff"])
        frames = await socket.recv_multipart()
        assert frames[2] == b"Failure"
        await socket.send_multipart([b"too short"])
        await transport.call(server.address, Echo(text="still here"), timeout=5)
        while len(counted) < 2:
            await asyncio.sleep(0)
        socket.close(0)

    with_server(scenario)


def test_call_cancelled_when_its_answer_arrives_ends_as_cancelled():
    # Guards against a lost cancellation. A process that is stopped, or a leader that
    # steps down, cancels a call in the same loop iteration in which its answer
    # arrives. If the task went on, the process would hang until it is killed, and
    # a former leader would go on sending heartbeats.
    async def main():
        transport = ZmqTransport(hybrid=HybridClock(), on_reconnect=lambda _: None)
        address = "127.0.0.1:1"
        request = Echo(text="x")
        call = asyncio.ensure_future(transport.call(address, request, timeout=5))
        while not (channel := transport._channels.get(address)) or not channel._pending:
            await asyncio.sleep(0)
        next(iter(channel._pending.values())).set_result(encode_message(request))
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        transport.close()

    asyncio.run(main())
