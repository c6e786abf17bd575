"""Places models and adapters on registered engines while this member leads.

The planner is pure; here its jobs are carried out, one at a time for each engine. What is to make
way is first withheld from gateways by a committed command, so that requests stop before the order
goes out. An order names the engine's instance and how many orders it has accepted, so a copy that
arrives late changes nothing; one without an answer is sent again until the engine has spoken.
"""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from crowsill.backends.engine_calls import EngineCalls, EngineOrder, OrderAnswer
from crowsill.clock import monotonic_s
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import ORDERS
from crowsill.model.instances import HeldModel, Instance
from crowsill.model.routes import EngineLimits, RouteConfiguration
from crowsill.placement.copies import CopyPlanner
from crowsill.placement.copy_views import EngineView, Job, ServiceView
from crowsill.placement.demand import DemandEstimate
from crowsill.placement.load_window import LoadWindow
from crowsill.state.commands import Command, OfferModels, OrderKind, RemoveInstance
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

PLAN_INTERVAL_S = 0.1
DEMAND_HALF_LIFE_S = 3.0
PRESSURE_HALF_LIFE_S = 1.5
# Requests that wait ask again after a third of a second; what is not asked for again is over.
WANTED_LIFETIME_S = 0.7
# An adapter costs next to nothing to bring, but its engine may be in a long load: it is remembered.
WANTED_ADAPTER_LIFETIME_S = 5.0
# After a longer gap than this a wait counts as a new one.
WAITING_GAP_S = 3.0
WITHHOLD_S = 0.05
REPORT_LAG_S = 0.15
ORDER_RETRY_S = 0.1
ORDER_TRIES = 20
LOAD_POLL_SHARE = 0.1
SHORTEST_POLL_S = 0.02
POLL_GROWTH = 1.5
LONGEST_POLL_S = 0.5
LOAD_TIMEOUT_FACTOR = 6.0
LOAD_TIMEOUT_EXTRA_S = 3.0
REST_AFTER_FAILURE_S = 0.5
JOB_EXTRA_S = 0.3
DEFERRED_INTERVAL_S = 1.0
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
        machine: The replicated state.
        calls: Speaks to engines.
        submit: Commits commands.
        has_lease: Whether this member is provably the only leader at this moment.
        routes: Returns the route configuration in force.
        collect_demand: Returns requests by resource since the last call.
        collect_urgent: Returns those of them that have a short target.
        collect_pressed: Returns those whose model has too few copies.
        is_lost: Returns whether a replica counts as lost.
        heartbeat_s: Time between two heartbeats of a replica.
    """

    machine: StateMachine
    calls: EngineCalls
    submit: Callable[[Command], Awaitable[object]]
    has_lease: Callable[[], bool]
    routes: Callable[[], RouteConfiguration | None]
    collect_demand: Callable[[], dict[str, int]]
    collect_urgent: Callable[[], dict[str, int]]
    collect_pressed: Callable[[], dict[str, int]]
    is_lost: Callable[[str], bool]
    heartbeat_s: float = 1.0


@dataclass(slots=True)
class _Engine:
    """What this leadership knows of one engine."""

    sequence: int | None = None
    held: dict[str, set[str]] = field(default_factory=dict)
    job: asyncio.Task[None] | None = None
    adapter_job: asyncio.Task[None] | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    free_s: float = 0.0
    is_fetching: bool = False
    loading: str = ""
    leaving: str = ""
    rests_until_s: float = 0.0
    loaded_s: dict[str, float] = field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether a job is under way, so that no other one may begin.

        A model's load and an adapter's do not go together: during the first the engine refuses
        every order, also the one that would tell whether the adapter has come.
        """
        return any(job is not None and not job.done() for job in (self.job, self.adapter_job))

    @property
    def takes_adapters(self) -> bool:
        """Whether an adapter may be exchanged; an engine refuses that during a load."""
        return not self.is_busy and self.sequence is not None


class JobFailedError(Exception):
    """A job could not be carried out; the engine's state is read anew."""


class ModelPlacer:
    """Places models for one leadership."""

    def __init__(
        self, ports: ModelPlacerPorts, limits: StoreLimits, holder: str, term: int, lease_s: float
    ) -> None:
        """Make a placer.

        Args:
            ports: What it works with.
            limits: What the weight store takes.
            holder: Name of this member in its orders.
            term: Term of this leadership, the fence of its orders.
            lease_s: No order is given so soon after the leadership began.
        """
        self._ports = ports
        self._limits = limits
        self._holder = holder
        self._term = term
        now_s = monotonic_s()
        # Every leadership offers before it orders, so without an offer nobody ever ordered.
        self._follows_another = ports.machine.directory.has_offers
        self._starts_s = now_s + lease_s if self._follows_another else now_s
        self._started_s = now_s
        self._engines: dict[str, _Engine] = {}
        # Clock of the last new engine, by service.
        self._joined_s: dict[str, float] = {}
        self._windows: dict[str, LoadWindow] = {}
        self._demand = DemandEstimate(DEMAND_HALF_LIFE_S)
        self._urgent = DemandEstimate(DEMAND_HALF_LIFE_S)
        self._pressed = DemandEstimate(PRESSURE_HALF_LIFE_S)
        self._asked_s: dict[str, float] = {}
        self._first_asked_s: dict[str, float] = {}
        self._wanted_s: dict[str, float] = {}
        # Last and first moment of the present wait, by model.
        self._waiting_s: dict[str, tuple[float, float]] = {}
        # Requests for each model since an engine held it last.
        self._missed: dict[str, float] = {}
        self._deferred_s: dict[str, float] = {}
        self._wake = asyncio.Event()

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
            self._note_asked(resource, now_s)
        self._wake.set()

    def _note_asked(self, resource: str, now_s: float) -> None:
        self._asked_s[resource] = now_s
        self._first_asked_s.setdefault(resource, now_s)

    async def run(self) -> None:
        """Place until cancelled."""
        try:
            while True:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._wake.wait(), PLAN_INTERVAL_S)
                self._wake.clear()
                self._count_demand()
                if monotonic_s() >= self._starts_s and self._ports.has_lease():
                    self._step_contained()
        finally:
            for engine in self._engines.values():
                for job in (engine.job, engine.adapter_job):
                    if job is not None:
                        job.cancel()

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
            self._note_asked(resource, now_s)
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
            for item in self._ports.machine.directory.reported
            if item.accepts_work and not self._ports.is_lost(item.instance_id)
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
        loading: dict[str, int] = {}
        for instance in members:
            engine = self._engine_of(instance, name, now_s)
            if not engine.is_busy and engine.sequence is None and now_s >= engine.rests_until_s:
                engine.job = asyncio.create_task(self._learn(instance, engine))
            if engine.is_busy and engine.loading:
                loading[engine.loading] = loading.get(engine.loading, 0) + 1
            busy = engine.is_busy or engine.sequence is None or now_s < engine.rests_until_s
            views.append(_view_of(instance, engine, limits, busy))
        view = ServiceView(
            limits=limits,
            engines=views,
            loading=loading,
            demand=_of_service(self._demand.rates, name),
            urgent=_of_service(self._urgent.rates, name),
            pressed=_of_service(self._pressed.rates, name),
            asked_s=_of_service(self._asked_s, name),
            wanted=list(_of_service(self._wanted_s, name)),
            wanted_since_s=_of_service(
                {
                    model: since_s
                    for model, (last_s, since_s) in self._waiting_s.items()
                    if now_s - last_s < WANTED_LIFETIME_S
                },
                name,
            ),
            first_asked_s=_of_service(self._first_asked_s, name),
            began_s=self._starts_s,
            store_loads=self._window(name, limits).left(now_s),
            now_s=now_s,
            is_settled=self._is_settled(name, now_s),
            missed=self._missed_of(name, views),
        )
        by_id = {instance.instance_id: instance for instance in members}
        planner = CopyPlanner(view)
        for job in planner.plan():
            self._start(job, by_id[job.instance_id], name, limits)
        self._log_deferred(name, planner.deferred, now_s)

    def _engine_of(self, instance: Instance, service: str, now_s: float) -> _Engine:
        """Return what is known of an engine, and note one that is new."""
        known = self._engines.get(instance.instance_id)
        if known is None:
            known = self._engines[instance.instance_id] = _Engine()
            self._joined_s[service] = now_s
        return known

    def _missed_of(self, service: str, engines: list[EngineView]) -> dict[str, float]:
        """Return the requests that models have missed; those that are held miss none."""
        for engine in engines:
            for model in engine.held:
                self._missed.pop(f"{service}|{model}", None)
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
        reported = self._ports.machine.directory.reported
        return each * sum(1 for instance in reported if instance.service == service)

    def _start(self, job: Job, instance: Instance, service: str, limits: EngineLimits) -> None:
        engine = self._engines[job.instance_id]
        if job.from_store:
            self._window(service, limits).started(monotonic_s())
        log_event(
            Event.PLACEMENT_DECIDED,
            replica=job.instance_id,
            load=_resource(job.model, job.adapter),
            unload=",".join(job.unload),
            from_store=job.from_store,
            demand=round(self._demand.rates.get(f"{service}|{job.model}", 0.0), 2),
            reason=job.reason,
            term=self._term,
        )
        task = asyncio.create_task(self._carry_out(job, instance, engine))
        if job.adapter:
            engine.adapter_job = task
            return
        engine.loading = job.model
        engine.is_fetching = job.from_store
        engine.free_s = monotonic_s() + job.load_s + JOB_EXTRA_S
        engine.job = task

    # Jobs.

    async def _learn(self, instance: Instance, engine: _Engine) -> None:
        """Read what an engine holds and how many orders it has accepted."""
        report = await self._ports.calls.report(instance)
        if report is None or report.is_busy or report.coming:
            engine.rests_until_s = monotonic_s() + REST_AFTER_FAILURE_S
            return
        engine.sequence = report.sequence
        engine.held = {held.name: set(held.adapters) for held in report.models}
        await self._tell(instance, engine, ())

    async def _carry_out(self, job: Job, instance: Instance, engine: _Engine) -> None:
        try:
            if job.unload:
                await self._tell(instance, engine, job.unload)
                await asyncio.sleep(WITHHOLD_S)
                for resource in job.unload:
                    engine.leaving = "" if job.adapter else resource
                    await self._unload(instance, engine, resource)
            if job.model:
                await self._load(instance, engine, job)
                await self._tell(instance, engine, ())
        except JobFailedError as error:
            engine.sequence = None
            engine.rests_until_s = monotonic_s() + REST_AFTER_FAILURE_S
            log_event(Event.ORDER_SETTLED, replica=job.instance_id, succeeded=False, detail=error)
        finally:
            if not job.adapter:
                engine.loading = ""
                engine.leaving = ""
                engine.free_s = 0.0
            self._wake.set()

    async def _tell(self, instance: Instance, engine: _Engine, withheld: tuple[str, ...]) -> None:
        """Commit what gateways may use at an engine."""
        offered = [
            HeldModel(name, 1, sorted(item for item in names if f"{name}/{item}" not in withheld))
            for name, names in engine.held.items()
            if name not in withheld
        ]
        command = OfferModels(instance.instance_id, offered)
        reply = await self._ports.submit(command)
        if not isinstance(reply, Submitted):
            raise JobFailedError("the holdings could not be committed")

    async def _unload(self, instance: Instance, engine: _Engine, resource: str) -> None:
        model, _, adapter = resource.partition("/")
        started_s = monotonic_s()
        await self._order(instance, engine, OrderKind.UNLOAD, model, adapter)
        if not adapter:
            await self._wait_for(instance, engine, model, present=False, expected_s=0.1)
        if adapter:
            engine.held.get(model, set()).discard(adapter)
        else:
            engine.held.pop(model, None)
        self._log_settled(instance, OrderKind.UNLOAD, resource, started_s)

    async def _load(self, instance: Instance, engine: _Engine, job: Job) -> None:
        started_s = monotonic_s()
        resource = _resource(job.model, job.adapter)
        await self._order(instance, engine, OrderKind.LOAD, job.model, job.adapter)
        if job.adapter:
            await self._wait_for_adapter(instance, engine, job)
            engine.held.setdefault(job.model, set()).add(job.adapter)
        else:
            await self._wait_for(instance, engine, job.model, True, job.load_s)
            engine.held.setdefault(job.model, set())
        engine.loaded_s[resource] = monotonic_s()
        self._log_settled(instance, OrderKind.LOAD, resource, started_s)

    async def _order(
        self, instance: Instance, engine: _Engine, kind: OrderKind, model: str, adapter: str
    ) -> bool:
        """Send an order until the engine has spoken; return whether it was so already."""
        async with engine.lock:
            return await self._order_alone(instance, engine, kind, model, adapter)

    async def _order_alone(
        self, instance: Instance, engine: _Engine, kind: OrderKind, model: str, adapter: str
    ) -> bool:
        """Send an order while no other one is under way to the engine."""
        for _ in range(ORDER_TRIES):
            if engine.sequence is None or not self._ports.has_lease():
                raise JobFailedError("no lease")
            if self._ports.is_lost(instance.instance_id):
                raise JobFailedError("the engine is gone")
            order = EngineOrder(kind, model, adapter, engine.sequence, self._holder, self._term)
            answer = await self._ports.calls.order(instance, order)
            ORDERS.labels(kind, answer).inc()
            log_event(
                Event.ORDER_ANSWERED,
                replica=instance.instance_id,
                kind=kind,
                resource=_resource(model, adapter),
                expected=engine.sequence,
                fence=self._term,
                answer=answer,
            )
            if answer is OrderAnswer.ACCEPTED:
                engine.sequence += 1
                return False
            if answer is OrderAnswer.ALREADY_SO:
                # An adapter that nobody uses is unloaded at once, and that is counted.
                if kind is OrderKind.UNLOAD and adapter:
                    engine.sequence += 1
                return True
            if answer is OrderAnswer.OTHER_INSTANCE and not adapter:
                # Whoever has the address now is not this instance, so it has ended.
                await self._ports.submit(RemoveInstance(instance.instance_id))
                raise JobFailedError("the engine has ended: another instance has its address")
            if answer is not OrderAnswer.UNKNOWN and answer is not OrderAnswer.NOT_NOW:
                raise JobFailedError(f"{kind} {model} {adapter}: {answer}")
            await asyncio.sleep(ORDER_RETRY_S)
            # An earlier copy may have been accepted: the report tells.
            if answer is OrderAnswer.NOT_NOW and await self._was_accepted(
                instance, engine, kind, model, adapter
            ):
                return False
        raise JobFailedError(f"{kind} {model} {adapter}: no answer")

    async def _was_accepted(
        self, instance: Instance, engine: _Engine, kind: OrderKind, model: str, adapter: str
    ) -> bool:
        expected = engine.sequence
        if expected is None:
            raise JobFailedError("its state is not known")
        await asyncio.sleep(REPORT_LAG_S)
        report = await self._ports.calls.report(instance)
        if report is None or report.sequence == engine.sequence:
            return False
        if report.sequence != expected + 1:
            # Somebody else's orders were carried out late: what it holds is not known any more.
            raise JobFailedError(f"{report.sequence} orders accepted, {expected} expected")
        engine.sequence = report.sequence
        held = {item.name: set(item.adapters) for item in report.models}
        present = model in held and (not adapter or adapter in held[model])
        coming = _resource(model, adapter) in report.coming
        loaded = present or coming or report.is_busy
        if loaded is not (kind is OrderKind.LOAD) and not report.is_busy:
            raise JobFailedError("another order was accepted in place of this one")
        return True

    async def _wait_for(
        self, instance: Instance, engine: _Engine, model: str, present: bool, expected_s: float
    ) -> None:
        """Wait until a model is there, or is gone, by its heartbeat or its report."""
        deadline_s = monotonic_s() + expected_s * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_EXTRA_S
        poll_s = min(LONGEST_POLL_S, max(SHORTEST_POLL_S, expected_s * LOAD_POLL_SHARE))
        next_report_s = monotonic_s() + expected_s + REPORT_LAG_S
        while monotonic_s() < deadline_s:
            await asyncio.sleep(SHORTEST_POLL_S)
            told = self._ports.machine.directory.find_reported(instance.instance_id)
            if told is None or self._ports.is_lost(instance.instance_id):
                raise JobFailedError("the engine is gone")
            if told.holds(model) is present:
                return
            if monotonic_s() < next_report_s:
                continue
            next_report_s = monotonic_s() + poll_s
            # Reports are paid for, and an unload may wait seconds for requests that run.
            poll_s = min(LONGEST_POLL_S, poll_s * POLL_GROWTH)
            report = await self._ports.calls.report(instance)
            if report is None or report.is_busy:
                continue
            if (model in {item.name for item in report.models}) is present:
                return
        raise JobFailedError(f"{model}: not settled in time")

    async def _wait_for_adapter(self, instance: Instance, engine: _Engine, job: Job) -> None:
        """Ask by the same order until the engine says that the adapter is there."""
        deadline_s = monotonic_s() + LOAD_TIMEOUT_EXTRA_S
        pause_s = job.load_s
        while monotonic_s() < deadline_s:
            await asyncio.sleep(pause_s)
            if await self._order(instance, engine, OrderKind.LOAD, job.model, job.adapter):
                return
            pause_s = min(LONGEST_POLL_S, pause_s * 1.5)
        raise JobFailedError(f"{job.model}/{job.adapter}: did not come in time")

    def _log_settled(
        self, instance: Instance, kind: OrderKind, resource: str, started_s: float
    ) -> None:
        log_event(
            Event.ORDER_SETTLED,
            replica=instance.instance_id,
            kind=kind,
            resource=resource,
            succeeded=True,
            seconds=round(monotonic_s() - started_s, 3),
        )


def _wanted_lifetime_s(resource: str) -> float:
    return WANTED_ADAPTER_LIFETIME_S if "/" in resource else WANTED_LIFETIME_S


def _resource(model: str, adapter: str) -> str:
    return f"{model}/{adapter}" if adapter else model


def _view_of(instance: Instance, engine: _Engine, limits: EngineLimits, busy: bool) -> EngineView:
    """Return the planner's view; what is being exchanged counts on both sides."""
    pending_mb = 0.0
    for model in limits.models:
        if model.name == engine.loading and model.name not in engine.held:
            pending_mb = model.memory_mb
    return EngineView(
        instance=instance,
        limits=limits,
        held={name: names for name, names in engine.held.items() if name != engine.leaving},
        is_busy=busy,
        is_fetching=engine.is_busy and engine.is_fetching,
        free_s=engine.free_s,
        takes_adapters=engine.takes_adapters,
        pending_mb=pending_mb,
        loaded_s=engine.loaded_s,
    )


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
