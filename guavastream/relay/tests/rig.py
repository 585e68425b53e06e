"""Hosts with one server each, in one event loop on a paused clock."""

import asyncio
import random
import warnings

from guavastream.emulator import DialectServer, run_paused
from guavastream.fleet import FleetState, FleetStateCodec, GrantKeys, JoinInstance
from guavastream.http1 import Client, Limits, Server
from guavastream.kernel import replace
from guavastream.relay import (
    Dialect,
    Guard,
    HopHandler,
    Ingress,
)
from guavastream.replica import TableHolder
from guavastream.routes import (
    RetrySafety,
    Route,
    RouteConfig,
    RouteIndex,
    ServiceRules,
    WeightedService,
)
from guavastream.scheduling import Picker, ServerLists, service_classes

__all__ = ["DIALECT", "Host", "Mesh", "run_scenario", "route"]

DIALECT = Dialect(seal=b"Guavastream-Seal")
SERVER_SECONDS = 0.1


def route(name, retry_safety=RetrySafety.SAFE, **changes):
    values = {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "retry_safety": retry_safety,
        "timeout": 1.0,
        "target": 0.5,
        "priority": 1,
        "attempts": 2,
        "weighted_services": (WeightedService(service="s"),),
    }
    return Route(**values | changes)


class Host:
    """One host: its ingress, its guard, its server and its HTTP listeners."""

    def __init__(self, mesh, number, zone):
        self.zone = zone
        loop = asyncio.get_running_loop()
        self.ip = f"10.0.0.{number}"
        self.id = f"i{number}"
        self.inbound = f"{self.ip}:2"
        self.outbound = f"{self.ip}:1"
        self.fleet_holder = TableHolder(codec=FleetStateCodec())
        self.counts = {}
        self.gauges = {}
        self.ended = []
        self.server = DialectServer(
            id=self.id, dialect=DIALECT, address=(self.ip, 3), seconds=SERVER_SECONDS
        )
        self.guard = Guard(
            loop=loop,
            dialect=DIALECT,
            fleet_holder=self.fleet_holder,
            door=self.inbound,
            count=self._count,
            on_ended=lambda instance, requests: self.ended.append(instance),
            classes=lambda: mesh.classes,
            class_priority=mesh.class_priority,
            set_gauge=self.gauges.__setitem__,
            rng=random.Random(number),
        )
        self.ingress = Ingress(
            loop=loop,
            dialect=DIALECT,
            fleet_holder=self.fleet_holder,
            routes=lambda: mesh.index,
            guard=self.guard,
            picker=Picker(clock=loop.time, rng=random.Random(number)),
            service="s",
            lists=ServerLists(host=self.ip, zone="", regions=mesh.regions),
            ratio=0.2,
            count=self._count,
            observe=lambda name, seconds: None,
            classes=lambda: mesh.classes,
            class_priority=mesh.class_priority,
            rng=random.Random(number),
        )
        self.ingress_listener = Server(
            address=(self.ip, 1),
            handler=self.ingress.handle,
            limits=Limits(head_bytes=2000, body_bytes=4 << 20, head_seconds=1.0),
            may_overlap=self.ingress.may_overlap,
            count=self._count,
        )
        self.hop_handler = HopHandler(
            loop=loop,
            dialect=DIALECT,
            guard=self.guard,
            class_priority=mesh.class_priority,
        )
        # Requests of other hosts, and bytes of their bodies that were received.
        self.hop_requests = self.body_bytes = 0
        self.hop_listener = Server(address=(self.ip, 2), handler=self._handle_hop)

    async def _handle_hop(self, request, responder):
        self.hop_requests += 1
        feed = request.body.feed

        def feed_counted(data):
            self.body_bytes += len(data)
            feed(data)

        request.body.feed = feed_counted
        await self.hop_handler.handle(request, responder)

    def _count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    async def start(self):
        await self.server.start()
        await self.ingress_listener.start()
        await self.hop_listener.start()


class Mesh:
    """Hosts that share one fleet state and one configuration.

    The hosts belong in turn to the zones of `regions`, a dict of region by zone. With
    `class_priority`, servers reserve slots for more urgent requests.
    """

    def __init__(
        self,
        *,
        hosts=2,
        keyed=False,
        routes=None,
        regions=None,
        class_priority=False,
    ):

        self.class_priority = class_priority
        routes = routes or (
            route("read"),
            route("pay", RetrySafety.UNSAFE),
            route("load", RetrySafety.UPLOAD),
        )
        config = RouteConfig(
            version=1,
            routes={r.name: r for r in routes},
            services={"s": ServiceRules(name="s", keyed=keyed)},
        )
        self.index = RouteIndex(config)
        self.classes = service_classes(config, class_priority=class_priority)
        self.fleet_state = FleetState(config=config)
        self.regions = regions or {"z": ""}
        zones = list(self.regions)
        self.hosts = [
            Host(self, number, zones[number % len(zones)])
            for number in range(1, hosts + 1)
        ]
        self.client = Client()
        self._numbers = iter(range(1, 10**6))

    async def start(self):
        for host in self.hosts:
            await host.start()
            self.apply(
                JoinInstance(
                    id=host.id,
                    service="s",
                    host=host.id,
                    door=host.inbound,
                    address=host.server.address,
                    zone=host.zone,
                    slots=host.server.slots,
                )
            )

    def apply(self, command):
        self.fleet_state, _ = self.fleet_state.apply(
            self.fleet_state.index + 1, command
        )
        for host in self.hosts:
            host.fleet_holder.replace(self.fleet_state)

    def grant(self, *rows):
        self.apply(GrantKeys(service="s", rows=rows))

    def remove_config(self):
        self.index = None

    def set_timeout(self, name, seconds):
        routes = dict(self.fleet_state.config.routes)
        routes[name] = replace(routes[name], timeout=seconds)
        self.index = RouteIndex(replace(self.fleet_state.config, routes=routes))

    async def ask(
        self,
        path,
        *,
        method=b"GET",
        at=0,
        body=b"",
        headers=(),
        deadline=1000,
        id=None,
    ):
        """Send a request; return status, headers, body and seconds of its answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        id = id or b"q%d" % next(self._numbers)
        fields = [
            (b"Host", b"a.example"),
            (DIALECT.request_id, id),
            (DIALECT.deadline_ms, b"%d" % deadline),
            *headers,
        ]
        async with await self.client.open(self.hosts[at].outbound) as exchange:
            exchange.send(method, path, fields, body)
            answer = await exchange.answer()
            data, _ = await answer.body.read_up_to(1 << 24)
        if answer.status == 200:
            assert answer.headers.get(DIALECT.request_id.lower()) == id
        return answer.status, answer.headers, data, loop.time() - began

    def ran(self, id=None):
        """Return the runs at all servers, or the number of runs of one request."""
        ran = [run for host in self.hosts for run in host.server.ran]
        return ran if id is None else sum(run[0] == id for run in ran)


def run_scenario(scenario, **kwargs):
    """Run a coroutine function that takes a started `Mesh`, on a paused clock."""

    async def main():
        mesh = Mesh(**kwargs)
        await mesh.start()
        await scenario(mesh)

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        run_paused(main())
