"""Tracks which keys the local backend server holds and which call to send it next.

Used for backend servers that are granted keys by calls. The leader decides which
server holds which keys; the process beside each server carries the decision out by
granting and releasing key ranges at that server. This module only decides which
calls are due; it sends nothing.
"""

from dataclasses import dataclass, field

from guavastream.fleet import KEY_COUNT, rows_overlap, subtract_range
from guavastream.kernel import record

__all__ = ["MAX_CLOCK_DRIFT", "TIMER_MARGIN_SECONDS", "KeyCall", "KeyLeases"]

# Share by which a server's clock may run slow.
MAX_CLOCK_DRIFT = 0.02
# Allowance for the granularity of clocks and timers at both ends.
TIMER_MARGIN_SECONDS = 0.05
# When a grant times out, its connection is reset so that it cannot reach the server
# afterwards. Servers answer within a few milliseconds, a slow host within some tens.
GRANT_TIMEOUT_SECONDS = 0.3
# A server answers a release once the work on the keys has ended. After this time
# another release is sent as well, in case the first was lost.
RELEASE_TIMEOUT_SECONDS = 0.5
# Longest hold requested. It is short because a grant whose answer was lost may still
# be applied seconds later: until its hold has expired, its keys cannot go to another
# server.
MAX_HOLD_SECONDS = 2.0
# No grant is sent for a hold shorter than this.
MIN_HOLD_SECONDS = 0.2
# Share of a hold after which it is renewed, drawn at random for each key range so
# that the renewals for one server are spread over time.
RENEWAL_POINT_RANGE = (0.55, 0.7)
# Backoff after a lost call: starts at the minimum and doubles with each further loss.
MIN_RETRY_SECONDS = 0.03
MAX_RETRY_SECONDS = 0.3
# Pause after the server answered that it did not carry out a call.
REJECTED_RETRY_SECONDS = 0.1
MAX_GRANTS_IN_FLIGHT = 4
# A retired key range is remembered for this long after the leader acknowledged it.
# An answer of the leader that still lists the range is at most a second old.
RETIRED_RANGE_SECONDS = 5.0
# A server is unresponsive if it has answered nothing for this long and this many
# calls in a row were lost. Its keys are then left to expire.
UNRESPONSIVE_SECONDS = 1.2
UNRESPONSIVE_CALLS = 4


@record
class KeyCall:
    """A call that grants or releases the keys `first` to `last` at the server.

    `hold` is the duration of a grant in seconds, counted from its arrival; 0 makes
    the call a release. `began` is the clock's time at which the call began.
    """

    first: int
    last: int
    fence: int
    handover: str = ""
    hold: float = 0.0
    began: float = 0.0

    @property
    def key_range(self):
        """First and last key."""
        return self.first, self.last

    @property
    def timeout(self):
        """Seconds to wait for the answer."""
        return GRANT_TIMEOUT_SECONDS if self.hold else RELEASE_TIMEOUT_SECONDS


@dataclass(kw_only=True, slots=True)
class _HeldRange:
    """A key range that the leader has assigned to the server.

    The server certainly holds it until `held_until`, and cannot hold it after
    `may_hold_until`.
    """

    first: int
    last: int
    fence: int
    handover: str
    held_until: float = float("-inf")
    may_hold_until: float = float("-inf")
    next_call_at: float = float("-inf")
    lost_calls: int = 0

    @property
    def key_range(self):
        return self.first, self.last


@dataclass(kw_only=True, slots=True)
class _RetiredRange:
    """A key range that must never again be granted under this fencing token."""

    key_range: tuple
    fence: int
    forget_at: float = float("inf")


@record
class _PendingReturn:
    """A key range to return to the leader, not before the time `ready`."""

    first: int
    last: int
    fence: int
    handover: str
    ready: float

    @property
    def fields(self):
        return self.first, self.last, self.fence, self.handover


@dataclass(kw_only=True, slots=True)
class _Release:
    """A key range that the server must release; its hold expires at `expires_at`."""

    first: int
    last: int
    fence: int
    expires_at: float
    next_call_at: float = float("-inf")
    calls: list = field(default_factory=list)

    @property
    def key_range(self):
        return self.first, self.last


class KeyLeases:
    """The key ranges of one incarnation of the local server.

    Each range is in one of three states: assigned, with its next grant or renewal due
    at `next_call_at`; being released; or released and not yet acknowledged by the
    leader. In addition, grants that were not answered are tracked until the hold that
    they requested has expired, because the server may have applied them.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds that includes suspensions: a process that was
        suspended must find that its permission has expired.
    rng : random.Random
        Spreads renewals over time.
    max_hold : float
        Longest hold that servers accept, in seconds.

    Notes
    -----
    The leader permits this process to grant keys for `hold` seconds. The process
    counts them from when it *sent* the renewal, the leader from when the renewal
    arrived, and the leader adds the drift of a slow clock. A grant requests at most
    what is left of the permission minus the timeout of the call. Whatever the server
    was granted has therefore expired before the leader reassigns the keys, whether or
    not the grant was answered, and lost answers need not be reported to the leader.

    The effect of a call that arrives late is bounded here: unanswered grants are
    tracked, and an answered release counts only once no such grant can make the
    server hold the keys again. A process that has just started does not know what its
    predecessor sent, so it treats all keys as possibly held for the longest time that
    a grant can last.
    """

    def __init__(self, *, clock, rng, max_hold=MAX_HOLD_SECONDS):
        self._clock = clock
        self._rng = rng
        self._max_hold = min(max_hold, MAX_HOLD_SECONDS)
        self._permitted_until = float("-inf")
        self._last_instructions = ((), ())
        self._ranges = []
        self._releases = []
        self._pending_returns = []
        self._retired = []
        self._in_flight = set()
        self._last_answer_at = clock()
        self._calls_lost_in_row = 0
        # Stands for any grant that a predecessor of this process may have sent.
        self._predecessor_grants = (
            (0, KEY_COUNT - 1),
            self._latest_end(self._last_answer_at, self._max_hold),
        )
        self._uncertain_grants = [self._predecessor_grants]

    @property
    def last_instructions(self):
        """Key ranges to hold and to release, as the leader last sent them."""
        return self._last_instructions

    @property
    def is_unresponsive(self):
        """Whether the server has stopped answering calls."""
        silent = self._clock() - self._last_answer_at
        return (
            self._calls_lost_in_row >= UNRESPONSIVE_CALLS
            and silent >= UNRESPONSIVE_SECONDS
        )

    def covers(self, key):
        """Whether the server certainly holds a key."""
        now = self._clock()
        return any(
            held.first <= key <= held.last and now < held.held_until
            for held in self._ranges
        )

    def held_ranges(self):
        """Return the ranges (first, last) that the server certainly holds."""
        now = self._clock()
        return [held.key_range for held in self._ranges if now < held.held_until]

    def note_no_predecessor(self):
        """Note that this incarnation of the server began during this process.

        No earlier process can have sent grants to it.
        """
        self._uncertain_grants = [
            grant
            for grant in self._uncertain_grants
            if grant is not self._predecessor_grants
        ]

    # Instructions of the leader

    def apply_answer(self, answer, *, sent):
        """Apply the leader's answer to a renewal that was sent at time `sent`."""
        self._permitted_until = max(self._permitted_until, sent + answer.hold)
        self._last_instructions = (
            tuple(row[:3] for row in answer.rows),
            tuple(answer.drops),
        )
        now = self._clock()
        self._retired = [old for old in self._retired if old.forget_at > now]
        before = self._ranges
        self._ranges = []
        for first, last, fence, handover in answer.rows:
            for piece in self._grantable_parts(first, last, fence):
                self._ranges.append(self._carry_over(piece, fence, handover, before))
        dropped = [(old.key_range, old.fence) for old in before]
        dropped += [((first, last), fence) for first, last, fence in answer.drops]
        for key_range, fence in dropped:
            pieces = [key_range]
            for kept in self._ranges:
                if kept.fence == fence:
                    pieces = subtract_range(pieces, kept.key_range)
            for piece in pieces:
                self._begin_release(piece, fence, before)

    def _grantable_parts(self, first, last, fence):
        """Return the parts of a range that were not retired under its fencing token."""
        pieces = [(first, last)]
        for old in self._retired:
            if old.fence == fence:
                pieces = subtract_range(pieces, old.key_range)
        return pieces

    def _carry_over(self, piece, fence, handover, before):
        """Return an assigned range with the state it had in the ranges `before`."""
        new = _HeldRange(first=piece[0], last=piece[1], fence=fence, handover=handover)
        for old in before:
            if old.fence != fence or not rows_overlap(old.key_range, piece):
                continue
            new.may_hold_until = max(new.may_hold_until, old.may_hold_until)
            new.handover = handover or old.handover
            if old.first <= piece[0] and piece[1] <= old.last:
                new.held_until, new.next_call_at, new.lost_calls = (
                    old.held_until,
                    old.next_call_at,
                    old.lost_calls,
                )
        return new

    def _begin_release(self, piece, fence, before):
        for first, last in self._grantable_parts(*piece, fence):
            key_range = (first, last)
            # Nothing may be granted under this fencing token again: a release that
            # arrives late would take away the new grant.
            self._retired.append(_RetiredRange(key_range=key_range, fence=fence))
            ends = [
                old.may_hold_until
                for old in before
                if old.fence == fence and rows_overlap(old.key_range, key_range)
            ]
            ends += [
                until
                for granted, until in self._uncertain_grants
                if rows_overlap(granted, key_range)
            ]
            ends += [
                self._latest_end(call.began + GRANT_TIMEOUT_SECONDS, call.hold)
                for call in self._in_flight
                if call.hold and rows_overlap(call.key_range, key_range)
            ]
            latest = max(ends, default=self._latest_end(self._clock(), self._max_hold))
            release = _Release(first=first, last=last, fence=fence, expires_at=latest)
            self._releases.append(release)

    # Calls that are due

    def due(self):
        """Return the calls that are due, and count them as in flight from now on."""
        now = self._clock()
        calls = [
            call
            for release in list(self._releases)
            if (call := self._next_release_call(release, now))
        ]
        calls += self._next_grant_calls(now)
        self._in_flight.update(calls)
        return calls

    def _next_release_call(self, release, now):
        if now > release.expires_at:
            # The range is no longer renewed, so every grant of it has expired.
            self._finish_release(release, "")
            return None
        if now < release.next_call_at or self._has_call_in_flight(
            release.key_range, grants_only=True
        ):
            return None
        release.next_call_at = now + RELEASE_TIMEOUT_SECONDS
        call = KeyCall(
            first=release.first, last=release.last, fence=release.fence, began=now
        )
        release.calls.append(call)
        return call

    def _next_grant_calls(self, now):
        free = MAX_GRANTS_IN_FLIGHT - sum(1 for call in self._in_flight if call.hold)
        calls = []
        left = (self._permitted_until - now - GRANT_TIMEOUT_SECONDS) / (
            1 + MAX_CLOCK_DRIFT
        )
        hold = min(self._max_hold, left)
        if hold < MIN_HOLD_SECONDS:
            return calls
        waiting = sorted(
            (held for held in self._ranges if held.next_call_at <= now),
            key=lambda held: held.held_until,
        )
        for held in waiting:
            if len(calls) >= free:
                break
            if self._has_call_in_flight(held.key_range):
                continue
            call = KeyCall(
                first=held.first,
                last=held.last,
                fence=held.fence,
                handover=held.handover,
                hold=hold,
                began=now,
            )
            held.may_hold_until = max(
                held.may_hold_until,
                self._latest_end(now + GRANT_TIMEOUT_SECONDS, hold),
            )
            calls.append(call)
        return calls

    def _has_call_in_flight(self, key_range, *, grants_only=False):
        return any(
            rows_overlap(call.key_range, key_range)
            for call in self._in_flight
            if call.hold or not grants_only
        )

    def next_call_at(self):
        """Return the clock's time at which the next call or return is due."""
        times = [held.next_call_at for held in self._ranges]
        times += [release.next_call_at for release in self._releases]
        times += [item.ready for item in self._pending_returns]
        return min(times, default=float("inf"))

    @staticmethod
    def _latest_end(arrived, hold):
        """Return when a grant received by the time `arrived` has surely expired."""
        return arrived + hold * (1 + MAX_CLOCK_DRIFT) + TIMER_MARGIN_SECONDS

    # Results of calls

    def note_done(self, call, handover=""):
        """Record that the server carried out a call."""
        self._finish_call(call, answered=True)
        if not call.hold:
            release = self._release_for(call)
            if release is not None:
                self._finish_release(release, handover)
            return
        share = self._rng.uniform(*RENEWAL_POINT_RANGE)
        for held in self._ranges_for(call):
            # The server counts from the arrival, which is no earlier than `began`.
            held.held_until = max(held.held_until, call.began + call.hold)
            held.next_call_at = call.began + call.hold * share
            held.lost_calls = 0

    def note_fenced(self, call):
        """Record that the server has seen a higher fencing token than the call's.

        The range is never granted under this token again. Whatever the server still
        holds of it expires by itself; then the range is returned to the leader, which
        grants the keys under a token higher than all others.
        """
        self._finish_call(call, answered=True)
        for held in self._ranges_for(call):
            self._ranges.remove(held)
            self._retired.append(
                _RetiredRange(key_range=held.key_range, fence=held.fence)
            )
            self._queue_return(held, "", ready=held.may_hold_until)

    def note_rejected(self, call):
        """Record an answer that says that the call was not carried out."""
        self._finish_call(call, answered=True)
        self._postpone(call, REJECTED_RETRY_SECONDS)

    def note_lost(self, call, *, sent=True):
        """Record that a call got no answer and that its connection was closed.

        The server may still apply a grant that was `sent`.
        """
        self._finish_call(call, answered=False)
        now = self._clock()
        if call.hold and sent:
            self._uncertain_grants = [
                grant for grant in self._uncertain_grants if grant[1] > now
            ]
            self._uncertain_grants.append(
                (call.key_range, self._latest_end(now, call.hold))
            )
        for held in self._ranges_for(call):
            held.lost_calls += 1
        lost = max((held.lost_calls for held in self._ranges_for(call)), default=1)
        self._postpone(
            call, min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2 ** (lost - 1))
        )

    def _finish_call(self, call, *, answered):
        self._in_flight.discard(call)
        if answered:
            self._last_answer_at = self._clock()
            self._calls_lost_in_row = 0
        else:
            self._calls_lost_in_row += 1

    def _postpone(self, call, seconds):
        at = self._clock() + seconds
        for held in self._ranges_for(call):
            held.next_call_at = at
        release = None if call.hold else self._release_for(call)
        if release is not None:
            release.next_call_at = min(release.next_call_at, at)

    def _ranges_for(self, call):
        """Return the assigned ranges that a grant affects; none for a release."""
        if not call.hold:
            return []
        return [
            held
            for held in self._ranges
            if held.fence == call.fence and rows_overlap(held.key_range, call.key_range)
        ]

    def _release_for(self, call):
        return next((r for r in self._releases if call in r.calls), None)

    # Returning keys to the leader

    def _finish_release(self, release, handover):
        """Record that the server no longer holds a range."""
        self._releases.remove(release)
        self._queue_return(release, handover, ready=self._clock())

    def _queue_return(self, held, handover, *, ready):
        """Queue a range for return once no late grant can make it held again."""
        ready = max(
            [
                ready,
                *(
                    until
                    for granted, until in self._uncertain_grants
                    if rows_overlap(granted, held.key_range)
                ),
            ]
        )
        item = _PendingReturn(
            first=held.first,
            last=held.last,
            fence=held.fence,
            handover=handover,
            ready=ready,
        )
        self._pending_returns.append(item)

    def pending_returns(self):
        """Return released ranges that the leader has not acknowledged.

        Each is (first, last, fence, handover) and is certainly no longer held.
        """
        now = self._clock()
        return tuple(item.fields for item in self._pending_returns if item.ready <= now)

    def note_acknowledged(self, rows):
        """Record that the leader has acknowledged returned ranges."""
        acknowledged = set(rows)
        self._pending_returns = [
            item for item in self._pending_returns if item.fields not in acknowledged
        ]
        forget_at = self._clock() + RETIRED_RANGE_SECONDS
        for old in self._retired:
            if any(
                rows_overlap(old.key_range, row) and old.fence == row[2]
                for row in acknowledged
            ):
                old.forget_at = min(old.forget_at, forget_at)
