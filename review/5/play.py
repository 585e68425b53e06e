"""A core machine is replaced as planned, then two others lose their disks."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "shared_2"))

from deployment import CATCH_UP, STABLE, judge_recovery, main  # noqa: E402


async def scenario(deployment, trouble):
    before = time.monotonic()
    one, two, three, four, five = deployment.first
    new = deployment.spares[0]
    cores = list(deployment.first)
    if trouble:
        await new.start(seeds=[one, two, three], bootstrap=False)
        cores.append(new)
    # The successor has more than the time that the pages give it.
    await asyncio.sleep(CATCH_UP + STABLE + 0.5)
    if trouble:
        await five.stop()
        cores.remove(five)
    else:
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    await deployment.change(deployment.config(), at=cores)
    if trouble:
        # The final fault: as many disks as `FaultTolerance` allows.
        await asyncio.gather(two.kill(), three.kill())
        two.lose_disk()
        three.lose_disk()
        await asyncio.sleep(0.7)
        for machine in (two, three):
            await machine.start(seeds=[one, two, three], bootstrap=False)
    return await judge_recovery(deployment, cores=cores, before=before)


main(HERE, scenario)
