"""A backend server that starts again under the id that it had."""

import asyncio
import json

import pytest

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.exception import FindingsError
from guavastream.platform.wire import decode_beat

HEARTBEAT = 0.87
# Time for two heartbeats and what is held back of their answers.
SECONDS = 2.5


def beat(*, born, seq, holds=(), address="10.9.0.1:80", id="i-1", **fields):
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
    return decode_beat(id, data, host="h", door="door-1")


async def send(core, said):
    return await core.client().call(said, timeout=0.9, attempt=0.75)


async def until_granted(core, seconds=SECONDS, **fields):
    """Send heartbeats until keys are granted; return the rows."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    seq = 0
    while loop.time() < end:
        seq += 1
        answer = await send(core, beat(seq=seq, **fields))
        if answer.rows:
            return answer.rows
        await asyncio.sleep(HEARTBEAT)
    raise AssertionError("no keys are granted")


def owners(core):
    book = core.rafts[core.leader()]._machine.table
    return {run.owner for run in book.runs_of("s")}


@pytest.mark.parametrize("address", ["10.9.0.1:80", "10.9.0.1:81"])
def test_a_server_that_starts_again_is_granted_keys_at_once(tmp_path, address):
    # A server crashes after some minutes and starts again under its id; it
    # holds nothing, and numbers its heartbeats from one. The leader took them
    # for late ones of before and passed over them until their numbers had
    # caught up: callers of its keys were refused for as long as it had lived.
    async def main():
        core = await start_control_cluster(tmp_path)
        before = await until_granted(core, born=1000, seconds=5.0)
        held = [row[:3] for row in before]
        for seq in range(10, 60):
            await send(core, beat(born=1000, seq=seq, holds=held))
            await asyncio.sleep(0.05)
        after = await until_granted(core, born=2000, address=address)
        assert min(row[2] for row in after) > max(row[2] for row in before)
        assert len(owners(core)) == 1

    run_paused(main())


def test_late_words_of_the_life_before_change_nothing(tmp_path):
    # A heartbeat of the life before was held up by a cut and comes after the
    # new life has keys. It must neither be granted any, nor take them away.
    async def main():
        core = await start_control_cluster(tmp_path)
        held = [row[:3] for row in await until_granted(core, born=1000, seconds=5.0)]
        rows = await until_granted(core, born=2000)
        late = beat(born=1000, seq=99, holds=held, State="draining")
        answer = await send(core, late)
        assert answer.gone and not answer.rows
        again = beat(born=2000, seq=50, holds=[row[:3] for row in rows])
        assert {row[:3] for row in (await send(core, again)).rows} == {
            row[:3] for row in rows
        }

    run_paused(main())


@pytest.mark.parametrize(
    "fields", [{"born": "1000"}, {"born": 1.5}, {"born": None}, {"born": -1}]
)
def test_a_start_that_is_no_whole_number_is_refused(fields):
    with pytest.raises(FindingsError):
        beat(**{"seq": 1, "born": 1} | fields)


def test_a_heartbeat_of_a_service_that_is_not_configured_names_no_server(tmp_path):
    # Another writer's heartbeat names the address of a sound server. Taken for
    # one of ours, it took that server's place, which lost all its keys.
    async def main():
        core = await start_control_cluster(tmp_path)
        rows = await until_granted(core, born=1000, seconds=5.0)
        stray = beat(id="x", born=1, seq=1, Service="elsewhere")
        assert (await send(core, stray)).gone
        again = beat(born=1000, seq=50, holds=[row[:3] for row in rows])
        assert (await send(core, again)).rows

    run_paused(main())


@pytest.mark.parametrize("born", [1000, 400], ids=["equal", "earlier"])
def test_a_start_that_seems_no_later_is_served_once_the_one_before_is_over(
    tmp_path, born
):
    """Guards against a clock that went back, and keeps a new life from being served."""

    async def main():
        core = await start_control_cluster(tmp_path)
        held = [row[:3] for row in await until_granted(core, born=1000, seconds=5.0)]
        for seq in range(10, 60):
            await send(core, beat(born=1000, seq=seq, holds=held))
        # The life before is taken out for its silence; then this is a new one.
        after = await until_granted(core, born=born, seconds=8.0)
        assert min(row[2] for row in after) > max(row[2] for row in held)

    run_paused(main())
