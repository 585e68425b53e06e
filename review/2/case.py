"""A request is refused as not run though it runs, after an answer that came twice.

A backend refuses a request, since it has not yet taken the key that it was granted. By
a fault it sends this answer a second time, where the next one is expected. The process
beside it sends the same request again, with the same id, on the same connection, and
takes the second copy for the answer to that. The client is told 503: not run, and never
will be. The backend runs it.
"""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig as r  # noqa: E402

BACKENDS = 7
RELEASED = 3
# Three of seven are replaced, and later those that took their place.
RELEASES = (1, 2, 3, 8, 9, 10)
FAULTY = (4, 5, 6, 7)
SHARE = 0.03
# Pause before each release, and after the last one.
GAP_SECONDS = 2.5
CLIENTS = 16
SLOTS, WORK_SECONDS = 5, 0.156
APPLY_SECONDS = 0.008
# Share of the requests that are about the busy keys, which are close to one another.
BUSY_SHARE = 0.8
REFUSALS = (408, 421, 429, 503)


def make(rig, n):
    backend = rig.backend(
        f"swap-{n}",
        id=f"i-swap-{n}",
        slots=SLOTS,
        work=WORK_SECONDS,
        keyed=True,
        grants="heartbeat",
    )
    backend.apply_seconds = APPLY_SECONDS
    return backend


class Clients:
    """Clients that post one swap after the other and repeat what was refused."""

    def __init__(self, *, rig, busy):
        self._rig, self._busy = rig, busy
        self._rng = random.Random(3)
        self.stopped = False
        self.statuses = {}

    def _key(self):
        if self._rng.random() < BUSY_SHARE:
            return self._rng.choice(self._busy)
        return self._rng.randrange(65536)

    async def run(self, n):
        number = 0
        while not self.stopped:
            number += 1
            key = self._key()
            for attempt in (1, 2):
                id = f"swap{n:04d}{number:06d}{attempt:02d}"
                status, fields, _ = await self._rig.send(
                    f"swap-{RELEASED + 1 + n % len(FAULTY)}",
                    "POST",
                    f"/swap/{n}/{number}",
                    id,
                    body=b"x" * 300,
                    key=key,
                    deadline=1891,
                )
                self.statuses[id] = status
                if status == 200:
                    break
                self._rig.record(f"client gets {id}: status {status}")
                if status not in REFUSALS:
                    break
                await asyncio.sleep(float(fields.get("retry-after", 0.1)))


async def release(rig, backends, old):
    """Replace a backend: the new one starts first, the old one drains."""
    new = len(backends) + 1
    backends[new] = make(rig, new)
    await backends[new].start()
    await asyncio.sleep(1.0)
    backends[old].state = "draining"
    rig.record(f"{backends[old].label} drains")


async def scenario(rig, trouble):
    backends = {n: make(rig, n) for n in range(1, BACKENDS + 1)}
    for backend in backends.values():
        await backend.start()
    await rig.configure()
    await rig.until_ready()

    async def all_hold():
        return all(b.held() for b in backends.values())

    await rig.until(all_hold, "all backends hold keys", 30)
    busy = [
        key
        for n in range(1, RELEASED + 1)
        for first, last, _ in backends[n].held()
        for key in range(first, last + 1)
    ]
    clients = Clients(rig=rig, busy=busy)
    tasks = [asyncio.ensure_future(clients.run(n)) for n in range(CLIENTS)]
    await asyncio.sleep(2.0)
    faulty = [backends[n] for n in FAULTY] if trouble else []
    for backend in faulty:
        backend.garble = r.ExtraAnswers(backend=backend, share=SHARE)
    before = sum(backends[n].answers for n in FAULTY)
    for old in RELEASES:
        await asyncio.sleep(GAP_SECONDS)
        await release(rig, backends, old)
    await asyncio.sleep(GAP_SECONDS)
    answers = sum(backends[n].answers for n in FAULTY) - before
    count = sum(backend.garble.count for backend in faulty)
    rig.record(f"{count} of {answers} answers of the faulty backends came twice")
    for backend in faulty:
        backend.garble = None
    await asyncio.sleep(2.0)
    clients.stopped = True
    await asyncio.gather(*tasks)
    return judge(rig, clients.statuses)


def judge(rig, statuses):
    """REFUSED: a request is answered 503 (429, 408, 421) and has run."""
    ran = [run for backend in rig.backends for run in backend.ran]
    counts = {
        code: list(statuses.values()).count(code) for code in set(statuses.values())
    }
    rig.record(f"{len(ran)} runs; answers to clients by status: {counts}")
    if not counts.get(200):
        raise r.CannotRun("no request was served")
    broken = [run for run in ran if statuses.get(run[0]) in REFUSALS]
    for id, _, path, _, _ in broken:
        times = sum(run[2] == path for run in ran)
        rig.record(
            f"BROKEN: {id} was answered {statuses[id]} and has run; "
            f"the swap {path} has been posted {times} times"
        )
    return r.BROKEN if broken else r.HELD


r.main(
    r.Rig(
        folder=HERE,
        apps=[
            (f"swap-{n}", "swapdesk", r.ZONES[n % 3])
            for n in range(1, BACKENDS + len(RELEASES) + 1)
        ],
        services={
            "swapdesk": r.make_service(Sharding=True, Warmup="5s", Grants="heartbeat")
        },
        routes={
            "swap": r.make_route(
                "/swap/",
                "unsafe",
                "swapdesk",
                Timeout="1891ms",
                TargetLatency="696ms",
            )
        },
    ),
    scenario,
)
