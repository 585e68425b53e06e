"""Settings of one process."""

from dataclasses import dataclass, field

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
        and for backend servers or operators; empty if not used.
    peer : str
        IP:PORT for messages from other processes.
    seeds : tuple of str
        Peer addresses of some of the control hosts.
    data : str
        Data directory of a control host; empty beside a backend server.
    first_start : bool
        Whether the whole system starts for the first time, without stored data.
    losses : int
        Control hosts whose disks may be lost at the same time.
    heartbeat, longest_hold : float
        Heartbeat interval and longest lease on keys, seconds.
    retry_ratio : float
        Retry budget: retries per request that all hosts together may make.
    granting : Granting
        How keys are granted if the configuration of a service does not say.
    grace : float
        Time from the request to stop until the process is to have ended, seconds.
    link_rate : float
        Bandwidth of the network link, bytes per second; 0 if unknown.
    metrics : str
        IP:PORT where metrics are served.
    memory_bytes : int
        Memory that this process may use; 0 for all of the machine's.
    regions : dict of str to str
        Region of each availability zone of the deployment.
    order_resend : float
        How long an operator may resend an order that was not acknowledged, seconds.
    evacuation : float
        Time from the acknowledgement of a zone's evacuation until its servers must get
        no more requests, seconds.
    config_apply : float
        Time from the acknowledgement of a change of the configuration until every host
        must handle requests by it, seconds.
    cold_overage, cold_slack : float
        A cold server must get at most its tolerated rate times `cold_overage`, plus
        `cold_slack`, requests in any second.
    class_priority : bool
        Whether requests are queued and admitted by urgency class, for a service as a
        whole.
    policy : Policy
        Which mechanisms are enabled.
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
    memory_bytes: int = 0
    regions: dict = field(default_factory=dict)
    order_resend: float = 4.0
    evacuation: float = 5.0
    config_apply: float = 2.0
    cold_overage: float = 1.5
    cold_slack: float = 8.0
    class_priority: bool = False
    policy: Policy = Policy()

    @property
    def holds(self):
        """Lease timing that follows from the heartbeat interval."""
        return HoldTiming.from_heartbeat_interval(self.heartbeat, self.longest_hold)

    @property
    def wanted_voters(self):
        """Number of Raft voters needed to survive the loss of any `losses` of them."""
        return 2 * self.losses + 1
