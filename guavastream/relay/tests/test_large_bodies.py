"""Bodies that are too large to keep run whole or not at all, whatever fails."""

import asyncio
import random

import pytest

from guavastream.fleet import LeaveInstance, ReleaseKeys
from guavastream.relay import fingerprint
from guavastream.relay.tests.rig import DIALECT, route, run_scenario
from guavastream.routes import RetrySafety

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Larger than what an ingress keeps.
BODY_BYTES = 1_500_000
CHUNK_BYTES = 40_000
SECONDS = 2.0
UPLOADS = 40
ROUTES = (
    route("load", RetrySafety.UPLOAD, timeout=4.0, target=1.0),
    route("pay", RetrySafety.UNSAFE, timeout=8.0, target=0.5),
)


def make_body(number, size=BODY_BYTES):
    return random.Random(number).randbytes(size)


def encode(id, body, *, key=None, expect=False, chunked=False):
    """Return the head and the pieces of an upload as they are sent."""
    fields = [
        b"POST /load/x HTTP/1.1",
        b"Host: a.example",
        DIALECT.request_id + b": " + id,
        DIALECT.deadline_ms + b": 4000",
    ]
    if key is not None:
        fields.append(DIALECT.key + b": %d" % key)
    if expect:
        fields.append(b"Expect: 100-continue")
    pieces = [body[n : n + CHUNK_BYTES] for n in range(0, len(body), CHUNK_BYTES)]
    if chunked:
        fields.append(b"Transfer-Encoding: chunked")
        pieces = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
        pieces.append(b"0\r\n\r\n")
    else:
        fields.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(fields) + b"\r\n\r\n", pieces


async def read_status(reader):
    """Return the status of the next final answer, 0 if the connection ended."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            if status != 100:
                return status
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0


async def upload(mesh, id, body, *, at=0, leaves_after=None, pause=0.0, **framing):
    """Upload to a host; with `leaves_after`, close after so many pieces.

    `pause` is the time between two pieces in seconds.
    """
    head, pieces = encode(id, body, **framing)
    reader, writer = await asyncio.open_connection(mesh.hosts[at].ip, 1)
    answered = asyncio.ensure_future(read_status(reader))
    writer.write(head)
    for piece in pieces[:leaves_after]:
        if answered.done():
            break
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause)
    if leaves_after is not None:
        writer.close()
        answered.cancel()
        return 0
    status = await answered
    writer.close()
    return status


def check_whole(mesh, sent, statuses):
    """Check that each upload ran whole, at most once, and not if it was refused."""
    ran = [(run[0], run[3]) for run in mesh.ran() if run[2] == b"/load/x"]
    assert [id for id, body in ran if body != sent[id]] == []
    assert len({id for id, _ in ran}) == len(ran)
    ids = {id for id, _ in ran}
    assert not [i for i, s in statuses.items() if s in NOT_RUN_STATUSES and i in ids]
    assert not [i for i, s in statuses.items() if s == 200 and i not in ids]


async def end_server(mesh, host):
    await host.server.stop()


async def fill_server(mesh, host):
    """Occupy all slots of a server for longer than an upload may wait."""
    host.server.seconds = 6.0
    number = mesh.hosts.index(host)
    while host.server.running < host.server.slots:
        asyncio.ensure_future(
            mesh.ask(b"/pay/x", method=b"POST", at=number, deadline=8000)
        )
        await asyncio.sleep(0.02)
    # The host finds out that no slot becomes free.
    await asyncio.sleep(1.5)


async def begin_departure(mesh, host):
    host.guard.note_leaving(host.id)
    await asyncio.sleep(3.0)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("trouble", [end_server, fill_server, begin_departure])
def test_upload_that_one_host_refuses_runs_whole_at_another(trouble, chunked):
    """Guards against a body with a hole after a refusal, and against its loss."""

    async def scenario(mesh):
        ingress, first, second = mesh.hosts
        mesh.apply(LeaveInstance(id=ingress.id))
        ingress.ingress._rng.seed(1)
        await trouble(mesh, first)
        sent = {b"u%d" % n: make_body(n) for n in range(4)}
        statuses = {
            id: await upload(mesh, id, body, chunked=chunked)
            for id, body in sent.items()
        }
        check_whole(mesh, sent, statuses)
        assert set(statuses.values()) == {200}

    run_scenario(scenario, hosts=3, routes=ROUTES)


@pytest.mark.parametrize("chunked", [False, True])
def test_upload_whose_key_moves_runs_whole_at_the_new_owner(chunked):
    """Guards against a body with a hole at the server that is granted the key."""

    async def scenario(mesh):
        _, before, after = mesh.hosts
        mesh.grant((0, 65535, before.id))
        before.guard.set_held_keys(before.id, (), float("inf"))
        body = make_body(1)
        task = asyncio.ensure_future(upload(mesh, b"u1", body, key=7, chunked=chunked))
        await asyncio.sleep(0.2)
        rows = ((0, 65535, "t"),)
        mesh.apply(ReleaseKeys(service="s", owner=before.id, rows=rows))
        mesh.grant((0, 65535, after.id))
        statuses = {b"u1": await task}
        check_whole(mesh, {b"u1": body}, statuses)
        assert statuses == {b"u1": 200} and len(after.server.ran) == 1

    run_scenario(scenario, hosts=3, keyed=True, routes=ROUTES)


def test_upload_that_its_server_refused_is_not_sent_again_with_a_hole():
    """Guards against a second attempt with what the first one left of the body."""

    async def scenario(mesh):
        mesh.apply(LeaveInstance(id=mesh.hosts[0].id))
        mesh.hosts[1].server.sheds = True
        sent = {b"u%d" % n: make_body(n) for n in range(6)}
        statuses = {id: await upload(mesh, id, body) for id, body in sent.items()}
        check_whole(mesh, sent, statuses)
        assert set(statuses.values()) <= {200, 503}

    run_scenario(scenario, hosts=3, routes=ROUTES)


def test_upload_that_ends_its_server_is_noted_though_it_is_not_sent_again():
    """Guards against large uploads that end one server after another."""

    async def scenario(mesh):
        mesh.apply(LeaveInstance(id=mesh.hosts[0].id))
        server = mesh.hosts[1].server
        server.on_run = lambda entry, key: asyncio.ensure_future(server.stop())
        noted = []
        quarantine = mesh.hosts[0].guard.quarantine
        quarantine.note_end = lambda fingerprint, id: noted.append((fingerprint, id))
        body = make_body(1)
        assert await upload(mesh, b"u1", body) == 502
        fields = [(b"Host", b"a.example")]
        print = fingerprint(b"POST", fields, b"/load/x", body)
        assert noted == [(print, "i2")]

    run_scenario(scenario, hosts=2, routes=ROUTES)


def test_full_server_does_not_take_the_body_of_an_upload():
    """Guards against uploads that cross a link only to be refused."""

    async def scenario(mesh):
        mesh.apply(LeaveInstance(id=mesh.hosts[0].id))
        await fill_server(mesh, mesh.hosts[1])
        # A body that the ingress keeps, and one that it can send only once.
        for number, size in enumerate((100_000, BODY_BYTES)):
            body = make_body(number, size)
            assert await upload(mesh, b"u%d" % number, body) == 503
        taken = mesh.hosts[1].body_bytes
        assert taken == 0

    run_scenario(scenario, hosts=2, routes=ROUTES)


def test_callers_that_send_slowly_do_not_keep_others_from_uploading():
    """Guards against refusals while the link only waits for slow callers."""

    async def scenario(mesh):
        mesh.apply(LeaveInstance(id=mesh.hosts[0].id))
        sent = {b"u%d" % n: make_body(n) for n in range(6)}
        # The rest of each body takes two seconds.
        tasks = [
            asyncio.ensure_future(upload(mesh, id, body, pause=0.08))
            for id, body in sent.items()
        ]
        statuses = dict(zip(sent, await asyncio.gather(*tasks), strict=True))
        check_whole(mesh, sent, statuses)
        assert set(statuses.values()) == {200}

    run_scenario(scenario, hosts=2, routes=ROUTES)


def test_leaving_server_gets_no_body_that_arrives_late():
    """Guards against an upload that begins to run after the drain of its server."""

    async def scenario(mesh):
        mesh.apply(LeaveInstance(id=mesh.hosts[0].id))
        mesh.hosts[1].guard.note_leaving(mesh.hosts[1].id)
        # The rest of the body takes more than two seconds.
        assert await upload(mesh, b"u1", make_body(1), pause=0.09) == 503
        assert mesh.ran(b"u1") == 0

    run_scenario(scenario, hosts=2, routes=ROUTES)


def test_body_that_its_caller_breaks_off_does_not_run():
    """Guards against a truncated body that looks whole to the server."""

    async def scenario(mesh):
        mesh.apply(LeaveInstance(id=mesh.hosts[0].id))
        for chunked in (False, True):
            for pieces in (1, 20):
                body = make_body(pieces)
                await upload(mesh, b"u", body, leaves_after=pieces, chunked=chunked)
        await asyncio.sleep(5.0)
        assert mesh.ran() == []
        assert all(host.guard.running == 0 for host in mesh.hosts)

    run_scenario(scenario, hosts=2, routes=ROUTES)


@pytest.mark.parametrize("size", [0, BODY_BYTES])
def test_chunked_body_above_the_limit_is_answered_with_413(size):
    """Guards against an oversized upload whose connection ends without an answer."""

    async def scenario(mesh):
        limits = mesh.hosts[0].ingress_listener.limits
        body = bytes(limits.body_bytes + 1 + size)
        assert await upload(mesh, b"u", body, chunked=True) == 413
        await asyncio.sleep(5.0)
        assert mesh.ran() == []

    run_scenario(scenario, hosts=2, routes=ROUTES)


def test_body_of_a_request_without_a_route_is_not_asked_for():
    """Guards against callers that upload a body only to be told 404."""

    async def scenario(mesh):
        head, _ = encode(b"u", make_body(1), expect=True)
        reader, writer = await asyncio.open_connection(mesh.hosts[0].ip, 1)
        writer.write(head.replace(b"/load/", b"/none/"))
        assert (await reader.readline()).startswith(b"HTTP/1.1 404")
        reader, writer = await asyncio.open_connection(mesh.hosts[0].ip, 1)
        writer.write(head)
        assert (await reader.readline()).startswith(b"HTTP/1.1 100")

    run_scenario(scenario, hosts=2, routes=ROUTES)


@pytest.mark.parametrize("seed", range(10))
def test_large_bodies_run_whole_or_not_at_all(seed):
    """Guards against holes, repeats and untrue refusals under random faults."""

    async def scenario(mesh):
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        for host in mesh.hosts:
            host.ingress._rng.seed(seed)
            host.server.slots = 3
            host.server.seconds = rng.choice([0.1, 0.4, 1.0])
            host.server.sheds = rng.random() < 0.2
        hosts = rng.sample(mesh.hosts, 3)
        loop.call_later(0.7 * SECONDS, hosts[0].hop_handler.end_by, loop.time() + 2.0)
        loop.call_later(0.4 * SECONDS, hosts[1].server.stop_listening)
        sent, statuses, tasks = {}, {}, []

        async def send(number):
            id = b"u%d" % number
            sent[id] = make_body(number, rng.choice([100_000, 600_000, BODY_BYTES]))
            statuses[id] = await upload(
                mesh,
                id,
                sent[id],
                at=rng.randrange(4),
                chunked=rng.random() < 0.5,
                expect=rng.random() < 0.3,
                leaves_after=rng.choice([None] * 8 + [1, 15]),
            )

        async def cut_connections():
            """Crash the server of one host under whatever runs there."""
            await asyncio.sleep(0.5 * SECONDS)
            await hosts[2].server.stop()

        tasks.append(asyncio.ensure_future(cut_connections()))
        for number in range(UPLOADS):
            tasks.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(rng.expovariate(UPLOADS / SECONDS))
        await asyncio.gather(*tasks)
        await asyncio.sleep(10.0)
        check_whole(mesh, sent, statuses)
        assert 200 in statuses.values()

    run_scenario(scenario, hosts=4, routes=ROUTES)
