"""The leader's part in suspect requests: cleared, let go, lifted by operators."""

import asyncio

from guavastream.exception import NotLeader
from guavastream.fleet import (
    ClearRequests,
    ForgetVersions,
    RelaxRequests,
    encode_command,
)
from guavastream.kernel import part_logger

__all__ = ["SuspectKeeper"]

TICK_SECONDS = 1.0
# A request under which no server has ended for this long is tried again, if it was
# refused, and forgotten if it was not.
KEPT_SECONDS = 3600.0
# A version of a service is gone if none of its servers has had it for this long.
# Those that crashed together are back by then.
GONE_SECONDS = 30.0

log = part_logger("quarantine")


class SuspectKeeper:
    """Tends the book's suspect requests while this control host leads.

    Parameters
    ----------
    raft : Raft
        Commits the decisions.
    machine : TableMachine
        Keeps the book.
    clock : callable
        Steady time in seconds, suspensions included.
    """

    def __init__(self, *, raft, machine, clock):
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._term = 0
        # When an end under a request, and the lack of a version, was first seen.
        self._since = {}
        self._missing = {}
        self._told = frozenset()

    @property
    def _book(self):
        return self._machine.table

    async def note_answered(self, report):
        """Clear requests that a server has answered.

        Raises
        ------
        NotLeader
            If this control host does not lead, or no longer.
        """
        known = tuple(r for r in report.requests if r in self._book.suspects)
        if known:
            await self._propose(
                ClearRequests(
                    requests=known, service=report.service, version=report.version
                )
            )

    async def lift(self, requests):
        """Forget requests, as an operator says.

        Raises
        ------
        NotLeader
            If this control host does not lead, or no longer.
        """
        known = tuple(r for r in requests if r in self._book.suspects)
        if known:
            await self._propose(RelaxRequests(requests=known, lift=True))
            log.info("Lifted by an operator: %s.", ", ".join(r.hex() for r in known))

    async def run(self):
        """Let old suspects go, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._raft.is_leader:
                continue
            if self._term != self._raft.term:
                self._term = self._raft.term
                self._since, self._missing = {}, {}
            self._tell()
            try:
                await self._relax()
                await self._forget_versions()
            except NotLeader:
                continue

    def _tell(self):
        """Say which requests are refused since the last look."""
        suspects = self._book.suspects
        refused = frozenset(r for r, suspect in suspects.items() if suspect.refused)
        for request in refused - self._told:
            suspect = suspects[request]
            log.warning(
                "A request is refused from now on.",
                extra={
                    "what": request.hex(),
                    "ended_servers": suspect.ends,
                    "places": suspect.places,
                },
            )
        self._told = refused

    async def _relax(self):
        suspects = self._book.suspects
        now = self._clock()
        marks = {request: (request, s.ends) for request, s in suspects.items()}
        self._since = {mark: self._since.get(mark, now) for mark in marks.values()}
        old = tuple(
            request
            for request, mark in marks.items()
            if now - self._since[mark] > KEPT_SECONDS
        )
        if old:
            await self._propose(RelaxRequests(requests=old))

    async def _forget_versions(self):
        book, now = self._book, self._clock()
        present = {(i.service, i.version) for i in book.instances.values()}
        services = {service for service, _ in present}
        places = {place for s in book.suspects.values() for place in s.places}
        missing = [p for p in places if p[0] in services and p not in present]
        self._missing = {place: self._missing.get(place, now) for place in missing}
        gone = tuple(p for p in missing if now - self._missing[p] > GONE_SECONDS)
        if gone:
            await self._propose(ForgetVersions(places=gone))

    async def _propose(self, command):
        return await self._raft.propose(encode_command(command))
