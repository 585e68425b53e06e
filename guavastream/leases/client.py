"""Finds the leading control host and calls it."""

import asyncio

import msgspec

from guavastream.exception import CallTimeout, NotLeader, NotReady, PeerFailure
from guavastream.leases.messages import Submit
from guavastream.messages import Packed, encode_message, read_whole

__all__ = ["ControlClient"]

CALL_SECONDS = 0.25
PAUSE_SECONDS = 0.03


class ControlClient:
    """Calls control hosts until the leader answers.

    Parameters
    ----------
    transport : Transport
        Reaches the control hosts.
    addresses : tuple of str
        Peer addresses from the settings.
    """

    def __init__(self, *, transport, addresses):
        self._transport = transport
        self._addresses = list(addresses)
        self._leader = self._addresses[0]
        self._turn = 0

    @property
    def addresses(self):
        """Peer addresses of the control hosts as far as known, a tuple."""
        return tuple(self._addresses)

    def prefer(self, address):
        """Ask this control host first."""
        self._leader = address

    def learn(self, addresses):
        """Take other control hosts to ask; those known stay if none are given."""
        if addresses and set(addresses) != set(self._addresses):
            self._addresses = list(addresses)

    @property
    def leader(self):
        """Peer address of the leader as last known."""
        return self._leader

    async def call(self, request, *, timeout, attempt=CALL_SECONDS):
        """Call the leader within `timeout` seconds.

        Parameters
        ----------
        request : object
            A registered message; it may arrive more than once.
        attempt : float
            Seconds that one control host is waited for.

        Raises
        ------
        NotReady
            If no leader answered in time.
        PeerFailure
            As the leader answered.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while True:
            remaining = deadline - loop.time()
            if remaining <= 0:
                raise NotReady("No leading control host answered.")
            asked = self._leader
            try:
                return await self._ask(asked, request, min(attempt, remaining))
            except NotLeader as error:
                self._leave(asked, error.leader)
            except CallTimeout:
                self._leave(asked)
            except PeerFailure as error:
                if error.code != "not_ready":
                    raise
            await asyncio.sleep(PAUSE_SECONDS)

    async def submit(self, command, *, timeout, result=None):
        """Have a command committed and return its decoded result.

        Raises
        ------
        NotReady, PeerFailure
            As `call`. After NotReady the command may still be committed.
        """
        tag, body = encode_message(command)
        request = Submit(tag=tag, body=body)
        answer = await self.call(request, timeout=timeout, attempt=timeout)
        return msgspec.msgpack.decode(answer.result, type=result or object)

    async def call_any(self, preferred, request, *, timeout):
        """Call one control host, leading or not; `preferred` picks it.

        `timeout` is for the beginning of the answer; a large one may take
        longer, part by part.
        """
        address = self._addresses[preferred % len(self._addresses)]
        return await self._ask(address, request, timeout)

    async def begin(self, address, request, *, timeout):
        """Call one control host and return the beginning of its answer.

        `finish` returns the whole.
        """
        return await self._transport.call(address, request, timeout=timeout)

    async def finish(self, address, begun):
        """Return the whole answer that has begun to come from a control host."""
        if not isinstance(begun, Packed):
            return begun

        async def read_on(request, timeout):
            return await self._transport.call(address, request, timeout=timeout)

        return await read_whole(begun, read_on)

    async def _ask(self, address, request, timeout):
        return await self.finish(
            address, await self.begin(address, request, timeout=timeout)
        )

    def _leave(self, asked, hint=""):
        """Ask another one than `asked` from now on.

        Calls run side by side. One that waited long for a lost leader must
        not take the others away from the new one that they have found.
        """
        if self._leader == asked:
            self._leader = hint if hint and hint != asked else self._next()

    def _next(self):
        """Return the next control host in turn.

        Hints do not move the turn: two hosts that are cut off with a leader
        of before would name it and each other for ever.
        """
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]
