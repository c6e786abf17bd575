"""An index of the configuration for the request path, by tenant and resource."""

from dataclasses import dataclass

from crowsill.model.configuration import (
    Configuration,
    Parameters,
    Template,
    TenantLimits,
    TrafficClass,
)
from crowsill.tenancy.key_ring import KeyRing


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one tenant for one resource are served.

    Attributes:
        resource: `model`, `model:adapter` or the service's name.
        pool: Pool of replicas that may serve them.
        traffic_class: Their urgency, target and deadline.
        unsafe: Whether each request must run at most once.
    """

    resource: str
    pool: str
    traffic_class: TrafficClass
    unsafe: bool


@dataclass(frozen=True, slots=True)
class TenantRoutes:
    """Resources and limits of one tenant.

    Attributes:
        tenant: Name of the tenant.
        limits: Its limits.
        models: Routes by `model` or `model:adapter`.
        services: Routes by service name.
    """

    tenant: str
    limits: TenantLimits
    models: dict[str, Route]
    services: dict[str, Route]


def adapter_resource(model: str, adapter: str) -> str:
    """Return the resource name of an adapter."""
    return f"{model}:{adapter}"


class RoutingTable:
    """An index of one configuration, built once per revision.

    Attributes:
        revision: Revision of the configuration.
        tenants: Routes by tenant.
        key_ring: Finds the tenant that a bearer token belongs to.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.revision = configuration.revision
        self.tenants: dict[str, TenantRoutes] = {}
        for parameters in configuration.parameters.values():
            template = configuration.templates[parameters.template]
            self.tenants[parameters.tenant] = _tenant_routes(parameters, template)
        self.key_ring = KeyRing(
            (parameters.tenant, token)
            for parameters in configuration.parameters.values()
            for token in parameters.token_sha256
        )


def _tenant_routes(parameters: Parameters, template: Template) -> TenantRoutes:
    models: dict[str, Route] = {}
    for name in parameters.models:
        model = template.models[name]
        class_name = parameters.class_of.get(name, model.traffic_class)
        traffic_class = template.classes[class_name]
        models[name] = Route(name, model.pool, traffic_class, False)
        for adapter in model.adapters:
            resource = adapter_resource(name, adapter)
            models[resource] = Route(resource, model.pool, traffic_class, False)
    services: dict[str, Route] = {}
    for name in parameters.services:
        service = template.services[name]
        class_name = parameters.class_of.get(name, service.traffic_class)
        traffic_class = template.classes[class_name]
        services[name] = Route(name, service.pool, traffic_class, service.unsafe)
    return TenantRoutes(parameters.tenant, parameters.limits, models, services)
