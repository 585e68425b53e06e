"""Who may go to the local server next, who waits, and who is refused at once.

It answers more requests than a server has slots for: bursts, a slow server,
callers that repeat. Requests wait here and not at the server, because here
they can be ordered, counted, and refused while that still helps the caller.
"""

import asyncio
import heapq
import itertools

from guavastream.relay.outcome import NotRun

__all__ = ["Gate"]

# Weight of the newest request in the smoothed time of a request.
SMOOTHING = 0.1
# Time assumed of a request before any was measured, seconds.
USUAL_SECONDS = 0.1
# A request that cannot be answered within its target any more still waits
# this share of what is left to its deadline: late is better than never, but
# a long queue of late requests makes all that follow late too.
LATE_SHARE = 0.12
# Shortest advice to come back, seconds.
SHORTEST_RETRY = 0.05


class Gate:
    """Slots of the local server and the queue before them.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    slots : int
        Requests that the server runs at a time.

    Notes
    -----
    A request is admitted to the queue only if those ahead of it leave it time
    enough: the queue is as long as it is useful, whatever the load. It is
    ordered by rank, then by deadline.
    """

    def __init__(self, *, clock, slots=1):
        self._clock = clock
        self._queue = []
        self._numbers = itertools.count()
        self._running = 0
        self._waiting = 0
        self._seconds = 0.0
        self.slots = slots

    @property
    def running(self):
        """Requests at the server."""
        return self._running

    @property
    def waiting(self):
        """Requests in the queue."""
        return self._waiting

    @property
    def seconds(self):
        """Smoothed time of a request at the server, 0 if unknown."""
        return self._seconds

    def wait_for(self, rank):
        """Return the expected wait of a new request of a rank, seconds."""
        if self._running < self.slots and not self._waiting:
            return 0.0
        ahead = sum(1 for item in self._queue if item[0] <= rank and not item[3].done())
        return (ahead + 1) * (self._seconds or USUAL_SECONDS) / self.slots

    async def enter(self, *, rank, target, deadline):
        """Wait for a slot.

        Parameters
        ----------
        rank : int
            0 is the most urgent.
        target, deadline : float
            The clock's times by which an answer is worth all and nothing.

        Raises
        ------
        NotRun
            If there will be no slot in time.
        """
        now = self._clock()
        wait = self.wait_for(rank)
        usual = self._seconds or USUAL_SECONDS
        allowed = max(target - now - usual, LATE_SHARE * (deadline - now))
        if wait and (wait > allowed or now + wait + usual > deadline):
            raise NotRun("overloaded", retry_after=max(SHORTEST_RETRY, wait))
        if not wait:
            self._running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (rank, deadline, next(self._numbers), future))
        self._waiting += 1
        try:
            async with asyncio.timeout(max(0.0, deadline - now - usual / 2)):
                await future
        except TimeoutError:
            if not future.cancelled():
                self.leave()
            raise NotRun("overloaded", retry_after=SHORTEST_RETRY) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.leave()
            raise
        finally:
            self._waiting -= 1

    def leave(self, seconds=None):
        """Give a slot back; `seconds` is how long the server took."""
        self._running -= 1
        if seconds is not None:
            if not self._seconds:
                self._seconds = seconds
            self._seconds += SMOOTHING * (seconds - self._seconds)
        self._admit_next()

    def _admit_next(self):
        now = self._clock()
        usual = self._seconds or USUAL_SECONDS
        while self._queue and self._running < self.slots:
            _, deadline, _, future = heapq.heappop(self._queue)
            if future.done():
                continue
            if now + usual / 2 > deadline:
                # It would be cut off in the middle of its work.
                future.set_exception(NotRun("overloaded", retry_after=SHORTEST_RETRY))
                continue
            self._running += 1
            future.set_result(None)
