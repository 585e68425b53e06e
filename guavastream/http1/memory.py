"""One budget for all that a process holds for its clients, and who is closed first."""

import abc
import contextlib
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from guavastream.kernel import Signal, part_logger

__all__ = [
    "BudgetSpent",
    "CONNECTION_BYTES",
    "FREE_BYTES",
    "MIN_PROGRESS_BYTES_PER_SECOND",
    "PATIENCE_SECONDS",
    "Holder",
    "MemoryBudget",
    "Patience",
    "RequestMemory",
]

# What a connection costs with its task, its buffers in the kernel and one request of
# ordinary size. All connections are charged this much, and an ordinary one no more.
CONNECTION_BYTES = 16 << 10
# Part of a head, a body or an answer that is covered by `CONNECTION_BYTES`.
FREE_BYTES = 8 << 10
# Share of the budget for connections, whatever they hold.
CONNECTIONS_SHARE = 0.4
# Share of the budget for bodies that are kept until they have been sent on. The rest is
# left to callers who send none.
BODIES_SHARE = 0.5
# A body that finds no room for this long is refused.
MAX_BODY_WAIT_SECONDS = 2.0
# Bodies that may wait for room; each has its sender's data in the kernel.
MAX_WAITING_BODIES = 64
# Above this share of the budget, holders are watched for progress.
WATCHED_SHARE = 0.5
# Least progress of a head, a body or the reader of an answer while the budget is short,
# and how long it may fall short.
MIN_PROGRESS_BYTES_PER_SECOND = 64 << 10
PATIENCE_SECONDS = 1.0
# Holders are closed until this share of the budget is held, so that the search for
# them, which looks at all, is rare.
RELIEVED_SHARE = 0.9
# A flood is over, and its freed memory is returned to the operating system, once this
# share of the budget was held before and this one is held now.
FLOOD_SHARE = 0.25
CALM_SHARE = 0.1

# Shortest time between two log records of spent memory.
LOG_SECONDS = 1.0

log = part_logger("memory")


class BudgetSpent(Exception):
    """There is no memory for a body; its request has not been sent on."""


class Patience(IntEnum):
    """What a holder is doing; the last of these are closed first."""

    # A request of ordinary size is handled.
    ORDINARY = 0
    # A request that may have been sent on holds more than an ordinary one.
    LARGE = 1
    IDLE = 2
    # A head or a body that has not been sent on is being received.
    RECEIVING = 3
    # A body waits for room.
    WAITING = 4
    # The peer sends or reads less than the least progress.
    SLOW = 5
    # The last answer was sent, and the connection only reads before it closes.
    CLOSING = 6


class Holder(abc.ABC):
    """What a client makes the process hold: a connection with its requests."""

    @property
    @abc.abstractmethod
    def patience(self):
        """What it is doing now, a `Patience`."""

    @abc.abstractmethod
    def note_period(self):
        """End a period in which the progress of the peer counts."""

    @abc.abstractmethod
    def shed(self):
        """Refuse what has not been sent on, or close the connection."""


@dataclass(frozen=True, kw_only=True, eq=False)
class _WaitingBody:
    """The size of a body that waits for room, and whether it has got it."""

    size: int
    admitted: Signal


class MemoryBudget:
    """Counts what is held for clients, and closes connections if it is too much.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    limit : int
        Bytes that all connections of the process may hold together.
    max_descriptors : int, optional
        Connections that the process may have open, whatever they hold.
    count : callable, optional
        Counts an event by name.

    Notes
    -----
    A limit for each connection does not bound a process: their number is the clients'
    choice. Here the sum is bounded, and who holds most beyond an ordinary connection is
    refused first, so that ordinary callers are not.
    """

    def __init__(self, *, loop, limit, max_descriptors=None, count=None):
        self._loop = loop
        self._limit = limit
        self._max_descriptors = max_descriptors
        self._count = count or (lambda name: None)
        self._holders = {}
        self._held = 0
        self._peak = 0
        self._reserved = 0
        self._waiting = deque()
        self._timer = None
        self._logged_at = float("-inf")

    @property
    def held(self):
        """Bytes that are charged to all holders."""
        return self._held

    @property
    def limit(self):
        """Bytes that may be held."""
        return self._limit

    @property
    def max_connections(self):
        """Number of connections above which one is closed for each new one."""
        allowed = int(self._limit * CONNECTIONS_SHARE / CONNECTION_BYTES)
        return min(allowed, self._max_descriptors or allowed)

    @property
    def max_bodies(self):
        """Bytes that may be reserved for bodies."""
        return int(self._limit * BODIES_SHARE)

    # What holders hold

    def open(self, holder):
        """Charge a `Holder` for its connection."""
        self._holders[holder] = 0
        self.charge(holder, CONNECTION_BYTES)
        excess = len(self._holders) - self.max_connections
        if excess > 0:
            self._count("memory.connections")
            batch = max(excess, int(len(self._holders) * (1 - RELIEVED_SHARE)))
            self._shed(self._worst(), lambda shed: shed >= batch)

    def close(self, holder):
        """Forget a holder, and all that it was charged for."""
        self._held -= self._holders.pop(holder, 0)

    def charge(self, holder, size):
        """Charge a holder for further bytes, or release some if `size` is negative."""
        if holder not in self._holders:
            return
        self._holders[holder] += size
        self._held += size
        if size < 0:
            return
        self._peak = max(self._peak, self._held)
        if self._held > self._limit * WATCHED_SHARE:
            self._watch()
        if self._held > self._limit:
            self._relieve()

    def _relieve(self):
        self._count("memory.spent")
        self._log_spent()
        until = self._limit * RELIEVED_SHARE
        self._shed(self._worst(), lambda shed: self._held <= until)

    def _log_spent(self):
        now = self._loop.time()
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        log.warning(
            "The memory for clients is spent: connections are closed.",
            extra={
                "held": self._held,
                "limit": self._limit,
                "reserved": self._reserved,
                "waiting": len(self._waiting),
                "connections": len(self._holders),
            },
        )

    def _worst(self):
        """Return the holders in the order in which they are closed.

        Of equal ones the oldest is first, so that a crowd of connections does not keep
        new ones out.
        """
        holders = list(self._holders.items())
        holders.sort(key=lambda held: (-held[0].patience, -held[1]))
        return [holder for holder, _ in holders]

    def _shed(self, holders, is_enough):
        for number, holder in enumerate(holders):
            if is_enough(number):
                return
            self._count(f"memory.shed.{holder.patience.name.lower()}")
            # Its memory is freed when its task ends, in the next iterations.
            self.close(holder)
            holder.shed()

    # Bodies

    async def reserve(self, holder, size):
        """Charge a holder for a body once there is room; return what is charged.

        A body that is larger than the part of the budget for bodies gets it alone.

        Raises
        ------
        BudgetSpent
            If there is no room in time.
        """
        size = min(size, self.max_bodies)
        if self._waiting or not self._has_room(size):
            await self._wait_for_room(size)
        else:
            self._reserved += size
        self.charge(holder, size)
        if self._reserved > self.max_bodies * WATCHED_SHARE:
            self._watch()
        return size

    def _has_room(self, size):
        return self._reserved + size <= self.max_bodies

    async def _wait_for_room(self, size):
        """Wait until a body has room, which is then reserved."""
        if len(self._waiting) >= MAX_WAITING_BODIES:
            self._count("memory.body_refused")
            raise BudgetSpent
        self._watch()
        self._shed_slow()
        body = _WaitingBody(size=size, admitted=Signal(loop=self._loop))
        self._waiting.append(body)
        try:
            until = self._loop.time() + MAX_BODY_WAIT_SECONDS
            if await body.admitted.wait_until(until):
                return
            self._count("memory.body_refused")
            raise BudgetSpent
        except BaseException:
            if body.admitted.is_set():
                self._reserved -= size
            else:
                self._waiting.remove(body)
            self._admit_waiting()
            raise

    def release(self, holder, size):
        """Release what was reserved for a body."""
        self._reserved -= size
        self.charge(holder, -size)
        self._admit_waiting()

    def _admit_waiting(self):
        while self._waiting and self._has_room(self._waiting[0].size):
            body = self._waiting.popleft()
            # Counted at once: the task that waits continues in a later iteration.
            self._reserved += body.size
            body.admitted.set()

    # Periods of pressure

    def _watch(self):
        if self._timer is None:
            for holder in self._holders:
                holder.note_period()
            self._timer = self._loop.call_later(PATIENCE_SECONDS, self._end_period)

    @property
    def _is_short(self):
        return (
            self._held > self._limit * WATCHED_SHARE
            or self._reserved > self.max_bodies * WATCHED_SHARE
            or bool(self._waiting)
        )

    def _end_period(self):
        self._timer = None
        if self._is_short:
            for holder in list(self._holders):
                holder.note_period()
            if self._held > self._limit * WATCHED_SHARE or self._waiting:
                self._shed_slow()
        elif self._peak <= self._limit * FLOOD_SHARE:
            return
        elif self._held <= self._limit * CALM_SHARE:
            self._peak = self._held
            _return_freed_memory()
            return
        self._timer = self._loop.call_later(PATIENCE_SECONDS, self._end_period)

    def _shed_slow(self):
        slow = [h for h in self._holders if h.patience is Patience.SLOW]
        self._shed(slow, lambda shed: False)


class RequestMemory:
    """What a holder is charged for one request, until it is answered.

    Parameters
    ----------
    budget : MemoryBudget
        The budget of the process.
    holder : Holder
        The connection of the request.
    """

    __slots__ = ("_budget", "_charged", "_holder", "_reserved")

    def __init__(self, *, budget, holder):
        self._budget = budget
        self._holder = holder
        self._charged = self._reserved = 0

    @property
    def is_charged(self):
        """Whether the request is charged for anything."""
        return bool(self._charged or self._reserved)

    def charge(self, size):
        """Charge bytes that are there already."""
        self._charged += size
        self._budget.charge(self._holder, size)

    async def reserve(self, size):
        """Charge bytes of a body before they are received.

        Raises
        ------
        BudgetSpent
            If there is no room for them in time.
        """
        self._reserved += await self._budget.reserve(self._holder, size)

    def release(self):
        """Release all that was charged and reserved."""
        charged, self._charged = self._charged, 0
        reserved, self._reserved = self._reserved, 0
        if charged:
            self._budget.charge(self._holder, -charged)
        if reserved:
            self._budget.release(self._holder, reserved)


def _return_freed_memory():
    """Return memory that was freed, and that the C library keeps, to the system."""
    # Imported here, since most processes never need it.
    import ctypes

    # Other C libraries have no such function.
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
