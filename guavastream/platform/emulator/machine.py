"""Processes of the system on loopback, with settings as the platform gives them."""

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass

from guavastream.http1 import Client, CutOff, NotSent

__all__ = [
    "HEARTBEAT",
    "Machine",
    "PORTS",
    "call",
    "free_ports",
    "make_settings",
    "until",
]

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
    """Return ports of an IP number that were free just now, the lowest first."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((ip, 0))
    ports = sorted(item.getsockname()[1] for item in sockets)
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
    # Whether a fault is at work on the process.
    struck: bool = False
    # Whether it is told to stop, or killed.
    ending: bool = False

    def address(self, port):
        """Return IP:PORT of one of `PORTS`."""
        return f"{self.ip}:{self.ports[PORTS.index(port)]}"

    async def start(self, seeds, **changes):
        """Start the process; changed settings are given by their names."""
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

    def log(self):
        """Return what its processes have written."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def end(self, number=signal.SIGKILL):
        """Send a signal and wait until the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()
