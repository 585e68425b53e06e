"""What all servers of a process share: memory for clients, and turns on the loop."""

import os
import resource

from guavastream.http1.memory import MemoryBudget
from guavastream.http1.turns import TurnQueue

__all__ = ["Capacity"]

# Share of a machine's memory that its process may hold for clients. The rest is for the
# process itself, for what the allocator can't reuse, and for data in transit.
CLIENTS_SHARE = 0.3
# Share of a process's descriptors for connections of clients. The rest is for its own
# connections and files.
DESCRIPTORS_SHARE = 0.5


class Capacity:
    """Memory and turns of one process.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    machine_bytes : int, optional
        Memory that the process may use, in bytes; by default that of the machine.
    count : callable, optional
        Counts an event by name.
    """

    def __init__(self, *, loop, machine_bytes=0, count=None):
        machine_bytes = machine_bytes or _physical_bytes()
        self._memory = MemoryBudget(
            loop=loop,
            limit=int(machine_bytes * CLIENTS_SHARE),
            max_descriptors=_client_descriptors(),
            count=count,
        )
        self._turns = TurnQueue(loop=loop)

    @property
    def memory(self):
        """The `MemoryBudget`."""
        return self._memory

    @property
    def turns(self):
        """The `TurnQueue`."""
        return self._turns


def _physical_bytes():
    """Return the memory of the machine in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def _client_descriptors():
    """Return how many descriptors clients may use, None if there is no limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else int(limit * DESCRIPTORS_SHARE)
