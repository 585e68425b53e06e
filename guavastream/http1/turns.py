"""Turns of connections on the event loop, so that none keeps the others waiting."""

from collections import deque

__all__ = ["TURN_WORK", "TurnQueue"]

# Fields, pieces of bodies and requests that the parser may report in one turn. An
# ordinary request has about twenty.
TURN_WORK = 512
# The same for data that has just arrived, while connections wait for turns.
ARRIVAL_WORK = 64
# Time for which requests begin as they come; those that come in the same time after it
# wait for turns, so that other work goes on.
BURST_SECONDS = 0.002
# Requests that the queue lets begin in one iteration of the loop.
STARTS_PER_ITERATION = 8
# Requests that wait to begin at which few connections are accepted at a time.
MAX_WAITING_STARTS = 32


class TurnQueue:
    """Gives the connections of a process turns on the event loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.

    Notes
    -----
    What one connection has received can take far longer to handle than it took to
    send: thousands of requests, or chunks of one byte. A turn is a part of it with a
    bounded cost, and each iteration of the loop has few of them, so that its length
    does not grow with the number of such connections. Requests that a connection begins
    with go before the further turns of connections that have had one.
    """

    def __init__(self, *, loop):
        self._loop = loop
        self._starts = deque()
        self._further = deque()
        self._scheduled = False
        self._burst_began = float("-inf")

    @property
    def arrival_work(self):
        """Work that may be done for data as it arrives, before waiting for a turn."""
        return ARRIVAL_WORK if self._further else TURN_WORK

    def may_start(self):
        """Whether a request may begin at once, rather than wait for `start`."""
        if self._starts:
            return False
        now = self._loop.time()
        if now - self._burst_began >= 2 * BURST_SECONDS:
            self._burst_began = now
        return now - self._burst_began < BURST_SECONDS

    @property
    def is_crowded(self):
        """Whether so many requests wait to begin that few more should come."""
        return len(self._starts) >= MAX_WAITING_STARTS

    def start(self, callback):
        """Call back when the next request of a connection may begin.

        The callback returns whether it had anything to do.
        """
        self._starts.append(callback)
        self._schedule()

    def continue_later(self, callback):
        """Call back when a connection that has had its turn may go on.

        The callback returns whether it had anything to do.
        """
        self._further.append(callback)
        self._schedule()

    def _schedule(self):
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self):
        self._scheduled = False
        # Connections that have ended while they waited take no turn.
        starts = 0
        while self._starts and starts < STARTS_PER_ITERATION:
            starts += self._starts.popleft()()
        while self._further and not self._further.popleft()():
            pass
        if self._starts or self._further:
            self._schedule()
