"""A core machine is down for seconds while another one is lost for good and replaced.

Much later two others lose their disks.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "shared_2"))

from deployment import CATCH_UP, STABLE, judge_recovery, main  # noqa: E402

DOWN_SECONDS = 5.5


async def scenario(deployment, trouble):
    before = time.monotonic()
    one, two, three, four, five = deployment.first
    new = deployment.spares[0]
    cores = list(deployment.first)
    if trouble:
        await four.kill()
        down = time.monotonic()
        await asyncio.sleep(1.1)
        await five.kill()
        cores.remove(five)
        await asyncio.sleep(1.0)
        await new.start(seeds=[one, two, three], bootstrap=False)
        cores.append(new)
        await asyncio.sleep(down + DOWN_SECONDS - time.monotonic())
        await four.start(seeds=[one, two, three], bootstrap=False)
    else:
        await asyncio.sleep(DOWN_SECONDS)
    # All are back for longer than the pages ask for.
    await asyncio.sleep(CATCH_UP + STABLE + 5.0)
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
