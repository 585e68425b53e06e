"""Tests the path of a request over real sockets, with stand-in servers and faults."""

import hashlib
import http.client
import json
import socket
import threading
import time
import uuid

import pytest

from guavastream.door.tests.rig import make_table
from guavastream.emulator import Behaviour
from guavastream.state import ShardTableHolder


def send_request(host, method, path, body=None, headers=None, *, wait_until_idle=True):
    """Send one request; return the status, headers and JSON body of its answer."""
    connection = http.client.HTTPConnection(host.http.address, timeout=10)
    connection.request(method, path, body=body, headers=headers or {})
    answer = connection.getresponse()
    data = answer.read()
    connection.close()
    # The answer arrives shortly before the connection to the server is returned to
    # its pool.
    while wait_until_idle and host.admission.running:
        pass
    return answer.status, answer.headers, json.loads(data) if data else None


def send_raw(host, data):
    """Send bytes on one connection and return all bytes received on it."""
    address = host.http.address.split(":")
    with socket.create_connection((address[0], int(address[1])), timeout=5) as sock:
        sock.sendall(data)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("door", [0, 1])
def test_request_reaches_the_owner_through_any_door(start_hosts, door):
    hosts = start_hosts(count=2)
    body = b"x" * 300_000
    status, headers, content = send_request(
        hosts[door], "PUT", "/pages/rosters/k", body
    )
    assert status == 200
    assert content["sha256"] == hashlib.sha256(body).hexdigest()
    assert content["request"] == headers["Guavastream-Request-Id"]
    assert hosts[0].executed_requests() and not hosts[1].executed_requests()


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "code"),
    [
        ("GET", "/nothing/here", {}, 404, "unknown_service"),
        ("GET", "/pages", {}, 400, "missing_key"),
        ("GET", "/pages/x/" + "k" * 600, {}, 400, "missing_key"),
        ("GET", "/pages/x/k", {"Guavastream-Deadline-Ms": "z"}, 400, "bad_deadline"),
        ("GET", "/pages/../swaps/x", {}, 400, "bad_request"),
        ("GET", "/pages/x/k", {"Guavastream-Hops": "many"}, 400, "bad_request"),
        ("POST", "/pages/pairings/k", {"Idempotency-Key": "1"}, 400, None),
    ],
)
def test_bad_input_is_refused_with_its_own_code(
    start_hosts, method, path, headers, status, code
):
    host = start_hosts()[0]
    got, fields, content = send_request(host, method, path, headers=headers)
    assert got == status
    assert content["ran"] == "not run"
    assert content["code"] == (code or "bad_idempotency_key")
    assert send_request(host, "GET", "/pages/rosters/k")[0] == 200


INCOMPLETE_UPLOAD = (
    b"PUT /pages/rosters/k HTTP/1.1\r\nHost: x\r\n"
    b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000
)
AMBIGUOUS_REQUESTS = {
    "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "length and chunks": (
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "folded line": b"X-A: 1\r\n Content-Length: 4\r\n\r\nabcd",
    "bare LF": b"Content-Length: 3\n\r\nabc",
    "space before colon": b"Content-Length : 3\r\n\r\nabc",
    "signed length": b"Content-Length: +3\r\n\r\nabc",
    "other coding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "header too long": b"X-A: " + b"a" * 40_000 + b"\r\n\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS_REQUESTS)
def test_request_smuggling_is_refused(start_hosts, name):
    """The end of the request is ambiguous, so two servers may disagree on it.

    One would read bytes as part of the body that the other reads as the next
    request. No part of such a request may reach the backend server.
    """
    host = start_hosts()[0]
    head = b"POST /pages/pairings/k HTTP/1.1\r\nHost: x\r\n"
    answer = send_raw(host, head + AMBIGUOUS_REQUESTS[name])
    assert answer.split()[1] in (b"400", b"413")
    assert not host.executed_requests()


def test_path_with_escapes_or_double_slashes_is_still_not_idempotent(start_hosts):
    """The path of a swap is written with escapes or double slashes.

    The server treats it as the same request, so it must be classified as not
    idempotent too and must not be sent again.
    """
    host = start_hosts("swaps", proxied=True)[0]
    for path in ("/swaps/%70ost", "/swaps//post"):
        host.proxy.cut_answers_after(0)
        status, _, content = send_request(host, "POST", path)
        assert (status, content["ran"]) == (502, "outcome unknown")
    assert len(host.executed_requests()) == 2


def test_incomplete_answer_does_not_look_complete(start_hosts):
    """The connection to the server breaks in the middle of a long answer."""
    host = start_hosts(proxied=True)[0]
    host.proxy.cut_answers_after(100_000)
    connection = http.client.HTTPConnection(host.http.address, timeout=5)
    connection.request("GET", "/pages/rosters/k", headers={"X-Reply-Bytes": "500000"})
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        connection.getresponse().read()


def test_idempotent_request_survives_a_silent_connection(start_hosts):
    """A pooled connection to the server stops delivering data.

    The request is lost on it without an error. As it is idempotent, it must be
    sent again on a new connection and answered before its deadline.
    """
    host = start_hosts(proxied=True)[0]
    assert send_request(host, "GET", "/pages/rosters/k")[0] == 200
    host.proxy.silence()
    status, _, content = send_request(host, "GET", "/pages/rosters/k")
    assert (status, content["service"]) == (200, "pages")
    assert host.proxy.connections >= 2


def test_swap_on_a_silent_connection_fails_in_time_and_is_not_repeated(start_hosts):
    """It is not known whether the swap ran, so it is reported as unknown."""
    host = start_hosts("swaps", proxied=True)[0]
    host.proxy.silence_at_once()
    status, _, content = send_request(host, "POST", "/swaps/b")
    assert (status, content["ran"]) == (504, "outcome unknown")
    assert not host.executed_requests()


def test_lost_answer_is_not_reported_as_not_run_after_a_later_attempt(start_hosts):
    """The request runs, its answer is lost, and the retry cannot connect.

    The last attempt was not sent, but the first one ran, so "not run" would
    be wrong.
    """
    host = start_hosts(proxied=True)[0]
    host.proxy.accept_only(1)
    host.proxy.cut_answers_after(0)
    status, _, content = send_request(host, "GET", "/pages/rosters/k")
    assert (status, content["ran"]) == (502, "outcome unknown")
    assert len(host.executed_requests()) == 1


def test_failure_to_connect_is_reported_as_not_run(start_hosts):
    """The server has stopped, so the request cannot be sent and does not run."""
    host = start_hosts("swaps")[0]
    host.server.stop_serving()
    status, _, content = send_request(host, "POST", "/swaps/a")
    assert (status, content["ran"]) == (503, "not run")
    assert content["code"] == "unreachable"


def test_request_without_a_lease_is_refused_as_not_run(start_hosts):
    host = start_hosts()[0]
    host.membership.lease.drop()
    status, headers, content = send_request(
        host, "GET", "/pages/rosters/k", headers={"Guavastream-Deadline-Ms": "100"}
    )
    assert (status, content["ran"]) == (503, "not run")
    assert headers["Retry-After"]


def make_uuid7():
    """Return a UUIDv7 with the current time."""
    timestamp = int(time.time() * 1000) << 80
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    random_bits = random_bits & ~(0xF << 76) | (7 << 76)
    random_bits = random_bits & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=timestamp | random_bits))


@pytest.mark.parametrize("door", [0, 1])
def test_resent_swap_gets_its_first_answer(start_hosts, door):
    """A caller loses the answer and resends the swap, also through another door."""
    hosts = start_hosts("swaps", count=2)
    headers = {"Idempotency-Key": make_uuid7()}
    first = send_request(hosts[0], "POST", "/swaps/a", b"one", headers)
    again = send_request(hosts[door], "POST", "/swaps/a", b"one", headers)
    assert first[0] == again[0] == 200
    assert first[2] == again[2]
    assert len(hosts[0].executed_requests() + hosts[1].executed_requests()) == 1


def test_resent_swap_is_refused_while_the_first_one_runs(start_hosts):
    host = start_hosts("swaps")[0]
    headers = {"Idempotency-Key": make_uuid7()}
    host.server.behave(Behaviour(silent=True))
    first = threading.Thread(
        target=send_request, args=(host, "POST", "/swaps/a", b"", headers)
    )
    first.start()
    while not host.server.running:
        pass
    status, _, content = send_request(
        host, "POST", "/swaps/a", b"", headers, wait_until_idle=False
    )
    assert (status, content["code"]) == (409, "still_running")
    host.server.behave(Behaviour())
    first.join()
    assert send_request(host, "POST", "/swaps/a", b"", headers)[0] == 200
    assert len(host.executed_requests()) == 1


def test_resend_that_finds_no_owner_is_not_reported_as_not_run(start_hosts):
    """A swap runs and its answer is lost; the resend finds no owner.

    After "not run" the caller would post the swap again under another id, and
    it would run twice. A first request that the owner itself refuses is still
    reported as not run.
    """
    host = start_hosts("swaps")[0]
    headers = {"Idempotency-Key": make_uuid7(), "Guavastream-Deadline-Ms": "100"}
    assert send_request(host, "POST", "/swaps/a", b"", headers)[0] == 200
    host.membership.lease.drop()
    status, _, content = send_request(host, "POST", "/swaps/a", b"", headers)
    assert (status, content["code"]) == (503, "no_lease")
    assert content["ran"] == "outcome unknown"
    host.membership.lease.extend(time.monotonic() + 60)
    host.server.stop_serving()
    fresh = {"Idempotency-Key": make_uuid7()}
    assert send_request(host, "POST", "/swaps/b", b"", fresh)[2]["ran"] == "not run"


def test_resent_swap_after_loss_of_its_owner_is_unknown(start_hosts):
    """The new owner has no recorded outcomes, and the id is older than its grant."""
    hosts = start_hosts("swaps", count=2)
    headers = {"Idempotency-Key": make_uuid7()}
    assert send_request(hosts[0], "POST", "/swaps/a", b"", headers)[0] == 200
    for shard in range(4):
        hosts[1].outcomes.note_granted("swaps", shard, handover_digests=None)
    tables = hosts[0].tables
    tables.replace(make_table(hosts, index=2, owner=2))
    status, _, content = send_request(hosts[0], "POST", "/swaps/a", b"", headers)
    assert (status, content["code"]) == (409, "earlier_unknown")
    assert content["ran"] == "outcome unknown"
    assert not hosts[1].executed_requests()


def test_after_a_planned_move_a_resent_swap_is_unknown_and_a_new_one_runs(start_hosts):
    """The previous owner hands over the digests of its latest operations."""
    hosts = start_hosts("swaps", count=2)
    previous = {"Idempotency-Key": make_uuid7()}
    assert send_request(hosts[0], "POST", "/swaps/a", b"", previous)[0] == 200
    handover_digests = hosts[0].outcomes.recent_digests("swaps", {0, 1, 2, 3})
    new = {"Idempotency-Key": make_uuid7()}
    for shard in range(4):
        hosts[1].outcomes.note_granted(
            "swaps", shard, handover_digests=handover_digests
        )
    hosts[0].tables.replace(make_table(hosts, index=2, owner=2))
    assert (
        send_request(hosts[0], "POST", "/swaps/a", b"", previous)[2]["code"]
        == "earlier_unknown"
    )
    assert send_request(hosts[0], "POST", "/swaps/a", b"", new)[0] == 200


def test_door_with_a_stale_table_retries_at_the_new_owner(start_hosts):
    """A door has an old table, and the previous owner refuses as not run.

    The door waits for a newer table and sends the request to the new owner.
    """
    hosts = start_hosts(count=2)
    tables = hosts[0].tables
    stale = ShardTableHolder()
    stale.replace(tables.table)
    hosts[0].forwarder._tables = stale
    tables.replace(make_table(hosts, index=2, owner=2))
    thread = threading.Timer(0, lambda: stale.replace(tables.table))
    hosts[0].admission._tables = tables
    thread.start()
    assert send_request(hosts[0], "GET", "/pages/rosters/k")[0] == 200
    thread.join()
    assert hosts[1].executed_requests() and not hosts[0].executed_requests()


def test_head_and_expect_continue_follow_http(start_hosts):
    host = start_hosts()[0]
    assert send_request(host, "HEAD", "/pages/rosters/k")[0] == 200
    head = (
        b"PUT /pages/rosters/k HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\nConnection: close\r\n\r\nabc"
    )
    answer = send_raw(host, head)
    assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")


def test_chunked_body_reaches_the_server_complete(start_hosts):
    host = start_hosts()[0]
    parts = [b"a" * 70_000, b"b" * 5]
    connection = http.client.HTTPConnection(host.http.address, timeout=5)
    connection.request("PUT", "/pages/rosters/k", body=iter(parts), encode_chunked=True)
    content = json.loads(connection.getresponse().read())
    assert content["sha256"] == hashlib.sha256(b"".join(parts)).hexdigest()


def test_caller_that_disconnects_during_its_upload_ends_the_attempt(start_hosts):
    """An incomplete upload must not reach the server as a complete request."""
    host = start_hosts()[0]
    address = host.http.address.split(":")
    with socket.create_connection((address[0], int(address[1]))) as sock:
        sock.sendall(INCOMPLETE_UPLOAD)
        while not host.admission.running:
            pass
    while host.admission.running:
        pass
    assert not host.executed_requests()


def test_stalled_upload_ends(start_hosts):
    """A caller stops in the middle of its upload and keeps its connection open.

    The upload must not hold a slot forever, nor reach the server as a complete
    request.
    """
    host = start_hosts()[0]
    address = host.http.address.split(":")
    with socket.create_connection((address[0], int(address[1]))) as sock:
        sock.sendall(INCOMPLETE_UPLOAD)
        while sock.recv(65536):
            pass
    assert not host.admission.running
    assert not host.executed_requests()


def test_late_answers_of_a_frozen_server_reach_no_other_caller(start_hosts):
    """A server freezes while it runs swaps, resumes, and answers them all.

    Their callers have already been told that the outcome is unknown. The next
    caller must get the answer to its own request.
    """
    host = start_hosts("swaps")[0]
    host.server.behave(Behaviour(silent=True))
    for number in range(2):
        status, _, content = send_request(host, "POST", f"/swaps/{number}")
        assert (status, content["ran"]) == (504, "outcome unknown")
    host.server.behave(Behaviour())
    for _ in range(3):
        status, headers, content = send_request(host, "POST", "/swaps/own")
        assert status == 200
        assert content["request"] == headers["Guavastream-Request-Id"]


@pytest.mark.parametrize("door", [0, 1])
def test_caller_that_gives_up_frees_its_slot(start_hosts, door):
    """A caller closes its connection while the server handles its request.

    Its slot must be freed at once and not only at the deadline, also if the
    request came through a second door. Callers that give up resend, and each
    resend would need another slot.
    """
    hosts = start_hosts(count=2)
    hosts[0].server.behave(Behaviour(silent=True))
    address = hosts[door].http.address.split(":")
    with socket.create_connection((address[0], int(address[1]))) as sock:
        sock.sendall(b"GET /pages/rosters/k HTTP/1.1\r\nHost: x\r\n\r\n")
        while not hosts[0].admission.running:
            pass
    while hosts[0].admission.running:
        pass
    while not (answered := [f for kind, f in hosts[door].events if kind == "answered"]):
        pass
    assert answered[0]["detail"]["code"] == "caller_gone"


def test_answer_to_another_request_is_discarded(start_hosts):
    """The answer has the id of another request: it was mixed up or came late."""
    host = start_hosts("swaps")[0]
    host.server.behave(Behaviour(echo="other"))
    status, _, content = send_request(host, "POST", "/swaps/a")
    assert (status, content["code"]) == (502, "wrong_answer")
    assert content["ran"] == "outcome unknown"
