"""Ports of the emulated platform's machines."""

import socket

import pytest

from guavastream.platform.emulator import ReservedPorts

IPS = ["127.0.0.2", "127.0.0.3"]
# So many of each that some would be the same ports by chance.
MANY = 300


def listen(ip, port):
    """Return a socket that listens as servers do."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((ip, port))
        listening.listen()
    except OSError:
        listening.close()
        raise
    return listening


def test_reserved_ports_go_to_those_who_ask_for_them_only():
    """Guards against machines that never start since a server got their port."""
    reserved = ReservedPorts(ips=IPS[:1], count=MANY)
    for port in reserved.numbers:
        # As a process that is killed and starts again.
        listen(IPS[0], port).close()
        listen(IPS[0], port).close()
    others = [listen(IPS[0], 0) for _ in range(MANY)]
    given = {other.getsockname()[1] for other in others}
    for other in others:
        other.close()
    reserved.release()
    assert len(reserved.numbers) == MANY and not given & set(reserved.numbers)


def test_ports_that_are_taken_on_one_address_are_not_reserved():
    """Guards against machines that never start since their port is taken."""
    taken = listen(IPS[1], 0)
    port = taken.getsockname()[1]
    reserved = ReservedPorts(ips=IPS, count=6)
    assert port not in reserved.numbers
    reserved.release()
    taken.close()
    with pytest.raises(OSError):
        ReservedPorts(ips=["192.0.2.1"], count=1)
