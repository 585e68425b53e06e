"""What a request's head tells about who waits for it and until when."""

from types import SimpleNamespace

import pytest

from guavastream.emulator import run_paused
from guavastream.http1.message import Headers
from guavastream.relay.job import LAST_HOP_SECONDS, JobReader
from guavastream.relay.tests.rig import DIALECT, route
from guavastream.routes import RouteConfig, RouteIndex

RUNNING = b"q1"
# What the local server runs: its caller is patient, and has come back.
PARENT = SimpleNamespace(urgency=7, again=True)


def read(reader, *, id=b"q2", left=1000, started=0.0):
    """Return the job of one request."""
    fields = [
        (b"Host", b"a.example"),
        (DIALECT.request_id, id),
        (DIALECT.deadline_ms, b"%d" % left),
    ]
    request = SimpleNamespace(
        headers=Headers(fields), path=b"/read/x", method=b"GET", target=b"", length=0
    )
    return run_paused(reader.read(request, started=started))


@pytest.fixture
def reader():
    routes = {"read": route("read", timeout=1.0, target=0.5)}
    index = RouteIndex(RouteConfig(version=1, routes=routes))
    return JobReader(
        # These requests have no bodies to wait for.
        loop=None,
        dialect=DIALECT,
        routes=lambda: index,
        service="s",
        running_attempt=lambda id: PARENT if id == RUNNING else None,
    )


def test_a_call_is_told_from_a_caller_at_the_same_address_by_its_id(reader):
    # Callers and the local server send from one address. Taken for calls,
    # all callers were given 0.75 s to wait where their target was 0.5 s, and
    # most of a busy service's answers came late.
    call = read(reader, id=RUNNING + b".c1")
    # Whoever decides between calls and callers goes by what callers asked for.
    assert call.call and call.urgency == PARENT.urgency and call.again
    for id in (b"q2", b"q2.c1", RUNNING, b"", b".c1"):
        job = read(reader, id=id)
        assert not job.call and job.wanted_by == 0.5


def test_a_caller_that_comes_back_has_used_some_of_its_time(reader):
    # It goes before new ones as long as it can be in time, and behind them
    # after that; told by nothing but what it asks for and when it gives up.
    reader.note_unserved(read(reader, left=1000))
    again = read(reader, left=800, started=0.2)
    assert again.wanted_by == pytest.approx(0.5, abs=1e-3) and again.first == 0.0
    reader.note_unserved(again)
    assert read(reader, left=601, started=0.4).first == 0.0
    assert read(reader, left=600, started=0.4).first == 0.4


def test_callers_that_wait_for_different_times_have_not_come_back(reader):
    # Taken for callers that had come back, and whose answers were late
    # already, most of a kind were served after all others: two in five of
    # its answers came late, at servers that were idle a tenth of the time.
    for left in (1000, 900, 800, 700):
        assert read(reader, left=left).wanted_by == 0.5
    reader.note_unserved(read(reader, left=1000))
    assert read(reader, left=900, started=0.2).wanted_by == pytest.approx(0.7)


def test_a_call_with_little_time_left_has_not_come_back(reader):
    # It expires with the request that it is for.
    read(reader, left=1000)
    job = read(reader, id=RUNNING + b".c1", left=300)
    assert job.wanted_by == job.deadline == pytest.approx(0.3 - LAST_HOP_SECONDS)
