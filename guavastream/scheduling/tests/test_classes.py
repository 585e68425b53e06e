"""Urgency classes of services, and where slots are reserved."""

import itertools

import pytest

from guavastream.kernel import replace
from guavastream.routes import (
    RetrySafety,
    Route,
    RouteConfig,
    WeightedService,
    has_mixed_work,
)
from guavastream.scheduling import service_classes


def route(name, service, *, target, priority):
    return Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        retry_safety=RetrySafety.SAFE,
        timeout=5.0,
        target=target,
        priority=priority,
        attempts=2,
        weighted_services=(WeightedService(service=service),),
    )


def classes_of(*routes, **kwargs):
    config = RouteConfig(version=1, routes={route.name: route for route in routes})
    return service_classes(config, **kwargs)


DEPLOYMENT_A = (
    route("tank-status", "orders", target=0.623, priority=0),
    route("refill-order", "orders", target=0.921, priority=1),
    route("route-sheet", "dispatch", target=1.156, priority=1),
    route("delivery-history", "dispatch", target=4.123, priority=2),
    route("price-lookup", "dispatch", target=0.32, priority=1),
)
DEPLOYMENT_B = (
    route("glyph-fetch", "type-front", target=0.683, priority=2),
    route("licence-grant", "type-front", target=0.914, priority=1),
    route("archive-read", "type-library", target=1.702, priority=2),
    route("kern-lookup", "type-library", target=0.336, priority=1),
    route("metric-sync", "type-library", target=0.223, priority=1),
)


@pytest.mark.parametrize(
    "routes, slots, reserving",
    [(DEPLOYMENT_A, 6, {"dispatch"}), (DEPLOYMENT_B, 5, {"type-library"})],
)
def test_servers_with_mixed_work_reserve_slots(routes, slots, reserving):
    by_service = classes_of(*routes)
    assert reserving == {
        service
        for service, classes in by_service.items()
        if classes.need_reservation(slots)
    }


def test_class_priority_orders_queues_at_all_servers_but_reserves_no_slots():
    # With slots reserved at `orders` for its most urgent requests, which are as long as
    # the others, it refused ten times as many of the others.
    by_service = classes_of(*DEPLOYMENT_A, class_priority=True)
    assert all(classes.need_order(20) for classes in by_service.values())
    assert not any(classes.need_reservation(20) for classes in by_service.values())
    assert not by_service["orders"].need_reservation(6)


def test_servers_with_many_slots_and_short_targets_reserve_none():
    # Deployments whose servers have 13 to 20 slots work as before.
    targets = (0.06, 0.15, 0.3, 0.6)
    for slots, *pair in itertools.product(range(13, 21), targets, targets):
        routes = [
            route(f"r{number}", "s", target=target, priority=number)
            for number, target in enumerate(pair)
        ]
        classes = classes_of(*routes)["s"]
        assert not classes.need_reservation(slots) and not classes.need_order(slots)


def test_a_call_may_be_as_urgent_as_any_route():
    # A `price-lookup` that a `tank-status` makes is more urgent than all routes to
    # its own service.
    dispatch = classes_of(*DEPLOYMENT_A)["dispatch"]
    assert (dispatch.most_urgent, dispatch.least_urgent) == (0, 2)
    assert [dispatch.position(urgency) for urgency in (0, 1, 2)] == [0.0, 0.5, 1.0]


def test_services_without_routes_have_no_classes():
    assert classes_of() == {} and "other" not in classes_of(*DEPLOYMENT_A)


def test_routes_without_a_target_do_not_make_work_mixed():
    # Their target is the timeout. With 1.2 s beside requests of 0.06 s, servers with 13
    # slots reserved most of them, and calls from other services were refused.
    plain = replace(route("plain", "s", target=1.2, priority=1), timeout=1.2)
    classes = classes_of(plain, route("short", "s", target=0.06, priority=1))["s"]
    assert not classes.need_order(13)
    assert not has_mixed_work(
        RouteConfig(
            routes={
                "plain": plain,
                "short": route("short", "s", target=0.06, priority=1),
            }
        ),
        "s",
        13,
    )
