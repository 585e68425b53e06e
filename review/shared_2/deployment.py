"""A small deployment on loopback: the programs, and stand-ins from the library only.

The programs run as the deploy file starts them. Backends, clients and the operator
are stand-ins written after PROTOCOL.md. Everything is recorded in `record.txt`.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PORTS = ("control", "outbound", "inbound", "ready", "first", "last", "app")
CATCH_UP, STABLE, RECOVERY, GRACE = 4.0, 3.0, 15.0, 6.0
HOST = "a.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_ports(ips, count):
    """Return `count` ports that are free on all addresses."""
    found = []
    while len(found) < count:
        sockets = []
        try:
            port = 0
            for ip in ips:
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((ip, port))
                port = sock.getsockname()[1]
            if port not in found:
                found.append(port)
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    return sorted(found)


async def call(address, method, path, body=None, headers=(), timeout=3.0):
    """Send one request on a new connection; return status, headers and body.

    Status 0 means no answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else body
            head = [f"{method} {path} HTTP/1.1"]
            fields = [("Host", HOST), *headers]
            if body is not None:
                fields.append(("Content-Length", str(len(data))))
            head += [f"{name}: {value}" for name, value in fields]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            status, answered = await read_head(reader)
            return int(status.split()[1]), answered, await read_body(reader, answered)
    except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader):
    """Return the first line of a message and its headers by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Machine:
    """A machine with one process of the system."""

    def __init__(self, deployment, name, ip, *, core):
        self.deployment, self.name, self.ip, self.core = deployment, name, ip, core
        self.process = None

    def address(self, port):
        return f"{self.ip}:{self.deployment.port[port]}"

    @property
    def data(self):
        return os.path.join(self.deployment.folder, "data-" + self.name)

    @property
    def settings_path(self):
        return os.path.join(self.deployment.folder, self.name + ".conf")

    def write_settings(self, *, seeds, bootstrap, service=""):
        """Write the settings file, of the form that DEPLOY.md shows."""
        at = self.address
        values = {
            "NodeName": self.name,
            "Role": "my-core" if self.core else "my-sidecar",
            "MachineClass": "core" if self.core else "sidecar",
            "Serves": "control_plane" if self.core else "sidecar",
            "Ip": self.ip,
            "Zone": "leith-a",
            "Region": "scot-central",
            "Zones.leith-a": "scot-central",
            "Listen.Control": at("control"),
            "InternalPorts": f"{self.deployment.port['first']},"
            f"{self.deployment.port['last']}",
            "Seeds": ",".join(machine.address("control") for machine in seeds),
            "Bootstrap": str(bootstrap).lower(),
            "InTolerance": str(self.core).lower(),
            "Limits.CpuShare": "0.86",
            "Limits.Cores": "3" if self.core else "1",
            "Limits.MemoryMb": "296" if self.core else "300",
            "Limits.MaxFds": "4096" if self.core else "4100",
            "Limits.LinkMbps": "1000.0",
            "Limits.DiskMb": "256" if self.core else "0",
            "Discovery": "static",
            "EntryMode": "static",
            "Heartbeat": "870ms",
            "Contracts": "base,drain,config,cost,retry,recover,own",
            "FaultTolerance.Machines": "2",
            "FaultTolerance.Zones": "0",
            "FaultTolerance.Regions": "0",
            "Bounds.SeedLag": "3s",
            "Bounds.AddrReuse": "2s",
            "Bounds.Stable": "3000ms",
            "Bounds.Ack": "4000ms",
            "Bounds.CatchUp": "4s",
            "Bounds.Drain": "2000ms",
            "Bounds.Grace": "6s",
            "Bounds.LossSlack": "200ms",
            "Bounds.ConfigApply": "2000ms",
            "Bounds.RollbackSlack": "250ms",
            "Bounds.Outer": "5000ms",
            "Bounds.RetryBudgetRatio": "0.2",
            "Bounds.BudgetWindow": "10s",
            "Bounds.BudgetSlack": "60",
            "Bounds.Recovery": "15s",
            "Bounds.MaxHold": "10000ms",
            "Bounds.ThawSlack": "300ms",
            "Grants": "heartbeat",
        }
        if self.core:
            values["DataDir"] = self.data
        else:
            values |= {
                "Listen.Inbound": at("inbound"),
                "Listen.Outbound": at("outbound"),
                "Listen.Ready": at("ready"),
                "AppAddr": at("app"),
                "Service": service,
            }
        text = "".join(f"{name}={value}\n" for name, value in values.items())
        with open(self.settings_path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings_path + ".new", self.settings_path)

    async def start(self, *, seeds, bootstrap, service=""):
        if self.core:
            os.makedirs(self.data, exist_ok=True)
        self.write_settings(seeds=seeds, bootstrap=bootstrap, service=service)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
            "GUAVASTREAM_BOOT": self.settings_path,
        }
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "-m", "guavastream.platform",
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.deployment.processes.append(self.process)
        self.deployment.record(
            f"start {self.name} at {self.ip}, Bootstrap={str(bootstrap).lower()}, "
            f"Seeds={','.join(s.name for s in seeds)}"
        )

    async def kill(self):
        self.deployment.record(f"SIGKILL {self.name}")
        self.process.kill()
        await self.process.wait()

    async def stop(self):
        """End the process as planned: SIGTERM, and SIGKILL after `Grace`."""
        self.deployment.record(f"SIGTERM {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.deployment.record(f"{self.name} has ended")

    def lose_disk(self):
        self.deployment.record(f"{self.name} loses its disk")
        shutil.rmtree(self.data, ignore_errors=True)

    def log(self):
        path = os.path.join(self.deployment.folder, self.name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Backend:
    """A sound backend beside a sidecar: serves requests and sends heartbeats."""

    def __init__(self, machine, service, *, work_s=0.02):
        self.machine, self.service, self.work_s = machine, service, work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.ran = []
        self.seq = 0
        self.server = None

    async def start(self):
        port = self.machine.deployment.port["app"]
        self.server = await asyncio.start_server(
            self._serve, self.machine.ip, port, reuse_address=True
        )
        self.beating = asyncio.ensure_future(self._beat())

    def stop(self):
        self.beating.cancel()
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                await read_body(reader, headers)
                writer.write(await self._answer(method, path, headers))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, headers):
        if path == "/health":
            return self._message(200, {"Instance-Id": self.id}, b"")
        id = headers.get("request-id", "")
        if headers.get("expected-instance", self.id) != self.id or not id:
            status = 421 if id else 400
            fields = {"Not-Executed": "1", "Request-Id": id}
            return self._message(status, fields, b"")
        self.ran.append(id)
        await asyncio.sleep(self.work_s)
        body = f"{id} by {self.id}".encode()
        fields = {"Request-Id": id, "Response-Seal": f"seal.{id}.{self.id}"}
        return self._message(200, fields, body)

    def _message(self, status, fields, body):
        lines = [f"HTTP/1.1 {status} X"]
        fields = {**fields, "Server-Load": "1,0,18", "Content-Length": len(body)}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _beat(self):
        while True:
            self.seq += 1
            beat = {
                "Service": self.service,
                "Address": self.machine.address("app"),
                "Zone": "leith-a",
                "Version": "v1",
                "Slots": 18,
                "State": "ready",
                "ColdRemaining": "0ms",
                "Seq": self.seq,
            }
            await call(
                self.machine.address("control"), "PUT", f"/api/instances/{self.id}",
                json.dumps(beat).encode(), [("Content-Type", "application/json")],
                timeout=1.0,
            )
            await asyncio.sleep(0.87)


class Deployment:
    """Core machines, sidecar machines with backends, clients and an operator."""

    def __init__(self, folder, *, cores=5, spares=2, sidecars=2):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.processes = []
        prefix = f"127.{60 + random.randrange(30)}.{random.randrange(250)}"
        names = [(f"core-{n}", n, True) for n in range(1, cores + spares + 1)]
        names += [(f"side-{n}", 20 + n, False) for n in range(1, sidecars + 1)]
        ips = [f"{prefix}.{n}" for _, n, _ in names]
        self.port = dict(zip(PORTS, free_ports(ips, len(PORTS)), strict=True))
        machines = [
            Machine(self, name, f"{prefix}.{n}", core=core) for name, n, core in names
        ]
        self.cores = [m for m in machines if m.core]
        self.first = self.cores[:cores]
        self.spares = self.cores[cores:]
        self.sides = [m for m in machines if not m.core]
        self.backends = []
        self.acknowledged = None
        self.version = 0
        self.answers = []
        self._ids = itertools.count(1)
        self._tasks = []

    async def start(self):
        """Start everything, send the first configuration, and start the clients."""
        seeds = self.first[:3]
        for machine in self.first:
            await machine.start(seeds=seeds, bootstrap=True)
        for machine in self.sides:
            await machine.start(seeds=seeds, bootstrap=True, service="plain")
            backend = Backend(machine, "plain")
            await backend.start()
            self.backends.append(backend)
        await self.change(self.config(), at=self.first, seconds=20.0)
        for machine in self.sides:
            self._tasks.append(asyncio.ensure_future(self._send_requests(machine)))
        # Traffic starts 10 s after the machines do; here once requests are served.
        until = time.monotonic() + 15.0
        while not any(status == 200 for _, status in self.answers[-10:]):
            if time.monotonic() > until:
                raise CannotRun("no request is served after the start")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def config(self):
        route = {
            "Host": HOST, "PathPrefix": "/x/", "Kind": "safe", "Timeout": "1200ms",
            "TargetLatency": "500ms", "Priority": 2, "Service": "plain",
            "MaxAttempts": 2,
        }
        service = {
            "HealthPath": "/health", "MaxConnections": 120, "Protocol": "h1",
            "Tls": False,
        }
        limits = {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
        }
        return {
            "Routes": {"r-read": route}, "Services": {"plain": service},
            "Limits": limits,
        }

    async def change(self, config, *, at, seconds=8.0):
        """Send a whole configuration, again until it is acknowledged."""
        number = self.version + 2
        body = json.dumps({"Version": f"{number:08x}", **config}).encode()
        fields = [
            ("If-Match", f"{self.version:08x}"), ("Content-Type", "application/json")
        ]
        until = time.monotonic() + seconds
        for machine in itertools.cycle(at):
            status, _, _ = await call(
                machine.address("control"), "PUT", "/api/config", body, fields,
                timeout=1.0,
            )
            self.record(f"operator: PUT version {number} at {machine.name}: {status}")
            if status == 200:
                self.version = number
                self.acknowledged = {"Version": f"{number:08x}", **config}
                return machine
            if time.monotonic() > until:
                raise CannotRun(f"version {number} was not acknowledged")
            await asyncio.sleep(0.2)

    async def read_back(self, *, at, seconds):
        """Read the configuration for some seconds; return the last one that came."""
        until = time.monotonic() + seconds
        found = None
        for machine in itertools.cycle(at):
            status, _, body = await call(
                machine.address("control"), "GET", "/api/config", timeout=1.0
            )
            self.record(f"operator: GET at {machine.name}: {status}")
            if status == 200:
                found = json.loads(body)
            if time.monotonic() > until:
                return found
            await asyncio.sleep(0.15)

    async def _send_requests(self, machine):
        """Send a request every 0.1 s, each on a connection of its own."""
        while True:
            self._tasks.append(asyncio.ensure_future(self._send_request(machine)))
            await asyncio.sleep(0.1)

    async def _send_request(self, machine):
        id = f"{next(self._ids):016x}"
        sent = time.monotonic()
        fields = [("Request-Id", id), ("Deadline-Ms", "1200")]
        status, headers, body = await call(
            machine.address("outbound"), "GET", "/x/1", None, fields, timeout=1.2
        )
        if status == 200 and not (
            headers.get("request-id") == id and body.startswith(id.encode())
        ):
            self.record(f"request {id}: foreign answer {headers} {body!r}")
        self.record(f"request {id} at {machine.name}: {status}")
        self.answers.append((sent, status))

    def served(self, since, until):
        """Return the number of requests sent in a time, and of those served."""
        statuses = [status for sent, status in self.answers if since <= sent < until]
        return len(statuses), statuses.count(200)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for backend in self.backends:
            backend.stop()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def judge_recovery(deployment, *, cores, before):
    """Check RECOVER and the configuration that is read back at the end.

    `before` is the time before the final fault from which the share of served
    requests is counted. Called when all machines are back. Return an exit status.
    """
    record = deployment.record
    back = time.monotonic()
    sent, served = deployment.served(before, back)
    record.say(f"before and around the fault: {served} of {sent} requests served")
    await asyncio.sleep(RECOVERY)
    since = time.monotonic()
    found = await deployment.read_back(at=cores, seconds=2 * STABLE)
    await asyncio.sleep(1.3)
    sent, served = deployment.served(since, time.monotonic() - 1.3)
    record.say(f"RECOVER: later than 15 s after: {served} of {sent} requests served")
    broken = served * 4 < sent
    if found is None:
        record.say("CONFIG: read back at the end: no configuration")
        broken = True
    else:
        same = found == deployment.acknowledged
        record.say(f"CONFIG: read back at the end: {found['Version']}, same: {same}")
        broken = broken or not same
    return BROKEN if broken else HELD


def main(folder, scenario):
    """Play a scenario within 118 s and exit with its status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        deployment = Deployment(folder)
        deployment.record(f"TROUBLE={int(trouble)}")
        try:
            async with asyncio.timeout(110.0):
                await deployment.start()
                return await scenario(deployment, trouble)
        except (CannotRun, TimeoutError) as error:
            deployment.record.say(f"The case could not run: {error!r}")
            return NOT_RUN
        finally:
            await deployment.stop()

    status = asyncio.run(play())
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status])
    sys.exit(status)
