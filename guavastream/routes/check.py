"""Validation of a configuration."""

from guavastream.exception import Finding

__all__ = ["check_config"]


def check_config(config):
    """Return all errors in a `RouteConfig`, or an empty list if it is valid.

    Examples
    --------
    >>> from guavastream.routes.model import (
    ...     RetrySafety, Route, RouteConfig, WeightedService
    ... )
    >>> route = Route(
    ...     name="r", host="a", prefix="x/", retry_safety=RetrySafety.SAFE,
    ...     timeout=0.0, target=0.1, priority=0, attempts=0,
    ...     weighted_services=(WeightedService(service="s"),),
    ... )
    >>> [f.code for f in check_config(RouteConfig(version=1, routes={"r": route}))]
    ['bad_prefix', 'bad_timeout', 'no_attempts', 'unknown_service']
    """
    findings = []
    route_names = {}
    for route in config.routes.values():
        findings += _check_route(route, config)
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in route_names:
            text = f"Route {route_names[host_and_prefix]} has the same host and prefix."
            findings.append(_finding(route, "same_place", text))
        route_names[host_and_prefix] = route.name
    return findings


def _check_route(route, config):
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield _finding(
            route, "bad_prefix", "The prefix must begin and end with a slash."
        )
    if not route.timeout > 0:
        yield _finding(route, "bad_timeout", "The timeout must be greater than 0.")
    if route.attempts < 1:
        yield _finding(
            route, "no_attempts", "The number of attempts must be at least 1."
        )
    if route.priority < 0:
        yield _finding(route, "bad_priority", "The priority must not be negative.")
    if (
        not route.weighted_services
        or not sum(weighted.weight for weighted in route.weighted_services) > 0
    ):
        yield _finding(
            route, "no_weight", "The sum of the weights must be greater than 0."
        )
    for weighted in route.weighted_services:
        if weighted.weight < 0:
            yield _finding(route, "bad_weight", "A weight must not be negative.")
        if weighted.service not in config.services:
            text = f"Service {weighted.service!r} is not configured."
            yield _finding(route, "unknown_service", text)


def _finding(route, code, text):
    return Finding(place=f"routes.{route.name}", code=code, text=text)
