"""The callers' library against doors and stand-ins."""

import pytest

from guavastream.client import Caller, RequestFailed
from guavastream.door.tests.rig import make_table


def make_caller(hosts):
    return Caller(doors=[host.http.address for host in hosts])


def test_goes_straight_to_the_owner(make_path):
    hosts = make_path(count=2)
    caller = make_caller(hosts)
    reply = caller.send("PUT", "/pages/rosters/k", body=b"x" * 100_000)
    assert (reply.status, len(reply.read()) > 0) == (200, True)
    assert len(hosts[0].ran()) == 1
    assert not any(kind == "answered" for kind, _ in hosts[1].events)


def test_learns_a_new_owner(make_path):
    """The owner changes; the old one refuses as not run, with its new table."""
    hosts = make_path(count=2)
    caller = make_caller(hosts)
    caller.send("GET", "/pages/rosters/k").read()
    hosts[0].tables.replace(make_table(hosts, index=2, owner=2))
    caller.send("GET", "/pages/rosters/k").read()
    assert len(hosts[1].ran()) == 1


def test_swap_whose_answer_is_lost_is_not_repeated(make_path):
    """The connection breaks after the swap ran and before its answer."""
    hosts = make_path("swaps", proxied=True)
    hosts[0].proxy.cut_answers_after(0)
    with pytest.raises(RequestFailed) as caught:
        make_caller(hosts).send("POST", "/swaps/a", body=b"1")
    assert caught.value.ran == "outcome unknown"
    assert len(hosts[0].ran()) == 1


@pytest.mark.parametrize(
    ("path", "code"), [("/none/x", "unknown_service"), ("/pages", "missing_key")]
)
def test_bad_request_is_told_before_it_is_sent(make_path, path, code):
    hosts = make_path()
    with pytest.raises(RequestFailed) as caught:
        make_caller(hosts).send("GET", path)
    assert (caught.value.code, caught.value.ran) == (code, "not run")
