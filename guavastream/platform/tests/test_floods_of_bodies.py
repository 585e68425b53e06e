"""Real processes keep to their memory, and serve others, under floods of bodies."""

import pytest

from guavastream.platform.tests.flooding import check_floods

GROUPS = {
    "bodies": ("large bodies", "uploads", "stalled uploads", "too long, chunks"),
    "chunks": ("tiny chunks", "chunks", "trailers", "small packets"),
}


@pytest.mark.parametrize("group", GROUPS)
def test_process_keeps_to_its_memory_and_serves_others(group, tmp_path):
    """Guards against bodies that end a process, or keep it from its other callers."""
    check_floods(GROUPS[group], tmp_path)
