"""Grant and release calls in the platform's format."""

import asyncio
import json
import random

import pytest

from guavastream.emulator import DialectServer, RepeatedAnswers, run_paused
from guavastream.fleet import Instance
from guavastream.hosts.key_keeper import KeySender
from guavastream.http1 import Headers, IncompleteMessage
from guavastream.leases import KeyCall
from guavastream.platform.emulator import CallGrantedKeys
from guavastream.platform.keys import MAX_HANDOVER_LENGTH, PlatformKeyDialect
from guavastream.platform.wire import DIALECT
from guavastream.relay import KeyOutcome

GRANT = KeyCall(first=4096, last=8191, fence=12, handover="5c0e", hold=1.9996)
RELEASE = KeyCall(first=4096, last=8191, fence=12)


def test_grants_and_releases_are_encoded():
    path, body = PlatformKeyDialect().encode(GRANT)
    assert path == b"/api/grant"
    assert json.loads(body) == {
        "From": 4096,
        "TargetVersion": 8191,
        "fence": 12,
        "Hold": "1999ms",
        "Handover": "5c0e",
    }
    path, body = PlatformKeyDialect().encode(RELEASE)
    assert path == b"/api/release"
    assert json.loads(body) == {"From": 4096, "TargetVersion": 8191, "fence": 12}


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (200, (), KeyOutcome.DONE),
        (409, (), KeyOutcome.FENCED),
        (400, (), KeyOutcome.REJECTED),
        (421, (), KeyOutcome.REJECTED),
        (503, ((b"Not-Executed", b"1"),), KeyOutcome.REJECTED),
    ],
)
def test_answers_are_decoded(status, headers, outcome):
    assert PlatformKeyDialect().decode(status, Headers(headers)).outcome is outcome


@pytest.mark.parametrize("status", [100, 204, 302, 404, 500, 503])
def test_an_unknown_status_has_no_result(status):
    # The server may have executed the call, or may still execute it.
    assert PlatformKeyDialect().decode(status, Headers()) is None


def test_an_invalid_handover_is_dropped():
    for value in (b"x" * (MAX_HANDOVER_LENGTH + 1), b"\xff"):
        answer = PlatformKeyDialect().decode(200, Headers([(b"Handover", value)]))
        assert answer.handover == ""


@pytest.mark.parametrize(
    "answer",
    [
        b"SSH-2.0-x\r\n",
        b"HTTP/1.1 200 OK\r\nHandover: " + b"x" * (1 << 20) + b"\r\n\r\n",
        b"",
    ],
)
def test_a_malformed_answer_ends_the_connection(answer):
    # A malformed or oversized answer must neither fill the memory of this process nor
    # count as the execution of the call.
    async def main():
        async def handle(reader, writer):
            await reader.readline()
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        instance = Instance(
            id="i",
            service="s",
            host="h",
            door="d",
            address=f"{host}:{port}",
            zone="z",
            slots=1,
        )
        with pytest.raises(IncompleteMessage):
            await KeySender(dialect=PlatformKeyDialect()).send(instance, GRANT)
        server.close()

    asyncio.run(main())


SERVER_ADDRESS = ("10.0.0.1", 80)
WORK_SECONDS = 0.3


def make_instance(id="i", address="10.0.0.1:80"):
    return Instance(
        id=id,
        service="s",
        host="h",
        door="10.0.0.1:2",
        address=address,
        zone="a",
        slots=8,
    )


def call_server(scenario, *, names_calls):
    """Run a scenario with a server that sends every answer twice, and a sender."""

    async def main():
        server = DialectServer(id="i", dialect=DIALECT, address=SERVER_ADDRESS)
        server.repeats = RepeatedAnswers(rng=random.Random(1), share=1.0)
        keys = CallGrantedKeys(server=server, names_calls=names_calls)
        await server.start()
        await scenario(server, keys, KeySender(dialect=PlatformKeyDialect()))

    run_paused(main())


@pytest.mark.parametrize("names_calls", [False, True])
def test_grant_that_is_answered_twice_does_not_end_the_next_release(names_calls):
    """Guards against two owners: keys returned while their holder works on them."""

    async def scenario(server, keys, sender):
        loop = asyncio.get_running_loop()
        for _ in range(3):
            await sender.send(make_instance(), GRANT)
        server.running_keys.append(GRANT.first)
        loop.call_later(WORK_SECONDS, server.running_keys.clear)
        began = loop.time()
        released = await sender.send(make_instance(), RELEASE)
        assert loop.time() - began >= WORK_SECONDS
        assert released.handover == f"t{RELEASE.first}"

    call_server(scenario, names_calls=names_calls)


@pytest.mark.parametrize("names_calls", [False, True])
def test_rejection_that_comes_twice_does_not_reject_the_next_grant(names_calls):
    """Guards against keys that are given up for an answer about other keys."""

    async def scenario(server, keys, sender):
        older = KeyCall(first=0, last=99, fence=11, hold=2.0)
        for first, call, outcome in (
            (0, KeyCall(first=0, last=99, fence=12, hold=2.0), KeyOutcome.DONE),
            (0, older, KeyOutcome.FENCED),
            (200, KeyCall(first=200, last=299, fence=11, hold=2.0), KeyOutcome.DONE),
            (0, older, KeyOutcome.FENCED),
        ):
            result = await sender.send(make_instance(), call)
            assert (call.first, result.outcome) == (first, outcome)

    call_server(scenario, names_calls=names_calls)


@pytest.mark.parametrize("names_calls, connections", [(True, 1), (False, 5)])
def test_connection_for_calls_is_kept_if_answers_name_their_calls(
    names_calls, connections
):
    async def scenario(server, keys, sender):
        server.repeats = None
        for _ in range(5):
            await sender.send(make_instance(), GRANT)
        assert sender.opened_count == connections

    call_server(scenario, names_calls=names_calls)


def test_calls_recover_when_a_server_no_longer_names_them():
    """Guards against a server whose keys are lost since its answers are skipped."""

    async def scenario(server, keys, sender):
        server.repeats = None
        await sender.send(make_instance(), GRANT)
        keys._names_calls = False
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(GRANT.timeout):
                await sender.send(make_instance(), GRANT)
        result = await sender.send(make_instance(), GRANT)
        assert result.outcome is KeyOutcome.DONE

    call_server(scenario, names_calls=True)
