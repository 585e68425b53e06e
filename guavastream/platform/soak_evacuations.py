"""Evacuations of availability zones and cold servers in a soak test."""

import asyncio
import random

__all__ = ["EVACUATING_PLATFORM", "EvacuationCheck"]

# Settings of the emulated platform. The bound of requests per second at a cold server
# follows from its tolerated rate and the default settings of a process.
EVACUATING_PLATFORM = {"zones": ("a", "b"), "cold_seconds": 2.0, "cold_rate": 7.5}
MAX_REQUESTS_WHILE_COLD = 19
# A zone's servers get no request later than this after the acknowledgement.
EVACUATION_SECONDS = 5.0
# The host beside a server may be late for this long after a fault of its own or of a
# control host.
CALM_SECONDS = 3.0
PAUSE_SECONDS = (0.2, 2.0)
EVACUATED_SECONDS = (0.5, 9.0)
RESEND_PAUSE_SECONDS = 0.2
# Operators resend an order for this long, and then give up.
RESEND_SECONDS = 4.0


class EvacuationCheck:
    """An operator that evacuates zones, and the checks of what servers get.

    Parameters
    ----------
    platform : EmulatedPlatform
        Receives the orders.
    ledger : Ledger
        Receives the violations.
    seed : int
        Seed of the evacuations.
    """

    def __init__(self, *, platform, ledger, seed):
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._servers = []
        # Times of the acknowledgements, for the zones that are evacuated.
        self._acknowledged_at = {}
        self._evacuated_zone = ""
        self._task = None

    def note_start(self, server):
        """Note a `BackendServer` that starts."""
        self._servers.append(server)

    def note_run(self, id, server):
        """Check a request that a server begins to run."""
        now = asyncio.get_running_loop().time()
        late = now - self._acknowledged_at.get(server.zone, float("inf"))
        if late <= EVACUATION_SECONDS:
            return
        beside = [p for p in self._platform.server_hosts if p.server is server]
        if self._platform.is_fault_free(beside, CALM_SECONDS):
            self._ledger.record_violation(
                "servers of an evacuated zone get no requests", f"{id!r} {late:.1f} s"
            )

    def check_cold_servers(self):
        """Check that no cold server got more requests in a second than allowed."""
        for server in self._servers:
            most = server.server.most_while_cold
            if most > MAX_REQUESTS_WHILE_COLD:
                self._ledger.record_violation(
                    "cold servers are not pressed", f"{server.id}: {most} in a second"
                )

    async def run(self):
        """Evacuate one zone after the other, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            zone = self._rng.choice(EVACUATING_PLATFORM["zones"])
            self._evacuated_zone = zone
            is_acknowledged = await self._send(zone, active=True)
            if is_acknowledged:
                self._acknowledged_at[zone] = asyncio.get_running_loop().time()
            await asyncio.sleep(self._rng.uniform(*EVACUATED_SECONDS))
            self._acknowledged_at.pop(zone, None)
            if is_acknowledged:
                self._cool_servers(zone)
            await self._send_until_done(zone, active=False)

    def _cool_servers(self, zone):
        """Make the servers of an evacuated zone cold, as if they lost their caches."""
        now = asyncio.get_running_loop().time()
        for server in self._servers:
            if server.zone == zone:
                server.server.cold_until = now + EVACUATING_PLATFORM["cold_seconds"]

    def start(self):
        """Start to evacuate zones, and return the task."""
        self._task = asyncio.ensure_future(self.run())
        return self._task

    async def end(self):
        """Evacuate no more zones, and end the evacuation that is under way."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._acknowledged_at.clear()
        if self._evacuated_zone:
            await self._send_until_done(self._evacuated_zone, active=False)

    async def _send_until_done(self, zone, *, active):
        while not await self._send(zone, active=active):
            pass

    async def _send(self, zone, *, active):
        """Send an order, again to other hosts; return whether it is acknowledged."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + RESEND_SECONDS
        while loop.time() < give_up_at:
            machine = self._rng.choice(self._platform.control_hosts)
            if await self._platform.set_evacuation(machine, zone, active=active) == 200:
                return True
            await asyncio.sleep(RESEND_PAUSE_SECONDS)
        return False
