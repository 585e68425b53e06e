"""Counters, gauges and histograms of one process, in text format."""

from bisect import bisect_left

__all__ = ["Counters"]

# Upper bounds of the histogram buckets.
BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class Counters:
    """Counts events by name, holds gauges, and counts durations in buckets.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.count("tries.moving")
    >>> counters.observe("request", 0.02)
    >>> counters.set("version", 7)
    >>> counters.set_function("waiting", lambda: 2)
    >>> print(counters.text().splitlines()[0])
    guavastream_events_total{event="tries.moving"} 1
    >>> print(counters.text().splitlines()[2])
    guavastream_waiting 2
    """

    def __init__(self):
        self._events = {}
        self._gauges = {}
        self._gauge_functions = {}
        self._durations = {}

    def count(self, name, number=1):
        """Count `number` events called `name`."""
        self._events[name] = self._events.get(name, 0) + number

    def set(self, name, value):
        """Set the gauge called `name`."""
        self._gauges[name] = value

    def set_function(self, name, function):
        """Read the gauge called `name` from a function whenever it is shown."""
        self._gauge_functions[name] = function

    def unset(self, name):
        """Remove the gauge called `name`, if there is one."""
        self._gauges.pop(name, None)

    def observe(self, name, seconds):
        """Add a duration to the histogram called `name`."""
        histogram = self._durations.get(name)
        if histogram is None:
            histogram = self._durations[name] = [
                [0] * (len(BUCKET_BOUNDS_SECONDS) + 1),
                0.0,
            ]
        histogram[0][bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        histogram[1] += seconds

    def text(self):
        """Return all values in the Prometheus text format."""
        lines = [
            f'guavastream_events_total{{event="{name}"}} {value}'
            for name, value in sorted(self._events.items())
        ]
        gauges = self._gauges | {
            name: function() for name, function in self._gauge_functions.items()
        }
        lines += [
            f"guavastream_{name} {value}" for name, value in sorted(gauges.items())
        ]
        for name, (buckets, total) in sorted(self._durations.items()):
            cumulative = 0
            for bound, number in zip(
                (*BUCKET_BOUNDS_SECONDS, "+Inf"), buckets, strict=True
            ):
                cumulative += number
                label = f'{{name="{name}",le="{bound}"}}'
                lines.append(f"guavastream_seconds_bucket{label} {cumulative}")
            lines.append(f'guavastream_seconds_sum{{name="{name}"}} {total:.6f}')
            lines.append(f'guavastream_seconds_count{{name="{name}"}} {cumulative}')
        return "\n".join(lines) + "\n"
