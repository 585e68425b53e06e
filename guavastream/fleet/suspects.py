"""Requests that servers had as they ended, and which of them is to blame."""

from zlib import crc32

from guavastream.kernel import record, replace

__all__ = ["ENOUGH_ENDS", "EndedLife", "Suspect"]

# Lives of servers that end under a request before it is refused.
ENOUGH_ENDS = 3
# Suspects that a book keeps. Those under which the fewest servers ended go first,
# so that many of them drive out no request that is refused.
MOST_SUSPECTS = 512
# Of these, those under which more than one server ended.
MOST_KNOWN = 384
# Of each of them: the latest lives and places, which tell a report that comes
# twice, and where it is harmful.
KEPT_LIVES = 8
KEPT_PLACES = 8
# Ends of servers that are remembered to tell a server that ends of itself.
KEPT_ENDS = 64


@record
class Suspect:
    """A request under which lives of servers ended, not answered since.

    Parameters
    ----------
    ends : int
        Lives that ended while they had it.
    lives : tuple of int
        Marks of the latest of these.
    places : tuple of tuple
        Pairs of service and software version of which these were.
    hosts : tuple of str
        Where the first two ended that were not at one host, or the one.
    refused : bool
        Whether it is to blame: it is sent to no server of these places.
    """

    ends: int
    lives: tuple[int, ...]
    places: tuple[tuple[str, str], ...]
    hosts: tuple[str, ...]
    refused: bool = False


@record
class EndedLife:
    """A life of a server that ended of itself, by its mark, and where.

    `explained` tells that it had a request under which others had ended before.
    """

    life: int
    host: str
    explained: bool


def note_end(suspects, ended, end):
    """Return the suspects and the ended lives after one more has ended.

    Parameters
    ----------
    suspects : dict of bytes to Suspect
        By fingerprint, those that were noted last at the end.
    ended : tuple of EndedLife
        The latest ones.
    end : EndInstance
        Which life, and the fingerprints of what it had.

    Returns
    -------
    suspects : dict of bytes to Suspect
    ended : tuple of EndedLife

    Notes
    -----
    All that a server had is suspect, most of it innocent, and the innocent come
    again too. So the one is refused under which the most lives ended, and only if
    no other under which as many did was there: hosts let those that were there
    twice run one at a time, and whatever is innocent is answered then. A server
    that has ended without it as often as under it ends for reasons of its own.

    Examples
    --------
    >>> from guavastream.fleet.commands import EndInstance
    >>> suspects, ended = {}, ()
    >>> for n in (1, 2, 3):
    ...     end = EndInstance(
    ...         id=f"i{n}", service="s", host=f"h{n}", requests=(b"bad", b"%d" % n)
    ...     )
    ...     suspects, ended = note_end(suspects, ended, end)
    >>> [r for r, suspect in suspects.items() if suspect.refused]
    [b'bad']
    """
    life = crc32(end.id.encode())
    noted = {}
    for request in end.requests:
        before = suspects.get(request)
        if before is None or life not in before.lives:
            noted[request] = _after(before, life, end)
    most = max((suspect.ends for suspect in noted.values()), default=0)
    if all(other.life != life for other in ended):
        last = EndedLife(life=life, host=end.host, explained=most > 1)
        ended = (*ended, last)[-KEPT_ENDS:]
    blamed = [r for r, suspect in noted.items() if suspect.ends == most]
    if most >= ENOUGH_ENDS and len(blamed) == 1:
        suspect = noted[blamed[0]]
        if not _ends_without(suspect, ended):
            noted[blamed[0]] = replace(suspect, refused=True)
    after = dict(suspects)
    for request, suspect in noted.items():
        after.pop(request, None)
        after[request] = suspect
    _bound(after)
    return after, ended


def _after(suspect, life, end):
    place = (end.service, end.version)
    if suspect is None:
        return Suspect(ends=1, lives=(life,), places=(place,), hosts=(end.host,))
    places = suspect.places
    if place not in places:
        places = (*places, place)[-KEPT_PLACES:]
    hosts = suspect.hosts
    if end.host not in hosts:
        hosts = (*hosts, end.host)[:2]
    return replace(
        suspect,
        ends=suspect.ends + 1,
        lives=(*suspect.lives, life)[-KEPT_LIVES:],
        places=places,
        hosts=hosts,
    )


def _ends_without(suspect, ended):
    """Whether the only host that lost servers under a request loses them anyway."""
    if len(suspect.hosts) > 1:
        return False
    without = sum(
        last.host == suspect.hosts[0]
        and last.life not in suspect.lives
        and not last.explained
        for last in ended
    )
    return without >= suspect.ends


def _bound(suspects):
    """Take out the least suspect ones beyond `MOST_SUSPECTS`, the oldest first."""
    excess = len(suspects) - MOST_SUSPECTS
    if excess <= 0:
        return
    # After the loss of many servers most are there once, and nothing need be sorted.
    gone = [r for r, suspect in suspects.items() if suspect.ends == 1]
    if len(suspects) - len(gone) > MOST_KNOWN:
        # What is new would else go at once, and never be found out.
        gone = [r for r, suspect in suspects.items() if suspect.refused]
    if len(gone) < excess:
        gone = sorted(suspects, key=lambda r: (suspects[r].refused, suspects[r].ends))
    for request in gone[:excess]:
        del suspects[request]


def clear_suspects(suspects, requests, place):
    """Return the suspects without those that a server of a place has answered.

    An answer elsewhere says nothing: one version may bear what another does not.
    """
    return {
        r: suspect
        for r, suspect in suspects.items()
        if r not in requests or place not in suspect.places
    }


def relax_suspects(suspects, requests):
    """Return the suspects with a refused request on trial, and others forgotten.

    A request on trial ends one server more, if it is still harmful.

    Examples
    --------
    >>> bad = Suspect(
    ...     ends=5, lives=(1,), places=(("s", ""),), hosts=("h",), refused=True
    ... )
    >>> tried = relax_suspects({b"bad": bad, b"other": bad}, (b"bad",))
    >>> tried[b"bad"].refused, tried[b"bad"].ends
    (False, 2)
    >>> list(relax_suspects(tried, (b"bad",)))
    [b'other']
    """
    relaxed = {}
    for request, suspect in suspects.items():
        if request not in requests:
            relaxed[request] = suspect
        elif suspect.refused:
            relaxed[request] = replace(suspect, ends=ENOUGH_ENDS - 1, refused=False)
    return relaxed


def forget_versions(suspects, gone):
    """Return the suspects without the places in `gone`, which have no server left.

    What was harmful there only is not suspect any more: it may be mended.
    """
    kept = {}
    for request, suspect in suspects.items():
        places = tuple(place for place in suspect.places if place not in gone)
        if places:
            kept[request] = replace(suspect, places=places)
    return kept
