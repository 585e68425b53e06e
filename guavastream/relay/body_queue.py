"""Order in which large bodies of other hosts are received over the link."""

from guavastream.http1 import BodyRest
from guavastream.kernel import TimeLimit
from guavastream.relay.job import MAX_BUFFERED_BODY_BYTES
from guavastream.scheduling.admission import AdmissionQueue

__all__ = [
    "MAX_CONCURRENT_BODIES",
    "MAX_LINK_BUSY_SECONDS",
    "BodyQueue",
    "StreamedBodies",
]

# Large bodies that are received at the same time. Two fill a link as well as twenty;
# the third keeps it busy while one of them waits for its sender.
MAX_CONCURRENT_BODIES = 3
# Longest time for which the large bodies under way may occupy the link. Other
# traffic queues behind them: calls between servers, and updates of the fleet state.
MAX_LINK_BUSY_SECONDS = 0.3
# Share of a server's slots for requests whose bodies are passed on while they are
# received. They hold their slots for as long as their callers take to send.
STREAMED_SLOTS_SHARE = 0.75
# Weight of the newest value in the moving average of body lengths.
BODY_LENGTH_SMOOTHING = 0.1
# A body that takes longer loses its place, in case its sender has frozen.
MAX_BODY_SECONDS = 2.0


class BodyQueue:
    """Limits the number of large bodies that are received at a time.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    link_rate : float
        Capacity of this host's link in bytes per second, 0 if unknown.

    Notes
    -----
    Large bodies of many hosts share the link of this one. Received all at once they
    fill its queue, and short requests behind them time out. A few at a time use the
    link equally well.
    """

    def __init__(self, *, loop, link_rate=0.0):
        self._loop = loop
        self._link_rate = link_rate
        self._places = AdmissionQueue(loop=loop, slots=MAX_CONCURRENT_BODIES)
        self._mean_bytes = 0.0

    async def enter(self, attempt, *, length, work_seconds):
        """Wait for a place and return the `BodyPlace`.

        Parameters
        ----------
        attempt : Attempt
            The request with the body.
        length : int
            Length of the body in bytes, -1 if it is unknown.
        work_seconds : float
            Time for which the server is expected to run the request.

        Raises
        ------
        NotRun
            If there will be no place in time.
        """
        self._limit_places(length)
        slot = await self._places.enter(
            rank=attempt.rank,
            kind=attempt.kind,
            wanted_by=attempt.target_time - work_seconds,
            deadline=attempt.deadline - work_seconds,
            margin=attempt.margin,
        )
        return BodyPlace(
            loop=self._loop, places=self._places, slot=slot, kind=attempt.kind
        )

    def _limit_places(self, length):
        """Limit the bodies received at a time to what the link passes in time."""
        if length <= 0 or not self._link_rate:
            return
        before = self._mean_bytes or length
        self._mean_bytes = before + BODY_LENGTH_SMOOTHING * (length - before)
        passing = self._link_rate * MAX_LINK_BUSY_SECONDS / self._mean_bytes
        self._places.slots = max(1, min(MAX_CONCURRENT_BODIES, int(passing)))


class StreamedBodies:
    """Limits how many slots of the local server wait for the bodies of requests.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    """

    def __init__(self, *, loop):
        self._loop = loop
        self._places = AdmissionQueue(loop=loop, slots=1)

    async def enter(self, attempt, *, slots):
        """Wait for a place for an attempt with such a body, a `StreamedPlace`.

        Parameters
        ----------
        attempt : Attempt
            The request.
        slots : int
            Slots of the server.

        Raises
        ------
        NotRun
            If there will be no place in time.
        """
        self._places.slots = max(1, int(slots * STREAMED_SLOTS_SHARE))
        slot = await self._places.enter(
            rank=attempt.rank,
            kind=attempt.kind,
            wanted_by=attempt.target_time,
            deadline=attempt.deadline,
            margin=attempt.margin,
        )
        return StreamedPlace(
            loop=self._loop, places=self._places, slot=slot, kind=attempt.kind
        )


class StreamedPlace:
    """The permission to hold a slot while a body is received, until `leave`."""

    def __init__(self, *, loop, places, slot, kind):
        self._loop = loop
        self._places = places
        self._slot = slot
        self._kind = kind
        self._began = loop.time()

    def leave(self, *, received=True):
        """Give up the place; `received` says whether the body arrived in it."""
        if self._slot is None:
            return
        slot, self._slot = self._slot, None
        seconds = self._loop.time() - self._began if received else None
        self._places.leave(slot, kind=self._kind, seconds=seconds)


class BodyPlace(StreamedPlace):
    """The permission to receive one large body over the link, until `leave`."""

    def __init__(self, *, loop, places, slot, kind):
        super().__init__(loop=loop, places=places, slot=slot, kind=kind)
        self._timer = loop.call_later(MAX_BODY_SECONDS, self.leave)

    def time_limit(self):
        """Return the limit for a body that is received completely in this place."""
        return TimeLimit(loop=self._loop, when=self._began + MAX_BODY_SECONDS)

    def leave(self, *, received=False):
        """Give up the place, also when it was held for too long."""
        self._timer.cancel()
        super().leave(received=received)


class RequestedBody(BodyRest):
    """A body that its sender sends once, when this host asks for it.

    The request waits for everything else first, since a refusal after that would cost
    its caller the body. It has a place on the link for the part that its sender keeps.

    Parameters
    ----------
    stream : BodyStream
        Asks for the body when it is read first.
    length : int or None
        Length in bytes, None if unknown.
    enter : callable
        Coroutine function that waits for a `BodyPlace`.
    """

    def __init__(self, *, stream, length, enter):
        super().__init__(stream=stream, length=length)
        self._enter = enter
        self._place = None

    async def prepare(self):
        """Wait until the link has capacity for the body."""
        self._place = await self._enter()

    async def read(self):
        """Return the next piece, or empty bytes at the end."""
        piece = await super().read()
        # What the other host has not kept comes as fast as its caller sends it.
        if not piece or self.read_bytes >= MAX_BUFFERED_BODY_BYTES:
            self._place.leave(received=True)
        return piece

    def end(self):
        """Give up the place on the link."""
        if self._place is not None:
            self._place.leave()
