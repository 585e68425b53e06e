"""What a caller's connection holds, and whether it may be closed for its memory."""

from guavastream.http1.memory import (
    FREE_BYTES,
    MIN_PROGRESS_BYTES_PER_SECOND,
    PATIENCE_SECONDS,
    Holder,
    Patience,
)
from guavastream.http1.pipeline import Pipeline
from guavastream.http1.receiving import ReceivingProtocol

__all__ = ["HoldingProtocol"]

# Unsent bytes of answers above which a connection waits for its peer to read.
WRITE_HIGH_WATER_BYTES = FREE_BYTES
# What an unsent byte of an answer costs: the answer is kept until it has been sent.
UNSENT_FACTOR = 2


class HoldingProtocol(ReceivingProtocol, Holder):
    """The requests that a connection holds, as the memory budget sees them.

    Parameters
    ----------
    server : Server
        Provides limits, memory and turns.
    """

    def __init__(self, *, server):
        super().__init__(server=server)
        # Requests that have started are the one of `_responder`, whose response is due,
        # and those of `_pipeline` after it.
        self._responder = None
        self._pipeline = Pipeline(
            loop=self._loop, may_overlap=server.may_overlap, count=server.count
        )
        self._unsent_charge = 0
        # Progress of the peer when the current period began.
        self._received_before = self._sent_before = 0
        self._was_receiving = self._was_unread = self._is_slow = False

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._memory.open(self)

    def pause_writing(self):
        super().pause_writing()
        self._update_unsent_charge()

    def resume_writing(self):
        super().resume_writing()
        self._update_unsent_charge()

    def _update_unsent_charge(self):
        size = UNSENT_FACTOR * self._transport.get_write_buffer_size()
        if size <= UNSENT_FACTOR * WRITE_HIGH_WATER_BYTES:
            size = 0
        change, self._unsent_charge = size - self._unsent_charge, size
        if change:
            self._memory.charge(self, change)

    @property
    def patience(self):
        """What the connection is doing now, a `Patience`."""
        if self._lingering:
            return Patience.CLOSING
        if self._is_slow:
            return Patience.SLOW
        responder = self._responder
        if responder is None and not self._pipeline:
            return self._patience_before_start
        if responder is not None and responder.request.body.waiting:
            return Patience.WAITING
        if responder is not None and responder.request.body.collecting:
            return Patience.RECEIVING
        return Patience.LARGE if self._is_large else Patience.ORDINARY

    @property
    def _patience_before_start(self):
        if self._requests:
            # A whole request that waits for its turn is not the one to be closed.
            is_large = self._charged_bytes or self._requests[0].memory.is_charged
            return Patience.RECEIVING if is_large else Patience.ORDINARY
        is_receiving = self._head_started_at is not None or self._unparsed
        return Patience.RECEIVING if is_receiving else Patience.IDLE

    @property
    def _is_large(self):
        return bool(self._unsent_charge or self._charged_bytes) or any(
            responder.request.memory.is_charged for responder in self._started()
        )

    def _started(self):
        """Return the responders of the requests that have started."""
        due = [] if self._responder is None else [self._responder]
        return due + self._pipeline.responders

    def note_period(self):
        """Note whether the peer made less than the least progress since last time."""
        unsent = self._transport.get_write_buffer_size()
        sent = self._written_bytes - unsent
        least = MIN_PROGRESS_BYTES_PER_SECOND * PATIENCE_SECONDS
        is_unread = self._was_unread and unsent > 0 and sent - self._sent_before < least
        received = self._progress_bytes - self._received_before
        is_stalled = self._was_receiving and self._expects_data and received < least
        self._is_slow = is_unread or is_stalled or self.has_hung_up()
        self._received_before, self._sent_before = self._progress_bytes, sent
        self._was_receiving, self._was_unread = self._expects_data, unsent > 0

    @property
    def _expects_data(self):
        """Whether the peer has begun a message and can send the rest of it."""
        if self._lingering or self._has_enough():
            return False
        if self._head_started_at is not None:
            return True
        request = self._receiving
        return (
            request is not None
            and not request.body.ended
            and not request.expects_continue
        )

    def shed(self):
        """Refuse a request whose body has not been sent on, or close the connection."""
        request = self._refusable_request()
        if request is None:
            self.abort_requests("memory")
        else:
            request.body.refuse()

    def _refusable_request(self):
        """Return the request whose handler still has to collect its body, or None."""
        if self._pipeline or not (self._responder or self._requests):
            return None
        if self._responder is None:
            request = self._requests[0]
            return request if request.length else None
        request = self._responder.request
        return request if request.body.collecting else None
