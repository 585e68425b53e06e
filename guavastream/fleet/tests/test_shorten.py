"""A shortened change has the effect of the whole one, whatever it changes."""

import random

import pytest

from guavastream.fleet import Book, ChangeRoutes, shorten_change
from guavastream.routes import CallerLimits, Part, Repeat, Route, ServiceRules


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
            repeat=Repeat.SAFE,
            timeout=rng.choice((0.0, 1.0, 1.0, 1.0)),
            target=0.1,
            priority=0,
            attempts=1,
            parts=(Part(service=rng.choice("stu")),),
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
def test_the_effect_is_that_of_the_whole_change(seed):
    rng = random.Random(seed)
    book = Book()
    taken = 0
    for version in range(1, 400):
        base = book.config.version if rng.random() < 0.9 else rng.randrange(version)
        change = random_change(rng, base, version)
        short = shorten_change(change, book.config)
        if rng.random() < 0.1:
            # Another change is committed before this one.
            other = random_change(rng, book.config.version, version)
            book, _ = book.apply(book.index + 1, other)
        whole, said = book.apply(book.index + 1, change)
        book, said_short = book.apply(book.index + 1, short)
        assert said_short.code == said.code and said_short.version == said.version
        assert book.config == whole.config and book.accepted == whole.accepted
        taken += said.code == "ok"
    assert taken > 10
