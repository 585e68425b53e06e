"""Listening sockets leave out connections that nobody waits on."""

import select
import socket

import pytest

from guavastream.kernel import open_listener
from guavastream.kernel.listening import MAX_ACCEPTS_WHILE_BUSY


@pytest.fixture
def listener():
    busy = []
    opened = open_listener(
        ("127.0.0.1", 0), receive_bytes=1 << 15, is_busy=lambda: bool(busy)
    )
    opened.listen(8)
    opened.busy = busy
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


def test_few_connections_are_accepted_at_a_time_while_there_is_other_work(listener):
    """Guards against requests that come faster than they begin, and against none."""
    clients = [connect(listener) for _ in range(2 * MAX_ACCEPTS_WHILE_BUSY)]
    listener.busy.append(True)
    for _ in range(2):
        for _ in range(MAX_ACCEPTS_WHILE_BUSY):
            listener.accept()[0].close()
        with pytest.raises(BlockingIOError):
            listener.accept()
    for client in clients:
        client.close()
