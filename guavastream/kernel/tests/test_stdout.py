"""Lines to standard output: bounded, and not made where they are dropped."""

import json
import logging
import os

import pytest

from guavastream.kernel import BoundedHandler, part_logger
from guavastream.kernel.stdout import LINES_PER_SECOND, WARNINGS_PER_SECOND


@pytest.fixture
def lines():
    """A logger whose lines go into a pipe; yields it, its clock and a reader."""
    reader, writer = os.pipe()
    now = [10.0]
    handler = BoundedHandler(fd=writer, clock=lambda: now[0])
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


def test_lines_are_bounded_by_the_second_but_for_warnings(lines):
    log, now, read = lines
    for number in range(3 * LINES_PER_SECOND):
        log.info("line %d", number)
    log.warning("odd")
    assert len(read()) == LINES_PER_SECOND + 1
    now[0] += 1.0
    log.info("again")
    assert read() == ["part: again"]


def test_warnings_are_bounded_too(lines):
    # Another writer sends thousands of entries that cannot be read.
    log, now, read = lines
    for number in range(1000):
        log.warning("entry %d", number)
    assert len(read()) == LINES_PER_SECOND + WARNINGS_PER_SECOND
    now[0] += 1.0
    log.warning("again")
    assert read() == ["part: again"]


def test_a_dropped_line_is_not_made(lines):
    # In a storm of refusals most lines are dropped; each cost as much as the
    # refusal that it tells of.
    log, _, read = lines
    made = []
    log.logger.addFilter(lambda record: made.append(record) or True)
    for number in range(3 * LINES_PER_SECOND):
        log.info("line %d", number)
    assert len(made) == len(read()) == LINES_PER_SECOND
    log.logger.filters.clear()


def test_a_reader_that_is_slow_stops_nobody(lines):
    log, _, read = lines
    for _ in range(3000):
        log.warning("x" * 1000)
    assert 0 < len(read()) < 3000
