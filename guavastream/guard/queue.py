"""Bounded priority queue of requests that wait for a slot of the server."""

import threading
from collections import Counter

from guavastream.routing import Refused

__all__ = ["WaitQueue", "Waiter"]


class Waiter:
    """A request that waits for a slot of the server.

    Parameters
    ----------
    deadline : float
        Monotonic time after which the request is no longer useful.
    importance : int
        Requests of higher importance are admitted first and evicted last.
    caller : str
        Name of the calling service, for fairness between callers.

    Attributes
    ----------
    woken : threading.Event
        Set when the waiter has a slot or is evicted.
    refusal_code : str
        Code of the refusal if the waiter was evicted, otherwise empty.
    """

    def __init__(self, *, deadline, importance, caller):
        self.deadline = deadline
        self.importance = importance
        self.caller = caller
        self.woken = threading.Event()
        self.refusal_code = ""


class WaitQueue:
    """Waiters by importance, then by running requests of the caller, then deadline.

    It is not thread-safe: callers hold a lock around every method.

    Notes
    -----
    Each operation is O(n) in the number of waiters, which is small: in a queue
    longer than the deadlines allow, requests would time out before their turn.

    Examples
    --------
    >>> queue = WaitQueue()
    >>> noisy = [Waiter(deadline=n, importance=1, caller="a") for n in range(3)]
    >>> for waiter in noisy:
    ...     queue.add(waiter, 3)
    >>> queue.add(Waiter(deadline=9, importance=1, caller="b"), 3)
    >>> noisy[-1].refusal_code
    'overloaded'
    >>> queue.pop(Counter(a=2)).caller
    'b'
    """

    def __init__(self):
        self._waiters = []

    def __len__(self):
        return len(self._waiters)

    def add(self, waiter, limit):
        """Add a waiter; if the queue is full, evict a waiter or refuse this one.

        An evicted waiter is woken with its `refusal_code` set.

        Raises
        ------
        Refused
            If `waiter` itself is the one to evict.
        """
        if len(self._waiters) < limit:
            self._waiters.append(waiter)
            return
        eviction_candidate = (
            self._eviction_candidate(waiter) if self._waiters else waiter
        )
        if eviction_candidate is waiter:
            raise Refused("overloaded")
        shed = eviction_candidate.importance < waiter.importance
        self._waiters.remove(eviction_candidate)
        self._waiters.append(waiter)
        eviction_candidate.refusal_code = "shed" if shed else "overloaded"
        eviction_candidate.woken.set()

    def pop(self, running):
        """Remove and return the waiter to admit next.

        Parameters
        ----------
        running : Counter
            Number of running requests by caller.
        """
        chosen = min(
            self._waiters,
            key=lambda w: (-w.importance, running[w.caller], w.deadline),
        )
        self._waiters.remove(chosen)
        return chosen

    def remove(self, waiter):
        """Remove a waiter whose deadline has passed."""
        self._waiters.remove(waiter)

    def _eviction_candidate(self, new_waiter):
        """Return the waiter to evict, which may be `new_waiter`.

        It is the one of the lowest importance; between equals, that of the caller
        with the most waiters, then the one with the latest deadline.
        """
        waiting = Counter(w.caller for w in self._waiters)
        waiting[new_waiter.caller] += 1
        return min(
            [new_waiter, *self._waiters],
            key=lambda w: (w.importance, -waiting[w.caller], -w.deadline),
        )
