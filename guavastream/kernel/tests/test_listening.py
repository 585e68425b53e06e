"""Listening sockets leave out connections that nobody waits on."""

import select
import socket

import pytest

from guavastream.kernel import open_listener


@pytest.fixture
def listener():
    allowed = []
    opened = open_listener(
        ("127.0.0.1", 0), receive_bytes=1 << 15, may_accept=lambda: not allowed
    )
    opened.listen(8)
    opened.allowed = allowed
    yield opened
    opened.close()


def connect(listener):
    client = socket.create_connection(listener.getsockname())
    select.select([listener], [], [])
    return client


def test_connections_that_have_ended_are_not_accepted(listener):
    """Guards against clients that leave at once and fill the queue for all others."""
    for _ in range(3):
        connect(listener).close()
    with connect(listener) as waiting:
        connection, address = listener.accept()
        with connection:
            assert address == waiting.getsockname()
    with pytest.raises(BlockingIOError):
        listener.accept()


def test_connections_wait_in_the_kernel_while_none_may_be_accepted(listener):
    """Guards against requests that are accepted faster than they can begin."""
    with connect(listener):
        listener.allowed.append(False)
        with pytest.raises(BlockingIOError):
            listener.accept()
        listener.allowed.clear()
        connection, _ = listener.accept()
        connection.close()
