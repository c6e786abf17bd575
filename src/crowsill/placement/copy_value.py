"""The value of one more copy of a model, and of each existing copy. Pure.

Values are weighted requests per second: a request whose response loses its value by a load weighs
more than a patient one, which may still be served after a load. The first copy of a model serves
its requests. A further copy relieves the others and remains when an engine is lost.
"""

from crowsill.placement.copy_views import EngineView, ServiceView, models_by_name
from crowsill.placement.engine_loads import (
    ENGINE_TIME_PER_REQUEST_S,
    EngineLoads,
    ModelWork,
    served_share,
    speed_under_limit,
)

# Assumed probability per second that an engine is lost with its models: its callers then wait for a
# reload unless there is a spare copy.
LOSS_RATE_PER_S = 0.02
# What a third copy saves in such a loss, as a share of what the second one saves, and so on.
FURTHER_SPARE_SHARE = 0.2
# Time until the loss of a copy is detected and its load starts, in seconds: one second, plus
# sometimes the time in which a new leader gives no orders.
REACTION_S = 3.0
# Weights of a request whose value a load would cost, and of a patient one. A patient request may
# still be in time after a load, but its weight is not negligible: else a class of requests that
# always has to wait for a load would get the worst service.
URGENT_WEIGHT = 10.0
PATIENT_WEIGHT = 2.5
# Share of the loss that counts for a copy that its machine keeps cached, since it loads again soon.
CACHED_LOSS_SHARE = 0.5
# A copy is not evicted for this time after its load, in seconds.
MIN_RESIDENCE_S = 1.0
# The only copy of a model that was missing is not evicted for this time, in seconds, unless a
# request was sent to it: rejected callers return within this time.
MAX_UNUSED_RESIDENCE_S = 10.0
# Value that a model without a copy gains, in addition to its demand, for each second that a request
# has waited for it and for each request that found it missing, so that no model waits forever.
WAITING_VALUE_PER_S = 1.0
MISSED_REQUEST_VALUE = 1.0
# Beyond this number of missed requests the value of each request rises, so that in the end even a
# rarely requested model justifies a load from the store.
MANY_MISSED_REQUESTS = 4.0
# The value rises in the same way for a model that has been missing for longer than this time, in
# seconds.
LONG_MISSING_S = 4.0
# A model with more overloaded requests per second than this gets another copy.
MIN_OVERLOAD_PER_S = 0.4
# Share of the overloaded requests that another copy is expected to serve in time.
OVERLOAD_RELIEF_SHARE = 0.5


class CopyValue:
    """The value of model copies in one view of a service.

    Attributes:
        holders: Engines that hold or load each model; the planner adds the loads that it plans.
    """

    def __init__(self, view: ServiceView) -> None:
        self._view = view
        self._models = models_by_name(view.limits)
        self.holders: dict[str, list[str]] = {}
        for engine in view.engines:
            for model in (*engine.held, *engine.loading_models):
                self.holders.setdefault(model, []).append(engine.instance_id)
        self._versions = {
            engine.instance_id: engine.instance.software_version for engine in view.engines
        }
        self._loads = self._spread()
        # Results that this step uses repeatedly.
        self._reloads_s: dict[str, float] = {}
        self._losses: dict[tuple[str, str], float] = {}
        self._blocked: dict[str, float] = {}

    def load_of(self, instance_id: str) -> float:
        """Return the share of an engine's time that its requests take."""
        return self._loads.load_of(instance_id)

    def copies(self, model: str) -> int:
        """Return the number of copies of a model, including those that are loading."""
        return len(self.holders.get(model, ()))

    def missing_versions(self, model: str) -> set[str]:
        """Return the software versions that streams wait for and at which no engine has a model."""
        awaited = self._view.awaited_versions.get(model)
        if awaited is None:
            return set()
        return awaited - {self._versions[holder] for holder in self.holders.get(model, ())}

    def add(self, model: str, instance_id: str) -> None:
        """Count a copy whose load starts now."""
        self.holders.setdefault(model, []).append(instance_id)
        self._loads = self._spread()
        self._losses.clear()

    def _spread(self) -> EngineLoads:
        works = {
            name: ModelWork(self._rate(name) * ENGINE_TIME_PER_REQUEST_S, self.weight(name))
            for name in self._models
        }
        speeds = {
            engine.instance_id: speed_under_limit(engine.limit_per_s) / engine.pace
            for engine in self._view.engines
            if engine.limit_per_s is not None or engine.pace_percent is not None
        }
        return EngineLoads(works, self.holders, speeds)

    def _rate(self, model: str) -> float:
        """Return the requests per second for a model."""
        return self._view.demand.get(model, 0.0)

    def weight(self, resource: str) -> float:
        """Return the weighted requests per second for a resource."""
        urgent = self._view.urgent.get(resource, 0.0)
        patient = max(0.0, self._view.demand.get(resource, 0.0) - urgent)
        return PATIENT_WEIGHT * patient + URGENT_WEIGHT * urgent

    def _spare_share(self, model: str, copies: int) -> float:
        """Return the share of a model's requests that the last of its copies saves.

        It saves the requests that a lost engine would fail until another copy is loaded.
        """
        if copies < 2:
            return 0.0
        saved = LOSS_RATE_PER_S * (REACTION_S + self._reload_s(model))
        return float(saved * FURTHER_SPARE_SHARE ** (copies - 2))

    def _reload_s(self, model: str) -> float:
        """Return the load time if the engines that hold a model now were lost, in seconds."""
        if model not in self._reloads_s:
            self._reloads_s[model] = self._find_reload_s(model)
        return self._reloads_s[model]

    def _find_reload_s(self, model: str) -> float:
        weights = self._models.get(model)
        if weights is None:
            return 0.0
        times = [
            engine.load_time_s(weights)[0]
            for engine in self._view.engines
            if model not in engine.held and engine.has_cached(model)
        ]
        return min(times, default=weights.load_s)

    def max_gain(self, model: str) -> float:
        """Return an upper bound of the gain of one more copy of a model at any engine."""
        holders = self.holders.get(model)
        weight = self.weight(model)
        if not holders:
            return weight + self._waiting_value(model)
        spare = weight * self._spare_share(model, len(holders) + 1)
        relieved = sum(self._loads.late_weight(engine_id) for engine_id in holders)
        gained = max(spare + relieved, self._overload_relief(model))
        return gained + (self._waiting_value(model) if self.missing_versions(model) else 0.0)

    def gain(self, model: str, engine: EngineView) -> float:
        """Return the gain of one more copy of a model at an engine."""
        holders = self.holders.get(model, [])
        if not holders:
            # The time that a first copy takes from other models at the engine is not subtracted:
            # it doesn't justify rejecting all requests for the model.
            load = (
                self._loads.load_of(engine.instance_id)
                + self._rate(model) * ENGINE_TIME_PER_REQUEST_S * engine.pace
            )
            return self.weight(model) * served_share(load) + self._waiting_value(model)
        gained = self._loads.gain_with_holders(model, [*holders, engine.instance_id])
        gained += self.weight(model) * self._spare_share(model, len(holders) + 1)
        gained = max(gained, self._overload_relief(model))
        if engine.instance.software_version in self.missing_versions(model):
            return gained + self._waiting_value(model)
        return gained

    def _waiting_value(self, model: str) -> float:
        """Return what waiting requests and missed ones add to the value of a first copy."""
        view = self._view
        missed = self._missed_value(model, view.missed_requests, view.missing_since_at_s)
        if self.holders.get(model):
            missed = max(missed, self._missed_streams_value(model))
        if model not in view.awaited_since_at_s and model not in view.awaited:
            return missed
        waited_s = view.now_s - view.awaited_since_at_s.get(model, view.now_s)
        return missed + WAITING_VALUE_PER_S * waited_s

    def _missed_streams_value(self, model: str) -> float:
        """Return the value of resumed streams that only engines of missing versions continue."""
        view = self._view
        return sum(
            self._missed_value(
                model,
                view.missed_streams.get(version, {}),
                view.streams_missing_since_at_s.get(version, {}),
            )
            for version in self.missing_versions(model)
        )

    def _missed_value(
        self, model: str, counts: dict[str, float], since_at_s: dict[str, float]
    ) -> float:
        """Return the value of requests that missed a model.

        Args:
            model: The model.
            counts: Their number by model.
            since_at_s: Time of the first one by model.
        """
        count = counts.get(model, 0.0)
        missing_s = self._view.now_s - since_at_s.get(model, self._view.now_s)
        factor = max(1.0, count / MANY_MISSED_REQUESTS, missing_s / LONG_MISSING_S)
        return MISSED_REQUEST_VALUE * count * factor

    def _overload_relief(self, model: str) -> float:
        """Return the weight of the currently overloaded requests that another copy would save."""
        view = self._view
        overloaded = view.overloaded.get(model, 0.0)
        if overloaded <= MIN_OVERLOAD_PER_S or self._is_loading(model):
            return 0.0
        late_share = min(1.0, overloaded / max(overloaded, view.demand.get(model, 0.0)))
        return self.weight(model) * late_share * OVERLOAD_RELIEF_SHARE

    def _is_loading(self, model: str) -> bool:
        return any(model in engine.loading_models for engine in self._view.engines)

    def loss(self, engine: EngineView, model: str) -> float:
        """Return the value that is lost with the copy at an engine; less if it stays cached."""
        key = (engine.instance_id, model)
        if key not in self._losses:
            self._losses[key] = self._loss(engine, model)
        return self._losses[key]

    def _loss(self, engine: EngineView, model: str) -> float:
        if model not in self._models:
            return 0.0
        others = [item for item in self.holders.get(model, []) if item != engine.instance_id]
        lost = self.weight(model)
        if others:
            lost = max(0.0, -self._loads.gain_with_holders(model, others))
            lost += self.weight(model) * self._spare_share(model, len(others) + 1)
        return lost * CACHED_LOSS_SHARE if engine.has_cached(model) else lost

    def is_kept(self, engine: EngineView, model: str) -> bool:
        """Whether a copy must not be evicted now: requests wait for it, or it was just loaded."""
        held_s = self._view.now_s - engine.loaded_at_s.get(model, float("-inf"))
        is_unused = model in self._view.missing_since_at_s and self.copies(model) == 1
        min_residence_s = MAX_UNUSED_RESIDENCE_S if is_unused else MIN_RESIDENCE_S
        return model in self._view.awaited or held_s < min_residence_s

    def blocked_adapters(self, engine: EngineView) -> float:
        """Return the weight of the requests whose adapter can't be loaded while the engine loads.

        While an engine loads a model, it accepts no adapter.
        """
        if engine.instance_id not in self._blocked:
            self._blocked[engine.instance_id] = sum(
                self._missing_adapters(engine, model)
                for model in engine.held
                if not self._has_other_free_holder(engine, model)
            )
        return self._blocked[engine.instance_id]

    def _has_other_free_holder(self, engine: EngineView, model: str) -> bool:
        others = (other for other in self._view.engines if other is not engine)
        return any(model in other.held and other.accepts_adapter_jobs for other in others)

    def _missing_adapters(self, engine: EngineView, model: str) -> float:
        """Return the weight of the requests for adapters of a model that an engine lacks.

        For adapters that the engine holds, only the share of requests for other adapters counts.
        """
        missing = 0.0
        for resource in self._view.demand:
            name, slash, adapter = resource.partition("/")
            if slash and name == model:
                is_held = adapter in engine.held[model]
                share = self._view.unknown_adapter_share if is_held else 1.0
                missing += self.weight(resource) * share
        return missing
