"""Checks that hosts keep to what servers say of themselves in their answers."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["StatementCheck"]

# A limit must be kept in each span of this length, from `stable` seconds after the
# server first named it.
WINDOW_SECONDS = 4.0
OVERAGE = 1.5
SLACK = 5
# A host must keep a limit this long after it has passed on an answer that names it.
TOLD_SECONDS = 0.5


@dataclass(kw_only=True)
class _LimitedServer:
    """A server that names a limit; times are those of the clock."""

    named_at: float
    # Pairs of a time and the limit from then on.
    limits: list = field(default_factory=list)
    # Times of the requests of hosts that had been told.
    arrivals: deque = field(default_factory=deque)

    def allowed(self, now):
        """Return the number of requests that the server may get in a window."""
        total, until = 0.0, now
        for since, limit in reversed(self.limits):
            since = max(since, now - WINDOW_SECONDS)
            total += limit * max(0.0, until - since)
            until = since
        # Before it named a limit, the server took at least as many.
        first = self.limits[0][1]
        total += first * max(0.0, until - (now - WINDOW_SECONDS))
        return OVERAGE * total + SLACK


class StatementCheck:
    """Records requests and answers, and finds requests that servers must not get.

    Parameters
    ----------
    clock : callable
        Time in seconds.
    stable : float
        Time after which a limit must be kept, seconds.
    drain : float
        Time after which a host must send nothing to a server that is leaving, seconds.

    Attributes
    ----------
    violations : list of str
        What was found.

    Notes
    -----
    The host of a request is the one that its caller sent it to. What a host was told is
    forgotten when it restarts or freezes.
    """

    def __init__(self, *, clock, stable=3.0, drain=2.0):
        self.violations = []
        self._clock = clock
        self._stable = stable
        self._drain = drain
        # Pairs of host and time by request id, and the last server that got it.
        self._sent = {}
        self._servers = {}
        self._limited = {}
        # Times at which a host first passed on a limit, or a departure, by
        # server and host.
        self._told_limit = {}
        self._told_leaving = {}

    def note_sent(self, id, host):
        """Note that a caller sends a request to a host."""
        self._sent[id] = (host, self._clock())

    def note_answer(self, id, *, limited, leaving):
        """Note that a caller has received an answer of a server."""
        server, (host, _) = self._servers.get(id), self._sent[id]
        if server is None:
            return
        if limited:
            self._told_limit.setdefault((server, host), self._clock())
        if leaving:
            self._told_leaving.setdefault((server, host), self._clock())

    def note_fault(self, host):
        """Note that a host was restarted, frozen or cut off."""
        for told in (self._told_limit, self._told_leaving):
            for pair in [pair for pair in told if pair[1] == host]:
                del told[pair]

    def note_arrival(self, id, server):
        """Check a request that a `DialectServer` gets."""
        now = self._clock()
        self._servers[id] = server
        self._note_limit(server, now)
        if id not in self._sent:
            return
        host, sent_at = self._sent[id]
        told_at = self._told_leaving.get((server, host))
        if told_at is not None and sent_at > told_at + self._drain:
            self._add(f"{server.id} got {id!r} {sent_at - told_at:.2f} s after it left")
        told_at = self._told_limit.get((server, host))
        limited = self._limited.get(server)
        if limited is None or told_at is None or told_at > now - TOLD_SECONDS:
            return
        limited.arrivals.append(now)
        self._check_limit(server, limited, now)

    def _note_limit(self, server, now):
        """Note the limit that a server names at the moment."""
        limited = self._limited.get(server)
        if server.rate_limit is None:
            if limited is not None:
                del self._limited[server]
                for pair in [pair for pair in self._told_limit if pair[0] is server]:
                    del self._told_limit[pair]
            return
        if limited is None:
            limited = self._limited[server] = _LimitedServer(named_at=now)
        if not limited.limits or limited.limits[-1][1] != server.rate_limit:
            limited.limits.append((now, server.rate_limit))

    def _check_limit(self, server, limited, now):
        while limited.arrivals[0] < now - WINDOW_SECONDS:
            limited.arrivals.popleft()
        allowed = limited.allowed(now)
        if now > limited.named_at + self._stable and len(limited.arrivals) > allowed:
            self._add(
                f"{server.id} named {server.rate_limit} a second and got "
                f"{len(limited.arrivals)} in 4 s, allowed {allowed:.0f}"
            )

    def _add(self, text):
        self.violations.append(f"at {self._clock():.3f} s: {text}")
