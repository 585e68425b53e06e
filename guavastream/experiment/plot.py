"""Plots the outcomes of requests over time."""

import matplotlib

__all__ = ["plot_series"]

matplotlib.use("Agg")

OUTCOME_COLOURS = {
    "in time": "#2a7f62",
    "late": "#e0a030",
    "refused or failed": "#b03a2e",
}


def plot_series(results, scenario, path):
    """Plot request rates by outcome over time, with one panel for each kind.

    Parameters
    ----------
    results : list of Result
        Runs of one policy, whose mean is plotted.
    scenario : Scenario
        The simulated scenario, whose faults are shaded.
    path : str
        Output file; its extension selects the format, PNG or SVG.
    """
    from matplotlib import pyplot

    kinds = [kind for kind in scenario.kinds if kind.rate]
    figure, panels = pyplot.subplots(
        len(kinds), 1, sharex=True, squeeze=False, figsize=(9, 2.4 * len(kinds))
    )
    for kind, panel in zip(kinds, panels[:, 0], strict=True):
        times, rates = _mean_series(results, kind.name)
        panel.stackplot(
            times, *rates, labels=OUTCOME_COLOURS, colors=OUTCOME_COLOURS.values()
        )
        panel.set_ylabel(f"{kind.name}\nrequests/s")
        for fault in scenario.faults:
            panel.axvspan(fault.at, fault.at + fault.seconds, alpha=0.12, color="gray")
    panels[0, 0].legend(loc="upper right", fontsize="small")
    panels[0, 0].set_title(f"{scenario.name} ({len(results)} seeds)")
    panels[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _mean_series(results, kind):
    """Return times and, for each outcome, the mean rates over all results."""
    sums = {}
    for result in results:
        for time, *values in result.rate_series(kind):
            sums_at_time = sums.setdefault(time, [0.0] * len(values))
            for number, value in enumerate(values):
                sums_at_time[number] += value / len(results)
    times = sorted(sums)
    return times, list(zip(*(sums[time] for time in times), strict=True))
