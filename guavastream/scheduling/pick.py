"""Chooses a server for a request without a key, by expected response time."""

import heapq
import math
from dataclasses import dataclass, field

from guavastream.kernel import Policy, record
from guavastream.scheduling.departures import Departures

__all__ = ["Picker", "Report", "format_report", "parse_report"]

# A report older than this says little about the requests that wait at a server now.
REPORT_VALID_SECONDS = 1.0
# Estimated time of a request while there are no samples.
DEFAULT_SECONDS = 0.1
# Factor on the expected time of a server in another zone. Traffic between zones costs
# money, and callers do not notice a delay of this size.
CROSS_ZONE_FACTOR = 1.08
# A request stays in its zone if a server there is expected to answer within this share
# of the target time: the answer keeps its full value, and traffic between zones costs
# money. Large bodies cost more, so for them a longer time is accepted.
LOCAL_TARGET_SHARE = 0.45
LARGE_BYTES = 10_000
LARGE_LOCAL_TARGET_SHARE = 0.6
# Expected times vary randomly by up to this share, so that hosts with the same
# information do not all choose the same server.
JITTER_SHARE = 0.05
# Share of busy slots above which a server is expected to be slower, so that servers
# with free slots are filled evenly.
BUSY_LOAD = 0.5
# Weight of the newest report in the average time of a kind of request on all servers.
KIND_AVERAGE_WEIGHT = 0.05
# Added to a server's penalty by each failure. The penalty decays with each success
# and with a time constant of PENALTY_DECAY_SECONDS, so that a server is tried again
# after it has recovered.
FAILURE_PENALTY = 0.6
PENALTY_DECAY_SECONDS = 2.0
# A server is unresponsive if at least SILENT_REQUESTS requests of this process are in
# flight there and it has answered none for SILENT_SECONDS and for SILENT_TIMES times
# the usual time of such a request. Fewer unanswered requests, or a shorter silence,
# occur now and then at any server.
SILENT_REQUESTS = 4
SILENT_SECONDS = 0.4
SILENT_TIMES = 3.0
# Backoff of an unreachable server: the first and the longest time without requests.
MIN_BACKOFF_SECONDS = 0.4
MAX_BACKOFF_SECONDS = 3.0
# Interval between requests of this process to an unreachable owner of keys; other
# requests wait for the outcome.
PROBE_SECONDS = 0.05
# A server whose answers broke off, or were none, this many times in a row is skipped
# like an unreachable one. Single answers are lost at any server.
BROKEN_ANSWERS = 3
# Largest share of a service's servers that is skipped as unreachable.
MAX_SKIPPED_SHARE = 0.5
# Size of the random sample from a large service that is used when all servers of this
# host's subset have been tried or are unreachable.
SAMPLED_SERVERS = 6
# Number of servers in one log record. With all 31 servers of a service, a record took
# 3 KB, and the log held only the last third of a second of an incident.
LOGGED_SERVERS = 4


@record
class Report:
    """State of a server as seen by the process beside it.

    Parameters
    ----------
    running, waiting : int
        Number of requests at the server and in the queue before it.
    slots : int
        Number of requests that the server runs concurrently.
    seconds : float
        Average time of all requests, 0 if unknown.
    of_kind : float
        Average time of the kind of request that was answered, 0 if unknown.
    wait : float or None
        Time until the server may get another request; None if it is not limited.
    most_urgent_wait, least_urgent_wait : float or None
        Expected time until a request of the most and of the least urgent class gets a
        slot, seconds; None if the server reserves none.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 1
    seconds: float = 0.0
    of_kind: float = 0.0
    wait: float | None = None
    most_urgent_wait: float | None = None
    least_urgent_wait: float | None = None

    def class_wait(self, position):
        """Return the expected wait of a class, linear between the two that are known.

        Parameters
        ----------
        position : float
            0 for the most urgent class, 1 for the least urgent one.
        """
        difference = self.least_urgent_wait - self.most_urgent_wait
        return self.most_urgent_wait + position * difference


def format_report(report):
    """Return a report as a header value.

    Examples
    --------
    >>> format_report(Report(running=3, slots=8, seconds=0.25, of_kind=0.04))
    b'3,0,8,250,40'
    >>> format_report(Report(running=3, slots=8, wait=0.1))
    b'3,0,8,0,0,100'
    >>> format_report(Report(slots=6, most_urgent_wait=0.0, least_urgent_wait=0.2))
    b'0,0,6,0,0,0,0,200'
    """
    value = b"%d,%d,%d,%d,%d" % (
        report.running,
        report.waiting,
        report.slots,
        int(report.seconds * 1000),
        int(report.of_kind * 1000),
    )
    if report.least_urgent_wait is not None:
        # Each value is identified by its position. A wait of 0 means the same to the
        # picker as none.
        return b"%s,%d,%d,%d" % (
            value,
            math.ceil((report.wait or 0.0) * 1000),
            math.ceil(report.most_urgent_wait * 1000),
            math.ceil(report.least_urgent_wait * 1000),
        )
    if report.wait is None:
        return value
    return b"%s,%d" % (value, math.ceil(report.wait * 1000))


def parse_report(value):
    """Return the report encoded in a header value, None if it is malformed.

    Examples
    --------
    >>> parse_report(b"3,0,8,250,40").seconds, parse_report(b"x")
    (0.25, None)
    >>> parse_report(b"3,0,8,0,0,100").wait
    0.1
    >>> parse_report(b"0,0,6,0,0,0,0,200").least_urgent_wait
    0.2
    """
    try:
        running, waiting, slots, ms, kind_ms, *more = map(int, value.split(b","))
    except ValueError:
        return None
    return Report(
        running=running,
        waiting=waiting,
        slots=max(1, slots),
        seconds=ms / 1000,
        of_kind=kind_ms / 1000,
        wait=more[0] / 1000 if more else None,
        most_urgent_wait=more[1] / 1000 if len(more) > 2 else None,
        least_urgent_wait=more[2] / 1000 if len(more) > 2 else None,
    )


@dataclass(kw_only=True, slots=True)
class _ServerState:
    """What this process knows of one server; times are clock times."""

    report: Report
    # Average request time by kind, in seconds.
    kind_seconds: dict = field(default_factory=dict)
    reported_at: float = float("-inf")
    sent_since_report: int = 0
    # Requests of this process.
    in_flight: int = 0
    answered_at: float = float("-inf")
    penalty: float = 0.0
    penalty_at: float = 0.0
    skip_until: float = float("-inf")
    # Time until which the server, which is limited, gets as many requests as it takes.
    full_until: float = float("-inf")
    # Current backoff, 0 if the server was reachable last.
    backoff: float = 0.0
    # Broken answers since the last whole one, and the backoff that follows from them.
    broken_answers: int = 0
    broken_backoff: float = 0.0
    probed_at: float = float("-inf")


class Picker:
    """Tracks the state of each server and chooses among them.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Breaks ties, so that hosts do not all choose the same server.
    zone : str
        Availability zone of this host.
    policy : Policy, optional
        Mechanisms that are in force.
    """

    def __init__(self, *, clock, rng, zone="", policy=None):
        self._policy = policy or Policy()
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._states = {}
        self._kind_averages = {}
        # Servers whose answers say that they are about to stop. The fleet state, which
        # `keep_only` follows, may not tell that of a server that it lost and found.
        self._departures = Departures(clock=clock)

    def candidates(self, choices, avoid=frozenset(), *, here=""):
        """Return the list of servers to choose among for one request.

        Parameters
        ----------
        choices : Choices
            Servers of the service.
        avoid : set of str
            IDs of the servers that have been tried.
        here : str
            ID of the server on this host, which is included if it was not tried.

        Notes
        -----
        These are the reachable servers of this host's subset and the one on this host.
        If there are none, perhaps because a zone has failed, they are the reachable
        ones of a random sample of all servers. If there are none either, they are all
        servers that have not been tried. Servers that say that they leave are not
        among them.
        """
        if len(choices.subset) == len(choices.all):
            return self.untried(choices, avoid)
        found = self._reachable(choices.subset, avoid)
        local = choices.by_id.get(here)
        if local is not None and local not in found and self._is_untried(local, avoid):
            found.append(local)
        if not found:
            sampled = self._rng.sample(choices.all, SAMPLED_SERVERS)
            found = self._reachable(sampled, avoid)
        return found or self.untried(choices, avoid)

    def untried(self, choices, avoid):
        """Return all servers whose IDs are not in `avoid` and that do not leave."""
        return [s for s in choices.all if self._is_untried(s, avoid)]

    def _is_untried(self, server, avoid):
        return server.id not in avoid and server.id not in self._departures

    def _reachable(self, servers, avoid):
        """Return the untried servers that are neither skipped nor limited and full."""
        now = self._clock()
        return [
            server
            for server in servers
            if self._is_untried(server, avoid) and self._skipped_until(server) <= now
        ]

    def _skipped_until(self, server):
        state = self._state_of(server)
        return max(state.skip_until, state.full_until)

    def _state_of(self, server):
        """Return the `_ServerState` of a server, a new one if it is unknown."""
        state = self._states.get(server.id)
        if state is None:
            report = Report(slots=max(1, server.slots))
            state = self._states[server.id] = _ServerState(report=report)
        return state

    def choose(
        self,
        servers,
        avoid=frozenset(),
        *,
        kind="",
        size=0,
        target=0.0,
        here="",
        class_position=0.0,
    ):
        """Return the server with the least expected time, None if there is none.

        A server on this host or in this zone is preferred if it is fast enough. Limited
        servers that already get as many requests as they take are left out.

        Parameters
        ----------
        servers : list of Instance
            Servers that may get the request.
        avoid : set of str
            IDs of the servers that have been tried.
        kind : str
            Groups requests that take about the same time.
        size : int
            Length of the request's body in bytes.
        target : float
            Time in seconds within which an answer has its full value.
        here : str
            ID of the server on this host, which needs no hop to another host.
        class_position : float
            0 if the request is of the service's most urgent class, 1 if it is of the
            least urgent one.
        """
        now = self._clock()
        untried = [
            s
            for s in servers
            if s.id not in avoid and self._state_of(s).full_until <= now
        ]
        pool = self._without_skipped(untried)
        if not pool:
            return None
        local_limit = target * (
            LARGE_LOCAL_TARGET_SHARE if size >= LARGE_BYTES else LOCAL_TARGET_SHARE
        )
        best, best_time = None, math.inf
        best_in_zone, best_time_in_zone = None, math.inf
        for server in pool:
            time = self._expected_seconds(server, kind, now, class_position)
            if server.id == here and time <= local_limit and self._policy.near:
                return server
            if time < best_time:
                best, best_time = server, time
            if server.zone == self._zone and time < best_time_in_zone:
                best_in_zone, best_time_in_zone = server, time
        stays_in_zone = best_time_in_zone <= local_limit and self._policy.near
        return best_in_zone if stays_in_zone else best

    def seconds_until_room(self, servers):
        """Return the time until a limited server may get a request, 0 if one may now.

        Returns 0 as well if there are no servers.
        """
        ends = [self._state_of(server).full_until for server in servers]
        return max(0.0, min(ends) - self._clock()) if ends else 0.0

    def note_full(self, server, seconds):
        """Note that a server, which is limited, gets enough requests for some time."""
        self._state_of(server).full_until = self._clock() + seconds

    def note_leaving(self, server):
        """Note that an answer of a server says that it is about to stop."""
        self._departures.note(server.id)

    def has_left(self, server):
        """Whether a server that is about to stop must get nothing more."""
        return server.id in self._departures and self._departures.is_over(server.id)

    def _without_skipped(self, servers):
        """Return the servers that are not skipped, all if too many would be skipped."""
        now = self._clock()
        kept = [s for s in servers if self._state_of(s).skip_until <= now]
        # If most servers seem unreachable, the cause is more likely on this host.
        if len(kept) < len(servers) * (1 - MAX_SKIPPED_SHARE):
            return servers
        return kept

    def _expected_seconds(self, server, kind, now, class_position=0.0):
        """Return the expected time until a server has answered a request.

        Notes
        -----
        The time of the request itself is estimated by its kind, the wait by the mean
        of all kinds. With one mean for both, a server that mostly got short requests
        would look fast and get all requests, while servers with long ones would idle.
        """
        state = self._state_of(server)
        report = state.report
        queued = state.in_flight
        if now - state.reported_at < REPORT_VALID_SECONDS:
            queued = max(
                queued, report.running + report.waiting + state.sent_since_report
            )
        mean = report.seconds or DEFAULT_SECONDS
        load = (queued + 1) / report.slots
        time = mean
        if self._policy.kinds:
            time = state.kind_seconds.get(kind) or self._kind_averages.get(kind) or mean
        time *= 1 + max(0.0, min(load, 1.0) - BUSY_LOAD)
        if self._has_class_waits(state, now):
            time += self._class_wait(state, mean, class_position)
        else:
            time += mean * max(0.0, load - 1.0)
        time = max(time, self._silence(state, now))
        if state.penalty:
            time *= 1 + state.penalty * math.exp(
                (state.penalty_at - now) / PENALTY_DECAY_SECONDS
            )
        if server.zone != self._zone:
            time *= CROSS_ZONE_FACTOR
        return time * (1 - JITTER_SHARE + 2 * JITTER_SHARE * self._rng.random())

    @staticmethod
    def _has_class_waits(state, now):
        """Whether a recent report has the expected waits by class."""
        return (
            state.report.least_urgent_wait is not None
            and now - state.reported_at < REPORT_VALID_SECONDS
        )

    @staticmethod
    def _class_wait(state, mean, class_position):
        """Return the expected wait of a class, with requests sent since the report."""
        report = state.report
        wait = report.class_wait(class_position)
        behind = state.sent_since_report
        if not wait:
            # The report says that one more request would get a slot at once.
            behind -= max(0, report.slots - report.running - 1)
        return wait + mean * max(0, behind) / report.slots

    def _silence(self, state, now):
        """Return the seconds since the last answer while requests are in flight.

        Notes
        -----
        A frozen or disconnected server reports no failures; its requests run into
        their timeouts. It is expected to stay unresponsive for as long again as it
        has been so far.
        """
        if not state.in_flight or not self._policy.silence:
            return 0.0
        return now - state.answered_at

    def is_silent(self, server, kind):
        """Whether a server seems to be unresponsive.

        One request may take long, but it is unlikely that several get no answer for
        many times their usual time.
        """
        state = self._state_of(server)
        if state.in_flight < SILENT_REQUESTS:
            return False
        usual = (
            state.kind_seconds.get(kind)
            or self._kind_averages.get(kind)
            or DEFAULT_SECONDS
        )
        silence = self._silence(state, self._clock())
        return silence > max(SILENT_SECONDS, SILENT_TIMES * usual)

    def best_servers(self, servers, kind, *, class_position=0.0):
        """Return a summary of the best servers at the moment, for log records.

        Returns
        -------
        list of dict
            At most `LOGGED_SERVERS`, in ascending order of expected time.
        """
        now = self._clock()
        times = [
            (self._expected_seconds(server, kind, now, class_position), server)
            for server in servers
        ]
        best = heapq.nsmallest(LOGGED_SERVERS, times, key=lambda pair: pair[0])
        return [
            {
                "server": server.id,
                "expected_ms": int(1000 * time),
                "mine": self._state_of(server).in_flight,
                "report_ms": int(
                    1000 * min(now - self._state_of(server).reported_at, 1e6)
                ),
            }
            for time, server in best
        ]

    def usual_seconds(self, kind):
        """Return the average time of a kind of request on all servers."""
        return self._kind_averages.get(kind) or DEFAULT_SECONDS

    def begin(self, server):
        """Note that a request is being sent to a server."""
        state = self._state_of(server)
        if not state.in_flight:
            state.answered_at = self._clock()
        state.in_flight += 1
        state.sent_since_report += 1

    def end(self, server):
        """Note that a request to a server has finished."""
        self._state_of(server).in_flight -= 1

    def note_report(self, server, report, *, kind=""):
        """Take the report that came with an answer to a request of a kind."""
        state = self._state_of(server)
        if report.of_kind:
            state.kind_seconds[kind] = report.of_kind
            before = self._kind_averages.get(kind, report.of_kind)
            change = KIND_AVERAGE_WEIGHT * (report.of_kind - before)
            self._kind_averages[kind] = before + change
        state.report = report
        state.reported_at = state.answered_at = self._clock()
        state.sent_since_report = 0
        state.full_until = state.reported_at + (report.wait or 0.0)

    def note_answer(self, server, *, failed):
        """Update a server's penalty after an answer; health checks play no part."""
        state = self._state_of(server)
        now = self._clock()
        remaining = state.penalty * math.exp(
            (state.penalty_at - now) / PENALTY_DECAY_SECONDS
        )
        if self._policy.burden:
            state.penalty = remaining + FAILURE_PENALTY if failed else remaining * 0.8
        state.penalty_at = now
        if not failed:
            state.answered_at = now
            state.backoff = 0.0

    def note_whole(self, server):
        """Note that a server's answer has come to its end."""
        state = self._state_of(server)
        state.broken_answers = 0
        state.broken_backoff = 0.0

    def note_broken(self, server):
        """Skip a server whose answers break off, for a time that doubles.

        A server that breaks them in no time looks fast, and its penalty alone leaves
        it its share of the requests.
        """
        state, now = self._state_of(server), self._clock()
        state.broken_answers += 1
        if state.broken_answers < BROKEN_ANSWERS or state.skip_until > now:
            return
        doubled = max(MIN_BACKOFF_SECONDS, 2 * state.broken_backoff)
        state.broken_backoff = min(MAX_BACKOFF_SECONDS, doubled)
        state.skip_until = now + state.broken_backoff

    def may_send(self, server):
        """Whether a request may be sent now to the only server that can serve it.

        After a server could not be reached, only one request at a time is sent there.
        Otherwise each of several hundred requests that wait for the same owner would
        try about thirty times a second.
        """
        state = self._state_of(server)
        if not state.backoff:
            return True
        now = self._clock()
        if now - state.probed_at < PROBE_SECONDS:
            return False
        state.probed_at = now
        return True

    def note_reached(self, server):
        """Note that a server's host has answered, with success or failure."""
        self._state_of(server).backoff = 0.0

    def note_unreachable(self, server):
        """Skip an unreachable server for a time that doubles with each failure."""
        state = self._state_of(server)
        doubled = max(MIN_BACKOFF_SECONDS, 2 * state.backoff)
        state.probed_at = self._clock()
        state.backoff = min(MAX_BACKOFF_SECONDS, doubled)
        state.skip_until = self._clock() + state.backoff

    def keep_only(self, ids):
        """Forget all servers whose IDs are not in `ids`."""
        for id in [id for id in self._states if id not in ids]:
            del self._states[id]
