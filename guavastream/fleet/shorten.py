"""Reduces a change of the whole configuration to the items that differ."""

from guavastream.kernel import replace
from guavastream.routes import CallerLimits

__all__ = ["make_incremental"]


def make_incremental(command, config):
    """Return an equivalent change that contains only the items that differ.

    Operators may send the whole configuration to change one route. The log and
    every host would receive all of it: 400 KB for 1,200 routes, to each of some
    thousand hosts, for each of thousands of changes a day.

    Parameters
    ----------
    command : ChangeRoutes
        Change as sent by the operator.
    config : RouteConfig
        Newest configuration. A change that is based on another version is returned
        as it is and refused when it is applied. A reduced change is refused as
        well if another change is applied before it.

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
    >>> reduced = make_incremental(change, config)
    >>> reduced.services == (c,), reduced.drop_services, reduced.whole
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
    """Return the new or changed items, and the names of the removed ones."""
    wanted = {item.name: item for item in items}
    changed = tuple(item for name, item in wanted.items() if known.get(name) != item)
    return changed, tuple(name for name in known if name not in wanted)
