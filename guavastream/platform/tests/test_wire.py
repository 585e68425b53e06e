"""Decoding and encoding of valid and invalid bodies of the platform's calls."""

import json

import pytest

from guavastream.exception import FindingsError
from guavastream.fleet import FleetState, HeartbeatAnswer
from guavastream.platform.wire import (
    decode_change,
    decode_heartbeat,
    encode_acknowledgement,
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
HEARTBEAT_BODY = {
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


def decode_put(config, base=b"00000005"):
    return decode_change(b"PUT", base, json.dumps(config).encode())


def test_a_configuration_is_decoded_and_returned_as_it_was_sent():
    command = decode_put(CONFIG)
    assert (command.base, command.version, command.whole) == (5, 12, True)
    fleet_state, answer = FleetState().apply(1, decode_put(CONFIG, b"0"))
    assert answer.code == "ok"
    assert json.loads(encode_config(fleet_state.config)) == CONFIG
    route = RouteIndex(fleet_state.config).find(b"jepu9.example", b"/lepu270/2f")
    assert route.retry_safety is RetrySafety.UNSAFE and route.timeout == 1.2
    assert [part.weight for part in route.weighted_services] == [90, 10]
    assert fleet_state.config.limits.idle_seconds == 15.0


def test_a_route_of_large_answers_is_accepted_and_may_be_retried():
    # Its refusal left hosts without any configuration, so that nothing was served.
    command = decode_put(CONFIG | {"Routes": {"r": ROUTE | {"Kind": "download"}}})
    (route,) = command.routes
    assert route.retry_safety is RetrySafety.DOWNLOAD and route.idempotent


def test_only_equal_changes_have_equal_digests():
    assert decode_put(CONFIG).digest == decode_put(CONFIG).digest
    assert decode_put(CONFIG).digest != decode_put(CONFIG, b"00000006").digest
    assert (
        decode_put(CONFIG).digest != decode_put(CONFIG | {"Version": "0000000d"}).digest
    )


def test_a_patch_changes_and_removes_single_items():
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
def test_every_bad_item_of_a_configuration_is_reported(change, places):
    with pytest.raises(FindingsError) as caught:
        decode_put(CONFIG | change)
    assert [finding.place for finding in caught.value.findings] == places


def test_a_truncated_body_or_a_missing_base_version_is_rejected():
    body = json.dumps(CONFIG).encode()
    for truncated in (b"", body[:-1], body[:50], b"\xff", b"[" * 100000):
        with pytest.raises(FindingsError):
            decode_change(b"PUT", b"0", truncated)
    with pytest.raises(FindingsError):
        decode_change(b"PUT", b"", body)


def decode_heartbeat_with(**changes):
    body = json.dumps(HEARTBEAT_BODY | changes).encode()
    return decode_heartbeat("i-1", body, host="h", door="d")


def test_a_heartbeat_is_decoded():
    heartbeat = decode_heartbeat_with(State="draining")
    assert (
        heartbeat.leaving
        and heartbeat.cold_seconds == 1.5
        and heartbeat.holds == ((0, 4095, 7),)
    )
    assert heartbeat.released == ((4096, 8191, "5c0e"),)


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
def test_a_heartbeat_with_a_bad_value_is_rejected(changes):
    with pytest.raises(FindingsError):
        decode_heartbeat_with(**changes)


def test_an_acknowledgement_without_rows_has_no_holds():
    assert json.loads(encode_acknowledgement(HeartbeatAnswer(index=1))) == {}
    none = HeartbeatAnswer(index=1, rows=(), hold=3.0)
    assert json.loads(encode_acknowledgement(none)) == {"Holds": [], "Hold": "3000ms"}
    rows = HeartbeatAnswer(index=1, rows=((0, 9, 4, ""), (20, 30, 5, "t")), hold=3.0)
    body = json.loads(encode_acknowledgement(rows))
    assert body["Holds"] == [[0, 9, 4, ""], [20, 30, 5, "t"]]


def test_an_acknowledgement_of_90_rows_fits_in_4096_bytes():
    rows = tuple((65000 + n, 65000 + n, 10**6, "f" * 16) for n in range(90))
    assert (
        len(encode_acknowledgement(HeartbeatAnswer(index=1, rows=rows, hold=3.0)))
        <= 4096
    )


@pytest.mark.parametrize(
    ("granting_fields", "granting"),
    [
        ({}, None),
        ({"Grants": "heartbeat"}, Granting.HEARTBEAT),
        ({"Grants": "request"}, Granting.CALL),
        ({"Grants": "pigeon"}, Granting.UNKNOWN),
    ],
)
def test_the_granting_of_a_service_is_decoded(granting_fields, granting):
    services = {"huvo11a": CONFIG["Services"]["huvo11a"] | granting_fields}
    change = decode_put(CONFIG | {"Services": services, "Routes": {}})
    assert change.services[0].granting is granting


def test_the_rate_that_a_cold_server_tolerates_is_decoded():
    def decode_rate(rate):
        service = CONFIG["Services"]["huvo11a"] | {"ColdStart": "3s", "ColdPerS": rate}
        services = CONFIG["Services"] | {"huvo11a": service}
        command = decode_put(CONFIG | {"Services": services})
        return [service.cold_rate for service in command.services]

    assert decode_rate(7.5) == [7.5, 0.0]
    with pytest.raises(FindingsError):
        decode_rate(-1)


def test_the_regions_of_a_route_are_decoded():
    routes = {"r": ROUTE | {"AllowedRegions": ["north"]}}
    (route,) = decode_put(CONFIG | {"Routes": routes}).routes
    assert route.regions == ("north",)
