"""Operators see suspect requests and lift them, from the command line."""

import asyncio
import json
import threading
from types import SimpleNamespace

import pytest

from guavastream.cli import main
from guavastream.exception import NotReady
from guavastream.fleet import FleetState, Suspect
from guavastream.hosts.admin import AdminApi
from guavastream.http1 import Server
from guavastream.kernel import Counters

FIRST, SECOND = bytes(range(16)), bytes(range(16, 32))


def make_suspect(refused):
    return Suspect(
        crash_count=3 if refused else 1,
        incarnations=(1,),
        places=(("orders", "v1"),),
        hosts=("h1", "h2"),
        refused=refused,
    )


class Host:
    """A process with two suspect requests; `lifted` is what was asked of it."""

    def __init__(self):
        suspects = {FIRST: make_suspect(True), SECOND: make_suspect(False)}
        self.fleet_state = FleetState(suspects=suspects)
        self.counters = Counters()
        self.lifted = []
        self.fails = False

    async def lift_suspects(self, requests):
        if self.fails:
            raise NotReady("No leader is heard.")
        self.lifted.append(requests)


@pytest.fixture
def served():
    """Serve a `Host` in a thread; gives it and its address."""
    ready, found = threading.Event(), SimpleNamespace()

    async def serve():
        found.host, found.end = Host(), asyncio.Event()
        found.loop = asyncio.get_running_loop()
        api = AdminApi(host=found.host)
        server = Server(address=("127.0.0.1", 0), handler=api.handle)
        await server.start()
        found.address = server.address
        ready.set()
        await found.end.wait()
        await server.stop()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait()
    yield found
    found.loop.call_soon_threadsafe(found.end.set)
    thread.join()


def test_suspects_are_listed(served, capsys):
    assert main(["suspects", "list", "--at", served.address]) == 0
    said = capsys.readouterr().out
    assert FIRST.hex() in said and SECOND.hex() in said and "orders v1" in said
    assert main(["suspects", "list", "--json", "--at", served.address]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["refused"] for row in rows] == [True, False]


def test_the_beginning_of_a_fingerprint_is_enough(served, capsys):
    assert main(["suspects", "lift", "--at", served.address, FIRST.hex()[:6]]) == 0
    assert served.host.lifted == [(FIRST,)]
    assert "1 lifted" in capsys.readouterr().out


def test_all_are_lifted(served):
    assert main(["suspects", "lift", "--at", served.address, "--all"]) == 0
    assert set(served.host.lifted[0]) == {FIRST, SECOND}


def test_bad_names_are_told_together_and_nothing_is_lifted(served, capsys):
    names = [FIRST.hex(), "ffff", "zz"]
    assert main(["suspects", "lift", "--at", served.address, *names]) == 2
    said = capsys.readouterr().err
    assert "ffff" in said and "zz" in said and served.host.lifted == []


def test_nothing_named_is_one_finding(served, capsys):
    assert main(["suspects", "lift", "--at", served.address]) == 2
    assert "--all" in capsys.readouterr().err


def test_an_unknown_outcome_is_told(served, capsys):
    """Guards against a lift that is taken for done though no leader took it."""
    served.host.fails = True
    assert main(["suspects", "lift", "--at", served.address, "--all"]) == 2
    assert "No leader" in capsys.readouterr().err


def test_nobody_there_is_one_finding(capsys):
    assert main(["suspects", "list", "--at", "127.0.0.1:1"]) == 2
    assert "unreachable" in capsys.readouterr().err
