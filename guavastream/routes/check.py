"""Findings about a configuration, each with its place."""

from guavastream.exception import Finding

__all__ = ["check_config"]


def check_config(config):
    """Return all findings about a `RouteConfig`, an empty list if it is sound.

    Examples
    --------
    >>> from guavastream.routes.model import Part, Repeat, Route, RouteConfig
    >>> route = Route(
    ...     name="r", host="a", prefix="x/", repeat=Repeat.SAFE, timeout=0.0,
    ...     target=0.1, priority=0, attempts=0, parts=(Part(service="s"),),
    ... )
    >>> [f.code for f in check_config(RouteConfig(version=1, routes={"r": route}))]
    ['bad_prefix', 'bad_timeout', 'no_attempts', 'unknown_service']
    """
    findings = []
    places = {}
    for route in config.routes.values():
        findings += _check_route(route, config)
        spot = (route.host, route.prefix)
        if spot in places:
            text = f"Has host and prefix of {places[spot]}."
            findings.append(_finding(route, "same_place", text))
        places[spot] = route.name
    return findings


def _check_route(route, config):
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield _finding(route, "bad_prefix", "The prefix needs a slash at both ends.")
    if not route.timeout > 0:
        yield _finding(route, "bad_timeout", "The timeout must be more than 0.")
    if route.attempts < 1:
        yield _finding(route, "no_attempts", "At least one attempt is needed.")
    if route.priority < 0:
        yield _finding(route, "bad_priority", "The priority must not be negative.")
    if not route.parts or not sum(part.weight for part in route.parts) > 0:
        yield _finding(route, "no_weight", "Some service must get requests.")
    for part in route.parts:
        if part.weight < 0:
            yield _finding(route, "bad_weight", "A weight must not be negative.")
        if part.service not in config.services:
            text = f"Service {part.service!r} is not configured."
            yield _finding(route, "unknown_service", text)


def _finding(route, code, text):
    return Finding(place=f"routes.{route.name}", code=code, text=text)
