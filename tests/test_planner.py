"""Single steps of the planner."""

from crowsill.placement.ledger import MemoryLedger
from crowsill.placement.planner import Planner, PlanningInput
from crowsill.placement.types import EngineState, ResourceSpec
from crowsill.state.commands import OrderKind


def spec(name, memory_mib):
    model = name.partition(":")[0]
    return ResourceSpec(name, model, "p", memory_mib, 1.0, 2)


def plan(engines, resources):
    ledger = MemoryLedger()
    for engine in engines:
        ledger.open(engine.replica_id, engine.capacity_mib)
        for name in engine.resident:
            ledger.observe(engine.replica_id, name, resources[name].memory_mib)
    by_id = {engine.replica_id: engine for engine in engines}
    return Planner(PlanningInput(by_id, resources, {}, ledger, 10)).plan()


def engine(name, *resident):
    return EngineState(name, "p", name, 100, 4, True, resident=set(resident))


def test_spare_copies_with_adapters_are_unloaded_for_a_missing_model():
    # Guards against a model of a draining engine that is never loaded elsewhere, because the spare
    # copies that fill the memory all have adapters beside them.
    names = {"a": 85, "a:x": 10, "missing": 60}
    resources = {name: spec(name, memory_mib) for name, memory_mib in names.items()}
    engines = [engine("e1", "a", "a:x"), engine("e2", "a", "a:x")]
    orders = plan(engines, resources)
    assert [(order.kind, order.resource) for order in orders] == [
        (OrderKind.UNLOAD, "a:x"),
        (OrderKind.UNLOAD, "a"),
    ]
    assert len({order.replica_id for order in orders}) == 1


def test_a_base_model_stays_while_its_adapter_is_served_nowhere_else():
    names = {"a": 85, "a:x": 10, "missing": 60}
    resources = {name: spec(name, memory_mib) for name, memory_mib in names.items()}
    orders = plan([engine("e1", "a", "a:x"), engine("e2", "a")], resources)
    assert {(order.replica_id, order.resource) for order in orders} == {("e2", "a")}


def test_missing_copies_are_loaded_before_spare_copies():
    resources = {name: spec(name, 60) for name in ("a", "b")}
    orders = plan([engine("e1", "a"), engine("e2")], resources)
    assert [(order.replica_id, order.resource, order.reason) for order in orders] == [
        ("e2", "b", "missing")
    ]
