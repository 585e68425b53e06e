"""A small deployment on loopback: the project's programs, and stand-ins around them.

The programs are started with the command of the deploy file. Backends, clients and the
operator are stand-ins that follow PROTOCOL.md. Only the standard library is used.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_SECONDS = 0.87
ACK_SECONDS = 1.0
SAMPLE_SECONDS = 0.01
MAX_OVERLAP_SECONDS = 0.5
# Longer work is watched: it ends if its caller leaves.
LONG_WORK_SECONDS = 2.0
PORT_NAMES = ("control", "outbound", "inbound", "ready", "app", "first", "last")
ZONES = ("leith-a", "livingston-b", "gyle-c")
HOST = "jepu9.example"


class CannotRun(Exception):
    """The deployment did not come up, so the case shows nothing."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f}  {text}\n")
        self._file.flush()


# HTTP/1.1


async def read_head(reader):
    """Return the first line and the fields of a message, None at the end."""
    line = await reader.readline()
    if not line:
        return None
    fields = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def format_message(first_line, fields, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(address, method, path, fields=(), body=b"", timeout=3.0):
    """Send one request on a new connection; return status, fields and body.

    The status is 0 without a complete answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            names = {name.lower() for name, _ in fields}
            own = [] if "host" in names else [("Host", address)]
            line = f"{method} {path} HTTP/1.1"
            writer.write(format_message(line, [*own, *fields], body))
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


# Backends


def cut_rows(rows, first, last):
    """Return rows (first, last, ...) without the keys from `first` to `last`."""
    left = []
    for a, b, *rest in rows:
        if b < first or last < a:
            left.append((a, b, *rest))
            continue
        if a < first:
            left.append((a, first - 1, *rest))
        if last < b:
            left.append((last + 1, b, *rest))
    return left


class ExtraAnswers:
    """Picks refusals that a faulty backend sends a second time, at a bounded share.

    Parameters
    ----------
    backend : Backend
        The faulty backend.
    share : float
        Share of its answers, counted from now on, that it may send twice.
    """

    def __init__(self, *, backend, share):
        self._backend, self._share = backend, share
        self._before = backend.answers
        self.count = 0

    def spoils(self, answer):
        """Return whether to send an answer, which has been counted, twice."""
        counted = self._backend.answers - self._before
        if not answer.startswith(b"HTTP/1.1 421"):
            return False
        if self.count + 1 > self._share * counted:
            return False
        self.count += 1
        return True


class Backend:
    """One incarnation of a backend server."""

    def __init__(
        self, *, rig, machine, id, service, slots, work, keyed, grants, born=None
    ):
        self.rig, self.machine, self.id, self.service = rig, machine, id, service
        self.slots, self.work, self.keyed, self.grants = slots, work, keyed, grants
        self.born = born
        self.address = machine.address("app")
        self.label = f"{id} born {born}" if born else id
        self.up = False
        self.cold_until = 0.0
        self.cold_factor = 1.0
        self.running = 0
        self.waiting = 0
        self.ran = []
        # When the callers of requests left while they ran, by id.
        self.broken_off = {}
        self.last_status = 0
        self.state = "ready"
        # Time that it takes to act on the answer to a heartbeat.
        self.apply_seconds = 0.0
        self.answers = 0
        # How it spoils its answers, or None.
        self.garble = None
        self._silent = False
        self._seq = 0
        # Rows (first, last, fence, expires_at).
        self._rows = []
        self._fences = []
        self._released = []
        self._slots = asyncio.Semaphore(slots)
        self._server = self._beats = None
        self._writers = set()
        self._tasks = set()

    # Life

    async def start(self, *, beats=True):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.up = True
        self.rig.record(f"backend {self.label} of {self.service} listens")
        if beats:
            self.begin_beats()

    def begin_beats(self):
        self._beats = asyncio.ensure_future(self._send_beats())

    def crash(self):
        """End without a word: all connections break, and the address is closed."""
        self.up = False
        self._rows = []
        if self._beats is not None:
            self._beats.cancel()
        self.close()
        self.rig.record(f"backend {self.label} has crashed")

    def crash_silently(self):
        """End without a word, as if the machine were gone: nothing answers any more.

        `close` must be called before another incarnation starts.
        """
        self.up = False
        self._rows = []
        self._silent = True
        self._beats.cancel()
        self.rig.record(f"backend {self.label} has crashed silently")

    def close(self):
        """Close the address and all connections of a backend that has crashed."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    # Keys

    def held(self):
        """Return the rows (first, last, fence) that are held now."""
        now = time.monotonic()
        return [row[:3] for row in self._rows if now < row[3]] if self.up else []

    def holds(self, key):
        return any(a <= key <= b for a, b, _ in self.held())

    def _seen_higher(self, first, last, fence):
        return any(a <= last and first <= b and f > fence for a, b, f in self._fences)

    def _take(self, rows, expires_at):
        """Take rows (first, last, fence) of an answer; release all others."""
        before, self._rows = self.held(), []
        for first, last, fence in rows:
            if self._seen_higher(first, last, fence):
                continue
            self._fences.append((first, last, fence))
            self._rows.append((first, last, fence, expires_at))
        gone = before
        for first, last, _ in rows:
            gone = cut_rows(gone, first, last)
        self._released += [[a, b, f"h{self._seq}-{a}"] for a, b, _ in gone]
        return bool(gone)

    # Heartbeats

    def beat_body(self):
        self._seq += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.machine.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemaining": f"{self._cold_ms()}ms",
            "Seq": self._seq,
        }
        if self.born:
            body["born"] = self.born
        if self.keyed and self.grants == "heartbeat":
            body |= {"Holds": self.held(), "Released": list(self._released)}
        return body

    def _cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def _send_beats(self):
        while True:
            pause = await self._send_beat()
            await asyncio.sleep(pause)

    async def _send_beat(self):
        sent, body = time.monotonic(), self.beat_body()
        status, answer = await self.rig.put_beat(self.machine, self.id, body)
        if status != self.last_status:
            self.rig.record(f"heartbeats of {self.label}: status {status}")
            self.last_status = status
        if status != 200 or time.monotonic() - sent > ACK_SECONDS:
            return HEARTBEAT_SECONDS
        self._released = self._released[len(body.get("Released", ())) :]
        said = json.loads(answer or b"{}")
        if "Holds" not in said or self.grants != "heartbeat":
            return HEARTBEAT_SECONDS
        hold = float(said["Hold"].removesuffix("ms")) / 1000
        rows = [tuple(row[:3]) for row in said["Holds"]]
        await asyncio.sleep(self.apply_seconds)
        return 0.1 if self._take(rows, sent + hold) else HEARTBEAT_SECONDS

    # Requests

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        extra = b""
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if self._silent:
                    await asyncio.sleep(3600)
                if extra:
                    # Late, at the point where the next answer is expected.
                    writer.write(extra)
                method, path, _ = head[0].split(" ")
                answer = await self._answer(method, path, head[1], body, reader)
                self.answers += 1
                spoils = self.garble is not None and self.garble.spoils(answer)
                extra = answer if spoils else b""
                if spoils:
                    line = answer.split(b"\r\n")[:2]
                    self.rig.record(f"{self.label} will send this answer twice: {line}")
                writer.write(answer)
                await writer.drain()
        except (
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, path, fields, body, reader):
        if path == "/api/grant":
            return self._grant(fields, body)
        if path == "/api/release":
            return self._release(fields, body)
        if path == "/health":
            return await self._health()
        id = fields.get("request-id", "")
        echo = [("Request-Id", id)]

        def refuse(status):
            line = f"HTTP/1.1 {status} Refused"
            return format_message(line, [*echo, ("Not-Executed", "1")])

        if not id:
            return refuse(400)
        if fields.get("expected-instance", self.id) != self.id:
            return refuse(421)
        if self.keyed and not self.holds(int(fields.get("shard-key", -1))):
            return refuse(421)
        async with self._slot():
            if self.keyed and not self.holds(int(fields.get("shard-key", -1))):
                return refuse(421)
            digest = hashlib.sha256(body).hexdigest()
            self.ran.append((id, method, path, len(body), digest))
            self.rig.record(
                f"{self.label} runs {id}: {method} {path}, "
                f"{len(body)} bytes, sha256 {digest[:16]}"
            )
            cold = time.monotonic() < self.cold_until
            seconds = self.work * (self.cold_factor if cold else 1.0)
            status = await self._work(id, seconds, fields, reader)
        seal = hashlib.sha256(f"{self.id} {id}".encode()).hexdigest()[:24]
        text = json.dumps({"bytes": len(body), "sha256": digest}).encode()
        extra = [("Response-Seal", seal), ("Server-Load", self._load())]
        return format_message(f"HTTP/1.1 {status} Done", [*echo, *extra], text)

    async def _work(self, id, seconds, fields, reader):
        """Work until the end, the deadline (504), or until the caller has left."""
        began = time.monotonic()
        left = int(fields.get("deadline-ms", 3_600_000)) / 1000
        if seconds < min(left, LONG_WORK_SECONDS):
            await asyncio.sleep(seconds)
            return 200
        while time.monotonic() < began + min(seconds, left):
            await asyncio.sleep(0.002)
            if reader.at_eof() or reader.exception():
                self.broken_off[id] = time.monotonic()
                self.rig.record(f"{self.label}: {id} is broken off")
                raise ConnectionResetError
        if seconds > left:
            self.rig.record(f"{self.label}: the deadline of {id} is over")
        return 200 if seconds <= left else 504

    def _load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    @contextlib.asynccontextmanager
    async def _slot(self):
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self._slots.release()

    async def _health(self):
        """A health check waits for a slot like any other request (PROTOCOL.md)."""
        async with self._slot():
            said = [("Instance-Id", self.id), ("Server-Load", self._load())]
            return format_message("HTTP/1.1 200 OK", said)

    def _grant(self, fields, body):
        if fields.get("expected-instance", self.id) != self.id:
            return format_message("HTTP/1.1 421 Refused", [("Not-Executed", "1")])
        said = json.loads(body)
        first, last, fence = said["From"], said["TargetVersion"], said["fence"]
        if self._seen_higher(first, last, fence):
            return format_message("HTTP/1.1 409 Conflict", [])
        expires_at = time.monotonic() + float(said["Hold"].removesuffix("ms")) / 1000
        if not self.holds(first):
            self.rig.record(f"{self.label} takes keys {first}-{last}, fence {fence}")
        self._fences.append((first, last, fence))
        self._rows = [*cut_rows(self._rows, first, last)]
        self._rows.append((first, last, fence, expires_at))
        return format_message("HTTP/1.1 200 OK", [])

    def _release(self, fields, body):
        if fields.get("expected-instance", self.id) != self.id:
            return format_message("HTTP/1.1 421 Refused", [("Not-Executed", "1")])
        said = json.loads(body)
        self._rows = cut_rows(self._rows, said["From"], said["TargetVersion"])
        return format_message("HTTP/1.1 200 OK", [("Handover", "h1")])


# Machines


class Machine:
    """A host of the deployment with one process of the system."""

    def __init__(self, *, rig, name, ip, zone, core, service=""):
        self.rig, self.name, self.ip, self.zone = rig, name, ip, zone
        self.core, self.service = core, service
        self.process = None

    def address(self, name):
        return f"{self.ip}:{self.rig.ports[name]}"

    def _settings(self, *, bootstrap):
        ports = self.rig.ports
        values = {
            "NodeName": self.name,
            "Role": "my-core" if self.core else "my-sidecar",
            "MachineClass": "core" if self.core else "sidecar",
            "Serves": "control_plane" if self.core else "sidecar",
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "scot-central",
            **{f"Zones.{zone}": "scot-central" for zone in ZONES},
            "Listen.Control": self.address("control"),
            "InternalPorts": f"{ports['first']},{ports['last']}",
            "Seeds": ",".join(self.rig.seeds()),
            "Bootstrap": str(bootstrap).lower(),
            "InTolerance": str(self.core).lower(),
            "Limits.CpuShare": "0.86",
            "Limits.Cores": "3" if self.core else "1",
            "Limits.MemoryMb": "300",
            "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0",
            "Limits.DiskMb": "256" if self.core else "0",
            "Discovery": "static",
            "EntryMode": "static",
            "Heartbeat": f"{int(HEARTBEAT_SECONDS * 1000)}ms",
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
            "Grants": self.rig.grants,
        }
        if self.core:
            values["DataDir"] = str(self.rig.folder / f"data-{self.name}")
        else:
            for name in ("Inbound", "Outbound", "Ready"):
                values[f"Listen.{name}"] = self.address(name.lower())
            values |= {"AppAddr": self.address("app"), "Service": self.service}
        return "".join(f"{name}={value}\n" for name, value in values.items())

    async def start(self, *, bootstrap=True):
        path = self.rig.folder / f"{self.name}.conf"
        path.write_text(self._settings(bootstrap=bootstrap))
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= {"PYTHONPATH": "target/deps", "GUAVASTREAM_BOOT": str(path)}
        with open(self.rig.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "-m", "guavastream.platform"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Rig:
    """A deployment of five core machines and one machine for each backend.

    Parameters
    ----------
    folder : Path
        Folder of the case, for record.txt.
    apps : list of tuple
        Name, service and zone of each machine with a backend.
    services : dict
        The services of the configuration by name.
    routes : dict
        The routes of the configuration by name.
    grants : str
        How keys are granted: "heartbeat" or "request".
    """

    def __init__(self, *, folder, apps, services, routes, grants="heartbeat"):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="guavastream-review-"))
        self.grants = grants
        self.services, self.routes = services, routes
        self.backends = []
        number = os.getpid()
        self._prefix = f"127.{20 + number % 80}.{number // 80 % 250}"
        self.ports = self._free_ports()
        self.cores = [
            self._machine(f"core-{n}", n, ZONES[(n - 1) // 2], core=True)
            for n in range(1, 6)
        ]
        self.apps = {
            name: self._machine(name, n, zone, core=False, service=service)
            for n, (name, service, zone) in enumerate(apps, 11)
        }
        self.worst_overlap = (0.0, "")
        self._overlap_since = {}

    def _machine(self, name, number, zone, **kwargs):
        ip = f"{self._prefix}.{number}"
        return Machine(rig=self, name=name, ip=ip, zone=zone, **kwargs)

    def _free_ports(self):
        sockets = []
        for _ in PORT_NAMES:
            sock = socket.socket()
            sock.bind((f"{self._prefix}.1", 0))
            sockets.append(sock)
        numbers = sorted(sock.getsockname()[1] for sock in sockets)
        for sock in sockets:
            sock.close()
        return dict(zip(PORT_NAMES, numbers, strict=True))

    def seeds(self):
        return [self.cores[n].address("control") for n in (0, 2, 4)]

    def backend(self, name, **kwargs):
        machine = self.apps[name]
        made = Backend(rig=self, machine=machine, service=machine.service, **kwargs)
        self.backends.append(made)
        return made

    async def start(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        for machine in [*self.cores, *self.apps.values()]:
            await machine.start()

    async def put_beat(self, machine, id, body):
        fields = [("Content-Type", "application/json")]
        status, _, answer = await call(
            machine.address("control"),
            "PUT",
            f"/api/instances/{id}",
            fields,
            json.dumps(body).encode(),
            timeout=ACK_SECONDS,
        )
        return status, answer

    async def configure(self):
        """Send the first configuration until it is acknowledged."""
        body = {
            "Version": "00000005",
            "Routes": self.routes,
            "Services": self.services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeout": "3000ms",
                "IdleTimeout": "15000ms",
            },
        }
        fields = [("If-Match", "00000000"), ("Content-Type", "application/json")]
        data = json.dumps(body).encode()

        async def once():
            core = self.cores[int(time.monotonic() * 10) % 5]
            answer = await call(
                core.address("control"), "PUT", "/api/config", fields, data
            )
            return answer[0] == 200

        await self.until(once, "the first configuration is acknowledged", 30)

    async def until_ready(self):
        async def ready():
            for machine in self.apps.values():
                address = machine.address("ready")
                if (await call(address, "GET", "/api/readiness"))[0] != 200:
                    return False
            return True

        await self.until(ready, "all machines are ready", 30)

    async def until(self, condition, text, seconds):
        """Wait until a coroutine function returns something true."""
        end = time.monotonic() + seconds
        while not (found := await condition()):
            if time.monotonic() > end:
                raise CannotRun(f"not reached: {text}")
            await asyncio.sleep(0.05)
        self.record(text)
        return found

    async def send(self, name, method, path, id, *, body=b"", key=None, deadline=5000):
        """Send a request to the Outbound address of a machine; return its answer."""
        fields = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", str(deadline))]
        if key is not None:
            fields.append(("Shard-Key", str(key)))
        address = self.apps[name].address("outbound")
        status, said, text = await call(
            address, method, path, fields, body, timeout=deadline / 1000 + 1
        )
        return status, said, text

    # The check of OWNER

    async def watch_owners(self):
        """Record for how long two backends that are up hold the same keys."""
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            self._sample()

    def _sample(self):
        now = time.monotonic()
        keyed = [b for b in self.backends if b.up and b.keyed]
        seen = set()
        for n, one in enumerate(keyed):
            for other in keyed[n + 1 :]:
                if one.service != other.service:
                    continue
                common = [
                    (max(a, c), min(b, d), f, g)
                    for a, b, f in one.held()
                    for c, d, g in other.held()
                    if max(a, c) <= min(b, d)
                ]
                if not common:
                    continue
                pair = (one.label, other.label)
                seen.add(pair)
                if pair not in self._overlap_since:
                    self._overlap_since[pair] = now
                    first, last, f, g = common[0]
                    self.record(
                        f"OVERLAP: {pair[0]} (fence {f}) and {pair[1]} (fence {g}) "
                        f"both hold keys {first}-{last} and "
                        f"{len(common) - 1} more rows"
                    )
                seconds = now - self._overlap_since[pair]
                if seconds > self.worst_overlap[0]:
                    self.worst_overlap = (seconds, f"{pair[0]} and {pair[1]}")
        for pair in [p for p in self._overlap_since if p not in seen]:
            seconds = now - self._overlap_since.pop(pair)
            self.record(
                f"overlap of {pair[0]} and {pair[1]} over after {seconds:.2f} s"
            )

    def judge_owners(self):
        seconds, pair = self.worst_overlap
        self.record(f"longest overlap: {seconds:.2f} s {pair}")
        return BROKEN if seconds > MAX_OVERLAP_SECONDS else HELD

    async def stop(self):
        for backend in self.backends:
            if backend.up:
                backend.crash()
        for machine in [*self.cores, *self.apps.values()]:
            await machine.end()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_service(**changes):
    return {
        "HealthPath": "/health",
        "MaxConnections": 120,
        "Protocol": "h1",
        "Tls": False,
    } | changes


def make_route(prefix, kind, service, **changes):
    return {
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "Timeout": "5000ms",
        "TargetLatency": "600ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | changes


def main(rig, scenario, *, seconds=110):
    """Run a scenario, which returns the exit status, and end all processes."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        watch = None
        try:
            async with asyncio.timeout(seconds):
                await rig.start()
                watch = asyncio.ensure_future(rig.watch_owners())
                return await scenario(rig, trouble)
        except (CannotRun, TimeoutError, OSError) as error:
            rig.record(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            if watch is not None:
                watch.cancel()
            await rig.stop()

    status = asyncio.run(run())
    rig.record(f"exit status {status}")
    raise SystemExit(status)
