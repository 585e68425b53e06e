"""Listening sockets: their queue, the buffers of their connections, and their end."""

import array
import select
import socket
import struct

__all__ = [
    "LiveListener",
    "drop_new_connections",
    "has_socket_event",
    "open_listener",
]

# From <linux/filter.h> and <asm-generic/socket.h>.
SO_ATTACH_FILTER = 26
LOAD_BYTE = 0x30
AND = 0x54
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
FLAGS_OFFSET = 13
SYN = 0x02
SYN_ACK_MASK = 0x12
ACCEPT_PACKET = 0xFFFFFFFF

# Connections in a row that have ended before they were accepted; a few microseconds
# each.
MAX_ENDED_CONNECTIONS = 64
MAX_ACCEPTS_WHILE_BUSY = 4

# Instructions: opcode, jump if true, jump if false, operand. Returning 0 drops the
# packet.
SYN_FILTER = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_ACK_MASK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, ACCEPT_PACKET),
)


class LiveListener(socket.socket):
    """A listening socket that does not accept connections which have ended.

    Clients may connect, send and leave faster than connections can be accepted. Those
    that have left fill the queue before the ones that wait.

    Attributes
    ----------
    is_busy : callable
        Whether other work should go on between two connections; then few are accepted
        at a time.
    """

    is_busy = staticmethod(lambda: False)
    _accepted_while_busy = 0

    def accept(self):
        """Accept the next connection whose peer has not closed it.

        Raises
        ------
        BlockingIOError
            If there is none, or so many were accepted or had ended that other work
            should go on first.
        """
        if self.is_busy():
            if self._accepted_while_busy >= MAX_ACCEPTS_WHILE_BUSY:
                self._accepted_while_busy = 0
                raise BlockingIOError
            self._accepted_while_busy += 1
        for _ in range(MAX_ENDED_CONNECTIONS):
            connection, address = super().accept()
            if not has_socket_event(connection, select.POLLRDHUP):
                return connection, address
            connection.close()
        raise BlockingIOError


def has_socket_event(sock, event):
    """Whether an event of `select.poll`, such as POLLIN, has occurred at a socket."""
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))


def open_listener(address, *, receive_bytes, is_busy):
    """Return a bound `LiveListener`.

    Parameters
    ----------
    address : tuple
        IP address and port.
    receive_bytes : int
        Size of the receive buffer of each connection, in bytes. Without it the kernel
        enlarges the buffers of connections that are read quickly.
    is_busy : callable
        Whether few connections should be accepted at a time.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    listener = LiveListener()
    listener.is_busy = is_busy
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def drop_new_connections(listener):
    """Drop the SYN packet of each new connection to a listening socket.

    Parameters
    ----------
    listener : socket.socket
        A listening TCP socket.

    Notes
    -----
    A classic BPF filter drops segments with SYN and without ACK. The client sends
    them again after one second; by then the socket is closed, and the connection is
    refused. Handshakes that have already started are completed.

    References
    ----------
    .. [1] S. McCanne and V. Jacobson, "The BSD Packet Filter", USENIX Winter
       1993; socket(7), SO_ATTACH_FILTER.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in SYN_FILTER)
    buffer = array.array("B", code)
    address, _ = buffer.buffer_info()
    program = struct.pack("HP", len(SYN_FILTER), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
