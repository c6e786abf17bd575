"""Where copies of models and adapters should be, for engines that register themselves. Pure.

It answers demand that moves on to other models within seconds, beside engines that are lost and
models that are asked for now and then. A copy that the machine kept in memory or on disk is back in
a second or two, so placement here is a cache of models over the engines. Each step chooses, among
all pairs of a free engine and a model, the one that wins most for each second of its load, until
no pair wins enough: what is worth least makes way, and short loads come before long ones.
"""

from dataclasses import dataclass

from crowsill.model.routes import ModelWeights
from crowsill.placement.adapter_jobs import AdapterJobs
from crowsill.placement.copy_value import CopyValue
from crowsill.placement.copy_views import EngineView, Job, JobReason, ServiceView
from crowsill.placement.rare_models import RareModels

# A load must win more than what makes way for it is worth, by this factor.
GAIN_RATIO = 1.5
# The least that a load must win, so that nothing is moved for next to nothing.
LEAST_GAIN = 0.3
# A further copy must win more: it saves less than it seems when demand moves on.
LEAST_FURTHER_GAIN = 1.0
# Time for which a copy is expected to stay, in seconds.
STAY_S = 8.0
# What a load costs for each second, in which its engine takes no other order, in weighted requests:
# most single requests for rare models are not worth that.
BLOCKED_COST = 12.0
# From so many engines on, each further one makes it less likely that the next need is for this one.
MANY_ENGINES = 6
# Engines that count as left to react when all are in long loads.
LEAST_LEFT = 0.25
# An unload waits for requests that run; those that came so long ago have mostly ended, in seconds.
RUNNING_S = 2.0
# Time that an order takes beside the load itself, in seconds.
ORDER_S = 0.3
# Share of the engines that may fetch from the store what wins little: one that loads takes no
# other order, and something more urgent may need it.
SLOW_FETCH_SHARE = 0.34
# A fetch that wins less than this counts as such.
LITTLE_GAIN = 10.0
# Models are fetched ahead only so soon after placement began, in seconds: a load that begins late
# would keep its engine from what the first requests want.
AHEAD_S = 5.0
# Engines without a copy near that are weighed for a model: the least loaded ones. On a site of many
# engines all of them would take longer than a leader may be silent.
FAR_ENGINES = 4
# Loads that one step starts at most; the next step follows within a tenth of a second.
MOST_LOADS = 4
# What makes way for a model that is fetched ahead must be worth less.
AHEAD_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A load that could begin now.

    Attributes:
        rate: Weighted requests that it wins for each second that it takes.
        job: The load.
    """

    rate: float
    job: Job


class CopyPlanner:
    """Plans one step for one service.

    Attributes:
        deferred: Why what requests wait for is not loaded now, by resource.
    """

    def __init__(self, view: ServiceView) -> None:
        self._view = view
        self._models = {model.name: model for model in view.limits.models}
        self._value = CopyValue(view)
        self.deferred: dict[str, str] = {}
        self._taken: set[str] = set()
        self._jobs: list[Job] = []
        self._store_loads = view.store_loads
        self._fetching = sum(1 for engine in view.engines if engine.is_fetching)
        self._adapters = AdapterJobs(view, self._models, self._taken)
        self._rare = RareModels(view, self._value, self._models)

    def plan(self) -> list[Job]:
        """Return the jobs to start now, at most one for each engine."""
        view = self._view
        self._give_turn()
        self._load_models()
        for resource in view.awaited:
            self._serve_waiting(resource)
        for job in self._adapters.fill_places():
            self._add(job)
        if not view.requested_at_s and self._may_prepare():
            self._fetch_ahead()
        return self._jobs

    # Models.

    def _give_turn(self) -> None:
        """Load a rare model if it is its turn."""
        job = self._rare.turn(self._free_engines(), self._store_loads)
        if job is not None:
            self._add(job)
            self._value.add(job.model, job.instance_id)

    def _load_models(self) -> None:
        """Start loads, the one that wins most a second first, while any wins enough."""
        if not (self._view.requested_at_s or self._may_prepare()):
            return
        for _ in range(MOST_LOADS):
            free = self._free_engines()
            candidates = [self._best_for(name, free) for name in self._models]
            found = [candidate for candidate in candidates if candidate is not None]
            if not found:
                return
            best = max(found, key=lambda candidate: candidate.rate)
            self._add(best.job)
            self._value.add(best.job.model, best.job.instance_id)

    def _free_engines(self) -> list[EngineView]:
        """Return the engines that may begin a load, the least loaded first."""
        free = [
            engine
            for engine in self._view.engines
            if not engine.is_busy and engine.instance_id not in self._taken
        ]
        return sorted(free, key=lambda engine: self._value.load_of(engine.instance_id))

    def _weighed_for(self, name: str, free: list[EngineView]) -> list[EngineView]:
        """Return the free engines weighed for a model: those with a copy near, and few others."""
        without = [engine for engine in free if name not in engine.held]
        near = [engine for engine in without if engine.has_cached(name)]
        far = [engine for engine in without if not engine.has_cached(name)]
        return near + far[:FAR_ENGINES]

    def _best_for(self, name: str, free: list[EngineView]) -> _Candidate | None:
        """Return the best load of a model that may begin now, or None."""
        if self._value.most_gain(name) < LEAST_GAIN:
            return None
        wait_s = self._wait_for_near_copy(name)
        best: _Candidate | None = None
        for engine in self._weighed_for(name, free):
            found = self._candidate(engine, self._models[name], wait_s)
            if found is not None and (best is None or found.rate > best.rate):
                best = found
        return best

    def _candidate(
        self, engine: EngineView, model: ModelWeights, wait_s: float
    ) -> _Candidate | None:
        weighed = self._weigh(engine, model, wait_s)
        return weighed if isinstance(weighed, _Candidate) else None

    def _weigh(self, engine: EngineView, model: ModelWeights, wait_s: float) -> _Candidate | str:
        """Return the load of a model at a free engine, or why it is not worth it."""
        is_first = self._value.copies(model.name) == 0
        gain = self._value.gain(model.name, engine)
        if gain < (LEAST_GAIN if is_first else LEAST_FURTHER_GAIN):
            return f"gain {gain:.1f}"
        load_s, from_store = engine.load_time_s(model)
        if load_s > wait_s:
            return f"a copy is near in {wait_s:.1f} s"
        if from_store and not self._may_fetch(gain):
            return f"{self._store_loads} loads left, {self._fetching} under way"
        unload = self._room_for(engine, model, gain)
        if unload is None:
            return f"no room for gain {gain:.1f}"
        lost = sum(self._value.loss(engine, victim) for victim in unload)
        taken_s = load_s + max((self._unload_s(victim) for victim in unload), default=0.0)
        blocked = self._blocked_cost(engine, from_store) * taken_s
        won = (gain - lost) * STAY_S - blocked
        if won <= 0.0:
            return f"gain {gain:.1f}, lost {lost:.1f}, blocked {blocked:.0f} for {taken_s:.1f} s"
        reason = JobReason.AWAITED if is_first else JobReason.MORE_LOAD
        job = Job(engine.instance_id, tuple(unload), model.name, "", from_store, load_s, reason)
        return _Candidate(won / (taken_s + ORDER_S), job)

    def _blocked_cost(self, engine: EngineView, from_store: bool) -> float:
        """Return what a load costs for each second in which its engine takes no other order.

        The fewer engines are left to react to what comes, the more.
        """
        if not self._view.requested_at_s:
            return 0.0
        cost = self._value.blocked_adapters(engine)
        if not engine.is_needed:
            return cost
        engines = len(self._view.engines)
        left = max(LEAST_LEFT, engines - self._fetching - from_store)
        return cost + BLOCKED_COST * min(engines, MANY_ENGINES) / left

    def _unload_s(self, model: str) -> float:
        """Time that an unload may wait for requests that run."""
        requested_at_s = self._view.now_s - self._view.last_request_at_s(model)
        return max(0.0, RUNNING_S - requested_at_s)

    def _may_prepare(self) -> bool:
        """Whether loads may begin before any request, so that they end before it."""
        view = self._view
        return view.is_settled and view.now_s - view.started_at_s < AHEAD_S

    def _wait_for_near_copy(self, name: str) -> float:
        """Return when an engine that is busy now could have loaded a copy that it has near."""
        times = [
            engine.busy_for_s(self._view.now_s) + engine.load_time_s(self._models[name])[0]
            for engine in self._view.engines
            if engine.is_busy and name not in engine.held and engine.has_cached(name)
        ]
        return min(times, default=float("inf"))

    def _may_fetch(self, gain: float) -> bool:
        if self._store_loads <= 0:
            return False
        if gain >= LITTLE_GAIN or not self._view.requested_at_s:
            return True
        return self._fetching < max(1, int(len(self._view.engines) * SLOW_FETCH_SHARE))

    def _room_for(self, engine: EngineView, model: ModelWeights, gain: float) -> list[str] | None:
        """Return models that make way for another one; None when none may."""
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

    # What requests wait for.

    def _serve_waiting(self, resource: str) -> None:
        """Bring an adapter that requests wait for, or say why a model does not come now."""
        model, _, adapter = resource.partition("/")
        if model not in self._models:
            self.deferred[resource] = "unknown model"
        elif self._value.copies(model) == 0:
            self.deferred[resource] = self._refusals(model)
        elif not any(model in engine.held for engine in self._view.engines):
            self.deferred[resource] = "on its way"
        elif adapter:
            job = self._adapters.serve_waiting(model, adapter)
            if job is not None:
                self._add(job)

    def _refusals(self, model: str) -> str:
        """Say why no engine can load a model now."""
        reasons: list[str] = []
        for engine in self._view.engines:
            if engine.is_busy:
                reasons.append(f"busy for {engine.busy_for_s(self._view.now_s):.1f} s")
            elif engine.instance_id in self._taken:
                reasons.append("taken")
            else:
                weighed = self._weigh(engine, self._models[model], self._wait_for_near_copy(model))
                outranked = isinstance(weighed, _Candidate)
                reasons.append("outranked" if outranked else str(weighed))
        return "; ".join(reasons)

    # Fetching ahead.

    def _fetch_ahead(self) -> None:
        """Before any traffic: fetch what no machine has, in place of what can be back soon."""
        for name, model in self._models.items():
            is_near = any(engine.has_cached(name) for engine in self._view.engines)
            if is_near or self._value.copies(name) > 0 or self._store_loads <= 0:
                continue
            job = self._ahead_job(model)
            if job is not None:
                self._add(job)
                self._value.add(name, job.instance_id)

    def _ahead_job(self, model: ModelWeights) -> Job | None:
        for engine in self._view.engines:
            if engine.is_busy or engine.instance_id in self._taken:
                continue
            victims = [name for name in engine.held if self._may_leave_early(engine, name)]
            victims.sort(key=lambda name: self._value.loss(engine, name))
            unload = tuple(victims[:1])
            freed_mb = sum(engine.model_mb(name, self._models.get(name)) for name in unload)
            if engine.used_mb(self._models) - freed_mb + model.memory_mb <= engine.limits.memory_mb:
                reason = JobReason.PREFETCHED
                return Job(engine.instance_id, unload, model.name, "", True, model.load_s, reason)
        return None

    def _may_leave_early(self, engine: EngineView, name: str) -> bool:
        return engine.has_cached(name) and self._value.weight(name) < AHEAD_WEIGHT

    def _add(self, job: Job) -> None:
        self._jobs.append(job)
        self._taken.add(job.instance_id)
        if job.from_store:
            self._store_loads -= 1
            self._fetching += 1
