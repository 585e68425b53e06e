"""A backend server as the platform has them: heartbeats, holds, departures."""

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass, field

from guavastream.emulator import DialectServer
from guavastream.fleet import subtract_range
from guavastream.platform.emulator.machine import HEARTBEAT, call
from guavastream.platform.keys import GRANT_PATH, RELEASE_PATH
from guavastream.platform.units import parse_time
from guavastream.platform.wire import DIALECT

__all__ = ["BackendServer", "OrderedKeys"]

# An order that gets no answer is carried out this much later, seconds.
LATE_SECONDS = (2.0, 4.0)
RELEASE_POLL = 0.01


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
    # Unix time in ms at which this life began.
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    # Where others reach it, if not at its own address.
    announced: str = ""
    # What it was granted by calls, if it takes any.
    ordered: object = None
    # Called when its departure is acknowledged.
    on_left: object = lambda: None

    @classmethod
    def make(
        cls, *, id, control, address, service="s", seconds=0.1, ordered=False, late=0.0
    ):
        """Return a server that answers after `seconds`.

        With `ordered` it is granted keys by calls; a share `late` of them
        gets no answer and is carried out seconds later.
        """
        server = DialectServer(id=id, dialect=DIALECT, address=address, seconds=seconds)
        made = cls(id=id, control=control, server=server, service=service)
        server.holds = made.holds
        if ordered:
            made.ordered = OrderedKeys(server=server, late=late)
        return made

    @property
    def life(self):
        """Name of this life of the server."""
        return f"{self.id} of {self.born}"

    def fence_of(self, key):
        """Return the fence under which a key is held now, or None."""
        if self.ordered is not None:
            return self.ordered.fence_of(key)
        if asyncio.get_running_loop().time() >= self.until:
            return None
        return next((fence for a, b, fence in self.rows if a <= key <= b), None)

    @property
    def has_keys(self):
        """Whether any key is held."""
        return bool(self.rows if self.ordered is None else self.ordered.rows)

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
            if self.ordered is not None:
                self.ordered.end()
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
            "born": self.born,
        }
        if self.ordered is None:
            body |= {"Holds": self.rows, "Released": told}
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


class OrderedKeys:
    """Keys that a server is granted by calls at its own address.

    Parameters
    ----------
    server : DialectServer
        Takes the calls.
    late : float
        Share of the calls that get no answer and are carried out later.
    """

    def __init__(self, *, server, late):
        self._server = server
        self._late = late
        self._rng = random.Random(server.id)
        self._rows = []
        self._seen = []
        self._tasks = set()
        server.calls = {GRANT_PATH: self._take_grant, RELEASE_PATH: self._take_release}

    @property
    def rows(self):
        """Rows (first, last) that are held now."""
        now = asyncio.get_running_loop().time()
        return [(first, last) for first, last, _, until in self._rows if now < until]

    def fence_of(self, key):
        """Return the fence under which a key is held now, or None."""
        now = asyncio.get_running_loop().time()
        fences = (f for a, b, f, until in self._rows if a <= key <= b and now < until)
        return max(fences, default=None)

    def end(self):
        """Hold nothing any more; late calls do nothing either."""
        self._rows = []
        for task in self._tasks:
            task.cancel()

    async def _answer_late(self, work):
        """Carry a call out later, as a task, and give no answer."""

        async def later():
            await asyncio.sleep(self._rng.uniform(*LATE_SECONDS))
            work()

        task = asyncio.ensure_future(later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(LATE_SECONDS[1])

    async def _take_grant(self, body, responder):
        order = json.loads(body)
        until = asyncio.get_running_loop().time() + parse_time(order["Hold"])
        row = (order["From"], order["TargetVersion"], order["fence"], until)
        if self._rng.random() < self._late:
            await self._answer_late(lambda: self._grant(row))
            responder.abort()
            return
        await responder.send(200 if self._grant(row) else 409)

    def _grant(self, row):
        first, last, fence, until = row
        if any(a <= last and first <= b and f > fence for a, b, f in self._seen):
            return False
        self._seen.append((first, last, fence))
        if until > asyncio.get_running_loop().time():
            self._cut(first, last)
            self._rows.append(row)
        return True

    def _cut(self, first, last):
        rows, self._rows = self._rows, []
        for a, b, fence, until in rows:
            pieces = subtract_range([(a, b)], (first, last))
            self._rows += [(*piece, fence, until) for piece in pieces]

    async def _take_release(self, body, responder):
        order = json.loads(body)
        first, last = order["From"], order["TargetVersion"]
        self._cut(first, last)
        while any(first <= key <= last for key in self._server.running_keys):
            await asyncio.sleep(RELEASE_POLL)
        await responder.send(200, [(b"Handover", b"t%d" % first)])
