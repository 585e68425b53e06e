"""Large bodies on their way to the host of their server."""

import asyncio
from types import SimpleNamespace

import pytest

from guavastream.emulator import run_paused
from guavastream.http1.message import Headers
from guavastream.relay import HopDoor, NotRun, Report
from guavastream.relay.hop import MOST_BODIES, ROOM_SECONDS, HopJob
from guavastream.relay.tests.rig import DIALECT

SECONDS_A_BODY = 0.1
BODY_BYTES = 60_000
WORK = 0.2


class Link:
    """Bodies whose senders hold them back; counts those on their way."""

    def __init__(self):
        self.now = self.most = self.came = 0

    def request(self, left_ms):
        hop = HopJob(
            service="s",
            instance="i",
            route="r",
            rank=1,
            left_ms=left_ms,
            wanted_ms=left_ms,
            safe=False,
            call=False,
            again=False,
            key=None,
            urgency=1,
        )
        headers = Headers([hop.header()])
        return SimpleNamespace(
            headers=headers,
            method=b"POST",
            target=b"/load/x",
            length=BODY_BYTES,
            awaits_go=True,
            body=SimpleNamespace(read_up_to=self._come),
        )

    async def _come(self, limit):
        self.now += 1
        self.most = max(self.most, self.now)
        await asyncio.sleep(SECONDS_A_BODY)
        self.now -= 1
        self.came += 1
        return b"x" * BODY_BYTES, True


class Responder:
    """Keeps what it is told."""

    started = whole = False

    def __init__(self):
        self.asked = False
        self.status = None

    def go_ahead(self):
        self.asked = True

    async def send(self, status, headers=(), body=b"", *, reason=b""):
        self.status = status


class IdleGuard:
    """A server that refuses what arrives; only the way there is looked at."""

    def usual(self, kind):
        return WORK

    def report(self, kind):
        return Report()

    def serve(self, attempt):
        raise NotRun("no_server")


def upload(count, *, left_ms, link_rate=0.0):
    """Return the link and the responders after uploads of many hosts at once."""

    async def main():
        link = Link()
        loop = asyncio.get_running_loop()
        door = HopDoor(
            loop=loop, dialect=DIALECT, guard=IdleGuard(), link_rate=link_rate
        )
        responders = [Responder() for _ in range(count)]
        await asyncio.gather(
            *(door.handle(link.request(left_ms), r) for r in responders)
        )
        return link, responders

    return run_paused(main())


def test_few_large_bodies_come_in_at_a_time():
    # All at once they fill the queue of the link, and short requests between
    # them wait until their time is over.
    link, responders = upload(12, left_ms=5000)
    assert link.most == MOST_BODIES and link.came == 12
    assert all(responder.asked for responder in responders)


@pytest.mark.parametrize(
    "mbit, most", [(2, 1), (4, 2), (8, MOST_BODIES), (1000, MOST_BODIES)]
)
def test_bodies_come_in_as_the_link_passes_them(mbit, most):
    # Three bodies of 60 KB stand 0.7 s long on a link of 2 Mbit/s. What hosts need
    # most came behind them: calls between servers ran out of time, and news of the
    # book came later than the time in which a change is to be in force.
    link, _ = upload(12, left_ms=10_000, link_rate=mbit * 125_000)
    assert link.most == most and link.came == 12
    assert link.most == 1 or link.most * BODY_BYTES <= ROOM_SECONDS * mbit * 125_000


def test_what_would_be_too_late_is_refused_before_its_body_has_come():
    link, responders = upload(30, left_ms=600)
    refused = [r for r in responders if not r.asked]
    assert refused and {r.status for r in refused} == {503}
    assert link.came == 30 - len(refused) and link.most == MOST_BODIES
