"""Reports to the leader that the local server leaves, has ended, and what it ran."""

import asyncio

from guavastream.exception import GuavastreamError
from guavastream.fleet import Depart, ReportAnswered, ReportEnd
from guavastream.kernel import Signal, TimeLimit

__all__ = ["EndReporter"]

# Answered suspect requests are reported in batches, ends of a server immediately.
BATCH_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 0.85
RETRY_SECONDS = 0.1
# Ends kept while no control host can be reached; the oldest are dropped.
MAX_PENDING_ENDS = 64


class EndReporter:
    """Retries each report of a departure or an end until the leader has accepted it.

    Parameters
    ----------
    control : ControlClient
        Calls the leader.
    host : str
        Name of this host.
    count : callable
        Increments the counter of the given name.
    """

    def __init__(self, *, control, host, count):
        self._control = control
        self._host = host
        self._count = count
        self._loop = asyncio.get_running_loop()
        self._pending_ends = {}
        self._pending_answered = {}
        self._pending = Signal(loop=self._loop)

    def record_departure(self, instance):
        """Record that the answers of the server say that it is about to stop."""
        self._pending_ends.setdefault(instance.id, Depart(id=instance.id))
        self._pending.set()

    def record_end(self, instance, requests):
        """Record that an incarnation of the server ended while it ran `requests`."""
        self._count("servers_ended")
        self._pending_ends[instance.id] = ReportEnd(
            id=instance.id,
            service=instance.service,
            host=self._host,
            requests=requests,
            version=instance.version,
        )
        while len(self._pending_ends) > MAX_PENDING_ENDS:
            del self._pending_ends[next(iter(self._pending_ends))]
        self._pending.set()

    def record_answered(self, fingerprint, instance):
        """Record that the local server has answered a suspect request."""
        self._count("suspects_cleared")
        service_version = (instance.service, instance.version)
        self._pending_answered.setdefault(service_version, set()).add(fingerprint)
        self._pending.set()

    async def run(self):
        """Send reports until cancelled."""
        while True:
            await self._pending.wait()
            self._pending.clear()
            while self._pending_ends:
                await self._report_ends()
            if self._pending_answered:
                await self._wait_for_batch()
                await self._report_answered()

    async def _wait_for_batch(self):
        """Wait for further answered requests, or until an end is to be reported."""
        try:
            with TimeLimit.within(BATCH_SECONDS, loop=self._loop):
                while not self._pending_ends:
                    await self._pending.wait()
                    self._pending.clear()
        except TimeoutError:
            pass
        if self._pending_ends:
            self._pending.set()

    async def _report_ends(self):
        for id, report in list(self._pending_ends.items()):
            if await self._send_report(report):
                # An end may have been recorded after the departure that was reported.
                if self._pending_ends.get(id) is report:
                    del self._pending_ends[id]
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _report_answered(self):
        """Send a report once per service version, without retries.

        A request whose report is lost is cleared the next time it is answered.
        """
        answered, self._pending_answered = self._pending_answered, {}
        for (service, version), fingerprints in answered.items():
            report = ReportAnswered(
                requests=tuple(fingerprints), service=service, version=version
            )
            await self._send_report(report)

    async def _send_report(self, report):
        try:
            await self._control.call(report, timeout=CALL_TIMEOUT_SECONDS)
        except GuavastreamError:
            return False
        return True
