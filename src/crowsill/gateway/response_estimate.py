"""Estimates how long a replica takes until its first event, or until its response. Pure."""

from dataclasses import dataclass

from crowsill.gateway.pace_score import idle_difference_ms, late_ms, pause_ms
from crowsill.gateway.replica_registry import PromptPartKey, ReplicaRecord
from crowsill.gateway.replica_work import RequestCost, service_time_ms, wait_ms
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.selection_limits import SelectionLimits

# Initial estimate of a plain service's time for one request; it works on `slots` of them at once.
DEFAULT_SERVICE_MS = 20.0
# Cross-zone traffic is paid for, so the penalty is higher than its network delay.
OTHER_ZONE_PENALTY_MS = 8.0
# Added to the time to a first event for each request of another gateway at an engine: about half a
# batch step.
PEER_REQUEST_MS = 5.0
# A new connection takes two round trips and may occupy a slot of the replica for a moment; replicas
# accept few of them.
NEW_CONNECTION_PENALTY_MS = 20.0
# A gap between events counts as much as the same time before the first one: both can make a stream
# late, and an engine whose streams have gaps has little capacity left.
EVENT_GAP_WEIGHT = 1.0
# Decimal places of a score in ms that takes account of the pace.
SCORE_DIGITS = 3
ERROR_PENALTY = 4.0
TOLERATED_ERROR_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class Estimate:
    """The expected outcome of a request at one replica.

    Attributes:
        record: The replica.
        expected_ms: Time to its first event, or to its response.
        known_tokens: Tokens of the prompt that it has read lately.
        pace_ms: What the score counts more, or less, because of the replica's pace.
        stream_work_ms: Time by which the work of running streams makes an engine less preferable.
    """

    record: ReplicaRecord
    expected_ms: float
    known_tokens: int
    pace_ms: float = 0.0
    stream_work_ms: float = 0.0

    def score_ms(self, now_s: float) -> float:
        """Return the expected time plus the weighted gap between the events that follow."""
        gap_ms = EVENT_GAP_WEIGHT * self.record.event_gap.current_ms(now_s)
        score_ms = self.expected_ms + gap_ms + self.stream_work_ms
        if not self.record.pace.has_reports:
            return score_ms
        # Equally good replicas of different pace get equal scores, so that chance decides.
        return round(score_ms + self.pace_ms, SCORE_DIGITS)


def part_keys(request: CallerRequest) -> list[PromptPartKey]:
    """Return the keys under which the parts of a prompt are remembered."""
    return [(request.model, request.adapter, part.part_id) for part in request.parts]


def known_tokens(record: ReplicaRecord, request: CallerRequest) -> int:
    """Return the tokens at the start of the prompt that the replica has read lately."""
    tokens = 0
    for part, key in zip(request.parts, part_keys(request), strict=True):
        if key not in record.parts:
            break
        tokens += part.tokens
    return tokens


def own_estimate(
    record: ReplicaRecord, request: CallerRequest, limits: SelectionLimits, now_s: float
) -> Estimate:
    """Estimate the time at a replica from this gateway's own observations and requests."""
    known = known_tokens(record, request) if request.model else 0
    if request.model:
        total_ms = first_event_ms(record, request, known, limits, now_s)
    elif limits.cost is not None:
        total_ms = _time_by_cost_ms(record, limits.cost, now_s, with_peers=False)
    else:
        total_ms = response_ms(record, record.other_requests(now_s), now_s)
    expected_ms = _weighted_ms(record, limits, total_ms)
    work_ms = _stream_work_ms(record, request, limits, now_s, with_peers=False)
    if not record.pace.has_reports:
        return Estimate(record, expected_ms, known, stream_work_ms=work_ms)
    idle_ms = DEFAULT_SERVICE_MS if limits.cost is None else limits.cost.estimate.mean_ms
    idle_ms *= record.slowness_now(now_s)
    if request.model:
        unread = max(0, request.prompt_tokens - known)
        idle_ms = limits.latency_model.idle_first_event_ms(request.model, unread)
    pace_ms = idle_difference_ms(record, idle_ms, now_s) + late_ms(expected_ms, limits)
    return Estimate(record, expected_ms, known, pace_ms, work_ms)


def full_estimate(
    own: Estimate, request: CallerRequest, limits: SelectionLimits, now_s: float
) -> Estimate:
    """Estimate the time at a replica from the requests of all gateways there."""
    record = own.record
    if not request.model:
        if limits.cost is not None:
            total_ms = _time_by_cost_ms(record, limits.cost, now_s, with_peers=True)
        else:
            others = max(record.other_requests(now_s), record.peer_requests(now_s))
            total_ms = response_ms(record, others, now_s)
        expected_ms = _weighted_ms(record, limits, total_ms)
        return Estimate(record, expected_ms, own.known_tokens, own.pace_ms)
    unread = record.peer_prompt_tokens(now_s)
    queued_ms = limits.latency_model.prefill_ms(request.model, int(unread))
    queued_ms += PEER_REQUEST_MS * record.peer_requests(now_s)
    work_ms = _stream_work_ms(record, request, limits, now_s, with_peers=True)
    if not record.pace.has_reports:
        expected_ms = own.expected_ms + queued_ms
        return Estimate(record, expected_ms, own.known_tokens, stream_work_ms=work_ms)
    expected_ms = own.expected_ms + queued_ms * record.pace.factor(now_s)
    pace_ms = own.pace_ms + late_ms(expected_ms, limits) - late_ms(own.expected_ms, limits)
    unread_tokens = max(0, request.prompt_tokens - own.known_tokens)
    pace_ms += pause_ms(record, request.model, unread_tokens, limits, now_s)
    return Estimate(record, expected_ms, own.known_tokens, pace_ms, work_ms)


def _time_by_cost_ms(
    record: ReplicaRecord, cost: RequestCost, now_s: float, *, with_peers: bool
) -> float:
    """Return the expected response time of a plain service by the work that it still has."""
    total_ms = service_time_ms(record, cost, now_s, with_peers=with_peers)
    return total_ms * record.pace.factor(now_s)


def _stream_work_ms(
    record: ReplicaRecord,
    request: CallerRequest,
    limits: SelectionLimits,
    now_s: float,
    *,
    with_peers: bool,
) -> float:
    """Return by how much the work of running streams makes an engine less preferable.

    It only counts in comparisons: whether a request is refused does not depend on a guess of
    outputs.
    """
    if limits.cost is None or not request.model:
        return 0.0
    return wait_ms(record, limits.cost, now_s, with_peers) * record.pace.factor(now_s)


def _weighted_ms(record: ReplicaRecord, limits: SelectionLimits, total_ms: float) -> float:
    """Add the penalties for failures, another zone and a new connection to a response time."""
    excess_error_share = max(0.0, record.error_share - TOLERATED_ERROR_SHARE)
    total_ms *= 1.0 + ERROR_PENALTY * excess_error_share
    if record.instance.zone != limits.zone:
        total_ms += OTHER_ZONE_PENALTY_MS
    if not limits.has_idle(record.instance.instance_id):
        total_ms += NEW_CONNECTION_PENALTY_MS
    return total_ms


def first_event_ms(
    record: ReplicaRecord,
    request: CallerRequest,
    known: int,
    limits: SelectionLimits,
    now_s: float,
) -> float:
    """Return the expected time to the first event at an engine that has read `known` tokens."""
    unread = max(0, request.prompt_tokens - known)
    idle_ms = limits.latency_model.idle_first_event_ms(request.model, unread)
    waiting_ms = limits.latency_model.prefill_ms(request.model, record.pending_prompt_tokens)
    if record.pace.has_reports:
        pace = record.pace.factor(now_s)
        idle_ms, waiting_ms = idle_ms * pace, waiting_ms * pace
    waiting_ms += record.delay.current_ms(now_s)
    return idle_ms + max(waiting_ms, record.oldest_unanswered_ms(now_s))


def response_ms(record: ReplicaRecord, others: float, now_s: float) -> float:
    """Return the expected response time of a plain service with `others` requests of others."""
    requests = record.in_flight + others
    slots = max(1, record.instance.slots)
    base_ms = DEFAULT_SERVICE_MS * max(1.0, (requests + 1.0) / slots) + requests
    if record.pace.has_reports:
        base_ms *= record.pace.factor(now_s)
    return base_ms * record.slowness_now(now_s)
