"""The demo: one deployment at today's size, driven through a bad day."""

import sys
import time
from dataclasses import dataclass

from guavastream.bench.cluster import DEPLOYMENTS, Cluster
from guavastream.bench.load import REQUEST_KINDS, Load, Prober
from guavastream.bench.report import (
    PROBE_PREFIX,
    broken,
    churn,
    imbalance,
    outcomes,
    verdicts,
)
from guavastream.timeline import write_events

__all__ = ["DemoResult", "run_demo"]

PROBED_KEYS = 12


@dataclass(frozen=True, kw_only=True)
class DemoResult:
    """What the demo measured.

    `unavailable` holds the longest time without an answer of any probed key,
    in seconds, for each phase.
    """

    deployment: str
    requests: list
    unavailable: dict
    churn: int
    imbalance: float
    verdicts: list
    left_behind: list

    @property
    def is_sound(self):
        """Whether every promise was kept and every process stopped."""
        return not broken(self.verdicts) and not self.left_behind


def run_demo(
    name, *, seconds, timeline="", say=lambda text: print(text, file=sys.stderr)
):
    """Run the demo and return its `DemoResult`.

    Parameters
    ----------
    name : str
        A key of `DEPLOYMENTS`.
    seconds : float
        Time under load, shared by five phases.
    timeline : str
        File for the merged time line; none if empty.
    say : callable
        Takes one line of progress.
    """
    deployment = DEPLOYMENTS[name]
    kinds = REQUEST_KINDS[name]
    spans, stamps = {}, {}
    with Cluster(deployment=deployment) as cluster:
        say(f"Starting {len(cluster.hosts)} backend servers and their processes.")
        cluster.start()
        load = Load(kinds=kinds, doors=lambda: cluster.doors, recorder=cluster.recorder)
        probers = [
            Prober(
                kind=kinds[0],
                key=f"{PROBE_PREFIX}{number}",
                doors=lambda: cluster.doors,
                recorder=cluster.recorder,
            )
            for number in range(PROBED_KEYS)
        ]
        for caller in (load, *probers):
            caller.start()
        for phase in PHASES:
            say(phase.__doc__)
            began = time.monotonic()
            stamps[phase] = cluster.recorder.clock.stamp()
            phase(cluster, deployment)
            rest = began + seconds / len(PHASES) - time.monotonic()
            time.sleep(max(0.5, rest))
            spans[phase.__name__.strip("_")] = (began, time.monotonic())
        for caller in (load, *probers):
            caller.stop()
        cluster.note_history()
        say("Stopping everything gracefully.")
        left_behind = cluster.stop_all()
        events = cluster.timeline()
    if timeline:
        write_events(timeline, events)
    calm = [e for e in events if stamps[_ordinary] < e.stamp < stamps[_drain]]
    return DemoResult(
        deployment=name,
        requests=outcomes(events),
        unavailable={
            phase: round(max(p.longest_gap(*span) for p in probers), 3)
            for phase, span in spans.items()
        },
        churn=churn(events, deployment.keyed),
        imbalance=round(imbalance(calm, deployment.keyed), 3),
        verdicts=verdicts(events),
        left_behind=left_behind,
    )


def _ordinary(cluster, deployment):
    """An ordinary day."""


def _drain(cluster, deployment):
    """Draining one server under load."""
    host = cluster.hosts_of(deployment.keyed)[-1]
    cluster.recorder.record("draining", detail={"host": host.name})
    cluster.change("drain", host.name)
    cluster.wait_settled()
    cluster.change("undrain", host.name)


def _loss(cluster, deployment):
    """Killing a server and the process beside it."""
    cluster.kill(cluster.hosts_of(deployment.keyed)[1])


def _return(cluster, deployment):
    """Bringing it back."""
    host = cluster.hosts_of(deployment.keyed)[1]
    host.wait(5)
    host.start(cluster.control)
    host.start_server()
    cluster.wait_settled()


def _restart(cluster, deployment):
    """Restarting one server of each service as planned."""
    for spec in deployment.servers:
        host = cluster.hosts_of(spec.service)[-1]
        cluster.stop_planned(host)
        host.start(cluster.control)
        host.start_server()
    cluster.wait_settled()


PHASES = (_ordinary, _drain, _loss, _return, _restart)
