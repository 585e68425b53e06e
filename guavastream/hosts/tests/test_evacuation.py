"""Evacuations of availability zones, with hosts, servers and callers.

Pages have keys and orders do not. A zone's servers must get no request later than
5 s after the acknowledgement of its evacuation; the aim is 1 s for requests that any
server can run.
"""

import asyncio

from guavastream.hosts.tests.rig import run_fleet

BOUND_SECONDS = 5.0
IN_FORCE_SECONDS = 1.0
ZONES = ("x", "y", "z")
LOAD = 25.0


class RunLog:
    """Records the zone, the service and the time of each run at a server."""

    def __init__(self, fleet):
        self._runs = []
        original = fleet.note_run

        def note_run(host, server, entry):
            self._runs.append((host.zone, host.service, fleet.now()))
            original(host, server, entry)

        fleet.note_run = note_run

    def count(self, zone, service, since, until=float("inf")):
        """Return the number of runs in a zone within a time."""
        return sum(
            (z, s) == (zone, service) and since < at <= until for z, s, at in self._runs
        )


def owners_by_zone(fleet):
    """Return the zones of the servers that own keys."""
    state = fleet.leader_state
    owners = {run.owner for run in state.runs_of("pages")}
    return {state.instances[id].zone for id in owners if id}


def test_servers_of_an_evacuated_zone_get_no_requests_and_callers_are_served(tmp_path):
    async def scenario(fleet):
        log = RunLog(fleet)
        fleet.load(LOAD)
        await asyncio.sleep(2.0)
        await fleet.set_evacuation("x", active=True)
        acknowledged_at = fleet.now()
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.answers.clear()
        await asyncio.sleep(7.0)
        in_force_at = acknowledged_at + IN_FORCE_SECONDS
        assert log.count("x", "orders", in_force_at) == 0
        assert log.count("x", "pages", acknowledged_at + BOUND_SECONDS) == 0
        assert owners_by_zone(fleet) == {"y", "z"}
        # Keys that move have no owner for a moment; that is over as well.
        assert fleet.success_share("order") >= 0.99
        assert fleet.success_share("page") >= 0.99
        # A second zone, while the first one is evacuated.
        await fleet.set_evacuation("y", active=True)
        acknowledged_at = fleet.now()
        await asyncio.sleep(7.0)
        assert log.count("y", "pages", acknowledged_at + BOUND_SECONDS) == 0
        assert owners_by_zone(fleet) == {"z"}

    run_fleet(tmp_path, scenario, pages=6, orders=6, zones=ZONES)


def test_the_servers_get_work_again_when_the_evacuation_ends(tmp_path):
    # They have lost their caches meanwhile: each gets no more than it tolerates.
    async def scenario(fleet):
        log = RunLog(fleet)
        fleet.load(LOAD)
        await fleet.set_evacuation("x", active=True)
        await asyncio.sleep(6.0)
        servers = [host.server for host in fleet.hosts if host.zone == "x"]
        for server in servers:
            server.cold_until = fleet.now() + 3.0
        await fleet.set_evacuation("x", active=False)
        ended_at = fleet.now()
        await asyncio.sleep(8.0)
        assert all(server.most_while_cold <= 7 for server in servers)
        assert log.count("x", "orders", ended_at + 3.0) > 20
        # At this load no keys need to move back, except to servers without any.
        assert log.count("x", "pages", ended_at + 3.0) > 0

    run_fleet(tmp_path, scenario, pages=6, orders=6, zones=ZONES, cold_rate=7.5)


def test_callers_are_refused_at_once_if_no_server_is_left(tmp_path):
    async def scenario(fleet):
        for zone in ZONES:
            await fleet.set_evacuation(zone, active=True)
        acknowledged_at = fleet.now()
        log = RunLog(fleet)
        await asyncio.sleep(BOUND_SECONDS)
        host = fleet.hosts[0]
        for method, target, key in (
            (b"GET", b"/page/1", 5),
            (b"POST", b"/order/1", None),
        ):
            began = fleet.now()
            status, headers = await fleet.caller.ask(host, method, target, key=key)
            assert status == 503 and fleet.now() - began < 0.1
            assert 0.5 < float(headers.get(b"retry-after")) < 2.0
        for service in ("pages", "orders"):
            assert not any(
                log.count(zone, service, acknowledged_at + BOUND_SECONDS)
                for zone in ZONES
            )
        await fleet.set_evacuation("z", active=False)
        await asyncio.sleep(3.0)
        status, _ = await fleet.caller.ask(host, b"POST", b"/order/2")
        assert status == 200
        status, _ = await fleet.caller.ask(host, b"GET", b"/page/2", key=5)
        assert status == 200

    run_fleet(tmp_path, scenario, pages=3, orders=3, zones=ZONES)


def test_a_host_that_restarts_during_an_evacuation_sends_nothing_to_its_server(
    tmp_path,
):
    # The new process does not know when the evacuation began. With servers in this
    # zone only, the keys stay with them.
    async def scenario(fleet):
        await fleet.set_evacuation("x", active=True)
        await asyncio.sleep(BOUND_SECONDS)
        log = RunLog(fleet)
        fleet.load(LOAD)
        for host in fleet.hosts:
            await host.kill_process()
            await host.start_process()
        await asyncio.sleep(3.0)
        assert log.count("x", "pages", 0.0) == log.count("x", "orders", 0.0) == 0

    run_fleet(tmp_path, scenario, pages=2, orders=2, zones=("x",))


def test_a_control_host_lost_during_an_evacuation_does_not_undo_it(tmp_path):
    # The leader is lost right after the acknowledgement, and a host restarts.
    async def scenario(fleet):
        fleet.load(LOAD)
        log = RunLog(fleet)
        await fleet.set_evacuation("x", active=True)
        acknowledged_at = fleet.now()
        fleet.cluster.kill(fleet.cluster.leader())
        await fleet.hosts[1].kill_process()
        await fleet.hosts[1].start_process()
        await asyncio.sleep(9.0)
        since = acknowledged_at + BOUND_SECONDS
        assert log.count("x", "pages", since) == log.count("x", "orders", since) == 0
        assert owners_by_zone(fleet) == {"y", "z"}

    run_fleet(tmp_path, scenario, pages=6, orders=6, zones=ZONES)
