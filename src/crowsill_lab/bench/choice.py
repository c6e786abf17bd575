"""Processor time of choosing a replica."""

import time

import msgspec

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import SelectionLimits, choose
from crowsill.model.instances import Instance, LoadedModel

ROUNDS = 300
REPLICAS = (10, 100)
# As many as a model that is asked for much has.
HOLDERS_SHARE = 0.3


class ChoiceFigures(msgspec.Struct, frozen=True):
    """One number of replicas.

    Attributes:
        replicas: Their number.
        service_us: Processor time a choice for a plain service, in microseconds; the least of five.
        model_us: The same for a model that three in ten replicas hold.
    """

    replicas: int
    service_us: float
    model_us: float


def _records(count: int) -> list[ReplicaRecord]:
    holders = int(count * HOLDERS_SHARE)
    return [
        ReplicaRecord(
            Instance(
                f"i-{number}",
                "s",
                "127.0.0.1:1",
                "z",
                8,
                models=[LoadedModel("m" if number < holders else "n")],
            )
        )
        for number in range(count)
    ]


def _choice_us(records: list[ReplicaRecord], request: CallerRequest) -> float:
    limits, tried = SelectionLimits("z", 10), set[str]()
    began_s = time.process_time()
    for _ in range(ROUNDS):
        choose(records, request, tried, limits, 1.0)
    return (time.process_time() - began_s) * 1e6 / ROUNDS


def run_choice_bench() -> list[ChoiceFigures]:
    """Return the figures for each number of replicas."""
    plain = CallerRequest(b"POST", b"/", [], b"", True, 0.0)
    needy = CallerRequest(b"POST", b"/", [], b"", True, 0.0, model="m", prompt_tokens=1000)
    found: list[ChoiceFigures] = []
    for count in REPLICAS:
        records = _records(count)
        times = [min(_choice_us(records, request) for _ in range(5)) for request in (plain, needy)]
        found.append(ChoiceFigures(count, *(round(value, 1) for value in times)))
    return found
