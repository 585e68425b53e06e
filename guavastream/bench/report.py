"""Figures and verdicts from a time line."""

import statistics
from collections import Counter, defaultdict

from guavastream.timeline import CHECKERS, check_timeline

__all__ = ["broken", "churn", "imbalance", "outcomes", "percentile", "verdicts"]


PROBE_PREFIX = "probe-"


def percentile(values, share):
    """Return a percentile by nearest rank; 0 for no values.

    Examples
    --------
    >>> percentile([5, 1, 3], 0.5)
    3
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def outcomes(events):
    """Return a table of what callers were told: kind, code, count, ms."""
    groups = defaultdict(list)
    for event in events:
        if event.kind == "caller_told":
            place = (event.detail["kind"], event.detail["code"], event.detail["ran"])
            groups[place].append(event.detail["ms"])
    return [
        (*place, len(times), percentile(times, 0.5), percentile(times, 0.99))
        for place, times in sorted(groups.items())
    ]


def imbalance(events, service):
    """Return max over mean of the requests that servers of a service ran.

    Probes are left out: they ask for few keys often.
    """
    runs = Counter(
        event.server
        for event in events
        if event.kind == "ran"
        and event.service == service
        and PROBE_PREFIX not in event.key
    )
    return max(runs.values()) / statistics.mean(runs.values()) if runs else 0.0


def churn(events, service):
    """Return how many shards changed hands, the first grants not counted."""
    granted = [
        shard
        for event in events
        if event.kind == "granted" and event.service == service
        for shard in event.detail["epochs"]
    ]
    return len(granted) - len(set(granted))


def verdicts(events):
    """Return (name, promise, events that bear on it, findings) rows."""
    found = check_timeline(events)
    rows = []
    for name in CHECKERS.names:
        checker = CHECKERS.get(name)()
        rows.append((name, checker.promise, checker.count(events), found[name]))
    return rows


def broken(rows):
    """Return all findings of `verdicts` rows."""
    return [finding for *_, findings in rows for finding in findings]
