"""A fake network between processes in one event loop, with faults on demand."""

import asyncio
import random

from guavastream.exception import CallTimeout
from guavastream.messages import (
    PeerNetwork,
    Transport,
    decode_message,
    encode_message,
    failure_of,
    raise_failure,
)

__all__ = ["FakeNetwork", "FakePeers", "paused_runner", "run_paused"]

DELAY_SECONDS = 0.0005


def run_paused(coroutine):
    """Run a coroutine on a clock that stands still while anything can run.

    The clock jumps to the next timer when all tasks wait, so hours pass in
    an instant and always in the same order.
    """
    with paused_runner() as runner:
        return runner.run(coroutine)


def paused_runner():
    """Return an `asyncio.Runner` with such a clock; several coroutines may follow."""
    import async_solipsism

    def new_loop():
        loop = async_solipsism.EventLoop()
        # The loop reads all sockets each time, and a look-up of each takes longer than
        # all else that many tests do.
        selector = loop._selector
        selector._map.values = selector._fd_to_key.values
        return loop

    return asyncio.Runner(loop_factory=new_loop)


class FakeNetwork:
    """Delivers calls between addresses, and fails as it is told.

    Parameters
    ----------
    seed : int
        Of the random faults.
    lost, doubled : float
        Chance that a message is lost, or handled twice.
    slowest : float
        Upper bound of the delay of a message, seconds.
    """

    def __init__(self, *, seed=0, lost=0.0, doubled=0.0, slowest=DELAY_SECONDS):
        self._rng = random.Random(seed)
        self.lost = lost
        self.doubled = doubled
        self.slowest = slowest
        self._handlers = {}
        self._cut = set()
        self._dark = set()
        self._suspended = {}
        self._links = {}
        self._queues = {}
        self._tasks = set()

    def transport(self, address):
        """Return a transport whose calls come from `address`."""
        return _FakeTransport(network=self, address=address)

    def serve(self, address, handler):
        """Let `handler` answer what is sent to `address`."""
        self._handlers[address] = handler

    def handler_of(self, address):
        """Return who answers what is sent to `address`."""
        return self._handlers[address]

    def remove(self, address, *, dark=False):
        """Take an address off the network, as the loss of its process does.

        With `dark` its host is lost too, and does not even refuse connections.
        """
        self._handlers.pop(address, None)
        self._dark.discard(address)
        if dark:
            self._dark.add(address)

    async def refuses(self, source, target):
        """Return whether a host tells another that no process listens there."""
        await asyncio.sleep(self._rng.uniform(0, self.slowest))
        cut = {(source, target), (target, source)} & self._cut
        silent = target in self._dark or target in self._suspended
        return not (cut or silent or target in self._handlers)

    def cut(self, source, target, *, both=True):
        """Drop what goes from `source` to `target`, silently."""
        self._cut.add((source, target))
        if both:
            self._cut.add((target, source))

    def isolate(self, address, others):
        """Cut an address off from all others in both directions."""
        for other in others:
            if other != address:
                self.cut(address, other)

    def narrow(self, address, rate):
        """Let the link of an address pass `rate` bytes a second, in turn.

        What was sent crosses the link also when nobody waits for it any more.
        """
        self._links[address] = _Link(rate=rate)

    def queue(self, address, seconds):
        """Let what goes over the link of an address wait behind other bytes."""
        self._queues[address] = seconds

    def rejoin(self, address):
        """End the cuts of an address."""
        self._cut = {pair for pair in self._cut if address not in pair}

    def heal(self):
        """End all cuts."""
        self._cut.clear()

    def suspend(self, address):
        """Hold what goes to and from an address, as long as its host is frozen."""
        self._suspended[address] = asyncio.Event()

    def resume(self, address):
        """Deliver what was held for an address, late."""
        self._suspended.pop(address).set()

    async def call(self, source, target, request, timeout):
        """Deliver one call; see `Transport.call`."""
        answered = asyncio.get_running_loop().create_future()
        copies = 2 if self._rng.random() < self.doubled else 1
        for _ in range(copies):
            task = asyncio.ensure_future(
                self._deliver(source, target, encode_message(request), answered)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(timeout):
                answer = await answered
        except TimeoutError:
            raise CallTimeout(f"{target} did not answer") from None
        return raise_failure(decode_message(*answer))

    async def _deliver(self, source, target, encoded, answered):
        if not await self._passes(source, target, encoded):
            return
        handler = self._handlers.get(target)
        if handler is None:
            return
        try:
            answer = await handler(decode_message(*encoded))
        except Exception as error:
            answer = failure_of(error)
        encoded = encode_message(answer)
        if await self._passes(target, source, encoded) and not answered.done():
            answered.set_result(encoded)

    async def _passes(self, source, target, encoded):
        if (source, target) in self._cut or self._rng.random() < self.lost:
            return False
        for end in (source, target):
            if end in self._suspended:
                await self._suspended[end].wait()
        size = sum(len(frame) for frame in encoded)
        links = [self._links[end] for end in (source, target) if end in self._links]
        through = max((link.take(size) for link in links), default=0.0)
        through += sum(self._queues.get(end, 0.0) for end in (source, target))
        await asyncio.sleep(through + self._rng.uniform(0, self.slowest))
        return (source, target) not in self._cut


class _Link:
    """A link that passes one message after the other."""

    def __init__(self, *, rate):
        self._rate = rate
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    def take(self, size):
        """Queue `size` bytes; return the seconds until all have passed."""
        now = self._loop.time()
        self._free_at = max(now, self._free_at) + size / self._rate
        return self._free_at - now


class _FakeTransport(Transport):
    def __init__(self, *, network, address):
        self._network = network
        self._address = address

    async def call(self, address, request, *, timeout):
        return await self._network.call(self._address, address, request, timeout)

    async def is_refused(self, address, *, timeout):
        return await self._network.refuses(self._address, address)


class FakePeers(PeerNetwork):
    """The ends of one process's calls on a fake network.

    Parameters
    ----------
    network : FakeNetwork
        Delivers the calls.
    address : str
        Where the process is.
    """

    def __init__(self, *, network, address):
        self._network = network
        self._address = address

    def transport(self, *, on_reconnect, on_late):
        return self._network.transport(self._address)

    def server(self, *, address, handler, on_malformed):
        return _FakeServer(network=self._network, address=address, handler=handler)


class _FakeServer:
    def __init__(self, *, network, address, handler):
        self._network = network
        self._address = address
        self._handler = handler

    def start(self):
        self._network.serve(self._address, self._handler)

    def close(self):
        self._network.remove(self._address)
