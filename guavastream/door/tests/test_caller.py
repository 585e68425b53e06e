"""Tests the client library against doors and stand-in servers."""

import pytest

from guavastream.client import Caller, RequestFailed
from guavastream.door.tests.rig import make_table


def make_caller(hosts):
    return Caller(doors=[host.http.address for host in hosts])


def test_request_is_sent_directly_to_the_owner(start_hosts):
    hosts = start_hosts(count=2)
    caller = make_caller(hosts)
    reply = caller.send("PUT", "/pages/rosters/k", body=b"x" * 100_000)
    assert (reply.status, len(reply.read()) > 0) == (200, True)
    assert len(hosts[0].executed_requests()) == 1
    assert not any(kind == "answered" for kind, _ in hosts[1].events)


def test_request_follows_a_change_of_owner(start_hosts):
    """The previous owner refuses the request as not run, as its table is newer."""
    hosts = start_hosts(count=2)
    caller = make_caller(hosts)
    caller.send("GET", "/pages/rosters/k").read()
    hosts[0].tables.replace(make_table(hosts, index=2, owner=2))
    caller.send("GET", "/pages/rosters/k").read()
    assert len(hosts[1].executed_requests()) == 1


def test_swap_whose_answer_is_lost_is_not_repeated(start_hosts):
    """The connection breaks after the swap ran and before its answer is sent."""
    hosts = start_hosts("swaps", proxied=True)
    hosts[0].proxy.cut_answers_after(0)
    with pytest.raises(RequestFailed) as caught:
        make_caller(hosts).send("POST", "/swaps/a", body=b"1")
    assert caught.value.ran == "outcome unknown"
    assert len(hosts[0].executed_requests()) == 1


@pytest.mark.parametrize(
    ("path", "code"), [("/none/x", "unknown_service"), ("/pages", "missing_key")]
)
def test_bad_request_fails_before_it_is_sent(start_hosts, path, code):
    hosts = start_hosts()
    with pytest.raises(RequestFailed) as caught:
        make_caller(hosts).send("GET", path)
    assert (caught.value.code, caught.value.ran) == (code, "not run")
