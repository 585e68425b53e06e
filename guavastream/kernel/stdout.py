"""Logs to standard output that never block and stay bounded."""

import logging
import os
import sys
import time

__all__ = ["BoundedHandler", "configure_stdout_logs"]

ROOT = "guavastream"
# Lines a second that one process writes at most; under load the first ones of
# each second tell as much as all.
LINES_PER_SECOND = 60
# Lines beyond these that are kept for warnings: entries of other writers come by
# the thousand, and a line for each cost more than to refuse them.
WARNINGS_PER_SECOND = 60


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor and drops what it does not take.

    Parameters
    ----------
    fd : int
        File descriptor; it is made non-blocking.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, *, fd, clock=time.monotonic):
        super().__init__()
        self._fd = fd
        self._clock = clock
        self._second = 0
        self._lines = 0
        self._dropped = 0
        os.set_blocking(fd, False)

    def has_room(self, level):
        """Whether a line of a level would be written now; if not, it counts."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        most = LINES_PER_SECOND
        if level >= logging.WARNING:
            most += WARNINGS_PER_SECOND
        if self._lines < most:
            return True
        self._dropped += 1
        return False

    def emit(self, record):
        if not self.has_room(record.levelno):
            return
        self._lines += 1
        if self._dropped:
            record.dropped, self._dropped = self._dropped, 0
        try:
            os.write(self._fd, self.format(record).encode() + b"\n")
        except OSError:
            # A reader that is slow must not stop requests; the next line that
            # goes through tells how many are missing.
            self._dropped += 1


def configure_stdout_logs(*, level, host):
    """Write JSON lines to standard output, each with the host's name."""
    from pythonjsonlogger.json import JsonFormatter

    # What the lines do not hold is not looked up: the place in the code, and
    # the names of process and thread.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = BoundedHandler(fd=sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s", static_fields={"host": host}
        )
    )
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
