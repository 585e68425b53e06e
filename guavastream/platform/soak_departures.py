"""Servers of a soak test that leave while they are slow and lose answers."""

import asyncio
import random

from guavastream.platform.emulator import call
from guavastream.soak import Fault

__all__ = ["ServerDepartures"]

PAUSE_SECONDS = (0.3, 1.5)
# Time that a request takes at a server that is about to leave. Callers wait for 2 s.
SLOW_SECONDS = (0.3, 1.9)
# Time for which it is slow before it announces its departure.
SLOW_BEFORE_SECONDS = (0.2, 1.2)
LOST_ANSWER_SHARE = 0.5
# Time for which it serves on after the acknowledgement, and until the next one starts.
SERVE_SECONDS = (2.3, 5.0)
DOWN_SECONDS = 0.3
ANNOUNCEMENTS = ("heartbeat", "departure", "departure of a life")
RETRY_SECONDS = 0.1
# Faults of the host beside it, and when they strike after the announcement began.
HOST_FAULTS = ("none", "kill", "freeze", "stop")
FAULT_AFTER_SECONDS = (0.0, 2.0)
FAULT_SECONDS = (0.1, 1.0)
# A stopping host must not be ready by the second readiness check before 4 s are over.
READINESS_PAUSE_SECONDS = 0.1
STOPPING_SECONDS = 2.0
READY = 200


class ServerDepartures:
    """Lets servers leave, strikes the hosts beside them, and checks readiness.

    That nothing reaches a server that has left is checked by the ledger.

    Parameters
    ----------
    platform : EmulatedPlatform
        Its servers leave.
    ledger : Ledger
        Receives the violations.
    seed : int
        Seed of the departures.
    """

    def __init__(self, *, platform, ledger, seed):
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._ended = False
        self._task = None

    def start(self):
        """Start to let servers leave."""
        self._task = asyncio.ensure_future(self._run())

    async def end(self):
        """Let no more servers leave, and wait until all that left are replaced."""
        self._ended = True
        await self._task

    async def _run(self):
        async with asyncio.TaskGroup() as group:
            for server_host in self._platform.server_hosts:
                group.create_task(self._check_readiness(server_host))
            while not self._ended:
                await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
                server_host = self._choose()
                if server_host is not None:
                    group.create_task(self._leave(group, server_host))

    def _choose(self):
        """Return a host whose server may leave, or None if too few would be left."""
        ready = [
            server_host
            for server_host in self._platform.server_hosts
            if not server_host.server.is_ending and not server_host.task.done()
        ]
        services = [server_host.service for server_host in ready]
        spare = [host for host in ready if services.count(host.service) > 1]
        return self._rng.choice(spare) if spare else None

    async def _leave(self, group, server_host):
        """Let a server become slow, announce its departure, serve on, and end."""
        server, rng = server_host.server, self._rng
        server.is_ending = True
        server.server.seconds = rng.uniform(*SLOW_SECONDS)
        server.server.behave = self._lose_some
        await asyncio.sleep(rng.uniform(*SLOW_BEFORE_SECONDS))
        group.create_task(self._strike(server_host))
        await self._announce(server, rng.choice(ANNOUNCEMENTS))
        await asyncio.sleep(rng.uniform(*SERVE_SECONDS))
        await self._platform.crash_server(server_host)
        await asyncio.sleep(DOWN_SECONDS)
        self._platform.start_server(server_host)

    async def _lose_some(self, request, responder):
        """Cut the connection of some requests that have run."""
        if self._rng.random() >= LOST_ANSWER_SHARE:
            return False
        responder.abort()
        return True

    async def _announce(self, server, announcement):
        """Announce the departure of a server until it is acknowledged."""
        if announcement == "heartbeat":
            server.state = "draining"
            while server.acknowledged_state != server.state:
                await asyncio.sleep(RETRY_SECONDS)
            return
        names_life = announcement == "departure of a life"
        while not await server.send_departure(names_life=names_life):
            await asyncio.sleep(RETRY_SECONDS)

    async def _strike(self, server_host):
        kind = self._rng.choice(HOST_FAULTS)
        await asyncio.sleep(self._rng.uniform(*FAULT_AFTER_SECONDS))
        if kind == "none":
            return
        fault = Fault(
            at=0.0,
            group="host",
            kind=kind,
            target=self._platform.server_hosts.index(server_host),
            seconds=self._rng.uniform(*FAULT_SECONDS),
        )
        await self._platform.inject_fault(fault)

    async def _check_readiness(self, server_host):
        """Check that a host that is told to stop soon counts as ready no more."""
        machine = server_host.machine
        stopping_since = None
        while not self._ended:
            await asyncio.sleep(READINESS_PAUSE_SECONDS)
            if not machine.is_ending:
                stopping_since = None
                continue
            stopping_since = stopping_since or self._loop.time()
            process, asked_at = machine.process, self._loop.time()
            address = machine.address("ready")
            status, _ = await call(address, b"GET", b"/api/readiness")
            is_same = machine.is_ending and machine.process is process
            late = asked_at - stopping_since
            if status == READY and is_same and late > STOPPING_SECONDS:
                self._ledger.record_violation(
                    "stopping hosts are not ready", f"{machine.name} {late:.1f} s late"
                )
