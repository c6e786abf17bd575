"""CPU time to choose a replica for a request."""

import time

import msgspec

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import choose
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.instances import Instance, LoadedModel

ROUNDS = 300
REPLICAS = (10, 100)
# Share of the replicas that have a popular model loaded.
SHARE_WITH_MODEL = 0.3


class ChoiceFigures(msgspec.Struct, frozen=True):
    """Result for one number of replicas.

    Attributes:
        replicas: Number of replicas.
        service_us: CPU time of a choice for a service, in microseconds; minimum of five runs.
        model_us: The same for a model that `SHARE_WITH_MODEL` of the replicas have loaded.
    """

    replicas: int
    service_us: float
    model_us: float


def _records(count: int) -> list[ReplicaRecord]:
    with_model = int(count * SHARE_WITH_MODEL)
    return [
        ReplicaRecord(
            Instance(
                f"i-{number}",
                "s",
                "127.0.0.1:1",
                "z",
                8,
                models=[LoadedModel("m" if number < with_model else "n")],
            )
        )
        for number in range(count)
    ]


def _choice_us(records: list[ReplicaRecord], request: CallerRequest) -> float:
    limits, tried = SelectionLimits("z", 10), set[str]()
    started_s = time.process_time()
    for _ in range(ROUNDS):
        choose(records, request, tried, limits, 1.0)
    return (time.process_time() - started_s) * 1e6 / ROUNDS


def run_choice_bench() -> list[ChoiceFigures]:
    """Return the results for each number of replicas."""
    service_request = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
    model_request = CallerRequest(b"POST", b"/", [], b"", True, 0.0, model="m", prompt_tokens=1000)
    figures: list[ChoiceFigures] = []
    for count in REPLICAS:
        records = _records(count)
        times = [
            min(_choice_us(records, request) for _ in range(5))
            for request in (service_request, model_request)
        ]
        figures.append(ChoiceFigures(count, *(round(value, 1) for value in times)))
    return figures
