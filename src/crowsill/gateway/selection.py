"""Chooses the replica for a request from what the gateway knows. Pure.

Among hundreds of gateways, each one sends a request to a given replica only occasionally. Its own
requests show nothing about most replicas, so a gateway also weighs the requests of the others.
Those are reported twice a second: if all gateways followed a report to the least loaded replica,
they would overload it before the next report. So what others have in flight only decides between
two replicas: the one that is preferred by the gateway's own knowledge, and another one drawn at
random (Mitzenmacher, "How useful is old information?", 2000). Ties are broken at random.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_work import RequestCost
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response_estimate import (
    DEFAULT_SERVICE_MS,
    Estimate,
    full_estimate,
    own_estimate,
)
from crowsill.gateway.selection_limits import SelectionLimits
from crowsill.model.routes import ModelWeights

# An alternative must be better by the time of one more request, or one more prompt at an engine.
# Queues change by as much between two reports, and each move to another replica costs a connection
# or crosses zones.
ENGINE_MARGIN_MS = 100.0
SERVICE_MARGIN_MS = DEFAULT_SERVICE_MS
# Factor on the chance with which a replica that is not the quickest takes part in a choice. Quick
# replicas have more idle connections, and would otherwise win more choices than their share.
DRAW_FACTOR = 1.25


class NoReplicaReason(StrEnum):
    """Why no replica can take a request now.

    Attributes:
        NO_REPLICA: The service has none that accepts work.
        NO_MODEL: None holds the model or adapter of the request.
        ALL_FULL: Those that could run it have as many requests as this gateway may send them, or
            refuse further connections while all open ones are in use.
        ALL_CLOSED: Those that could run it are backing off or have reached their rate limits.
        ALL_TRIED: The request has been sent to all that could run it.
        UNREACHABLE: The directory lists some that could run it, but this gateway reaches none of
            the service.
    """

    NO_REPLICA = "no_replica"
    NO_MODEL = "no_model"
    ALL_FULL = "all_full"
    ALL_CLOSED = "all_closed"
    ALL_TRIED = "all_tried"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen replica and the expectations behind the choice.

    Attributes:
        record: The replica.
        expected_ms: Expected time to its first event, or to its response.
        known_tokens: Tokens of the prompt that it has read lately.
        candidates: Number of replicas that were compared.
        cost: Expected cost of the request; None if replicas were compared by counts.
    """

    record: ReplicaRecord
    expected_ms: float
    known_tokens: int
    candidates: int
    cost: RequestCost | None = None


def accepts(record: ReplicaRecord) -> bool:
    """Whether new requests may be sent to a replica, now or after a known time."""
    return not record.availability.is_closed_indefinitely


def accepting_or_listed(records: list[ReplicaRecord]) -> list[ReplicaRecord]:
    """Return the replicas that accept requests; if none does, those that others may reach."""
    accepting = [record for record in records if accepts(record)]
    return accepting or [record for record in records if not record.availability.is_draining]


def is_running_elsewhere(
    records: list[ReplicaRecord], request: CallerRequest, has_idle: Callable[[str], bool]
) -> bool:
    """Whether a replica that is not reached from here could run a request of another gateway."""
    return any(
        not record.availability.is_draining
        and not record.availability.is_reachable(has_idle(record.instance.instance_id))
        and has_resources(record, request)
        for record in records
    )


def first_to_open(
    records: list[ReplicaRecord], request: CallerRequest, now_s: float, is_urgent: bool = True
) -> ReplicaRecord | None:
    """Return the closed replica that could run a request and opens first, or None."""
    closed = [
        record
        for record in records
        if now_s < record.availability.opens_at_s(is_urgent)
        and accepts(record)
        and has_resources(record, request)
    ]
    return min(closed, key=lambda record: record.availability.opens_at_s(is_urgent), default=None)


def min_load_s(model: ModelWeights, records: list[ReplicaRecord]) -> float:
    """Return the load time of a model at the engine that has the closest copy of it."""
    times = [model.load_s]
    for record in records:
        if not accepts(record):
            continue
        if model.name in record.instance.in_memory:
            times.append(model.host_load_s)
        elif model.name in record.instance.on_disk:
            times.append(model.disk_load_s)
    return min(times)


def _no_replica_reason(
    records: list[ReplicaRecord],
    request: CallerRequest,
    tried: set[str],
    limits: SelectionLimits,
    now_s: float,
) -> NoReplicaReason:
    """Return why no replica may be sent the request, regardless of their in-flight requests."""
    accepting = accepting_or_listed(records)
    with_resources = [record for record in accepting if has_resources(record, request)]
    if not with_resources and accepting:
        is_held = is_running_elsewhere(records, request, limits.has_idle)
        if is_held and has_lost_most_links(records, limits.has_idle):
            return NoReplicaReason.UNREACHABLE
    if not with_resources:
        return NoReplicaReason.NO_MODEL if accepting else NoReplicaReason.NO_REPLICA
    if not any(accepts(record) for record in with_resources):
        return NoReplicaReason.UNREACHABLE
    untried = [record for record in with_resources if record.instance.instance_id not in tried]
    if not untried:
        return NoReplicaReason.ALL_TRIED
    return _closed_reason(untried, limits, now_s)


def has_lost_most_links(records: list[ReplicaRecord], has_idle: Callable[[str], bool]) -> bool:
    """Whether most listed replicas are not reached, as if this gateway had lost its links."""
    listed = [record for record in records if not record.availability.is_draining]
    reached = sum(
        record.availability.is_reachable(has_idle(record.instance.instance_id)) for record in listed
    )
    return 2 * reached < len(listed)


def _closed_reason(
    records: list[ReplicaRecord], limits: SelectionLimits, now_s: float
) -> NoReplicaReason:
    """Return why none of the replicas that accept requests may be sent one now."""
    without_connection = [
        record
        for record in records
        if now_s >= record.availability.opens_at_s(limits.is_urgent)
        and not record.availability.is_reachable(limits.has_idle(record.instance.instance_id))
    ]
    if any(limits.has_open(record.instance.instance_id) for record in without_connection):
        return NoReplicaReason.ALL_FULL
    if len(without_connection) == len(records):
        return NoReplicaReason.UNREACHABLE
    return NoReplicaReason.ALL_CLOSED


def find_candidates(
    records: list[ReplicaRecord],
    request: CallerRequest,
    tried: set[str],
    limits: SelectionLimits,
    now_s: float,
) -> list[ReplicaRecord] | NoReplicaReason:
    """Return the replicas that may be sent the request now, or why there is none."""
    # Reads attributes instead of calling methods: this runs for every replica and request.
    open_replicas = [
        record
        for record in records
        if (
            record.availability.available_at_s <= now_s
            or (limits.includes_silent and record.availability.may_be_slow(now_s))
        )
        and (
            not record.availability.refuses_connections
            or limits.has_idle(record.instance.instance_id)
        )
        and record.instance.instance_id not in tried
        and has_resources(record, request)
    ]
    if not limits.is_urgent:
        open_replicas = [
            record for record in open_replicas if record.availability.non_urgent_opens_at_s <= now_s
        ]
    if not open_replicas:
        return _no_replica_reason(records, request, tried, limits, now_s)
    if limits.brittle is not None:
        usable = [item for item in records if accepts(item) and has_resources(item, request)]
        with_room = limits.brittle.with_room(usable, limits.gateways, now_s)
        ids = {record.instance.instance_id for record in with_room}
        open_replicas = [item for item in open_replicas if item.instance.instance_id in ids]
    max_in_flight = limits.max_in_flight
    with_capacity = [
        record
        for record in open_replicas
        if record.in_flight < max_in_flight
        and (
            not record.availability.has_backed_off
            or record.availability.has_capacity(record.in_flight, now_s)
        )
    ]
    # A slow replica is sent its share of the connections only if no other has room.
    with_room = [
        record
        for record in with_capacity
        if not record.pace.has_reports
        or record.in_flight * max(1.0, record.pace.slow_factor(now_s)) < max_in_flight
    ]
    return with_room or with_capacity or NoReplicaReason.ALL_FULL


def _lowest_score(estimates: list[Estimate], random: Random, now_s: float) -> Estimate:
    """Return the estimate with the lowest score; ties are broken at random."""
    scores = [estimate.score_ms(now_s) for estimate in estimates]
    minimum_ms = min(scores)
    lowest = [item for item, score in zip(estimates, scores, strict=True) if score == minimum_ms]
    return lowest[0] if len(lowest) == 1 else random.choice(lowest)


def _by_speed(estimates: list[Estimate], random: Random, now_s: float) -> list[Estimate]:
    """Return a random part, in which each replica is with a chance in proportion to its speed.

    The quickest ones are always in it, and all are where no pace is known.
    """
    if not any(item.record.pace.has_reports for item in estimates):
        return estimates
    paces = [item.record.pace.factor(now_s) for item in estimates]
    quickest = min(paces)
    return [
        item
        for item, pace in zip(estimates, paces, strict=True)
        if pace == quickest or random.random() * pace < quickest * DRAW_FACTOR
    ]


def _best(
    records: list[ReplicaRecord], request: CallerRequest, limits: SelectionLimits, now_s: float
) -> Choice:
    """Return the better of two replicas by the requests of all gateways there."""
    own_estimates = [own_estimate(record, request, limits, now_s) for record in records]
    drawn = _by_speed(own_estimates, limits.random, now_s)
    preferred = _lowest_score(drawn, limits.random, now_s)
    best = full_estimate(preferred, request, limits, now_s)
    if len(drawn) == 1:
        drawn = own_estimates
    if len(drawn) > 1:
        alternative = limits.random.choice([item for item in drawn if item is not preferred])
        alternative = full_estimate(alternative, request, limits, now_s)
        margin_ms = ENGINE_MARGIN_MS if request.model else SERVICE_MARGIN_MS
        if alternative.score_ms(now_s) + margin_ms < best.score_ms(now_s):
            best = alternative
    if best.expected_ms > limits.max_expected_ms:
        # Compare all replicas before the request is rejected.
        full_estimates = [full_estimate(item, request, limits, now_s) for item in own_estimates]
        best = _lowest_score(_within_limit(full_estimates, limits), limits.random, now_s)
    return Choice(best.record, best.expected_ms, best.known_tokens, len(records), limits.cost)


def _within_limit(estimates: list[Estimate], limits: SelectionLimits) -> list[Estimate]:
    """Return the replicas that are expected to respond in time; all if none is.

    The score of a replica also depends on its pace and on the work of its streams, so that the
    lowest one may belong to a replica beyond the limit.
    """
    if limits.cost is None and not any(item.record.pace.has_reports for item in estimates):
        return estimates
    within = [item for item in estimates if item.expected_ms <= limits.max_expected_ms]
    return within or estimates


def choose(
    records: list[ReplicaRecord],
    request: CallerRequest,
    tried: set[str],
    limits: SelectionLimits,
    now_s: float,
) -> Choice | NoReplicaReason:
    """Choose the replica with the lowest expected time to the first event and between events.

    Args:
        records: Instances of the service.
        request: The request.
        tried: Ids of instances that it was sent to already.
        limits: Bounds and inputs of the choice.
        now_s: Current monotonic time.
    """
    candidates = find_candidates(records, request, tried, limits, now_s)
    if isinstance(candidates, NoReplicaReason):
        return candidates
    if limits.is_suspected is not None:
        candidates = [item for item in candidates if not limits.is_suspected(item)] or candidates
    not_failing = [
        record for record in candidates if record.availability.failure_pause_ends_at_s <= now_s
    ]
    if not not_failing:
        # No other is left: take the one whose failure pause ends first.
        not_failing = [
            min(candidates, key=lambda record: record.availability.failure_pause_ends_at_s)
        ]
    best = _best(not_failing, request, limits, now_s)
    if best.expected_ms > limits.max_expected_ms:
        return NoReplicaReason.ALL_FULL
    return best


def has_software_version(record: ReplicaRecord, request: CallerRequest) -> bool:
    """Whether a replica may run a request by its software version."""
    return request.software_version in (None, record.instance.software_version)


def has_resources(record: ReplicaRecord, request: CallerRequest) -> bool:
    """Whether a replica has the software version, model and adapter that a request needs."""
    if not has_software_version(record, request):
        return False
    if not request.model:
        return True
    missing_resources = record.availability.missing_resources
    if missing_resources and (
        request.model in missing_resources or request.resource in missing_resources
    ):
        return False
    return record.instance.serves(request.model, request.adapter)
