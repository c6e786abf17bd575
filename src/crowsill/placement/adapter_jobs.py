"""Which adapters to bring to which engine: those that requests wait for, then free places. Pure."""

from crowsill.model.routes import ModelWeights
from crowsill.placement.copy_views import EngineView, Job, JobReason, ServiceView

# Expected time of an adapter's load, in seconds.
ADAPTER_LOAD_S = 0.02
# A model without a request for so long counts as idle, in seconds.
IDLE_S = 8.0


class AdapterJobs:
    """Plans adapter jobs for one service.

    Attributes:
        taken: Ids of engines that have a job already; the planner's own set.
    """

    def __init__(self, view: ServiceView, models: dict[str, ModelWeights], taken: set[str]) -> None:
        self._view = view
        self._models = models
        self.taken = taken

    def serve_waiting(self, model: str, adapter: str) -> Job | None:
        """Return the job that brings an adapter to an engine that holds its model."""
        holders = [engine for engine in self._view.engines if model in engine.held]
        if any(adapter in engine.held[model] for engine in holders):
            return None
        holders = [engine for engine in holders if self._may_take(engine)]
        if not holders:
            return None
        engine = min(holders, key=lambda item: item.adapters)
        unload: tuple[str, ...] = ()
        if engine.adapters >= engine.limits.adapter_slots or not self._fits(engine, model):
            victim = self._idlest(engine)
            if victim is None:
                return None
            unload = (victim,)
        return _job(engine, unload, model, adapter, JobReason.ADAPTER)

    def fill_places(self) -> list[Job]:
        """Bring adapters of models in demand near while nothing waits for them.

        An engine takes no adapter during a load, so one that is there before saves that wait.
        """
        jobs: list[Job] = []
        for engine in self._view.engines:
            if not self._may_take(engine) or engine.adapters >= engine.limits.adapter_slots:
                continue
            models = [name for name in engine.held if not self._is_idle(name)]
            for name in sorted(models, key=lambda item: -self._view.demand.get(item, 0.0)):
                adapter = self._next(engine, name)
                if adapter and self._fits(engine, name):
                    jobs.append(_job(engine, (), name, adapter, JobReason.FREE_SLOT))
                    break
        return jobs

    def _may_take(self, engine: EngineView) -> bool:
        return engine.accepts_adapter_jobs and engine.instance_id not in self.taken

    def _fits(self, engine: EngineView, model: str) -> bool:
        used_mb = engine.pending_mb + sum(
            engine.model_mb(name, self._models.get(name)) for name in engine.held
        )
        return used_mb + self._models[model].adapter_memory_mb <= engine.limits.memory_mb

    def _idlest(self, engine: EngineView) -> str | None:
        resources = [f"{model}/{name}" for model, names in engine.held.items() for name in names]
        awaited = set(self._view.awaited)
        candidates = [resource for resource in resources if resource not in awaited]
        return min(candidates, key=self._view.last_request_at_s, default=None)

    def _next(self, engine: EngineView, name: str) -> str:
        """Return a model's adapter most worth having at an engine, or an empty text."""
        model = self._models.get(name)
        if model is None:
            return ""
        adapters = [f"a{number}" for number in range(1, model.adapters + 1)]
        missing = [adapter for adapter in adapters if adapter not in engine.held[name]]
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

    def _is_idle(self, model: str) -> bool:
        return self._view.now_s - self._view.last_request_at_s(model) > IDLE_S


def _job(
    engine: EngineView, unload: tuple[str, ...], model: str, adapter: str, reason: JobReason
) -> Job:
    return Job(engine.instance_id, unload, model, adapter, False, ADAPTER_LOAD_S, reason)
