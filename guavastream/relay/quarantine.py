"""Keeps requests under which servers ended away from further servers."""

from collections import OrderedDict

from guavastream.fleet import ENOUGH_ENDS
from guavastream.kernel import part_logger
from guavastream.relay.fingerprint import FINGERPRINT_BYTES, body_print, head_print
from guavastream.relay.outcome import NotRun

__all__ = ["Quarantine", "Standing"]

# Requests that this host has seen end servers itself and the book does not show
# (yet), and for how long they count without it, seconds.
MOST_SEEN = 256
SEEN_SECONDS = 5.0
# A host that has heard no control host for this long decides by what it has seen.
CUT_OFF_SECONDS = 2.0
# Advice to come back for what is refused, seconds: no sooner than somebody can have
# mended the server.
RETRY_SECONDS = 60.0
# Ends of servers from which on a request runs beside no other such one, and is not
# sent on by this system when another server has ended under it.
WATCHED_ENDS = ENOUGH_ENDS - 1

log = part_logger("quarantine")


class Standing:
    """What is known of one request under which servers ended.

    Parameters
    ----------
    print : bytes
        Its fingerprint.
    suspect : Suspect or None
        What the book tells.
    seen : set of str
        Lives that this host has seen end under it.
    cut_off : bool
        Whether the book may be long out of date.
    """

    __slots__ = ("print", "_cut_off", "_seen", "_suspect")

    def __init__(self, *, print, suspect, seen, cut_off):
        self.print = print
        self._suspect = suspect
        self._seen = seen
        self._cut_off = cut_off

    @property
    def ends(self):
        """Lives that are known to have ended under it."""
        known = self._suspect.ends if self._suspect else 0
        return max(known, len(self._seen))

    @property
    def watched(self):
        """Whether it may not run beside another one like it."""
        return self.ends >= WATCHED_ENDS

    def is_refused_at(self, server):
        """Whether it is not to be sent to a server."""
        if self._cut_off and len(self._seen) >= ENOUGH_ENDS:
            return True
        suspect = self._suspect
        if suspect is None or not suspect.refused:
            return False
        return (server.service, server.version) in suspect.places


class Quarantine:
    """Requests that are suspect to one host: by the book, and by its own eyes.

    A host that reaches no control host goes by what it has seen itself.

    Parameters
    ----------
    clock : callable
        Steady time in seconds.
    books : TableHolder
        Newest book.
    count : callable
        Counts an event by name.

    Notes
    -----
    As long as no server has ended, a check costs 0.2 us, and 3 us while other requests
    are suspect: only the fingerprint of the head is taken then, and that of the body
    where the head is one of theirs.
    """

    def __init__(self, *, clock, books, count):
        self._clock = clock
        self._books = books
        self._count = count
        self._suspects = {}
        self._seen = OrderedDict()
        self._heads = frozenset()

    def follow(self, before, book):
        """Take what a newer book tells."""
        if book.suspects is before.suspects:
            return
        # What is in the book no more, or refused no more, was answered, lifted by an
        # operator, or let go after a while.
        for print, suspect in before.suspects.items():
            now = book.suspects.get(print)
            if now is None or (suspect.refused and not now.refused):
                self._seen.pop(print, None)
        self._suspects = book.suspects
        self._index()

    def _index(self):
        half = FINGERPRINT_BYTES // 2
        prints = (*self._suspects, *self._seen)
        self._heads = frozenset(print[:half] for print in prints)

    def look(self, request):
        """Return the `Standing` of a job or an attempt, or None if nobody suspects it.

        Its `method`, `headers`, `target` and `body` tell.
        """
        if not self._heads:
            return None
        head = head_print(request.method, request.headers, request.target)
        if head not in self._heads:
            return None
        print = head + body_print(request.body)
        suspect = self._suspects.get(print)
        seen = self._seen_of(print, suspect)
        if suspect is None and not seen:
            return None
        silence = self._clock() - self._books.confirmed_at
        return Standing(
            print=print, suspect=suspect, seen=seen, cut_off=silence > CUT_OFF_SECONDS
        )

    def _seen_of(self, print, suspect):
        at, lives = self._seen.get(print, (0.0, ()))
        if not lives or suspect is not None:
            return lives
        # Long known to control hosts, which have not kept it or have cleared it.
        if self._books.confirmed_at - at > SEEN_SECONDS:
            del self._seen[print]
            self._index()
            return ()
        return lives

    def check(self, request, server):
        """Return the standing of a request that may go to a server, or None.

        Raises
        ------
        NotRun
            If it is kept from that server.
        """
        standing = self.look(request)
        if standing is not None and standing.is_refused_at(server):
            raise NotRun("quarantined", retry_after=RETRY_SECONDS)
        return standing

    def note_end(self, print, life):
        """Note that this host has seen a life of a server end under a request."""
        _, lives = self._seen.pop(print, (0.0, frozenset()))
        self._seen[print] = (self._clock(), lives | {life})
        while len(self._seen) > MOST_SEEN:
            self._seen.popitem(last=False)
        self._index()

    def note_answered(self, print):
        """Note that a server has answered a request: it is harmless after all."""
        if self._seen.pop(print, None):
            self._index()
