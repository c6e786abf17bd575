"""Time and memory of the placement planner by number of replicas."""

import random
import time
import tracemalloc

import msgspec

from crowsill.placement.ledger import MemoryLedger
from crowsill.placement.planner import Planner, PlanningInput
from crowsill.placement.types import EngineState, ResourceSpec

MODELS = 340
ADAPTERS_PER_MODEL = 2
MAX_STEPS = 2000


class PlannerFigures(msgspec.Struct, frozen=True):
    """Result for one fleet size.

    Attributes:
        replicas: Number of engines.
        resources: Number of models and adapters with demand.
        orders: Orders planned until the plan was complete.
        plan_p50_ms: Median duration of a planning step.
        plan_max_ms: Maximum duration of a planning step.
        idle_ms: Duration of a planning step without orders.
        peak_mib: Peak memory allocated by a planning step without orders.
    """

    replicas: int
    resources: int
    orders: int
    plan_p50_ms: float
    plan_max_ms: float
    idle_ms: float
    peak_mib: float


def _engines(count: int) -> dict[str, EngineState]:
    return {
        f"e{number}": EngineState(f"e{number}", "p", f"z{number % 10}", 320_000, 64, True)
        for number in range(count)
    }


def _resources(models: int) -> dict[str, ResourceSpec]:
    found: dict[str, ResourceSpec] = {}
    for number in range(models):
        name = f"m{number}"
        found[name] = ResourceSpec(name, name, "p", 20_000 + 500 * (number % 40), 0.5, 2)
        for adapter in range(ADAPTERS_PER_MODEL):
            full_name = f"{name}:a{adapter}"
            found[full_name] = ResourceSpec(full_name, name, "p", 256, 0.5, 2)
    return found


def _input(
    engines: dict[str, EngineState], resources: dict[str, ResourceSpec], demand: dict[str, float]
) -> PlanningInput:
    ledger = MemoryLedger()
    for engine in engines.values():
        ledger.open(engine.replica_id, engine.capacity_mib)
        for name in engine.resident:
            ledger.observe(engine.replica_id, name, resources[name].memory_mib)
    return PlanningInput(engines, resources, demand, ledger, 20)


def run_planner_bench(replicas: int) -> PlannerFigures:
    """Plan from an empty fleet until a step plans no orders."""
    models = min(MODELS, replicas * 5)
    source = random.Random(1)
    engines, resources = _engines(replicas), _resources(models)
    demand = {name: source.expovariate(0.2) for name in resources}
    steps_ms: list[float] = []
    orders = 0
    for _ in range(MAX_STEPS):
        planning_input = _input(engines, resources, demand)
        started_s = time.perf_counter()
        planned_orders = Planner(planning_input).plan()
        steps_ms.append((time.perf_counter() - started_s) * 1000)
        orders += len(planned_orders)
        for engine in engines.values():
            engine.resident = engine.present
            engine.loading, engine.unloading = set(), set()
        if not planned_orders:
            break
    planning_input = _input(engines, resources, demand)
    tracemalloc.start()
    Planner(planning_input).plan()
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    ordered = sorted(steps_ms)
    return PlannerFigures(
        replicas=replicas,
        resources=len(resources),
        orders=orders,
        plan_p50_ms=round(ordered[len(ordered) // 2], 2),
        plan_max_ms=round(ordered[-1], 2),
        idle_ms=round(steps_ms[-1], 2),
        peak_mib=round(peak_bytes / 2**20, 2),
    )
