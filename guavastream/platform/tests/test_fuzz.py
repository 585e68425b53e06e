"""Property tests of input from other processes.

Guards against a heartbeat or configuration that is accepted although it can't be sent
on, stored or used for routing. It ended the task that processed it on every host, and
callers of healthy servers saw their connections break. Input is therefore rejected
where it is decoded, unless every later stage can process it.
"""

import json
import random

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from guavastream.exception import FindingsError
from guavastream.fleet import ChangeRoutes, FleetState, Heartbeat, encode_command
from guavastream.http1.message import Headers
from guavastream.kernel import parse_address
from guavastream.messages import decode_message, encode_message
from guavastream.platform.keys import PlatformKeyDialect
from guavastream.platform.settings import parse_settings
from guavastream.platform.tests.test_wire import CONFIG, HEARTBEAT_BODY
from guavastream.platform.wire import decode_change, decode_departure, decode_heartbeat
from guavastream.replica import decode_command
from guavastream.routes import RouteIndex

# Derandomized, so that the result is the same in every run.
fuzz = settings(
    derandomize=True,
    deadline=None,
    max_examples=400,
    suppress_health_check=list(HealthCheck),
)
# Limit on the encoded size of a heartbeat; a row of keys takes 13 bytes.
MAX_ENCODED_HEARTBEAT_BYTES = 1 << 16

json_scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([-1, 0, 2**31, 2**53, 2**63, 2**64, 2**70, -(2**63) - 1])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.sampled_from(["ready", "draining", "1ms", "-1s", "1e400s", "nans", "infs"])
    | st.sampled_from(["0000000c", "10.0.0.9:8080", "10.0.0.9", ":1", "a:b", "/x/"])
    | st.sampled_from(["x" * 5000, "\ud800", "\x00"])
)
json_values = st.recursive(
    json_scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def nested_paths(item, parent_path=()):
    """Return the paths of all values nested in a JSON value."""
    found = [parent_path] if parent_path else []
    pairs = ()
    if isinstance(item, dict):
        pairs = item.items()
    elif isinstance(item, list):
        pairs = enumerate(item)
    for key, inner in pairs:
        found += nested_paths(inner, (*parent_path, key))
    return found


@st.composite
def corrupted(draw, valid):
    """Return a valid JSON value with a few nested values replaced or removed."""
    item = json.loads(json.dumps(valid))
    for _ in range(draw(st.sampled_from([1, 1, 1, 2, 3]))):
        place = draw(st.sampled_from(nested_paths(item)))
        inner = item
        for key in place[:-1]:
            inner = inner[key]
        if draw(st.booleans()) and isinstance(inner, dict):
            del inner[place[-1]]
        else:
            inner[place[-1]] = draw(json_values)
    return item


def to_bytes(item):
    return json.dumps(item).encode("utf-8", "surrogatepass")


bodies = (
    st.binary(max_size=200)
    | corrupted(HEARTBEAT_BODY).map(to_bytes)
    | corrupted(CONFIG).map(to_bytes)
    | json_values.map(to_bytes)
    | st.sampled_from([b"[" * 100_000, b'{"a":' * 100_000, b"\xff\xfe", b"\x00"])
)


def check_heartbeat(id, body):
    try:
        heartbeat = decode_heartbeat(id, body, host="h", door="10.0.0.1:1")
    except FindingsError as error:
        assert error.findings
        return
    tag, encoded = encode_message(heartbeat)
    assert isinstance(decode_message(tag, encoded), Heartbeat)
    assert len(encoded) <= MAX_ENCODED_HEARTBEAT_BYTES
    ip, port = parse_address(heartbeat.address)
    assert port


@fuzz
@given(id=st.text(max_size=30) | st.just("x" * 300), body=bodies)
def test_a_heartbeat_is_accepted_only_if_it_can_be_sent_on(id, body):
    check_heartbeat(id, body)


@fuzz
@given(item=corrupted(HEARTBEAT_BODY))
def test_a_corrupted_heartbeat_is_accepted_only_if_it_can_be_sent_on(item):
    check_heartbeat("i-1", to_bytes(item))


@fuzz
@given(body=bodies)
def test_a_departure_is_decoded_or_rejected(body):
    try:
        id = decode_departure("i-1", body)
        assert not id or 0 < int(id.removeprefix("i-1~")) < 2**63
    except FindingsError as error:
        assert error.findings


def check_change(method, base, body):
    try:
        command = decode_change(method, base, body)
    except FindingsError as error:
        assert error.findings
        return
    decoded = decode_command(encode_command(command))
    assert isinstance(decoded, ChangeRoutes)
    fleet_state, answer = FleetState().apply(1, decoded)
    if answer.code != "ok":
        return
    index = RouteIndex(fleet_state.config)
    for route in fleet_state.config.routes.values():
        assert index.find(route.host.encode(), route.prefix.encode()) is not None
        weights = [part.weight for part in route.weighted_services]
        assert random.choices(route.weighted_services, weights)


@fuzz
@given(
    method=st.sampled_from([b"PUT", b"PATCH"]),
    base=st.sampled_from([b"0", b"00000000", b"", b"x", b"\xff", b'"0"']),
    body=bodies,
)
def test_a_configuration_is_accepted_only_if_it_can_be_routed(method, base, body):
    check_change(method, base, body)


@fuzz
@given(item=corrupted(CONFIG))
def test_a_corrupted_configuration_is_accepted_only_if_it_can_be_routed(item):
    check_change(b"PUT", b"0", to_bytes(item))


SETTINGS = """NodeName=h
Zone=a
Ip=10.0.0.1
Serves=sidecar
Service=s
InternalPorts=7600,7615
Seeds=10.0.0.2:1,10.0.0.3:1
Listen.Control=10.0.0.1:1
Listen.Outbound=10.0.0.1:2
Listen.Inbound=10.0.0.1:3
Listen.Ready=10.0.0.1:4
Heartbeat=870ms
FaultTolerance.Machines=2
Bounds.MaxHold=10000ms
Bounds.Grace=6s
"""
setting_lines = st.sampled_from(SETTINGS.splitlines())
setting_values = st.text(max_size=12) | st.sampled_from(
    ["", "-1", "1e9s", ",", "a,b", "0,0"]
)


@st.composite
def corrupted_settings(draw):
    text = SETTINGS
    for _ in range(draw(st.integers(1, 4))):
        line = draw(setting_lines)
        name = line.partition("=")[0]
        text = text.replace(line, f"{name}={draw(setting_values)}")
    return text


@fuzz
@given(text=corrupted_settings() | st.text(max_size=200))
def test_settings_are_parsed_or_rejected(text):
    try:
        parse_settings(text)
    except FindingsError as error:
        assert error.findings


header_names = st.sampled_from([b"Handover", b"Not-Executed", b"Instance-Id", b"x"])
header_lists = st.lists(st.tuples(header_names, st.binary(max_size=300)), max_size=4)


@fuzz
@given(status=st.integers(100, 999), fields=header_lists)
def test_any_answer_to_a_key_call_is_decoded_or_has_no_result(status, fields):
    result = PlatformKeyDialect().decode(status, Headers(fields))
    assert result is None or len(result.handover) <= 256


@pytest.mark.parametrize(
    "changes",
    [
        {"Address": ""},
        {"Address": "10.0.0.9"},
        {"Address": "somewhere:80"},
        {"Address": "10.0.0.9:0"},
        {"Seq": 2**70},
        {"born": 2**64},
        {"Holds": [[0, 1, 2**70]]},
        {"Holds": [[0, 1, -1]]},
        {"Released": [[0, 1, "x" * 5000]]},
        {"Zone": "x" * 100_000},
        {"Service": "x" * 100_000},
        {"Holds": [[0, 1, 1]] * 50_000},
        {"ColdRemaining": "1e8s"},
    ],
)
def test_a_heartbeat_that_other_hosts_could_not_process_is_rejected(changes):
    with pytest.raises(FindingsError):
        body = to_bytes(HEARTBEAT_BODY | changes)
        decode_heartbeat("i-1", body, host="h", door="10.0.0.1:1")


def test_invalid_heartbeats_do_not_affect_valid_ones():
    # Sends a valid heartbeat after each invalid one; all valid ones must be accepted.
    rng = random.Random(5)
    accepted = rejected = 0
    for number in range(2000):
        item = dict(HEARTBEAT_BODY)
        item[rng.choice(list(item))] = rng.choice([None, [], {}, "?", -(2**70)])
        for body in (to_bytes(item), to_bytes(HEARTBEAT_BODY)):
            try:
                decode_heartbeat(f"i-{number}", body, host="h", door="10.0.0.1:1")
                accepted += 1
            except FindingsError:
                rejected += 1
    assert accepted >= 2000 and rejected >= 1000
