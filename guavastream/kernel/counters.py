"""Counters and histograms of one process, served as text."""

from bisect import bisect_left

__all__ = ["Counters"]

# Upper bounds of the histogram's buckets, seconds.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class Counters:
    """Counts events by name and durations by bucket.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.count("tries.moving")
    >>> counters.observe("request", 0.02)
    >>> counters.set("version", 7)
    >>> print(counters.text().splitlines()[0])
    guavastream_events_total{event="tries.moving"} 1
    """

    def __init__(self):
        self._events = {}
        self._gauges = {}
        self._durations = {}

    def count(self, name, number=1):
        """Count an event."""
        self._events[name] = self._events.get(name, 0) + number

    def set(self, name, value):
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name, seconds):
        """Count a duration."""
        known = self._durations.get(name)
        if known is None:
            known = self._durations[name] = [[0] * (len(BOUNDS) + 1), 0.0]
        known[0][bisect_left(BOUNDS, seconds)] += 1
        known[1] += seconds

    def text(self):
        """Return all values in the usual text format."""
        lines = [
            f'guavastream_events_total{{event="{name}"}} {value}'
            for name, value in sorted(self._events.items())
        ]
        lines += [
            f"guavastream_{name} {value}"
            for name, value in sorted(self._gauges.items())
        ]
        for name, (buckets, total) in sorted(self._durations.items()):
            seen = 0
            for bound, number in zip((*BOUNDS, "+Inf"), buckets, strict=True):
                seen += number
                label = f'{{name="{name}",le="{bound}"}}'
                lines.append(f"guavastream_seconds_bucket{label} {seen}")
            lines.append(f'guavastream_seconds_sum{{name="{name}"}} {total:.6f}')
            lines.append(f'guavastream_seconds_count{{name="{name}"}} {seen}')
        return "\n".join(lines) + "\n"
