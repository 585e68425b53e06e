"""Real processes keep to their memory, and serve others, under floods of requests."""

import pytest

from guavastream.platform.flood_forms import FLOODS
from guavastream.platform.tests.flooding import check_floods

GROUPS = {
    "heads": ("endless heads", "short fields", "half request lines"),
    "requests ahead": (
        "ahead without a route",
        "ahead at readiness",
        "ahead at counters",
        "slow readers",
    ),
    "other listeners": (
        "bodies at readiness",
        "long heads at inbound",
        "stalled heartbeats",
        "stalled changes",
        "endless heads at control",
    ),
}


@pytest.mark.parametrize("group", GROUPS)
def test_process_keeps_to_its_memory_and_serves_others(group, tmp_path):
    """Guards against clients that end a process, or keep it from its other callers."""
    check_floods(GROUPS[group], tmp_path)


def test_floods_name_ports_of_the_platform():
    """Guards against a flood that is played against nobody."""
    ports = {flood.port for flood in FLOODS.values()}
    assert ports == {"outbound", "ready", "last", "inbound", "control"}
