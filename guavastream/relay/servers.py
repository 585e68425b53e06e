"""The servers of each service, and the few of them that one host asks."""

from heapq import nlargest

import msgspec
import xxhash

from guavastream.kernel import record

__all__ = ["Choices", "ServerLists"]

# A service with more servers than this is not looked at whole for each request: a
# choice among 101 servers took 297 us of a processor, one among 12 took 57.
ALL_WEIGHED = 12
# Servers of a large service that one host asks: nearby ones, which are enough while
# all is well, and others for when the zone is in trouble. Always the same ones, so
# that connections to them are used again (of 113 requests of a host that drew anew
# each time, nearly all opened one) and what they report is news: with all 74 of a
# service each is heard of twice a minute, with ten of them every few seconds.
NEAR_SERVERS = 6
FAR_SERVERS = 4


@record
class Choices:
    """Servers of one service that may get requests.

    Parameters
    ----------
    all : tuple of Instance
        All of them.
    few : tuple of Instance
        Those that this host asks: all, or a small part that is the same each time.
    by_id : dict of str to Instance
        All, by their ids.
    """

    all: tuple = ()
    few: tuple = ()
    by_id: dict = msgspec.field(default_factory=dict)


class ServerLists:
    """Lists of servers, made once for each set of instances in the book.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    sampled : bool
        Whether a large service is asked by a few servers of it only.

    Notes
    -----
    The few are those with the highest hash of the pair of host and server. Each
    server is among the few of about as many hosts as any other, and when servers
    come and go a host replaces only those that went, or that a new one outranks.

    References
    ----------
    .. [1] D. G. Thaler, C. V. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6, 1998.
    .. [2] B. Beyer et al., "Site Reliability Engineering", O'Reilly 2016, chapter
       20, on subsets of backends.
    """

    def __init__(self, *, host, zone, sampled=True):
        self._host = host
        self._zone = zone
        self._sampled = sampled
        self._instances = None
        self._lists = {}
        self._ranks = {}

    def of(self, instances, service):
        """Return the `Choices` of a service.

        Parameters
        ----------
        instances : dict of str to Instance
            All that are present; a new dict whenever one changes.
        service : str
            Name of the service.
        """
        if instances is not self._instances:
            self._instances = instances
            self._lists = {}
            self._ranks = {id: r for id, r in self._ranks.items() if id in instances}
        found = self._lists.get(service)
        if found is None:
            found = self._lists[service] = self._make(service)
        return found

    def _make(self, service):
        servers = tuple(
            instance
            for instance in self._instances.values()
            if instance.service == service and not instance.leaving
        )
        few = servers
        if self._sampled and len(servers) > ALL_WEIGHED:
            few = self._few(servers)
        by_id = {server.id: server for server in servers}
        return Choices(all=servers, few=few, by_id=by_id)

    def _few(self, servers):
        near = [server for server in servers if server.zone == self._zone]
        far = [server for server in servers if server.zone != self._zone]
        chosen = nlargest(NEAR_SERVERS, near, key=self._rank)
        wanted = NEAR_SERVERS + FAR_SERVERS - len(chosen)
        return (*chosen, *nlargest(wanted, far, key=self._rank))

    def _rank(self, server):
        rank = self._ranks.get(server.id)
        if rank is None:
            pair = f"{self._host} {server.id}".encode()
            rank = self._ranks[server.id] = xxhash.xxh3_64_intdigest(pair)
        return rank
