"""Grant and release calls in the platform's format."""

import asyncio
import json

import pytest

from guavastream.fleet import Instance
from guavastream.hosts.key_keeper import KeySender
from guavastream.http1 import Headers, IncompleteMessage
from guavastream.leases import KeyCall
from guavastream.platform.keys import MAX_HANDOVER_LENGTH, PlatformKeyDialect
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
