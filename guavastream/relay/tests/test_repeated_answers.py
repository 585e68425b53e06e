"""An answer of a server belongs to one sending of a request, not to its id."""

import asyncio
import random

import pytest

from guavastream.emulator import RepeatedAnswers
from guavastream.relay.tests.rig import DIALECT, route, run_scenario
from guavastream.routes import RetrySafety

NOT_RUN_STATUSES = (408, 421, 429, 503)
KEY = (DIALECT.key, b"7")
ROUTES = (
    route("read"),
    route("pay", RetrySafety.UNSAFE),
)
REQUESTS = 200
SECONDS = 3.0


def repeat_all(host, *statuses):
    rng = random.Random(1)
    host.server.repeats = RepeatedAnswers(rng=rng, share=1.0, statuses=statuses)


def refuse_first(server):
    """Refuse one request for a key, as a server does that has not taken it yet."""
    answers = iter([False])
    server.holds = lambda key: next(answers, True)


def fail_first(server):
    failures = iter([True])

    async def behave(request, responder):
        if not next(failures, False):
            return False
        id = request.headers.get(DIALECT.request_id.lower())
        await responder.send(500, [(DIALECT.request_id, id), (DIALECT.seal, b"z")])
        return True

    server.behave = behave


@pytest.mark.parametrize("at", [0, 1])
@pytest.mark.parametrize("path, method", [(b"/pay/x", b"POST"), (b"/read/x", b"GET")])
def test_refusal_that_comes_twice_does_not_refuse_the_second_sending(at, path, method):
    """Guards against 503 for a request that runs, and its second run by its caller."""

    async def scenario(mesh):
        owner = mesh.hosts[1]
        mesh.grant((0, 65535, owner.id))
        repeat_all(owner, 421)
        for number in range(3):
            refuse_first(owner.server)
            id = b"a%d" % number
            status, _, body, _ = await mesh.ask(
                path, method=method, at=at, headers=[KEY], id=id
            )
            assert (status, body) == (200, b"body of " + id) and mesh.ran(id) == 1
        assert owner.server.repeats.count

    run_scenario(scenario, keyed=True, routes=ROUTES)


@pytest.mark.parametrize("at", [0, 1])
def test_failure_that_comes_twice_does_not_fail_the_second_sending(at):
    """Guards against a retry after 500 that is answered by the 500 before it."""

    async def scenario(mesh):
        owner = mesh.hosts[1]
        mesh.grant((0, 65535, owner.id))
        for _ in range(60):
            # Few enough failures that the next one is retried.
            assert (await mesh.ask(b"/read/x", at=at, headers=[KEY]))[0] == 200
        repeat_all(owner, 500)
        fail_first(owner.server)
        status, _, body, _ = await mesh.ask(b"/read/x", at=at, headers=[KEY], id=b"a")
        assert (status, body) == (200, b"body of a")

    run_scenario(scenario, keyed=True, routes=ROUTES)


@pytest.mark.parametrize("status", [200, 421, 429, 503])
def test_answer_without_an_id_promises_nothing(status):
    """Guards against 503 for a request that runs, after somebody else's answer."""

    async def scenario(mesh):
        async def answer_without_id(request, responder):
            fields = [(DIALECT.seal, b"z"), (DIALECT.not_run, b"1")]
            await responder.send(status, fields[: 1 if status == 200 else 2])
            return True

        for host in mesh.hosts:
            host.server.behave = answer_without_id
        assert (await mesh.ask(b"/pay/x", method=b"POST", id=b"a"))[0] == 502
        assert mesh.ran(b"a") == 1

    run_scenario(scenario, routes=ROUTES)


def test_requests_without_an_id_share_no_connection():
    """Guards against a refusal of one request without an id that answers the next."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        opened = []
        for _ in range(3):
            reader, writer = await asyncio.open_connection(host.ip, 1)
            writer.write(
                b"POST /pay/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
            )
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            opened.append(sum(h.guard._server._client.opened_count for h in mesh.hosts))
        assert opened == [1, 2, 3]

    run_scenario(scenario, routes=ROUTES)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("keyed", [False, True])
def test_answers_of_any_kind_that_come_twice_answer_nobody(keyed, seed):
    """Guards against answers of other sendings under random refusals and failures."""

    async def scenario(mesh):
        rng = random.Random(seed)
        failing_share = rng.choice([0.0, 0.04])
        for number, host in enumerate(mesh.hosts):
            host.ingress._rng.seed(seed)
            server = host.server
            server.slots = rng.choice([2, 8])
            server.seconds = rng.choice([0.01, 0.05])
            server.repeats = RepeatedAnswers(rng=random.Random(seed), share=0.3)
            server.holds = lambda key: rng.random() < 0.7

            async def fail_some(request, responder):
                if rng.random() >= failing_share:
                    return False
                id = request.headers.get(DIALECT.request_id.lower())
                fields = [(DIALECT.request_id, id), (DIALECT.seal, b"z")]
                await responder.send(500, fields)
                return True

            server.behave = fail_some
            if keyed:
                first = 20000 * number
                mesh.grant((first, first + 19999, host.id))
        statuses, tasks = {}, []

        async def send(number):
            id = b"r%d" % number
            path, method = rng.choice([(b"/read/x", b"GET"), (b"/pay/x", b"POST")])
            headers = [(DIALECT.key, b"%d" % rng.randrange(60000))] if keyed else []
            status, _, body, _ = await mesh.ask(
                path, method=method, at=rng.randrange(3), headers=headers, id=id
            )
            statuses[id] = (status, method)
            assert status != 200 or body == b"body of " + id

        for number in range(REQUESTS):
            tasks.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(rng.expovariate(REQUESTS / SECONDS))
        await asyncio.gather(*tasks)
        await asyncio.sleep(3.0)
        for id, (status, method) in statuses.items():
            assert status not in NOT_RUN_STATUSES or not mesh.ran(id)
            assert mesh.ran(id) <= 1 or method == b"GET"
        assert sum(host.server.repeats.count for host in mesh.hosts) > 10

    run_scenario(scenario, hosts=3, keyed=keyed, routes=ROUTES)
