"""Where copies of models and adapters should be, for engines that register themselves. Pure.

Demand moves within seconds and a copy that the machine kept in memory or on disk is back in a
second or two, so placement here is a cache of models over the engines: a model that is waited for
is loaded at once in place of the copy that is worth least; a model in demand gets as many copies
as its load needs; and while nothing else is to do, models that no machine has at hand are fetched
from the store once, so that they are near when they are asked for.
"""

import math
from dataclasses import dataclass, field

from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, ModelWeights

# Engine time that one request of a model takes, on average, in seconds.
REQUEST_S = 0.12
# Share of an engine's time that one model's requests may take before it gets another copy.
COPY_LOAD = 0.5
COPY_ROUNDING = 0.3
# A model with so many late requests a second, and such a share of them, gets another copy.
LEAST_PRESSURE = 0.4
PRESSED_SHARE = 0.15
# A model without a request for so long counts as idle, in seconds.
IDLE_S = 8.0
# A copy is not taken away again so soon after its load, in seconds.
YOUNG_S = 1.0
# What a request with a short target weighs against one that can wait.
URGENT_WEIGHT = 10.0
# Weight that is assumed for a model not asked for yet: operators list the models that matter
# most first, so it falls with the place in the list.
FIRST_UNKNOWN_WEIGHT = 3.0
UNKNOWN_WEIGHT_PLACES = 8.0
# Share of the engines that may fetch from the store for requests that can wait.
PATIENT_FETCH_SHARE = 0.34
# Time from its first request in which a model's demand becomes known, in seconds.
LEARNING_S = 5.0
# Time from the first request for any model in which one not asked for keeps its assumed weight.
UNASKED_S = 60.0
# A further copy is worth less than the only one.
FURTHER_COPY = 0.25
# So is a copy that the machine keeps on its disk when it makes way.
NEAR_COPY = 0.5
# What a waiting request is worth where nothing is known of its model's demand.
WAITING_WEIGHT = 1.0
# It grows by this share for each second of waiting, so that nothing waits for ever.
WAITING_GROWTH = 1.0
# Models are fetched ahead only so soon after placement began, in seconds: a load that begins late
# would keep its engine from what the first requests want.
AHEAD_S = 5.0
COPIES_KEPT_FOR_AHEAD = 2
# A model that makes way for one that is fetched ahead must weigh less.
AHEAD_WEIGHT = 1.0
# Seconds of a load that one unit of loss, and of demand at an engine, weigh.
LOSS_S = 5.0
PRESSURE_S = 0.5
# The gain of a load must pass the loss of what makes way by this factor.
GAIN_RATIO = 1.5

# Reasons of jobs.
WAITED_FOR = "waited for"
MORE_LOAD = "more load"
AHEAD = "fetched ahead"


@dataclass(slots=True)
class EngineView:
    """One engine as the planner sees it.

    Attributes:
        instance: What the directory says of it.
        limits: What it can take.
        held: Models that it holds, each with its adapters.
        is_busy: Whether a model job is under way there, or its state is not known yet.
        is_fetching: Whether that job is a load from the weight store.
        free_s: Clock when the job under way there will have ended.
        takes_adapters: Whether an adapter job may begin there.
        pending_mb: Memory of a model whose load is under way.
        loaded_s: Clock of the last load of each resource.
    """

    instance: Instance
    limits: EngineLimits
    held: dict[str, set[str]]
    is_busy: bool = False
    is_fetching: bool = False
    free_s: float = 0.0
    takes_adapters: bool = True
    pending_mb: float = 0.0
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
        urgent: Those of them that have a short target, by the same names.
        pressed: Those whose first event took most of their target, or that found no place.
        asked_s: Clock of the last request by the same names.
        wanted: Resources that requests wait for now and that no engine holds.
        wanted_since_s: Clock since when requests wait, by model.
        first_asked_s: Clock of the first request by the same names.
        began_s: Clock when this leadership began to place.
        store_loads: Loads that may be fetched from the weight store now.
        is_settled: Whether no engine has appeared for a while, so that what is seen is the fleet.
        now_s: Clock.
    """

    limits: EngineLimits
    engines: list[EngineView]
    loading: dict[str, int]
    demand: dict[str, float]
    urgent: dict[str, float]
    pressed: dict[str, float]
    asked_s: dict[str, float]
    wanted: list[str]
    wanted_since_s: dict[str, float]
    first_asked_s: dict[str, float]
    began_s: float
    store_loads: int
    now_s: float
    is_settled: bool = True


class CopyPlanner:
    """Plans one step for one service.

    Attributes:
        deferred: Why what requests wait for is not loaded now, by resource.
    """

    def __init__(self, view: ServiceView) -> None:
        self._view = view
        self._models = {model.name: model for model in view.limits.models}
        self._places = {model.name: place for place, model in enumerate(view.limits.models)}
        self._copies: dict[str, int] = dict(view.loading)
        for engine in view.engines:
            for model in engine.held:
                self._copies[model] = self._copies.get(model, 0) + 1
        self.deferred: dict[str, str] = {}
        self._taken: set[str] = set()
        self._jobs: list[Job] = []
        self._store_loads = view.store_loads
        self._fetching = sum(1 for engine in view.engines if engine.is_fetching)

    def plan(self) -> list[Job]:
        """Return the jobs to start now, at most one for each engine."""
        view = self._view
        urgent_first = sorted(view.wanted, key=lambda item: -view.urgent.get(item, 0.0))
        for resource in urgent_first:
            self._serve_waiting(resource)
        self._add_copies()
        self._fill_adapter_places()
        is_early = not view.asked_s and view.now_s - view.began_s < AHEAD_S
        if is_early and view.is_settled:
            self._fetch_ahead()
        return self._jobs

    # What requests wait for.

    def _serve_waiting(self, resource: str) -> None:
        model, _, adapter = resource.partition("/")
        if model not in self._models:
            self.deferred[resource] = "unknown model"
        elif self._copies.get(model, 0) == 0:
            if not self._load_model(model, WAITED_FOR):
                self.deferred[resource] = self._refusals(model)
        elif self._view.loading.get(model, 0):
            self.deferred[resource] = "on its way"
        elif adapter:
            self._load_adapter(model, adapter)
        else:
            holders = [
                item.instance.instance_id for item in self._view.engines if model in item.held
            ]
            self.deferred[resource] = "held by " + ",".join(holders)

    @property
    def _is_short(self) -> bool:
        """Whether requests with a short target wait for a model that no engine can take now."""
        urgent = self._view.urgent
        return any(urgent.get(resource, 0.0) > 0.0 for resource in self.deferred)

    def _refusals(self, model: str) -> str:
        """Say why no engine can load a model now."""
        reasons: list[str] = []
        for engine in self._view.engines:
            if engine.is_busy:
                reasons.append(f"busy for {engine.free_s - self._view.now_s:.1f} s")
            elif engine.instance.instance_id in self._taken:
                reasons.append("taken")
            elif self._room_for(engine, self._models[model], WAITED_FOR) is None:
                reasons.append("no room")
            else:
                reasons.append("store or copy near")
        return "; ".join(reasons)

    def _load_adapter(self, model: str, adapter: str) -> None:
        holders = [engine for engine in self._view.engines if model in engine.held]
        if any(adapter in engine.held[model] for engine in holders):
            return
        holders = [engine for engine in holders if self._may_take_adapter(engine)]
        if not holders:
            return
        engine = min(holders, key=lambda item: (item.adapters, self._pressure(item)))
        unload: tuple[str, ...] = ()
        if engine.adapters >= engine.limits.adapter_slots or not self._fits_adapter(engine, model):
            victim = self._idlest_adapter(engine)
            if victim is None:
                return
            unload = (victim,)
        self._add(Job(engine.instance.instance_id, unload, model, adapter, False, 0.02, "adapter"))

    def _may_take_adapter(self, engine: EngineView) -> bool:
        return engine.takes_adapters and engine.instance.instance_id not in self._taken

    def _fits_adapter(self, engine: EngineView, model: str) -> bool:
        return self._used_mb(engine) + self._models[model].adapter_memory_mb <= (
            engine.limits.memory_mb
        )

    def _idlest_adapter(self, engine: EngineView) -> str | None:
        resources = [f"{model}/{name}" for model, names in engine.held.items() for name in names]
        wanted = set(self._view.wanted)
        candidates = [resource for resource in resources if resource not in wanted]
        return min(candidates, key=self._last_asked_s, default=None)

    def _fill_adapter_places(self) -> None:
        """Bring adapters of models in demand near while nothing waits for them.

        An engine takes no adapter during a load, so one that is there before saves that wait.
        """
        for engine in self._view.engines:
            if not self._may_take_adapter(engine) or engine.adapters >= engine.limits.adapter_slots:
                continue
            models = [name for name in engine.held if not self._is_idle(name)]
            for name in sorted(models, key=lambda item: -self._view.demand.get(item, 0.0)):
                adapter = self._next_adapter(engine, name)
                if adapter and self._fits_adapter(engine, name):
                    instance_id = engine.instance.instance_id
                    self._add(Job(instance_id, (), name, adapter, False, 0.02, "place free"))
                    break

    def _next_adapter(self, engine: EngineView, name: str) -> str:
        """Return a model's adapter most worth having at an engine, or an empty text."""
        model = self._models.get(name)
        if model is None:
            return ""
        missing = [
            f"a{number}"
            for number in range(1, model.adapters + 1)
            if f"a{number}" not in engine.held[name]
        ]
        elsewhere = {
            adapter
            for other in self._view.engines
            for adapter in other.held.get(name, ())
            if other is not engine
        }
        asked = self._view.demand
        return max(
            missing,
            key=lambda item: (item not in elsewhere, asked.get(f"{name}/{item}", 0.0)),
            default="",
        )

    # Copies as the load needs them.

    def _add_copies(self) -> None:
        demand = self._view.demand
        for model in sorted(self._models, key=lambda name: -demand.get(name, 0.0)):
            copies = self._copies.get(model, 0)
            # One that is held nowhere is loaded when a request waits for it.
            if 0 < copies < self._copies_wanted(model):
                self._load_model(model, MORE_LOAD)

    def _copies_wanted(self, model: str) -> int:
        if self._is_idle(model):
            return 0
        load = self._view.demand.get(model, 0.0) * REQUEST_S
        most = max(1, len(self._view.engines) - 1)
        if self._is_pressed(model):
            return min(most, self._copies.get(model, 0) + 1)
        return max(1, min(most, round(load / COPY_LOAD + COPY_ROUNDING)))

    def _is_pressed(self, model: str) -> bool:
        """Whether a model's copies serve too late, and none is on its way."""
        view = self._view
        if view.loading.get(model, 0):
            return False
        pressed = view.pressed.get(model, 0.0)
        return pressed > max(LEAST_PRESSURE, view.demand.get(model, 0.0) * PRESSED_SHARE)

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
            self._load_model(name, AHEAD)

    def _is_at_hand(self, model: ModelWeights) -> bool:
        return any(
            model.name in engine.instance.in_memory or model.name in engine.instance.on_disk
            for engine in self._view.engines
        )

    # Loading a model.

    def _load_model(self, name: str, reason: str) -> bool:
        best: tuple[float, Job] | None = None
        wait: float = math.inf
        for engine in self._view.engines:
            if name in engine.held or engine.instance.instance_id in self._taken:
                continue
            if engine.is_busy:
                wait = min(wait, self._time_after_job(engine, name))
                continue
            found = self._job_at(engine, name, reason)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None or best[1].load_s > wait:
            # An engine that has a copy near will be free soon enough.
            return False
        self._add(best[1])
        self._copies[name] = self._copies.get(name, 0) + 1
        return True

    def _time_after_job(self, engine: EngineView, name: str) -> float:
        """Time until a busy engine could have loaded a model of which it has a copy near."""
        load_s, from_store = self._load_time(engine, self._models[name])
        if from_store:
            return math.inf
        return max(0.0, engine.free_s - self._view.now_s) + load_s

    def _job_at(self, engine: EngineView, name: str, reason: str) -> tuple[float, Job] | None:
        """Return the job of loading a model at one engine with its cost in seconds, or None."""
        model = self._models[name]
        load_s, from_store = self._load_time(engine, model)
        if from_store and not self._may_fetch(name, reason):
            return None
        unload = self._room_for(engine, model, reason)
        if unload is None:
            return None
        loss = sum(self._loss_at(engine, victim) for victim in unload)
        # While it loads, an engine takes no adapters.
        blocked = load_s * self._adapter_demand(engine)
        cost = load_s + LOSS_S * loss + PRESSURE_S * self._pressure(engine) + blocked
        instance_id = engine.instance.instance_id
        job = Job(instance_id, tuple(unload), name, "", from_store, load_s, reason)
        return cost, job

    def _may_fetch(self, name: str, reason: str) -> bool:
        """Whether a slow load from the store may begin.

        Loads for requests that can wait leave most engines free: one that loads takes no other
        order, and a model with a short target may need it.
        """
        if self._store_loads <= 0:
            return False
        if reason == MORE_LOAD and self._is_short:
            return False
        if reason == AHEAD or self._view.urgent.get(name, 0.0) > 0.0:
            return True
        most = max(1, int(len(self._view.engines) * PATIENT_FETCH_SHARE))
        return self._fetching < most

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
        candidates = sorted(engine.held, key=lambda item: self._loss_at(engine, item))
        while used_mb + model.memory_mb > engine.limits.memory_mb:
            leaving = (item for item in candidates if item not in unload)
            victim = next(
                (item for item in leaving if self._may_leave(engine, item, model.name, reason)),
                None,
            )
            if victim is None:
                return None
            unload.append(victim)
            used_mb -= self._model_mb(engine, victim)
        return unload

    def _may_leave(self, engine: EngineView, victim: str, name: str, reason: str) -> bool:
        view = self._view
        young = view.now_s - engine.loaded_s.get(victim, float("-inf")) < YOUNG_S
        if young or victim in view.wanted:
            return False
        if reason == AHEAD:
            # Before any traffic: what makes way must be back soon and matter little, or stand
            # elsewhere often enough.
            near = victim in engine.instance.on_disk
            if near and self._weight(victim) < AHEAD_WEIGHT:
                return True
            return self._copies.get(victim, 0) > COPIES_KEPT_FOR_AHEAD
        return self._gain(name, reason) > GAIN_RATIO * self._loss_at(engine, victim)

    def _weight(self, model: str) -> float:
        """Requests a second for a model, those with a short target counted higher."""
        view = self._view
        urgent = view.urgent.get(model, 0.0)
        told = view.demand.get(model, 0.0) + (URGENT_WEIGHT - 1.0) * urgent
        if model in view.first_asked_s:
            unknown = 1.0 - (view.now_s - view.first_asked_s[model]) / LEARNING_S
        else:
            began_s = min(view.first_asked_s.values(), default=view.now_s)
            unknown = 1.0 - (view.now_s - began_s) / UNASKED_S
        unknown = max(0.0, unknown)
        place = self._places.get(model, len(self._places))
        assumed = FIRST_UNKNOWN_WEIGHT * math.exp(-place / UNKNOWN_WEIGHT_PLACES)
        return told + unknown * assumed

    def _loss_at(self, engine: EngineView, model: str) -> float:
        """What is lost with the copy at one engine; little where it can be back soon."""
        loss = self._loss(model)
        return loss * NEAR_COPY if model in engine.instance.on_disk else loss

    def _loss(self, model: str) -> float:
        """What is lost with one copy of a model."""
        copies = self._copies.get(model, 0)
        if copies <= 1:
            return self._weight(model)
        return self._weight(model) / copies * FURTHER_COPY

    def _gain(self, model: str, reason: str) -> float:
        """What is won with one more copy of a model."""
        weight = self._weight(model)
        if reason == WAITED_FOR:
            waited_s = self._view.now_s - self._view.wanted_since_s.get(model, self._view.now_s)
            return max(weight, WAITING_WEIGHT) * (1.0 + WAITING_GROWTH * waited_s)
        return weight / max(1, self._copies.get(model, 0))

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

    def _adapter_demand(self, engine: EngineView) -> float:
        """Requests a second for adapters of the models that an engine holds."""
        copies = self._copies
        return sum(
            rate / max(1, copies.get(resource.partition("/")[0], 0))
            for resource, rate in self._view.demand.items()
            if "/" in resource and resource.partition("/")[0] in engine.held
        )

    def _model_mb(self, engine: EngineView, name: str) -> float:
        model = self._models.get(name)
        if model is None:
            # Nothing is known of it: it may fill the engine.
            return engine.limits.memory_mb
        return model.memory_mb + len(engine.held.get(name, ())) * model.adapter_memory_mb

    def _used_mb(self, engine: EngineView) -> float:
        held_mb = sum(self._model_mb(engine, name) for name in engine.held)
        return held_mb + engine.pending_mb

    def _add(self, job: Job) -> None:
        self._jobs.append(job)
        self._taken.add(job.instance_id)
        if job.from_store:
            self._store_loads -= 1
            self._fetching += 1
