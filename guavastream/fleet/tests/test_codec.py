"""Fleet states and commands written by earlier versions can be decoded."""

import msgspec

from guavastream.fleet import (
    FleetState,
    FleetStateCodec,
    LeaveInstance,
    decode_command,
    encode_command,
)
from guavastream.fleet.tests.test_book import join
from guavastream.messages import encode_message


def drop_fields(raw, *names):
    return {name: value for name, value in raw.items() if name not in names}


def test_an_uncompressed_command_and_fleet_state_are_decoded():
    command = LeaveInstance(id="a" * 5000)
    plain = msgspec.msgpack.encode(encode_message(command))
    assert decode_command(plain) == decode_command(encode_command(command)) == command
    assert len(encode_command(command)) < len(plain)
    state, _ = FleetState().apply(1, join("a"))
    assert FleetStateCodec().decode(msgspec.msgpack.encode(state)) == state


def test_an_instance_without_name_and_start_time_is_decoded():
    # Earlier versions stored only the ID of an instance. The data folder that they
    # wrote must still provide the owners of all keys after an upgrade.
    state, _ = FleetState().apply(1, join("a"))
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(state), strict=False)
    raw["instances"] = {
        id: drop_fields(item, "name", "born") for id, item in raw["instances"].items()
    }
    read = FleetStateCodec().decode(msgspec.msgpack.encode(raw))
    assert read.instances["a"].server_name == "a" and read.instances["a"].born == 0
