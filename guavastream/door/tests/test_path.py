"""The path of a request over real sockets, against stand-ins and faults."""

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


def call(host, method, path, body=None, headers=None, *, settle=True):
    """Send one request; return its status, headers and JSON body."""
    connection = http.client.HTTPConnection(host.http.address, timeout=10)
    connection.request(method, path, body=body, headers=headers or {})
    answer = connection.getresponse()
    data = answer.read()
    connection.close()
    # The caller has its answer a moment before the connection to the server
    # is back in its pool.
    while settle and host.admission.running:
        pass
    return answer.status, answer.headers, json.loads(data) if data else None


def send_raw(host, data):
    """Send bytes on one connection and return all that comes back."""
    address = host.http.address.split(":")
    with socket.create_connection((address[0], int(address[1])), timeout=5) as sock:
        sock.sendall(data)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("door", [0, 1])
def test_request_reaches_the_owner_from_any_door(make_path, door):
    hosts = make_path(count=2)
    body = b"x" * 300_000
    status, headers, item = call(hosts[door], "PUT", "/pages/rosters/k", body)
    assert status == 200
    assert item["sha256"] == hashlib.sha256(body).hexdigest()
    assert item["request"] == headers["Guavastream-Request-Id"]
    assert hosts[0].ran() and not hosts[1].ran()


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
def test_bad_input_is_one_clear_refusal(make_path, method, path, headers, status, code):
    host = make_path()[0]
    got, fields, item = call(host, method, path, headers=headers)
    assert got == status
    assert item["ran"] == "not run"
    assert item["code"] == (code or "bad_idempotency_key")
    assert call(host, "GET", "/pages/rosters/k")[0] == 200


HALF_UPLOAD = (
    b"PUT /pages/rosters/k HTTP/1.1\r\nHost: x\r\n"
    b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000
)
SMUGGLED = {
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


@pytest.mark.parametrize("name", SMUGGLED)
def test_smuggling_forms_are_refused(make_path, name):
    """A request that two servers could read in two ways.

    What one takes for its body the other takes for the next caller's
    request; nothing of it may reach the backend server.
    """
    host = make_path()[0]
    head = b"POST /pages/pairings/k HTTP/1.1\r\nHost: x\r\n"
    answer = send_raw(host, head + SMUGGLED[name])
    assert answer.split()[1] in (b"400", b"413")
    assert not host.ran()


def test_other_spelling_of_a_path_does_not_make_it_repeatable(make_path):
    """A swap whose path is written with escapes or doubled slashes.

    The server understands it as the same request, so it must count as one
    that may not be sent again.
    """
    host = make_path("swaps", proxied=True)[0]
    for path in ("/swaps/%70ost", "/swaps//post"):
        host.proxy.cut_answers_after(0)
        status, _, item = call(host, "POST", path)
        assert (status, item["ran"]) == (502, "outcome unknown")
    assert len(host.ran()) == 2


def test_cut_answer_is_visibly_cut(make_path):
    """The server's connection breaks in the middle of a long answer."""
    host = make_path(proxied=True)[0]
    host.proxy.cut_answers_after(100_000)
    connection = http.client.HTTPConnection(host.http.address, timeout=5)
    connection.request("GET", "/pages/rosters/k", headers={"X-Reply-Bytes": "500000"})
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        connection.getresponse().read()


def test_idempotent_request_survives_a_silent_connection(make_path):
    """A pooled connection to the server has gone silent for good.

    Nothing is refused; the request is lost on it. It may repeat, so it is
    answered over a new connection before its deadline.
    """
    host = make_path(proxied=True)[0]
    assert call(host, "GET", "/pages/rosters/k")[0] == 200
    host.proxy.silence()
    status, _, item = call(host, "GET", "/pages/rosters/k")
    assert (status, item["service"]) == (200, "pages")
    assert host.proxy.connections >= 2


def test_swap_on_a_silent_connection_ends_in_time_and_is_not_repeated(make_path):
    """The same for a swap: whether it ran is not known, so it is said so."""
    host = make_path("swaps", proxied=True)[0]
    host.proxy.silence_at_once()
    status, _, item = call(host, "POST", "/swaps/b")
    assert (status, item["ran"]) == (504, "outcome unknown")
    assert not host.ran()


def test_lost_answer_is_not_turned_into_not_run_by_a_later_attempt(make_path):
    """A page runs and its answer is lost; the retry finds the server gone.

    The last attempt was not even sent, but the first one ran: "not run"
    would be a lie.
    """
    host = make_path(proxied=True)[0]
    host.proxy.accept_only(1)
    host.proxy.cut_answers_after(0)
    status, _, item = call(host, "GET", "/pages/rosters/k")
    assert (status, item["ran"]) == (502, "outcome unknown")
    assert len(host.ran()) == 1


def test_failing_connection_before_sending_is_not_run(make_path):
    """The server is gone; nothing could be sent, so it truly did not run."""
    host = make_path("swaps")[0]
    host.server.stop_serving()
    status, _, item = call(host, "POST", "/swaps/a")
    assert (status, item["ran"]) == (503, "not run")
    assert item["code"] == "unreachable"


def test_lost_lease_refuses_and_waits_for_nobody(make_path):
    host = make_path()[0]
    host.membership.lease.drop()
    status, headers, item = call(
        host, "GET", "/pages/rosters/k", headers={"Guavastream-Deadline-Ms": "100"}
    )
    assert (status, item["ran"]) == (503, "not run")
    assert headers["Retry-After"]


def make_id():
    """Return a UUIDv7 of this moment."""
    moment = int(time.time() * 1000) << 80
    low = uuid.uuid4().int & ((1 << 80) - 1)
    low = low & ~(0xF << 76) | (7 << 76)
    low = low & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=moment | low))


@pytest.mark.parametrize("door", [0, 1])
def test_resent_swap_gets_its_first_answer(make_path, door):
    """A caller lost the answer and resends, perhaps through another process."""
    hosts = make_path("swaps", count=2)
    headers = {"Idempotency-Key": make_id()}
    first = call(hosts[0], "POST", "/swaps/a", b"one", headers)
    again = call(hosts[door], "POST", "/swaps/a", b"one", headers)
    assert first[0] == again[0] == 200
    assert first[2] == again[2]
    assert len(hosts[0].ran() + hosts[1].ran()) == 1


def test_resent_swap_while_the_first_still_runs(make_path):
    host = make_path("swaps")[0]
    headers = {"Idempotency-Key": make_id()}
    host.server.behave(Behaviour(silent=True))
    first = threading.Thread(target=call, args=(host, "POST", "/swaps/a", b"", headers))
    first.start()
    while not host.server.running:
        pass
    status, _, item = call(host, "POST", "/swaps/a", b"", headers, settle=False)
    assert (status, item["code"]) == (409, "still_running")
    host.server.behave(Behaviour())
    first.join()
    assert call(host, "POST", "/swaps/a", b"", headers)[0] == 200
    assert len(host.ran()) == 1


def test_resend_refused_on_its_way_does_not_say_not_run(make_path):
    """A swap ran and its answer was lost; the resend finds no owner.

    Told "not run", the caller would post the swap anew under another id. A
    first sending that the owner itself refuses is told so.
    """
    host = make_path("swaps")[0]
    headers = {"Idempotency-Key": make_id(), "Guavastream-Deadline-Ms": "100"}
    assert call(host, "POST", "/swaps/a", b"", headers)[0] == 200
    host.membership.lease.drop()
    status, _, item = call(host, "POST", "/swaps/a", b"", headers)
    assert (status, item["code"]) == (503, "no_lease")
    assert item["ran"] == "outcome unknown"
    host.membership.lease.extend(time.monotonic() + 60)
    host.server.stop_serving()
    fresh = {"Idempotency-Key": make_id()}
    assert call(host, "POST", "/swaps/b", b"", fresh)[2]["ran"] == "not run"


def test_resent_swap_after_its_owner_was_lost_is_unknown(make_path):
    """The new owner has no table of outcomes; the id is older than its grant."""
    hosts = make_path("swaps", count=2)
    headers = {"Idempotency-Key": make_id()}
    assert call(hosts[0], "POST", "/swaps/a", b"", headers)[0] == 200
    for shard in range(4):
        hosts[1].outcomes.note_granted("swaps", shard, handover_digests=None)
    tables = hosts[0].tables
    tables.replace(make_table(hosts, index=2, owner=2))
    status, _, item = call(hosts[0], "POST", "/swaps/a", b"", headers)
    assert (status, item["code"]) == (409, "earlier_unknown")
    assert item["ran"] == "outcome unknown"
    assert not hosts[1].ran()


def test_resent_swap_after_a_planned_move_is_unknown_and_a_new_one_runs(make_path):
    """The owner before hands over the digests of its latest operations."""
    hosts = make_path("swaps", count=2)
    old = {"Idempotency-Key": make_id()}
    assert call(hosts[0], "POST", "/swaps/a", b"", old)[0] == 200
    handover_digests = hosts[0].outcomes.recent_digests("swaps", {0, 1, 2, 3})
    new = {"Idempotency-Key": make_id()}
    for shard in range(4):
        hosts[1].outcomes.note_granted(
            "swaps", shard, handover_digests=handover_digests
        )
    hosts[0].tables.replace(make_table(hosts, index=2, owner=2))
    assert call(hosts[0], "POST", "/swaps/a", b"", old)[2]["code"] == "earlier_unknown"
    assert call(hosts[0], "POST", "/swaps/a", b"", new)[0] == 200


def test_stale_door_asks_again_once_it_knows_the_owner(make_path):
    """A door has an older table; the owner before refuses as not run.

    The door waits for its next table and sends the request to the new owner.
    """
    hosts = make_path(count=2)
    tables = hosts[0].tables
    stale = ShardTableHolder()
    stale.replace(tables.table)
    hosts[0].forwarder._tables = stale
    tables.replace(make_table(hosts, index=2, owner=2))
    thread = threading.Timer(0, lambda: stale.replace(tables.table))
    hosts[0].admission._tables = tables
    thread.start()
    assert call(hosts[0], "GET", "/pages/rosters/k")[0] == 200
    thread.join()
    assert hosts[1].ran() and not hosts[0].ran()


def test_head_and_expect_continue_follow_the_protocol(make_path):
    host = make_path()[0]
    assert call(host, "HEAD", "/pages/rosters/k")[0] == 200
    head = (
        b"PUT /pages/rosters/k HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\nConnection: close\r\n\r\nabc"
    )
    answer = send_raw(host, head)
    assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")


def test_chunked_body_reaches_the_server_whole(make_path):
    host = make_path()[0]
    parts = [b"a" * 70_000, b"b" * 5]
    connection = http.client.HTTPConnection(host.http.address, timeout=5)
    connection.request("PUT", "/pages/rosters/k", body=iter(parts), encode_chunked=True)
    item = json.loads(connection.getresponse().read())
    assert item["sha256"] == hashlib.sha256(b"".join(parts)).hexdigest()


def test_caller_that_goes_away_in_its_upload_ends_the_run(make_path):
    """Half a bundle must not reach the server as a whole one."""
    host = make_path()[0]
    address = host.http.address.split(":")
    with socket.create_connection((address[0], int(address[1]))) as sock:
        sock.sendall(HALF_UPLOAD)
        while not host.admission.running:
            pass
    while host.admission.running:
        pass
    assert not host.ran()


def test_upload_that_falls_silent_ends(make_path):
    """A caller stops in the middle of its upload and keeps the connection.

    It must not hold a slot for ever, nor reach the server as a whole bundle.
    """
    host = make_path()[0]
    address = host.http.address.split(":")
    with socket.create_connection((address[0], int(address[1]))) as sock:
        sock.sendall(HALF_UPLOAD)
        while sock.recv(65536):
            pass
    assert not host.admission.running
    assert not host.ran()


def test_frozen_server_that_answers_everything_at_once_harms_nobody(make_path):
    """A server freezes with swaps in hand, comes back and answers them all.

    Their callers have long been told that the outcome is unknown; the next
    caller must get its own answer and no other.
    """
    host = make_path("swaps")[0]
    host.server.behave(Behaviour(silent=True))
    for number in range(2):
        status, _, item = call(host, "POST", f"/swaps/{number}")
        assert (status, item["ran"]) == (504, "outcome unknown")
    host.server.behave(Behaviour())
    for _ in range(3):
        status, headers, item = call(host, "POST", "/swaps/own")
        assert status == 200
        assert item["request"] == headers["Guavastream-Request-Id"]


@pytest.mark.parametrize("door", [0, 1])
def test_caller_that_gives_up_frees_its_slot(make_path, door):
    """A caller closes its connection while the server is at work.

    Its slot is free at once, also through a second process, and not only at
    the deadline: callers that give up resend.
    """
    hosts = make_path(count=2)
    hosts[0].server.behave(Behaviour(silent=True))
    address = hosts[door].http.address.split(":")
    with socket.create_connection((address[0], int(address[1]))) as sock:
        sock.sendall(b"GET /pages/rosters/k HTTP/1.1\r\nHost: x\r\n\r\n")
        while not hosts[0].admission.running:
            pass
    while hosts[0].admission.running:
        pass
    while not (told := [f for kind, f in hosts[door].events if kind == "answered"]):
        pass
    assert told[0]["detail"]["code"] == "caller_gone"


def test_answer_to_another_request_is_dropped(make_path):
    """The server answers with the id of another request: crossed or late."""
    host = make_path("swaps")[0]
    host.server.behave(Behaviour(echo="other"))
    status, _, item = call(host, "POST", "/swaps/a")
    assert (status, item["code"]) == (502, "wrong_answer")
    assert item["ran"] == "outcome unknown"
