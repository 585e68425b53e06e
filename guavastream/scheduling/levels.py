"""Admission levels by urgency class: measured beside a server, used at ingresses."""

import functools
import re
from collections import deque
from dataclasses import dataclass, field

from guavastream.kernel import record

__all__ = [
    "LEVEL_VALID_SECONDS",
    "Level",
    "LevelBoard",
    "LevelMeter",
    "RequestClass",
    "format_levels",
    "parse_levels",
]

# Levels are measured over the last second, in steps of this length.
WINDOW_SECONDS = 1.0
STEP_SECONDS = 0.1
# A level older than this is ignored: a host that no longer reports restricts nobody.
LEVEL_VALID_SECONDS = 1.0
# From this age on, a level rises steadily to 1, which it reaches when it expires. All
# ingresses would otherwise stop refusing at the same moment.
LEVEL_FADE_SECONDS = 0.5
# Ingresses admit this much work per slot of a server. The server chooses better among
# requests than an ingress: in simulated bursts the callers got a value of 0.77 with a
# factor of 1.2 and 0.79 with 1.5, compared to 0.80 without refusals at ingresses.
ADMITTED_LOAD = 1.5
# Smallest share of a class that is admitted, so that a level that is too low shows.
PROBE_SHARE = 0.05
# A class is admitted at least this much as often as all requests together. Kinds must
# be served a quarter as often; the server refuses some of what an ingress admits.
MIN_RELATIVE_SHARE = 0.4
# Bounds of the inverse of the share by which a request was admitted at its ingress.
MAX_WEIGHT = 1 / PROBE_SHARE
# Servers whose levels a process holds at a time.
MAX_SERVERS = 1024
# Levels of other servers that an answer carries, about 30 bytes each, and the time for
# which a process passes on the same ones.
MAX_PASSED_ON = 4
PASS_ON_SECONDS = 0.02
MAX_AGE_MS = int(1000 * LEVEL_VALID_SECONDS)
MAX_AGE_DIGITS = 4
# Ids that can be part of the header value.
_ID = re.compile(r"[A-Za-z0-9_.:/-]+")
# Classes in one header value. Priorities of routes are few; the bound limits the work
# for a malformed value.
MAX_CLASSES = 16


@record
class RequestClass:
    """Requests that are admitted alike.

    Parameters
    ----------
    urgency : int
        Priority of the request that entered the system; 0 is the most urgent.
    late : bool
        Whether an answer can't be in time any more. Late answers are worth little, so
        late requests of all urgencies come after those that can be in time.
    """

    urgency: int
    late: bool = False

    @property
    def order(self):
        """Sort key: classes that are admitted first have lower ones."""
        return (self.late, self.urgency)


@record
class Level:
    """Admission level of one class at one server.

    Parameters
    ----------
    share : float
        Share of the requests of the class to admit, from 0 to 1.
    retry_seconds : float
        Time until capacity is expected for a retry, 0 if unknown.
    """

    share: float
    retry_seconds: float = 0.0


def format_levels(levels):
    """Return a dict of `Level` by `RequestClass` as a header value.

    Late classes of which only probes are admitted are left out if others are listed:
    that is how unlisted ones are understood.

    Examples
    --------
    >>> format_levels({RequestClass(urgency=1, late=True): Level(share=0.25)})
    b'1:1:250:0'
    """
    if any(not cls.late for cls in levels):
        levels = {
            cls: level
            for cls, level in levels.items()
            if not cls.late or level.share > PROBE_SHARE
        }
    return b",".join(
        b"%d:%d:%d:%d"
        % (
            cls.urgency,
            cls.late,
            int(level.share * 1000),
            int(level.retry_seconds * 1000),
        )
        for cls, level in levels.items()
    )


# The same levels come in many answers, of their server and of others.
@functools.lru_cache(maxsize=1024)
def parse_levels(value):
    """Return the levels in a header value, empty if it is malformed.

    The result must not be changed.

    Examples
    --------
    >>> parse_levels(b"0:0:250:80")[RequestClass(urgency=0)].retry_seconds
    0.08
    >>> parse_levels(b"x"), parse_levels(b"")
    ({}, {})
    """
    levels = {}
    try:
        for part in value.split(b",", MAX_CLASSES)[:MAX_CLASSES] if value else ():
            urgency, late, permille, ms = map(int, part.split(b":"))
            share = min(1.0, max(0.0, permille / 1000))
            levels[RequestClass(urgency=urgency, late=late == 1)] = Level(
                share=share, retry_seconds=max(0, ms) / 1000
            )
    except (ValueError, OverflowError):
        return {}
    return levels


@dataclass(kw_only=True, slots=True)
class _Counts:
    """Requests of one class within one step."""

    # Requests that callers sent, estimated from those that arrived.
    asked: float = 0.0
    # Their time at the server, in seconds.
    work: float = 0.0
    admitted: int = 0
    refused: int = 0


@dataclass(kw_only=True, slots=True)
class _Step:
    """Counts by class of one step of the window."""

    began: float
    classes: dict = field(default_factory=dict)


class LevelMeter:
    """Measures how much of each class its server can be sent.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Notes
    -----
    Ingresses admit a request with a probability, the level that they know. The request
    says which, and counts as the inverse of it. The sum is the number of requests that
    callers sent, whether the ingresses know the level or not. If only what arrives were
    counted, the level would rise as soon as it takes effect, and oscillate.

    The capacity of the server is assigned to the classes in their order. Nothing is
    restricted while the server refuses nothing.

    References
    ----------
    .. [1] D. G. Horvitz, D. J. Thompson, "A Generalization of Sampling Without
       Replacement from a Finite Universe", Journal of the American Statistical
       Association 47, 1952.

    Examples
    --------
    >>> now = 0.0
    >>> meter = LevelMeter(clock=lambda: now)
    >>> for number in range(20):
    ...     meter.note_asked(RequestClass(urgency=0), work=0.2)
    ...     meter.note_outcome(RequestClass(urgency=0), admitted=number % 2 == 0)
    >>> round(meter.levels(slots=2)[RequestClass(urgency=0)], 2)
    0.75
    >>> now = 1.2
    >>> meter.levels(slots=2)
    {}
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._steps = deque()
        self._known = None
        self._computed_at = float("-inf")

    def note_asked(self, cls, *, work, share=1.0):
        """Count a request that has arrived.

        Parameters
        ----------
        cls : RequestClass
            Class of the request.
        work : float
            Estimated time at the server, in seconds.
        share : float
            Share of such requests that its ingress admitted.
        """
        counts = self._counts(cls)
        weight = min(MAX_WEIGHT, 1 / max(share, PROBE_SHARE))
        counts.asked += weight
        counts.work += weight * work

    def note_outcome(self, cls, *, admitted):
        """Count a request that was admitted or refused, perhaps after a wait."""
        counts = self._counts(cls)
        if admitted:
            counts.admitted += 1
        else:
            counts.refused += 1

    def _counts(self, cls):
        """Return the counts of a class in the current step."""
        now = self._clock()
        if not self._steps or now - self._steps[-1].began >= STEP_SECONDS:
            self._steps.append(_Step(began=now))
            self._drop_old(now)
        counts = self._steps[-1].classes.get(cls)
        if counts is None:
            counts = self._steps[-1].classes[cls] = _Counts()
        return counts

    def levels(self, *, slots):
        """Return the share to admit of each restricted class, by `RequestClass`.

        The result is computed once a step.

        Parameters
        ----------
        slots : int
            Number of requests that the server runs concurrently.
        """
        now = self._clock()
        if self._known is None or now - self._computed_at >= STEP_SECONDS:
            self._computed_at = now
            self._drop_old(now)
            self._known = self._compute(slots)
        return self._known

    def measured(self):
        """Return asked and admitted requests of the last second, by `RequestClass`."""
        return {cls: (c.asked, c.admitted) for cls, c in self._totals().items()}

    def _drop_old(self, now):
        while self._steps and now - self._steps[0].began > WINDOW_SECONDS:
            self._steps.popleft()

    def _totals(self):
        totals = {}
        for step in self._steps:
            for cls, counts in step.classes.items():
                total = totals.setdefault(cls, _Counts())
                total.asked += counts.asked
                total.work += counts.work
                total.admitted += counts.admitted
                total.refused += counts.refused
        return totals

    def _compute(self, slots):
        totals = self._totals()
        if not any(counts.refused for counts in totals.values()):
            return {}
        asked = sum(counts.asked for counts in totals.values())
        admitted = sum(counts.admitted for counts in totals.values())
        admitted_share = min(1.0, admitted / max(asked, 1.0))
        min_share = max(PROBE_SHARE, MIN_RELATIVE_SHARE * admitted_share)
        left = ADMITTED_LOAD * slots * WINDOW_SECONDS
        is_short = False
        shares = {}
        for cls in sorted(totals, key=lambda cls: cls.order)[:MAX_CLASSES]:
            counts = totals[cls]
            is_short = is_short or counts.refused > 0
            share = min(1.0, left / max(counts.work, 1e-9)) if is_short else 1.0
            share = max(share, PROBE_SHARE if cls.late else min_share)
            left = max(0.0, left - share * counts.work)
            if share < 1.0:
                shares[cls] = share
        return shares


@dataclass(frozen=True, kw_only=True, slots=True)
class _Received:
    """Levels of one server and the clock time at which the server sent them.

    `direct` tells whether they came from the server's own host.
    """

    levels: dict
    at: float
    direct: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class CombinedLevel:
    """Level of a class at one or more servers.

    Parameters
    ----------
    share : float
        Share of the requests to admit.
    retry_at : float
        Clock time at which a server expects capacity for a retry.
    age : float
        Age of the newest level among them, in seconds.
    """

    share: float
    retry_at: float
    age: float


class LevelBoard:
    """The levels that a process has received, by server.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Chooses the levels that are passed on.

    Notes
    -----
    A host asks each single server of a large service less than once a second, and would
    rarely hold a valid level of it. Answers therefore carry the levels of a few other
    servers too, with their ages, as this host got them from the servers themselves.
    Each host gets answers of many others, so that a level spreads within a fraction of
    a second.

    References
    ----------
    .. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
       ACM Symposium on Principles of Distributed Computing, 1987.

    Examples
    --------
    >>> import random
    >>> now = 5.0
    >>> board = LevelBoard(clock=lambda: now, rng=random.Random(1))
    >>> board.note("a", b"0:0:250:0;c=400=0:0:500:0")
    >>> board.level(["a"], RequestClass(urgency=0)).share
    0.25
    >>> board.level(["a", "b"], RequestClass(urgency=0)).share
    0.625
    >>> board.level(["c"], RequestClass(urgency=0)).age
    0.4
    >>> board.passed_on(except_for="b")
    b';a=0=0:0:250:0'
    >>> now = 6.1
    >>> board.level(["a"], RequestClass(urgency=0)) is None
    True
    """

    def __init__(self, *, clock, rng):
        self._clock = clock
        self._rng = rng
        self._received = {}
        self._valid_until = float("-inf")
        self._passed_on = b""
        self._passed_on_at = float("-inf")

    def __len__(self):
        return len(self._received)

    @property
    def is_restricting(self):
        """Whether any level is valid."""
        return self._clock() < self._valid_until

    def note(self, server_id, value):
        """Take the header value of a server's answer, empty if there is none."""
        now = self._clock()
        if not value:
            # An older level that another server passes on must not replace this.
            self._store(server_id, {}, now, direct=True)
            return
        own, *others = value.split(b";", MAX_PASSED_ON + 1)[: MAX_PASSED_ON + 1]
        self._store(server_id, parse_levels(own), now, direct=True)
        for part in others:
            id, _, rest = part.partition(b"=")
            ms, _, levels = rest.partition(b"=")
            if ms.isdigit() and len(ms) <= MAX_AGE_DIGITS and int(ms) < MAX_AGE_MS:
                levels = parse_levels(levels)
                at = now - int(ms) / 1000
                self._store(id.decode("latin-1"), levels, at, direct=False)

    def _store(self, server_id, levels, at, *, direct):
        known = self._received.pop(server_id, None)
        if known is not None and known.at > at:
            self._received[server_id] = known
            return
        self._received[server_id] = _Received(levels=levels, at=at, direct=direct)
        if levels:
            self._valid_until = max(self._valid_until, at + LEVEL_VALID_SECONDS)
        # Those that have not changed for longest are first.
        while len(self._received) > MAX_SERVERS:
            del self._received[next(iter(self._received))]

    def passed_on(self, *, except_for=""):
        """Return the part of a header value with the levels of other servers.

        Parameters
        ----------
        except_for : str
            Id of the server whose own levels precede it.
        """
        if not self.is_restricting:
            return b""
        now = self._clock()
        if now - self._passed_on_at >= PASS_ON_SECONDS:
            self._passed_on_at = now
            recent = [
                (id, received)
                for id, received in self._received.items()
                if received.levels
                # The time in transit is not part of the age. Passed on again and
                # again, levels would outlive their server by seconds.
                and received.direct
                and now - received.at < LEVEL_FADE_SECONDS
                and id != except_for
                and _ID.fullmatch(id)
            ]
            chosen = self._rng.sample(recent, min(MAX_PASSED_ON, len(recent)))
            self._passed_on = b"".join(
                b";%s=%d=%s"
                % (
                    id.encode(),
                    round(1000 * (now - received.at)),
                    format_levels(received.levels),
                )
                for id, received in chosen
            )
        return self._passed_on

    def level(self, server_ids, cls):
        """Return the `CombinedLevel` of a class, None if nothing restricts it.

        Parameters
        ----------
        server_ids : sequence of str
            Ids of the servers that may run the request. Those without a valid level
            count as unrestricted.
        cls : RequestClass
            Class of the request.
        """
        if not self.is_restricting:
            return None
        now = self._clock()
        shares, retry_at, newest = 0.0, float("inf"), float("-inf")
        for id in server_ids:
            received = self._received.get(id)
            if received is not None and now - received.at >= LEVEL_VALID_SECONDS:
                received = None
            level = None if received is None else _find_level(received.levels, cls)
            if level is None:
                shares += 1.0
                continue
            age = now - received.at
            shares += _faded(level.share, age)
            newest = max(newest, received.at)
            retry_at = min(retry_at, received.at + level.retry_seconds)
        if newest == float("-inf"):
            return None
        share = shares / len(server_ids)
        age = round(now - newest, 6)
        return CombinedLevel(share=share, retry_at=retry_at, age=age)


def _find_level(levels, cls):
    """Return the level of a class, None if it is not restricted.

    A class that is not listed was not asked for. If one that is admitted before it is
    restricted, there is no capacity left for it either.
    """
    level = levels.get(cls)
    if level is not None:
        return level
    before = [level for other, level in levels.items() if other.order < cls.order]
    if not before:
        return None
    scarcest = min(before, key=lambda level: level.share)
    relative = 0.0 if cls.late else MIN_RELATIVE_SHARE
    return Level(
        share=max(PROBE_SHARE, relative * scarcest.share),
        retry_seconds=scarcest.retry_seconds,
    )


def _faded(share, age):
    """Return a share that rises to 1 until its level expires."""
    fade = (age - LEVEL_FADE_SECONDS) / (LEVEL_VALID_SECONDS - LEVEL_FADE_SECONDS)
    return share + (1.0 - share) * min(1.0, max(0.0, fade))
