"""Which keys the local backend server holds, and which call it is owed next.

For backend servers that take orders: the leader decides who holds which keys,
the process beside a server carries that out by granting and releasing rows of
keys at the server itself. This module decides which call is due; it sends
nothing.
"""

from dataclasses import dataclass, field

from guavastream.fleet import KEY_COUNT, rows_overlap, subtract_range
from guavastream.kernel import record

__all__ = ["DRIFT", "MARGIN_SECONDS", "KeyCall", "KeyLeases"]

# A server's clock may run this much slow.
DRIFT = 0.02
# Granularity of clocks and timers at both ends, seconds.
MARGIN_SECONDS = 0.05
# A grant that is not answered by then is given up, and its connection is
# reset: it cannot arrive at the server any more. Servers answer within a few
# milliseconds; a slowed host takes some tens.
GRANT_SECONDS = 0.3
# A release is answered when the work on its keys has ended. Another one is
# sent beside it after this time, in case the first was lost.
RELEASE_SECONDS = 0.5
# Longest hold that is asked for. It is short because a grant whose answer was
# lost may be applied seconds later and is in doubt until its hold is over: no
# key that it names can go to another server before.
LONGEST_HOLD = 2.0
# A hold shorter than this is not worth a call.
LEAST_HOLD = 0.2
# Part of a hold after which it is renewed, drawn anew for each row so that
# the rows of a server spread over time.
RENEW_SHARES = (0.55, 0.7)
# Pause after a lost call, doubled with each further one up to the longest.
FIRST_PAUSE = 0.03
LONGEST_PAUSE = 0.3
# Pause after an answer that said that nothing was done.
DENIED_PAUSE = 0.1
# Grants that wait for their answers at a time.
MOST_GRANTS = 4
# A row that was given up is remembered for this long after the leader has
# taken it back, seconds; answers of the leader are older by a second at most.
REMEMBERED_SECONDS = 5.0
# A server that answered nothing for this long, while that many calls in a row
# were lost, is dark: its keys are left to run out.
DARK_SECONDS = 1.2
DARK_CALLS = 4


@record
class KeyCall:
    """An order to the server about keys `first` to `last`.

    `hold` is in seconds from its arrival; 0 releases the keys.
    """

    first: int
    last: int
    fence: int
    handover: str = ""
    hold: float = 0.0
    began: float = 0.0

    @property
    def row(self):
        """First and last key."""
        return self.first, self.last

    @property
    def seconds(self):
        """How long its answer is waited for."""
        return GRANT_SECONDS if self.hold else RELEASE_SECONDS


@dataclass(kw_only=True, slots=True)
class _Row:
    """Keys that the server is to hold.

    `until` is how long it surely holds them, `ends_at` how long it may.
    """

    first: int
    last: int
    fence: int
    handover: str
    until: float = float("-inf")
    ends_at: float = float("-inf")
    next_at: float = float("-inf")
    lost: int = 0

    @property
    def row(self):
        return self.first, self.last


@dataclass(kw_only=True, slots=True)
class _GivenUp:
    """Keys that are never granted under this fence again."""

    row: tuple
    fence: int
    forget_at: float = float("inf")


@record
class _Returned:
    """What the leader is told of keys given up, from `ready` on."""

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
    """Keys that the server is to give up; by `ends_at` it has anyway."""

    first: int
    last: int
    fence: int
    ends_at: float
    next_at: float = float("-inf")
    calls: list = field(default_factory=list)

    @property
    def row(self):
        return self.first, self.last


class KeyLeases:
    """The rows of one life of the local server.

    Each row is owed (its next grant or renewal is due at `next_at`), being
    released, or released and not yet told to the leader. Beside the rows
    stands what is in doubt: keys of grants that got no answer, until the hold
    that they asked for is over.

    Parameters
    ----------
    clock : callable
        Steady time in seconds, suspensions included: a process that was
        suspended must find that its permission has run out.
    rng : random.Random
        Spreads renewals over time.
    longest : float
        Longest hold that servers accept, seconds.

    Notes
    -----
    The permission ends `hold` seconds after the renewal of it was *sent*, and
    the leader counts from when that arrived, plus the drift of a slow clock.
    A grant asks for no more than what is left of the permission, less the
    time after which an unanswered call is given up. So whatever the server
    was granted is over before the leader gives the keys to another one, with
    or without an answer; and a lost answer needs no word to the leader.

    What a late call can do is bounded on this side: it is known which grants
    got no answer, and a release that was answered counts only when no such
    grant can revive the keys. A process that has just started does not know
    what its predecessor sent, and takes all keys to be in doubt for as long
    as a grant can last.
    """

    def __init__(self, *, clock, rng, longest=LONGEST_HOLD):
        self._clock = clock
        self._rng = rng
        self._longest = min(longest, LONGEST_HOLD)
        self._permitted = float("-inf")
        self._told = ((), ())
        self._rows = []
        self._releases = []
        self._returned = []
        self._given_up = []
        self._in_flight = set()
        self._heard_at = clock()
        self._lost = 0
        # What a predecessor of this process may have sent.
        self._unknown = ((0, KEY_COUNT - 1), self._bound(self._heard_at, self._longest))
        self._doubts = [self._unknown]

    @property
    def told(self):
        """Rows to hold and rows to release, as the leader last said."""
        return self._told

    @property
    def is_dark(self):
        """Whether the server has stopped to answer."""
        silent = self._clock() - self._heard_at
        return self._lost >= DARK_CALLS and silent >= DARK_SECONDS

    def covers(self, key):
        """Whether the server holds a key for sure."""
        now = self._clock()
        return any(
            row.first <= key <= row.last and now < row.until for row in self._rows
        )

    def held_rows(self):
        """Return the rows (first, last) that the server holds for sure."""
        now = self._clock()
        return [row.row for row in self._rows if now < row.until]

    def note_new(self):
        """Note that this life of the server began in the time of this process.

        No predecessor has sent it anything, and nothing is in doubt.
        """
        self._doubts = [doubt for doubt in self._doubts if doubt is not self._unknown]

    # What the leader says

    def take(self, answer, *, sent):
        """Take the leader's answer to a renewal that was sent at `sent`."""
        self._permitted = max(self._permitted, sent + answer.hold)
        self._told = (
            tuple(row[:3] for row in answer.rows),
            tuple(answer.drops),
        )
        now = self._clock()
        self._given_up = [old for old in self._given_up if old.forget_at > now]
        before = self._rows
        self._rows = []
        for first, last, fence, handover in answer.rows:
            for piece in self._still_owed(first, last, fence):
                self._rows.append(self._inherit(piece, fence, handover, before))
        dropped = [(old.row, old.fence) for old in before]
        dropped += [((first, last), fence) for first, last, fence in answer.drops]
        for row, fence in dropped:
            pieces = [row]
            for kept in self._rows:
                if kept.fence == fence:
                    pieces = subtract_range(pieces, kept.row)
            for piece in pieces:
                self._drop(piece, fence, before)

    def _still_owed(self, first, last, fence):
        """Return what of a row was never given up under its fence."""
        pieces = [(first, last)]
        for old in self._given_up:
            if old.fence == fence:
                pieces = subtract_range(pieces, old.row)
        return pieces

    def _inherit(self, piece, fence, handover, before):
        row = _Row(first=piece[0], last=piece[1], fence=fence, handover=handover)
        for old in before:
            if old.fence != fence or not rows_overlap(old.row, piece):
                continue
            row.ends_at = max(row.ends_at, old.ends_at)
            row.handover = handover or old.handover
            if old.first <= piece[0] and piece[1] <= old.last:
                row.until, row.next_at, row.lost = old.until, old.next_at, old.lost
        return row

    def _drop(self, piece, fence, before):
        for first, last in self._still_owed(*piece, fence):
            row = (first, last)
            # Nothing may be granted under this fence again: a late release
            # would take away what the server was given anew.
            self._given_up.append(_GivenUp(row=row, fence=fence))
            ends = [
                old.ends_at
                for old in before
                if old.fence == fence and rows_overlap(old.row, row)
            ]
            ends += [until for doubt, until in self._doubts if rows_overlap(doubt, row)]
            ends += [
                self._bound(call.began + GRANT_SECONDS, call.hold)
                for call in self._in_flight
                if call.hold and rows_overlap(call.row, row)
            ]
            latest = max(ends, default=self._bound(self._clock(), self._longest))
            release = _Release(first=first, last=last, fence=fence, ends_at=latest)
            self._releases.append(release)

    # What to do

    def due(self):
        """Return the calls that are due, and take them as begun."""
        now = self._clock()
        calls = [
            call
            for release in list(self._releases)
            if (call := self._due_release(release, now))
        ]
        calls += self._due_grants(now)
        self._in_flight.update(calls)
        return calls

    def _due_release(self, release, now):
        if now > release.ends_at:
            # Nobody renews it: whatever the server was granted is over.
            self._finish(release, "")
            return None
        if now < release.next_at or self._is_called(release.row, grants_only=True):
            return None
        release.next_at = now + RELEASE_SECONDS
        call = KeyCall(
            first=release.first, last=release.last, fence=release.fence, began=now
        )
        release.calls.append(call)
        return call

    def _due_grants(self, now):
        room = MOST_GRANTS - sum(1 for call in self._in_flight if call.hold)
        calls = []
        left = (self._permitted - now - GRANT_SECONDS) / (1 + DRIFT)
        hold = min(self._longest, left)
        if hold < LEAST_HOLD:
            return calls
        waiting = sorted(
            (row for row in self._rows if row.next_at <= now),
            key=lambda row: row.until,
        )
        for row in waiting:
            if len(calls) >= room:
                break
            if self._is_called(row.row):
                continue
            call = KeyCall(
                first=row.first,
                last=row.last,
                fence=row.fence,
                handover=row.handover,
                hold=hold,
                began=now,
            )
            row.ends_at = max(row.ends_at, self._bound(now + GRANT_SECONDS, hold))
            calls.append(call)
        return calls

    def _is_called(self, row, *, grants_only=False):
        return any(
            rows_overlap(call.row, row)
            for call in self._in_flight
            if call.hold or not grants_only
        )

    def next_at(self):
        """Return the clock's time at which another call is due."""
        times = [row.next_at for row in self._rows]
        times += [release.next_at for release in self._releases]
        times += [item.ready for item in self._returned]
        return min(times, default=float("inf"))

    @staticmethod
    def _bound(arrived, hold):
        """Return when a grant is over that arrived at the latest at `arrived`."""
        return arrived + hold * (1 + DRIFT) + MARGIN_SECONDS

    # What became of a call

    def note_done(self, call, handover=""):
        """Note that a call was answered with success."""
        self._end(call, heard=True)
        if not call.hold:
            release = self._release_of(call)
            if release is not None:
                self._finish(release, handover)
            return
        share = self._rng.uniform(*RENEW_SHARES)
        for row in self._rows_of(call):
            # The server counts from the arrival, which is no earlier.
            row.until = max(row.until, call.began + call.hold)
            row.next_at = call.began + call.hold * share
            row.lost = 0

    def note_refused(self, call):
        """Note that a higher fence was seen there: never call with this again.

        What else of the row the server holds runs out by itself; the leader
        is told then, and grants the keys under a fence above all others.
        """
        self._end(call, heard=True)
        for row in self._rows_of(call):
            self._rows.remove(row)
            self._given_up.append(_GivenUp(row=row.row, fence=row.fence))
            self._return(row, "", ready=row.ends_at)

    def note_denied(self, call):
        """Note an answer that says that the call was not carried out."""
        self._end(call, heard=True)
        self._put_off(call, DENIED_PAUSE)

    def note_lost(self, call, *, sent=True):
        """Note that a call got no answer, and that its connection is ended.

        One that was not even `sent` leaves nothing in doubt.
        """
        self._end(call, heard=False)
        now = self._clock()
        if call.hold and sent:
            self._doubts = [doubt for doubt in self._doubts if doubt[1] > now]
            self._doubts.append((call.row, self._bound(now, call.hold)))
        for row in self._rows_of(call):
            row.lost += 1
        lost = max((row.lost for row in self._rows_of(call)), default=1)
        self._put_off(call, min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (lost - 1)))

    def _end(self, call, *, heard):
        self._in_flight.discard(call)
        if heard:
            self._heard_at = self._clock()
            self._lost = 0
        else:
            self._lost += 1

    def _put_off(self, call, seconds):
        at = self._clock() + seconds
        for row in self._rows_of(call):
            row.next_at = at
        release = None if call.hold else self._release_of(call)
        if release is not None:
            release.next_at = min(release.next_at, at)

    def _rows_of(self, call):
        if not call.hold:
            return []
        return [
            row
            for row in self._rows
            if row.fence == call.fence and rows_overlap(row.row, call.row)
        ]

    def _release_of(self, call):
        return next((r for r in self._releases if call in r.calls), None)

    # What the leader is told

    def _finish(self, release, handover):
        """Note that the server has given a row up."""
        self._releases.remove(release)
        self._return(release, handover, ready=self._clock())

    def _return(self, row, handover, *, ready):
        """Give a row back to the leader, once no late grant can revive it."""
        ready = max(
            [ready, *(until for r, until in self._doubts if rows_overlap(r, row.row))]
        )
        returned = _Returned(
            first=row.first,
            last=row.last,
            fence=row.fence,
            handover=handover,
            ready=ready,
        )
        self._returned.append(returned)

    def returned(self):
        """Return rows (first, last, fence, handover) that are given up for sure."""
        now = self._clock()
        return tuple(item.fields for item in self._returned if item.ready <= now)

    def note_told(self, rows):
        """Note that the leader has taken returned rows."""
        told = set(rows)
        self._returned = [item for item in self._returned if item.fields not in told]
        forget_at = self._clock() + REMEMBERED_SECONDS
        for old in self._given_up:
            if any(rows_overlap(old.row, row) and old.fence == row[2] for row in told):
                old.forget_at = min(old.forget_at, forget_at)
