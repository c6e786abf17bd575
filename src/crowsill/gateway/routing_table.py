"""Finds the route of a request by host and longest path prefix."""

from random import Random

from crowsill.model.routes import Route, RouteConfiguration, ServiceDefinition
from crowsill.tenancy.identity import TenantDirectory

# Routes with a latency target up to this are for callers who do not wait.
URGENT_TARGET_MS = 2000.0
# Urgency of a route with a longer target that the operator ranks above an urgent one: a long target
# means that its callers can wait, not that they matter less.
OUTRANKING_URGENCY = 0.34


def is_urgent(route: Route) -> bool:
    """Whether a route's callers do not wait."""
    return route.target_latency_ms <= URGENT_TARGET_MS


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
        self._outranking = outranking_routes(configuration.routes)
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

    def urgency(self, route: Route) -> float:
        """Return how urgent it is to keep a route's models loaded, from 0 to 1."""
        if is_urgent(route):
            return 1.0
        return OUTRANKING_URGENCY if route.name in self._outranking else 0.0

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


def outranking_routes(routes: list[Route]) -> frozenset[str]:
    """Return the routes that the operator ranks above an urgent route of the same service.

    >>> from crowsill.model.routes import RouteKind, WeightedService
    >>> def route(name, target_ms, rank, service="s"):
    ...     share = [WeightedService(service, 1)]
    ...     return Route(name, "h", f"/{name}/", RouteKind.STREAM, 1, share, target_ms, rank=rank)
    >>> sorted(outranking_routes([route("chat", 800, 2), route("letter", 6000, 1)]))
    ['letter']
    >>> sorted(outranking_routes([route("chat", 800, 1), route("letter", 6000, 1)]))
    []
    """
    urgent_routes = [route for route in routes if is_urgent(route)]
    worst_urgent_rank: dict[str, int] = {}
    for route in urgent_routes:
        for share in route.services:
            worst_urgent_rank[share.service] = max(
                route.rank, worst_urgent_rank.get(share.service, route.rank)
            )
    return frozenset(
        route.name
        for route in routes
        if any(route.rank < worst_urgent_rank.get(share.service, -1) for share in route.services)
    )


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
