"""Finds the route of a request by host and longest path prefix."""

from random import Random

from crowsill.gateway.wait_decision import wait_budget
from crowsill.model.routes import Route, RouteConfiguration, ServiceDefinition
from crowsill.overload.owed_work import MIN_RETRY_AFTER_S
from crowsill.tenancy.identity import TenantDirectory


def is_urgent(route: Route) -> bool:
    """Whether a route's callers cannot wait.

    A caller that is told to come back does so after a second at the earliest. If its response then
    still has its full value, it can give way to others.

    >>> from crowsill.model.routes import RouteKind
    >>> chat = Route("chat", "h", "/", RouteKind.STREAM, 8000, [], target_latency_ms=800)
    >>> letter = Route("letter", "h", "/", RouteKind.STREAM, 60000, [], target_latency_ms=4000)
    >>> is_urgent(chat), is_urgent(letter)
    (True, False)
    """
    return lost_value(route, MIN_RETRY_AFTER_S) > 0.0


class GatewayRoutingTable:
    """An index of one route configuration, built once per version.

    Attributes:
        configuration: The indexed configuration.
        services: Services by name.
        tenants: The tenants that may call; None if no key is required.
    """

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, ServiceDefinition] = {
            service.name: service for service in configuration.services
        }
        tenants = configuration.tenants
        self.tenants = TenantDirectory(tenants) if tenants else None
        self._outranked = outranked_routes(configuration.routes)
        # Urgencies by route and load time.
        self._urgencies: dict[tuple[str, float], float] = {}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def probe_path(self, service: str) -> str:
        """Return the path by which replicas of a service are checked; empty if there is none."""
        definition = self.services.get(service)
        return "" if definition is None else definition.probe_path

    def urgency(self, route: Route, service: str, model: str) -> float:
        """Return how urgent it is for a route's requests that their model is loaded, from 0 to 1.

        That is the share of a response's value that is lost if the model has to be loaded first.
        A route is as urgent as any that the operator ranks below it at one of its services.
        """
        definition = self.services.get(service)
        weights = None
        if definition is not None and definition.engine is not None:
            weights = definition.engine.model(model)
        if weights is None:
            return 0.0
        key = (route.name, weights.load_s)
        if key not in self._urgencies:
            routes = (route, *self._outranked.get(route.name, ()))
            self._urgencies[key] = max(lost_value(item, weights.load_s) for item in routes)
        return self._urgencies[key]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` at `host`, or None.

        >>> from crowsill.model.routes import RouteKind
        >>> routes = [Route(p, "a", p, RouteKind.STREAM, 1, []) for p in ("/", "/x/", "/x/y/")]
        >>> table = GatewayRoutingTable(RouteConfiguration(1, routes))
        >>> table.find("a", "/x/yz").path_prefix, table.find("a", "/x/y/z").path_prefix
        ('/x/', '/x/y/')
        >>> table.find("b", "/") is None
        True
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def lost_value(route: Route, delay_s: float) -> float:
    """Return the share of a response's value that is lost if it is delayed.

    >>> from crowsill.model.routes import RouteKind
    >>> route = Route("r", "h", "/", RouteKind.STREAM, 8000, [], target_latency_ms=4000)
    >>> lost_value(route, 4.0), lost_value(route, 5.0), lost_value(route, 9.0)
    (0.0, 0.25, 1.0)
    """
    return 1.0 - wait_budget(route, None, 0.0).response_value(delay_s)


def outranked_routes(routes: list[Route]) -> dict[str, list[Route]]:
    """Return the routes that the operator ranks below each route at one of its services.

    >>> from crowsill.model.routes import RouteKind, WeightedService
    >>> def route(name, rank, service="s"):
    ...     shares = [WeightedService(service, 1)]
    ...     return Route(name, "h", "/", RouteKind.STREAM, 1, shares, rank=rank)
    >>> below = outranked_routes([route("chat", 2), route("letter", 1), route("other", 3, "t")])
    >>> {name: [item.name for item in found] for name, found in below.items()}
    {'chat': [], 'letter': ['chat'], 'other': []}
    """
    by_service: dict[str, list[Route]] = {}
    for route in routes:
        for share in route.services:
            by_service.setdefault(share.service, []).append(route)
    return {
        route.name: [
            other
            for share in route.services
            for other in by_service[share.service]
            if other.rank > route.rank
        ]
        for route in routes
    }


def pick_service(route: Route, random: Random) -> str:
    """Choose one of a route's services at random, by weight.

    >>> from crowsill.model.routes import RouteKind, WeightedService
    >>> split = [WeightedService("a", 0), WeightedService("b", 3)]
    >>> pick_service(Route("r", "h", "/", RouteKind.STREAM, 1, split), Random(1))
    'b'
    """
    shares = [share for share in route.services if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return random.choices(shares, weights)[0].service
