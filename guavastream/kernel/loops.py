"""An event loop that polls its sockets less often while callbacks are ready."""

import asyncio
import selectors
import time

__all__ = ["ThrottledSelector", "new_event_loop"]

# Loop iterations that may run without polling. A request takes three or four in each
# process on its path.
MAX_SKIPPED_POLLS = 8
# Longest time without polling. Timers run even if polling is skipped: after the process
# was stalled they would time out requests whose answers have arrived but are unread.
MAX_POLL_INTERVAL_SECONDS = 0.002


class ThrottledSelector(selectors.DefaultSelector):
    """Selector that skips polls while callbacks are ready to run.

    By default the loop polls its sockets before each iteration, even if callbacks are
    ready. A request takes several iterations, since a task that is woken runs in the
    next one, and half of the system calls of a process were polls that found
    nothing. The selector still polls after `MAX_SKIPPED_POLLS` skipped polls, so that
    ready callbacks do not starve sockets, and whenever the last poll was at least
    `MAX_POLL_INTERVAL_SECONDS` ago.

    Parameters
    ----------
    clock : callable, optional
        Monotonic time in seconds.
    """

    def __init__(self, *, clock=time.monotonic):
        super().__init__()
        self._clock = clock
        self._skipped_polls = 0
        self._polled_at = float("-inf")

    def select(self, timeout=None):
        recent = self._clock() - self._polled_at < MAX_POLL_INTERVAL_SECONDS
        if timeout == 0 and recent and self._skipped_polls < MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        events = super().select(timeout)
        self._skipped_polls = 0
        self._polled_at = self._clock()
        return events


def new_event_loop():
    """Return an event loop that uses a `ThrottledSelector`."""
    return asyncio.SelectorEventLoop(ThrottledSelector())
