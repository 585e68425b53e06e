"""Heartbeats of the emulated backend server."""

import json

import pytest

from guavastream.emulator import run_paused
from guavastream.platform.emulator import BackendServer, server


class Leader:
    """Answers heartbeats with given rows, and records their bodies."""

    def __init__(self):
        self.rows = []
        self.bodies = []

    async def call(self, address, method, path, body):
        self.bodies.append(body)
        answer = {"Holds": [[*row, ""] for row in self.rows], "Hold": "2800ms"}
        return 200, json.dumps(answer).encode()


@pytest.mark.parametrize(
    ("kept", "released"),
    [
        ([[0, 59, 7]], [(60, 99)]),
        ([[40, 59, 7]], [(0, 39), (60, 99)]),
        ([[0, 49, 7], [50, 99, 7]], []),
        ([[0, 99, 9]], []),
        ([], [(0, 99)]),
    ],
)
def test_only_keys_that_are_left_out_are_reported_as_released(
    monkeypatch, kept, released
):
    # If the emulated server reported a whole row as released of which it keeps a part,
    # the leader would grant that part to another server, and the soak would find keys
    # with two owners if the next answer did not arrive.
    async def main():
        leader = Leader()
        monkeypatch.setattr(server, "call", leader.call)
        backend = BackendServer.make(
            id="a", control_address="127.0.0.1:1", address=("127.0.0.1", 0)
        )
        backend.announced_address = "127.0.0.1:2"
        leader.rows = [[0, 99, 7]]
        await backend.send_heartbeat()
        leader.rows = kept
        await backend.send_heartbeat()
        await backend.send_heartbeat()
        body = leader.bodies[-1]
        assert body["Holds"] == kept
        assert [tuple(row[:2]) for row in body["Released"]] == released
        assert all(backend.holds(key) for a, b, _ in kept for key in (a, b))

    run_paused(main())
