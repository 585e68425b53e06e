"""Tests of announcements, health probes and grants."""

import asyncio
import json
import time
from array import array

import pytest

from guavastream.declare import Declaration, Service
from guavastream.emulator import Behaviour, StandinServer, StandinSettings
from guavastream.guard import ServerLink
from guavastream.leases import Lease
from guavastream.membership import ServerAnnouncement
from guavastream.state import ShardMap, ShardTableHolder, Table
from guavastream.web import HttpSender, HttpServer

TICK = 0.01
ANNOUNCEMENT = {"service": "s", "address": "127.0.0.1:9", "boot": "b"}
SERVICE = Service(name="s", divided_by_key=True, key="path:3", shards=2)


class FakeMembership:
    """A membership of one server that records its departure."""

    def __init__(self, announced):
        self.member = 4
        self.announced = announced
        self.departed = asyncio.Event()
        self.lease = Lease(clock=time.monotonic)
        self.lease.extend(time.monotonic() + 60)

    def announce(self, announced):
        self.announced = announced

    async def depart(self):
        self.departed.set()


class FakeAdmission:
    """An admission without running requests."""

    running = 0

    def note_server_started(self):
        """Ignore the start of a server."""


class Rig:
    """A `ServerLink` with a stand-in server that owns shard 0 of 2."""

    def __init__(self):
        settings = StandinSettings(
            service="s", listen="127.0.0.1:0", guard="127.0.0.1:1", tick=TICK
        )
        self.server = StandinServer(settings=settings)
        self.server.serve()
        self.tables = ShardTableHolder()
        shards = ShardMap(owners=array("I", [4, 9]), epochs=array("Q", [7, 8]))
        self.tables.replace(
            Table(
                index=9,
                declaration=Declaration(services=(SERVICE,)),
                shards={"s": shards},
            )
        )
        self.membership = FakeMembership(
            ServerAnnouncement(
                service="s", address=self.server.address, boot="b", slots=2
            )
        )
        self.last_success_at = float("-inf")
        self.link = ServerLink(
            membership=self.membership,
            admission=FakeAdmission(),
            tables=self.tables,
            sender=HttpSender(),
            last_success_at=lambda: self.last_success_at,
            on_drain=lambda: None,
        )

    async def run(self, until):
        task = asyncio.ensure_future(self.link.run())
        try:
            async with asyncio.timeout(10):
                await until
        finally:
            task.cancel()
            await asyncio.to_thread(self.server.stop_serving)


def test_server_gets_a_grant_with_its_epochs_and_lease():
    """A session may run longer than the lease it began under.

    The server learns only from grants that the lease was renewed. Without them
    it would abort every long upload as fenced.
    """

    async def scenario():
        rig = Rig()

        async def granted():
            while rig.server.grant.version < 0:
                await asyncio.sleep(0)

        await rig.run(granted())
        assert rig.server.grant.epochs == {"0": 7}
        assert rig.server.grant.until_ns == int(rig.membership.lease.deadline * 1e9)

    asyncio.run(scenario())


def test_member_departs_if_its_server_refuses_connections():
    """The server process has ended, so its keys must be freed at once."""

    async def scenario():
        rig = Rig()
        await asyncio.to_thread(rig.server.stop_serving)
        await rig.run(rig.membership.departed.wait())

    asyncio.run(scenario())


def test_unhealthy_server_is_kept_while_it_answers_requests():
    """The health endpoint reports a failure although requests succeed."""

    async def scenario():
        rig = Rig()
        rig.server.behave(Behaviour(healthy=False))
        announced = rig.membership.announced
        rig.last_success_at = asyncio.get_running_loop().time() + 60
        assert rig.link._check_health(announced) == (True, False)
        rig.last_success_at = float("-inf")
        assert rig.link._check_health(announced) == (False, False)
        await asyncio.to_thread(rig.server.stop_serving)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        ({"service": "s", "address": "127.0.0.1:9", "boot": "b"}, 200, "ok"),
        (
            {"service": "x", "address": "127.0.0.1:9", "boot": "b"},
            404,
            "unknown_service",
        ),
        ({"service": "s", "address": "nowhere", "boot": "b"}, 400, "bad_announcement"),
        ({"service": "s"}, 400, "bad_announcement"),
        ("nonsense", 400, "bad_announcement"),
    ],
)
def test_announcement_is_validated(body, status, code):
    """A malformed announcement or one of an unknown service must be rejected."""

    async def scenario():
        rig = Rig()
        http = HttpServer(
            address="127.0.0.1:0", handler=rig.link.handle, threads=4, tick=TICK
        )
        http.start()

        def announce():
            sender = HttpSender()
            answer = sender.send(
                http.address,
                "POST",
                "/announce",
                {},
                json.dumps(body).encode(),
                seconds=5,
                idle=5,
            )
            return answer.status, json.loads(b"".join(answer.chunks()))

        got, item = await asyncio.to_thread(announce)
        assert (got, item["code"]) == (status, code)
        await asyncio.to_thread(http.stop)
        await asyncio.to_thread(rig.server.stop_serving)

    asyncio.run(scenario())
