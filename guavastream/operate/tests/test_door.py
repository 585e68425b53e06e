"""What operators are told: by whom, when, and for which input."""

import asyncio
import json
import warnings

from guavastream.control import ControlInfo, HostReport
from guavastream.emulator import run_paused
from guavastream.exception import NotReady
from guavastream.http1 import BodyRest, Client, IncompleteMessage, Limits, Server
from guavastream.operate.door import MAX_BODY_BYTES, OperatorDoor
from guavastream.replica import TableHolder
from guavastream.state import ChangeAnswer, ShardTableCodec

ADDRESS = ("10.0.0.1", 80)
PEER = "10.0.0.1:80"


class Leader:
    """Answers what a door asks; `revisions` are what a host reports in turn."""

    def __init__(self, *, revisions=(7,), silent=False):
        self.commands = []
        self._revisions = list(revisions)
        self._silent = silent

    async def call(self, request, **times):
        if self._silent:
            raise NotReady("No leading control host answered.")
        revision = self._revisions.pop(0)
        self._revisions = self._revisions or [revision]
        return make_info(revision)

    async def submit(self, command, *, timeout, result):
        self.commands.append(command)
        return ChangeAnswer(code="ok", revision=7)


def make_info(revision):
    host = HostReport(host="h1", member=1, index=1, revision=revision, age=0.1)
    return ControlInfo(
        leader="10.0.0.9:1", term=1, index=1, voters={"d": "a:1"}, hosts=(host,)
    )


class Recorder:
    def recent(self):
        return []


def play(scenario, *, leader=None, token=""):
    async def main():
        door = OperatorDoor(
            control=leader or Leader(),
            tables=TableHolder(codec=ShardTableCodec()),
            recorder=Recorder(),
            clock=asyncio.get_running_loop().time,
            token=token,
        )
        limits = Limits(body_bytes=MAX_BODY_BYTES)
        server = Server(address=ADDRESS, handler=door.handle, limits=limits)
        await server.start()
        await scenario()
        await server.stop()

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        run_paused(main())


async def ask(method, path, body=b"", headers=()):
    async with await Client().open(PEER) as exchange:
        fields = [(b"Host", b"x"), *headers]
        exchange.send(method, path, fields, body)
        answer = await exchange.answer()
        data, _ = await answer.body.read_up_to(1 << 20)
        return answer.status, json.loads(data)


def change(**fields):
    asked = {"what": "preset", "value": "peak", **fields}
    return json.dumps(asked).encode()


def test_a_wrong_token_is_refused_whatever_is_asked():
    async def scenario():
        wrong = [(b"Authorization", b"Bearer nope")]
        for headers in ([], wrong):
            status, said = await ask(b"GET", b"/history", headers=headers)
            assert (status, said["code"]) == (401, "unauthorized")
        right = [(b"Authorization", b"Bearer secret")]
        assert (await ask(b"GET", b"/history", headers=right))[0] == 200

    play(scenario, token="secret")


def test_bad_input_changes_nothing_and_says_why():
    leader = Leader()

    async def scenario():
        assert (await ask(b"GET", b"/nothing"))[0] == 404
        assert (await ask(b"POST", b"/changes", b"{"))[0] == 400
        status, said = await ask(b"POST", b"/changes", change(what="explode"))
        assert (status, said["code"]) == (400, "bad_request")
        status, said = await ask(b"GET", b"/owners?service=none&key=1")
        assert (status, said["code"]) == (404, "unknown_service")
        bad = change(what="apply", value="[[service]]\nname = 3\n")
        status, said = await ask(b"POST", b"/changes", bad)
        assert status == 422 and said["findings"]

    play(scenario, leader=leader)
    assert leader.commands == []


def test_a_body_larger_than_any_declaration_ends_its_connection():
    # An operator sends the wrong file, in chunks that tell no length: the door
    # must stop reading, and must not take the part for the whole.
    leader = Leader()

    class Stream:
        left = 2 * MAX_BODY_BYTES

        async def read(self):
            size = min(self.left, 1 << 20)
            self.left -= size
            return bytes(size)

    async def scenario():
        try:
            async with await Client().open(PEER) as exchange:
                fields = [(b"Host", b"x")]
                rest = BodyRest(stream=Stream(), length=None)
                exchange.send(b"POST", b"/changes", fields, b"", rest)
                answer = await exchange.answer()
                assert answer.status >= 400
        except IncompleteMessage:
            pass

    play(scenario, leader=leader)
    assert leader.commands == []


def test_a_change_waits_until_all_hosts_have_it():
    # The first answers show a host that is behind; the operator is told how
    # long it took, and that nobody lacks the change.
    async def scenario():
        status, said = await ask(b"POST", b"/changes", change(wait=5.0))
        assert (status, said["behind"]) == (200, [])
        assert said["seconds"] > 0

    play(scenario, leader=Leader(revisions=(5, 6, 7)))


def test_a_host_that_stays_behind_is_named():
    async def scenario():
        status, said = await ask(b"POST", b"/changes", change(wait=0.5))
        assert (status, said["behind"]) == (200, ["h1"])
        assert said["seconds"] >= 0.5

    play(scenario, leader=Leader(revisions=(5,)))


def test_without_a_leader_a_question_is_told_so():
    async def scenario():
        status, said = await ask(b"GET", b"/status")
        assert (status, said["code"]) == (503, "not_ready")

    play(scenario, leader=Leader(silent=True))
