"""The servers of each service, and the subset of them that one host uses."""

from heapq import nlargest

import msgspec
import xxhash

from guavastream.kernel import record

__all__ = ["Choices", "ServerLists"]

# Up to this number of servers all are compared for each request. A choice among 101
# servers took 297 us of processor time, one among 12 took 57 us.
MAX_COMPARED = 12
# Size of the subset of a large service that one host uses: servers in its zone, which
# suffice in normal operation, and others for failures of the zone. The subset stays
# the same, so that connections are reused (with a new sample for each request, nearly
# all of 113 requests of a host opened a connection) and reports are recent (with all
# 74 servers of a service, each reports twice a minute; with ten of them, every few
# seconds).
NEAR_SERVERS = 6
FAR_SERVERS = 4


@record(encoded_names={"subset": "few"})
class Choices:
    """Servers of one service that may get requests.

    Parameters
    ----------
    all : tuple of Instance
        All of them.
    subset : tuple of Instance
        Those that this host uses: all of them, or a small subset that stays the same.
    by_id : dict of str to Instance
        All of them, by ID.
    """

    all: tuple = ()
    subset: tuple = ()
    by_id: dict = msgspec.field(default_factory=dict)


class ServerLists:
    """Server lists by service, computed once for each set of instances.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.
    sampled : bool
        Whether only a subset of the servers of a large service is used.
    regions : dict of str to str, optional
        Region of each availability zone.

    Notes
    -----
    The subset is chosen by rendezvous hashing: it has the servers for which the hash
    of the pair of host and server is highest. Each server is in the subsets of about
    as many hosts as any other. When servers come and go, a host replaces only the
    servers that are gone or that rank below a new one.

    References
    ----------
    .. [1] D. G. Thaler, C. V. Ravishankar, "Using Name-Based Mappings to Increase
       Hit Rates", IEEE/ACM Transactions on Networking 6, 1998.
    .. [2] B. Beyer et al., "Site Reliability Engineering", O'Reilly 2016, chapter
       20, on subsets of backends.
    """

    def __init__(self, *, host, zone, sampled=True, regions=None):
        self._regions = regions or {}
        self._host = host
        self._zone = zone
        self._sampled = sampled
        self._instances = None
        self._lists = {}
        self._ranks = {}

    def of(self, instances, service, regions=()):
        """Return the `Choices` of a service.

        Parameters
        ----------
        instances : dict of str to Instance
            All present instances by ID. Cached lists are used as long as this is the
            same object, so pass a new dict whenever an instance changes.
        service : str
            Name of the service.
        regions : tuple of str
            Regions whose servers may be chosen; all regions if it is empty.
        """
        if instances is not self._instances:
            self._instances = instances
            self._lists = {}
            self._ranks = {id: r for id, r in self._ranks.items() if id in instances}
        found = self._lists.get((service, regions))
        if found is None:
            found = self._lists[service, regions] = self._make(service, regions)
        return found

    def allows(self, server, regions):
        """Return whether a server may get requests that are limited to regions.

        A server in a zone whose region is not known may not get any of them.
        """
        return not regions or self._regions.get(server.zone) in regions

    def _make(self, service, regions):
        servers = tuple(
            instance
            for instance in self._instances.values()
            if instance.service == service
            and instance.accepts_work
            and self.allows(instance, regions)
        )
        subset = servers
        if self._sampled and len(servers) > MAX_COMPARED:
            subset = self._subset(servers)
        by_id = {server.id: server for server in servers}
        return Choices(all=servers, subset=subset, by_id=by_id)

    def _subset(self, servers):
        near = [server for server in servers if server.zone == self._zone]
        far = [server for server in servers if server.zone != self._zone]
        chosen = nlargest(NEAR_SERVERS, near, key=self._rank)
        wanted = NEAR_SERVERS + FAR_SERVERS - len(chosen)
        return (*chosen, *nlargest(wanted, far, key=self._rank))

    def _rank(self, server):
        """Return the hash of the pair of this host and a server."""
        rank = self._ranks.get(server.id)
        if rank is None:
            pair = f"{self._host} {server.id}".encode()
            rank = self._ranks[server.id] = xxhash.xxh3_64_intdigest(pair)
        return rank
