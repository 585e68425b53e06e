"""`timeline`: merge, filter, check and draw the events of all processes."""

import msgspec

from guavastream.commands.output import print_table
from guavastream.commands.registry import command
from guavastream.exception import Finding, FindingsError
from guavastream.timeline import (
    CHECKERS,
    Event,
    Selection,
    check_timeline,
    draw_timeline,
    format_event,
    merge_events,
    read_events,
)

__all__ = []

EXIT_BROKEN_PROMISE = 5


@command(
    "timeline",
    summary="Merge the events of all processes into one list or picture.",
    example="guavastream timeline logs/*.jsonl --service dutyboard --key crew-17",
)
def _setup_timeline(parser):
    parser.add_argument("files", nargs="*", help="event files of processes")
    parser.add_argument(
        "--live",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="operators' door to ask for its latest events; may be repeated",
    )
    parser.add_argument("--token-file", default="", help="operators' token")
    for name in ("key", "host", "service", "request"):
        parser.add_argument(f"--{name}", default="", help=f"only this {name}")
    parser.add_argument("--kind", action="append", default=[], help="only this kind")
    parser.add_argument(
        "--since", type=float, default=-1.0, help="seconds after the first event"
    )
    parser.add_argument(
        "--until", type=float, default=-1.0, help="seconds after the first event"
    )
    parser.add_argument("--json", action="store_true", help="print JSON lines")
    parser.add_argument("--picture", metavar="FILE", help="write an SVG picture")
    parser.add_argument("--check", action="store_true", help="run all checkers")
    return _timeline


def _timeline(arguments):
    parts = [_read(path) for path in arguments.files]
    parts += [_ask(address, arguments.token_file) for address in arguments.live]
    events = merge_events(parts)
    selection = Selection(
        key=arguments.key,
        host=arguments.host,
        service=arguments.service,
        request=arguments.request,
        kinds=tuple(arguments.kind),
        since=arguments.since,
        until=arguments.until,
    )
    chosen = selection.choose(events)
    if arguments.check:
        return _check(events)
    if arguments.picture:
        with open(arguments.picture, "w", encoding="utf-8") as file:
            file.write(draw_timeline(chosen))
        return 0
    for event in chosen:
        if arguments.json:
            print(msgspec.json.encode(event).decode())
        else:
            print(format_event(event, events[0].stamp))
    return 0


def _read(path):
    try:
        return read_events(path)
    except OSError as error:
        text = f"{error.strerror}."
        raise FindingsError(
            [Finding(place=path, code="unreadable", text=text)]
        ) from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise FindingsError(
            [Finding(place=path, code="bad_events", text=f"{error}.")]
        ) from error


def _ask(address, token_file):
    from guavastream.operate import OperatorClient, read_token

    items = OperatorClient(address=address, token=read_token(token_file)).ask("events")
    return msgspec.convert(items, list[Event])


def _check(events):
    found = check_timeline(events)
    rows = [
        ("BROKEN" if found[name] else "held", CHECKERS.get(name).promise)
        for name in CHECKERS.names
    ]
    print_table(("verdict", "promise"), rows)
    for findings in found.values():
        for finding in findings:
            print(f"  {finding}")
    return EXIT_BROKEN_PROMISE if any(found.values()) else 0
