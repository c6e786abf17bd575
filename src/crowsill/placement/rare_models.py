"""Schedules loads of models that have waited for too long, so that each is eventually loaded. Pure.

The planner compares the gain of a load with the cost of blocking its engine. Under high demand,
that cost may exceed the gain of a model that is requested only every few seconds, however long it
has been missing. So a model that is still requested gets a turn once even the callers that can wait
longest have left unserved: at the engines where its load costs least, unless requests wait for a
missing model in much higher demand. If its load could have ended by now, had one of these engines
been free, it gets the next engine that is. The model that has been missing for longest goes first.
The number of engines that fetch such models from the weight store at once is bounded, so that the
others stay available to the models in demand.

So with k such engines, loads of L seconds, callers that wait for up to W seconds and m models
missing for too long, each of them is loaded within W + L + ceil(m / k) * L, apart from the time in
which no engine gets free.
"""

import math

from crowsill.model.routes import ModelWeights
from crowsill.placement.copy_value import CopyValue
from crowsill.placement.copy_views import EngineView, Job, JobReason, ServiceView

# Share of the engines that are used before a model is overdue: those where a load costs least.
CHEAP_ENGINES_SHARE = 0.34
# Number of models that one step evaluates at all engines; the next step follows within 0.1 s.
MAX_MODELS_PER_STEP = 4
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
        """Return the load of the model that has been missing for longest, or None if none is due.

        Args:
            free: Engines that may start a load.
            store_loads: Number of loads from the weight store that may start now.
        """
        share = self._view.turn_share
        if share <= 0.0:
            return None
        due = self._due_models()
        fetching = sum(
            1 for engine in self._view.engines if engine.is_fetching and engine.loading in due
        )
        if fetching >= max(1, int(len(self._view.engines) * share)):
            store_loads = 0
        free_ids = {engine.instance_id for engine in free}
        for name in self._startable(due, store_loads)[:MAX_MODELS_PER_STEP]:
            for job in self._usable_loads(self._models[name]):
                if job.instance_id in free_ids and (store_loads > 0 or not job.from_store):
                    return job
        return None

    def _startable(self, due: list[str], store_loads: int) -> list[str]:
        """Return the due models whose load may start, as far as that depends on no engine."""
        return [
            name
            for name in due
            if self._value.copies(name) == 0
            and (store_loads > 0 or any(engine.has_cached(name) for engine in self._view.engines))
            and (self._is_overdue(name) or not self._is_outranked(name))
        ]

    def _is_overdue(self, name: str) -> bool:
        return self._missing_s(name) >= self._view.longest_wait_s + self._models[name].load_s

    def _is_outranked(self, name: str) -> bool:
        """Whether requests wait for another missing model that is in much higher demand."""
        weight = self._value.weight(name) + MAX_EXCESS_VICTIM_WEIGHT
        return any(
            self._value.copies(other) == 0 and self._value.weight(other) > weight
            for other in self._view.awaited
            if other in self._models
        )

    def _due_models(self) -> list[str]:
        """Return the models that have been missing for too long, the longest first."""
        view = self._view
        due = [
            name
            for name in view.missing_since_at_s
            if self._missing_s(name) >= view.longest_wait_s
            and name in self._models
            and view.now_s - view.last_request_at_s(name) < view.longest_wait_s
        ]
        return sorted(due, key=lambda name: view.missing_since_at_s[name])

    def _missing_s(self, name: str) -> float:
        return self._view.now_s - self._view.missing_since_at_s.get(name, self._view.now_s)

    def _usable_loads(self, model: ModelWeights) -> list[Job]:
        """Return the loads at the engines that may be used, busy ones included, cheapest first."""
        found: list[tuple[float, int, str, Job]] = []
        for engine in self._view.engines:
            unload = self._models_to_evict(engine, model)
            if unload is None or model.name in engine.held:
                continue
            load_s, from_store = engine.load_time_s(model)
            lost = sum(self._value.loss(engine, victim) for victim in unload)
            cost = (lost + self._value.blocked_adapters(engine)) * load_s
            reason = JobReason.MISSING
            job = Job(engine.instance_id, unload, model.name, "", from_store, load_s, reason)
            found.append((cost, len(unload), engine.instance_id, job))
        jobs = [job for *_, job in sorted(found, key=lambda item: item[:3])]
        if self._is_overdue(model.name):
            return jobs
        return jobs[: math.ceil(len(self._view.engines) * CHEAP_ENGINES_SHARE)]

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
