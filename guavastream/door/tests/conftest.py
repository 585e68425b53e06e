"""Fixtures for tests that send requests through doors and guards."""

import pytest

from guavastream.door.tests.rig import Host, make_table
from guavastream.state import ShardTableHolder


@pytest.fixture
def start_hosts():
    """Start hosts that share one table; the first host owns all shards."""
    started = []

    def start(service="pages", count=1, **options):
        tables = ShardTableHolder()
        hosts = [
            Host(number=n, service=service, tables=tables, **options)
            for n in range(1, count + 1)
        ]
        tables.replace(make_table(hosts))
        started.extend(hosts)
        return hosts

    yield start
    for host in started:
        host.stop()
