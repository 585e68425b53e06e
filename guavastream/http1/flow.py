"""What both ends of a connection share: writing, and waiting while it is full."""

import asyncio

from guavastream.http1.message import tune_socket

__all__ = ["FlowProtocol"]


class FlowProtocol(asyncio.Protocol):
    """A connection that bytes are written to, with back-pressure both ways."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        self._transport = transport
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

    async def drain(self):
        """Wait while the peer does not read."""
        if not self._writable.is_set():
            await self._writable.wait()

    def abort(self):
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _pause(self):
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume(self):
        if not self._transport.is_closing():
            self._transport.resume_reading()
