"""Input and output of the copy planner: engines, demand and jobs."""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights

# Time for which callers of a service wait if no route to it is known, in seconds.
DEFAULT_WAIT_S = 15.0
# Expected remaining time of an overdue job, as a multiple of the time by which it is overdue.
OVERDUE_FACTOR = 2.0


def models_by_name(limits: EngineLimits) -> dict[str, ModelWeights]:
    """Return the models of a service by name, in an order that no configuration decides.

    The order of a list says nothing about demand, so it must decide nothing.

    >>> models = [ModelWeights("b", 70.0), ModelWeights("a", 70.0)]
    >>> list(models_by_name(EngineLimits(220.0, 4, 8, 1000, 1.0, models)))
    ['a', 'b']
    """
    return {model.name: model for model in sorted(limits.models, key=lambda model: model.name)}


class JobReason(StrEnum):
    """The reason for a job, for the log."""

    AWAITED = "waited for"
    MORE_LOAD = "more load"
    PREFETCHED = "fetched ahead"
    ADAPTER = "adapter"
    FREE_SLOT = "place free"
    MISSING = "missing for long"


@dataclass(slots=True)
class EngineView:
    """One engine as the planner sees it.

    Attributes:
        instance: The engine's entry in the directory.
        limits: Its memory and slots, and the models of its service.
        held: Models that it holds, each with its adapters.
        is_busy: Whether a model job is running or its state is not known yet.
        is_fetching: Whether that job is a load from the weight store.
        free_at_s: Monotonic time when the running job is expected to end, in seconds; 0 if unknown.
        accepts_adapter_jobs: Whether an adapter job may start.
        pending_mb: Memory of the model that is being loaded.
        loaded_at_s: Monotonic time of the last load of each resource, in seconds.
        loading: The model that is being loaded, or an empty string.
        limit_per_s: Requests per second that it advertises as its limit; None without a limit.
        pace_percent: Time that work takes there, in percent of the usual; None if not known.
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
    pace_percent: int | None = None

    @property
    def pace(self) -> float:
        """The time that work takes there, relative to the usual; 1 if not known."""
        return 1.0 if self.pace_percent is None else self.pace_percent / 100.0

    @property
    def loading_models(self) -> tuple[str, ...]:
        """The model that is being loaded and not held yet, if there is one."""
        return (self.loading,) if self.loading and self.loading not in self.held else ()

    @property
    def instance_id(self) -> str:
        """The id of the instance."""
        return self.instance.instance_id

    @property
    def adapters(self) -> int:
        """The number of adapters that it holds."""
        return sum(len(adapters) for adapters in self.held.values())

    @property
    def is_needed(self) -> bool:
        """Whether it holds or has cached a model that a long load would block."""
        cached = (*self.instance.in_memory, *self.instance.on_disk)
        return bool(self.held) or any(model not in self.held for model in cached)

    def has_cached(self, model: str) -> bool:
        """Whether its machine keeps the model in memory or on disk, so that a load is short."""
        return model in self.instance.in_memory or model in self.instance.on_disk

    def busy_for_s(self, now_s: float) -> float:
        """Return how much longer the running job may take, in seconds.

        An overdue job may take `OVERDUE_FACTOR` times the time by which it is overdue.
        """
        if self.free_at_s <= 0.0:
            return math.inf
        return max(self.free_at_s - now_s, (now_s - self.free_at_s) * OVERDUE_FACTOR)

    def load_time_s(self, model: ModelWeights) -> tuple[float, bool]:
        """Return the load time in seconds, and whether the load comes from the weight store."""
        if model.name in self.instance.in_memory:
            return model.host_load_s, False
        if model.name in self.instance.on_disk:
            return model.disk_load_s, False
        return model.load_s, True

    def model_mb(self, name: str, model: ModelWeights | None) -> float:
        """Return the memory of a held model with its adapters, in MB."""
        if model is None:
            # The size of an unknown model may be up to the engine's memory.
            return self.limits.memory_mb
        return model.memory_mb + len(self.held.get(name, ())) * model.adapter_memory_mb

    def used_mb(self, models: dict[str, ModelWeights]) -> float:
        """Return the memory in use, including the model that is being loaded, in MB."""
        held_mb = (self.model_mb(name, models.get(name)) for name in self.held)
        return self.pending_mb + sum(held_mb)


@dataclass(frozen=True, slots=True)
class Job:
    """A job at one engine: unload resources, then load one.

    Attributes:
        instance_id: The engine.
        unload: Resources to unload first, as `model` or `model/adapter`.
        model: Model to load, or the base model of the adapter to load; empty to only unload.
        adapter: Adapter to load; empty to load the model itself.
        from_store: Whether the load comes from the weight store.
        load_s: Expected time of the load, in seconds.
        reason: Reason for the log.
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
    """The state of one service of engines at one time. All times are monotonic, in seconds.

    Attributes:
        limits: Memory and slots of its engines, and its models.
        engines: Its engines that accept work.
        demand: Requests per second by model, and by `model/adapter`.
        urgent: Requests per second with a short target, by the same names.
        overloaded: Requests per second whose first event took most of their target or that found
            no free replica, by the same names.
        requested_at_s: Time of the last request, by the same names.
        awaited: Resources that requests wait for or recently waited for and that no engine held.
        awaited_since_at_s: Time since when requests wait, by model, for models still awaited.
        awaited_versions: Software versions that resumed streams wait for, by model: only engines of
            the version that began a stream may continue it.
        missed_streams: Resumed streams since an engine of their software version last held their
            model, by version and model.
        streams_missing_since_at_s: Time of the first of these streams, by version and model.
        missed_requests: Requests since an engine last served one, by model.
        missing_since_at_s: Time of the first of these requests, by model.
        turn_share: Share of the engines that may load rare models in turn, at least one engine; 0
            for no turns.
        unknown_adapter_share: Share of the requests for adapters that are for adapters without
            recent requests.
        store_loads: Number of loads from the weight store that may start now.
        is_settled: Whether no engine has joined for a while, so that the fleet is complete.
        now_s: The current time.
        longest_wait_s: Time for which the most patient callers wait for a response.
    """

    limits: EngineLimits
    engines: list[EngineView]
    demand: dict[str, float]
    urgent: dict[str, float]
    overloaded: dict[str, float]
    requested_at_s: dict[str, float]
    awaited: list[str]
    awaited_since_at_s: dict[str, float]
    store_loads: int
    now_s: float
    longest_wait_s: float = DEFAULT_WAIT_S
    is_settled: bool = True
    awaited_versions: dict[str, set[str]] = field(default_factory=dict)
    missed_streams: dict[str, dict[str, float]] = field(default_factory=dict)
    streams_missing_since_at_s: dict[str, dict[str, float]] = field(default_factory=dict)
    missed_requests: dict[str, float] = field(default_factory=dict)
    missing_since_at_s: dict[str, float] = field(default_factory=dict)
    turn_share: float = 0.34
    unknown_adapter_share: float = 1.0

    def last_request_at_s(self, resource: str) -> float:
        """Return the monotonic time of the last request for a resource, in seconds."""
        return self.requested_at_s.get(resource, float("-inf"))
