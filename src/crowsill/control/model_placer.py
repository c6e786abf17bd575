"""Places models and adapters on registered engines while this member leads.

The planner is pure; here what it looks at is brought together, and its jobs are started, one at a
time for each engine.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass

from crowsill.clock import monotonic_s
from crowsill.control.engine_account import EngineAccount, view_of
from crowsill.control.engine_jobs import EngineJobPorts, EngineJobs, resource_of
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, RouteConfiguration
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_views import EngineView, Job, ServiceView
from crowsill.placement.demand import DemandEstimate
from crowsill.placement.load_window import LoadWindow
from crowsill.state.commands import RecordLacked
from crowsill.state.lacked_models import most_lacked

PLAN_INTERVAL_S = 0.1
# Pause after a step as a multiple of its own time: planning leaves most of the leader's time to
# heartbeats, without which it would be replaced.
PLAN_PAUSE_FACTOR = 4.0
DEMAND_HALF_LIFE_S = 3.0
PRESSURE_HALF_LIFE_S = 1.5
# Requests that wait ask again after a third of a second; what is not asked for again is over.
WANTED_LIFETIME_S = 0.7
# An adapter costs next to nothing to bring, but its engine may be in a long load: it is remembered.
WANTED_ADAPTER_LIFETIME_S = 5.0
# After a longer gap than this a wait counts as a new one.
WAITING_GAP_S = 3.0
JOB_EXTRA_S = 0.3
DEFERRED_INTERVAL_S = 1.0
# What models lack is recorded so often, if it has changed: no more is lost with a leader.
RECORD_LACKED_S = 2.0
# Engines that register one after the other are all known when none has come for so many of their
# heartbeat intervals.
SETTLED_BEATS = 1.5


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the weight store takes, beside the rate that the routes tell.

    Attributes:
        window_s: Window in which loads are counted.
        burst: Loads beyond the rate in one window.
    """

    window_s: float = 5.0
    burst: int = 3


@dataclass(frozen=True, slots=True)
class ModelPlacerPorts:
    """What the placer works with.

    Attributes:
        engines: What its jobs work with.
        routes: Returns the route configuration in force.
        collect_demand: Returns requests by resource since the last call.
        collect_urgent: Returns those of them that have a short target.
        collect_pressed: Returns those whose model has too few copies.
        heartbeat_s: Time between two heartbeats of a replica.
        limit_of: Returns the requests a second that a replica takes by its own word; None without
            a limit.
    """

    engines: EngineJobPorts
    routes: Callable[[], RouteConfiguration | None]
    collect_demand: Callable[[], dict[str, int]]
    collect_urgent: Callable[[], dict[str, int]]
    collect_pressed: Callable[[], dict[str, int]]
    heartbeat_s: float = 1.0
    limit_of: Callable[[str], float | None] = lambda _instance_id: None


class ModelPlacer:
    """Places models for one leadership."""

    def __init__(
        self,
        ports: ModelPlacerPorts,
        limits: StoreLimits,
        holder: str,
        term: int,
        lease_s: float,
        *,
        turn_share: float = 0.0,
    ) -> None:
        """Make a placer.

        Args:
            ports: What it works with.
            limits: What the weight store takes.
            holder: Name of this member in its orders.
            term: Term of this leadership, the fence of its orders.
            lease_s: No order is given so soon after the leadership began.
            turn_share: Share of the engines that may be loading rare models in turn.
        """
        self._turn_share = turn_share
        self._ports = ports
        self._limits = limits
        self._term = term
        now_s = monotonic_s()
        # Every leadership offers before it orders, so without an offer nobody ever ordered.
        self._follows_another = ports.engines.machine.directory.has_offers
        self._starts_s = now_s + lease_s if self._follows_another else now_s
        self._started_s = now_s
        self._engines: dict[str, EngineAccount] = {}
        # Clock of the last new engine, by service.
        self._joined_s: dict[str, float] = {}
        self._windows: dict[str, LoadWindow] = {}
        self._demand = DemandEstimate(DEMAND_HALF_LIFE_S)
        self._urgent = DemandEstimate(DEMAND_HALF_LIFE_S)
        self._pressed = DemandEstimate(PRESSURE_HALF_LIFE_S)
        self._asked_s: dict[str, float] = {}
        self._wanted_s: dict[str, float] = {}
        # Last and first moment of the present wait, by model.
        self._waiting_s: dict[str, tuple[float, float]] = {}
        # Requests for each model since an engine held it last.
        self._missed: dict[str, float] = {}
        self._knows_lacked = False
        self._deferred_s: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._jobs = EngineJobs(ports.engines, holder, term, self._wake.set)

    def want(self, wanted: dict[str, int]) -> None:
        """Take in what requests wait for."""
        now_s = monotonic_s()
        for resource in wanted:
            self._wanted_s[resource] = now_s
            model = resource.partition("/")[0]
            last_s, since_s = self._waiting_s.get(model, (float("-inf"), now_s))
            if now_s - last_s > WAITING_GAP_S:
                since_s = now_s
            self._waiting_s[model] = (now_s, since_s)
            self._asked_s[resource] = now_s
        self._wake.set()

    async def run(self) -> None:
        """Place until cancelled."""
        recording = asyncio.create_task(self._record_lacked())
        try:
            while True:
                # Not `wait_for`: it loses a cancellation that meets the end of what it waits for,
                # and a placer that was cancelled then plans on for ever.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(PLAN_INTERVAL_S):
                        await self._wake.wait()
                self._wake.clear()
                self._count_demand()
                if self._ports.engines.has_lease():
                    self._take_over_lacked()
                if monotonic_s() >= self._starts_s and self._ports.engines.has_lease():
                    began_s = monotonic_s()
                    self._step_contained()
                    await asyncio.sleep((monotonic_s() - began_s) * PLAN_PAUSE_FACTOR)
        finally:
            recording.cancel()
            for engine in self._engines.values():
                for job in (engine.job, engine.adapter_job):
                    if job is not None:
                        job.cancel()

    def _take_over_lacked(self) -> None:
        """Go on from what the last leader recorded, once it is certain that all is applied."""
        if self._knows_lacked:
            return
        self._knows_lacked = True
        for resource, count in self._ports.engines.machine.lacked.requests.items():
            self._missed[resource] = self._missed.get(resource, 0.0) + count

    async def _record_lacked(self) -> None:
        """Record what models lack for the next leader: each alone would forget it."""
        while True:
            await asyncio.sleep(RECORD_LACKED_S)
            lacked = most_lacked(self._missed)
            if self._knows_lacked and lacked != self._ports.engines.machine.lacked.requests:
                await self._ports.engines.submit(RecordLacked(lacked))

    def _step_contained(self) -> None:
        """Plan once; a fault in it must not end placement until the next change of leader."""
        try:
            self._step()
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, where="placement", error=repr(error))

    def _count_demand(self) -> None:
        now_s = monotonic_s()
        counts = _by_model(self._ports.collect_demand())
        for resource, count in counts.items():
            self._asked_s[resource] = now_s
            if "/" not in resource:
                self._missed[resource] = self._missed.get(resource, 0.0) + count
        self._demand.add(counts, now_s)
        self._pressed.add(self._ports.collect_pressed(), now_s)
        self._urgent.add(_by_model(self._ports.collect_urgent()), now_s)
        self._wanted_s = {
            resource: at_s
            for resource, at_s in self._wanted_s.items()
            if now_s - at_s < _wanted_lifetime_s(resource)
        }

    def _step(self) -> None:
        routes = self._ports.routes()
        if routes is None:
            return
        instances = [
            item
            for item in self._ports.engines.machine.directory.reported
            if item.accepts_work and not self._ports.engines.is_lost(item.instance_id)
        ]
        known = {instance.instance_id for instance in instances}
        for instance_id in list(self._engines):
            if instance_id not in known and not self._engines[instance_id].is_busy:
                del self._engines[instance_id]
        for service in routes.services:
            if service.engine is not None:
                members = [item for item in instances if item.service == service.name]
                self._plan_service(service.name, service.engine, members)

    def _plan_service(self, name: str, limits: EngineLimits, members: list[Instance]) -> None:
        now_s = monotonic_s()
        views: list[EngineView] = []
        spared = self._spared(members)
        for instance in members:
            engine = self._engine_of(instance, name, now_s)
            if not engine.is_busy and engine.sequence is None and now_s >= engine.rests_until_s:
                engine.job = asyncio.create_task(self._jobs.learn(instance, engine))
            busy = engine.is_busy or engine.sequence is None or now_s < engine.rests_until_s
            busy = busy or instance.instance_id in spared
            engine_view = view_of(instance, engine, limits, busy)
            engine_view.limit_per_s = self._ports.limit_of(instance.instance_id)
            views.append(engine_view)
        view = ServiceView(
            limits=limits,
            engines=views,
            demand=_of_service(self._demand.rates, name),
            urgent=_of_service(self._urgent.rates, name),
            overloaded=_of_service(self._pressed.rates, name),
            requested_at_s=_of_service(self._asked_s, name),
            awaited=list(_of_service(self._wanted_s, name)),
            awaited_since_at_s=_of_service(
                {
                    model: since_s
                    for model, (last_s, since_s) in self._waiting_s.items()
                    if now_s - last_s < WANTED_LIFETIME_S
                },
                name,
            ),
            started_at_s=self._starts_s,
            store_loads=self._window(name, limits).left(now_s),
            now_s=now_s,
            is_settled=self._is_settled(name, now_s),
            missed_requests=self._missed_of(name, limits, views),
            turn_share=self._turn_share,
        )
        by_id = {instance.instance_id: instance for instance in members}
        planner = CopyPlanner(view)
        for job in planner.plan():
            self._start(job, by_id[job.instance_id], name, limits)
        self._log_deferred(name, planner.deferred, now_s)

    def _spared(self, members: list[Instance]) -> set[str]:
        """Return the engines that are to get no further model.

        One that names a limit has little use for it, unless all of them name one.
        """
        known = {instance.instance_id for instance in members}
        limited = {item for item in known if self._ports.limit_of(item) is not None}
        return set() if limited == known else limited

    def _engine_of(self, instance: Instance, service: str, now_s: float) -> EngineAccount:
        """Return what is known of an engine, and note one that is new."""
        known = self._engines.get(instance.instance_id)
        if known is None:
            known = self._engines[instance.instance_id] = EngineAccount()
            self._joined_s[service] = now_s
        return known

    def _missed_of(
        self, service: str, limits: EngineLimits, engines: list[EngineView]
    ) -> dict[str, float]:
        """Return the requests that models have missed; those that are held miss none.

        Callers choose the names that they ask for: what the routes do not know is not counted.
        """
        held = {model for engine in engines for model in engine.held}
        lacked = {model.name for model in limits.models} - held
        prefix = f"{service}|"
        self._missed = {
            resource: count
            for resource, count in self._missed.items()
            if not resource.startswith(prefix) or resource.removeprefix(prefix) in lacked
        }
        return _of_service(self._missed, service)

    def _is_settled(self, service: str, now_s: float) -> bool:
        quiet_s = now_s - self._joined_s.get(service, now_s)
        return quiet_s > SETTLED_BEATS * self._ports.heartbeat_s

    def _log_deferred(self, service: str, deferred: dict[str, str], now_s: float) -> None:
        """Say why requests go on waiting, once in a while for each resource."""
        for resource, why in deferred.items():
            if now_s - self._deferred_s.get(resource, float("-inf")) < DEFERRED_INTERVAL_S:
                continue
            self._deferred_s[resource] = now_s
            log_event(Event.PLACEMENT_DEFERRED, service=service, resource=resource, why=why)

    def _window(self, service: str, limits: EngineLimits) -> LoadWindow:
        window = self._windows.get(service)
        if window is None:
            store = self._limits
            window = LoadWindow(store.window_s, limits.store_loads_per_s, store.burst)
            for _ in range(self._loads_before(service, limits)):
                window.started(self._started_s)
            self._windows[service] = window
        return window

    def _loads_before(self, service: str, limits: EngineLimits) -> int:
        """Return how many loads another leader may have begun within the window just before."""
        if not self._follows_another:
            return 0
        shortest_s = min((model.load_s for model in limits.models), default=1.0)
        each = math.ceil(self._limits.window_s / max(0.1, shortest_s))
        reported = self._ports.engines.machine.directory.reported
        return each * sum(1 for instance in reported if instance.service == service)

    def _start(self, job: Job, instance: Instance, service: str, limits: EngineLimits) -> None:
        engine = self._engines[job.instance_id]
        if job.from_store:
            self._window(service, limits).started(monotonic_s())
        log_event(
            Event.PLACEMENT_DECIDED,
            replica=job.instance_id,
            load=resource_of(job.model, job.adapter),
            unload=",".join(job.unload),
            from_store=job.from_store,
            demand=round(self._demand.rates.get(f"{service}|{job.model}", 0.0), 2),
            reason=job.reason,
            term=self._term,
        )
        task = asyncio.create_task(self._jobs.carry_out(job, instance, engine))
        engine.free_at_s = monotonic_s() + job.load_s + JOB_EXTRA_S
        if job.adapter:
            engine.adapter_job = task
            return
        engine.loading = job.model
        engine.is_fetching = job.from_store
        engine.job = task


def _wanted_lifetime_s(resource: str) -> float:
    return WANTED_ADAPTER_LIFETIME_S if "/" in resource else WANTED_LIFETIME_S


def _by_model(counts: dict[str, int]) -> dict[str, int]:
    """Count requests for adapters for their models, too.

    >>> _by_model({"m": 1, "m/a": 2})
    {'m': 3, 'm/a': 2}
    """
    whole = dict(counts)
    for resource, count in counts.items():
        model, slash, _ = resource.partition("/")
        if slash:
            whole[model] = whole.get(model, 0) + count
    return whole


def _of_service(values: dict[str, float], service: str) -> dict[str, float]:
    """Return the values of one service, by resource without the service's name."""
    prefix = f"{service}|"
    return {
        name.removeprefix(prefix): value
        for name, value in values.items()
        if name.startswith(prefix)
    }
