"""Estimates when a replica can accept a request that none accepts now. Pure."""

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
from crowsill.model.routes import ModelWeights

# Time within which the control group considers reported demand and, if it loads the model,
# informs the gateways.
PLACEMENT_DECISION_S = 0.5
# Time in which a probability falls to a half. Placement often decides on a requested load only
# after requests have waited for a while, so demand for a rare model must be reported for some
# seconds.
REQUESTED_LOAD_HALVING_S = 4.0
# Time that a load order takes in addition to the load itself.
ORDER_OVERHEAD_S = 0.2
# A load that is overdue by some time may take that time again, and at least this long.
MIN_OVERDUE_WAIT_S = 0.2
# Median time until a missing adapter is loaded.
MEDIAN_ADAPTER_LOAD_S = 0.45
ADAPTER_LOAD_HALVING_S = 1.0
# Time until a full replica has capacity again.
CAPACITY_WAIT_S = 0.3
CAPACITY_HALVING_S = 1.0
NO_REPLICA_WAIT_S = 0.5
# Probability that a waiting request is eventually sent to a replica, by the reason for its wait.
REQUESTED_LOAD_PROBABILITY = 0.35
ADAPTER_LOAD_PROBABILITY = 0.42
CAPACITY_PROBABILITY = 0.72
# Probability that a load in progress succeeds, and that a service without replicas has one again
# soon.
LOADING_PROBABILITY = 0.9
NO_REPLICA_PROBABILITY = 0.3
# After a backoff a replica accepts one request first and may ask for another backoff; requests of
# other gateways may use up the rate that a limit permits.
REOPENED_PROBABILITY = 0.5


def estimate_wait(
    reason: NoReplicaReason,
    request: CallerRequest,
    *,
    records: list[ReplicaRecord],
    weights: ModelWeights | None,
    waited_s: float,
    now_s: float,
    is_urgent: bool = True,
) -> WaitEstimate:
    """Return when a replica may accept a request.

    Args:
        reason: Why none accepts it now.
        request: The request.
        records: Instances of its service.
        weights: The model that it needs, or None if the routes don't define it.
        waited_s: Time since its arrival.
        now_s: Current monotonic time.
        is_urgent: Whether the request cannot wait.
    """
    if reason in (NoReplicaReason.NO_REPLICA, NoReplicaReason.UNREACHABLE):
        return _decaying_estimate(
            NO_REPLICA_WAIT_S,
            NO_REPLICA_PROBABILITY,
            NO_REPLICA_WAIT_S,
            NO_REPLICA_WAIT_S,
            waited_s,
        )
    if reason is NoReplicaReason.ALL_CLOSED:
        first = first_to_open(records, request, now_s, is_urgent)
        return _until_open(first, now_s, is_urgent)
    if reason is not NoReplicaReason.NO_MODEL:
        return _decaying_estimate(
            CAPACITY_WAIT_S, CAPACITY_PROBABILITY, CAPACITY_WAIT_S, CAPACITY_HALVING_S, waited_s
        )
    return _until_loaded(request, records, weights, waited_s, now_s)


def _until_loaded(
    request: CallerRequest,
    records: list[ReplicaRecord],
    weights: ModelWeights | None,
    waited_s: float,
    now_s: float,
) -> WaitEstimate:
    """Return when a replica may hold the model and adapter of the request."""
    suitable = [record for record in records if has_software_version(record, request)]
    accepting = accepting_or_listed(suitable)
    if any(record.instance.serves(request.model) for record in accepting):
        # Only the adapter is missing.
        return _decaying_estimate(
            MEDIAN_ADAPTER_LOAD_S,
            ADAPTER_LOAD_PROBABILITY,
            MEDIAN_ADAPTER_LOAD_S,
            ADAPTER_LOAD_HALVING_S,
            waited_s,
        )
    expected_at_s = [
        record.model_ready_at_s[request.model]
        for record in accepting
        if request.model in record.model_ready_at_s
    ]
    if expected_at_s:
        ready_s = _remaining_s(min(expected_at_s), now_s)
        return WaitEstimate(ready_s, LOADING_PROBABILITY, ready_s)
    if weights is None:
        return WaitEstimate(float("inf"), 0.0, 0.0)
    load_s = min_load_s(weights, suitable) + ORDER_OVERHEAD_S
    return _decaying_estimate(
        load_s, REQUESTED_LOAD_PROBABILITY, PLACEMENT_DECISION_S, REQUESTED_LOAD_HALVING_S, waited_s
    )


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


def _decaying_estimate(
    ready_s: float, probability: float, known_after_s: float, halving_s: float, waited_s: float
) -> WaitEstimate:
    """Return an estimate whose probability falls with the time waited.

    >>> _decaying_estimate(2.0, 0.4, 0.5, 4.0, 0.0).probability
    0.4
    >>> _decaying_estimate(2.0, 0.4, 0.5, 4.0, 4.0).probability
    0.2
    """
    return WaitEstimate(ready_s, probability * halving_s / (halving_s + waited_s), known_after_s)
