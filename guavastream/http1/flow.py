"""What both ends of a connection share: writing, and waiting while it is full."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

from guavastream.http1.message import tune_socket
from guavastream.kernel import Signal

__all__ = ["FlowProtocol"]

# Most bytes that are read at a time.
READ_BYTES = 64 << 10
# On, for no time: closing ends the connection with a reset.
LINGER_NONE = struct.pack("ii", 1, 0)
_INT = struct.Struct("i")


class FlowProtocol(asyncio.Protocol):
    """A connection that bytes are written to, with back-pressure both ways."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._arrived = Signal(loop=self._loop)
        self._writable = Signal(loop=self._loop)
        self._writable.set()

    def connection_made(self, transport):
        self._transport = transport
        # By default the loop takes 256 KB anew for each read, which the
        # system maps and unmaps each time.
        transport.max_size = READ_BYTES
        tune_socket(transport)

    def connection_lost(self, error):
        self._writable.set()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def write(self, data):
        """Queue bytes to the peer."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def has_unread(self):
        """Whether bytes of the peer have come that were not read yet."""
        sock = self._transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        unread = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
        return _INT.unpack(unread)[0] > 0

    async def drain(self):
        """Wait while the peer does not read."""
        await self._writable.wait()

    def abort(self):
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self):
        """Reset the connection, and take back what the peer has not read."""
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            # Without it the peer's system keeps what has arrived for it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.abort()

    def _pause(self):
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume(self):
        if not self._transport.is_closing():
            self._transport.resume_reading()
