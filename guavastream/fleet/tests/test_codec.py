"""Fleet states and commands written by earlier versions can be decoded."""

import msgspec

from guavastream.fleet import (
    FleetState,
    FleetStateCodec,
    LeaveInstance,
    LoadReport,
    decode_command,
    encode_command,
)
from guavastream.fleet.tests.test_book import join
from guavastream.messages import decode_message, encode_message


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


class EarlierLoadReport(msgspec.Struct, kw_only=True, rename={"other_count": "rest"}):
    """`LoadReport` as it was before servers' work was reported."""

    id: str
    service: str
    keys: tuple[tuple[int, int], ...]
    other_count: int
    latency: float
    rate_limit: float | None = None


def test_load_reports_with_and_without_work_are_understood_by_both_versions():
    # Guards against a leader that rejects all reports during a rolling upgrade, in
    # either order.
    fields = {
        "id": "a",
        "service": "s",
        "keys": ((7, 3),),
        "other_count": 2,
        "latency": 0.1,
        "rate_limit": 4.5,
    }
    report = LoadReport(**fields, work=(("order", 3, 0.6, 0.2),))
    tag, body = encode_message(report)
    assert decode_message(tag, body) == report
    earlier = msgspec.msgpack.decode(body, type=EarlierLoadReport)
    assert earlier == EarlierLoadReport(**fields)
    body = msgspec.msgpack.encode(earlier)
    assert decode_message(tag, body) == LoadReport(**fields)
