"""Runs doors, guards and stand-in servers on real sockets, without control hosts."""

import random
import time
from array import array

from guavastream.declare import Declaration, Preset, Service
from guavastream.door import Door, Forwarder
from guavastream.emulator import (
    Behaviour,
    FaultProxy,
    StandinServer,
    StandinSettings,
    make_member,
)
from guavastream.guard import Admission, Guard, Outcomes
from guavastream.kernel import make_metrics
from guavastream.leases import Lease
from guavastream.membership import ServerAnnouncement
from guavastream.routing import Chooser
from guavastream.state import ShardMap, Table
from guavastream.web import HttpSender, HttpServer

SERVICES = (
    Service(
        name="pages",
        divided_by_key=True,
        key="path:3",
        shards=4,
        checks_grants=False,
        deadline_ms=1500,
        idle_ms=400,
        non_idempotent=("POST /pages/pairings/*",),
    ),
    Service(
        name="swaps",
        checks_grants=False,
        shards=4,
        deadline_ms=1500,
        idle_ms=400,
        non_idempotent=("POST /swaps/*",),
    ),
)
TICK_SECONDS = 0.01
PRESET = Preset(name="p", slow_start_ms=0)


class FakeMembership:
    """A member whose lease ends only when the test ends it."""

    def __init__(self, *, member, announced):
        self.member = member
        self.announced = announced
        self.lease = Lease(clock=time.monotonic)
        self.lease.extend(time.monotonic() + 3600)


class Host:
    """A host with a door, a guard and a stand-in server, all in this process."""

    def __init__(self, *, number, service, tables, proxied=False):
        self.tables = tables
        self.server = StandinServer(
            settings=StandinSettings(
                service=service,
                listen="127.0.0.1:0",
                guard="127.0.0.1:1",
                work_ms=0,
                checks_grants=False,
                tick=TICK_SECONDS,
            )
        )
        self.server.serve()
        self.proxy = FaultProxy(target=self.server.address) if proxied else None
        address = self.proxy.address if proxied else self.server.address
        self.membership = FakeMembership(
            member=number,
            announced=ServerAnnouncement(
                service=service, address=address, boot="b", slots=20
            ),
        )
        metrics, self.sender = make_metrics(""), HttpSender()
        self.events = []
        self.outcomes = Outcomes()
        for shard in range(4):
            self.outcomes.note_granted(service, shard, handover_digests=())
        self.admission = Admission(
            lease=self.membership.lease,
            member=lambda: number,
            tables=tables,
            clock=time.monotonic,
        )
        guard = Guard(
            admission=self.admission,
            outcomes=self.outcomes,
            membership=self.membership,
            sender=self.sender,
            clock=time.monotonic,
            metrics=metrics,
            record=self._record,
        )
        self.forwarder = Forwarder(
            tables=tables,
            chooser=Chooser(zone="z", clock=time.monotonic, rng=random.Random(1)),
            sender=self.sender,
            get_guard=lambda: guard,
            get_member_id=lambda: number,
            clock=time.monotonic,
            metrics=metrics,
        )
        door = Door(
            forwarder=self.forwarder,
            tables=tables,
            is_ready=lambda: True,
            clock=time.monotonic,
            metrics=metrics,
            record=self._record,
        )
        self.http = HttpServer(
            address="127.0.0.1:0",
            handler=door.handle,
            threads=32,
            tick=TICK_SECONDS,
            watches=True,
        )
        self.http.start()

    def _record(self, kind, **fields):
        self.events.append((kind, fields))

    def executed_requests(self):
        """Return the ids of the requests that the server ran."""
        return [e.request for e in self.server.recent() if e.kind == "ran"]

    def stop(self):
        if self.proxy:
            self.proxy.close()
        self.server.behave(Behaviour())
        self.http.stop()
        self.server.stop_serving()


def make_table(hosts, *, index=1, owner=1):
    """Return a table in which one member owns all shards of both services."""
    members = {
        number: make_member(
            number,
            door=host.http.address,
            service=host.membership.announced.service,
            slots=20,
        )
        for number, host in enumerate(hosts, 1)
    }
    shards = ShardMap(owners=array("I", [owner] * 4), epochs=array("Q", [index] * 4))
    return Table(
        index=index,
        revision=1,
        declaration=Declaration(services=SERVICES, presets=(PRESET,), preset="p"),
        preset="p",
        members=members,
        shards={"pages": shards, "swaps": shards},
    )
