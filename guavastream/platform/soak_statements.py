"""Servers of a soak test that name limits and say in their answers that they leave."""

import asyncio
import random

from guavastream.emulator import StatementCheck
from guavastream.platform.wire import DIALECT

__all__ = ["ServerStatements"]

PAUSE_SECONDS = (0.2, 1.5)
LIMITED_SECONDS = (1.0, 8.0)
RATE_LIMITS = (0.5, 3.0, 6.0, 15.2, 40.0)
# Chance that a limit is replaced by another one when it ends.
CHANGE_SHARE = 0.4


class ServerStatements:
    """Lets servers say something of themselves, and checks what hosts make of it.

    Parameters
    ----------
    platform : EmulatedPlatform
        Its servers name limits; its hosts are checked.
    ledger : Ledger
        Receives the violations.
    seed : int
        Seed of the limits.
    """

    def __init__(self, *, platform, ledger, seed):
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._check = None
        platform.on_answer = self._note_answer
        platform.on_host_fault = self._note_fault
        platform.states_departures = True

    @property
    def _statements(self):
        if self._check is None:
            clock = asyncio.get_running_loop().time
            self._check = StatementCheck(clock=clock)
        return self._check

    def note_start(self, server):
        """Watch the requests of a `BackendServer` that starts."""
        emulated = server.server
        emulated.on_arrival = lambda id: self._statements.note_arrival(id, emulated)

    def note_sent(self, id, server_host):
        """Note that a caller sends a request to a host."""
        self._statements.note_sent(id, server_host.machine.name)

    def _note_answer(self, id, headers):
        self._statements.note_answer(
            id,
            limited=bool(headers.get(DIALECT.rate_limit.lower())),
            leaving=bool(headers.get(DIALECT.leaving.lower())),
        )

    def _note_fault(self, server_host):
        self._statements.note_fault(server_host.machine.name)

    def report(self):
        """Record what the check has found."""
        for text in self._statements.violations:
            self._ledger.record_violation(
                "servers get what they take by their own word", text
            )

    async def run(self):
        """Limit one server after the other, several at a time, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
                group.create_task(self._limit_one())

    async def _limit_one(self):
        server = self._rng.choice(self._platform.server_hosts).server.server
        while True:
            server.rate_limit = self._rng.choice(RATE_LIMITS)
            await asyncio.sleep(self._rng.uniform(*LIMITED_SECONDS))
            if self._rng.random() > CHANGE_SHARE:
                break
        server.rate_limit = None

    def lift_all(self):
        """Lift all limits."""
        for server_host in self._platform.server_hosts:
            server_host.server.server.rate_limit = None
