"""Reports to the leader how many requests each key gets, and what limits the server."""

import asyncio
import contextlib

from guavastream.exception import GuavastreamError
from guavastream.fleet import REPORT_SECONDS, LoadReport, report_interval
from guavastream.hosts.surges import SurgeDetector
from guavastream.routes import has_mixed_work

__all__ = ["LoadReporter"]

# Timeout of a report.
TIMEOUT_SECONDS = 0.25
MAX_REPORTED_KEYS = 400


class LoadReporter:
    """Sends load reports of one host at regular intervals.

    Parameters
    ----------
    control : ControlClient
        Calls the leader.
    holder : TableHolder
        Holds the newest fleet state.
    guard : Guard
        Counts the requests for the local server.
    ingress : Ingress
        Counts the requests that it refuses for limited servers.
    door : str
        Address of this process, by which it knows the local server.
    class_priority : bool
        Whether the settings demand that urgent classes have priority.
    """

    def __init__(self, *, control, holder, guard, ingress, door, class_priority=False):
        self._class_priority = class_priority
        self._surges = SurgeDetector(interval=REPORT_SECONDS)
        self._control = control
        self._holder = holder
        self._guard = guard
        self._ingress = ingress
        self._door = door
        # Whether the last report that arrived told of a limit of the local server.
        self._was_limited = False

    async def run(self):
        """Send reports until cancelled."""
        while True:
            await self._wait_for_turn()
            local = self._report_local()
            if local is not None and await self._send(local):
                self._was_limited = local.rate_limit is not None
            for report in self._report_refused():
                await self._send(report)

    async def _wait_for_turn(self):
        """Wait until the next report is due, or until the load of the server surges."""
        left = report_interval(len(self._holder.table.instances))
        if left <= REPORT_SECONDS or not self._reports_early():
            await asyncio.sleep(left)
            return
        counted = self._guard.counted_requests
        while left > 0:
            pause = min(left, REPORT_SECONDS)
            await asyncio.sleep(pause)
            left -= pause
            count = self._guard.counted_requests - counted
            counted += count
            if self._surges.check(count=count, seconds=self._guard.report().seconds):
                return

    def _reports_early(self):
        """Whether keys of the local server must be moved early."""
        local = self._local_instance()
        table = self._holder.table
        rules = local and table.config.services.get(local.service)
        if not rules or not rules.keyed:
            return False
        return self._class_priority or has_mixed_work(
            table.config, local.service, local.slots
        )

    def _local_instance(self):
        """Return the newest instance of the local server, or None."""
        instances = self._holder.table.instances.values()
        local = [instance for instance in instances if instance.door == self._door]
        return local[-1] if local else None

    async def _send(self, report):
        """Send a report; return whether it arrived. A lost one is not sent again."""
        with contextlib.suppress(GuavastreamError):
            await self._control.call(report, timeout=TIMEOUT_SECONDS)
            return True
        return False

    def _report_local(self):
        """Return the report of the local server, or None if there is nothing to say."""
        counts = self._guard.take_key_counts()
        instance = self._local_instance()
        if instance is None:
            return None
        rate_limit = self._guard.named_rate(instance.id)
        # A server without keys gets no requests to count, and has to say that it is
        # limited, and once more that it no longer is.
        if not counts and rate_limit is None and not self._was_limited:
            return None
        return _make_report(
            counts,
            id=instance.id,
            service=instance.service,
            latency=self._guard.report().seconds,
            rate_limit=rate_limit,
            work=self._guard.take_work(),
        )

    def _report_refused(self):
        """Return reports of requests that were refused here for limited servers.

        The processes beside those servers do not see them.
        """
        refused = self._ingress.take_refused_keys()
        return [
            _make_report(counts, id="", service=service)
            for service, counts in refused.items()
        ]


def _make_report(counts, *, id, service, latency=0.0, rate_limit=None, work=()):
    """Return the `LoadReport` of a number of requests by key."""
    busiest = sorted(counts.items(), key=lambda item: -item[1])
    return LoadReport(
        id=id,
        service=service,
        keys=tuple(busiest[:MAX_REPORTED_KEYS]),
        other_count=sum(count for _, count in busiest[MAX_REPORTED_KEYS:]),
        latency=latency,
        rate_limit=rate_limit,
        work=work,
    )
