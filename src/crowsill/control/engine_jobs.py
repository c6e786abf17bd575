"""Carries out jobs at registered engines: withhold, unload, load, tell gateways.

What is to make way is first withheld from gateways by a committed command, so that requests stop
before the order goes out. An order names the engine's instance and how many orders it has accepted,
so a copy that arrives late changes nothing; one without an answer is sent again until the engine
has spoken.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from crowsill.backends.engine_calls import EngineCalls, EngineOrder, EngineReport, OrderAnswer
from crowsill.clock import monotonic_s
from crowsill.control.engine_account import EngineAccount
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import ORDERS
from crowsill.model.instances import ComingModel, HeldModel, Instance
from crowsill.placement.copy_views import Job
from crowsill.state.commands import Command, OfferModels, OrderKind, RemoveInstance
from crowsill.state.machine import StateMachine
from crowsill.transport.messages import Submitted

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
UNLOAD_S = 0.1


@dataclass(frozen=True, slots=True)
class EngineJobPorts:
    """What jobs work with.

    Attributes:
        machine: The replicated state.
        calls: Speaks to engines.
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
    """A job could not be carried out; the engine's state is read anew."""


class EngineJobs:
    """Jobs of one leadership."""

    def __init__(
        self, ports: EngineJobPorts, holder: str, term: int, on_done: Callable[[], None]
    ) -> None:
        """Make the runner of jobs.

        Args:
            ports: What it works with.
            holder: Name of this member in its orders.
            term: Term of this leadership, the fence of its orders.
            on_done: Called when a job has ended.
        """
        self._ports = ports
        self._holder = holder
        self._term = term
        self._on_done = on_done

    async def learn(self, instance: Instance, engine: EngineAccount) -> None:
        """Read what an engine holds and how many orders it has accepted."""
        report = await self._ports.calls.report(instance)
        if report is None or report.is_busy or report.coming:
            engine.rests_until_s = monotonic_s() + REST_AFTER_FAILURE_S
            return
        engine.sequence = report.sequence
        engine.is_fenced = False
        engine.held = {held.name: set(held.adapters) for held in report.models}
        await self._tell(instance, engine, ())

    async def carry_out(self, job: Job, instance: Instance, engine: EngineAccount) -> None:
        """Do a job to its end; one that fails leaves the engine's state to be read anew."""
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
            engine.free_at_s = 0.0
            if not job.adapter:
                engine.loading = ""
                engine.leaving = ""
            self._on_done()

    async def _tell(
        self,
        instance: Instance,
        engine: EngineAccount,
        withheld: tuple[str, ...],
        coming: tuple[ComingModel, ...] = (),
    ) -> None:
        """Commit what gateways may use at an engine, and what is on its way there."""
        offered = [
            HeldModel(name, 1, sorted(item for item in names if f"{name}/{item}" not in withheld))
            for name, names in engine.held.items()
            if name not in withheld
        ]
        command = OfferModels(instance.instance_id, offered, coming=list(coming))
        reply = await self._ports.submit(command)
        if not isinstance(reply, Submitted):
            raise JobFailedError("the holdings could not be committed")

    async def _unload(self, instance: Instance, engine: EngineAccount, resource: str) -> None:
        model, _, adapter = resource.partition("/")
        started_s = monotonic_s()
        was_so = await self._order(instance, engine, OrderKind.UNLOAD, model, adapter)
        if not adapter:
            await self._wait_for(instance, engine, model, present=False, expected_s=UNLOAD_S)
        elif not was_so:
            # Requests use it: until they end every other order is refused.
            await self._until_free(instance)
        if adapter:
            engine.held.get(model, set()).discard(adapter)
        else:
            engine.held.pop(model, None)
        self._log_settled(instance, OrderKind.UNLOAD, resource, started_s)

    async def _load(self, instance: Instance, engine: EngineAccount, job: Job) -> None:
        started_s = monotonic_s()
        resource = resource_of(job.model, job.adapter)
        await self._order(instance, engine, OrderKind.LOAD, job.model, job.adapter)
        if job.adapter:
            await self._wait_for_adapter(instance, engine, job)
            engine.held.setdefault(job.model, set()).add(job.adapter)
        else:
            # Gateways that know when a model will be there keep only those requests waiting that
            # it can still serve.
            await self._tell(instance, engine, (), (ComingModel(job.model, job.load_s),))
            await self._wait_for(instance, engine, job.model, True, job.load_s)
            engine.held.setdefault(job.model, set())
        engine.loaded_at_s[resource] = monotonic_s()
        self._log_settled(instance, OrderKind.LOAD, resource, started_s)

    async def _order(
        self, instance: Instance, engine: EngineAccount, kind: OrderKind, model: str, adapter: str
    ) -> bool:
        """Send an order until the engine has spoken; return whether it was so already."""
        async with engine.lock:
            return await self._order_alone(instance, engine, kind, model, adapter)

    async def _order_alone(
        self, instance: Instance, engine: EngineAccount, kind: OrderKind, model: str, adapter: str
    ) -> bool:
        """Send an order while no other one is under way to the engine."""
        is_unanswered = False
        for _ in range(ORDER_TRIES):
            if engine.sequence is None or not self._ports.has_lease():
                raise JobFailedError("no lease")
            # An engine that has started again under its name would carry out what was meant for the
            # life before.
            is_known = self._ports.machine.directory.find_reported(instance.instance_id) is not None
            if not is_known or self._ports.is_lost(instance.instance_id):
                raise JobFailedError("the engine is gone")
            order = EngineOrder(kind, model, adapter, engine.sequence, self._holder, self._term)
            answer = await self._ports.calls.order(instance, order)
            self._log_answer(instance, order, answer)
            if answer is OrderAnswer.ACCEPTED:
                engine.sequence += 1
                engine.is_fenced = True
                return False
            if answer is OrderAnswer.ALREADY_SO:
                if kind is OrderKind.UNLOAD and not adapter and not is_unanswered:
                    raise JobFailedError(f"{model}: it was not there, so the account is wrong")
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
            is_unanswered = is_unanswered or answer is OrderAnswer.UNKNOWN
            await asyncio.sleep(ORDER_RETRY_S)
            if answer is OrderAnswer.NOT_NOW and await self._was_accepted(
                instance, engine, order, is_unanswered
            ):
                return False
        raise JobFailedError(f"{kind} {model} {adapter}: no answer")

    async def _was_accepted(
        self, instance: Instance, engine: EngineAccount, order: EngineOrder, is_unanswered: bool
    ) -> bool:
        """Whether an earlier copy of a refused order has been accepted, by the engine's report.

        Raises:
            JobFailedError: Others' orders were accepted, so what it holds is not known any more.
        """
        await asyncio.sleep(REPORT_LAG_S)
        report = await self._ports.calls.report(instance)
        if report is None:
            return False
        if report.sequence == order.expected_sequence:
            if report.is_busy:
                await self._until_free(instance)
            return False
        if not is_unanswered or report.sequence != order.expected_sequence + 1:
            detail = f"{report.sequence} orders accepted, {order.expected_sequence} expected"
            raise JobFailedError(detail)
        if report.is_busy and not engine.is_fenced:
            # It may be a former leader's order that is under way: the end of it will tell.
            return False
        if not report.is_busy and not _is_carried_out(order, report):
            raise JobFailedError("another order was accepted in place of this one")
        engine.sequence = report.sequence
        engine.is_fenced = True
        return True

    async def _until_free(self, instance: Instance) -> None:
        """Wait until no order is in progress at an engine, by its reports.

        It refuses what is sent meanwhile.

        Raises:
            JobFailedError: It was busy for as long as an order would be repeated.
        """
        for _ in range(ORDER_TRIES):
            await asyncio.sleep(ORDER_RETRY_S + REPORT_LAG_S)
            report = await self._ports.calls.report(instance)
            if report is None or not report.is_busy or not self._ports.has_lease():
                return
        raise JobFailedError("another order is in progress")

    def _log_answer(self, instance: Instance, order: EngineOrder, answer: OrderAnswer) -> None:
        ORDERS.labels(order.kind, answer).inc()
        log_event(
            Event.ORDER_ANSWERED,
            replica=instance.instance_id,
            kind=order.kind,
            resource=resource_of(order.model, order.adapter),
            expected=order.expected_sequence,
            fence=order.fence,
            answer=answer,
        )

    async def _wait_for(
        self,
        instance: Instance,
        engine: EngineAccount,
        model: str,
        present: bool,
        expected_s: float,
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

    async def _wait_for_adapter(self, instance: Instance, engine: EngineAccount, job: Job) -> None:
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


def _is_carried_out(order: EngineOrder, report: EngineReport) -> bool:
    """Whether an engine that is not busy reports what an order asked for."""
    held = {item.name: item.adapters for item in report.models}
    present = order.model in held
    if order.adapter:
        resource = resource_of(order.model, order.adapter)
        present = present and (order.adapter in held[order.model] or resource in report.coming)
    return present is (order.kind is OrderKind.LOAD)


def resource_of(model: str, adapter: str) -> str:
    """Return the name of a model or of an adapter beside it.

    >>> resource_of("m", ""), resource_of("m", "a1")
    ('m', 'm/a1')
    """
    return f"{model}/{adapter}" if adapter else model
