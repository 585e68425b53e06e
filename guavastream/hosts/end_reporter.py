"""Tells the leader which lives of the local server ended, and under what."""

import asyncio

from guavastream.exception import GuavastreamError
from guavastream.fleet import ReportAnswered, ReportEnd
from guavastream.kernel import Signal, TimeLimit

__all__ = ["EndReporter"]

# Answers to suspect requests are told together; an end is told at once.
GATHER_SECONDS = 0.2
CALL_SECONDS = 0.85
RETRY_SECONDS = 0.1
# Ends that wait to be told, while no control host can be reached.
MOST_ENDS = 64


class EndReporter:
    """Reports until a control host that leads has taken the report.

    Parameters
    ----------
    control : ControlClient
        Reaches the leader.
    host : str
        Name of this host.
    count : callable
        Counts an event by name.
    """

    def __init__(self, *, control, host, count):
        self._control = control
        self._host = host
        self._count = count
        self._loop = asyncio.get_running_loop()
        self._ends = {}
        self._answered = {}
        self._due = Signal(loop=self._loop)

    def note_end(self, instance, requests):
        """Note that a life of the local server has ended while it had `requests`."""
        self._count("servers_ended")
        self._ends[instance.id] = ReportEnd(
            id=instance.id,
            service=instance.service,
            host=self._host,
            requests=requests,
            version=instance.version,
        )
        while len(self._ends) > MOST_ENDS:
            del self._ends[next(iter(self._ends))]
        self._due.set()

    def note_answered(self, print, instance):
        """Note that the local server has answered a suspect request."""
        self._count("suspects_cleared")
        place = (instance.service, instance.version)
        self._answered.setdefault(place, set()).add(print)
        self._due.set()

    async def run(self):
        """Report until cancelled."""
        while True:
            await self._due.wait()
            self._due.clear()
            while self._ends:
                await self._tell_ends()
            if self._answered:
                await self._gather()
                await self._tell_answered()

    async def _gather(self):
        """Wait for further answers, but for no longer than until an end."""
        try:
            with TimeLimit.within(GATHER_SECONDS, loop=self._loop):
                while not self._ends:
                    await self._due.wait()
                    self._due.clear()
        except TimeoutError:
            pass
        if self._ends:
            self._due.set()

    async def _tell_ends(self):
        for id, report in list(self._ends.items()):
            if await self._call(report):
                self._ends.pop(id, None)
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _tell_answered(self):
        """Tell once: what is not cleared now is cleared by its next answer."""
        answered, self._answered = self._answered, {}
        for (service, version), prints in answered.items():
            report = ReportAnswered(
                requests=tuple(prints), service=service, version=version
            )
            await self._call(report)

    async def _call(self, report):
        try:
            await self._control.call(report, timeout=CALL_SECONDS)
        except GuavastreamError:
            return False
        return True
