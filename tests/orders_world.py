"""A simulation of engines on virtual time, with lost, late and repeated orders and new leaders.

It runs the placement core and the order table of the product. The engines are those of the lab,
whose own account of memory is independent of the ledger.
"""

from dataclasses import dataclass
from random import Random

from crowsill.backends.interface import OrderReply
from crowsill.backends.wire import OrderBody
from crowsill.consensus.invariants import require
from crowsill.model.configuration import (
    AdapterTemplate,
    Configuration,
    ModelTemplate,
    Parameters,
    Template,
    TrafficClass,
    Urgency,
)
from crowsill.model.fleet import (
    FleetDelta,
    FleetView,
    ReplicaDescription,
    ReplicaKind,
    ReplicaReport,
    ReplicaState,
)
from crowsill.placement.core import PlacementCore, PlacementLimits
from crowsill.placement.types import used_resources
from crowsill.state.commands import OrderKind, PlaceOrder
from crowsill.state.orders import Order, OrderTable
from crowsill_lab.engine.core import EngineCore
from crowsill_lab.settings import EngineShape

STEP_S = 0.1
LIMITS = PlacementLimits(
    loads_per_s=4.0, concurrent_loads=6, longest_order_delay_s=3.0, longest_report_lag_s=1.0
)
_REPLIES = {202: OrderReply.ACCEPTED, 409: OrderReply.STALE, 410: OrderReply.OTHER_INCARNATION}


@dataclass
class InFlightMessage:
    """A message in flight: an order to an engine, or its reply to the leader."""

    due_at_s: float
    kind: str
    engine: str
    content: object


class OrdersSimulation:
    """Engines, a network and a sequence of leaders."""

    def __init__(self, seed: int, engines: int = 4, checks_fence: bool | None = None) -> None:
        self.random = Random(seed)
        self.now_s = 0.0
        self.in_flight: list[InFlightMessage] = []
        self.orders = OrderTable()
        self.fleet = FleetView()
        self.term = 0
        self.starts = 0
        self.engines: dict[str, EngineCore] = {}
        self.loading: list[tuple[float, str, str, str]] = []
        self.draining: set[str] = set()
        self.failures = 0
        # Set once a restart or a change of the models in use may cause the unload of a last copy.
        self.may_unload_last_copy = False
        self.last_copies_lost = 0
        for index in range(engines):
            fenced = self.random.random() < 0.5 if checks_fence is None else checks_fence
            self.start_engine(f"e{index}", fenced)
        self.reports = {name: self.report_of(name) for name in self.engines}
        self.past_reports = {name: [(0.0, report)] for name, report in self.reports.items()}
        self.configuration = self.make_configuration()
        self.start_leader()

    def make_configuration(self) -> Configuration:
        models = {}
        for index in range(6):
            adapters = {"x": AdapterTemplate(5)} if index % 2 else {}
            models[f"m{index}"] = ModelTemplate(
                "p", self.random.choice([25, 30, 40]), "c", adapters
            )
        classes = {"c": TrafficClass(Urgency.URGENT, 1, 1)}
        self.template = Template("t", classes, models, move_price=0.2)
        return self.configuration_of(list(models))

    def configuration_of(self, models: list[str]) -> Configuration:
        return Configuration(1, {"t": self.template}, {"a": Parameters("a", "t", [], models)})

    def start_engine(self, name: str, fenced: bool) -> None:
        self.starts += 1
        shape = EngineShape("p", 100, 8, ["z"], checks_fence=fenced)
        self.engines[name] = EngineCore(shape, f"i{self.starts}")

    def report_of(self, name: str) -> ReplicaReport:
        core = self.engines[name]
        return ReplicaReport(
            core.incarnation,
            sorted(core.resident),
            draining=name in self.draining,
            loading=sorted(core.loading),
        )

    def start_leader(self) -> None:
        self.term += 1
        self.core = PlacementCore(self.orders, self.fleet, LIMITS, self.term, self.now_s)
        self.sequence = 0
        self.shown_at_s: dict[str, float] = {}

    def publish(self) -> None:
        states = []
        for name, core in self.engines.items():
            description = ReplicaDescription(
                name,
                ReplicaKind.ENGINE,
                "127.0.0.1:1",
                f"z{name}",
                "p",
                100,
                checks_fence=core.shape.checks_fence,
            )
            states.append(ReplicaState(description, self.reports[name]))
        self.sequence += 1
        self.fleet.adopt(FleetDelta(self.term, self.sequence, True, states, []))

    def transmit(self, kind: str, engine: str, content: object, max_delay_s: float) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
        for _ in range(self.random.choice([0, 1, 1, 1, 2])):
            delay_s = min(max_delay_s, self.random.expovariate(4.0))
            if self.random.random() < 0.1:
                delay_s = max_delay_s * self.random.random()
            self.in_flight.append(InFlightMessage(self.now_s + delay_s, kind, engine, content))

    def step(self) -> None:
        """Advance the time by one step."""
        self.now_s += STEP_S
        due = [item for item in self.in_flight if item.due_at_s <= self.now_s]
        self.in_flight = [item for item in self.in_flight if item.due_at_s > self.now_s]
        for item in due:
            self.deliver(item)
        for finished in [item for item in self.loading if item[0] <= self.now_s]:
            self.loading.remove(finished)
            _, name, incarnation, resource = finished
            core = self.engines[name]
            if core.incarnation == incarnation and resource in core.loading:
                core.finish_load(resource)
        self.observe()
        self.run_leader()

    def observe(self) -> None:
        oldest_s = self.now_s - LIMITS.longest_report_lag_s
        for name, history in self.past_reports.items():
            history.append((self.now_s, self.report_of(name)))
            while len(history) > 1 and history[1][0] < oldest_s:
                history.pop(0)
            # A report may be old, but one leader never receives an older one after a newer one.
            newest_shown_at_s = max(self.shown_at_s.get(name, 0.0), oldest_s)
            self.shown_at_s[name] = self.random.uniform(newest_shown_at_s, self.now_s)
            shown = [item for item in history if item[0] <= self.shown_at_s[name]]
            self.reports[name] = (shown or history)[-1 if shown else 0][1]
        self.publish()

    def deliver(self, item: InFlightMessage) -> None:
        if item.kind == "order":
            self.execute_order(item.engine, item.content)
        elif item.kind == "reply":
            term, order, reply = item.content
            if term == self.term:
                self.core.note_reply(order, reply)

    def execute_order(self, name: str, content: object) -> None:
        term, order = content
        core = self.engines[name]
        body = OrderBody(
            order.order_id,
            order.term,
            order.incarnation,
            order.kind,
            order.resource,
            order.memory_mib,
        )
        status = core.check_order(body)
        reply = _REPLIES[status]
        if status == 202 and order.kind is OrderKind.UNLOAD:
            if order.resource in core.resident:
                self.check_other_copy(name, order.resource)
            core.unload(body)
        elif status == 202:
            was_there = order.resource in core.resident or order.resource in core.loading
            fits = core.reserve(body)
            require(fits, "accelerator memory is not overcommitted, by the engine's own account")
            if not was_there:
                duration_s = self.random.uniform(0.2, 2.0)
                load = (self.now_s + duration_s, name, core.incarnation, order.resource)
                self.loading.append(load)
        self.transmit("reply", name, (term, order, reply), 1.0)

    def check_other_copy(self, name: str, resource: str) -> None:
        if resource not in used_resources(self.configuration):
            return
        elsewhere = [
            other
            for other, core in self.engines.items()
            if other != name and resource in core.resident
        ]
        require(bool(elsewhere) or self.may_unload_last_copy, "the last copy is never unloaded")
        self.last_copies_lost += not elsewhere

    def run_leader(self) -> None:
        self.core.demand.add({f"m{self.random.randrange(6)}": self.random.randrange(8)}, self.now_s)
        if not self.core.is_ready_to_plan(self.now_s):
            return
        for settled in self.core.settled_orders(self.now_s):
            self.orders.settle(settled.order.order_id)
        for planned in self.core.plan(self.configuration, self.now_s):
            incarnation = self.reports[planned.replica_id].incarnation
            self.orders.place(
                PlaceOrder(
                    planned.replica_id,
                    incarnation,
                    planned.kind,
                    planned.resource,
                    planned.memory_mib,
                    self.term,
                    self.now_s,
                )
            )
            self.core.note_placed(planned)
        for order in self.core.due_orders(self.now_s):
            self.core.note_sent(order, self.now_s)
            self.send(order)

    def send(self, order: Order) -> None:
        self.transmit("order", order.replica_id, (self.term, order), LIMITS.longest_order_delay_s)

    def disturb(self) -> None:
        """Change the leader or the models in use, restart or drain an engine, or end the drain."""
        kind = self.random.choice(["leader", "leader", "restart", "leave", "return", "use", "use"])
        name = self.random.choice(list(self.engines))
        if kind == "leader":
            self.start_leader()
        elif kind == "restart":
            self.failures += 1
            self.may_unload_last_copy = True
            self.start_engine(name, self.engines[name].shape.checks_fence)
        elif kind == "leave" and len(self.draining) < 1:
            self.draining.add(name)
        elif kind == "return":
            self.draining.clear()
        elif kind == "use":
            # An unload of a model may still be running when the model is used again.
            self.may_unload_last_copy = True
            models = sorted(self.template.models)
            self.configuration = self.configuration_of(self.random.sample(models, 4))

    def missing(self) -> set[str]:
        resident: set[str] = set()
        for name, core in self.engines.items():
            if name not in self.draining:
                resident.update(core.resident)
        return set(used_resources(self.configuration)) - resident

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
            if self.random.random() < 0.05:
                self.disturb()

    def recover_s(self, limit_s: float = 120.0) -> float:
        """Return the time until all resources are resident, without disturbances, in seconds."""
        start_s = self.now_s
        self.draining.clear()
        while self.missing():
            require(self.now_s - start_s < limit_s, "all models become resident again")
            self.step()
        return self.now_s - start_s
