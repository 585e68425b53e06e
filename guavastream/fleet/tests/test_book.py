"""Ownership of keys, late messages and configuration changes in the fleet state."""

from hypothesis import given, strategies as st

from guavastream.fleet import (
    KEY_COUNT,
    ChangeRoutes,
    FleetState,
    FleetStateCodec,
    GrantKeys,
    JoinInstance,
    LeaveInstance,
    ReleaseKeys,
    RemoveInstances,
    find_run,
)
from guavastream.fleet.book import ALL_FREE, update_runs
from guavastream.kernel import replace
from guavastream.routes import RetrySafety, Route, ServiceRules, WeightedService

ROWS = st.lists(
    st.tuples(
        st.integers(0, KEY_COUNT - 1), st.integers(0, 3000), st.sampled_from("ab")
    ),
    max_size=6,
)


def join(id, address="h:1", **changes):
    values = {
        "id": id,
        "service": "s",
        "host": "h",
        "door": "d",
        "address": address,
        "zone": "z",
        "slots": 4,
    }
    return JoinInstance(**values | changes)


def state_of(*commands):
    state = FleetState()
    for index, command in enumerate(commands, 1):
        state, _ = state.apply(index, command)
    return state


def route(name="r", **changes):
    values = {
        "name": name,
        "host": "a",
        "prefix": "/x/",
        "retry_safety": RetrySafety.SAFE,
        "timeout": 1.0,
        "target": 0.1,
        "priority": 0,
        "attempts": 1,
        "weighted_services": (WeightedService(service="s"),),
    }
    return Route(**values | changes)


def change(base, version, *, digest=None, **items):
    defaults = {
        "whole": True,
        "routes": (route(),),
        "services": (ServiceRules(name="s"),),
    }
    digest = digest or f"{base} {version}".encode()
    return ChangeRoutes(base=base, version=version, digest=digest, **defaults | items)


@given(st.lists(ROWS, max_size=8), st.randoms(use_true_random=False))
def test_update_runs_changes_only_the_keys_in_the_rows(messages, rng):
    # Compares with a list of all keys. Also guards against adjacent runs that differ
    # in nothing but their bounds and should be one run.
    runs, keys = ALL_FREE, [("", 0)] * KEY_COUNT
    for fence, rows in enumerate(messages, 1):
        rows = [(a, min(a + length, KEY_COUNT - 1), owner) for a, length, owner in rows]
        fence = rng.choice((fence, 1))

        def assign(run, row, fence=fence):
            return replace(run, owner=row[2], fence=fence)

        runs = update_runs(runs, rows, assign)
        for first, last, owner in sorted(rows, reverse=True):
            keys[first : last + 1] = [(owner, fence)] * (last + 1 - first)
    assert runs[0].first == 0 and runs[-1].last == KEY_COUNT - 1
    for before, after in zip(runs, runs[1:], strict=False):
        assert after.first == before.last + 1
        assert (before.owner, before.fence) != (after.owner, after.fence)
    for run in runs:
        assert set(keys[run.first : run.last + 1]) == {(run.owner, run.fence)}


@given(ROWS, ROWS)
def test_runs_cover_every_key_exactly_once(granted, released):
    def rows(drawn):
        # The rows of one message never overlap.
        made, end = [], -1
        for first, length, owner in sorted(drawn):
            last = min(first + length, KEY_COUNT - 1)
            if first > end:
                made.append((first, last, owner))
                end = last
        return tuple(made)

    state = state_of(join("a", "h:1"), join("b", "h:2"))
    state, _ = state.apply(3, GrantKeys(service="s", rows=rows(granted)))
    gone = tuple((first, last, "t") for first, last, _ in rows(released))
    state, _ = state.apply(4, ReleaseKeys(service="s", owner="a", rows=gone))
    runs = state.runs_of("s")
    assert runs[0].first == 0 and runs[-1].last == KEY_COUNT - 1
    for before, after in zip(runs, runs[1:], strict=False):
        assert after.first == before.last + 1
    for first, last, owner in rows(granted):
        for key in {first, last}:
            freed = owner == "a" and any(a <= key <= b for a, b, _ in gone)
            assert find_run(runs, key).owner == ("" if freed else owner)


def test_an_owned_key_is_not_granted_to_another_server():
    state = state_of(join("a", "h:1"), join("b", "h:2"))
    state, _ = state.apply(3, GrantKeys(service="s", rows=((0, 9, "a"),)))
    state, done = state.apply(4, GrantKeys(service="s", rows=((5, 20, "b"),)))
    assert done == ()
    assert state.owner_of("s", 5).id == "a" and state.owner_of("s", 20) is None


def test_a_release_with_an_old_sequence_number_is_ignored():
    # The owner releases keys in message 7 and is granted them again. Then its
    # message 5 arrives, which a network fault delayed and which reports an earlier
    # release. It must not free the keys.
    state = state_of(join("a"), GrantKeys(service="s", rows=((0, 9, "a"),)))
    gone = ReleaseKeys(service="s", owner="a", rows=((0, 9, "t"),), seq=7)
    state, _ = state.apply(3, gone)
    state, _ = state.apply(4, GrantKeys(service="s", rows=((0, 9, "a"),)))
    late = ReleaseKeys(service="s", owner="a", rows=((0, 9, "u"),), seq=5)
    state, _ = state.apply(5, late)
    assert state.owner_of("s", 3).id == "a"


def test_a_server_replaced_at_its_address_cannot_rejoin():
    state = state_of(join("a"), GrantKeys(service="s", rows=((0, 9, "a"),)), join("b"))
    assert "a" not in state.instances and state.owner_of("s", 3) is None
    state, joined = state.apply(4, join("a"))
    assert not joined and "a" not in state.instances


def test_a_leaving_server_stays_leaving_when_it_joins_again():
    state = state_of(join("a"), LeaveInstance(id="a"), join("a", slots=9))
    assert state.instances["a"].leaving and state.instances["a"].slots == 9


def test_a_server_removed_for_silence_may_rejoin():
    state = state_of(join("a"), RemoveInstances(ids=("a",)))
    state, joined = state.apply(3, join("a"))
    assert joined


def test_a_resent_change_is_acknowledged_and_a_concurrent_one_conflicts():
    state = state_of(change(0, 2))
    _, answer = state.apply(2, change(0, 2))
    assert (answer.code, answer.version) == ("ok", 2)
    _, answer = state.apply(2, change(0, 2, digest=b"other"))
    assert answer.code == "conflict"
    state, _ = state.apply(2, change(2, 5))
    # An accepted change is acknowledged even if a later one has replaced it.
    _, answer = state.apply(3, change(0, 2))
    assert answer.code == "ok" and state.config.version == 5


def test_accepted_changes_are_kept_in_a_snapshot():
    codec = FleetStateCodec()
    state = codec.decode(codec.encode(state_of(change(0, 2), join("a"))))
    _, answer = state.apply(9, change(0, 2))
    assert answer.code == "ok" and state.instances["a"].slots == 4


def test_an_invalid_change_is_refused_with_all_findings():
    state = state_of(change(0, 2))
    bad = (
        route("p", timeout=0.0, attempts=0),
        route("q", weighted_services=(WeightedService(service="nobody"),)),
    )
    after, answer = state.apply(2, change(2, 2, digest=b"x", routes=bad))
    assert answer.code == "invalid" and after.config == state.config
    assert len(answer.findings) == 5


def test_an_incremental_change_adds_replaces_and_drops_items():
    state = state_of(change(0, 2, routes=(route("r"), route("o", prefix="/o/"))))
    command = change(
        2,
        3,
        whole=False,
        routes=(route("r", timeout=2.0), route("n", prefix="/n/")),
        services=(),
        drop_routes=("o",),
    )
    state, answer = state.apply(2, command)
    assert answer.code == "ok" and set(state.config.routes) == {"r", "n"}
    assert state.config.routes["r"].timeout == 2.0
    _, answer = state.apply(
        3, change(3, 4, whole=False, routes=(), services=(), drop_services=("s",))
    )
    assert answer.code == "invalid"


def test_a_release_with_an_old_fence_is_ignored():
    # A release is delivered a second time, after its sender was granted the keys
    # again under a new fence. If it freed them, they could be granted to a second
    # owner while the first one still holds them.
    row = (0, 9, "a")
    state = state_of(join("a"), GrantKeys(service="s", rows=(row,)))
    fence = find_run(state.runs_of("s"), 5).fence
    release = ReleaseKeys(service="s", owner="a", rows=((0, 9, "h"),), fences=(fence,))
    state, _ = state.apply(3, release)
    assert state.owner_of("s", 5) is None
    state, _ = state.apply(4, GrantKeys(service="s", rows=(row,)))
    state, _ = state.apply(5, release)
    assert state.owner_of("s", 5).id == "a"
