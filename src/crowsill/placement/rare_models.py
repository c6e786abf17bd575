"""Schedules extra loads (turns) of rare models, so that each is eventually loaded. Pure.

The planner compares the gain of a load with the cost of blocking its engine. Under high demand,
that cost always exceeds the gain of a model that is requested only every few seconds. So a model
that several requests have found missing gets the next engine, whatever its gain. The number of
engines that run such loads is bounded, so that the others stay available to the models in demand.

Turns are off by default, because each one blocks its engine during a load.
`ControlSettings.rare_model_turns` describes the cost.
"""

from crowsill.model.routes import ModelWeights
from crowsill.placement.copy_value import CopyValue
from crowsill.placement.copy_views import EngineView, Job, JobReason, ServiceView

# Requests that must have found a model missing since it was last held, including retries of one
# caller. That is three callers that were rejected and retried.
MIN_MISSED_REQUESTS = 6.0
# A model without a request for this time gets no turn, in seconds, because its callers have given
# up. Patient callers wait for 15 to 20 s.
MAX_REQUEST_AGE_S = 20.0
# The last copy of a model is evicted for a turn only if its weight exceeds that of the rare model
# by at most this much, in weighted requests per second. That is two patient requests.
MAX_EXCESS_VICTIM_WEIGHT = 5.0


class RareModels:
    """Chooses the rare model that is loaded next, and its engine."""

    def __init__(
        self, view: ServiceView, value: CopyValue, models: dict[str, ModelWeights]
    ) -> None:
        """Create the scheduler of one service.

        Args:
            view: The service.
            value: Values of its model copies.
            models: Its models by name.
        """
        self._view = view
        self._value = value
        self._models = models

    def next_load(self, free: list[EngineView], store_loads: int) -> Job | None:
        """Return the load of the model that most requests found missing, or None if no turn is due.

        Args:
            free: Engines that may start a load.
            store_loads: Number of loads from the weight store that may start now.
        """
        share = self._view.turn_share
        if share <= 0.0:
            return None
        missing = self._missing_models()
        # A running load counts as a turn until its model is held.
        loading = sum(1 for engine in self._view.engines if engine.loading in missing)
        if loading >= max(1, int(len(self._view.engines) * share)):
            return None
        for name in missing:
            if self._value.copies(name) > 0:
                continue
            job = self._cheapest_load(self._models[name], free, store_loads)
            if job is not None:
                return job
        return None

    def _missing_models(self) -> list[str]:
        """Return the models that enough requests found missing, by their number, descending."""
        view = self._view
        missing = [
            name
            for name, count in view.missed_requests.items()
            if count >= MIN_MISSED_REQUESTS
            and name in self._models
            and view.now_s - view.last_request_at_s(name) < MAX_REQUEST_AGE_S
        ]
        return sorted(missing, key=lambda name: -view.missed_requests[name])

    def _cheapest_load(
        self, model: ModelWeights, free: list[EngineView], store_loads: int
    ) -> Job | None:
        """Return the load that costs the other models least."""
        found: list[tuple[float, str, Job]] = []
        for engine in free:
            load_s, from_store = engine.load_time_s(model)
            unload = self._models_to_evict(engine, model)
            if unload is None or (from_store and store_loads <= 0):
                continue
            lost = sum(self._value.loss(engine, victim) for victim in unload)
            cost = (lost + self._value.blocked_adapters(engine)) * load_s
            reason = JobReason.MISSING
            job = Job(engine.instance_id, unload, model.name, "", from_store, load_s, reason)
            found.append((cost, engine.instance_id, job))
        return min(found)[2] if found else None

    def _models_to_evict(self, engine: EngineView, model: ModelWeights) -> tuple[str, ...] | None:
        """Return the models to evict, or None if there can't be enough room."""
        used_mb = engine.used_mb(self._models)
        unload: list[str] = []
        for victim in sorted(engine.held, key=lambda item: self._value.loss(engine, item)):
            if used_mb + model.memory_mb <= engine.limits.memory_mb:
                break
            if self._value.is_kept(engine, victim) or self._is_needed_more(victim, model.name):
                continue
            unload.append(victim)
            used_mb -= engine.model_mb(victim, self._models.get(victim))
        return tuple(unload) if used_mb + model.memory_mb <= engine.limits.memory_mb else None

    def _is_needed_more(self, victim: str, model: str) -> bool:
        if self._value.copies(victim) > 1:
            return False
        return self._value.weight(victim) > self._value.weight(model) + MAX_EXCESS_VICTIM_WEIGHT
