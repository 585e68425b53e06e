"""Plays the clients of one flood against an address, in a process of its own."""

import argparse
import asyncio
import contextlib
import socket
import time

from guavastream.platform.flood_forms import FLOODS

__all__ = ["main", "play"]

# Pause of a client before it connects again; it bounds what a refused one costs.
RECONNECT_SECONDS = 0.02
READ_BYTES = 64 << 10
# Most bytes that all clients of a flood send.
MAX_SENT_BYTES = 4 << 30


class Clients:
    """The clients of one flood.

    Parameters
    ----------
    flood : Flood
        What each of them does.
    address : tuple
        IP address and port.
    """

    def __init__(self, *, flood, address):
        self._flood = flood
        self._address = address
        self._loop = asyncio.get_running_loop()
        self.sent_bytes = 0
        self.connection_count = 0

    async def run(self, seconds):
        """Play for some seconds."""
        count = self._flood.connections
        tasks = [asyncio.ensure_future(self._play_client()) for _ in range(count)]
        await asyncio.wait(tasks, timeout=seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _play_client(self):
        while self.sent_bytes < MAX_SENT_BYTES:
            with socket.socket() as sock:
                sock.setblocking(False)
                with contextlib.suppress(OSError):
                    await self._loop.sock_connect(sock, self._address)
                    self.connection_count += 1
                    await self._play_connection(sock)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _play_connection(self, sock):
        flood = self._flood
        for piece in flood.pieces():
            await self._loop.sock_sendall(sock, piece)
            self.sent_bytes += len(piece)
            if flood.reads and not await self._loop.sock_recv(sock, READ_BYTES):
                return
            if flood.pause:
                await asyncio.sleep(flood.pause)
        if flood.holds:
            await self._hold(sock)

    async def _hold(self, sock):
        """Keep a connection open until the other end closes it."""
        while True:
            await asyncio.sleep(1.0)
            flags = 0 if self._flood.read_bytes else socket.MSG_PEEK
            try:
                if not sock.recv(self._flood.read_bytes or 1, flags):
                    return
            except BlockingIOError:
                continue


async def play(name, address, seconds):
    """Play one of `FLOODS` against an address, and return its `Clients`."""
    clients = Clients(flood=FLOODS[name], address=address)
    await clients.run(seconds)
    return clients


def main():
    """Play the flood that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", choices=FLOODS)
    parser.add_argument("ip")
    parser.add_argument("port", type=int)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    began = time.monotonic()
    clients = asyncio.run(
        play(arguments.name, (arguments.ip, arguments.port), arguments.seconds)
    )
    took = time.monotonic() - began
    print(
        f"{clients.connection_count} connections, "
        f"{clients.sent_bytes >> 20} MB in {took:.1f} s"
    )


if __name__ == "__main__":
    main()
