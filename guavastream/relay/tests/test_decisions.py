"""Decisions about a request hold at the moment at which it is written to its server."""

import asyncio

import pytest

from guavastream.fleet import (
    GrantKeys,
    LeaveInstance,
    RemoveInstances,
    SetEvacuation,
)
from guavastream.kernel import replace
from guavastream.relay.tests.rig import DIALECT, route, run_scenario

# Long enough for a change to come into force while a request runs.
ROUTES = (route("read", timeout=8.0, target=4.0),)
RUN_SECONDS = 3.0
KEY = 5


def leave(mesh, host):
    mesh.apply(LeaveInstance(id=host.id))


def announce(mesh, host):
    host.guard.note_leaving(host.id)


def remove(mesh, host):
    mesh.apply(RemoveInstances(ids=(host.id,)))


def evacuate(mesh, host):
    mesh.apply(SetEvacuation(zone=host.zone, active=True))
    host.guard._evacuated_at[host.id] = -10.0


def move_key(mesh, host):
    mesh.apply(GrantKeys(service="s", rows=((0, 99, "i2"),)))
    host.guard.set_held_keys(host.id, (), until=float("inf"))


def limit(mesh, host):
    limiter = host.guard._rate_limiter
    limiter.set_named_rate(host.id, 0.5)
    # Another request takes what the limit allows in two seconds.
    asyncio.get_running_loop().call_later(RUN_SECONDS - 1.0, limiter.note_sent)


def lose_confirmation(mesh, host):
    confirmation = host.fleet_holder.confirmation
    confirmation._max_age = 1.0
    confirmation.note(asyncio.get_running_loop().time() - 2.0)


def reroute(mesh, host):
    config = mesh.fleet_state.config
    mesh.fleet_state = replace(
        mesh.fleet_state,
        index=mesh.fleet_state.index + 1,
        config=replace(config, version=2, routes={}),
    )
    host.fleet_holder.replace(mesh.fleet_state)


CHANGES = [
    leave,
    announce,
    remove,
    evacuate,
    move_key,
    limit,
    lose_confirmation,
    reroute,
]


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("moment", ["resend", "connection"])
def test_a_request_is_not_written_to_a_server_that_may_no_longer_get_it(change, moment):
    """Guards against decisions that are older than the request that goes out."""

    async def scenario(mesh):
        host, keyed = mesh.hosts[0], change is move_key
        mesh.grant((0, 99, host.id))
        headers = [(DIALECT.key, b"%d" % KEY)] if keyed else []
        host.guard.set_held_keys(host.id, ((0, 99, 1),), until=float("inf"))
        assert (await mesh.ask(b"/read/0", headers=headers))[0] == 200
        arrivals = []
        host.server.on_arrival = arrivals.append
        if moment == "resend":
            host.server.seconds = RUN_SECONDS

            async def lose(request, responder):
                responder.abort()
                return True

            host.server.behave = lose
        else:
            client = host.guard._server._client
            client.close_idle(host.server.address)
            open_connection = client.open

            async def open_slowly(address, **options):
                await asyncio.sleep(RUN_SECONDS)
                return await open_connection(address, **options)

            client.open = open_slowly
        ask = asyncio.ensure_future(
            mesh.ask(b"/read/1", headers=headers, deadline=7000)
        )
        await asyncio.sleep(0.5)
        change(mesh, host)
        status, *_ = await ask
        before = 1 if moment == "resend" else 0
        assert len(arrivals) == before
        # It may have run if it was written once, and surely has not otherwise.
        assert status == (502 if before else 503)

    run_scenario(scenario, hosts=1, keyed=True, routes=ROUTES)


def test_a_connection_opened_for_a_request_that_is_refused_is_used_again():
    """Guards against one more connection for each request that is refused late."""

    async def scenario(mesh):
        host = mesh.hosts[0]
        client = host.guard._server._client
        host.guard._rate_limiter.set_named_rate(host.id, 1.0)
        slots = asyncio.gather(*(mesh.ask(b"/read/%d" % n) for n in range(4)))
        assert {status for status, *_ in await slots} == {200, 503}
        host.guard._rate_limiter.set_named_rate(host.id, None)
        opened = client.opened_count
        assert (await mesh.ask(b"/read/5"))[0] == 200
        assert client.opened_count == opened

    run_scenario(scenario, hosts=1, routes=ROUTES)
