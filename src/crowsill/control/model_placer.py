"""Places models and adapters on registered engines while this member leads.

The planner is pure. This module collects its input and starts the jobs that it plans, one at a time
for each engine.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass

from crowsill.clock import monotonic_s
from crowsill.control.engine_jobs import EngineJobPorts, EngineJobs, resource_name
from crowsill.control.engine_state import EngineState, to_engine_view
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.instances import Instance
from crowsill.model.routes import EngineLimits, RouteConfiguration
from crowsill.placement.copy_planner import CopyPlanner
from crowsill.placement.copy_views import DEFAULT_WAIT_S, EngineView, Job, ServiceView
from crowsill.placement.demand import DemandEstimate
from crowsill.placement.load_window import LoadWindow
from crowsill.placement.missing_requests import MAX_REQUEST_GAP_S, MissingRequests
from crowsill.placement.unknown_adapters import UnknownAdapters
from crowsill.state.commands import RecordMissingModels
from crowsill.state.missing_models import most_requested

PLAN_INTERVAL_S = 0.1
# Pause after a planning step as a multiple of the step's duration. Planning must leave most of the
# event loop's time to heartbeats: a leader that sends none is replaced.
PLAN_PAUSE_FACTOR = 4.0
DEMAND_HALF_LIFE_S = 3.0
OVERLOAD_HALF_LIFE_S = 1.5
# Gateways repeat their report of a missing resource every 0.3 s while callers wait.
WAITING_LIFETIME_S = 0.7
# Adapters are cheap to load, but a long model load may delay them, so they are kept longer.
WAITING_ADAPTER_LIFETIME_S = 5.0
# After a longer gap a wait counts as a new one.
MAX_WAIT_GAP_S = 3.0
JOB_MARGIN_S = 0.3
DEFERRAL_LOG_INTERVAL_S = 1.0
# Interval of recording the requests for missing models, if they changed. A change of leader loses
# at most the requests of this interval.
RECORD_MISSING_INTERVAL_S = 2.0
# A service's engines count as complete when no new one has registered for this many heartbeat
# intervals.
SETTLED_HEARTBEATS = 1.5


@dataclass(frozen=True, slots=True)
class WeightStoreLimits:
    """Limits of the weight store, besides the rate set in the routes.

    Attributes:
        window_s: Length of the window in which loads are counted.
        burst: Loads allowed beyond the rate in one window.
    """

    window_s: float = 5.0
    burst: int = 3


@dataclass(frozen=True, slots=True)
class ModelPlacerPorts:
    """Dependencies of the placer.

    Attributes:
        engines: Dependencies of engine jobs.
        routes: Returns the active route configuration.
        collect_demand: Returns the number of requests by resource since the last call.
        collect_urgent: Returns those requests that have a short latency target.
        collect_overloaded: Returns those requests whose model has too few copies.
        heartbeat_s: Time between two heartbeats of a replica.
        limit_of: Returns the rate limit in requests per second that a replica advertises; None
            without a limit.
        recorded_loads: Returns when the loads from the weight store that leaders recorded for a
            service since a time may have begun; None if they are not known.
        pace_of: Returns the time that work takes at a replica, in percent of the usual; None if it
            is not known.
    """

    engines: EngineJobPorts
    routes: Callable[[], RouteConfiguration | None]
    collect_demand: Callable[[], dict[str, int]]
    collect_urgent: Callable[[], dict[str, int]]
    collect_overloaded: Callable[[], dict[str, int]]
    heartbeat_s: float = 1.0
    limit_of: Callable[[str], float | None] = lambda _instance_id: None
    recorded_loads: Callable[[str, float], list[float] | None] = lambda _service, _since_s: None
    pace_of: Callable[[str], int | None] = lambda _instance_id: None


class ModelPlacer:
    """Places models for one leadership term."""

    def __init__(
        self,
        ports: ModelPlacerPorts,
        limits: WeightStoreLimits,
        holder: str,
        term: int,
        lease_s: float,
        *,
        turn_share: float = 0.0,
    ) -> None:
        """Make a placer.

        Args:
            ports: Dependencies.
            limits: Limits of the weight store.
            holder: Name of this member, sent with its orders.
            term: Leadership term, the fence of its orders.
            lease_s: Time after the start of the term during which no order is sent.
            turn_share: Share of the engines that may load rarely used models in turn.
        """
        self._turn_share = turn_share
        self._ports = ports
        self._limits = limits
        self._term = term
        now_s = monotonic_s()
        # A leader commits an offer before its first order, so without offers no order was sent.
        self._has_predecessor = ports.engines.machine.directory.has_offers
        self._first_order_at_s = now_s + lease_s if self._has_predecessor else now_s
        self._began_at_s = now_s
        self._engines: dict[str, EngineState] = {}
        # Monotonic time in seconds of the last new engine, by service.
        self._last_joined_at_s: dict[str, float] = {}
        self._windows: dict[str, LoadWindow] = {}
        self._demand = DemandEstimate(DEMAND_HALF_LIFE_S)
        self._urgent = DemandEstimate(DEMAND_HALF_LIFE_S)
        self._unknown_adapters = UnknownAdapters()
        self._overloaded = DemandEstimate(OVERLOAD_HALF_LIFE_S)
        self._requested_at_s: dict[str, float] = {}
        self._waited_for_at_s: dict[str, float] = {}
        # Monotonic times in seconds of the last and first report of the current wait, by model.
        self._wait_spans: dict[str, tuple[float, float]] = {}
        # Monotonic time in seconds of the last report that resumed streams wait for a model, by
        # `service|model` and software version.
        self._resumed_at_s: dict[tuple[str, str], float] = {}
        self._missing_requests = MissingRequests()
        # Resumed streams since an engine of their software version last held their model, by
        # version.
        self._missing_at_versions: dict[str, MissingRequests] = {}
        self._has_inherited_missing = False
        self._deferral_logged_at_s: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._jobs = EngineJobs(ports.engines, holder, term, self._wake.set)

    def note_waiting(
        self, awaited: dict[str, int], software_versions: dict[str, list[str]] | None = None
    ) -> None:
        """Record what requests wait for.

        Args:
            awaited: The resources; for resumed streams, the number of those that were not reported
                before.
            software_versions: Software versions of the replicas that may serve resumed streams, by
                resource.
        """
        now_s = monotonic_s()
        for resource, versions in (software_versions or {}).items():
            model = resource.partition("/")[0]
            for version in versions:
                self._resumed_at_s[model, version] = now_s
                missing = self._missing_at_versions.setdefault(version, MissingRequests())
                missing.note(model, awaited.get(resource, 0), now_s)
        for resource in awaited:
            self._waited_for_at_s[resource] = now_s
            model = resource.partition("/")[0]
            last_at_s, since_at_s = self._wait_spans.get(model, (float("-inf"), now_s))
            if now_s - last_at_s > MAX_WAIT_GAP_S:
                since_at_s = now_s
            self._wait_spans[model] = (now_s, since_at_s)
            self._requested_at_s[resource] = now_s
        self._wake.set()

    async def run(self) -> None:
        """Place until cancelled."""
        recording = asyncio.create_task(self._record_missing())
        try:
            while True:
                # Not `wait_for`: it loses a cancellation that arrives just as the awaited event
                # completes, and a cancelled placer would then keep planning.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(PLAN_INTERVAL_S):
                        await self._wake.wait()
                self._wake.clear()
                self._count_demand()
                if self._ports.engines.has_lease():
                    self._inherit_missing()
                if monotonic_s() >= self._first_order_at_s and self._ports.engines.has_lease():
                    planning_began_at_s = monotonic_s()
                    self._plan_safely()
                    await asyncio.sleep((monotonic_s() - planning_began_at_s) * PLAN_PAUSE_FACTOR)
        finally:
            recording.cancel()
            for engine in self._engines.values():
                for job in (engine.job, engine.adapter_job):
                    if job is not None:
                        job.cancel()

    def _inherit_missing(self) -> None:
        """Load the counts that the last leader recorded, once all its entries are applied."""
        if self._has_inherited_missing:
            return
        self._has_inherited_missing = True
        recorded = self._ports.engines.machine.missing_models
        self._missing_requests.inherit(recorded.requests, recorded.ages_s, monotonic_s())

    async def _record_missing(self) -> None:
        """Record the requests for missing models for the next leader."""
        while True:
            await asyncio.sleep(RECORD_MISSING_INTERVAL_S)
            missing = most_requested(self._missing_requests.requests)
            if (
                self._has_inherited_missing
                and missing != self._ports.engines.machine.missing_models.requests
            ):
                ages_s = self._missing_requests.ages_s(monotonic_s())
                recorded_ages_s = {resource: round(ages_s[resource], 1) for resource in missing}
                await self._ports.engines.submit(
                    RecordMissingModels(missing, ages_s=recorded_ages_s)
                )

    def _plan_safely(self) -> None:
        """Plan once; an exception must not stop placement until the next change of leader."""
        try:
            self._plan_once()
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, where="placement", error=repr(error))

    def _count_demand(self) -> None:
        now_s = monotonic_s()
        counts = _with_model_totals(self._ports.collect_demand())
        for resource, count in counts.items():
            self._requested_at_s[resource] = now_s
            if "/" not in resource:
                self._missing_requests.note(resource, count, now_s)
        self._unknown_adapters.add(counts, self._demand.rates, now_s)
        self._demand.add(counts, now_s)
        self._overloaded.add(self._ports.collect_overloaded(), now_s)
        self._urgent.add(_with_model_totals(self._ports.collect_urgent()), now_s)
        self._waited_for_at_s = {
            resource: waited_for_at_s
            for resource, waited_for_at_s in self._waited_for_at_s.items()
            if now_s - waited_for_at_s < _waiting_lifetime_s(resource)
        }
        self._resumed_at_s = {
            awaited: at_s
            for awaited, at_s in self._resumed_at_s.items()
            if now_s - at_s < WAITING_LIFETIME_S
        }

    def _plan_once(self) -> None:
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
                longest_wait_s = routes.longest_timeout_s(service.name)
                self._plan_service(service.name, service.engine, members, longest_wait_s)

    def _plan_service(
        self, name: str, limits: EngineLimits, members: list[Instance], longest_wait_s: float | None
    ) -> None:
        now_s = monotonic_s()
        views: list[EngineView] = []
        excluded = self._excluded_engines(members)
        for instance in members:
            engine = self._engine_of(instance, name, now_s)
            if not engine.is_busy and engine.sequence is None and now_s >= engine.retry_at_s:
                engine.job = asyncio.create_task(self._jobs.read_state(instance, engine))
            busy = engine.is_busy or engine.sequence is None or now_s < engine.retry_at_s
            busy = busy or instance.instance_id in excluded
            engine_view = to_engine_view(instance, engine, limits, busy)
            engine_view.limit_per_s = self._ports.limit_of(instance.instance_id)
            engine_view.pace_percent = self._ports.pace_of(instance.instance_id)
            views.append(engine_view)
        awaited = list(_select_service(self._waited_for_at_s, name))
        self._missing_requests.note_held(
            name,
            {model for engine_view in views for model in engine_view.held},
            set(awaited),
            {model.name for model in limits.models},
        )
        self._note_held_at_versions(name, views, limits)
        view = ServiceView(
            limits=limits,
            engines=views,
            demand=_select_service(self._demand.rates, name),
            urgent=_select_service(self._urgent.rates, name),
            unknown_adapter_share=self._unknown_adapters.share(name),
            overloaded=_select_service(self._overloaded.rates, name),
            requested_at_s=_select_service(self._requested_at_s, name),
            awaited=awaited,
            awaited_since_at_s=_select_service(
                {
                    model: since_at_s
                    for model, (last_at_s, since_at_s) in self._wait_spans.items()
                    if now_s - last_at_s < WAITING_LIFETIME_S
                },
                name,
            ),
            awaited_versions=self._awaited_versions(name),
            missed_streams={
                version: missing.counts(name)
                for version, missing in self._missing_at_versions.items()
            },
            streams_missing_since_at_s={
                version: missing.since_at_s(name)
                for version, missing in self._missing_at_versions.items()
            },
            store_loads=self._load_window(name, limits).loads_left(now_s),
            now_s=now_s,
            longest_wait_s=_bounded_wait_s(longest_wait_s),
            is_settled=self._is_settled(name, now_s),
            missed_requests=self._missing_requests.counts(name),
            missing_since_at_s=self._missing_requests.since_at_s(name),
            turn_share=self._turn_share,
        )
        by_id = {instance.instance_id: instance for instance in members}
        planner = CopyPlanner(view)
        for job in planner.plan():
            self._start(job, by_id[job.instance_id], name, limits)
        self._log_deferred(name, planner.deferred, now_s)

    def _note_held_at_versions(
        self, service: str, views: list[EngineView], limits: EngineLimits
    ) -> None:
        """Record which models the engines of each software version hold."""
        known_models = {model.name for model in limits.models}
        for version, missing in list(self._missing_at_versions.items()):
            engines = [item for item in views if item.instance.software_version == version]
            held = {model for engine in engines for model in engine.held}
            missing.note_held(service, held, held, known_models)
            if not missing.requests:
                del self._missing_at_versions[version]

    def _awaited_versions(self, service: str) -> dict[str, set[str]]:
        """Return the software versions that resumed streams of a service wait for, by model."""
        found: dict[str, set[str]] = {}
        for resource, version in self._resumed_at_s:
            known_service, _, model = resource.partition("|")
            if known_service == service:
                found.setdefault(model, set()).add(version)
        return found

    def _excluded_engines(self, members: list[Instance]) -> set[str]:
        """Return the engines that get no further model.

        An engine with a rate limit can make little use of another model. If all engines advertise a
        limit, none is excluded.
        """
        known = {instance.instance_id for instance in members}
        limited = {item for item in known if self._ports.limit_of(item) is not None}
        return set() if limited == known else limited

    def _engine_of(self, instance: Instance, service: str, now_s: float) -> EngineState:
        """Return the state of an engine; create it for a new engine."""
        known = self._engines.get(instance.instance_id)
        if known is None:
            known = self._engines[instance.instance_id] = EngineState()
            self._last_joined_at_s[service] = now_s
        return known

    def _is_settled(self, service: str, now_s: float) -> bool:
        quiet_s = now_s - self._last_joined_at_s.get(service, now_s)
        return quiet_s > SETTLED_HEARTBEATS * self._ports.heartbeat_s

    def _log_deferred(self, service: str, deferred: dict[str, str], now_s: float) -> None:
        """Log why requests keep waiting, at a limited rate for each resource."""
        for resource, reason in deferred.items():
            if (
                now_s - self._deferral_logged_at_s.get(resource, float("-inf"))
                < DEFERRAL_LOG_INTERVAL_S
            ):
                continue
            self._deferral_logged_at_s[resource] = now_s
            log_event(Event.PLACEMENT_DEFERRED, service=service, resource=resource, why=reason)

    def _load_window(self, service: str, limits: EngineLimits) -> LoadWindow:
        window = self._windows.get(service)
        if window is None:
            store = self._limits
            window = LoadWindow(store.window_s, limits.store_loads_per_s, store.burst)
            for started_at_s in self._predecessor_loads(service, limits):
                window.note_load(started_at_s)
            self._windows[service] = window
        return window

    def _predecessor_loads(self, service: str, limits: EngineLimits) -> list[float]:
        """Return when the loads of former leaders within the last window may have started."""
        if not self._has_predecessor:
            return []
        recorded = self._ports.recorded_loads(service, self._began_at_s - self._limits.window_s)
        if recorded is not None:
            return recorded
        min_load_s = min((model.load_s for model in limits.models), default=1.0)
        loads_per_engine = math.ceil(self._limits.window_s / max(0.1, min_load_s))
        reported = self._ports.engines.machine.directory.reported
        engines = sum(1 for instance in reported if instance.service == service)
        return [self._began_at_s] * (loads_per_engine * engines)

    def _start(self, job: Job, instance: Instance, service: str, limits: EngineLimits) -> None:
        engine = self._engines[job.instance_id]
        if job.from_store:
            self._load_window(service, limits).note_load(monotonic_s())
        log_event(
            Event.PLACEMENT_DECIDED,
            replica=job.instance_id,
            load=resource_name(job.model, job.adapter),
            unload=",".join(job.unload),
            from_store=job.from_store,
            demand=round(self._demand.rates.get(f"{service}|{job.model}", 0.0), 2),
            reason=job.reason,
            term=self._term,
        )
        task = asyncio.create_task(self._jobs.run_job(job, instance, engine))
        engine.free_at_s = monotonic_s() + job.load_s + JOB_MARGIN_S
        if job.adapter:
            engine.adapter_job = task
            return
        engine.loading = job.model
        engine.is_fetching = job.from_store
        engine.job = task


def _bounded_wait_s(longest_timeout_s: float | None) -> float:
    """Return how long callers are expected to wait; a route may have any timeout.

    >>> _bounded_wait_s(None), _bounded_wait_s(20.0), _bounded_wait_s(1e12)
    (15.0, 20.0, 60.0)
    """
    if longest_timeout_s is None:
        return DEFAULT_WAIT_S
    return min(longest_timeout_s, MAX_REQUEST_GAP_S)


def _waiting_lifetime_s(resource: str) -> float:
    return WAITING_ADAPTER_LIFETIME_S if "/" in resource else WAITING_LIFETIME_S


def _with_model_totals(counts: dict[str, int]) -> dict[str, int]:
    """Add the requests for adapters to the counts of their models.

    >>> _with_model_totals({"m": 1, "m/a": 2})
    {'m': 3, 'm/a': 2}
    """
    totals = dict(counts)
    for resource, count in counts.items():
        model, slash, _ = resource.partition("/")
        if slash:
            totals[model] = totals.get(model, 0) + count
    return totals


def _select_service(values: dict[str, float], service: str) -> dict[str, float]:
    """Return the values of one service, by resource without the service prefix."""
    prefix = f"{service}|"
    return {
        name.removeprefix(prefix): value
        for name, value in values.items()
        if name.startswith(prefix)
    }
