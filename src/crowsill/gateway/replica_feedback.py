"""Updates the state of a replica from the attempts at it: latency, resources, reachability."""

import asyncio

from crowsill.gateway.attempt import Attempt, AttemptEnd, AttemptResult
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.progress import Progress
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_signals import ReplicaSignals
from crowsill.gateway.replica_work import SentWork
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response_estimate import part_keys
from crowsill.gateway.selection import Choice
from crowsill.metrics import GATEWAY_ATTEMPTS, REQUEST_COST_RATIO, RESPONSE_ENDS
from crowsill.model.routes import Route
from crowsill.routing.retry_after import REJECTION_STATUSES

# A first event that took more than this share of its target reports an overloaded model to
# placement, which then needs more model copies.
OVERLOADED_TARGET_SHARE = 0.6
# After this time without a response head, a replica must accept a new connection before it is sent
# further requests.
SILENT_REPLICA_S = 1.5
MIN_SERVER_ERROR_STATUS = 500


class ReplicaFeedback:
    """Records the results of one request's attempts."""

    def __init__(
        self,
        context: ExchangeContext,
        request: CallerRequest,
        progress: Progress,
        log: ExchangeLog,
    ) -> None:
        self._context = context
        self._request = request
        self._progress = progress
        self._log = log
        self._loop = asyncio.get_running_loop()

    def process_signals(
        self, record: ReplicaRecord, sent_at_s: float, status: int, signals: ReplicaSignals
    ) -> None:
        """Apply the signals of a response head as soon as it arrives."""
        now_s = self._loop.time()
        if signals.load is not None:
            self._context.registry.note_pace(record, signals.load.pace_percent, now_s)
        if signals.unreadable and not record.availability.had_unreadable_signal:
            record.availability.had_unreadable_signal = True
            self._log.log_unreadable(record, signals.unreadable)
        if signals.backoff_s > 0.0 and record.availability.note_backoff(
            signals.backoff_s, now_s, record.in_flight
        ):
            self._log.log_backoff(record, status, signals.backoff_s)
            self._context.replica_watch.watch_backoff(record)
        self._process_limit(record, sent_at_s, signals)
        self._process_brittleness(record, sent_at_s, signals)
        if status not in REJECTION_STATUSES:
            record.availability.note_accepted(sent_at_s)
        if signals.is_draining and record.note_draining(now_s):
            self._log.log_draining(record, status)
            self._context.on_draining(record)

    def _process_limit(
        self, record: ReplicaRecord, sent_at_s: float, signals: ReplicaSignals
    ) -> None:
        """Apply the rate limit of a response head, or its absence."""
        availability = record.availability
        if signals.limit_per_s is not None:
            if not availability.note_limit(signals.limit_per_s, self._loop.time()):
                return
            self._log.log_limited(record, signals.limit_per_s)
        elif signals.has_limit_header or not availability.limit.note_not_advertised(sent_at_s):
            return
        else:
            self._log.log_unlimited(record)
        self._context.on_limit_changed(record)

    def _process_brittleness(
        self, record: ReplicaRecord, sent_at_s: float, signals: ReplicaSignals
    ) -> None:
        """Apply that a replica says that it is brittle, or no longer does."""
        brittle = self._context.brittle(self._log.service)
        instance_id = record.instance.instance_id
        if signals.rejections_per_s is not None:
            if brittle.note_brittle(instance_id, signals.rejections_per_s, self._loop.time()):
                self._log.log_brittle(record, signals.rejections_per_s)
        elif not signals.has_brittle_header and brittle.note_sound(instance_id, sent_at_s):
            self._log.log_sound(record)

    def check_silence(self, record: ReplicaRecord, attempt: Attempt) -> None:
        """Mark a replica as unreachable that has sent nothing for long: it may have crashed."""
        if attempt.has_response or attempt.connection is None:
            return
        if self._loop.time() - attempt.started_at_s < SILENT_REPLICA_S:
            return
        record.note_failure(self._loop.time())
        self._context.replica_watch.watch_unreachable(record)
        self._log.log_attempt_failed(record, "silent", "no response", attempt)

    def note_overload(self, route: Route, attempt: Attempt, sent_at_s: float) -> None:
        """Report an overloaded model if a first event took most of its target."""
        if not self._request.model or attempt.first_data_at_s is None:
            return
        taken_ms = (attempt.first_data_at_s - sent_at_s) * 1000.0
        if taken_ms > route.target_latency_ms * OVERLOADED_TARGET_SHARE:
            self._context.demand.note_overloaded(self._log.service, self._request.model)

    def _note_rejection(self, record: ReplicaRecord, attempt: Attempt, now_s: float) -> None:
        """Record that a replica rejected a request."""
        context = self._context
        context.brittle(self._log.service).note_rejection(
            record, context.gateways, now_s, context.random.random()
        )
        if not attempt.signals.backoff_s:
            # A replica that rejects at once has nothing in flight, so it would look like the
            # fastest one.
            record.note_error_response()

    def note_attempt_end(
        self, choice: Choice, attempt: Attempt, end: AttemptEnd, sent_at_s: float, work: SentWork
    ) -> None:
        """Update the state of the replica from an attempt that has ended."""
        record, request = choice.record, self._request
        now_s = self._loop.time()
        GATEWAY_ATTEMPTS.labels(end.result).inc()
        RESPONSE_ENDS.labels(attempt.framing, end.result).inc()
        if attempt.signals.load is not None:
            record.note_load(attempt.signals.load, now_s)
        if end.result is AttemptResult.NOT_RUN:
            if end.status == 421 and request.model:
                record.availability.note_missing(request.resource)
            elif end.status in REJECTION_STATUSES:
                self._note_rejection(record, attempt, now_s)
            return
        self._progress.runs += 1
        if end.result is not AttemptResult.COMPLETE:
            record.note_failure(now_s)
            if end.is_broken:
                self._context.replica_watch.check(record)
            self._log.log_attempt_failed(record, end.result, end.detail, attempt)
            return
        if end.status >= MIN_SERVER_ERROR_STATUS:
            record.note_error_response()
            return
        record.note_success()
        for key in part_keys(request):
            record.remember_part(key)
        first_data_at_s = now_s if attempt.first_data_at_s is None else attempt.first_data_at_s
        taken_s = first_data_at_s - sent_at_s
        load = attempt.signals.load
        has_waiting = load is not None and load.waiting > 0.0
        cost_ratio = work.note_complete(sent_at_s, has_waiting, now_s)
        if cost_ratio is not None:
            REQUEST_COST_RATIO.observe(cost_ratio)
        if request.model:
            unread = max(0, request.prompt_tokens - choice.known_tokens)
            latency_model = self._context.registry.latency_model(self._log.service)
            pace = record.pace.slow_factor(now_s)
            idle_ms = latency_model.idle_first_event_ms(request.model, unread) * pace
            record.note_response_time(taken_s, idle_ms / 1000.0, now_s)
            latency_model.observe_first_event(request.model, unread, taken_s * 1000.0 / pace)
            latency_model.observe_stream(
                request.model, request.output_tokens, (now_s - first_data_at_s) * 1000.0
            )
            return
        if choice.cost is not None:
            return
        expected_s = choice.expected_ms / 1000.0 / max(0.2, record.slowness_now(now_s))
        record.note_response_time(taken_s, expected_s, now_s)
