"""Records of requests, answers and runs of a soak test, and checks of invariants."""

from dataclasses import dataclass, field

__all__ = ["Violation", "Ledger"]

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A leaving server must get no new requests later than DRAIN_SECONDS after its departure
# was acknowledged. A change must be in force everywhere within APPLY_SECONDS after it
# was acknowledged.
DRAIN_SECONDS = 2.0
APPLY_SECONDS = 2.0
# A request is harmful once HARMFUL_AFTER_CRASHES servers have crashed while running it.
# All hosts must know it KNOWN_SECONDS after the last of these crashes; from then on it
# may reach servers MAX_HARMFUL_RUNS more times.
HARMFUL_AFTER_CRASHES = 3
KNOWN_SECONDS = 3.0
MAX_HARMFUL_RUNS = 3


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A violated invariant and the evidence for it."""

    invariant: str
    detail: str


@dataclass(kw_only=True)
class _RequestRecord:
    method: bytes
    target: bytes
    body: bytes
    idempotent: bool
    status: int = 0
    wrong_body: str = ""
    runs: int = 0


@dataclass(kw_only=True)
class Ledger:
    """Records the events of a soak test and checks its invariants.

    All times are seconds of the same clock.

    Examples
    --------
    >>> ledger = Ledger()
    >>> ledger.record_request(b"1", b"POST", b"/pay", b"", idempotent=False)
    >>> for _ in range(2):
    ...     ledger.record_run(b"1", b"POST", b"/pay", b"", server="a", at=0.0)
    >>> [violation.invariant for violation in ledger.all_violations()]
    ['requests run at most once']
    """

    requests: dict = field(default_factory=dict)
    violations: list = field(default_factory=list)
    departed_at: dict = field(default_factory=dict)
    fences: dict = field(default_factory=dict)
    versions: list = field(default_factory=list)
    crashes: dict = field(default_factory=dict)

    def record_violation(self, invariant, detail):
        """Record a violation."""
        self.violations.append(Violation(invariant=invariant, detail=detail))

    def record_request(self, id, method, target, body, *, idempotent):
        """Record a request before it is sent."""
        self.requests[id] = _RequestRecord(
            method=method, target=target, body=body, idempotent=idempotent
        )

    def record_answer(self, id, status, body, expected):
        """Record an answer that a caller received completely.

        `expected` is the body that the server sends for this request.
        """
        request = self.requests[id]
        request.status = status
        if status == 200 and body != expected:
            request.wrong_body = f"{body[:80]!r}"

    def record_run(self, id, method, target, body, *, server, at):
        """Record that a server began to run a request."""
        request = self.requests.get(id)
        if request is None:
            self.record_violation(
                "only requests of callers run", f"{id!r} ran at {server}"
            )
            return
        request.runs += 1
        if (method, target, body) != (request.method, request.target, request.body):
            self.record_violation(
                "requests are forwarded unchanged",
                f"{id!r} ran as {method!r} {target!r}",
            )
        late = at - self.departed_at.get(server, float("inf"))
        if late > DRAIN_SECONDS:
            self.record_violation(
                "leaving servers get no new requests", f"{id!r} {late:.1f} s late"
            )

    def record_key_use(self, key, fence, *, server, others):
        """Record that a server runs a request for a key that it holds.

        `others` are the other servers that hold the key at the same time.
        """
        if others:
            self.record_violation(
                "keys have one owner", f"key {key}: {server} and {others}"
            )
        highest, holder = self.fences.get(key, (0, server))
        if fence < highest or (fence == highest and holder != server):
            self.record_violation(
                "fencing tokens increase",
                f"key {key}: {fence} of {server} after {highest}",
            )
        self.fences[key] = max((fence, server), (highest, holder))

    def record_departure(self, server, at):
        """Record that a server's departure was acknowledged."""
        self.departed_at.setdefault(server, at)

    def record_crash(self, target, at, *, calm):
        """Record that a server crashes while running a request.

        `target` identifies the request when it is sent again. `calm` is whether the
        hosts it passed had no fault, so that they must know what other hosts know.
        """
        self.crashes.setdefault(target, []).append((at, calm))

    def record_change(self, version, at):
        """Record that a configuration change was acknowledged."""
        self.versions.append((version, at))

    def record_read(self, version, sent):
        """Record the version that was returned to a read sent at `sent`."""
        newest = max(
            (v for v, at in self.versions if at + APPLY_SECONDS < sent), default=0
        )
        if version < newest:
            self.record_violation(
                "reads return no stale configuration", f"{version} after {newest}"
            )

    def all_violations(self):
        """Return all violations, including those that show only at the end."""
        violations = [*self.violations, *self._harmful_violations()]
        for id, request in self.requests.items():
            summary = f"{id!r} answered {request.status}, ran {request.runs} times"
            if request.runs > 1 and not request.idempotent:
                violations.append(
                    Violation(invariant="requests run at most once", detail=summary)
                )
            if request.runs and request.status in NOT_RUN_STATUSES:
                violations.append(
                    Violation(invariant="refused requests do not run", detail=summary)
                )
            if request.status == 200 and (request.wrong_body or not request.runs):
                detail = f"{summary} {request.wrong_body}"
                violations.append(
                    Violation(
                        invariant="answers are complete and match their request",
                        detail=detail,
                    )
                )
        return violations

    def _harmful_violations(self):
        for target, crashes in self.crashes.items():
            crashed_at = sorted(at for at, _ in crashes)
            if len(crashed_at) < HARMFUL_AFTER_CRASHES:
                continue
            known_at = crashed_at[HARMFUL_AFTER_CRASHES - 1] + KNOWN_SECONDS
            late = sum(calm and at > known_at for at, calm in crashes)
            if late > MAX_HARMFUL_RUNS:
                detail = (
                    f"{target!r} ran {late} more times after {len(crashed_at)} crashes"
                )
                yield Violation(
                    invariant="harmful requests are quarantined", detail=detail
                )
