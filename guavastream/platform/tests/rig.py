"""Stand-ins for the platform: its machines, backend servers and operator."""

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass, field

from guavastream.http1 import Client, CutOff, NotSent
from guavastream.platform.wire import DIALECT
from guavastream.standins import DialectServer

__all__ = ["BackendServer", "Machine", "call", "make_settings", "until"]

HEARTBEAT = 0.3
POLL = 0.05
PORTS = ("control", "outbound", "inbound", "ready", "first", "last")


async def until(condition, seconds=30.0):
    """Wait until a coroutine function returns something true, and return it."""
    async with asyncio.timeout(seconds):
        while not (found := await condition()):
            await asyncio.sleep(POLL)
    return found


async def call(address, method, path, body=None, headers=(), host=b"x"):
    """Return status and body of one call; 0 if there was no answer."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = [(b"Host", host), *headers]
    try:
        async with asyncio.timeout(3.0):
            async with await Client().open(address, fresh=True) as exchange:
                exchange.send(method, path, fields, data if body is not None else b"")
                answer = await exchange.answer()
                return answer.status, (await answer.body.read_up_to(1 << 24))[0]
    except (NotSent, CutOff, TimeoutError):
        return 0, b""


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((ip, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def make_settings(name, ip, ports, seeds, **changes):
    """Return the text of a settings file."""
    port = dict(zip(PORTS, ports, strict=True))
    fields = {
        "NodeName": name,
        "Ip": ip,
        "Zone": "a",
        "Listen.Control": f"{ip}:{port['control']}",
        "InternalPorts": f"{port['first']},{port['last']}",
        "Seeds": ",".join(seeds),
        "Bootstrap": "true",
        "Heartbeat": f"{int(HEARTBEAT * 1000)}ms",
        "FaultTolerance.Machines": "1",
        "Bounds.Grace": "6s",
        **changes,
    }
    return "".join(f"{name}={value}\n" for name, value in fields.items())


@dataclass
class Machine:
    """One process of the system on an address of its own."""

    name: str
    ip: str
    ports: list
    folder: object
    process: object = None

    def address(self, port):
        return f"{self.ip}:{self.ports[PORTS.index(port)]}"

    async def start(self, seeds, **changes):
        path = self.folder / f"{self.name}.conf"
        path.write_text(make_settings(self.name, self.ip, self.ports, seeds, **changes))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "guavastream.platform",
            env=os.environ | {"GUAVASTREAM_BOOT": str(path)},
            stdout=(self.folder / f"{self.name}.log").open("ab"),
            stderr=(self.folder / f"{self.name}.err").open("ab"),
        )

    async def end(self, number=signal.SIGKILL):
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()


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

    @classmethod
    def make(cls, *, id, control, address):
        server = DialectServer(id=id, dialect=DIALECT, address=address)
        made = cls(id=id, control=control, server=server)
        server.holds = made.holds
        return made

    def holds(self, key):
        now = asyncio.get_running_loop().time()
        return now < self.until and any(a <= key <= b for a, b, _ in self.rows)

    async def run(self):
        """Serve and send heartbeats until cancelled."""
        await self.server.start()
        while True:
            pause = await self.beat()
            await asyncio.sleep(pause)

    async def beat(self):
        sent = asyncio.get_running_loop().time()
        self.seq += 1
        told, state = list(self.released), self.state
        body = {
            "Service": self.service,
            "Address": self.server.address,
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
        said = json.loads(answer)
        if "Holds" not in said:
            return HEARTBEAT
        kept = [row[:3] for row in said["Holds"]]
        gone = [row for row in self.rows if row not in kept]
        self.rows = kept
        self.released += [[a, b, f"t{self.seq}-{a}"] for a, b, _ in gone]
        self.until = sent + float(said["Hold"].removesuffix("ms")) / 1000
        return 0.1 if gone else HEARTBEAT
