"""Guavastream processes on loopback, configured by the platform's settings files."""

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass

from guavastream.http1 import Client, IncompleteMessage, NotSent

__all__ = [
    "HEARTBEAT_SECONDS",
    "Machine",
    "PORTS",
    "ReservedPorts",
    "call",
    "make_settings",
    "wait_until",
]

HEARTBEAT_SECONDS = 0.3
POLL_SECONDS = 0.05
PORTS = ("control", "outbound", "inbound", "ready", "first", "last")


async def wait_until(condition, seconds=30.0):
    """Poll a coroutine function until its result is true, and return the result."""
    async with asyncio.timeout(seconds):
        while not (found := await condition()):
            await asyncio.sleep(POLL_SECONDS)
    return found


async def call(address, method, path, body=None, headers=(), host=b"x"):
    """Send one request; return status and body, or 0 and no body without an answer."""
    encoded_body = body if isinstance(body, bytes) else json.dumps(body).encode()
    all_headers = [(b"Host", host), *headers]
    try:
        async with asyncio.timeout(3.0):
            async with await Client().open(address, fresh=True) as exchange:
                exchange.send(
                    method,
                    path,
                    all_headers,
                    encoded_body if body is not None else b"",
                )
                answer = await exchange.answer()
                return answer.status, (await answer.body.read_up_to(1 << 24))[0]
    except (NotSent, IncompleteMessage, TimeoutError):
        return 0, b""


class ReservedPorts:
    """Ports that nobody gets by chance on some IP addresses.

    Who binds one of them by its number gets it, also after it was released, as long as
    that is done with SO_REUSEADDR.

    Parameters
    ----------
    ips : list of str
        The IP addresses; each port is reserved on all of them.
    count : int
        Number of ports.
    """

    def __init__(self, *, ips, count):
        self._sockets = []
        self._numbers = []
        while len(self._numbers) < count:
            self._reserve(ips)

    @property
    def numbers(self):
        """The ports, in ascending order."""
        return sorted(self._numbers)

    def _reserve(self, ips):
        first = _bind(ips[0], 0)
        port, sockets = first.getsockname()[1], [first]
        try:
            for ip in ips[1:]:
                sockets.append(_bind(ip, port))
        except OSError:
            # It is taken on one of the addresses.
            for reserving in sockets:
                reserving.close()
            return
        self._sockets += sockets
        self._numbers.append(port)

    def release(self):
        """Let the ports go."""
        for reserving in self._sockets:
            reserving.close()


def _bind(ip, port):
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((ip, port))
    except OSError:
        bound.close()
        raise
    return bound


def make_settings(name, ip, ports, seeds, **overrides):
    """Return the text of a settings file.

    Parameters
    ----------
    name, ip : str
        Name and address of the process.
    ports : list of int
        One port for each of `PORTS`.
    seeds : list of str
        Addresses of the control hosts.
    **overrides
        Further settings, or other values, by the names of settings.
    """
    port = dict(zip(PORTS, ports, strict=True))
    values = {
        "NodeName": name,
        "Ip": ip,
        "Zone": "a",
        "Listen.Control": f"{ip}:{port['control']}",
        "InternalPorts": f"{port['first']},{port['last']}",
        "Seeds": ",".join(seeds),
        "Bootstrap": "true",
        "Heartbeat": f"{int(HEARTBEAT_SECONDS * 1000)}ms",
        "FaultTolerance.Machines": "1",
        "Bounds.Grace": "6s",
        **overrides,
    }
    return "".join(f"{name}={value}\n" for name, value in values.items())


@dataclass
class Machine:
    """One guavastream process with its own IP address."""

    name: str
    ip: str
    ports: list
    folder: object
    process: object = None
    # Whether an injected fault affects the process now.
    has_fault: bool = False
    # Whether the process has been told to stop or killed by a fault.
    is_ending: bool = False

    def address(self, port):
        """Return the IP:PORT of a port, named as in `PORTS`."""
        return f"{self.ip}:{self.ports[PORTS.index(port)]}"

    async def start(self, seeds, **overrides):
        """Start the process; `overrides` are passed on to `make_settings`."""
        settings_path = self.write_settings(seeds, **overrides)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "guavastream.platform",
            env=os.environ | {"GUAVASTREAM_BOOT": str(settings_path)},
            stdout=(self.folder / f"{self.name}.log").open("ab"),
            stderr=(self.folder / f"{self.name}.err").open("ab"),
        )

    def write_settings(self, seeds, **overrides):
        """Write the settings file, and return its path."""
        path = self.folder / f"{self.name}.conf"
        new = path.with_suffix(".new")
        new.write_text(
            make_settings(self.name, self.ip, self.ports, seeds, **overrides)
        )
        os.replace(new, path)
        return path

    def log(self):
        """Return the log of all processes started on this machine so far."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def terminate(self, signal_number=signal.SIGKILL):
        """Send a signal to the process, if it runs, and return its exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        return await self.process.wait()
