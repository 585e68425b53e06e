"""Bodies of the platform's calls, sound and not."""

import json

import pytest

from guavastream.exception import FindingsError
from guavastream.fleet import FleetState, HeartbeatAnswer
from guavastream.platform.wire import (
    decode_beat,
    decode_change,
    encode_beaten,
    encode_config,
)
from guavastream.routes import Granting, RetrySafety, RouteIndex

ROUTE = {
    "Host": "Jepu9.example",
    "PathPrefix": "/lepu270/",
    "Kind": "unsafe",
    "Timeout": "1200ms",
    "TargetLatency": "200ms",
    "Priority": 2,
    "WeightedServices": [
        {"Service": "huvo11a", "Weight": 90},
        {"Service": "kafi81c", "Weight": 10},
    ],
    "MaxAttempts": 2,
    "Unheard": {"of": 1},
}
CONFIG = {
    "Version": "0000000c",
    "Routes": {"r": ROUTE},
    "Services": {
        "huvo11a": {"HealthPath": "/h", "MaxConnections": 120, "Sharding": True},
        "kafi81c": {"HealthPath": "/h", "MaxConnections": 120, "Warmup": "5s"},
    },
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    },
}
BEAT = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 13,
    "State": "ready",
    "ColdRemaining": "1.5s",
    "Seq": 4,
    "Holds": [[0, 4095, 7]],
    "Released": [[4096, 8191, "5c0e"]],
}


def put(config, base=b"00000005"):
    return decode_change(b"PUT", base, json.dumps(config).encode())


def test_a_configuration_is_read_and_given_back_as_it_was_sent():
    command = put(CONFIG)
    assert (command.base, command.version, command.whole) == (5, 12, True)
    book, answer = FleetState().apply(1, put(CONFIG, b"0"))
    assert answer.code == "ok"
    assert json.loads(encode_config(book.config)) == CONFIG
    route = RouteIndex(book.config).find(b"jepu9.example", b"/lepu270/2f")
    assert route.retry_safety is RetrySafety.UNSAFE and route.timeout == 1.2
    assert [part.weight for part in route.weighted_services] == [90, 10]
    assert book.config.limits.idle_seconds == 15.0


def test_the_same_content_is_the_same_change_and_any_other_is_not():
    assert put(CONFIG).digest == put(CONFIG).digest
    assert put(CONFIG).digest != put(CONFIG, b"00000006").digest
    assert put(CONFIG).digest != put(CONFIG | {"Version": "0000000d"}).digest


def test_named_items_change():
    body = {
        "Version": "0000000d",
        "Upsert": {"Routes": {"r": ROUTE | {"Timeout": "1s"}}},
        "Remove": {"Services": ["old"]},
    }
    command = decode_change(b"PATCH", b"0000000c", json.dumps(body).encode())
    assert not command.whole and command.drop_services == ("old",)
    assert command.routes[0].timeout == 1.0 and command.limits is None


@pytest.mark.parametrize(
    "change, places",
    [
        ({"Version": "xyz"}, ["Version"]),
        ({"Version": 7}, ["configuration"]),
        ({"Routes": [ROUTE]}, ["configuration"]),
        ({"Routes": {"r": ROUTE | {"Kind": "odd"}}}, ["Routes.r"]),
        (
            {
                "Routes": {
                    "p": ROUTE | {"Timeout": "soon"},
                    "q": ROUTE | {"MaxAttempts": "2"},
                },
                "Limits": {"MaxBodyBytes": -1},
            },
            ["Routes.p", "Routes.q", "Limits"],
        ),
    ],
)
def test_what_cannot_be_read_is_named(change, places):
    with pytest.raises(FindingsError) as caught:
        put(CONFIG | change)
    assert [finding.place for finding in caught.value.findings] == places


def test_a_body_that_is_cut_short_or_names_no_base():
    body = json.dumps(CONFIG).encode()
    for cut in (b"", body[:-1], body[:50], b"\xff", b"[" * 100000):
        with pytest.raises(FindingsError):
            decode_change(b"PUT", b"0", cut)
    with pytest.raises(FindingsError):
        decode_change(b"PUT", b"", body)


def beat(**changes):
    body = json.dumps(BEAT | changes).encode()
    return decode_beat("i-1", body, host="h", door="d")


def test_a_heartbeat_is_read():
    made = beat(State="draining")
    assert made.leaving and made.cold_seconds == 1.5 and made.holds == ((0, 4095, 7),)
    assert made.released == ((4096, 8191, "5c0e"),)


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "odd"},
        {"Slots": 0},
        {"Slots": "13"},
        {"Seq": -1},
        {"Holds": [[5, 4, 1]]},
        {"Holds": [[0, 65536, 1]]},
        {"Released": [[0, 1, 2]]},
        {"ColdRemaining": "-1s"},
    ],
)
def test_a_heartbeat_out_of_range_is_refused(changes):
    with pytest.raises(FindingsError):
        beat(**changes)


def test_an_acknowledgement_without_rows_renews_nothing():
    assert json.loads(encode_beaten(HeartbeatAnswer(index=1))) == {}
    none = HeartbeatAnswer(index=1, rows=(), hold=3.0)
    assert json.loads(encode_beaten(none)) == {"Holds": [], "Hold": "3000ms"}
    rows = HeartbeatAnswer(index=1, rows=((0, 9, 4, ""), (20, 30, 5, "t")), hold=3.0)
    said = json.loads(encode_beaten(rows))
    assert said["Holds"] == [[0, 9, 4, ""], [20, 30, 5, "t"]]


def test_the_largest_acknowledgement_stays_within_its_bound():
    rows = tuple((65000 + n, 65000 + n, 10**6, "f" * 16) for n in range(90))
    assert len(encode_beaten(HeartbeatAnswer(index=1, rows=rows, hold=3.0))) <= 4096


@pytest.mark.parametrize(
    ("said", "granting"),
    [
        ({}, None),
        ({"Grants": "heartbeat"}, Granting.HEARTBEAT),
        ({"Grants": "request"}, Granting.CALL),
        ({"Grants": "pigeon"}, Granting.UNKNOWN),
    ],
)
def test_how_a_service_is_granted_keys(said, granting):
    services = {"huvo11a": CONFIG["Services"]["huvo11a"] | said}
    change = put(CONFIG | {"Services": services, "Routes": {}})
    assert change.services[0].granting is granting
