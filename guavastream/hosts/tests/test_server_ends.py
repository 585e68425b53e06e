"""Detection of a crashed backend server by the process beside it."""

import asyncio

import pytest

from guavastream.fleet import Heartbeat
from guavastream.hosts.tests.rig import INBOUND_PORT, run_fleet

# Time after the crash of its server within which a key is served again.
SERVED_AGAIN_SECONDS = 1.0
KEY = 4711
PAUSE_SECONDS = 0.004


def test_a_busy_key_is_served_again_soon_after_its_server_crashed(tmp_path):
    """Guards against a crash that goes undetected because requests keep coming."""
    answered = []

    async def ask(fleet, number):
        host = fleet.rng.choice(fleet.hosts)
        target = b"/page/%d" % number
        status, _ = await fleet.caller.ask(host, b"GET", target, key=KEY)
        if status == 200:
            answered.append(fleet.now())

    async def ask_often(fleet, seconds):
        for number in range(int(seconds / PAUSE_SECONDS)):
            fleet.spawn(ask(fleet, number))
            await asyncio.sleep(PAUSE_SECONDS)

    async def scenario(fleet):
        await ask_often(fleet, 1.0)
        owner = fleet.hosts[0].process.fleet_state.owner_of("pages", KEY)
        await fleet.host_of(owner).crash_server()
        crashed_at = fleet.now()
        await ask_often(fleet, 4.0)
        after = [at for at in answered if at > crashed_at]
        assert after and min(after) - crashed_at <= SERVED_AGAIN_SECONDS

    run_fleet(tmp_path, scenario, pages=4, orders=0)


def make_heartbeat(host, address, id):
    """Return a heartbeat of another server of a host, which has no start time."""
    return Heartbeat(
        id=id,
        service=host.service,
        host=host.ip,
        door=f"{host.ip}:{INBOUND_PORT}",
        address=address,
        zone=host.zone,
        slots=8,
        leaving=False,
        cold_seconds=0.0,
        seq=1,
    )


@pytest.mark.parametrize("sheds", [False, True])
def test_late_heartbeat_does_not_drive_out_a_server_too_busy_for_a_check(
    tmp_path, sheds
):
    """Guards against two holders of the same keys, the live server and the next."""

    async def scenario(fleet):
        host = fleet.hosts[0]
        server, live = host.server, f"{host.ip}~{host.incarnations}"
        server.hangs_when_full, server.running = not sheds, server.slots
        if sheds:
            server.reports_name = False
        late = make_heartbeat(host, server.address, "crashed")
        answer = await host.process.beat(late)
        await asyncio.sleep(1.0)
        assert answer is None
        assert live in fleet.leader_state.instances
        assert "crashed" not in fleet.leader_state.instances
        assert fleet.leader_state.runs_owned_by(live, "pages")

    run_fleet(tmp_path, scenario, pages=3, orders=0)


def test_server_that_answers_no_check_joins_when_the_one_before_holds_nothing(tmp_path):
    """Guards against a server that is refused for ever at its own address."""

    async def scenario(fleet):
        host = fleet.hosts[0]
        server = host.stop_heartbeats()
        server.hangs_when_full, server.running = True, server.slots
        new = make_heartbeat(host, server.address, "new")
        began = fleet.now()
        while await host.process.beat(new) is None:
            await asyncio.sleep(0.5)
            assert fleet.now() < began + 15.0
        assert "new" in fleet.leader_state.instances

    run_fleet(tmp_path, scenario, pages=3, orders=0)
