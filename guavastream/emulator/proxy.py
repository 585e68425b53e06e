"""A TCP proxy between two ends that cuts, delays, or goes silent for good."""

import contextlib
import socket
import threading
import time

__all__ = ["FaultProxy"]

CHUNK_BYTES = 65536


class FaultProxy:
    """Passes bytes between callers and a target until told otherwise.

    Parameters
    ----------
    target : str
        IP:PORT of the other end.
    """

    def __init__(self, *, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._pairs = []
        self._dead = set()
        self._lock = threading.Lock()
        self._passed = 0
        self._limit = None
        self._left = float("inf")
        self._always = False
        # Seconds by which each piece is held back.
        self.delay = 0.0
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def address(self):
        """IP:PORT to connect to."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    @property
    def connections(self):
        """How many connections were taken so far."""
        return len(self._pairs)

    def silence(self):
        """Let all open connections go silent for good; new ones work.

        Nothing is refused or closed: what is sent is taken and forgotten, as
        by a path that has lost track of its connections.
        """
        with self._lock:
            self._dead.update(range(len(self._pairs)))

    def cut_open(self):
        """End all open connections; new ones work."""
        for pair in list(self._pairs):
            _shut(pair)

    def silence_at_once(self):
        """Let every connection be silent from its first byte."""
        self._always = True

    def cut_answers_after(self, count):
        """Close connections once `count` more bytes of answers have passed."""
        self._passed, self._limit = 0, count

    def accept_only(self, count):
        """Take `count` more connections; later ones are refused."""
        self._left = count

    def refuse_new(self):
        """Refuse connections from now on; open ones go on."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def close(self):
        """Close everything."""
        self.refuse_new()
        for pair in self._pairs:
            for sock in pair:
                sock.close()

    def _accept(self):
        while self._left > 0:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            host, _, port = self._target.rpartition(":")
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            # Closed before a byte can come back, so that whoever tries again
            # finds it so.
            self._left -= 1
            if self._left <= 0:
                self._listener.close()
            number = len(self._pairs)
            self._pairs.append((near, far))
            for source, sink, answers in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self._pass, args=(number, source, sink, answers), daemon=True
                ).start()

    def _pass(self, number, source, sink, answers):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self._always or number in self._dead:
                    continue
                if self.delay:
                    time.sleep(self.delay)
                if answers and self._limit is not None:
                    data = data[: self._limit - self._passed]
                    self._passed += len(data)
                    sink.sendall(data)
                    if self._passed >= self._limit:
                        break
                    continue
                sink.sendall(data)
        # A silent connection stays open at both ends.
        if not (self._always or number in self._dead):
            _shut((source, sink))


def _shut(pair):
    for sock in pair:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
