"""Fixtures of the path of a request."""

import pytest

from guavastream.door.tests.rig import Host, make_table
from guavastream.state import ShardTableHolder


@pytest.fixture
def make_path():
    """Start hosts that share a table; the first one owns every shard."""
    started = []

    def make(service="pages", count=1, **options):
        tables = ShardTableHolder()
        hosts = [
            Host(number=n, service=service, tables=tables, **options)
            for n in range(1, count + 1)
        ]
        tables.replace(make_table(hosts))
        started.extend(hosts)
        return hosts

    yield make
    for host in started:
        host.stop()
