"""Sends one request to the chosen replica and records the result."""

import asyncio
import functools

from crowsill.gateway.admission import Admission
from crowsill.gateway.attempt import Attempt, AttemptEnd, AttemptResult
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.forwarding import ForwardingTerms, encode_forwarded_request
from crowsill.gateway.framing import Framing
from crowsill.gateway.pool import ConnectError
from crowsill.gateway.progress import PendingPrompt, Probe, Progress
from crowsill.gateway.repeat_guard import RepeatGuard
from crowsill.gateway.replica_connection import Break, ReplicaConnection
from crowsill.gateway.replica_feedback import ReplicaFeedback
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_signals import ReplicaSignals
from crowsill.gateway.replica_work import SentWork
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import is_urgent
from crowsill.gateway.selection import Choice, has_software_version
from crowsill.gateway.stream_origins import is_resumable
from crowsill.metrics import GATEWAY_ATTEMPTS, SENT_IN_REST, SENT_UNDER_LIMIT
from crowsill.model.routes import Route, RouteKind
from crowsill.model.stream_origins import StreamOrigin

# A replica that sends nothing at all for this multiple of the expected response time, and at least
# this long, must accept a new connection to stay eligible.
SILENCE_FACTOR = 3.0
MIN_SILENCE_S = 0.4


class Sender:
    """Runs the attempts of one request, one after the other."""

    def __init__(
        self,
        context: ExchangeContext,
        caller: CallerConnection,
        request: CallerRequest,
        progress: Progress,
        log: ExchangeLog,
        *,
        admission: Admission,
        repeat_guard: RepeatGuard,
    ) -> None:
        self._context = context
        self._caller = caller
        self._request = request
        self._progress = progress
        self._log = log
        self._admission = admission
        self._repeat_guard = repeat_guard
        self._feedback = ReplicaFeedback(context, request, progress, log)
        self._loop = asyncio.get_running_loop()

    async def send(
        self, route: Route, choice: Choice, deadline_at_s: float, closes_connection: bool
    ) -> AttemptEnd | None:
        """Send the request to a replica; return None if nothing could be sent.

        Args:
            route: The request's route.
            choice: The replica.
            deadline_at_s: Monotonic time of the request's deadline.
            closes_connection: Whether the caller's connection closes after the response.
        """
        is_tracked = self._repeat_guard.begin_attempt()
        try:
            if is_tracked and not await self._repeat_guard.may_run(choice.record.instance):
                return None
            grant_expires_at_s = await self._acquire_grant(route, choice.record)
            if grant_expires_at_s is None:
                return None
            self._log_routed(choice)
            return await self._send_with_grant(
                route, choice, deadline_at_s, closes_connection, grant_expires_at_s
            )
        finally:
            if is_tracked:
                self._repeat_guard.finish_attempt(choice.record.instance)

    async def _send_with_grant(
        self,
        route: Route,
        choice: Choice,
        deadline_at_s: float,
        closes_connection: bool,
        grant_expires_at_s: float,
    ) -> AttemptEnd | None:
        """Send the request as `send` does, unless the replica's grant expires first."""
        record, request, context = choice.record, self._request, self._context
        instance_id = record.instance.instance_id
        self._progress.tried.add(instance_id)
        unread_tokens = max(0, request.prompt_tokens - choice.known_tokens)
        record.in_flight += 1
        prompt = PendingPrompt(record, unread_tokens, self._loop.time())
        is_stream = bool(request.model) and route.kind is RouteKind.STREAM
        costs = context.registry.costs
        work = SentWork(costs, record, choice.cost, is_stream, self._loop.time())
        probe = Probe(record.availability)
        reusable = False
        connection = None
        silence_check: asyncio.TimerHandle | None = None
        try:
            connection = await context.pool.acquire(
                record.instance, deadline_at_s - self._loop.time(), request.request_id
            )
            attempt = self._new_attempt(route, record, connection, closes_connection)
            origin = StreamOrigin(record.instance.service, record.instance.software_version)
            attempt.on_first_data = functools.partial(
                self._handle_first_data, record, prompt, work, origin
            )
            attempt.on_signals = functools.partial(self._handle_signals, record, probe, attempt)
            # Checked again after the last wait: opening the connection may have taken a second.
            if (
                self._admission.recheck() is not None
                or self._repeat_guard.quarantine_rejection() is not None
            ):
                return None
            if not self._is_still_sendable(record, grant_expires_at_s):
                self._progress.tried.discard(instance_id)
                reusable = True
                return None
            sent_at_s = self._write_request(route, record, attempt, connection, deadline_at_s)
            silence_check = self._schedule_silence_check(choice, sent_at_s)
            end = await self._confirm_end(record, attempt, await attempt.ended)
            reusable = end.result in (AttemptResult.COMPLETE, AttemptResult.NOT_RUN)
            if connection.requests == 1:
                context.replica_watch.note_first_request(record, connection, end.is_broken)
            self._feedback.note_attempt_end(choice, attempt, end, sent_at_s, work)
            self._repeat_guard.note_attempt_end(record.instance, end, sent_at_s)
            self._feedback.note_overload(route, attempt, sent_at_s)
            return end
        except ConnectError as error:
            self._note_unreachable(record, error)
            return None
        finally:
            if silence_check is not None:
                silence_check.cancel()
            record.in_flight -= 1
            prompt.stop_counting()
            probe.end()
            self._end_attempt(record, work)
            work.stop_counting()
            if connection is not None:
                context.pool.release(instance_id, connection, reusable)
            self._note_room(record)

    def _note_unreachable(self, record: ReplicaRecord, error: ConnectError) -> None:
        """Record that no connection to the chosen replica could be opened."""
        if error.is_refused:
            self._context.crash_watch.note_refused_connection(record.instance)
        self._context.replica_watch.note_connect_failed(record, error)
        GATEWAY_ATTEMPTS.labels("unreachable").inc()
        self._progress.last_failure = f"connect: {error}"
        self._log.log_attempt_failed(record, "unreachable", str(error))

    async def _confirm_end(
        self, record: ReplicaRecord, attempt: Attempt, end: AttemptEnd
    ) -> AttemptEnd:
        """Return the end of an attempt; interrupted if the replica's crash ended its response."""
        if end.result is not AttemptResult.COMPLETE or attempt.framing is not Framing.CLOSE:
            return end
        if not await self._context.replica_watch.is_running(record):
            return attempt.interrupted(Break.CRASHED)
        attempt.confirm_end()
        return end

    def _log_routed(self, choice: Choice) -> None:
        """Log the chosen replica and the versions of routes and directory it was chosen by."""
        context = self._context
        version = 0 if context.table is None else context.table.version
        self._log.log_routed(choice, self._progress.attempts + 1, version, context.registry.version)

    async def _acquire_grant(self, route: Route, record: ReplicaRecord) -> float | None:
        """Return until when the request may be sent to a replica; None if it may not be sent now.

        A replica without a rate limit needs no grant. If it advertises its first limit before the
        request is sent, the request needs one after all.
        """
        if not record.availability.limit.is_in_effect(self._loop.time()):
            return float("-inf")
        return await self._context.replica_grants.acquire(record, is_urgent(route))

    def _is_still_sendable(self, record: ReplicaRecord, grant_expires_at_s: float) -> bool:
        """Whether the request may still be sent to the chosen replica."""
        now_s = self._loop.time()
        if self._context.registry.find(record.instance.instance_id) is not record:
            return False
        if not has_software_version(record, self._request):
            return False
        if self._progress.is_retry_expired(now_s):
            return False
        if record.availability.limit.is_in_effect(now_s) and now_s >= grant_expires_at_s:
            return False
        return record.availability.accepts_on_open_connection(now_s)

    def _new_attempt(
        self,
        route: Route,
        record: ReplicaRecord,
        connection: ReplicaConnection,
        closes_connection: bool,
    ) -> Attempt:
        """Create the current attempt at a replica on a connection."""
        is_stream = route.kind is RouteKind.STREAM
        attempt = Attempt(
            self._caller,
            self._context.names,
            is_stream=is_stream,
            close_after=closes_connection,
            allows_chunks=self._request.allows_chunks,
            resumed_after=self._request.last_event_id if is_resumable(route) else b"",
        )
        attempt.connection = connection
        if self._request.model:
            attempt.on_gap = record.note_event_gap
        self._progress.attempt = attempt
        return attempt

    def _write_request(
        self,
        route: Route,
        record: ReplicaRecord,
        attempt: Attempt,
        connection: ReplicaConnection,
        deadline_at_s: float,
    ) -> float:
        """Write the request to a connection; return the monotonic time in seconds."""
        request = self._request
        sent_at_s = attempt.sent_at_s = self._loop.time()
        terms = self._forwarding_terms(
            route, record.instance.replica_name, deadline_at_s - sent_at_s
        )
        message = encode_forwarded_request(request, self._context.names, terms)
        if record.availability.is_backing_off(sent_at_s):
            record.availability.sent_in_backoff += 1
            SENT_IN_REST.inc()
        if record.availability.limit.is_advertised:
            record.availability.sent_under_limit += 1
            SENT_UNDER_LIMIT.inc()
        self._progress.note_sent(sent_at_s)
        connection.send(message, request.request_id, request.method == b"HEAD", attempt)
        return sent_at_s

    def _schedule_silence_check(self, choice: Choice, sent_at_s: float) -> asyncio.TimerHandle:
        """Check the replica if it sends nothing for much longer than expected."""
        expected_s = choice.expected_ms / 1000.0
        return self._loop.call_later(
            max(MIN_SILENCE_S, expected_s * SILENCE_FACTOR),
            self._context.replica_watch.check_if_silent,
            choice.record,
            sent_at_s,
        )

    def _handle_first_data(
        self, record: ReplicaRecord, prompt: PendingPrompt, work: SentWork, origin: StreamOrigin
    ) -> None:
        route, attempt = self._log.route, self._progress.attempt
        if route is not None and is_resumable(route) and attempt and attempt.relays_events:
            self._context.stream_origins.record(self._request, route, self._log.tenant, origin)
        prompt.stop_counting()
        work.note_first_event(self._loop.time())
        self._repeat_guard.note_first_data()
        self._note_room(record)

    def _note_room(self, record: ReplicaRecord) -> None:
        """Tell the requests that wait that a replica may have room for one of them."""
        if self._context.turns is not None:
            self._context.turns.note_room(record)

    def _handle_signals(
        self,
        record: ReplicaRecord,
        probe: Probe,
        attempt: Attempt,
        status: int,
        signals: ReplicaSignals,
    ) -> None:
        """Handle the signals in the head of a response."""
        probe.end()
        self._feedback.process_signals(record, attempt.sent_at_s, status, signals)
        if signals.backoff_s > 0.0:
            # The replica rejected the request; it may get it again after its backoff.
            self._progress.tried.discard(record.instance.instance_id)

    def _end_attempt(self, record: ReplicaRecord, work: SentWork) -> None:
        """Record the end of an attempt, also of one that was cancelled."""
        attempt = self._progress.attempt
        if attempt is None:
            return
        self._feedback.check_silence(record, attempt)
        if attempt.connection is not None and attempt.was_abandoned:
            self._repeat_guard.note_abandoned(record.instance, attempt.sent_at_s)
            work.note_abandoned(self._loop.time())
        attempt.connection = None

    def _forwarding_terms(self, route: Route, replica: str, remaining_s: float) -> ForwardingTerms:
        admission = self._admission
        tenant = "" if admission.tenant is None else admission.tenant.name
        rank = admission.rank(route)
        return ForwardingTerms(replica, rank, remaining_s, admission.requires_key, tenant)
