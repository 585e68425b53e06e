"""A host that stops ends long requests before the last sixth of its grace time.

The host takes requests for 3 s after its SIGTERM. It gives them until 5.0 s after it,
and the host of the backend 20 ms less. A longer one gets a 504 of the system's own at
4.98 s. The rule excuses that only if the backend is still at work in the last sixth of
the grace time, which begins at 5.0 s.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import rig as r  # noqa: E402

GRACE_SECONDS = 6.0
WORK_SECONDS = 9.0
DEADLINE_MS = 12_300
# Times after the SIGTERM at which requests are sent.
SENT_AT = (0.5, 1.0, 1.5, 2.0)


async def scenario(rig, trouble):
    backends = {
        name: rig.backend(
            name, id=f"i-{name}", slots=6, work=WORK_SECONDS, keyed=False, grants=""
        )
        for name in rig.apps
    }
    for backend in backends.values():
        await backend.start()
    await rig.configure()
    await rig.until_ready()
    await asyncio.sleep(1.0)
    found = []
    stopped_at = time.monotonic()
    if trouble:
        rig.apps["order-1"].process.send_signal(signal.SIGTERM)
        rig.record("order-1 gets SIGTERM")

    async def send(n, seconds):
        await asyncio.sleep(seconds)
        id = f"sheet{n:011d}"
        status, fields, _ = await rig.send(
            "order-1", "POST", f"/sheet/{n}", id, body=b"x" * 300, deadline=DEADLINE_MS
        )
        after = time.monotonic() - stopped_at
        sealed = "response-seal" in fields
        rig.record(f"client gets {id}: {status}, sealed {sealed}, at {after:.4f} s")
        found.append((id, status, sealed, after))

    await asyncio.gather(*(send(n, at) for n, at in enumerate(SENT_AT)))
    await asyncio.sleep(0.5)
    status = r.HELD
    for id, code, sealed, after in found:
        if not sealed and code != 503 and after < GRACE_SECONDS * 5 / 6:
            status = r.BROKEN
            rig.record(
                f"BROKEN: {id} ended with an answer of the system's own, {code}, "
                f"{after:.3f} s after the SIGTERM, while its backend was at work"
            )
    return status


r.main(
    r.Rig(
        folder=HERE,
        apps=[
            ("order-1", "orders", r.ZONES[0]),
            ("order-2", "orders", r.ZONES[1]),
            ("route-1", "dispatch", r.ZONES[0]),
            ("route-2", "dispatch", r.ZONES[1]),
        ],
        services={"orders": r.make_service(), "dispatch": r.make_service()},
        routes={
            "sheet": r.make_route(
                "/sheet/",
                "unsafe",
                "dispatch",
                Timeout="12368ms",
                TargetLatency="4123ms",
            )
        },
    ),
    scenario,
)
