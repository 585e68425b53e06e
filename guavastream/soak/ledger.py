"""What callers asked and were told, what servers ran, and what that breaks."""

from dataclasses import dataclass, field

__all__ = ["Broken", "Ledger"]

# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# A leaving server gets nothing later than this after its acknowledgement, and
# a change is in force everywhere within the other, seconds.
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
# A request under which so many servers have ended is known to be harmful this long
# after the last of them, seconds, and may reach servers so often after that.
HARMED_SERVERS = 3
KNOWN_SECONDS = 3.0
HARMFUL_RUNS = 3


@dataclass(frozen=True, kw_only=True)
class Broken:
    """A promise that was broken, and what shows it."""

    promise: str
    detail: str


@dataclass(kw_only=True)
class _Request:
    method: bytes
    target: bytes
    body: bytes
    repeatable: bool
    status: int = 0
    wrong: str = ""
    runs: int = 0


@dataclass(kw_only=True)
class Ledger:
    """Keeps the books of a soak; times are those of one clock, seconds.

    Examples
    --------
    >>> ledger = Ledger()
    >>> ledger.asked(b"1", b"POST", b"/pay", b"", repeatable=False)
    >>> for _ in range(2):
    ...     ledger.ran(b"1", b"POST", b"/pay", b"", server="a", at=0.0)
    >>> [broken.promise for broken in ledger.verdict()]
    ['at most once']
    """

    requests: dict = field(default_factory=dict)
    broken: list = field(default_factory=list)
    left: dict = field(default_factory=dict)
    fences: dict = field(default_factory=dict)
    versions: list = field(default_factory=list)
    harms: dict = field(default_factory=dict)

    def note(self, promise, detail):
        """Note a broken promise."""
        self.broken.append(Broken(promise=promise, detail=detail))

    def asked(self, id, method, target, body, *, repeatable):
        """Note a request before it is sent."""
        self.requests[id] = _Request(
            method=method, target=target, body=body, repeatable=repeatable
        )

    def answered(self, id, status, body, expected):
        """Note a caller's whole answer; `expected` is the server's body."""
        request = self.requests[id]
        request.status = status
        if status == 200 and body != expected:
            request.wrong = f"{body[:80]!r}"

    def ran(self, id, method, target, body, *, server, at):
        """Note that a server began to work on a request."""
        request = self.requests.get(id)
        if request is None:
            self.note("nobody else's request", f"{id!r} ran at {server}")
            return
        request.runs += 1
        if (method, target, body) != (request.method, request.target, request.body):
            self.note("unchanged", f"{id!r} ran as {method!r} {target!r}")
        late = at - self.left.get(server, float("inf"))
        if late > DRAIN_SECONDS:
            self.note("nothing new at a leaving server", f"{id!r} {late:.1f} s late")

    def owned(self, key, fence, *, server, others):
        """Note that a server runs a request for a key that it holds."""
        if others:
            self.note("one owner", f"key {key}: {server} and {others}")
        highest, holder = self.fences.get(key, (0, server))
        if fence < highest or (fence == highest and holder != server):
            self.note(
                "rising fences", f"key {key}: {fence} of {server} after {highest}"
            )
        self.fences[key] = max((fence, server), (highest, holder))

    def acknowledged_leave(self, server, at):
        """Note that a server's departure was acknowledged."""
        self.left.setdefault(server, at)

    def harmed(self, what, at, *, calm):
        """Note that a server ends under a request, known by `what` when it recurs.

        `calm` tells that no fault was at work where it came from and where it went,
        so that its hosts had to know what others know.
        """
        self.harms.setdefault(what, []).append((at, calm))

    def accepted(self, version, at):
        """Note that a change was acknowledged."""
        self.versions.append((version, at))

    def read(self, version, sent):
        """Note a version that was read by a call sent at `sent`."""
        newest = max(
            (v for v, at in self.versions if at + APPLY_SECONDS < sent), default=0
        )
        if version < newest:
            self.note("no older configuration", f"{version} after {newest}")

    def verdict(self):
        """Return all broken promises."""
        broken = [*self.broken, *self._harmful()]
        for id, request in self.requests.items():
            told = f"{id!r} told {request.status} ran {request.runs} times"
            if request.runs > 1 and not request.repeatable:
                broken.append(Broken(promise="at most once", detail=told))
            if request.runs and request.status in PROMISES:
                broken.append(Broken(promise="not run is true", detail=told))
            if request.status == 200 and (request.wrong or not request.runs):
                detail = f"{told} {request.wrong}"
                broken.append(Broken(promise="own whole answer", detail=detail))
        return broken

    def _harmful(self):
        for what, harms in self.harms.items():
            ends = sorted(at for at, _ in harms)
            if len(ends) < HARMED_SERVERS:
                continue
            known = ends[HARMED_SERVERS - 1] + KNOWN_SECONDS
            late = sum(calm and at > known for at, calm in harms)
            if late > HARMFUL_RUNS:
                detail = f"{what!r} ran {late} times more, {len(ends)} servers ended"
                yield Broken(promise="harmful requests are kept away", detail=detail)
