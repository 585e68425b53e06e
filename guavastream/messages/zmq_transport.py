"""Transport over pyzmq: a DEALER socket for each peer and a ROUTER for serving."""

import asyncio
import itertools

import zmq

from guavastream.exception import BadMessage, CallTimeout
from guavastream.kernel import HybridClock, TimeLimit, parse_address, part_logger
from guavastream.messages.codec import (
    MAX_MESSAGE_BYTES,
    decode_message,
    encode_message,
)
from guavastream.messages.transport import (
    PeerNetwork,
    Transport,
    failure_of,
    raise_failure,
)

__all__ = ["ZmqNetwork", "ZmqServer", "ZmqTransport"]

HEARTBEAT_MS = 400
HEARTBEAT_TIMEOUT_MS = 1200
MAX_SILENCE_SECONDS = 1.0
HIGH_WATER_MARK = 1000
MAX_CONCURRENT_REQUESTS = 4096
STAMP_BYTES = 8
# Messages that a socket reads before other callbacks of the loop run.
MAX_READS_PER_TURN = 100

log = part_logger("peer")


def _configure_socket(socket):
    # If a device on the path loses its connection state, the connection stays open
    # but delivers nothing. ZMTP heartbeats close it within HEARTBEAT_TIMEOUT_MS on
    # both sides; libzmq then reconnects.
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RECONNECT_IVL, 20)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 200)


class _LoopSocket:
    """A ZeroMQ socket that is read by callbacks of the event loop.

    Parameters
    ----------
    kind : int
        Socket type, such as ``zmq.DEALER``.
    on_frames : callable
        Called with the frames of each message.

    Notes
    -----
    pyzmq's own asyncio sockets query the state of the library six times a message,
    with two system calls each; that was most of the work of idle hosts. The
    library's file descriptor is edge-triggered, and any call into the library may
    consume the notification, so the socket is read until it is empty after each use.
    """

    def __init__(self, *, kind, on_frames):
        self._loop = asyncio.get_running_loop()
        self._on_frames = on_frames
        self._pending_read = None
        self.socket = zmq.Context.instance().socket(kind)
        _configure_socket(self.socket)
        self._fd = self.socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self._read)

    def send(self, frames):
        """Send a message without blocking.

        Raises
        ------
        zmq.ZMQError
            If the message cannot be queued now.
        """
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        finally:
            self._read_soon()

    def _read_soon(self):
        if self._pending_read is None:
            self._pending_read = self._loop.call_soon(self._read)

    def _read(self):
        self._pending_read = None
        for _ in range(MAX_READS_PER_TURN):
            if self.socket.closed:
                return
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)
        # Let other callbacks run before reading more.
        self._read_soon()

    def close(self):
        self._loop.remove_reader(self._fd)
        if self._pending_read is not None:
            self._pending_read.cancel()
        self.socket.close()


class _Channel:
    """The connection to one peer."""

    def __init__(self, *, address, clock, on_reconnect, on_late):
        self._address = address
        self._clock = clock
        self._on_reconnect = on_reconnect
        self._on_late = on_late
        self._pending = {}
        self._last_message_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._open()

    def _open(self):
        self._socket = _LoopSocket(kind=zmq.DEALER, on_frames=self._on_message)
        self._socket.socket.connect(f"tcp://{self._address}")
        self._connected_at = self._clock.now()

    def _on_message(self, frames):
        self._last_message_at = self._clock.now()
        if len(frames) != 4:
            return
        call_id, stamp, tag, body = frames
        self._clock.observe(stamp)
        future = self._pending.pop(call_id, None)
        if future is None or future.done():
            # The call has timed out or was cancelled.
            self._on_late(len(body))
            return
        future.set_result((tag, body))

    async def call(self, call_id, request, timeout):
        future = self._loop.create_future()
        self._pending[call_id] = future
        frames = [call_id, self._clock.stamp(), *encode_message(request)]
        try:
            self._socket.send(frames)
            with TimeLimit.within(timeout, loop=self._loop):
                tag, body = await future
        except (TimeoutError, zmq.Again):
            self._replace_if_silent()
            raise CallTimeout(f"{self._address} did not answer") from None
        finally:
            self._pending.pop(call_id, None)
        return raise_failure(decode_message(tag, body))

    def _replace_if_silent(self):
        # Heartbeats detect a dead path, but not a peer whose socket works while its
        # answers are lost. A new connection helps in both cases.
        silent_since = max(self._last_message_at, self._connected_at)
        if self._clock.now() - silent_since < MAX_SILENCE_SECONDS:
            return
        log.info("Replacing silent connection to %s.", self._address)
        self.close()
        self._open()
        self._on_reconnect(self._address)

    def close(self):
        self._socket.close()


class _PeerClock:
    """Loop time for timeouts, and encoded hybrid clock stamps for messages."""

    def __init__(self, *, hybrid):
        self._hybrid = hybrid
        self.now = asyncio.get_running_loop().time

    def stamp(self):
        return self._hybrid.stamp().to_bytes(STAMP_BYTES, "big")

    def observe(self, stamp):
        if len(stamp) == STAMP_BYTES:
            self._hybrid.observe(int.from_bytes(stamp, "big"))


class ZmqTransport(Transport):
    """Calls peers over pyzmq. Must be created inside a running event loop.

    Parameters
    ----------
    hybrid : HybridClock
        Clock whose stamps are sent with every message.
    on_reconnect : callable, optional
        Called with the address of each silent connection that was replaced.
    on_late : callable, optional
        Called with the size of each answer that arrived after its call had ended.
    """

    def __init__(
        self,
        *,
        hybrid,
        on_reconnect=lambda address: None,
        on_late=lambda size: None,
    ):
        self._clock = _PeerClock(hybrid=hybrid)
        self._on_reconnect = on_reconnect
        self._on_late = on_late
        self._channels = {}
        self._call_ids = itertools.count(1)

    async def call(self, address, request, *, timeout):
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = _Channel(
                address=address,
                clock=self._clock,
                on_reconnect=self._on_reconnect,
                on_late=self._on_late,
            )
        call_id = next(self._call_ids).to_bytes(STAMP_BYTES, "big")
        return await channel.call(call_id, request, timeout)

    async def is_refused(self, address, *, timeout):
        loop = asyncio.get_running_loop()
        host, port = parse_address(address)
        try:
            with TimeLimit.within(timeout, loop=loop):
                connection, _ = await loop.create_connection(
                    asyncio.Protocol, host, port
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        connection.abort()
        return False

    def close(self):
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


class ZmqServer:
    """Serves calls, each in its own task.

    Parameters
    ----------
    address : str
        IP:PORT to bind; port 0 selects a free port.
    handler : callable
        Coroutine function that takes a request message and returns its answer.
    hybrid : HybridClock
        Clock whose stamps are sent with every message.
    on_malformed : callable, optional
        Called for each message that is malformed, or dropped because
        `MAX_CONCURRENT_REQUESTS` requests are in progress.
    """

    def __init__(self, *, address, handler, hybrid, on_malformed=lambda: None):
        self._address = address
        self._handler = handler
        self._hybrid = hybrid
        self._on_malformed = on_malformed
        self._tasks = set()
        self._socket = None

    @property
    def address(self):
        """Bound IP:PORT."""
        endpoint = self._socket.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    def start(self):
        """Bind the address and start serving.

        Raises
        ------
        zmq.ZMQError
            If the address cannot be bound.
        """
        self._clock = _PeerClock(hybrid=self._hybrid)
        self._loop = asyncio.get_running_loop()
        self._socket = _LoopSocket(kind=zmq.ROUTER, on_frames=self._on_request)
        self._socket.socket.bind(f"tcp://{self._address}")

    def _on_request(self, frames):
        if len(frames) != 5 or len(self._tasks) >= MAX_CONCURRENT_REQUESTS:
            self._on_malformed()
            return
        task = self._loop.create_task(self._answer(*frames))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, peer, call_id, stamp, tag, body):
        self._clock.observe(stamp)
        try:
            request = decode_message(tag, body)
        except BadMessage as error:
            self._on_malformed()
            answer = failure_of(error)
        else:
            answer = await self._handle(request)
        frames = [peer, call_id, self._clock.stamp(), *encode_message(answer)]
        try:
            self._socket.send(frames)
        except zmq.ZMQError as error:
            log.debug("Could not send an answer: %s.", error)

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except Exception as error:
            if not hasattr(error, "code"):
                log.exception("Handling request %s failed.", type(request).__name__)
            return failure_of(error)

    def close(self):
        """Cancel the requests in progress and close the socket."""
        for task in self._tasks:
            task.cancel()
        if self._socket:
            self._socket.close()


class ZmqNetwork(PeerNetwork):
    """Network over pyzmq. Must be used inside a running event loop."""

    def __init__(self):
        self._hybrid = HybridClock()

    def transport(self, *, on_reconnect, on_late):
        return ZmqTransport(
            hybrid=self._hybrid, on_reconnect=on_reconnect, on_late=on_late
        )

    def server(self, *, address, handler, on_malformed):
        return ZmqServer(
            address=address,
            handler=handler,
            hybrid=self._hybrid,
            on_malformed=on_malformed,
        )
