"""A client that finds the leading control host and calls it."""

import asyncio
from functools import partial

import msgspec

from guavastream.exception import CallTimeout, NotLeader, NotReady, PeerFailure
from guavastream.leases.messages import Submit
from guavastream.messages import (
    PART_TIMEOUT_SECONDS,
    PackedAnswer,
    encode_message,
    read_whole,
)

__all__ = ["ControlClient"]

ATTEMPT_TIMEOUT_SECONDS = 0.25
RETRY_PAUSE_SECONDS = 0.03


class ControlClient:
    """Calls control hosts until the leader answers.

    Parameters
    ----------
    transport : Transport
        Sends messages to the control hosts.
    addresses : tuple of str
        Peer addresses of the control hosts from the settings.
    """

    def __init__(self, *, transport, addresses):
        self._transport = transport
        self._addresses = list(addresses)
        self._leader = self._addresses[0]
        self._next_index = 0

    @property
    def addresses(self):
        """Known peer addresses of the control hosts, a tuple."""
        return tuple(self._addresses)

    def prefer(self, address):
        """Call this control host first."""
        self._leader = address

    def update_addresses(self, addresses):
        """Replace the known control hosts; an empty list has no effect."""
        if addresses and set(addresses) != set(self._addresses):
            self._addresses = list(addresses)

    @property
    def leader(self):
        """Peer address of the last known leader."""
        return self._leader

    async def call(self, request, *, timeout, attempt=ATTEMPT_TIMEOUT_SECONDS):
        """Call the leader, retrying for up to `timeout` seconds.

        Parameters
        ----------
        request : object
            A registered message; it may arrive more than once.
        attempt : float
            Timeout of each attempt at one control host, in seconds.

        Raises
        ------
        NotReady
            If no leader answered in time.
        PeerFailure
            If the control host answered with a failure other than `not_ready`.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while True:
            remaining = deadline - loop.time()
            if remaining <= 0:
                raise NotReady("No leading control host answered.")
            called = self._leader
            try:
                return await self._call_host(called, request, min(attempt, remaining))
            except NotLeader as error:
                self._switch_leader(called, error.leader)
            except CallTimeout:
                self._switch_leader(called)
            except PeerFailure as error:
                if error.code != "not_ready":
                    raise
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def submit(self, command, *, timeout, result=None):
        """Submit a command, wait for its commit and return its decoded result.

        Raises
        ------
        NotReady, PeerFailure
            As `call`. After NotReady the command may still be committed.
        """
        tag, body = encode_message(command)
        request = Submit(tag=tag, body=body)
        answer = await self.call(request, timeout=timeout, attempt=timeout)
        return msgspec.msgpack.decode(answer.result, type=result or object)

    async def call_any(self, position, request, *, timeout):
        """Call one control host, whether or not it leads.

        `position` selects the host and wraps around. `timeout` applies to the first
        part of the answer; a large answer may take longer, as it is read in parts.
        """
        address = self._addresses[position % len(self._addresses)]
        return await self._call_host(address, request, timeout)

    async def begin(self, address, request, timeout):
        """Call one control host and return the first part of its answer.

        Pass it to `finish` to get the complete answer.
        """
        return await self._transport.call(address, request, timeout=timeout)

    async def begin_indirectly(self, address, request, *, timeout):
        """Do the same as `begin` by another path, if there is one."""
        return await self._transport.call_indirectly(address, request, timeout=timeout)

    async def finish(self, begun, call, *, part_timeout=PART_TIMEOUT_SECONDS):
        """Return the complete answer whose first part `begin` returned.

        `call` is a coroutine function that takes a request for a part and a timeout in
        seconds, and calls the control host. `part_timeout` is the time allowed for each
        further part, seconds.
        """
        if not isinstance(begun, PackedAnswer):
            return begun
        return await read_whole(begun, call, timeout=part_timeout)

    async def _call_host(self, address, request, timeout):
        call = partial(self.begin, address)
        return await self.finish(await call(request, timeout), call)

    def _switch_leader(self, called, hint=""):
        """Call another control host from now on, unless `called` was replaced already.

        Calls run concurrently. A call that timed out at a lost leader must not undo
        the switch to a new leader that another call has found meanwhile.
        """
        if self._leader == called:
            self._leader = hint if hint and hint != called else self._next_address()

    def _next_address(self):
        """Return the next control host in round-robin order.

        Leader hints do not advance it. Otherwise two hosts that are cut off from the
        majority and keep naming a former leader would be called in turn forever.
        """
        self._next_index += 1
        return self._addresses[self._next_index % len(self._addresses)]
