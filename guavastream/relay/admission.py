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

# Weight of the newest request in the smoothed time of its kind.
SMOOTHING = 0.1
# Time assumed of a request before any was measured, seconds.
USUAL_SECONDS = 0.1
# Times of requests of one kind vary by about a third, and waits do too; a
# request waits only if it would be in time even if it took this much longer
# than usual. In the simulated overload of the tests 1.2 in all lets 19 in 100
# of a server's answers come late, 1.8 lets 2, at the same work done.
SPARED = 0.8
# Where a request takes nearly all of its time, half of what is left is kept.
SPARED_OF_REST = 0.5
# A request that cannot be in time any more waits no longer than this share of
# the time it has left: it is worth little, and each that waits makes others
# late.
LATE_SHARE = 0.05
# Of a request's usual time at least this must be left before its deadline
# when its turn comes, or its work would be cut off.
LEAST_LEFT = 0.7
# Advice to come back, seconds: soon, since one that comes back in time goes
# before new requests, and a later one is late whatever happens.
SHORTEST_RETRY = 0.05
LONGEST_RETRY = 0.15
# Bounds and weight of the factor between expected and real waits. Requests
# that come later but are wanted sooner overtake, which no count of those
# ahead foresees.
LEAST_FACTOR = 0.7
MOST_FACTOR = 6.0
FACTOR_WEIGHT = 0.1
GRAIN_SECONDS = 0.005
# Answers are given this long before a deadline, so that they arrive.
LAST_SECONDS = 0.03


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
    ordered by rank, then by the time until which an answer has its full
    worth; a request that came back after a refusal thus goes first.
    """

    def __init__(self, *, clock, slots=1):
        self._clock = clock
        self._queue = []
        self._numbers = itertools.count()
        self._running = 0
        self._running_seconds = 0.0
        self._waiting = 0
        self._seconds = {}
        self._mean = 0.0
        self._factors = {}
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
        """Smoothed time of all requests at the server, 0 if unknown."""
        return self._mean

    def usual(self, kind):
        """Return the smoothed time of requests of a kind, seconds."""
        return self._seconds.get(kind) or self._mean or USUAL_SECONDS

    def wait_for(self, rank, kind, wanted_by):
        """Return the expected wait of a new request, seconds."""
        if self._running < self.slots and not self._waiting:
            return 0.0
        ahead = sum(
            item[4]
            for item in self._queue
            if (item[0], item[1]) <= (rank, wanted_by) and not item[3].done()
        )
        running = self._running_seconds / max(1, self._running)
        return self._factors.get(kind, 1.0) * (ahead + running) / self.slots

    async def enter(self, *, rank, kind, wanted_by, deadline):
        """Wait for a slot; return what `leave` needs.

        Parameters
        ----------
        rank : int
            The lowest is the most urgent.
        kind : str
            Requests of one kind take about the same time.
        wanted_by, deadline : float
            The clock's times by which an answer is worth all and nothing.

        Raises
        ------
        NotRun
            If there will be no slot in time.
        """
        now = self._clock()
        usual = self.usual(kind)
        wait = self.wait_for(rank, kind, wanted_by)
        if wait:
            rest = wanted_by - now - usual
            spare = rest - min(SPARED * usual, SPARED_OF_REST * rest)
            allowed = max(spare, LATE_SHARE * (deadline - now))
            if wait > allowed or now + wait + usual > deadline:
                again = min(max(SHORTEST_RETRY, wait / 2), LONGEST_RETRY)
                raise NotRun("overloaded", retry_after=again)
            try:
                await self._wait(rank, wanted_by, usual, now, deadline)
            finally:
                self._note_wait(kind, wait, self._clock() - now)
        else:
            self._running += 1
        self._running_seconds += usual
        return usual

    def _note_wait(self, kind, expected, real):
        before = self._factors.get(kind, 1.0)
        ratio = before * (real + GRAIN_SECONDS) / (expected + GRAIN_SECONDS)
        factor = before + FACTOR_WEIGHT * (ratio - before)
        self._factors[kind] = min(MOST_FACTOR, max(LEAST_FACTOR, factor))

    async def _wait(self, rank, wanted_by, usual, now, deadline):
        future = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        latest = deadline - max(LAST_SECONDS, usual * LEAST_LEFT)
        heapq.heappush(self._queue, (rank, wanted_by, number, future, usual, latest))
        self._waiting += 1
        try:
            async with asyncio.timeout(max(0.0, latest - now)):
                await future
        except TimeoutError:
            if not future.cancelled():
                self._free()
            raise NotRun("overloaded", retry_after=SHORTEST_RETRY) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._free()
            raise
        finally:
            self._waiting -= 1

    def leave(self, usual, *, kind, seconds=None):
        """Give a slot back.

        Parameters
        ----------
        usual : float
            What `enter` returned.
        kind : str
            As given to `enter`.
        seconds : float, optional
            How long the server took, if it ran the request to its end.
        """
        self._running_seconds = max(0.0, self._running_seconds - usual)
        if seconds is not None:
            before = self._seconds.get(kind, seconds)
            self._seconds[kind] = before + SMOOTHING * (seconds - before)
            self._mean = self._mean or seconds
            self._mean += SMOOTHING * (seconds - self._mean)
        self._free()

    def _free(self):
        self._running -= 1
        now = self._clock()
        while self._queue and self._running < self.slots:
            *_, future, _, latest = heapq.heappop(self._queue)
            if future.done():
                continue
            if now > latest:
                # It would be cut off in the middle of its work.
                future.set_exception(NotRun("overloaded", retry_after=SHORTEST_RETRY))
                continue
            self._running += 1
            future.set_result(None)
