"""`guavastream experiment`: policies on a model of a deployment."""

import dataclasses
import itertools
import json
import statistics
import sys

from guavastream.commands.output import print_table
from guavastream.commands.registry import command
from guavastream.exception import Finding, FindingsError
from guavastream.kernel import Policy

__all__ = []

USUAL = "as it is"


@command(
    "experiment",
    summary="Play policies on a model of a deployment in virtual time.",
    example="guavastream experiment compare hot-key balance=off --seeds 10",
)
def _setup_experiment(parser):
    verbs = parser.add_subparsers(dest="verb", required=True)
    run = verbs.add_parser("run", help="play one policy")
    compare = verbs.add_parser("compare", help="two policies, pair by pair")
    ablate = verbs.add_parser("ablate", help="each mechanism off, one by one")
    sweep = verbs.add_parser("sweep", help="one value after the other")
    for verb in (run, compare, ablate, sweep):
        verb.add_argument("scenario", help="file, or the name of a shipped one")
        verb.add_argument("--seeds", type=int, default=10, help="seeds (10)")
        verb.add_argument("--jobs", type=int, default=4, help="processes (4)")
        verb.add_argument("--lines", metavar="FILE", help="write results as JSON lines")
    for verb in (run, ablate, sweep):
        verb.add_argument("--policy", default="", help="such as near=off,spare=2")
    run.add_argument("--plot", metavar="FILE", help="picture over time, PNG or SVG")
    compare.add_argument("policies", nargs="+", help="one, or two to be compared")
    sweep.add_argument("values", metavar="NAME=A,B,C", help="such as spare=0.5,1,2")
    run.set_defaults(texts=lambda arguments: [arguments.policy])
    compare.set_defaults(texts=_compared)
    ablate.set_defaults(texts=_ablated)
    sweep.set_defaults(texts=_swept)
    return _experiment


def _compared(arguments):
    return (
        arguments.policies if len(arguments.policies) > 1 else ["", *arguments.policies]
    )


def _ablated(arguments):
    names = [f.name for f in dataclasses.fields(Policy) if f.type is bool]
    return [arguments.policy, *(_join(arguments.policy, f"{n}=off") for n in names)]


def _swept(arguments):
    name, _, values = arguments.values.partition("=")
    parts = [f"{name}={value}" for value in values.split(",")]
    return [_join(arguments.policy, part) for part in parts]


def _join(*parts):
    return ",".join(filter(None, parts))


def _experiment(arguments):
    # What draws and plots is an extra; other commands do without it.
    try:
        from tqdm import tqdm

        from guavastream.experiment.run import run_seeds
    except ImportError as error:
        text = f"{error.name} is missing; install guavastream[experiment]."
        found = Finding(place="experiment", code="missing", text=text)
        raise FindingsError([found]) from None
    from guavastream.experiment.scenario import load_scenario

    scenario = load_scenario(arguments.scenario)
    policies = {
        text or USUAL: Policy.parse(text) for text in arguments.texts(arguments)
    }
    total = len(policies) * arguments.seeds
    with tqdm(total=total, file=sys.stderr, unit="run") as bar:
        results = run_seeds(
            scenario,
            policies,
            range(1, arguments.seeds + 1),
            jobs=arguments.jobs,
            on_done=lambda: bar.update(),
        )
    if arguments.lines:
        with open(arguments.lines, "w", encoding="utf-8") as file:
            for result in itertools.chain(*results.values()):
                file.write(json.dumps(result.to_dict(scenario)) + "\n")
    if getattr(arguments, "plot", None):
        from guavastream.experiment.plot import plot_series

        plot_series(next(iter(results.values())), scenario, arguments.plot)
    _print(results, scenario)
    return 0


def _print(results, scenario):
    from guavastream.experiment.compare import paired_difference

    print(f"{scenario.name}; worth is in time, and late by its part, of all asked")
    base = None
    rows = []
    kinds = [kind for kind in scenario.kinds if kind.rate]
    for text, found in results.items():
        worths = [result.worth(scenario) for result in found]
        row = [text, f"{statistics.fmean(worths):.3f}"]
        if base is None:
            base, change = worths, ""
        else:
            change = paired_difference(base, worths)
            mark = "" if change.is_significant else " (noise)"
            change = f"{change.mean:+.3f} ± {change.half_width:.3f}{mark}"
        row.append(change)
        row += [_shares(found, kind.name) for kind in kinds]
        rows.append(row)
    titles = ["policy", "worth", "against the first"]
    print_table([*titles, *(f"{kind.name}: in time, late" for kind in kinds)], rows)


def _shares(found, kind):
    counts = [result.tally.kinds[kind] for result in found]
    asked = sum(c.asked for c in counts) or 1
    in_time = sum(c.in_time for c in counts) / asked
    late = sum(c.late for c in counts) / asked
    return f"{in_time:.3f}, {late:.3f}"
