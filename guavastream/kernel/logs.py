"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import sys

__all__ = ["configure_logs", "part_logger"]

ROOT = "guavastream"


class _PartAdapter(logging.LoggerAdapter):
    def isEnabledFor(self, level):  # noqa: N802
        # A line that would be dropped is not even made: in a storm of refusals
        # that is most of them, and making one costs as much as a refusal.
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
    """Return the logger of one part; its messages start with the part's name."""
    return _PartAdapter(logging.getLogger(ROOT), {"part": part})


def configure_logs(*, level, host):
    """Write JSON lines to standard error, each with the host's name."""
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s", static_fields={"host": host}
        )
    )
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
