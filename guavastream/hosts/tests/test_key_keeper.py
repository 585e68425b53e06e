"""Keys that are granted by calls: one holder, whatever becomes of a call."""

import asyncio

import pytest

from guavastream.hosts.tests.orders import (
    HOLDS,
    KEYS_SEEN,
    Fate,
    Trouble,
    play_orders,
)

TROUBLED = Fate(late=0.2, lost=0.05, unanswered=0.05)


async def until_rid(fleet, place):
    """Wait until the server at a place holds nothing, and others hold all."""

    def is_rid():
        holds = any(place.server.holds(key) for key in KEYS_SEEN)
        return not holds and fleet.is_served()

    await fleet.core.until(is_rid)


def test_all_servers_hold_some_keys(tmp_path):
    async def scenario(fleet):
        for place in fleet.places:
            assert any(place.server.holds(key) for key in KEYS_SEEN)

    play_orders(tmp_path, scenario)


def test_keys_of_a_leaving_server_are_hardly_ever_without_an_owner(tmp_path):
    # Callers wait while a key has no owner. A release and a grant follow each
    # other, with a commit between them.
    async def scenario(fleet):
        place = fleet.places[0]
        place.leaving = True
        await until_rid(fleet, place)

    assert play_orders(tmp_path, scenario).longest_gap < 0.1


def test_keys_move_as_soon_as_the_work_on_them_has_ended(tmp_path):
    # The release is answered only when what runs on its keys is done.
    async def scenario(fleet):
        place = fleet.places[0]
        place.server.work = 0.4
        place.leaving = True
        await until_rid(fleet, place)

    assert 0.4 < play_orders(tmp_path, scenario).longest_gap < 0.5


def test_keys_of_a_crashed_server_are_granted_within_a_second(tmp_path):
    # The process beside it finds nobody at its address and tells the leader.
    async def scenario(fleet):
        fleet.places[0].crash_server()
        await fleet.core.until(fleet.is_served)
        await asyncio.sleep(0.05)

    # The next renewal finds out, which is due after at most 1.2 s.
    assert play_orders(tmp_path, scenario).longest_gap < 1.3


def test_keys_of_a_dark_server_are_granted_when_they_have_run_out(tmp_path):
    # The server answers nothing, but its host is well and would have its keys
    # renewed for ever: callers of them would never be served again.
    async def scenario(fleet):
        server = fleet.places[0].server
        fleet.path.dark.add(server.id)
        server.held = {}
        await fleet.core.until(fleet.is_served)
        await asyncio.sleep(0.05)

    assert play_orders(tmp_path, scenario).longest_gap < HOLDS.grantor_duration + 2.0


def test_a_process_that_restarts_beside_a_living_server_keeps_its_keys(tmp_path):
    # The server serves on. The new process knows nothing and is told all by
    # the leader: the same grants are made again, before the old ones end.
    async def scenario(fleet):
        place = fleet.places[0]
        held = [key for key in KEYS_SEEN if place.server.holds(key)]
        await place.kill_process()
        await asyncio.sleep(0.5)
        place.start_process()
        await asyncio.sleep(4.0)
        assert all(place.server.holds(key) for key in held)

    assert play_orders(tmp_path, scenario).longest_gap < 0.05


def test_keys_are_held_through_the_loss_of_a_leader(tmp_path):
    # Renewals go on for as long as the last permission lasts.
    async def scenario(fleet):
        for _ in range(3):
            lost = fleet.core.leader()
            fleet.core.kill(lost)
            await fleet.core.until(fleet.core.leader)
            await asyncio.sleep(1.0)
            fleet.core.start(lost, first=False)
            await asyncio.sleep(2.0)

    assert play_orders(tmp_path, scenario).longest_gap < 0.05


def test_after_all_lost_power_keys_are_spread_at_once(tmp_path):
    # Hosts and servers come back one after the other, with new lives. Keys
    # went to the first that came, and to servers of before that had ended,
    # and stayed there for the 2 s in which new processes doubt everything.
    async def scenario(fleet):
        for address in list(fleet.core.rafts):
            fleet.core.kill(address)
        for place in fleet.places:
            await place.kill_process()
            place.crash_server()
        await asyncio.sleep(0.8)
        for address in fleet.core.addresses:
            fleet.core.start(address, first=False)
        for place in fleet.places:
            place.start_process()
            place.start_server()
            await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        await fleet.core.until(fleet.is_served)
        assert asyncio.get_running_loop().time() - began < 2.0
        await asyncio.sleep(0.8)
        counts = [
            sum(place.server.holds(key) for key in KEYS_SEEN) for place in fleet.places
        ]
        assert min(counts) > len(KEYS_SEEN) / len(counts) / 2

    play_orders(tmp_path, scenario)


def test_keys_of_a_lost_host_are_granted_when_their_time_is_over(tmp_path):
    # Process and server fall silent together; the server may work on.
    async def scenario(fleet):
        place = fleet.places[0]
        place.beating.cancel()
        await place.kill_process()
        await until_rid(fleet, place)

    assert play_orders(tmp_path, scenario).longest_gap < HOLDS.grantor_duration


def test_a_late_grant_does_not_revive_keys_that_went_on(tmp_path):
    # A renewal gets no answer and waits at the server. The keys are released,
    # which is answered, and go to another server; then the renewal is carried
    # out, and two servers would work on the same keys.
    async def scenario(fleet):
        place = fleet.places[0]
        fleet.fate.late = 1.0
        await asyncio.sleep(1.5)
        fleet.fate.late = 0.0
        place.leaving = True
        await until_rid(fleet, place)
        await asyncio.sleep(3.0)

    play_orders(tmp_path, scenario, late=(0.1, 2.0))


def test_a_new_process_takes_all_keys_to_be_in_doubt(tmp_path):
    # As before, but the process that sent the late renewals was killed. Its
    # successor releases the keys at once and knows nothing of them.
    async def scenario(fleet):
        place = fleet.places[0]
        fleet.fate.late = 1.0
        await asyncio.sleep(0.9)
        await place.kill_process()
        fleet.fate.late = 0.0
        place.leaving = True
        await asyncio.sleep(0.4)
        place.start_process()
        await until_rid(fleet, place)
        await asyncio.sleep(3.0)

    play_orders(tmp_path, scenario, late=(0.5, 2.0))


def play_troubles(folder, seed, *, fate=TROUBLED, count=10):
    async def scenario(fleet):
        await Trouble(fleet).strike(count)
        fleet.core.network.heal()
        await fleet.core.until(fleet.is_served, seconds=20.0)

    return play_orders(
        folder, scenario, seed=seed, fate=fate, lost=0.01, doubled=0.02, slowest=0.02
    )


# Without one of the safeguards some of these seeds fail: 1, 5 and 6 without
# doubts; 8, 9 and 14 where a release does not wait for the grant that is on
# its way; 16 and 40 where a fence is used again after a release; 4 and 10
# without an end of the permission; all where a release counts at once.
@pytest.mark.parametrize("seed", [1, 4, 5, 6, 8, 9, 10, 14, 16, 40])
def test_one_holder_through_troubles_with_late_and_lost_orders(tmp_path, seed):
    # Callers of one key would be served by two servers. Orders get no answer
    # and are carried out later, processes start anew beside living servers,
    # leaders are lost, hosts cut off, servers crash and leave, keys move.
    play_troubles(tmp_path, seed)
