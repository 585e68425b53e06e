"""Servers that are cold after their start, under load, with hosts and callers.

A cold server tolerates 7.5 requests per second and must never get more than 19.25.
"""

import asyncio

import pytest

from guavastream.hosts.tests.rig import run_fleet

COLD_RATE = 7.5
BOUND = 19.25
COLD_SECONDS = 3.0
# Requests per second of each kind; warm servers could run all of them.
LOAD = 66.0


async def restart_servers(hosts, *, down):
    """Crash servers and start them again, cold."""
    for host in hosts:
        await host.crash_server()
    await asyncio.sleep(down)
    for host in hosts:
        await host.start_server(cold=COLD_SECONDS)


def most_while_cold(fleet):
    return max(host.server.most_while_cold for host in fleet.hosts)


@pytest.mark.parametrize("processes_too", [False, True])
def test_servers_that_start_cold_together_are_not_pressed(tmp_path, processes_too):
    # All servers of a service lose power; perhaps the processes beside them, too.
    async def scenario(fleet):
        fleet.load(LOAD)
        await asyncio.sleep(1.0)
        hosts = [host for host in fleet.hosts if host.service == "orders"]
        if processes_too:
            for host in hosts:
                await host.kill_process()
        await restart_servers(hosts, down=1.0)
        if processes_too:
            for host in hosts:
                await host.start_process()
        await asyncio.sleep(COLD_SECONDS + 2.0)
        assert 3 <= most_while_cold(fleet) <= COLD_RATE
        fleet.answers.clear()
        await asyncio.sleep(2.0)
        assert fleet.success_share("order") >= 0.95

    run_fleet(tmp_path, scenario, pages=1, orders=3, cold_rate=COLD_RATE)


def test_a_server_whose_process_restarts_while_it_is_cold_is_not_pressed(tmp_path):
    # The new process does not know what the previous one sent to the server.
    async def scenario(fleet):
        fleet.load(LOAD)
        host = fleet.hosts[-1]
        await restart_servers([host], down=0.5)
        for _ in range(4):
            await asyncio.sleep(0.6)
            await host.kill_process()
            await host.start_process()
        assert most_while_cold(fleet) <= BOUND

    run_fleet(tmp_path, scenario, pages=1, orders=3, cold_rate=COLD_RATE)


def test_a_hot_key_does_not_press_a_cold_owner(tmp_path):
    # Nobody else may serve the key; what the owner does not tolerate is refused at
    # once, with the time at which there is room.
    async def scenario(fleet):
        await restart_servers(fleet.hosts, down=0.2)
        await asyncio.sleep(1.0)
        seconds = []

        async def ask(number):
            began = fleet.now()
            status, _ = await fleet.caller.ask(
                fleet.hosts[number % 2], b"GET", b"/page/%d" % number, key=7
            )
            if status == 503:
                seconds.append(fleet.now() - began)

        for number in range(100):
            fleet.spawn(ask(number))
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        assert most_while_cold(fleet) <= BOUND
        assert seconds and sorted(seconds)[len(seconds) // 2] < 0.05

    run_fleet(tmp_path, scenario, pages=2, orders=0, cold_rate=COLD_RATE)
