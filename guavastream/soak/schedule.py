"""Random schedules of faults, reproducible from a seed."""

import random
from dataclasses import dataclass

__all__ = ["Fault", "KINDS", "make_schedule"]

# The smallest control group, of three, tolerates one failed member at a time. Faults of
# control hosts are therefore spaced so that the previous host has caught up, seconds.
CATCH_UP_SECONDS = 4.0
# Kinds of faults by the group of processes, servers or connections they affect.
KINDS = {
    "control": ("kill", "freeze", "stop", "wipe"),
    "host": ("kill", "freeze", "stop"),
    "server": ("crash", "drain", "leave", "cut", "silence", "slow"),
}
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 2.5
# Mean time between faults. With the durations above, two faults overlap on average.
MEAN_GAP_SECONDS = 0.7


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of one target.

    Parameters
    ----------
    at : float
        Start, seconds after the start of the schedule.
    group, kind : str
        A key of `KINDS` and one of its values.
    target : int
        Index of the target in its group.
    seconds : float
        Duration, for kinds that end by themselves.
    """

    at: float
    group: str
    kind: str
    target: int
    seconds: float


def make_schedule(*, seed, seconds, counts):
    """Return a tuple of faults ordered by their start.

    Parameters
    ----------
    seed : int
        Equal seeds give equal schedules.
    seconds : float
        All faults begin before this time.
    counts : dict of str to int
        Number of targets in each group of `KINDS`.

    Examples
    --------
    >>> counts = {"control": 3, "host": 4, "server": 4}
    >>> faults = make_schedule(seed=1, seconds=20, counts=counts)
    >>> faults == make_schedule(seed=1, seconds=20, counts=counts)
    True
    """
    rng = random.Random(seed)
    faults, at, control_free_at = [], 0.0, 0.0
    while True:
        at += rng.expovariate(1 / MEAN_GAP_SECONDS)
        if at >= seconds:
            return tuple(faults)
        group = rng.choice(sorted(KINDS))
        fault = Fault(
            at=at,
            group=group,
            kind=rng.choice(KINDS[group]),
            target=rng.randrange(counts[group]),
            seconds=rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS),
        )
        if group == "control":
            if at < control_free_at:
                continue
            control_free_at = at + fault.seconds + CATCH_UP_SECONDS
        faults.append(fault)
