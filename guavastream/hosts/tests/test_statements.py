"""Servers that name a limit, or say that they leave, in their answers.

A server must not get more than one and a half times the limit that it names, and five
requests, in any four seconds; the aim is the limit itself. A host sends a server that
leaves nothing that its callers sent later than 2 s after it has said so.
"""

import asyncio

import pytest

from guavastream.hosts.tests.rig import DIALECT, run_fleet

LOAD = 50.0
# How soon a refused request must be answered, median.
REFUSED_SECONDS = 0.05
# Time within which a server gets its share again after its limit is lifted.
LIFTED_SECONDS = 2.0
DRAIN_SECONDS = 2.0


class ArrivalLog:
    """Records the times at which servers get requests, and those of refusals."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._times = []
        self.refusal_seconds = []
        original = fleet.statements.note_arrival

        def note_arrival(id, server):
            self._times.append((server, fleet.now()))
            original(id, server)

        fleet.statements.note_arrival = note_arrival
        ask = fleet.caller.ask

        async def timed_ask(*args, **kwargs):
            began = fleet.now()
            answer = await ask(*args, **kwargs)
            if answer[0] == 503:
                self.refusal_seconds.append(fleet.now() - began)
            return answer

        fleet.caller.ask = timed_ask

    def rate(self, server, since):
        """Return the requests per second that a server got since a time."""
        number = sum(s is server and at >= since for s, at in self._times)
        return number / (self._fleet.now() - since)

    def median_refusal_seconds(self):
        """Return the median time until a request was refused."""
        ordered = sorted(self.refusal_seconds) or [0.0]
        return ordered[len(ordered) // 2]


def server_of(fleet, service):
    return next(host for host in fleet.hosts if host.service == service).server


@pytest.mark.parametrize("limit", [0.5, 6.0, 15.2])
def test_limited_servers_get_what_they_take_and_others_the_rest(tmp_path, limit):
    """Guards against limits in answers that nobody reads."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        fleet.load(LOAD)
        await asyncio.sleep(2.0)
        limited = [server_of(fleet, "pages"), server_of(fleet, "orders")]
        for server in limited:
            server.rate_limit = limit
        await asyncio.sleep(2.0)
        since = fleet.now()
        fleet.answers.clear()
        await asyncio.sleep(6.0)
        assert fleet.statements.violations == []
        assert all(log.rate(server, since) <= 1.05 * limit + 0.15 for server in limited)
        assert log.rate(limited[1], since) >= 0.6 * limit
        assert fleet.success_share("order") >= 0.97
        assert fleet.success_share("page") >= 0.9
        assert log.median_refusal_seconds() <= REFUSED_SECONDS

    run_fleet(tmp_path, scenario, pages=3, orders=3)


def test_limits_that_change_and_go_are_followed(tmp_path):
    """Guards against limits that stay in force when the server names another."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        fleet.load(1.5 * LOAD)
        server = server_of(fleet, "orders")
        for limit in (10.0, 4.0, 9.5):
            server.rate_limit = limit
            await asyncio.sleep(1.5)
            since = fleet.now()
            await asyncio.sleep(4.0)
            assert 0.6 * limit <= log.rate(server, since) <= 1.05 * limit + 0.25
        server.rate_limit = None
        await asyncio.sleep(LIFTED_SECONDS)
        since = fleet.now()
        await asyncio.sleep(3.0)
        assert log.rate(server, since) >= 0.5 * LOAD / 4
        assert fleet.statements.violations == []

    run_fleet(tmp_path, scenario, pages=1, orders=4)


@pytest.mark.parametrize("service", ["pages", "orders"])
def test_what_no_server_takes_is_refused_at_once(tmp_path, service):
    """Guards against requests that wait until their deadline for a limited server."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        fleet.load(LOAD)
        await asyncio.sleep(1.0)
        servers = [host.server for host in fleet.hosts if host.service == service]
        for server in servers:
            server.rate_limit = 6.0
        await asyncio.sleep(2.0)
        since, log.refusal_seconds = fleet.now(), []
        await asyncio.sleep(5.0)
        assert fleet.statements.violations == []
        rates = [log.rate(server, since) for server in servers]
        assert sum(rates) >= 0.8 * 6.0 * len(servers)
        assert log.median_refusal_seconds() <= REFUSED_SECONDS

    run_fleet(tmp_path, scenario, pages=3, orders=3)


def test_requests_queued_before_a_server_that_becomes_limited_are_not_sent(tmp_path):
    """Guards against a queue that is sent to a server after it named its limit."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        server = server_of(fleet, "orders")
        for host in fleet.hosts:
            host.server.seconds = 0.35
        fleet.load(LOAD)
        await asyncio.sleep(2.0)
        server.rate_limit = 3.0
        await asyncio.sleep(1.0)
        since = fleet.now()
        await asyncio.sleep(4.0)
        assert log.rate(server, since) <= 3.0 + 0.25
        await asyncio.sleep(2.0)
        assert fleet.statements.violations == []

    run_fleet(tmp_path, scenario, pages=1, orders=2)


@pytest.mark.parametrize("limit", [0.5, 6.0])
def test_a_process_that_restarts_beside_a_limited_server_keeps_the_limit(
    tmp_path, limit
):
    """Guards against a new process that knows neither the limit nor what was sent."""

    async def scenario(fleet):
        fleet.load(LOAD)
        hosts = [
            next(host for host in fleet.hosts if host.service == service)
            for service in ("pages", "orders")
        ]
        for host in fleet.hosts:
            # No other server takes the requests, and many come before the first answer.
            host.server.rate_limit = limit
            host.server.seconds = 0.4
        await asyncio.sleep(4.0)
        for pause in (1.0, 4.0):
            for host in hosts:
                await host.kill_process()
            await asyncio.sleep(0.3)
            for host in hosts:
                await host.start_process()
            await asyncio.sleep(pause)
        assert fleet.statements.violations == []

    run_fleet(tmp_path, scenario, pages=3, orders=3)


def test_calls_of_servers_count_at_a_limited_server(tmp_path):
    """Guards against calls that reach a limited server beside its callers' requests."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        host = next(host for host in fleet.hosts if host.service == "pages")
        statuses = []

        async def make_calls(request, responder):
            parent = request.headers.get(DIALECT.request_id.lower())
            for _ in range(2):
                status, _ = await fleet.caller.ask(
                    host, b"GET", b"/look/x", parent=parent
                )
                statuses.append(status)
            return False

        host.server.behave = make_calls
        fleet.load(LOAD)
        server = server_of(fleet, "orders")
        server.rate_limit = 6.0
        await asyncio.sleep(2.0)
        since = fleet.now()
        statuses.clear()
        await asyncio.sleep(6.0)
        assert fleet.statements.violations == []
        assert log.rate(server, since) <= 6.0 * 1.05
        assert len(statuses) > 100 and statuses.count(200) >= 0.97 * len(statuses)

    run_fleet(tmp_path, scenario, pages=2, orders=3)


@pytest.mark.parametrize("announced", [True, False])
def test_servers_that_say_that_they_leave_get_nothing_after_the_drain(
    tmp_path, announced
):
    """Guards against departures that only heartbeats can make known."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        fleet.load(LOAD)
        await asyncio.sleep(1.0)
        leaving = []
        for service in ("pages", "orders"):
            host = next(host for host in fleet.hosts if host.service == service)
            host.announces_departure = announced
            host.server.leaving = True
            leaving.append(host.server)
        left_at = fleet.now()
        await asyncio.sleep(DRAIN_SECONDS + 0.2)
        fleet.answers.clear()
        await asyncio.sleep(5.0)
        assert fleet.statements.violations == []
        since = left_at + DRAIN_SECONDS + 0.2
        assert all(log.rate(server, since) == 0.0 for server in leaving)
        assert fleet.success_share("order") >= 0.99
        assert fleet.success_share("page") >= 0.99

    run_fleet(tmp_path, scenario, pages=4, orders=4)


def test_a_process_that_restarts_beside_a_leaving_server_sends_it_nothing(tmp_path):
    """Guards against a new process that learns of a departure by first answers."""

    async def scenario(fleet):
        fleet.load(LOAD)
        await asyncio.sleep(1.0)
        hosts = [
            next(host for host in fleet.hosts if host.service == service)
            for service in ("pages", "orders")
        ]
        for host in hosts:
            # No control host hears of it either.
            fleet.cut_from_control(host)
            host.announces_departure = False
            host.server.leaving = True
        await asyncio.sleep(2.2)
        fleet.network.heal()
        for host in hosts:
            await host.kill_process()
            await host.start_process()
        await asyncio.sleep(3.0)
        assert fleet.statements.violations == []

    run_fleet(tmp_path, scenario, pages=3, orders=3)


def test_a_host_that_was_suspended_sends_nothing_to_a_server_that_left(tmp_path):
    """Guards against a time limit that does not count while the host is suspended."""

    async def scenario(fleet):
        log = ArrivalLog(fleet)
        fleet.load(3 * LOAD)
        host = next(host for host in fleet.hosts if host.service == "pages")
        host.announces_departure = False
        host.server.leaving = True
        await asyncio.sleep(0.1)
        host.suspended_seconds += 3.0
        # What was on its way to the server arrives.
        await asyncio.sleep(0.01)
        since = fleet.now()
        await asyncio.sleep(2.0)
        assert log.rate(host.server, since) == 0.0

    run_fleet(tmp_path, scenario, pages=2, orders=1)
