"""Services that nothing singles out are planned exactly as before learned speeds."""

import random
import zlib

import pytest

from guavastream.control.capacity import CapacityEstimator
from guavastream.control.demand import ServiceDemand
from guavastream.control.loads import KeyLoads
from guavastream.fleet import KEY_COUNT, Instance, KeyRun, LoadReport, update_runs
from guavastream.kernel import replace
from guavastream.placement import KeyRangeView, plan_key_ranges

# Checksums of all plans of `plans`, by seed, as made by the version before.
EARLIER_CHECKSUMS = {
    0: 2421910264,
    1: 2854125599,
    2: 3763470935,
    3: 3000746766,
    4: 1807250911,
    5: 3230560451,
}


def plans(seed, make_loads=KeyLoads):
    """Yield the plans for 8 s of random reports of 12 even servers with a hot spot."""
    rng = random.Random(seed)
    now = 0.0
    loads = make_loads(clock=lambda: now)
    estimator = CapacityEstimator(clock=lambda: now)
    fields = dict.fromkeys(("host", "door", "address", "zone"), "")
    servers = [
        Instance(id=f"s{number}", service="s", slots=5, **fields)
        for number in range(12)
    ]
    runs = (KeyRun(first=0, last=KEY_COUNT - 1),)
    moving = {}
    hot = rng.randrange(KEY_COUNT - 100)
    for step in range(32):
        now = step * 0.25
        runs = update_runs(
            runs,
            [(*key_range, target) for key_range, target in moving.items()],
            lambda run, row: replace(run, owner=row[2]),
        )
        for number in range(12):
            keys = {}
            for _ in range(4):
                key = int(abs(rng.gauss(0, 9000))) % KEY_COUNT
                if step > 16 and rng.random() < 0.4:
                    key = hot + rng.randrange(60)
                keys[key] = keys.get(key, 0) + 1
            loads.note(tuple(keys.items()), rng.randrange(3))
            estimator.note_latency(f"s{number}", rng.uniform(0.18, 0.22))
        found = loads.current_loads()
        plan = plan_key_ranges(
            KeyRangeView(
                runs=runs,
                capacity=estimator.capacities(servers),
                load=found.busy,
                areas=found.areas,
            )
        )
        yield plan
        runs = update_runs(
            runs, plan.grants, lambda run, row: replace(run, owner=row[2])
        )
        moving = {(first, last): target for first, last, target in plan.moves}


def checksum(found):
    return zlib.crc32(repr([(plan.grants, plan.moves) for plan in found]).encode())


class InactiveDemand:
    """A `ServiceDemand` with the methods of `KeyLoads`."""

    def __init__(self, clock):
        self._demand = ServiceDemand(name="s", clock=clock)

    def note(self, keys, rest):
        report = LoadReport(
            id="a", service="s", keys=keys, other_count=rest, latency=0.0
        )
        self._demand.note(report)

    def current_loads(self):
        assert not self._demand.is_active
        return self._demand.current_loads()


@pytest.mark.parametrize("make_loads", [KeyLoads, InactiveDemand])
@pytest.mark.parametrize("seed", EARLIER_CHECKSUMS)
def test_plans_are_the_same_as_before_learned_speeds(seed, make_loads):
    assert checksum(plans(seed, make_loads)) == EARLIER_CHECKSUMS[seed]
