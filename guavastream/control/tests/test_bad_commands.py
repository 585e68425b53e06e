"""Commands that cannot be applied."""

import asyncio

import pytest

from guavastream.control.tests.test_fleet import FIRST, Core
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import PeerFailure
from guavastream.fleet import encode_command, handles
from guavastream.kernel import replace
from guavastream.messages import message


@message
class Undoable:
    """A command that nobody can apply."""


@handles(Undoable)
def _undo(book, index, command):
    raise ZeroDivisionError("no way to do this")


def test_a_command_that_cannot_be_applied_ends_no_control_host(tmp_path):
    """Guards against a command in the log that ends each voter at each start."""

    async def main():
        core = Core(tmp_path, FakeNetwork())
        core.start_all()
        await core.until_full()
        await core.change(FIRST)
        leader = core.rafts[core.leader()]
        with pytest.raises(PeerFailure):
            async with asyncio.timeout(5.0):
                await leader.propose(encode_command(Undoable()))
        await core.change(replace(FIRST, base=1, version=2, digest=b"second"))
        for address in core.addresses:
            core.kill(address)
        for address in core.addresses:
            core.start(address, first=False)
        await core.until(core.leader)
        assert await core.read() == 2

    run_paused(main())
