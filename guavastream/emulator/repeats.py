"""Answers of a faulty server that come a second time, in place of a later one."""

from weakref import WeakKeyDictionary

from guavastream.http1 import REASONS, format_head

__all__ = ["RepeatedAnswers"]


class RepeatedAnswers:
    """Decides which answers come twice, and sends them again.

    The second one is sent as soon as the next request arrives on the connection, where
    the answer to that one is expected.

    Parameters
    ----------
    rng : random.Random
        Chooses the answers.
    share : float
        Share of all answers that come twice.
    statuses : tuple of int, optional
        Statuses of the answers that may come twice; any by default.
    """

    def __init__(self, *, rng, share, statuses=()):
        self._rng = rng
        self._statuses = statuses
        # What is to be sent again, by connection.
        self._late = WeakKeyDictionary()
        self.share = share
        self.count = 0

    async def wrap(self, responder):
        """Send what is due on the connection; return a responder to be used instead."""
        late = self._late.pop(responder.connection, None)
        if late is not None:
            self.count += 1
            responder.connection.write(late)
        return _RecordingResponder(responder=responder, repeats=self)

    def note(self, responder, status, fields, body):
        """Note an answer that is sent now."""
        if self._statuses and status not in self._statuses:
            return
        if self._rng.random() < self.share:
            line = b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b""))
            framing = (b"Content-Length", b"%d" % len(body))
            answer = format_head(line, [*fields, framing]) + body
            self._late[responder.connection] = answer


class _RecordingResponder:
    """A responder that reports what it sends."""

    def __init__(self, *, responder, repeats):
        self._responder = responder
        self._repeats = repeats

    def __getattr__(self, name):
        return getattr(self._responder, name)

    async def send(self, status, headers=(), body=b"", *, reason=b""):
        self._repeats.note(self._responder, status, headers, body)
        await self._responder.send(status, headers, body, reason=reason)
