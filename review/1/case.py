"""A large upload that is sent on twice reaches the second backend with a hole.

The backend that the upload is sent to first has just crashed. The process beside it has
taken the body by the time it finds that out, and reports that the request has not run.
The process of the client sends the request to another backend, with the part of the
body that it still has.
"""

import asyncio
import hashlib
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig as r  # noqa: E402

BUNDLE_BYTES = 3_000_000
BUNDLES = 6
# One of seven backends crashes and is down for 4.5 s.
KEEPERS = 7
DOWN_SECONDS = 4.5


async def scenario(rig, trouble):
    backends = {}
    for name in rig.apps:
        backends[name] = rig.backend(
            name, id=f"i-{name}", slots=18, work=0.19, keyed=False, grants="heartbeat"
        )
        await backends[name].start()
    await rig.configure()
    await rig.until_ready()
    await asyncio.sleep(1.0)
    rng = random.Random(5)

    async def upload(n):
        body = rng.randbytes(BUNDLE_BYTES)
        digest = hashlib.sha256(body).hexdigest()
        id = f"bundle{n:010d}"
        rig.record(f"client sends {id}: {len(body)} bytes, sha256 {digest[:16]}")
        status, fields, text = await rig.send(
            "swap-1", "POST", f"/records/{n}", id, body=body
        )
        sealed = "response-seal" in fields
        said = text.decode("latin-1")[:120]
        rig.record(f"client gets {id}: status {status}, sealed {sealed}, {said}")
        return id, len(body), digest, status

    sent = [await upload(0)]
    if trouble:
        backends["keep-1"].crash()
    sent += [await upload(n) for n in range(1, BUNDLES)]
    if trouble:
        await asyncio.sleep(DOWN_SECONDS)
        await rig.backend(
            "keep-1",
            id="i-keep-1-again",
            slots=18,
            work=0.19,
            keyed=False,
            grants="heartbeat",
        ).start()
        await asyncio.sleep(1.0)
    return judge(rig, sent)


def judge(rig, sent):
    """UNASKED: a backend runs a request with another body than the client sent."""
    by_id = {id: (size, digest, code) for id, size, digest, code in sent}
    ran = [run for backend in rig.backends for run in backend.ran]
    if len(ran) < BUNDLES - 1:
        raise r.CannotRun("too few uploads were run")
    status = r.HELD
    for id, _, path, size, digest in ran:
        if (size, digest) != by_id[id][:2]:
            status = r.BROKEN
            rig.record(
                f"BROKEN: {id} {path} was sent with {by_id[id][0]} bytes and run with "
                f"a body of {size} bytes; the client got status {by_id[id][2]}"
            )
    return status


r.main(
    r.Rig(
        folder=HERE,
        apps=[
            ("swap-1", "swapdesk", "leith-a"),
            ("keep-1", "recordkeep", "leith-a"),
            *(
                (f"keep-{n}", "recordkeep", r.ZONES[1 + n % 2])
                for n in range(2, KEEPERS + 1)
            ),
        ],
        services={"swapdesk": r.make_service(), "recordkeep": r.make_service()},
        routes={"records": r.make_route("/records/", "upload", "recordkeep")},
    ),
    scenario,
)
