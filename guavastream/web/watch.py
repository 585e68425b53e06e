"""Notices callers that go away while their request is being served."""

import select
import threading

__all__ = ["CallerWatch"]

PAUSE_MS = 100
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerWatch:
    """Ends what is done for callers that have closed their connection.

    A worker thread that waits for a backend server does not look at its
    caller. Without this a caller that gave up would hold a slot until its
    deadline, and those that resend would hold several.

    One thread polls all connections of requests in progress. A caller that
    only closes its sending side counts as gone too, as it does for most
    servers.
    """

    def __init__(self):
        self._watched = {}
        self._lock = threading.Lock()
        self._some = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def watch(self, sock, cut):
        """Call `cut` once if the other end of `sock` goes away."""
        with self._lock:
            self._watched[sock.fileno()] = cut
        self._some.set()

    def forget(self, sock):
        """Watch a socket no more."""
        with self._lock:
            self._watched.pop(sock.fileno(), None)
            if not self._watched:
                self._some.clear()

    def _run(self):
        while True:
            self._some.wait()
            for descriptor in self._poll():
                with self._lock:
                    cut = self._watched.pop(descriptor, None)
                    if not self._watched:
                        self._some.clear()
                if cut is not None:
                    cut()

    def _poll(self):
        poller = select.poll()
        with self._lock:
            descriptors = list(self._watched)
        for descriptor in descriptors:
            poller.register(descriptor, GONE)
        return [descriptor for descriptor, _ in poller.poll(PAUSE_MS)]
