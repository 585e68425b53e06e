"""`guavastream soak`: real processes, faults drawn from a seed, promises kept."""

import asyncio
import json
import random
import tempfile
import time
from pathlib import Path

from guavastream.commands import command
from guavastream.exception import GuavastreamError
from guavastream.http1 import Client, CutOff, NotSent
from guavastream.platform.emulator import ROUTES, World, call, make_route, until
from guavastream.soak import Ledger, make_schedule

__all__ = ["run_soak"]

EXIT_BROKEN_PROMISE = 5
# Load and changes, seconds between two of one caller or operator.
CALLER_PAUSE = 0.02
CHANGE_PAUSE = 0.5
STRAY_PAUSE = 0.4
# A caller gives up on a request after this, seconds; its deadline is 2 s.
PATIENCE_SECONDS = 3.0
# Within this after the last fault all keys must be served again, seconds.
RECOVERY_SECONDS = 30.0
PROBED_KEYS = 16
# Share of the orders about keys that get no answer and are carried out later.
LATE_ORDERS = 0.05
MOST_BODY = 20000
# Requests that end their servers: kinds of them, the pause between two of one, how
# long a server runs one and is away, and since when a calm host must know, seconds.
HARMFUL = ("read", "order")
HARMFUL_KEY = 4711
HARM_PAUSE = 0.5
HARM_SECONDS = 0.01
DOWN_SECONDS = 1.0
# Share of the ends at which the server's connections do not break.
SILENT_HARMS = 0.3
TOUCH_SECONDS = 3.0
# The connection ended in place of an answer.
CUT_OFF = -1
# Idle limit where callers come back on their connections, and the shares of it after
# which they do; what is left of it must pass while a host stands still.
SHORT_IDLE = 1.0
COME_BACK = (0.3, 0.6)
# A caller that was late by more than this itself is no witness, seconds.
OWN_DELAY = 0.1
READ_AND_CUT = "A connection was ended under a request."


class SoakFailure(GuavastreamError):
    """The system did not come back after the last fault."""

    code = "not_recovered"


class _Soak:
    def __init__(
        self, *, seed, seconds, callers, folder, calm, granting, harmful, returning
    ):
        self.ledger = Ledger()
        self.counts = {}
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._harmful = HARMFUL if harmful else ()
        # Where harmful requests came in, by their ids.
        self._harmful_at = {}
        self._harms = set()
        self._returning = returning
        self._ids = iter(range(1, 10**9))
        self._world = World(
            folder=folder,
            on_start=self._watch,
            granting=granting,
            late=LATE_ORDERS,
            idle=SHORT_IDLE if returning else None,
        )
        counts = {
            "control": len(self._world.control),
            "host": len(self._world.places),
            "server": len(self._world.places),
        }
        self.schedule = ()
        if not calm:
            self.schedule = make_schedule(seed=seed, seconds=seconds, counts=counts)
        self._version = 1

    async def run(self):
        """Play the whole schedule and return the broken promises."""
        world = self._world
        try:
            await world.start()
            work = [asyncio.ensure_future(self._call()) for _ in range(self._callers)]
            work += [asyncio.ensure_future(self._operate()) for _ in range(2)]
            work.append(asyncio.ensure_future(self._read()))
            work.append(asyncio.ensure_future(self._write_strays()))
            for place in world.places * (self._callers if self._returning else 0):
                work.append(asyncio.ensure_future(self._come_back(place)))
            harm = [asyncio.ensure_future(self._recur(name)) for name in self._harmful]
            await self._strike_all()
            for task in harm:
                task.cancel()
            await self._recover()
            for task in [*work, *harm]:
                task.cancel()
            for result in await asyncio.gather(*work, *harm, return_exceptions=True):
                if not isinstance(result, asyncio.CancelledError):
                    raise result
            # A request that was refused must not run later either.
            await asyncio.sleep(PATIENCE_SECONDS)
        finally:
            await world.stop()
        for place in world.places:
            for line in place.machine.log().splitlines():
                if READ_AND_CUT in line:
                    self.ledger.note("what was read is answered", line)
        return self.ledger.verdict()

    async def _strike_all(self):
        loop = asyncio.get_running_loop()
        began, strikes = loop.time(), []
        for fault in self.schedule:
            await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
            strikes.append(asyncio.ensure_future(self._world.strike(fault)))
        await asyncio.sleep(max(0.0, began + self._seconds - loop.time()))
        await asyncio.gather(*strikes)

    async def _recover(self):
        async def all_served():
            if not await self._world.is_ready():
                return False
            step = 65536 // PROBED_KEYS
            for place in self._world.places:
                for number in range(PROBED_KEYS):
                    if await self._ask(Client(), place, "read", number * step) != 200:
                        return False
            return True

        try:
            await until(all_served, RECOVERY_SECONDS)
        except TimeoutError:
            raise SoakFailure("Not all keys are served after the faults.") from None

    def _watch(self, server):
        loop = asyncio.get_running_loop()
        server.on_left = lambda: self.ledger.acknowledged_leave(
            server.life, loop.time()
        )

        def on_run(entry, key):
            self.ledger.ran(*entry[:4], server=server.life, at=loop.time())
            if entry[0] in self._harmful_at:
                self._note_harm(entry, server)
            if key is None:
                return
            others = [
                place.server.life
                for place in self._world.places
                if place.server not in (None, server)
                and place.service == server.service
                and place.server.holds(key)
            ]
            fence = server.fence_of(key)
            self.ledger.owned(key, fence, server=server.life, others=others)

        server.server.on_run = on_run

    # Callers

    async def _call(self):
        # Clients keep their connections, and use them until they are gone.
        client = Client()
        while True:
            place = self._rng.choice(self._world.places)
            name = self._rng.choice(sorted(ROUTES))
            await self._ask(client, place, name, self._rng.randrange(65536))
            await asyncio.sleep(self._rng.expovariate(1 / CALLER_PAUSE))

    async def _ask(self, client, place, name, key, *, harmful=False):
        kind, _, method = ROUTES[name]
        id = b"q%d" % next(self._ids)
        size = self._rng.randrange(MOST_BODY) if method == b"POST" else 0
        body, rest = self._rng.randbytes(size), "x"
        if harmful:
            body, rest = name.encode() * (method == b"POST"), "harm"
            self._harmful_at[id] = place
        target = f"/{name}/{rest}".encode()
        self.ledger.asked(id, method, target, body, repeatable=kind == "safe")
        status = 0
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                status, data = await self._world.ask(
                    client, place, name, id, key, body, rest
                )
            self.ledger.answered(id, status, data, b"body of " + id)
        except CutOff:
            status = CUT_OFF
        except (NotSent, TimeoutError):
            pass
        self.counts[status] = self.counts.get(status, 0) + 1
        return status

    async def _come_back(self, place):
        """Use one connection to a host again and again, near its idle limit."""
        loop, client = asyncio.get_running_loop(), Client()
        while True:
            pause = SHORT_IDLE * self._rng.uniform(*COME_BACK)
            due = loop.time() + pause
            await asyncio.sleep(pause)
            in_time = loop.time() - due < OWN_DELAY
            kept, process = client.idle_count > 0, place.machine.process
            name = self._rng.choice(sorted(ROUTES))
            status = await self._ask(client, place, name, self._rng.randrange(65536))
            # A host that is stopped or killed may end what it has not read.
            lives = process is place.machine.process and not place.machine.ending
            if status == CUT_OFF and kept and in_time and lives:
                detail = f"{name} at {place.machine.name}, {loop.time():.2f}"
                self.ledger.note("who comes back is answered", detail)

    async def _write_strays(self):
        """Send heartbeats as other writers do; they name no server to use."""
        rng = random.Random(len(self.schedule))
        while True:
            await asyncio.sleep(STRAY_PAUSE)
            place = rng.choice(self._world.places)
            told = {"Service": "plain", "Address": place.server.announced, "Slots": 8}
            told |= {"State": "ready", "Seq": 10**6, "born": 1}
            body = rng.choice(
                (
                    b"\xff\xfe not json",
                    b"[" * 10_000,
                    told | {"Service": "elsewhere"},
                    told | {"Service": 7},
                    told | {"State": "dancing"},
                    told | {"Slots": -1, "Holds": [[0, 65535, 10**12]]},
                    told | {"Zone": "z" * (1 << 20)},
                    {name: told[name] for name in ("State", "Seq")},
                )
            )
            address = place.machine.address("control")
            await call(address, b"PUT", b"/api/instances/stray", body)

    async def _recur(self, name):
        """Send one harmful request again and again, to any host."""
        client = Client()
        while True:
            await asyncio.sleep(HARM_PAUSE)
            place = self._rng.choice(self._world.places)
            await self._ask(client, place, name, HARMFUL_KEY, harmful=True)

    def _note_harm(self, entry, server):
        places = [p for p in self._world.places if p.server is server]
        places.append(self._harmful_at[entry[0]])
        self.ledger.harmed(
            entry[2],
            asyncio.get_running_loop().time(),
            calm=self._world.is_calm(places, TOUCH_SECONDS),
        )
        task = asyncio.ensure_future(self._harm(places[0], server))
        self._harms.add(task)
        task.add_done_callback(self._harms.discard)

    async def _harm(self, place, server):
        await asyncio.sleep(HARM_SECONDS)
        silent = self._rng.random() < SILENT_HARMS
        await self._world.harm(place, server, DOWN_SECONDS, silent=silent)

    # Operators

    async def _operate(self):
        loop, world = asyncio.get_running_loop(), self._world
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / CHANGE_PAUSE))
            base, self._version = self._version, self._version + 1
            added = make_route("read", PathPrefix=f"/extra-{self._version % 7}/")
            body = {
                "Version": f"{self._version:08x}",
                "Upsert": {"Routes": {f"extra-{self._version % 7}": added}},
            }
            machine = self._rng.choice(world.control)
            status, _ = await world.change(machine, body, base, method=b"PATCH")
            if status == 200:
                self.ledger.accepted(int(body["Version"], 16), loop.time())
            else:
                await self._take_newest()

    async def _take_newest(self):
        """Build on the version in force, which another operator may have sent."""
        machine = self._rng.choice(self._world.control)
        status, data = await self._world.read(machine)
        if status == 200:
            self._version = int(json.loads(data)["Version"], 16)

    async def _read(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / CHANGE_PAUSE))
            sent = loop.time()
            status, data = await self._world.read(self._rng.choice(self._world.control))
            if status == 200:
                self.ledger.read(int(json.loads(data)["Version"], 16), sent)


def run_soak(
    *,
    seed,
    seconds,
    callers=6,
    folder=None,
    calm=False,
    granting="heartbeat",
    harmful=False,
    returning=False,
):
    """Play one seed; return broken promises, counts of answers and faults.

    Parameters
    ----------
    seed : int
        Draws the faults, and what callers ask.
    seconds : float
        Faults begin within this time.
    callers : int
        Callers, each with a connection to every host.
    folder : path, optional
        Keeps settings, data and logs of the processes.
    calm : bool
        Whether to leave the faults out.
    granting : str
        How servers are granted keys, "heartbeat" or "request" (by calls, some
        of which are carried out late).
    harmful : bool
        Whether some requests come again and again that end their servers.
    returning : bool
        Whether callers come back on connections whose idle limit is short, so that
        hosts stand still beyond it.

    Raises
    ------
    SoakFailure
        If the system does not come back after the last fault.
    """

    async def main(folder):
        soak = _Soak(
            seed=seed,
            seconds=seconds,
            callers=callers,
            folder=folder,
            calm=calm,
            granting=granting,
            harmful=harmful,
            returning=returning,
        )
        return await soak.run(), soak.counts, len(soak.schedule)

    if folder is not None:
        return asyncio.run(main(Path(folder)))
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(main(Path(name)))


@command(
    "soak",
    summary="Run real processes under faults drawn from seeds; check the promises.",
    example="guavastream soak --seeds 3 --seconds 20",
)
def _setup_soak(parser):
    parser.add_argument("--seed", type=int, default=1, help="first seed (1)")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds (1)")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="faults begin within this (20)"
    )
    parser.add_argument("--callers", type=int, default=6, help="callers (6)")
    parser.add_argument("--calm", action="store_true", help="without any fault")
    parser.add_argument(
        "--granting",
        choices=("heartbeat", "request"),
        default="heartbeat",
        help="how servers are granted keys (heartbeat)",
    )
    parser.add_argument(
        "--harmful", action="store_true", help="with requests that end their servers"
    )
    parser.add_argument(
        "--returning",
        action="store_true",
        help="with callers who come back on connections with a short idle limit",
    )
    parser.add_argument("--folder", help="keep settings, data and logs here")
    return _soak


def _soak(arguments):
    failed = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        began = time.monotonic()
        folder = arguments.folder and Path(arguments.folder) / f"seed-{seed}"
        if folder:
            folder.mkdir(parents=True)
        try:
            broken, counts, faults = run_soak(
                seed=seed,
                seconds=arguments.seconds,
                callers=arguments.callers,
                folder=folder,
                calm=arguments.calm,
                granting=arguments.granting,
                harmful=arguments.harmful,
                returning=arguments.returning,
            )
        except SoakFailure as error:
            print(f"seed {seed}: {error}")
            failed.append(seed)
            continue
        took = time.monotonic() - began
        answers = ", ".join(f"{counts[status]} x {status}" for status in sorted(counts))
        print(f"seed {seed}: {faults} faults in {took:.0f} s; {answers}")
        for one in broken[:10]:
            print(f"  broken: {one.promise}: {one.detail}")
        if broken:
            failed.append(seed)
    print(f"{arguments.seeds} seeds, {len(failed)} broke a promise: {failed}")
    return EXIT_BROKEN_PROMISE if failed else 0
