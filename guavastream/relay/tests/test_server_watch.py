"""When the end of a server is reported, and what may no longer be sent by then."""

import asyncio
from types import SimpleNamespace

import pytest

from guavastream.emulator import run_paused
from guavastream.http1 import NotSent
from guavastream.relay.server_watch import CONFIRM_SECONDS, ServerWatch

SERVER = SimpleNamespace(id="s~1", address="10.0.0.1:1")


class RefusingClient:
    """A client whose peer refuses connections; notes the times of the attempts."""

    def __init__(self, loop):
        self._loop = loop
        self.refused_at = []

    def count_usable(self, address):
        return 0

    async def open(self, address, *, fresh):
        self.refused_at.append(self._loop.time())
        raise NotSent("refused", refused=True)


def test_end_is_reported_with_the_last_refused_connection():
    """Guards against a next life that gets calls after the last look at the address."""

    async def main():
        loop = asyncio.get_running_loop()
        client, ended_at = RefusingClient(loop), []
        watch = ServerWatch(
            loop=loop,
            client=client,
            on_ended=lambda instance, requests: ended_at.append(loop.time()),
        )
        assert not watch.may_have_ended(SERVER.id)
        watch.note_refused(SERVER)
        began_at = loop.time()
        await asyncio.sleep(CONFIRM_SECONDS / 2)
        assert watch.may_have_ended(SERVER.id) and not watch.may_have_ended("s~2")
        await asyncio.sleep(CONFIRM_SECONDS)
        assert ended_at == client.refused_at[-1:]
        assert ended_at[0] - began_at == pytest.approx(CONFIRM_SECONDS)
        assert watch.may_have_ended(SERVER.id)

    run_paused(main())
