"""`guavastream soak`: invariants of real processes under randomized faults."""

import asyncio
import json
import random
import tempfile
import time
from dataclasses import dataclass, fields
from pathlib import Path

from guavastream.commands import command
from guavastream.emulator import RepeatedAnswers
from guavastream.exception import GuavastreamError
from guavastream.http1 import Client, IncompleteMessage, NotSent
from guavastream.platform.emulator import (
    ROUTES,
    EmulatedPlatform,
    call,
    make_route,
    wait_until,
)
from guavastream.platform.soak_departures import ServerDepartures
from guavastream.platform.soak_evacuations import EVACUATING_PLATFORM, EvacuationCheck
from guavastream.platform.soak_pipelining import PipeliningCallers
from guavastream.platform.soak_routes import RouteChanges
from guavastream.platform.soak_statements import ServerStatements
from guavastream.platform.soak_uploads import UploadingCallers
from guavastream.platform.soak_voters import LOSING_PLATFORM, ControlLosses
from guavastream.soak import Ledger, make_schedule

__all__ = ["run_soak"]

EXIT_INVARIANT_VIOLATED = 5
# Mean pause between two requests of a caller.
CALLER_PAUSE_SECONDS = 0.02
# Mean pause between two changes, or two reads, of the configuration by an operator.
CHANGE_PAUSE_SECONDS = 0.5
INVALID_HEARTBEAT_PAUSE_SECONDS = 0.4
# Callers give up on a request after this time; its deadline is 2 s.
CALLER_TIMEOUT_SECONDS = 3.0
# All keys must be served again within this time after the last fault.
RECOVERY_SECONDS = 30.0
PROBED_KEYS = 16
# Share of grant calls that get no answer and are executed late.
LATE_CALL_SHARE = 0.05
# Share of the answers of servers, of any kind, that come twice.
REPEATED_ANSWER_SHARE = 0.2
MAX_BODY_BYTES = 20000
# Routes of the harmful requests, which crash the server that runs them.
HARMFUL_ROUTES = ("read", "order")
HARMFUL_KEY = 4711
# Pause between two harmful requests on one route.
HARMFUL_PAUSE_SECONDS = 0.5
# Time for which a server runs a harmful request before it crashes.
HARMFUL_RUN_SECONDS = 0.01
# Time until a crashed server restarts.
DOWN_SECONDS = 1.0
# Share of crashes that leave the server's connections open but silent.
SILENT_CRASH_SHARE = 0.3
# A host must know which requests are harmful once it had no fault for this time.
CALM_AFTER_SECONDS = 3.0
# Status of a request whose connection ended before the answer was complete.
CONNECTION_ENDED = -1
# Idle timeout in runs with reused connections, and the range of fractions of it after
# which callers reuse them. The rest of it must pass while a host is frozen.
SHORT_IDLE_SECONDS = 1.0
REUSE_AFTER_FRACTIONS = (0.3, 0.6)
# Answers to a caller that was itself delayed by more than this are not checked.
MAX_CALLER_DELAY_SECONDS = 0.1
UNANSWERED_REQUEST_LOG_TEXT = "A connection was ended under a request."


class SoakFailure(GuavastreamError):
    """The system did not recover after the last fault."""

    code = "not_recovered"


@dataclass(frozen=True, kw_only=True)
class SoakOptions:
    """What a soak test does besides sending requests under faults.

    Parameters
    ----------
    callers : int
        Number of callers, each with a connection to every host.
    calm : bool
        Whether to run without faults.
    granting : str
        How servers are granted keys: "heartbeat", or "request" for calls, some of
        which are executed late.
    harmful : bool
        Whether to repeat requests that crash the servers that run them.
    returning : bool
        Whether callers reuse connections with a short idle timeout, which expires while
        a host is frozen.
    evacuating : bool
        Whether an operator evacuates availability zones, and servers start cold.
    limiting : bool
        Whether servers name limits, and say in their answers that they leave.
    pipelining : bool
        Whether further callers send several requests at once on a connection.
    rerouting : bool
        Whether routes are added and lead elsewhere while hosts are frozen.
    departing : bool
        Whether servers leave while they are slow and lose answers.
    uploading : bool
        Whether further callers upload large bodies, also to servers that are full.
    repeating : bool
        Whether some answers of servers come a second time, in place of a later one.
    losing : bool
        Whether control hosts are lost, replaced and left without their disks, two of
        five at once; they get no other faults.
    """

    callers: int = 6
    calm: bool = False
    granting: str = "heartbeat"
    harmful: bool = False
    returning: bool = False
    evacuating: bool = False
    limiting: bool = False
    pipelining: bool = False
    rerouting: bool = False
    departing: bool = False
    uploading: bool = False
    repeating: bool = False
    losing: bool = False


class _SoakRun:
    def __init__(self, *, seed, seconds, folder, options):
        self.ledger = Ledger()
        self.counts = {}
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._callers = options.callers
        self._harmful_routes = HARMFUL_ROUTES if options.harmful else ()
        # Hosts that harmful requests were sent to, by request id.
        self._harmful_request_hosts = {}
        self._crash_tasks = set()
        self._returning = options.returning
        self._ids = iter(range(1, 10**9))
        self._platform = EmulatedPlatform(
            folder=folder,
            on_start=self._observe_server,
            granting=options.granting,
            late_share=LATE_CALL_SHARE,
            idle_seconds=SHORT_IDLE_SECONDS if options.returning else None,
            **(EVACUATING_PLATFORM if options.evacuating else {}),
            **(LOSING_PLATFORM if options.losing else {}),
        )
        self._control_losses = None
        if options.losing:
            self._control_losses = ControlLosses(
                platform=self._platform, ledger=self.ledger, seed=seed
            )
        self._evacuations = None
        if options.evacuating:
            self._evacuations = EvacuationCheck(
                platform=self._platform, ledger=self.ledger, seed=seed
            )
        self._statements = None
        if options.limiting:
            self._statements = ServerStatements(
                platform=self._platform, ledger=self.ledger, seed=seed
            )
        self._route_changes = None
        if options.rerouting:
            self._route_changes = RouteChanges(
                platform=self._platform, ledger=self.ledger, seed=seed
            )
        self._departures = None
        if options.departing:
            self._departures = ServerDepartures(
                platform=self._platform, ledger=self.ledger, seed=seed
            )
        self._pipelining = None
        if options.pipelining:
            self._pipelining = PipeliningCallers(
                platform=self._platform,
                ledger=self.ledger,
                seed=seed,
                on_send=self._note_sent,
            )
        self._uploads = None
        if options.uploading:
            self._uploads = UploadingCallers(
                platform=self._platform,
                ledger=self.ledger,
                seed=seed,
                on_send=self._note_sent,
            )
        self._repeated_share = REPEATED_ANSWER_SHARE if options.repeating else 0.0
        counts = {
            "control": len(self._platform.control_hosts),
            "host": len(self._platform.server_hosts),
            "server": len(self._platform.server_hosts),
        }
        self.schedule = ()
        if not options.calm:
            self.schedule = make_schedule(seed=seed, seconds=seconds, counts=counts)
        if options.losing:
            self.schedule = tuple(f for f in self.schedule if f.group != "control")
        self._version = 1

    async def run(self):
        """Run the whole schedule and return the violations."""
        platform = self._platform
        try:
            await platform.start()
            background_tasks = [
                asyncio.ensure_future(self._send_requests())
                for _ in range(self._callers)
            ]
            background_tasks += [
                asyncio.ensure_future(self._send_changes()) for _ in range(2)
            ]
            background_tasks.append(asyncio.ensure_future(self._read_configs()))
            background_tasks.append(
                asyncio.ensure_future(self._send_invalid_heartbeats())
            )
            for server_host in platform.server_hosts * (
                self._callers if self._returning else 0
            ):
                background_tasks.append(
                    asyncio.ensure_future(self._reuse_connection(server_host))
                )
            if self._evacuations is not None:
                background_tasks.append(self._evacuations.start())
            route_changes_task = None
            if self._route_changes is not None:
                route_changes_task = asyncio.ensure_future(self._route_changes.run())
            if self._departures is not None:
                self._departures.start()
            if self._pipelining is not None:
                background_tasks.append(asyncio.ensure_future(self._pipelining.run()))
            if self._uploads is not None:
                background_tasks.append(asyncio.ensure_future(self._uploads.run()))
            if self._control_losses is not None:
                self._control_losses.start()
            limits_task = None
            if self._statements is not None:
                limits_task = asyncio.ensure_future(self._statements.run())
            harmful_tasks = [
                asyncio.ensure_future(self._repeat_harmful_request(route_name))
                for route_name in self._harmful_routes
            ]
            await self._inject_faults()
            for task in harmful_tasks:
                task.cancel()
            if self._evacuations is not None:
                await self._evacuations.end()
            if self._departures is not None:
                await self._departures.end()
            if self._uploads is not None:
                await self._uploads.end_faults()
            if route_changes_task is not None:
                # It freezes hosts.
                route_changes_task.cancel()
                await asyncio.gather(route_changes_task, return_exceptions=True)
            if self._control_losses is not None:
                await self._control_losses.end()
            if limits_task is not None:
                limits_task.cancel()
                await asyncio.gather(limits_task, return_exceptions=True)
                self._statements.lift_all()
            await self._wait_for_recovery()
            for task in [*background_tasks, *harmful_tasks]:
                task.cancel()
            for result in await asyncio.gather(
                *background_tasks, *harmful_tasks, return_exceptions=True
            ):
                if not isinstance(result, asyncio.CancelledError):
                    raise result
            # Leave time for refused requests to run, which they must not.
            await asyncio.sleep(CALLER_TIMEOUT_SECONDS)
        finally:
            await platform.stop()
        for server_host in platform.server_hosts:
            for line in server_host.machine.log().splitlines():
                if UNANSWERED_REQUEST_LOG_TEXT in line:
                    self.ledger.record_violation(
                        "requests that a host has read are answered", line
                    )
        if self._evacuations is not None:
            self._evacuations.check_cold_servers()
        if self._statements is not None:
            self._statements.report()
        if self._pipelining is not None:
            self._pipelining.report()
        for callers in (self._pipelining, self._uploads):
            for status, count in (callers.counts if callers else {}).items():
                self.counts[status] = self.counts.get(status, 0) + count
        return self.ledger.all_violations()

    async def _inject_faults(self):
        loop = asyncio.get_running_loop()
        began, fault_tasks = loop.time(), []
        for fault in self.schedule:
            await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
            fault_tasks.append(
                asyncio.ensure_future(self._platform.inject_fault(fault))
            )
        await asyncio.sleep(max(0.0, began + self._seconds - loop.time()))
        await asyncio.gather(*fault_tasks)

    async def _wait_for_recovery(self):
        async def all_served():
            if not await self._platform.is_ready():
                return False
            step = 65536 // PROBED_KEYS
            for server_host in self._platform.server_hosts:
                for number in range(PROBED_KEYS):
                    if (
                        await self._send_request(
                            Client(), server_host, "read", number * step
                        )
                        != 200
                    ):
                        return False
            return True

        try:
            await wait_until(all_served, RECOVERY_SECONDS)
        except TimeoutError:
            raise SoakFailure("Not all keys are served after the faults.") from None

    def _observe_server(self, server):
        loop = asyncio.get_running_loop()
        server.on_departure = lambda: self.ledger.record_departure(
            server.instance_name, loop.time()
        )

        def on_run(entry, key):
            self.ledger.record_run(
                *entry[:4], server=server.instance_name, at=loop.time()
            )
            if self._evacuations is not None:
                self._evacuations.note_run(entry[0], server)
            if self._route_changes is not None:
                self._route_changes.note_run(entry[0], server)
            if entry[0] in self._harmful_request_hosts:
                self._record_crash(entry, server)
            if key is None:
                return
            others = [
                server_host.server.instance_name
                for server_host in self._platform.server_hosts
                if server_host.server not in (None, server)
                and server_host.service == server.service
                and server_host.server.holds(key)
            ]
            fence = server.fence_of(key)
            self.ledger.record_key_use(
                key, fence, server=server.instance_name, others=others
            )

        server.server.on_run = on_run
        if self._repeated_share:
            server.server.repeats = RepeatedAnswers(
                rng=self._rng, share=self._repeated_share
            )
        if self._uploads is not None:
            self._uploads.note_start(server)
        if self._evacuations is not None:
            self._evacuations.note_start(server)
        if self._statements is not None:
            self._statements.note_start(server)

    # Callers

    async def _send_requests(self):
        # The client keeps its connections and reuses them until they are closed.
        client = Client()
        while True:
            server_host = self._rng.choice(self._platform.server_hosts)
            route_name = self._rng.choice(sorted(ROUTES))
            await self._send_request(
                client, server_host, route_name, self._rng.randrange(65536)
            )
            await asyncio.sleep(self._rng.expovariate(1 / CALLER_PAUSE_SECONDS))

    async def _send_request(
        self, client, server_host, route_name, key, *, harmful=False
    ):
        kind, _, method = ROUTES[route_name]
        id = b"q%d" % next(self._ids)
        size = self._rng.randrange(MAX_BODY_BYTES) if method == b"POST" else 0
        body, path_suffix = self._rng.randbytes(size), "x"
        if harmful:
            body, path_suffix = route_name.encode() * (method == b"POST"), "harm"
            self._harmful_request_hosts[id] = server_host
        target = f"/{route_name}/{path_suffix}".encode()
        self.ledger.record_request(id, method, target, body, idempotent=kind == "safe")
        self._note_sent(id, server_host)
        status = 0
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                status, data = await self._platform.send_request(
                    client, server_host, route_name, id, key, body, path_suffix
                )
            self.ledger.record_answer(id, status, data, b"body of " + id)
        except IncompleteMessage:
            status = CONNECTION_ENDED
        except (NotSent, TimeoutError):
            pass
        self.counts[status] = self.counts.get(status, 0) + 1
        return status

    def _note_sent(self, id, server_host):
        if self._statements is not None:
            self._statements.note_sent(id, server_host)

    async def _reuse_connection(self, server_host):
        """Reuse one connection to a host after pauses below its idle timeout."""
        loop, client = asyncio.get_running_loop(), Client()
        while True:
            pause = SHORT_IDLE_SECONDS * self._rng.uniform(*REUSE_AFTER_FRACTIONS)
            due_at = loop.time() + pause
            await asyncio.sleep(pause)
            in_time = loop.time() - due_at < MAX_CALLER_DELAY_SECONDS
            was_open, process = client.idle_count > 0, server_host.machine.process
            route_name = self._rng.choice(sorted(ROUTES))
            status = await self._send_request(
                client, server_host, route_name, self._rng.randrange(65536)
            )
            # A host that is stopped or killed may close a connection with unread data.
            is_running = (
                process is server_host.machine.process
                and not server_host.machine.is_ending
            )
            if status == CONNECTION_ENDED and was_open and in_time and is_running:
                detail = (
                    f"{route_name} at {server_host.machine.name}, {loop.time():.2f}"
                )
                self.ledger.record_violation(
                    "requests on reused connections are answered", detail
                )

    async def _send_invalid_heartbeats(self):
        """Send invalid heartbeats; none of them may add a server to the fleet."""
        rng = random.Random(len(self.schedule))
        while True:
            await asyncio.sleep(INVALID_HEARTBEAT_PAUSE_SECONDS)
            server_host = rng.choice(self._platform.server_hosts)
            valid = {
                "Service": "plain",
                "Address": server_host.server.announced_address,
                "Slots": 8,
            }
            valid |= {"State": "ready", "Seq": 10**6, "born": 1}
            body = rng.choice(
                (
                    b"\xff\xfe not json",
                    b"[" * 10_000,
                    valid | {"Service": "elsewhere"},
                    valid | {"Service": 7},
                    valid | {"State": "dancing"},
                    valid | {"Slots": -1, "Holds": [[0, 65535, 10**12]]},
                    valid | {"Zone": "z" * (1 << 20)},
                    {name: valid[name] for name in ("State", "Seq")},
                )
            )
            address = server_host.machine.address("control")
            await call(address, b"PUT", b"/api/instances/stray", body)

    async def _repeat_harmful_request(self, route_name):
        """Repeat one harmful request, each time to a random host."""
        client = Client()
        while True:
            await asyncio.sleep(HARMFUL_PAUSE_SECONDS)
            server_host = self._rng.choice(self._platform.server_hosts)
            await self._send_request(
                client, server_host, route_name, HARMFUL_KEY, harmful=True
            )

    def _record_crash(self, entry, server):
        server_hosts = [p for p in self._platform.server_hosts if p.server is server]
        server_hosts.append(self._harmful_request_hosts[entry[0]])
        self.ledger.record_crash(
            entry[2],
            asyncio.get_running_loop().time(),
            calm=self._platform.is_fault_free(server_hosts, CALM_AFTER_SECONDS),
        )
        task = asyncio.ensure_future(self._crash_server(server_hosts[0], server))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _crash_server(self, server_host, server):
        await asyncio.sleep(HARMFUL_RUN_SECONDS)
        silent = self._rng.random() < SILENT_CRASH_SHARE
        await self._platform.crash_under_request(
            server_host, server, DOWN_SECONDS, silent=silent
        )

    # Operators

    async def _send_changes(self):
        loop, platform = asyncio.get_running_loop(), self._platform
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / CHANGE_PAUSE_SECONDS))
            base, self._version = self._version, self._version + 1
            added = make_route("read", PathPrefix=f"/extra-{self._version % 7}/")
            body = {
                "Version": f"{self._version:08x}",
                "Upsert": {"Routes": {f"extra-{self._version % 7}": added}},
            }
            machine = self._rng.choice(platform.control_hosts)
            status, _ = await platform.send_change(machine, body, base, method=b"PATCH")
            if status == 200:
                self.ledger.record_change(int(body["Version"], 16), loop.time())
            else:
                await self._adopt_current_version()

    async def _adopt_current_version(self):
        """Take over the current version, which another operator may have sent."""
        machine = self._rng.choice(self._platform.control_hosts)
        status, data = await self._platform.read_config(machine)
        if status == 200:
            self._version = int(json.loads(data)["Version"], 16)

    async def _read_configs(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / CHANGE_PAUSE_SECONDS))
            sent = loop.time()
            status, data = await self._platform.read_config(
                self._rng.choice(self._platform.control_hosts)
            )
            if status == 200:
                self.ledger.record_read(int(json.loads(data)["Version"], 16), sent)


def run_soak(*, seed, seconds, folder=None, **options):
    """Run the soak test of one seed.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the requests.
    seconds : float
        Duration of the load; all faults begin within it.
    folder : path, optional
        Directory in which to keep settings, data and logs of the processes.
    **options
        Fields of `SoakOptions`.

    Returns
    -------
    violations : list of Violation
    counts : dict of int to int
        Number of answers by status.
    faults : int
        Number of faults injected.

    Raises
    ------
    SoakFailure
        If the system does not recover after the last fault.
    """
    options = SoakOptions(**options)

    async def main(folder):
        soak_run = _SoakRun(seed=seed, seconds=seconds, folder=folder, options=options)
        return await soak_run.run(), soak_run.counts, len(soak_run.schedule)

    if folder is not None:
        return asyncio.run(main(Path(folder)))
    with tempfile.TemporaryDirectory() as temporary_folder:
        return asyncio.run(main(Path(temporary_folder)))


@command(
    "soak",
    summary="Run real processes under randomized faults and check invariants.",
    example="guavastream soak --seeds 3 --seconds 20",
)
def _set_up_command(parser):
    parser.add_argument("--seed", type=int, default=1, help="first seed (1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (1)")
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration; faults begin within it (20)",
    )
    parser.add_argument("--callers", type=int, default=6, help="number of callers (6)")
    parser.add_argument("--calm", action="store_true", help="without faults")
    parser.add_argument(
        "--granting",
        choices=("heartbeat", "request"),
        default="heartbeat",
        help="how servers are granted keys (heartbeat)",
    )
    parser.add_argument(
        "--harmful", action="store_true", help="with requests that crash their servers"
    )
    parser.add_argument(
        "--evacuating",
        action="store_true",
        help="with evacuations of availability zones and servers that start cold",
    )
    parser.add_argument(
        "--limiting",
        action="store_true",
        help="with servers that name limits, and say in their answers that they leave",
    )
    parser.add_argument(
        "--returning",
        action="store_true",
        help="with callers that reuse connections with a short idle timeout",
    )
    parser.add_argument(
        "--pipelining",
        action="store_true",
        help="with callers that send several requests at once on a connection",
    )
    parser.add_argument(
        "--rerouting",
        action="store_true",
        help="with routes that are added and lead elsewhere while hosts are frozen",
    )
    parser.add_argument(
        "--departing",
        action="store_true",
        help="with servers that leave while they are slow and lose answers",
    )
    parser.add_argument(
        "--uploading",
        action="store_true",
        help="with callers that upload large bodies, also to servers that are full",
    )
    parser.add_argument(
        "--repeating",
        action="store_true",
        help="with servers that send some of their answers twice",
    )
    parser.add_argument(
        "--losing",
        action="store_true",
        help="with control hosts that are lost, replaced and left without disks",
    )
    parser.add_argument("--folder", help="keep settings, data and logs here")
    return _run_command


def _run_command(arguments):
    failed = []
    names = (field.name for field in fields(SoakOptions))
    options = {name: getattr(arguments, name) for name in names}
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        began = time.monotonic()
        folder = arguments.folder and Path(arguments.folder) / f"seed-{seed}"
        if folder:
            folder.mkdir(parents=True)
        try:
            violations, counts, faults = run_soak(
                seed=seed, seconds=arguments.seconds, folder=folder, **options
            )
        except SoakFailure as error:
            print(f"seed {seed}: {error}")
            failed.append(seed)
            continue
        took = time.monotonic() - began
        answers = ", ".join(f"{counts[status]} x {status}" for status in sorted(counts))
        print(f"seed {seed}: {faults} faults in {took:.0f} s; {answers}")
        for violation in violations[:10]:
            print(f"  violated: {violation.invariant}: {violation.detail}")
        if violations:
            failed.append(seed)
    print(f"{arguments.seeds} seeds, {len(failed)} failed: {failed}")
    return EXIT_INVARIANT_VIOLATED if failed else 0
