"""Metrics sent to a statsd server, if one is configured."""

from guavastream.kernel.checks import parse_address

__all__ = ["METRICS", "make_metrics", "metrics_page"]

METRICS = {
    "door.requests": "Requests from callers, a counter.",
    "door.answers.CODE": "Final outcomes by code (`ok`, or an error code), counters.",
    "door.latency": "Time from request to whole answer, in ms.",
    "door.attempts": "Attempts made for all requests, a counter.",
    "guard.admitted": "Requests handed to the backend server, a counter.",
    "guard.refused.CODE": "Requests refused as not run, counters.",
    "peer.reconnects": "Peer connections replaced as silent, a counter.",
    "peer.malformed": "Peer messages dropped as malformed, a counter.",
    "events.KIND": "Events by kind (see events.md), but for requests; counters.",
}


class _NoMetrics:
    def incr(self, stat, count=1):
        """Discard a counter."""

    def timing(self, stat, delta):
        """Discard a timing."""

    def gauge(self, stat, value):
        """Discard a gauge."""


def make_metrics(address):
    """Return a statsd client for `address`, or one that discards all metrics."""
    if not address:
        return _NoMetrics()
    import statsd

    host, port = parse_address(address)
    return statsd.StatsClient(host, port, prefix="guavastream")


def metrics_page():
    """Return the text of docs/metrics.md, generated from `METRICS`."""
    lines = [
        "# Metrics",
        "",
        "Sent by statsd over UDP to `--statsd`, with the prefix `guavastream.`.",
        "",
        "| name | meaning |",
        "| --- | --- |",
    ]
    lines += [f"| `{name}` | {text} |" for name, text in METRICS.items()]
    return "\n".join(lines) + "\n"
