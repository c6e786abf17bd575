"""The planner: placement of models and adapters on engines. Pure; one call is one step.

Rules, in this order:

1. Each resource in use has a copy that is serving or loading. A missing copy is ordered at once; if
   no engine has room, surplus copies of other models are unloaded.
2. An adapter is loaded beside a resident copy of its base model.
3. If memory is free, the copy that relieves the most demand is added, if its gain exceeds the price
   of a move.
4. If memory is still free, spare copies are kept, in another zone if possible, so that a model
   stays available when its engine drains or crashes.
5. The last serving copy is never unloaded (make before break).
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from crowsill.placement.ledger import MemoryLedger
from crowsill.placement.types import EngineState, PlannedOrder, ResourceSpec
from crowsill.state.commands import OrderKind

# Maximum number of loads that one step orders to relieve demand.
MAX_RELIEF_LOADS = 4


@dataclass(slots=True)
class PlanningInput:
    """The state of the system for one step.

    Attributes:
        engines: Engines by id.
        resources: Models and adapters in use, by name.
        demand: Requests per second by resource.
        ledger: Worst-case use of memory; the planner makes its reservations in it.
        max_orders: Number of orders that the pacing of the weight store allows now.
    """

    engines: dict[str, EngineState]
    resources: dict[str, ResourceSpec]
    demand: dict[str, float]
    ledger: MemoryLedger
    max_orders: int


@dataclass(slots=True)
class Plan:
    """Orders to issue now: loads that fit, and unloads that make room for other resources."""

    orders: list[PlannedOrder] = field(default_factory=list)


class Planner:
    """Plans one step."""

    def __init__(self, view: PlanningInput) -> None:
        self._view = view
        self._plan = Plan()
        self._present: dict[str, list[EngineState]] = {}
        for engine in view.engines.values():
            if engine.accepts_loads:
                for name in engine.present:
                    self._present.setdefault(name, []).append(engine)
        self._demand_of_model = self._model_demand()
        self._engine_load = {
            engine_id: self._load_of(engine) for engine_id, engine in view.engines.items()
        }
        self._by_free = self._engines_by_free_memory()
        # Engines that got an order in this step: their free memory has changed since the sorting.
        self._changed: set[str] = set()

    def plan(self) -> list[PlannedOrder]:
        """Return the orders to give now."""
        self._unload_unused()
        self._ensure_copies(adapters=False)
        self._ensure_copies(adapters=True)
        if not self._plan.orders:
            self._add_relief()
        if not self._plan.orders:
            self._add_spares()
        return self._plan.orders

    def _model_demand(self) -> dict[str, float]:
        totals: dict[str, float] = {}
        for name, rate in self._view.demand.items():
            spec = self._view.resources.get(name)
            if spec is not None:
                totals[spec.model] = totals.get(spec.model, 0.0) + rate
        return totals

    def _copies(self, resource: str) -> list[EngineState]:
        """Return the engines that serve a resource now or soon and have no order to unload it."""
        return self._present.get(resource, [])

    def _serving(self, resource: str) -> list[EngineState]:
        """Return the engines that serve a resource now and have no order to unload it."""
        return [engine for engine in self._copies(resource) if resource in engine.serving]

    def _load_of(self, engine: EngineState) -> float:
        """Return the demand at an engine per slot, if copies share the demand evenly."""
        rate = 0.0
        for name in engine.present:
            if name in self._demand_of_model:
                rate += self._demand_of_model[name] / max(1, len(self._copies(name)))
        return rate / max(1, engine.slots)

    def _orders_left(self) -> int:
        return self._view.max_orders - len(self._plan.orders)

    def _order(
        self, kind: OrderKind, engine: EngineState, spec: ResourceSpec, gain: float, reason: str
    ) -> None:
        order = PlannedOrder(
            kind=kind,
            replica_id=engine.replica_id,
            resource=spec.name,
            memory_mib=spec.memory_mib,
            gain=round(gain, 3),
            price=spec.move_price,
            reason=reason,
        )
        self._plan.orders.append(order)
        if kind is OrderKind.LOAD:
            engine.loading.add(spec.name)
            self._present.setdefault(spec.name, []).append(engine)
        else:
            engine.unloading.add(spec.name)
            if engine in self._copies(spec.name):
                self._present[spec.name].remove(engine)
        engine.busy = engine.busy or engine.one_order_at_a_time
        self._changed.add(engine.replica_id)

    def _unload_unused(self) -> None:
        """Unload the resources that no tenant uses any more."""
        for engine in self._view.engines.values():
            for name in sorted(engine.serving):
                is_kept = name in self._view.resources or engine.busy
                if not is_kept and self._orders_left() > 0:
                    memory_mib = self._view.ledger.accounts[engine.replica_id].held.get(name, 0)
                    model = name.partition(":")[0]
                    spec = ResourceSpec(name, model, engine.pool, memory_mib, 0.0)
                    self._order(OrderKind.UNLOAD, engine, spec, 0.0, "unused")

    def _ensure_copies(self, adapters: bool) -> None:
        missing = [
            spec
            for spec in self._view.resources.values()
            if spec.is_adapter is adapters and not self._copies(spec.name)
        ]
        missing.sort(
            key=lambda spec: (-self._view.demand.get(spec.name, 0.0), -spec.memory_mib, spec.name)
        )
        for spec in missing:
            if self._orders_left() <= 0:
                return
            self._place_missing(spec)

    def _place_missing(self, spec: ResourceSpec) -> None:
        engine = self._best_engine(spec)
        if engine is not None:
            if self._view.ledger.reserve(engine.replica_id, spec.name, spec.memory_mib):
                gain = self._view.demand.get(spec.name, 0.0)
                self._order(OrderKind.LOAD, engine, spec, gain, "missing")
            return
        self._make_room(spec)

    def _load_key(self, engine: EngineState) -> tuple[float, int, str]:
        free_mib = self._view.ledger.free_mib(engine.replica_id)
        return (self._engine_load[engine.replica_id], -free_mib, engine.replica_id)

    def _engines_by_free_memory(self) -> dict[str, list[EngineState]]:
        """Return the engines that accept loads by pool, by free memory descending."""
        pools: dict[str, list[EngineState]] = {}
        for engine in self._view.engines.values():
            if engine.accepts_loads:
                pools.setdefault(engine.pool, []).append(engine)
        for engines in pools.values():
            engines.sort(key=lambda engine: -self._view.ledger.free_mib(engine.replica_id))
        return pools

    def _can_host(self, engine: EngineState, spec: ResourceSpec) -> bool:
        """Whether an engine may load a resource, apart from its free memory."""
        fits = engine.accepts_loads and not engine.busy and engine.pool == spec.pool
        is_absent = spec.name not in engine.resident and spec.name not in engine.loading
        has_base = not spec.is_adapter or spec.model in engine.serving
        return fits and is_absent and has_base

    def _hosts(self, spec: ResourceSpec) -> list[EngineState]:
        """Return the engines that may load a resource, apart from their free memory."""
        return list(self._candidates(spec, self._by_free))

    def _candidates(
        self, spec: ResourceSpec, pools: dict[str, list[EngineState]]
    ) -> Iterator[EngineState]:
        """Return the engines that may load a resource, in the order of `pools`."""
        # Only the few engines that hold its base model can load an adapter.
        engines = self._copies(spec.model) if spec.is_adapter else pools.get(spec.pool, [])
        return (engine for engine in engines if self._can_host(engine, spec))

    def _has_room(self, engine: EngineState, spec: ResourceSpec) -> bool:
        return self._view.ledger.free_mib(engine.replica_id) >= spec.memory_mib

    def _hosts_with_room(self, spec: ResourceSpec) -> Iterator[EngineState]:
        """Yield the engines that may load a resource and have room, by free memory descending."""
        if spec.is_adapter:
            for engine in self._candidates(spec, self._by_free):
                if self._has_room(engine, spec):
                    yield engine
            return
        for engine in self._by_free.get(spec.pool, []):
            if self._has_room(engine, spec):
                if self._can_host(engine, spec):
                    yield engine
            elif engine.replica_id not in self._changed:
                return  # All further engines have less free memory.

    def _best_engine(self, spec: ResourceSpec) -> EngineState | None:
        """Return the least loaded engine with room, of equals the one with most free memory."""
        return min(self._hosts_with_room(spec), key=self._load_key, default=None)

    def _make_room(self, spec: ResourceSpec) -> None:
        """Unload surplus copies at one engine, so that a missing resource fits in a later step."""
        ledger = self._view.ledger
        best: tuple[float, EngineState, list[str]] | None = None
        for engine in self._hosts(spec):
            missing_mib = spec.memory_mib - ledger.free_mib(engine.replica_id)
            victims = self._victims(engine, missing_mib)
            if victims is None:
                continue
            loss = sum(self._demand_per_copy(name) for name in victims)
            if best is None or loss < best[0]:
                best = (loss, engine, victims)
        if best is None:
            return
        _, engine, victims = best
        if engine.one_order_at_a_time:
            victims = victims[:1]
        for name in victims:
            victim = self._view.resources[name]
            self._order(OrderKind.UNLOAD, engine, victim, -self._demand_per_copy(name), "make_room")

    def _victims(self, engine: EngineState, missing_mib: int) -> list[str] | None:
        """Return the cheapest surplus copies that free enough memory, or None if none do.

        Running unloads count as freed.
        """
        for name in engine.unloading:
            spec = self._view.resources.get(name)
            missing_mib -= spec.memory_mib if spec is not None else 0
        if missing_mib <= 0:
            return []
        groups = [self._surplus_group(name, engine) for name in sorted(engine.serving)]
        victims: list[str] = []
        for group in sorted((group for group in groups if group), key=self._loss_per_mib):
            added = [name for name in group if name not in victims]
            victims.extend(added)
            missing_mib -= sum(self._view.resources[name].memory_mib for name in added)
            if missing_mib <= 0:
                return victims
        return None

    def _surplus_group(self, name: str, engine: EngineState) -> list[str]:
        """Return the resources to unload with a copy, its adapters first; empty if it must stay.

        Each of them must be served elsewhere. A base model is unloaded together with its adapters:
        if adapters kept it resident, spare copies could block a missing model forever.
        """
        if not self._is_served_elsewhere(name, engine):
            return []
        prefix = f"{name}:"
        adapters = sorted(other for other in engine.present if other.startswith(prefix))
        for adapter in adapters:
            if adapter in engine.loading or not self._is_served_elsewhere(adapter, engine):
                return []
        return [*adapters, name]

    def _is_served_elsewhere(self, name: str, engine: EngineState) -> bool:
        known = name in self._view.resources
        return known and any(other is not engine for other in self._serving(name))

    def _loss_per_mib(self, group: list[str]) -> float:
        loss = sum(self._demand_per_copy(name) for name in group)
        return loss / sum(self._view.resources[name].memory_mib for name in group)

    def _demand_per_copy(self, name: str) -> float:
        """Return the demand at each copy, which the other copies get if one is unloaded."""
        copies = max(1, len(self._copies(name)))
        return self._view.demand.get(name, 0.0) / copies

    def _add_relief(self) -> None:
        """Add the copies that relieve existing copies of the most demand."""
        for _ in range(min(MAX_RELIEF_LOADS, self._orders_left())):
            best = self._best_relief()
            if best is None:
                return
            gain, engine, spec = best
            if not self._view.ledger.reserve(engine.replica_id, spec.name, spec.memory_mib):
                return
            self._order(OrderKind.LOAD, engine, spec, gain, "relief")

    def _best_relief(self) -> tuple[float, EngineState, ResourceSpec] | None:
        """Return the copy with the largest gain above its price for which an engine has room."""
        for gain, spec in sorted(self._relief_gains(), key=lambda item: (-item[0], item[1].name)):
            engine = self._best_engine(spec)
            if engine is not None:
                return gain, engine, spec
        return None

    def _relief_gains(self) -> Iterator[tuple[float, ResourceSpec]]:
        for name, rate in self._view.demand.items():
            spec = self._view.resources.get(name)
            if spec is None or rate <= 0:
                continue
            copies = len(self._copies(name))
            total_rate = rate if spec.is_adapter else self._demand_of_model.get(name, rate)
            gain = total_rate / max(1, copies) - total_rate / (copies + 1)
            if gain > spec.move_price:
                yield gain, spec

    def _add_spares(self) -> None:
        """Add spare copies where memory is free, resources with the fewest copies first."""
        incomplete = [
            spec
            for spec in self._view.resources.values()
            if 0 < len(self._copies(spec.name)) < spec.copies
        ]
        incomplete.sort(key=lambda spec: (len(self._copies(spec.name)), spec.is_adapter, spec.name))
        for spec in incomplete:
            if self._orders_left() <= 0:
                return
            engine = self._best_spare_engine(spec)
            if engine is None:
                continue
            if self._view.ledger.reserve(engine.replica_id, spec.name, spec.memory_mib):
                self._order(OrderKind.LOAD, engine, spec, 0.0, "spare")

    def _best_spare_engine(self, spec: ResourceSpec) -> EngineState | None:
        """Return the engine with room and most free memory, in a zone without a copy if any."""
        zones = {engine.zone for engine in self._copies(spec.name)}
        fallback: EngineState | None = None
        for engine in self._hosts_with_room(spec):
            if engine.zone not in zones:
                return engine
            fallback = fallback or engine
        return fallback
