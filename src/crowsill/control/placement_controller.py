"""Executes placement decisions: commits, sends and settles the orders of the placement core.

An order is committed with its fence before it is sent, so a new leader knows every order that may
still take effect. The order is sent again until the engine has acknowledged it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from crowsill.backends.interface import EnginePort
from crowsill.clock import monotonic_s
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import ORDERS
from crowsill.model.fleet import FleetView
from crowsill.placement.core import PlacementCore, PlacementLimits, SettledOrder
from crowsill.placement.types import PlannedOrder
from crowsill.state.commands import Command, CommandResult, OrderPlaced, PlaceOrder, SettleOrder
from crowsill.state.machine import StateMachine
from crowsill.state.orders import Order
from crowsill.transport.messages import Submitted

PLAN_INTERVAL_S = 0.25

Submit = Callable[[Command], Awaitable[object]]


@dataclass(frozen=True, slots=True)
class PlacementPorts:
    """Dependencies of the controller.

    Attributes:
        machine: The replicated state.
        fleet: The fleet view of this leader.
        engines: Client for engines.
        submit: Commits commands.
        has_lease: Whether this member is provably the only leader at this moment.
        collect_demand: Returns the number of requests by resource since the last call.
    """

    machine: StateMachine
    fleet: FleetView
    engines: EnginePort
    submit: Submit
    has_lease: Callable[[], bool]
    collect_demand: Callable[[], dict[str, int]]


class PlacementController:
    """Places models during one leadership term."""

    def __init__(self, ports: PlacementPorts, limits: PlacementLimits, term: int) -> None:
        """Make a controller.

        Args:
            ports: Dependencies.
            limits: Limits set by the platform.
            term: Leadership term, the fence of its orders.
        """
        self._ports = ports
        self._orders = ports.machine.orders
        self._core = PlacementCore(self._orders, ports.fleet, limits, term, monotonic_s())
        self._send_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Place until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            self._core.demand.add(self._ports.collect_demand(), monotonic_s())
            if not self._core.is_ready_to_plan(monotonic_s()):
                continue
            for settled in self._core.settled_orders(monotonic_s()):
                await self._settle(settled)
            configuration = self._ports.machine.configuration.current
            for planned in self._core.plan(configuration, monotonic_s()):
                await self._place(planned)
            self._send_due()

    async def _settle(self, settled: SettledOrder) -> None:
        order = settled.order
        await self._ports.submit(SettleOrder(order.order_id, settled.succeeded, 0.0))
        ORDERS.labels(order.kind, "succeeded" if settled.succeeded else "dead").inc()
        log_event(
            Event.ORDER_SETTLED,
            order=order.order_id,
            kind=order.kind,
            replica=order.replica_id,
            resource=order.resource,
            succeeded=settled.succeeded,
        )

    async def _place(self, planned: PlannedOrder) -> None:
        state = self._ports.fleet.replicas[planned.replica_id]
        command = PlaceOrder(
            replica_id=planned.replica_id,
            incarnation=state.report.incarnation,
            kind=planned.kind,
            resource=planned.resource,
            memory_mib=planned.memory_mib,
            term=self._core.term,
            at_s=0.0,
        )
        order_id = _placed_id(await self._ports.submit(command))
        if order_id is None:
            return
        self._core.note_placed(planned)
        log_event(
            Event.PLACEMENT_DECIDED,
            order=order_id,
            kind=planned.kind,
            replica=planned.replica_id,
            resource=planned.resource,
            gain=planned.gain,
            price=planned.price,
            reason=planned.reason,
        )

    def _send_due(self) -> None:
        now_s = monotonic_s()
        for order in self._core.due_orders(now_s):
            # Without a lease, another leader may already have settled this order.
            if not self._ports.has_lease():
                return
            if self._core.note_sent(order, now_s):
                log_event(Event.ORDER_RETRIED, order=order.order_id, replica=order.replica_id)
            task = asyncio.create_task(self._send(order))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    async def _send(self, order: Order) -> None:
        description = self._ports.fleet.replicas[order.replica_id].description
        self._core.note_reply(order, await self._ports.engines.order(description, order))


def _placed_id(reply: object) -> int | None:
    if not isinstance(reply, Submitted):
        return None
    result: CommandResult = reply.result
    return result.order_id if isinstance(result, OrderPlaced) else None
