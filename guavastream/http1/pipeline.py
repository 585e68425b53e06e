"""Requests of one connection that run before it is their turn to be answered."""

__all__ = ["Pipeline"]

# Requests of a connection that run at a time. A caller that sends more at once gets
# no larger part of the servers.
MAX_CONCURRENT_REQUESTS = 8
# Buffered bytes above which later responses wait with their handlers and no further
# request starts. Most responses are small: eight of 32 KiB fit.
MAX_BUFFERED_BYTES = 256 << 10


class Pipeline:
    """Started requests whose responses are not due yet, in request order.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    may_overlap : callable or None
        Returns whether a `Request` may run while others of its connection run; None
        if none may.
    count : callable
        Counts an event by name.
    """

    def __init__(self, *, loop, may_overlap, count):
        self._loop = loop
        self._may_overlap = may_overlap
        self._count = count
        # A list: one is empty for nearly every connection, and a deque takes 600 bytes.
        self._started = []

    def __len__(self):
        return len(self._started)

    @property
    def responders(self):
        """Responders of the started requests, in their order."""
        return [responder for responder, _ in self._started]

    @property
    def buffered_bytes(self):
        """Size of the finished responses that are not due yet."""
        return sum(responder.buffered_bytes for responder, _ in self._started)

    @property
    def full(self):
        """Whether further responses wait until they are due, instead of buffered."""
        return self.buffered_bytes > MAX_BUFFERED_BYTES

    def may_start(self, request, *, current):
        """Whether `request` may run now.

        Parameters
        ----------
        request : Request
            The oldest request that has not started.
        current : Responder
            Responder of the request whose response is due.
        """
        return (
            self._may_overlap is not None
            and len(self._started) + 1 < MAX_CONCURRENT_REQUESTS
            and not current.closes
            and self._overlaps(current.request)
            and self._overlaps(request)
            and not self.full
        )

    def start(self, responder, handling):
        """Run the coroutine `handling`, which answers the request of `responder`."""
        self._count("pipelined.overlapping")
        self._started.append((responder, self._loop.create_task(handling)))

    def pop(self):
        """Remove the oldest request; return its responder and its task."""
        return self._started.pop(0)

    def cancel(self):
        """Cancel all requests, and return their responders."""
        started, self._started = self._started, []
        for _, task in started:
            self._count("pipelined.cancelled")
            task.cancel()
        return [responder for responder, _ in started]

    def _overlaps(self, request):
        # The answer is kept, since each request is asked about several times.
        if request.overlaps is None:
            # An interim response would have to wait for its turn as well.
            request.overlaps = not request.expects_continue and self._may_overlap(
                request
            )
        return request.overlaps
