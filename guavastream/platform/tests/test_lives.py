"""Heartbeats of a backend server that restarts under the same id."""

import asyncio
import json

import pytest

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.exception import FindingsError
from guavastream.platform.wire import decode_heartbeat

HEARTBEAT_SECONDS = 0.87
# Time for two heartbeats and the delay of their answers.
TWO_HEARTBEATS_SECONDS = 2.5


def make_heartbeat(*, born, seq, holds=(), address="10.9.0.1:80", id="i-1", **fields):
    body = {
        "Service": "s",
        "Address": address,
        "Zone": "z",
        "Slots": 8,
        "State": "ready",
        "Seq": seq,
        "Holds": holds,
        "born": born,
        **fields,
    }
    data = json.dumps(body).encode()
    return decode_heartbeat(id, data, host="h", door="door-1")


async def send_heartbeat(core, heartbeat):
    return await core.client().call(heartbeat, timeout=0.9, attempt=0.75)


async def send_until_granted(core, seconds=TWO_HEARTBEATS_SECONDS, **fields):
    """Send heartbeats until keys are granted; return the granted rows."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    seq = 0
    while loop.time() < end:
        seq += 1
        answer = await send_heartbeat(core, make_heartbeat(seq=seq, **fields))
        if answer.rows:
            return answer.rows
        await asyncio.sleep(HEARTBEAT_SECONDS)
    raise AssertionError("no keys were granted")


def owners(core):
    fleet = core.rafts[core.leader()]._machine.table
    return {run.owner for run in fleet.runs_of("s")}


@pytest.mark.parametrize("address", ["10.9.0.1:80", "10.9.0.1:81"])
def test_a_restarted_server_is_granted_keys_at_once(tmp_path, address):
    # Guards against a leader that ignores the heartbeats of a restarted server. They
    # are numbered from 1 again, and were taken for late heartbeats of the previous
    # instance until their numbers had caught up. Requests for the server's keys were
    # refused for as long as the previous instance had run.
    async def main():
        core = await start_control_cluster(tmp_path)
        old_rows = await send_until_granted(core, born=1000, seconds=5.0)
        held = [row[:3] for row in old_rows]
        for seq in range(10, 60):
            await send_heartbeat(core, make_heartbeat(born=1000, seq=seq, holds=held))
            await asyncio.sleep(0.05)
        new_rows = await send_until_granted(core, born=2000, address=address)
        assert min(row[2] for row in new_rows) > max(row[2] for row in old_rows)
        assert len(owners(core)) == 1

    run_paused(main())


def test_late_heartbeats_of_the_previous_instance_are_ignored(tmp_path):
    # A network cut delays a heartbeat of the previous instance until the new instance
    # has keys. It must neither be granted keys nor take any away.
    async def main():
        core = await start_control_cluster(tmp_path)
        held = [
            row[:3] for row in await send_until_granted(core, born=1000, seconds=5.0)
        ]
        rows = await send_until_granted(core, born=2000)
        late_heartbeat = make_heartbeat(born=1000, seq=99, holds=held, State="draining")
        answer = await send_heartbeat(core, late_heartbeat)
        assert answer.gone and not answer.rows
        next_heartbeat = make_heartbeat(
            born=2000, seq=50, holds=[row[:3] for row in rows]
        )
        assert {
            row[:3] for row in (await send_heartbeat(core, next_heartbeat)).rows
        } == {row[:3] for row in rows}

    run_paused(main())


@pytest.mark.parametrize(
    "fields", [{"born": "1000"}, {"born": 1.5}, {"born": None}, {"born": -1}]
)
def test_a_start_time_that_is_not_a_whole_number_is_rejected(fields):
    with pytest.raises(FindingsError):
        make_heartbeat(**{"seq": 1, "born": 1} | fields)


def test_a_heartbeat_of_an_unknown_service_does_not_replace_a_server(tmp_path):
    # A heartbeat of another system names the address of a healthy server. When it was
    # accepted, it replaced that server, which lost all its keys.
    async def main():
        core = await start_control_cluster(tmp_path)
        rows = await send_until_granted(core, born=1000, seconds=5.0)
        unknown_heartbeat = make_heartbeat(id="x", born=1, seq=1, Service="elsewhere")
        assert (await send_heartbeat(core, unknown_heartbeat)).gone
        next_heartbeat = make_heartbeat(
            born=1000, seq=50, holds=[row[:3] for row in rows]
        )
        assert (await send_heartbeat(core, next_heartbeat)).rows

    run_paused(main())


@pytest.mark.parametrize("born", [1000, 400], ids=["equal", "earlier"])
def test_an_instance_with_no_later_start_is_served_once_the_previous_one_is_gone(
    tmp_path, born
):
    """Guards against a clock set back that keeps a new instance from being served."""

    async def main():
        core = await start_control_cluster(tmp_path)
        held = [
            row[:3] for row in await send_until_granted(core, born=1000, seconds=5.0)
        ]
        for seq in range(10, 60):
            await send_heartbeat(core, make_heartbeat(born=1000, seq=seq, holds=held))
        # The previous instance is removed after it stops sending heartbeats. The next
        # heartbeat then belongs to a new instance.
        new_rows = await send_until_granted(core, born=born, seconds=8.0)
        assert min(row[2] for row in new_rows) > max(row[2] for row in held)

    run_paused(main())
