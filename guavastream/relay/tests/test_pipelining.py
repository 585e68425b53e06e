"""Pipelined requests of a caller at the ingress: servers, slots, unsafe requests."""

import asyncio

import pytest

from guavastream.emulator import PipelinedRequest, send_pipelined
from guavastream.relay.tests.rig import DIALECT, SERVER_SECONDS, route, run_scenario

SLOW_SECONDS = 0.6
# Keys of the first and of the second host.
FIRST, SECOND = 10, 110


def make_request(id, path=b"/read/x", *, key=None, body=b"", deadline=5000):
    fields = [
        (b"Host", b"a.example"),
        (DIALECT.request_id, id),
        (DIALECT.deadline_ms, b"%d" % deadline),
    ]
    if key is not None:
        fields.append((DIALECT.key, b"%d" % key))
    return PipelinedRequest(
        method=b"POST" if body else b"GET",
        target=path,
        headers=tuple(fields),
        body=body,
    )


async def collect(mesh, *requests, into=None):
    """Send requests at once; return status, id and seconds until each answer."""
    answers = [] if into is None else into
    began = now()
    async for response, body in send_pipelined(
        mesh.client, mesh.hosts[0].outbound, requests
    ):
        id = response.headers.get(DIALECT.request_id.lower())
        assert response.status != 200 or body == b"body of " + id
        answers.append((response.status, id, now() - began))
    return answers


def now():
    return asyncio.get_running_loop().time()


def grant_keys(mesh):
    mesh.grant((0, 99, "i1"), (100, 199, "i2"))


def test_pipelined_requests_are_spread_over_servers():
    """Guards against one server that gets all requests of a connection."""

    async def scenario(mesh):
        ids = [b"p%d" % number for number in range(8)]
        answers = await collect(mesh, *[make_request(id) for id in ids])
        assert [answer[:2] for answer in answers] == [(200, id) for id in ids]
        assert answers[-1][2] <= 1.2 * SERVER_SECONDS
        ran = [len(host.server.ran) for host in mesh.hosts]
        assert sum(ran) == 8 and max(ran) <= 5

    # With a longer target all of them would be in time at the local server.
    run_scenario(scenario, hosts=4, routes=(route("read", target=0.15),))


def test_pipelined_requests_go_to_the_owners_of_their_keys():
    """Guards against requests that follow the first one of their connection."""

    async def scenario(mesh):
        grant_keys(mesh)
        requests = [
            make_request(b"p%d" % number, key=key)
            for number, key in enumerate((SECOND, FIRST, SECOND, FIRST))
        ]
        assert [status for status, *_ in await collect(mesh, *requests)] == [200] * 4
        ran = [sorted(run[0] for run in host.server.ran) for host in mesh.hosts]
        assert ran == [[b"p1", b"p3"], [b"p0", b"p2"]]

    run_scenario(scenario, keyed=True)


def test_finished_response_that_waits_for_its_turn_holds_no_slot():
    """Guards against servers that idle while an earlier request runs elsewhere."""

    async def scenario(mesh):
        grant_keys(mesh)
        mesh.hosts[1].server.seconds = SLOW_SECONDS
        answers = []
        requests = [
            make_request(b"p0", key=SECOND),
            make_request(b"p1", key=FIRST),
            make_request(b"p2", key=FIRST),
        ]
        sending = asyncio.ensure_future(collect(mesh, *requests, into=answers))
        await asyncio.sleep(SERVER_SECONDS / 2)
        assert mesh.hosts[0].guard.running == 2
        await asyncio.sleep(SERVER_SECONDS)
        assert mesh.hosts[0].guard.running == 0 and answers == []
        assert mesh.hosts[0].counts["pipelined.buffered"] == 2
        await sending
        assert [id for _, id, _ in answers] == [b"p0", b"p1", b"p2"]

    run_scenario(scenario, keyed=True)


@pytest.mark.parametrize("path", [b"/pay/x", b"/load/x"])
def test_request_that_is_not_idempotent_runs_alone(path):
    """Guards against an unsafe run that others of its connection overtake."""

    async def scenario(mesh):
        seen = []

        def note(run, key):
            seen.append((run[0], sum(host.server.running for host in mesh.hosts)))

        for host in mesh.hosts:
            host.server.on_run = note
        requests = [make_request(b"p0"), make_request(b"p1")]
        requests += [make_request(b"p2", path, body=b"1"), make_request(b"p3")]
        answers = await collect(mesh, *requests)
        assert [answer[:2] for answer in answers] == [
            (200, b"p%d" % number) for number in range(4)
        ]
        assert dict(seen) == {b"p0": 1, b"p1": 2, b"p2": 1, b"p3": 1}
        assert mesh.ran(b"p2") == 1

    run_scenario(scenario)


def test_unsafe_request_behind_a_cut_connection_never_runs():
    """Guards against a run whose caller can only repeat it."""

    async def scenario(mesh):
        mesh.hosts[0].server.seconds = mesh.hosts[1].server.seconds = SLOW_SECONDS
        requests = [make_request(b"p0"), make_request(b"p1")]
        requests += [make_request(b"p2", b"/pay/x", body=b"1")]
        sending = asyncio.ensure_future(collect(mesh, *requests))
        await asyncio.sleep(SERVER_SECONDS)
        sending.cancel()
        await asyncio.sleep(2 * SLOW_SECONDS)
        cut = [id for host in mesh.hosts for id in host.server.cut]
        assert sorted(cut) == [b"p0", b"p1"] and mesh.ran(b"p2") == 0
        assert mesh.hosts[0].ingress_listener.busy == 0
        assert mesh.hosts[0].counts["pipelined.cancelled"] == 1

    run_scenario(scenario)


def test_requests_at_a_leaving_ingress_are_refused_in_order_and_not_run():
    """Guards against a planned stop that loses pipelined requests."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        requests = [make_request(b"p%d" % number) for number in range(3)]
        sending = asyncio.ensure_future(collect(mesh, *requests))
        await asyncio.sleep(SERVER_SECONDS / 2)
        host.ingress.leaving = host.ingress_listener.closing = True
        assert [status for status, *_ in await sending] == [200] * 3
        answers = await collect(mesh, *[make_request(b"r%d" % n) for n in range(3)])
        assert [status for status, *_ in answers] == [503] * 3
        assert len(mesh.ran()) == 3

    run_scenario(scenario)


def test_refusal_of_one_request_leaves_the_others_of_its_connection():
    """Guards against a refusal that is given to another request, or cuts it."""

    async def scenario(mesh):
        grant_keys(mesh)
        mesh.hosts[1].server.sheds = True
        requests = [
            make_request(b"p%d" % number, key=key)
            for number, key in enumerate((FIRST, SECOND, FIRST))
        ]
        answers = await collect(mesh, *requests)
        assert [status for status, *_ in answers] == [200, 503, 200]
        assert mesh.ran(b"p1") == 0

    run_scenario(scenario, keyed=True)


def test_deadline_of_a_request_does_not_replace_its_waiting_response():
    """Guards against a finished response that is lost since it waits for its turn."""

    async def scenario(mesh):
        grant_keys(mesh)
        mesh.hosts[1].server.seconds = SLOW_SECONDS
        requests = [
            make_request(b"p0", key=SECOND),
            make_request(b"p1", key=FIRST, deadline=300),
        ]
        answers = await collect(mesh, *requests)
        assert [answer[:2] for answer in answers] == [(200, b"p0"), (200, b"p1")]

    run_scenario(scenario, keyed=True)
