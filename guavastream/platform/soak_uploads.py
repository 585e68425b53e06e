"""Callers of a soak test that upload large bodies, and servers that are full."""

import asyncio
import random

from guavastream.emulator import summarize_body
from guavastream.http1 import BodyRest, Client, IncompleteMessage, NotSent
from guavastream.platform.emulator import ROUTES

__all__ = ["UploadingCallers"]

CALLERS = 6
PAUSE_SECONDS = (0.0, 0.3)
# Hosts keep bodies of up to half a megabyte; longer ones can be sent on only once.
BODY_SIZES = (100_000, 700_000, 1_500_000, 3_500_000)
PIECE_BYTES = 60_000
# Pause between two pieces of a body that its caller sends slowly.
SLOW_PIECE_SECONDS = 0.03
SLOW_SHARE = 0.2
CHUNKED_SHARE = 0.5
# Share of the callers that wait for "100 Continue", and of those that leave midway.
EXPECTING_SHARE = 0.3
LEAVING_SHARE = 0.1
TIMEOUT_SECONDS = 4.0
# Work of a server that is full for a while, and for how long.
FULL_WORK_SECONDS = 1.0
FULL_SECONDS = (0.5, 2.0)


class _Pieces:
    """The source of a body that its caller sends piece by piece."""

    def __init__(self, *, body, pause, leaves_after):
        self._pieces = [
            body[n : n + PIECE_BYTES] for n in range(0, len(body), PIECE_BYTES)
        ]
        self._pause = pause
        self._left = leaves_after

    async def read(self):
        """Return the next piece, or empty bytes at the end."""
        if self._pause:
            await asyncio.sleep(self._pause)
        if self._left == 0:
            raise IncompleteMessage("the caller leaves")
        if self._left is not None:
            self._left -= 1
        return self._pieces.pop(0) if self._pieces else b""


class UploadingCallers:
    """Uploads large bodies to random hosts, which servers compare by their digests.

    Parameters
    ----------
    platform : EmulatedPlatform
        Its hosts get the requests; its servers are full for a while in turn.
    ledger : Ledger
        Receives requests and answers.
    seed : int
        Seed of the requests.
    on_send : callable
        Called with the id and the host of each request before it is sent.
    """

    def __init__(self, *, platform, ledger, seed, on_send):
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(f"uploads {seed}")
        self._on_send = on_send
        self._numbers = iter(range(1, 10**9))
        # Number of answers by status.
        self.counts = {}
        self._filling = None

    def note_start(self, server):
        """Let a server that has started keep only the digests of large bodies."""
        server.server.keeps_bodies = False

    async def run(self):
        """Send requests until cancelled, and fill servers until `end_faults`."""
        self._filling = asyncio.ensure_future(self._fill_servers())
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._upload_repeatedly())

    async def end_faults(self):
        """Let no more servers be full."""
        self._filling.cancel()
        await asyncio.gather(self._filling, return_exceptions=True)

    async def _fill_servers(self):
        while True:
            server_host = self._rng.choice(self._platform.server_hosts)
            if server_host.server is None:
                await asyncio.sleep(FULL_SECONDS[0])
                continue
            server = server_host.server.server
            before, server.seconds = server.seconds, FULL_WORK_SECONDS
            try:
                await asyncio.sleep(self._rng.uniform(*FULL_SECONDS))
            finally:
                server.seconds = before

    async def _upload_repeatedly(self):
        client = Client()
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            server_host = self._rng.choice(self._platform.server_hosts)
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    status = await self._upload(client, server_host)
            except (NotSent, IncompleteMessage, TimeoutError):
                status = 0
            self.counts[status] = self.counts.get(status, 0) + 1

    async def _upload(self, client, server_host):
        """Send one upload; return the status of the answer."""
        rng = self._rng
        name = rng.choice([n for n in sorted(ROUTES) if ROUTES[n][2] == b"POST"])
        id = b"u%d" % next(self._numbers)
        body = rng.randbytes(rng.choice(BODY_SIZES))
        request = self._platform.make_request(name, id, rng.randrange(65536), body)
        self._ledger.record_request(
            id, request.method, request.target, summarize_body(body), idempotent=False
        )
        self._on_send(id, server_host)
        pieces = _Pieces(
            body=body,
            pause=SLOW_PIECE_SECONDS if rng.random() < SLOW_SHARE else 0.0,
            leaves_after=rng.randrange(8) if rng.random() < LEAVING_SHARE else None,
        )
        length = None if rng.random() < CHUNKED_SHARE else len(body)
        rest = BodyRest(stream=pieces, length=length)
        message = (request.method, request.target, request.headers, b"", rest)
        address = server_host.machine.address("outbound")
        async with await client.open(address) as exchange:
            if rng.random() < EXPECTING_SHARE:
                await exchange.send_after_continue(*message)
            else:
                exchange.send(*message)
            answer = await exchange.answer()
            data, _ = await answer.body.read_up_to(1 << 20)
        self._ledger.record_answer(id, answer.status, data, b"body of " + id)
        return answer.status
