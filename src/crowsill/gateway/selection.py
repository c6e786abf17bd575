"""Chooses the replica of a request: a pure decision over what the gateway knows.

It answers the load of hundreds of gateways, each of which has a request at a replica now and then.
By its own requests a gateway knows nothing of most replicas, so that it weighs what the others have
there, too. That is told twice a second: if all followed it to the least loaded replica, they would
swamp it until they are told again. So what others have only decides between two replicas: the
nearest one by the gateway's own knowledge, and another one drawn at random (Mitzenmacher, "How
useful is old information?", 2000). Replicas that look equal are chosen by chance.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from crowsill.gateway.replica_registry import PromptPartKey, ReplicaRecord
from crowsill.gateway.request import CallerRequest
from crowsill.model.routes import ModelWeights
from crowsill.routing.engine_latency import LatencyModel

# A plain service works on `slots` at once; until its times are learnt each takes this long.
SERVICE_MS = 20.0
# Another site costs more than its delay: its bytes are paid for.
OTHER_ZONE_MS = 8.0
# What each request of another gateway at an engine adds to the time to a first event: about half a
# step of the batch.
PEER_REQUEST_MS = 5.0
# A rival must be better by the time of one more request, at an engine of one more prompt: queues
# change by as much until gateways are told again, and each move to another replica costs a
# connection or another zone.
ENGINE_MARGIN_MS = 100.0
SERVICE_MARGIN_MS = SERVICE_MS
# A new connection takes two round trips and may hold a slot of the replica for a moment; replicas
# take few of them.
NEW_CONNECTION_MS = 20.0
# A pause between events counts as much as the same time before the first one: either can make a
# stream late, and an engine whose streams pause has little time left.
PAUSE_WEIGHT = 1.0
ERROR_PENALTY = 4.0
USUAL_ERROR_SHARE = 0.2


class NoReplicaReason(StrEnum):
    """Why no replica can take a request now.

    Attributes:
        NO_REPLICA: The service has none that takes work.
        NO_MODEL: None holds what the request needs.
        ALL_FULL: Those that could run it have as much as this gateway may give them.
        ALL_CLOSED: Those that could run it asked for rest, or had all that their limits allow.
        ALL_TRIED: Those that could run it have had it.
    """

    NO_REPLICA = "no_replica"
    NO_MODEL = "no_model"
    ALL_FULL = "all_full"
    ALL_CLOSED = "all_closed"
    ALL_TRIED = "all_tried"


@dataclass(frozen=True, slots=True)
class Choice:
    """A replica and why it was chosen.

    Attributes:
        record: The replica.
        expected_ms: Expected time to its first event, or to its answer.
        known_tokens: Tokens of the prompt that it has read lately.
        candidates: Number of replicas weighed.
    """

    record: ReplicaRecord
    expected_ms: float
    known_tokens: int
    candidates: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is expected of a request at one replica.

    Attributes:
        record: The replica.
        expected_ms: Time to its first event, or to its answer.
        known_tokens: Tokens of the prompt that it has read lately.
    """

    record: ReplicaRecord
    expected_ms: float
    known_tokens: int

    def score_ms(self, now_s: float) -> float:
        """Return the expected time with the pauses between events that follow it."""
        return self.expected_ms + PAUSE_WEIGHT * self.record.event_gap.current_ms(now_s)


@dataclass(frozen=True, slots=True)
class SelectionLimits:
    """What bounds a choice.

    Attributes:
        zone: Site of this gateway.
        connections: Requests that this gateway may have at one replica.
        max_expected_ms: A request that is expected to take longer is not sent.
        has_idle: Whether a connection to an instance is open and free.
        latency_model: How fast the engines of the service are.
        random: Source of chance among replicas that look equal.
        is_urgent: Whether the request cannot wait.
    """

    zone: str
    connections: int
    max_expected_ms: float = float("inf")
    has_idle: Callable[[str], bool] = lambda _instance_id: True
    latency_model: LatencyModel = field(default_factory=LatencyModel)
    random: Random = field(default_factory=lambda: Random(0))
    is_urgent: bool = True


def part_keys(request: CallerRequest) -> list[PromptPartKey]:
    """Return the keys under which parts of a prompt are remembered."""
    return [(request.model, request.adapter, part.part_id) for part in request.parts]


def known_tokens(record: ReplicaRecord, request: CallerRequest) -> int:
    """Tokens at the start of the prompt that the replica has read lately."""
    tokens = 0
    for part, key in zip(request.parts, part_keys(request), strict=True):
        if key not in record.parts:
            break
        tokens += part.tokens
    return tokens


def own_estimate(
    record: ReplicaRecord, request: CallerRequest, limits: SelectionLimits, now_s: float
) -> Estimate:
    """Estimate the time at a replica by what this gateway has learnt and has there itself."""
    known = known_tokens(record, request) if request.model else 0
    if request.model:
        total_ms = first_event_ms(record, request, known, limits, now_s)
    else:
        total_ms = answer_ms(record, record.other_requests(now_s), now_s)
    return Estimate(record, _weighted_ms(record, limits, total_ms), known)


def full_estimate(
    own: Estimate, request: CallerRequest, limits: SelectionLimits, now_s: float
) -> Estimate:
    """Estimate the time at a replica by what all gateways have there."""
    record = own.record
    if not request.model:
        others = max(record.other_requests(now_s), record.peer_requests(now_s))
        total_ms = answer_ms(record, others, now_s)
        return Estimate(record, _weighted_ms(record, limits, total_ms), own.known_tokens)
    unread = record.peer_prompt_tokens(now_s)
    queued_ms = limits.latency_model.prefill_ms(request.model, int(unread))
    queued_ms += PEER_REQUEST_MS * record.peer_requests(now_s)
    return Estimate(record, own.expected_ms + queued_ms, own.known_tokens)


def _weighted_ms(record: ReplicaRecord, limits: SelectionLimits, total_ms: float) -> float:
    """Add what a failure, another zone and a new connection cost to the time of an answer."""
    surplus = max(0.0, record.error_share - USUAL_ERROR_SHARE)
    total_ms *= 1.0 + ERROR_PENALTY * surplus
    if record.instance.zone != limits.zone:
        total_ms += OTHER_ZONE_MS
    if not limits.has_idle(record.instance.instance_id):
        total_ms += NEW_CONNECTION_MS
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
    quickest_ms = limits.latency_model.idle_first_event_ms(request.model, unread)
    waiting_ms = limits.latency_model.prefill_ms(request.model, record.pending_prompt_tokens)
    waiting_ms += record.delay.current_ms(now_s)
    return quickest_ms + max(waiting_ms, record.oldest_unanswered_ms(now_s))


def answer_ms(record: ReplicaRecord, others: float, now_s: float) -> float:
    """Return the expected time to the answer of a plain service, with so many others' requests."""
    requests = record.in_flight + others
    slots = max(1, record.instance.slots)
    base_ms = SERVICE_MS * max(1.0, (requests + 1.0) / slots) + requests
    return base_ms * record.slowness_now(now_s)


def accepts(record: ReplicaRecord) -> bool:
    """Whether new requests may be sent to a replica."""
    return not record.availability.is_closed_indefinitely


def first_to_open(
    records: list[ReplicaRecord], request: CallerRequest, now_s: float, is_urgent: bool = True
) -> ReplicaRecord | None:
    """Return the replica that opens first, of those that could run a request and are closed."""
    closed = [
        record
        for record in records
        if now_s < record.availability.opens_at_s(is_urgent)
        and accepts(record)
        and holds(record, request)
    ]
    return min(closed, key=lambda record: record.availability.opens_at_s(is_urgent), default=None)


def min_load_s(model: ModelWeights, records: list[ReplicaRecord]) -> float:
    """Return how long a load of a model takes at the engine that has its copy nearest."""
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
    records: list[ReplicaRecord], request: CallerRequest, tried: set[str]
) -> NoReplicaReason:
    """Return why no replica may be sent the request now, apart from how much each has."""
    accepting = [record for record in records if accepts(record)]
    holding = [record for record in accepting if holds(record, request)]
    if not holding:
        return NoReplicaReason.NO_MODEL if accepting else NoReplicaReason.NO_REPLICA
    is_tried = all(record.instance.instance_id in tried for record in holding)
    return NoReplicaReason.ALL_TRIED if is_tried else NoReplicaReason.ALL_CLOSED


def _candidates(
    records: list[ReplicaRecord],
    request: CallerRequest,
    tried: set[str],
    limits: SelectionLimits,
    now_s: float,
) -> list[ReplicaRecord] | NoReplicaReason:
    """Return the replicas that may be sent the request now, or why there is none."""
    # Attributes in place of methods: this is asked of every replica for every request.
    free = [
        record
        for record in records
        if record.availability.available_at_s <= now_s
        and record.instance.instance_id not in tried
        and holds(record, request)
    ]
    if not limits.is_urgent:
        free = [record for record in free if record.availability.non_urgent_opens_at_s <= now_s]
    if not free:
        return _no_replica_reason(records, request, tried)
    most = limits.connections
    roomy = [
        record
        for record in free
        if record.in_flight < most
        and (
            not record.availability.has_backed_off
            or record.availability.has_capacity(record.in_flight, now_s)
        )
    ]
    return roomy or NoReplicaReason.ALL_FULL


def _lowest_score(estimates: list[Estimate], random: Random, now_s: float) -> Estimate:
    """Return the estimate with the least score; chance decides among equal ones."""
    scores = [estimate.score_ms(now_s) for estimate in estimates]
    least = min(scores)
    nearest = [item for item, score in zip(estimates, scores, strict=True) if score == least]
    return nearest[0] if len(nearest) == 1 else random.choice(nearest)


def _best(
    records: list[ReplicaRecord], request: CallerRequest, limits: SelectionLimits, now_s: float
) -> Choice:
    """Return the better one of two replicas, with what all gateways have there."""
    own = [own_estimate(record, request, limits, now_s) for record in records]
    nearest = _lowest_score(own, limits.random, now_s)
    best = full_estimate(nearest, request, limits, now_s)
    if len(own) > 1:
        rival = limits.random.choice([item for item in own if item is not nearest])
        rival = full_estimate(rival, request, limits, now_s)
        margin_ms = ENGINE_MARGIN_MS if request.model else SERVICE_MARGIN_MS
        if rival.score_ms(now_s) + margin_ms < best.score_ms(now_s):
            best = rival
    if best.expected_ms > limits.max_expected_ms:
        # Before the request is turned away, each replica is looked at.
        full_estimates = [full_estimate(item, request, limits, now_s) for item in own]
        best = _lowest_score(full_estimates, limits.random, now_s)
    return Choice(best.record, best.expected_ms, best.known_tokens, len(records))


def choose(
    records: list[ReplicaRecord],
    request: CallerRequest,
    tried: set[str],
    limits: SelectionLimits,
    now_s: float,
) -> Choice | NoReplicaReason:
    """Choose the replica with the least expected time to the first event and between events.

    Args:
        records: Instances of the service.
        request: The request.
        tried: Ids of instances that have had it already.
        limits: What bounds the choice.
        now_s: Clock.
    """
    candidates = _candidates(records, request, tried, limits, now_s)
    if isinstance(candidates, NoReplicaReason):
        return candidates
    sound = [
        record for record in candidates if record.availability.failure_pause_ends_at_s <= now_s
    ]
    if not sound:
        # Nothing else is left: the one whose pause ends first.
        sound = [min(candidates, key=lambda record: record.availability.failure_pause_ends_at_s)]
    best = _best(sound, request, limits, now_s)
    if best.expected_ms > limits.max_expected_ms:
        return NoReplicaReason.ALL_FULL
    return best


def holds(record: ReplicaRecord, request: CallerRequest) -> bool:
    """Whether a replica has what a request needs, as far as is known."""
    if not request.model:
        return True
    missing_resources = record.availability.missing_resources
    if missing_resources and (
        request.model in missing_resources or request.resource in missing_resources
    ):
        return False
    return record.instance.serves(request.model, request.adapter)
