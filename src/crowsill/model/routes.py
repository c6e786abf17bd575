"""Routes: which plain HTTP requests go to which service, and under what limits.

A route configuration is always replaced as one document. The operator chooses its version, and the
highest version is in effect. It is independent of templates and parameters, whose revisions
crowsill assigns.
"""

from enum import StrEnum

import msgspec

from crowsill.json_input import Quantity, Version, WholeNumber
from crowsill.model.tenants import Tenant, tenant_faults


class RouteKind(StrEnum):
    """How the requests of a route may be executed."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: str
    weight: Quantity


class Route(msgspec.Struct, frozen=True):
    """One route.

    Attributes:
        name: Unique name.
        host: Value of the `Host` header, without a port.
        path_prefix: Path prefix of its requests; begins and ends with a slash.
        kind: How its requests may be executed.
        timeout_ms: Deadline of a request, counted from its arrival.
        services: Services among which the requests are divided; at least one weight is positive.
        target_latency_ms: Time within which a response counts in full.
        target_gap_ms: Target for the maximum gap between two events of a stream.
        rank: Urgency; 0 is the highest.
        max_attempts: Maximum number of replicas that one request may be sent to.
        sticky: Whether requests with a common prompt prefix prefer the same replica.
        resumable: Whether an interrupted stream may be continued by another replica.
        public: Whether callers without a key are served too.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: Quantity
    services: list[WeightedService]
    target_latency_ms: Quantity = 1000.0
    target_gap_ms: Quantity = 0.0
    rank: WholeNumber = 5
    max_attempts: WholeNumber = 1
    sticky: bool = False
    resumable: bool = False
    public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after an attempt whose outcome is unknown."""
        return self.kind is RouteKind.IDEMPOTENT


class ModelWeights(msgspec.Struct, frozen=True):
    """A model that engines of a service may load.

    Attributes:
        name: Name of the model in requests.
        memory_mb: Memory of its weights.
        load_s: Duration of a load from the weight store.
        host_load_s: Duration of a load from a copy in the host's memory.
        disk_load_s: Duration of a load from a copy on the host's disk.
        adapters: Number of adapters, named `a1`, `a2` and so on.
        adapter_memory_mb: Memory of one adapter.
    """

    name: str
    memory_mb: Quantity
    load_s: Quantity = 10.0
    host_load_s: Quantity = 10.0
    disk_load_s: Quantity = 10.0
    adapters: WholeNumber = 0
    adapter_memory_mb: Quantity = 0.0


class EngineLimits(msgspec.Struct, frozen=True):
    """Capacity of every engine of a service.

    Attributes:
        memory_mb: Memory for weights and adapters.
        adapter_slots: Maximum number of loaded adapters.
        batch_slots: Number of requests that an engine runs concurrently.
        cache_tokens: Capacity of the KV cache that running requests and cached prompts share.
        store_loads_per_s: Loads per second that the weight store starts, over all engines.
        models: Models that the engines may load.
    """

    memory_mb: Quantity
    adapter_slots: WholeNumber
    batch_slots: WholeNumber
    cache_tokens: WholeNumber
    store_loads_per_s: Quantity
    models: list[ModelWeights]

    def model(self, name: str) -> ModelWeights | None:
        """Return a model by its name, or None."""
        return next((model for model in self.models if model.name == name), None)


class ServiceDefinition(msgspec.Struct, frozen=True):
    """A service that routes refer to.

    Attributes:
        name: Unique name.
        max_connections: Connections that one replica accepts from all callers together.
        engine: Set for a service of model engines.
        probe_path: Path that its replicas answer to `GET` without running a request, by which
            gateways check whether they reach them; empty if there is none.
    """

    name: str
    max_connections: WholeNumber
    engine: EngineLimits | None = None
    probe_path: str = ""


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's request and on the time to send it."""

    max_header_bytes: WholeNumber = 16384
    max_body_bytes: WholeNumber = 4 * 1024 * 1024
    header_timeout_ms: Quantity = 3000.0
    idle_timeout_ms: Quantity = 15000.0


class RouteConfiguration(msgspec.Struct, frozen=True):
    """All routes, services and tenants of one version; without tenants, callers need no key."""

    version: Version = 0
    routes: list[Route] = []
    services: list[ServiceDefinition] = []
    limits: CallerLimits = CallerLimits()
    tenants: list[Tenant] = []

    def longest_timeout_s(self, service: str) -> float | None:
        """Return the longest timeout of the routes to a service in seconds; None without one."""
        timeouts_ms = (
            route.timeout_ms
            for route in self.routes
            if any(share.service == service and share.weight > 0 for share in route.services)
        )
        longest_ms = max(timeouts_ms, default=None)
        return None if longest_ms is None else longest_ms / 1000.0


def route_faults(configuration: RouteConfiguration) -> list[str]:
    """Return the errors in a route configuration; empty if it is valid.

    >>> route_faults(RouteConfiguration(0))
    ['version must be 1 or more']
    """
    faults: list[str] = []
    if configuration.version < 1:
        faults.append("version must be 1 or more")
    services = {service.name for service in configuration.services}
    if len(services) != len(configuration.services):
        faults.append("two services share a name")
    faults.extend(
        f"service {service.name}: the probe path must begin with a slash and contain no spaces"
        for service in configuration.services
        if service.probe_path and not _is_path(service.probe_path)
    )
    faults.extend(tenant_faults(configuration.tenants))
    names: set[str] = set()
    hosts_and_prefixes: set[tuple[str, str]] = set()
    for route in configuration.routes:
        faults.extend(_route_faults(route, services))
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in hosts_and_prefixes:
            faults.append(f"route {route.name}: another route has its host and path prefix")
        if route.name in names:
            faults.append(f"route {route.name}: another route has its name")
        hosts_and_prefixes.add(host_and_prefix)
        names.add(route.name)
    return faults


def _is_path(text: str) -> bool:
    """Whether a text can stand as the path of a request line."""
    return text.startswith("/") and text.isascii() and text.isprintable() and " " not in text


def _route_faults(route: Route, services: set[str]) -> list[str]:
    faults: list[str] = []
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        faults.append(f"route {route.name}: the path prefix must begin and end with a slash")
    if not route.host:
        faults.append(f"route {route.name}: the host is empty")
    if route.timeout_ms <= 0:
        faults.append(f"route {route.name}: the timeout must be greater than 0")
    if route.max_attempts < 1:
        faults.append(f"route {route.name}: at least one attempt is needed")
    if any(share.weight < 0 for share in route.services):
        faults.append(f"route {route.name}: a weight must not be negative")
    if sum(share.weight for share in route.services) <= 0:
        faults.append(f"route {route.name}: the weights sum to 0")
    for share in route.services:
        if share.service not in services:
            faults.append(f"route {route.name}: unknown service {share.service!r}")
    return faults
