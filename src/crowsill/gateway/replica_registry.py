"""The replicas that this gateway knows, from the directory and from its own requests."""

import math
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

import msgspec

from crowsill.gateway.availability import Availability
from crowsill.gateway.exclusion import ExclusionReason
from crowsill.gateway.replica_signals import ReplicaLoad
from crowsill.gateway.replica_work import OwnWork
from crowsill.gateway.wait_history import WaitHistory
from crowsill.model.exclusions import MAX_REPORTED_EXCLUSIONS, ExcludedReplica
from crowsill.model.instances import Instance, InstanceState
from crowsill.model.replica_limits import MAX_REPORTED_LIMITS, LimitReport
from crowsill.model.replica_use import NO_USE, ReplicaUse, UseByReplica, with_paces
from crowsill.routing.engine_latency import DecayingDelay, LatencyModel
from crowsill.routing.replica_pace import ReplicaPace
from crowsill.routing.request_cost import CostModel
from crowsill.state.directory import DirectoryChange

REPORT_LIFETIME_S = 1.5
ERROR_SMOOTHING = 0.1
SLOWNESS_SMOOTHING = 0.2
SLOWNESS_DECAY_S = 4.0
MAX_REMEMBERED_PROMPT_PARTS = 2000
MAX_FORMER_INCARNATIONS = 4000

PromptPartKey = tuple[str, str, bytes]


@dataclass(slots=True)
class ReplicaRecord:
    """One instance as this gateway sees it.

    All times are on the monotonic clock, in seconds.

    Attributes:
        instance: The instance as listed in the directory, but draining if the replica reported
            that.
        availability: Whether it may be sent requests, and if not, why and until when.
        listed_state: Its state in the directory alone.
        drain_known_at_s: Time when this gateway first learned that it drains; None if it does not.
        in_flight: Own requests without a complete response.
        pending_prompt_tokens: Prompt tokens of own streams before their first event.
        reported_other_requests: Requests of other callers, from the last load report.
        load_reported_at_s: Time of that report.
        peer_use: Requests of other gateways there, as they reported it.
        peer_use_reported_at_s: Time of that report.
        error_share: Moving average of the share of its responses that were failures, or rejections
            without a backoff.
        slowness: Moving average of the ratio of its response time to the expected one.
        slowness_updated_at_s: Time of the last update of `slowness`.
        delay: Time to the first event beyond that of an idle engine.
        event_gap: Time between two events of the streams that it runs.
        unanswered_sent_at_s: Times when own streams without a first event were sent, by stream.
        model_ready_at_s: Times when the models that it is loading should be ready, by model.
        parts: Parts of prompts that it has read lately, in order of last use.
        pace: How long work takes there.
        own_work: Own requests there with their expected costs; empty without a cost model.
    """

    instance: Instance
    availability: Availability = field(default_factory=Availability)
    listed_state: InstanceState = InstanceState.READY
    drain_known_at_s: float | None = None
    in_flight: int = 0
    pending_prompt_tokens: int = 0
    reported_other_requests: float = 0.0
    load_reported_at_s: float = float("-inf")
    peer_use: ReplicaUse = NO_USE
    peer_use_reported_at_s: float = float("-inf")
    error_share: float = 0.0
    slowness: float = 1.0
    slowness_updated_at_s: float = 0.0
    delay: DecayingDelay = field(default_factory=DecayingDelay)
    event_gap: DecayingDelay = field(default_factory=DecayingDelay)
    unanswered_sent_at_s: dict[int, float] = field(default_factory=dict)
    model_ready_at_s: dict[str, float] = field(default_factory=dict)
    parts: OrderedDict[PromptPartKey, None] = field(default_factory=OrderedDict)
    pace: ReplicaPace = field(default_factory=ReplicaPace)
    own_work: OwnWork = field(default_factory=OwnWork)

    def __post_init__(self) -> None:
        """Apply the state in the directory."""
        self.listed_state = self.instance.state
        self.availability.note_listing(not self.instance.accepts_work)
        self.instance = self._with_reported_drain(self.instance)

    def note_draining(self, now_s: float) -> bool:
        """Record that it reported that it drains; return whether that is new."""
        is_new = self.availability.note_draining(now_s)
        self.instance = self._with_reported_drain(self.instance)
        self._note_drain_known(now_s)
        return is_new

    def _note_drain_known(self, now_s: float) -> None:
        if self.drain_known_at_s is None and not self.instance.accepts_work:
            self.drain_known_at_s = now_s

    def note_listing(self, instance: Instance, now_s: float) -> None:
        """Apply its entry in the directory."""
        self.listed_state = instance.state
        self.availability.note_listing(not instance.accepts_work)
        self.instance = self._with_reported_drain(instance)
        self._note_drain_known(now_s)

    def _with_reported_drain(self, instance: Instance) -> Instance:
        """Return the instance as draining if the replica reported that in a response."""
        if not self.availability.has_reported_draining or not instance.accepts_work:
            return instance
        return msgspec.structs.replace(instance, state=InstanceState.DRAINING)

    def other_requests(self, now_s: float) -> float:
        """Return the requests of other callers, weighted by the age of the report."""
        return self.reported_other_requests * _report_weight(self.load_reported_at_s, now_s)

    def peer_requests(self, now_s: float) -> float:
        """Return the requests of other gateways there, weighted by the age of their report."""
        return self.peer_use.requests * _report_weight(self.peer_use_reported_at_s, now_s)

    def peer_prompt_tokens(self, now_s: float) -> float:
        """Return their prompt tokens that it has not read, weighted by the age of their report."""
        return self.peer_use.prompt_tokens * _report_weight(self.peer_use_reported_at_s, now_s)

    def slowness_now(self, now_s: float) -> float:
        """Return its slowness, which decays to 1 while nothing is sent to it."""
        decayed_share = min(1.0, max(0.0, now_s - self.slowness_updated_at_s) / SLOWNESS_DECAY_S)
        return self.slowness + (1.0 - self.slowness) * decayed_share

    def note_load(self, load: ReplicaLoad, now_s: float) -> None:
        """Record a load report of the replica."""
        # The request whose response carries the report may be counted in it, so this may be off by
        # one.
        self.reported_other_requests = max(0.0, load.running + load.waiting - self.in_flight)
        self.load_reported_at_s = now_s

    def note_peer_use(self, use: ReplicaUse, now_s: float) -> None:
        """Record what other gateways have there."""
        self.peer_use = use
        self.peer_use_reported_at_s = now_s

    def note_success(self) -> None:
        """Record a complete response."""
        self.availability.note_complete_response()
        self.error_share *= 1.0 - ERROR_SMOOTHING

    def note_error_response(self) -> None:
        """Record a failure response, or a rejection without a backoff."""
        self.error_share += (1.0 - self.error_share) * ERROR_SMOOTHING

    def forget_failures(self) -> None:
        """Forget failures that were not its own."""
        self.availability.note_complete_response()
        self.error_share = 0.0

    def note_failure(self, now_s: float) -> None:
        """Record that it could not be reached or interrupted a response."""
        self.note_error_response()
        self.availability.note_failure(now_s)

    def note_response_time(self, taken_s: float, expected_s: float, now_s: float) -> None:
        """Compare the time to a response, or to a first event, with the expected one."""
        self.delay.observe((taken_s - expected_s) * 1000.0, now_s)
        ratio = min(20.0, max(0.2, taken_s / max(expected_s, 0.001)))
        self.slowness = self.slowness_now(now_s)
        self.slowness += (ratio - self.slowness) * SLOWNESS_SMOOTHING
        self.slowness_updated_at_s = now_s

    def note_event_gap(self, gap_s: float, now_s: float) -> None:
        """Record the time between two events of a stream that it runs."""
        self.event_gap.observe(gap_s * 1000.0, now_s)

    def oldest_unanswered_ms(self, now_s: float) -> float:
        """Return how long the oldest own stream without a first event has waited."""
        return (now_s - min(self.unanswered_sent_at_s.values(), default=now_s)) * 1000.0

    def note_loading_models(self, now_s: float) -> None:
        """Record the models that it is loading.

        The first report of a load sets its expected end.
        """
        self.model_ready_at_s = {
            model.name: self.model_ready_at_s.get(model.name, now_s + model.load_s)
            for model in self.instance.loading
        }

    def remember_part(self, key: PromptPartKey) -> None:
        """Record that it has read a part of a prompt."""
        self.parts[key] = None
        self.parts.move_to_end(key)
        if len(self.parts) > MAX_REMEMBERED_PROMPT_PARTS:
            self.parts.popitem(last=False)


def _report_weight(reported_at_s: float, now_s: float) -> float:
    """Return the weight of a report by its age, from 1 down to 0."""
    return max(0.0, 1.0 - (now_s - reported_at_s) / REPORT_LIFETIME_S)


class ReplicaRegistry:
    """All instances that this gateway knows.

    Attributes:
        version: Version of the last directory update that was applied.
        waiting_to_open: Number of requests here that wait for a replica to open, by the replica and
            whether they are urgent.
        wait_history: How long requests waited here.
        uses_pace: Whether the pace of replicas is used; if not, it is neither recorded nor told.
        costs: What requests cost; None if the choice of a replica does not depend on it.
    """

    def __init__(self, uses_pace: bool = True) -> None:
        self.version = 0
        self.uses_pace = uses_pace
        self.costs: CostModel | None = None
        self.waiting_to_open: Counter[tuple[str, bool]] = Counter()
        self.wait_history = WaitHistory()
        self._records: dict[str, ReplicaRecord] = {}
        self._by_service: dict[str, list[ReplicaRecord]] = {}
        self._latency_models: dict[str, LatencyModel] = {}
        # Reported state of incarnations without a record: the same incarnation may be listed again.
        self._former_availability: OrderedDict[str, Availability] = OrderedDict()

    def of_service(self, service: str) -> list[ReplicaRecord]:
        """Return the instances of a service."""
        return self._by_service.get(service, [])

    def listed(self) -> list[ReplicaRecord]:
        """Return the instances of all services that don't drain."""
        return [record for record in self._records.values() if not record.availability.is_draining]

    def is_listed(self, instance_id: str) -> bool:
        """Whether the directory lists an instance that doesn't drain."""
        record = self._records.get(instance_id)
        return record is not None and not record.availability.is_draining

    def draining_for_s(self, instance_id: str, now_s: float) -> float:
        """Return for how long a replica is known to drain; infinite if it is not listed."""
        record = self._records.get(instance_id)
        if record is None:
            return float("inf")
        return 0.0 if record.drain_known_at_s is None else now_s - record.drain_known_at_s

    def excluded(self, now_s: float) -> list[ExcludedReplica]:
        """Return at most `MAX_REPORTED_EXCLUSIONS` excluded replicas, by order of the reasons."""
        order = list(ExclusionReason)
        found = [
            (order.index(exclusion.reason), record.instance.instance_id, exclusion)
            for record in self._records.values()
            if (exclusion := record.availability.exclusion(now_s)) is not None
        ]
        found.sort(key=lambda item: item[:2])
        return [
            ExcludedReplica(instance_id, exclusion.reason, exclusion.remaining_s(now_s))
            for _, instance_id, exclusion in found[:MAX_REPORTED_EXCLUSIONS]
        ]

    def limit_reports(self, now_s: float) -> list[LimitReport]:
        """Return the limits in effect, last advertised first; at most `MAX_REPORTED_LIMITS`."""
        reports = [
            record.availability.limit.to_report(instance_id, now_s)
            for instance_id, record in self._records.items()
            if record.availability.limit.is_in_effect(now_s)
        ]
        return sorted(reports, key=lambda report: report.advertised_ago_s)[:MAX_REPORTED_LIMITS]

    def note_limit_reports(self, reports: list[LimitReport], now_s: float) -> None:
        """Merge the limits that the control group knows."""
        for report in reports:
            record = self._records.get(report.instance_id)
            if record is not None:
                record.availability.limit.merge(report, now_s)

    def in_use(self, now_s: float = 0.0) -> UseByReplica:
        """Return what this gateway has in flight, by replica."""
        return {
            instance_id: ReplicaUse(
                record.in_flight,
                record.pending_prompt_tokens,
                work_ms=math.ceil(record.own_work.left_ms(now_s)),
            )
            for instance_id, record in self._records.items()
            if record.in_flight
        }

    def note_pace(self, record: ReplicaRecord, percent: float | None, now_s: float) -> None:
        """Record the pace in percent that a replica reported; None if it reported none."""
        if self.uses_pace and percent is not None:
            record.pace.note(percent, now_s)

    def paces(self, now_s: float) -> dict[str, int | None]:
        """Return the learned pace in percent of each replica that ever reported one."""
        return {
            instance_id: record.pace.learned_percent(now_s)
            for instance_id, record in self._records.items()
            if record.pace.has_reports
        }

    def with_received_paces(self, use: UseByReplica) -> UseByReplica:
        """Return a report with the paces that were received since the last one."""
        received = {
            instance_id: percent
            for instance_id, record in self._records.items()
            if record.pace.has_reports and (percent := record.pace.take_unsent_percent())
        }
        return with_paces(use, received) if received else use

    def note_total_use(self, total: UseByReplica, own: UseByReplica, now_s: float) -> None:
        """Record what all gateways together have in flight.

        Args:
            total: Use by all gateways, including this one.
            own: Use by this gateway when it sent its last report.
            now_s: Current monotonic time.
        """
        for instance_id, record in self._records.items():
            use, own_use = total.get(instance_id, NO_USE), own.get(instance_id, NO_USE)
            others = ReplicaUse(
                max(0, use.requests - own_use.requests),
                max(0, use.prompt_tokens - own_use.prompt_tokens),
                max(0, use.work_ms - own_use.work_ms),
                use.pace_percent,
            )
            record.note_peer_use(others, now_s)
            if self.uses_pace:
                record.pace.note_told(use.pace_percent, now_s)

    def latency_model(self, service: str) -> LatencyModel:
        """Return the latency model of the engines of a service."""
        return self._latency_models.setdefault(service, LatencyModel())

    def find(self, instance_id: str) -> ReplicaRecord | None:
        """Return the record of an instance, or None."""
        return self._records.get(instance_id)

    def adopt(self, change: DirectoryChange, is_full: bool, now_s: float) -> list[str]:
        """Apply a directory update; return the ids of instances that accept no more work.

        Args:
            change: The update.
            is_full: Whether it is a full snapshot, so that instances not in it are removed.
            now_s: Current monotonic time.
        """
        if change.version < self.version or (change.version == self.version and not is_full):
            return []
        self.version = change.version
        removed = set(change.removed)
        if is_full:
            removed |= set(self._records) - {item.instance_id for item in change.changed}
        closed_ids = [instance_id for instance_id in removed if self._remove(instance_id)]
        for instance in change.changed:
            if self._put(instance, now_s):
                closed_ids.append(instance.instance_id)
        self._index()
        return closed_ids

    def _remove(self, instance_id: str) -> bool:
        record = self._records.pop(instance_id, None)
        if record is None:
            return False
        record.availability.forget_attempt_results()
        if record.availability.has_reported_state:
            self._former_availability[instance_id] = record.availability
            if len(self._former_availability) > MAX_FORMER_INCARNATIONS:
                self._former_availability.popitem(last=False)
        return True

    def _put(self, instance: Instance, now_s: float) -> bool:
        """Store an instance; return whether it accepts no more work."""
        record = self._records.get(instance.instance_id)
        if record is None:
            known = self._former_availability.pop(instance.instance_id, None) or Availability()
            record = self._records[instance.instance_id] = ReplicaRecord(instance, known)
        record.note_listing(instance, now_s)
        record.availability.missing_resources.clear()
        record.note_loading_models(now_s)
        return not record.instance.accepts_work

    def _index(self) -> None:
        self._by_service = {}
        for record in self._records.values():
            self._by_service.setdefault(record.instance.service, []).append(record)
