"""Servers that leave get nothing new 2 s after a process has acknowledged that."""

import asyncio

import pytest

from guavastream.exception import GuavastreamError, NotReady
from guavastream.fleet import ChangeRoutes, ChangeRoutesResult
from guavastream.hosts.tests.rig import make_route, run_fleet
from guavastream.kernel import replace
from guavastream.routes import RetrySafety

DRAIN_SECONDS = 2.0
LOAD = 40.0
LONG_SECONDS = 6.0


class Departure:
    """Records when a departure of a host's server was acknowledged, and what it gets.

    Parameters
    ----------
    fleet : Fleet
        The fleet of the host.
    host : SimulatedHost
        Its server leaves.
    """

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host
        self.server = host.server
        self.id = f"{host.server.id}~{host.incarnations}"
        self.acknowledged_at = float("inf")
        self.arrivals = []
        note_arrival = host.server.on_arrival

        def on_arrival(id):
            self.arrivals.append(fleet.now())
            note_arrival(id)

        host.server.on_arrival = on_arrival

    @property
    def late(self):
        """Seconds after the acknowledgement of each request that came too late."""
        waits = (at - self.acknowledged_at for at in self.arrivals)
        return [round(wait, 3) for wait in waits if wait > DRAIN_SECONDS]

    async def announce(self):
        """Let heartbeats say that the server leaves, until that is acknowledged."""
        self.server.leaving = True
        while not self.is_known_to_leader:
            await asyncio.sleep(0.01)
        self.acknowledged_at = self._fleet.now()

    @property
    def is_known_to_leader(self):
        """Whether the fleet state of the leader says that the server leaves."""
        instance = self._fleet.leader_state.instances.get(self.id)
        return instance is None or instance.leaving

    async def delete(self, *, names_life):
        """Announce it by a departure without a heartbeat, again until acknowledged."""
        self._host.stop_heartbeats()
        id = self.id if names_life else ""
        while True:
            try:
                await self._host.process.depart(self.server.id, id=id)
            except GuavastreamError:
                await asyncio.sleep(0.05)
                continue
            self.acknowledged_at = self._fleet.now()
            return


async def allow_long_requests(fleet):
    """Allow requests that take seconds."""
    routes = [
        replace(make_route(name, service, RetrySafety.SAFE), timeout=LONG_SECONDS)
        for name, service in (("page", "pages"), ("look", "orders"))
    ]
    change = ChangeRoutes(
        base=1, version=2, digest=b"long", whole=False, routes=tuple(routes)
    )
    client = fleet.cluster.client()
    await client.submit(change, timeout=2.0, result=ChangeRoutesResult)
    await asyncio.sleep(1.0)


def send(fleet, host, name, count):
    """Send requests to a host that may take long; return their tasks."""
    return [
        asyncio.ensure_future(
            fleet.caller.ask(
                host,
                b"GET",
                b"/%s/%d" % (name, n),
                key=n if name == b"page" else None,
                seconds=LONG_SECONDS,
            )
        )
        for n in range(count)
    ]


@pytest.mark.parametrize("name, service", [(b"page", "pages"), (b"look", "orders")])
@pytest.mark.parametrize("near", [True, False], ids=["beside", "remote"])
def test_requests_whose_answers_are_lost_are_not_sent_again_to_a_server_that_left(
    tmp_path, name, service, near
):
    """Guards against a resend on a new connection that nothing decides anew."""

    async def scenario(fleet):
        await allow_long_requests(fleet)
        host = next(host for host in fleet.hosts if host.service == service)
        other = next(host for host in fleet.hosts if host.service != service)
        at = host if near else other
        # Kept connections, which servers may close at any moment.
        assert {(await task)[0] for task in send(fleet, at, name, 4)} == {200}
        departure = Departure(fleet, host)
        host.server.seconds = 2.9

        async def lose(request, responder):
            responder.abort()
            return True

        host.server.behave = lose
        announced = asyncio.ensure_future(departure.announce())
        tasks = send(fleet, at, name, 4)
        await announced
        await asyncio.gather(*tasks)
        assert departure.arrivals and departure.late == []

    run_fleet(tmp_path, scenario, pages=1, orders=1)


@pytest.mark.parametrize("restart_after", [0.3, 1.5, 3.0])
def test_a_process_that_starts_after_the_acknowledgement_grants_no_more_time(
    tmp_path, restart_after
):
    """Guards against a new process that counts from the first heartbeat it hears."""

    async def scenario(fleet):
        fleet.load(LOAD)
        await asyncio.sleep(1.0)
        departures = [Departure(fleet, host) for host in fleet.hosts]
        await asyncio.gather(*(departure.announce() for departure in departures))
        await asyncio.sleep(restart_after)
        for host in fleet.hosts:
            await host.kill_process()
            await host.start_process()
        await asyncio.sleep(4.0)
        assert all(departure.late == [] for departure in departures)

    # No other server can take the keys.
    run_fleet(tmp_path, scenario, pages=1, orders=1)


async def run_on(host):
    """Leave the process of a host as it is."""


async def restart(host):
    """Start the process of a host again."""
    await host.kill_process()
    await host.start_process()


async def fall_behind(host):
    """Let the process of a host know no server, as if its last watch were late."""
    host.process._known_incarnation = lambda name: name


@pytest.mark.parametrize("names_life", [True, False])
@pytest.mark.parametrize("disturb", [run_on, restart, fall_behind])
def test_departures_are_recorded_before_they_are_acknowledged(
    tmp_path, names_life, disturb
):
    """Guards against a process that does not know yet who has said that it leaves."""

    async def scenario(fleet):
        fleet.load(LOAD)
        await asyncio.sleep(1.0)
        for host in fleet.hosts:
            departure = Departure(fleet, host)
            await disturb(host)
            await departure.delete(names_life=names_life)
            assert departure.is_known_to_leader
            await asyncio.sleep(DRAIN_SECONDS + 1.0)
            assert departure.late == []

    run_fleet(tmp_path, scenario, pages=1, orders=1)


def test_a_departure_of_nobody_is_not_acknowledged(tmp_path):
    """Guards against a server that joins after its departure was acknowledged."""

    async def scenario(fleet):
        with pytest.raises(NotReady):
            await fleet.hosts[0].process.depart("stranger")
        assert "stranger" not in fleet.leader_state.gone

    run_fleet(tmp_path, scenario, pages=1, orders=1)


def test_requests_run_on_at_a_leaving_server_that_sends_no_more_heartbeats(tmp_path):
    """Guards against cutting what still runs once the server is removed as silent."""

    async def scenario(fleet):
        await allow_long_requests(fleet)
        host = fleet.host_of(fleet.leader_state.owner_of("pages", 0))
        departure = Departure(fleet, host)
        host.server.seconds = 5.5
        tasks = send(fleet, host, b"page", 1)
        await asyncio.sleep(0.1)
        await departure.delete(names_life=True)
        await asyncio.sleep(5.0)
        assert departure.id not in fleet.leader_state.instances
        assert {status for status, _ in await asyncio.gather(*tasks)} == {200}
        assert departure.server.cut == [] != departure.arrivals

    run_fleet(tmp_path, scenario, pages=2, orders=1)


def test_requests_that_open_a_connection_do_not_reach_a_server_that_left(tmp_path):
    """Guards against a decision that is older than the connection for its request."""

    async def scenario(fleet):
        await allow_long_requests(fleet)
        host = next(host for host in fleet.hosts if host.service == "pages")
        departure = Departure(fleet, host)
        client = host.process._guard._server._client
        open_connection = client.open

        async def open_slowly(address, **options):
            await asyncio.sleep(0.49)
            return await open_connection(address, **options)

        client.open = open_slowly
        await departure.announce()
        while fleet.now() < departure.acknowledged_at + 3.0:
            tasks = send(fleet, host, b"page", 1)
            await asyncio.sleep(0.07)
        await asyncio.gather(*tasks)
        assert departure.arrivals and departure.late == []

    run_fleet(tmp_path, scenario, pages=1, orders=1)


def test_requests_that_wait_at_a_server_are_refused_once_it_gets_no_more(tmp_path):
    """Guards against callers that wait for slots of a server that takes nothing."""

    async def scenario(fleet):
        await allow_long_requests(fleet)
        host = next(host for host in fleet.hosts if host.service == "orders")
        departure = Departure(fleet, host)
        host.server.seconds = 4.0
        tasks = send(fleet, host, b"look", host.server.slots + 2)
        await departure.announce()
        await asyncio.wait(tasks, timeout=DRAIN_SECONDS)
        refused = [task for task in tasks if task.done()]
        assert [task.result()[0] for task in refused] == [503, 503]
        await asyncio.gather(*tasks)
        assert len(departure.arrivals) == host.server.slots

    run_fleet(tmp_path, scenario, pages=1, orders=1)
