"""Detects the requests that crash the servers they run on."""

from zlib import crc32

from guavastream.kernel import record, replace

__all__ = ["CRASHES_BEFORE_REFUSAL", "ServerCrash", "Suspect"]

# Crashes of servers under a request after which it is refused.
CRASHES_BEFORE_REFUSAL = 3
# Suspects that the fleet state keeps. Those with the fewest crashes are evicted first,
# so that a flood of new suspects cannot evict a request that is refused.
MAX_SUSPECTS = 512
# Limit of suspects with more than one crash. Beyond it, refused requests are evicted
# first, which leaves room for new suspects.
MAX_REPEATED_SUSPECTS = 384
# Incarnations kept for each suspect, to ignore a report that arrives twice.
MAX_INCARNATIONS = 8
# Pairs of service and version kept for each suspect, which limit where it is refused.
MAX_PLACES = 8
# Crashes kept to detect a host whose servers crash without harmful requests.
MAX_CRASHES = 64


@record(encoded_names={"crash_count": "ends", "incarnations": "lives"})
class Suspect:
    """A request that was running when servers crashed, and was not answered since.

    Parameters
    ----------
    crash_count : int
        Number of servers that crashed while they ran it.
    incarnations : tuple of int
        CRC-32 of the IDs of the latest of these servers' incarnations.
    places : tuple of tuple
        Pairs of service and software version of the servers that crashed.
    hosts : tuple of str
        The first two different hosts of these servers, or the only one.
    refused : bool
        Whether it is considered harmful and not sent to servers of `places`.
    """

    crash_count: int
    incarnations: tuple[int, ...]
    places: tuple[tuple[str, str], ...]
    hosts: tuple[str, ...]
    refused: bool = False


@record(encoded_names={"incarnation": "life"})
class ServerCrash:
    """The end of a server that was not removed but ended on its own.

    Parameters
    ----------
    incarnation : int
        CRC-32 of the ID of the server's incarnation.
    host : str
        Host that the server ran on.
    explained : bool
        Whether it ran a request under which another server had crashed before.
    """

    incarnation: int
    host: str
    explained: bool


def record_crash(suspects, crashes, end):
    """Return the suspects and the latest crashes after another server has crashed.

    Parameters
    ----------
    suspects : dict of bytes to Suspect
        Suspects by fingerprint, the least recently reported first.
    crashes : tuple of ServerCrash
        The latest crashes.
    end : EndInstance
        The incarnation that ended, and fingerprints of the requests that it ran.

    Returns
    -------
    suspects : dict of bytes to Suspect
    crashes : tuple of ServerCrash

    Notes
    -----
    Every request that was running becomes a suspect. Most of them are harmless, and
    harmless ones may be retried and be running at the next crash too. Therefore only
    the request with the most crashes is refused, and only if no other request of the
    same server has as many. Hosts run requests with two crashes one at a time, so
    harmless ones are answered, which clears them. A request that has crashed servers
    of one host only is not refused if they crash without it as often as with it.

    Examples
    --------
    >>> from guavastream.fleet.commands import EndInstance
    >>> suspects, crashes = {}, ()
    >>> for n in (1, 2, 3):
    ...     end = EndInstance(
    ...         id=f"i{n}", service="s", host=f"h{n}", requests=(b"bad", b"%d" % n)
    ...     )
    ...     suspects, crashes = record_crash(suspects, crashes, end)
    >>> [r for r, suspect in suspects.items() if suspect.refused]
    [b'bad']
    """
    incarnation = crc32(end.id.encode())
    reported = {}
    for request in end.requests:
        before = suspects.get(request)
        if before is None or incarnation not in before.incarnations:
            reported[request] = _count_crash(before, incarnation, end)
    most = max((suspect.crash_count for suspect in reported.values()), default=0)
    if all(other.incarnation != incarnation for other in crashes):
        crash = ServerCrash(incarnation=incarnation, host=end.host, explained=most > 1)
        crashes = (*crashes, crash)[-MAX_CRASHES:]
    most_suspect = [r for r, suspect in reported.items() if suspect.crash_count == most]
    if most >= CRASHES_BEFORE_REFUSAL and len(most_suspect) == 1:
        suspect = reported[most_suspect[0]]
        if not _crashes_without(suspect, crashes):
            reported[most_suspect[0]] = replace(suspect, refused=True)
    after = dict(suspects)
    for request, suspect in reported.items():
        after.pop(request, None)
        after[request] = suspect
    _evict_excess(after)
    return after, crashes


def _count_crash(suspect, incarnation, end):
    place = (end.service, end.version)
    if suspect is None:
        return Suspect(
            crash_count=1,
            incarnations=(incarnation,),
            places=(place,),
            hosts=(end.host,),
        )
    places = suspect.places
    if place not in places:
        places = (*places, place)[-MAX_PLACES:]
    hosts = suspect.hosts
    if end.host not in hosts:
        hosts = (*hosts, end.host)[:2]
    return replace(
        suspect,
        crash_count=suspect.crash_count + 1,
        incarnations=(*suspect.incarnations, incarnation)[-MAX_INCARNATIONS:],
        places=places,
        hosts=hosts,
    )


def _crashes_without(suspect, crashes):
    """Return whether the only host of a suspect has as many crashes without it."""
    if len(suspect.hosts) > 1:
        return False
    without = sum(
        crash.host == suspect.hosts[0]
        and crash.incarnation not in suspect.incarnations
        and not crash.explained
        for crash in crashes
    )
    return without >= suspect.crash_count


def _evict_excess(suspects):
    """Evict the least suspicious requests beyond `MAX_SUSPECTS`, oldest first."""
    excess = len(suspects) - MAX_SUSPECTS
    if excess <= 0:
        return
    # If many servers crash at once, most suspects have one crash. They are evicted
    # without sorting all suspects.
    candidates = [r for r, suspect in suspects.items() if suspect.crash_count == 1]
    if len(suspects) - len(candidates) > MAX_REPEATED_SUSPECTS:
        # Suspects with one crash are kept here, as new ones would otherwise be
        # evicted at once and never reach the number of crashes for a refusal.
        candidates = [r for r, suspect in suspects.items() if suspect.refused]
    if len(candidates) < excess:
        candidates = sorted(
            suspects, key=lambda r: (suspects[r].refused, suspects[r].crash_count)
        )
    for request in candidates[:excess]:
        del suspects[request]


def clear_suspects(suspects, requests, place):
    """Return the suspects without those that a server of `place` has answered.

    `place` is a pair of service and version. Suspects that crashed no server of it
    are kept, since a request may crash one version and be harmless to another.
    """
    return {
        r: suspect
        for r, suspect in suspects.items()
        if r not in requests or place not in suspect.places
    }


def expire_suspects(suspects, requests):
    """Return the suspects after some have caused no crash for a long time.

    A refused request is allowed again, but refused after one more crash. Other
    requests are no longer suspects.

    Examples
    --------
    >>> bad = Suspect(
    ...     crash_count=5,
    ...     incarnations=(1,),
    ...     places=(("s", ""),),
    ...     hosts=("h",),
    ...     refused=True,
    ... )
    >>> expired = expire_suspects({b"bad": bad, b"other": bad}, (b"bad",))
    >>> expired[b"bad"].refused, expired[b"bad"].crash_count
    (False, 2)
    >>> list(expire_suspects(expired, (b"bad",)))
    [b'other']
    """
    remaining = {}
    for request, suspect in suspects.items():
        if request not in requests:
            remaining[request] = suspect
        elif suspect.refused:
            remaining[request] = replace(
                suspect, crash_count=CRASHES_BEFORE_REFUSAL - 1, refused=False
            )
    return remaining


def forget_versions(suspects, gone):
    """Return the suspects without the places in `gone`, which have no server left.

    A request that crashed only such versions is no longer a suspect, as the fault
    may be fixed in the current ones.
    """
    kept = {}
    for request, suspect in suspects.items():
        places = tuple(place for place in suspect.places if place not in gone)
        if places:
            kept[request] = replace(suspect, places=places)
    return kept
