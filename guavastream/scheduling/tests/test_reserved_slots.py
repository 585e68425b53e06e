"""Long and short requests that compete for the slots of one service.

The load is an eighth of a mesh whose `orders` servers call its `dispatch` servers, with
a burst of long requests. Targets, times and rates are those of deployment A in
docs/design/demanding-load.md.
"""

from dataclasses import replace

import pytest

from guavastream.scheduling.tests.tandem import Kind, TwoServiceSimulation

SLOTS = 6
SCALE = 1 / 8
BURST = (5.0, 15.0)
PRICE_LOOKUP = Kind(
    name="price-lookup",
    service="dispatch",
    rate=0,
    work=0.044,
    target=0.32,
    deadline=0.801,
    rank=1,
)
TANK_STATUS = Kind(
    name="tank-status",
    service="orders",
    rate=679 * SCALE,
    work=0.18,
    target=0.623,
    deadline=4.981,
    rank=0,
    calls=1,
    call_share=0.7,
    called=PRICE_LOOKUP,
    keyed=True,
)
REFILL_ORDER = Kind(
    name="refill-order",
    service="orders",
    rate=189 * SCALE,
    work=0.23,
    target=0.921,
    deadline=5.753,
    rank=1,
    keyed=True,
)
ROUTE_SHEET = Kind(
    name="route-sheet",
    service="dispatch",
    rate=79 * SCALE,
    work=0.14,
    target=1.156,
    deadline=7.225,
    rank=1,
)
DELIVERY_HISTORY = Kind(
    name="delivery-history",
    service="dispatch",
    rate=105 * SCALE,
    work=0.7,
    target=4.123,
    deadline=12.368,
    rank=2,
    burst=BURST,
    burst_factor=2.5,
)
KINDS = [TANK_STATUS, REFILL_ORDER, ROUTE_SHEET, DELIVERY_HISTORY]
SERVERS = {"orders": [0.6, 1.0, 1.4, 1.0, 1.0, 0.6, 1.4], "dispatch": [0.5, 1, 1, 1.5]}


BY_CLASS = ("dispatch",)
# A call that is late makes its request late as well. At least this share is to be in
# time, so that the callers of `dispatch` lose at most a twentieth by it.
CALLS_IN_TIME = 0.95
# The invariant on starvation: each kind is served a quarter as often as all.
MIN_SERVED_SHARE = 0.25


def simulate(by_class, *, kinds=KINDS, servers=SERVERS, seed=1):
    """Return the counts by kind; servers of services in `by_class` reserve slots."""
    simulation = TwoServiceSimulation(
        kinds=kinds,
        servers=servers,
        slots=SLOTS,
        seconds=20.0,
        seed=seed,
        by_class=by_class,
        slow_share=0.2,
    )
    return simulation.run()


def served_share(counts):
    """Return the share of all requests that were answered."""
    answered = sum(kind.in_time + kind.late for kind in counts.values())
    return answered / sum(kind.requests for kind in counts.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_requests_do_not_suffer_from_a_burst_of_long_ones(seed):
    # Without reserved slots, calls of 44 ms wait until one of six requests of 700 ms
    # ends, and the requests that make them hold slots of the other service meanwhile.
    before, after = simulate((), seed=seed), simulate(BY_CLASS, seed=seed)
    target = PRICE_LOOKUP.target
    calls_before, calls_after = (
        counts["tank-status"].call_share_within(target) for counts in (before, after)
    )
    assert calls_before < CALLS_IN_TIME <= calls_after
    assert after["tank-status"].share > before["tank-status"].share
    steady = [replace(kind, burst_factor=1.0) for kind in KINDS]
    without_burst = simulate(BY_CLASS, kinds=steady, seed=seed)
    assert after["tank-status"].share > 0.95 * without_burst["tank-status"].share
    assert after["route-sheet"].share > 0.95 * without_burst["route-sheet"].share


@pytest.mark.parametrize("by_class", [("dispatch",), ("dispatch", "orders")])
def test_no_kind_starves(by_class):
    counts = simulate(by_class)
    least = MIN_SERVED_SHARE * served_share(counts)
    assert min(kind.served for kind in counts.values() if kind.requests) >= least
    calls = counts["tank-status"]
    assert len(calls.call_seconds) >= least * calls.calls


def test_long_requests_use_all_slots_when_nothing_urgent_comes():
    # Reserved slots that nobody uses would be lost capacity.
    kinds = [replace(DELIVERY_HISTORY, rate=10.0)]
    servers = {"dispatch": [1.0]}
    before, after = (
        simulate(by_class, kinds=kinds, servers=servers) for by_class in ((), BY_CLASS)
    )
    assert after == before
