"""Tells from the configuration which services mix short and long requests."""

__all__ = ["has_mixed_work"]


def has_mixed_work(config, service, slots):
    """Return whether short requests to a service are late behind long ones.

    That is so if the longest target of its routes, divided by the slots of a server,
    exceeds the shortest one: a full server then frees a slot too rarely. Routes without
    a target do not count: how long their requests take is not known.

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
    return bool(targets) and max(targets) > max(1, slots) * min(targets)
