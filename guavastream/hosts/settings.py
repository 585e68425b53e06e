"""What one process of a fleet is told at its start."""

from dataclasses import dataclass

from guavastream.kernel import Policy
from guavastream.leases import HoldTiming
from guavastream.routes import Granting

__all__ = ["FleetSettings"]


@dataclass(frozen=True, kw_only=True)
class FleetSettings:
    """Settings of a process beside a backend server, or of a control host.

    Parameters
    ----------
    host, zone : str
        Name of this host and its availability zone.
    service : str
        Service of the backend server beside this process.
    outbound, inbound, ready, api : str
        IP:PORT for local callers, for other hosts, for the readiness check,
        and for backend servers or operators; empty where there is none.
    peer : str
        IP:PORT of this control host for other processes.
    seeds : tuple of str
        Peer addresses of some control hosts.
    data : str
        Data folder of a control host.
    first_start : bool
        Whether the whole system starts for the first time.
    losses : int
        Disks that may be lost at once.
    heartbeat, longest_hold : float
        Interval of heartbeats and longest hold of keys, seconds.
    retry_ratio : float
        Second tries that all hosts may make for each request.
    granting : Granting
        How servers are granted keys where the configuration does not say.
    grace : float
        Time between a request to stop and the end, seconds.
    link_rate : float
        Bytes a second that the link of this host passes, 0 if not known.
    metrics : str
        IP:PORT where counters are served.
    policy : Policy
        Mechanisms that are in force.
    """

    host: str
    zone: str
    service: str = ""
    outbound: str = ""
    inbound: str = ""
    ready: str = ""
    api: str = ""
    peer: str = ""
    seeds: tuple[str, ...] = ()
    data: str = ""
    first_start: bool = False
    losses: int = 0
    heartbeat: float = 1.0
    longest_hold: float = 10.0
    retry_ratio: float = 0.2
    granting: Granting = Granting.HEARTBEAT
    grace: float = 6.0
    link_rate: float = 0.0
    metrics: str = ""
    policy: Policy = Policy()

    @property
    def holds(self):
        """Times of holds for these heartbeats."""
        return HoldTiming.from_heartbeat_interval(self.heartbeat, self.longest_hold)

    @property
    def wanted_voters(self):
        """Voters of which any `losses` may go."""
        return 2 * self.losses + 1
