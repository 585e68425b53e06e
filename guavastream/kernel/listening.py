"""Stop a listening socket from taking connections, without cutting any."""

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
SYN_AND_ACK = 0x12
WHOLE_PACKET = 0xFFFFFFFF

# Each instruction: code, jump if true, jump if false, operand.
PROGRAM = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_AND_ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)


def drop_new_connections(listener):
    """Drop the first packet of each new connection to a listening socket.

    Parameters
    ----------
    listener : socket.socket
        A listening TCP socket.

    Notes
    -----
    A classic packet filter drops segments with SYN and without ACK. The
    other end sends them again after a second; by then the socket is closed
    and it is refused. Handshakes that have begun are completed.

    References
    ----------
    .. [1] S. McCanne and V. Jacobson, "The BSD Packet Filter", USENIX Winter
       1993; socket(7), SO_ATTACH_FILTER.
    """
    code = b"".join(struct.pack("HBBI", *step) for step in PROGRAM)
    buffer = array.array("B", code)
    address, _ = buffer.buffer_info()
    program = struct.pack("HP", len(PROGRAM), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
