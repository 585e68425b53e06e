"""Make a listening socket ignore new connections without resetting any."""

import array
import socket
import struct

__all__ = ["drop_new_connections"]

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
