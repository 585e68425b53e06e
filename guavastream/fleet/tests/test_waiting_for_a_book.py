"""Waiting for a fleet state that arrives at the deadline."""

import asyncio

from guavastream.emulator import run_paused
from guavastream.fleet import FleetState, FleetStateCodec
from guavastream.replica import TableHolder


def test_a_wait_succeeds_if_the_state_arrives_at_its_deadline():
    """Guards against a wait that times out although the state has arrived."""

    async def main():
        loop = asyncio.get_running_loop()
        states = TableHolder(codec=FleetStateCodec())
        waiting = asyncio.ensure_future(states.wait(3, 1.0))
        await asyncio.sleep(0)
        loop.call_at(loop.time() + 1.0, lambda: states.replace(FleetState(index=3)))
        assert await waiting

    run_paused(main())
