"""Typed events and the recorder that every process keeps."""

import os
import threading
from collections import deque
from dataclasses import dataclass, field

import msgspec

from guavastream.kernel import HybridClock
from guavastream.kernel.hybrid import LOGICAL_BITS

__all__ = [
    "Event",
    "Recorder",
    "merge_events",
    "read_events",
    "wall_seconds",
    "write_events",
]

RING_SIZE = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One thing that happened in one process.

    Parameters
    ----------
    stamp : int
        Hybrid logical time.
    host : str
        Host of the process.
    kind : str
        What happened; docs/events.md lists all kinds.
    service, key, request, server : str
        What it happened to, or empty strings.
    shard, epoch, revision : int
        Numbers it happened under, or -1.
    detail : dict
        Further plain values of this kind of event.
    """

    stamp: int
    host: str
    kind: str
    service: str = ""
    key: str = ""
    request: str = ""
    server: str = ""
    shard: int = -1
    epoch: int = -1
    revision: int = -1
    detail: dict = field(default_factory=dict)


class Recorder:
    """Keeps the last events in a ring and, if asked, in a bounded file.

    Parameters
    ----------
    host : str
        Host that is written into each event.
    path : str
        File to append JSON lines to; none if empty.
    limit : int
        Bound of the file in bytes. A full file becomes `PATH.1`, so that at
        most twice the bound is kept.
    clock : HybridClock, optional
        Clock shared with the peers' messages.

    Examples
    --------
    >>> recorder = Recorder(host="a")
    >>> recorder.record("lease_lost", epoch=3).epoch
    3
    >>> [event.kind for event in recorder.recent()]
    ['lease_lost']
    """

    def __init__(self, *, host, path="", limit=64 << 20, clock=None):
        self._host = host
        self._path = path
        self._limit = limit
        self._clock = clock or HybridClock()
        self._ring = deque(maxlen=RING_SIZE)
        self._lock = threading.Lock()
        self._file = open(path, "ab", buffering=0) if path else None

    @property
    def clock(self):
        """The hybrid clock of this process."""
        return self._clock

    def record(self, kind, **fields):
        """Record and return one event; safe to call from any thread."""
        event = Event(stamp=self._clock.stamp(), host=self._host, kind=kind, **fields)
        self._ring.append(event)
        if self._file:
            line = msgspec.json.encode(event) + b"\n"
            with self._lock:
                self._file.write(line)
                if self._file.tell() > self._limit:
                    self._roll()
        return event

    def recent(self):
        """Return the events of the ring, oldest first."""
        return list(self._ring)

    def _roll(self):
        self._file.close()
        os.replace(self._path, self._path + ".1")
        self._file = open(self._path, "ab", buffering=0)


def read_events(path):
    """Read the events of one file and of its older part, if there is one.

    A last line cut by a crash is left out.

    Raises
    ------
    OSError
        If the file cannot be read.
    """
    events = []
    for name in (path + ".1", path):
        if name != path and not os.path.exists(name):
            continue
        with open(name, "rb") as lines:
            for line in lines:
                if line.endswith(b"\n"):
                    events.append(msgspec.json.decode(line, type=Event))
    return events


def write_events(path, events):
    """Write events to a file as JSON lines."""
    with open(path, "wb") as file:
        for event in events:
            file.write(msgspec.json.encode(event) + b"\n")


def merge_events(parts):
    """Merge lists of events into one causally ordered list.

    Examples
    --------
    >>> a = Event(stamp=2, host="a", kind="x")
    >>> b = Event(stamp=1, host="b", kind="y")
    >>> [event.host for event in merge_events([[a], [b]])]
    ['b', 'a']
    """
    merged = [event for part in parts for event in part]
    merged.sort(key=lambda event: (event.stamp, event.host))
    return merged


def wall_seconds(stamp):
    """Return the wall time of a stamp in seconds since the epoch."""
    return (stamp >> LOGICAL_BITS) / 1e6
