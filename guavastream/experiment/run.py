"""Runs of a scenario over many seeds, in processes of their own."""

import asyncio
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import async_solipsism

from guavastream.experiment.model import BUCKET_SECONDS, Model, Tally

__all__ = ["Result", "run_seeds"]

# Processes that play at a time, where nothing else is asked for.
JOBS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What became of one seed of a scenario under one policy."""

    scenario: str
    policy: str
    seed: int
    tally: Tally

    def worth(self, scenario):
        """Return the share earned of what all callers' requests were worth."""
        asked = earned = 0.0
        for kind in scenario.kinds:
            counts = self.tally.kinds[kind.name]
            asked += kind.worth * counts.asked
            earned += kind.worth * counts.asked * counts.share(kind.late_worth)
        return earned / asked if asked else 1.0

    def line(self, scenario):
        """Return a dict of plain values, for a line of JSON."""
        kinds = {}
        for name, counts in self.tally.kinds.items():
            if counts.asked:
                fields = ("asked", "in_time", "late", "refused", "failed")
                kinds[name] = {field: getattr(counts, field) for field in fields}
                kinds[name]["p50"] = self._quantile(name, 0.5)
                kinds[name]["p99"] = self._quantile(name, 0.99)
        return {
            "scenario": self.scenario,
            "policy": self.policy,
            "seed": self.seed,
            "worth": round(self.worth(scenario), 4),
            "kinds": kinds,
            "tries": self.tally.tries,
            "moved": round(self.tally.moved, 3),
        }

    def _quantile(self, name, share):
        times = sorted(self.tally.seconds.get(name, ()))
        return round(times[int(share * (len(times) - 1))], 4) if times else None

    def series(self, kind):
        """Return times, and served, late and refused requests a second."""
        rows = []
        for (name, bucket), counts in sorted(self.tally.buckets.items()):
            if name == kind:
                values = (
                    counts.in_time,
                    counts.late,
                    counts.refused + counts.failed,
                )
                rows.append(
                    (bucket * BUCKET_SECONDS, *(v / BUCKET_SECONDS for v in values))
                )
        return rows


def _play(scenario, policy, text, seed):
    async def main():
        return await Model(scenario=scenario, seed=seed, policy=policy).run()

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        tally = runner.run(main())
    return Result(scenario=scenario.name, policy=text, seed=seed, tally=tally)


def run_seeds(scenario, policies, seeds, *, jobs=JOBS, on_done=lambda: None):
    """Play a scenario for each policy and seed.

    Parameters
    ----------
    scenario : Scenario
        What is played.
    policies : dict of str to Policy
        Policies by the text that names them.
    seeds : iterable of int
        Seeds; each policy meets the same ones.
    jobs : int
        Processes that play at a time.
    on_done : callable
        Called after each run.

    Returns
    -------
    dict of str to list of Result
        In the order of the seeds.
    """
    seeds = list(seeds)
    found = {text: [] for text in policies}
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        futures = {
            text: [pool.submit(_play, scenario, policy, text, seed) for seed in seeds]
            for text, policy in policies.items()
        }
        for text, items in futures.items():
            for future in items:
                found[text].append(future.result())
                on_done()
    return found
