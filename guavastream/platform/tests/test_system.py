"""The whole system as real processes, against an emulated platform."""

import asyncio
import json
import os
import signal

import pytest

from guavastream.http1 import Client
from guavastream.platform.emulator import (
    PORTS,
    EmulatedPlatform,
    Machine,
    call,
    make_route,
    wait_until,
)


def run_scenario(folder, scenario, **options):
    """Run a scenario on a started `EmulatedPlatform` with two keyed servers."""

    async def main():
        platform = EmulatedPlatform(folder=folder, keyed=2, plain=0, **options)
        try:
            await platform.start()
            await scenario(platform)
        finally:
            await platform.stop()

    asyncio.run(main())


async def send_read(platform, server_host, key):
    id = b"q%d" % key
    return await platform.send_request(Client(), server_host, "read", id, key, b"")


async def send_change_until_known(platform, at, body, base, **kwargs):
    """Repeat a change until its outcome is known, as an operator does."""

    async def once():
        status, _ = await platform.send_change(
            platform.control_hosts[at], body, base, **kwargs
        )
        return status if status not in (0, 503) else 0

    return await wait_until(once)


@pytest.mark.parametrize("granting", ["heartbeat", "request"])
def test_requests_and_changes_survive_a_lost_control_host_and_a_planned_stop(
    tmp_path, granting
):
    # Requests for keys of the whole range reach their owners from both hosts, and a
    # change of the configuration is read back. The loss of a control host, a planned
    # stop of one process and the draining of a server must not fail any request.
    async def scenario(platform):
        for server_host in platform.server_hosts:
            for key in range(0, 65536, 9000):
                answer = await send_read(platform, server_host, key)
                assert answer == (200, b"body of q%d" % key)
        servers = [server_host.server.server for server_host in platform.server_hosts]
        assert {run[4] for server in servers for run in server.ran} == {b"keyed"}
        assert all(server.ran for server in servers)

        config = platform.make_config(1)
        patch = {"method": b"PATCH"}
        assert await send_change_until_known(platform, 1, config, 0) == 200
        assert (
            await send_change_until_known(platform, 1, platform.make_config(3), 0)
            == 412
        )
        bad = {"Version": "00000003", "Remove": {"Services": ["keyed"]}}
        assert await send_change_until_known(platform, 0, bad, 1, **patch) == 422
        assert await send_change_until_known(platform, 0, b"{", 1, **patch) == 400

        await platform.control_hosts[0].terminate()
        added = make_route("read", PathPrefix="/more/")
        more = {"Version": "00000007", "Upsert": {"Routes": {"more": added}}}
        assert await send_change_until_known(platform, 1, more, 1, **patch) == 200

        async def read():
            status, body = await platform.read_config(platform.control_hosts[2])
            return json.loads(body) if status == 200 else None

        config_read = await wait_until(read)
        assert config_read["Version"] == "00000007"
        assert set(config_read["Routes"]) == {*config["Routes"], "more"}

        stopping, other = platform.server_hosts
        stopping.server.server.seconds = 0.5
        other_request = asyncio.ensure_future(send_read(platform, other, 5))
        own_request = asyncio.ensure_future(send_read(platform, stopping, 40000))
        stopping.machine.process.send_signal(signal.SIGTERM)
        assert (await other_request)[0] == 200 and (await own_request)[0] == 200
        assert await stopping.machine.process.wait() == 0
        await platform.start_host(stopping)
        await wait_until(platform.is_ready)
        assert (await send_read(platform, stopping, 5))[0] == 200

        leaving = other.server
        leaving.state = "draining"

        async def has_handed_over():
            return not leaving.has_keys and stopping.server.holds(50000)

        await wait_until(has_handed_over)
        assert (await send_read(platform, other, 50000))[0] == 200

    run_scenario(tmp_path, scenario, granting=granting)


def test_a_zone_is_evacuated_and_taken_back_by_orders_to_any_control_host(tmp_path):
    # Each order is sent twice, to two hosts, as if its answer had been lost. Orders
    # that make no sense are refused and change nothing.
    async def scenario(platform):
        first, second, third = platform.control_hosts
        evacuate = platform.set_evacuation
        assert await evacuate(first, "nowhere", active=True) == 404
        path = b"/api/evacuation/a"
        assert (await call(second.address("control"), b"PUT", path))[0] == 400
        with_body = await call(second.address("control"), b"POST", path, {"a": 1})
        assert with_body[0] == 400
        remote, local = platform.server_hosts
        assert remote.zone == "b" and local.zone == "a"

        async def is_acknowledged():
            return await evacuate(third, "a", active=True) == 200

        await wait_until(is_acknowledged)
        assert await evacuate(first, "a", active=True) == 200

        async def keys_have_moved():
            return not local.server.has_keys and remote.server.holds(50000)

        await wait_until(keys_have_moved)
        for key in range(0, 65536, 9000):
            assert (await send_read(platform, local, key))[0] == 200
        ran = len(local.server.server.ran)
        assert await evacuate(second, "a", active=False) == 200
        assert await evacuate(third, "a", active=False) == 200

        async def has_keys_again():
            return local.server.has_keys

        await wait_until(has_keys_again)
        assert len(local.server.server.ran) == ran

    run_scenario(tmp_path, scenario, zones=("a", "b"))


@pytest.mark.parametrize("granting", ["heartbeat", "request"])
def test_keys_are_granted_anew_to_a_server_that_restarts_under_its_id(
    tmp_path, granting
):
    # A server crashes and restarts with the same id on another port before its failure
    # is detected. It holds no keys, so they must be granted anew, to it or to the other
    # server, under higher fencing tokens. A later departure must end the new instance.
    async def scenario(platform):
        server_host = platform.server_hosts[0]
        old_server = server_host.server
        keys = [key for key in range(0, 65536, 997) if old_server.holds(key)]
        fence = max(old_server.fence_of(key) for key in keys)
        await platform.crash_server(server_host)
        platform.start_server(server_host, same_id=True)
        assert (
            server_host.server.id == old_server.id
            and server_host.server.started_ms > old_server.started_ms
        )

        async def are_served_again():
            answers = [
                await send_read(platform, platform.server_hosts[1], key)
                for key in keys[::9]
            ]
            return (
                all(status == 200 for status, _ in answers)
                and server_host.server.has_keys
            )

        await wait_until(are_served_again)
        held = [key for key in keys if server_host.server.holds(key)]
        assert all(server_host.server.fence_of(key) > fence for key in held)

        # The departure ends the new instance: the other server takes over all keys.
        assert await server_host.server.send_departure()

        async def has_taken_over():
            return all(platform.server_hosts[1].server.holds(key) for key in keys)

        await wait_until(has_taken_over)

    run_scenario(tmp_path, scenario, granting=granting)


def test_a_process_with_bad_settings_exits_and_prints_every_finding(tmp_path):
    async def main():
        path = tmp_path / "bad.conf"
        path.write_text("NodeName=x\nServes=control_plane\nHeartbeat=soon\n")
        machine = Machine("bad", "127.0.0.1", [0] * len(PORTS), tmp_path)
        process = await asyncio.create_subprocess_exec(
            os.sys.executable,
            "-m",
            "guavastream.platform",
            env=os.environ | {"GUAVASTREAM_BOOT": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 2 and machine.process is None
        for name in (b"Zone", b"Ip", b"Seeds", b"DataDir", b"Heartbeat"):
            assert name in errors

    asyncio.run(main())


def test_a_process_that_is_told_to_stop_is_not_ready_from_then_on(tmp_path):
    """Guards against callers that go on coming to hosts that stop."""

    async def scenario(platform):
        stopping = platform.server_hosts[0]
        # It has a request to finish, so that it does not end at once.
        stopping.server.server.seconds = 0.8
        key = stopping.server.rows[0][0]
        request = asyncio.ensure_future(send_read(platform, stopping, key))
        process, address = stopping.machine.process, stopping.machine.address("ready")

        async def is_running_it():
            return stopping.server.server.running

        await wait_until(is_running_it)
        process.send_signal(signal.SIGTERM)

        async def ask():
            return await call(address, b"GET", b"/api/readiness")

        async def is_not_ready():
            return (await ask())[0] != 200

        await wait_until(is_not_ready)
        statuses = []
        while process.returncode is None:
            statuses.append((await ask())[0])
            await asyncio.sleep(0)
        assert statuses and 200 not in statuses
        assert (await request)[0] == 200

    run_scenario(tmp_path, scenario)
