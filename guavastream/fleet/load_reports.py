"""How often hosts report the load of their services to the leader."""

__all__ = ["REPORT_SECONDS", "report_interval"]

# Time that is covered by one load report, if there are few hosts.
REPORT_SECONDS = 0.25
# Reports per second from all hosts together, which the leader handles easily.
REPORTS_PER_SECOND = 150


def report_interval(hosts):
    """Return the seconds between two load reports of a host, given their number."""
    return max(REPORT_SECONDS, hosts / REPORTS_PER_SECOND)
