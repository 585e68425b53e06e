"""Handling of commands that cannot be applied."""

import asyncio

import pytest

from guavastream.control.tests.test_fleet import FIRST_CHANGE, ControlCluster
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import PeerFailure
from guavastream.fleet import encode_command, handles
from guavastream.kernel import replace
from guavastream.messages import message


@message
class FailingCommand:
    """A command whose handler raises an error."""


@handles(FailingCommand)
def _fail(state, index, command):
    raise ZeroDivisionError("this command always fails")


def test_command_that_cannot_be_applied_crashes_no_control_host(tmp_path):
    """Such a command in the log would crash each voter at each start.

    It must be refused before it is appended.
    """

    async def main():
        cluster = ControlCluster(tmp_path, FakeNetwork())
        cluster.start_all()
        await cluster.wait_for_voters()
        await cluster.change(FIRST_CHANGE)
        leader = cluster.rafts[cluster.leader()]
        with pytest.raises(PeerFailure):
            async with asyncio.timeout(5.0):
                await leader.propose(encode_command(FailingCommand()))
        await cluster.change(replace(FIRST_CHANGE, base=1, version=2, digest=b"second"))
        for address in cluster.addresses:
            cluster.kill(address)
        for address in cluster.addresses:
            cluster.start(address, first=False)
        await cluster.until(cluster.leader)
        assert await cluster.read() == 2

    run_paused(main())
