"""Callers of a soak test that send several requests at once on a connection."""

import asyncio
import random

from guavastream.emulator import send_pipelined
from guavastream.http1 import Client, IncompleteMessage, NotSent
from guavastream.platform.emulator import ROUTES
from guavastream.platform.wire import DIALECT

__all__ = ["PipeliningCallers"]

CALLERS = 4
PAUSE_SECONDS = (0.0, 0.2)
# Numbers of requests that are sent at once. A host runs eight of them at a time.
REQUEST_COUNTS = (2, 10)
# Most requests are safe, since others do not overlap.
SAFE_SHARE = 0.8
MAX_BODY_BYTES = 2000
# Callers give up after this time; the deadline of each request is 2 s.
TIMEOUT_SECONDS = 6.0
IN_ORDER = "pipelined requests are answered in order"
CLOSED = "nothing unsafe runs behind a response that closes the connection"


class PipeliningCallers:
    """Sends pipelined requests to random hosts, and checks their answers.

    Parameters
    ----------
    platform : EmulatedPlatform
        Its hosts get the requests.
    ledger : Ledger
        Receives requests, answers and violations.
    seed : int
        Seed of the requests.
    on_send : callable
        Called with the id and the host of each request before it is sent.
    """

    def __init__(self, *, platform, ledger, seed, on_send):
        self._on_send = on_send
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._numbers = iter(range(1, 10**9))
        self._unsafe_behind_close = []
        # Number of answers by status.
        self.counts = {}

    async def run(self):
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._send_repeatedly())

    def report(self):
        """Record unsafe requests that ran though no response to them could be sent."""
        for id in self._unsafe_behind_close:
            if self._ledger.requests[id].runs:
                self._ledger.record_violation(CLOSED, f"{id!r}")

    async def _send_repeatedly(self):
        client = Client()
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            server_host = self._rng.choice(self._platform.server_hosts)
            count = self._rng.randint(*REQUEST_COUNTS)
            requests = dict(self._make_request() for _ in range(count))
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await self._send(client, server_host, requests)
            except (NotSent, IncompleteMessage, TimeoutError):
                continue

    def _make_request(self):
        """Return the id of a new request, and the request."""
        names = [name for name in sorted(ROUTES) if name != "read"]
        if self._rng.random() < SAFE_SHARE:
            names = ["read"]
        name, id = self._rng.choice(names), b"p%d" % next(self._numbers)
        kind, _, method = ROUTES[name]
        size = self._rng.randrange(MAX_BODY_BYTES) if method == b"POST" else 0
        body, key = self._rng.randbytes(size), self._rng.randrange(65536)
        request = self._platform.make_request(name, id, key, body)
        self._ledger.record_request(
            id, method, request.target, body, idempotent=kind == "safe"
        )
        return id, request

    async def _send(self, client, server_host, requests):
        address = server_host.machine.address("outbound")
        waiting = list(requests)
        for id in waiting:
            self._on_send(id, server_host)
        async for response, body in send_pipelined(client, address, requests.values()):
            id = waiting.pop(0)
            self.counts[response.status] = self.counts.get(response.status, 0) + 1
            self._platform.on_answer(id, response.headers)
            self._ledger.record_answer(id, response.status, body, b"body of " + id)
            answered = response.headers.get(DIALECT.request_id.lower())
            if response.status == 200 and answered != id:
                self._ledger.record_violation(IN_ORDER, f"{answered!r}, not {id!r}")
            if response.headers.get(b"connection").lower() == b"close":
                self._unsafe_behind_close += [
                    id for id in waiting if requests[id].method == b"POST"
                ]
