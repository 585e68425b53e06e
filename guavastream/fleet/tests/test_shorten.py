"""An incremental change has the same effect as the full change it is made from."""

import random

import pytest

from guavastream.fleet import ChangeRoutes, FleetState, make_incremental
from guavastream.routes import (
    CallerLimits,
    RetrySafety,
    Route,
    ServiceRules,
    WeightedService,
)


def random_change(rng, base, version):
    services = [
        ServiceRules(name=name, connections=rng.choice((1, 2)))
        for name in "stu"
        if rng.random() < 0.8
    ]
    routes = [
        Route(
            name=name,
            host="a",
            prefix=rng.choice((f"/{name}/", f"/{name}/x/", "/same/")),
            retry_safety=RetrySafety.SAFE,
            timeout=rng.choice((0.0, 1.0, 1.0, 1.0)),
            target=0.1,
            priority=0,
            attempts=1,
            weighted_services=(WeightedService(service=rng.choice("stu")),),
        )
        for name in rng.choices("abcdefgh", k=5)
    ]
    return ChangeRoutes(
        base=base,
        version=version,
        digest=str(version).encode(),
        whole=True,
        routes=tuple(routes),
        services=tuple(services),
        limits=rng.choice((None, CallerLimits(body_bytes=rng.randrange(9)))),
    )


@pytest.mark.parametrize("seed", range(5))
def test_an_incremental_change_has_the_effect_of_the_full_one(seed):
    rng = random.Random(seed)
    state = FleetState()
    accepted = 0
    for version in range(1, 400):
        base = state.config.version if rng.random() < 0.9 else rng.randrange(version)
        change = random_change(rng, base, version)
        reduced = make_incremental(change, state.config)
        if rng.random() < 0.1:
            # Another change is committed first.
            other = random_change(rng, state.config.version, version)
            state, _ = state.apply(state.index + 1, other)
        expected, result = state.apply(state.index + 1, change)
        state, reduced_result = state.apply(state.index + 1, reduced)
        assert (
            reduced_result.code == result.code
            and reduced_result.version == result.version
        )
        assert (
            state.config == expected.config
            and state.accepted_changes == expected.accepted_changes
        )
        accepted += result.code == "ok"
    assert accepted > 10
