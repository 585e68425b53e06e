"""Structured logs, with the name of the part as a prefix of each message."""

import logging
import sys

__all__ = ["configure_logs", "part_logger"]

ROOT_LOGGER = "guavastream"


class _PartAdapter(logging.LoggerAdapter):
    def isEnabledFor(self, level):  # noqa: N802
        # Do not create records that a handler would drop. Under overload most lines
        # are dropped, and creating one costs as much as refusing a request.
        if not self.logger.isEnabledFor(level):
            return False
        return all(
            handler.has_room(level)
            for handler in self.logger.handlers
            if hasattr(handler, "has_room")
        )

    def process(self, msg, kwargs):
        fields = kwargs.setdefault("extra", {})
        fields["part"] = self.extra["part"]
        return f"{self.extra['part']}: {msg}", kwargs


def part_logger(part):
    """Return the logger of a part, which prefixes messages with the part's name."""
    return _PartAdapter(logging.getLogger(ROOT_LOGGER), {"part": part})


def configure_logs(*, level, host):
    """Log JSON lines with the name of the host to standard error."""
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s", static_fields={"host": host}
        )
    )
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
