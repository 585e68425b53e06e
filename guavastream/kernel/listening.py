"""Listening sockets: their queue, the buffers of their connections, and their end."""

import array
import os
import socket
import struct

__all__ = ["bound_listener", "drop_new_connections"]

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

# Instructions: opcode, jump if true, jump if false, operand. Returning 0 drops the
# packet.
SYN_FILTER = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_ACK_MASK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, ACCEPT_PACKET),
)


def bound_listener(listener, *, backlog, receive_bytes):
    """Set the queue of a listening socket, and the buffers of its connections.

    Parameters
    ----------
    listener : socket.socket
        A listening TCP socket.
    backlog : int
        Connections that may wait to be accepted.
    receive_bytes : int
        Size of the receive buffer of each connection, in bytes. Without it the kernel
        enlarges the buffers of connections that are read quickly.
    """
    if not isinstance(listener.fileno(), int):
        # A socket of an event loop for tests.
        return
    with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
        duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        duplicate.listen(backlog)


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
