"""Which faults strike what and when, drawn from a seed."""

import random
from dataclasses import dataclass

__all__ = ["Fault", "KINDS", "make_schedule"]

# Faults of one control host at a time are all that the smallest group bears:
# the next one waits until the one before has caught up, seconds.
CATCH_UP_SECONDS = 4.0
# Processes and connections that fail, by what they belong to.
KINDS = {
    "control": ("kill", "freeze", "stop", "wipe"),
    "host": ("kill", "freeze", "stop"),
    "server": ("crash", "drain", "leave", "cut", "silence", "slow"),
}
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 2.5
# Mean time between faults, seconds; with the above, two overlap on average.
GAP_SECONDS = 0.7


@dataclass(frozen=True, kw_only=True)
class Fault:
    """`kind` strikes target number `target` of a group `at` seconds.

    What ends by itself does so after `seconds`.
    """

    at: float
    group: str
    kind: str
    target: int
    seconds: float


def make_schedule(*, seed, seconds, counts):
    """Return faults in their order.

    Parameters
    ----------
    seed : int
        Equal seeds give equal schedules.
    seconds : float
        Faults begin before this.
    counts : dict of str to int
        How many control hosts, hosts and servers there are.

    Examples
    --------
    >>> counts = {"control": 3, "host": 4, "server": 4}
    >>> faults = make_schedule(seed=1, seconds=20, counts=counts)
    >>> faults == make_schedule(seed=1, seconds=20, counts=counts)
    True
    """
    rng = random.Random(seed)
    faults, at, control_free = [], 0.0, 0.0
    while True:
        at += rng.expovariate(1 / GAP_SECONDS)
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
            if at < control_free:
                continue
            control_free = at + fault.seconds + CATCH_UP_SECONDS
        faults.append(fault)
