"""A control host that was away catches up, however large what it missed is."""

import asyncio
import random

from guavastream.control.tests.test_fleet import ROUTE, start_core
from guavastream.emulator import run_paused
from guavastream.fleet import ChangeRoutes
from guavastream.routes import ServiceRules

# A link of 170 Mbit/s, and changes of 400 KB.
RATE = 21_000_000.0
ORIGIN = 400_000
CHANGES = 40
SECONDS = 4.0


def large_change(version):
    """Return a change that compression cannot make smaller."""
    origin = random.Random(version).randbytes(ORIGIN)
    service = ServiceRules(name="s", keyed=True, origin=origin)
    return ChangeRoutes(
        base=version - 1,
        version=version,
        digest=str(version).encode(),
        whole=True,
        routes=(ROUTE,),
        services=(service,),
    )


def test_a_control_host_that_missed_many_large_changes_catches_up(tmp_path):
    # A control host was away while operators made forty large changes. The
    # leader sent them all in one message, 16 MB, and waited 0.4 s for the
    # answer; the link takes 0.8 s. It sent the same again, behind the rest of
    # the first, and never learned that the host had it: when two others were
    # lost, which is allowed, no change was accepted any more.
    async def main():
        core = await start_core(tmp_path)
        others = [a for a in core.addresses if a != core.leader()]
        away = others.pop()
        core.kill(away)
        for version in range(2, 2 + CHANGES):
            await core.change(large_change(version))
        core.network.narrow(away, RATE)
        core.start(away)
        await asyncio.sleep(SECONDS)
        for address in others[-2:]:
            core.kill(address)
        await core.change(large_change(2 + CHANGES))

    run_paused(main())
