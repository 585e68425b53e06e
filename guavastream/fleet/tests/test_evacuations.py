"""The fleet state keeps evacuations of availability zones."""

import msgspec

from guavastream.fleet import (
    FleetState,
    FleetStateCodec,
    SetEvacuation,
    SetEvacuationResult,
)
from guavastream.fleet.tests.test_book import join
from guavastream.fleet.tests.test_codec import drop_fields
from guavastream.kernel import replace

DONE, NOT_DONE = SetEvacuationResult(done=True), SetEvacuationResult(done=False)


def apply_all(*commands):
    """Return the state after the commands, and the result of the last one."""
    state, result = FleetState(), None
    for index, command in enumerate(commands, 1):
        state, result = state.apply(index, command)
    return state, result


def server(id, zone):
    return join(id, f"{id}:3", zone=zone)


def test_servers_of_an_evacuated_zone_get_no_work_until_it_ends():
    begin = SetEvacuation(zone="x", active=True)
    state, result = apply_all(server("a", "x"), server("b", "y"), begin)
    assert result == DONE
    assert [i.accepts_work for i in state.instances.values()] == [False, True]
    end = SetEvacuation(zone="x", active=False, base=3)
    state, result = state.apply(4, end)
    assert result == DONE
    assert all(i.accepts_work for i in state.instances.values())


def test_a_server_that_joins_an_evacuated_zone_gets_no_work():
    begin = SetEvacuation(zone="x", active=True)
    state, _ = apply_all(begin, server("a", "x"), server("b", "y"))
    assert not state.instances["a"].accepts_work
    assert state.instances["b"].accepts_work


def test_a_resent_order_is_acknowledged_again_and_changes_nothing():
    begin = SetEvacuation(zone="x", active=True)
    state, _ = apply_all(server("a", "x"), begin)
    again, result = state.apply(3, begin)
    assert result == DONE and again == replace(state, index=3)


def test_an_order_decided_before_a_later_one_was_committed_changes_nothing():
    # Begin and end cross: a copy of the first order is decided by the leader before
    # the end is committed, but comes after it in the log.
    begin = SetEvacuation(zone="x", active=True)
    end = SetEvacuation(zone="x", active=False, base=1)
    copy = SetEvacuation(zone="x", active=True, base=1)
    state, result = apply_all(begin, end, copy)
    assert result == NOT_DONE and not state.is_evacuated("x")


def test_a_fleet_state_without_evacuations_is_decoded():
    # Data folders of earlier versions do not contain them.
    state, _ = apply_all(server("a", "x"))
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(state), strict=False)
    raw = drop_fields(raw, "evacuations")
    raw["instances"] = {
        id: drop_fields(item, "evacuated") for id, item in raw["instances"].items()
    }
    read = FleetStateCodec().decode(msgspec.msgpack.encode(raw))
    assert read.evacuations == {} and read.instances["a"].accepts_work


def test_evacuations_are_kept_in_snapshots():
    state, _ = apply_all(server("a", "x"), SetEvacuation(zone="x", active=True))
    assert FleetStateCodec().decode(FleetStateCodec().encode(state)) == state
