"""Requests of a route that names regions reach no server elsewhere."""

import pytest

from guavastream.relay.tests.rig import route, run_scenario
from guavastream.routes import RetrySafety

REGIONS = {"a": "north", "b": "south"}
ROUTES = (
    route("read", regions=("north",)),
    route("load", RetrySafety.UPLOAD, regions=("north",)),
    route("any"),
)


def zones_with_runs(mesh):
    return {host.zone for host in mesh.hosts if host.server.ran}


def test_requests_go_to_servers_of_the_allowed_regions_only():
    async def scenario(mesh):
        for number in range(12):
            path = b"/read/%d" % number
            assert (await mesh.ask(path, at=number % 4))[0] == 200
            answer = await mesh.ask(
                b"/load/%d" % number, method=b"POST", at=number % 4, body=b"x" * 2000
            )
            assert answer[0] == 200
        assert zones_with_runs(mesh) == {"a"}
        # Bodies reach no host elsewhere but the one that the caller asked.
        assert all(host.hop_requests == 0 for host in mesh.hosts if host.zone == "b")
        for number in range(12):
            assert (await mesh.ask(b"/any/%d" % number, at=number % 4))[0] == 200
        assert zones_with_runs(mesh) == {"a", "b"}

    run_scenario(scenario, hosts=4, routes=ROUTES, regions=REGIONS)


@pytest.mark.parametrize("owner, status", [(1, 503), (2, 200)])
def test_a_key_whose_owner_is_in_another_region_is_refused(owner, status):
    # Hosts 1 and 3 are in zone b, hosts 2 and 4 in zone a.
    async def scenario(mesh):
        mesh.grant((0, 65535, f"i{owner}"))
        key = [(b"Guavastream-Key", b"7")]
        answer = await mesh.ask(b"/read/1", at=0, headers=key)
        assert answer[0] == status
        assert zones_with_runs(mesh) == ({"a"} if status == 200 else set())

    run_scenario(scenario, hosts=4, routes=ROUTES, regions=REGIONS, keyed=True)
