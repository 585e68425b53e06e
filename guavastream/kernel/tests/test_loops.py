"""The loop looks at its sockets seldom, and soon enough."""

import contextlib
import selectors
import socket

import pytest

from guavastream.kernel import EagerSelector
from guavastream.kernel.loops import LONGEST_SECONDS, MOST_ROUNDS


@pytest.fixture
def ends():
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(end) for end in socket.socketpair()]


def test_busy_rounds_skip_the_look_a_few_times(ends):
    """Guards against sockets that starve behind ready callbacks."""
    near, far = ends
    with EagerSelector(clock=lambda: 0.0) as selector:
        selector.register(near, selectors.EVENT_READ)
        selector.select(0.001)
        far.send(b"x")
        assert [bool(selector.select(0)) for _ in range(MOST_ROUNDS + 1)] == [
            *[False] * MOST_ROUNDS,
            True,
        ]


def test_sockets_are_looked_at_after_a_standstill(ends):
    """Guards against timers that end what has been answered, and waits unread."""
    near, far = ends
    now = 0.0
    with EagerSelector(clock=lambda: now) as selector:
        selector.register(near, selectors.EVENT_READ)
        selector.select(0.001)
        far.send(b"x")
        now += LONGEST_SECONDS
        assert selector.select(0)
