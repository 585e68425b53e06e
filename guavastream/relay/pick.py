"""Choose a server for a request that has no key, by expected waiting time."""

import heapq
import math
from dataclasses import dataclass, field

from guavastream.kernel import Policy, record

__all__ = ["Picker", "Report", "format_report", "parse_report"]

# A report older than this says little about what waits at a server now.
REPORT_SECONDS = 1.0
# Time assumed of a request before any was measured, seconds.
USUAL_SECONDS = 0.1
# Another zone's server must be this much better to be preferred: bytes
# between zones cost, and nobody waits longer for so little.
ZONE_FACTOR = 1.08
# A request stays in its zone if a server there answers within this share of
# the time in which an answer has its full worth: nobody is served worse, and
# bytes between zones cost. For a large body, which costs more, a longer time
# is enough.
ENOUGH = 0.45
LARGE_BYTES = 10_000
ENOUGH_LARGE = 0.6
# Hosts that see the same do not all choose the same: expected times are drawn
# from within this share of what they are.
TIE_SHARE = 0.05
# Share of busy slots from which on a server is taken for slower, so that those
# with free slots are filled evenly.
BUSY_LOAD = 0.5
# Weight of the newest report in what a kind of request takes anywhere.
TYPICAL_WEIGHT = 0.05
# A failure raises a server's burden by this; it fades with each answer and
# over FADE_SECONDS, so that a server that recovers is tried again.
FAILURE_BURDEN = 0.6
FADE_SECONDS = 2.0
# A server has stopped to answer if that many requests of this process wait
# there and none was answered for this long, and for that many times what one
# takes. Fewer wait, or shorter, now and then at any server.
SILENT_REQUESTS = 4
SILENT_SECONDS = 0.4
SILENT_TIMES = 3.0
# An unreachable host is passed over for this long, growing to the longest.
FIRST_OUT_SECONDS = 0.4
LONGEST_OUT_SECONDS = 3.0
# An owner of keys that could not be reached is asked by one request of this process
# in this time; the others wait for its word.
PROBE_SECONDS = 0.05
# Of a service's servers at most this share is passed over.
MOST_OUT = 0.5
# Servers that are drawn from all of a large service when those that this host
# usually asks have all been tried or are out of reach.
DRAWN = 6
# Servers that a line of the log tells of. All 31 of a service made lines of
# 3 KB: an incident's logs then held the last third of a second.
LOGGED_SERVERS = 4


@record
class Report:
    """A server's state as the process beside it sees it.

    `seconds` is the usual time of all its requests, `of_kind` that of the kind
    that is asked about; 0 is unknown.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    seconds: float = 0.0
    of_kind: float = 0.0


def format_report(report):
    """Return a report as a header value.

    Examples
    --------
    >>> format_report(Report(running=3, slots=8, seconds=0.25, of_kind=0.04))
    b'3,0,8,250,40'
    """
    return b"%d,%d,%d,%d,%d" % (
        report.running,
        report.waiting,
        report.slots,
        int(report.seconds * 1000),
        int(report.of_kind * 1000),
    )


def parse_report(value):
    """Return the report of a header value, or None.

    Examples
    --------
    >>> parse_report(b"3,0,8,250,40").seconds, parse_report(b"x")
    (0.25, None)
    """
    try:
        running, waiting, slots, ms, kind_ms = map(int, value.split(b","))
    except ValueError:
        return None
    return Report(
        running=running,
        waiting=waiting,
        slots=max(1, slots),
        seconds=ms / 1000,
        of_kind=kind_ms / 1000,
    )


@dataclass(kw_only=True, slots=True)
class _Seen:
    report: Report
    kinds: dict = field(default_factory=dict)
    at: float = float("-inf")
    sent_since: int = 0
    mine: int = 0
    heard_at: float = float("-inf")
    burden: float = 0.0
    burden_at: float = 0.0
    out_until: float = float("-inf")
    out_for: float = 0.0
    probed_at: float = float("-inf")


class Picker:
    """What this process knows of each server, and the choice among them.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Breaks ties, so that hosts do not all choose the same server.
    zone : str
        Own availability zone.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(self, *, clock, rng, zone="", policy=None):
        self._policy = policy or Policy()
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._seen = {}
        self._typical = {}

    def draw(self, choices, avoid=frozenset(), *, here=""):
        """Return the servers to choose among for one request, a list.

        Parameters
        ----------
        choices : Choices
            Those that may get it.
        avoid : set of str
            Ids that were tried.
        here : str
            Id of the server on this host, which is always among them.

        Notes
        -----
        Those that this host usually asks, and if these have all been tried or are
        out of reach, some others: a zone may be gone. Then all that are left.
        """
        if len(choices.few) == len(choices.all):
            return [server for server in choices.all if server.id not in avoid]
        found = self._reachable(choices.few, avoid)
        local = choices.by_id.get(here)
        if local is not None and here not in avoid and local not in found:
            found.append(local)
        if not found:
            drawn = self._rng.sample(choices.all, DRAWN)
            found = self._reachable(drawn, avoid)
        return found or [s for s in choices.all if s.id not in avoid]

    def _reachable(self, servers, avoid):
        """Return the servers that were not tried and are not out of reach."""
        now = self._clock()
        return [
            server
            for server in servers
            if server.id not in avoid and self._of(server).out_until <= now
        ]

    def _of(self, server):
        seen = self._seen.get(server.id)
        if seen is None:
            report = Report(slots=max(1, server.slots))
            seen = self._seen[server.id] = _Seen(report=report)
        return seen

    def choose(
        self, servers, avoid=frozenset(), *, kind="", size=0, target=0.0, here=""
    ):
        """Return the server with the least expected time, or None.

        Parameters
        ----------
        servers : list of Instance
            Those that may get the request.
        avoid : set of str
            Ids that were tried.
        kind : str
            Requests of one kind take about the same time.
        size : int
            Bytes of the request's body.
        target : float
            Seconds in which an answer has its full worth.
        here : str
            Id of the server on this host, which needs no hop to another one.
        """
        fresh = [s for s in servers if s.id not in avoid]
        pool = self._without_out(fresh)
        if not pool:
            return None
        enough = target * (ENOUGH_LARGE if size >= LARGE_BYTES else ENOUGH)
        best, least = None, math.inf
        nearest, least_near = None, math.inf
        now = self._clock()
        for server in pool:
            time = self._expected(server, kind, now)
            if server.id == here and time <= enough and self._policy.near:
                return server
            if time < least:
                best, least = server, time
            if server.zone == self._zone and time < least_near:
                nearest, least_near = server, time
        stays = least_near <= enough and self._policy.near
        return nearest if stays else best

    def _without_out(self, servers):
        now = self._clock()
        kept = [s for s in servers if self._of(s).out_until <= now]
        # Beyond this share the fault is more likely ours than theirs.
        if len(kept) < len(servers) * (1 - MOST_OUT):
            return servers
        return kept

    def _expected(self, server, kind, now):
        """Return the expected time of a request there, seconds.

        Notes
        -----
        Its own time and the wait are told apart. A server that mostly got
        short requests would else look fast, get them all, and those that got
        the long ones would stand by.
        """
        seen = self._of(server)
        report = seen.report
        there = seen.mine
        if now - seen.at < REPORT_SECONDS:
            there = max(there, report.running + report.waiting + seen.sent_since)
        mean = report.seconds or USUAL_SECONDS
        load = (there + 1) / report.slots
        time = mean
        if self._policy.kinds:
            time = seen.kinds.get(kind) or self._typical.get(kind) or mean
        time *= 1 + max(0.0, min(load, 1.0) - BUSY_LOAD)
        time += mean * max(0.0, load - 1.0)
        time = max(time, self._silence(seen, now))
        if seen.burden:
            time *= 1 + seen.burden * math.exp((seen.burden_at - now) / FADE_SECONDS)
        if server.zone != self._zone:
            time *= ZONE_FACTOR
        return time * (1 - TIE_SHARE + 2 * TIE_SHARE * self._rng.random())

    def _silence(self, seen, now):
        """Return for how long requests have been there without any answer.

        Notes
        -----
        A server that froze or went dark fails nothing; its requests wait out
        their time. How long it has been silent already is the best guess at
        how long it will stay so.
        """
        if not seen.mine or not self._policy.silence:
            return 0.0
        return now - seen.heard_at

    def is_silent(self, server, kind):
        """Whether a server has stopped to answer, as far as can be told.

        One request may take long; several without any answer for many times
        their usual time do not.
        """
        seen = self._of(server)
        if seen.mine < SILENT_REQUESTS:
            return False
        usual = seen.kinds.get(kind) or self._typical.get(kind) or USUAL_SECONDS
        silence = self._silence(seen, self._clock())
        return silence > max(SILENT_SECONDS, SILENT_TIMES * usual)

    def weighed(self, servers, kind):
        """Return the best servers as they are known now, for the log.

        Returns
        -------
        list of dict
            At most LOGGED_SERVERS, the one with the least expected time first.
        """
        now = self._clock()
        times = [(self._expected(server, kind, now), server) for server in servers]
        best = heapq.nsmallest(LOGGED_SERVERS, times, key=lambda pair: pair[0])
        return [
            {
                "server": server.id,
                "expected_ms": int(1000 * time),
                "mine": self._of(server).mine,
                "report_ms": int(1000 * min(now - self._of(server).at, 1e6)),
            }
            for time, server in best
        ]

    def begin(self, server):
        """Note a request on its way to a server."""
        seen = self._of(server)
        if not seen.mine:
            seen.heard_at = self._clock()
        seen.mine += 1
        seen.sent_since += 1

    def end(self, server):
        """Note that a request is over."""
        self._of(server).mine -= 1

    def note_report(self, server, report, *, kind=""):
        """Take what came with an answer to a request of a kind."""
        seen = self._of(server)
        if report.of_kind:
            seen.kinds[kind] = report.of_kind
            before = self._typical.get(kind, report.of_kind)
            change = TYPICAL_WEIGHT * (report.of_kind - before)
            self._typical[kind] = before + change
        seen.report = report
        seen.at = seen.heard_at = self._clock()
        seen.sent_since = 0

    def note_answer(self, server, *, failed):
        """Judge a server by an answer, whatever its health check says."""
        seen = self._of(server)
        now = self._clock()
        left = seen.burden * math.exp((seen.burden_at - now) / FADE_SECONDS)
        if self._policy.burden:
            seen.burden = left + FAILURE_BURDEN if failed else left * 0.8
        seen.burden_at = now
        if not failed:
            seen.heard_at = now
            seen.out_for = 0.0

    def may_ask(self, server):
        """Whether a request may be sent to the only server that it can go to.

        One that could not be reached is asked by one request at a time: some hundred
        that wait for the same owner would each ask it some thirty times a second.
        """
        seen = self._of(server)
        if not seen.out_for:
            return True
        now = self._clock()
        if now - seen.probed_at < PROBE_SECONDS:
            return False
        seen.probed_at = now
        return True

    def note_reached(self, server):
        """Note that a server's host has answered, whatever it said."""
        self._of(server).out_for = 0.0

    def note_unreachable(self, server):
        """Pass over a server that could not be reached, for a growing time."""
        seen = self._of(server)
        longer = max(FIRST_OUT_SECONDS, 2 * seen.out_for)
        seen.probed_at = self._clock()
        seen.out_for = min(LONGEST_OUT_SECONDS, longer)
        seen.out_until = self._clock() + seen.out_for

    def keep_only(self, ids):
        """Forget servers that are gone."""
        for id in [id for id in self._seen if id not in ids]:
            del self._seen[id]
