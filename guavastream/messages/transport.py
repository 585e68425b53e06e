"""Interfaces of transports between processes: each call has one answer."""

import abc

from guavastream.exception import NotLeader, PeerFailure
from guavastream.messages.codec import message

__all__ = ["Failure", "PeerNetwork", "Transport", "failure_of", "raise_failure"]


@message
class Failure:
    """Answer of a peer that failed to handle a request.

    `code` is the code of the error, and `leader` the peer address of the leading
    control host if it is known.
    """

    code: str
    text: str = ""
    leader: str = ""


class Transport(abc.ABC):
    """Sends requests to peers by address and returns their answers."""

    @abc.abstractmethod
    async def call(self, address, request, *, timeout):
        """Send `request` and return the peer's answer.

        Parameters
        ----------
        address : str
            IP:PORT of the peer.
        request : object
            A registered message.
        timeout : float
            Seconds to wait for the answer.

        Raises
        ------
        CallTimeout
            If no answer arrived in time. The peer may have handled the request.
        NotLeader, PeerFailure
            As the peer answered.
        """

    async def call_indirectly(self, address, request, *, timeout):
        """Do the same by another path than `call`, if there is one."""
        return await self.call(address, request, timeout=timeout)

    async def is_refused(self, address, *, timeout):
        """Return whether the peer's host says that no process listens there.

        False also if it says nothing within `timeout` seconds.
        """
        return False

    def close(self):
        """Close all connections."""


class PeerNetwork(abc.ABC):
    """Creates the transport and the servers of one process."""

    @abc.abstractmethod
    def transport(self, *, on_reconnect, on_late):
        """Return the `Transport` by which this process calls others.

        Parameters
        ----------
        on_reconnect : callable
            Called with the address of each silent connection that was replaced.
        on_late : callable
            Called with the size of each answer that arrived after its call had ended.
        """

    @abc.abstractmethod
    def server(self, *, address, handler, on_malformed):
        """Return a server for calls to this process, with `start` and `close`.

        Parameters
        ----------
        address : str
            IP:PORT to bind.
        handler : callable
            Coroutine function that takes a request message and returns its answer.
        on_malformed : callable
            Called for each message that is malformed or dropped.
        """


def failure_of(error):
    """Return the `Failure` message that reports an error to the calling process."""
    code = getattr(error, "code", "internal")
    return Failure(code=code, text=str(error), leader=getattr(error, "leader", ""))


def raise_failure(answer):
    """Return `answer`, or raise the error if it is a `Failure`."""
    if not isinstance(answer, Failure):
        return answer
    if answer.code == NotLeader.code:
        raise NotLeader(leader=answer.leader)
    raise PeerFailure(answer.text, code=answer.code)
