"""Connections that are used again, cut, or left in doubt."""

import json

import pytest

from guavastream.web import AttemptFailed, HttpSender, HttpServer

TICK = 0.01


@pytest.fixture
def server():
    """Serve answers that repeat the request's body."""

    def handle(exchange):
        body = exchange.read_all(1 << 20).decode()
        exchange.respond(200, {"path": exchange.path, "body": body})

    server = HttpServer(address="127.0.0.1:0", handler=handle, threads=4, tick=TICK)
    server.start()
    yield server
    server.stop()


def send(sender, server, path, body=None, **options):
    return sender.send(
        server.address, "POST", path, {}, body, seconds=5, idle=5, **options
    )


def read(answer):
    return json.loads(b"".join(answer.chunks()))


def test_bytes_travel_with_their_length(server):
    assert read(send(HttpSender(), server, "/a", b"abc"))["body"] == "abc"


def test_connection_is_used_again(server):
    sender, seen = HttpSender(), []
    for path in ("/a", "/b"):
        assert read(send(sender, server, path, last=seen.append))["path"] == path
    assert seen[0] is seen[1]


def test_late_cut_does_not_touch_the_next_request(server):
    """A caller leaves just when its answer is complete.

    The connection is back in the pool, and another caller's request goes out
    on it; only then the cut for the first one is carried out.
    """
    sender, cutters = HttpSender(), []

    def note(connection):
        cutters.append(connection.make_cutter())

    read(send(sender, server, "/a", last=note))
    answer = send(sender, server, "/b", last=note)
    cutters[0]()
    assert read(answer)["path"] == "/b"


def test_cut_in_time_ends_the_attempt_as_sent(server):
    with pytest.raises(AttemptFailed) as caught:
        send(HttpSender(), server, "/a", last=lambda c: c.make_cutter()())
    assert caught.value.code == "answer_lost"


def test_answer_that_was_not_read_is_not_left_to_the_next(server):
    """An answer is dropped half read; its rest must not be another's."""
    sender, seen = HttpSender(), []
    send(sender, server, "/a", last=seen.append).finish(whole=False)
    assert read(send(sender, server, "/b", last=seen.append))["path"] == "/b"
    assert seen[0] is not seen[1]
