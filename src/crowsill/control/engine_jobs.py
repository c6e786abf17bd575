"""Runs jobs on registered engines: withhold a resource, unload it, load another, offer that.

A committed command first withholds from gateways the resource to be unloaded, so that requests for
it stop before the order goes out. An order carries the engine's instance id and the number of
orders that the engine has accepted, so a delayed duplicate changes nothing. An order without a
response is sent again until the engine responds.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from crowsill.backends.engine_calls import EngineCalls, EngineOrder, EngineReport, OrderResponse
from crowsill.clock import monotonic_s
from crowsill.control.engine_state import EngineState
from crowsill.control.store_loads import RECORD_RENEWAL_S
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import ORDERS
from crowsill.model.instances import Instance, LoadedModel, LoadingModel
from crowsill.placement.copy_views import Job
from crowsill.state.commands import (
    Command,
    OfferModels,
    OrderKind,
    RecordStoreLoad,
    RemoveInstance,
)
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

WITHHOLD_DELAY_S = 0.05
REPORT_LAG_S = 0.15
ORDER_RETRY_INTERVAL_S = 0.1
MAX_ORDER_ATTEMPTS = 20
LOAD_POLL_FRACTION = 0.1
MIN_POLL_INTERVAL_S = 0.02
POLL_INTERVAL_GROWTH = 1.5
MAX_POLL_INTERVAL_S = 0.5
LOAD_TIMEOUT_FACTOR = 6.0
LOAD_TIMEOUT_MARGIN_S = 3.0
BACKOFF_AFTER_FAILURE_S = 0.5
EXPECTED_UNLOAD_S = 0.1


@dataclass(frozen=True, slots=True)
class EngineJobPorts:
    """Dependencies of engine jobs.

    Attributes:
        machine: The replicated state.
        calls: Client for engines.
        submit: Commits commands.
        has_lease: Whether this member is provably the only leader at this moment.
        is_lost: Returns whether a replica counts as lost.
    """

    machine: StateMachine
    calls: EngineCalls
    submit: Callable[[Command], Awaitable[object]]
    has_lease: Callable[[], bool]
    is_lost: Callable[[str], bool]


class JobFailedError(Exception):
    """A job failed; the engine's state must be read again."""


class EngineJobs:
    """Runs the jobs of one leadership term."""

    def __init__(
        self, ports: EngineJobPorts, holder: str, term: int, on_done: Callable[[], None]
    ) -> None:
        """Make the runner of jobs.

        Args:
            ports: Dependencies.
            holder: Name of this member, sent with its orders.
            term: Leadership term, the fence of its orders.
            on_done: Called after each job.
        """
        self._ports = ports
        self._holder = holder
        self._term = term
        self._on_done = on_done

    async def read_state(self, instance: Instance, engine: EngineState) -> None:
        """Read which models an engine holds and how many orders it has accepted."""
        report = await self._ports.calls.report(instance)
        if report is None or report.is_busy or report.loading_adapters:
            engine.retry_at_s = monotonic_s() + BACKOFF_AFTER_FAILURE_S
            return
        engine.sequence = report.sequence
        engine.is_fenced = False
        engine.held = {held.name: set(held.adapters) for held in report.models}
        await self._offer_models(instance, engine, ())

    async def run_job(self, job: Job, instance: Instance, engine: EngineState) -> None:
        """Run a job; after a failure the engine's state is read again."""
        try:
            if job.unload:
                await self._offer_models(instance, engine, job.unload)
                await asyncio.sleep(WITHHOLD_DELAY_S)
                for resource in job.unload:
                    engine.unloading = "" if job.adapter else resource
                    await self._unload(instance, engine, resource)
            if job.model:
                await self._load(instance, engine, job)
                await self._offer_models(instance, engine, ())
        except JobFailedError as error:
            engine.sequence = None
            engine.retry_at_s = monotonic_s() + BACKOFF_AFTER_FAILURE_S
            log_event(Event.ORDER_SETTLED, replica=job.instance_id, succeeded=False, detail=error)
        finally:
            engine.free_at_s = 0.0
            if not job.adapter:
                engine.loading = ""
                engine.unloading = ""
            self._on_done()

    async def _offer_models(
        self,
        instance: Instance,
        engine: EngineState,
        withheld: tuple[str, ...],
        loading_models: tuple[LoadingModel, ...] = (),
    ) -> None:
        """Commit which models gateways may use at an engine, and which are being loaded there."""
        offered = [
            LoadedModel(name, 1, sorted(item for item in names if f"{name}/{item}" not in withheld))
            for name, names in engine.held.items()
            if name not in withheld
        ]
        command = OfferModels(instance.instance_id, offered, loading=list(loading_models))
        reply = await self._ports.submit(command)
        if not isinstance(reply, Submitted):
            raise JobFailedError("the offer of models could not be committed")

    async def _record_store_load(self, instance: Instance) -> None:
        """Commit that a load from the weight store is about to begin."""
        reply = await self._ports.submit(RecordStoreLoad(instance.service))
        if not isinstance(reply, Submitted):
            raise JobFailedError("the load from the weight store could not be committed")

    async def _unload(self, instance: Instance, engine: EngineState, resource: str) -> None:
        model, _, adapter = resource.partition("/")
        started_at_s = monotonic_s()
        was_done_already = await self._send_order(
            instance, engine, OrderKind.UNLOAD, model, adapter
        )
        if not adapter:
            await self._wait_for_model(
                instance, engine, model, present=False, expected_s=EXPECTED_UNLOAD_S
            )
        elif not was_done_already:
            # Requests still use the adapter. Until they finish, the engine rejects other orders.
            await self._wait_until_idle(instance)
        if adapter:
            engine.held.get(model, set()).discard(adapter)
        else:
            engine.held.pop(model, None)
        self._log_settled(instance, OrderKind.UNLOAD, resource, started_at_s)

    async def _load(self, instance: Instance, engine: EngineState, job: Job) -> None:
        started_at_s = monotonic_s()
        resource = resource_name(job.model, job.adapter)
        await self._send_order(
            instance, engine, OrderKind.LOAD, job.model, job.adapter, from_store=job.from_store
        )
        if job.adapter:
            await self._wait_for_adapter(instance, engine, job)
            engine.held.setdefault(job.model, set()).add(job.adapter)
        else:
            # Gateways that know when the model will be loaded keep only those requests waiting
            # whose deadline allows it.
            await self._offer_models(instance, engine, (), (LoadingModel(job.model, job.load_s),))
            await self._wait_for_model(instance, engine, job.model, True, job.load_s)
            engine.held.setdefault(job.model, set())
        engine.loaded_at_s[resource] = monotonic_s()
        self._log_settled(instance, OrderKind.LOAD, resource, started_at_s)

    async def _send_order(
        self,
        instance: Instance,
        engine: EngineState,
        kind: OrderKind,
        model: str,
        adapter: str,
        *,
        from_store: bool = False,
    ) -> bool:
        """Send an order until the engine responds; return whether its effect was already there."""
        async with engine.lock:
            return await self._send_order_locked(
                instance, engine, kind, model, adapter, from_store=from_store
            )

    async def _send_order_locked(
        self,
        instance: Instance,
        engine: EngineState,
        kind: OrderKind,
        model: str,
        adapter: str,
        *,
        from_store: bool,
    ) -> bool:
        """Send an order; the caller holds the engine's lock."""
        has_lost_response = False
        recorded_at_s = float("-inf")
        for _ in range(MAX_ORDER_ATTEMPTS):
            if from_store and monotonic_s() - recorded_at_s > RECORD_RENEWAL_S:
                recorded_at_s = monotonic_s()
                await self._record_store_load(instance)
            if engine.sequence is None or not self._ports.has_lease():
                raise JobFailedError("this member has no lease or no known state of the engine")
            # An engine that restarted under its name would execute an order meant for its former
            # incarnation.
            is_known = self._ports.machine.directory.find_reported(instance.instance_id) is not None
            if not is_known or self._ports.is_lost(instance.instance_id):
                raise JobFailedError("the engine is gone")
            order = EngineOrder(kind, model, adapter, engine.sequence, self._holder, self._term)
            response = await self._ports.calls.order(instance, order)
            self._log_response(instance, order, response)
            if response is OrderResponse.ACCEPTED:
                engine.sequence += 1
                engine.is_fenced = True
                return False
            if response is OrderResponse.ALREADY_DONE:
                if kind is OrderKind.UNLOAD and not adapter and not has_lost_response:
                    raise JobFailedError(f"{model}: not loaded, so the recorded state is wrong")
                # The engine unloads an unused adapter at once and counts the order.
                if kind is OrderKind.UNLOAD and adapter:
                    engine.sequence += 1
                return True
            if response is OrderResponse.OTHER_INSTANCE and not adapter:
                # Another instance has the address, so this instance has stopped.
                await self._ports.submit(RemoveInstance(instance.instance_id))
                raise JobFailedError("the engine has stopped: another instance has its address")
            if response is not OrderResponse.UNKNOWN and response is not OrderResponse.CONFLICT:
                raise JobFailedError(f"{kind} {model} {adapter}: {response}")
            has_lost_response = has_lost_response or response is OrderResponse.UNKNOWN
            await asyncio.sleep(ORDER_RETRY_INTERVAL_S)
            if response is OrderResponse.CONFLICT and await self._was_accepted_earlier(
                instance, engine, order, has_lost_response
            ):
                return False
        raise JobFailedError(f"{kind} {model} {adapter}: no response")

    async def _was_accepted_earlier(
        self, instance: Instance, engine: EngineState, order: EngineOrder, has_lost_response: bool
    ) -> bool:
        """Whether an earlier attempt of a rejected order was accepted, by the engine's report.

        Raises:
            JobFailedError: Orders of other senders were accepted, so the engine's state is unknown.
        """
        await asyncio.sleep(REPORT_LAG_S)
        report = await self._ports.calls.report(instance)
        if report is None:
            return False
        if report.sequence == order.expected_sequence:
            if report.is_busy:
                await self._wait_until_idle(instance)
            return False
        if not has_lost_response or report.sequence != order.expected_sequence + 1:
            detail = f"{report.sequence} orders accepted, {order.expected_sequence} expected"
            raise JobFailedError(detail)
        if report.is_busy and not engine.is_fenced:
            # The order in progress may be a former leader's; the report after it will decide.
            return False
        if not report.is_busy and not _is_order_done(order, report):
            raise JobFailedError("another order was accepted in place of this one")
        engine.sequence = report.sequence
        engine.is_fenced = True
        return True

    async def _wait_until_idle(self, instance: Instance) -> None:
        """Wait until an engine reports that no order is in progress.

        The engine rejects orders sent meanwhile.

        Raises:
            JobFailedError: The engine stayed busy for the time in which an order is repeated.
        """
        for _ in range(MAX_ORDER_ATTEMPTS):
            await asyncio.sleep(ORDER_RETRY_INTERVAL_S + REPORT_LAG_S)
            report = await self._ports.calls.report(instance)
            if report is None or not report.is_busy or not self._ports.has_lease():
                return
        raise JobFailedError("another order is in progress")

    def _log_response(
        self, instance: Instance, order: EngineOrder, response: OrderResponse
    ) -> None:
        ORDERS.labels(order.kind, response).inc()
        log_event(
            Event.ORDER_ANSWERED,
            replica=instance.instance_id,
            kind=order.kind,
            resource=resource_name(order.model, order.adapter),
            expected=order.expected_sequence,
            fence=order.fence,
            answer=response,
        )

    async def _wait_for_model(
        self,
        instance: Instance,
        engine: EngineState,
        model: str,
        present: bool,
        expected_s: float,
    ) -> None:
        """Wait until an engine's heartbeat or report shows that a model is present or absent."""
        deadline_at_s = monotonic_s() + expected_s * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_MARGIN_S
        poll_s = min(MAX_POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, expected_s * LOAD_POLL_FRACTION))
        next_report_at_s = monotonic_s() + expected_s + REPORT_LAG_S
        while monotonic_s() < deadline_at_s:
            await asyncio.sleep(MIN_POLL_INTERVAL_S)
            reported = self._ports.machine.directory.find_reported(instance.instance_id)
            if reported is None or self._ports.is_lost(instance.instance_id):
                raise JobFailedError("the engine is gone")
            if reported.serves(model) is present:
                return
            if monotonic_s() < next_report_at_s:
                continue
            next_report_at_s = monotonic_s() + poll_s
            # Each report costs a call, and an unload may wait seconds for running requests.
            poll_s = min(MAX_POLL_INTERVAL_S, poll_s * POLL_INTERVAL_GROWTH)
            report = await self._ports.calls.report(instance)
            if report is None or report.is_busy:
                continue
            if (model in {item.name for item in report.models}) is present:
                return
        raise JobFailedError(f"{model}: the order did not take effect in time")

    async def _wait_for_adapter(self, instance: Instance, engine: EngineState, job: Job) -> None:
        """Repeat the order until the engine responds that the adapter is loaded."""
        deadline_at_s = monotonic_s() + LOAD_TIMEOUT_MARGIN_S
        pause_s = job.load_s
        while monotonic_s() < deadline_at_s:
            await asyncio.sleep(pause_s)
            if await self._send_order(instance, engine, OrderKind.LOAD, job.model, job.adapter):
                return
            pause_s = min(MAX_POLL_INTERVAL_S, pause_s * 1.5)
        raise JobFailedError(f"{job.model}/{job.adapter}: not loaded in time")

    def _log_settled(
        self, instance: Instance, kind: OrderKind, resource: str, started_at_s: float
    ) -> None:
        log_event(
            Event.ORDER_SETTLED,
            replica=instance.instance_id,
            kind=kind,
            resource=resource,
            succeeded=True,
            seconds=round(monotonic_s() - started_at_s, 3),
        )


def _is_order_done(order: EngineOrder, report: EngineReport) -> bool:
    """Whether the report of an idle engine shows the effect of an order."""
    held = {item.name: item.adapters for item in report.models}
    present = order.model in held
    if order.adapter:
        resource = resource_name(order.model, order.adapter)
        present = present and (
            order.adapter in held[order.model] or resource in report.loading_adapters
        )
    return present is (order.kind is OrderKind.LOAD)


def resource_name(model: str, adapter: str) -> str:
    """Return the resource name of a model or of one of its adapters.

    >>> resource_name("m", ""), resource_name("m", "a1")
    ('m', 'm/a1')
    """
    return f"{model}/{adapter}" if adapter else model
