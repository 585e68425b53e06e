"""Urgency classes of a service's requests, from the configuration of routes."""

from guavastream.kernel import record
from guavastream.routes import is_mixed

__all__ = ["ServiceClasses", "service_classes"]


@record
class ServiceClasses:
    """Targets and urgencies of the requests to one service.

    Parameters
    ----------
    shortest_target, longest_target : float
        Bounds of the target latencies of the routes to the service, seconds.
    most_urgent : int
        Lowest priority value of all routes of the configuration: a call is as urgent
        as the request that caused it, which may have any route.
    least_urgent : int
        Highest priority value of the routes to the service.
    class_priority : bool
        Whether queues are ordered by urgency whatever the targets are.
    """

    shortest_target: float
    longest_target: float
    most_urgent: int
    least_urgent: int
    class_priority: bool = False

    def need_reservation(self, slots):
        """Whether servers with `slots` slots reserve some for urgent requests.

        Examples
        --------
        >>> classes = ServiceClasses(
        ...     shortest_target=0.3, longest_target=4.0, most_urgent=0, least_urgent=2
        ... )
        >>> classes.need_reservation(6), classes.need_reservation(20)
        (True, False)
        """
        return is_mixed((self.shortest_target, self.longest_target), slots)

    def need_order(self, slots):
        """Whether the queues of servers with `slots` slots are ordered by urgency.

        Where all requests take about the same time, that is enough: a slot becomes free
        soon. Slots reserved there would be idle, or keep out the less urgent requests.
        """
        return self.class_priority or self.need_reservation(slots)

    def position(self, urgency):
        """Return 0 for the most urgent class, 1 for the least, between for others.

        Examples
        --------
        >>> classes = ServiceClasses(
        ...     shortest_target=0.3, longest_target=4.0, most_urgent=0, least_urgent=2
        ... )
        >>> [classes.position(urgency) for urgency in (0, 1, 2, 7)]
        [0.0, 0.5, 1.0, 1.0]
        """
        span = self.least_urgent - self.most_urgent
        if span <= 0:
            return 0.0
        return min(1.0, max(0.0, (urgency - self.most_urgent) / span))


def service_classes(config, *, class_priority=False):
    """Return the `ServiceClasses` of each service that has routes, by its name.

    Parameters
    ----------
    config : RouteConfig
        The active configuration.
    class_priority : bool
        Whether the queues of all servers are ordered by urgency.
    """
    routes_by_service = {}
    for route in config.routes.values():
        # How long requests of routes without a target take is not known.
        for part in route.weighted_services if route.has_target else ():
            routes_by_service.setdefault(part.service, []).append(route)
    most_urgent = min((route.priority for route in config.routes.values()), default=0)
    return {
        service: ServiceClasses(
            shortest_target=min(route.target for route in routes),
            longest_target=max(route.target for route in routes),
            most_urgent=most_urgent,
            least_urgent=max(route.priority for route in routes),
            class_priority=class_priority,
        )
        for service, routes in routes_by_service.items()
    }
