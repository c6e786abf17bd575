"""Placement of model copies and adapters on engines that register themselves. Pure.

Demand moves to other models within seconds, engines fail, and some models are requested only now
and then. A model that the engine's machine keeps in host memory or on disk loads again in a second
or two, so placement works as a cache of models over the engines. Each step rates all pairs of a
free engine and a model by their net gain per second of load time, and starts the best ones until
no pair gains enough. The models of least value are evicted first, and short loads are preferred to
long ones.
"""

import math
from dataclasses import dataclass

from crowsill.model.routes import ModelWeights
from crowsill.placement.adapter_jobs import AdapterJobs
from crowsill.placement.copy_value import CopyValue
from crowsill.placement.copy_views import (
    EngineView,
    Job,
    JobReason,
    ServiceView,
    models_by_name,
)
from crowsill.placement.rare_models import RareModels

# A load must gain this many times the value of the models that it evicts.
GAIN_RATIO = 1.5
# Minimum gain of a load, in weighted requests per second, so that no load is started for a
# negligible gain.
MIN_GAIN = 0.3
# Minimum gain of a further copy. It is higher, because a further copy gains less than estimated
# when demand moves to other models.
MIN_FURTHER_COPY_GAIN = 1.0
# Time for which a copy is expected to stay loaded, in seconds.
EXPECTED_RESIDENCE_S = 8.0
# Cost of each second of a load, in weighted requests: the engine accepts no other order meanwhile.
# It exceeds the gain of most single requests for rare models.
BLOCKED_COST_PER_S = 12.0
# The blocked cost grows with the number of engines only up to this one: on larger fleets, the next
# need is less likely to be for the blocked engine.
MAX_ENGINES_FOR_BLOCKED_COST = 6
# Lower bound of the number of engines that count as free when all of them run long loads.
MIN_FREE_ENGINES = 0.25
# An unload waits for running requests; most requests end within this time, in seconds.
REQUEST_DURATION_S = 2.0
# Time that an order takes in addition to the load itself, in seconds.
ORDER_OVERHEAD_S = 0.3
# Share of the engines that may run loads of low gain from the weight store at once: an engine that
# loads accepts no other order, and a more urgent model may need it.
LOW_GAIN_FETCH_SHARE = 0.34
# A load from the store with a smaller gain counts as one of low gain.
LOW_GAIN = 10.0
# Number of engines without a cached copy that are evaluated for a model, the least loaded first.
# In a large deployment, evaluating all engines would take longer than the heartbeat timeout of a
# leader.
MAX_UNCACHED_ENGINES = 4
# Maximum number of loads that one step starts; the next step follows within 0.1 s.
MAX_LOADS_PER_STEP = 4


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A load that can start now.

    Attributes:
        gain_rate: Net gain for each second that the load takes, in weighted requests.
        job: The load.
    """

    gain_rate: float
    job: Job


class CopyPlanner:
    """Plans one step for one service.

    Attributes:
        deferred: The reason why an awaited resource is not loaded now, by resource.
    """

    def __init__(self, view: ServiceView) -> None:
        self._view = view
        self._models = models_by_name(view.limits)
        self._value = CopyValue(view)
        self.deferred: dict[str, str] = {}
        # Engines that have a job in this plan.
        self._assigned: set[str] = set()
        self._jobs: list[Job] = []
        self._store_loads = view.store_loads
        self._fetching = sum(1 for engine in view.engines if engine.is_fetching)
        self._adapters = AdapterJobs(view, self._models, self._assigned)
        self._rare_models = RareModels(view, self._value, self._models)

    def plan(self) -> list[Job]:
        """Return the jobs to start now, at most one for each engine."""
        view = self._view
        # An adapter loads in milliseconds, but an engine accepts none while it loads a model, which
        # takes seconds.
        self._load_awaited_adapters()
        self._load_rare_model()
        self._load_models()
        for resource in view.awaited:
            self._note_deferral(resource)
        for job in self._adapters.fill_free_slots():
            self._add(job)
        if view.is_settled and not view.requested_at_s:
            self._prefetch()
        return self._jobs

    # Models.

    def _load_rare_model(self) -> None:
        """Start the load of a rare model if it is its turn."""
        job = self._rare_models.next_load(self._free_engines(), self._store_loads)
        if job is not None:
            self._add(job)
            self._value.add(job.model, job.instance_id)

    def _load_models(self) -> None:
        """Start loads in the order of their gain rate, while any gains enough."""
        for _ in range(MAX_LOADS_PER_STEP):
            free = self._free_engines()
            candidates = [self._best_for(name, free) for name in self._models]
            found = [candidate for candidate in candidates if candidate is not None]
            if not found:
                return
            best = max(found, key=lambda candidate: candidate.gain_rate)
            self._add(best.job)
            self._value.add(best.job.model, best.job.instance_id)

    def _free_engines(self) -> list[EngineView]:
        """Return the engines that may start a load, the least loaded first, then the quickest."""
        free = [
            engine
            for engine in self._view.engines
            if not engine.is_busy and engine.instance_id not in self._assigned
        ]
        return sorted(free, key=lambda item: (self._value.load_of(item.instance_id), item.pace))

    def _engines_to_evaluate(self, name: str, free: list[EngineView]) -> list[EngineView]:
        """Return the free engines to evaluate: those with a cached copy, and a few others.

        Where streams of a software version wait for the model, only engines of that version can
        continue them; all others are served there, too.
        """
        without = [engine for engine in free if name not in engine.held]
        versions = self._value.missing_versions(name)
        if versions:
            of_version = [item for item in without if item.instance.software_version in versions]
            without = of_version or without
        cached = [engine for engine in without if engine.has_cached(name)]
        uncached = [engine for engine in without if not engine.has_cached(name)]
        return cached + uncached[:MAX_UNCACHED_ENGINES]

    def _best_for(self, name: str, free: list[EngineView]) -> _Candidate | None:
        """Return the best load of a model that can start now, or None."""
        if self._value.max_gain(name) < MIN_GAIN:
            return None
        wait_s = self._cached_load_wait_s(name)
        best: _Candidate | None = None
        for engine in self._engines_to_evaluate(name, free):
            found = self._candidate(engine, self._models[name], wait_s)
            if found is not None and (best is None or found.gain_rate > best.gain_rate):
                best = found
        return best

    def _candidate(
        self, engine: EngineView, model: ModelWeights, wait_s: float
    ) -> _Candidate | None:
        result = self._evaluate(engine, model, wait_s)
        return result if isinstance(result, _Candidate) else None

    def _evaluate(self, engine: EngineView, model: ModelWeights, wait_s: float) -> _Candidate | str:
        """Return the load of a model at a free engine, or the reason against it.

        Args:
            engine: The engine.
            model: The model.
            wait_s: Time until a busy engine could have loaded its cached copy, in seconds.
        """
        is_first = self._value.copies(
            model.name
        ) == 0 or engine.instance.software_version in self._value.missing_versions(model.name)
        gain = self._value.gain(model.name, engine)
        if gain < (MIN_GAIN if is_first else MIN_FURTHER_COPY_GAIN):
            return f"gain {gain:.1f}"
        load_s, from_store = engine.load_time_s(model)
        if load_s > wait_s:
            return f"an engine with a cached copy can load it in {wait_s:.1f} s"
        if from_store and not self._may_fetch(gain):
            return f"{self._store_loads} store loads left, {self._fetching} running"
        unload = self._models_to_evict(engine, model, gain)
        if unload is None:
            return f"no room for gain {gain:.1f}"
        lost = sum(self._value.loss(engine, victim) for victim in unload)
        taken_s = load_s + max((self._unload_s(victim) for victim in unload), default=0.0)
        blocked = self._blocked_cost_per_s(engine, from_store) * taken_s
        net_gain = (gain - lost) * EXPECTED_RESIDENCE_S - blocked
        if net_gain <= 0.0:
            return f"gain {gain:.1f}, lost {lost:.1f}, blocked {blocked:.0f} for {taken_s:.1f} s"
        reason = JobReason.AWAITED if is_first else JobReason.MORE_LOAD
        job = Job(engine.instance_id, tuple(unload), model.name, "", from_store, load_s, reason)
        return _Candidate(net_gain / (taken_s + ORDER_OVERHEAD_S), job)

    def _blocked_cost_per_s(self, engine: EngineView, from_store: bool) -> float:
        """Return the cost of each second in which a load blocks its engine, in weighted requests.

        The cost rises as fewer engines stay free for further loads.
        """
        cost = self._value.blocked_adapters(engine)
        if not engine.is_needed:
            return cost
        engines = len(self._view.engines)
        left = max(MIN_FREE_ENGINES, engines - self._fetching - from_store)
        return cost + BLOCKED_COST_PER_S * min(engines, MAX_ENGINES_FOR_BLOCKED_COST) / left

    def _unload_s(self, model: str) -> float:
        """Return how long an unload may wait for running requests, in seconds."""
        idle_s = self._view.now_s - self._view.last_request_at_s(model)
        return max(0.0, REQUEST_DURATION_S - idle_s)

    def _cached_load_wait_s(self, name: str) -> float:
        """Return the time until a busy engine could have loaded its cached copy, in seconds."""
        times = [
            engine.busy_for_s(self._view.now_s) + engine.load_time_s(self._models[name])[0]
            for engine in self._view.engines
            if engine.is_busy and name not in engine.held and engine.has_cached(name)
        ]
        return min(times, default=float("inf"))

    def _may_fetch(self, gain: float) -> bool:
        if self._store_loads <= 0:
            return False
        if gain >= LOW_GAIN:
            return True
        return self._fetching < max(1, int(len(self._view.engines) * LOW_GAIN_FETCH_SHARE))

    def _models_to_evict(
        self, engine: EngineView, model: ModelWeights, gain: float
    ) -> list[str] | None:
        """Return the models to evict for another one; None if there can't be enough room."""
        used_mb = engine.used_mb(self._models)
        unload: list[str] = []
        lost = 0.0
        for victim in sorted(engine.held, key=lambda item: self._value.loss(engine, item)):
            if used_mb + model.memory_mb <= engine.limits.memory_mb:
                break
            with_victim = lost + self._value.loss(engine, victim)
            if self._value.is_kept(engine, victim) or gain <= GAIN_RATIO * with_victim:
                continue
            lost = with_victim
            unload.append(victim)
            used_mb -= engine.model_mb(victim, self._models.get(victim))
        return unload if used_mb + model.memory_mb <= engine.limits.memory_mb else None

    # Awaited resources.

    def _load_awaited_adapters(self) -> None:
        """Load adapters that requests wait for, at engines that hold their model."""
        for resource in self._view.awaited:
            model, _, adapter = resource.partition("/")
            if not adapter or model not in self._models:
                continue
            job = self._adapters.serve_awaited(model, adapter)
            if job is not None:
                self._add(job)

    def _note_deferral(self, resource: str) -> None:
        """Record why a resource that requests wait for is not loaded now."""
        model, _, adapter = resource.partition("/")
        if model not in self._models:
            self.deferred[resource] = "unknown model"
        elif self._value.copies(model) == 0:
            self.deferred[resource] = self._deferral_reasons(model)
        elif self._value.missing_versions(model):
            versions = ", ".join(sorted(self._value.missing_versions(model)))
            reasons = self._deferral_reasons(model)
            self.deferred[resource] = f"not held at software version {versions}: {reasons}"
        elif not any(model in engine.held for engine in self._view.engines):
            self.deferred[resource] = "being loaded"
        elif adapter and not self._is_adapter_held_or_loading(model, adapter):
            self.deferred[resource] = self._adapter_deferral_reasons(model)

    def _is_adapter_held_or_loading(self, model: str, adapter: str) -> bool:
        if any((job.model, job.adapter) == (model, adapter) for job in self._jobs):
            return True
        return any(adapter in engine.held.get(model, ()) for engine in self._view.engines)

    def _adapter_deferral_reasons(self, model: str) -> str:
        """Return the reason of each holder of a model for not loading an adapter now."""
        return "; ".join(
            f"{engine.instance_id} {self._busy_reason(engine)}"
            for engine in self._view.engines
            if model in engine.held
        )

    def _busy_reason(self, engine: EngineView) -> str:
        if engine.instance_id in self._assigned:
            return "taken"
        busy_s = engine.busy_for_s(self._view.now_s)
        if math.isinf(busy_s):
            return "has no known state" if engine.is_busy else "has no free adapter slot"
        return f"busy for {busy_s:.1f} s" + (f" with {engine.loading}" if engine.loading else "")

    def _deferral_reasons(self, model: str) -> str:
        """Return the reason of each engine for not loading a model now, as a text for the log."""
        reasons: list[str] = []
        for engine in self._view.engines:
            if engine.is_busy:
                reasons.append(self._busy_reason(engine))
            elif engine.instance_id in self._assigned:
                reasons.append("taken")
            else:
                result = self._evaluate(
                    engine, self._models[model], self._cached_load_wait_s(model)
                )
                outranked = isinstance(result, _Candidate)
                reasons.append("outranked" if outranked else str(result))
        return "; ".join(reasons)

    # Prefetch.

    def _prefetch(self) -> None:
        """Before any request, load the models that no engine holds, the slowest loads first.

        Their first callers would wait for the load. Nothing is evicted for that: engines begin with
        the busy models on many of them, and what is held tells more than no request yet.
        """
        missing = [model for name, model in self._models.items() if self._value.copies(name) == 0]
        for model in sorted(missing, key=lambda item: -self._shortest_load(item)[0]):
            job = self._prefetch_job(model)
            if job is not None:
                self._add(job)
                self._value.add(model.name, job.instance_id)

    def _shortest_load(self, model: ModelWeights) -> tuple[float, bool]:
        """Return the time of the shortest load in seconds, and whether it is from the store."""
        loads = (engine.load_time_s(model) for engine in self._view.engines)
        return min(loads, default=(model.load_s, True))

    def _prefetch_job(self, model: ModelWeights) -> Job | None:
        """Return the load of a model at an engine with room where it is shortest, or None."""
        load_s, from_store = self._shortest_load(model)
        if from_store and self._store_loads <= 0:
            return None
        for engine in self._free_engines():
            has_room = engine.used_mb(self._models) + model.memory_mb <= engine.limits.memory_mb
            if has_room and engine.load_time_s(model) == (load_s, from_store):
                reason = JobReason.PREFETCHED
                return Job(engine.instance_id, (), model.name, "", from_store, load_s, reason)
        return None

    def _add(self, job: Job) -> None:
        self._jobs.append(job)
        self._assigned.add(job.instance_id)
        if job.from_store:
            self._store_loads -= 1
            self._fetching += 1
