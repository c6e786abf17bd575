"""Adapter loads: first the adapters that requests wait for, then others for free slots. Pure."""

from collections.abc import Iterator
from zlib import crc32

from crowsill.model.routes import ModelWeights
from crowsill.placement.copy_views import EngineView, Job, JobReason, ServiceView

# Expected load time of an adapter, in seconds.
ADAPTER_LOAD_S = 0.02
# Callers choose the names of adapters that they ask for; longer numbers name none.
MAX_NUMBER_DIGITS = 16


class AdapterJobs:
    """Plans adapter jobs for one service.

    Attributes:
        assigned: Ids of the engines that have a job already; the set is shared with the planner.
    """

    def __init__(
        self, view: ServiceView, models: dict[str, ModelWeights], assigned: set[str]
    ) -> None:
        self._view = view
        self._models = models
        self.assigned = assigned

    def serve_awaited(self, model: str, adapter: str) -> Job | None:
        """Return the job that loads an adapter at an engine that holds its model, or None.

        Where resumed streams of a software version wait, an engine of that version must hold it.
        """
        holders = [engine for engine in self._view.engines if model in engine.held]
        held_at = {
            engine.instance.software_version for engine in holders if adapter in engine.held[model]
        }
        missing_at = self._view.awaited_versions.get(model, set()) - held_at
        free = [engine for engine in holders if self._accepts_job(engine)]
        suitable = [engine for engine in free if engine.instance.software_version in missing_at]
        if not suitable and not held_at:
            suitable = free
        if not suitable:
            return None
        engine = min(suitable, key=lambda item: item.adapters)
        unload: tuple[str, ...] = ()
        if engine.adapters >= engine.limits.adapter_slots or not self._fits(engine, model):
            victim = self._least_recently_requested(engine)
            if victim is None:
                return None
            unload = (victim,)
        return _job(engine, unload, model, adapter, JobReason.ADAPTER)

    def fill_free_slots(self) -> list[Job]:
        """Return jobs that load adapters of models in demand before requests wait for them.

        An engine accepts no adapter while it loads a model, so requests for an adapter that was
        loaded before do not have to wait for that load.
        """
        jobs: list[Job] = []
        for engine in self._view.engines:
            if not self._accepts_job(engine) or engine.adapters >= engine.limits.adapter_slots:
                continue
            demand = self._view.demand
            models = [name for name in engine.held if demand.get(name, 0.0) > 0.0]
            for name in sorted(models, key=lambda item: -demand[item]):
                adapter = self._next_adapter(engine, name)
                if adapter and self._fits(engine, name):
                    jobs.append(_job(engine, (), name, adapter, JobReason.FREE_SLOT))
                    break
        return jobs

    def _accepts_job(self, engine: EngineView) -> bool:
        return engine.accepts_adapter_jobs and engine.instance_id not in self.assigned

    def _fits(self, engine: EngineView, model: str) -> bool:
        used_mb = engine.pending_mb + sum(
            engine.model_mb(name, self._models.get(name)) for name in engine.held
        )
        return used_mb + self._models[model].adapter_memory_mb <= engine.limits.memory_mb

    def _least_recently_requested(self, engine: EngineView) -> str | None:
        """Return the adapter to evict: the one whose last request is oldest, or None."""
        resources = [f"{model}/{name}" for model, names in engine.held.items() for name in names]
        awaited = set(self._view.awaited)
        candidates = [resource for resource in resources if resource not in awaited]
        return min(candidates, key=self._view.last_request_at_s, default=None)

    def _next_adapter(self, engine: EngineView, name: str) -> str:
        """Return the adapter of a model to load next at an engine, or an empty string.

        Adapters that no other engine holds come first, then those of highest demand.
        """
        model = self._models.get(name)
        if model is None:
            return ""
        elsewhere = {
            adapter
            for other in self._view.engines
            for adapter in other.held.get(name, ())
            if other is not engine
        }
        demand = self._view.demand
        missing = (
            adapter
            for adapter in self._adapters_to_compare(model, elsewhere | engine.held[name])
            if adapter not in engine.held[name]
        )
        return max(
            missing,
            key=lambda item: (item not in elsewhere, demand.get(f"{name}/{item}", 0.0)),
            default="",
        )

    def _adapters_to_compare(self, model: ModelWeights, held: set[str]) -> Iterator[str]:
        """Yield the adapters of a model: those in demand and enough of the others.

        A configuration may name any number of adapters; one that is neither held nor in demand is
        as good as the next, so these begin at a number that depends on the name of the model only.
        """
        prefix = f"{model.name}/a"
        in_demand = {
            int(number)
            for resource in self._view.demand
            if resource.startswith(prefix)
            and (number := resource.removeprefix(prefix)).isdecimal()
            and len(number) <= MAX_NUMBER_DIGITS
            and f"{int(number)}" == number
        }
        requested = sorted(number for number in in_demand if 1 <= number <= model.adapters)
        yield from (f"a{number}" for number in requested)
        others = min(model.adapters, len(held) + len(requested) + 1)
        offset = crc32(model.name.encode())
        yield from (f"a{(offset + place) % model.adapters + 1}" for place in range(others))


def _job(
    engine: EngineView, unload: tuple[str, ...], model: str, adapter: str, reason: JobReason
) -> Job:
    return Job(engine.instance_id, unload, model, adapter, False, ADAPTER_LOAD_S, reason)
