"""What a bench is, the registry of benches, and what they share."""

import abc
import contextlib
import statistics
import time
from dataclasses import dataclass

from guavastream.bench.cluster import DEPLOYMENTS, Cluster, Deployment, ServerSpec
from guavastream.bench.load import REQUEST_KINDS, Load, Prober
from guavastream.bench.report import PROBE_PREFIX, broken, verdicts
from guavastream.kernel import Registry
from guavastream.timeline import write_events

__all__ = ["BENCHES", "Bench", "BenchResult", "Figure", "measure_gaps", "running"]

BENCHES = Registry(kind="bench")


@dataclass(frozen=True, kw_only=True)
class Figure:
    """One measured figure.

    Parameters
    ----------
    name : str
        What was measured.
    median, worst : float
        Over all events of the run.
    unit : str
        Unit of both.
    aim : float or None
        Bound that `worst` should keep, if there is one.
    baseline : float or None
        Median of the baseline in the same run, if it was measured.
    """

    name: str
    median: float
    worst: float
    unit: str = "s"
    aim: float | None = None
    baseline: float | None = None

    @classmethod
    def of(cls, name, values, **fields):
        """Return the figure of a list of values; larger is worse."""
        return cls(
            name=name,
            median=round(statistics.median(values), 4),
            worst=round(max(values), 4),
            **fields,
        )

    @property
    def is_met(self):
        """Whether the aim, if any, was met."""
        return self.aim is None or self.worst <= self.aim


@dataclass(frozen=True, kw_only=True)
class BenchResult:
    """Figures of one bench and the verdict over its time line."""

    name: str
    figures: list
    verdicts: list
    baseline: str

    @property
    def is_sound(self):
        """Whether no promise was broken."""
        return not broken(self.verdicts)


class Bench(abc.ABC):
    """One measurement on real processes.

    Parameters
    ----------
    events : int
        Times that what is measured is brought about.
    """

    summary = ""
    baseline = ""

    def __init__(self, *, events=5):
        self._events = events

    @abc.abstractmethod
    def measure(self):
        """Return the figures and the merged time line."""

    def run(self, name, *, keep=""):
        """Measure and judge; `keep` names a file for the time line."""
        figures, timeline = self.measure()
        if keep:
            write_events(keep, timeline)
        return BenchResult(
            name=name,
            figures=figures,
            verdicts=verdicts(timeline),
            baseline=self.baseline,
        )


def keyed_only(*, count=5, slots=20, work_ms=3.0):
    """Return the deployment that has only the crew rosters."""
    full = DEPLOYMENTS["rosterdeck"]
    spec = ServerSpec(service=full.keyed, count=count, slots=slots, work_ms=work_ms)
    return Deployment(
        name=full.name,
        zones=full.zones,
        servers=(spec,),
        keyed=full.keyed,
        text=full.declaration.replace("slots = 20", f"slots = {slots}"),
    )


@contextlib.contextmanager
def running(*, deployment=None, probes=24, callers=4, **options):
    """Run a cluster with callers and probers; yield both."""
    kinds = [
        kind
        for kind in REQUEST_KINDS["rosterdeck"]
        if kind.service == DEPLOYMENTS["rosterdeck"].keyed
    ]
    with Cluster(deployment=deployment or keyed_only(), **options) as cluster:
        cluster.start()
        doors = _doors_of(cluster)
        probers = [
            Prober(
                kind=kinds[0],
                key=f"{PROBE_PREFIX}{number}",
                doors=doors,
                recorder=cluster.recorder,
            )
            for number in range(probes)
        ]
        load = Load(
            kinds=kinds, doors=doors, recorder=cluster.recorder, callers=callers
        )
        for caller in (load, *probers):
            caller.start()
        time.sleep(1)
        yield cluster, probers
        for caller in (load, *probers):
            caller.stop()


def _doors_of(cluster):
    return lambda: cluster.doors


def measure_gaps(probers, since):
    """Return the longest gap of each prober since a moment."""
    until = time.monotonic()
    return [prober.longest_gap(since, until) for prober in probers]
