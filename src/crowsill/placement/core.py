"""Placement during one leader's term as a pure state machine: what to settle, order and send.

The controller of the leader, the randomised tests of order histories and the experiments on
virtual time all run this code.
"""

from dataclasses import dataclass

from crowsill.backends.interface import OrderReply
from crowsill.model.configuration import Configuration
from crowsill.model.fleet import FleetView, ReplicaKind, ReplicaState
from crowsill.placement.demand import DemandEstimate
from crowsill.placement.ledger import MemoryLedger
from crowsill.placement.pacing import LoadPacer
from crowsill.placement.planner import Planner, PlanningInput
from crowsill.placement.sequencer import OrderSequencer
from crowsill.placement.settlement import OrderEvidence, Settlement, settlement_of
from crowsill.placement.types import EngineState, PlannedOrder, ResourceSpec, used_resources
from crowsill.state.commands import OrderKind
from crowsill.state.orders import Order, OrderTable


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """Limits that the platform sets.

    Attributes:
        loads_per_s: Load starts per second that the weight store allows.
        concurrent_loads: Concurrent loads that the weight store allows.
        longest_order_delay_s: Time after which a sent order has arrived or is lost, in seconds.
        longest_report_lag_s: Maximum age of a report, in seconds.
    """

    loads_per_s: float
    concurrent_loads: int
    longest_order_delay_s: float
    longest_report_lag_s: float


@dataclass(frozen=True, slots=True)
class SettledOrder:
    """An order that can no longer change anything."""

    order: Order
    succeeded: bool


class PlacementCore:
    """Decides on placement during one leader's term.

    Attributes:
        demand: Requests per second by resource.
        term: The leader's term.
    """

    def __init__(
        self, orders: OrderTable, fleet: FleetView, limits: PlacementLimits, term: int, now_s: float
    ) -> None:
        """Start the placement of a term.

        Args:
            orders: The replicated orders.
            fleet: The fleet view of this leader.
            limits: Limits that the platform sets.
            term: The leader's term.
            now_s: Monotonic time in seconds.
        """
        self.demand = DemandEstimate()
        self.term = term
        self._orders = orders
        self._fleet = fleet
        self._limits = limits
        self._started_at_s = now_s
        # The order delay alone is too short: the model checker found that a late copy can arrive
        # after the report on which the settlement was based.
        max_delay_s = limits.longest_order_delay_s + limits.longest_report_lag_s
        self._sequencer = OrderSequencer(now_s, max_delay_s)
        self._pacer = LoadPacer(limits.loads_per_s, limits.concurrent_loads, now_s)

    def is_ready_to_plan(self, now_s: float) -> bool:
        """Whether all reports came to this leader and are newer than all earlier settlements."""
        waited = now_s - self._started_at_s > self._limits.longest_report_lag_s
        return waited and self._fleet.epoch == self.term

    def settled_orders(self, now_s: float) -> list[SettledOrder]:
        """Return the orders that are settled but not yet recorded as settled."""
        found: list[SettledOrder] = []
        for order in self._orders.outstanding:
            settlement = self._settlement(order, now_s)
            if settlement is not Settlement.OPEN:
                found.append(SettledOrder(order, settlement is Settlement.SUCCEEDED))
        return found

    def _settlement(self, order: Order, now_s: float) -> Settlement:
        has_no_copy_in_flight = self._sequencer.has_no_copy_in_flight(order, now_s)
        state = self._fleet.replicas.get(order.replica_id)
        if state is None:
            # The platform no longer lists the machine.
            return Settlement.DEAD if has_no_copy_in_flight else Settlement.OPEN
        evidence = OrderEvidence(
            report=state.report,
            checks_fence=state.description.checks_fence,
            has_no_copy_in_flight=has_no_copy_in_flight,
            rejected=self._sequencer.is_rejected(order),
        )
        return settlement_of(order, evidence)

    def plan(self, configuration: Configuration, now_s: float) -> list[PlannedOrder]:
        """Return the orders to commit now."""
        outstanding = self._orders.outstanding
        loads = sum(1 for order in outstanding if order.kind is OrderKind.LOAD)
        allowance = self._pacer.allowance(loads, now_s)
        if allowance <= 0:
            return []
        return Planner(self._planning_input(used_resources(configuration), allowance)).plan()

    def _planning_input(self, resources: dict[str, ResourceSpec], allowance: int) -> PlanningInput:
        ledger = MemoryLedger()
        engines: dict[str, EngineState] = {}
        for state in self._fleet.replicas.values():
            if state.description.kind is ReplicaKind.ENGINE:
                engine = self._engine_state(state, resources, ledger)
                engines[engine.replica_id] = engine
        for order in self._orders.outstanding:
            pending_engine = engines.get(order.replica_id)
            if pending_engine is not None:
                _count_pending(pending_engine, order, ledger)
        return PlanningInput(engines, resources, self.demand.rates, ledger, allowance)

    def _engine_state(
        self, state: ReplicaState, resources: dict[str, ResourceSpec], ledger: MemoryLedger
    ) -> EngineState:
        description, report = state.description, state.report
        ledger.open(description.replica_id, description.memory_mib)
        for resource in {*report.resident, *report.loading}:
            spec = resources.get(resource)
            # A resource of unknown size, which was never ordered, may take all the memory.
            unknown_mib = description.memory_mib
            ordered_mib = self._orders.sizes.get(resource, unknown_mib if spec is None else 0)
            memory_mib = max(ordered_mib, 0 if spec is None else spec.memory_mib)
            ledger.observe(description.replica_id, resource, memory_mib)
        return EngineState(
            replica_id=description.replica_id,
            pool=description.pool,
            zone=description.zone,
            capacity_mib=description.memory_mib,
            slots=description.max_concurrency,
            accepts_loads=state.accepts_work,
            one_order_at_a_time=not description.checks_fence,
            resident=set(report.resident),
            loading=set(report.loading),
        )

    def note_placed(self, planned: PlannedOrder) -> None:
        """Record that a planned order was committed."""
        if planned.kind is OrderKind.LOAD:
            self._pacer.note_load()

    def due_orders(self, now_s: float) -> list[Order]:
        """Return the orders to send now; only a leader with a lease may send them."""
        due: list[Order] = []
        for order in self._sequencer.due_orders(self._orders.outstanding, now_s):
            state = self._fleet.replicas.get(order.replica_id)
            if state is not None and state.report.incarnation == order.incarnation:
                due.append(order)
        return due

    def note_sent(self, order: Order, now_s: float) -> bool:
        """Record that an order is sent; return whether it was sent before."""
        return self._sequencer.note_sent(order, now_s)

    def note_reply(self, order: Order, reply: OrderReply) -> None:
        """Process an engine's reply to an order."""
        if reply in (OrderReply.ACCEPTED, OrderReply.STALE):
            # Orders are sent one at a time, so a stale order was accepted before.
            self._sequencer.note_acknowledged(order)
        elif reply is OrderReply.REJECTED:
            self._sequencer.note_rejected(order)


def _count_pending(engine: EngineState, order: Order, ledger: MemoryLedger) -> None:
    # Counted for any incarnation, because a late copy may still be in flight.
    ledger.observe(order.replica_id, order.resource, order.memory_mib)
    pending = engine.loading if order.kind is OrderKind.LOAD else engine.unloading
    pending.add(order.resource)
    engine.busy = engine.busy or engine.one_order_at_a_time
