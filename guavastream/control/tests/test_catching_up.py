"""Catching up of a control host that missed many large changes."""

import asyncio
import random

from guavastream.control.tests.test_fleet import ROUTE, start_control_cluster
from guavastream.emulator import run_paused
from guavastream.fleet import ChangeRoutes
from guavastream.routes import ServiceRules

# A link of 170 Mbit/s and changes of 400 KB.
LINK_BYTES_PER_SECOND = 21_000_000.0
CHANGE_BYTES = 400_000
CHANGES = 40
CATCH_UP_SECONDS = 4.0


def large_change(version):
    """Return a change with random content, which cannot be compressed."""
    raw_json = random.Random(version).randbytes(CHANGE_BYTES)
    service = ServiceRules(name="s", keyed=True, raw_json=raw_json)
    return ChangeRoutes(
        base=version - 1,
        version=version,
        digest=str(version).encode(),
        whole=True,
        routes=(ROUTE,),
        services=(service,),
    )


def test_host_that_missed_many_large_changes_catches_up(tmp_path):
    # A control host is down while 40 large changes are made. If the leader sends
    # them in one message of 16 MB, the link needs 0.8 s, longer than the call
    # timeout of 0.4 s. The leader then resends it forever and never counts the host,
    # so after the loss of two others, which is allowed, no change is accepted.
    async def main():
        core = await start_control_cluster(tmp_path)
        others = [a for a in core.addresses if a != core.leader()]
        away = others.pop()
        core.kill(away)
        for version in range(2, 2 + CHANGES):
            await core.change(large_change(version))
        core.network.narrow(away, LINK_BYTES_PER_SECOND)
        core.start(away)
        await asyncio.sleep(CATCH_UP_SECONDS)
        for address in others[-2:]:
            core.kill(address)
        await core.change(large_change(2 + CHANGES))

    run_paused(main())
