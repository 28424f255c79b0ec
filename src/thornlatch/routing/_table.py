"""Choice of a route by host name and path, and of its service by weight."""

import zlib

from thornlatch.routing._configuration import Route


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    routes : tuple of Route
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.routes_by_prefix = {
            (route.host, route.path_prefix): route for route in routes
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host name, with or without a port.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
        """
        name = _strip_port(host)
        end = path.rfind("/")
        while end >= 0:
            route = self.routes_by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _strip_port(host: str) -> str:
    if host.startswith("["):
        # An IPv6 literal, which contains colons.
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def choose_service(route: Route, request_id: str) -> str:
    """Return the service that a request goes to, by weight.

    Parameters
    ----------
    route : Route
    request_id : str
        Equal ids are assigned to the same service.

    Returns
    -------
    str
    """
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    remaining = zlib.crc32(request_id.encode()) / (1 << 32) * total
    for name, weight in route.services:
        remaining -= weight
        if remaining < 0:
            return name
    return route.services[-1][0]
