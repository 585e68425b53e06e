"""`demo` and `bench`: real processes on loopback, measured."""

import dataclasses
import sys

from guavastream.bench import BENCHES
from guavastream.bench.cluster import DEPLOYMENTS
from guavastream.commands.output import print_json, print_table
from guavastream.commands.registry import command
from guavastream.exception import Finding, FindingsError

__all__ = []

EXIT_BROKEN_PROMISE = 5


@command(
    "demo",
    summary="Run a deployment on loopback through a bad day.",
    example="guavastream demo --deployment island-trips",
)
def _setup_demo(parser):
    parser.add_argument(
        "--deployment", choices=sorted(DEPLOYMENTS), default="rosterdeck"
    )
    parser.add_argument(
        "--seconds", type=float, default=25.0, help="time under load (25)"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--timeline", default="", metavar="FILE", help="keep the merged time line"
    )
    return _demo


def _demo(arguments):
    from guavastream.bench.demo import run_demo

    result = run_demo(
        arguments.deployment, seconds=arguments.seconds, timeline=arguments.timeline
    )
    if arguments.json:
        print_json(_plain(result))
    else:
        _print_demo(result)
    return 0 if result.is_sound else EXIT_BROKEN_PROMISE


@command(
    "bench",
    summary="Measure on real processes.",
    example="guavastream bench owner-loss --events 5",
)
def _setup_bench(parser):
    parser.add_argument("name", choices=BENCHES.names)
    parser.add_argument("--events", type=int, default=5, help="events measured (5)")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--timeline", default="", metavar="FILE", help="keep the merged time line"
    )
    return _bench


def _bench(arguments):
    bench = BENCHES.get(arguments.name)(events=arguments.events)
    result = bench.run(arguments.name, keep=arguments.timeline)
    if arguments.json:
        print_json(_plain(result))
    else:
        _print_bench(result, bench)
    return 0 if result.is_sound else EXIT_BROKEN_PROMISE


@command(
    "capacity",
    summary="Measure the slopes behind docs/CAPACITY.md.",
    example="guavastream capacity --write docs/CAPACITY.md",
)
def _setup_capacity(parser):
    parser.add_argument("parts", nargs="*", help="parts to measure (all)")
    parser.add_argument("--write", default="", metavar="FILE", help="page to renew")
    parser.add_argument("--json", action="store_true", help="print JSON")
    return _capacity


def _capacity(arguments):
    from guavastream.bench import capacity

    unknown = [n for n in arguments.parts if n not in capacity.CAPACITY_PARTS]
    if unknown:
        names = ", ".join(capacity.CAPACITY_PARTS)
        text = f"Is not one of {names}."
        raise FindingsError(
            [Finding(place=name, code="unknown_part", text=text) for name in unknown]
        )
    tables = capacity.measure_capacity(
        tuple(arguments.parts), say=lambda text: print(text, file=sys.stderr)
    )
    if arguments.write:
        capacity.write_page(arguments.write, tables)
    elif arguments.json:
        print_json(capacity.encode_tables(tables))
    else:
        for table in tables:
            print(f"\n{table.name}")
            print_table(table.heads, table.rows)


def _print_bench(result, bench):
    print(f"{result.name}: {bench.summary}")
    print(f"baseline: {result.baseline}\n")
    rows = [
        (
            figure.name,
            f"{figure.median:g} {figure.unit}",
            f"{figure.worst:g} {figure.unit}",
            "" if figure.baseline is None else f"{figure.baseline:g} {figure.unit}",
            "" if figure.aim is None else f"{figure.aim:g} {figure.unit}",
            "" if figure.aim is None else ("met" if figure.is_met else "MISSED"),
        )
        for figure in result.figures
    ]
    print_table(("figure", "median", "worst", "baseline", "aim", ""), rows)
    print()
    print_verdicts(result.verdicts)


def _plain(result):
    item = dataclasses.asdict(result)
    item["verdicts"] = [
        {
            "checker": name,
            "promise": promise,
            "events": count,
            "findings": [str(finding) for finding in findings],
        }
        for name, promise, count, findings in result.verdicts
    ]
    return item


def _print_demo(result):
    print(f"\nRequests of {result.deployment} by outcome")
    heads = ("request", "code", "ran", "count", "p50 ms", "p99 ms")
    print_table(heads, result.requests)
    print("\nLongest time without an answer for any probed key")
    rows = [(phase, f"{gap:.3f} s") for phase, gap in result.unavailable.items()]
    print_table(("phase", "unavailable"), rows)
    print(f"\nChurn      {result.churn} shards changed hands")
    print(f"Imbalance  {result.imbalance:.2f} (busiest server over the mean)")
    print("\nWhat must always hold")
    print_verdicts(result.verdicts)
    for name in result.left_behind:
        print(f"NOT STOPPED: {name}")


def print_verdicts(rows):
    """Print a line for each promise, and every finding."""
    lines = [
        ("held" if not findings else "BROKEN", promise, f"{count} events")
        for _, promise, count, findings in rows
    ]
    print_table(("verdict", "promise", "checked"), lines)
    for *_, findings in rows:
        for finding in findings[:10]:
            print(f"  {finding}")
