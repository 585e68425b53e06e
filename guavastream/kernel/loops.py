"""An event loop that asks the system for news only when it has nothing to do."""

import asyncio
import selectors

__all__ = ["EagerSelector", "new_event_loop"]

# Rounds of ready callbacks that may run before the system is asked again. A
# request takes three or four at each process that it passes.
MOST_ROUNDS = 8


class EagerSelector(selectors.DefaultSelector):
    """Skips the look at sockets while callbacks are ready to run.

    The loop asks for news before each round of callbacks, also if some are
    ready already. A request passes a process in several rounds, since each
    task that is woken runs in the next one: of the system calls of a process,
    half were such looks that found nothing. Every `MOST_ROUNDS` rounds it
    looks all the same, so that no socket waits behind busy callbacks.
    """

    def __init__(self):
        super().__init__()
        self._rounds = 0

    def select(self, timeout=None):
        if timeout == 0 and self._rounds < MOST_ROUNDS:
            self._rounds += 1
            return []
        self._rounds = 0
        return super().select(timeout)


def new_event_loop():
    """Return an event loop on an `EagerSelector`."""
    return asyncio.SelectorEventLoop(EagerSelector())
