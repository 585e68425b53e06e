"""Logs to standard output, non-blocking and limited in rate."""

import logging
import os
import sys
import time

__all__ = ["RateLimitedHandler", "configure_stdout_logs"]

ROOT_LOGGER = "guavastream"
# Most lines that a process writes in a second. Under load the first lines of each
# second are as informative as all of them.
MAX_LINES_PER_SECOND = 60
# Additional lines for warnings. They are limited too: another writer may send thousands
# of invalid entries, and logging each one costs more than refusing it.
MAX_EXTRA_WARNINGS_PER_SECOND = 60


class RateLimitedHandler(logging.Handler):
    """Writes a limited number of lines a second and drops the others.

    Lines are also dropped if the file descriptor does not accept them. The next line
    that is written has the number of dropped lines in its field `dropped`.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is set to non-blocking.
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
        """Whether a line of a level may be written now; if not, count it as dropped."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        limit = MAX_LINES_PER_SECOND
        if level >= logging.WARNING:
            limit += MAX_EXTRA_WARNINGS_PER_SECOND
        if self._lines < limit:
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
            # A slow reader of the log must not block requests. The next line that
            # is written reports how many were dropped.
            self._dropped += 1


def configure_stdout_logs(*, level, host):
    """Log JSON lines with the name of the host to standard output."""
    from pythonjsonlogger.json import JsonFormatter

    # Skip look-ups that the format does not use: the source location, and the process
    # and thread.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = RateLimitedHandler(fd=sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s", static_fields={"host": host}
        )
    )
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
