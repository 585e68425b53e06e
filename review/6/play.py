"""A core machine is lost for good and replaced, then two others lose their disks."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "shared_2"))

from deployment import CATCH_UP, judge_recovery, main  # noqa: E402

# The list that the settings are written from lags by so much (`SeedLag`).
SEED_LAG = 3.0


async def scenario(deployment, trouble):
    before = time.monotonic()
    one, two, three, four, five = deployment.first
    new = deployment.spares[0]
    cores = list(deployment.first)
    if trouble:
        await one.kill()
        cores.remove(one)
        await asyncio.sleep(1.0)
        await new.start(seeds=[one, two, three], bootstrap=False)
        started = time.monotonic()
        cores.append(new)
        # The list has caught up: the settings name other seeds.
        await asyncio.sleep(SEED_LAG - 1.0)
        for machine in cores:
            machine.write_settings(seeds=[two, three, four], bootstrap=False)
        deployment.record("the settings of the core name other seeds")
        await asyncio.sleep(started + CATCH_UP + 0.1 - time.monotonic())
    else:
        await asyncio.sleep(1.0 + CATCH_UP + 0.1)
    await deployment.change(deployment.config(), at=[two, three, four, five])
    if trouble:
        # The final fault: as many disks as `FaultTolerance` allows.
        await asyncio.gather(two.kill(), three.kill())
        two.lose_disk()
        three.lose_disk()
        await asyncio.sleep(0.7)
        for machine in (two, three):
            await machine.start(seeds=[two, three, four], bootstrap=False)
    return await judge_recovery(deployment, cores=cores, before=before)


main(HERE, scenario)
