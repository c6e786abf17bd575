"""What the planner of copies sees, and what it answers: engines, demand and jobs."""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights

OVERDUE_FACTOR = 2.0


class JobReason(StrEnum):
    """Why a job is done, for the log."""

    AWAITED = "waited for"
    MORE_LOAD = "more load"
    PREFETCHED = "fetched ahead"
    ADAPTER = "adapter"
    FREE_SLOT = "place free"
    MISSING = "lacked by several requests"


@dataclass(slots=True)
class EngineView:
    """One engine as the planner sees it.

    Attributes:
        instance: What the directory says of it.
        limits: What it can take.
        held: Models that it holds, each with its adapters.
        is_busy: Whether a model job is under way there, or its state is not known yet.
        is_fetching: Whether that job is a load from the weight store.
        free_at_s: Clock when the job under way there will have ended; 0 when that is not known.
        accepts_adapter_jobs: Whether an adapter job may begin there.
        pending_mb: Memory of a model whose load is under way.
        loaded_at_s: Clock of the last load of each resource.
        loading: Model that is on its way there, or an empty text.
        limit_per_s: Requests a second that it takes by its own word; None without a limit.
    """

    instance: Instance
    limits: EngineLimits
    held: dict[str, set[str]]
    is_busy: bool = False
    is_fetching: bool = False
    free_at_s: float = 0.0
    accepts_adapter_jobs: bool = True
    pending_mb: float = 0.0
    loaded_at_s: dict[str, float] = field(default_factory=dict)
    loading: str = ""
    limit_per_s: float | None = None

    @property
    def loading_models(self) -> tuple[str, ...]:
        """The model that is on its way and not held yet, if there is one."""
        return (self.loading,) if self.loading and self.loading not in self.held else ()

    @property
    def instance_id(self) -> str:
        """Id of the instance."""
        return self.instance.instance_id

    @property
    def adapters(self) -> int:
        """Number of adapters that it holds."""
        return sum(len(adapters) for adapters in self.held.values())

    @property
    def is_needed(self) -> bool:
        """Whether it serves something, or has something near, that a long load would hold up."""
        near = (*self.instance.in_memory, *self.instance.on_disk)
        return bool(self.held) or any(model not in self.held for model in near)

    def has_cached(self, model: str) -> bool:
        """Whether its machine keeps a copy of a model, so that a load is short."""
        return model in self.instance.in_memory or model in self.instance.on_disk

    def busy_for_s(self, now_s: float) -> float:
        """Return how long the job under way there may still take.

        One that is overdue for a while may take as long again.
        """
        if self.free_at_s <= 0.0:
            return math.inf
        return max(self.free_at_s - now_s, (now_s - self.free_at_s) * OVERDUE_FACTOR)

    def load_time_s(self, model: ModelWeights) -> tuple[float, bool]:
        """Return how long a load takes, and whether it is fetched from the weight store."""
        if model.name in self.instance.in_memory:
            return model.host_load_s, False
        if model.name in self.instance.on_disk:
            return model.disk_load_s, False
        return model.load_s, True

    def model_mb(self, name: str, model: ModelWeights | None) -> float:
        """Memory of a held model with its adapters."""
        if model is None:
            # Nothing is known of it: it may fill the engine.
            return self.limits.memory_mb
        return model.memory_mb + len(self.held.get(name, ())) * model.adapter_memory_mb

    def used_mb(self, models: dict[str, ModelWeights]) -> float:
        """Memory that is taken, what is on its way included."""
        held_mb = (self.model_mb(name, models.get(name)) for name in self.held)
        return self.pending_mb + sum(held_mb)


@dataclass(frozen=True, slots=True)
class Job:
    """Something to do at one engine: take resources away, then load one.

    Attributes:
        instance_id: The engine.
        unload: Resources that make way, as `model` or `model/adapter`.
        model: Model to load, or whose adapter is to be loaded; empty to only unload.
        adapter: Adapter to load beside the model; empty for the model itself.
        from_store: Whether the load is fetched from the weight store.
        load_s: Expected time of the load.
        reason: Why, for the log.
    """

    instance_id: str
    unload: tuple[str, ...]
    model: str
    adapter: str
    from_store: bool
    load_s: float
    reason: JobReason


@dataclass(slots=True)
class ServiceView:
    """One service of engines at one moment.

    Attributes:
        limits: What its engines can take.
        engines: Its engines that accept work.
        demand: Requests a second by model, and by `model/adapter`.
        urgent: Those of them that have a short target, by the same names.
        overloaded: Those whose first event took most of their target, or that found no place.
        requested_at_s: Clock of the last request by the same names.
        awaited: Resources that requests wait for or lately waited for, and that no engine held.
        awaited_since_at_s: Clock since when requests wait, by model, where they still do.
        missed_requests: Requests since a model was held last, by model.
        turn_share: Share of the engines that may be loading rare models in turn, at least one; 0
            for no turns.
        started_at_s: Clock when this leadership began to place.
        store_loads: Loads that may be fetched from the weight store now.
        is_settled: Whether no engine has appeared for a while, so that what is seen is the fleet.
        now_s: Clock.
    """

    limits: EngineLimits
    engines: list[EngineView]
    demand: dict[str, float]
    urgent: dict[str, float]
    overloaded: dict[str, float]
    requested_at_s: dict[str, float]
    awaited: list[str]
    awaited_since_at_s: dict[str, float]
    started_at_s: float
    store_loads: int
    now_s: float
    is_settled: bool = True
    missed_requests: dict[str, float] = field(default_factory=dict)
    turn_share: float = 0.34

    def last_request_at_s(self, resource: str) -> float:
        """Clock of the last request for a resource."""
        return self.requested_at_s.get(resource, float("-inf"))
