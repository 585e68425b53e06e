"""Reception of large bodies by the host of their server."""

import asyncio
from types import SimpleNamespace

import pytest

from guavastream.emulator import run_paused
from guavastream.http1.message import Headers
from guavastream.relay import HopHandler
from guavastream.relay.body_queue import MAX_CONCURRENT_BODIES, MAX_LINK_BUSY_SECONDS
from guavastream.relay.dialect import INTERNAL_PREFIX
from guavastream.relay.hop import HopHeader, read_failure
from guavastream.relay.tests.rig import DIALECT
from guavastream.scheduling import NotRun, Report
from guavastream.scheduling.outcome import FAILURE_RULES, OutcomeUnknown

BODY_SECONDS = 0.1
BODY_BYTES = 60_000
WORK_SECONDS = 0.2


class Link:
    """A link whose senders wait for permission; counts the bodies under way."""

    def __init__(self):
        self.concurrent = self.max_concurrent = self.received = 0

    def request(self, left_ms):
        hop = HopHeader(
            service="s",
            instance="i",
            route="r",
            rank=1,
            remaining_ms=left_ms,
            target_ms=left_ms,
            idempotent=False,
            is_call=False,
            is_retry=False,
            key=None,
            urgency=1,
        )
        headers = Headers([hop.header()])
        return SimpleNamespace(
            headers=headers,
            method=b"POST",
            target=b"/load/x",
            length=BODY_BYTES,
            expects_continue=True,
            body=SimpleNamespace(read_up_to=self._receive),
        )

    async def _receive(self, limit):
        self.concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self.concurrent)
        await asyncio.sleep(BODY_SECONDS)
        self.concurrent -= 1
        self.received += 1
        return b"x" * BODY_BYTES, True


class Responder:
    """Records the permission to send a body, and the status of the answer."""

    started = complete = False

    def __init__(self):
        self.permitted = False
        self.status = None

    def send_continue(self):
        self.permitted = True

    async def send(self, status, headers=(), body=b"", *, reason=b""):
        self.status = status


class RefusingGuard:
    """Refuses every request: only the reception of bodies is tested."""

    def usual_seconds(self, kind):
        return WORK_SECONDS

    def report(self, kind):
        return Report()

    def refuse_early(self, attempt):
        pass

    def serve(self, attempt):
        raise NotRun("no_server")


def upload(count, *, left_ms, link_rate=0.0):
    """Upload from many hosts at once; return the link and the responders."""

    async def main():
        link = Link()
        loop = asyncio.get_running_loop()
        handler = HopHandler(
            loop=loop, dialect=DIALECT, guard=RefusingGuard(), link_rate=link_rate
        )
        responders = [Responder() for _ in range(count)]
        await asyncio.gather(
            *(handler.handle(link.request(left_ms), r) for r in responders)
        )
        return link, responders

    return run_paused(main())


def test_few_large_bodies_are_received_at_a_time():
    # Bodies that arrive all at once fill the queue of the link, and short requests
    # between them time out.
    link, responders = upload(12, left_ms=5000)
    assert link.max_concurrent == MAX_CONCURRENT_BODIES and link.received == 12
    assert all(responder.permitted for responder in responders)


@pytest.mark.parametrize(
    "mbit, most",
    [(2, 1), (4, 2), (8, MAX_CONCURRENT_BODIES), (1000, MAX_CONCURRENT_BODIES)],
)
def test_concurrent_bodies_are_limited_by_the_link_rate(mbit, most):
    # Three bodies of 60 KB occupy a link of 2 Mbit/s for 0.7 s. Calls between servers
    # queue behind them and time out, and updates of the fleet state arrive later than a
    # change has to be in force.
    link, _ = upload(12, left_ms=10_000, link_rate=mbit * 125_000)
    assert link.max_concurrent == most and link.received == 12
    assert (
        link.max_concurrent == 1
        or link.max_concurrent * BODY_BYTES <= MAX_LINK_BUSY_SECONDS * mbit * 125_000
    )


def test_late_request_is_refused_before_its_body_is_received():
    link, responders = upload(30, left_ms=600)
    refused = [r for r in responders if not r.permitted]
    assert refused and {r.status for r in refused} == {503}
    assert (
        link.received == 30 - len(refused)
        and link.max_concurrent == MAX_CONCURRENT_BODIES
    )


@pytest.mark.parametrize("status, error", [(503, NotRun), (504, OutcomeUnknown)])
def test_unknown_code_of_a_newer_version_is_understood_by_its_status(status, error):
    """Guards against refusals that become 502 while a fleet runs two versions."""
    headers = Headers([(INTERNAL_PREFIX + b"code", b"a_newer_code")])
    failure = read_failure(SimpleNamespace(headers=headers, status=status))
    assert type(failure) is error and failure.code in FAILURE_RULES
