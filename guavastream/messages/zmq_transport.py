"""Transport over pyzmq: one DEALER for each peer, one ROUTER to serve."""

import asyncio
import itertools

import zmq

from guavastream.exception import BadMessage, CallTimeout
from guavastream.kernel import HybridClock, TimeLimit, part_logger
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
SILENCE_SECONDS = 1.0
HIGH_WATER_MARK = 1000
MAX_HANDLERS = 4096
STAMP_BYTES = 8
# Messages that are read before others have their turn.
MOST_READS = 100

log = part_logger("peer")


def _configure(socket):
    # A connection that something between the ends has forgotten stays open
    # and silent. ZMTP heartbeats end it within HEARTBEAT_TIMEOUT_MS on both
    # sides; libzmq then connects anew.
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RECONNECT_IVL, 20)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 200)


class _LoopSocket:
    """A socket whose messages are handed over by the event loop.

    Parameters
    ----------
    kind : int
        Kind of the socket, as pyzmq has it.
    on_frames : callable
        Takes the frames of each message.

    Notes
    -----
    pyzmq's own sockets for asyncio ask the library about its state six times
    a message, each time with two system calls; idle hosts did little else.
    The library tells of news only once, by a descriptor, and any call into it
    may swallow that; so after each use the socket is read until it is empty.
    """

    def __init__(self, *, kind, on_frames):
        self._loop = asyncio.get_running_loop()
        self._on_frames = on_frames
        self._reads = None
        self.socket = zmq.Context.instance().socket(kind)
        _configure(self.socket)
        self._fd = self.socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self._read)

    def send(self, frames):
        """Send a message without waiting.

        Raises
        ------
        zmq.ZMQError
            If it cannot be taken now.
        """
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        finally:
            self._read_soon()

    def _read_soon(self):
        if self._reads is None:
            self._reads = self._loop.call_soon(self._read)

    def _read(self):
        self._reads = None
        for _ in range(MOST_READS):
            if self.socket.closed:
                return
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)
        # Others have their turn in between.
        self._read_soon()

    def close(self):
        self._loop.remove_reader(self._fd)
        if self._reads is not None:
            self._reads.cancel()
        self.socket.close()


class _Channel:
    """The connection to one peer."""

    def __init__(self, *, address, clock, on_reconnect, on_late):
        self._address = address
        self._clock = clock
        self._on_reconnect = on_reconnect
        self._on_late = on_late
        self._waiting = {}
        self._heard = 0.0
        self._loop = asyncio.get_running_loop()
        self._open()

    def _open(self):
        self._socket = _LoopSocket(kind=zmq.DEALER, on_frames=self._take)
        self._socket.socket.connect(f"tcp://{self._address}")
        self._since = self._clock.now()

    def _take(self, frames):
        self._heard = self._clock.now()
        if len(frames) != 4:
            return
        number, stamp, tag, body = frames
        self._clock.observe(stamp)
        future = self._waiting.pop(number, None)
        if future is None or future.done():
            # Nobody waits for it any more.
            self._on_late(len(body))
            return
        future.set_result((tag, body))

    async def call(self, number, request, timeout):
        future = self._loop.create_future()
        self._waiting[number] = future
        frames = [number, self._clock.stamp(), *encode_message(request)]
        try:
            self._socket.send(frames)
            with TimeLimit.within(timeout, loop=self._loop):
                tag, body = await future
        except (TimeoutError, zmq.Again):
            self._replace_if_silent()
            raise CallTimeout(f"{self._address} did not answer") from None
        finally:
            self._waiting.pop(number, None)
        return raise_failure(decode_message(tag, body))

    def _replace_if_silent(self):
        # Heartbeats see a dead path, not a peer whose socket lives while its
        # answers are lost; a fresh connection is the cure for both.
        silent_since = max(self._heard, self._since)
        if self._clock.now() - silent_since < SILENCE_SECONDS:
            return
        log.info("Replace silent connection to %s.", self._address)
        self.close()
        self._open()
        self._on_reconnect(self._address)

    def close(self):
        self._socket.close()


class _PeerClock:
    """Loop time for timeouts and hybrid stamps for messages."""

    def __init__(self, *, hybrid):
        self._hybrid = hybrid
        self.now = asyncio.get_running_loop().time

    def stamp(self):
        return self._hybrid.stamp().to_bytes(STAMP_BYTES, "big")

    def observe(self, stamp):
        if len(stamp) == STAMP_BYTES:
            self._hybrid.observe(int.from_bytes(stamp, "big"))


class ZmqTransport(Transport):
    """Calls peers over pyzmq; create it inside a running loop.

    Parameters
    ----------
    hybrid : HybridClock
        Clock whose stamps travel with every message.
    on_reconnect : callable, optional
        Told the address of each connection that was replaced as silent.
    on_late : callable, optional
        Told the size of each answer that came when nobody waited any more.
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
        self._numbers = itertools.count(1)

    async def call(self, address, request, *, timeout):
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = _Channel(
                address=address,
                clock=self._clock,
                on_reconnect=self._on_reconnect,
                on_late=self._on_late,
            )
        number = next(self._numbers).to_bytes(STAMP_BYTES, "big")
        return await channel.call(number, request, timeout)

    def close(self):
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


class ZmqServer:
    """Serves calls: each request is handled by a task of its own.

    Parameters
    ----------
    address : str
        IP:PORT to bind; port 0 lets the system choose.
    handler : callable
        Coroutine function from a request message to its answer.
    hybrid : HybridClock
        Clock whose stamps travel with every message.
    on_malformed : callable, optional
        Called for each message that was dropped as malformed.
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
        """IP:PORT that is bound."""
        endpoint = self._socket.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    def start(self):
        """Bind and begin to serve.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._clock = _PeerClock(hybrid=self._hybrid)
        self._loop = asyncio.get_running_loop()
        self._socket = _LoopSocket(kind=zmq.ROUTER, on_frames=self._take)
        self._socket.socket.bind(f"tcp://{self._address}")

    def _take(self, frames):
        if len(frames) != 5 or len(self._tasks) >= MAX_HANDLERS:
            self._on_malformed()
            return
        task = self._loop.create_task(self._answer(*frames))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, peer, number, stamp, tag, body):
        self._clock.observe(stamp)
        try:
            request = decode_message(tag, body)
        except BadMessage as error:
            self._on_malformed()
            answer = failure_of(error)
        else:
            answer = await self._handle(request)
        frames = [peer, number, self._clock.stamp(), *encode_message(answer)]
        try:
            self._socket.send(frames)
        except zmq.ZMQError as error:
            log.debug("Answer was not sent: %s.", error)

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except Exception as error:
            if not hasattr(error, "code"):
                log.exception("Request %s failed.", type(request).__name__)
            return failure_of(error)

    def close(self):
        """Stop serving."""
        for task in self._tasks:
            task.cancel()
        if self._socket:
            self._socket.close()


class ZmqNetwork(PeerNetwork):
    """Calls between processes over pyzmq; create it inside a running loop."""

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
