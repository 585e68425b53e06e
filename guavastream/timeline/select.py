"""Choose events of a time line, and print them for people."""

from dataclasses import dataclass

from guavastream.timeline.events import wall_seconds

__all__ = ["Selection", "format_event"]


@dataclass(frozen=True, kw_only=True)
class Selection:
    """What to keep of a time line; empty fields keep everything.

    `since` and `until` are seconds after the first event, or negative for no
    bound.
    """

    key: str = ""
    host: str = ""
    service: str = ""
    request: str = ""
    kinds: tuple[str, ...] = ()
    since: float = -1.0
    until: float = -1.0

    def choose(self, events):
        """Return the chosen events in their order.

        Examples
        --------
        >>> from guavastream.timeline import Event
        >>> events = [Event(stamp=n, host="a", kind=k) for n, k in enumerate("xyx")]
        >>> [event.stamp for event in Selection(kinds=("x",)).choose(events)]
        [0, 2]
        """
        start = wall_seconds(events[0].stamp) if events else 0.0
        return [event for event in events if self._keeps(event, start)]

    def _keeps(self, event, start):
        at = wall_seconds(event.stamp) - start
        return (
            self.key in ("", event.key)
            and self.host in ("", event.host)
            and self.service in ("", event.service)
            and self.request in ("", event.request)
            and (not self.kinds or event.kind in self.kinds)
            and (self.since < 0 or at >= self.since)
            and (self.until < 0 or at <= self.until)
        )


def format_event(event, start):
    """Return one line for an event; `start` is the stamp of the first.

    Examples
    --------
    >>> from guavastream.timeline import Event
    >>> format_event(Event(stamp=0, host="h1", kind="joined", epoch=4), 0)
    '  0.000000  h1                      joined              epoch=4'
    """
    at = wall_seconds(event.stamp) - wall_seconds(start)
    parts = [
        f"{name}={getattr(event, name)}"
        for name in (
            "service",
            "key",
            "shard",
            "epoch",
            "revision",
            "server",
            "request",
        )
        if getattr(event, name) not in ("", -1)
    ]
    parts += [f"{name}={value}" for name, value in event.detail.items()]
    return f"{at:10.6f}  {event.host:22}  {event.kind:18}  {' '.join(parts)}"
