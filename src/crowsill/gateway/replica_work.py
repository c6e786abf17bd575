"""The work in ms that replicas still have to do, from estimates of what their requests cost. Pure.

A gateway knows its own requests at a replica with their ages. Of the others it knows the sum that
gateways report to one another, and the number that the replica reports. With requests that cost
very different amounts of work, the least work left is what a central queue would choose.
"""

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from crowsill.gateway.request import CallerRequest
from crowsill.model.routes import Route, RouteKind
from crowsill.routing.cost_histogram import MAX_TIME_MS
from crowsill.routing.engine_latency import LatencyModel
from crowsill.routing.request_cost import CostEstimate, CostModel, RequestKind

if TYPE_CHECKING:
    from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry

# Expected cost of a request of a plain service before any was seen.
DEFAULT_COST_MS = 20.0
# Weight of the newest response time in the moving average of a replica's slowness.
SLOWNESS_WEIGHT = 0.1
MAX_SLOWNESS = 20.0
# Sizes of a kind differ by this power of two.
SIZE_STEP_BITS = 2
# Added for each request at a replica, so that of two with equal work the one with fewer is chosen.
REQUEST_MS = 1.0


@dataclass(slots=True)
class RunningWork:
    """A request that a replica was sent and has not completed.

    Attributes:
        estimate: Its expected cost.
        started_at_s: Monotonic time at which it should begin to run, or a stream began; infinite
            before a stream's first event.
        had_room: Whether the replica could begin to run it at once.
        waiting_ms: How long it was expected to wait there.
    """

    estimate: CostEstimate
    started_at_s: float
    had_room: bool
    waiting_ms: float = 0.0

    def left_ms(self, now_s: float) -> float:
        """Return the expected work that is left of it."""
        if self.started_at_s == math.inf:
            return self.estimate.mean_ms
        return self.estimate.remaining_ms((now_s - self.started_at_s) * 1000.0)


@dataclass(slots=True)
class OwnWork:
    """Requests of this gateway that run at one replica, with their estimates.

    Attributes:
        running: The requests, by a number of their own.
    """

    running: dict[int, RunningWork] = field(default_factory=dict)

    def begin(self, work: RunningWork) -> None:
        """Count a request."""
        self.running[id(work)] = work

    def end(self, work: RunningWork) -> None:
        """Stop counting a request."""
        self.running.pop(id(work), None)

    def left_ms(self, now_s: float) -> float:
        """Return the expected work that is left of all of them."""
        return sum(work.left_ms(now_s) for work in self.running.values())


def size_label(size: int) -> str:
    """Return a label that sizes of about the same magnitude share.

    >>> [size_label(size) for size in (0, 1, 900, 1000, 5000)]
    ['0', '1', '5', '5', '7']
    """
    return str((max(0, size).bit_length() + SIZE_STEP_BITS - 1) // SIZE_STEP_BITS)


def request_kind(
    request: CallerRequest, service: str, route: Route, tenant: str, latency_model: LatencyModel
) -> RequestKind:
    """Return the kind of a request; its prior is what was assumed of each request before."""
    if request.model:
        size = size_label(request.output_tokens)
        prior_ms = latency_model.decode_ms(request.model, request.output_tokens)
        is_stream = route.kind is RouteKind.STREAM
        work = request.model if is_stream else f"{request.model} {route.name}"
        shape = f"{request.adapter} {size}"
        return RequestKind(service, work, shape, tenant, prior_ms, hint=request.length_hint)
    method = request.method[:16].decode("latin-1")
    size = size_label(len(request.body))
    return RequestKind(service, f"{route.name} {method}", size, tenant, DEFAULT_COST_MS)


@dataclass(frozen=True, slots=True)
class RequestCost:
    """What the choice of a replica needs to know of costs.

    Attributes:
        estimate: Expected cost of the request to be sent.
        request_ms: Mean cost of a request of the service, for those of which only the number is
            known.
    """

    estimate: CostEstimate
    request_ms: float


def estimate_cost(model: CostModel | None, kind: RequestKind, now_s: float) -> RequestCost | None:
    """Estimate the cost of a request, and that of requests of its service."""
    if model is None:
        return None
    return RequestCost(model.estimate(kind, now_s), model.service_mean_ms(kind, now_s))


def cost_of_request(
    registry: "ReplicaRegistry",
    request: CallerRequest,
    route: Route,
    service: str,
    *,
    tenant: str,
    now_s: float,
) -> RequestCost | None:
    """Estimate the cost of a caller's request; None if replicas are compared by counts."""
    if registry.costs is None:
        return None
    kind = request_kind(request, service, route, tenant, registry.latency_model(service))
    return estimate_cost(registry.costs, kind, now_s)


def reported_work_ms(record: "ReplicaRecord", cost: RequestCost) -> float:
    """Return the work that other gateways had at a replica when they reported it."""
    use = record.peer_use
    if use.requests <= 0:
        return 0.0
    work_ms = use.work_ms if use.work_ms > 0 else use.requests * cost.request_ms
    return min(work_ms, use.requests * MAX_TIME_MS)


def report_weight(record: "ReplicaRecord", cost: RequestCost, now_s: float) -> float:
    """Return the weight of that report by its age, from 1 down to 0.

    A report is worth little once the replica has had the time to work it off, however new it is.
    """
    use, work_ms = record.peer_use, reported_work_ms(record, cost)
    if work_ms <= 0.0:
        return 0.0
    age_ms = max(0.0, now_s - record.peer_use_reported_at_s) * 1000.0
    drain_ms = work_ms / min(use.requests, max(1, record.instance.slots))
    weight = min(1.0, record.peer_requests(now_s) / use.requests)
    return weight * math.exp(-age_ms / drain_ms)


def requests_there(record: "ReplicaRecord", now_s: float, with_peers: bool) -> float:
    """Return the number of requests at a replica."""
    others = record.other_requests(now_s)
    if with_peers:
        others = max(others, record.peer_requests(now_s))
    return record.in_flight + others


def work_left_ms(
    record: "ReplicaRecord", cost: RequestCost, now_s: float, with_peers: bool
) -> float:
    """Return the work that a replica still has to do.

    Args:
        record: The replica.
        cost: Costs of requests of its service.
        now_s: Current monotonic time.
        with_peers: Whether what other gateways reported counts, beside what the replica did.
    """
    others_ms, unknown = 0.0, record.other_requests(now_s)
    if with_peers:
        weight = report_weight(record, cost, now_s)
        others_ms = weight * reported_work_ms(record, cost)
        unknown = max(0.0, unknown - weight * record.peer_use.requests)
    return record.own_work.left_ms(now_s) + others_ms + unknown * cost.request_ms


def wait_ms(record: "ReplicaRecord", cost: RequestCost, now_s: float, with_peers: bool) -> float:
    """Return how long a request is expected to wait at a replica of usual pace."""
    slots = max(1, record.instance.slots)
    requests = requests_there(record, now_s, with_peers)
    work_ms = work_left_ms(record, cost, now_s, with_peers)
    return work_ms / slots * min(1.0, requests / slots) + REQUEST_MS * requests


def service_time_ms(
    record: "ReplicaRecord", cost: RequestCost, now_s: float, with_peers: bool
) -> float:
    """Return the expected response time of a plain service."""
    own_ms = cost.estimate.mean_ms
    waiting_ms = wait_ms(record, cost, now_s, with_peers)
    return (own_ms + waiting_ms) * record.slowness_now(now_s)


class SentWork:
    """The work of one request at a replica, counted until the attempt ends.

    Without a cost model nothing is counted or learnt.
    """

    def __init__(
        self,
        model: CostModel | None,
        record: "ReplicaRecord",
        cost: RequestCost | None,
        is_stream: bool,
        now_s: float,
    ) -> None:
        """Count a request that the replica's record counts in flight already.

        Args:
            model: Learns the cost of the request.
            record: The replica.
            cost: The expected cost.
            is_stream: Whether the cost counts from the first event on.
            now_s: Current monotonic time.
        """
        self._model, self._record, self._is_stream = model, record, is_stream
        self._work: RunningWork | None = None
        if model is None or cost is None:
            return
        slots = max(1, record.instance.slots)
        had_room = requests_there(record, now_s, with_peers=True) <= slots
        waiting_ms = 0.0 if had_room else work_left_ms(record, cost, now_s, True) / slots
        starts_at_s = math.inf if is_stream else now_s + waiting_ms / 1000.0
        self._work = RunningWork(cost.estimate, starts_at_s, had_room, waiting_ms)
        record.own_work.begin(self._work)

    def note_first_event(self, now_s: float) -> None:
        """Record that a stream has begun."""
        if self._work is not None and self._is_stream:
            self._work.started_at_s = now_s

    def note_complete(self, sent_at_s: float, has_waiting: bool, now_s: float) -> float | None:
        """Learn from a complete response; return estimated over actual cost if that is known.

        The time of a stream counts from its first event on, when it has left any queue. That of
        another response is its cost only if it did not wait.

        Args:
            sent_at_s: When the request was sent.
            has_waiting: Whether the replica reported that requests wait there.
            now_s: Current monotonic time.
        """
        work, model = self._work, self._model
        if work is None or model is None or work.started_at_s == math.inf:
            return None
        self.stop_counting()
        typical_ms = work.estimate.quantile_ms(0.5)
        began_at_s = work.started_at_s if self._is_stream else sent_at_s
        cost_ms = self._at_usual_pace_ms(now_s - began_at_s, now_s)
        if not self._is_stream:
            _note_slowness(self._record, cost_ms / max(0.1, work.waiting_ms + typical_ms), now_s)
            if not work.had_room or has_waiting:
                return None
        model.observe(work.estimate.kind, cost_ms, now_s)
        return typical_ms / max(0.1, cost_ms)

    def _at_usual_pace_ms(self, taken_s: float, now_s: float) -> float:
        """Return the cost, at a replica of usual pace, of work that took some time there."""
        return taken_s * 1000.0 / self._record.pace.factor(now_s)

    def note_abandoned(self, now_s: float) -> None:
        """Learn from a request whose caller left while it ran."""
        work, model = self._work, self._model
        if work is None or model is None or work.started_at_s == math.inf:
            return
        self.stop_counting()
        if self._is_stream or work.had_room:
            age_ms = self._at_usual_pace_ms(now_s - work.started_at_s, now_s)
            model.observe_cancelled(work.estimate, age_ms, now_s)

    def stop_counting(self) -> None:
        """Stop counting it."""
        if self._work is not None:
            self._record.own_work.end(self._work)
            self._work = None


def _note_slowness(record: "ReplicaRecord", ratio: float, now_s: float) -> None:
    """Update how slow a replica is from the ratio of its response time to the typical one.

    The average is that of logarithms: one costly request is no slowness.
    """
    ratio = min(MAX_SLOWNESS, max(1.0 / MAX_SLOWNESS, ratio))
    known = max(1.0 / MAX_SLOWNESS, record.slowness_now(now_s))
    record.slowness = known * math.pow(ratio / known, SLOWNESS_WEIGHT)
    record.slowness_updated_at_s = now_s
