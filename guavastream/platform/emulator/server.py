"""A backend server as the platform has them: heartbeats, holds, departures."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

from guavastream.platform.emulator.machine import HEARTBEAT, call
from guavastream.platform.wire import DIALECT
from guavastream.standins import DialectServer

__all__ = ["BackendServer"]


@dataclass
class BackendServer:
    """A backend server that sends heartbeats and keeps to its holds."""

    id: str
    control: str
    server: DialectServer
    service: str = "s"
    rows: list = field(default_factory=list)
    released: list = field(default_factory=list)
    state: str = "ready"
    until: float = 0.0
    acknowledged: str = ""
    seq: int = 0
    # Where others reach it, if not at its own address.
    announced: str = ""
    # Called when its departure is acknowledged.
    on_left: object = lambda: None

    @classmethod
    def make(cls, *, id, control, address, service="s", seconds=0.1):
        """Return a server that answers after `seconds`."""
        server = DialectServer(id=id, dialect=DIALECT, address=address, seconds=seconds)
        made = cls(id=id, control=control, server=server, service=service)
        server.holds = made.holds
        return made

    def fence_of(self, key):
        """Return the fence under which a key is held now, or None."""
        if asyncio.get_running_loop().time() >= self.until:
            return None
        return next((fence for a, b, fence in self.rows if a <= key <= b), None)

    def holds(self, key):
        """Whether a key is held now."""
        return self.fence_of(key) is not None

    async def leave(self):
        """Tell that this server ends; return whether that was acknowledged."""
        path = b"/api/instances/" + self.id.encode()
        status, _ = await call(self.control, b"DELETE", path)
        if status == 200:
            self.on_left()
        return status == 200

    async def run(self):
        """Serve and send heartbeats until cancelled; then it is gone."""
        await self.server.start()
        await self.send_heartbeats()

    async def send_heartbeats(self):
        """Send heartbeats until cancelled, and end then."""
        try:
            while True:
                pause = await self.beat()
                await asyncio.sleep(pause)
        finally:
            self.until = 0.0
            with contextlib.suppress(asyncio.CancelledError):
                await self.server.stop()

    async def beat(self):
        """Send one heartbeat; return the time until the next."""
        sent = asyncio.get_running_loop().time()
        self.seq += 1
        told, state = list(self.released), self.state
        body = {
            "Service": self.service,
            "Address": self.announced or self.server.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemaining": "0ms",
            "Seq": self.seq,
            "Holds": self.rows,
            "Released": told,
        }
        path = b"/api/instances/" + self.id.encode()
        status, answer = await call(self.control, b"PUT", path, body)
        if status != 200:
            return HEARTBEAT
        self.released = self.released[len(told) :]
        self.acknowledged = state
        if state == "draining":
            self.on_left()
        said = json.loads(answer)
        if "Holds" not in said:
            return HEARTBEAT
        kept = [row[:3] for row in said["Holds"]]
        gone = [row for row in self.rows if row not in kept]
        self.rows = kept
        self.released += [[a, b, f"t{self.seq}-{a}"] for a, b, _ in gone]
        self.until = sent + float(said["Hold"].removesuffix("ms")) / 1000
        return 0.1 if gone else HEARTBEAT
