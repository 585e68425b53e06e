"""A backend that restarts under its Id goes on being granted its former keys.

The backend crashes silently and starts again two seconds later, under the Id that it
had. Its first heartbeat comes 0.3 s after it listens. Until then the process beside it
takes it for the incarnation before, and grants it that one's keys by calls. When the
heartbeat arrives, the leader takes the former incarnation for ended and gives the same
keys to other backends at once, though the new incarnation holds them for as long as the
last grant lasts.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import rig as r  # noqa: E402

BACKENDS = 7
DOWN_SECONDS = 2.0
FIRST_BEAT_SECONDS = 0.3


def make(rig, name):
    return rig.backend(
        name,
        id=f"i-{name}",
        slots=17,
        work=0.09,
        keyed=True,
        grants="request",
        born=time.time_ns() // 1_000_000,
    )


async def scenario(rig, trouble):
    backends = {name: make(rig, name) for name in rig.apps}
    for backend in backends.values():
        await backend.start()
    await rig.configure()
    await rig.until_ready()

    async def all_hold():
        return all(b.held() for b in backends.values())

    await rig.until(all_hold, "all backends hold keys", 30)
    await asyncio.sleep(2.0)
    if trouble:
        backends["cat-1"].crash_silently()
        await asyncio.sleep(DOWN_SECONDS)
        backends["cat-1"].close()
        newest = make(rig, "cat-1")
        await newest.start(beats=False)
        await asyncio.sleep(FIRST_BEAT_SECONDS)
        rig.record(f"{newest.label} holds {newest.held()}")
        rig.record("it sends its first heartbeat")
        newest.begin_beats()
    await asyncio.sleep(6.0)
    answers = [
        await rig.send("cat-2", "GET", "/cat/1", f"look{n:012d}", key=n * 4000)
        for n in range(16)
    ]
    served = sum(answer[0] == 200 for answer in answers)
    rig.record(f"{served} of {len(answers)} requests at the end are served")
    if not served:
        raise r.CannotRun("no request was served")
    return rig.judge_owners()


r.main(
    r.Rig(
        folder=HERE,
        grants="request",
        apps=[
            (f"cat-{n}", "catalogue", r.ZONES[n % 3]) for n in range(1, BACKENDS + 1)
        ],
        services={
            "catalogue": r.make_service(Sharding=True, Warmup="5s", Grants="request")
        },
        routes={"cat": r.make_route("/cat/", "safe", "catalogue")},
    ),
    scenario,
)
