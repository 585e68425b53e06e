"""What a transport between processes offers: calls with one answer each."""

import abc

from guavastream.exception import NotLeader, PeerFailure
from guavastream.messages.codec import message

__all__ = ["Failure", "PeerNetwork", "Transport", "failure_of", "raise_failure"]


@message
class Failure:
    """Answer of a peer that could not do what it was asked.

    `code` is that of the error; `leader` may name the leading control host.
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
            Seconds.

        Raises
        ------
        CallTimeout
            If no answer came in time; whether the peer acted is unknown.
        NotLeader, PeerFailure
            As the peer answered.
        """

    def close(self):
        """End what is open."""


class PeerNetwork(abc.ABC):
    """Makes both ends of the calls between processes; one for each process."""

    @abc.abstractmethod
    def transport(self, *, on_reconnect, on_late):
        """Return the `Transport` on which this process calls others.

        Parameters
        ----------
        on_reconnect : callable
            Told the address of each connection that was replaced as silent.
        on_late : callable
            Told the size of each answer that came when nobody waited any more.
        """

    @abc.abstractmethod
    def server(self, *, address, handler, on_malformed):
        """Return what answers calls to this process, with `start` and `close`.

        Parameters
        ----------
        address : str
            IP:PORT to bind.
        handler : callable
            Coroutine function from a request message to its answer.
        on_malformed : callable
            Called for each message that was dropped as malformed.
        """


def failure_of(error):
    """Return the `Failure` that carries an error to the caller of a call."""
    code = getattr(error, "code", "internal")
    return Failure(code=code, text=str(error), leader=getattr(error, "leader", ""))


def raise_failure(answer):
    """Return `answer`, or raise the error that it carries."""
    if not isinstance(answer, Failure):
        return answer
    if answer.code == NotLeader.code:
        raise NotLeader(leader=answer.leader)
    raise PeerFailure(answer.text, code=answer.code)
