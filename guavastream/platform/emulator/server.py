"""A backend server of the emulated platform: heartbeats, held keys and departures."""

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass, field

from guavastream.emulator import DialectServer
from guavastream.fleet import subtract_range
from guavastream.platform.emulator.machine import HEARTBEAT_SECONDS, call
from guavastream.platform.keys import GRANT_PATH, RELEASE_PATH
from guavastream.platform.units import format_time, parse_time
from guavastream.platform.wire import DIALECT

__all__ = ["BackendServer", "CallGrantedKeys"]

# Range of the delay with which an unanswered grant call is executed.
LATE_DELAY_SECONDS = (2.0, 4.0)
RELEASE_POLL_SECONDS = 0.01


@dataclass
class BackendServer:
    """A backend server that sends heartbeats and tracks the keys that it holds."""

    id: str
    control_address: str
    server: DialectServer
    service: str = "s"
    rows: list = field(default_factory=list)
    released: list = field(default_factory=list)
    zone: str = "a"
    state: str = "ready"
    hold_expires_at: float = 0.0
    acknowledged_state: str = ""
    # Whether its end is under way; its heartbeats may not say so.
    is_ending: bool = False
    seq: int = 0
    # Start of this instance, Unix time in ms.
    started_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    # Address to announce if it differs from the server's own, such as a proxy's.
    announced_address: str = ""
    # Keys granted by calls; None if they are granted in answers to heartbeats.
    call_granted: object = None
    # Called when the state "draining" or a departure is acknowledged.
    on_departure: object = lambda: None

    @classmethod
    def make(
        cls,
        *,
        id,
        control_address,
        address,
        service="s",
        zone="a",
        seconds=0.1,
        call_granted=False,
        late_share=0.0,
    ):
        """Return a server that answers requests after `seconds`.

        With `call_granted`, keys are granted by calls; the share `late_share` of them
        gets no answer and is executed seconds later.
        """
        server = DialectServer(id=id, dialect=DIALECT, address=address, seconds=seconds)
        made = cls(
            id=id,
            control_address=control_address,
            server=server,
            service=service,
            zone=zone,
        )
        server.holds = made.holds
        if call_granted:
            made.call_granted = CallGrantedKeys(
                server=server,
                late_share=late_share,
                names_calls=random.Random(f"{id} names calls").random() < 0.5,
            )
        return made

    @property
    def instance_name(self):
        """Name of this instance of the server, unique across restarts."""
        return f"{self.id} of {self.started_ms}"

    def fence_of(self, key):
        """Return the fencing token under which a key is held now, or None."""
        if self.call_granted is not None:
            return self.call_granted.fence_of(key)
        if asyncio.get_running_loop().time() >= self.hold_expires_at:
            return None
        return next((fence for a, b, fence in self.rows if a <= key <= b), None)

    @property
    def has_keys(self):
        """Whether any row of keys is held."""
        return bool(self.rows if self.call_granted is None else self.call_granted.rows)

    def holds(self, key):
        """Return whether a key is held now."""
        return self.fence_of(key) is not None

    async def send_departure(self, *, names_life=False):
        """Announce the departure of this server; return whether it was acknowledged.

        With `names_life` the body tells which instance of the server leaves.
        """
        path = b"/api/instances/" + self.id.encode()
        body = {"born": self.started_ms} if names_life else None
        status, _ = await call(self.control_address, b"DELETE", path, body)
        if status == 200:
            self.on_departure()
        return status == 200

    async def run(self):
        """Serve and send heartbeats until cancelled, then stop the server."""
        await self.server.start()
        await self.send_heartbeats()

    async def send_heartbeats(self):
        """Send heartbeats until cancelled, then drop all keys and stop the server."""
        try:
            while True:
                pause = await self.send_heartbeat()
                await asyncio.sleep(pause)
        finally:
            self.hold_expires_at = 0.0
            if self.call_granted is not None:
                self.call_granted.drop_all()
            with contextlib.suppress(asyncio.CancelledError):
                await self.server.stop()

    async def send_heartbeat(self):
        """Send one heartbeat; return the seconds until the next one."""
        sent = asyncio.get_running_loop().time()
        self.seq += 1
        reported, state = list(self.released), self.state
        body = {
            "Service": self.service,
            "Address": self.announced_address or self.server.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemaining": format_time(self.server.cold_seconds),
            "Seq": self.seq,
            "born": self.started_ms,
        }
        if self.call_granted is None:
            body |= {"Holds": self.rows, "Released": reported}
        path = b"/api/instances/" + self.id.encode()
        status, answer = await call(self.control_address, b"PUT", path, body)
        if status != 200:
            return HEARTBEAT_SECONDS
        self.released = self.released[len(reported) :]
        self.acknowledged_state = state
        if state == "draining":
            self.on_departure()
        granted = json.loads(answer)
        if "Holds" not in granted:
            return HEARTBEAT_SECONDS
        kept = [row[:3] for row in granted["Holds"]]
        # Only keys that the answer leaves out are released, not whole rows: a row may
        # come back shorter, split or under another fence.
        lost = [(first, last) for first, last, _ in self.rows]
        for row in kept:
            lost = subtract_range(lost, row)
        self.rows = kept
        self.released += [[a, b, f"t{self.seq}-{a}"] for a, b in lost]
        self.hold_expires_at = sent + float(granted["Hold"].removesuffix("ms")) / 1000
        return 0.1 if lost else HEARTBEAT_SECONDS


class CallGrantedKeys:
    """Keys that are granted to a server by calls to its own address.

    Parameters
    ----------
    server : DialectServer
        Receives the calls.
    late_share : float
        Share of grant calls that get no answer and are executed later.
    names_calls : bool
        Whether answers name the call that they belong to.
    """

    def __init__(self, *, server, late_share=0.0, names_calls=True):
        self._names_calls = names_calls
        self._server = server
        self._late_share = late_share
        self._rng = random.Random(server.id)
        self._rows = []
        self._accepted = []
        self._tasks = set()
        server.calls = {
            GRANT_PATH: self._handle_grant,
            RELEASE_PATH: self._handle_release,
        }

    @property
    def rows(self):
        """Rows (first key, last key) that are held now."""
        now = asyncio.get_running_loop().time()
        return [
            (first, last)
            for first, last, _, hold_expires_at in self._rows
            if now < hold_expires_at
        ]

    def fence_of(self, key):
        """Return the highest fencing token under which a key is held, or None."""
        now = asyncio.get_running_loop().time()
        fences = (
            f
            for a, b, f, hold_expires_at in self._rows
            if a <= key <= b and now < hold_expires_at
        )
        return max(fences, default=None)

    def drop_all(self):
        """Drop all keys and cancel the calls that are to be executed later."""
        self._rows = []
        for task in self._tasks:
            task.cancel()

    async def _execute_later(self, execute):
        """Execute a call later in a task; return once its sender has timed out."""

        async def later():
            await asyncio.sleep(self._rng.uniform(*LATE_DELAY_SECONDS))
            execute()

        task = asyncio.ensure_future(later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(LATE_DELAY_SECONDS[1])

    async def _handle_grant(self, body, responder):
        call_body = json.loads(body)
        hold_expires_at = asyncio.get_running_loop().time() + parse_time(
            call_body["Hold"]
        )
        row = (
            call_body["From"],
            call_body["TargetVersion"],
            call_body["fence"],
            hold_expires_at,
        )
        if self._rng.random() < self._late_share:
            await self._execute_later(lambda: self._grant(row))
            responder.abort()
            return
        status = 200 if self._grant(row) else 409
        await responder.send(status, self._name(responder.request))

    def _name(self, request):
        return self._server.echo(request) if self._names_calls else []

    def _grant(self, row):
        first, last, fence, hold_expires_at = row
        if any(a <= last and first <= b and f > fence for a, b, f in self._accepted):
            return False
        self._accepted.append((first, last, fence))
        if hold_expires_at > asyncio.get_running_loop().time():
            self._remove_range(first, last)
            self._rows.append(row)
        return True

    def _remove_range(self, first, last):
        rows, self._rows = self._rows, []
        for a, b, fence, hold_expires_at in rows:
            pieces = subtract_range([(a, b)], (first, last))
            self._rows += [(*piece, fence, hold_expires_at) for piece in pieces]

    async def _handle_release(self, body, responder):
        call_body = json.loads(body)
        first, last = call_body["From"], call_body["TargetVersion"]
        self._remove_range(first, last)
        while any(first <= key <= last for key in self._server.running_keys):
            await asyncio.sleep(RELEASE_POLL_SECONDS)
        fields = [(b"Handover", b"t%d" % first), *self._name(responder.request)]
        await responder.send(200, fields)
