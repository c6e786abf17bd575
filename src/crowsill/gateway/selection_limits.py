"""Bounds and inputs of the choice of a replica."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from crowsill.gateway.brittle_replicas import BrittleReplicas
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_work import RequestCost
from crowsill.routing.engine_latency import LatencyModel


@dataclass(frozen=True, slots=True)
class SelectionLimits:
    """Bounds and inputs of a choice.

    Attributes:
        zone: Zone of this gateway.
        max_in_flight: Requests that this gateway may have at one replica.
        max_expected_ms: A request that is expected to take longer is not sent.
        target_ms: Target of the caller for the first event.
        target_gap_ms: Target of the caller for the time between two events; 0 without one.
        has_idle: Returns whether an idle connection to an instance is open.
        has_open: Returns whether any connection to an instance is open.
        latency_model: Latency model of the engines of the service.
        random: Random source for ties and for the alternative replica.
        is_urgent: Whether the request cannot wait.
        includes_silent: Whether a replica against which only its silence speaks may be chosen.
        brittle: The brittle replicas of the service; None if there are none.
        gateways: Number of gateways.
        cost: Expected cost of the request; None if replicas are compared by counts.
        is_suspected: Returns whether a replica is to be chosen only if no other can take the
            request, because other gateways fail to reach it; None if none is.
    """

    zone: str
    max_in_flight: int
    max_expected_ms: float = float("inf")
    target_ms: float = float("inf")
    target_gap_ms: float = 0.0
    has_idle: Callable[[str], bool] = lambda _instance_id: True
    has_open: Callable[[str], bool] = lambda _instance_id: True
    latency_model: LatencyModel = field(default_factory=LatencyModel)
    random: Random = field(default_factory=lambda: Random(0))
    is_urgent: bool = True
    includes_silent: bool = False
    brittle: BrittleReplicas | None = None
    gateways: int = 1
    cost: RequestCost | None = None
    is_suspected: Callable[[ReplicaRecord], bool] | None = None
