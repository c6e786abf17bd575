"""A world of engines on virtual time, with lost, late and repeated orders and changing leaders.

It drives the product's own placement core and order table. The engines are the lab's, whose own
account of memory is independent of the ledger.
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
class Flying:
    """Something on its way: an order to an engine, a reply or a report to the leader."""

    due_s: float
    kind: str
    engine: str
    content: object


class OrdersWorld:
    """Engines, a network and one leadership after the other."""

    def __init__(self, seed: int, engines: int = 4, checks_fence: bool | None = None) -> None:
        self.random = Random(seed)
        self.now_s = 0.0
        self.flying: list[Flying] = []
        self.orders = OrderTable()
        self.fleet = FleetView()
        self.term = 0
        self.starts = 0
        self.engines: dict[str, EngineCore] = {}
        self.loading: list[tuple[float, str, str, str]] = []
        self.leaving: set[str] = set()
        self.failures = 0
        self.excused = False
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
            draining=name in self.leaving,
            loading=sorted(core.loading),
        )

    def start_leader(self) -> None:
        self.term += 1
        self.core = PlacementCore(self.orders, self.fleet, LIMITS, self.term, self.now_s)
        self.sequence = 0
        self.shown_s: dict[str, float] = {}

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

    def fly(self, kind: str, engine: str, content: object, longest_s: float) -> None:
        for _ in range(self.random.choice([0, 1, 1, 1, 2])):
            delay_s = min(longest_s, self.random.expovariate(4.0))
            if self.random.random() < 0.1:
                delay_s = longest_s * self.random.random()
            self.flying.append(Flying(self.now_s + delay_s, kind, engine, content))

    def step(self) -> None:
        """Let one step of time pass."""
        self.now_s += STEP_S
        due = [item for item in self.flying if item.due_s <= self.now_s]
        self.flying = [item for item in self.flying if item.due_s > self.now_s]
        for item in due:
            self.arrive(item)
        for finish in [item for item in self.loading if item[0] <= self.now_s]:
            self.loading.remove(finish)
            _, name, incarnation, resource = finish
            core = self.engines[name]
            if core.incarnation == incarnation and resource in core.loading:
                core.loaded(resource)
        self.observe()
        self.lead()

    def observe(self) -> None:
        oldest_s = self.now_s - LIMITS.longest_report_lag_s
        for name, history in self.past_reports.items():
            history.append((self.now_s, self.report_of(name)))
            while len(history) > 1 and history[1][0] < oldest_s:
                history.pop(0)
            # A report may be old, but one leadership never sees an older one after a newer one.
            newest_shown_s = max(self.shown_s.get(name, 0.0), oldest_s)
            self.shown_s[name] = self.random.uniform(newest_shown_s, self.now_s)
            shown = [item for item in history if item[0] <= self.shown_s[name]]
            self.reports[name] = (shown or history)[-1 if shown else 0][1]
        self.publish()

    def arrive(self, item: Flying) -> None:
        if item.kind == "order":
            self.take_order(item.engine, item.content)
        elif item.kind == "reply":
            term, order, reply = item.content
            if term == self.term:
                self.core.replied(order, reply)

    def take_order(self, name: str, content: object) -> None:
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
            known = order.resource in core.resident or order.resource in core.loading
            fits = core.reserve(body)
            require(fits, "accelerator memory is not overcommitted, by the engine's own account")
            if not known:
                duration_s = self.random.uniform(0.2, 2.0)
                load = (self.now_s + duration_s, name, core.incarnation, order.resource)
                self.loading.append(load)
        self.fly("reply", name, (term, order, reply), 1.0)

    def check_other_copy(self, name: str, resource: str) -> None:
        if resource not in used_resources(self.configuration):
            return
        elsewhere = [
            other
            for other, core in self.engines.items()
            if other != name and resource in core.resident
        ]
        require(bool(elsewhere) or self.excused, "the last copy is never unloaded")
        self.last_copies_lost += not elsewhere

    def lead(self) -> None:
        self.core.demand.add({f"m{self.random.randrange(6)}": self.random.randrange(8)}, self.now_s)
        if not self.core.is_ready_to_plan(self.now_s):
            return
        for settled in self.core.settled(self.now_s):
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
            self.core.placed(planned)
        for order in self.core.due(self.now_s):
            self.core.sent(order, self.now_s)
            self.send(order)

    def send(self, order: Order) -> None:
        self.fly("order", order.replica_id, (self.term, order), LIMITS.longest_order_delay_s)

    def disturb(self) -> None:
        """Change the leader, restart an engine, or let one leave or come back."""
        kind = self.random.choice(["leader", "leader", "restart", "leave", "return", "use", "use"])
        name = self.random.choice(list(self.engines))
        if kind == "leader":
            self.start_leader()
        elif kind == "restart":
            self.failures += 1
            self.excused = True
            self.start_engine(name, self.engines[name].shape.checks_fence)
        elif kind == "leave" and len(self.leaving) < 1:
            self.leaving.add(name)
        elif kind == "return":
            self.leaving.clear()
        elif kind == "use":
            # A model that comes back into use may have an unload of it still under way.
            self.excused = True
            models = sorted(self.template.models)
            self.configuration = self.configuration_of(self.random.sample(models, 4))

    def missing(self) -> set[str]:
        resident: set[str] = set()
        for name, core in self.engines.items():
            if name not in self.leaving:
                resident.update(core.resident)
        return set(used_resources(self.configuration)) - resident

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
            if self.random.random() < 0.05:
                self.disturb()

    def recover_s(self, limit_s: float = 120.0) -> float:
        """Time without disturbances until everything is resident."""
        start_s = self.now_s
        self.leaving.clear()
        while self.missing():
            require(self.now_s - start_s < limit_s, "all models come back")
            self.step()
        return self.now_s - start_s
