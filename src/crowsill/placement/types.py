"""Input and output types of the planner."""

from dataclasses import dataclass, field

from crowsill.model.configuration import Configuration
from crowsill.state.commands import OrderKind


@dataclass(frozen=True, slots=True)
class ResourceSpec:
    """A model or adapter that some tenant uses.

    Attributes:
        name: `model` or `model:adapter`.
        model: Its base model; equal to `name` for a model.
        pool: Pool of the engines that may hold it.
        memory_mib: Memory that it takes, in MiB.
        move_price: Gain that a further copy must exceed, in requests per second.
        copies: Target number of copies if memory is free.
    """

    name: str
    model: str
    pool: str
    memory_mib: int
    move_price: float
    copies: int = 1

    @property
    def is_adapter(self) -> bool:
        """Whether it is an adapter of a base model."""
        return self.name != self.model


@dataclass(slots=True)
class EngineState:
    """One engine as the planner sees it.

    Attributes:
        replica_id: The engine.
        pool: Its pool.
        zone: Its zone.
        capacity_mib: Its memory, in MiB.
        slots: Number of requests that it runs at once.
        accepts_loads: Whether it accepts new loads.
        busy: Whether its current order must be settled before it gets another one.
        one_order_at_a_time: Whether each order must be settled before the next one; set for engines
            that don't check fences.
        resident: Resources that it holds and serves now.
        loading: Resources with an unsettled load.
        unloading: Resources with an unsettled unload.
    """

    replica_id: str
    pool: str
    zone: str
    capacity_mib: int
    slots: int
    accepts_loads: bool
    busy: bool = False
    one_order_at_a_time: bool = False
    resident: set[str] = field(default_factory=set)
    loading: set[str] = field(default_factory=set)
    unloading: set[str] = field(default_factory=set)

    @property
    def present(self) -> set[str]:
        """Resources that it serves now or soon, without those that it is to unload."""
        return (self.resident | self.loading) - self.unloading

    @property
    def serving(self) -> set[str]:
        """Resources that it serves now, without those that it is to unload."""
        return self.resident - self.unloading


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order that the planner decided on.

    Attributes:
        kind: Load or unload.
        replica_id: The engine.
        resource: The resource to load or unload.
        memory_mib: Memory of the resource, in MiB.
        gain: Demand that it adds capacity for, in requests per second; negative for an unload.
        price: Gain that it had to exceed.
        reason: One or two words for the log.
    """

    kind: OrderKind
    replica_id: str
    resource: str
    memory_mib: int
    gain: float
    price: float
    reason: str


def used_resources(configuration: Configuration) -> dict[str, ResourceSpec]:
    """Return every model and adapter that some tenant uses, by name."""
    resources: dict[str, ResourceSpec] = {}
    for parameters in configuration.parameters.values():
        template = configuration.templates[parameters.template]
        price = template.move_price if parameters.move_price is None else parameters.move_price
        for name in parameters.models:
            model = template.models[name]
            copies = 1 + template.spare_copies
            resources[name] = ResourceSpec(name, name, model.pool, model.memory_mib, price, copies)
            for adapter_name, adapter in model.adapters.items():
                full_name = f"{name}:{adapter_name}"
                resources[full_name] = ResourceSpec(
                    full_name, name, model.pool, adapter.memory_mib, price, copies
                )
    return resources
