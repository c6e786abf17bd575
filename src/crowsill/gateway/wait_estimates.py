"""Estimates when a replica can accept a request that none accepts now. Pure."""

import math

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import (
    NoReplicaReason,
    accepting_or_listed,
    first_to_open,
    has_software_version,
    min_load_s,
)
from crowsill.gateway.wait_decision import WaitEstimate
from crowsill.gateway.wait_history import WaitCause, WaitHistory, WaitKey
from crowsill.model.routes import ModelWeights

# Time that a load order takes in addition to the load itself.
ORDER_OVERHEAD_S = 0.2
# A load that is overdue by some time may take that time again, and at least this long.
MIN_OVERDUE_WAIT_S = 0.2
# Probability that a load in progress succeeds.
LOADING_PROBABILITY = 0.9
# After a backoff a replica accepts one request first and may ask for another backoff; requests of
# other gateways may use up the rate that a limit permits.
REOPENED_PROBABILITY = 0.5
# Share of waits that end within their mean, where each second is as likely to end one as the last.
ENDED_WITHIN_MEAN = 1.0 - math.exp(-1.0)


def estimate_wait(
    reason: NoReplicaReason,
    request: CallerRequest,
    *,
    records: list[ReplicaRecord],
    weights: ModelWeights | None,
    history: WaitHistory,
    service: str,
    now_s: float,
    is_urgent: bool = True,
) -> WaitEstimate:
    """Return when a replica may accept a request.

    Args:
        reason: Why none accepts it now.
        request: The request.
        records: Instances of its service.
        weights: The model that it needs, or None if the routes don't define it.
        history: Waits at this gateway.
        service: Its service.
        now_s: Current monotonic time.
        is_urgent: Whether the request cannot wait.
    """
    if reason is NoReplicaReason.ALL_CLOSED:
        first = first_to_open(records, request, now_s, is_urgent)
        return _until_open(first, now_s, is_urgent)
    cause = wait_cause(reason, request, records)
    if cause is None:
        ready_s = _remaining_s(min(_expected_loads(request, records)), now_s)
        return WaitEstimate(ready_s, LOADING_PROBABILITY, ready_s)
    load_s = 0.0
    if cause is WaitCause.LOAD_ORDER:
        if weights is None:
            return WaitEstimate(float("inf"), 0.0, 0.0)
        load_s = min_load_s(weights, _suitable(request, records)) + ORDER_OVERHEAD_S
    mean_s = history.mean_s(WaitKey(service, cause, request.model), now_s)
    return WaitEstimate(mean_s + load_s, ENDED_WITHIN_MEAN, mean_s)


def wait_cause(
    reason: NoReplicaReason, request: CallerRequest, records: list[ReplicaRecord]
) -> WaitCause | None:
    """Return what a request waits for; None if it is known when that comes."""
    if reason is NoReplicaReason.ALL_CLOSED:
        return None
    if reason in (NoReplicaReason.NO_REPLICA, NoReplicaReason.UNREACHABLE):
        return WaitCause.NO_REPLICA
    if reason is not NoReplicaReason.NO_MODEL:
        return WaitCause.CAPACITY
    if any(record.instance.serves(request.model) for record in _suitable(request, records)):
        return WaitCause.ADAPTER
    return None if _expected_loads(request, records) else WaitCause.LOAD_ORDER


def _suitable(request: CallerRequest, records: list[ReplicaRecord]) -> list[ReplicaRecord]:
    return accepting_or_listed(
        [record for record in records if has_software_version(record, request)]
    )


def _expected_loads(request: CallerRequest, records: list[ReplicaRecord]) -> list[float]:
    """Return when the loads of the model that are in progress are expected to end."""
    return [
        record.model_ready_at_s[request.model]
        for record in _suitable(request, records)
        if request.model in record.model_ready_at_s
    ]


def _until_open(record: ReplicaRecord | None, now_s: float, is_urgent: bool) -> WaitEstimate:
    """Return when a replica opens: the time is exact, but other requests may be sent first."""
    closed_s = 0.0
    if record is not None:
        closed_s = max(0.0, record.availability.opens_at_s(is_urgent) - now_s)
    return WaitEstimate(closed_s, REOPENED_PROBABILITY, closed_s)


def _remaining_s(expected_at_s: float, now_s: float) -> float:
    return (
        expected_at_s - now_s
        if expected_at_s > now_s
        else max(MIN_OVERDUE_WAIT_S, now_s - expected_at_s)
    )
