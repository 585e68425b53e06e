"""Decides for how long the local backend server, once it leaves, gets requests."""

from guavastream.kernel import part_logger
from guavastream.scheduling.outcome import NotRun

__all__ = ["DepartureGate"]

log = part_logger("guard")


class DepartureGate:
    """Refuses requests for a server that has announced its departure.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    fleet_holder : TableHolder
        Holds the newest fleet state.
    find_local : callable
        Returns the instance with an id if it is the local one, or None.
    local_id : callable
        Returns the id of the local instance that was last sent a request.
    queue : AdmissionQueue
        Requests that wait for the local server.
    departures : Departures
        Records since when instances leave.
    count : callable
        Counts an event by name.

    Notes
    -----
    Requests that were on their way when the server announced its departure still run,
    and those for its keys until they have moved, for `DEPARTURE_GRACE_SECONDS`.
    """

    def __init__(
        self, *, loop, fleet_holder, find_local, local_id, queue, departures, count
    ):
        self._loop = loop
        self._fleet_holder = fleet_holder
        self._find_local = find_local
        self._local_id = local_id
        self._queue = queue
        self._departures = departures
        self._count = count

    def __contains__(self, id):
        return id in self._departures

    def note(self, id, *, told_by, is_new=True):
        """Note that an instance has announced its departure.

        Parameters
        ----------
        id : str
            Id of the instance.
        told_by : str
            Kind of the announcement, for the log.
        is_new : bool
            False if the process before this one may have passed it on already.
        """
        if id in self._departures:
            return
        # How long ago the process before this one heard of it is not known.
        is_new = is_new and not self._may_be_acknowledged(id)
        self._departures.note(id, since=None if is_new else float("-inf"))
        self._log_departure(id, told_by)
        # The queued requests can still be served by other servers.
        remaining = max(0.0, self._departures.remaining(id))
        self._loop.call_later(remaining, self._refuse_waiting, id)

    def _may_be_acknowledged(self, id):
        """Whether a process before this one may have acknowledged a departure.

        It is in the fleet state then, once that is complete through this one's start.
        """
        instance = self._find_local(id)
        if instance is None or instance.leaving:
            return True
        return not self._fleet_holder.confirmation.is_valid

    def _refuse_waiting(self, id):
        # Another instance may have the address by now.
        if self._local_id() == id:
            self._queue.refuse_waiting()

    def check(self, attempt, instance):
        """Refuse an attempt if an instance leaves and must not get it any more.

        Raises
        ------
        NotRun
            If it must not get the attempt.
        """
        if not instance.leaving and instance.id not in self._departures:
            return
        # A body that is passed on may arrive, and begin to run, long after its head.
        arrives_late = attempt.rest is not None and attempt.key is None
        if arrives_late or self._departures.is_over(instance.id):
            raise NotRun("leaving")

    def check_wait(self, attempt, instance):
        """Refuse an attempt that would have to wait until the instance gets no more.

        Raises
        ------
        NotRun
            If the expected wait is longer than the time that is left.
        """
        if instance.id not in self._departures:
            return
        wait = self._queue.expected_wait(attempt.urgency)
        if wait > self._departures.remaining(instance.id):
            raise NotRun("leaving")

    def note_send(self, attempt, instance):
        """Count and log an attempt that is sent to an instance that leaves."""
        if instance.id not in self._departures:
            return
        self._count("sent_to_leaving")
        log.info(
            "Sent to a server that leaves.",
            extra={
                "request": attempt.id.decode("latin-1"),
                "server": instance.id,
                "since_ms": _to_ms(self._departures.age(instance.id)),
                "again": bool(attempt.sent_at),
                "key": attempt.key,
                "book_ms": self._fleet_holder.confirmation.age_ms,
            },
        )

    def _log_departure(self, id, told_by):
        instance = self._find_local(id)
        log.info(
            "The local server is leaving.",
            extra={
                "server": id,
                "told_by": told_by,
                "since_ms": _to_ms(self._departures.age(id)),
                "in_fleet_state": instance is not None and instance.leaving,
                "book_ms": self._fleet_holder.confirmation.age_ms,
                "running": self._queue.running,
                "waiting": self._queue.waiting,
            },
        )


def _to_ms(seconds):
    """Return whole milliseconds, or None if the time is unknown."""
    return round(seconds * 1e3) if seconds < float("inf") else None
