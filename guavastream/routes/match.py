"""Finds the route of a request by host and longest path prefix."""

__all__ = ["RouteIndex"]


class RouteIndex:
    """Index of the routes of one configuration.

    Parameters
    ----------
    config : RouteConfig
        Configuration to index.

    Notes
    -----
    A lookup tries each prefix of the path that ends with a slash, longest first.
    Its cost depends on the depth of the path and not on the number of routes.

    Examples
    --------
    >>> from guavastream.routes.model import (
    ...     RetrySafety, Route, RouteConfig, WeightedService
    ... )
    >>> def route(name, prefix):
    ...     return Route(
    ...         name=name, host="a.example", prefix=prefix,
    ...         retry_safety=RetrySafety.SAFE, timeout=1.0, target=0.1,
    ...         priority=0, attempts=1,
    ...         weighted_services=(WeightedService(service="s"),),
    ...     )
    >>> index = RouteIndex(
    ...     RouteConfig(routes={"r": route("r", "/x/"), "q": route("q", "/x/y/")})
    ... )
    >>> index.find(b"A.example:80", b"/x/y/z").name
    'q'
    >>> index.find(b"a.example", b"/x/yz").name, index.find(b"b", b"/x/")
    ('r', None)
    """

    def __init__(self, config):
        self.config = config
        self._prefixes_by_host = {}
        for route in config.routes.values():
            prefixes = self._prefixes_by_host.setdefault(route.host.encode(), {})
            prefixes[route.prefix.encode()] = route

    def find(self, host, path):
        """Return the route of a request, or None if no route matches.

        Parameters
        ----------
        host : bytes
            Value of the Host header, as sent.
        path : bytes
            Path without the query, as sent.
        """
        prefixes = self._prefixes_by_host.get(host.lower())
        if prefixes is None:
            prefixes = self._prefixes_by_host.get(host.lower().rpartition(b":")[0])
        if prefixes is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None
