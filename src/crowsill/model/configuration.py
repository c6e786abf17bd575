"""The operators' configuration: templates and the parameters of each tenant.

A template describes a kind of deployment. The parameters of a tenant refer to a template and select
from it. All templates and parameters form one `Configuration` with one revision number, so that
entries compare a single number to find the newer one.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

from crowsill.constants import MAX_IDENTIFIER_LENGTH
from crowsill.json_input import WholeNumber

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=MAX_IDENTIFIER_LENGTH)
]
Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class Urgency(StrEnum):
    """Whether a request may wait while others are served first."""

    URGENT = "urgent"
    PATIENT = "patient"


class TrafficClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One class of traffic.

    Attributes:
        urgency: Queue in which requests of the class wait.
        target_ms: Target for the time to the first byte of the response.
        deadline_ms: Time without a response after which a request is abandoned.
    """

    urgency: Urgency
    target_ms: Positive
    deadline_ms: Positive


class AdapterTemplate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An adapter loaded beside its base model; `memory_mib` is its size on an accelerator."""

    memory_mib: Positive


class ModelTemplate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A language model.

    Attributes:
        pool: Name of the pool of engines that may load the model.
        memory_mib: Memory of the weights plus the smallest useful KV cache, per model copy.
        traffic_class: Default class of its requests.
        adapters: Adapters by name.
    """

    pool: Name
    memory_mib: Positive
    traffic_class: Name
    adapters: dict[Name, AdapterTemplate] = {}


class ServiceTemplate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service.

    Attributes:
        pool: Name of the pool of replicas that run it.
        traffic_class: Default class of its requests.
        unsafe: Whether a request must run at most once.
    """

    pool: Name
    traffic_class: Name
    unsafe: bool = False


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of deployment.

    Attributes:
        name: Unique name.
        classes: Classes of traffic by name.
        models: Models by the name that callers use.
        services: Plain services by name.
        move_price: Requests per second that an additional model copy must take over from the
            others to justify one load.
        spare_copies: Model copies beyond the first that are kept while memory is free, so that a
            model stays available when its engine fails.
    """

    name: Name
    classes: dict[Name, TrafficClass]
    models: dict[Name, ModelTemplate] = {}
    services: dict[Name, ServiceTemplate] = {}
    move_price: NonNegativeFloat = 1.0
    spare_copies: Annotated[int, msgspec.Meta(ge=0, le=8)] = 1


class TenantLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one tenant; each entry applies them separately.

    Attributes:
        requests_per_s: Sustained rate.
        burst: Requests above the rate that are accepted at once.
        max_queued: Maximum number of waiting requests of the tenant.
    """

    requests_per_s: PositiveFloat = 1000.0
    burst: Positive = 1000
    max_queued: Positive = 1000


class Parameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant's selection from a template.

    Attributes:
        tenant: Unique name of the tenant.
        template: Name of the template.
        token_sha256: SHA-256 of each accepted bearer token, as lower-case hex.
        models: Models of the template that the tenant uses.
        services: Services of the template that the tenant uses.
        class_of: Traffic class by model or service name, if it differs from the template's.
        limits: The tenant's limits.
        move_price: Overrides the `move_price` of the template.
    """

    tenant: Name
    template: Name
    token_sha256: list[Sha256Hex]
    models: list[Name] = []
    services: list[Name] = []
    class_of: dict[Name, Name] = {}
    limits: TenantLimits = TenantLimits()
    move_price: NonNegativeFloat | None = None


class ConfigurationContent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one change sets and removes; all other documents keep their value."""

    templates: list[Template] = []
    parameters: list[Parameters] = []
    removed_templates: list[Name] = []
    removed_tenants: list[Name] = []


class ConfigurationChange(msgspec.Struct, frozen=True):
    """A change as an operator submits it.

    Attributes:
        change_id: Id chosen by the operator's client; a resend carries the same id.
        base_revision: The revision that the change is based on.
        content: What the change sets and removes.
        author: Name of the operator, for the history.
    """

    change_id: str
    base_revision: WholeNumber
    content: ConfigurationContent
    author: str = ""


class Configuration(msgspec.Struct, frozen=True):
    """The full configuration at one revision. Revision 0 is empty."""

    revision: int = 0
    templates: dict[str, Template] = {}
    parameters: dict[str, Parameters] = {}

    def with_content(self, content: ConfigurationContent, revision: int) -> "Configuration":
        """Return the configuration after a change.

        Args:
            content: The accepted change's content.
            revision: Its revision.
        """
        templates = dict(self.templates)
        for template_name in content.removed_templates:
            templates.pop(template_name, None)
        for template in content.templates:
            templates[template.name] = template
        parameters = dict(self.parameters)
        for tenant in content.removed_tenants:
            parameters.pop(tenant, None)
        for entry in content.parameters:
            parameters[entry.tenant] = entry
        return Configuration(revision, templates, parameters)


class ConfigurationDelta(msgspec.Struct, frozen=True):
    """One accepted change as sent to entries: the step from `revision - 1` to `revision`."""

    revision: int
    content: ConfigurationContent
