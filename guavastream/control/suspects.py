"""Maintenance of suspect requests, those that may have crashed servers."""

import asyncio

from guavastream.exception import NotLeader
from guavastream.fleet import (
    ClearSuspects,
    ExpireSuspects,
    ForgetVersions,
    encode_command,
)
from guavastream.kernel import part_logger

__all__ = ["SuspectManager"]

CHECK_INTERVAL_SECONDS = 1.0
# A suspect request during which no server has ended for this long is relaxed: if it
# was refused, it is tried again, and if not, it is forgotten.
RELAX_SECONDS = 3600.0
# A version of a service counts as gone if none of its servers has run it for this
# long. Servers that crashed at the same time have restarted by then.
VERSION_GONE_SECONDS = 30.0

log = part_logger("quarantine")


class SuspectManager:
    """Maintains the replicated suspect requests while this control host leads.

    Parameters
    ----------
    raft : Raft
        Commits the decisions.
    machine : TableStateMachine
        Keeps the replicated state, including the suspect requests.
    clock : callable
        Monotonic time in seconds, including time while suspended.
    """

    def __init__(self, *, raft, machine, clock):
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._term = 0
        # When each (request, number of ends) was first seen.
        self._first_seen = {}
        # When each (service, version) was first seen to run on no server.
        self._missing_since = {}
        # Requests that were logged as refused.
        self._logged = frozenset()

    @property
    def _state(self):
        """The replicated state after the last applied command."""
        return self._machine.table

    async def clear_answered(self, report):
        """Clear suspect requests that a server has answered.

        Raises
        ------
        NotLeader
            If this control host is not the leader, or stops being it.
        """
        known = tuple(r for r in report.requests if r in self._state.suspects)
        if known:
            await self._propose(
                ClearSuspects(
                    requests=known, service=report.service, version=report.version
                )
            )

    async def lift(self, requests):
        """Forget suspect requests at an operator's command.

        Raises
        ------
        NotLeader
            If this control host is not the leader, or stops being it.
        """
        known = tuple(r for r in requests if r in self._state.suspects)
        if known:
            await self._propose(ExpireSuspects(requests=known, lift=True))
            log.info(
                "Suspect requests lifted by an operator: %s.",
                ", ".join(r.hex() for r in known),
            )

    async def run(self):
        """Relax old suspect requests while leading, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._raft.is_leader:
                continue
            if self._term != self._raft.term:
                self._term = self._raft.term
                self._first_seen, self._missing_since = {}, {}
            self._log_refused()
            try:
                await self._relax_old()
                await self._forget_versions()
            except NotLeader:
                continue

    def _log_refused(self):
        """Log the requests that have become refused since the last call."""
        suspects = self._state.suspects
        refused = frozenset(r for r, suspect in suspects.items() if suspect.refused)
        for request in refused - self._logged:
            suspect = suspects[request]
            log.warning(
                "A request is refused from now on.",
                extra={
                    "what": request.hex(),
                    "ended_servers": suspect.crash_count,
                    "places": suspect.places,
                },
            )
        self._logged = refused

    async def _relax_old(self):
        """Relax the requests whose number of ends has not changed for long."""
        suspects = self._state.suspects
        now = self._clock()
        marks = {request: (request, s.crash_count) for request, s in suspects.items()}
        self._first_seen = {
            mark: self._first_seen.get(mark, now) for mark in marks.values()
        }
        old = tuple(
            request
            for request, mark in marks.items()
            if now - self._first_seen[mark] > RELAX_SECONDS
        )
        if old:
            await self._propose(ExpireSuspects(requests=old))

    async def _forget_versions(self):
        """Forget the versions that no server of a present service runs any more."""
        state, now = self._state, self._clock()
        present = {(i.service, i.version) for i in state.instances.values()}
        services = {service for service, _ in present}
        # A place is a pair of service and version.
        places = {place for s in state.suspects.values() for place in s.places}
        missing = [p for p in places if p[0] in services and p not in present]
        self._missing_since = {
            place: self._missing_since.get(place, now) for place in missing
        }
        gone = tuple(
            p for p in missing if now - self._missing_since[p] > VERSION_GONE_SECONDS
        )
        if gone:
            await self._propose(ForgetVersions(places=gone))

    async def _propose(self, command):
        return await self._raft.propose(encode_command(command))
