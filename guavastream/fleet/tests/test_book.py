"""The book: runs of keys stay whole, late messages change nothing."""

from hypothesis import given, strategies as st

from guavastream.fleet import (
    KEYS,
    Book,
    BookCodec,
    ChangeRoutes,
    GrantKeys,
    JoinInstance,
    LeaveInstance,
    ReleaseKeys,
    RemoveInstances,
    find_run,
)
from guavastream.fleet.book import FREE, cut_runs
from guavastream.kernel import replace
from guavastream.routes import Part, Repeat, Route, ServiceRules

ROWS = st.lists(
    st.tuples(st.integers(0, KEYS - 1), st.integers(0, 3000), st.sampled_from("ab")),
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


def book_of(*commands):
    book = Book()
    for index, command in enumerate(commands, 1):
        book, _ = book.apply(index, command)
    return book


def route(name="r", **changes):
    values = {
        "name": name,
        "host": "a",
        "prefix": "/x/",
        "repeat": Repeat.SAFE,
        "timeout": 1.0,
        "target": 0.1,
        "priority": 0,
        "attempts": 1,
        "parts": (Part(service="s"),),
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
def test_cut_runs_change_just_the_keys_of_their_rows(messages, rng):
    # Told by a list of all keys; no two neighbours could be one run.
    runs, keys = FREE, [("", 0)] * KEYS
    for fence, rows in enumerate(messages, 1):
        rows = [(a, min(a + length, KEYS - 1), owner) for a, length, owner in rows]
        fence = rng.choice((fence, 1))

        def take(run, row, fence=fence):
            return replace(run, owner=row[2], fence=fence)

        runs = cut_runs(runs, rows, take)
        for first, last, owner in sorted(rows, reverse=True):
            keys[first : last + 1] = [(owner, fence)] * (last + 1 - first)
    assert runs[0].first == 0 and runs[-1].last == KEYS - 1
    for before, after in zip(runs, runs[1:], strict=False):
        assert after.first == before.last + 1
        assert (before.owner, before.fence) != (after.owner, after.fence)
    for run in runs:
        assert set(keys[run.first : run.last + 1]) == {(run.owner, run.fence)}


@given(ROWS, ROWS)
def test_runs_cover_all_keys_once(granted, released):
    def rows(drawn):
        # Rows of one message never overlap.
        made, end = [], -1
        for first, length, owner in sorted(drawn):
            last = min(first + length, KEYS - 1)
            if first > end:
                made.append((first, last, owner))
                end = last
        return tuple(made)

    book = book_of(join("a", "h:1"), join("b", "h:2"))
    book, _ = book.apply(3, GrantKeys(service="s", rows=rows(granted)))
    gone = tuple((first, last, "t") for first, last, _ in rows(released))
    book, _ = book.apply(4, ReleaseKeys(service="s", owner="a", rows=gone))
    runs = book.runs_of("s")
    assert runs[0].first == 0 and runs[-1].last == KEYS - 1
    for before, after in zip(runs, runs[1:], strict=False):
        assert after.first == before.last + 1
    for first, last, owner in rows(granted):
        for key in {first, last}:
            freed = owner == "a" and any(a <= key <= b for a, b, _ in gone)
            assert find_run(runs, key).owner == ("" if freed else owner)


def test_a_held_key_is_not_granted_to_another():
    book = book_of(join("a", "h:1"), join("b", "h:2"))
    book, _ = book.apply(3, GrantKeys(service="s", rows=((0, 9, "a"),)))
    book, done = book.apply(4, GrantKeys(service="s", rows=((5, 20, "b"),)))
    assert done == ()
    assert book.owner_of("s", 5).id == "a" and book.owner_of("s", 20) is None


def test_a_late_release_does_not_take_keys_that_came_back():
    # The owner gave keys up by message 7, got them again, and then a copy of
    # its message 5, which was held up by a cut, tells of an earlier release.
    book = book_of(join("a"), GrantKeys(service="s", rows=((0, 9, "a"),)))
    gone = ReleaseKeys(service="s", owner="a", rows=((0, 9, "t"),), seq=7)
    book, _ = book.apply(3, gone)
    book, _ = book.apply(4, GrantKeys(service="s", rows=((0, 9, "a"),)))
    late = ReleaseKeys(service="s", owner="a", rows=((0, 9, "u"),), seq=5)
    book, _ = book.apply(5, late)
    assert book.owner_of("s", 3).id == "a"


def test_a_new_life_at_an_address_ends_the_old_one_for_good():
    book = book_of(join("a"), GrantKeys(service="s", rows=((0, 9, "a"),)), join("b"))
    assert "a" not in book.instances and book.owner_of("s", 3) is None
    book, joined = book.apply(4, join("a"))
    assert not joined and "a" not in book.instances


def test_leaving_outlasts_a_repeated_join():
    book = book_of(join("a"), LeaveInstance(id="a"), join("a", slots=9))
    assert book.instances["a"].leaving and book.instances["a"].slots == 9


def test_a_silent_server_may_come_back():
    book = book_of(join("a"), RemoveInstances(ids=("a",)))
    book, joined = book.apply(3, join("a"))
    assert joined


def test_a_change_is_acknowledged_again_and_races_have_one_winner():
    book = book_of(change(0, 2))
    _, answer = book.apply(2, change(0, 2))
    assert (answer.code, answer.version) == ("ok", 2)
    _, answer = book.apply(2, change(0, 2, digest=b"other"))
    assert answer.code == "conflict"
    book, _ = book.apply(2, change(2, 5))
    # Accepted long ago and asked for again: never refused.
    _, answer = book.apply(3, change(0, 2))
    assert answer.code == "ok" and book.config.version == 5


def test_what_was_accepted_outlives_a_snapshot():
    codec = BookCodec()
    book = codec.decode(codec.encode(book_of(change(0, 2), join("a"))))
    _, answer = book.apply(9, change(0, 2))
    assert answer.code == "ok" and book.instances["a"].slots == 4


def test_an_invalid_change_changes_nothing_and_names_all_findings():
    book = book_of(change(0, 2))
    bad = (
        route("p", timeout=0.0, attempts=0),
        route("q", parts=(Part(service="nobody"),)),
    )
    after, answer = book.apply(2, change(2, 2, digest=b"x", routes=bad))
    assert answer.code == "invalid" and after.config == book.config
    assert len(answer.findings) == 5


def test_named_items_are_added_replaced_and_dropped():
    book = book_of(change(0, 2, routes=(route("r"), route("o", prefix="/o/"))))
    command = change(
        2,
        3,
        whole=False,
        routes=(route("r", timeout=2.0), route("n", prefix="/n/")),
        services=(),
        drop_routes=("o",),
    )
    book, answer = book.apply(2, command)
    assert answer.code == "ok" and set(book.config.routes) == {"r", "n"}
    assert book.config.routes["r"].timeout == 2.0
    _, answer = book.apply(
        3, change(3, 4, whole=False, routes=(), services=(), drop_services=("s",))
    )
    assert answer.code == "invalid"


def test_a_late_release_does_not_take_keys_that_were_granted_anew():
    # The message was held up for seconds; meanwhile its sender gave the keys
    # up, and got them again under another fence. Freed now, they would have a
    # second owner beside it.
    row = (0, 9, "a")
    book = book_of(join("a"), GrantKeys(service="s", rows=(row,)))
    fence = find_run(book.runs_of("s"), 5).fence
    release = ReleaseKeys(service="s", owner="a", rows=((0, 9, "h"),), fences=(fence,))
    book, _ = book.apply(3, release)
    assert book.owner_of("s", 5) is None
    book, _ = book.apply(4, GrantKeys(service="s", rows=(row,)))
    book, _ = book.apply(5, release)
    assert book.owner_of("s", 5).id == "a"
