"""The selector skips polls, but still polls in time."""

import contextlib
import selectors
import socket

import pytest

from guavastream.kernel import ThrottledSelector
from guavastream.kernel.loops import MAX_POLL_INTERVAL_SECONDS, MAX_SKIPPED_POLLS


@pytest.fixture
def socket_pair():
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(item) for item in socket.socketpair()]


def test_polls_are_skipped_only_a_limited_number_of_times(socket_pair):
    """Guards against sockets that are starved by ready callbacks."""
    near, far = socket_pair
    with ThrottledSelector(clock=lambda: 0.0) as selector:
        selector.register(near, selectors.EVENT_READ)
        selector.select(0.001)
        far.send(b"x")
        assert [bool(selector.select(0)) for _ in range(MAX_SKIPPED_POLLS + 1)] == [
            *[False] * MAX_SKIPPED_POLLS,
            True,
        ]


def test_sockets_are_polled_after_the_process_was_stalled(socket_pair):
    """Guards against timeouts of requests whose answers have arrived but are unread."""
    near, far = socket_pair
    now = 0.0
    with ThrottledSelector(clock=lambda: now) as selector:
        selector.register(near, selectors.EVENT_READ)
        selector.select(0.001)
        far.send(b"x")
        now += MAX_POLL_INTERVAL_SECONDS
        assert selector.select(0)
