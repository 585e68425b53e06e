"""Find the route of a request: by host, then by longest prefix."""

__all__ = ["RouteIndex"]


class RouteIndex:
    """An index over the routes of one configuration.

    Parameters
    ----------
    config : RouteConfig
        The configuration.

    Notes
    -----
    A look-up tries the prefixes of the path that end with a slash, longest
    first: its cost is the depth of the path, however many routes there are.

    Examples
    --------
    >>> from guavastream.routes.model import Part, Repeat, Route, RouteConfig
    >>> def route(name, prefix):
    ...     return Route(
    ...         name=name, host="a.example", prefix=prefix, repeat=Repeat.SAFE,
    ...         timeout=1.0, target=0.1, priority=0, attempts=1,
    ...         parts=(Part(service="s"),),
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
        self._hosts = {}
        for route in config.routes.values():
            prefixes = self._hosts.setdefault(route.host.encode(), {})
            prefixes[route.prefix.encode()] = route

    def find(self, host, path):
        """Return the route of a request, or None.

        Parameters
        ----------
        host, path : bytes
            Host header and path without query, as they were sent.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            prefixes = self._hosts.get(host.lower().rpartition(b":")[0])
        if prefixes is None:
            return None
        end = path.rfind(b"/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None
