"""Servers of one service that report their work, on a simulated clock."""

import heapq
import itertools
import random

from guavastream.control.speeds import ServerSpeeds
from guavastream.scheduling import WorkMeter

__all__ = ["SimulatedService"]

REPORT_SECONDS = 0.25


class _Server:
    def __init__(self, clock, speed, slots):
        self.speed = speed
        self.slots = slots
        self.running = 0
        self.queue = []
        self.meter = WorkMeter(clock=clock)


class SimulatedService:
    """Servers with random requests, whose work is reported every 0.25 s.

    Parameters
    ----------
    speeds : dict of str to float
        Speed of each server.
    kinds : dict of str to tuple
        Mean seconds of work and seconds of calls, by kind.
    seed : int
        Seed of the random arrivals and work.
    slots : int
        Slots of each server.
    """

    def __init__(self, speeds, kinds, *, seed=1, slots=5):
        self.now = 0.0
        self.server_speeds = ServerSpeeds(clock=lambda: self.now)
        self.servers = {
            id: _Server(lambda: self.now, speed, slots) for id, speed in speeds.items()
        }
        self.kinds = kinds
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._at(REPORT_SECONDS, self._report)
        self._arrivals = 0

    def run_for(self, seconds, rates):
        """Send requests at the given rates by server and kind."""
        self._arrivals += 1
        for (id, kind), rate in rates.items():
            self._schedule_arrival(self._arrivals, id, kind, rate)
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    def found(self):
        """Return the learned speeds by server."""
        speeds = self.server_speeds.speeds(list(self.servers))
        return {id: speed.speed for id, speed in speeds.items()}

    def _at(self, delay, action, *arguments):
        entry = (self.now + delay, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def _schedule_arrival(self, series, id, kind, rate):
        delay = self._rng.expovariate(rate)
        self._at(delay, self._arrive, series, id, kind, rate)

    def _arrive(self, series, id, kind, rate):
        if series != self._arrivals:
            return
        self._schedule_arrival(series, id, kind, rate)
        server = self.servers[id]
        server.queue.append(kind)
        # A server refuses what would wait too long.
        del server.queue[3 * server.slots :]
        self._start(server)

    def _start(self, server):
        while server.queue and server.running < server.slots:
            kind = server.queue.pop(0)
            request = next(self._numbers)
            server.running += 1
            server.meter.begin(request, kind)
            work, calls = self.kinds[kind]
            self._work(server, request, self._rng.gammavariate(3, work / 3), calls)

    def _work(self, server, request, work, calls):
        """Do work in small steps, since the speed may change meanwhile."""
        step = 0.02
        if work > 0:
            left = work - step * server.speed
            delay = step if left > 0 else work / server.speed
            self._at(delay, self._work, server, request, left, calls)
        elif calls:
            server.meter.begin_call(request)
            self._at(calls, self._end_call, server, request)
        else:
            server.meter.end(request, completed=True)
            server.running -= 1
            self._start(server)

    def _end_call(self, server, request):
        server.meter.end_call(request)
        self._work(server, request, 0.0, 0.0)

    def _report(self):
        self._at(REPORT_SECONDS, self._report)
        for id, server in self.servers.items():
            self.server_speeds.note(id, server.meter.take())
