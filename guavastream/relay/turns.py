"""One at a time, and whoever came last goes first."""

import asyncio

from guavastream.kernel import TimeLimit

__all__ = ["Turns"]


class Turns:
    """Lets requests run one after the other.

    The newest has the most time left. In the order of their arrival each would get
    its turn when most of its time is over, be cut off in the middle of its work, and
    the next one with it, for as long as the queue stands.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop; its time is the clock.
    """

    def __init__(self, *, loop):
        self._loop = loop
        self._taken = False
        self._waiting = []

    async def take(self, *, until):
        """Wait for a turn, which `give_back` ends.

        Raises
        ------
        TimeoutError
            If none came by the clock's time `until`.
        """
        if not self._taken:
            self._taken = True
            return
        turn = self._loop.create_future()
        self._waiting.append(turn)
        try:
            with TimeLimit(loop=self._loop, when=until):
                await turn
        except (TimeoutError, asyncio.CancelledError):
            if turn in self._waiting:
                self._waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                # It came just when the request stopped waiting.
                self.give_back()
            raise

    def give_back(self):
        """End a turn, and begin that of the newest that waits."""
        while self._waiting:
            turn = self._waiting.pop()
            if not turn.done():
                turn.set_result(None)
                return
        self._taken = False
