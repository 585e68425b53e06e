"""Time limits of requests, and recognition of calls and of retries."""

from types import SimpleNamespace

import pytest

from guavastream.emulator import run_paused
from guavastream.http1.message import Headers
from guavastream.relay.job import LAST_HOP_MARGIN_SECONDS, JobReader
from guavastream.relay.tests.rig import DIALECT, route
from guavastream.routes import RetrySafety, RouteConfig, RouteIndex

RUNNING = b"q1"
# The request that the local server runs: it has priority 7 and is a retry.
PARENT = SimpleNamespace(urgency=7, is_retry=True)


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


def make_index(*routes):
    return RouteIndex(RouteConfig(version=1, routes={r.name: r for r in routes}))


def make_reader(routes):
    return JobReader(
        # These requests have no bodies to wait for.
        loop=None,
        dialect=DIALECT,
        routes=routes,
        service="s",
        running_attempt=lambda id: PARENT if id == RUNNING else None,
    )


@pytest.fixture
def reader():
    index = make_index(route("read", timeout=1.0, target=0.5))
    return make_reader(lambda: index)


@pytest.mark.parametrize(
    ("path", "length", "overlaps"),
    [
        (b"/read/x", 0, True),
        (b"/download/x", 0, True),
        # A chunked body and one of known length.
        (b"/read/x", -1, False),
        (b"/read/x", 3, False),
        (b"/pay/x", 0, False),
        (b"/load/x", 0, False),
        (b"/none/x", 0, False),
    ],
)
def test_only_idempotent_requests_without_a_body_may_overlap(path, length, overlaps):
    # An unsafe request could run behind a response that closes the connection, and its
    # caller would repeat it. A body would have to be received first.
    index = make_index(
        route("read"),
        route("download", RetrySafety.DOWNLOAD),
        route("pay", RetrySafety.UNSAFE),
        route("load", RetrySafety.UPLOAD),
    )
    headers = Headers([(b"Host", b"a.example")])
    request = SimpleNamespace(headers=headers, path=path, length=length)
    assert make_reader(lambda: index).may_overlap(request) is overlaps
    assert not make_reader(lambda: None).may_overlap(request)


def test_calls_are_distinguished_from_callers_by_their_id(reader):
    # Callers and the local server send from the same address. If a caller's request
    # is taken for a call, it may wait for 0.75 s where its target is 0.5 s, and most
    # answers of a busy service are late.
    call = read(reader, id=RUNNING + b".c1")
    # A call inherits the priority of the caller's request, and whether it is a retry.
    assert call.is_call and call.urgency == PARENT.urgency and call.is_retry
    for id in (b"q2", b"q2.c1", RUNNING, b"", b".c1"):
        job = read(reader, id=id)
        assert not job.is_call and job.target_time == 0.5


def test_retry_counts_its_time_from_the_first_request(reader):
    # A retry precedes new requests while it can be in time, and follows them after
    # that. It is recognized only by its target and the time at which it gives up.
    reader.note_unserved(read(reader, left=1000))
    retry = read(reader, left=800, started=0.2)
    assert (
        retry.target_time == pytest.approx(0.5, abs=1e-3) and retry.first_sent_at == 0.0
    )
    reader.note_unserved(retry)
    assert read(reader, left=601, started=0.4).first_sent_at == 0.0
    assert read(reader, left=600, started=0.4).first_sent_at == 0.4


def test_requests_with_different_deadlines_are_not_taken_for_retries(reader):
    # If requests with different deadlines are taken for retries, they count as late
    # and are served last: two in five answers were late at servers that were idle a
    # tenth of the time.
    for left in (1000, 900, 800, 700):
        assert read(reader, left=left).target_time == 0.5
    reader.note_unserved(read(reader, left=1000))
    assert read(reader, left=900, started=0.2).target_time == pytest.approx(0.7)


def test_call_with_little_time_left_is_not_taken_for_a_retry(reader):
    # A call expires together with the request that made it.
    read(reader, left=1000)
    job = read(reader, id=RUNNING + b".c1", left=300)
    assert (
        job.target_time == job.deadline == pytest.approx(0.3 - LAST_HOP_MARGIN_SECONDS)
    )
