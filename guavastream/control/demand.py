"""What the leader knows of one keyed service: rates of its keys, speeds of servers."""

from guavastream.control.forecast import ForecastLoads
from guavastream.control.loads import Loads
from guavastream.control.speeds import ServerSpeeds
from guavastream.fleet import REPORT_SECONDS
from guavastream.kernel import part_logger
from guavastream.routes import has_mixed_work

__all__ = ["ServiceDemand"]

# Interval at which the speeds of unchanged servers are updated, about that of the load
# reports; with 300 servers an update takes milliseconds.
UPDATE_INTERVAL_SECONDS = 0.2
# Age up to which forecast loads are used again. While keys are handed over, plans are
# made 20 times a second to grant free ranges, and a forecast takes milliseconds.
MAX_FORECAST_AGE_SECONDS = 0.1
# Number of servers, those farthest from the mean speed, in a log line.
MAX_LOGGED_SERVERS = 8

log = part_logger("grants")


class ServiceDemand:
    """Collects the load reports of one service.

    Servers' speeds are learned in any case. They decide only while `is_active`, which
    `update` sets: if the service has mixed work, if classes have priority, or if the
    servers have proved to be uneven.

    Parameters
    ----------
    name : str
        Name of the service.
    clock : callable
        Monotonic time in seconds.
    class_priority : bool
        Whether the settings demand that urgent classes have priority.
    policy : Policy, optional
        Enabled mechanisms.
    set_gauge, unset_gauge : callable, optional
        Set a gauge by name and value; remove it by name.
    """

    def __init__(
        self,
        *,
        name,
        clock,
        class_priority=False,
        policy=None,
        set_gauge=lambda name, value: None,
        unset_gauge=lambda name: None,
    ):
        self._name = name
        self._class_priority = class_priority
        self._set_gauge = set_gauge
        self._unset_gauge = unset_gauge
        self._gauges = set()
        self._clock = clock
        self._policy = policy
        # Created by the first report, whose time it starts at.
        self._loads = None
        self._forecast, self._forecast_at = None, float("-inf")
        self._server_speeds = ServerSpeeds(clock=clock)
        self._config_version = self._mixed = None
        self._reason = None
        self._speeds = {}
        self._ids = None
        self._updated_at = float("-inf")

    @property
    def is_active(self):
        """Whether learned speeds decide about the keys of the service."""
        return self._reason is not None

    def note(self, report, *, interval=REPORT_SECONDS):
        """Take in a `LoadReport`, given the usual seconds between two of a server."""
        if self._loads is None:
            self._loads = ForecastLoads(clock=self._clock, policy=self._policy)
        if self.is_active:
            self._loads.note_report(
                report.id, report.keys, report.other_count, interval=interval
            )
        else:
            # Rates by server are kept only while forecasts drop those of old servers.
            self._loads.note(report.keys, report.other_count)
        if report.id:
            self._server_speeds.note(report.id, report.work)

    def update(self, config, servers, known=()):
        """Find out whether learned speeds decide, and update them.

        Parameters
        ----------
        config : RouteConfig
            The configuration in force.
        servers : list of Instance
            The servers of the service that may hold keys.
        known : iterable of str
            Ids of further servers whose speeds are not to be forgotten.
        """
        ids = {server.id for server in servers}
        now = self._clock()
        if ids == self._ids and now - self._updated_at < UPDATE_INTERVAL_SECONDS:
            return
        self._ids, self._updated_at = ids, now
        self._server_speeds.keep_only(ids.union(known))
        slots = max((server.slots for server in servers), default=1)
        if self._config_version != (config.version, slots):
            self._config_version = config.version, slots
            self._mixed = has_mixed_work(config, self._name, slots)
        uneven = self._server_speeds.update_uneven(ids)
        reason = None
        if self._class_priority:
            reason = "class_priority"
        elif self._mixed:
            reason = "mixed_work"
        elif uneven:
            reason = "uneven_servers"
        changed, self._reason = reason != self._reason, reason
        self._speeds = self._server_speeds.speeds(sorted(ids)) if reason else {}
        if changed:
            log.info(
                "Learned speeds of servers decide."
                if reason
                else "Learned speeds of servers no longer decide.",
                extra={
                    "service": self._name,
                    "reason": reason,
                    "ratio": self._server_speeds.uneven_ratio(ids),
                    "speeds": self.describe_speeds(),
                },
            )
        self._update_gauges()

    def clear_gauges(self):
        """Remove the gauges, since this control host no longer decides."""
        for name in self._gauges:
            self._unset_gauge(name)
        self._gauges = set()

    def current_loads(self):
        """Return the `Loads` of the keys, forecast while learned speeds decide."""
        if self._loads is None:
            return Loads()
        if self.is_active:
            now = self._clock()
            if now - self._forecast_at >= MAX_FORECAST_AGE_SECONDS:
                self._forecast, self._forecast_at = self._loads.forecast(), now
            return self._forecast
        return self._loads.current_loads()

    def request_seconds(self):
        """Return the time of a request by server, None unless learned speeds decide."""
        if not self.is_active:
            return None
        return self._server_speeds.request_seconds(self._speeds)

    def describe_speeds(self, ids=None):
        """Return speeds and ages of reports for a log line, by server.

        Those of `ids`, or of the servers farthest from the mean if it is None.
        """
        if ids is None:
            ids = sorted(
                self._speeds, key=lambda id: -abs(1 - 1 / self._speeds[id].speed)
            )
        return {
            id: {
                "speed": round(self._speeds[id].speed, 2),
                "changed": self._speeds[id].changed,
                "age_ms": _milliseconds(self._speeds[id].age),
            }
            for id in list(ids)[:MAX_LOGGED_SERVERS]
            if id in self._speeds
        }

    def _update_gauges(self):
        gauges = {
            f'server_speed{{service="{self._name}",server="{id}"}}': speed.speed
            for id, speed in self._speeds.items()
        }
        for name, value in gauges.items():
            self._set_gauge(name, round(value, 3))
        for name in self._gauges - gauges.keys():
            self._unset_gauge(name)
        self._gauges = set(gauges)


def _milliseconds(seconds):
    """Return whole milliseconds; None for infinite seconds."""
    return None if seconds == float("inf") else round(seconds * 1000)
