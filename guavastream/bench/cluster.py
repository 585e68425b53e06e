"""Real processes on loopback: nodes, stand-ins, and what is done to them."""

import contextlib
import itertools
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from dataclasses import dataclass
from importlib import resources

from guavastream.bench.health import DoorHealth
from guavastream.exception import GuavastreamError
from guavastream.operate import ChangeRequest, OperatorClient
from guavastream.timeline import Recorder, merge_events, read_events

__all__ = ["Cluster", "DEPLOYMENTS", "Deployment", "HostProcesses", "ServerSpec"]

FIRST_PORT, LAST_PORT = 12000, 32000
START_SECONDS = 20.0
STOP_SECONDS = 15.0
POLL_SECONDS = 0.02


@dataclass(frozen=True, kw_only=True)
class ServerSpec:
    """Backend servers of one service: how many, and how the stand-ins run."""

    service: str
    count: int
    slots: int = 20
    work_ms: float = 3.0
    checks_grants: bool = True


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """One of today's deployments at its size."""

    name: str
    zones: tuple[str, ...]
    servers: tuple[ServerSpec, ...]
    keyed: str
    text: str = ""

    @property
    def declaration(self):
        """Text of its file of declarations."""
        if self.text:
            return self.text
        folder = resources.files("guavastream.deployments")
        return (folder / f"{self.name}.toml").read_text(encoding="utf-8")


DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        Deployment(
            name="rosterdeck",
            zones=("leith-a", "livingston-b", "gyle-c"),
            servers=(
                ServerSpec(service="dutyboard", count=5),
                ServerSpec(service="swapdesk", count=4),
                ServerSpec(service="recordkeep", count=3),
            ),
            keyed="dutyboard",
        ),
        Deployment(
            name="island-trips",
            zones=("hall-a", "hall-b", "hall-c"),
            servers=(
                ServerSpec(service="balances", count=6, slots=15),
                ServerSpec(service="settlements", count=3, slots=15),
                ServerSpec(service="receipts", count=3, slots=15),
            ),
            keyed="balances",
        ),
    )
}


_ports = itertools.cycle(range(FIRST_PORT + os.getpid() % 10000, LAST_PORT))


def free_addresses(count):
    """Return loopback addresses whose ports are free at this moment.

    They lie below the ports that the kernel gives to outgoing connections: a
    caller's connection could take one of those before its process starts.
    """
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < count:
            port = next(_ports)
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                found.append(f"127.0.0.1:{port}")
        return found


class HostProcesses:
    """One host: the process of the system and the backend server beside it.

    Parameters
    ----------
    name, zone : str
        Of the host.
    spec : ServerSpec or None
        Its server.
    folder : str
        For all files of the cluster.
    has_disk : bool
        Whether it is a control host.
    flags : tuple of str
        Further flags for the process of the system.
    """

    def __init__(self, *, name, zone, spec, folder, has_disk, flags=()):
        self._flags = flags
        self.name = name
        self.zone = zone
        self.spec = spec
        self.has_disk = has_disk
        self.folder = folder
        self.door, self.guard, self.operator, self.peer, self.backend = free_addresses(
            5
        )
        self.node = None
        self.server = None
        self.announce = ""
        self.starts = 0
        self.paused = False

    def start(self, control):
        """Start the process of the system; `control` lists peer addresses."""
        flags = {
            "host": self.name,
            "zone": self.zone,
            "door": self.door,
            "guard": self.guard,
            "operator": self.operator,
            "control": ",".join(control),
            "timeline": self._file("node.jsonl"),
        }
        if self.has_disk:
            flags |= {"data": self._file("data"), "peer": self.peer}
        words = [f"--{name}={value}" for name, value in flags.items()]
        self.node = self._spawn("node", ["run", "--insecure", *words, *self._flags])

    def lose_disk(self):
        """Remove the data folder; the process must not be running."""
        shutil.rmtree(self._file("data"))

    def start_server(self):
        """Start the backend server, if this host has one."""
        if self.spec is None:
            return
        self.starts += 1
        words = [
            f"--service={self.spec.service}",
            f"--listen={self.backend}",
            f"--guard={self.guard}",
            f"--record={self._file(f'server{self.starts}.jsonl')}",
            f"--slots={self.spec.slots}",
            f"--work-ms={self.spec.work_ms}",
        ]
        if self.announce:
            words.append(f"--announce={self.announce}")
        if not self.spec.checks_grants:
            words.append("--no-checks")
        self.server = self._spawn("server", ["standin", *words])

    def signal(self, number, *, node=True, server=True):
        """Send a signal to one or both processes."""
        for wanted, process in ((server, self.server), (node, self.node)):
            if wanted and process is not None and process.poll() is None:
                process.send_signal(number)
                if process is self.node:
                    self.paused = number == signal.SIGSTOP

    def wait_node(self, seconds):
        """Wait until the process of the system has ended; return whether."""
        try:
            self.node.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def wait(self, seconds):
        """Wait until both processes have ended; return whether they did."""
        deadline = time.monotonic() + seconds
        for process in (self.node, self.server):
            if process is None:
                continue
            try:
                process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                return False
        return True

    @property
    def boot(self):
        """Name of the present start of the server, from its own record."""
        return next((e.server for e in reversed(self.server_events()) if e.server), "")

    def server_events(self):
        """Return the events of all starts of the server."""
        return [
            event
            for number in range(1, self.starts + 1)
            for event in read_events(self._file(f"server{number}.jsonl"))
        ]

    def node_events(self):
        """Return the events of the process of the system."""
        path = self._file("node.jsonl")
        return read_events(path) if os.path.exists(path) else []

    def _file(self, name):
        return os.path.join(self.folder, f"{self.name}-{name}")

    def _spawn(self, name, words):
        with open(self._file(f"{name}.log"), "ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", "guavastream.cli", *words],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )


class Cluster:
    """A deployment as real processes; a context manager that leaves none.

    Parameters
    ----------
    deployment : Deployment
        What to run.
    controls : int
        Control hosts.
    apart : bool
        Whether control hosts stand apart from the backend servers.
    flags : tuple of str
        Further flags for every process of the system.
    """

    def __init__(self, *, deployment, controls=3, apart=False, flags=()):
        self.deployment = deployment
        self._temporary = tempfile.TemporaryDirectory(prefix="guavastream-")
        self.folder = self._temporary.name
        self.recorder = Recorder(
            host="driver", path=os.path.join(self.folder, "driver.jsonl")
        )
        self.avoided = set()
        self._flags = flags
        self.hosts = self._make_hosts(controls, apart)
        self.control = tuple(h.peer for h in self.hosts if h.has_disk)
        self._health = DoorHealth(
            addresses=[h.door for h in self.hosts if h.spec or not apart]
        )

    def _make_hosts(self, controls, apart):
        specs = [None] * controls if apart else []
        specs += [spec for spec in self.deployment.servers for _ in range(spec.count)]
        zones = self.deployment.zones
        return [
            HostProcesses(
                name=f"host-{number:02d}",
                zone=zones[number % len(zones)],
                spec=spec,
                folder=self.folder,
                has_disk=number < controls,
                flags=self._flags,
            )
            for number, spec in enumerate(specs)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._health.stop()
        self.kill_all()
        self._temporary.cleanup()

    @property
    def doors(self):
        """Addresses of the doors that said they are well when last asked."""
        return [door for door in self._health.well if door not in self.avoided]

    def host(self, name):
        """Return the host called `name`."""
        return next(host for host in self.hosts if host.name == name)

    def hosts_of(self, service):
        """Return the hosts with a server of `service`."""
        return [h for h in self.hosts if h.spec and h.spec.service == service]

    def restart(self, host):
        """Start both processes of a host again."""
        host.wait(STOP_SECONDS)
        host.start(self.control)
        host.start_server()

    def start(self):
        """Start all, apply the declaration, and wait until all is owned."""
        for host in self.hosts:
            host.start(self.control)
        self.wait_for("a leading control host", lambda: self.status()["leader"])
        self.change("apply", self.deployment.declaration)
        for host in self.hosts:
            host.start_server()
        self.wait_settled()
        self._health.start()

    def wait_settled(self):
        """Wait until every server has joined and every shard has an owner."""
        self.wait_for("every server and shard", self._is_settled)

    def _is_settled(self):
        services = self.status()["services"]
        for spec in self.deployment.servers:
            alive = [
                h
                for h in self.hosts_of(spec.service)
                if h.server and h.server.poll() is None
            ]
            service = services[spec.service]
            if len(service["servers"]) != len(alive):
                return False
            if service["unowned"] or service["moving"]:
                return False
        return True

    def wait_for(self, what, test):
        """Wait until `test` is true, errors aside.

        Raises
        ------
        GuavastreamError
            If it is not in time.
        """
        """Wait until `test` is true, errors aside.

        Raises
        ------
        GuavastreamError
            If it is not in time.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(GuavastreamError, KeyError):
                if test():
                    return
            time.sleep(POLL_SECONDS)
        raise GuavastreamError(f"waited in vain for {what}")

    def client(self):
        """Return a client of an operators' door whose process is alive."""
        for host in self.hosts:
            if host.node and host.node.poll() is None and not host.paused:
                return OperatorClient(address=host.operator)
        raise GuavastreamError("no process is alive")

    def status(self):
        """Return the leader's status."""
        return self.client().ask("status")

    def leader(self):
        """Return the host that leads the control hosts."""
        address = self.status()["leader"]
        return next(h for h in self.hosts if h.peer == address)

    def change(self, what, value, *, wait=17.0):
        """Make an operator's change and record that it was accepted."""
        change = uuid.uuid4().hex
        asked = ChangeRequest(
            what=what, value=value, author="driver", change=change, wait=wait
        )
        result = self.client().tell("changes", asked)
        revision = result["answer"]["revision"]
        self.recorder.record("change_accepted", revision=revision, request=change)
        self.recorder.record(
            "in_force_everywhere",
            revision=revision,
            detail={"seconds": result["seconds"], "behind": result["behind"]},
        )
        return result

    def stop_planned(self, host, *, server=True):
        """Begin the graceful stop of a host and of its server."""
        self.recorder.record("planned_stop", server=host.boot)
        host.signal(signal.SIGTERM, server=False)
        if server and not host.wait_node(STOP_SECONDS):
            raise GuavastreamError(f"{host.name} did not stop")
        host.signal(signal.SIGTERM, node=False)
        if not host.wait(STOP_SECONDS):
            raise GuavastreamError(f"{host.name} did not stop")

    def kill(self, host, *, node=True, server=True):
        """Kill one or both processes of a host."""
        if server:
            self.recorder.record("server_lost", server=host.boot)
        if node:
            self.recorder.record("node_lost", detail={"host": host.name})
        host.signal(signal.SIGKILL, node=node, server=server)

    def note_history(self):
        """Record the history of changes, for the checkers."""
        changes = {
            str(c["revision"]): c["change"] for c in self.client().ask("history")
        }
        self.recorder.record("history_seen", detail={"changes": changes})

    def stop_all(self):
        """Stop everything gracefully; return the hosts that would not."""
        for host in self.hosts:
            host.signal(signal.SIGTERM)
        return [host.name for host in self.hosts if not host.wait(STOP_SECONDS)]

    def kill_all(self):
        """Kill what is still alive."""
        for host in self.hosts:
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            host.wait(STOP_SECONDS)

    def timeline(self):
        """Return the merged events of all processes and of the driver."""
        parts = [read_events(os.path.join(self.folder, "driver.jsonl"))]
        for host in self.hosts:
            parts += [host.node_events(), host.server_events()]
        return merge_events(parts)
