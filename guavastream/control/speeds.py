"""Estimates of how fast the servers of one service work, from their load reports."""

import math
from collections import defaultdict

from guavastream.kernel import record

__all__ = ["ServerSpeeds", "Speed"]

# Time constant of the usual speed. Over a shorter time the different lengths of single
# requests dominate: a server with 5 slots completes about 20 requests a second.
WINDOW_SECONDS = 4.0
# Time constant of a second, shorter average. If the two differ by more than this
# multiple of the noise, the speed has changed and the longer one starts again from the
# shorter. A server that slows down is full within a second; with 3 sigmas that was
# found up to 0.3 s later. The longer one's time constant then grows from the shorter
# one's with the time since the change, so that it forgets what was before.
SHORT_WINDOW_SECONDS = 0.5
CHANGE_SIGMAS = 2.5
# Time for which a changed speed is reported as changed.
CHANGED_SECONDS = 2.0
# Time constant of the averages by which servers are compared to find out whether they
# are uneven. Among 36 even servers the noise of single requests is then 7 %.
COMPARISON_WINDOW_SECONDS = 10.0
# A gap between two reports counts as at most this long, so that a server without
# requests does not lose its learned speed.
MAX_GAP_SECONDS = 1.0
# Seconds of work that each average is given in advance at the mean speed, so that the
# first request of a server does not decide.
PRIOR_SECONDS = 0.4
# Bounds of a speed relative to the mean. A server that answers nothing has no speed.
MIN_SPEED = 0.05
MAX_SPEED = 20.0
# The servers are uneven if the fast ones are faster than the slow ones by this factor.
# The fastest and slowest eighths are left out: one server with a fault does not make a
# service uneven, and among many servers the extremes are mostly noise.
UNEVEN_RATIO = 1.5
LEFT_OUT_SHARE = 1 / 8
# They are even again below this factor. The gap prevents a change to and fro.
EVEN_RATIO = 1.25
# Completed requests, decayed, below which a server is not compared. With 30 the noise
# of a server's speed is at most 13 %.
MIN_COMPARED_COUNT = 30.0
# Share of the servers that must be comparable.
MIN_COMPARED_SHARE = 0.5
# Number of servers below which one or two with a fault can't be told from uneven ones:
# of 16 the two fastest and the two slowest are left out.
MIN_COMPARED = 16
# Time for which the ratio must be on the other side of its bound.
CONFIRM_SECONDS = 3.0
# Age up to which the means of kinds are used again; they change slowly, and computing
# them for each report would take a tenth of a small CPU with 300 servers.
MEANS_SECONDS = 0.2
# Time of calls that is counted as part of a request, as a multiple of the time of its
# work. Longer waits are an overload of the called service, which passes.
MAX_CALL_SHARE = 1.0


@record
class Speed:
    """Speed of a server relative to the mean of its service, and what it is based on.

    Parameters
    ----------
    speed : float
        1 is the mean; 0.5 takes twice the time for a request.
    changed : bool
        Whether it has changed within the last seconds.
    age : float
        Seconds since the last report; infinite if there was none.
    """

    speed: float = 1.0
    changed: bool = False
    age: float = math.inf


class _DecayingWork:
    """Decayed sums of completed requests, work and calls by kind, for one server."""

    def __init__(self, *, seconds):
        self.seconds = seconds
        self.by_kind = {}

    def decay(self, elapsed):
        """Reduce the weight of what was added before by `elapsed` seconds."""
        factor = math.exp(-elapsed / self.seconds)
        for sums in self.by_kind.values():
            sums[:] = [value * factor for value in sums]

    def add(self, rows):
        """Add the rows of a load report."""
        for kind, *values in rows:
            sums = self.by_kind.setdefault(kind, [0.0, 0.0, 0.0])
            sums[:] = [a + b for a, b in zip(sums, values, strict=True)]

    @property
    def count(self):
        """Decayed number of completed requests."""
        return sum(sums[0] for sums in self.by_kind.values())

    def restart_from(self, other):
        """Replace the sums by those of another average."""
        self.by_kind = {kind: list(sums) for kind, sums in other.by_kind.items()}

    def slowness(self, means):
        """Return the time of the work divided by the mean time of the same work.

        Parameters
        ----------
        means : dict of str to float
            Mean seconds of work by kind.
        """
        spent = expected = PRIOR_SECONDS
        for kind, (count, work, _) in self.by_kind.items():
            if kind in means:
                spent += work
                expected += count * means[kind]
        return spent / expected


class _Server:
    """What one server has reported."""

    def __init__(self, now):
        self.reported_at = now
        self.changed_at = -math.inf
        self.usual = _DecayingWork(seconds=WINDOW_SECONDS)
        self.recent = _DecayingWork(seconds=SHORT_WINDOW_SECONDS)
        self.compared = _DecayingWork(seconds=COMPARISON_WINDOW_SECONDS)

    @property
    def averages(self):
        return self.usual, self.recent, self.compared


class ServerSpeeds:
    """Speeds of the servers of one service, for each kind relative to the mean.

    A server that got longer kinds of requests, or that waits for its calls, is not
    taken for slow.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    A server's reports say how many requests of each kind it has completed and how long
    it has worked on that kind, including requests in progress. Work time divided by the
    completed requests is an unbiased mean, and rises as soon as a server slows down.

    Examples
    --------
    >>> now = 0.0
    >>> speeds = ServerSpeeds(clock=lambda: now)
    >>> for now in range(1, 5):
    ...     speeds.note("a", (("order", 10, 4.0, 0.0),))
    ...     speeds.note("b", (("order", 10, 2.0, 9.0),))
    >>> found = speeds.speeds(["a", "b"])
    >>> round(found["b"].speed / found["a"].speed, 1)
    1.9
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._servers = {}
        self._means, self._means_at = {}, -math.inf
        self._is_uneven = False
        # Time since when the servers look different from `is_uneven`.
        self._differs_since = None

    def note(self, id, rows):
        """Take in the `work` of a load report."""
        if not rows:
            return
        now = self._clock()
        server = self._servers.get(id)
        if server is None:
            server = self._servers[id] = _Server(now)
        elapsed = min(MAX_GAP_SECONDS, now - server.reported_at)
        server.reported_at = now
        server.usual.seconds = min(
            WINDOW_SECONDS, max(SHORT_WINDOW_SECONDS, now - server.changed_at)
        )
        for average in server.averages:
            average.decay(elapsed)
            average.add(rows)
        if _has_changed(server, self._kind_means()):
            server.usual.restart_from(server.recent)
            server.changed_at = now

    def keep_only(self, ids):
        """Forget the servers that are not among `ids`."""
        self._servers = {
            id: server for id, server in self._servers.items() if id in ids
        }

    def _kind_means(self):
        """Return the mean seconds of work of each kind over all servers."""
        now = self._clock()
        if now - self._means_at < MEANS_SECONDS:
            return self._means
        totals = defaultdict(lambda: [0.0, 0.0])
        for server in self._servers.values():
            for kind, (count, work, _) in server.usual.by_kind.items():
                totals[kind][0] += count
                totals[kind][1] += work
        self._means_at = now
        self._means = {
            kind: work / count for kind, (count, work) in totals.items() if count >= 1.0
        }
        return self._means

    def speeds(self, ids):
        """Return the `Speed` of each server; the median of the others if unknown."""
        means = self._kind_means()
        now = self._clock()
        found = {}
        for id in ids:
            server = self._servers.get(id)
            if server is not None:
                slowness = server.usual.slowness(means)
                found[id] = Speed(
                    speed=min(MAX_SPEED, max(MIN_SPEED, 1 / slowness)),
                    changed=now - server.changed_at < CHANGED_SECONDS,
                    age=now - server.reported_at,
                )
        known = sorted(speed.speed for speed in found.values())
        median = Speed(speed=known[len(known) // 2]) if known else Speed()
        return {id: found.get(id, median) for id in ids}

    def request_seconds(self, speeds):
        """Return the time for which a request occupies a slot of each server, by ID.

        Each server's own time of calls is replaced by the mean of the service, bounded
        by `MAX_CALL_SHARE`: a server that waits for calls is not slower than others,
        but its slots are occupied meanwhile.

        Parameters
        ----------
        speeds : dict of str to Speed
            Return value of `speeds`.

        Returns
        -------
        dict of str to float
            Seconds; empty if no server has reported any completed request.
        """
        count = work = calls = 0.0
        for server in self._servers.values():
            for sums in server.usual.by_kind.values():
                count, work, calls = (
                    count + sums[0],
                    work + sums[1],
                    calls + sums[2],
                )
        if count < 1.0 or work <= 0:
            return {}
        work, calls = work / count, calls / count
        calls = min(calls, MAX_CALL_SHARE * work)
        return {id: work / speed.speed + calls for id, speed in speeds.items()}

    def update_uneven(self, ids):
        """Return whether the servers differ in speed by `UNEVEN_RATIO` for seconds."""
        ratio = self.uneven_ratio(ids)
        differs = ratio is not None and (
            ratio <= EVEN_RATIO if self._is_uneven else ratio >= UNEVEN_RATIO
        )
        now = self._clock()
        if not differs:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        elif now - self._differs_since >= CONFIRM_SECONDS:
            self._is_uneven = not self._is_uneven
            self._differs_since = None
        return self._is_uneven

    def uneven_ratio(self, ids):
        """Return the ratio of the fast to the slow servers' speeds, None if unknown."""
        means = self._kind_means()
        compared = sorted(
            self._servers[id].compared.slowness(means)
            for id in ids
            if id in self._servers
            and self._servers[id].compared.count >= MIN_COMPARED_COUNT
        )
        if len(compared) < max(MIN_COMPARED, MIN_COMPARED_SHARE * len(ids)):
            return None
        left_out = int(len(compared) * LEFT_OUT_SHARE)
        return compared[-1 - left_out] / compared[left_out]


def _has_changed(server, means):
    """Whether a server's speed has changed within about half a second."""
    spent = completed = 0.0
    for kind, (count, work, _) in server.recent.by_kind.items():
        if kind in means:
            spent += work / means[kind]
            completed += count
    # Numbers of completed requests vary by their square root, whose own standard
    # deviation is one half, or less by sqrt(2) for an exponentially decayed number.
    expected = spent / server.usual.slowness(means)
    change = abs(math.sqrt(expected) - math.sqrt(completed))
    return 2 * math.sqrt(2) * change > CHANGE_SIGMAS
