"""A whole configuration as what it changes, which is most often very little."""

from guavastream.kernel import replace
from guavastream.routes import CallerLimits

__all__ = ["shorten_change"]


def shorten_change(command, config):
    """Return a change with the same effect that names only what differs.

        Operators may send a configuration whole for the sake of one route. In full
        it would be kept in the log and sent to every host: 400 KB for 1,200 routes,
        to each of some thousand hosts, at each of thousands of changes a day.

        Parameters
        ----------
        command : ChangeRoutes
            A change as its operator made it.
        config : RouteConfig
            The newest configuration. A change that builds on another one stays as
            it is. It is refused when it is applied, as the shortened one would be
            if another change came in between.

        Returns
        -------
        ChangeRoutes

        Examples
        --------
    >>> from guavastream.fleet.commands import ChangeRoutes
    >>> from guavastream.routes import RouteConfig, ServiceRules
        >>> a, b, c = (ServiceRules(name=name) for name in "abc")
        >>> config = RouteConfig(version=1, services={"a": a, "b": b})
        >>> change = ChangeRoutes(
        ...     base=1, version=2, digest=b"", whole=True, services=(a, c)
        ... )
        >>> short = shorten_change(change, config)
        >>> short.services == (c,), short.drop_services, short.whole
        (True, ('b',), False)
    """
    if not command.whole or command.base != config.version:
        return command
    routes, drop_routes = _difference(command.routes, config.routes)
    services, drop_services = _difference(command.services, config.services)
    return replace(
        command,
        whole=False,
        routes=routes,
        services=services,
        limits=command.limits or CallerLimits(),
        drop_routes=drop_routes,
        drop_services=drop_services,
    )


def _difference(items, known):
    """Return the items that differ from the known ones, and names that went."""
    wanted = {item.name: item for item in items}
    changed = tuple(item for name, item in wanted.items() if known.get(name) != item)
    return changed, tuple(name for name in known if name not in wanted)
