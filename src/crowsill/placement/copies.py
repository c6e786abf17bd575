"""Where copies of models and adapters should be, for engines that register themselves. Pure.

Demand moves within seconds and a copy that the machine kept in memory or on disk is back in a
second or two, so placement here is a cache of models over the engines: a model that is waited for
is loaded at once in place of the copy that is worth least; a model in demand gets as many copies
as its load needs; and while nothing else is to do, models that no machine has at hand are fetched
from the store once, so that they are near when they are asked for.
"""

from dataclasses import dataclass, field

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights

# Engine time that one request of a model takes, on average, in seconds.
REQUEST_S = 0.12
# Share of an engine's time that one model's requests may take before it gets another copy.
COPY_LOAD = 0.3
# A model without a request for so long counts as idle, in seconds.
IDLE_S = 8.0
# A copy is not taken away again so soon after its load, in seconds.
YOUNG_S = 3.0
# How much more load per copy must be relieved than is lost where a copy makes way.
RELIEF_RATIO = 2.0


@dataclass(slots=True)
class EngineView:
    """One engine as the planner sees it.

    Attributes:
        instance: What the directory says of it.
        limits: What it can take.
        held: Models that it holds, each with its adapters.
        is_busy: Whether a job is under way there, or its state is not known yet.
        loaded_s: Clock of the last load of each resource.
    """

    instance: Instance
    limits: EngineLimits
    held: dict[str, set[str]]
    is_busy: bool = False
    loaded_s: dict[str, float] = field(default_factory=dict)

    @property
    def adapters(self) -> int:
        """Number of adapters that it holds."""
        return sum(len(adapters) for adapters in self.held.values())


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
        reason: Why, in a word or two for the log.
    """

    instance_id: str
    unload: tuple[str, ...]
    model: str
    adapter: str
    from_store: bool
    load_s: float
    reason: str


@dataclass(slots=True)
class ServiceView:
    """One service of engines at one moment.

    Attributes:
        limits: What its engines can take.
        engines: Its engines that accept work.
        loading: Models with a load under way, each with the number of engines.
        demand: Requests a second by model, and by `model/adapter`.
        asked_s: Clock of the last request by the same names.
        wanted: Resources that requests wait for now and that no engine holds.
        store_loads: Loads that may be fetched from the weight store now.
        now_s: Clock.
    """

    limits: EngineLimits
    engines: list[EngineView]
    loading: dict[str, int]
    demand: dict[str, float]
    asked_s: dict[str, float]
    wanted: list[str]
    store_loads: int
    now_s: float


class CopyPlanner:
    """Plans one step for one service."""

    def __init__(self, view: ServiceView) -> None:
        self._view = view
        self._models = {model.name: model for model in view.limits.models}
        self._copies: dict[str, int] = dict(view.loading)
        for engine in view.engines:
            for model in engine.held:
                self._copies[model] = self._copies.get(model, 0) + 1
        self._taken: set[str] = set()
        self._jobs: list[Job] = []
        self._store_loads = view.store_loads

    def plan(self) -> list[Job]:
        """Return the jobs to start now, at most one for each engine."""
        for resource in self._view.wanted:
            self._serve_waiting(resource)
        self._add_copies()
        if not self._jobs and not self._view.loading:
            self._fetch_ahead()
        return self._jobs

    # What requests wait for.

    def _serve_waiting(self, resource: str) -> None:
        model, _, adapter = resource.partition("/")
        if model not in self._models:
            return
        if self._copies.get(model, 0) == 0:
            self._load_model(model, "waited for")
        elif adapter:
            self._load_adapter(model, adapter)

    def _load_adapter(self, model: str, adapter: str) -> None:
        holders = [engine for engine in self._free_engines() if model in engine.held]
        if not holders or any(adapter in engine.held[model] for engine in holders):
            return
        engine = min(holders, key=lambda item: (item.adapters, self._pressure(item)))
        unload: tuple[str, ...] = ()
        if engine.adapters >= engine.limits.adapter_slots or not self._fits_adapter(engine, model):
            victim = self._idlest_adapter(engine)
            if victim is None:
                return
            unload = (victim,)
        self._add(Job(engine.instance.instance_id, unload, model, adapter, False, 0.02, "adapter"))

    def _fits_adapter(self, engine: EngineView, model: str) -> bool:
        return self._used_mb(engine) + self._models[model].adapter_memory_mb <= (
            engine.limits.memory_mb
        )

    def _idlest_adapter(self, engine: EngineView) -> str | None:
        resources = [f"{model}/{name}" for model, names in engine.held.items() for name in names]
        wanted = set(self._view.wanted)
        candidates = [resource for resource in resources if resource not in wanted]
        return min(candidates, key=self._last_asked_s, default=None)

    # Copies as the load needs them.

    def _add_copies(self) -> None:
        demand = self._view.demand
        for model in sorted(self._models, key=lambda name: -demand.get(name, 0.0)):
            if self._copies.get(model, 0) < self._copies_wanted(model):
                self._load_model(model, "load")

    def _copies_wanted(self, model: str) -> int:
        if self._is_idle(model):
            return 0
        load = self._view.demand.get(model, 0.0) * REQUEST_S
        most = max(1, len(self._view.engines) - 1)
        return max(1, min(most, round(load / COPY_LOAD + 0.4)))

    def _is_idle(self, model: str) -> bool:
        return self._view.now_s - self._last_asked_s(model) > IDLE_S

    def _last_asked_s(self, resource: str) -> float:
        return self._view.asked_s.get(resource, float("-inf"))

    # Fetching ahead.

    def _fetch_ahead(self) -> None:
        """Bring a model that no machine has at hand near, in place of a copy worth little."""
        for name, model in self._models.items():
            if self._copies.get(name, 0) > 0 or self._is_at_hand(model):
                continue
            if self._load_model(name, "fetched ahead"):
                return

    def _is_at_hand(self, model: ModelWeights) -> bool:
        return any(
            model.name in engine.instance.in_memory or model.name in engine.instance.on_disk
            for engine in self._view.engines
        )

    # Loading a model.

    def _load_model(self, name: str, reason: str) -> bool:
        best: tuple[float, Job] | None = None
        for engine in self._free_engines():
            if name in engine.held:
                continue
            found = self._job_at(engine, name, reason)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            return False
        self._add(best[1])
        self._copies[name] = self._copies.get(name, 0) + 1
        return True

    def _job_at(self, engine: EngineView, name: str, reason: str) -> tuple[float, Job] | None:
        """Return the job of loading a model at one engine with its cost in seconds, or None."""
        model = self._models[name]
        load_s, from_store = self._load_time(engine, model)
        if from_store and self._store_loads <= 0:
            return None
        unload = self._room_for(engine, model, reason)
        if unload is None:
            return None
        loss = sum(self._worth(victim) for victim in unload)
        cost = load_s + 10.0 * loss + 0.5 * self._pressure(engine)
        instance_id = engine.instance.instance_id
        job = Job(instance_id, tuple(unload), name, "", from_store, load_s, reason)
        return cost, job

    def _load_time(self, engine: EngineView, model: ModelWeights) -> tuple[float, bool]:
        if model.name in engine.instance.in_memory:
            return model.host_load_s, False
        if model.name in engine.instance.on_disk:
            return model.disk_load_s, False
        return model.load_s, True

    def _room_for(self, engine: EngineView, model: ModelWeights, reason: str) -> list[str] | None:
        """Return models that make way for another one; None when none may."""
        used_mb = self._used_mb(engine)
        unload: list[str] = []
        candidates = sorted(engine.held, key=self._worth)
        while used_mb + model.memory_mb > engine.limits.memory_mb:
            victim = next((item for item in candidates if item not in unload), None)
            if victim is None or not self._may_leave(engine, victim, model.name, reason):
                return None
            unload.append(victim)
            used_mb -= self._model_mb(engine, victim)
        return unload

    def _may_leave(self, engine: EngineView, victim: str, name: str, reason: str) -> bool:
        view = self._view
        young = view.now_s - engine.loaded_s.get(victim, float("-inf")) < YOUNG_S
        if victim in view.wanted:
            return False
        if self._copies.get(victim, 0) > max(1, self._copies_wanted(victim)):
            return not young
        if self._is_idle(victim):
            return not young
        if reason == "fetched ahead":
            return False
        if self._copies.get(victim, 0) <= 1:
            # The only copy of a model in use gives way only to a request that waits, and only
            # where it is asked for far less often than others.
            return reason == "waited for" and not young
        gained = view.demand.get(name, 0.0) / max(1, self._copies.get(name, 0))
        return reason == "waited for" or gained > RELIEF_RATIO * self._worth(victim)

    def _worth(self, model: str) -> float:
        """Requests a second that one copy of a model serves."""
        return self._view.demand.get(model, 0.0) / max(1, self._copies.get(model, 0))

    # Shared.

    def _free_engines(self) -> list[EngineView]:
        return [
            engine
            for engine in self._view.engines
            if not engine.is_busy and engine.instance.instance_id not in self._taken
        ]

    def _pressure(self, engine: EngineView) -> float:
        return sum(self._worth(model) for model in engine.held)

    def _model_mb(self, engine: EngineView, name: str) -> float:
        model = self._models.get(name)
        if model is None:
            # Nothing is known of it: it may fill the engine.
            return engine.limits.memory_mb
        return model.memory_mb + len(engine.held.get(name, ())) * model.adapter_memory_mb

    def _used_mb(self, engine: EngineView) -> float:
        return sum(self._model_mb(engine, name) for name in engine.held)

    def _add(self, job: Job) -> None:
        self._jobs.append(job)
        self._taken.add(job.instance_id)
        if job.from_store:
            self._store_loads -= 1
