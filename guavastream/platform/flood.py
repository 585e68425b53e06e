"""`guavastream flood`: real processes under clients that ask for too much."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from guavastream.commands import command
from guavastream.platform.emulator import (
    EmulatedPlatform,
    call,
    make_route,
    wait_until,
)
from guavastream.platform.flood_forms import FLOODS

__all__ = ["FloodResult", "run_floods"]

EXIT_FAILED = 5
MB = 1 << 20
# Between the names of floods that are played at the same time, against one host.
SEPARATOR = "+"
# Pause between two ordinary requests at a host, each on a connection of its own.
ORDINARY_PAUSE_SECONDS = 0.1
# Longest time that an ordinary caller waits, with the command's default.
ORDINARY_TIMEOUT_SECONDS = 1.2
READINESS_PAUSE_SECONDS = 0.5
WATCH_SECONDS = 0.05
# Time after a flood until the memory that is kept is read, with the command's default.
CALM_SECONDS = 3.0
# Time in which an upload after a flood is sent again, and the pause between.
REFUSED_SECONDS = 5.0
RETRY_SECONDS = 0.5
CONFIG_VERSION = 3
SLOTS = 18
LARGE_ANSWER = b"x" * (2 * MB)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# States of /proc/net/tcp in which data can be unread: established and closed by the
# peer.
OPEN_STATES = ("01", "08")


@dataclass(frozen=True, kw_only=True)
class FloodResult:
    """What a flood did to the process that it was played against.

    `served` of `sent` ordinary requests at that host got their answers, and
    `other_served` of `other_sent` at another host. Memory is in bytes: resident, at
    most, then with what had arrived and was not read, and some seconds later.
    `passed_memory` says that the process passed its machine's memory, and was ended.
    """

    name: str
    sent: int
    served: int
    other_sent: int
    other_served: int
    ready_sent: int
    ready_missed: int
    peak: int
    peak_with_unread: int
    after: int
    passed_memory: bool
    ended: bool
    large_body_status: int

    @property
    def holds(self):
        """Whether the process lived, within its memory, and served half or more."""
        return (
            not self.passed_memory
            and not self.ended
            and 2 * self.served >= self.sent
            and 2 * self.other_served >= self.other_sent
            and 2 * self.ready_missed <= self.ready_sent
            and self.large_body_status == 200
        )

    def row(self):
        """Return the figures as one line."""
        return (
            f"{self.name:28} {self.served:3} of {self.sent:3} served, "
            f"other {self.other_served:3} of {self.other_sent:3}, "
            f"not ready {self.ready_missed} of {self.ready_sent}, "
            f"peak {self.peak // MB} ({self.peak_with_unread // MB}) MB, "
            f"after {self.after // MB} MB, large body {self.large_body_status}"
            + (", PASSED ITS MEMORY" if self.passed_memory else "")
            + (", ENDED" if self.ended else "")
            + ("" if self.holds else "  <- does not hold")
        )


class MemoryWatch:
    """Watches the memory of a process, and ends it above a limit.

    Parameters
    ----------
    machine : Machine
        Whose process is watched.
    limit : int
        Bytes that it may use, with what it has not read.
    """

    def __init__(self, *, machine, limit):
        self._machine = machine
        self._limit = limit
        octets = socket.inet_aton(machine.ip)
        self._hex_ip = octets[::-1].hex().upper()
        self.peak = self.peak_with_unread = 0
        self.passed = False

    def resident(self):
        """Return the resident memory of the process in bytes, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self._machine.process.pid}/statm").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return 0
        return int(text.split()[1]) * PAGE_BYTES

    def _unread(self):
        """Return the bytes that have arrived at its sockets and were not read."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].startswith(self._hex_ip) and fields[3] in OPEN_STATES:
                total += int(fields[4].partition(":")[2], 16)
        return total

    async def run(self):
        """Watch until cancelled."""
        while True:
            resident = self.resident()
            with_unread = resident + self._unread()
            self.peak = max(self.peak, resident)
            self.peak_with_unread = max(self.peak_with_unread, with_unread)
            if with_unread > self._limit and not self.passed:
                self.passed = True
                await self._machine.terminate(signal.SIGKILL)
            await asyncio.sleep(WATCH_SECONDS)


class OrdinaryCallers:
    """Callers who send a request at a time, each on a connection of its own.

    Parameters
    ----------
    pause, timeout : float
        Seconds between two requests, and for which one of them waits.
    send : callable
        Coroutine function that returns the status of the answer to one request.
    """

    def __init__(self, *, pause, timeout, send):
        self._pause = pause
        self._timeout = timeout
        self._send = send
        self._tasks = []
        self.statuses = []

    async def run(self, seconds):
        """Send requests for some seconds, and wait for their answers."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._tasks.append(asyncio.ensure_future(self._call()))
            await asyncio.sleep(self._pause)
        await asyncio.gather(*self._tasks)

    async def _call(self):
        try:
            async with asyncio.timeout(self._timeout):
                self.statuses.append(await self._send())
        except TimeoutError:
            self.statuses.append(0)

    @property
    def served(self):
        """Number of requests with a successful answer."""
        return self.statuses.count(200)


class FloodRun:
    """A platform with two servers, and the floods that are played against it.

    Parameters
    ----------
    folder : Path
        Directory for settings, data and logs.
    seconds, timeout, calm : float
        Duration of each flood, longest wait of an ordinary caller, and time after each
        flood until the memory that is kept is read.
    memory_mb : int
        Memory of each machine.
    """

    def __init__(self, *, folder, seconds, timeout, calm, memory_mb):
        self._seconds = seconds
        self._calm = calm
        self._timeout = timeout
        self._memory_mb = memory_mb
        self._ids = 0
        self._platform = EmulatedPlatform(
            folder=folder,
            keyed=0,
            plain=2,
            on_start=_prepare_server,
            settings={"Limits.MemoryMb": memory_mb, "Limits.MaxFds": 4100},
        )

    async def play(self, names):
        """Play floods one after another, and return an iterator of `FloodResult`."""
        try:
            await self._platform.start()
            await wait_until(self._add_routes)
            await wait_until(self._serves)
            for name in names:
                yield await self._play(name)
        finally:
            await self._platform.stop()

    async def _add_routes(self):
        config = self._platform.make_config(CONFIG_VERSION)
        config["Routes"]["look"] = make_route("order", PathPrefix="/look/", Kind="safe")
        for route in config["Routes"].values():
            route["Timeout"] = "5s"
        config["Limits"]["MaxBodyBytes"] = 64 * MB
        status, _ = await self._platform.send_change(
            self._platform.control_hosts[0], config, CONFIG_VERSION - 2
        )
        return status == 200

    async def _serves(self):
        hosts = self._platform.server_hosts
        return all([await self._send(host.machine) == 200 for host in hosts])

    async def _send(self, machine, *, method=b"GET", path=b"/look/x", body=None):
        self._ids += 1
        fields = [
            (b"Request-Id", b"ordinary-%d" % self._ids),
            (b"Deadline-Ms", b"%d" % (self._timeout * 1000)),
        ]
        address = machine.address("outbound")
        status, _ = await call(address, method, path, body, fields, host=b"a.example")
        return status

    async def _is_ready(self, machine):
        status, _ = await call(machine.address("ready"), b"GET", b"/api/readiness")
        return status

    async def _read_config(self, machine):
        status, _ = await self._platform.read_config(machine)
        return status

    def _callers(self, machine, *, is_control):
        send = self._read_config if is_control else self._send
        return OrdinaryCallers(
            pause=ORDINARY_PAUSE_SECONDS,
            timeout=self._timeout,
            send=lambda: send(machine),
        )

    async def _play(self, name):
        parts = name.split(SEPARATOR)
        flood = FLOODS[parts[0]]
        first, second = self._platform.server_hosts
        target = self._platform.control_hosts[0] if flood.control else first.machine
        watch = MemoryWatch(machine=target, limit=self._memory_mb * MB)
        callers = self._callers(target, is_control=flood.control)
        others = self._callers(second.machine, is_control=False)
        ready = OrdinaryCallers(
            pause=READINESS_PAUSE_SECONDS,
            timeout=self._timeout,
            send=lambda: self._is_ready(first.machine),
        )
        clients = [await self._start_clients(part, target) for part in parts]
        watching = asyncio.ensure_future(watch.run())
        try:
            await asyncio.gather(
                *(group.run(self._seconds) for group in (callers, others, ready))
            )
            await asyncio.gather(*(process.wait() for process in clients))
            await asyncio.sleep(self._calm)
        finally:
            watching.cancel()
            for process in clients:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        ended = target.process.returncode is not None
        result = FloodResult(
            name=name,
            sent=len(callers.statuses),
            served=callers.served,
            other_sent=len(others.statuses),
            other_served=others.served,
            ready_sent=len(ready.statuses),
            ready_missed=len(ready.statuses) - ready.served,
            peak=watch.peak,
            peak_with_unread=watch.peak_with_unread,
            after=watch.resident(),
            passed_memory=watch.passed,
            ended=ended and not watch.passed,
            large_body_status=0 if ended else await self._send_large_body(),
        )
        if ended:
            await self._restart(target, flood)
        return result

    async def _start_clients(self, name, machine):
        ip, _, number = machine.address(FLOODS[name].port).rpartition(":")
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "guavastream.platform.flood_clients",
            name,
            ip,
            number,
            "--seconds",
            str(self._seconds),
            stdout=(self._platform.folder / "clients.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )

    async def _send_large_body(self):
        """Return the status of a single upload inside the limits, in calm.

        What the flood has sent may not have been read yet, so it is sent again for a
        time while it is not served.
        """
        host = self._platform.server_hosts[0]
        body = b"x" * (8 * MB)
        until = time.monotonic() + REFUSED_SECONDS
        while True:
            status = await self._send(
                host.machine, method=b"POST", path=b"/load/x", body=body
            )
            if status == 200 or time.monotonic() > until:
                return status
            await asyncio.sleep(RETRY_SECONDS)

    async def _restart(self, target, flood):
        if flood.control:
            await self._platform.start_control(target)
        else:
            await self._platform.start_host(self._platform.server_hosts[0])
        await wait_until(self._platform.is_ready)
        await wait_until(self._serves)


def _prepare_server(server):
    server.server.slots = SLOTS
    server.server.keeps_bodies = False
    server.server.behave = _answer_large


async def _answer_large(request, responder):
    if not request.path.endswith(b"/2mb"):
        return False
    id = request.headers.get(b"request-id")
    fields = [(b"Request-Id", id), (b"Response-Seal", b"seal-" + id)]
    await responder.send(200, fields, LARGE_ANSWER)
    return True


async def run_floods(
    names,
    *,
    folder,
    seconds,
    timeout=ORDINARY_TIMEOUT_SECONDS,
    calm=CALM_SECONDS,
    memory_mb=300,
):
    """Play floods against one platform; an asynchronous iterator of `FloodResult`.

    The parameters are those of `FloodRun`.
    """
    run = FloodRun(
        folder=folder, seconds=seconds, timeout=timeout, calm=calm, memory_mb=memory_mb
    )
    async with contextlib.aclosing(run.play(names)) as results:
        async for result in results:
            yield result


@command(
    "flood",
    summary="Play clients that ask for too much against real processes.",
    example="guavastream flood --seconds 10 --memory-mb 200 'tiny chunks'",
)
def _set_up_command(parser):
    parser.add_argument(
        "names", nargs="*", help="floods, or A+B for two at once; all by default"
    )
    parser.add_argument("--seconds", type=float, default=10.0, help="of each (10)")
    parser.add_argument(
        "--memory-mb", type=int, default=300, help="of each machine (300)"
    )
    parser.add_argument("--folder", help="where logs are kept")
    return _run_command


def _run_command(arguments):
    parts = [part for name in arguments.names for part in name.split(SEPARATOR)]
    unknown = [part for part in parts if part not in FLOODS]
    if unknown:
        print(f"unknown floods: {unknown}; known: {list(FLOODS)}", file=sys.stderr)
        return 2

    async def run(folder):
        failed = []
        results = run_floods(
            arguments.names or list(FLOODS),
            folder=Path(folder),
            seconds=arguments.seconds,
            memory_mb=arguments.memory_mb,
        )
        async for result in results:
            print(result.row(), flush=True)
            if not result.holds:
                failed.append(result.name)
        print(f"{len(failed)} failed: {failed}")
        return EXIT_FAILED if failed else 0

    if arguments.folder:
        return asyncio.run(run(arguments.folder))
    with tempfile.TemporaryDirectory(prefix="guavastream-flood-") as folder:
        return asyncio.run(run(folder))
