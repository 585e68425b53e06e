"""Base protocol of client and server connections: writing with back-pressure."""

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios

from guavastream.http1.message import tune_socket
from guavastream.kernel import Signal, has_socket_event

__all__ = ["FlowProtocol"]

# Largest number of bytes per read from a socket.
READ_BYTES = 64 << 10
# SO_LINGER enabled with a timeout of 0: closing the socket sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)
_INT = struct.Struct("i")


class FlowProtocol(asyncio.Protocol):
    """A connection with back-pressure for both reading and writing."""

    # Size of the kernel's receive buffer; 0 if the listener has set it.
    _receive_buffer_bytes = 0

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._written_bytes = 0
        self._progress = Signal(loop=self._loop)
        self._writable = Signal(loop=self._loop)
        self._writable.set()

    def connection_made(self, transport):
        self._transport = transport
        # By default the event loop allocates a 256 KB buffer for each read, and the
        # operating system maps and unmaps that memory every time.
        transport.max_size = READ_BYTES
        tune_socket(transport, receive_bytes=self._receive_buffer_bytes)

    def connection_lost(self, error):
        self._writable.set()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def write(self, data):
        """Queue bytes for sending, unless the connection is closing.

        Return False if surely none of them was or will be sent. That is so if the
        buffer was empty, since the transport then writes at once, and closes if that
        fails.
        """
        transport = self._transport
        if transport.is_closing():
            return False
        was_empty = not transport.get_write_buffer_size()
        self._written_bytes += len(data)
        transport.write(data)
        return not (was_empty and transport.is_closing())

    def has_unread(self):
        """Whether the socket's receive buffer holds data that was not read yet."""
        sock = self._transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        unread = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
        return _INT.unpack(unread)[0] > 0

    def has_pending_event(self):
        """Whether the socket has data, its end or an error that was not read yet."""
        return self._has_event(select.POLLIN)

    def has_hung_up(self):
        """Whether the peer has ended the connection, perhaps behind unread data."""
        return self._has_event(select.POLLRDHUP)

    def _has_event(self, event):
        sock = self._transport.get_extra_info("socket")
        number = sock.fileno() if sock is not None else None
        if not isinstance(number, int) or number < 0:
            return False
        return has_socket_event(sock, event)

    async def drain(self):
        """Wait until the write buffer has room again."""
        await self._writable.wait()

    def abort(self):
        """Close the connection at once and discard data that was not sent."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self):
        """Send a TCP reset, so that the peer loses data that it has not read."""
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            # Without SO_LINGER the peer's operating system would still deliver the
            # data that it has received.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.abort()

    def _pause(self):
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume(self):
        if not self._transport.is_closing():
            self._transport.resume_reading()
