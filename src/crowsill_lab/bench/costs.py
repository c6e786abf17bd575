"""CPU time and memory of estimates of what requests cost."""

import time
import tracemalloc
from random import Random

import msgspec

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_work import RequestCost, SentWork, estimate_cost
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance
from crowsill.routing.request_cost import MAX_KINDS, CostModel, RequestKind

ROUNDS = 3000
MODELS = 60
TENANTS = 100
REPLICAS = 24
RUNNING_PER_REPLICA = 2


class CostFigures(msgspec.Struct, frozen=True):
    """Result for a model with as many kinds of requests as it keeps.

    Attributes:
        kinds: Number of kinds.
        model_bytes: Memory of the model.
        estimate_us: CPU time of an estimate, in microseconds; minimum of five runs.
        observe_us: CPU time to learn from one response and to estimate the next request.
        choice_us: CPU time of a choice among `REPLICAS` replicas by counts.
        choice_by_work_us: The same by the work that is left.
    """

    kinds: int
    model_bytes: int
    estimate_us: float
    observe_us: float
    choice_us: float
    choice_by_work_us: float


def _kind(random: Random) -> RequestKind:
    tenant, model = f"t{random.randrange(TENANTS)}", f"m{random.randrange(MODELS)}"
    return RequestKind("s", model, "a1 4", tenant, 100.0, random.uniform(1.0, 900.0))


def _filled_model(random: Random) -> tuple[CostModel, int]:
    """Return a model and its memory in bytes."""
    tracemalloc.start()
    try:
        model = CostModel()
        for number in range(8 * MAX_KINDS):
            kind = _kind(random)
            model.observe(kind, random.lognormvariate(5.0, 1.0), number * 0.01)
            model.estimate(kind, number * 0.01)
        return model, tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def _estimate_us(model: CostModel, kinds: list[RequestKind]) -> float:
    started_s = time.process_time()
    for kind in kinds:
        model.estimate(kind, 200.0)
    return (time.process_time() - started_s) * 1e6 / len(kinds)


def _observe_us(model: CostModel, kinds: list[RequestKind]) -> float:
    started_s = time.process_time()
    for kind in kinds:
        model.observe(kind, 100.0, 200.0)
        model.estimate(kind, 200.0)
    return (time.process_time() - started_s) * 1e6 / len(kinds)


def _choice_us(records: list[ReplicaRecord], cost: RequestCost | None) -> float:
    request = CallerRequest(b"GET", b"/", [], b"", True, 0.0)
    limits, tried = SelectionLimits("z", 100, cost=cost), set[str]()
    started_s = time.process_time()
    for _ in range(ROUNDS // 10):
        choose(records, request, tried, limits, 200.05)
    return (time.process_time() - started_s) * 1e6 / (ROUNDS // 10)


def run_cost_bench(seed: int) -> CostFigures:
    """Return the results."""
    random = Random(seed)
    model, model_bytes = _filled_model(random)
    kinds = [_kind(random) for _ in range(ROUNDS)]
    cost = estimate_cost(model, kinds[0], 200.0)
    records = [
        ReplicaRecord(Instance(f"i-{number}", "s", "127.0.0.1:1", "z", 6))
        for number in range(REPLICAS)
    ]
    for record in records:
        for _ in range(RUNNING_PER_REPLICA):
            record.in_flight += 1
            SentWork(model, record, cost, False, 200.0)
    figures = [
        min(_estimate_us(model, kinds) for _ in range(5)),
        min(_observe_us(model, kinds) for _ in range(3)),
        min(_choice_us(records, None) for _ in range(5)),
        min(_choice_us(records, cost) for _ in range(5)),
    ]
    return CostFigures(model.kinds, model_bytes, *(round(value, 1) for value in figures))
