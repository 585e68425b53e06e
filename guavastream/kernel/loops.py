"""An event loop that asks the system for news only when it has nothing to do."""

import asyncio
import selectors
import time

__all__ = ["EagerSelector", "new_event_loop"]

# Rounds of ready callbacks that may run before the system is asked again. A
# request takes three or four at each process that it passes.
MOST_ROUNDS = 8
# Longest time without a look at sockets, seconds. Timers run without one: after a
# standstill they would end what has been answered, and waits unread.
LONGEST_SECONDS = 0.002


class EagerSelector(selectors.DefaultSelector):
    """Skips the look at sockets while callbacks are ready to run.

    The loop asks for news before each round of callbacks, also if some are
    ready already. A request passes a process in several rounds, since each
    task that is woken runs in the next one: of the system calls of a process,
    half were such looks that found nothing. Every `MOST_ROUNDS` rounds it
    looks all the same, so that no socket waits behind busy callbacks, and whenever
    the last look is longer ago than `LONGEST_SECONDS`.

    Parameters
    ----------
    clock : callable, optional
        Steady time in seconds.
    """

    def __init__(self, *, clock=time.monotonic):
        super().__init__()
        self._clock = clock
        self._rounds = 0
        self._looked_at = float("-inf")

    def select(self, timeout=None):
        recent = self._clock() - self._looked_at < LONGEST_SECONDS
        if timeout == 0 and recent and self._rounds < MOST_ROUNDS:
            self._rounds += 1
            return []
        events = super().select(timeout)
        self._rounds = 0
        self._looked_at = self._clock()
        return events


def new_event_loop():
    """Return an event loop on an `EagerSelector`."""
    return asyncio.SelectorEventLoop(EagerSelector())
