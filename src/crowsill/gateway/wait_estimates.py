"""When a replica may take a request that none takes now, from what the gateway knows. Pure."""

from crowsill.gateway.holding import WaitEstimate
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection import NoReplicaReason, accepts, first_to_open, min_load_s
from crowsill.model.routes import ModelWeights

# Time within which the control group looks at what is asked for, and tells gateways if it loads it.
DECISION_S = 0.5
# Chances fall to a half within such a time. A load that is asked for is often decided on only when
# requests have waited for a while, so that rare models must be asked for for some seconds.
ASKED_HALF_S = 4.0
# Time that an order takes beside the load.
ORDER_S = 0.2
# A load that is overdue by some time may take as long again.
OVERDUE_S = 0.2
# Median time in which an adapter comes.
ADAPTER_S = 0.45
ADAPTER_HALF_S = 1.0
# Time in which a place comes free.
FULL_S = 0.3
FULL_HALF_S = 1.0
NO_REPLICA_S = 0.5
# Shares of the requests that wait and are sent in the end, by why they wait.
CHANCE_ASKED = 0.35
CHANCE_ADAPTER = 0.42
CHANCE_FULL = 0.72
# Loads under way that end well, and services without any replica that have one again soon.
CHANCE_COMING = 0.9
CHANCE_NO_REPLICA = 0.3
# A replica takes one request first after its rest, and may ask for rest again; what a limit allows
# may go to other gateways.
CHANCE_OPENED = 0.5


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
    """Return when a replica may take a request.

    Args:
        reason: Why none does now.
        request: The request.
        records: Instances of its service.
        weights: The model that it needs, if the routes know it.
        waited_s: Time since its arrival.
        now_s: Clock.
        is_urgent: Whether the request cannot wait.
    """
    if reason is NoReplicaReason.NO_REPLICA:
        return _hoped(NO_REPLICA_S, CHANCE_NO_REPLICA, NO_REPLICA_S, NO_REPLICA_S, waited_s)
    if reason is NoReplicaReason.ALL_CLOSED:
        first = first_to_open(records, request, now_s, is_urgent)
        return _until_open(first, now_s, is_urgent)
    if reason is not NoReplicaReason.NO_MODEL:
        return _hoped(FULL_S, CHANCE_FULL, FULL_S, FULL_HALF_S, waited_s)
    return _without_model(request, records, weights, waited_s, now_s)


def _without_model(
    request: CallerRequest,
    records: list[ReplicaRecord],
    weights: ModelWeights | None,
    waited_s: float,
    now_s: float,
) -> WaitEstimate:
    """When a replica may hold what the request needs."""
    accepting = [record for record in records if accepts(record)]
    if any(record.instance.serves(request.model) for record in accepting):
        # Only its adapter is missing.
        return _hoped(ADAPTER_S, CHANCE_ADAPTER, ADAPTER_S, ADAPTER_HALF_S, waited_s)
    due_s = [
        record.model_ready_at_s[request.model]
        for record in accepting
        if request.model in record.model_ready_at_s
    ]
    if due_s:
        ready_s = _remaining_s(min(due_s), now_s)
        return WaitEstimate(ready_s, CHANCE_COMING, ready_s)
    if weights is None:
        return WaitEstimate(float("inf"), 0.0, 0.0)
    load_s = min_load_s(weights, records) + ORDER_S
    return _hoped(load_s, CHANCE_ASKED, DECISION_S, ASKED_HALF_S, waited_s)


def _until_open(record: ReplicaRecord | None, now_s: float, is_urgent: bool) -> WaitEstimate:
    """When a rest is over, or a request granted, is known exactly; not whether others are first."""
    closed_s = 0.0 if record is None else record.availability.opens_at_s(is_urgent) - now_s
    return WaitEstimate(closed_s, CHANCE_OPENED, closed_s)


def _remaining_s(due_s: float, now_s: float) -> float:
    return due_s - now_s if due_s > now_s else max(OVERDUE_S, now_s - due_s)


def _hoped(
    ready_s: float, chance: float, notice_s: float, half_s: float, waited_s: float
) -> WaitEstimate:
    """Return an estimate whose chance falls while what is hoped for does not come.

    >>> _hoped(2.0, 0.4, 0.5, 4.0, 0.0).chance, _hoped(2.0, 0.4, 0.5, 4.0, 4.0).chance
    (0.4, 0.2)
    """
    return WaitEstimate(ready_s, chance * half_s / (half_s + waited_s), notice_s)
