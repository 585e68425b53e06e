"""Runs a scenario over many seeds in parallel processes."""

import asyncio
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import async_solipsism

from guavastream.experiment.model import BUCKET_SECONDS, Model, Tally

__all__ = ["Result", "run_seeds"]

# Default number of parallel processes.
DEFAULT_JOBS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Outcomes of a scenario under one policy with one seed."""

    scenario: str
    policy: str
    seed: int
    tally: Tally

    def worth(self, scenario):
        """Return the earned share of the total worth of the callers' requests."""
        total = earned = 0.0
        for kind in scenario.kinds:
            counts = self.tally.kinds[kind.name]
            total += kind.worth * counts.asked
            earned += kind.worth * counts.asked * counts.earned_share(kind.late_worth)
        return earned / total if total else 1.0

    def to_dict(self, scenario):
        """Return the result as a dict that can be written as JSON."""
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
            "tries": self.tally.failed_attempts,
            "moved": round(self.tally.moved_share, 3),
        }

    def _quantile(self, name, fraction):
        times = sorted(self.tally.latencies.get(name, ()))
        return round(times[int(fraction * (len(times) - 1))], 4) if times else None

    def rate_series(self, kind):
        """Return rows of time and requests per second by outcome, for one kind.

        The outcomes are: in time, late, and refused or failed.
        """
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


def _run_seed(scenario, policy, text, seed):
    async def main():
        return await Model(scenario=scenario, seed=seed, policy=policy).run()

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        tally = runner.run(main())
    return Result(scenario=scenario.name, policy=text, seed=seed, tally=tally)


def run_seeds(scenario, policies, seeds, *, jobs=DEFAULT_JOBS, on_done=lambda: None):
    """Simulate a scenario with each policy and seed.

    Parameters
    ----------
    scenario : Scenario
        The scenario to simulate.
    policies : dict of str to Policy
        Policies by their text form.
    seeds : iterable of int
        Seeds, the same for each policy.
    jobs : int
        Number of parallel processes.
    on_done : callable
        Called without arguments after each run.

    Returns
    -------
    dict of str to list of Result
        Results by policy text, in the order of the seeds.
    """
    seeds = list(seeds)
    results = {text: [] for text in policies}
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        futures = {
            text: [
                pool.submit(_run_seed, scenario, policy, text, seed) for seed in seeds
            ]
            for text, policy in policies.items()
        }
        for text, policy_futures in futures.items():
            for future in policy_futures:
                results[text].append(future.result())
                on_done()
    return results
