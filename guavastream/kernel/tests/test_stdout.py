"""Rate limits of logs to standard output; dropped lines are not formatted."""

import json
import logging
import os

import pytest

from guavastream.kernel import RateLimitedHandler, part_logger
from guavastream.kernel.stdout import (
    MAX_EXTRA_WARNINGS_PER_SECOND,
    MAX_LINES_PER_SECOND,
)


@pytest.fixture
def lines():
    """Yield a logger that writes to a pipe, its clock, and a function to read lines."""
    reader, writer = os.pipe()
    now = [10.0]
    handler = RateLimitedHandler(fd=writer, clock=lambda: now[0])
    handler.setFormatter(logging.Formatter('{"text": "%(message)s"}'))
    logger = logging.getLogger("guavastream")
    before = logger.handlers[:], logger.level, logger.propagate
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False

    def read():
        os.set_blocking(reader, False)
        try:
            data = os.read(reader, 1 << 20)
        except BlockingIOError:
            data = b""
        return [json.loads(line)["text"] for line in data.splitlines()]

    yield part_logger("part"), now, read
    logger.handlers[:], logger.level, logger.propagate = before
    os.close(reader)
    os.close(writer)


def test_lines_per_second_are_limited_with_extra_room_for_warnings(lines):
    log, now, read = lines
    for number in range(3 * MAX_LINES_PER_SECOND):
        log.info("line %d", number)
    log.warning("odd")
    assert len(read()) == MAX_LINES_PER_SECOND + 1
    now[0] += 1.0
    log.info("again")
    assert read() == ["part: again"]


def test_warnings_have_a_limit_of_their_own(lines):
    # Another writer may send thousands of invalid entries.
    log, now, read = lines
    for number in range(1000):
        log.warning("entry %d", number)
    assert len(read()) == MAX_LINES_PER_SECOND + MAX_EXTRA_WARNINGS_PER_SECOND
    now[0] += 1.0
    log.warning("again")
    assert read() == ["part: again"]


def test_no_log_record_is_created_for_a_dropped_line(lines):
    # Under overload most lines about refused requests are dropped, and creating one
    # costs as much as refusing the request.
    log, _, read = lines
    created = []
    log.logger.addFilter(lambda record: created.append(record) or True)
    for number in range(3 * MAX_LINES_PER_SECOND):
        log.info("line %d", number)
    assert len(created) == len(read()) == MAX_LINES_PER_SECOND
    log.logger.filters.clear()


def test_slow_reader_does_not_block_the_logger(lines):
    log, _, read = lines
    for _ in range(3000):
        log.warning("x" * 1000)
    assert 0 < len(read()) < 3000
