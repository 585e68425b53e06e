"""Draw owners over time as a self-contained SVG picture."""

from html import escape

from guavastream.timeline.events import wall_seconds

__all__ = ["draw_timeline"]

WIDTH = 1200
LEFT = 150
ROW = 26
TOP = 40
COLOURS = ("#4477aa", "#66ccee", "#228833", "#ccbb44", "#ee6677", "#aa3377")
MARKED = {
    "server_lost": "#cc0000",
    "lease_expired": "#cc0000",
    "member_gone": "#cc0000",
    "stopping": "#cc8800",
    "planned_stop": "#cc8800",
    "elected": "#5500aa",
    "revision_in_force": "#007755",
    "connection_dead": "#cc0000",
    "joined": "#0055cc",
}


def draw_timeline(events):
    """Return an SVG text: one row per host, its owned shards over time.

    The height of a bar is the number of shards that the host owned; ticks
    mark the events named in the legend.

    Examples
    --------
    >>> draw_timeline([]).startswith("<svg")
    True
    """
    hosts = sorted({e.host for e in events if e.kind in ("granted", *MARKED)})
    start = wall_seconds(events[0].stamp) if events else 0.0
    span = max(1e-6, wall_seconds(events[-1].stamp) - start) if events else 1.0

    def x(event):
        at = wall_seconds(event.stamp) - start
        return LEFT + (WIDTH - LEFT - 20) * at / span

    height = TOP + ROW * len(hosts) + 60
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {height}"'
        ' font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
        f'<text x="{LEFT}" y="18" font-size="14">Shards owned and events, '
        f"{span:.1f} s</text>",
    ]
    for number, host in enumerate(hosts):
        y = TOP + ROW * number
        colour = COLOURS[number % len(COLOURS)]
        parts.append(f'<text x="8" y="{y + 16}">{escape(host)}</text>')
        parts += _bars(events, host, y, colour, x)
        parts += _ticks(events, host, y, x, start)
    parts += _legend(TOP + ROW * len(hosts) + 24)
    parts += _scale(span, TOP + ROW * len(hosts) + 50)
    return "\n".join([*parts, "</svg>\n"])


def _bars(events, host, y, colour, x):
    owned, since, most = 0, None, _most_owned(events)
    held = set()
    last = None
    for event in events:
        last = event
        if event.host != host or event.kind not in ("granted", "ended"):
            continue
        if owned and since is not None:
            yield _bar(x(since), x(event), y, owned / most, colour, host, owned)
        if event.kind == "granted":
            held |= {(event.service, shard) for shard in event.detail["epochs"]}
        else:
            held -= {(event.service, str(shard)) for shard in event.detail["shards"]}
        owned, since = len(held), event
    if owned and since is not None:
        yield _bar(x(since), x(last), y, owned / most, colour, host, owned)


def _most_owned(events):
    sizes = [len(e.detail["epochs"]) for e in events if e.kind == "granted"]
    return max(sizes, default=1)


def _bar(x1, x2, y, share, colour, host, owned):
    tall = max(2.0, min(1.0, share) * (ROW - 6))
    return (
        f'<rect x="{x1:.1f}" y="{y + ROW - 4 - tall:.1f}" '
        f'width="{max(0.5, x2 - x1):.1f}" height="{tall:.1f}" fill="{colour}" '
        f'fill-opacity="0.55"><title>{escape(host)}: {owned} shards</title></rect>'
    )


def _ticks(events, host, y, x, start):
    for event in events:
        if event.host == host and event.kind in MARKED:
            at = wall_seconds(event.stamp) - start
            yield (
                f'<line x1="{x(event):.1f}" x2="{x(event):.1f}" y1="{y}" '
                f'y2="{y + ROW - 4}" stroke="{MARKED[event.kind]}" stroke-width="2">'
                f"<title>{event.kind} at {at:.3f} s</title></line>"
            )


def _legend(y):
    for number, (kind, colour) in enumerate(MARKED.items()):
        left = LEFT + number * 115
        yield f'<rect x="{left}" y="{y - 9}" width="4" height="12" fill="{colour}"/>'
        yield f'<text x="{left + 8}" y="{y}">{kind}</text>'


def _scale(span, y):
    for part in range(11):
        left = LEFT + (WIDTH - LEFT - 20) * part / 10
        yield f'<text x="{left:.0f}" y="{y}">{span * part / 10:.1f} s</text>'
