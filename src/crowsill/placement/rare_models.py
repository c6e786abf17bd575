"""Rare models take turns at the engines, so that each of them is loaded now and then. Pure.

What a load wins is weighed against what it blocks. Where much is asked for, that cost exceeds for
ever what a model wins that a caller wants every few seconds. So a model that was lacked by several
requests gets an engine next, whatever it wins; the number of engines that are in such loads is
bounded, so that what most callers ask for keeps the others.

A choice of the operator, and off unless it is made: a turn blocks its engine for a load. See
`ControlSettings.rare_model_turns` for what it costs.
"""

from crowsill.model.routes import ModelWeights
from crowsill.placement.copy_value import CopyValue
from crowsill.placement.copy_views import EngineView, Job, JobReason, ServiceView

# Requests that a model has lacked since it was held last, tries of one caller included: those of
# three callers that were refused and came back.
MIN_MISSED_REQUESTS = 6.0
# A model that nobody has asked for lately gets no turn, in seconds: its callers have given up.
# Callers that can wait for long do so for 15 to 20 s.
ASKED_WITHIN_S = 20.0
# The last copy of a model makes way for a turn only if that model is asked for by at most so much
# more, in weighted requests a second: two patient requests. Not measured.
MOST_LOST = 5.0


class RareModels:
    """Chooses the model whose turn it is, and the engine that loads it."""

    def __init__(
        self, view: ServiceView, value: CopyValue, models: dict[str, ModelWeights]
    ) -> None:
        """Look at one service.

        Args:
            view: The service.
            value: Worth of its copies.
            models: Its models by name.
        """
        self._view = view
        self._value = value
        self._models = models

    def turn(self, free: list[EngineView], store_loads: int) -> Job | None:
        """Return the load of the model that was lacked most, or None if it is nobody's turn.

        Args:
            free: Engines that may begin a load.
            store_loads: Loads that may be fetched from the weight store now.
        """
        # A load that is under way counts among the turns until its model is held.
        share = self._view.turn_share
        if share <= 0.0:
            return None
        lacked = self._lacked()
        loading = sum(1 for engine in self._view.engines if engine.loading in lacked)
        if loading >= max(1, int(len(self._view.engines) * share)):
            return None
        for name in lacked:
            if self._value.copies(name) > 0:
                continue
            job = self._cheapest(self._models[name], free, store_loads)
            if job is not None:
                return job
        return None

    def _lacked(self) -> list[str]:
        """Return the models that were lacked for long enough, most requests first."""
        view = self._view
        lacked = [
            name
            for name, count in view.missed_requests.items()
            if count >= MIN_MISSED_REQUESTS
            and name in self._models
            and view.now_s - view.last_request_at_s(name) < ASKED_WITHIN_S
        ]
        return sorted(lacked, key=lambda name: -view.missed_requests[name])

    def _cheapest(
        self, model: ModelWeights, free: list[EngineView], store_loads: int
    ) -> Job | None:
        """Return the load that costs the others least."""
        found: list[tuple[float, str, Job]] = []
        for engine in free:
            load_s, from_store = engine.load_time_s(model)
            unload = self._make_room(engine, model)
            if unload is None or (from_store and store_loads <= 0):
                continue
            lost = sum(self._value.loss(engine, victim) for victim in unload)
            cost = (lost + self._value.blocked_adapters(engine)) * load_s
            reason = JobReason.MISSING
            job = Job(engine.instance_id, unload, model.name, "", from_store, load_s, reason)
            found.append((cost, engine.instance_id, job))
        return min(found)[2] if found else None

    def _make_room(self, engine: EngineView, model: ModelWeights) -> tuple[str, ...] | None:
        """Return the models that make way, or None when none may."""
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
        return self._value.weight(victim) > self._value.weight(model) + MOST_LOST
