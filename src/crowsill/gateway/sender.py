"""Sends one request to a replica that was chosen, and learns from what comes of it."""

import asyncio
import functools

from crowsill.gateway.admission import Admission
from crowsill.gateway.attempt import Attempt, AttemptEnd, AttemptResult
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.forwarding import ForwardingTerms, encode_forwarded
from crowsill.gateway.pool import ConnectError
from crowsill.gateway.progress import PendingPrompt, Probe, Progress
from crowsill.gateway.repeat_guard import RepeatGuard
from crowsill.gateway.replica_connection import ReplicaConnection
from crowsill.gateway.replica_feedback import ReplicaFeedback
from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.gateway.replica_signals import ReplicaSignals
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.routing_table import is_urgent
from crowsill.gateway.selection import Choice
from crowsill.metrics import GATEWAY_ATTEMPTS, SENT_IN_REST, SENT_UNDER_LIMIT
from crowsill.model.routes import Route, RouteKind


class Sender:
    """Makes the sendings of one request, one after the other."""

    def __init__(
        self,
        context: ExchangeContext,
        caller: CallerConnection,
        request: CallerRequest,
        progress: Progress,
        log: ExchangeLog,
        *,
        admission: Admission,
        repeats: RepeatGuard,
    ) -> None:
        self._context = context
        self._caller = caller
        self._request = request
        self._progress = progress
        self._log = log
        self._admission = admission
        self._repeats = repeats
        self._feedback = ReplicaFeedback(context, request, progress, log)
        self._loop = asyncio.get_running_loop()

    async def send(
        self, route: Route, choice: Choice, deadline_s: float, closes: bool
    ) -> AttemptEnd | None:
        """Send to a replica; None when nothing could be sent.

        Args:
            route: The request's route.
            choice: The replica.
            deadline_s: Clock when the request's time is over.
            closes: Whether the caller's connection ends with the answer.
        """
        is_begun = self._repeats.begin()
        try:
            granted_until_s = await self._granted_until_s(route, choice.record)
            if granted_until_s is None:
                return None
            self._log_routed(choice)
            return await self._send_granted(route, choice, deadline_s, closes, granted_until_s)
        finally:
            if is_begun:
                self._repeats.finish()

    async def _send_granted(
        self, route: Route, choice: Choice, deadline_s: float, closes: bool, granted_until_s: float
    ) -> AttemptEnd | None:
        """Send to a replica, as `send`, before a grant there is over."""
        record, request, context = choice.record, self._request, self._context
        instance_id = record.instance.instance_id
        self._progress.tried.add(instance_id)
        unread = max(0, request.prompt_tokens - choice.known_tokens)
        record.in_flight += 1
        prompt = PendingPrompt(record, unread, self._loop.time())
        probe = Probe(record.availability)
        reusable = False
        connection = None
        try:
            connection = await context.pool.acquire(record.instance, deadline_s - self._loop.time())
            attempt = self._attempt_at(route, record, connection, closes)
            attempt.on_first_data = prompt.read
            attempt.on_signals = functools.partial(self._take_signals, record, probe, attempt)
            # Looked at after the last wait: the connection may have taken a second to come up.
            if self._admission.recheck() is not None or self._repeats.quarantine() is not None:
                return None
            if not self._is_still_meant(record, granted_until_s):
                self._progress.tried.discard(instance_id)
                reusable = True
                return None
            sent_s = self._transmit(route, record, attempt, connection, deadline_s)
            end = await attempt.ended
            reusable = end.result in (AttemptResult.COMPLETE, AttemptResult.NOT_RUN)
            self._feedback.learn(choice, attempt, end, sent_s)
            self._repeats.learn(record.instance, end, sent_s)
            self._feedback.note_pressure(route, attempt, sent_s)
            return end
        except ConnectError as error:
            record.note_failure(self._loop.time())
            if error.is_refused:
                context.crash_watch.note_refused(record.instance)
            context.on_unreachable(record)
            GATEWAY_ATTEMPTS.labels("unreachable").inc()
            self._progress.last = f"connect: {error}"
            self._log.log_attempt_failed(record, "unreachable", str(error))
            return None
        finally:
            record.in_flight -= 1
            prompt.read()
            probe.end()
            self._end_attempt(record)
            if connection is not None:
                context.pool.release(instance_id, connection, reusable)

    def _log_routed(self, choice: Choice) -> None:
        """Log that the request goes to a replica, and by which routes and directory."""
        context = self._context
        version = 0 if context.table is None else context.table.version
        self._log.log_routed(choice, self._progress.sendings + 1, version, context.registry.version)

    async def _granted_until_s(self, route: Route, record: ReplicaRecord) -> float | None:
        """Return until when the request may be sent to a replica; None if it may not now.

        A replica without a limit needs no grant; one that names its first while the request is on
        its way there does.
        """
        if not record.availability.limit.binds(self._loop.time()):
            return float("-inf")
        return await self._context.replica_grants.acquire(record, is_urgent(route))

    def _is_still_meant(self, record: ReplicaRecord, granted_until_s: float) -> bool:
        """Whether the replica that was chosen may still be sent the request."""
        now_s = self._loop.time()
        if self._context.registry.find(record.instance.instance_id) is not record:
            return False
        if record.availability.limit.binds(now_s) and now_s >= granted_until_s:
            return False
        return record.availability.accepts_on_open_connection(now_s)

    def _attempt_at(
        self,
        route: Route,
        record: ReplicaRecord,
        connection: ReplicaConnection,
        closes: bool,
    ) -> Attempt:
        """Make the present attempt, at a replica on a connection."""
        is_stream = route.kind is RouteKind.STREAM
        attempt = Attempt(self._caller, self._context.names, is_stream, closes)
        attempt.connection = connection
        if self._request.model:
            attempt.on_gap = record.note_event_gap
        self._progress.attempt = attempt
        return attempt

    def _transmit(
        self,
        route: Route,
        record: ReplicaRecord,
        attempt: Attempt,
        connection: ReplicaConnection,
        deadline_s: float,
    ) -> float:
        """Hand the request's bytes to a connection; return the clock of that."""
        request = self._request
        sent_s = attempt.sent_s = self._loop.time()
        terms = self._terms(route, record.instance.replica_name, deadline_s - sent_s)
        message = encode_forwarded(request, self._context.names, terms)
        if record.availability.is_backing_off(sent_s):
            record.availability.sent_in_backoff += 1
            SENT_IN_REST.inc()
        if record.availability.limit.holds:
            record.availability.sent_under_limit += 1
            SENT_UNDER_LIMIT.inc()
        self._progress.sendings += 1
        self._progress.may_have_run = True
        connection.send(message, request.request_id, request.method == b"HEAD", attempt)
        return sent_s

    def _take_signals(
        self,
        record: ReplicaRecord,
        probe: Probe,
        attempt: Attempt,
        status: int,
        signals: ReplicaSignals,
    ) -> None:
        """Take in the head of the answer to a sending."""
        probe.end()
        self._feedback.take_signals(record, attempt.sent_s, status, signals)
        if signals.backoff_s > 0.0:
            # What it turned away may go there again when its rest is over.
            self._progress.tried.discard(record.instance.instance_id)

    def _end_attempt(self, record: ReplicaRecord) -> None:
        """Learn from an attempt that is over, whoever ended it."""
        attempt = self._progress.attempt
        if attempt is None:
            return
        self._feedback.notice_silence(record, attempt)
        if attempt.connection is not None and attempt.was_abandoned:
            self._repeats.abandon(record.instance, attempt.sent_s)
        attempt.connection = None

    def _terms(self, route: Route, replica: str, left_s: float) -> ForwardingTerms:
        admission = self._admission
        tenant = "" if admission.tenant is None else admission.tenant.name
        rank = admission.rank(route)
        return ForwardingTerms(replica, rank, left_s, admission.is_keyed, tenant)
