"""Tells from the configuration which services mix short and long requests."""

__all__ = ["has_mixed_work", "is_mixed"]


def is_mixed(targets, slots):
    """Return whether a server that is full of long requests is late for short ones.

    If all slots run requests that take up to the longest target, one becomes free after
    about that time divided by the number of slots. Where this exceeds the shortest
    target, a short request is late whenever the server is full.

    Examples
    --------
    >>> is_mixed((0.3, 4.0), 6), is_mixed((0.3, 4.0), 20), is_mixed((), 6)
    (True, False, False)
    """
    return bool(targets) and max(targets) / max(1, slots) > min(targets)


def has_mixed_work(config, service, slots):
    """Return whether the requests to a service are mixed by their targets.

    Routes without a target do not count: how long their requests take is not known.

    Parameters
    ----------
    config : RouteConfig
        The configuration in force.
    service : str
        Name of the service.
    slots : int
        Requests that one of its servers runs at the same time.

    Examples
    --------
    >>> from guavastream.routes import RetrySafety, Route, RouteConfig, WeightedService
    >>> def route(name, target):
    ...     return Route(
    ...         name=name, host="", prefix="/", retry_safety=RetrySafety.SAFE,
    ...         timeout=9.0, target=target, priority=0, attempts=1,
    ...         weighted_services=(WeightedService(service="s"),),
    ...     )
    >>> config = RouteConfig(routes={"a": route("a", 0.3), "b": route("b", 4.0)})
    >>> has_mixed_work(config, "s", 6), has_mixed_work(config, "s", 20)
    (True, False)
    """
    targets = [
        route.target
        for route in config.routes.values()
        if route.has_target
        and any(part.service == service for part in route.weighted_services)
    ]
    return is_mixed(targets, slots)
