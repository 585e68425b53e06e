"""When learned speeds decide about keys, and the capacities that follow."""

import pytest

from guavastream.control.capacity import CapacityEstimator
from guavastream.control.demand import ServiceDemand
from guavastream.control.tests.test_fleet import ROUTE
from guavastream.fleet import Instance, LoadReport
from guavastream.kernel import replace
from guavastream.routes import RouteConfig, ServiceRules


def make_config(*targets):
    routes = {
        str(target): replace(ROUTE, name=str(target), target=target, timeout=9.0)
        for target in targets
    }
    rules = ServiceRules(name="s", keyed=True)
    return RouteConfig(version=1, routes=routes, services={"s": rules})


def server(id, slots=5):
    fields = dict.fromkeys(("host", "door", "address", "zone"), "")
    return Instance(id=id, service="s", slots=slots, **fields)


def report(id, *work, latency=0.3, keys=((7, 3),)):
    return LoadReport(
        id=id, service="s", keys=keys, other_count=0, latency=latency, work=work
    )


class Leader:
    """Feeds a `ServiceDemand` with the reports of servers of given speeds."""

    def __init__(self, speeds, **options):
        self.now = 0.0
        self.gauges = {}
        self.speeds = speeds
        self.servers = [server(id) for id in speeds]
        self.demand = ServiceDemand(
            name="s",
            clock=lambda: self.now,
            set_gauge=self.gauges.__setitem__,
            unset_gauge=self.gauges.pop,
            **options,
        )

    def run_for(self, seconds, config):
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            for id, speed in self.speeds.items():
                self.demand.note(report(id, ("r", 3, 0.6 / speed, 0.3)))
            self.demand.update(config, self.servers)
        return self.demand


IDS = "abcdefghijklmnop"
UNEVEN = {id: 0.55 if number % 4 == 0 else 1.2 for number, id in enumerate(IDS)}
EVEN = dict.fromkeys(IDS, 1.0)


def test_even_servers_have_the_capacity_of_their_reported_times():
    # Guards against a change of plans where nothing requires it.
    demand = Leader(EVEN).run_for(20.0, make_config(0.6, 0.8))
    assert not demand.is_active and demand.request_seconds() is None


@pytest.mark.parametrize(
    "speeds, targets, options",
    [
        (EVEN, (0.3, 4.0), {}),
        (EVEN, (0.6, 0.8), {"class_priority": True}),
        (UNEVEN, (0.6, 0.8), {}),
    ],
)
def test_learned_speeds_decide_where_it_is_called_for(speeds, targets, options):
    leader = Leader(speeds, **options)
    config = make_config(*targets)
    demand = leader.run_for(20.0, config)
    assert demand.is_active
    estimator = CapacityEstimator(clock=lambda: leader.now)
    for id in speeds:
        # The times with calls that a server reports no longer count.
        estimator.note_latency(id, 9.0)
    found = estimator.capacities(leader.servers, learned=demand.request_seconds())
    for id, speed in speeds.items():
        mean = sum(0.2 / s for s in speeds.values()) / len(speeds)
        relative = sum(1 / s for s in speeds.values()) / len(speeds) * speed
        expected = 5 / (mean / relative + 0.1)
        assert found[id] == pytest.approx(expected, rel=0.15)


def test_gauges_show_the_learned_speeds_of_present_servers_only():
    # Guards against a gauge of a removed server that stays forever.
    leader = Leader(dict(UNEVEN), class_priority=True)
    leader.run_for(20.0, make_config(0.6, 0.8))
    assert len(leader.gauges) == len(IDS)
    assert leader.gauges['server_speed{service="s",server="a"}'] < 0.8
    leader.servers.pop(0)
    del leader.speeds["a"]
    leader.run_for(1.0, make_config(0.6, 0.8))
    assert len(leader.gauges) == len(IDS) - 1


def test_uneven_servers_that_become_even_are_planned_as_before():
    leader = Leader(dict(UNEVEN))
    config = make_config(0.6, 0.8)
    assert leader.run_for(20.0, config).is_active
    leader.speeds.update(EVEN)
    assert not leader.run_for(60.0, config).is_active


def test_gauges_are_removed_when_the_leader_steps_down():
    # Guards against two control hosts that show different speeds.
    leader = Leader(dict(UNEVEN), class_priority=True)
    leader.run_for(5.0, make_config(0.6, 0.8)).clear_gauges()
    assert not leader.gauges
    leader.run_for(0.5, make_config(0.6, 0.8))
    assert len(leader.gauges) == len(IDS)
