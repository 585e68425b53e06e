"""The short queue in front of a backend server."""

import threading
from collections import Counter

from guavastream.routing import Refused

__all__ = ["WaitQueue", "Waiter"]


class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    deadline : float
        The clock's time after which it is of no use.
    importance : int
        Larger goes first and is shed last.
    caller : str
        Who asks.
    """

    def __init__(self, *, deadline, importance, caller):
        self.deadline = deadline
        self.importance = importance
        self.caller = caller
        self.woken = threading.Event()
        self.code = ""


class WaitQueue:
    """Orders waiters by importance, then fairly by caller, then by deadline.

    Its caller holds a lock around every method.

    Notes
    -----
    Each operation costs O(n) in the waiters, of which there are few: a queue
    longer than the deadline allows would only serve those who have given up.

    Examples
    --------
    >>> queue = WaitQueue()
    >>> noisy = [Waiter(deadline=n, importance=1, caller="a") for n in range(3)]
    >>> for waiter in noisy:
    ...     queue.add(waiter, 3)
    >>> queue.add(Waiter(deadline=9, importance=1, caller="b"), 3)
    >>> noisy[-1].code
    'overloaded'
    >>> queue.pop(Counter(a=2)).caller
    'b'
    """

    def __init__(self):
        self._waiters = []

    def __len__(self):
        return len(self._waiters)

    def add(self, waiter, limit):
        """Take a waiter in; if the queue is full, somebody has to go.

        Raises
        ------
        Refused
            If the newcomer is the one that has to go.
        """
        if len(self._waiters) < limit:
            self._waiters.append(waiter)
            return
        loser = self._loser(waiter) if self._waiters else waiter
        if loser is waiter:
            raise Refused("overloaded")
        shed = loser.importance < waiter.importance
        self._waiters.remove(loser)
        self._waiters.append(waiter)
        loser.code = "shed" if shed else "overloaded"
        loser.woken.set()

    def pop(self, running):
        """Remove and return who goes next.

        Parameters
        ----------
        running : Counter
            Requests that each caller has at the server.
        """
        chosen = min(
            self._waiters,
            key=lambda w: (-w.importance, running[w.caller], w.deadline),
        )
        self._waiters.remove(chosen)
        return chosen

    def remove(self, waiter):
        """Take out a waiter that has given up."""
        self._waiters.remove(waiter)

    def _loser(self, newcomer):
        """Return the least important, of the caller with the most waiters."""
        waiting = Counter(w.caller for w in self._waiters)
        waiting[newcomer.caller] += 1
        return min(
            [newcomer, *self._waiters],
            key=lambda w: (w.importance, -waiting[w.caller], -w.deadline),
        )
